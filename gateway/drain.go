package gateway

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"pumiceshelf/servicetime"
)

// errStopping is the cancellation cause of a request that is still in progress shortly before its instance ends.
var errStopping = errors.New("gateway: the instance is stopping")

// maxTimedRoutes bounds the routes whose durations are known. Configurations have far fewer; names of earlier ones add up.
const maxTimedRoutes = 4096

// drain is the state of a gateway whose instance is about to stop.
type drain struct {
	// endsAt is when the requests in progress are ended.
	endsAt time.Time
	// closed is set once no request is accepted.
	closed atomic.Bool
}

// StartDraining makes the gateway close each connection after its next response, so that callers reconnect elsewhere. It still serves
// the requests that it receives if they can end before endsAt, and refuses others as not run.
func (g *Gateway) StartDraining(endsAt time.Time) { g.drain.Store(&drain{endsAt: endsAt}) }

// StopAccepting makes a draining gateway refuse all further requests as not run. Connections that were accepted before may still bring
// some.
func (g *Gateway) StopAccepting() { g.drain.Load().closed.Store(true) }

// EndRequests ends the requests in progress: those that an endpoint may have run with an unknown outcome, others as not run. A stream
// that has begun breaks off, and its caller may resume it elsewhere.
func (g *Gateway) EndRequests() { g.stop() }

// isDraining reports whether StartDraining was called.
func (g *Gateway) isDraining() bool { return g.drain.Load() != nil }

// checkDraining refuses a request that a draining instance may not be able to finish. A request of unknown duration is served only if it
// may be repeated elsewhere.
func (j *job) checkDraining() *refusal {
	d := j.gateway.drain.Load()
	if d == nil {
		return nil
	}
	refused := &refusal{status: http.StatusServiceUnavailable, reason: reasonStopping, retryAfter: retryAfterTransient}
	if d.closed.Load() {
		return refused
	}
	left := d.endsAt.Sub(j.gateway.config.Clock.Now())
	if j.timeLimit() <= left {
		return nil
	}
	expected, known := j.gateway.durations.upper(j.route.Name, j.cost())
	if known && expected <= left || !known && j.route.Retryable() {
		return nil
	}
	return refused
}

// cost returns the size of a request as far as its duration depends on it: an output token takes an engine longer than one of the prompt.
func (j *job) cost() uint64 {
	return uint64(max(j.meta.PromptTokens, 0)) + outputTokenCost*uint64(max(j.meta.MaxOutputTokens, 0))
}

// outputTokenCost is how many prompt tokens count as one output token: engines read prompts in chunks, and generate one token a step.
const outputTokenCost = 10

// interruption returns why the request's context ended.
func (j *job) interruption() reason {
	switch {
	case j.r.Context().Err() != nil:
		return reasonCallerCanceled
	case errors.Is(context.Cause(j.ctx), errStopping):
		return reasonStopping
	default:
		return reasonTimeout
	}
}

// durations estimates how long requests take from their arrival to their end, by route and size. It is safe for concurrent use.
type durations struct {
	mu     sync.Mutex
	routes map[string]*servicetime.Estimator
}

// observe records the duration of a request that was served.
func (d *durations) observe(route string, cost uint64, took time.Duration, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	e := d.routes[route]
	if e == nil {
		if d.routes == nil || len(d.routes) >= maxTimedRoutes {
			d.routes = make(map[string]*servicetime.Estimator)
		}
		e = &servicetime.Estimator{}
		d.routes[route] = e
	}
	// An Estimator takes a mean of zero for unknown.
	e.Observe(now, cost, max(took, 1))
}

// upper returns a duration that few requests of a route and size exceed. It returns false if none of that size were observed.
func (d *durations) upper(route string, cost uint64) (time.Duration, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	e := d.routes[route]
	if e == nil || !e.Known(cost) {
		return 0, false
	}
	return e.UpperEstimate(cost), true
}
