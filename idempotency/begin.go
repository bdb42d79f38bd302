package idempotency

import (
	"context"
	"errors"
	"time"

	"google.golang.org/protobuf/proto"

	"pumiceshelf/api"
	"pumiceshelf/claim"
	"pumiceshelf/instance"
)

// Begin implements Deduplicator.
func (m *Manager) Begin(ctx context.Context, r Request) BeginResult {
	if r.MaxWait <= 0 {
		r.MaxWait = m.claimWait()
	}
	r.attempt = m.lastAttempt.Add(1)
	ctx, cancel := m.withTimeout(ctx, r.MaxWait)
	defer cancel()
	e, isNew := m.local.getOrAdd(r)
	if !isNew {
		return m.counters.countResult(m.join(ctx, r, e))
	}
	result := m.recentResult(r)
	if result.Decision == 0 {
		result = m.decide(ctx, r)
	}
	if result.Decision == Run {
		m.local.markRunning(e)
	} else {
		m.local.reject(e, result)
	}
	return m.counters.countResult(result)
}

// countResult counts a result by its decision and returns it.
func (c *counters) countResult(result BeginResult) BeginResult {
	switch result.Decision {
	case Run:
		c.runs.Inc(1)
	case Recorded:
		c.recorded.Inc(1)
	case BodyMismatch:
		c.mismatch.Inc(1)
	case Unavailable:
		c.unavailable.Inc(1)
	case UnknownOutcome:
		c.unknown.Inc(1)
	}
	return result
}

// join waits for the outcome of a request with the same key that is in progress on this instance.
func (m *Manager) join(ctx context.Context, r Request, e *activeRequest) BeginResult {
	if e.request.Body != r.Body {
		return BeginResult{Decision: BodyMismatch, OriginalRequestID: e.request.RequestID}
	}
	m.counters.joins.Inc(1)
	m.trace(r.RequestID, "joined request "+e.request.RequestID)
	select {
	case <-e.done:
		return e.result
	case <-ctx.Done():
		return m.stillRunningResult(e.request.RequestID)
	}
}

// recentResult returns the result from the outcomes kept in memory, or the zero value if there is none. A request that
// did not run leaves its key free.
func (m *Manager) recentResult(r Request) BeginResult {
	latest := m.local.latest(r.Key)
	if latest == nil || latest.outcome.Kind == NotRun {
		return BeginResult{}
	}
	if latest.body != r.Body {
		return BeginResult{Decision: BodyMismatch, OriginalRequestID: latest.requestID}
	}
	return resultOf(latest.outcome, latest.requestID)
}

// decide claims the key for a request, or returns why the request must not run.
func (m *Manager) decide(ctx context.Context, r Request) BeginResult {
	if r.Idempotent {
		return BeginResult{Decision: Run}
	}
	if m.keyExpired(r) {
		m.counters.expired.Inc(1)
		return BeginResult{Decision: UnknownOutcome}
	}
	if r.Form == claim.Stated && !r.FirstAttempt {
		if result := m.checkLaterAttempt(ctx, r); result.Decision != 0 {
			return result
		}
	}
	return m.claimKey(ctx, r)
}

// keyExpired reports whether the key is older than the retention. Its claim may have been deleted, so it is unknown
// whether the key was used.
func (m *Manager) keyExpired(r Request) bool {
	return !r.KeyTime.IsZero() && m.cfg.Clock.Now().Sub(r.KeyTime) > m.retention()
}

// checkLaterAttempt refuses a later attempt with a stated key if the object store has no record of the key. The first
// attempt may have been admitted by an instance that was disconnected from the store.
func (m *Manager) checkLaterAttempt(ctx context.Context, r Request) BeginResult {
	current, err := m.propose(ctx, r, m.newProposal(api.ClaimProposalKind_CLAIM_PROPOSAL_KIND_LOOK, r))
	if err != nil {
		return m.undecidedResult(r)
	}
	if current.GetState() == api.ClaimState_CLAIM_STATE_UNSPECIFIED {
		m.counters.laterAttempt.Inc(1)
		return BeginResult{Decision: UnknownOutcome, RetryAfter: retryAfter()}
	}
	return BeginResult{}
}

// claimKey proposes a claim until the key belongs to this request or to another one.
func (m *Manager) claimKey(ctx context.Context, r Request) BeginResult {
	proposal := m.newProposal(api.ClaimProposalKind_CLAIM_PROPOSAL_KIND_CLAIM, r)
	for backoff := minBackoff; ; backoff = min(2*backoff, maxBackoff) {
		current, err := m.propose(ctx, r, proposal)
		if err != nil {
			return m.handleClaimError(ctx, r, err)
		}
		if result := m.resolveClaim(ctx, r, current); result.Decision != 0 {
			return result
		}
		if !m.sleep(ctx, jitter(backoff)) {
			m.abandonClaim(r)
			return m.stillRunningResult(current.GetRequestId())
		}
	}
}

func (m *Manager) newProposal(kind api.ClaimProposalKind, r Request) *api.ClaimProposal {
	return &api.ClaimProposal{
		Kind: kind,
		Claim: &api.Claim{
			KeyHash:   r.Key[:],
			BodyHash:  r.Body[:],
			RequestId: r.RequestID,
			Attempt:   r.attempt,
			Owner:     string(m.self),
			State:     api.ClaimState_CLAIM_STATE_CLAIMED,
			UnixMs:    m.cfg.Clock.Now().UnixMilli(),
		},
		Issued: r.Issued,
	}
}

// resolveClaim returns the result that follows from the key's claim, or the zero value if the claim is changing and must
// be proposed again.
func (m *Manager) resolveClaim(ctx context.Context, r Request, c *api.Claim) BeginResult {
	if len(c.GetBodyHash()) > 0 && claim.BodyHash(c.GetBodyHash()) != r.Body {
		return BeginResult{Decision: BodyMismatch, OriginalRequestID: c.GetRequestId()}
	}
	switch c.GetState() {
	case api.ClaimState_CLAIM_STATE_CLAIMED:
		return m.resolveActive(ctx, r, c)
	case api.ClaimState_CLAIM_STATE_ANSWERED:
		return m.resolveCompleted(ctx, c)
	case api.ClaimState_CLAIM_STATE_UNKNOWN:
		return m.resolveUnknown(ctx, r, c)
	default:
		return BeginResult{}
	}
}

// resolveActive handles a claim that has no outcome yet: this request's own, an earlier one of this incarnation, or one
// of another instance.
func (m *Manager) resolveActive(ctx context.Context, r Request, c *api.Claim) BeginResult {
	own := c.GetOwner() == string(m.self)
	if own && c.GetAttempt() == r.attempt {
		m.trace(r.RequestID, "key claimed")
		return BeginResult{Decision: Run}
	}
	if own {
		return m.resolveOwnEarlier(ctx, r, c)
	}
	return m.awaitOwner(ctx, r, c)
}

// resolveOwnEarlier handles a claim of this incarnation for an earlier request that is no longer in progress here. The
// claim is sealed if the outcome is no longer in memory.
func (m *Manager) resolveOwnEarlier(ctx context.Context, r Request, c *api.Claim) BeginResult {
	_, finished := m.local.find(r.Key, c.GetAttempt())
	if finished == nil {
		return m.sealClaim(ctx, r, c)
	}
	if finished.outcome.Kind != NotRun {
		return resultOf(finished.outcome, finished.requestID)
	}
	finish := m.finishProposal(finished, c.GetUnixMs(), r.Issued)
	if _, err := m.propose(ctx, r, finish); err != nil {
		return m.undecidedResult(r)
	}
	return BeginResult{}
}

// resolveCompleted returns the recorded response of a claim, or UnknownOutcome if the response cannot be read now.
func (m *Manager) resolveCompleted(ctx context.Context, c *api.Claim) BeginResult {
	o, err := m.storedOutcome(ctx, c)
	if err != nil {
		return BeginResult{Decision: UnknownOutcome, OriginalRequestID: c.GetRequestId(), RetryAfter: retryAfter()}
	}
	return resultOf(o, c.GetRequestId())
}

// resolveUnknown handles a claim whose request may have run. The issuer of a key evicts old responses from memory; the
// object store may still have them.
func (m *Manager) resolveUnknown(ctx context.Context, r Request, c *api.Claim) BeginResult {
	if r.Form == claim.Issued {
		if result := m.storedResult(ctx, r); result.Decision != 0 {
			return result
		}
	}
	return BeginResult{Decision: UnknownOutcome, OriginalRequestID: c.GetRequestId()}
}

// storedResult returns the result for an issued key whose response is recorded in the object store, or the zero value.
func (m *Manager) storedResult(ctx context.Context, r Request) BeginResult {
	lookUp := m.newProposal(api.ClaimProposalKind_CLAIM_PROPOSAL_KIND_LOOK, r)
	c, err := m.proposeDurable(ctx, lookUp)
	if err != nil || c.GetState() != api.ClaimState_CLAIM_STATE_ANSWERED {
		return BeginResult{}
	}
	if claim.BodyHash(c.GetBodyHash()) != r.Body {
		return BeginResult{Decision: BodyMismatch, OriginalRequestID: c.GetRequestId()}
	}
	return m.resolveCompleted(ctx, c)
}

// awaitOwner waits until the owner of a claim reports the outcome. An owner that is not live cannot be queried, but its
// process may only be paused: the claim is sealed so that the owner cannot release the key later.
func (m *Manager) awaitOwner(ctx context.Context, r Request, c *api.Claim) BeginResult {
	m.counters.remoteJoins.Inc(1)
	owner := instance.Incarnation(c.GetOwner())
	for backoff := minBackoff; ; backoff = min(2*backoff, maxBackoff) {
		reply, err := m.queryOwner(ctx, owner, r, c)
		if err == nil {
			return m.applyOwnerReply(ctx, r, c, reply)
		}
		if !m.isLive(owner) {
			return m.sealClaim(ctx, r, c)
		}
		if !m.sleep(ctx, jitter(backoff)) {
			return m.stillRunningResult(c.GetRequestId())
		}
	}
}

// applyOwnerReply returns the result that follows from the owner's reply about its claim.
func (m *Manager) applyOwnerReply(ctx context.Context, r Request, c, reply *api.Claim) BeginResult {
	switch reply.GetState() {
	case api.ClaimState_CLAIM_STATE_ANSWERED:
		return m.resolveCompleted(ctx, reply)
	case api.ClaimState_CLAIM_STATE_UNKNOWN:
		return BeginResult{Decision: UnknownOutcome, OriginalRequestID: c.GetRequestId()}
	case api.ClaimState_CLAIM_STATE_CLAIMED:
		return m.stillRunningResult(c.GetRequestId())
	case api.ClaimState_CLAIM_STATE_NOT_RUN:
		return m.releaseClaim(ctx, r, c)
	default:
		return m.sealClaim(ctx, r, c)
	}
}

// releaseClaim frees the key of a claim whose owner reports that the request never ran and never will. The owner also
// releases it, but a claim that took effect after the owner had stopped waiting for it might otherwise remain.
func (m *Manager) releaseClaim(ctx context.Context, r Request, c *api.Claim) BeginResult {
	released := proto.Clone(c).(*api.Claim)
	released.State = api.ClaimState_CLAIM_STATE_NOT_RUN
	p := &api.ClaimProposal{Kind: api.ClaimProposalKind_CLAIM_PROPOSAL_KIND_FINISH, Claim: released, Issued: r.Issued}
	if _, err := m.propose(ctx, r, p); err != nil {
		return m.undecidedResult(r)
	}
	return BeginResult{}
}

// sealClaim marks a claim as unknown unless it has changed. A sealed key is never released.
func (m *Manager) sealClaim(ctx context.Context, r Request, c *api.Claim) BeginResult {
	p := &api.ClaimProposal{Kind: api.ClaimProposalKind_CLAIM_PROPOSAL_KIND_SEAL, Claim: c, Issued: r.Issued}
	current, err := m.propose(ctx, r, p)
	if err != nil {
		return m.undecidedResult(r)
	}
	if current.GetState() == api.ClaimState_CLAIM_STATE_CLAIMED {
		return BeginResult{}
	}
	return m.resolveClaim(ctx, r, current)
}

// handleClaimError returns the result when the claim could not be decided in time or the key is forged.
func (m *Manager) handleClaimError(ctx context.Context, r Request, err error) BeginResult {
	if errors.Is(err, errForged) {
		m.counters.forged.Inc(1)
		return BeginResult{Decision: BodyMismatch}
	}
	if r.Form == claim.Stated && r.FirstAttempt && m.cfg.Policy == PolicyStated {
		return m.admitLocally(r)
	}
	if errors.Is(err, errAmbiguous) {
		m.abandonClaim(r)
	}
	if r.Form == claim.Issued {
		if result := m.storedResult(ctx, r); result.Decision != 0 {
			return result
		}
	}
	if r.FirstAttempt {
		return BeginResult{Decision: Unavailable, RetryAfter: retryAfter()}
	}
	return m.undecidedResult(r)
}

// admitLocally lets the first attempt with a stated key run without a durable claim. Later attempts do not run on any
// instance while the object store has no record of the key.
func (m *Manager) admitLocally(r Request) BeginResult {
	m.counters.localAdmits.Inc(1)
	m.trace(r.RequestID, "admitted without the platform as the first attempt")
	record := m.newProposal(api.ClaimProposalKind_CLAIM_PROPOSAL_KIND_RECORD, r)
	m.pending.add(record)
	return BeginResult{Decision: Run}
}

// undecidedResult is the result for a caller that may have sent the key before, when the key's claim cannot be reached.
func (m *Manager) undecidedResult(Request) BeginResult {
	m.counters.undecided.Inc(1)
	return BeginResult{Decision: UnknownOutcome, RetryAfter: retryAfter()}
}

// stillRunningResult is the result when the request in progress outlasted the wait of a request with the same key.
func (m *Manager) stillRunningResult(requestID string) BeginResult {
	m.counters.running.Inc(1)
	return BeginResult{Decision: UnknownOutcome, OriginalRequestID: requestID, RetryAfter: retryAfter()}
}

// abandonClaim releases a claim that may still take effect after this instance stopped waiting for it, so that the key
// becomes free again.
func (m *Manager) abandonClaim(r Request) {
	m.local.recordNotRun(r)
	m.pending.add(m.finishProposal(newFinishedRequest(r, Outcome{Kind: NotRun}), m.cfg.Clock.Now().UnixMilli(), r.Issued))
}

// finishProposal returns the proposal that records the outcome of a request of this incarnation.
func (m *Manager) finishProposal(e *finishedRequest, unixMs int64, issued *api.IssuedKey) *api.ClaimProposal {
	return &api.ClaimProposal{
		Kind: api.ClaimProposalKind_CLAIM_PROPOSAL_KIND_FINISH,
		Claim: &api.Claim{
			KeyHash:   e.key[:],
			BodyHash:  e.body[:],
			RequestId: e.requestID,
			Attempt:   e.attempt,
			Owner:     string(m.self),
			State:     claimState(e.outcome.Kind),
			UnixMs:    unixMs,
			Answer:    m.encodeResponse(e.outcome),
		},
		Issued: issued,
	}
}

// isLive reports whether an incarnation is live, draining or not, according to this instance's view.
func (m *Manager) isLive(id instance.Incarnation) bool {
	for _, member := range m.cfg.View.Members() {
		if member.Instance.GetIncarnation() == string(id) {
			return member.Live
		}
	}
	return false
}

// maxOwnerWait bounds one query to a claim's owner, so that an unresponsive owner is detected.
const maxOwnerWait = 10 * time.Second
