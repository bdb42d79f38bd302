package gateway

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"pumiceshelf/placement"
	"pumiceshelf/registry"
	"pumiceshelf/routing"
)

// answerLimit bounds an answer that is read whole before it is passed on, in bytes.
const answerLimit = 16 << 20

// attempt is one try at one endpoint.
type attempt struct {
	ticket *placement.Ticket
	ctx    context.Context
	dog    *watchdog
	resp   *http.Response
	answer Answer
}

// failure is why an attempt gave the caller nothing.
type failure struct {
	reason reason
	result placement.Result
	// ran is set unless it is certain that the endpoint did not run the request.
	ran bool
	// sent is false if the endpoint never got a byte.
	sent bool
	// passOn is the endpoint's own answer to be passed on if there is no other try, nil for none.
	passOn *whole
	// wait is how long an engine would have taken to come to the request.
	wait time.Duration
}

// forward sends the request to endpoints until one gives an answer or no further try is allowed.
func (j *job) forward() *refusal {
	g := j.gateway
	j.tried = make(map[string]bool)
	g.config.Retries.Request(j.service, g.config.Clock.Now())
	var last failure
	for {
		choice := j.pick(last)
		switch choice.Verdict {
		case placement.NoEndpoint:
			return j.giveUp(j.worthPassingOn(failure{reason: reasonNoEndpoint}))
		case placement.Overloaded:
			j.log().WithField("expected_ms", choice.Wait.Milliseconds()).Info("gateway: no engine answers in time")
			return j.giveUp(failure{reason: reasonOverloaded, wait: choice.Wait})
		case placement.Chosen:
		}
		ticket := choice.Ticket
		f := j.try(ticket)
		if f == nil {
			return nil
		}
		if f.passOn != nil {
			j.answered = f
		}
		if !j.mayTryAgain(f) {
			return j.giveUp(j.worthPassingOn(*f))
		}
		last = *f
		g.counters.repeated[f.reason].Inc(1)
		j.log().WithFields(log.Fields{"reason": string(f.reason), "endpoint": ticket.Endpoint.ID, "last_event": j.lastEvent}).
			Info("gateway: trying another endpoint")
	}
}

// pick chooses an endpoint that was not tried. After an endpoint's own error, when no other is left, it may be the same.
func (j *job) pick(last failure) placement.Choice {
	g := j.gateway
	now := g.config.Clock.Now()
	endpoints := g.config.Endpoints().Endpoints(j.service, now)
	choice := g.config.Chooser.Pick(endpoints, j.request(), j.tried, now)
	if choice.Verdict == placement.NoEndpoint && last.passOn != nil {
		return g.config.Chooser.Pick(endpoints, j.request(), nil, now)
	}
	return choice
}

// worthPassingOn returns the failure that tells the caller most: an endpoint's own answer rather than that no other
// endpoint gave one. A caller that left or whose time is up gets neither.
func (j *job) worthPassingOn(f failure) failure {
	if j.answered == nil || f.passOn != nil || f.reason == reasonCallerLeft || f.reason == reasonTimeout {
		return f
	}
	return *j.answered
}

// try sends the request to one endpoint and passes the answer on. It returns nil once the caller has its whole answer.
func (j *job) try(ticket *placement.Ticket) *failure {
	clock := j.gateway.config.Clock
	j.tried[ticket.Endpoint.ID] = true
	j.endpoint = ticket.Endpoint.ID
	f := j.exchange(ticket)
	result := placement.Served
	if f != nil {
		result = f.result
		if j.r.Context().Err() != nil {
			f.reason, result = reasonCallerLeft, placement.Withdrawn
		} else if j.ctx.Err() != nil {
			f.reason, result = reasonTimeout, placement.Withdrawn
		}
		j.mayHaveRun = j.mayHaveRun || f.ran
		if f.sent {
			j.sent++
		} else {
			j.dials++
		}
	} else {
		j.sent++
		j.mayHaveRun = true
	}
	if until := ticket.Done(result, clock.Now()); !until.IsZero() {
		j.log().WithFields(log.Fields{"endpoint": ticket.Endpoint.ID, "reason": string(f.reason), "until_ms": until.Sub(clock.Now()).Milliseconds()}).
			Info("gateway: endpoint left out")
	}
	return f
}

// mayTryAgain says whether the request may go to another endpoint after a failure.
func (j *job) mayTryAgain(f *failure) bool {
	switch {
	case f.reason == reasonCallerLeft, j.ctx.Err() != nil, j.left() < leastTime:
		return false
	case j.mayHaveRun && !j.route.Repeatable():
		return false
	case !f.sent:
		return j.dials < dialLimit
	case j.sent >= j.route.MaxAttempts:
		return false
	}
	g := j.gateway
	if !g.config.Retries.Repeat(j.service, g.config.Clock.Now(), g.config.Instances()) {
		j.log().WithField("reason", string(f.reason)).Info("gateway: no retry budget left")
		return false
	}
	return true
}

// giveUp chooses the final word after the last failure.
func (j *job) giveUp(f failure) *refusal {
	switch {
	case f.reason == reasonCallerLeft:
		return &refusal{reason: reasonCallerLeft}
	case f.passOn != nil && !j.headerSent:
		j.why = f.reason
		j.deliver(*f.passOn)
		return nil
	case f.reason == reasonTimeout && j.mayHaveRun:
		return &refusal{status: http.StatusGatewayTimeout, reason: reasonTimeout}
	case j.mayHaveRun:
		return &refusal{status: http.StatusBadGateway, reason: f.reason}
	case f.reason == reasonNoEndpoint, f.reason == reasonOverloaded:
		return &refusal{status: http.StatusServiceUnavailable, reason: f.reason, retryAfter: retryLater + f.wait}
	default:
		return &refusal{status: http.StatusServiceUnavailable, reason: f.reason, retryAfter: retrySoon}
	}
}

// exchange sends the request to the endpoint of the ticket and relays its answer.
func (j *job) exchange(ticket *placement.Ticket) *failure {
	g := j.gateway
	ctx, cancel := context.WithCancelCause(j.ctx)
	defer cancel(nil)
	var dog *watchdog
	if j.route.Repeatable() {
		dog = watch(ticket, j.route, cancel, g.config.Clock.Now)
		defer dog.stop()
	}
	var written atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{WroteHeaders: func() { written.Store(true) }})
	g.counters.attempts.Inc(1)
	resp, err := g.transport.RoundTrip(j.outgoing(ctx, ticket.Endpoint))
	if err != nil && errors.Is(context.Cause(ctx), errSilent) {
		return j.silent(ticket)
	}
	if err != nil {
		return j.roundTripFailure(ticket, err, written.Load())
	}
	defer resp.Body.Close()
	a := &attempt{ticket: ticket, ctx: ctx, dog: dog, resp: resp, answer: g.config.Wire.Answer(resp.StatusCode, resp.Header)}
	if a.answer.RequestID != "" && a.answer.RequestID != j.meta.ID {
		j.log().WithFields(log.Fields{"endpoint": ticket.Endpoint.ID, "other_id": a.answer.RequestID}).Warn("gateway: answer of another request dropped")
		return &failure{reason: reasonCrossed, result: placement.Served, ran: true, sent: true}
	}
	if a.answer.Load != nil {
		ticket.Report(*a.answer.Load, g.config.Clock.Now())
	}
	if a.answer.NotRun {
		return j.notRun(a)
	}
	if j.route.Mode == routing.Streaming && resp.StatusCode/100 == 2 {
		return j.relayStream(a)
	}
	return j.relayWhole(a)
}

// outgoing builds the request for an endpoint. Method, path, query and body are the caller's.
func (j *job) outgoing(ctx context.Context, e registry.Endpoint) *http.Request {
	forwarded := Forwarded{Deadline: j.left(), EndpointID: e.ID, Priority: -1}
	if j.customer != nil {
		forwarded.Customer = j.customer.Name
	}
	if j.engine() != nil {
		forwarded.Priority = enginePriority(j.customer, j.route)
	}
	if j.events > 0 {
		forwarded.ResumeAfter = strconv.FormatInt(j.lastEvent, 10)
	}
	req := &http.Request{
		Method: j.r.Method,
		URL:    target(j.r, e.Address),
		Host:   j.r.Host,
		Header: j.gateway.config.Wire.Forward(j.r.Header, forwarded),
		Proto:  "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		// Without GetBody the transport never sends a request again on its own.
		Body:          io.NopCloser(bytes.NewReader(j.body)),
		ContentLength: int64(len(j.body)),
	}
	return req.WithContext(ctx)
}

// target keeps the caller's path and query byte for byte.
func target(r *http.Request, address string) *url.URL {
	u := *r.URL
	u.Scheme, u.Host = "http", address
	path, query, has := strings.Cut(r.RequestURI, "?")
	if strings.HasPrefix(path, "/") && !strings.HasPrefix(path, "//") {
		u.Opaque, u.RawQuery, u.ForceQuery = path, query, has && query == ""
	}
	return &u
}

func (j *job) roundTripFailure(ticket *placement.Ticket, err error, written bool) *failure {
	j.log().WithField("endpoint", ticket.Endpoint.ID).WithField("written", written).WithError(err).Info("gateway: no answer")
	var dial *dialError
	if errors.As(err, &dial) || !written {
		return &failure{reason: reasonUnreachable, result: placement.Unreachable}
	}
	result := placement.Broken
	var silent net.Error
	if errors.As(err, &silent) && silent.Timeout() && j.ctx.Err() == nil {
		// The other end no longer acknowledges.
		result = placement.Unreachable
	}
	return &failure{reason: reasonLost, result: result, ran: true, sent: true}
}

// silent takes in that the request was taken back from a silent endpoint, which may have run it.
func (j *job) silent(ticket *placement.Ticket) *failure {
	j.log().WithFields(log.Fields{"endpoint": ticket.Endpoint.ID, "events": j.events}).Info("gateway: endpoint silent")
	return &failure{reason: reasonSilent, result: placement.Silent, ran: true, sent: true}
}

// notRun takes in that the endpoint did not run the request.
func (j *job) notRun(a *attempt) *failure {
	if a.answer.OtherEndpoint {
		return &failure{reason: reasonMoved, result: placement.Unreachable, sent: true}
	}
	return &failure{reason: reasonBusy, result: placement.Busy, sent: true}
}

func (j *job) log() *log.Entry {
	return j.gateway.config.Log.WithField("request_id", j.meta.ID)
}
