package endpoint

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"pumiceshelf/responsecheck"
)

// Limits of the connections to one endpoint.
const (
	maxIdleConns           = 64
	idleConnTimeout        = 15 * time.Second
	dialTimeout            = 2 * time.Second
	maxResponseHeaderBytes = 64 << 10
)

type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// connPool holds the connections to one endpoint.
type connPool struct {
	dial   dialFunc
	shared atomic.Pointer[responsecheck.Transport]
	// singleUse opens a new connection for each request.
	singleUse *responsecheck.Transport
}

func newConnPool(dial dialFunc) *connPool {
	l := &connPool{dial: dial}
	l.singleUse = l.newTransport(true)
	l.shared.Store(l.newTransport(false))
	return l
}

func (l *connPool) newTransport(singleUse bool) *responsecheck.Transport {
	return responsecheck.NewTransport(&http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			ctx, cancel := context.WithTimeout(ctx, dialTimeout)
			defer cancel()
			conn, err := l.dial(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &writeCountingConn{Conn: conn}, nil
		},
		DisableKeepAlives:      singleUse,
		DisableCompression:     true,
		MaxIdleConnsPerHost:    maxIdleConns,
		IdleConnTimeout:        idleConnTimeout,
		TLSHandshakeTimeout:    dialTimeout,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
	})
}

// replaceShared replaces the shared transport if it is still t. Requests in progress on t continue.
func (l *connPool) replaceShared(t *responsecheck.Transport) bool {
	if !l.shared.CompareAndSwap(t, l.newTransport(false)) {
		return false
	}
	t.CloseIdleConnections()
	return true
}

func (l *connPool) closeIdle() { l.shared.Load().CloseIdleConnections() }

// writeCountingConn counts the writes that may have reached the peer.
type writeCountingConn struct {
	net.Conn
	writes atomic.Int64
}

// Write implements net.Conn. A write is counted before it starts, so that a blocked write is included.
func (c *writeCountingConn) Write(p []byte) (int, error) {
	c.writes.Add(1)
	n, err := c.Conn.Write(p)
	if n == 0 && err != nil {
		c.writes.Add(-1)
	}
	return n, err
}

// asWriteCountingConn returns the writeCountingConn that conn is or wraps, or nil.
func asWriteCountingConn(conn net.Conn) *writeCountingConn {
	for {
		outer, ok := conn.(interface{ NetConn() net.Conn })
		if !ok {
			c, _ := conn.(*writeCountingConn)
			return c
		}
		conn = outer.NetConn()
	}
}
