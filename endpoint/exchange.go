package endpoint

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
)

// errSilent is the cause of a context that ended because a connection made no progress.
var errSilent = errors.New("endpoint: no progress")

// exchange is one HTTP request and its response.
type exchange struct {
	client    *HTTPClient
	url       string
	transport *http.Transport
	ctx       context.Context
	cancel    context.CancelCauseFunc
	watch     *watch
	conn      atomic.Pointer[countedConn]
	// quick says that the first byte of the response must come sooner than later ones.
	quick  bool
	before int64
	res    *http.Response
	err    error
}

// request is what an exchange sends.
type request struct {
	method string
	// base is the endpoint's URL; path is appended to it.
	base, path string
	header     http.Header
	body       []byte
	fresh      bool
	// resumable says that the answer can be picked up on another connection.
	resumable bool
}

// exchange sends a request once; net/http never repeats it. The caller must call close.
func (c *HTTPClient) exchange(ctx context.Context, r request) *exchange {
	l := c.link(r.base)
	x := &exchange{client: c, url: r.base, transport: l.shared.Load(), quick: r.resumable}
	if r.fresh {
		x.transport = l.fresh
	}
	x.ctx, x.cancel = context.WithCancelCause(ctx)
	limit := c.cfg.ProgressTimeout
	if x.quick {
		limit = min(limit, c.cfg.StallTimeout)
	}
	x.watch = newWatch(c.cfg.Clock, limit, func() { x.cancel(errSilent) })
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(x.ctx, x.trace()), r.method, r.base+r.path, nil)
	if err != nil {
		x.err = err
		return x
	}
	x.fill(req, r)
	x.res, x.err = x.transport.RoundTrip(req)
	if x.err == nil {
		x.watch.setLimit(c.cfg.ProgressTimeout)
	}
	return x
}

// fill sets header and body. A body without GetBody, and no header that names a key, keep net/http from replaying.
func (x *exchange) fill(req *http.Request, r request) {
	for k, v := range r.header {
		req.Header[k] = v
	}
	req.Header.Del("Idempotency-Key")
	req.Header.Del("X-Idempotency-Key")
	if len(r.body) == 0 && !lacksBody(r.method) {
		req.Body = http.NoBody
		return
	}
	req.Body = io.NopCloser(&watchedReader{r: bytes.NewReader(r.body), watch: x.watch})
	req.ContentLength = int64(len(r.body))
}

// lacksBody says whether net/http would replay a request of the method that has no body.
func lacksBody(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return true
	}
	return false
}

func (x *exchange) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c := counted(info.Conn); c != nil {
			x.before = c.writes.Load()
			x.conn.Store(c)
		}
	}}
}

// sent says whether any byte of the request may have reached the endpoint.
func (x *exchange) sent() bool {
	c := x.conn.Load()
	return c != nil && c.writes.Load() != x.before
}

// flowing notes that tokens have begun to come: a stall shows from now on that the connection is silent.
func (x *exchange) flowing() {
	if x.watch.limit.Load() != int64(x.client.cfg.StallTimeout) {
		x.watch.setLimit(x.client.cfg.StallTimeout)
	}
}

// failure says why the exchange failed, from an error of sending or reading.
func (x *exchange) failure(err error) Reason {
	cause := context.Cause(x.ctx)
	var tooLong *http.MaxBytesError
	switch {
	case errors.Is(cause, errSilent):
		if x.res != nil || !x.quick {
			x.discard()
		}
		return ReasonSilent
	case errors.Is(cause, context.DeadlineExceeded):
		return ReasonDeadline
	case cause != nil:
		return ReasonCallerGone
	case errors.As(err, &tooLong):
		return ReasonMalformed
	case errors.Is(err, io.ErrUnexpectedEOF):
		return ReasonTruncated
	case x.conn.Load() == nil:
		return ReasonDial
	}
	return ReasonReset
}

// discard replaces the connections that this one came from.
func (x *exchange) discard() { x.client.discard(x.url, x.transport) }

// body returns the response's body; reading it counts as progress.
func (x *exchange) body() io.Reader { return &watchedReader{r: x.res.Body, watch: x.watch} }

func (x *exchange) close() {
	x.watch.stop()
	if x.res != nil {
		_ = x.res.Body.Close()
	}
	x.cancel(context.Canceled)
}
