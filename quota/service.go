package quota

import (
	"context"
	"time"

	"storj.io/drpc"

	"pumiceshelf/api"
	"pumiceshelf/budget"
)

// service implements the RPCs that other instances call.
type service struct{ m *Manager }

var _ api.DRPCBudgetPeerServer = service{}

// Register registers the service with a drpc mux.
func (m *Manager) Register(mux drpc.Mux) error { return api.DRPCRegisterBudgetPeer(mux, service{m}) }

// Reserve implements api.DRPCBudgetPeerServer.
func (s service) Reserve(ctx context.Context, batch *api.ReserveBatch) (*api.ReserveBatchResult, error) {
	res := &api.ReserveBatchResult{Results: make([]*api.ReserveItemResult, 0, len(batch.Items))}
	for _, item := range batch.Items {
		res.Results = append(res.Results, s.reserve(ctx, batch, item))
	}
	return res, nil
}

func (s service) reserve(ctx context.Context, batch *api.ReserveBatch, item *api.ReserveItem) *api.ReserveItemResult {
	id := budget.ID{Customer: item.Customer, Budget: item.Budget}
	if !s.m.acceptsReservations(id) {
		return &api.ReserveItemResult{Outcome: api.ReserveOutcome_RESERVE_OUTCOME_NOT_HOLDER}
	}
	now := s.m.cfg.Clock.Now()
	w := &waiter{
		requestID: item.RequestId,
		attempt:   budget.Attempt{Incarnation: batch.From, Number: item.Attempt},
		bound:     budget.Tokens(item.BoundTokens),
		model:     item.Model,
		since:     now,
		deadline:  now.Add(time.Duration(item.WaitMs) * time.Millisecond),
	}
	r, a, decided := s.m.holder.reserve(w, id, batch.Wait)
	if !decided && !batch.Wait {
		return &api.ReserveItemResult{Outcome: api.ReserveOutcome_RESERVE_OUTCOME_PENDING}
	}
	if !decided {
		r = s.m.holder.wait(ctx, w, a)
	}
	return &api.ReserveItemResult{
		Outcome:      outcomeToProto(r.Outcome),
		Lease:        r.Lease,
		Holder:       r.Holder,
		RetryAfterMs: uint32(r.RetryAfter.Milliseconds()),
	}
}

func outcomeToProto(o Outcome) api.ReserveOutcome {
	switch o {
	case Granted:
		return api.ReserveOutcome_RESERVE_OUTCOME_GRANTED
	case Exhausted:
		return api.ReserveOutcome_RESERVE_OUTCOME_EXHAUSTED
	case UnknownBudget:
		return api.ReserveOutcome_RESERVE_OUTCOME_UNKNOWN_BUDGET
	default:
		return api.ReserveOutcome_RESERVE_OUTCOME_OUT_OF_REACH
	}
}

// Settle implements api.DRPCBudgetPeerServer.
func (s service) Settle(_ context.Context, batch *api.SettleBatch) (*api.SettleBatchResult, error) {
	res := &api.SettleBatchResult{}
	for _, item := range batch.Items {
		outcome, sequence := s.m.holder.settle(item, batch.From)
		res.Outcomes = append(res.Outcomes, outcome)
		res.Segment = max(res.Segment, sequence)
	}
	res.DurableBelow = s.m.segments.durableBelow()
	return res, nil
}

// Acknowledge implements api.DRPCBudgetPeerServer.
func (s service) Acknowledge(_ context.Context, req *api.AcknowledgeRequest) (*api.AcknowledgeResponse, error) {
	s.m.witnessMu.Lock()
	defer s.m.witnessMu.Unlock()
	res := &api.AcknowledgeResponse{}
	for _, l := range req.Leases {
		total, ok := s.m.witness.Acknowledge(req.Witness, l.Lease, budget.Tokens(l.Total))
		res.Results = append(res.Results, &api.AcknowledgeResult{Lease: l.Lease, Total: uint64(total), Sealed: !ok})
	}
	return res, nil
}

// Seal implements api.DRPCBudgetPeerServer.
func (s service) Seal(_ context.Context, req *api.SealRequest) (*api.SealResponse, error) {
	return s.m.seal(req), nil
}

// Refresh implements api.DRPCBudgetPeerServer.
func (s service) Refresh(_ context.Context, req *api.RefreshRequest) (*api.RefreshResponse, error) {
	for _, customer := range req.Customers {
		if c := s.m.holder.existingLedger(customer); c != nil {
			c.markStale()
		}
	}
	s.m.holder.signalWrite()
	return &api.RefreshResponse{}, nil
}

// Open implements api.DRPCBudgetPeerServer.
func (s service) Open(_ context.Context, req *api.OpenRequest) (*api.OpenResponse, error) {
	res := &api.OpenResponse{}
	for _, i := range req.Items {
		res.Open = append(res.Open, s.m.requests.isOpen(i.RequestId, i.Attempt))
	}
	return res, nil
}

// Mirror implements api.DRPCBudgetPeerServer.
func (s service) Mirror(_ context.Context, req *api.MirrorRequest) (*api.MirrorResponse, error) {
	if req.Witness != s.m.self {
		return &api.MirrorResponse{}, nil
	}
	stored := s.m.mirrorStore.apply(req)
	if !stored {
		s.m.counters.mirrorFull.Inc(1)
	}
	return &api.MirrorResponse{Kept: stored}, nil
}
