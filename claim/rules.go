package claim

import (
	"bytes"

	"google.golang.org/protobuf/proto"

	"pumiceshelf/api"
	"pumiceshelf/invariant"
)

const component = "claim"

// Apply decides a proposal against the key's current claim, nil for none. It returns the claim after the decision, which is
// current itself if nothing changes. Neither argument is modified.
//
// A claim holds its key in every state except NOT_RUN. While it does, the key is never claimed for another attempt.
func Apply(current *api.Claim, p *api.ClaimProposal) *api.Claim {
	next := decide(current, p)
	checkTransition(current, next)
	return next
}

func decide(current *api.Claim, p *api.ClaimProposal) *api.Claim {
	switch p.GetKind() {
	case api.ClaimProposalKind_CLAIM_PROPOSAL_KIND_CLAIM:
		return claimKey(current, p.GetClaim())
	case api.ClaimProposalKind_CLAIM_PROPOSAL_KIND_FINISH:
		return finish(current, p.GetClaim())
	case api.ClaimProposalKind_CLAIM_PROPOSAL_KIND_SEAL:
		return seal(current, p.GetClaim())
	case api.ClaimProposalKind_CLAIM_PROPOSAL_KIND_RECORD:
		return record(current, p.GetClaim())
	default:
		return current
	}
}

// claimKey claims a key that no claim holds. An attempt that has released the key does not get it again, because its
// proposal is an old one that was delayed.
func claimKey(current, proposed *api.Claim) *api.Claim {
	free := current == nil || (current.GetState() == api.ClaimState_CLAIM_STATE_NOT_RUN && !sameAttempt(current, proposed))
	if !free {
		return current
	}
	next := proto.Clone(proposed).(*api.Claim)
	next.State = api.ClaimState_CLAIM_STATE_CLAIMED
	next.Answer = nil
	next.AnswerObject = ""
	return next
}

// finish records the outcome of the attempt that holds the claim. A response may still replace UNKNOWN, but after UNKNOWN
// the key is not released: a caller may have been told that the request may have run.
func finish(current, outcome *api.Claim) *api.Claim {
	if current == nil || !sameAttempt(current, outcome) {
		return current
	}
	state := current.GetState()
	open := state == api.ClaimState_CLAIM_STATE_CLAIMED
	late := state == api.ClaimState_CLAIM_STATE_UNKNOWN && outcome.GetState() == api.ClaimState_CLAIM_STATE_ANSWERED
	if !open && !late {
		return current
	}
	return withOutcome(current, outcome)
}

func withOutcome(current, outcome *api.Claim) *api.Claim {
	next := proto.Clone(current).(*api.Claim)
	next.State = outcome.GetState()
	next.Answer = outcome.GetAnswer()
	next.AnswerObject = outcome.GetAnswerObject()
	return next
}

// seal sets a claim whose owner cannot be queried to UNKNOWN, so that the owner cannot release the key if it is still
// running.
func seal(current, observed *api.Claim) *api.Claim {
	if current == nil || !sameAttempt(current, observed) || current.GetState() != api.ClaimState_CLAIM_STATE_CLAIMED {
		return current
	}
	next := proto.Clone(current).(*api.Claim)
	next.State = api.ClaimState_CLAIM_STATE_UNKNOWN
	return next
}

// record stores a claim that was decided elsewhere.
func record(current, decided *api.Claim) *api.Claim {
	if current == nil {
		return proto.Clone(decided).(*api.Claim)
	}
	return finish(current, decided)
}

func sameAttempt(a, b *api.Claim) bool {
	return a.GetAttempt() == b.GetAttempt() && a.GetOwner() == b.GetOwner()
}

// HoldsKey reports whether the claim prevents its key from being claimed for another request.
func HoldsKey(c *api.Claim) bool {
	return c != nil && c.GetState() != api.ClaimState_CLAIM_STATE_NOT_RUN && c.GetState() != api.ClaimState_CLAIM_STATE_UNSPECIFIED
}

func checkTransition(before, after *api.Claim) {
	if !HoldsKey(before) || before == after {
		return
	}
	invariant.Check(after != nil && sameAttempt(before, after), component,
		"claim of request %s by %s was replaced while it held its key", before.GetRequestId(), before.GetOwner())
	released := before.GetState() != api.ClaimState_CLAIM_STATE_CLAIMED && !HoldsKey(after)
	invariant.Check(!released, component, "claim of request %s released its key from state %s", before.GetRequestId(), before.GetState())
	invariant.Check(bytes.Equal(before.GetBodyHash(), after.GetBodyHash()), component,
		"body hash of the claim of request %s changed", before.GetRequestId())
}
