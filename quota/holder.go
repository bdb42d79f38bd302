package quota

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"pumiceshelf/api"
	"pumiceshelf/budget"
)

// leaseHolder manages the accounts of budgets that this instance holds leases of.
type leaseHolder struct {
	m            *Manager
	accounts     sync.Map // budget.ID to *account
	mu           sync.Mutex
	ledgers      map[string]*ledgerCache // by customer
	leaseNumber  atomic.Uint64           // numbers the leases of this incarnation
	eventNumber  atomic.Uint64           // numbers calls to the object store and waiting reservations
	ledgersInUse atomic.Int64            // at the last tick
	draining     atomic.Bool
	writeSignal  chan struct{}
}

func newLeaseHolder(m *Manager) *leaseHolder {
	return &leaseHolder{m: m, ledgers: make(map[string]*ledgerCache), writeSignal: make(chan struct{}, 1)}
}

// account returns the account of a budget, and creates it if needed. It returns nil if the active bundle does not define
// the budget.
func (h *leaseHolder) account(id budget.ID) *account {
	if a, ok := h.accounts.Load(id); ok {
		return a.(*account)
	}
	granted, ok := h.m.grantedTotal(id)
	if !ok {
		return nil
	}
	a := newAccount(id)
	a.granted = granted
	stored, loaded := h.accounts.LoadOrStore(id, a)
	if !loaded {
		h.ledger(id.Customer).add(a)
	}
	return stored.(*account)
}

// ledger returns the cache of a customer's ledger, and creates it if needed.
func (h *leaseHolder) ledger(customer string) *ledgerCache {
	h.mu.Lock()
	defer h.mu.Unlock()
	c := h.ledgers[customer]
	if c == nil {
		c = newLedgerCache(h.m, customer)
		h.ledgers[customer] = c
	}
	return c
}

// existingLedger returns the cache of a customer's ledger, or nil if this instance has no account of the customer.
func (h *leaseHolder) existingLedger(customer string) *ledgerCache {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.ledgers[customer]
}

// routineWriteInterval returns the time between routine writes of a ledger. It grows with the number of ledgers in use, so
// that the load on the object store does not.
func (h *leaseHolder) routineWriteInterval() time.Duration {
	return time.Duration(max(routineWriteFlushes, routineWriteFlushesPerLedger*h.ledgersInUse.Load())) * h.m.cfg.flushInterval()
}

func (h *leaseHolder) allLedgers() []*ledgerCache {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := make([]*ledgerCache, 0, len(h.ledgers))
	for _, c := range h.ledgers {
		out = append(out, c)
	}
	return out
}

// signalWrite notifies the loop that writes ledgers.
func (h *leaseHolder) signalWrite() {
	select {
	case h.writeSignal <- struct{}{}:
	default:
	}
}

// reserve returns the result of a reservation and true if it can be decided immediately. Otherwise it returns false and,
// if wait is set, queues w in the returned account.
func (h *leaseHolder) reserve(w *waiter, id budget.ID, wait bool) (Reservation, *account, bool) {
	a := h.account(id)
	if a == nil {
		return Reservation{Outcome: UnknownBudget}, nil, true
	}
	now := w.since
	a.mu.Lock()
	defer a.mu.Unlock()
	a.demand.RecordBound(w.bound)
	if len(a.waiters) == 0 {
		if r, ok := a.tryReserve(w, now, h.m.self); ok {
			h.ensureHeadroom(a)
			return r, a, true
		}
	}
	if w.bound > max(a.granted, h.raiseGranted(a)) {
		return Reservation{Outcome: Exhausted}, a, true
	}
	if !wait {
		return Reservation{}, a, false
	}
	w.eventNumber = h.eventNumber.Add(1)
	w.result = make(chan Reservation, 1)
	a.waiters = append(a.waiters, w)
	h.m.counters.waited.Inc(1)
	h.ensureHeadroom(a)
	h.ledger(id.Customer).refuseWaiters(a, now)
	h.signalWrite()
	return Reservation{}, a, false
}

// raiseGranted raises the account's granted total to that of the active bundle and returns it. A lower total is ignored.
// The caller holds a.mu.
func (h *leaseHolder) raiseGranted(a *account) budget.Tokens {
	if g, ok := h.m.grantedTotal(a.id); ok {
		a.granted = max(a.granted, g)
	}
	return a.granted
}

// wait returns the result of a waiting request. The request's deadline or context ends the wait.
func (h *leaseHolder) wait(ctx context.Context, w *waiter, a *account) Reservation {
	timer := h.m.cfg.Clock.NewTimer(w.deadline.Sub(w.since))
	defer timer.Stop()
	select {
	case r := <-w.result:
		return r
	case <-timer.Chan():
	case <-ctx.Done():
	}
	a.mu.Lock()
	h.ledger(a.id.Customer).refuseExpired(a, w)
	a.mu.Unlock()
	return <-w.result
}

// ensureHeadroom requests a higher limit for the lease if less than half of the headroom is left or requests wait: from
// witnesses if possible, otherwise by a ledger write. The caller holds a.mu.
func (h *leaseHolder) ensureHeadroom(a *account) {
	l := a.lease
	if l == nil || !l.Usable() {
		a.needsWrite = a.needsWrite || len(a.waiters) > 0
		return
	}
	headroom := a.headroom(h.m.cfg.ceilingAhead())
	if l.Limit() >= l.Used()+headroom/2 && len(a.waiters) == 0 {
		return
	}
	if total := l.AcknowledgementTarget(headroom); total > 0 && h.m.cfg.usesWitnesses() {
		if !a.acknowledging {
			a.acknowledging = true
			h.m.requestAcknowledgement(a, l, total, 0)
		}
		return
	}
	if !a.needsWrite && l.Limit() < l.Acquired() || len(a.waiters) > 0 || l.Acquired() < l.Used()+headroom {
		a.needsWrite = true
		h.signalWrite()
	}
}

// settle charges one attempt and queues its usage record, or releases the attempt if it did not run. The sequence that it
// returns is that of the segment that will hold the record, or a later one; it is zero if there is no record.
func (h *leaseHolder) settle(item *api.SettleItem, from string) (api.SettleOutcome, uint64) {
	rec := item.Record
	id := budget.ID{Customer: rec.Customer, Budget: rec.Budget}
	if item.Adopt {
		h.m.counters.adopted.Inc(1)
		return api.SettleOutcome_SETTLE_OUTCOME_SETTLED, h.m.segments.add(queuedRecord{record: rec})
	}
	v, ok := h.accounts.Load(id)
	if !ok {
		return api.SettleOutcome_SETTLE_OUTCOME_UNKNOWN_LEASE, 0
	}
	a := v.(*account)
	now := h.m.cfg.Clock.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	attempt := budget.Attempt{Incarnation: from, Number: item.Attempt}
	if !item.Ran {
		h.releaseAttempt(a, rec.RequestId, attempt, now)
		return api.SettleOutcome_SETTLE_OUTCOME_SETTLED, 0
	}
	l := a.findLease(rec.Lease)
	if l == nil {
		h.m.counters.duplicate.Inc(1)
		return api.SettleOutcome_SETTLE_OUTCOME_DUPLICATE, h.m.segments.lastSequence()
	}
	usage := budget.Tokens(rec.PromptTokens) + budget.Tokens(rec.GeneratedTokens)
	charge, ok := l.Settle(rec.RequestId, attempt, usage)
	if !ok {
		h.m.counters.duplicate.Inc(1)
		return api.SettleOutcome_SETTLE_OUTCOME_DUPLICATE, h.m.segments.lastSequence()
	}
	return api.SettleOutcome_SETTLE_OUTCOME_SETTLED, h.recordCharge(a, l, rec, charge, usage, now)
}

// releaseAttempt releases an attempt that did not run from all leases of the account. The caller holds a.mu.
func (h *leaseHolder) releaseAttempt(a *account, requestID string, attempt budget.Attempt, now time.Time) {
	for _, l := range a.leases() {
		if l.Release(requestID, attempt) {
			h.m.counters.released.Inc(1)
			a.grantWaiters(now, h.m.self)
		}
	}
}

// recordCharge queues the usage record of a charge, limited to the charge if the usage exceeds it. The caller holds a.mu.
func (h *leaseHolder) recordCharge(a *account, l *heldLease, rec *api.UsageRecord, charge, usage budget.Tokens, now time.Time) uint64 {
	if usage > charge {
		h.m.counters.overBound.Inc(1)
		rec.PromptTokens = min(rec.PromptTokens, uint64(charge))
		rec.GeneratedTokens = uint64(charge) - rec.PromptTokens
	}
	a.recentlySettled.Add(rec.RequestId, now.UnixMilli())
	a.demand.Add(charge)
	l.queuedTokens += charge
	l.checkRecords()
	h.m.counters.settled.Inc(1)
	sequence := h.m.segments.add(queuedRecord{record: rec, account: a, lease: l, charge: charge})
	a.grantWaiters(now, h.m.self)
	return sequence
}
