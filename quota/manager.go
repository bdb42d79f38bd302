package quota

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"pumiceshelf/api"
	"pumiceshelf/budget"
)

// Manager is the Reserver of an instance. It holds leases of the budgets that the instance owns in its failure domain and
// reserves from other budgets at their holders. It also acknowledges and reclaims leases of other instances.
type Manager struct {
	cfg            Config
	self           string
	domain         string
	counters       *counters
	requests       *requestTracker
	holder         *leaseHolder
	segments       *segmentWriter
	absences       *absenceTracker
	breaker        *circuitBreaker
	mirrorRemovals mirrorRemovals
	mirrorStore    *mirrorStore

	witnessMu sync.Mutex
	witness   *budget.Witness

	reclaimedMu sync.Mutex
	reclaimedAt map[string]time.Time // by customer

	links  sync.Map // incarnation to *link
	owners sync.Map // customer to *cachedOwner

	// backgroundCtx is the context of background calls. It is canceled when Run ends.
	backgroundCtx    context.Context
	cancelBackground context.CancelFunc
}

var _ Reserver = (*Manager)(nil)

// New returns a manager that serves immediately; Run does its background work.
func New(cfg Config) *Manager {
	ctx, cancel := context.WithCancel(context.Background())
	m := &Manager{
		cfg:              cfg,
		self:             cfg.Self.Incarnation,
		domain:           cfg.Self.Domain,
		counters:         newCounters(cfg.Metrics),
		absences:         newAbsenceTracker(),
		breaker:          &circuitBreaker{initialBackoff: cfg.flushInterval() / ticksPerFlush},
		witness:          budget.NewWitness(cfg.Self.Incarnation),
		reclaimedAt:      make(map[string]time.Time),
		mirrorStore:      newMirrorStore(),
		backgroundCtx:    ctx,
		cancelBackground: cancel,
	}
	m.requests = newRequestTracker(m)
	m.holder = newLeaseHolder(m)
	m.segments = newSegmentWriter(m.self, cfg.Store, m.counters)
	return m
}

// Run writes ledgers and usage records, resends settlements, folds usage segments, and settles the requests and reclaims
// the leases of lost instances, until ctx ends.
func (m *Manager) Run(ctx context.Context) error {
	defer m.cancelBackground()
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return m.runLedgerWrites(ctx) })
	g.Go(func() error { return m.loop(ctx, m.cfg.flushInterval(), nil, m.resend) })
	g.Go(func() error { return m.loop(ctx, segmentWriteFlushes*m.cfg.flushInterval(), nil, m.writeRecords) })
	g.Go(func() error { return m.loop(ctx, reclaimInterval, nil, m.reclaim) })
	g.Go(func() error { return m.loop(ctx, m.cfg.foldInterval(), nil, m.compact) })
	g.Go(func() error { return m.loop(ctx, m.cfg.orphanAfter()/orphanChecksPerTimeout, nil, m.resolveOrphans) })
	g.Go(func() error { return m.loop(ctx, m.cfg.orphanAfter()/orphanChecksPerTimeout, nil, m.chargeMirrored) })
	return g.Wait()
}

// loop calls work at each interval and each signal until ctx ends.
func (m *Manager) loop(ctx context.Context, interval time.Duration, signal <-chan struct{}, work func(context.Context)) error {
	ticker := m.cfg.Clock.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.Chan():
		case <-signal:
		}
		work(ctx)
	}
}

// runLedgerWrites writes ledgers until ctx ends. A slow write does not delay those of other customers.
func (m *Manager) runLedgerWrites(ctx context.Context) error {
	var writes errgroup.Group
	writes.SetLimit(maxConcurrentWrites)
	err := m.loop(ctx, m.cfg.flushInterval()/ticksPerFlush, m.holder.writeSignal, func(ctx context.Context) {
		m.startWrites(ctx, &writes)
	})
	_ = writes.Wait() // The functions return no errors.
	return err
}

// startWrites starts flushing the ledgers that are due, up to the limit of the group. The rest follow at a later tick.
func (m *Manager) startWrites(ctx context.Context, g *errgroup.Group) {
	now, routineInterval, inUse := m.cfg.Clock.Now(), m.holder.routineWriteInterval(), 0
	for _, c := range m.holder.allLedgers() {
		used, urgent := c.activity()
		if !used {
			continue
		}
		inUse++
		if c.isDue(now, urgent, routineInterval) {
			g.TryGo(func() error {
				c.flush(ctx)
				return nil
			})
		}
	}
	m.holder.ledgersInUse.Store(int64(inUse))
}

// writeLedgers flushes the ledgers that are due and waits for the writes.
func (m *Manager) writeLedgers(ctx context.Context) {
	var g errgroup.Group
	g.SetLimit(maxConcurrentWrites)
	m.startWrites(ctx, &g)
	_ = g.Wait() // The functions return no errors.
}

// resend sends unconfirmed settlements again and removes mirrors of requests whose records are durable.
func (m *Manager) resend(context.Context) {
	m.requests.resend()
	m.removeDurableMirrors()
}

// writeRecords writes the queued usage records. After a failure they stay queued.
func (m *Manager) writeRecords(ctx context.Context) {
	if err := m.segments.flush(ctx); err != nil {
		m.cfg.Log.Debugf("quota: usage records stay queued after a failed write: %v", err)
	}
}

// Reserve implements Reserver.
func (m *Manager) Reserve(ctx context.Context, r Request) Reservation {
	o, first := m.requests.begin(r.RequestID)
	if !first {
		return m.requests.await(ctx, o)
	}
	res := m.reserve(ctx, r, o.attempt)
	if res.Outcome == Granted && res.Holder == m.self {
		o.mirrorInstances = m.mirror(r, o.attempt, res.Lease)
	}
	m.requests.publish(r.RequestID, o, res)
	m.countOutcome(res.Outcome)
	return res
}

func (m *Manager) countOutcome(o Outcome) {
	switch o {
	case Granted:
		m.counters.granted.Inc(1)
	case Exhausted:
		m.counters.exhausted.Inc(1)
	case UnknownBudget:
		m.counters.unknownBudget.Inc(1)
	default:
		m.counters.refusedUnavailable.Inc(1)
	}
}

// reserve reserves at the budget's owner in this domain. If the owner is this instance, does not respond or does not accept
// the reservation, reserve uses a lease of this instance.
func (m *Manager) reserve(ctx context.Context, r Request, attempt uint64) Reservation {
	if _, ok := m.grantedTotal(r.Budget); !ok {
		return Reservation{Outcome: UnknownBudget}
	}
	now := m.cfg.Clock.Now()
	w := &waiter{
		requestID: r.RequestID,
		attempt:   budget.Attempt{Incarnation: m.self, Number: attempt},
		bound:     r.Bound,
		model:     r.Model,
		since:     now,
		deadline:  now.Add(r.MaxWait),
	}
	if owner := m.owner(r.Budget); owner != m.self && !m.link(owner).backingOff() {
		if res, ok := m.requests.reserveRemote(ctx, owner, w, r.Budget); ok {
			return res
		}
		w.attempt.Number = m.requests.renewAttempt(r.RequestID)
		w.since = m.cfg.Clock.Now()
	}
	res, a, decided := m.holder.reserve(w, r.Budget, r.MaxWait > 0)
	if decided {
		return res
	}
	if r.MaxWait <= 0 {
		return Reservation{Outcome: Unavailable, RetryAfter: storeRetryAfter}
	}
	return m.holder.wait(ctx, w, a)
}

// Settle implements Reserver.
func (m *Manager) Settle(ctx context.Context, u Usage) {
	o := m.requests.beginSettling(u.RequestID)
	if o == nil {
		m.counters.duplicate.Inc(1)
		return
	}
	item := &api.SettleItem{Record: m.usageRecord(u, o), Attempt: o.attempt, Ran: u.Ran}
	if o.holder == m.self {
		_, sequence := m.holder.settle(item, m.self)
		m.requests.removeRequest(u.RequestID)
		m.removeMirrors(o, u.Ran, sequence)
		return
	}
	d := m.requests.deliver(item, o.holder)
	m.requests.removeRequest(u.RequestID)
	select {
	case <-d.confirmed:
	case <-ctx.Done():
	}
}

func (m *Manager) usageRecord(u Usage, o *openRequest) *api.UsageRecord {
	return &api.UsageRecord{
		RequestId:       u.RequestID,
		Customer:        u.Budget.Customer,
		Budget:          u.Budget.Budget,
		Lease:           o.lease,
		Model:           u.Model,
		Endpoint:        u.Endpoint,
		PromptTokens:    uint64(u.Prompt),
		GeneratedTokens: uint64(u.Generated),
		AtBound:         u.AtBound,
		UnixMs:          m.cfg.Clock.Now().UnixMilli(),
	}
}

// link returns the link to another instance.
func (m *Manager) link(incarnation string) *link {
	if l, ok := m.links.Load(incarnation); ok {
		return l.(*link)
	}
	l, _ := m.links.LoadOrStore(incarnation, newLink(m, incarnation))
	return l.(*link)
}

// grantedTotal returns the sum of a budget's grants in the active bundle, and false if the bundle does not define the
// budget.
func (m *Manager) grantedTotal(id budget.ID) (budget.Tokens, bool) {
	s := m.cfg.Bundles.Current()
	if s == nil {
		return 0, false
	}
	c := s.Customer(id.Customer)
	if c == nil {
		return 0, false
	}
	for i := range c.Budgets {
		if c.Budgets[i].ID == id {
			return c.Budgets[i].Granted, true
		}
	}
	return 0, false
}

// Status returns the leases that this instance holds.
func (m *Manager) Status() []*api.LeaseStatus {
	var out []*api.LeaseStatus
	m.holder.accounts.Range(func(_, v any) bool {
		a := v.(*account)
		a.mu.Lock()
		defer a.mu.Unlock()
		for _, l := range a.leases() {
			if l.Listed() {
				out = append(out, leaseStatus(a.id, l))
			}
		}
		return true
	})
	return out
}

func leaseStatus(id budget.ID, l *heldLease) *api.LeaseStatus {
	return &api.LeaseStatus{
		Customer: id.Customer,
		Budget:   id.Budget,
		Lease: &api.QuotaLeaseView{
			Id:           l.ID(),
			Taken:        uint64(l.Acquired()),
			Ceiling:      uint64(l.Ceiling()),
			Watermark:    uint64(l.Watermark()),
			Settled:      uint64(l.Settled()),
			Reserved:     uint64(l.Reserved()),
			OpenRequests: uint64(l.OpenRequests()),
		},
	}
}
