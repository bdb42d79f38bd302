package router_test

import (
	"context"
	"net"
	"strings"
	"sync"
	"syscall"
	"time"
)

// cutMode is how connecting fails over a link that is cut.
type cutMode int

const (
	// cutRefuses refuses connections.
	cutRefuses cutMode = iota
	// cutDrops never completes a connection.
	cutDrops
)

// connFate is what a cut does to the connections that are open.
type connFate int

const (
	// connsClose closes them.
	connsClose connFate = iota
	// connsReset resets them.
	connsReset
	// connsHang passes on nothing in either direction, and ends them after unackedTimeout.
	connsHang
	// connsLive leaves them open.
	connsLive
)

// dialerTimeout is the timeout of gateway.NewDialer.
const dialerTimeout = 300 * time.Millisecond

// unackedTimeout is how long a connection that hangs lasts.
const unackedTimeout = 2 * time.Second

// link is a connection between two processes.
type link struct {
	dialer, listener, address string
	conn                      net.Conn
}

// cut is a cut of one process from all others at a port, or from all processes whose names have a prefix, or between the processes of
// which exactly one is inside.
type cut struct {
	process, port, prefix string
	inside                map[string]bool
	mode                  cutMode
}

// affects reports whether the cut affects the link.
func (c cut) affects(l link) bool {
	if c.inside != nil {
		return l.dialer != "caller" && c.inside[l.dialer] != c.inside[l.listener]
	}
	if c.prefix != "" {
		return l.dialer == c.process && strings.HasPrefix(l.listener, c.prefix)
	}
	return strings.HasSuffix(l.address, ":"+c.port) && l.dialer != l.listener && (l.dialer == c.process || l.listener == c.process)
}

// links holds all connections of a memoryNetwork, and the cuts in force.
type links struct {
	mu   sync.Mutex
	open []link
	cuts []cut
}

// find returns the cut that affects a link, or false if there is none.
func (s *links) find(l link) (cut, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.cuts {
		if c.affects(l) {
			return c, true
		}
	}
	return cut{}, false
}

// cutProcess cuts a process off from all others at a port: its own connections to that port of others and theirs to its own.
// Open connections are closed.
func (n *memoryNetwork) cutProcess(process, port string, mode cutMode) {
	n.addCut(cut{process: process, port: port, mode: mode}, connsClose)
}

// cutFrom cuts a process off from all processes whose names have the prefix.
func (n *memoryNetwork) cutFrom(process, prefix string, mode cutMode, fate connFate) {
	n.addCut(cut{process: process, prefix: prefix, mode: mode}, fate)
}

func (n *memoryNetwork) addCut(c cut, fate connFate) {
	n.links.mu.Lock()
	n.links.cuts = append(n.links.cuts, c)
	var affected, rest []link
	for _, l := range n.links.open {
		if c.affects(l) && fate != connsLive {
			affected = append(affected, l)
		} else {
			rest = append(rest, l)
		}
	}
	n.links.open = rest
	n.links.mu.Unlock()
	for _, l := range affected {
		switch conn := l.conn.(*memoryConn); fate {
		case connsReset:
			conn.reset()
		case connsHang:
			conn.hang()
		default:
			_ = conn.Close()
		}
	}
}

// endCut ends all cuts of a process.
func (n *memoryNetwork) endCut(process string) {
	n.links.mu.Lock()
	defer n.links.mu.Unlock()
	var rest []cut
	for _, c := range n.links.cuts {
		if c.process != process {
			rest = append(rest, c)
		}
	}
	n.links.cuts = rest
}

// owner returns the name of the process that listens on an address, or the empty string.
func (n *memoryNetwork) owner(address string) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	if l := n.listeners[address]; l != nil {
		return l.owner.name
	}
	return ""
}

// dial has the signature of net.Dialer.DialContext.
func (p *process) dial(ctx context.Context, _, address string) (net.Conn, error) {
	s, l := &p.network.links, link{dialer: p.name, listener: p.network.owner(address), address: address}
	if c, ok := s.find(l); ok {
		return nil, c.dialError(ctx)
	}
	conn, err := p.connect(ctx, address)
	if err != nil {
		return nil, err
	}
	l.conn = conn
	if c, ok := s.find(l); ok {
		_ = conn.Close()
		return nil, c.dialError(ctx)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open = append(s.open, l)
	return conn, nil
}

// dialError returns the error of connecting over a link that is cut, when it shows.
func (c cut) dialError(ctx context.Context) error {
	if c.mode == cutDrops {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(dialerTimeout):
			return &net.OpError{Op: "dial", Net: "memory", Err: syscall.ETIMEDOUT}
		}
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(networkLatency):
		return &net.OpError{Op: "dial", Net: "memory", Err: syscall.ECONNREFUSED}
	}
}
