package idempotency

import (
	"context"
	"errors"
	"time"

	"pumiceshelf/api"
	"pumiceshelf/claim"
)

// Propose implements api.DRPCClaimPeerServer.
func (k *Keeper) Propose(ctx context.Context, req *api.ProposeRequest) (*api.ProposeResponse, error) {
	if req.GetIssued() {
		return k.proposeOwnIssued(req), nil
	}
	if !wellFormed(req.GetProposals()) {
		return &api.ProposeResponse{Unavailable: true}, nil
	}
	ctx, cancel := k.within(ctx, min(k.claimWait(), time.Duration(req.GetWaitMs())*time.Millisecond))
	defer cancel()
	claims, err := k.shardOf(req.GetShard()).submit(ctx, req.GetProposals()...)
	if err != nil {
		return &api.ProposeResponse{Unavailable: true, Ambiguous: errors.Is(err, errAmbiguous)}, nil
	}
	return &api.ProposeResponse{Claims: present(claims)}, nil
}

func (k *Keeper) proposeOwnIssued(req *api.ProposeRequest) *api.ProposeResponse {
	resp := &api.ProposeResponse{}
	for _, p := range req.GetProposals() {
		c, err := k.issued.propose(p)
		if errors.Is(err, errForged) {
			c = forged
		}
		resp.Claims = append(resp.Claims, c)
	}
	resp.Claims = present(resp.Claims)
	return resp
}

// present stands an empty claim in for a key without one, which the wire cannot tell apart.
func present(claims []*api.Claim) []*api.Claim {
	out := make([]*api.Claim, len(claims))
	for i, c := range claims {
		if out[i] = c; c == nil {
			out[i] = &api.Claim{}
		}
	}
	return out
}

func wellFormed(proposals []*api.ClaimProposal) bool {
	for _, p := range proposals {
		if len(p.GetClaim().GetKeyHash()) != len(claim.KeyHash{}) {
			return false
		}
	}
	return len(proposals) <= batchLimit
}

// Await implements api.DRPCClaimPeerServer.
func (k *Keeper) Await(ctx context.Context, req *api.AwaitRequest) (*api.AwaitResponse, error) {
	if req.GetOwner() != string(k.self) || len(req.GetKeyHash()) != len(claim.KeyHash{}) {
		return &api.AwaitResponse{}, nil
	}
	key := claim.KeyHash(req.GetKeyHash())
	e, end := k.local.find(key, req.GetAttempt())
	if e != nil {
		wait := time.Duration(req.GetWaitMs()) * time.Millisecond
		if !k.waitFor(ctx, e, wait) {
			return &api.AwaitResponse{Claim: k.claimOf(e.request, api.ClaimState_CLAIM_STATE_CLAIMED)}, nil
		}
		_, end = k.local.find(key, req.GetAttempt())
	}
	if end == nil {
		return &api.AwaitResponse{}, nil
	}
	return &api.AwaitResponse{Claim: k.ending(end, 0, nil).GetClaim()}, nil
}

func (k *Keeper) waitFor(ctx context.Context, e *entry, d time.Duration) bool {
	ctx, cancel := k.within(ctx, d)
	defer cancel()
	select {
	case <-e.done:
		return true
	case <-ctx.Done():
		return false
	}
}

func (k *Keeper) claimOf(r Request, state api.ClaimState) *api.Claim {
	c := k.proposal(api.ClaimProposalKind_CLAIM_PROPOSAL_KIND_LOOK, r).GetClaim()
	c.State = state
	return c
}
