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

// end is how a request that was let run ended.
type end struct {
	kind idempotency.OutcomeKind
	// refusal is set unless the kind is Answered.
	refusal *refusal
	result  endpoint.Result
}

// execute reserves tokens, waits for an endpoint and runs the request there, again elsewhere if that is allowed.
func (j *job) execute() end {
	ctx, cancel := context.WithDeadline(j.r.Context(), j.deadline)
	defer cancel()
	if j.chat != nil {
		if f := j.reserve(ctx, j.id); f != nil {
			return j.giveUp(f)
		}
	}
	j.server.cfg.Retries.Earn()
	for {
		t := j.admit(ctx)
		if t.Outcome != admit.Admitted {
			return j.giveUp(admissionRefusal(ctx, t))
		}
		res := j.dispatch(t)
		if e, final := j.judge(ctx, res); final {
			return e
		}
	}
}

// giveUp ends the request with a refusal. It did not run unless an attempt before may have.
func (j *job) giveUp(f *refusal) end {
	if j.ran {
		return end{kind: idempotency.Unknown, refusal: f.mayHaveRun()}
	}
	return end{kind: idempotency.NotRun, refusal: f}
}

func (j *job) admit(ctx context.Context) admit.Ticket {
	item := admit.Item{
		RequestID: j.id, Customer: j.customer.ID, Weight: j.customer.Weight, Group: j.group(), Class: j.control.class,
		Deadline: j.deadline, Bytes: int(j.held), Cost: 1,
	}
	if j.chat != nil {
		// Only the rewritten body is still needed.
		j.body = nil
	}
	target := admit.Target{Avoid: j.avoid, NoRetry: !j.idempotent}
	if j.chat != nil {
		item.Cost = j.chat.bound()
		target.Prefix = j.chat.prefix
	}
	t := j.server.cfg.Admitter.Admit(ctx, item, target)
	if t.Outcome != admit.Admitted {
		j.tell("not admitted: " + t.Outcome.String())
	}
	return t
}

func (j *job) group() string {
	if j.chat != nil {
		return bundle.ModelGroup(j.chat.model.ID)
	}
	return bundle.ServiceGroup(j.service.ID)
}

var admissionReasons = map[admit.Outcome]Reason{
	admit.QueueFull: ReasonQueueFull, admit.BytesFull: ReasonBytesFull, admit.TooLate: ReasonTooLate,
	admit.Displaced: ReasonDisplaced, admit.Canceled: ReasonCallerGone, admit.NoCapacity: ReasonNoCapacity,
}

func admissionRefusal(ctx context.Context, t admit.Ticket) *refusal {
	reason, ok := admissionReasons[t.Outcome]
	switch {
	case !ok:
		reason = ReasonNoCapacity
	case t.Outcome == admit.Canceled && errors.Is(ctx.Err(), context.DeadlineExceeded):
		reason = ReasonTooLate
	}
	return refuse(reason, "the request was not dispatched").after(t.RetryAfter)
}

// dispatch runs the request once at the endpoint of the ticket.
func (j *job) dispatch(t admit.Ticket) endpoint.Result {
	ep := j.server.cfg.Bundles.Current().Endpoint(t.Endpoint)
	if ep == nil {
		t.Done(admit.Result{})
		return endpoint.Result{Status: endpoint.NotSent, Reason: endpoint.ReasonDial}
	}
	invariant.Check(!j.ran || j.idempotent, "server", "non-idempotent request %s would run again", j.id)
	if j.bill != nil {
		j.bill.endpoint = ep.ID
	}
	j.runs++
	j.avoid = append(j.avoid, ep.ID)
	j.server.meters.dispatch.UpdateSince(j.start)
	j.tell("sent to endpoint " + ep.ID)
	res := j.server.cfg.Endpoints.Do(j.runContext(), j.call(ep), j.relay.piece)
	t.Done(report(res))
	j.tell(fmt.Sprintf("endpoint %s: %s %s", ep.ID, statusNames[res.Status], res.Reason))
	return res
}

var statusNames = map[endpoint.Status]string{
	endpoint.Complete: "whole answer", endpoint.NotSent: "not sent", endpoint.Refused: "refused, did not run",
	endpoint.Incomplete: "no whole answer, may have run", endpoint.Canceled: "canceled",
}

// report tells the admitter how a run went.
func report(res endpoint.Result) admit.Result {
	// A request that is wrong, or that its caller gave up, is no fault of the endpoint.
	blameless := res.Status == endpoint.Canceled || res.Reason == endpoint.ReasonRejected
	busy := res.Reason == endpoint.ReasonBusy
	return admit.Result{
		Failed: res.Status != endpoint.Complete && !blameless && !busy, Busy: busy, Interrupted: blameless,
		Stalled: res.Reason == endpoint.ReasonNoProgress, TimeToFirstToken: res.TimeToFirstToken, TotalTime: res.TotalTime, Tokens: res.Usage.GeneratedTokens,
	}
}

// detached says whether the run goes on when its caller goes away, so that a repeat finds its answer.
func (j *job) detached() bool { return j.keyed && !j.idempotent }

func (j *job) runContext() context.Context {
	if j.detached() {
		return context.WithoutCancel(j.r.Context())
	}
	return j.r.Context()
}

// call is the request as the endpoint gets it.
func (j *job) call(ep *bundle.Endpoint) endpoint.Call {
	c := endpoint.Call{
		RequestID: j.id, Endpoint: ep.ID, URL: ep.URL, Method: j.r.Method, Path: j.r.URL.RequestURI(), Body: j.body,
		Deadline: j.deadline, UseNewConnection: !j.idempotent,
	}
	if j.chat == nil {
		c.Header = passedOn(j.r.Header, ownHeaders)
		c.Header.Set(headerCustomer, j.customer.ID)
	} else {
		c.Path, c.Body, c.ModelCall = chatPath, j.chat.forward, true
		c.Stream, c.CapTokens = j.chat.stream, j.chat.capTokens
		c.Header = http.Header{"Content-Type": {"application/json"}}
		c.Header.Set(headerPriority, classNames[j.control.class])
	}
	c.Header.Set(headerRequestID, j.id)
	return c
}

// judge decides what the result of a run means: the end of the request, or another run.
func (j *job) judge(ctx context.Context, res endpoint.Result) (end, bool) {
	switch res.Status {
	case endpoint.Complete:
		return end{kind: idempotency.Completed, result: res}, true
	case endpoint.NotSent, endpoint.Refused:
		return j.afterNotRun(res)
	case endpoint.Canceled:
		j.ran = true
		return end{kind: idempotency.Unknown, refusal: canceledRefusal(res.Reason).mayHaveRun(), result: res}, true
	}
	j.ran = true
	return j.afterBroken(ctx, res)
}

func canceledRefusal(r endpoint.Reason) *refusal {
	if r == endpoint.ReasonDeadline {
		return refuse(ReasonDeadlinePast, "the deadline passed before the whole answer came")
	}
	return refuse(ReasonCallerGone, "the caller went away")
}

// afterNotRun goes on after an endpoint that did not run the request.
func (j *job) afterNotRun(res endpoint.Result) (end, bool) {
	switch res.Reason {
	case endpoint.ReasonDeadline, endpoint.ReasonCallerCanceled:
		return j.giveUp(canceledRefusal(res.Reason)), true
	case endpoint.ReasonRejected:
		return j.giveUp(refuse(ReasonRejected, clip(strings.ToValidUTF8(string(res.Body), "")))), true
	}
	if j.spend(res.Reason) {
		return end{}, false
	}
	return j.giveUp(refuse(ReasonEndpoints, "endpoints did not take the request: "+string(res.Reason))), true
}

// afterBroken goes on after a run whose answer was lost: a request that may run more than once and of which nothing has
// reached the caller gets another run, with a reservation and a bill of its own.
func (j *job) afterBroken(ctx context.Context, res endpoint.Result) (end, bool) {
	lost := end{
		kind: idempotency.Unknown, result: res,
		refusal: refuse(ReasonAnswerLost, "the endpoint gave no whole answer: "+string(res.Reason)).mayHaveRun(),
	}
	if !j.idempotent || j.relay.started || !j.spend(res.Reason) {
		return lost, true
	}
	j.settleSoon(true, res.Usage)
	j.renameRun()
	if j.chat != nil {
		if f := j.reserve(ctx, j.id); f != nil {
			return end{kind: idempotency.Unknown, refusal: f.mayHaveRun()}, true
		}
	}
	j.relay.reset()
	return end{}, false
}

// renameRun gives the next run of the request an id of its own.
func (j *job) renameRun() {
	next := j.firstID + "." + strconv.Itoa(j.runs+1)
	j.tell("goes on as " + next)
	j.id = next
	j.tell("goes on from " + j.firstID)
}

// spend takes one retry from the budget of retries, if time is left for it.
func (j *job) spend(reason endpoint.Reason) bool {
	if j.remaining() == 0 {
		return false
	}
	if !j.server.cfg.Retries.Spend(string(reason)) {
		j.server.meters.noRetry.Inc(1)
		j.tell("no retry, the retry budget is empty")
		return false
	}
	if c := j.server.meters.retries[reason]; c != nil {
		c.Inc(1)
	}
	j.server.cfg.Log.Infof("server: %s retried after %s", j.id, reason)
	j.tell("retried after " + string(reason))
	return true
}
