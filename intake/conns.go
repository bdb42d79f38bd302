// Package intake bounds what callers that do not behave can take from an instance: connections, and memory for the bodies of requests. At a
// bound, the connection or body that is least likely to become a response gives way, so that a crowd of stalled ones does not keep
// others out.
package intake

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/rcrowley/go-metrics"
)

const (
	// headTime is the time after which a connection without a complete head of a request gives way before all others. Clients connect when
	// they have a request, so its head follows within a round trip or a few.
	headTime = time.Second
	// logInterval bounds the log lines about closed connections.
	logInterval = time.Second
)

// phase is what a connection does.
type phase int

const (
	// phaseHead is that of a connection whose first head is not complete, phaseIdle that between two requests.
	phaseHead phase = iota
	phaseIdle
	phaseServing
)

// ListenerConfig configures a Listener.
type ListenerConfig struct {
	// Name is that of the listener in logs.
	Name string
	// MaxConnections bounds the open connections.
	MaxConnections int
	// Tracked is set if an http.Server reports what the connections do, see Protect. If it is not, connections count as idle since their
	// last read or write.
	Tracked bool
	Now     func() time.Time
	Log     log.Interface
	Metrics metrics.Registry
}

// Listener accepts connections and bounds how many are open. At the bound, it closes the one that is least likely to become a response, and
// the new one if all others are in use.
type Listener struct {
	net.Listener
	config  ListenerConfig
	metrics connMetrics

	mu    sync.Mutex
	conns map[*Conn]struct{}
	// closed counts the connections closed at the bound since the log line at loggedAt.
	closed   int
	loggedAt time.Time
}

// Conn is an accepted connection.
type Conn struct {
	net.Conn
	listener *Listener

	// The mutex of the listener guards the following fields. since is when the phase began, or the last read or write if the listener is not tracked.
	phase   phase
	since   time.Time
	anyByte bool
	evicted bool
	// upload is the body that arrives, or nil.
	upload *Upload
}

// NewListener bounds the connections of a listener.
func NewListener(l net.Listener, c ListenerConfig) *Listener {
	return &Listener{Listener: l, config: c, metrics: newConnMetrics(c.Metrics), conns: make(map[*Conn]struct{})}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &Conn{Conn: raw, listener: l, since: l.config.Now()}
		victim := l.add(c)
		if victim == nil {
			return c, nil
		}
		_ = victim.Close()
		if victim != c {
			return c, nil
		}
	}
}

// add registers a connection and returns the one to close, if any.
func (l *Listener) add(c *Conn) *Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	var victim *Conn
	if len(l.conns) >= l.config.MaxConnections {
		if victim = l.worstLocked(); victim == nil {
			victim = c
			l.metrics.refused.Inc(1)
		} else {
			l.metrics.closed.Inc(1)
		}
		victim.evicted = true
		delete(l.conns, victim)
		l.logLocked()
	}
	if victim != c {
		l.conns[c] = struct{}{}
	}
	return victim
}

// worstLocked returns the connection to close, or nil if all are in use. The caller holds the mutex.
func (l *Listener) worstLocked() *Conn {
	now := l.config.Now()
	var worst *Conn
	worstRank := 0
	for c := range l.conns {
		rank, since := c.rankLocked(now)
		if rank > worstRank || rank > 0 && rank == worstRank && since.Before(worst.since) {
			worst, worstRank = c, rank
		}
	}
	return worst
}

// rankLocked returns how early the connection gives way, zero if it does not, and since when it has done nothing. The caller holds the
// mutex.
func (c *Conn) rankLocked(now time.Time) (rank int, since time.Time) {
	const stalledBody, unused, noHead = 1, 2, 3
	switch {
	case !c.listener.config.Tracked && c.anyByte:
		return unused, c.since
	case c.phase == phaseHead && now.Sub(c.since) >= headTime:
		return noHead, c.since
	case c.phase == phaseHead || c.phase == phaseIdle:
		return unused, c.since
	case c.upload != nil && c.upload.stalled(now):
		return stalledBody, c.since
	}
	return 0, c.since
}

// stalled reports whether the body has stopped arriving.
func (u *Upload) stalled(now time.Time) bool {
	u.budget.mu.Lock()
	defer u.budget.mu.Unlock()
	_, arriving := u.budget.uploads[u]
	return arriving && now.Sub(u.progressAt) >= stallTime
}

func (l *Listener) logLocked() {
	l.closed++
	now := l.config.Now()
	if now.Sub(l.loggedAt) < logInterval {
		return
	}
	l.config.Log.WithFields(log.Fields{
		"listener": l.config.Name, "connections": len(l.conns), "max_connections": l.config.MaxConnections, "closed": l.closed,
	}).Warn("intake: connections closed at the bound")
	l.closed, l.loggedAt = 0, now
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.recordUse(n)
	return n, err
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.recordUse(n)
	return n, err
}

func (c *Conn) recordUse(n int) {
	if c.listener.config.Tracked || n == 0 {
		return
	}
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.anyByte, c.since = true, c.listener.config.Now()
}

// CloseWrite ends the sending side, so that the peer reads all that was sent.
func (c *Conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}

// enter records what the connection does. It returns false if the connection was closed at the bound.
func (c *Conn) enter(p phase) bool {
	now := c.listener.config.Now()
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.phase, c.since, c.upload = p, now, nil
	return !c.evicted
}

// connKey is the key of the Conn in the context of a request.
type connKey struct{}

// Protect lets a server report what its connections do to a tracked Listener.
func Protect(s *http.Server) *http.Server {
	handler := s.Handler
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if conn := find(c); conn != nil {
			return context.WithValue(ctx, connKey{}, conn)
		}
		return ctx
	}
	s.ConnState = func(c net.Conn, state http.ConnState) {
		conn := find(c)
		switch {
		case conn == nil:
		case state == http.StateActive:
			conn.enter(phaseServing)
		case state == http.StateIdle:
			conn.enter(phaseIdle)
		}
	}
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// A request whose connection was closed as it arrived must not run.
		if c, ok := r.Context().Value(connKey{}).(*Conn); ok && !c.open() {
			panic(http.ErrAbortHandler)
		}
		handler.ServeHTTP(w, r)
		if r.ContentLength != 0 {
			// The server reads a part of what the handler left of the body.
			_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(discardTime))
		}
	})
	return s
}

func (c *Conn) open() bool {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	return !c.evicted
}

// find returns the Conn below a connection, or nil.
func find(c net.Conn) *Conn {
	if t, ok := c.(*tls.Conn); ok {
		c = t.NetConn()
	}
	conn, _ := c.(*Conn)
	return conn
}

// attach lets the connection of a request give way while its body has stalled.
func (u *Upload) attach(ctx context.Context) {
	if c, ok := ctx.Value(connKey{}).(*Conn); ok {
		c.listener.mu.Lock()
		defer c.listener.mu.Unlock()
		c.upload = u
	}
}
