package endpoint

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"pumiceshelf/responsecheck"
)

// errNoProgress is the cause of a context that was canceled because its connection stalled.
var errNoProgress = errors.New("endpoint: no progress")

// exchange is an HTTP request and its response.
type exchange struct {
	client     *HTTPClient
	url        string
	path       string
	requestID  string
	transport  *responsecheck.Transport
	ctx        context.Context
	cancel     context.CancelCauseFunc
	stallTimer *stallTimer
	conn       atomic.Pointer[writeCountingConn]
	// resumable is set if the response can be resumed on another connection. StallTimeout then applies until the
	// response starts.
	resumable bool
	// overdue is closed when a resumable exchange makes no progress for StallTimeout before its response starts.
	overdue chan struct{}
	// isOverdue is set before overdue is closed.
	isOverdue atomic.Bool
	// started is set once the response has started.
	started atomic.Bool
	// writesBefore is the connection's count of writes before this request.
	writesBefore int64
	res          *http.Response
	err          error
}

// request describes the HTTP request of an exchange.
type request struct {
	method string
	// base is the endpoint's base URL; path is appended to it.
	base, path       string
	header           http.Header
	body             []byte
	useNewConnection bool
	// resumable is set if the response can be resumed on another connection.
	resumable bool
}

// send sends a request once; net/http never retries it. The caller must close the exchange.
func (c *HTTPClient) send(ctx context.Context, r request) *exchange {
	x := c.newExchange(ctx, r)
	x.roundTrip(r)
	return x
}

// newExchange returns an exchange that sends nothing yet. The caller must close it.
func (c *HTTPClient) newExchange(ctx context.Context, r request) *exchange {
	pool := c.pool(r.base)
	x := &exchange{
		client: c, url: r.base, path: r.path, requestID: r.header.Get(headerRequestID), transport: pool.shared.Load(),
		resumable: r.resumable, overdue: make(chan struct{}),
	}
	if r.useNewConnection {
		x.transport = pool.singleUse
	}
	x.ctx, x.cancel = context.WithCancelCause(ctx)
	limit := c.cfg.ProgressTimeout
	if x.resumable {
		limit = min(limit, c.cfg.StallTimeout)
	}
	x.stallTimer = newStallTimer(c.cfg.Clock, limit, x.handleStall)
	return x
}

// roundTrip sends the request and waits until the response starts.
func (x *exchange) roundTrip(r request) {
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(x.ctx, x.trace()), r.method, r.base+r.path, nil)
	if err != nil {
		x.err = err
		return
	}
	x.setHeaderAndBody(req, r)
	x.res, x.err = x.transport.RoundTrip(req)
	if x.err == nil {
		x.started.Store(true)
		x.stallTimer.setLimit(x.client.cfg.ProgressTimeout)
	}
}

// handleStall is called when the exchange makes no progress. The request of a resumable exchange stays on its connection for
// ProgressTimeout more, because its engine may be silent for a moment and drop a request that it has not begun to run when the
// connection closes.
func (x *exchange) handleStall(t *stallTimer) {
	if x.resumable && !x.started.Load() && x.isOverdue.CompareAndSwap(false, true) {
		t.setLimit(x.client.cfg.ProgressTimeout)
		close(x.overdue)
		return
	}
	x.cancel(errNoProgress)
}

// setHeaderAndBody sets the header and body. net/http does not retry the request because it has no idempotency key and a
// body without GetBody.
func (x *exchange) setHeaderAndBody(req *http.Request, r request) {
	for k, v := range r.header {
		req.Header[k] = v
	}
	req.Header.Del("Idempotency-Key")
	req.Header.Del("X-Idempotency-Key")
	if len(r.body) == 0 && !isReplayedWithoutBody(r.method) {
		req.Body = http.NoBody
		return
	}
	req.Body = io.NopCloser(&progressReader{r: bytes.NewReader(r.body), timer: x.stallTimer})
	req.ContentLength = int64(len(r.body))
}

// isReplayedWithoutBody reports whether net/http retries requests of the method if they have no body.
func isReplayedWithoutBody(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return true
	}
	return false
}

func (x *exchange) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c := asWriteCountingConn(info.Conn); c != nil {
			x.writesBefore = c.writes.Load()
			x.conn.Store(c)
		}
	}}
}

// mayHaveSent reports whether any byte of the request may have reached the endpoint.
func (x *exchange) mayHaveSent() bool {
	c := x.conn.Load()
	return c != nil && c.writes.Load() != x.writesBefore
}

// startStallDetection sets the timeout to StallTimeout once tokens arrive. From then on, a pause of that length means
// that the connection has stalled.
func (x *exchange) startStallDetection() {
	if x.stallTimer.limit.Load() != int64(x.client.cfg.StallTimeout) {
		x.stallTimer.setLimit(x.client.cfg.StallTimeout)
	}
}

// failureReason returns why the exchange failed, and logs an error that the connection or the response caused. err is that of sending or
// reading.
func (x *exchange) failureReason(err error) Reason {
	reason := x.classify(err)
	switch reason {
	case ReasonMalformed, ReasonTruncated, ReasonReset:
		x.client.cfg.Log.Infof("endpoint: no usable response of %s to %s of request %q: %v", x.url, x.path, x.requestID, err)
	}
	return reason
}

func (x *exchange) classify(err error) Reason {
	cause := context.Cause(x.ctx)
	var tooLong *http.MaxBytesError
	switch {
	case errors.Is(cause, errNoProgress):
		if x.res != nil || !x.resumable {
			x.discardConnections()
		}
		return ReasonNoProgress
	case errors.Is(cause, context.DeadlineExceeded):
		return ReasonDeadline
	case cause != nil:
		return ReasonCallerCanceled
	case errors.As(err, &tooLong), errors.Is(err, responsecheck.ErrMalformed):
		return ReasonMalformed
	case errors.Is(err, io.ErrUnexpectedEOF):
		return ReasonTruncated
	case x.conn.Load() == nil:
		return ReasonDial
	}
	return ReasonReset
}

// discardConnections replaces the endpoint's connections after this exchange stalled.
func (x *exchange) discardConnections() { x.client.discardConnections(x.url, x.transport) }

// body returns the response body. Reading from it counts as progress.
func (x *exchange) body() io.Reader { return &progressReader{r: x.res.Body, timer: x.stallTimer} }

func (x *exchange) close() {
	x.stallTimer.stop()
	if x.res != nil {
		_ = x.res.Body.Close()
	}
	x.cancel(context.Canceled)
}
