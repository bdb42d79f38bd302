package quota

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"pumiceshelf/api"
	"pumiceshelf/budget"
)

// requestTracker is the entry instance's state: requests with reservations at holders, and settlements that are not yet
// durable.
type requestTracker struct {
	m        *Manager
	attempts atomic.Uint64

	mu           sync.Mutex
	openRequests map[string]*openRequest
	// deliveries are settlements that a holder has not yet confirmed as durable.
	deliveries map[*delivery]struct{}
	// byAttempt indexes the deliveries to the leases' own holders by attempt number.
	byAttempt map[uint64]*delivery
	// durableBelow is the sequence below which each holder last reported all its segments durable.
	durableBelow map[string]uint64
}

// openRequest is a request with a reservation, or with one in progress.
type openRequest struct {
	attempt uint64
	lease   string
	holder  string
	// ready is closed when reservation is set; nil unless another call waits for it.
	ready       chan struct{}
	reservation Reservation
	// mirrorInstances are the instances that may have a mirror of the request.
	mirrorInstances []string
	// settling is set when the request has ended and its settlement is not yet passed on.
	settling bool
}

// delivery is a settlement sent to a holder. It is kept until the holder's usage record is durable.
type delivery struct {
	item   *api.SettleItem
	holder string
	// confirmed is closed, once, when a holder has the record or delivery is given up.
	confirmed   chan struct{}
	confirmOnce *sync.Once
	// sequence is the holder's segment for the record. accepted is set when a holder has the record, inFlight while it is
	// being sent.
	sequence uint64
	accepted bool
	inFlight bool
	// adopted is set when the record was passed to another holder because the lease's own holder is missing. The delivery to
	// the missing holder is kept: if that holder returns, it must charge the request and not release it.
	adopted bool
}

// confirm ends the wait for the settlement.
func (d *delivery) confirm() { d.confirmOnce.Do(func() { close(d.confirmed) }) }

func newRequestTracker(m *Manager) *requestTracker {
	return &requestTracker{
		m:            m,
		openRequests: make(map[string]*openRequest),
		deliveries:   make(map[*delivery]struct{}),
		byAttempt:    make(map[uint64]*delivery),
		durableBelow: make(map[string]uint64),
	}
}

// begin returns the open request with the given ID, and whether this call opened it.
func (t *requestTracker) begin(requestID string) (*openRequest, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if o := t.openRequests[requestID]; o != nil {
		return o, false
	}
	o := &openRequest{attempt: t.attempts.Add(1)}
	t.openRequests[requestID] = o
	return o, true
}

// renewAttempt assigns an open request a new attempt number, for use with another holder.
func (t *requestTracker) renewAttempt(requestID string) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	o := t.openRequests[requestID]
	o.attempt = t.attempts.Add(1)
	return o.attempt
}

// publish sets the result of a reservation, notifies callers that wait for it, and removes a refused request.
func (t *requestTracker) publish(requestID string, o *openRequest, r Reservation) {
	t.mu.Lock()
	defer t.mu.Unlock()
	o.reservation, o.lease, o.holder = r, r.Lease, r.Holder
	if o.ready != nil {
		close(o.ready)
	}
	if r.Outcome != Granted {
		delete(t.openRequests, requestID)
	}
}

// await waits for the result of a reservation that another call is making.
func (t *requestTracker) await(ctx context.Context, o *openRequest) Reservation {
	t.mu.Lock()
	if o.reservation.Outcome != 0 {
		defer t.mu.Unlock()
		return o.reservation
	}
	if o.ready == nil {
		o.ready = make(chan struct{})
	}
	ready := o.ready
	t.mu.Unlock()
	select {
	case <-ready:
		return o.reservation
	case <-ctx.Done():
		return Reservation{Outcome: Unavailable}
	}
}

// beginSettling marks an open request as settling, or returns nil if it was settled before. The request stays open until
// its settlement is passed on: a holder that queries it in between must not release a reservation that will be charged.
func (t *requestTracker) beginSettling(requestID string) *openRequest {
	t.mu.Lock()
	defer t.mu.Unlock()
	o := t.openRequests[requestID]
	if o == nil || o.reservation.Outcome == 0 || o.settling {
		return nil
	}
	o.settling = true
	return o
}

// removeRequest removes a request whose settlement is at a holder or in a delivery.
func (t *requestTracker) removeRequest(requestID string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.openRequests, requestID)
}

// isOpen reports whether an attempt of this instance may still run or has a settlement that no holder has accepted.
func (t *requestTracker) isOpen(requestID string, attempt uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if o := t.openRequests[requestID]; o != nil && o.attempt == attempt {
		return true
	}
	d := t.byAttempt[attempt]
	return d != nil && !d.accepted && d.item.Record.RequestId == requestID
}

// removeDelivery removes a delivery. The caller holds mu.
func (t *requestTracker) removeDelivery(d *delivery) {
	delete(t.deliveries, d)
	if t.byAttempt[d.item.Attempt] == d {
		delete(t.byAttempt, d.item.Attempt)
	}
}

// deliver queues a settlement for a holder and keeps it until it is durable.
func (t *requestTracker) deliver(item *api.SettleItem, holder string) *delivery {
	d := &delivery{item: item, holder: holder, confirmed: make(chan struct{}), confirmOnce: new(sync.Once), inFlight: true}
	t.mu.Lock()
	t.deliveries[d] = struct{}{}
	t.byAttempt[item.Attempt] = d
	t.mu.Unlock()
	t.m.link(holder).settles.add(d)
	return d
}

// handleAccepted records that a holder has accepted a batch, and removes the deliveries that need no further tracking.
func (t *requestTracker) handleAccepted(batch []*delivery, result *api.SettleBatchResult) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i, d := range batch {
		d.inFlight = false
		d.accepted = true
		d.confirm()
		d.sequence = result.Segment
		// A duplicate is kept as well: the first response may have been lost, and the holder's record may not be
		// durable yet.
		unknown := result.Outcomes[i] == api.SettleOutcome_SETTLE_OUTCOME_UNKNOWN_LEASE
		if !d.item.Ran || unknown || result.Segment < result.DurableBelow {
			t.removeDelivery(d)
		}
	}
}

// removeDurable removes the deliveries whose records are in a holder's segments below a sequence.
func (t *requestTracker) removeDurable(holder string, below uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if below <= t.durableBelow[holder] {
		return
	}
	t.durableBelow[holder] = below
	for d := range t.deliveries {
		if d.accepted && d.holder == holder && d.sequence < below {
			t.removeDelivery(d)
		}
	}
}

// markFailed records that sending a batch failed.
func (t *requestTracker) markFailed(batch []*delivery) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, d := range batch {
		d.inFlight = false
	}
}

// resend sends unaccepted settlements again, queries holders for the durability of accepted ones, and passes records for
// missing holders to the budgets' current owners.
func (t *requestTracker) resend() {
	live := t.m.liveIncarnations()
	now := t.m.cfg.Clock.Now()
	var retries, orphaned []*delivery
	holdersToQuery := make(map[string]bool)
	t.mu.Lock()
	for d := range t.deliveries {
		switch {
		case d.inFlight:
		case !live[d.holder]:
			orphaned = append(orphaned, d)
		case !d.accepted:
			d.inFlight = true
			retries = append(retries, d)
		default:
			holdersToQuery[d.holder] = true
		}
	}
	t.mu.Unlock()
	for _, d := range retries {
		t.m.counters.resent.Inc(1)
		t.m.link(d.holder).settles.add(d)
	}
	for _, d := range orphaned {
		t.reassign(d, t.m.absences.duration(d.holder, live, now))
	}
	for holder := range holdersToQuery {
		t.m.link(holder).settles.add(nil)
	}
}

// reassign passes the record for a missing holder's lease to the budget's current owner, once. A release is not
// passed on, because it charges nothing. The delivery is removed after settlementRetention.
func (t *requestTracker) reassign(d *delivery, missing time.Duration) {
	t.mu.Lock()
	firstTime := !d.adopted
	d.adopted = true
	if d.item.Adopt || missing >= settlementRetention || !d.item.Ran {
		d.confirm()
	}
	if d.item.Adopt || missing >= settlementRetention {
		t.removeDelivery(d)
	}
	t.mu.Unlock()
	if firstTime && d.item.Ran {
		t.m.counters.resent.Inc(1)
		t.adopt(d)
	}
}

// adopt has the budget's current owner store the record of a delivery.
func (t *requestTracker) adopt(d *delivery) {
	rec := d.item.Record
	item := &api.SettleItem{Record: rec, Attempt: d.item.Attempt, Ran: true, Adopt: true}
	owner := t.m.owner(budget.ID{Customer: rec.Customer, Budget: rec.Budget})
	if owner == t.m.self {
		t.m.holder.settle(item, t.m.self)
		d.confirm()
		return
	}
	adoption := &delivery{item: item, holder: owner, confirmed: d.confirmed, confirmOnce: d.confirmOnce, inFlight: true}
	t.mu.Lock()
	t.deliveries[adoption] = struct{}{}
	t.mu.Unlock()
	t.m.link(owner).settles.add(adoption)
}

// undeliveredCount returns the number of settlements that no holder has accepted and that were not passed to another one.
func (t *requestTracker) undeliveredCount() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for d := range t.deliveries {
		if !d.accepted && !d.adopted {
			n++
		}
	}
	return n
}

// reserveRemote reserves at the holder of a budget. It returns false if the holder did not respond or does not hold the
// budget.
func (t *requestTracker) reserveRemote(ctx context.Context, holder string, w *waiter, id budget.ID) (Reservation, bool) {
	item := &api.ReserveItem{
		RequestId:   w.requestID,
		Customer:    id.Customer,
		Budget:      id.Budget,
		BoundTokens: uint64(w.bound),
		Model:       w.model,
		WaitMs:      uint32(w.deadline.Sub(w.since).Milliseconds()),
		Attempt:     w.attempt.Number,
	}
	l := t.m.link(holder)
	res := l.reserve(ctx, item)
	if res != nil && res.Outcome == api.ReserveOutcome_RESERVE_OUTCOME_PENDING {
		res = l.reserveWaiting(ctx, item, w.deadline.Sub(w.since))
	}
	if res == nil {
		t.m.counters.holderRetry.Inc(1)
		t.releaseUnconfirmed(item, holder)
		return Reservation{}, false
	}
	if res.Outcome == api.ReserveOutcome_RESERVE_OUTCOME_NOT_HOLDER {
		t.m.counters.notHolder.Inc(1)
		return Reservation{}, false
	}
	return Reservation{
		Outcome:    outcomeFromProto(res.Outcome),
		Lease:      res.Lease,
		Holder:     res.Holder,
		RetryAfter: time.Duration(res.RetryAfterMs) * time.Millisecond,
	}, true
}

// releaseUnconfirmed releases what a holder may have reserved in a call without a response.
func (t *requestTracker) releaseUnconfirmed(item *api.ReserveItem, holder string) {
	rec := &api.UsageRecord{RequestId: item.RequestId, Customer: item.Customer, Budget: item.Budget}
	t.deliver(&api.SettleItem{Record: rec, Attempt: item.Attempt}, holder)
}

func outcomeFromProto(o api.ReserveOutcome) Outcome {
	switch o {
	case api.ReserveOutcome_RESERVE_OUTCOME_GRANTED:
		return Granted
	case api.ReserveOutcome_RESERVE_OUTCOME_EXHAUSTED:
		return Exhausted
	case api.ReserveOutcome_RESERVE_OUTCOME_UNKNOWN_BUDGET:
		return UnknownBudget
	default:
		return Unavailable
	}
}
