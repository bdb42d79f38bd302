// Package responsecheck sends HTTP requests, and fails for responses that net/http returns although they are not shown to be whole. All
// responses that pumiceshelf reads come through it.
package responsecheck

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
)

// ErrIncomplete is returned by reads of a response that may have been cut off. It wraps io.ErrUnexpectedEOF.
var ErrIncomplete = fmt.Errorf("responsecheck: response is not shown to be whole: %w", io.ErrUnexpectedEOF)

// Transport is an http.RoundTripper that checks responses. The body of one with neither a length nor chunks, which ends with its connection,
// ends with io.EOF only if the connection was closed in order after the whole request was sent, and otherwise with ErrIncomplete.
type Transport struct{ base http.RoundTripper }

// NewTransport returns a Transport that sends requests on the connections of base, which it changes. Base must not be used otherwise.
func NewTransport(base *http.Transport) *Transport {
	dial := base.DialContext
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	base.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &Conn{Conn: conn}, nil
	}
	return &Transport{base: base}
}

// Client returns a client like c that checks responses. It sends requests on the connections of the same transport, which it changes, unless
// that is the default one. It cannot check the connections of a transport other than *http.Transport.
func Client(c *http.Client) *http.Client {
	checked := *c
	switch t := c.Transport.(type) {
	case *Transport:
	case nil:
		checked.Transport = NewTransport(http.DefaultTransport.(*http.Transport).Clone())
	case *http.Transport:
		checked.Transport = NewTransport(t)
	default:
		checked.Transport = &Transport{base: t}
	}
	return &checked
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	sent := new(sending)
	req = req.WithContext(httptrace.WithClientTrace(req.Context(), sent.trace()))
	resp, err := t.base.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	if endsWithConnection(resp) {
		resp.Body = &unframedBody{ReadCloser: resp.Body, ctx: req.Context(), sent: sent}
	}
	return resp, nil
}

// CloseIdleConnections closes the connections that serve no request.
func (t *Transport) CloseIdleConnections() {
	if c, ok := t.base.(interface{ CloseIdleConnections() }); ok {
		c.CloseIdleConnections()
	}
}

// endsWithConnection reports whether only the end of its connection ends a response.
func endsWithConnection(r *http.Response) bool {
	return r.Body != http.NoBody && r.ContentLength < 0 && len(r.TransferEncoding) == 0 && !r.Uncompressed
}

// sending is the sending of a request. The transport may try it on a second connection if nothing was sent on the first one.
type sending struct {
	mu sync.Mutex
	// begun is set once the head of the request is ready to be sent on the present connection.
	begun bool
	// done is closed when nothing more of the request will be sent. err is set before if that is not the whole request.
	done chan struct{}
	err  error
}

func (s *sending) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.begun, s.done, s.err = false, make(chan struct{}), nil
		},
		WroteHeaders: func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.begun = true
		},
		WroteRequest: func(info httptrace.WroteRequestInfo) {
			s.mu.Lock()
			defer s.mu.Unlock()
			if s.err == nil {
				s.err = info.Err
			}
			select {
			case <-s.done:
			default:
				close(s.done)
			}
		},
	}
}

// check returns ErrIncomplete unless the whole request was sent. It is called at the end of the connection, after which no write waits.
func (s *sending) check(ctx context.Context) error {
	s.mu.Lock()
	begun, done := s.begun, s.done
	s.mu.Unlock()
	if !begun {
		return fmt.Errorf("%w: it precedes its request", ErrIncomplete)
	}
	select {
	case <-done:
	case <-ctx.Done():
		return fmt.Errorf("%w: %v", ErrIncomplete, context.Cause(ctx))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err != nil {
		return fmt.Errorf("%w: request not sent: %v", ErrIncomplete, s.err)
	}
	return nil
}

// unframedBody is the body of a response that ends with its connection.
type unframedBody struct {
	io.ReadCloser
	ctx  context.Context
	sent *sending
	// err is the result of the check at the end of the body.
	err error
}

// Read implements io.Reader.
func (b *unframedBody) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		b.err = b.sent.check(b.ctx)
		if b.err != nil {
			err = b.err
		}
	}
	return n, err
}
