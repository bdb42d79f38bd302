package server

import (
	"context"
	"net/http"
	"sync"
	"time"

	"pumiceshelf/endpoint"
	"pumiceshelf/idempotency"
	"pumiceshelf/invariant"
)

// deliver sends the rest of a response or a refusal. The last byte of a response is sent after the budget is settled
// and the outcome recorded; a refusal is sent at once.
func (j *job) deliver(o executionOutcome) {
	if o.kind == idempotency.Completed {
		j.settleAndRecord(o)
		j.relay.complete(&o.result)
		j.server.metrics.completed.Inc(1)
		j.server.metrics.totalTime.UpdateSince(j.receivedAt)
		j.addTraceEvent("whole answer passed to the caller")
		return
	}
	if j.relay.streamStarted {
		j.abort(o)
		return
	}
	j.sendRefusal(o.refusal)
	j.settleAndRecord(o)
}

// abort ends a stream of which events were already sent. It sends the refusal as an event and closes the connection
// without the end marker, so that the caller cannot mistake the stream for a complete response.
func (j *job) abort(o executionOutcome) {
	j.server.metrics.abortedStreams.Inc(1)
	j.server.metrics.unknownOutcomes.Inc(1)
	j.server.metrics.refused[o.refusal.reason].Inc(1)
	j.addTraceEvent("stream aborted: " + string(o.refusal.reason))
	o.refusal.requestID = j.id
	j.relay.sendError(o.refusal)
	j.settleAndRecord(o)
	panic(http.ErrAbortHandler)
}

// settleAndRecord settles the budget and, for a keyed request, records the outcome.
func (j *job) settleAndRecord(o executionOutcome) {
	invariant.Check(o.kind != idempotency.NotRun || !j.mayHaveRun, "server", "request %s may have run but its outcome is not run", j.id)
	start := j.server.cfg.Clock.Now()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(j.r.Context()), settleTimeout)
	defer cancel()
	var wg sync.WaitGroup
	wg.Go(func() { j.settle(ctx, o.kind != idempotency.NotRun, o.result.Usage) })
	j.recordOutcome(ctx, o.kind, &o.result)
	wg.Wait()
	if j.isDetached() && j.r.Context().Err() != nil {
		j.server.metrics.finishedWithoutCaller.Inc(1)
	}
	j.server.metrics.timeToSettle.UpdateSince(start)
}

// settleBeforeRetry settles a run before the request runs again.
func (j *job) settleBeforeRetry(ran bool, u endpoint.Usage) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(j.r.Context()), settleTimeout)
	defer cancel()
	j.settle(ctx, ran, u)
}

// writeDeadline returns the deadline of a write that starts now, so that a caller that stops reading cannot block it.
func (j *job) writeDeadline() time.Time {
	return time.Now().Add(j.server.cfg.Settings.ProgressTimeout.AsDuration())
}
