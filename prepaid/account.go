package prepaid

import (
	"container/list"
	"sync"
	"time"

	"pumiceshelf/invariant"
)

// Outcome of a reservation.
type Outcome int

const (
	// Granted means that the tokens are reserved.
	Granted Outcome = iota
	// Exhausted means that the customer's remaining budget does not cover the request.
	Exhausted
	// Unavailable means that the budget may cover the request, but the ledger cannot be reached now.
	Unavailable
)

// String names the outcome as logs show it.
func (o Outcome) String() string { return [...]string{"granted", "exhausted", "unavailable"}[o] }

// account is this instance's lease of one customer's budget.
//
// Invariant: used <= limit, where limit is at most what the ledger allows this incarnation.
type account struct {
	mu sync.Mutex
	// limit is what this incarnation may spend in total, in tokens: its lease and what it borrowed.
	limit int64
	// borrowed is what other instances gave away from their leases, in total.
	borrowed int64
	// used is what was spent and what open reservations may still spend.
	used int64
	// remaining is what the ledger had not handed out at readAt.
	remaining int64
	readAt    time.Time
	// waiters are reservations that wait for a larger lease, in order of arrival.
	waiters list.List
	// loanFailedAt is when a loan last fell short.
	loanFailedAt time.Time
	// ratePerSecond is the average of tokens used, and lastUsed what it was counted up to.
	ratePerSecond float64
	lastUsed      int64
}

// waiter is a reservation that waits for a larger lease.
type waiter struct {
	tokens int64
	done   chan Outcome
}

// reserve takes tokens if the lease covers them and nobody waits before.
func (a *account) reserve(tokens int64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.waiters.Len() == 0 && a.take(tokens)
}

func (a *account) take(tokens int64) bool {
	if a.used+tokens > a.limit {
		return false
	}
	a.used += tokens
	return true
}

// settle gives back what a reservation did not spend.
func (a *account) settle(reserved, spent int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.used -= reserved - spent
	invariant.Check(a.used >= 0 && spent <= reserved, part, "settled %d of %d reserved tokens, %d used", spent, reserved, a.used)
	a.serveWaiters()
}

// wait queues a reservation for a larger lease.
func (a *account) wait(tokens int64) (*waiter, *list.Element) {
	w := &waiter{tokens: tokens, done: make(chan Outcome, 1)}
	a.mu.Lock()
	defer a.mu.Unlock()
	return w, a.waiters.PushBack(w)
}

// leave takes a waiter out. It returns false if the waiter has its outcome already.
func (a *account) leave(e *list.Element) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	for at := a.waiters.Front(); at != nil; at = at.Next() {
		if at == e {
			a.waiters.Remove(e)
			a.serveWaiters()
			return true
		}
	}
	return false
}

// serveWaiters grants waiters in order as far as the lease goes.
func (a *account) serveWaiters() {
	for e := a.waiters.Front(); e != nil; e = a.waiters.Front() {
		w := e.Value.(*waiter)
		if !a.take(w.tokens) {
			return
		}
		a.waiters.Remove(e)
		w.done <- Granted
	}
}

// adopt takes in a version of the ledger: this incarnation's limit and what is left for all.
func (a *account) adopt(limit, remaining int64, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	limit += a.borrowed
	invariant.Check(limit >= a.used, part, "lease of %d tokens is below the %d used", limit, a.used)
	a.limit, a.remaining, a.readAt = limit, remaining, now
	a.serveWaiters()
}

// freeze takes in a version of the ledger that knows no lease of this incarnation: it spends nothing more.
func (a *account) freeze(remaining int64, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.limit, a.remaining, a.readAt = max(a.used, a.borrowed), remaining, now
}

// short says whether a waiter needs more than the lease and the remaining budget have.
func (a *account) short() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	for e := a.waiters.Front(); e != nil; e = e.Next() {
		if e.Value.(*waiter).tokens > a.limit-a.used+a.remaining {
			return true
		}
	}
	return false
}

// lower gives up a part of the lease before the ledger is told, so that a late or lost answer cannot lead to overspending.
// It returns the lease that is left, which is negative for an instance that gives back what it borrowed: the lender's
// lease still counts it as spent.
func (a *account) lower(limit int64) int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.limit = min(a.limit, max(limit, a.used))
	return a.limit - a.borrowed
}

// lend gives tokens away, at most half of what this instance does not need in the next moments. They count as spent here.
func (a *account) lend(tokens int64) int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.waiters.Len() > 0 {
		return 0
	}
	spare := a.limit - a.used - int64(a.ratePerSecond*lendReserve.Seconds())
	given := min(tokens, max(spare, 0)/2)
	a.used += given
	a.lastUsed += given
	return given
}

// ahead returns what is used in a span of time at the present rate.
func (a *account) ahead(span time.Duration) int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return int64(a.ratePerSecond * span.Seconds())
}

// discount keeps tokens that were taken for another instance out of this instance's rate.
func (a *account) discount(tokens int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lastUsed += tokens
}

// borrow takes in tokens that another instance gave away.
func (a *account) borrow(tokens int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.borrowed += tokens
	a.limit += tokens
	a.serveWaiters()
}

// refuse ends the waiters that the remaining budget cannot cover as exhausted, or all as unavailable.
func (a *account) refuse(available bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	var next *list.Element
	for e := a.waiters.Front(); e != nil; e = next {
		next = e.Next()
		w := e.Value.(*waiter)
		switch {
		case !available:
			w.done <- Unavailable
		case w.tokens > a.limit-a.used+a.remaining:
			w.done <- Exhausted
		default:
			continue
		}
		a.waiters.Remove(e)
	}
}

// demand is what the next update of the ledger should know about an account.
type demand struct {
	limit, used, borrowed int64
	// waiting is the sum that waiters lack.
	waiting       int64
	ratePerSecond float64
}

func (a *account) demand() demand {
	a.mu.Lock()
	defer a.mu.Unlock()
	d := demand{limit: a.limit, used: a.used, borrowed: a.borrowed, ratePerSecond: a.ratePerSecond}
	for e := a.waiters.Front(); e != nil; e = e.Next() {
		d.waiting += e.Value.(*waiter).tokens
	}
	return d
}

// observe updates the average of tokens used over the time since the last call.
func (a *account) observe(since time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if since <= 0 {
		return
	}
	now := max(float64(a.used-a.lastUsed), 0) / since.Seconds()
	a.ratePerSecond += rateWeight * (now - a.ratePerSecond)
	a.lastUsed = a.used
}

// known returns what is left for a request of this instance, if the ledger was read not before the given time.
func (a *account) known(since time.Time) (int64, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.limit - a.used + a.remaining, !a.readAt.Before(since) && !a.readAt.IsZero()
}

// noteLoan notes that a loan fell short.
func (a *account) noteLoan(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.loanFailedAt = now
}

// refusedLoan says whether a loan fell short a moment ago.
func (a *account) refusedLoan(now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return !a.loanFailedAt.IsZero() && now.Sub(a.loanFailedAt) < loanPause
}
