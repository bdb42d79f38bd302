package idempotency

import (
	"context"
	"errors"
	"fmt"

	"google.golang.org/protobuf/proto"

	"pumiceshelf/api"
	"pumiceshelf/claim"
	"pumiceshelf/invariant"
	"pumiceshelf/objectstore"
)

// Finish implements Gate.
func (k *Keeper) Finish(ctx context.Context, key claim.KeyHash, o Outcome) {
	e := k.local.running(key)
	invariant.Check(e != nil, "claim", "a request finished that was not let run")
	r := e.request
	if !r.Idempotent {
		k.record(ctx, r, o)
	}
	k.local.finish(key, o)
	k.tell(r.RequestID, "outcome recorded: "+stateOf(o.Kind).String())
}

// record makes an outcome durable, in the background if ctx ends first.
func (k *Keeper) record(ctx context.Context, r Request, o Outcome) {
	end := k.ending(endingOf(r, o), k.cfg.Clock.Now().UnixMilli(), r.Issued)
	if r.Form == claim.Issued {
		k.recordIssued(ctx, r, end)
		return
	}
	if r.Form == claim.Stated {
		// The claim may have been admitted without the platform and not be on file yet.
		end.Kind = api.ClaimProposalKind_CLAIM_PROPOSAL_KIND_RECORD
	}
	if _, err := k.proposeDurable(ctx, end); err != nil {
		k.pending.add(end)
	}
}

// recordIssued tells the issuer, who decides the key. The platform's copy, for the time after the issuer's end, follows.
func (k *Keeper) recordIssued(ctx context.Context, r Request, end *api.ClaimProposal) {
	if _, err := k.propose(ctx, r, end); err != nil {
		k.pending.add(end)
	}
	if end.GetClaim().GetState() == api.ClaimState_CLAIM_STATE_NOT_RUN {
		return
	}
	onFile := proto.Clone(end).(*api.ClaimProposal)
	onFile.Kind = api.ClaimProposalKind_CLAIM_PROPOSAL_KIND_RECORD
	onFile.Issued = nil
	k.pending.add(onFile)
}

func stateOf(kind OutcomeKind) api.ClaimState {
	switch kind {
	case Answered:
		return api.ClaimState_CLAIM_STATE_ANSWERED
	case NotRun:
		return api.ClaimState_CLAIM_STATE_NOT_RUN
	default:
		return api.ClaimState_CLAIM_STATE_UNKNOWN
	}
}

// answerFor returns what is kept of an outcome's answer.
func (k *Keeper) answerFor(o Outcome) *api.RecordedAnswer {
	if o.Kind != Answered {
		return nil
	}
	a := &api.RecordedAnswer{Status: uint32(o.Status), ContentType: o.ContentType}
	if o.Dropped || len(o.Body) > int(k.cfg.Settings.GetAnswerLimitBytes()) {
		a.Dropped = true
		return a
	}
	a.Body = o.Body
	return a
}

// answerOf returns the outcome of an answered claim.
func (k *Keeper) answerOf(ctx context.Context, c *api.Claim) (Outcome, error) {
	answer := c.GetAnswer()
	if c.GetAnswerObject() != "" {
		var err error
		if answer, err = k.readAnswer(ctx, c); err != nil {
			return Outcome{}, err
		}
	}
	return Outcome{
		Kind:        Answered,
		Status:      int(answer.GetStatus()),
		ContentType: answer.GetContentType(),
		Body:        answer.GetBody(),
		Dropped:     answer.GetDropped(),
	}, nil
}

// readAnswer reads an answer from its object. One whose retention has ended counts as dropped.
func (k *Keeper) readAnswer(ctx context.Context, c *api.Claim) (*api.RecordedAnswer, error) {
	segment, err := k.readSegment(ctx, c.GetAnswerObject())
	if errors.Is(err, objectstore.ErrNotFound) {
		return &api.RecordedAnswer{Dropped: true}, nil
	}
	if err != nil {
		return nil, err
	}
	found := claim.Find(segment, claim.KeyHash(c.GetKeyHash()))
	if found == nil {
		return &api.RecordedAnswer{Dropped: true}, nil
	}
	return found.GetAnswer(), nil
}

func (k *Keeper) readSegment(ctx context.Context, name string) (*api.ClaimSegment, error) {
	obj, err := k.cfg.Store.Get(ctx, name)
	if err != nil {
		return nil, err
	}
	segment := &api.ClaimSegment{}
	if err := proto.Unmarshal(obj.Value, segment); err != nil {
		return nil, fmt.Errorf("%w: claims segment: %w", objectstore.ErrMalformed, err)
	}
	return segment, nil
}
