package gateway

import (
	"context"
	"net"
	"net/http"
	"syscall"
	"time"
)

const (
	// dialTimeout bounds a new connection to an endpoint or instance, which are milliseconds away. One whose queue of new
	// connections is full answers only after seconds; another endpoint is then the better choice.
	dialTimeout = 300 * time.Millisecond
	// unackedLimit ends a connection whose other end does not acknowledge what was sent: time for two retransmissions at
	// the least timeout of TCP, 200 and 400 ms.
	unackedLimit = time.Second
	// keepAlive finds connections that have gone silent while nothing is sent, within about a second.
	keepAliveIdle     = 500 * time.Millisecond
	keepAliveInterval = 250 * time.Millisecond
	keepAliveCount    = 2
	// idleConnLife is how long an idle connection to an endpoint is kept.
	idleConnLife = 4 * time.Second
	// idlePerEndpoint bounds the idle connections to one endpoint.
	idlePerEndpoint = 32
	// headerLimit bounds the header of an endpoint's answer in bytes.
	headerLimit = 64 << 10
	// tcpUserTimeout is the socket option of that name on Linux (tcp(7)).
	tcpUserTimeout = 18
)

// KeepAlive is the probing by which both ends of the gateway find connections that have gone silent.
func KeepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount}
}

// NewDialer returns a dialer whose connections end when the other end falls silent.
func NewDialer() *net.Dialer {
	return &net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: KeepAlive(),
		Control: func(_, _ string, c syscall.RawConn) error {
			var optErr error
			err := c.Control(func(fd uintptr) {
				optErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(unackedLimit.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return optErr
		},
	}
}

// dialError means that no connection to an endpoint could be made, so that nothing was sent.
type dialError struct{ err error }

func (e *dialError) Error() string { return "gateway: dial: " + e.err.Error() }
func (e *dialError) Unwrap() error { return e.err }

// newTransport returns the connections to endpoints.
func newTransport() *http.Transport {
	dialer := NewDialer()
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, &dialError{err: err}
			}
			return conn, nil
		},
		DisableCompression:     true,
		MaxIdleConnsPerHost:    idlePerEndpoint,
		IdleConnTimeout:        idleConnLife,
		MaxResponseHeaderBytes: headerLimit,
	}
}
