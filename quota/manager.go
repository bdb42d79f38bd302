package quota

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"pumiceshelf/api"
	"pumiceshelf/budget"
)

// Manager is the Keeper of an instance. It holds leases for budgets that the instance owns in its failure domain,
// reserves at other holders for the rest, and acknowledges and reclaims leases of other instances.
type Manager struct {
	cfg      Config
	self     string
	domain   string
	counters *counters
	entry    *entry
	holder   *holder
	segments *segments
	absences *absences
	gate     *gate
	mirrors  mirrors
	kept     *mirrorStore

	witnessMu sync.Mutex
	witness   *budget.Witness

	reclaimedMu sync.Mutex
	reclaimed   map[string]time.Time // by customer

	links  sync.Map // incarnation to *link
	routes sync.Map // customer to *route

	// life ends background calls when Run ends.
	life context.Context
	end  context.CancelFunc
}

var _ Keeper = (*Manager)(nil)

// New returns a manager that serves at once; Run does its background work.
func New(cfg Config) *Manager {
	life, end := context.WithCancel(context.Background())
	m := &Manager{
		cfg:       cfg,
		self:      cfg.Self.Incarnation,
		domain:    cfg.Self.Domain,
		counters:  newCounters(cfg.Metrics),
		absences:  newAbsences(),
		gate:      &gate{first: cfg.flushInterval() / tickDivisor},
		witness:   budget.NewWitness(cfg.Self.Incarnation),
		reclaimed: make(map[string]time.Time),
		kept:      newMirrorStore(),
		life:      life,
		end:       end,
	}
	m.entry = newEntry(m)
	m.holder = newHolder(m)
	m.segments = newSegments(m.self, cfg.Store, m.counters)
	return m
}

// Run writes ledgers and records, repeats settlements, and cares for lost requests and leases, until ctx ends.
func (m *Manager) Run(ctx context.Context) error {
	defer m.end()
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return m.runLedgers(ctx) })
	g.Go(func() error { return m.loop(ctx, m.cfg.flushInterval(), nil, m.resend) })
	g.Go(func() error { return m.loop(ctx, recordInterval*m.cfg.flushInterval(), nil, m.writeRecords) })
	g.Go(func() error { return m.loop(ctx, reclaimInterval, nil, m.reclaim) })
	g.Go(func() error { return m.loop(ctx, m.cfg.foldInterval(), nil, m.compact) })
	g.Go(func() error { return m.loop(ctx, m.cfg.orphanAfter()/orphanDivisor, nil, m.resolveOrphans) })
	g.Go(func() error { return m.loop(ctx, m.cfg.orphanAfter()/orphanDivisor, nil, m.billMirrored) })
	return g.Wait()
}

// loop calls work at each interval and each kick until ctx ends.
func (m *Manager) loop(ctx context.Context, interval time.Duration, kicks <-chan struct{}, work func(context.Context)) error {
	ticker := m.cfg.Clock.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.Chan():
		case <-kicks:
		}
		work(ctx)
	}
}

// runLedgers keeps ledgers up to date until ctx ends. A slow write holds up no other customer's.
func (m *Manager) runLedgers(ctx context.Context) error {
	var writes errgroup.Group
	writes.SetLimit(writeLimit)
	err := m.loop(ctx, m.cfg.flushInterval()/tickDivisor, m.holder.kicks, func(ctx context.Context) {
		m.startWrites(ctx, &writes)
	})
	_ = writes.Wait() // The functions return no errors.
	return err
}

// startWrites starts a look at each ledger that is due, as far as the group has room.
func (m *Manager) startWrites(ctx context.Context, g *errgroup.Group) {
	now, gap, inUse := m.cfg.Clock.Now(), m.holder.settledGap(), 0
	for _, b := range m.holder.allBooks() {
		used, urgent := b.use()
		if !used {
			continue
		}
		inUse++
		if b.due(now, urgent, gap) {
			g.TryGo(func() error {
				b.flush(ctx)
				return nil
			})
		}
	}
	m.holder.inUse.Store(int64(inUse))
}

// writeLedgers looks at the ledgers that are due and waits for the writes.
func (m *Manager) writeLedgers(ctx context.Context) {
	var g errgroup.Group
	g.SetLimit(writeLimit)
	m.startWrites(ctx, &g)
	_ = g.Wait() // The functions return no errors.
}

// resend repeats settlements, and has witnesses forget requests whose records are durable.
func (m *Manager) resend(context.Context) {
	m.entry.resend()
	m.dropMirrors()
}

// writeRecords writes usage records.
func (m *Manager) writeRecords(ctx context.Context) {
	if err := m.segments.flush(ctx); err != nil {
		m.cfg.Log.Debugf("quota: usage records kept back: %v", err)
	}
}

// Reserve implements Keeper.
func (m *Manager) Reserve(ctx context.Context, r Request) Reservation {
	o, first := m.entry.begin(r.RequestID)
	if !first {
		return m.entry.join(ctx, o)
	}
	res := m.reserve(ctx, r, o.attempt)
	if res.Outcome == Granted && res.Holder == m.self {
		o.mirrors = m.mirror(r, o.attempt, res.Lease)
	}
	m.entry.finish(r.RequestID, o, res)
	m.count(res.Outcome)
	return res
}

func (m *Manager) count(o Outcome) {
	switch o {
	case Granted:
		m.counters.granted.Inc(1)
	case Exhausted:
		m.counters.exhausted.Inc(1)
	case UnknownBudget:
		m.counters.unknown.Inc(1)
	default:
		m.counters.outOfReach.Inc(1)
	}
}

// reserve asks the budget's holder in this domain, and takes a lease of its own when the holder cannot be reached.
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
		deadline:  now.Add(r.Wait),
	}
	if owner := m.owner(r.Budget); owner != m.self && !m.link(owner).avoided() {
		if res, ok := m.entry.reserveRemote(ctx, owner, w, r.Budget); ok {
			return res
		}
		w.attempt.Number = m.entry.renew(r.RequestID)
		w.since = m.cfg.Clock.Now()
	}
	res, a, decided := m.holder.reserve(w, r.Budget, r.Wait > 0)
	if decided {
		return res
	}
	if r.Wait <= 0 {
		return Reservation{Outcome: OutOfReach, RetryAfter: platformRetryAfter}
	}
	return m.holder.wait(ctx, w, a)
}

// Settle implements Keeper.
func (m *Manager) Settle(ctx context.Context, u Usage) {
	o := m.entry.end(u.RequestID)
	if o == nil {
		m.counters.duplicate.Inc(1)
		return
	}
	item := &api.SettleItem{Record: m.record(u, o), Attempt: o.attempt, Ran: u.Ran}
	if o.holder == m.self {
		_, sequence := m.holder.settle(item, m.self)
		m.entry.handedOver(u.RequestID)
		m.settledMirrored(o, u.Ran, sequence)
		return
	}
	d := m.entry.deliver(item, o.holder)
	m.entry.handedOver(u.RequestID)
	select {
	case <-d.confirmed:
	case <-ctx.Done():
	}
}

func (m *Manager) record(u Usage, o *openRequest) *api.UsageRecord {
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

// grantedTotal returns the grants of a budget in force.
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

// Status returns the leases that the instance holds.
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
