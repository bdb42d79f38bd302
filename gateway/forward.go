package gateway

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"

	"pumiceshelf/endpointload"
	"pumiceshelf/placement"
	"pumiceshelf/registry"
	"pumiceshelf/routing"
)

// maxResponseBytes is the maximum size of a response that is buffered before it is passed on.
const maxResponseBytes = 16 << 20

// attempt is one try to get a response from one endpoint.
type attempt struct {
	ticket  *placement.Ticket
	ctx     context.Context
	cancel  context.CancelCauseFunc
	request *http.Request
	conn    attemptConn
	// repeats is set if the endpoint has had the request in an earlier attempt.
	repeats bool
	// closeAfterResponse is set if the connection must not serve another request.
	closeAfterResponse bool
	// written is set once the header of the request was sent, and writtenAt the Unix time of that in nanoseconds.
	written   atomic.Bool
	writtenAt atomic.Int64
	watchdog  *watchdog
	resp      *http.Response
	meta      ResponseMeta
	kind      responseKind
	// resumes is set if the caller already receives the stream to which the response belongs.
	resumes bool
	events  *eventReader
	// peeked is an event that was read before the attempt is relayed, or nil.
	peeked *peekedEvent
	// times are those of the events of a stream.
	times *endpointload.StreamTimes
	clock clockwork.Clock
}

// peekedEvent is a result of eventReader.next.
type peekedEvent struct {
	event event
	err   error
}

// newAttempt prepares an attempt at the endpoint of the ticket. It must be closed.
func (j *job) newAttempt(ticket *placement.Ticket) *attempt {
	a := &attempt{ticket: ticket, clock: j.gateway.config.Clock}
	ctx, cancel := context.WithCancelCause(j.ctx)
	a.ctx, a.cancel = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			a.conn.set(info.Conn)
			if !info.Reused {
				j.gateway.reach.Connected(ticket.Endpoint, j.gateway.config.Clock.Now())
			}
		},
		WroteHeaders: func() {
			a.writtenAt.Store(a.clock.Now().UnixNano())
			a.written.Store(true)
		},
	}), cancel
	a.request = j.endpointRequest(a.ctx, ticket.Endpoint)
	return a
}

// nextEvent returns the next event of a stream.
func (a *attempt) nextEvent() (event, error) {
	if p := a.peeked; p != nil {
		a.peeked = nil
		return p.event, p.err
	}
	return a.readEvent()
}

func (a *attempt) close() {
	a.cancel(nil)
	if a.resp != nil {
		_ = a.resp.Body.Close()
		a.events.release()
	}
	if a.closeAfterResponse {
		a.conn.close()
	}
}

// failure describes an attempt that produced no complete response for the caller.
type failure struct {
	reason reason
	result placement.Result
	// mayHaveRun is set unless it is certain that the endpoint did not run the request.
	mayHaveRun bool
	// sent is false if nothing was sent to the endpoint.
	sent bool
	// response is the error response of the endpoint, which is passed on if there is no further attempt. It is nil if
	// the endpoint sent none.
	response *bufferedResponse
	// estimatedWait is the estimated time until an engine reaches the request. It is set only if the engines are
	// overloaded.
	estimatedWait time.Duration
}

// forward sends the request to endpoints until one returns a response or no further attempt is allowed.
func (j *job) forward() *refusal {
	g := j.gateway
	j.triedEndpoints = make(map[string]bool)
	g.config.RetryBudget.RecordRequest(j.service, g.config.Clock.Now())
	var last failure
	for {
		ticket, missing := j.nextTicket(last)
		if missing != nil {
			if r := j.delegateLate(true); r != nil || j.answered {
				return r
			}
			return j.giveUp(*missing)
		}
		f := j.tryEndpoint(ticket)
		if f == nil {
			return nil
		}
		if f.response != nil {
			j.lastErrorResponse = f
		}
		if stop := j.stopForCrashes(ticket, f); stop != nil {
			return j.giveUp(j.preferErrorResponse(*stop))
		}
		retry := j.mayRetry(f)
		if r := j.delegateLate(!retry); r != nil || j.answered {
			return r
		}
		if !retry {
			return j.giveUp(j.preferErrorResponse(*f))
		}
		last = *f
		j.recordRetry(ticket, f.reason)
	}
}

// recordRetry records that the request goes on at another endpoint after an attempt failed. A standby attempt was counted when
// it was sent.
func (j *job) recordRetry(failed *placement.Ticket, failure reason) {
	message := "gateway: standby attempt takes over"
	if j.standby == nil {
		message = "gateway: retrying the request"
		j.gateway.metrics.retried[failure].Inc(1)
	}
	j.logger().WithFields(log.Fields{"reason": string(failure), "endpoint": failed.Endpoint.ID, "last_event": j.lastEventID}).Info(message)
}

// nextTicket returns that of the standby attempt, or chooses an endpoint. If there is none, it returns the failure to end with.
func (j *job) nextTicket(last failure) (*placement.Ticket, *failure) {
	if j.standby != nil {
		return j.standby.attempt.ticket, nil
	}
	choice := j.pickEndpoint(last)
	missing := j.missingEndpoint(choice.Outcome, choice.EstimatedWait)
	switch choice.Outcome {
	case placement.Overloaded:
		j.logger().WithField("expected_ms", choice.EstimatedWait.Milliseconds()).Info("gateway: no engine can respond in time")
	case placement.NoEndpoint, placement.RateLimited, placement.Paused:
		missing = j.preferErrorResponse(missing)
	case placement.Chosen:
		if j.gateway.config.Limits.IsCold(choice.Ticket.Endpoint, j.gateway.config.Clock.Now()) {
			j.gateway.metrics.cold.Inc(1)
			j.logger().WithField("endpoint", choice.Ticket.Endpoint.ID).Info("gateway: request sent to a cold endpoint")
		}
		if choice.Limited {
			j.gateway.metrics.limited.Inc(1)
			j.logger().WithField("endpoint", choice.Ticket.Endpoint.ID).Info("gateway: request sent within the endpoint's rate limit")
		}
		return choice.Ticket, nil
	}
	return nil, &missing
}

// missingEndpoint returns the failure of a request for which no endpoint was chosen.
func (j *job) missingEndpoint(o placement.Outcome, estimatedWait time.Duration) failure {
	switch o {
	case placement.Overloaded:
		return failure{reason: reasonOverloaded, estimatedWait: estimatedWait}
	case placement.RateLimited:
		return failure{reason: reasonRateLimited}
	case placement.Paused:
		return failure{reason: reasonEndpointsPaused}
	case placement.NoEndpoint, placement.Chosen:
	}
	return failure{reason: j.noEndpointReason()}
}

// pickEndpoint chooses an endpoint that was not tried yet. If none is left and the last attempt ended with an error
// response, the same endpoint may be chosen again.
func (j *job) pickEndpoint(last failure) placement.Choice {
	g := j.gateway
	j.confirmVersion(g.config.Clock.Now())
	now := g.config.Clock.Now()
	endpoints := j.candidates(now)
	choice := g.config.Chooser.Pick(endpoints, j.placementRequest(), j.triedEndpoints, now)
	if (choice.Outcome == placement.NoEndpoint || choice.Outcome == placement.RateLimited) && last.response != nil {
		return g.config.Chooser.Pick(endpoints, j.placementRequest(), nil, now)
	}
	return choice
}

// noEndpointReason returns the reason for which no endpoint is left.
func (j *job) noEndpointReason() reason {
	if j.serviceEvacuated() {
		return reasonEvacuated
	}
	if j.origin != nil {
		j.logUncertain()
		return reasonVersionUnavailable
	}
	return reasonNoEndpoint
}

// serviceEvacuated reports whether all endpoints of the request's service are in evacuated failure domains.
func (j *job) serviceEvacuated() bool {
	view := j.gateway.config.Endpoints()
	return len(view.Evacuated(j.service)) > 0 && len(view.Endpoints(j.service, j.gateway.config.Clock.Now())) == 0
}

// preferErrorResponse returns the last error response of an endpoint in place of f, because it tells the caller more
// than the absence of another endpoint. Failures that have a response themselves, timeouts and cancellations are
// returned unchanged.
func (j *job) preferErrorResponse(f failure) failure {
	if j.lastErrorResponse == nil || f.response != nil || f.reason == reasonCallerCanceled || f.reason == reasonTimeout {
		return f
	}
	return *j.lastErrorResponse
}

// tryEndpoint sends the request to one endpoint and relays the response. It returns nil once the complete response was
// relayed.
func (j *job) tryEndpoint(ticket *placement.Ticket) *failure {
	clock := j.gateway.config.Clock
	repeats := j.triedEndpoints[ticket.Endpoint.ID]
	j.triedEndpoints[ticket.Endpoint.ID] = true
	j.endpointID = ticket.Endpoint.ID
	j.attemptBegun = false
	begun := clock.Now()
	f := j.exchange(ticket, repeats)
	j.recordServiceTime(ticket.Endpoint, begun, f)
	if check := j.recordLoss(ticket, f, j.attemptBegun); check != nil {
		j.crashChecks = append(j.crashChecks, check)
	}
	result := placement.Served
	if f != nil {
		result = f.result
		j.linkTimedOut = j.linkTimedOut || f.reason == reasonLinkBusy
		if j.ctx.Err() != nil {
			f.reason, result = j.interruption(), placement.Canceled
		}
		j.mayHaveRun = j.mayHaveRun || f.mayHaveRun
		if f.sent {
			j.sentCount++
		} else {
			j.dialFailures++
		}
	} else {
		j.sentCount++
		j.mayHaveRun = true
	}
	j.gateway.restarts.lost(ticket.Endpoint, result)
	if until := ticket.Done(result, clock.Now()); !until.IsZero() {
		j.logger().WithFields(log.Fields{"endpoint": ticket.Endpoint.ID, "reason": string(f.reason), "until_ms": until.Sub(clock.Now()).Milliseconds()}).
			Info("gateway: endpoint ejected")
	}
	return f
}

// mayRetry reports whether the request may be sent again after a failure.
func (j *job) mayRetry(f *failure) bool {
	switch {
	case f.reason == reasonCallerCanceled, j.ctx.Err() != nil, j.remainingTime() < minRemainingTime:
		return false
	case j.awaitStandby():
		return true
	case j.mayHaveRun && !j.route.Retryable():
		return false
	case !f.sent:
		return j.dialFailures < maxDialFailures
	case j.sentCount >= j.route.MaxAttempts:
		return false
	}
	g := j.gateway
	if !g.config.RetryBudget.AllowRetry(j.service, g.config.Clock.Now(), g.config.InstanceCount()) {
		j.logger().WithField("reason", string(f.reason)).Info("gateway: retry budget exhausted")
		return false
	}
	return true
}

// giveUp ends the request after its last failure. It passes on the endpoint's error response if there is one, and
// otherwise returns the refusal.
func (j *job) giveUp(f failure) *refusal {
	j.releaseStandby(string(f.reason))
	switch {
	case f.reason == reasonCallerCanceled:
		return &refusal{reason: reasonCallerCanceled}
	case f.response != nil && !j.headerSent:
		j.reason = f.reason
		j.sendResponse(*f.response)
		return nil
	case f.reason == reasonTimeout && j.mayHaveRun:
		return &refusal{status: http.StatusGatewayTimeout, reason: reasonTimeout}
	case j.mayHaveRun:
		return &refusal{status: http.StatusBadGateway, reason: f.reason}
	case f.reason == reasonQuarantinedPrompt, f.reason == reasonQuarantinedRequest:
		return &refusal{status: http.StatusServiceUnavailable, reason: f.reason, retryAfter: retryAfterQuarantined}
	case f.reason == reasonNoEndpoint, f.reason == reasonOverloaded, f.reason == reasonRateLimited:
		return &refusal{status: http.StatusServiceUnavailable, reason: f.reason, retryAfter: retryAfterNoCapacity + f.estimatedWait}
	case f.reason == reasonEvacuated:
		return &refusal{status: http.StatusServiceUnavailable, reason: f.reason, retryAfter: retryAfterEvacuated}
	case f.reason == reasonEndpointsBusy, f.reason == reasonEndpointsPaused:
		return &refusal{status: http.StatusServiceUnavailable, reason: f.reason, retryAfter: max(j.remainingPause(), retryAfterTransient)}
	default:
		return &refusal{status: http.StatusServiceUnavailable, reason: f.reason, retryAfter: retryAfterTransient}
	}
}

// remainingPause returns the time until the first endpoint takes requests again if all ask for a pause, and zero otherwise.
func (j *job) remainingPause() time.Duration {
	now := j.gateway.config.Clock.Now()
	return j.gateway.config.Chooser.RemainingPause(j.candidates(now), now)
}

// exchange sends the request to the endpoint of the ticket, which may have had it before, and relays its response.
func (j *job) exchange(ticket *placement.Ticket, repeats bool) *failure {
	defer j.settleStandbys()
	s := j.takeStandby()
	var a *attempt
	if s != nil {
		// The standby attempt of the request already sent it.
		a = s.attempt
	} else {
		a = j.newAttempt(ticket)
		a.repeats = repeats
	}
	defer a.close()
	if j.route.Retryable() {
		j.setMovable(a)
		defer j.setMovable(nil)
		move := func(since time.Time, period time.Duration) { j.tryMove(a, since, period) }
		a.watchdog = startWatchdog(ticket, j.route, move, j.gateway.config.Clock.Now)
		defer a.watchdog.stop()
	}
	var f *failure
	if s != nil {
		<-s.done
		f = s.failure
	} else {
		f = j.send(a)
	}
	if f != nil {
		return f
	}
	return j.relay(a)
}

// send sends the request of an attempt and receives the header of the response. It returns a failure if there is none, or one
// that cannot be passed on.
func (j *job) send(a *attempt) *failure {
	g, ticket := j.gateway, a.ticket
	g.metrics.attempts.Inc(1)
	g.recordLoadReportAge(ticket.Endpoint)
	sentAt := g.config.Clock.Now()
	a.times = endpointload.NewStreamTimes(sentAt)
	resp, err := j.transportFor(a).RoundTrip(a.request)
	if err != nil && errors.Is(context.Cause(a.ctx), errUnresponsive) {
		return j.unresponsiveFailure(ticket)
	}
	if err != nil && errors.Is(context.Cause(a.ctx), errStandbyDropped) {
		sent := a.written.Load()
		return &failure{reason: reasonResponseLost, result: placement.Canceled, mayHaveRun: sent, sent: sent}
	}
	if err != nil {
		return j.roundTripFailure(ticket, err, a.written.Load())
	}
	g.config.Link.responded(ticket.Endpoint.Address, sentAt)
	a.resp, a.meta, a.events = resp, g.config.Headers.ParseResponse(resp.StatusCode, resp.Header), newEventReader(resp.Body, &g.buffered)
	a.kind = kindOf(resp)
	if !a.meta.answers(j.meta.ID) {
		return j.foreignResponse(a)
	}
	if c, ok := a.conn.get().(*watchedConn); ok {
		g.lasting.responded(c, c.address, sentAt)
	}
	j.rememberRefusal(a)
	j.recordInvalidLoad(a)
	if a.meta.Load != nil {
		ticket.RecordLoad(*a.meta.Load, g.config.Clock.Now())
	}
	if !a.meta.Misdirected {
		j.recordRateLimit(a, sentAt)
		j.recordMaxRejected(a, sentAt)
		j.recordCold(a, sentAt)
		j.recordDraining(a)
		j.recordPause(a)
	}
	if a.meta.NotRun {
		return j.notRunFailure(a)
	}
	return nil
}

// relay passes on the response of an attempt.
func (j *job) relay(a *attempt) *failure {
	if j.route.Mode == routing.Streaming && a.resp.StatusCode/100 == 2 {
		return j.relayStream(a)
	}
	if a.resp.StatusCode < http.StatusInternalServerError && !j.headerSent {
		if !j.keep() {
			return j.unresponsiveFailure(a.ticket)
		}
		a.ticket.RecordProgress(j.gateway.config.Clock.Now())
		j.resumeWatch(a)
	}
	return j.relayBuffered(a)
}

// endpointRequest builds the request to an endpoint with the caller's method, path, query and body.
func (j *job) endpointRequest(ctx context.Context, e registry.Endpoint) *http.Request {
	forwarded := ForwardMeta{Timeout: j.remainingTime(), EndpointID: e.ID, Customer: j.customerName(), Priority: -1}
	if j.engine() != nil {
		forwarded.Priority = enginePriority(j.customer, j.route)
	}
	if j.eventCount > 0 {
		forwarded.ResumeAfter = strconv.FormatInt(j.lastEventID, 10)
	}
	header := j.gateway.config.Headers.ForwardHeader(j.r.Header, forwarded)
	header.Del(delegatedHeader)
	req := &http.Request{
		Method: j.r.Method,
		URL:    targetURL(j.r, e.Address),
		Host:   j.r.Host,
		Header: header,
		Proto:  "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		// Without GetBody, the transport never resends a request itself.
		Body:          io.NopCloser(bytes.NewReader(j.body)),
		ContentLength: int64(len(j.body)),
	}
	return req.WithContext(ctx)
}

// targetURL returns the URL of the request at the endpoint's address. It keeps the caller's path and query byte for
// byte.
func targetURL(r *http.Request, address string) *url.URL {
	u := *r.URL
	u.Scheme, u.Host = "http", address
	path, query, hasQuery := strings.Cut(r.RequestURI, "?")
	if strings.HasPrefix(path, "/") && !strings.HasPrefix(path, "//") {
		u.Opaque, u.RawQuery, u.ForceQuery = path, query, hasQuery && query == ""
	}
	return &u
}

// unresponsiveFailure logs and returns the failure of a request that was canceled at an unresponsive endpoint, which
// may have run it.
func (j *job) unresponsiveFailure(ticket *placement.Ticket) *failure {
	j.logger().WithFields(log.Fields{"endpoint": ticket.Endpoint.ID, "events": j.eventCount}).Info("gateway: endpoint is unresponsive")
	return &failure{reason: reasonUnresponsive, result: placement.Unresponsive, mayHaveRun: true, sent: true}
}

// notRunFailure returns the failure of a request that the endpoint reported as not run.
func (j *job) notRunFailure(a *attempt) *failure {
	if a.meta.Misdirected {
		return &failure{reason: reasonMisdirected, result: placement.Unreachable, sent: true}
	}
	j.recordRejection(a)
	return &failure{reason: reasonEndpointsBusy, result: placement.Busy, sent: true}
}

func (j *job) logger() *log.Entry {
	return j.gateway.config.Log.WithField("request_id", j.meta.ID)
}
