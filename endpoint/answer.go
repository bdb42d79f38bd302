package endpoint

import (
	"context"
	"io"
	"net/http"
	"time"
)

// Headers of the endpoints' protocol.
const (
	headerRequestID = "X-Request-Id"
	headerNotRun    = "X-Not-Run"
)

// answer obtains the answer to one call.
type answer struct {
	client *HTTPClient
	call   Call
	sink   func(Piece) error
	start  time.Time
	first  time.Duration
}

// run sends the call once and sees its answer through.
func (a *answer) run(ctx context.Context) Result {
	x := a.client.exchange(ctx, request{
		method: a.call.Method, base: a.call.URL, path: a.call.Path, header: a.call.Header, body: a.call.Body,
		fresh: a.call.Fresh, resumable: a.call.Model,
	})
	defer x.close()
	if x.err != nil {
		return a.unanswered(ctx, x)
	}
	if x.res.Header.Get(headerNotRun) == "1" {
		return Result{Status: Refused, Reason: ReasonBusy, HTTPStatus: x.res.StatusCode}
	}
	if a.call.Model && x.res.StatusCode != http.StatusOK {
		return a.failed(x)
	}
	if a.call.Stream {
		return newStream(a, a.sink).run(ctx, x)
	}
	return a.whole(ctx, x)
}

// failed judges an error status of an engine. One that says that the request is wrong, under the request's own id, says
// that it did not run.
func (a *answer) failed(x *exchange) Result {
	res := Result{Status: Broken, Reason: ReasonServer, HTTPStatus: x.res.StatusCode}
	if x.res.Header.Get(headerRequestID) != a.call.RequestID {
		return res
	}
	switch x.res.StatusCode {
	case http.StatusNotFound:
		res.Status, res.Reason = Refused, ReasonBusy
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge, http.StatusUnprocessableEntity:
		res.Status, res.Reason = Refused, ReasonRejected
		res.Body, _ = io.ReadAll(io.LimitReader(x.body(), rejectionLimit))
	}
	return res
}

// unanswered judges a call whose response never began.
func (a *answer) unanswered(ctx context.Context, x *exchange) Result {
	reason := x.failure(x.err)
	if !x.sent() {
		return Result{Status: NotSent, Reason: reason}
	}
	res := a.broken(ctx, reason)
	if reason == ReasonSilent && res.Status == Broken {
		// The endpoint does not know the request: it was the connection that swallowed it.
		x.discard()
	}
	return res
}

// broken judges a call that may have run: an engine may still have its answer.
func (a *answer) broken(ctx context.Context, reason Reason) Result {
	switch reason {
	case ReasonCallerGone, ReasonDeadline:
		return Result{Status: Canceled, Reason: reason}
	}
	if !a.call.Model {
		return Result{Status: Broken, Reason: reason}
	}
	if a.call.Stream {
		return newStream(a, a.sink).pickUp(ctx, reason)
	}
	return a.assemble(ctx, reason)
}

// whole reads an answer in one piece and checks it.
func (a *answer) whole(ctx context.Context, x *exchange) Result {
	data, err := io.ReadAll(http.MaxBytesReader(nil, io.NopCloser(x.body()), a.client.cfg.AnswerLimit))
	if err != nil {
		return a.broken(ctx, x.failure(err))
	}
	if x.res.Header.Get(headerRequestID) != a.call.RequestID {
		return a.broken(ctx, ReasonWrongID)
	}
	res := Result{Status: Complete, HTTPStatus: x.res.StatusCode, Header: x.res.Header, Body: data}
	if a.call.Model {
		usage, reason := checkWhole(data, a.call.RequestID)
		if reason != ReasonNone {
			return a.broken(ctx, reason)
		}
		res.Usage = usage
		a.noteOverCap(usage)
	}
	res.FirstToken = a.client.cfg.Clock.Since(a.start)
	return res
}

func (a *answer) noteOverCap(u Usage) {
	if a.call.CapTokens > 0 && u.Generated > a.call.CapTokens {
		a.client.count.overUsage.Inc(1)
	}
}

func (a *answer) noteFirst() {
	if a.first == 0 {
		a.first = a.client.cfg.Clock.Since(a.start)
	}
}
