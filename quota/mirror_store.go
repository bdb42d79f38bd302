package quota

import (
	"context"
	"sync"

	"google.golang.org/protobuf/proto"

	"pumiceshelf/api"
	"pumiceshelf/budget"
	"pumiceshelf/objectstore"
)

// mirrorStore stores mirrors of open requests that otherwise only their holders know. It is safe for concurrent use.
type mirrorStore struct {
	mu      sync.Mutex
	count   int
	holders map[string]*mirroredHolder
}

// mirroredHolder is the state stored for one holder.
type mirroredHolder struct {
	sequence uint64
	open     map[uint64]*api.MirrorItem // by attempt
}

func newMirrorStore() *mirrorStore { return &mirrorStore{holders: make(map[string]*mirroredHolder)} }

// apply applies a holder's message. It returns false if the open requests in it are not stored. Those that the message also removes have
// ended while it waited to be sent.
func (s *mirrorStore) apply(req *api.MirrorRequest) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.holders[req.Holder]
	if h == nil {
		h = &mirroredHolder{open: make(map[uint64]*api.MirrorItem)}
		s.holders[req.Holder] = h
	}
	s.removeAll(h, req.Done)
	// A message that arrives after a later one may contain a request that the later one removed.
	if req.Sequence < h.sequence {
		return false
	}
	h.sequence = req.Sequence
	if s.count+len(req.Open) > maxMirroredRequests {
		return false
	}
	for _, item := range req.Open {
		if h.open[item.Attempt] == nil {
			s.count++
		}
		h.open[item.Attempt] = item
	}
	s.removeAll(h, req.Done)
	return true
}

// remove removes an attempt of h. The caller holds mu.
func (s *mirrorStore) remove(h *mirroredHolder, attempt uint64) {
	if h.open[attempt] != nil {
		delete(h.open, attempt)
		s.count--
	}
}

// removeAll removes attempts of h. The caller holds mu.
func (s *mirrorStore) removeAll(h *mirroredHolder, attempts []uint64) {
	for _, attempt := range attempts {
		s.remove(h, attempt)
	}
}

// removeAttempt removes an attempt of a holder.
func (s *mirrorStore) removeAttempt(holder string, attempt uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if h := s.holders[holder]; h != nil {
		s.remove(h, attempt)
	}
}

// itemsOfLostHolders returns the open requests of lost holders, by holder. Lost holders without open requests are removed.
func (s *mirrorStore) itemsOfLostHolders(isLost func(holder string) bool) map[string][]*api.MirrorItem {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string][]*api.MirrorItem)
	for name, h := range s.holders {
		if !isLost(name) {
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

// chargeMirrored charges the requests stored for lost holders once their leases are closed: until then the holder may
// still be alive and charge them itself.
func (m *Manager) chargeMirrored(ctx context.Context) {
	live, now := m.liveIncarnations(), m.cfg.Clock.Now()
	lost := m.mirrorStore.itemsOfLostHolders(func(holder string) bool {
		return m.absences.duration(holder, live, now) >= m.cfg.orphanAfter()
	})
	for holder, items := range lost {
		m.chargeLostHolder(ctx, holder, items)
	}
}

func (m *Manager) chargeLostHolder(ctx context.Context, holder string, items []*api.MirrorItem) {
	byCustomer := make(map[string][]*api.MirrorItem)
	for _, item := range items {
		byCustomer[item.Customer] = append(byCustomer[item.Customer], item)
	}
	for customer, customerItems := range byCustomer {
		ledger, _, err := readLedger(ctx, m.cfg.Store, customer)
		if err != nil {
			m.counters.storeUnavailable.Inc(1)
			return
		}
		billing, err := m.billingWithSegments(ctx, holder, customer)
		if err != nil {
			m.counters.storeUnavailable.Inc(1)
			return
		}
		for _, item := range customerItems {
			m.chargeMirroredItem(ctx, holder, item, ledger, billing)
		}
	}
}

// billingWithSegments returns a customer's billing totals including the segments of one holder that are not yet folded.
func (m *Manager) billingWithSegments(ctx context.Context, holder, customer string) (*budget.Billing, error) {
	var segments []*api.UsageSegment
	err := eachObject(ctx, m.cfg.Store, usagePrefix+holder+"/", func(obj objectstore.Object) error {
		s := &api.UsageSegment{}
		segments = append(segments, s)
		return proto.Unmarshal(obj.Value, s)
	})
	if err != nil {
		return nil, err
	}
	// The totals are read after the segments, so that they include a segment that is folded and deleted in between.
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

// chargeMirroredItem charges one request unless it has a usage record. A lease that is no longer listed is fully accounted
// for by records.
func (m *Manager) chargeMirroredItem(ctx context.Context, holder string, item *api.MirrorItem, ledger *api.CustomerLedger, billing *budget.Billing) {
	lease := budget.FindLease(budget.Budget(ledger, item.Budget), item.Lease)
	if lease != nil && !lease.Closed {
		return
	}
	m.mirrorStore.removeAttempt(holder, item.Attempt)
	if lease == nil || billing.IsBilled(item.RequestId, item.Lease) {
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
	// The lease was closed with an upper bound of what its holder can have spent, so the charge is at most the rest of
	// that.
	maxCharge := min(item.BoundTokens, lease.Bound-min(lease.Bound, uint64(billing.RecordedTokens(item.Budget, item.Lease))))
	usage := m.fillUsage(ctx, rec, budget.Tokens(maxCharge))
	if usage > budget.Tokens(maxCharge) {
		m.counters.overBound.Inc(1)
		rec.PromptTokens = min(rec.PromptTokens, maxCharge)
		rec.GeneratedTokens = maxCharge - rec.PromptTokens
	}
	m.counters.mirrorCharged.Inc(1)
	m.segments.add(queuedRecord{record: rec})
	billing.Add(rec)
}
