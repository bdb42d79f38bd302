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
	// connsPerPeer bounds the connections to one instance; more calls wait for a free one.
	connsPerPeer = 64
	// idlePerPeer bounds the idle connections kept to one instance.
	idlePerPeer = 8
	// idleLimit is how long an idle connection is kept.
	idleLimit = 20 * time.Second
	// idleSweep is the interval, in heartbeat intervals, at which idle connections are looked for.
	idleSweep = 20
	// callLimit bounds a call whose caller named no deadline.
	callLimit = 30 * time.Second
)

// errDiscarded means that the pool of an instance was closed because the instance is gone or superseded.
var errDiscarded = errors.New("peer: connections closed")

// pool holds the connections to one incarnation. A drpc connection runs one call at a time, so calls side by side take one each.
type pool struct {
	clock clockwork.Clock
	dial  func(ctx context.Context) (*drpcconn.Conn, error)
	slots chan struct{}

	mu     sync.Mutex
	idle   []idleConn
	open   map[*drpcconn.Conn]bool
	closed chan struct{}
}

// idleConn is a connection that waits for a call.
type idleConn struct {
	conn  *drpcconn.Conn
	since time.Time
}

var _ drpc.Conn = (*pool)(nil)

func newPool(clock clockwork.Clock, dial func(ctx context.Context) (*drpcconn.Conn, error)) *pool {
	return &pool{
		clock:  clock,
		dial:   dial,
		slots:  make(chan struct{}, connsPerPeer),
		open:   make(map[*drpcconn.Conn]bool),
		closed: make(chan struct{}),
	}
}

// Invoke implements drpc.Conn.
func (p *pool) Invoke(ctx context.Context, rpc string, enc drpc.Encoding, in, out drpc.Message) error {
	ctx, cancel := limited(ctx)
	defer cancel()
	if err := p.enter(ctx); err != nil {
		return err
	}
	defer p.leave()
	conn, err := p.take(ctx)
	if err != nil {
		return err
	}
	err = conn.Invoke(ctx, rpc, enc, in, out)
	p.put(conn, ctx.Err() != nil)
	return err
}

// NewStream implements drpc.Conn. The connection goes back to the pool when the stream ends.
func (p *pool) NewStream(ctx context.Context, rpc string, enc drpc.Encoding) (drpc.Stream, error) {
	if err := p.enter(ctx); err != nil {
		return nil, err
	}
	conn, err := p.take(ctx)
	if err != nil {
		p.leave()
		return nil, err
	}
	stream, err := conn.NewStream(ctx, rpc, enc)
	if err != nil {
		p.put(conn, true)
		p.leave()
		return nil, err
	}
	context.AfterFunc(stream.Context(), func() {
		p.put(conn, ctx.Err() != nil)
		p.leave()
	})
	return stream, nil
}

// unbounded is a pool as heartbeats use it: calls that fill the pool must not look like an instance that is silent.
type unbounded struct{ *pool }

// Invoke implements drpc.Conn. A connection on which it fails stays open for discard, which the caller must call.
func (u unbounded) Invoke(ctx context.Context, rpc string, enc drpc.Encoding, in, out drpc.Message) error {
	conn, err := u.take(ctx)
	if err != nil {
		return err
	}
	if err := conn.Invoke(ctx, rpc, enc, in, out); err != nil {
		return err
	}
	u.put(conn, false)
	return nil
}

// Closed implements drpc.Conn.
func (p *pool) Closed() <-chan struct{} { return p.closed }

// Close implements drpc.Conn. The pool is shared, so that a caller's Close changes nothing.
func (p *pool) Close() error { return nil }

func limited(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); ok {
		return ctx, func() {}
	}
	return context.WithTimeout(ctx, callLimit)
}

// enter waits for one of the bounded places for calls.
func (p *pool) enter(ctx context.Context) error {
	select {
	case p.slots <- struct{}{}:
		return nil
	case <-p.closed:
		return errDiscarded
	case <-ctx.Done():
		return fmt.Errorf("peer: no free connection: %w", ctx.Err())
	}
}

func (p *pool) leave() { <-p.slots }

// take returns an idle connection, the one idle for longest, so that each is used and a silent one is found. Else it dials.
func (p *pool) take(ctx context.Context) (*drpcconn.Conn, error) {
	if conn := p.takeIdle(); conn != nil {
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
		return nil, errDiscarded
	}
	p.open[conn] = true
	return conn, nil
}

func (p *pool) takeIdle() *drpcconn.Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.idle) > 0 {
		conn := p.idle[0].conn
		p.idle = p.idle[1:]
		if !ended(conn) {
			return conn
		}
		delete(p.open, conn)
	}
	return nil
}

// put gives a connection back. One whose call was cancelled is closed: drpc may still be busy with that call.
func (p *pool) put(conn *drpcconn.Conn, cancelled bool) {
	p.mu.Lock()
	keep := p.open[conn] && !cancelled && !ended(conn) && len(p.idle) < idlePerPeer
	if keep {
		p.idle = append(p.idle, idleConn{conn: conn, since: p.clock.Now()})
	} else {
		delete(p.open, conn)
	}
	p.mu.Unlock()
	if !keep {
		_ = conn.Close()
	}
}

func ended(conn *drpcconn.Conn) bool {
	select {
	case <-conn.Closed():
		return true
	default:
		return false
	}
}

// discard closes all connections, those with calls on them too, so that the calls fail at once. It returns how many.
func (p *pool) discard() int {
	p.mu.Lock()
	conns := p.open
	p.open = make(map[*drpcconn.Conn]bool)
	p.idle = nil
	p.mu.Unlock()
	for conn := range conns {
		_ = conn.Close()
	}
	return len(conns)
}

// closeIdle closes the connections that were not used for idleLimit.
func (p *pool) closeIdle(now time.Time) {
	p.mu.Lock()
	var old []*drpcconn.Conn
	for len(p.idle) > 0 && now.Sub(p.idle[0].since) > idleLimit {
		old = append(old, p.idle[0].conn)
		delete(p.open, p.idle[0].conn)
		p.idle = p.idle[1:]
	}
	p.mu.Unlock()
	for _, conn := range old {
		_ = conn.Close()
	}
}

// shut discards all connections and lets none be opened again.
func (p *pool) shut() {
	p.mu.Lock()
	if !p.isClosed() {
		close(p.closed)
	}
	p.mu.Unlock()
	p.discard()
}

// isClosed needs the lock.
func (p *pool) isClosed() bool {
	select {
	case <-p.closed:
		return true
	default:
		return false
	}
}
