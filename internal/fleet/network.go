// Package fleet starts a few real instances against stand-ins on loopback, in one process, for the demo, experiments and
// tests. Faults are injected where connections are dialled and where the stand-ins answer.
package fleet

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"pumiceshelf/node"
)

// Site names one end of a link: an instance, an endpoint, the platform or the callers.
type Site string

// Sites that stand for more than one process.
const (
	PlatformSite Site = "platform"
	CallerSite   Site = "caller"
)

// Rule says whether a link is blocked. It is asked for both directions.
type Rule func(from, to Site) bool

// Network carries all connections of a fleet and can block links. A blocked link loses nothing that TCP would send
// again: reads and writes wait until it is open again or the connection is closed. It is safe for concurrent use.
type Network struct {
	mu      sync.Mutex
	owners  map[string]Site
	rules   map[string]Rule
	changed chan struct{}
	conns   map[*conn]struct{}
	traffic map[link]*atomic.Uint64
}

// link is one direction of dialling between two sites.
type link struct{ from, to Site }

// NewNetwork returns a network with all links open.
func NewNetwork() *Network {
	return &Network{
		owners:  make(map[string]Site),
		rules:   make(map[string]Rule),
		changed: make(chan struct{}),
		conns:   make(map[*conn]struct{}),
		traffic: make(map[link]*atomic.Uint64),
	}
}

// Own names the site that listens on an address.
func (n *Network) Own(address string, site Site) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.owners[address] = site
}

// Block puts a named rule in force. A link is blocked while any rule says so.
func (n *Network) Block(name string, rule Rule) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.rules[name] = rule
	n.wake()
}

// Open takes a named rule out of force.
func (n *Network) Open(name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.rules, name)
	n.wake()
}

// OpenAll takes all rules out of force.
func (n *Network) OpenAll() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.rules)
	n.wake()
}

// Silence makes the connections that are open now between two sites silent for good. New ones work.
func (n *Network) Silence(pick Rule) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	count := 0
	for c := range n.conns {
		if !c.silent && pick(c.from, c.to) {
			c.silent = true
			count++
		}
	}
	n.wake()
	return count
}

func (n *Network) wake() {
	close(n.changed)
	n.changed = make(chan struct{})
}

// Dialer returns how a site opens connections.
func (n *Network) Dialer(from Site) node.DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		to := n.owner(address)
		if err := n.await(ctx, from, to); err != nil {
			return nil, err
		}
		var d net.Dialer
		inner, err := d.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		c := &conn{Conn: inner, network: n, from: from, to: to, closed: make(chan struct{})}
		n.mu.Lock()
		defer n.mu.Unlock()
		n.conns[c] = struct{}{}
		c.bytes = n.traffic[link{from, to}]
		if c.bytes == nil {
			c.bytes = new(atomic.Uint64)
			n.traffic[link{from, to}] = c.bytes
		}
		return c, nil
	}
}

// Bytes returns the bytes carried so far, both ways, on connections dialled between the sites that pick chooses.
func (n *Network) Bytes(pick Rule) uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	sum := uint64(0)
	for l, bytes := range n.traffic {
		if pick(l.from, l.to) {
			sum += bytes.Load()
		}
	}
	return sum
}

func (n *Network) owner(address string) Site {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.owners[address]
}

// await waits until the link is open; packets that open a connection are sent again until then.
func (n *Network) await(ctx context.Context, from, to Site) error {
	for {
		blocked, changed := n.look(from, to)
		if !blocked {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return &net.OpError{Op: "dial", Net: "tcp", Err: ctx.Err()}
		}
	}
}

func (n *Network) look(from, to Site) (bool, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, rule := range n.rules {
		if rule(from, to) || rule(to, from) {
			return true, n.changed
		}
	}
	return false, n.changed
}

// conn is a connection whose bytes wait while its link is blocked or it is silent.
type conn struct {
	net.Conn
	network  *Network
	from, to Site
	silent   bool
	bytes    *atomic.Uint64

	closeOnce sync.Once
	closed    chan struct{}

	mu            sync.Mutex
	readDeadline  time.Time
	writeDeadline time.Time
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	for {
		if err := c.wait(c.deadline(&c.readDeadline)); err != nil {
			return 0, err
		}
		n, err := c.Conn.Read(b)
		c.bytes.Add(uint64(n))
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) && c.stopped() {
			// The other end's end is not seen through a blocked link.
			continue
		}
		if n > 0 && c.stopped() {
			if err := c.wait(c.deadline(&c.readDeadline)); err != nil {
				return 0, err
			}
		}
		return n, err
	}
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	if err := c.wait(c.deadline(&c.writeDeadline)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(b)
	c.bytes.Add(uint64(n))
	return n, err
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.closeOnce.Do(func() {
		close(c.closed)
		c.network.mu.Lock()
		delete(c.network.conns, c)
		c.network.mu.Unlock()
	})
	return c.Conn.Close()
}

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	c.setDeadline(&c.readDeadline, t)
	c.setDeadline(&c.writeDeadline, t)
	return c.Conn.SetDeadline(t)
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.setDeadline(&c.readDeadline, t)
	return c.Conn.SetReadDeadline(t)
}

// SetWriteDeadline implements net.Conn.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.setDeadline(&c.writeDeadline, t)
	return c.Conn.SetWriteDeadline(t)
}

func (c *conn) setDeadline(which *time.Time, t time.Time) {
	c.mu.Lock()
	*which = t
	c.mu.Unlock()
	c.network.mu.Lock()
	c.network.wake()
	c.network.mu.Unlock()
}

func (c *conn) deadline(which *time.Time) func() time.Time {
	return func() time.Time {
		c.mu.Lock()
		defer c.mu.Unlock()
		return *which
	}
}

func (c *conn) stopped() bool {
	blocked, _ := c.look()
	return blocked
}

func (c *conn) look() (bool, <-chan struct{}) {
	blocked, changed := c.network.look(c.from, c.to)
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	return blocked || c.silent, changed
}

// wait returns when bytes may pass, or with an error at the deadline or when the connection is closed.
func (c *conn) wait(deadline func() time.Time) error {
	for {
		blocked, changed := c.look()
		if !blocked {
			return nil
		}
		var expired <-chan time.Time
		if at := deadline(); !at.IsZero() {
			timer := time.NewTimer(time.Until(at))
			defer timer.Stop()
			expired = timer.C
		}
		select {
		case <-changed:
		case <-expired:
			return os.ErrDeadlineExceeded
		case <-c.closed:
			return io.ErrClosedPipe
		}
	}
}
