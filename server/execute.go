package server

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"pumiceshelf/admit"
	"pumiceshelf/bundle"
	"pumiceshelf/endpoint"
	"pumiceshelf/idempotency"
	"pumiceshelf/invariant"
)

// executionOutcome is the result of execute.
type executionOutcome struct {
	kind idempotency.OutcomeKind
	// refusal is set unless the endpoint's response is complete.
	refusal *refusal
	result  endpoint.Result
}

// execute reserves tokens, waits for admission and runs the request at an endpoint. It retries at others where allowed.
func (j *job) execute() executionOutcome {
	ctx, cancel := context.WithDeadline(j.r.Context(), j.deadline)
	defer cancel()
	if j.chat != nil {
		if f := j.reserve(ctx, j.id); f != nil {
			return j.refusedOutcome(f)
		}
	}
	j.server.cfg.RetryBudget.RecordRequest()
	for {
		t := j.admit(ctx)
		if t.Outcome != admit.Admitted {
			return j.refusedOutcome(admissionRefusal(ctx, t))
		}
		res := j.dispatch(t)
		if o, final := j.handleResult(ctx, res); final {
			return o
		}
	}
}

// refusedOutcome returns the outcome of a refused request: not run, or unknown if an earlier attempt may have run.
func (j *job) refusedOutcome(f *refusal) executionOutcome {
	if j.mayHaveRun {
		return executionOutcome{kind: idempotency.Unknown, refusal: f.withUnknownOutcome()}
	}
	return executionOutcome{kind: idempotency.NotRun, refusal: f}
}

// admit waits until the request may be dispatched to an endpoint or is refused.
func (j *job) admit(ctx context.Context) admit.Ticket {
	item := admit.Item{
		RequestID: j.id, Customer: j.customer.ID, Weight: j.customer.Weight, Group: j.endpointGroup(), Class: j.headers.class,
		Deadline: j.deadline, Bytes: int(j.upload.Held()), Cost: 1,
	}
	if j.chat != nil {
		// The original body is no longer needed: endpoints get the rewritten one.
		j.body = nil
	}
	target := admit.Target{Avoid: j.triedEndpoints, NoRetry: !j.idempotent}
	if j.chat != nil {
		item.Cost = j.chat.bound()
		target.Prefix = j.chat.prefixHash
	}
	t := j.server.cfg.Admitter.Admit(ctx, item, target)
	if t.Outcome != admit.Admitted {
		j.addTraceEvent("not admitted: " + t.Outcome.String())
	}
	return t
}

func (j *job) endpointGroup() string {
	if j.chat != nil {
		return bundle.ModelGroup(j.chat.model.ID)
	}
	return bundle.ServiceGroup(j.service.ID)
}

var admissionReasons = map[admit.Outcome]Reason{
	admit.QueueFull: ReasonQueueFull, admit.BytesFull: ReasonQueueBytesFull, admit.TooLate: ReasonDeadlineUnmeetable,
	admit.Displaced: ReasonDisplaced, admit.Canceled: ReasonCallerCanceled, admit.NoCapacity: ReasonNoCapacity,
}

func admissionRefusal(ctx context.Context, t admit.Ticket) *refusal {
	reason, ok := admissionReasons[t.Outcome]
	switch {
	case !ok:
		reason = ReasonNoCapacity
	case t.Outcome == admit.Canceled && errors.Is(ctx.Err(), context.DeadlineExceeded):
		reason = ReasonDeadlineUnmeetable
	}
	return newRefusal(reason, "the request was not dispatched").withRetryAfter(t.RetryAfter)
}

// dispatch sends the request once to the endpoint of the ticket and returns the result.
func (j *job) dispatch(t admit.Ticket) endpoint.Result {
	ep := j.server.cfg.Bundles.Current().Endpoint(t.Endpoint)
	if ep == nil {
		t.Done(admit.Result{})
		return endpoint.Result{Status: endpoint.NotSent, Reason: endpoint.ReasonDial}
	}
	invariant.Check(!j.mayHaveRun || j.idempotent, "server", "non-idempotent request %s is dispatched again after it may have run", j.id)
	if j.reservation != nil {
		j.reservation.endpoint = ep.ID
	}
	j.runCount++
	j.triedEndpoints = append(j.triedEndpoints, ep.ID)
	j.server.metrics.timeToDispatch.UpdateSince(j.receivedAt)
	j.addTraceEvent("sent to endpoint " + ep.ID)
	res := j.server.cfg.Endpoints.Do(j.runContext(), j.endpointCall(ep), j.relay.forward)
	t.Done(admissionResult(res))
	j.addTraceEvent(fmt.Sprintf("endpoint %s: %s %s", ep.ID, statusDescriptions[res.Status], res.Reason))
	return res
}

var statusDescriptions = map[endpoint.Status]string{
	endpoint.Complete: "whole answer", endpoint.NotSent: "not sent", endpoint.Refused: "refused, did not run",
	endpoint.Incomplete: "no whole answer, may have run", endpoint.Canceled: "canceled",
}

// admissionResult converts the result of a run for the admitter.
func admissionResult(res endpoint.Result) admit.Result {
	// An invalid or canceled request does not indicate a fault of the endpoint.
	endpointNotAtFault := res.Status == endpoint.Canceled || res.Reason == endpoint.ReasonRejected
	busy := res.Reason == endpoint.ReasonBusy
	return admit.Result{
		Failed: res.Status != endpoint.Complete && !endpointNotAtFault && !busy, Busy: busy, Interrupted: endpointNotAtFault,
		Stalled: res.Reason == endpoint.ReasonNoProgress, TimeToFirstToken: res.TimeToFirstToken, TotalTime: res.TotalTime, Tokens: res.Usage.GeneratedTokens,
	}
}

// isDetached reports whether the run continues after the caller disconnects, so that a duplicate request can get the
// response.
func (j *job) isDetached() bool { return j.keyed && !j.idempotent }

func (j *job) runContext() context.Context {
	if j.isDetached() {
		return context.WithoutCancel(j.r.Context())
	}
	return j.r.Context()
}

// endpointCall returns the request in the form that is sent to the endpoint.
func (j *job) endpointCall(ep *bundle.Endpoint) endpoint.Call {
	c := endpoint.Call{
		RequestID: j.id, Endpoint: ep.ID, URL: ep.URL, Method: j.r.Method, Path: j.r.URL.RequestURI(), Body: j.body,
		Deadline: j.deadline, UseNewConnection: !j.idempotent,
	}
	if j.chat == nil {
		c.Header = forwardedHeaders(j.r.Header, routerHeaders)
		c.Header.Set(headerCustomer, j.customer.ID)
	} else {
		c.Path, c.Body, c.ModelCall = chatPath, j.chat.forwardBody, true
		c.Stream, c.CapTokens = j.chat.stream, j.chat.capTokens
		c.Header = http.Header{"Content-Type": {"application/json"}}
		c.Header.Set(headerPriority, classNames[j.headers.class])
	}
	c.Header.Set(headerRequestID, j.id)
	return c
}

// handleResult handles the result of a run. It returns the outcome and true, or false if the request is to run again.
func (j *job) handleResult(ctx context.Context, res endpoint.Result) (executionOutcome, bool) {
	switch res.Status {
	case endpoint.Complete:
		return executionOutcome{kind: idempotency.Completed, result: res}, true
	case endpoint.NotSent, endpoint.Refused:
		return j.handleNotRun(res)
	case endpoint.Canceled:
		j.mayHaveRun = true
		return executionOutcome{kind: idempotency.Unknown, refusal: canceledRefusal(res.Reason).withUnknownOutcome(), result: res}, true
	}
	j.mayHaveRun = true
	return j.handleIncomplete(ctx, res)
}

func canceledRefusal(r endpoint.Reason) *refusal {
	if r == endpoint.ReasonDeadline {
		return newRefusal(ReasonDeadlineExceeded, "the deadline passed before the whole answer came")
	}
	return newRefusal(ReasonCallerCanceled, "the caller went away")
}

// handleNotRun retries or refuses a request that the endpoint did not run.
func (j *job) handleNotRun(res endpoint.Result) (executionOutcome, bool) {
	switch res.Reason {
	case endpoint.ReasonDeadline, endpoint.ReasonCallerCanceled:
		return j.refusedOutcome(canceledRefusal(res.Reason)), true
	case endpoint.ReasonRejected:
		return j.refusedOutcome(newRefusal(ReasonEndpointRejected, truncateText(strings.ToValidUTF8(string(res.Body), "")))), true
	}
	if j.allowRetry(res.Reason) {
		return executionOutcome{}, false
	}
	return j.refusedOutcome(newRefusal(ReasonEndpointsUnavailable, "endpoints did not take the request: "+string(res.Reason))), true
}

// handleIncomplete handles a run without a complete response. An idempotent request of which no part was sent to the
// caller is run again, with its own reservation and charge; any other ends with an unknown outcome.
func (j *job) handleIncomplete(ctx context.Context, res endpoint.Result) (executionOutcome, bool) {
	lost := executionOutcome{
		kind: idempotency.Unknown, result: res,
		refusal: newRefusal(ReasonResponseLost, "the endpoint gave no whole answer: "+string(res.Reason)).withUnknownOutcome(),
	}
	if !j.idempotent || j.relay.streamStarted || !j.allowRetry(res.Reason) {
		return lost, true
	}
	j.settleBeforeRetry(true, res.Usage)
	j.startNewRunID()
	if j.chat != nil {
		if f := j.reserve(ctx, j.id); f != nil {
			return executionOutcome{kind: idempotency.Unknown, refusal: f.withUnknownOutcome()}, true
		}
	}
	j.relay.reset()
	return executionOutcome{}, false
}

// startNewRunID gives the request a new ID for its next run and links the traces of both IDs.
func (j *job) startNewRunID() {
	next := j.firstRunID + "." + strconv.Itoa(j.runCount+1)
	j.addTraceEvent("goes on as " + next)
	j.id = next
	j.addTraceEvent("goes on from " + j.firstRunID)
}

// allowRetry reports whether the deadline and the retry budget allow a retry, and counts it if so.
func (j *job) allowRetry(reason endpoint.Reason) bool {
	if j.remainingTime() == 0 {
		return false
	}
	if !j.server.cfg.RetryBudget.AllowRetry(string(reason)) {
		j.server.metrics.deniedRetries.Inc(1)
		j.addTraceEvent("no retry, the retry budget is empty")
		return false
	}
	if c := j.server.metrics.retries[reason]; c != nil {
		c.Inc(1)
	}
	j.server.cfg.Log.Infof("server: retrying request %s after %s", j.id, reason)
	j.addTraceEvent("retried after " + string(reason))
	return true
}
