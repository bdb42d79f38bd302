package claim

import (
	"bytes"

	"google.golang.org/protobuf/proto"

	"pumiceshelf/api"
	"pumiceshelf/invariant"
)

const part = "claim"

// Apply decides a proposal against the key's present claim, nil for none. It returns the claim after the decision,
// which is present itself if nothing changes. Neither argument is changed.
//
// A claim stands in every state but NOT_RUN. While it stands its key is never claimed for another attempt.
func Apply(present *api.Claim, p *api.ClaimProposal) *api.Claim {
	next := decide(present, p)
	checkStanding(present, next)
	return next
}

func decide(present *api.Claim, p *api.ClaimProposal) *api.Claim {
	switch p.GetKind() {
	case api.ClaimProposalKind_CLAIM_PROPOSAL_KIND_CLAIM:
		return take(present, p.GetClaim())
	case api.ClaimProposalKind_CLAIM_PROPOSAL_KIND_FINISH:
		return finish(present, p.GetClaim())
	case api.ClaimProposalKind_CLAIM_PROPOSAL_KIND_SEAL:
		return seal(present, p.GetClaim())
	case api.ClaimProposalKind_CLAIM_PROPOSAL_KIND_RECORD:
		return record(present, p.GetClaim())
	default:
		return present
	}
}

// take claims a key that is free. An attempt whose claim was given back is not given the key again: the proposal is an
// old one that was delayed.
func take(present, wanted *api.Claim) *api.Claim {
	free := present == nil || (present.GetState() == api.ClaimState_CLAIM_STATE_NOT_RUN && !sameAttempt(present, wanted))
	if !free {
		return present
	}
	next := proto.Clone(wanted).(*api.Claim)
	next.State = api.ClaimState_CLAIM_STATE_CLAIMED
	next.Answer = nil
	next.AnswerObject = ""
	return next
}

// finish records the end of the attempt that holds the claim.
// An answer may still follow UNKNOWN, but the key is not given back any more once someone was told that it may have run.
func finish(present, end *api.Claim) *api.Claim {
	if present == nil || !sameAttempt(present, end) {
		return present
	}
	state := present.GetState()
	open := state == api.ClaimState_CLAIM_STATE_CLAIMED
	late := state == api.ClaimState_CLAIM_STATE_UNKNOWN && end.GetState() == api.ClaimState_CLAIM_STATE_ANSWERED
	if !open && !late {
		return present
	}
	return ended(present, end)
}

func ended(present, end *api.Claim) *api.Claim {
	next := proto.Clone(present).(*api.Claim)
	next.State = end.GetState()
	next.Answer = end.GetAnswer()
	next.AnswerObject = end.GetAnswerObject()
	return next
}

// seal makes a claim whose owner cannot be asked UNKNOWN, so that the owner, if it lives on, cannot give the key back.
func seal(present, seen *api.Claim) *api.Claim {
	if present == nil || !sameAttempt(present, seen) || present.GetState() != api.ClaimState_CLAIM_STATE_CLAIMED {
		return present
	}
	next := proto.Clone(present).(*api.Claim)
	next.State = api.ClaimState_CLAIM_STATE_UNKNOWN
	return next
}

// record files a claim decided elsewhere.
func record(present, made *api.Claim) *api.Claim {
	if present == nil {
		return proto.Clone(made).(*api.Claim)
	}
	return finish(present, made)
}

func sameAttempt(a, b *api.Claim) bool {
	return a.GetAttempt() == b.GetAttempt() && a.GetOwner() == b.GetOwner()
}

// Stands says that the claim keeps its key from being claimed for another request.
func Stands(c *api.Claim) bool {
	return c != nil && c.GetState() != api.ClaimState_CLAIM_STATE_NOT_RUN && c.GetState() != api.ClaimState_CLAIM_STATE_UNSPECIFIED
}

func checkStanding(before, after *api.Claim) {
	if !Stands(before) || before == after {
		return
	}
	invariant.Check(after != nil && sameAttempt(before, after), part,
		"claim of request %s by %s was replaced while it stood", before.GetRequestId(), before.GetOwner())
	back := before.GetState() != api.ClaimState_CLAIM_STATE_CLAIMED && !Stands(after)
	invariant.Check(!back, part, "claim of request %s was given back from state %s", before.GetRequestId(), before.GetState())
	invariant.Check(bytes.Equal(before.GetBodyHash(), after.GetBodyHash()), part,
		"claim of request %s changed its body", before.GetRequestId())
}
