package server

import (
	"context"

	"pumiceshelf/claim"
	"pumiceshelf/endpoint"
	"pumiceshelf/idempotency"
)

// runSuffix is the length of what tells the runs of an idempotent keyed request apart.
const runSuffix = 8

// begin asks the gate about the key. It returns false when the caller has been answered.
func (j *job) begin() bool {
	key := claim.ParseKey(j.customer.ID, j.control.key)
	v := j.server.cfg.Gate.Begin(j.r.Context(), idempotency.Request{
		Key:          key.Hash,
		Form:         key.Form,
		Issued:       key.Issued,
		KeyTime:      key.Time,
		Body:         claim.HashBody(j.r.Method, j.r.URL.RequestURI(), j.body),
		RequestID:    j.id,
		Idempotent:   j.idempotent,
		FirstAttempt: j.control.firstAttempt,
		MaxWait:      j.remaining(),
	})
	if v.Decision == idempotency.Run {
		j.tell("key claimed")
		return true
	}
	if v.OriginalRequestID != "" {
		j.tell("repeat of request " + v.OriginalRequestID)
		j.id = v.OriginalRequestID
	}
	j.answerRepeat(v)
	return false
}

// answerRepeat answers a request that the gate did not let run.
func (j *job) answerRepeat(v idempotency.BeginResult) {
	switch v.Decision {
	case idempotency.Recorded:
		j.answerRecorded(v)
	case idempotency.BodyMismatch:
		j.refuse(refuse(ReasonKeyMismatch, "the key belongs to a request with another method, path or body"))
	case idempotency.UnknownOutcome:
		j.refuse(earlierUnknown().after(v.RetryAfter))
	default:
		j.refuse(refuse(ReasonClaimUnavailable, "the key could not be claimed; nothing ran").after(v.RetryAfter))
	}
}

func earlierUnknown() *refusal {
	return refuse(ReasonEarlierUnknown, "a request with this key may have run; it is not run again").mayHaveRun()
}

// joinedUnknown answers a request that joined one that may have run and has no answer.
func (j *job) joinedUnknown() *refusal {
	if j.idempotent {
		return refuse(ReasonAnswerLost, "the request that this one joined got no whole answer").mayHaveRun()
	}
	return earlierUnknown()
}

func (j *job) answerRecorded(v idempotency.BeginResult) {
	switch v.Outcome.Kind {
	case idempotency.Completed:
	case idempotency.NotRun:
		j.refuse(refuse(ReasonClaimUnavailable, "the request that this one joined did not run").after(v.RetryAfter))
		return
	default:
		j.refuse(j.joinedUnknown())
		return
	}
	if v.Outcome.BodyDropped {
		j.refuse(refuse(ReasonAnswerNotKept, "the request ran and was answered; the answer was too large to keep").mayHaveRun())
		return
	}
	j.server.meters.replayed.Inc(1)
	j.tell("recorded answer passed to the caller")
	j.relay.replay(v.Outcome)
}

// finish records how a keyed request ended.
func (j *job) finish(ctx context.Context, kind idempotency.OutcomeKind, res *endpoint.Result) {
	if !j.keyed {
		return
	}
	o := idempotency.Outcome{Kind: kind}
	if kind == idempotency.Completed {
		o.Status, o.ContentType = res.HTTPStatus, res.Header.Get("Content-Type")
		if j.chat != nil {
			o.ContentType = "application/json"
		}
		o.Body, o.BodyDropped = j.relay.recorded(res)
	}
	j.server.cfg.Gate.Finish(ctx, j.key, o)
}
