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

// link is a connection between two processes.
type link struct {
	dialer, listener, address string
	conn                      net.Conn
}

// isCut reports whether a cut of the process at the port affects the link.
func (l link) isCut(process, port string) bool {
	return strings.HasSuffix(l.address, ":"+port) && l.dialer != l.listener && (l.dialer == process || l.listener == process)
}

// cut is a cut of one process from all others at a port.
type cut struct {
	process, port string
	mode          cutMode
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
		if l.isCut(c.process, c.port) {
			return c, true
		}
	}
	return cut{}, false
}

// cutProcess cuts a process off from all others at a port: its own connections to that port of others and theirs to its own.
// Open connections are closed.
func (n *memoryNetwork) cutProcess(process, port string, mode cutMode) {
	n.links.mu.Lock()
	n.links.cuts = append(n.links.cuts, cut{process: process, port: port, mode: mode})
	var closing, rest []link
	for _, l := range n.links.open {
		if l.isCut(process, port) {
			closing = append(closing, l)
		} else {
			rest = append(rest, l)
		}
	}
	n.links.open = rest
	n.links.mu.Unlock()
	for _, l := range closing {
		_ = l.conn.Close()
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
		<-ctx.Done()
		return ctx.Err()
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(networkLatency):
		return &net.OpError{Op: "dial", Net: "memory", Err: syscall.ECONNREFUSED}
	}
}
