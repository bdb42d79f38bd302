// Package fleet starts a few real instances and stand-ins on loopback in one process, for the demo, experiments and tests.
// Faults are injected in the connections and in the responses of the stand-ins.
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

// Site identifies one end of a link: an instance, an endpoint, the platform or the callers.
type Site string

// Sites other than instances and endpoints.
const (
	PlatformSite Site = "platform"
	CallerSite   Site = "caller"
)

// LinkFilter reports whether it matches a link.
type LinkFilter func(from, to Site) bool

// Network carries all connections of a fleet and can block links. As with TCP retransmission, a blocked link loses no
// data: reads and writes wait until it is unblocked, their deadline passes or the connection is closed. It is safe for
// concurrent use.
type Network struct {
	mu      sync.Mutex
	sites   map[string]Site
	rules   map[string]LinkFilter
	changed chan struct{}
	conns   map[*conn]struct{}
	traffic map[link]*atomic.Uint64
}

// link is a pair of sites in the direction of dialing.
type link struct{ from, to Site }

// NewNetwork returns a network without blocked links.
func NewNetwork() *Network {
	return &Network{
		sites:   make(map[string]Site),
		rules:   make(map[string]LinkFilter),
		changed: make(chan struct{}),
		conns:   make(map[*conn]struct{}),
		traffic: make(map[link]*atomic.Uint64),
	}
}

// Register records which site listens on an address.
func (n *Network) Register(address string, site Site) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.sites[address] = site
}

// Block adds a named rule that blocks links. A link is blocked while any rule matches it in either direction.
func (n *Network) Block(name string, rule LinkFilter) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.rules[name] = rule
	n.notifyChange()
}

// Unblock removes the rule with the given name.
func (n *Network) Unblock(name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.rules, name)
	n.notifyChange()
}

// UnblockAll removes all rules.
func (n *Network) UnblockAll() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.rules)
	n.notifyChange()
}

// Stall permanently stalls the open connections that match and returns their number. New connections are not affected.
func (n *Network) Stall(match LinkFilter) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	count := 0
	for c := range n.conns {
		if !c.stalled && match(c.from, c.to) {
			c.stalled = true
			count++
		}
	}
	n.notifyChange()
	return count
}

func (n *Network) notifyChange() {
	close(n.changed)
	n.changed = make(chan struct{})
}

// Dialer returns the function with which a site opens connections.
func (n *Network) Dialer(from Site) node.DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		to := n.siteAt(address)
		if err := n.awaitLink(ctx, from, to); err != nil {
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

// Bytes returns the number of bytes carried so far, in both directions, on connections whose dialing direction matches.
func (n *Network) Bytes(match LinkFilter) uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	sum := uint64(0)
	for l, bytes := range n.traffic {
		if match(l.from, l.to) {
			sum += bytes.Load()
		}
	}
	return sum
}

func (n *Network) siteAt(address string) Site {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.sites[address]
}

// awaitLink waits until the link is not blocked or ctx ends. It does not fail at once, because TCP retransmits the packets
// that open a connection.
func (n *Network) awaitLink(ctx context.Context, from, to Site) error {
	for {
		blocked, changed := n.linkState(from, to)
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

func (n *Network) linkState(from, to Site) (bool, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, rule := range n.rules {
		if rule(from, to) || rule(to, from) {
			return true, n.changed
		}
	}
	return false, n.changed
}

// conn is a connection that makes no progress while its link is blocked or it is stalled.
type conn struct {
	net.Conn
	network  *Network
	from, to Site
	stalled  bool
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
		if err := c.awaitUnblocked(c.deadlineReader(&c.readDeadline)); err != nil {
			return 0, err
		}
		n, err := c.Conn.Read(b)
		c.bytes.Add(uint64(n))
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) && c.isBlocked() {
			// A blocked link hides that the other end closed the connection.
			continue
		}
		if n > 0 && c.isBlocked() {
			if err := c.awaitUnblocked(c.deadlineReader(&c.readDeadline)); err != nil {
				return 0, err
			}
		}
		return n, err
	}
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	if err := c.awaitUnblocked(c.deadlineReader(&c.writeDeadline)); err != nil {
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

func (c *conn) setDeadline(field *time.Time, t time.Time) {
	c.mu.Lock()
	*field = t
	c.mu.Unlock()
	c.network.mu.Lock()
	c.network.notifyChange()
	c.network.mu.Unlock()
}

func (c *conn) deadlineReader(field *time.Time) func() time.Time {
	return func() time.Time {
		c.mu.Lock()
		defer c.mu.Unlock()
		return *field
	}
}

func (c *conn) isBlocked() bool {
	blocked, _ := c.state()
	return blocked
}

func (c *conn) state() (bool, <-chan struct{}) {
	blocked, changed := c.network.linkState(c.from, c.to)
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	return blocked || c.stalled, changed
}

// awaitUnblocked waits until the connection is not blocked. It fails at the deadline or when the connection is closed.
func (c *conn) awaitUnblocked(deadline func() time.Time) error {
	for {
		blocked, changed := c.state()
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
