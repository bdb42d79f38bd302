package quota

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"pumiceshelf/api"
	"pumiceshelf/budget"
)

// holder keeps the accounts of budgets that this instance holds leases of.
type holder struct {
	m        *Manager
	accounts sync.Map // budget.ID to *account
	mu       sync.Mutex
	books    map[string]*ledgerBook // by customer
	leases   atomic.Uint64          // numbers the leases of this incarnation
	events   atomic.Uint64          // numbers calls to the platform and reservations that wait
	inUse    atomic.Int64           // ledgers in use at the last look
	draining atomic.Bool
	kicks    chan struct{}
}

func newHolder(m *Manager) *holder {
	return &holder{m: m, books: make(map[string]*ledgerBook), kicks: make(chan struct{}, 1)}
}

// account returns the account of a budget in force, which it opens if need be, or nil.
func (h *holder) account(id budget.ID) *account {
	if a, ok := h.accounts.Load(id); ok {
		return a.(*account)
	}
	granted, ok := h.m.grantedTotal(id)
	if !ok {
		return nil
	}
	a := newAccount(id)
	a.granted = granted
	got, loaded := h.accounts.LoadOrStore(id, a)
	if !loaded {
		h.book(id.Customer).add(a)
	}
	return got.(*account)
}

// book returns the customer's ledger as this instance knows it.
func (h *holder) book(customer string) *ledgerBook {
	h.mu.Lock()
	defer h.mu.Unlock()
	b := h.books[customer]
	if b == nil {
		b = newLedgerBook(h.m, customer)
		h.books[customer] = b
	}
	return b
}

// knownBook returns the customer's ledger if this instance has leases in it, or nil.
func (h *holder) knownBook(customer string) *ledgerBook {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.books[customer]
}

// settledGap is the time between writes of a ledger that only bring it up to date. It grows with the number of ledgers
// in use, so that the platform's load does not.
func (h *holder) settledGap() time.Duration {
	return time.Duration(max(settledInterval, settledPerLedger*h.inUse.Load())) * h.m.cfg.flushInterval()
}

func (h *holder) allBooks() []*ledgerBook {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := make([]*ledgerBook, 0, len(h.books))
	for _, b := range h.books {
		out = append(out, b)
	}
	return out
}

// kick wakes the loop that writes ledgers.
func (h *holder) kick() {
	select {
	case h.kicks <- struct{}{}:
	default:
	}
}

// reserve answers a reservation at once, or returns a waiter to wait for. wait false forbids waiting.
func (h *holder) reserve(w *waiter, id budget.ID, wait bool) (Reservation, *account, bool) {
	a := h.account(id)
	if a == nil {
		return Reservation{Outcome: UnknownBudget}, nil, true
	}
	now := w.since
	a.mu.Lock()
	defer a.mu.Unlock()
	a.demand.RecordBound(w.bound)
	if len(a.waiters) == 0 {
		if r, ok := a.reserve(w, now, h.m.self); ok {
			h.keepAhead(a)
			return r, a, true
		}
	}
	if w.bound > max(a.granted, h.refreshGranted(a)) {
		return Reservation{Outcome: Exhausted}, a, true
	}
	if !wait {
		return Reservation{}, a, false
	}
	w.event = h.events.Add(1)
	w.answer = make(chan Reservation, 1)
	a.waiters = append(a.waiters, w)
	h.m.counters.waited.Inc(1)
	h.keepAhead(a)
	h.book(id.Customer).judge(a, now)
	h.kick()
	return Reservation{}, a, false
}

func (h *holder) refreshGranted(a *account) budget.Tokens {
	if g, ok := h.m.grantedTotal(a.id); ok {
		a.granted = max(a.granted, g)
	}
	return a.granted
}

// wait returns the answer to a waiting request. The request's own deadline or context ends it.
func (h *holder) wait(ctx context.Context, w *waiter, a *account) Reservation {
	timer := h.m.cfg.Clock.NewTimer(w.deadline.Sub(w.since))
	defer timer.Stop()
	select {
	case r := <-w.answer:
		return r
	case <-timer.Chan():
	case <-ctx.Done():
	}
	a.mu.Lock()
	h.book(a.id.Customer).giveUp(a, w)
	a.mu.Unlock()
	return <-w.answer
}

// keepAhead sees to it that authority stays ahead of use. The caller holds a.mu.
func (h *holder) keepAhead(a *account) {
	l := a.lease
	if l == nil || !l.Usable() {
		a.short = a.short || len(a.waiters) > 0
		return
	}
	ahead := a.ahead(h.m.cfg.ceilingAhead())
	if l.Limit() >= l.Used()+ahead/2 && len(a.waiters) == 0 {
		return
	}
	if total := l.AcknowledgementTarget(ahead); total > 0 && h.m.cfg.acknowledges() {
		if !a.asking {
			a.asking = true
			h.m.askWitness(a, l, total, 0)
		}
		return
	}
	if !a.short && l.Limit() < l.Acquired() || len(a.waiters) > 0 || l.Acquired() < l.Used()+ahead {
		a.short = true
		h.kick()
	}
}

// settle bills or releases one attempt and queues its record.
func (h *holder) settle(item *api.SettleItem, from string) (api.SettleOutcome, uint64) {
	rec := item.Record
	id := budget.ID{Customer: rec.Customer, Budget: rec.Budget}
	if item.Adopt {
		h.m.counters.adopted.Inc(1)
		return api.SettleOutcome_SETTLE_OUTCOME_SETTLED, h.m.segments.add(queued{record: rec})
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
		h.release(a, rec.RequestId, attempt, now)
		return api.SettleOutcome_SETTLE_OUTCOME_SETTLED, 0
	}
	l := a.held(rec.Lease)
	if l == nil {
		h.m.counters.duplicate.Inc(1)
		return api.SettleOutcome_SETTLE_OUTCOME_DUPLICATE, h.m.segments.last()
	}
	usage := budget.Tokens(rec.PromptTokens) + budget.Tokens(rec.GeneratedTokens)
	charge, ok := l.Settle(rec.RequestId, attempt, usage)
	if !ok {
		h.m.counters.duplicate.Inc(1)
		return api.SettleOutcome_SETTLE_OUTCOME_DUPLICATE, h.m.segments.last()
	}
	return api.SettleOutcome_SETTLE_OUTCOME_SETTLED, h.record(a, l, rec, charge, usage, now)
}

// release ends an attempt that did not run, under whatever lease it was reserved. The caller holds a.mu.
func (h *holder) release(a *account, requestID string, attempt budget.Attempt, now time.Time) {
	for _, l := range a.leases() {
		if l.Release(requestID, attempt) {
			h.m.counters.released.Inc(1)
			a.grantWaiters(now, h.m.self)
		}
	}
}

// record queues the record of a bill. The caller holds a.mu.
func (h *holder) record(a *account, l *heldLease, rec *api.UsageRecord, charge, usage budget.Tokens, now time.Time) uint64 {
	if usage > charge {
		h.m.counters.overBound.Inc(1)
		rec.PromptTokens = min(rec.PromptTokens, uint64(charge))
		rec.GeneratedTokens = uint64(charge) - rec.PromptTokens
	}
	a.recent.Add(rec.RequestId, now.UnixMilli())
	a.demand.Add(charge)
	l.queued += charge
	l.checkRecords()
	h.m.counters.settled.Inc(1)
	sequence := h.m.segments.add(queued{record: rec, account: a, lease: l, charge: charge})
	a.grantWaiters(now, h.m.self)
	return sequence
}
