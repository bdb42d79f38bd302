package peer

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
)

const (
	// maxConnsPerPeer bounds the concurrent calls to one instance, each on its own connection; further calls wait.
	maxConnsPerPeer = 64
	// maxIdlePerPeer bounds the idle connections kept to one instance.
	maxIdlePerPeer = 8
	// maxIdleTime is how long an idle connection is kept.
	maxIdleTime = 20 * time.Second
	// idleSweepInterval is the interval, in heartbeat intervals, at which expired idle connections are closed.
	idleSweepInterval = 20
	// defaultCallTimeout bounds a call without a deadline.
	defaultCallTimeout = 30 * time.Second
)

// errPoolClosed means that the connection pool was closed because its instance failed or was superseded.
var errPoolClosed = errors.New("peer: connection pool closed")

// pool holds the connections to one incarnation. A drpc connection runs one call at a time, so concurrent calls use one each.
type pool struct {
	clock clockwork.Clock
	dial  func(ctx context.Context) (*drpcconn.Conn, error)
	slots chan struct{}

	mu     sync.Mutex
	idle   []idleConn
	conns  map[*drpcconn.Conn]bool
	closed chan struct{}
}

// idleConn is a connection without a call.
type idleConn struct {
	conn  *drpcconn.Conn
	since time.Time
}

var _ drpc.Conn = (*pool)(nil)

func newPool(clock clockwork.Clock, dial func(ctx context.Context) (*drpcconn.Conn, error)) *pool {
	return &pool{
		clock:  clock,
		dial:   dial,
		slots:  make(chan struct{}, maxConnsPerPeer),
		conns:  make(map[*drpcconn.Conn]bool),
		closed: make(chan struct{}),
	}
}

// Invoke implements drpc.Conn.
func (p *pool) Invoke(ctx context.Context, rpc string, enc drpc.Encoding, in, out drpc.Message) error {
	ctx, cancel := withDefaultTimeout(ctx)
	defer cancel()
	if err := p.acquireSlot(ctx); err != nil {
		return err
	}
	defer p.releaseSlot()
	conn, err := p.acquireConn(ctx)
	if err != nil {
		return err
	}
	err = conn.Invoke(ctx, rpc, enc, in, out)
	p.releaseConn(conn, ctx.Err() != nil)
	return err
}

// NewStream implements drpc.Conn. The connection is returned to the pool when the stream ends.
func (p *pool) NewStream(ctx context.Context, rpc string, enc drpc.Encoding) (drpc.Stream, error) {
	if err := p.acquireSlot(ctx); err != nil {
		return nil, err
	}
	conn, err := p.acquireConn(ctx)
	if err != nil {
		p.releaseSlot()
		return nil, err
	}
	stream, err := conn.NewStream(ctx, rpc, enc)
	if err != nil {
		p.releaseConn(conn, true)
		p.releaseSlot()
		return nil, err
	}
	context.AfterFunc(stream.Context(), func() {
		p.releaseConn(conn, ctx.Err() != nil)
		p.releaseSlot()
	})
	return stream, nil
}

// unlimitedPool is a pool without the limit on concurrent calls. Heartbeats use it, so that an instance does not
// count as unresponsive while other calls use all slots.
type unlimitedPool struct{ *pool }

// Invoke implements drpc.Conn. If it fails, its connection stays open until discard, which the caller must call.
func (u unlimitedPool) Invoke(ctx context.Context, rpc string, enc drpc.Encoding, in, out drpc.Message) error {
	conn, err := u.acquireConn(ctx)
	if err != nil {
		return err
	}
	if err := conn.Invoke(ctx, rpc, enc, in, out); err != nil {
		return err
	}
	u.releaseConn(conn, false)
	return nil
}

// Closed implements drpc.Conn.
func (p *pool) Closed() <-chan struct{} { return p.closed }

// Close implements drpc.Conn. It does nothing, since callers share the pool.
func (p *pool) Close() error { return nil }

// withDefaultTimeout adds defaultCallTimeout to a context without a deadline.
func withDefaultTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); ok {
		return ctx, func() {}
	}
	return context.WithTimeout(ctx, defaultCallTimeout)
}

// acquireSlot waits for one of the maxConnsPerPeer slots for concurrent calls.
func (p *pool) acquireSlot(ctx context.Context) error {
	select {
	case p.slots <- struct{}{}:
		return nil
	case <-p.closed:
		return errPoolClosed
	case <-ctx.Done():
		return fmt.Errorf("peer: no free connection: %w", ctx.Err())
	}
}

func (p *pool) releaseSlot() { <-p.slots }

// acquireConn returns the connection that has been idle for longest, or dials a new one. This order uses every
// connection from time to time, so that stalled ones are detected.
func (p *pool) acquireConn(ctx context.Context) (*drpcconn.Conn, error) {
	if conn := p.acquireIdle(); conn != nil {
		return conn, nil
	}
	conn, err := p.dial(ctx)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.isClosed() {
		_ = conn.Close()
		return nil, errPoolClosed
	}
	p.conns[conn] = true
	return conn, nil
}

func (p *pool) acquireIdle() *drpcconn.Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.idle) > 0 {
		conn := p.idle[0].conn
		p.idle = p.idle[1:]
		if !connClosed(conn) {
			return conn
		}
		delete(p.conns, conn)
	}
	return nil
}

// releaseConn returns a connection to the pool, or closes it if its call was canceled: drpc may still be processing that call.
func (p *pool) releaseConn(conn *drpcconn.Conn, canceled bool) {
	p.mu.Lock()
	keep := p.conns[conn] && !canceled && !connClosed(conn) && len(p.idle) < maxIdlePerPeer
	if keep {
		p.idle = append(p.idle, idleConn{conn: conn, since: p.clock.Now()})
	} else {
		delete(p.conns, conn)
	}
	p.mu.Unlock()
	if !keep {
		_ = conn.Close()
	}
}

func connClosed(conn *drpcconn.Conn) bool {
	select {
	case <-conn.Closed():
		return true
	default:
		return false
	}
}

// discard closes all connections, so that calls in progress fail at once, and returns the number of connections.
func (p *pool) discard() int {
	p.mu.Lock()
	conns := p.conns
	p.conns = make(map[*drpcconn.Conn]bool)
	p.idle = nil
	p.mu.Unlock()
	for conn := range conns {
		_ = conn.Close()
	}
	return len(conns)
}

// closeIdle closes the connections that have been idle for longer than maxIdleTime.
func (p *pool) closeIdle(now time.Time) {
	p.mu.Lock()
	var expired []*drpcconn.Conn
	for len(p.idle) > 0 && now.Sub(p.idle[0].since) > maxIdleTime {
		expired = append(expired, p.idle[0].conn)
		delete(p.conns, p.idle[0].conn)
		p.idle = p.idle[1:]
	}
	p.mu.Unlock()
	for _, conn := range expired {
		_ = conn.Close()
	}
}

// shutDown closes all connections and rejects new ones.
func (p *pool) shutDown() {
	p.mu.Lock()
	if !p.isClosed() {
		close(p.closed)
	}
	p.mu.Unlock()
	p.discard()
}

// isClosed reports whether shutDown was called. p.mu must be held.
func (p *pool) isClosed() bool {
	select {
	case <-p.closed:
		return true
	default:
		return false
	}
}
