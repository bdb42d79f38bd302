package quota

import (
	"sync"
	"time"

	"pumiceshelf/budget"
	"pumiceshelf/invariant"
)

// account is a holder's state of one budget: the current lease, earlier leases with open requests, and waiting requests.
type account struct {
	id budget.ID

	mu sync.Mutex
	// lease accepts new reservations; nil if there is none.
	lease *heldLease
	// oldLeases accept no new reservations but still have open requests or queued records.
	oldLeases       []*heldLease
	granted         budget.Tokens
	demand          budget.Demand
	recentlySettled *budget.RecentIDs
	waiters         []*waiter
	lastUsed        time.Time
	// needsWrite is set while the ledger has to be written soon: no witness acknowledges, or the lease needs more tokens.
	needsWrite bool
	// acknowledging is set while an acknowledgement is requested from witnesses.
	acknowledging bool
}

// heldLease is a lease with the totals of its usage records.
type heldLease struct {
	*budget.Lease
	// queuedTokens are settled but not yet in a durable segment; durableTokens are in one.
	queuedTokens, durableTokens budget.Tokens
	// durableSegments is the sequence after the last durable segment with a record of the lease.
	durableSegments uint64
	// closedByHolder is set once this instance has sent an update that closes the lease.
	closedByHolder bool
}

// checkRecords stops the process if the records of the lease do not add up to its settled tokens.
func (l *heldLease) checkRecords() {
	if l.queuedTokens+l.durableTokens == l.Settled() {
		return // Avoids allocating the message's arguments on the request path.
	}
	invariant.Check(false, component, "lease %s has records of %d queued and %d durable tokens, but %d settled tokens",
		l.ID(), l.queuedTokens, l.durableTokens, l.Settled())
}

// waiter is a reservation that waits for tokens.
type waiter struct {
	requestID string
	attempt   budget.Attempt
	bound     budget.Tokens
	model     string
	since     time.Time
	deadline  time.Time
	// eventNumber orders the start of the wait relative to calls to the object store.
	eventNumber uint64
	// insufficientSince is when tokens were first known to be insufficient after the wait began; zero before.
	insufficientSince time.Time
	result            chan Reservation
}

func newAccount(id budget.ID) *account {
	return &account{id: id, recentlySettled: budget.NewRecentIDs(maxRecentRequests, recentRequestRetention.Milliseconds())}
}

// tryReserve grants the request if tokens are available now, and returns false otherwise. A request that is reserved or
// was settled recently is granted again. The caller holds mu.
func (a *account) tryReserve(w *waiter, now time.Time, self string) (Reservation, bool) {
	a.lastUsed = now
	if a.recentlySettled.Contains(w.requestID) {
		return Reservation{Outcome: Granted, Lease: a.leaseID(), Holder: self}, true
	}
	for _, l := range a.oldLeases {
		if l.HasReservation(w.requestID) {
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

// leases returns the current lease, if any, followed by the old ones. The caller holds mu.
func (a *account) leases() []*heldLease {
	if a.lease == nil {
		return a.oldLeases
	}
	return append([]*heldLease{a.lease}, a.oldLeases...)
}

// findLease returns the lease with the given ID, or nil. The caller holds mu.
func (a *account) findLease(id string) *heldLease {
	if a.lease != nil && a.lease.ID() == id {
		return a.lease
	}
	for _, l := range a.oldLeases {
		if l.ID() == id {
			return l
		}
	}
	return nil
}

// grantWaiters grants waiting requests in order until the tokens are insufficient. The caller holds mu.
func (a *account) grantWaiters(now time.Time, self string) {
	for len(a.waiters) > 0 {
		r, ok := a.tryReserve(a.waiters[0], now, self)
		if !ok {
			return
		}
		a.waiters[0].result <- r
		a.waiters = a.waiters[1:]
	}
}

// refuse ends the wait of a request with r. It returns false if the request no longer waits. The caller holds mu.
func (a *account) refuse(w *waiter, r Reservation) bool {
	for i := range a.waiters {
		if a.waiters[i] == w {
			a.waiters = append(a.waiters[:i:i], a.waiters[i+1:]...)
			w.result <- r
			return true
		}
	}
	return false
}

// waitingTokens returns the sum of the bounds of all waiting requests. The caller holds mu.
func (a *account) waitingTokens() budget.Tokens {
	var sum budget.Tokens
	for _, w := range a.waiters {
		sum += w.bound
	}
	return sum
}

// headroom returns by how many tokens the lease's limit should exceed its use: the demand over t or twice the largest
// recent bound, whichever is larger, plus the bounds of waiting requests. The caller holds mu.
func (a *account) headroom(t time.Duration) budget.Tokens {
	return max(a.demand.Over(t), 2*a.demand.LargestBound()) + a.waitingTokens()
}

// retireLease removes the current lease and keeps it in oldLeases if it has open requests or queued records. The caller
// holds mu.
func (a *account) retireLease() {
	if a.lease == nil {
		return
	}
	if a.lease.OpenRequests() > 0 || a.lease.queuedTokens > 0 {
		a.oldLeases = append(a.oldLeases, a.lease)
	}
	a.lease = nil
}

// pruneOldLeases removes old leases without open requests and queued records. The caller holds mu.
func (a *account) pruneOldLeases() {
	kept := a.oldLeases[:0]
	for _, l := range a.oldLeases {
		if l.OpenRequests() > 0 || l.queuedTokens > 0 {
			kept = append(kept, l)
		}
	}
	clear(a.oldLeases[len(kept):])
	a.oldLeases = kept
}
