package quota

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"pumiceshelf/api"
	"pumiceshelf/budget"
)

// entry is the requests' side: what this instance has reserved with holders, and settlements that are on their way.
type entry struct {
	m        *Manager
	attempts atomic.Uint64

	mu   sync.Mutex
	open map[string]*openRequest
	// sent are settlements that a holder has not yet confirmed as durable.
	sent map[*delivery]struct{}
	// byAttempt finds the deliveries to the leases' own holders.
	byAttempt map[uint64]*delivery
	// durableBelow is the newest word of each holder on its durable segments.
	durableBelow map[string]uint64
}

// openRequest is a request with a reservation, or one that is being reserved.
type openRequest struct {
	attempt uint64
	lease   string
	holder  string
	ready   chan struct{}
	answer  Reservation
	// mirrors are the witnesses that may keep the request.
	mirrors []string
	// ending says that the request is over and its settlement not handed over yet.
	ending bool
}

// delivery is a settlement on its way to its holder. It is kept until the holder's record is durable.
type delivery struct {
	item   *api.SettleItem
	holder string
	// confirmed is closed, once, when a holder has the record.
	confirmed chan struct{}
	once      *sync.Once
	// sequence is the holder's segment for the record, kept says that a holder has it, flying that it is being sent.
	sequence uint64
	kept     bool
	flying   bool
	// adopted says that another holder was given the record, because the lease's own one is missing. The delivery stays
	// for the own holder: if it comes back it must bill the request and not release it.
	adopted bool
}

// tell ends the wait for the settlement.
func (d *delivery) tell() { d.once.Do(func() { close(d.confirmed) }) }

func newEntry(m *Manager) *entry {
	return &entry{
		m:            m,
		open:         make(map[string]*openRequest),
		sent:         make(map[*delivery]struct{}),
		byAttempt:    make(map[uint64]*delivery),
		durableBelow: make(map[string]uint64),
	}
}

// begin returns the open request with the id, and whether it was opened just now.
func (e *entry) begin(requestID string) (*openRequest, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if o := e.open[requestID]; o != nil {
		return o, false
	}
	o := &openRequest{attempt: e.attempts.Add(1)}
	e.open[requestID] = o
	return o, true
}

// renew gives an open request another attempt number, for another holder.
func (e *entry) renew(requestID string) uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	o := e.open[requestID]
	o.attempt = e.attempts.Add(1)
	return o.attempt
}

// finish publishes the answer to a reservation and forgets a refused one.
func (e *entry) finish(requestID string, o *openRequest, r Reservation) {
	e.mu.Lock()
	defer e.mu.Unlock()
	o.answer, o.lease, o.holder = r, r.Lease, r.Holder
	if o.ready != nil {
		close(o.ready)
	}
	if r.Outcome != Granted {
		delete(e.open, requestID)
	}
}

// join waits for the answer to a reservation that another call makes.
func (e *entry) join(ctx context.Context, o *openRequest) Reservation {
	e.mu.Lock()
	if o.answer.Outcome != 0 {
		defer e.mu.Unlock()
		return o.answer
	}
	if o.ready == nil {
		o.ready = make(chan struct{})
	}
	ready := o.ready
	e.mu.Unlock()
	select {
	case <-ready:
		return o.answer
	case <-ctx.Done():
		return Reservation{Outcome: OutOfReach}
	}
}

// end begins the end of an open request, or returns nil if it was settled before. The request stays known until its
// settlement is handed over: a holder that asks in between must not release a reservation whose bill is on its way.
func (e *entry) end(requestID string) *openRequest {
	e.mu.Lock()
	defer e.mu.Unlock()
	o := e.open[requestID]
	if o == nil || o.answer.Outcome == 0 || o.ending {
		return nil
	}
	o.ending = true
	return o
}

// handedOver takes out a request whose settlement a holder has or a delivery keeps.
func (e *entry) handedOver(requestID string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.open, requestID)
}

// isOpen says whether an attempt of this instance may still run or has a settlement on its way.
func (e *entry) isOpen(requestID string, attempt uint64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if o := e.open[requestID]; o != nil && o.attempt == attempt {
		return true
	}
	d := e.byAttempt[attempt]
	return d != nil && !d.kept && d.item.Record.RequestId == requestID
}

// remove forgets a delivery. The caller holds mu.
func (e *entry) remove(d *delivery) {
	delete(e.sent, d)
	if e.byAttempt[d.item.Attempt] == d {
		delete(e.byAttempt, d.item.Attempt)
	}
}

// deliver sends a settlement to a holder and keeps it until it is durable.
func (e *entry) deliver(item *api.SettleItem, holder string) *delivery {
	d := &delivery{item: item, holder: holder, confirmed: make(chan struct{}), once: new(sync.Once), flying: true}
	e.mu.Lock()
	e.sent[d] = struct{}{}
	e.byAttempt[item.Attempt] = d
	e.mu.Unlock()
	e.m.link(holder).settles.add(d)
	return d
}

// kept notes that a holder has the records, and forgets those that are durable.
func (e *entry) kept(batch []*delivery, result *api.SettleBatchResult) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for i, d := range batch {
		d.flying = false
		d.kept = true
		d.tell()
		d.sequence = result.Segment
		// A duplicate is kept as well: the first answer may be lost, and the holder's record not durable yet.
		unknown := result.Outcomes[i] == api.SettleOutcome_SETTLE_OUTCOME_UNKNOWN_LEASE
		if !d.item.Ran || unknown || result.Segment < result.DurableBelow {
			e.remove(d)
		}
	}
}

// durable forgets the settlements that a holder has on record below a sequence.
func (e *entry) durable(holder string, below uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if below <= e.durableBelow[holder] {
		return
	}
	e.durableBelow[holder] = below
	for d := range e.sent {
		if d.kept && d.holder == holder && d.sequence < below {
			e.remove(d)
		}
	}
}

// failed notes that a batch did not reach its holder.
func (e *entry) failed(batch []*delivery) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, d := range batch {
		d.flying = false
	}
}

// resend repeats settlements that are not confirmed, asks holders how far their records are durable, and gives the
// records of missing holders' leases to the budgets' present holders.
func (e *entry) resend() {
	live := e.m.liveIncarnations()
	now := e.m.cfg.Clock.Now()
	var again, orphaned []*delivery
	ask := make(map[string]bool)
	e.mu.Lock()
	for d := range e.sent {
		switch {
		case d.flying:
		case !live[d.holder]:
			orphaned = append(orphaned, d)
		case !d.kept:
			d.flying = true
			again = append(again, d)
		default:
			ask[d.holder] = true
		}
	}
	e.mu.Unlock()
	for _, d := range again {
		e.m.counters.resent.Inc(1)
		e.m.link(d.holder).settles.add(d)
	}
	for _, d := range orphaned {
		e.rehome(d, e.m.absences.of(d.holder, live, now))
	}
	for holder := range ask {
		e.m.link(holder).settles.add(nil)
	}
}

// rehome gives the record of a missing holder's lease to the budget's present holder. A release needs no other holder.
func (e *entry) rehome(d *delivery, missing time.Duration) {
	e.mu.Lock()
	first := !d.adopted
	d.adopted = true
	if d.item.Adopt || missing >= recordKeep || !d.item.Ran {
		d.tell()
	}
	if d.item.Adopt || missing >= recordKeep {
		e.remove(d)
	}
	e.mu.Unlock()
	if first && d.item.Ran {
		e.m.counters.resent.Inc(1)
		e.adopt(d)
	}
}

// adopt has the budget's present holder keep a record.
func (e *entry) adopt(d *delivery) {
	rec := d.item.Record
	item := &api.SettleItem{Record: rec, Attempt: d.item.Attempt, Ran: true, Adopt: true}
	owner := e.m.owner(budget.ID{Customer: rec.Customer, Budget: rec.Budget})
	if owner == e.m.self {
		e.m.holder.settle(item, e.m.self)
		d.tell()
		return
	}
	c := &delivery{item: item, holder: owner, confirmed: d.confirmed, once: d.once, flying: true}
	e.mu.Lock()
	e.sent[c] = struct{}{}
	e.mu.Unlock()
	e.m.link(owner).settles.add(c)
}

// undelivered returns the number of settlements that no holder has confirmed or was given.
func (e *entry) undelivered() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for d := range e.sent {
		if !d.kept && !d.adopted {
			n++
		}
	}
	return n
}

// reserveRemote asks the holder of a budget. It returns false if the holder did not answer or does not hold the budget.
func (e *entry) reserveRemote(ctx context.Context, holder string, w *waiter, id budget.ID) (Reservation, bool) {
	item := &api.ReserveItem{
		RequestId:   w.requestID,
		Customer:    id.Customer,
		Budget:      id.Budget,
		BoundTokens: uint64(w.bound),
		Model:       w.model,
		WaitMs:      uint32(w.deadline.Sub(w.since).Milliseconds()),
		Attempt:     w.attempt.Number,
	}
	l := e.m.link(holder)
	res := l.reserve(ctx, item)
	if res != nil && res.Outcome == api.ReserveOutcome_RESERVE_OUTCOME_PENDING {
		res = l.reserveWaiting(ctx, item, w.deadline.Sub(w.since))
	}
	if res == nil {
		e.m.counters.holderRetry.Inc(1)
		e.releaseUnknown(item, holder)
		return Reservation{}, false
	}
	if res.Outcome == api.ReserveOutcome_RESERVE_OUTCOME_NOT_HOLDER {
		e.m.counters.notHolder.Inc(1)
		return Reservation{}, false
	}
	return Reservation{
		Outcome:    outcomeOf(res.Outcome),
		Lease:      res.Lease,
		Holder:     res.Holder,
		RetryAfter: time.Duration(res.RetryAfterMs) * time.Millisecond,
	}, true
}

// releaseUnknown releases what a holder may have reserved in a call whose answer was lost.
func (e *entry) releaseUnknown(item *api.ReserveItem, holder string) {
	rec := &api.UsageRecord{RequestId: item.RequestId, Customer: item.Customer, Budget: item.Budget}
	e.deliver(&api.SettleItem{Record: rec, Attempt: item.Attempt}, holder)
}

func outcomeOf(o api.ReserveOutcome) Outcome {
	switch o {
	case api.ReserveOutcome_RESERVE_OUTCOME_GRANTED:
		return Granted
	case api.ReserveOutcome_RESERVE_OUTCOME_EXHAUSTED:
		return Exhausted
	case api.ReserveOutcome_RESERVE_OUTCOME_UNKNOWN_BUDGET:
		return UnknownBudget
	default:
		return OutOfReach
	}
}
