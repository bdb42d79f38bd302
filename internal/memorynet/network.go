// Package memorynet connects clients and servers of one process by buffered connections in memory. Unlike with sockets, a goroutine
// that waits for such a connection lets the virtual time of testing/synctest pass. All parts of a network belong to one bubble.
package memorynet

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"syscall"
)

const networkName = "memory"

// address is the address of one end of a connection.
type address string

// Network implements net.Addr.
func (address) Network() string { return networkName }

// String implements net.Addr.
func (a address) String() string { return string(a) }

// Network holds listeners. The zero value has none and is ready to use. It is safe for concurrent use.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*listener
	listened  int
	dialed    int
}

// listener is a net.Listener of a network.
type listener struct {
	network  *Network
	address  address
	accepted chan net.Conn
	closed   chan struct{}
	once     sync.Once
}

// Listen returns a listener at an address of its own.
func (n *Network) Listen() net.Listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listened++
	l := &listener{
		network: n, address: address(fmt.Sprintf("10.0.0.%d:80", n.listened)), accepted: make(chan net.Conn), closed: make(chan struct{}),
	}
	if n.listeners == nil {
		n.listeners = make(map[string]*listener)
	}
	n.listeners[l.address.String()] = l
	return l
}

// NewServer starts an HTTP server at an address of its own, like httptest.NewServer.
func (n *Network) NewServer(h http.Handler) *httptest.Server {
	s := &httptest.Server{Listener: n.Listen(), Config: &http.Server{Handler: h}}
	s.Start()
	return s
}

// DialContext has the signature of net.Dialer.DialContext. A server that does not accept the connection blocks it.
func (n *Network) DialContext(ctx context.Context, _, to string) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[to]
	n.dialed++
	from := address(fmt.Sprintf("10.1.0.1:%d", 1024+n.dialed))
	n.mu.Unlock()
	refused := &net.OpError{Op: "dial", Net: networkName, Addr: address(to), Err: syscall.ECONNREFUSED}
	if l == nil {
		return nil, refused
	}
	dialed, accepted := newConns(from, l.address)
	select {
	case l.accepted <- accepted:
		return dialed, nil
	case <-l.closed:
		return nil, refused
	case <-ctx.Done():
		return nil, &net.OpError{Op: "dial", Net: networkName, Addr: address(to), Err: ctx.Err()}
	}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accepted:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.once.Do(func() {
		close(l.closed)
		l.network.mu.Lock()
		defer l.network.mu.Unlock()
		delete(l.network.listeners, l.address.String())
	})
	return nil
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return l.address }
