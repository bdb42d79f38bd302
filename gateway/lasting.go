package gateway

import (
	"sync"
	"time"

	"pumiceshelf/registry"
)

// lastingConnections tells which processes the open connections to endpoints lead to. A connection leads to one process as long as it
// lasts, so what was certain of that process once stays certain, also while the store is away and for some time after. It is safe for
// concurrent use.
type lastingConnections struct {
	mu sync.Mutex
	// byAddress holds the open connections by address.
	byAddress map[string]map[*watchedConn]*lastingConnection
}

// lastingConnection is what is known of a connection.
type lastingConnection struct {
	openedAt time.Time
	// endpoint is the process at its other end. It is nil if that is not certain.
	endpoint *registry.Endpoint
	// answeredAt is when the last request was sent on the connection that the process has answered, confirmedAt the last one whose answer
	// says which process it is. They are zero if there was none since the process is certain.
	answeredAt, confirmedAt time.Time
}

func (l *lastingConnections) opened(c *watchedConn, address string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.byAddress == nil {
		l.byAddress = make(map[string]map[*watchedConn]*lastingConnection)
	}
	if l.byAddress[address] == nil {
		l.byAddress[address] = make(map[*watchedConn]*lastingConnection)
	}
	l.byAddress[address][c] = &lastingConnection{openedAt: now}
}

func (l *lastingConnections) closed(c *watchedConn, address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.byAddress[address], c)
	if len(l.byAddress[address]) == 0 {
		delete(l.byAddress, address)
	}
}

// certify records that an endpoint certainly is the process at its address now.
func (l *lastingConnections) certify(e registry.Endpoint) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.byAddress[e.Address] {
		if c.endpoint == nil {
			c.endpoint = &e
		}
	}
}

// confirm records that the process of an endpoint answered a request that was sent on a connection at a time, and said which one it is.
func (l *lastingConnections) confirm(c *watchedConn, e registry.Endpoint, sentAt time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if own := l.byAddress[e.Address][c]; own != nil {
		own.endpoint, own.confirmedAt = &e, sentAt
		l.respondedLocked(own, e.Address, sentAt)
	}
}

// responded records that a response arrived on a connection to a request that was sent at a time. The process at its other end was still
// there after that, so connections that were opened before lead to it as well.
func (l *lastingConnections) responded(c *watchedConn, address string, sentAt time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if own := l.byAddress[address][c]; own != nil && own.endpoint != nil {
		l.respondedLocked(own, address, sentAt)
	}
}

// respondedLocked is responded for a connection whose process is certain. The caller holds the mutex.
func (l *lastingConnections) respondedLocked(own *lastingConnection, address string, sentAt time.Time) {
	if sentAt.After(own.answeredAt) {
		own.answeredAt = sentAt
	}
	for _, other := range l.byAddress[address] {
		if other.endpoint == nil && other.openedAt.Before(sentAt) {
			other.endpoint = own.endpoint
		}
	}
}

// leadTo reports whether a connection lasts that certainly leads to the process of an endpoint.
func (l *lastingConnections) leadTo(e registry.Endpoint) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.byAddress[e.Address] {
		if c.endpoint != nil && c.endpoint.SameProcess(e) {
			return true
		}
	}
	return false
}

// confirmed reports whether the process of an endpoint has said itself, on a connection that lasts, which one it is, and has answered on
// that connection since a time.
func (l *lastingConnections) confirmed(e registry.Endpoint, since time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.byAddress[e.Address] {
		if c.endpoint != nil && c.endpoint.SameProcess(e) && !c.confirmedAt.IsZero() && c.answeredAt.After(since) {
			return true
		}
	}
	return false
}

// forget makes all connections uncertain. Those of an instance that was suspended may have ended without it having noticed.
func (l *lastingConnections) forget() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, connections := range l.byAddress {
		for _, c := range connections {
			c.endpoint, c.answeredAt, c.confirmedAt = nil, time.Time{}, time.Time{}
		}
	}
}

// ForgetProcesses records that this instance was suspended: what its connections led to is not certain any more.
func (g *Gateway) ForgetProcesses() {
	g.processes.forget()
	g.lasting.forget()
}
