package idempotency

import (
	"context"
	"errors"
	"time"

	"pumiceshelf/api"
	"pumiceshelf/claim"
)

// Propose implements api.DRPCClaimPeerServer.
func (m *Manager) Propose(ctx context.Context, req *api.ProposeRequest) (*api.ProposeResponse, error) {
	if req.GetIssued() {
		return m.decideIssued(req), nil
	}
	if !wellFormed(req.GetProposals()) {
		return &api.ProposeResponse{Unavailable: true}, nil
	}
	ctx, cancel := m.withTimeout(ctx, min(m.claimWait(), time.Duration(req.GetWaitMs())*time.Millisecond))
	defer cancel()
	claims, err := m.shardOf(req.GetShard()).submit(ctx, req.GetProposals()...)
	if err != nil {
		return &api.ProposeResponse{Unavailable: true, Ambiguous: errors.Is(err, errAmbiguous)}, nil
	}
	return &api.ProposeResponse{Claims: withoutNils(claims)}, nil
}

// decideIssued decides proposals for keys that this incarnation issued.
func (m *Manager) decideIssued(req *api.ProposeRequest) *api.ProposeResponse {
	resp := &api.ProposeResponse{}
	for _, p := range req.GetProposals() {
		c, err := m.issued.propose(p)
		if errors.Is(err, errForged) {
			c = forgedClaim
		}
		resp.Claims = append(resp.Claims, c)
	}
	resp.Claims = withoutNils(resp.Claims)
	return resp
}

// withoutNils replaces nil claims with empty ones, because a list in the encoding cannot hold nil.
func withoutNils(claims []*api.Claim) []*api.Claim {
	out := make([]*api.Claim, len(claims))
	for i, c := range claims {
		if out[i] = c; c == nil {
			out[i] = &api.Claim{}
		}
	}
	return out
}

// wellFormed reports whether the key hashes have the right length and the proposals fit in a batch.
func wellFormed(proposals []*api.ClaimProposal) bool {
	for _, p := range proposals {
		if len(p.GetClaim().GetKeyHash()) != len(claim.KeyHash{}) {
			return false
		}
	}
	return len(proposals) <= maxBatchProposals
}

// Await implements api.DRPCClaimPeerServer.
func (m *Manager) Await(ctx context.Context, req *api.AwaitRequest) (*api.AwaitResponse, error) {
	if req.GetOwner() != string(m.self) || len(req.GetKeyHash()) != len(claim.KeyHash{}) {
		return &api.AwaitResponse{}, nil
	}
	key := claim.KeyHash(req.GetKeyHash())
	e, finished := m.local.find(key, req.GetAttempt())
	if e != nil {
		wait := time.Duration(req.GetWaitMs()) * time.Millisecond
		if !m.waitForEnd(ctx, e, wait) {
			return &api.AwaitResponse{Claim: m.claimInState(e.request, api.ClaimState_CLAIM_STATE_CLAIMED)}, nil
		}
		_, finished = m.local.find(key, req.GetAttempt())
	}
	if finished == nil {
		return &api.AwaitResponse{}, nil
	}
	return &api.AwaitResponse{Claim: m.finishProposal(finished, 0, nil).GetClaim()}, nil
}

// waitForEnd waits at most d and reports whether the request ended.
func (m *Manager) waitForEnd(ctx context.Context, e *activeRequest, d time.Duration) bool {
	ctx, cancel := m.withTimeout(ctx, d)
	defer cancel()
	select {
	case <-e.done:
		return true
	case <-ctx.Done():
		return false
	}
}

// claimInState returns the claim of a request of this incarnation, with the given state.
func (m *Manager) claimInState(r Request, state api.ClaimState) *api.Claim {
	c := m.newProposal(api.ClaimProposalKind_CLAIM_PROPOSAL_KIND_LOOK, r).GetClaim()
	c.State = state
	return c
}
