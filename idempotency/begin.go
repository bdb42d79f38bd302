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

// Begin implements Gate.
func (k *Keeper) Begin(ctx context.Context, r Request) Verdict {
	if r.Wait <= 0 {
		r.Wait = k.claimWait()
	}
	r.attempt = k.attempts.Add(1)
	ctx, cancel := k.within(ctx, r.Wait)
	defer cancel()
	e, lead := k.local.open(r)
	if !lead {
		return k.count.of(k.join(ctx, r, e))
	}
	v := k.recent(r)
	if v.Decision == 0 {
		v = k.decide(ctx, r)
	}
	if v.Decision == Run {
		k.local.start(e)
	} else {
		k.local.refuse(e, v)
	}
	return k.count.of(v)
}

// of counts a verdict and returns it.
func (c *counters) of(v Verdict) Verdict {
	switch v.Decision {
	case Run:
		c.runs.Inc(1)
	case Recorded:
		c.recorded.Inc(1)
	case Mismatch:
		c.mismatch.Inc(1)
	case Unavailable:
		c.unavailable.Inc(1)
	case UnknownOutcome:
		c.unknown.Inc(1)
	}
	return v
}

// join waits for the outcome of a request in progress on this instance.
func (k *Keeper) join(ctx context.Context, r Request, e *entry) Verdict {
	if e.request.Body != r.Body {
		return Verdict{Decision: Mismatch, OriginalID: e.request.RequestID}
	}
	k.count.joins.Inc(1)
	k.tell(r.RequestID, "joined request "+e.request.RequestID)
	select {
	case <-e.done:
		return e.verdict
	case <-ctx.Done():
		return k.stillRunning(e.request.RequestID)
	}
}

// recent answers from the outcomes kept in memory. A request that did not run leaves its key free.
func (k *Keeper) recent(r Request) Verdict {
	last := k.local.last(r.Key)
	if last == nil || last.outcome.Kind == NotRun {
		return Verdict{}
	}
	if last.body != r.Body {
		return Verdict{Decision: Mismatch, OriginalID: last.requestID}
	}
	return verdictOf(last.outcome, last.requestID)
}

// decide lets a request run or says why not.
func (k *Keeper) decide(ctx context.Context, r Request) Verdict {
	if r.Idempotent {
		return Verdict{Decision: Run}
	}
	if k.expired(r) {
		k.count.expired.Inc(1)
		return Verdict{Decision: UnknownOutcome}
	}
	if r.Form == claim.Stated && !r.FirstAttempt {
		if v := k.laterAttempt(ctx, r); v.Decision != 0 {
			return v
		}
	}
	return k.claim(ctx, r)
}

// expired says that claims of the key's age are no longer kept, so that whether it was used cannot be told.
func (k *Keeper) expired(r Request) bool {
	return !r.KeyTime.IsZero() && k.cfg.Clock.Now().Sub(r.KeyTime) > k.retention()
}

// laterAttempt refuses a later attempt with a stated key unless a record is on file: the first may have been admitted by
// an instance that was cut off, and no one can tell.
func (k *Keeper) laterAttempt(ctx context.Context, r Request) Verdict {
	present, err := k.propose(ctx, r, k.proposal(api.ClaimProposalKind_CLAIM_PROPOSAL_KIND_LOOK, r))
	if err != nil {
		return k.undecided(r)
	}
	if present.GetState() == api.ClaimState_CLAIM_STATE_UNSPECIFIED {
		k.count.later.Inc(1)
		return Verdict{Decision: UnknownOutcome, RetryAfter: retryAfter()}
	}
	return Verdict{}
}

// claim asks for the key until it is this request's or another's.
func (k *Keeper) claim(ctx context.Context, r Request) Verdict {
	proposal := k.proposal(api.ClaimProposalKind_CLAIM_PROPOSAL_KIND_CLAIM, r)
	for wait := firstBackoff; ; wait = min(2*wait, lastBackoff) {
		present, err := k.propose(ctx, r, proposal)
		if err != nil {
			return k.outOfReach(ctx, r, err)
		}
		if v := k.judge(ctx, r, present); v.Decision != 0 {
			return v
		}
		if !k.sleep(ctx, jitter(wait)) {
			k.release(r)
			return k.stillRunning(present.GetRequestId())
		}
	}
}

func (k *Keeper) proposal(kind api.ClaimProposalKind, r Request) *api.ClaimProposal {
	return &api.ClaimProposal{
		Kind: kind,
		Claim: &api.Claim{
			KeyHash:   r.Key[:],
			BodyHash:  r.Body[:],
			RequestId: r.RequestID,
			Attempt:   r.attempt,
			Owner:     string(k.self),
			State:     api.ClaimState_CLAIM_STATE_CLAIMED,
			UnixMs:    k.cfg.Clock.Now().UnixMilli(),
		},
		Issued: r.Issued,
	}
}

// judge turns the key's claim into a verdict, or none if the claim is changing and must be asked for again.
func (k *Keeper) judge(ctx context.Context, r Request, c *api.Claim) Verdict {
	if len(c.GetBodyHash()) > 0 && claim.BodyHash(c.GetBodyHash()) != r.Body {
		return Verdict{Decision: Mismatch, OriginalID: c.GetRequestId()}
	}
	switch c.GetState() {
	case api.ClaimState_CLAIM_STATE_CLAIMED:
		return k.claimed(ctx, r, c)
	case api.ClaimState_CLAIM_STATE_ANSWERED:
		return k.answered(ctx, c)
	case api.ClaimState_CLAIM_STATE_UNKNOWN:
		return k.unknown(ctx, r, c)
	default:
		return Verdict{}
	}
}

func (k *Keeper) claimed(ctx context.Context, r Request, c *api.Claim) Verdict {
	own := c.GetOwner() == string(k.self)
	if own && c.GetAttempt() == r.attempt {
		k.tell(r.RequestID, "key claimed")
		return Verdict{Decision: Run}
	}
	if own {
		return k.formerOwn(ctx, r, c)
	}
	return k.await(ctx, r, c)
}

// formerOwn settles a claim of this incarnation for an earlier request that is no longer in progress here.
func (k *Keeper) formerOwn(ctx context.Context, r Request, c *api.Claim) Verdict {
	_, former := k.local.find(r.Key, c.GetAttempt())
	if former == nil {
		return k.seal(ctx, r, c)
	}
	if former.outcome.Kind != NotRun {
		return verdictOf(former.outcome, former.requestID)
	}
	end := k.ending(former, c.GetUnixMs(), r.Issued)
	if _, err := k.propose(ctx, r, end); err != nil {
		return k.undecided(r)
	}
	return Verdict{}
}

func (k *Keeper) answered(ctx context.Context, c *api.Claim) Verdict {
	o, err := k.answerOf(ctx, c)
	if err != nil {
		return Verdict{Decision: UnknownOutcome, OriginalID: c.GetRequestId(), RetryAfter: retryAfter()}
	}
	return verdictOf(o, c.GetRequestId())
}

// unknown answers for a claim that may have run. The issuer of a key forgets answers, which may be on file.
func (k *Keeper) unknown(ctx context.Context, r Request, c *api.Claim) Verdict {
	if r.Form == claim.Issued {
		if v := k.onFile(ctx, r); v.Decision != 0 {
			return v
		}
	}
	return Verdict{Decision: UnknownOutcome, OriginalID: c.GetRequestId()}
}

// onFile returns the outcome that the platform holds of an issued key, or none.
func (k *Keeper) onFile(ctx context.Context, r Request) Verdict {
	look := k.proposal(api.ClaimProposalKind_CLAIM_PROPOSAL_KIND_LOOK, r)
	c, err := k.proposeDurable(ctx, look)
	if err != nil || c.GetState() != api.ClaimState_CLAIM_STATE_ANSWERED {
		return Verdict{}
	}
	if claim.BodyHash(c.GetBodyHash()) != r.Body {
		return Verdict{Decision: Mismatch, OriginalID: c.GetRequestId()}
	}
	return k.answered(ctx, c)
}

// await waits for the owner's outcome. An owner that is not live cannot be asked, and may yet be paused: the claim is
// sealed so that the key stays taken whatever the owner does.
func (k *Keeper) await(ctx context.Context, r Request, c *api.Claim) Verdict {
	k.count.remoteJoins.Inc(1)
	owner := instance.Incarnation(c.GetOwner())
	for wait := firstBackoff; ; wait = min(2*wait, lastBackoff) {
		end, err := k.askOwner(ctx, owner, r, c)
		if err == nil {
			return k.told(ctx, r, c, end)
		}
		if !k.live(owner) {
			return k.seal(ctx, r, c)
		}
		if !k.sleep(ctx, jitter(wait)) {
			return k.stillRunning(c.GetRequestId())
		}
	}
}

// told acts on the owner's word on its claim.
func (k *Keeper) told(ctx context.Context, r Request, c, end *api.Claim) Verdict {
	switch end.GetState() {
	case api.ClaimState_CLAIM_STATE_ANSWERED:
		return k.answered(ctx, end)
	case api.ClaimState_CLAIM_STATE_UNKNOWN:
		return Verdict{Decision: UnknownOutcome, OriginalID: c.GetRequestId()}
	case api.ClaimState_CLAIM_STATE_CLAIMED:
		return k.stillRunning(c.GetRequestId())
	case api.ClaimState_CLAIM_STATE_NOT_RUN:
		return k.giveBack(ctx, r, c)
	default:
		return k.seal(ctx, r, c)
	}
}

// giveBack frees the key of a claim whose owner says that it never ran and never will. The owner does so too; a claim that
// was made after the owner gave up waiting for it would else stay.
func (k *Keeper) giveBack(ctx context.Context, r Request, c *api.Claim) Verdict {
	end := proto.Clone(c).(*api.Claim)
	end.State = api.ClaimState_CLAIM_STATE_NOT_RUN
	p := &api.ClaimProposal{Kind: api.ClaimProposalKind_CLAIM_PROPOSAL_KIND_FINISH, Claim: end, Issued: r.Issued}
	if _, err := k.propose(ctx, r, p); err != nil {
		return k.undecided(r)
	}
	return Verdict{}
}

// seal makes a claim unknown for good, unless it changed meanwhile.
func (k *Keeper) seal(ctx context.Context, r Request, c *api.Claim) Verdict {
	p := &api.ClaimProposal{Kind: api.ClaimProposalKind_CLAIM_PROPOSAL_KIND_SEAL, Claim: c, Issued: r.Issued}
	after, err := k.propose(ctx, r, p)
	if err != nil {
		return k.undecided(r)
	}
	if after.GetState() == api.ClaimState_CLAIM_STATE_CLAIMED {
		return Verdict{}
	}
	return k.judge(ctx, r, after)
}

// outOfReach answers when no one could decide the key in time.
func (k *Keeper) outOfReach(ctx context.Context, r Request, err error) Verdict {
	if errors.Is(err, errForged) {
		k.count.forged.Inc(1)
		return Verdict{Decision: Mismatch}
	}
	if r.Form == claim.Stated && r.FirstAttempt && k.cfg.Policy == PolicyStated {
		return k.admitLocally(r)
	}
	if errors.Is(err, errAmbiguous) {
		k.release(r)
	}
	if r.Form == claim.Issued {
		if v := k.onFile(ctx, r); v.Decision != 0 {
			return v
		}
	}
	if r.FirstAttempt {
		return Verdict{Decision: Unavailable, RetryAfter: retryAfter()}
	}
	return k.undecided(r)
}

// admitLocally lets the first attempt with a stated key run. No later attempt runs, here or elsewhere, without a record.
func (k *Keeper) admitLocally(r Request) Verdict {
	k.count.localAdmits.Inc(1)
	k.tell(r.RequestID, "admitted without the platform as the first attempt")
	record := k.proposal(api.ClaimProposalKind_CLAIM_PROPOSAL_KIND_RECORD, r)
	k.pending.add(record)
	return Verdict{Decision: Run}
}

// undecided answers a caller that may have sent the key before, when its claim is out of reach.
func (k *Keeper) undecided(Request) Verdict {
	k.count.undecided.Inc(1)
	return Verdict{Decision: UnknownOutcome, RetryAfter: retryAfter()}
}

func (k *Keeper) stillRunning(requestID string) Verdict {
	k.count.running.Inc(1)
	return Verdict{Decision: UnknownOutcome, OriginalID: requestID, RetryAfter: retryAfter()}
}

// release gives up a claim that may yet be made, so that the key becomes free again.
func (k *Keeper) release(r Request) {
	k.local.giveUp(r)
	k.pending.add(k.ending(endingOf(r, Outcome{Kind: NotRun}), k.cfg.Clock.Now().UnixMilli(), r.Issued))
}

// ending is the proposal that records the end of a request of this incarnation.
func (k *Keeper) ending(e *ending, unixMs int64, issued *api.IssuedKey) *api.ClaimProposal {
	return &api.ClaimProposal{
		Kind: api.ClaimProposalKind_CLAIM_PROPOSAL_KIND_FINISH,
		Claim: &api.Claim{
			KeyHash:   e.key[:],
			BodyHash:  e.body[:],
			RequestId: e.requestID,
			Attempt:   e.attempt,
			Owner:     string(k.self),
			State:     stateOf(e.outcome.Kind),
			UnixMs:    unixMs,
			Answer:    k.answerFor(e.outcome),
		},
		Issued: issued,
	}
}

// live says whether an incarnation is live, leaving or not, by this instance's view.
func (k *Keeper) live(id instance.Incarnation) bool {
	for _, m := range k.cfg.View.Members() {
		if m.Instance.GetIncarnation() == string(id) {
			return m.Live
		}
	}
	return false
}

// pollWait is the longest single wait for an owner, so that a silent one is noticed.
const pollWait = 10 * time.Second
