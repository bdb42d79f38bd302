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

// Finish implements Deduplicator.
func (m *Manager) Finish(ctx context.Context, key claim.KeyHash, o Outcome) {
	e := m.local.running(key)
	invariant.Check(e != nil, "claim", "Finish was called for a request that is not running")
	r := e.request
	if !r.Idempotent {
		m.recordOutcome(ctx, r, o)
	}
	m.local.finish(key, o)
	m.trace(r.RequestID, "outcome recorded: "+claimState(o.Kind).String())
}

// recordOutcome makes an outcome durable, in the background if ctx ends first or the write fails.
func (m *Manager) recordOutcome(ctx context.Context, r Request, o Outcome) {
	finish := m.finishProposal(newFinishedRequest(r, o), m.cfg.Clock.Now().UnixMilli(), r.Issued)
	if r.Form == claim.Issued {
		m.recordIssuedOutcome(ctx, r, finish)
		return
	}
	if r.Form == claim.Stated {
		// The request may have been admitted without a durable claim. RECORD creates the claim if it is missing.
		finish.Kind = api.ClaimProposalKind_CLAIM_PROPOSAL_KIND_RECORD
	}
	if _, err := m.proposeDurable(ctx, finish); err != nil {
		m.pending.add(finish)
	}
}

// recordIssuedOutcome reports an outcome to the issuer, which decides the key. A copy is written to the object store in
// the background, so that the outcome is still known after the issuer has ended.
func (m *Manager) recordIssuedOutcome(ctx context.Context, r Request, finish *api.ClaimProposal) {
	if _, err := m.propose(ctx, r, finish); err != nil {
		m.pending.add(finish)
	}
	if finish.GetClaim().GetState() == api.ClaimState_CLAIM_STATE_NOT_RUN {
		return
	}
	record := proto.Clone(finish).(*api.ClaimProposal)
	record.Kind = api.ClaimProposalKind_CLAIM_PROPOSAL_KIND_RECORD
	record.Issued = nil
	m.pending.add(record)
}

// claimState returns the state of a claim whose request ended with an outcome of the given kind.
func claimState(kind OutcomeKind) api.ClaimState {
	switch kind {
	case Completed:
		return api.ClaimState_CLAIM_STATE_ANSWERED
	case NotRun:
		return api.ClaimState_CLAIM_STATE_NOT_RUN
	default:
		return api.ClaimState_CLAIM_STATE_UNKNOWN
	}
}

// encodeResponse returns the response to record for an outcome, without the body if that is over the limit. It returns
// nil if the outcome has no response.
func (m *Manager) encodeResponse(o Outcome) *api.RecordedAnswer {
	if o.Kind != Completed {
		return nil
	}
	a := &api.RecordedAnswer{Status: uint32(o.Status), ContentType: o.ContentType}
	if o.BodyDropped || len(o.Body) > int(m.cfg.Settings.GetAnswerLimitBytes()) {
		a.Dropped = true
		return a
	}
	a.Body = o.Body
	return a
}

// storedOutcome returns the outcome of a claim in state ANSWERED.
func (m *Manager) storedOutcome(ctx context.Context, c *api.Claim) (Outcome, error) {
	response := c.GetAnswer()
	if c.GetAnswerObject() != "" {
		var err error
		if response, err = m.readResponseObject(ctx, c); err != nil {
			return Outcome{}, err
		}
	}
	return Outcome{
		Kind:        Completed,
		Status:      int(response.GetStatus()),
		ContentType: response.GetContentType(),
		Body:        response.GetBody(),
		BodyDropped: response.GetDropped(),
	}, nil
}

// readResponseObject reads a response from its own object. The body counts as dropped if the object no longer exists,
// because it is deleted after the retention.
func (m *Manager) readResponseObject(ctx context.Context, c *api.Claim) (*api.RecordedAnswer, error) {
	segment, err := m.readSegment(ctx, c.GetAnswerObject())
	if errors.Is(err, objectstore.ErrNotFound) {
		return &api.RecordedAnswer{Dropped: true}, nil
	}
	if err != nil {
		return nil, err
	}
	found := claim.FindInSegment(segment, claim.KeyHash(c.GetKeyHash()))
	if found == nil {
		return &api.RecordedAnswer{Dropped: true}, nil
	}
	return found.GetAnswer(), nil
}

// readSegment reads a segment, or an object with responses, from the object store.
func (m *Manager) readSegment(ctx context.Context, name string) (*api.ClaimSegment, error) {
	obj, err := m.cfg.Store.Get(ctx, name)
	if err != nil {
		return nil, err
	}
	segment := &api.ClaimSegment{}
	if err := proto.Unmarshal(obj.Value, segment); err != nil {
		return nil, fmt.Errorf("%w: claims segment: %w", objectstore.ErrMalformed, err)
	}
	return segment, nil
}
