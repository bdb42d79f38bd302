// Package responsecheck sends HTTP requests, and fails for responses that net/http returns although they are malformed or not shown to be
// whole. All responses that pumiceshelf reads come through it.
package responsecheck

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync"
)

// ErrIncomplete is returned by reads of a response that may have been cut off. It wraps io.ErrUnexpectedEOF.
var ErrIncomplete = fmt.Errorf("responsecheck: response is not shown to be whole: %w", io.ErrUnexpectedEOF)

// maxInformationalBytes bounds the informational responses before a final one, about the limit of the header of an endpoint's response.
const maxInformationalBytes = 64 << 10

// Transport is an http.RoundTripper that checks responses. It returns ErrMalformed for one whose head is malformed, and so do reads of its
// body if the trailer is. The body of one with neither a length nor chunks, which ends with its connection, ends with io.EOF only if the
// connection was closed in order after the whole request was sent, and otherwise with ErrIncomplete.
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
		return nil, readError(err)
	}
	if err := checkHead(resp); err != nil {
		// The transport keeps the connection for other requests if the response has no body.
		sent.closeConn()
		_ = resp.Body.Close()
		return nil, err
	}
	if resp.Body != http.NoBody {
		resp.Body = &checkedBody{ReadCloser: resp.Body, ctx: req.Context(), resp: resp, sent: sent}
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
	return r.ContentLength < 0 && len(r.TransferEncoding) == 0 && !r.Uncompressed
}

// sending is the sending of a request. The transport may try it on a second connection if nothing was sent on the first one.
type sending struct {
	mu   sync.Mutex
	conn net.Conn
	// informationalBytes is the approximate size of the informational responses.
	informationalBytes int
	// begun is set once the head of the request is ready to be sent on the present connection.
	begun bool
	// done is closed when nothing more of the request will be sent. err is set before if that is not the whole request.
	done chan struct{}
	err  error
}

func (s *sending) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.conn, s.begun, s.done, s.err = info.Conn, false, make(chan struct{}), nil
		},
		Got1xxResponse: s.checkInformational,
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

// checkInformational returns an error if an informational response is malformed, or if there are too many. net/http bounds them only
// without this hook.
func (s *sending) checkInformational(_ int, header textproto.MIMEHeader) error {
	s.informationalBytes += len("HTTP/1.1 100 \r\n\r\n")
	for name, values := range header {
		for _, value := range values {
			s.informationalBytes += len(name) + len(value) + len(": \r\n")
		}
	}
	if s.informationalBytes > maxInformationalBytes {
		return fmt.Errorf("%w: informational responses of more than %d bytes", ErrMalformed, maxInformationalBytes)
	}
	return checkNames("informational header", header)
}

// closeConn closes the connection of the request.
func (s *sending) closeConn() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conn != nil {
		_ = s.conn.Close()
	}
}

// check returns ErrIncomplete unless the whole request was sent. It is called once the connection has ended, so that writes no longer block.
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

// checkedBody is the body of a response. It is checked at its end.
type checkedBody struct {
	io.ReadCloser
	ctx  context.Context
	resp *http.Response
	sent *sending
	// err is the result of the check.
	err error
}

// Read implements io.Reader.
func (b *checkedBody) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		b.err = b.checkEnd()
		return n, b.err
	}
	return n, readError(err)
}

// checkEnd returns io.EOF if the response is whole.
func (b *checkedBody) checkEnd() error {
	if err := checkNames("trailer", b.resp.Trailer); err != nil {
		return err
	}
	if endsWithConnection(b.resp) {
		if err := b.sent.check(b.ctx); err != nil {
			return err
		}
	}
	return io.EOF
}
