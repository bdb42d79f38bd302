package endpoint

import (
	"context"
	"io"
	"net/http"
	"time"
)

// Headers of the endpoint protocol.
const (
	headerRequestID = "X-Request-Id"
	headerNotRun    = "X-Not-Run"
)

// callRunner runs one call, including the resumption of an interrupted response.
type callRunner struct {
	client           *HTTPClient
	call             Call
	sink             func(StreamEvent) error
	start            time.Time
	timeToFirstToken time.Duration
	// overdueAttempts counts the attempts to resume the response while it was overdue.
	overdueAttempts int
	// lost is set if the engine did not know the call while its response was overdue.
	lost bool
}

// run sends the call once and obtains its response.
func (a *callRunner) run(ctx context.Context) Result {
	x, resumed := a.send(ctx, request{
		method: a.call.Method, base: a.call.URL, path: a.call.Path, header: a.call.Header, body: a.call.Body,
		useNewConnection: a.call.UseNewConnection, resumable: a.call.ModelCall,
	})
	defer x.close()
	if resumed != nil {
		defer resumed.close()
		return a.readResumed(ctx, resumed)
	}
	if x.err != nil {
		return a.handleNoResponse(ctx, x)
	}
	if x.res.Header.Get(headerNotRun) == "1" {
		if id := x.res.Header.Get(headerRequestID); id != "" && id != a.call.RequestID {
			// The refusal of another request, written once more on the connection. This one may run.
			x.discardConnections()
			return a.recoverResponse(ctx, ReasonWrongID)
		}
		return Result{Status: Refused, Reason: ReasonBusy, HTTPStatus: x.res.StatusCode}
	}
	if a.call.ModelCall && x.res.StatusCode != http.StatusOK {
		return a.handleErrorStatus(x)
	}
	if a.call.Stream {
		return newStream(a, a.sink).run(ctx, x)
	}
	return a.readNonStreaming(ctx, x)
}

// handleErrorStatus returns the result for an error status of an engine. If the response carries the request's own ID, a
// status that rejects the request means that it did not run.
func (a *callRunner) handleErrorStatus(x *exchange) Result {
	res := Result{Status: Incomplete, Reason: ReasonErrorStatus, HTTPStatus: x.res.StatusCode}
	if x.res.Header.Get(headerRequestID) != a.call.RequestID {
		return res
	}
	switch x.res.StatusCode {
	case http.StatusNotFound:
		res.Status, res.Reason = Refused, ReasonBusy
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge, http.StatusUnprocessableEntity:
		res.Status, res.Reason = Refused, ReasonRejected
		res.Body, _ = io.ReadAll(io.LimitReader(x.body(), maxRejectionBytes))
	}
	return res
}

// handleNoResponse returns the result of a call for which no response header was received.
func (a *callRunner) handleNoResponse(ctx context.Context, x *exchange) Result {
	reason := x.failureReason(x.err)
	if !x.mayHaveSent() {
		return Result{Status: NotSent, Reason: reason}
	}
	if a.lost && reason == ReasonNoProgress {
		incReason(a.client.counters.interrupted, reason)
		return Result{Status: Incomplete, Reason: reason}
	}
	res := a.recoverResponse(ctx, reason)
	if reason == ReasonNoProgress && res.Status == Incomplete {
		// The endpoint does not know the request, so the connection lost it.
		x.discardConnections()
	}
	return res
}

// recoverResponse is called when a call may have run but its response was lost or invalid. It fetches the response of a
// model call from the engine if the engine still has it.
func (a *callRunner) recoverResponse(ctx context.Context, reason Reason) Result {
	switch reason {
	case ReasonCallerCanceled, ReasonDeadline:
		return Result{Status: Canceled, Reason: reason}
	}
	if !a.call.ModelCall {
		return Result{Status: Incomplete, Reason: reason}
	}
	if a.call.Stream {
		return newStream(a, a.sink).resume(ctx, reason)
	}
	return a.assembleFromStream(func(s *stream) Result { return s.resume(ctx, reason) })
}

// readNonStreaming reads and checks a non-streaming response.
func (a *callRunner) readNonStreaming(ctx context.Context, x *exchange) Result {
	data, err := io.ReadAll(http.MaxBytesReader(nil, io.NopCloser(x.body()), a.client.cfg.MaxResponseBytes))
	if err != nil {
		return a.recoverResponse(ctx, x.failureReason(err))
	}
	if x.res.Header.Get(headerRequestID) != a.call.RequestID {
		return a.recoverResponse(ctx, ReasonWrongID)
	}
	res := Result{Status: Complete, HTTPStatus: x.res.StatusCode, Header: x.res.Header, Body: data}
	if a.call.ModelCall {
		usage, reason := checkCompletion(data, a.call.RequestID)
		if reason != ReasonNone {
			return a.recoverResponse(ctx, reason)
		}
		res.Usage = usage
		a.recordOverCap(usage)
	}
	res.TimeToFirstToken = a.client.cfg.Clock.Since(a.start)
	return res
}

func (a *callRunner) recordOverCap(u Usage) {
	if a.call.CapTokens > 0 && u.GeneratedTokens > a.call.CapTokens {
		a.client.counters.overUsage.Inc(1)
	}
}

func (a *callRunner) recordFirstToken() {
	if a.timeToFirstToken == 0 {
		a.timeToFirstToken = a.client.cfg.Clock.Since(a.start)
	}
}
