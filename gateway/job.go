package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/apex/log"

	"pumiceshelf/placement"
	"pumiceshelf/prepaid"
	"pumiceshelf/routing"
)

const (
	// defaultDeadline is how long a request may take if neither caller nor route say.
	defaultDeadline = 30 * time.Second
	// defaultBodyBytes bounds a body before the configuration does.
	defaultBodyBytes = 4 << 20
	// leastTime is the time left below which a request is not sent any more: no endpoint answers within it.
	leastTime = 10 * time.Millisecond
	// dialLimit bounds the endpoints that one request fails to reach before it is refused.
	dialLimit = 4
)

// job is one request on its way. It belongs to one goroutine.
type job struct {
	gateway *Gateway
	w       http.ResponseWriter
	r       *http.Request
	started time.Time

	table    *routing.Table
	meta     Meta
	route    *routing.Route
	service  string
	customer *routing.Customer
	body     []byte
	deadline time.Time
	ctx      context.Context
	cancel   context.CancelFunc

	reservation *prepaid.Reservation
	// mayHaveRun is set once an endpoint may have run the request.
	mayHaveRun bool
	// sent counts the endpoints that the request was sent to, dials those that could not be reached.
	sent, dials int
	tried       map[string]bool
	// answered is the last failure that was an endpoint's own answer.
	answered *failure

	// headerSent is set once the answer's header has gone to the caller.
	headerSent bool
	// lastEvent is the id of the last event that went to the caller.
	lastEvent  int64
	events     int64
	firstAfter time.Duration

	endpoint string
	status   int
	why      reason
	complete bool
}

// serve takes the request through all its steps.
func (j *job) serve() {
	if settle := j.gateway.config.Settle; settle != nil {
		settle(j.r.Context())
	}
	for _, step := range []func() *refusal{j.match, j.identify, j.readBody, j.reserve, j.forward} {
		if r := step(); r != nil {
			j.refuse(*r)
			return
		}
	}
}

// match finds the route and the service.
func (j *job) match() *refusal {
	g := j.gateway
	meta, err := g.config.Wire.Request(j.r.Header)
	j.meta = meta
	j.table = g.config.Table()
	if j.table == nil || g.config.Endpoints() == nil {
		return &refusal{status: http.StatusServiceUnavailable, reason: reasonStarting, retryAfter: retrySoon}
	}
	j.route = j.table.Match(j.r.Host, j.r.URL.Path)
	if j.route == nil {
		return &refusal{status: http.StatusNotFound, reason: reasonNoRoute}
	}
	if limit := j.table.Limits().HeaderBytes; limit > 0 && headerBytes(j.r) > limit {
		return &refusal{status: http.StatusRequestHeaderFieldsTooLarge, reason: reasonTooLarge}
	}
	if err != nil {
		g.config.Log.WithField("request_id", meta.ID).WithError(err).Info("gateway: malformed request")
		return &refusal{status: http.StatusBadRequest, reason: reasonMalformed}
	}
	j.service, _ = j.route.Pick(g.config.Uniform())
	j.setDeadline()
	return nil
}

// headerBytes returns the size of a request's line and header as it came, but for blanks that are not kept.
func headerBytes(r *http.Request) int {
	n := len(r.Method) + len(r.RequestURI) + len(r.Proto) + len("Host: ") + len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(": ") + len(v) + len("\r\n")
		}
	}
	return n
}

func (j *job) setDeadline() {
	limit := defaultDeadline
	if j.meta.Deadline > 0 {
		limit = j.meta.Deadline
	}
	if j.route.Timeout > 0 {
		limit = min(limit, j.route.Timeout)
	}
	j.deadline = j.started.Add(limit)
	j.ctx, j.cancel = context.WithTimeout(j.r.Context(), limit)
}

// identify finds the customer.
func (j *job) identify() *refusal {
	j.customer = j.table.CustomerOf(j.meta.Key)
	if j.customer == nil && j.table.RequiresKey() && !j.route.Public {
		return &refusal{status: http.StatusUnauthorized, reason: reasonUnknownKey}
	}
	return nil
}

// readBody reads the whole body, so that the request can be sent again.
func (j *job) readBody() *refusal {
	limit := j.table.Limits().BodyBytes
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	control := http.NewResponseController(j.w)
	if err := control.SetReadDeadline(j.deadline); err != nil {
		j.gateway.config.Log.WithField("request_id", j.meta.ID).WithError(err).Debug("gateway: no read deadline")
	}
	body, err := io.ReadAll(http.MaxBytesReader(j.w, j.r.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return &refusal{status: http.StatusRequestEntityTooLarge, reason: reasonTooLarge}
	case err != nil && j.r.Context().Err() != nil:
		return &refusal{status: http.StatusRequestTimeout, reason: reasonCallerLeft}
	case err != nil:
		return &refusal{status: http.StatusRequestTimeout, reason: reasonBodyCut}
	}
	if err := control.SetReadDeadline(time.Time{}); err != nil {
		j.gateway.config.Log.WithField("request_id", j.meta.ID).WithError(err).Debug("gateway: no read deadline")
	}
	j.body = body
	return nil
}

// reserve takes the request at its most from the customer's budget.
func (j *job) reserve() *refusal {
	if j.customer == nil || j.customer.Prepaid == nil {
		return nil
	}
	tokens := j.meta.PromptTokens + j.meta.MaxOutputTokens
	if tokens == 0 {
		return nil
	}
	var outcome prepaid.Outcome
	j.reservation, outcome = j.gateway.config.Budgets.Reserve(j.ctx, j.customer.Name, tokens)
	switch outcome {
	case prepaid.Exhausted:
		return &refusal{status: http.StatusPaymentRequired, reason: reasonExhausted}
	case prepaid.Unavailable:
		return &refusal{status: http.StatusServiceUnavailable, reason: reasonBudgetAway, retryAfter: retryOutage}
	default:
		return nil
	}
}

// spent returns the tokens that the request is charged: the prompt once it may have been read, and what was delivered.
func (j *job) spent() int64 {
	if !j.mayHaveRun {
		return 0
	}
	perEvent := int64(1)
	if e := j.engine(); e != nil {
		perEvent = e.TokensPerEvent
	}
	return j.meta.PromptTokens + min(j.events*perEvent, j.meta.MaxOutputTokens)
}

// left returns how much time the request has.
func (j *job) left() time.Duration { return j.deadline.Sub(j.gateway.config.Clock.Now()) }

// refuse ends the request with a word of this instance. Once a part of the answer has gone out, only the connection can
// say that it is not whole.
func (j *job) refuse(r refusal) {
	j.why = r.reason
	if j.headerSent || r.reason == reasonCallerLeft {
		j.end()
		panic(http.ErrAbortHandler)
	}
	j.status = r.status
	r.write(j.w, j.gateway.config.Wire, j.meta.ID)
}

// end settles and logs the request. It is called once or, when the answer is cut, twice.
func (j *job) end() {
	if j.complete {
		return
	}
	j.complete = true
	if j.cancel != nil {
		j.cancel()
	}
	g := j.gateway
	charged := int64(0)
	if j.reservation != nil {
		charged = j.spent()
		j.reservation.Settle(charged)
	}
	total := g.config.Clock.Since(j.started)
	g.counters.observe(j.why, total, j.firstAfter)
	g.config.Log.WithFields(j.fields(total, charged)).Info("gateway: request ended")
}

func (j *job) fields(total time.Duration, charged int64) log.Fields {
	f := log.Fields{
		"request_id": j.meta.ID, "status": j.status, "ms": total.Milliseconds(), "sent": j.sent, "dial_failures": j.dials,
		"endpoint": j.endpoint, "may_have_run": j.mayHaveRun,
	}
	if j.why != reasonNone {
		f["reason"] = string(j.why)
	}
	if j.route != nil {
		f["route"], f["service"] = j.route.Name, j.service
	}
	if j.table != nil {
		f["config_version"] = j.table.Version()
	}
	if j.customer != nil {
		f["customer"] = j.customer.Name
	}
	if j.meta.PromptTokens > 0 {
		f["prompt_tokens"], f["charged_tokens"], f["first_ms"], f["events"] =
			j.meta.PromptTokens, charged, j.firstAfter.Milliseconds(), j.events
	}
	return f
}

// request returns what placement needs to know.
func (j *job) request() placement.Request {
	r := placement.Request{Service: j.service, Domain: j.gateway.config.Domain}
	if j.engine() != nil {
		r.Parts, r.PromptTokens, r.Priority = j.meta.Parts, j.meta.PromptTokens, enginePriority(j.customer, j.route)
		r.Patience = patience(j.route)
	}
	return r
}

// engine describes the engines of the request's service, nil for a plain one.
func (j *job) engine() *routing.Engine {
	if s := j.table.Service(j.service); s != nil {
		return s.Engine
	}
	return nil
}

// patience is the longest wait for a first event for which a request is still sent to an engine: the route's objective.
// While engines have more to read than that, those that would be late only delay the others; they do better to come back.
func patience(r *routing.Route) time.Duration { return r.LatencyObjective }
