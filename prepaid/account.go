package prepaid

import (
	"container/list"
	"sync"
	"sync/atomic"
	"time"

	"pumiceshelf/instance"
	"pumiceshelf/invariant"
	"pumiceshelf/ration"
)

// Outcome is the result of a reservation.
type Outcome int

const (
	// Granted means that the tokens are reserved.
	Granted Outcome = iota
	// Exhausted means that the customer's remaining budget does not cover the request.
	Exhausted
	// Unavailable means that the budget may cover the request, but the ledger cannot be reached.
	Unavailable
	// Contended means that the budget may cover the request, and the ledger can be reached, but no lease covered the request in
	// time, because too many requests or instances need larger ones.
	Contended
	// Rationed means that the customer's tokens do not last for all of its requests and are kept for more urgent ones.
	Rationed
)

// String returns the name of the outcome for logs.
func (o Outcome) String() string {
	return [...]string{"granted", "exhausted", "unavailable", "contended", "rationed"}[o]
}

// account holds this instance's lease of one customer's budget.
//
// Invariant: used <= limit, and limit never exceeds the lease in the ledger plus the borrowed tokens. Nor does used exceed what
// the witnesses of a binding have acknowledged, plus the borrowed tokens.
type account struct {
	mu sync.Mutex
	// limit is the total number of tokens that this incarnation may spend: its lease plus borrowed.
	limit int64
	// borrowed is the total number of tokens received from the leases of other instances.
	borrowed int64
	// leased is set once the ledger had a lease of this incarnation.
	leased bool
	// used is the number of tokens that are spent or reserved.
	used int64
	// remaining is the part of the budget that the ledger had not committed at readAt.
	remaining int64
	readAt    time.Time
	// lowest is the fewest tokens that were available since the last call of takeIdle.
	lowest int64
	// waiters are the reservations that wait for a larger lease, in order of arrival.
	waiters list.List
	// loanFailedAt is the last time that a loan brought less than was requested.
	loanFailedAt time.Time
	// loanHalvings is how often the size of loans is halved now.
	loanHalvings int
	// ratePerSecond is the moving average of tokens used per second. rateBaseline is the value of used at its last update.
	ratePerSecond float64
	rateBaseline  int64
	// longRatePerSecond is the same average over a longer time.
	longRatePerSecond float64
	steadyRate        steadyRate
	// committedAtStart is what the ledger had committed when this instance first read it, ledgerSeen whether it has.
	committedAtStart int64
	ledgerSeen       bool
	// passedOn is the part of used that was passed on to other instances. ownRatePerSecond is the moving average of the tokens
	// that this instance's requests use per second, and ownRateBaseline the value of used without passedOn at its last update.
	passedOn         int64
	ownRatePerSecond float64
	ownRateBaseline  int64
	// ownRequests counts this instance's requests since the last update of ownRequestsPerSecond, their moving average per second.
	ownRequests          atomic.Int64
	ownRequestsPerSecond float64
	// aheadRequested is set while a request asks the token holder for tokens in advance. None does before aheadNotBefore.
	aheadRequested bool
	aheadNotBefore time.Time
	// demandByRank is what requests asked for by rank, share the fraction of the customer's traffic for which this instance leases.
	demandByRank ration.Demand
	share        float64
	// marks are those acknowledged by the witnesses of bindings, which are the sets of witnesses that bind this instance.
	marks    map[instance.Incarnation]int64
	bindings [][]instance.Incarnation
	// borrowsRationed is set while a loan is requested for a request whose tokens are kept for others.
	borrowsRationed atomic.Bool
}

// waiter is a reservation that waits for a larger lease.
type waiter struct {
	tokens int64
	done   chan Outcome
}

// reserve reserves tokens if the lease covers them and no earlier reservation waits. It returns true on success.
func (a *account) reserve(tokens int64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.waiters.Len() == 0 && a.reserveLocked(tokens)
}

// reserveToPassOn reserves the needed tokens for another instance and, up to the wanted number, a small part of what is then
// available. It returns false if the lease does not cover the needed tokens.
func (a *account) reserveToPassOn(needed, wanted int64) (int64, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.waiters.Len() > 0 || !a.reserveLocked(needed) {
		return 0, false
	}
	ahead := min(max(wanted-needed, 0), (a.limit-a.used)/aheadDivisor, a.authority()-a.used)
	a.used += ahead
	a.passedOn += needed + ahead
	return needed + ahead, true
}

// recordPassedOn records that reserved tokens are passed on to another instance.
func (a *account) recordPassedOn(tokens int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.passedOn += tokens
}

// reserveLocked is reserve without regard to waiters. a.mu must be held.
func (a *account) reserveLocked(tokens int64) bool {
	if tokens < 0 || tokens > a.authority()-a.used {
		return false
	}
	a.used += tokens
	a.lowest = min(a.lowest, a.limit-a.used)
	return true
}

// takeIdle takes the tokens that have been available ever since its last call, at least the given number or none, to pass
// them on to another instance. They count as spent.
func (a *account) takeIdle(least int64) int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	idle := min(a.lowest, a.authority()-a.used)
	if idle < least || a.waiters.Len() > 0 {
		idle = 0
	}
	a.used += idle
	a.passedOn += idle
	a.rateBaseline += idle
	a.lowest = a.limit - a.used
	return idle
}

// settle ends a reservation and releases the tokens that it did not spend.
func (a *account) settle(reserved, spent int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.used -= reserved - spent
	invariant.Check(a.used >= 0 && spent <= reserved, component, "settled %d of %d reserved tokens, %d used", spent, reserved, a.used)
	a.grantWaiters()
}

// takeBack makes tokens available again that were counted as spent when they were passed on, and did not arrive.
func (a *account) takeBack(tokens int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.used -= tokens
	a.passedOn -= tokens
	a.rateBaseline = min(a.rateBaseline, a.used)
	invariant.Check(a.used >= 0, component, "%d tokens taken back, %d used", tokens, a.used)
	a.grantWaiters()
}

// addWaiter queues a reservation until the lease covers it.
func (a *account) addWaiter(tokens int64) (*waiter, *list.Element) {
	w := &waiter{tokens: tokens, done: make(chan Outcome, 1)}
	a.mu.Lock()
	defer a.mu.Unlock()
	return w, a.waiters.PushBack(w)
}

// removeWaiter removes a waiter from the queue. It returns false if the waiter already has an outcome.
func (a *account) removeWaiter(e *list.Element) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	for at := a.waiters.Front(); at != nil; at = at.Next() {
		if at == e {
			a.waiters.Remove(e)
			a.grantWaiters()
			return true
		}
	}
	return false
}

// grantWaiters grants waiters in order until the lease does not cover the next one. a.mu must be held.
func (a *account) grantWaiters() {
	for e := a.waiters.Front(); e != nil; e = a.waiters.Front() {
		w := e.Value.(*waiter)
		if !a.reserveLocked(w.tokens) {
			return
		}
		a.waiters.Remove(e)
		w.done <- Granted
	}
}

// applyLease applies a version of the ledger: this incarnation's lease and the remaining budget.
func (a *account) applyLease(limit, remaining int64, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	limit += a.borrowed
	a.leased = true
	invariant.Check(limit >= a.used, component, "lease of %d tokens is below the %d used", limit, a.used)
	a.limit, a.remaining, a.readAt = limit, remaining, now
	a.grantWaiters()
}

// dropLease applies a version of the ledger that has no lease of this incarnation: it may spend only borrowed tokens. If a
// later incarnation has closed the lease, those that this one had returned with it are available to others.
func (a *account) dropLease(remaining int64, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	limit := max(a.used, a.borrowed)
	if a.leased {
		limit = min(limit, a.limit)
	}
	a.limit, a.remaining, a.readAt = limit, remaining, now
}

// hasUncoveredWaiter reports whether a waiter needs more tokens than the lease and the remaining budget have.
func (a *account) hasUncoveredWaiter() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	for e := a.waiters.Front(); e != nil; e = e.Next() {
		if e.Value.(*waiter).tokens > a.limit-a.used+a.remaining {
			return true
		}
	}
	return false
}

// lowerLimit lowers the limit before the ledger is updated, so that a late or lost response cannot cause overspend. It
// returns the new lease, which is negative if the instance returns borrowed tokens: the lender's lease still counts them
// as spent.
func (a *account) lowerLimit(limit int64) int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.limit = min(a.limit, max(limit, a.used))
	return a.limit - a.borrowed
}

// lend passes on at most half of the tokens that this instance does not need, and counts them as spent. It needs those kept for urgent
// requests if there are such, otherwise what it uses within lendReserve: its less urgent requests are worth no more than those of others.
func (a *account) lend(tokens, kept int64) int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	lent := min(a.lendableLocked(tokens, kept), a.authority()-a.used)
	a.used += lent
	a.passedOn += lent
	a.rateBaseline += lent
	return lent
}

// lendable returns how many tokens lend would pass on if witnesses had acknowledged the use of the whole lease.
func (a *account) lendable(tokens, kept int64) int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.lendableLocked(tokens, kept)
}

// lendableLocked is lendable. a.mu must be held.
func (a *account) lendableLocked(tokens, kept int64) int64 {
	if a.waiters.Len() > 0 {
		return 0
	}
	reserve := kept
	if kept == 0 {
		reserve = int64(a.ratePerSecond * lendReserve.Seconds())
	}
	return min(tokens, max(a.limit-a.used-reserve, 0)/2)
}

// allocationAhead returns how many tokens to request beyond those that a request needs: what is used within allocateAhead,
// unless that is only a few requests, of which the average rate says little. If countRequests is false, it takes all requests to
// be of this size, so that a small request after a large one gets the tokens of several ahead.
func (a *account) allocationAhead(needed int64, countRequests bool) int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	ahead := int64(a.ownRatePerSecond * allocateAhead.Seconds())
	sporadic := ahead < sporadicRequests*needed
	if countRequests {
		sporadic = a.ownRequestsPerSecond*allocateAhead.Seconds() < sporadicRequests
	}
	if sporadic {
		return 0
	}
	return ahead
}

// excludeFromRates leaves tokens that were acquired for a loan to another instance out of this instance's rates.
func (a *account) excludeFromRates(tokens int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.passedOn += tokens
	a.rateBaseline += tokens
}

// addBorrowed adds tokens that another instance passed on.
func (a *account) addBorrowed(tokens int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.borrowed += tokens
	a.limit += tokens
	a.grantWaiters()
}

// refuseWaiters ends the waiters that the remaining budget does not cover as Exhausted. If the ledger is not available,
// it ends all waiters as Unavailable that wait for more than a mark.
func (a *account) refuseWaiters(ledgerAvailable bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	var next *list.Element
	leased := a.limit - a.used
	for e := a.waiters.Front(); e != nil; e = next {
		next = e.Next()
		w := e.Value.(*waiter)
		leased -= w.tokens
		switch {
		case leased >= 0:
			continue
		case !ledgerAvailable:
			w.done <- Unavailable
		case w.tokens > a.limit-a.used+a.remaining:
			w.done <- Exhausted
		default:
			continue
		}
		a.waiters.Remove(e)
	}
}

// demand is the state of an account that determines its next lease.
type demand struct {
	limit, used, borrowed int64
	// waiting is the sum of the tokens that waiters need.
	waiting                                               int64
	ratePerSecond, longRatePerSecond, steadyRatePerSecond float64
}

// demand returns the current state for the next update of the ledger.
func (a *account) demand() demand {
	a.mu.Lock()
	defer a.mu.Unlock()
	d := demand{
		limit: a.limit, used: a.used, borrowed: a.borrowed,
		ratePerSecond: a.ratePerSecond, longRatePerSecond: a.longRatePerSecond, steadyRatePerSecond: a.steadyRate.perSecond,
	}
	for e := a.waiters.Front(); e != nil; e = e.Next() {
		d.waiting += e.Value.(*waiter).tokens
	}
	return d
}

// updateRates updates the rates with the tokens used in the time elapsed since the last call.
func (a *account) updateRates(elapsed time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if elapsed <= 0 {
		return
	}
	average := func(previous, weight float64, count int64) float64 {
		return previous + weight*(max(float64(count), 0)/elapsed.Seconds()-previous)
	}
	own := a.used - a.passedOn
	a.ratePerSecond = average(a.ratePerSecond, rateWeight, a.used-a.rateBaseline)
	a.longRatePerSecond = average(a.longRatePerSecond, longRateWeight, a.used-a.rateBaseline)
	a.steadyRate.add(float64(a.used-a.rateBaseline) / elapsed.Seconds())
	a.ownRatePerSecond = average(a.ownRatePerSecond, longRateWeight, own-a.ownRateBaseline)
	a.ownRequestsPerSecond = average(a.ownRequestsPerSecond, longRateWeight, a.ownRequests.Swap(0))
	a.rateBaseline, a.ownRateBaseline = a.used, own
}

// reservable returns the most that a request of this instance can reserve: the available part of the lease plus the
// remaining budget. It reports whether the ledger has been read at or after the given time.
func (a *account) reservable(since time.Time) (int64, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.limit - a.used + a.remaining, !a.readAt.Before(since) && !a.readAt.IsZero()
}

// recordLoanFailure records that a loan brought less than was requested.
func (a *account) recordLoanFailure(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.loanFailedAt = now
}

// loanFailedRecently reports whether a loan fell short within the last loanRetryDelay.
func (a *account) loanFailedRecently(now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return !a.loanFailedAt.IsZero() && now.Sub(a.loanFailedAt) < loanRetryDelay
}
