package gateway

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/apex/log"

	"pumiceshelf/intake"
	"pumiceshelf/origin"
	"pumiceshelf/placement"
	"pumiceshelf/prepaid"
	"pumiceshelf/registry"
	"pumiceshelf/routing"
	"pumiceshelf/shed"
)

const (
	// defaultTimeout is how long a request may take if neither the caller nor the route sets a limit.
	defaultTimeout = 30 * time.Second
	// defaultMaxBodyBytes bounds the request body if the configuration sets no limit.
	defaultMaxBodyBytes = 4 << 20
	// minRemainingTime is the remaining time below which a request is not sent again, because no endpoint responds
	// within it.
	minRemainingTime = 10 * time.Millisecond
	// maxDialFailures is the number of endpoints that one request may fail to connect to before it is refused.
	maxDialFailures = 4
)

// job is the state of one request in progress. It belongs to one goroutine, apart from what mu guards.
type job struct {
	gateway *Gateway
	w       http.ResponseWriter
	r       *http.Request
	started time.Time

	table    *routing.Table
	meta     RequestMeta
	route    *routing.Route
	service  string
	customer *routing.Customer
	body     []byte
	// content is the content ID, empty until the body was read.
	content  string
	deadline time.Time
	ctx      context.Context
	cancel   context.CancelFunc

	// origin is the service and version that began the stream, nil until the first event of a new stream. firstEndpoint sent
	// that event. versionUncertain is set if its version may be another than is known.
	origin           *origin.Origin
	firstEndpoint    registry.Endpoint
	versionUncertain bool
	// versionCheck is the question to that endpoint which process it is, or nil.
	versionCheck *processCheck

	reservation *prepaid.Reservation
	// mayHaveRun is set once an endpoint may have run the request.
	mayHaveRun bool
	// sentCount is the number of attempts that sent the request to an endpoint, dialFailures the number of those that
	// could not reach the endpoint.
	sentCount, dialFailures int
	triedEndpoints          map[string]bool
	// linkTimedOut is set once connecting to an endpoint timed out because the own link was busy.
	linkTimedOut bool
	// lastErrorResponse is the last failure that includes a response of an endpoint.
	lastErrorResponse *failure

	// mu guards movable, standby with its state, ended and stayLogged. While movable is set, the watchdog also uses the other
	// fields that tell where the request may be sent and with which header, holding mu: triedEndpoints, sentCount, dialFailures,
	// headerSent, streamKind, eventCount, lastEventID, eventsWithoutID and the origin. The job's goroutine changes these only while movable is nil.
	// Between two attempts, only the job's goroutine uses the job, apart from the state of the standby attempt.
	mu sync.Mutex
	// movable is the attempt in progress if the request may move from its endpoint to another one.
	movable *attempt
	// standby is the second attempt in progress, or nil. The job counts it among its attempts once it took over or ended.
	standby *standby
	// ended are the standby attempts that are not part of the job's totals yet.
	ended standbyTally
	// stayLogged is set once it is logged that the request stays at a silent endpoint.
	stayLogged bool

	// headerSent is set once the header of a streamed response was sent to the caller, and streamKind is what it says.
	headerSent bool
	streamKind responseKind
	// eventsWithoutID is set once an event without an ID was sent to the caller.
	eventsWithoutID bool
	// lastEventID is the ID of the last event that was sent to the caller.
	lastEventID       int64
	eventCount        int64
	firstEventLatency time.Duration
	// lastEventAt is when the last event was sent to the caller, longestPause the longest time between two of them.
	lastEventAt  time.Time
	longestPause time.Duration

	// delegatedBy is the name of the instance that passed the request on for its caller, empty if there is none. delegated is set
	// once this instance tried to pass it on, answered once another one has responded.
	delegatedBy         string
	delegated, answered bool

	// bufferedBytes is what the responses of endpoints hold of the gateway's budget.
	bufferedBytes int64
	// upload is the body of the request, which holds memory. It is nil without a body.
	upload *intake.Upload
	// attemptBegun is set once the endpoint of the present attempt began to answer.
	attemptBegun bool
	// crashChecks holds a channel for each endpoint that lost the request, closed once it is known whether it has ended.
	crashChecks []<-chan struct{}
	// admitted is what load shedding has decided to send. It is nil if it was not asked.
	admitted *shed.Request

	endpointID string
	status     int
	reason     reason
	finished   bool
}

// serve runs all steps of the request.
func (j *job) serve() {
	if await := j.gateway.config.AwaitFreshState; await != nil {
		await(j.r.Context())
	}
	for _, step := range []func() *refusal{j.matchRoute, j.checkDraining, j.identifyCustomer, j.readBody, j.checkQuarantine, j.delegateEarly, j.findOrigin, j.reserveTokens, j.checkRoom, j.forward} {
		if r := step(); r != nil {
			j.refuse(*r)
			return
		}
		if j.answered {
			return
		}
	}
}

// matchRoute finds the route and the service, and sets the deadline.
func (j *job) matchRoute() *refusal {
	g := j.gateway
	meta, err := g.config.Headers.ParseRequest(j.r.Header)
	j.meta, j.delegatedBy = meta, j.r.Header.Get(delegatedHeader)
	j.table = g.config.Table()
	if j.table == nil || g.config.Endpoints() == nil {
		return &refusal{status: http.StatusServiceUnavailable, reason: reasonNoConfiguration, retryAfter: retryAfterTransient}
	}
	j.route = j.table.Match(j.r.Host, j.r.URL.Path)
	if j.route == nil {
		return j.denied(refusal{status: http.StatusNotFound, reason: reasonNoRoute})
	}
	if limit := j.table.Limits().HeaderBytes; limit > 0 && headerBytes(j.r) > limit {
		return &refusal{status: http.StatusRequestHeaderFieldsTooLarge, reason: reasonTooLarge}
	}
	if err != nil {
		g.config.Log.WithField("request_id", meta.ID).WithError(err).Info("gateway: malformed request")
		return &refusal{status: http.StatusBadRequest, reason: reasonMalformed}
	}
	j.service, _ = j.route.PickTarget(g.config.Uniform())
	j.setDeadline()
	return nil
}

// headerBytes returns the size of the request line and header as received, without whitespace that the parser dropped.
func headerBytes(r *http.Request) int {
	n := len(r.Method) + len(r.RequestURI) + len(r.Proto) + len("Host: ") + len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(": ") + len(v) + len("\r\n")
		}
	}
	return n
}

// timeLimit returns how long the request may take: what its caller waits, at most the limit of the route.
func (j *job) timeLimit() time.Duration {
	limit := defaultTimeout
	if j.meta.Timeout > 0 {
		limit = j.meta.Timeout
	}
	if j.route.Timeout > 0 {
		limit = min(limit, j.route.Timeout)
	}
	return limit
}

func (j *job) setDeadline() {
	limit := j.timeLimit()
	j.deadline = j.started.Add(limit)
	limited, cancel := context.WithTimeout(withRequestDeadline(j.r.Context(), j.deadline), limit)
	ctx, stop := context.WithCancelCause(limited)
	unregister := context.AfterFunc(j.gateway.stopping, func() { stop(errStopping) })
	j.ctx, j.cancel = ctx, func() {
		unregister()
		stop(nil)
		cancel()
	}
}

// identifyCustomer finds the customer by the API key.
func (j *job) identifyCustomer() *refusal {
	j.customer = j.table.CustomerByKey(j.meta.Key)
	return j.checkCustomer()
}

// checkCustomer refuses a request without a customer on a route that needs one.
func (j *job) checkCustomer() *refusal {
	if j.customer == nil && j.table.RequiresKey() && !j.route.Public {
		return j.denied(refusal{status: http.StatusUnauthorized, reason: reasonUnknownKey})
	}
	return nil
}

// customerName returns the name of the customer, or the empty string for a request without a key.
func (j *job) customerName() string {
	if j.customer == nil {
		return ""
	}
	return j.customer.Name
}

// readBody reads the whole body, so that the request can be sent again.
func (j *job) readBody() *refusal {
	limit := j.table.Limits().BodyBytes
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	body, upload, err := j.gateway.bodies.ReadBody(j.w, j.r, limit, j.deadline)
	j.upload = upload
	switch {
	case errors.Is(err, intake.ErrFull) || errors.Is(err, intake.ErrYielded):
		j.logger().WithError(err).Debug("gateway: no memory for the body")
		return &refusal{status: http.StatusServiceUnavailable, reason: reasonMemoryFull, retryAfter: retryAfterTransient}
	case errors.Is(err, intake.ErrTooLong):
		return &refusal{status: http.StatusRequestEntityTooLarge, reason: reasonTooLarge}
	case err != nil && j.r.Context().Err() != nil:
		return &refusal{status: http.StatusRequestTimeout, reason: reasonCallerCanceled}
	case err != nil:
		return &refusal{status: http.StatusRequestTimeout, reason: reasonBodyTruncated}
	}
	j.body, j.content = body, contentID(j.r, j.customerName(), body)
	return nil
}

// neededTokens returns the number of tokens that the request reserves, zero if it has no prepaid budget or no prompt.
func (j *job) neededTokens() int64 {
	if j.customer == nil || j.customer.PrepaidTokens == nil {
		return 0
	}
	return j.meta.PromptTokens + j.meta.MaxOutputTokens
}

// reserveTokens reserves the maximum number of tokens that the request may use from the customer's budget.
func (j *job) reserveTokens() *refusal {
	tokens := j.neededTokens()
	if tokens == 0 {
		return nil
	}
	var outcome prepaid.Outcome
	j.reservation, outcome = j.gateway.config.Budgets.Reserve(j.ctx, j.customer.Name, enginePriority(j.customer, j.route), tokens)
	switch outcome {
	case prepaid.Exhausted:
		return budgetExhausted()
	case prepaid.Unavailable:
		return &refusal{status: http.StatusServiceUnavailable, reason: reasonBudgetUnavailable, retryAfter: j.retryAfterSupply()}
	case prepaid.Rationed:
		return j.budgetRationed()
	case prepaid.Contended:
		return &refusal{status: http.StatusServiceUnavailable, reason: reasonBudgetContended, retryAfter: retryAfterTransient}
	default:
		return nil
	}
}

// retryAfterSupply returns when a caller without tokens should come back. One that comes back before there is supply is refused again,
// and has used up its retries.
func (j *job) retryAfterSupply() time.Duration {
	return max(j.gateway.config.Budgets.UntilSupply(), retryAfterOutage)
}

func budgetExhausted() *refusal {
	return &refusal{status: http.StatusPaymentRequired, reason: reasonBudgetExhausted}
}

func (j *job) budgetRationed() *refusal {
	return &refusal{status: http.StatusServiceUnavailable, reason: reasonBudgetRationed, retryAfter: j.retryAfterSupply()}
}

// chargedTokens returns the number of tokens that the request is charged: the prompt, once an endpoint may have
// processed it, and the delivered output.
func (j *job) chargedTokens() int64 {
	if !j.mayHaveRun {
		return 0
	}
	perEvent := int64(1)
	if e := j.engine(); e != nil {
		perEvent = e.TokensPerEvent
	}
	return j.meta.PromptTokens + min(j.eventCount*perEvent, j.meta.MaxOutputTokens)
}

// remainingTime returns the time until the deadline.
func (j *job) remainingTime() time.Duration { return j.deadline.Sub(j.gateway.config.Clock.Now()) }

// refuse ends the request with a refusal. If part of the response was already sent, it aborts the connection instead:
// that is the only way left to show that the response is incomplete.
func (j *job) refuse(r refusal) {
	j.reason = r.reason
	if j.headerSent || r.reason == reasonCallerCanceled {
		j.finish()
		panic(http.ErrAbortHandler)
	}
	j.status = r.status
	if j.movesCaller() {
		j.w.Header().Set("Connection", "close")
	}
	r.write(j.w, j.gateway.config.Headers, j.meta.ID)
}

// finish settles and logs the request. Further calls do nothing; there is a second one when the response is aborted.
func (j *job) finish() {
	if j.finished {
		return
	}
	j.finished = true
	j.releaseStandby(dropFirstDone)
	if j.cancel != nil {
		j.cancel()
	}
	g := j.gateway
	g.buffered.release(j.bufferedBytes)
	j.upload.Release()
	charged := int64(0)
	if j.reservation != nil {
		charged = j.chargedTokens()
		j.reservation.Settle(charged)
	}
	j.recordMissed()
	total := g.config.Clock.Since(j.started)
	g.metrics.observe(j.reason, total, j.firstEventLatency)
	if j.reason == reasonNone && j.status/100 == 2 {
		g.durations.observe(j.route.Name, j.cost(), total, g.config.Clock.Now())
	}
	g.config.Log.WithFields(j.logFields(total, charged)).Info("gateway: request ended")
}

func (j *job) logFields(total time.Duration, charged int64) log.Fields {
	f := log.Fields{
		"request_id": j.meta.ID, "status": j.status, "ms": total.Milliseconds(), "sent": j.sentCount, "dial_failures": j.dialFailures,
		"endpoint": j.endpointID, "may_have_run": j.mayHaveRun,
	}
	if j.reason != reasonNone {
		f["reason"] = string(j.reason)
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
	if j.delegatedBy != "" {
		f["delegated_by"] = j.delegatedBy
	}
	if j.meta.PromptTokens > 0 {
		f["prompt_tokens"], f["charged_tokens"], f["first_ms"], f["events"], f["longest_pause_ms"] =
			j.meta.PromptTokens, charged, j.firstEventLatency.Milliseconds(), j.eventCount, j.longestPause.Milliseconds()
	}
	return f
}

// placementRequest returns the properties of the request that placement needs.
func (j *job) placementRequest() placement.Request {
	r := placement.Request{Service: j.service, Domain: j.gateway.config.Domain}
	if j.engine() != nil {
		r.PromptParts, r.PromptTokens, r.Priority = j.meta.PromptParts, j.meta.PromptTokens, enginePriority(j.customer, j.route)
		r.MaxEventGap = j.route.GapObjective
		if !j.headerSent {
			// A stream that began cannot come back later.
			r.MaxTimeToFirstToken = maxFirstEventWait(j.route)
		}
		// The caller of a stream that began elsewhere would lose what it has of it.
		r.NeverOverloaded = j.origin != nil
	}
	return r
}

// engine describes the engines of the request's service. It returns nil for a plain service.
func (j *job) engine() *routing.Engine {
	if s := j.table.Service(j.service); s != nil {
		return s.Engine
	}
	return nil
}

// maxFirstEventWait returns the route's latency objective, the longest expected wait for a first event for which a
// request is still sent to an engine. When the backlog of the engines is longer, requests that would be late only delay
// others, and their callers should retry later.
func maxFirstEventWait(r *routing.Route) time.Duration { return r.LatencyObjective }
