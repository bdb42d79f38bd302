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

// deliver gives the caller the end of its request. An answer's last byte waits until it is settled and recorded;
// a refusal goes out at once.
func (j *job) deliver(e end) {
	if e.kind == idempotency.Completed {
		j.close(e)
		j.relay.complete(&e.result)
		j.server.meters.answered.Inc(1)
		j.server.meters.total.UpdateSince(j.start)
		j.tell("whole answer passed to the caller")
		return
	}
	if j.relay.started {
		j.abort(e)
		return
	}
	j.refuse(e.refusal)
	j.close(e)
}

// abort ends a stream of which pieces have been passed, so that nobody can take it for whole.
func (j *job) abort(e end) {
	j.server.meters.aborted.Inc(1)
	j.server.meters.unknown.Inc(1)
	j.server.meters.refused[e.refusal.reason].Inc(1)
	j.tell("stream aborted: " + string(e.refusal.reason))
	e.refusal.requestID = j.id
	j.relay.abort(e.refusal)
	j.close(e)
	panic(http.ErrAbortHandler)
}

// close settles the budget and records the outcome of a keyed request.
func (j *job) close(e end) {
	invariant.Check(e.kind != idempotency.NotRun || !j.ran, "server", "request %s may have run and would be called not run", j.id)
	start := j.server.cfg.Clock.Now()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(j.r.Context()), closeTimeout)
	defer cancel()
	var wg sync.WaitGroup
	wg.Go(func() { j.settle(ctx, e.kind != idempotency.NotRun, e.result.Usage) })
	j.finish(ctx, e.kind, &e.result)
	wg.Wait()
	if j.detached() && j.r.Context().Err() != nil {
		j.server.meters.detached.Inc(1)
	}
	j.server.meters.close.UpdateSince(start)
}

// settleSoon settles a run that another one follows.
func (j *job) settleSoon(ran bool, u endpoint.Usage) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(j.r.Context()), closeTimeout)
	defer cancel()
	j.settle(ctx, ran, u)
}

// writeDeadline bounds one write to a caller that reads slowly.
func (j *job) writeDeadline() time.Time {
	return time.Now().Add(j.server.cfg.Settings.ProgressTimeout.AsDuration())
}
