package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// run is a request that a server began to work on.
type run struct {
	id, server, tenant, path string
	body                     []byte
	at                       time.Time
	tokensIn                 int64
}

// runs are all runs of all servers.
type runs struct {
	mu   sync.Mutex
	list []run
}

func (r *runs) add(x run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.list = append(r.list, x)
}

func (r *runs) all() []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]run(nil), r.list...)
}

// server is a stand-in of a server. It follows PROTOCOL.md, "Servers".
type server struct {
	id, service, zone, address, version string
	slots                               int
	events                              int
	stride                              int
	eventPause, workTime                time.Duration
	responseBytes                       int
	runs                                *runs
	// answer is used for requests to run in place of the usual answer, if it is set.
	answer func(w http.ResponseWriter, r *http.Request) bool

	running atomic.Int64
	// leaving is set once the server reports that it is draining.
	leaving atomic.Bool
	// mu guards the fields below. isAway is set while the server has crashed.
	mu       sync.Mutex
	isAway   bool
	conns    map[net.Conn]bool
	listener net.Listener
	born     int64
	http     *http.Server

	stopped  chan struct{}
	store    *store
	stopOnce sync.Once
}

// start listens and registers the server in the store.
func (s *server) start(st *store) error {
	s.stopped, s.store = make(chan struct{}), st
	if err := s.listen(freePort()); err != nil {
		return err
	}
	s.register()
	go func() {
		for {
			select {
			case <-s.stopped:
				return
			case <-time.After(1200 * time.Millisecond):
				s.register()
			}
		}
	}()
	return nil
}

// listen starts the process of the server at an address.
func (s *server) listen(address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listener, s.address, s.born, s.isAway, s.conns = l, address, time.Now().UnixMilli(), false, make(map[net.Conn]bool)
	s.http = &http.Server{Handler: s, ConnState: func(c net.Conn, state http.ConnState) {
		s.mu.Lock()
		defer s.mu.Unlock()
		switch state {
		case http.StateNew:
			s.conns[c] = true
		case http.StateClosed, http.StateHijacked:
			delete(s.conns, c)
		}
	}}
	go func() { _ = s.http.Serve(l) }()
	return nil
}

// register writes the entry of the server.
func (s *server) register() {
	s.store.mu.Lock()
	away := s.store.away
	s.store.mu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	if away || s.isAway {
		return
	}
	state := "ready"
	if s.leaving.Load() {
		state = "draining"
	}
	s.store.put("servers", s.id, map[string]any{
		"service": s.service, "address": s.address, "zone": s.zone, "version": s.version, "slots": s.slots, "state": state,
		"cold_left_ms": 0, "call_seq": 0, "born": s.born,
	})
}

func (s *server) bornAt() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.born
}

func (s *server) stop() {
	s.stopOnce.Do(func() {
		close(s.stopped)
		s.mu.Lock()
		server := s.http
		s.mu.Unlock()
		_ = server.Close()
	})
}

// ServeHTTP serves one request.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	h["Date"] = nil
	if id := r.Header.Get("X-Request-Id"); id != "" {
		h.Set("X-Request-Id", id)
	}
	h.Set("X-Server-Load", fmt.Sprintf("%d,0,%d", s.running.Load(), s.slots))
	if s.leaving.Load() {
		h.Set("Server-Leaving", "1")
	}
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != s.id {
		h.Set("X-Not-Run", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/healthz":
		h.Set("X-Instance-Id", s.id)
		return
	case "/report":
		h.Set("Content-Type", "application/json")
		fmt.Fprintf(w, `{"stage":"both","models":[],"busy":false,"call_seq":0,"waiting":0,"running":%d,"kv_used":0,"kv_total":500000,"handles":0,"born":%d}`, s.running.Load(), s.bornAt())
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if s.running.Add(1) > int64(s.slots) {
		s.running.Add(-1)
		h.Set("X-Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer s.running.Add(-1)
	in, _ := tokenCounts(r)
	s.runs.add(run{id: r.Header.Get("X-Request-Id"), server: s.id, tenant: r.Header.Get("X-Tenant"), path: r.URL.Path, body: body, at: time.Now(), tokensIn: in})
	h.Set("X-Server-Stamp", s.id+"."+r.Header.Get("X-Request-Id"))
	if s.answer != nil && s.answer(w, r) {
		return
	}
	if s.events == 0 {
		select {
		case <-time.After(s.workTime):
		case <-r.Context().Done():
			return
		}
		h.Set("Content-Length", strconv.Itoa(s.responseBytes))
		_, _ = w.Write(make([]byte, s.responseBytes))
		return
	}
	s.stream(w, r)
}

// stream sends the events after the one that the client has.
func (s *server) stream(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	control := http.NewResponseController(w)
	for n := after + 1; n <= s.events; n++ {
		select {
		case <-time.After(s.eventPause):
		case <-r.Context().Done():
			return
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s piece %d\n\n", n, s.id, n); err != nil {
			return
		}
		if control.Flush() != nil {
			return
		}
	}
}

// tokenCounts returns the tokens of the prompt and the greatest number of those that are generated.
func tokenCounts(r *http.Request) (in, out int64) {
	_, _ = fmt.Sscanf(r.Header.Get("X-Token-Counts"), "%d,%d", &in, &out)
	return in, out
}
