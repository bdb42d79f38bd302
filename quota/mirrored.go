package quota

import (
	"context"
	"sync"

	"google.golang.org/protobuf/proto"

	"pumiceshelf/api"
	"pumiceshelf/budget"
	"pumiceshelf/objectstore"
)

// mirrorStore keeps the open requests that other holders alone know. It is safe for concurrent use.
type mirrorStore struct {
	mu      sync.Mutex
	count   int
	holders map[string]*mirroredHolder
}

// mirroredHolder is what is kept for one holder.
type mirroredHolder struct {
	sequence uint64
	open     map[uint64]*api.MirrorItem // by attempt
}

func newMirrorStore() *mirrorStore { return &mirrorStore{holders: make(map[string]*mirroredHolder)} }

// take brings a holder's message in. It returns false if the open requests in it are not kept.
func (s *mirrorStore) take(req *api.MirrorRequest) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.holders[req.Holder]
	if h == nil {
		h = &mirroredHolder{open: make(map[uint64]*api.MirrorItem)}
		s.holders[req.Holder] = h
	}
	for _, attempt := range req.Done {
		s.remove(h, attempt)
	}
	// A message overtaken by a later one may open what the later one ended.
	if req.Sequence < h.sequence {
		return false
	}
	h.sequence = req.Sequence
	if s.count+len(req.Open) > mirrorLimit {
		return false
	}
	for _, item := range req.Open {
		if h.open[item.Attempt] == nil {
			s.count++
		}
		h.open[item.Attempt] = item
	}
	return true
}

// remove forgets an attempt. The caller holds mu.
func (s *mirrorStore) remove(h *mirroredHolder, attempt uint64) {
	if h.open[attempt] != nil {
		delete(h.open, attempt)
		s.count--
	}
}

// forget forgets an attempt of a holder.
func (s *mirrorStore) forget(holder string, attempt uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if h := s.holders[holder]; h != nil {
		s.remove(h, attempt)
	}
}

// lost returns what is kept for holders that are lost, by holder. Of other holders that are gone it forgets the names.
func (s *mirrorStore) lost(gone func(holder string) bool) map[string][]*api.MirrorItem {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string][]*api.MirrorItem)
	for name, h := range s.holders {
		if !gone(name) {
			continue
		}
		if len(h.open) == 0 {
			delete(s.holders, name)
		}
		for _, item := range h.open {
			out[name] = append(out[name], item)
		}
	}
	return out
}

// billMirrored bills the requests kept for lost holders, once their leases are closed: until then the holder may live
// and bill them itself.
func (m *Manager) billMirrored(ctx context.Context) {
	live, now := m.liveIncarnations(), m.cfg.Clock.Now()
	lost := m.kept.lost(func(holder string) bool {
		return m.absences.of(holder, live, now) >= m.cfg.orphanAfter()
	})
	for holder, items := range lost {
		m.billMirroredOf(ctx, holder, items)
	}
}

func (m *Manager) billMirroredOf(ctx context.Context, holder string, items []*api.MirrorItem) {
	byCustomer := make(map[string][]*api.MirrorItem)
	for _, item := range items {
		byCustomer[item.Customer] = append(byCustomer[item.Customer], item)
	}
	for customer, own := range byCustomer {
		ledger, _, err := readLedger(ctx, m.cfg.Store, customer)
		if err != nil {
			m.counters.unavailable.Inc(1)
			return
		}
		billing, err := m.billingOf(ctx, holder, customer)
		if err != nil {
			m.counters.unavailable.Inc(1)
			return
		}
		for _, item := range own {
			m.billMirroredItem(ctx, holder, item, ledger, billing)
		}
	}
}

// billingOf returns a customer's billing totals with the segments of one holder that are not yet folded in.
func (m *Manager) billingOf(ctx context.Context, holder, customer string) (*budget.Billing, error) {
	var segments []*api.UsageSegment
	err := eachObject(ctx, m.cfg.Store, usagePrefix+holder+"/", func(obj objectstore.Object) error {
		s := &api.UsageSegment{}
		segments = append(segments, s)
		return proto.Unmarshal(obj.Value, s)
	})
	if err != nil {
		return nil, err
	}
	// The totals are read after the segments: one folded and deleted in between is counted in them.
	msg, _, err := readBilling(ctx, m.cfg.Store, customer)
	if err != nil {
		return nil, err
	}
	b := budget.OpenBilling(customer, msg)
	for _, s := range segments {
		b.Fold(s)
	}
	return b, nil
}

// billMirroredItem bills one request unless it is on record. A lease no longer listed is accounted for in full.
func (m *Manager) billMirroredItem(ctx context.Context, holder string, item *api.MirrorItem, ledger *api.CustomerLedger, billing *budget.Billing) {
	lease := budget.FindLease(budget.Budget(ledger, item.Budget), item.Lease)
	if lease != nil && !lease.Closed {
		return
	}
	m.kept.forget(holder, item.Attempt)
	if lease == nil || billing.Has(item.RequestId, item.Lease) {
		return
	}
	rec := &api.UsageRecord{
		RequestId: item.RequestId,
		Customer:  item.Customer,
		Budget:    item.Budget,
		Lease:     item.Lease,
		Model:     item.Model,
		UnixMs:    m.cfg.Clock.Now().UnixMilli(),
	}
	// The lease was closed at the most that its holder can have spent, so the bill is at most what is left of that.
	most := min(item.BoundTokens, lease.Bound-min(lease.Bound, uint64(billing.RecordedTokens(item.Budget, item.Lease))))
	usage := m.fill(ctx, rec, budget.Tokens(most))
	if usage > budget.Tokens(most) {
		m.counters.overBound.Inc(1)
		rec.PromptTokens = min(rec.PromptTokens, most)
		rec.GeneratedTokens = most - rec.PromptTokens
	}
	m.counters.mirrorBilled.Inc(1)
	m.segments.add(queued{record: rec})
	billing.Add(rec)
}
