package gateway

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"pumiceshelf/responsecheck"
)

const (
	// dialTimeout bounds the time to connect to an endpoint or instance, which takes milliseconds on a healthy network.
	// If the accept queue of an endpoint is full, the connection takes seconds and another endpoint is the better
	// choice.
	dialTimeout = 300 * time.Millisecond
	// MaxUnackedTime is how long data sent to the store or to another instance may stay unacknowledged, or unread with a full
	// receive window, before the connection is closed. It allows two retransmissions at the minimum TCP timeout, after 200 and
	// 400 ms.
	MaxUnackedTime = time.Second
	// MaxEndpointUnackedTime is the same for endpoints. It exceeds the pause of a sound endpoint, which reads nothing for
	// a second or so. On an idle connection it also decides when keep-alive probes give up: at the first probe that is due later
	// than this after the last acknowledgement, if one before it was not answered. With 2 s that is one unanswered probe.
	MaxEndpointUnackedTime = 2500 * time.Millisecond
	// The keep-alive settings detect a dead idle connection. Linux counts the first two in whole seconds, and ignores
	// keepAliveCount on connections with a maximum unacknowledged time, such as all that this program opens.
	keepAliveIdle     = 500 * time.Millisecond
	keepAliveInterval = 250 * time.Millisecond
	keepAliveCount    = 2
	// idleConnTimeout is how long an idle connection to an endpoint is kept open.
	idleConnTimeout = 4 * time.Second
	// maxIdleConnsPerEndpoint is the maximum number of idle connections to one endpoint.
	maxIdleConnsPerEndpoint = 32
	// maxResponseHeaderBytes is the maximum size of the header of an endpoint's response.
	maxResponseHeaderBytes = 64 << 10
	// tcpUserTimeoutOption is the socket option TCP_USER_TIMEOUT on Linux; see tcp(7).
	tcpUserTimeoutOption = 18
)

// KeepAliveConfig returns the TCP keep-alive settings that detect dead connections. They apply to connections from
// callers and to connections to endpoints.
func KeepAliveConfig() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount}
}

// NewDialer returns a dialer whose connections fail when the peer stops acknowledging keep-alive probes, or data for the given
// time.
func NewDialer(maxUnacked time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: KeepAliveConfig(),
		Control: func(_, _ string, c syscall.RawConn) error {
			var optErr error
			err := c.Control(func(fd uintptr) {
				optErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeoutOption, int(maxUnacked.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return optErr
		},
	}
}

// dialError reports that connecting to an endpoint failed, so nothing was sent.
type dialError struct{ err error }

func (e *dialError) Error() string { return "gateway: dial: " + e.err.Error() }
func (e *dialError) Unwrap() error { return e.err }

// watchedConn tells when the other side ends the connection, and when it is closed.
type watchedConn struct {
	net.Conn
	address string
	closed  atomic.Bool
	ended   func()
	once    sync.Once
	lasting *lastingConnections
}

// Read implements net.Conn.
func (c *watchedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.lasting.closed(c, c.address)
		if !c.closed.Load() {
			c.once.Do(c.ended)
		}
	}
	return n, err
}

// Close implements net.Conn.
func (c *watchedConn) Close() error {
	c.closed.Store(true)
	c.lasting.closed(c, c.address)
	return c.Conn.Close()
}

// watchConnections returns a dial function that calls ended with the address when the other side ends a connection, and records which
// connections are open.
func watchConnections(dial func(ctx context.Context, network, address string) (net.Conn, error), ended func(address string), lasting *lastingConnections, now func() time.Time) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		c := &watchedConn{Conn: conn, address: address, ended: func() { ended(address) }, lasting: lasting}
		lasting.opened(c, address, now())
		return c, nil
	}
}

// newTransport returns a transport for requests to endpoints or other instances. If singleUse is set, each has a connection of its own.
func newTransport(dial func(ctx context.Context, network, address string) (net.Conn, error), singleUse bool) *responsecheck.Transport {
	return responsecheck.NewTransport(&http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dial(ctx, network, address)
			if err != nil {
				return nil, &dialError{err: err}
			}
			return conn, nil
		},
		DisableKeepAlives:      singleUse,
		DisableCompression:     true,
		MaxIdleConnsPerHost:    maxIdleConnsPerEndpoint,
		IdleConnTimeout:        idleConnTimeout,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
	})
}
