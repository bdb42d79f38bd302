package quota

import (
	"sync"
	"time"

	"pumiceshelf/budget"
	"pumiceshelf/invariant"
)

// account is the holder's side of one budget: its lease, earlier leases with open requests, and requests that wait.
type account struct {
	id budget.ID

	mu sync.Mutex
	// lease takes reservations; nil before the first.
	lease *heldLease
	// old leases were closed by a reclaimer or are on their way back, and have requests open.
	old      []*heldLease
	granted  budget.Tokens
	demand   budget.Demand
	recent   *budget.RecentIDs
	waiters  []*waiter
	lastUsed time.Time
	// short is set while authority has to be raised by a write, because no witness acknowledges.
	short bool
	// asking is set while witnesses are being asked.
	asking bool
}

// heldLease is a lease with what is on record for it.
type heldLease struct {
	*budget.Lease
	// queued is billed and in no durable segment yet; durable is in one.
	queued, durable budget.Tokens
	segments        uint64
	// returned says that this instance closes the lease itself.
	returned bool
}

// checkRecords stops the process when the records of the lease do not add up to what it settled.
func (l *heldLease) checkRecords() {
	if l.queued+l.durable == l.Settled() {
		return // Spares the path of a request the allocation of the message's arguments.
	}
	invariant.Check(false, part, "lease %s has records of %d queued and %d durable but settled %d",
		l.ID(), l.queued, l.durable, l.Settled())
}

// waiter is a reservation that waits for tokens.
type waiter struct {
	requestID string
	attempt   budget.Attempt
	bound     budget.Tokens
	model     string
	since     time.Time
	deadline  time.Time
	// event orders the start of the wait among calls to the platform.
	event uint64
	// shortSince is when a ledger read after the request came first showed too few tokens; zero before.
	shortSince time.Time
	answer     chan Reservation
}

func newAccount(id budget.ID) *account {
	return &account{id: id, recent: budget.NewRecentIDs(recentLimit, recentKeep.Milliseconds())}
}

// reserve grants the request at once, or returns false. The caller holds mu.
func (a *account) reserve(w *waiter, now time.Time, self string) (Reservation, bool) {
	a.lastUsed = now
	if a.recent.Has(w.requestID) {
		return Reservation{Outcome: Granted, Lease: a.leaseID(), Holder: self}, true
	}
	for _, l := range a.old {
		if l.Has(w.requestID) {
			l.Reserve(w.requestID, w.attempt, w.bound, w.model, now.UnixMilli())
			return Reservation{Outcome: Granted, Lease: l.ID(), Holder: self}, true
		}
	}
	if a.lease == nil || !a.lease.Reserve(w.requestID, w.attempt, w.bound, w.model, now.UnixMilli()) {
		return Reservation{}, false
	}
	return Reservation{Outcome: Granted, Lease: a.lease.ID(), Holder: self}, true
}

func (a *account) leaseID() string {
	if a.lease == nil {
		return ""
	}
	return a.lease.ID()
}

// leases returns all leases, the one that takes reservations first. The caller holds mu.
func (a *account) leases() []*heldLease {
	if a.lease == nil {
		return a.old
	}
	return append([]*heldLease{a.lease}, a.old...)
}

// held returns the lease with the id, or nil. The caller holds mu.
func (a *account) held(id string) *heldLease {
	if a.lease != nil && a.lease.ID() == id {
		return a.lease
	}
	for _, l := range a.old {
		if l.ID() == id {
			return l
		}
	}
	return nil
}

// grantWaiters grants waiting requests in order while tokens last. The caller holds mu.
func (a *account) grantWaiters(now time.Time, self string) {
	for len(a.waiters) > 0 {
		r, ok := a.reserve(a.waiters[0], now, self)
		if !ok {
			return
		}
		a.waiters[0].answer <- r
		a.waiters = a.waiters[1:]
	}
}

// refuse ends the wait of one request. The caller holds mu.
func (a *account) refuse(w *waiter, r Reservation) bool {
	for i := range a.waiters {
		if a.waiters[i] == w {
			a.waiters = append(a.waiters[:i:i], a.waiters[i+1:]...)
			w.answer <- r
			return true
		}
	}
	return false
}

// waiting returns the bounds of all waiting requests. The caller holds mu.
func (a *account) waiting() budget.Tokens {
	var sum budget.Tokens
	for _, w := range a.waiters {
		sum += w.bound
	}
	return sum
}

// ahead returns the tokens to keep between what is used and what may be used. The caller holds mu.
func (a *account) ahead(t time.Duration) budget.Tokens {
	return max(a.demand.Over(t), 2*a.demand.LargestBound()) + a.waiting()
}

// retire moves a lease that takes no more reservations aside. The caller holds mu.
func (a *account) retire() {
	if a.lease == nil {
		return
	}
	if a.lease.OpenRequests() > 0 || a.lease.queued > 0 {
		a.old = append(a.old, a.lease)
	}
	a.lease = nil
}

// prune forgets earlier leases with nothing left to settle or record. The caller holds mu.
func (a *account) prune() {
	kept := a.old[:0]
	for _, l := range a.old {
		if l.OpenRequests() > 0 || l.queued > 0 {
			kept = append(kept, l)
		}
	}
	clear(a.old[len(kept):])
	a.old = kept
}
