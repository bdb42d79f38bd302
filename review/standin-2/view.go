package main

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
)

// path is the path of one instance to one server: a proxy that can be cut.
type path struct {
	address, target string
	mu              sync.Mutex
	listener        net.Listener
	conns           map[net.Conn]bool
}

func newPath(target string) (*path, error) {
	p := &path{target: target, conns: make(map[net.Conn]bool)}
	l, err := net.Listen("tcp4", loopback())
	if err != nil {
		return nil, err
	}
	p.address = l.Addr().String()
	p.serve(l)
	return p, nil
}

func (p *path) serve(l net.Listener) {
	p.mu.Lock()
	p.listener = l
	p.mu.Unlock()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.forward(c)
		}
	}()
}

func (p *path) forward(c net.Conn) {
	s, err := net.Dial("tcp4", p.target)
	if err != nil {
		reset(c)
		return
	}
	p.mu.Lock()
	p.conns[c], p.conns[s] = true, true
	p.mu.Unlock()
	done := make(chan struct{})
	pass := func(to, from net.Conn) {
		_, err := io.Copy(to, from)
		if err != nil {
			reset(to)
		} else {
			_ = to.(*net.TCPConn).CloseWrite()
		}
		done <- struct{}{}
	}
	go pass(s, c)
	go pass(c, s)
	<-done
	<-done
	p.mu.Lock()
	delete(p.conns, c)
	delete(p.conns, s)
	p.mu.Unlock()
	_, _ = c.Close(), s.Close()
}

func reset(c net.Conn) {
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}

// cut resets the channels and refuses new ones.
func (p *path) cut() {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.listener.Close()
	for c := range p.conns {
		reset(c)
	}
}

// heal lets new channels through.
func (p *path) heal() error {
	l, err := net.Listen("tcp4", p.address)
	if err != nil {
		return err
	}
	p.serve(l)
	return nil
}

// view is the store as one instance sees it: the addresses of servers are those of its paths to them.
type view struct {
	store   *store
	address string
	paths   []*path
	server  *http.Server
}

func (f *fleet) newView() (*view, error) {
	v := &view{store: f.store}
	for _, s := range f.servers {
		p, err := newPath(s.address)
		if err != nil {
			return nil, err
		}
		v.paths = append(v.paths, p)
	}
	l, err := net.Listen("tcp4", loopback())
	if err != nil {
		return nil, err
	}
	v.address = l.Addr().String()
	v.server = &http.Server{Handler: v}
	go func() { _ = v.server.Serve(l) }()
	return v, nil
}

// ServeHTTP implements http.Handler.
func (v *view) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	recorded := httptest.NewRecorder()
	v.store.ServeHTTP(recorded, r)
	body := recorded.Body.Bytes()
	for _, p := range v.paths {
		body = bytes.ReplaceAll(body, []byte(`"`+p.target+`"`), []byte(`"`+p.address+`"`))
	}
	for name, values := range recorded.Header() {
		w.Header()[name] = values
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(recorded.Code)
	_, _ = w.Write(body)
}
