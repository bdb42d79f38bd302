package endpoint

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// Bounds of the connections to one endpoint.
const (
	idleConns       = 64
	idleTimeout     = 15 * time.Second
	dialTimeout     = 2 * time.Second
	headerSizeLimit = 64 << 10
)

type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// link holds the connections to one endpoint.
type link struct {
	dial   dialFunc
	shared atomic.Pointer[http.Transport]
	// fresh gives each request a connection of its own.
	fresh *http.Transport
}

func newLink(dial dialFunc) *link {
	l := &link{dial: dial}
	l.fresh = l.transport()
	l.fresh.DisableKeepAlives = true
	l.shared.Store(l.transport())
	return l
}

func (l *link) transport() *http.Transport {
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			ctx, cancel := context.WithTimeout(ctx, dialTimeout)
			defer cancel()
			conn, err := l.dial(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &countedConn{Conn: conn}, nil
		},
		DisableCompression:     true,
		MaxIdleConnsPerHost:    idleConns,
		IdleConnTimeout:        idleTimeout,
		TLSHandshakeTimeout:    dialTimeout,
		MaxResponseHeaderBytes: headerSizeLimit,
	}
}

// discard replaces the shared transport if it is still the one given. Requests in progress on it go on.
func (l *link) discard(t *http.Transport) bool {
	if !l.shared.CompareAndSwap(t, l.transport()) {
		return false
	}
	t.CloseIdleConnections()
	return true
}

func (l *link) close() { l.shared.Load().CloseIdleConnections() }

// countedConn counts the writes that may have reached the other end.
type countedConn struct {
	net.Conn
	writes atomic.Int64
}

// Write implements net.Conn. A write is counted before it starts, so that one that is stuck counts too.
func (c *countedConn) Write(p []byte) (int, error) {
	c.writes.Add(1)
	n, err := c.Conn.Write(p)
	if n == 0 && err != nil {
		c.writes.Add(-1)
	}
	return n, err
}

// counted returns the countedConn below a connection, or nil.
func counted(conn net.Conn) *countedConn {
	if t, ok := conn.(interface{ NetConn() net.Conn }); ok {
		conn = t.NetConn()
	}
	c, _ := conn.(*countedConn)
	return c
}
