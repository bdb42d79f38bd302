package server

import (
	"context"

	"pumiceshelf/claim"
	"pumiceshelf/endpoint"
	"pumiceshelf/idempotency"
)

// runIDSuffixLength is the length of the suffix that makes the ID of each run of an idempotent keyed request unique.
const runIDSuffixLength = 8

// claimKey claims the idempotency key. If the request must not run, it sends a response and returns false.
func (j *job) claimKey() bool {
	key := claim.ParseKey(j.customer.ID, j.headers.key)
	v := j.server.cfg.Idempotency.Begin(j.r.Context(), idempotency.Request{
		Key:          key.Hash,
		Form:         key.Form,
		Issued:       key.Issued,
		KeyTime:      key.Time,
		Body:         claim.HashBody(j.r.Method, j.r.URL.RequestURI(), j.body),
		RequestID:    j.id,
		Idempotent:   j.idempotent,
		FirstAttempt: j.headers.firstAttempt,
		MaxWait:      j.remainingTime(),
	})
	if v.Decision == idempotency.Run {
		j.addTraceEvent("key claimed")
		return true
	}
	if v.OriginalRequestID != "" {
		j.addTraceEvent("repeat of request " + v.OriginalRequestID)
		j.id = v.OriginalRequestID
	}
	j.respondToDuplicate(v)
	return false
}

// respondToDuplicate sends the response to a request that must not run, according to the decision on its key.
func (j *job) respondToDuplicate(v idempotency.BeginResult) {
	switch v.Decision {
	case idempotency.Recorded:
		j.respondRecorded(v)
	case idempotency.BodyMismatch:
		j.sendRefusal(newRefusal(ReasonKeyBodyMismatch, "the key belongs to a request with another method, path or body"))
	case idempotency.UnknownOutcome:
		j.sendRefusal(earlierAttemptUnknownRefusal().withRetryAfter(v.RetryAfter))
	default:
		j.sendRefusal(newRefusal(ReasonClaimUnavailable, "the key could not be claimed; nothing ran").withRetryAfter(v.RetryAfter))
	}
}

func earlierAttemptUnknownRefusal() *refusal {
	return newRefusal(ReasonEarlierAttemptUnknown, "a request with this key may have run; it is not run again").withUnknownOutcome()
}

// joinedUnknownRefusal returns the refusal for a request that joined another with the same key, which may have run but
// got no complete response.
func (j *job) joinedUnknownRefusal() *refusal {
	if j.idempotent {
		return newRefusal(ReasonResponseLost, "the request that this one joined got no whole answer").withUnknownOutcome()
	}
	return earlierAttemptUnknownRefusal()
}

// respondRecorded sends the recorded outcome of an earlier request with the same key.
func (j *job) respondRecorded(v idempotency.BeginResult) {
	switch v.Outcome.Kind {
	case idempotency.Completed:
	case idempotency.NotRun:
		j.sendRefusal(newRefusal(ReasonClaimUnavailable, "the request that this one joined did not run").withRetryAfter(v.RetryAfter))
		return
	default:
		j.sendRefusal(j.joinedUnknownRefusal())
		return
	}
	if v.Outcome.BodyDropped {
		j.sendRefusal(newRefusal(ReasonResponseNotStored, "the request ran and was answered; the answer was too large to keep").withUnknownOutcome())
		return
	}
	j.server.metrics.replayed.Inc(1)
	j.addTraceEvent("recorded answer passed to the caller")
	j.relay.replay(v.Outcome)
}

// recordOutcome records the outcome of a keyed request. It does nothing for other requests.
func (j *job) recordOutcome(ctx context.Context, kind idempotency.OutcomeKind, res *endpoint.Result) {
	if !j.keyed {
		return
	}
	o := idempotency.Outcome{Kind: kind}
	if kind == idempotency.Completed {
		o.Status, o.ContentType = res.HTTPStatus, res.Header.Get("Content-Type")
		if j.chat != nil {
			o.ContentType = "application/json"
		}
		o.Body, o.BodyDropped = j.relay.recordedBody(res)
	}
	j.server.cfg.Idempotency.Finish(ctx, j.key, o)
}
