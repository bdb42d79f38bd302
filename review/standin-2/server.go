package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// server is a stand-in for a server of a service (PROTOCOL.md, "Servers").
type server struct {
	id, service, zone, version string
	address                    string
	slots                      int
	born                       int64
	// stride is the number of tokens in an event; zero for a plain service.
	stride int
	// firstEvent is the time to the first event or the answer, gap that between events.
	firstEvent, gap time.Duration
	// hook may answer a request in place of the server. It returns false if it doesn't.
	hook func(s *server, w http.ResponseWriter, r *http.Request, body []byte) bool
	http *http.Server
	rec  *record

	mu      sync.Mutex
	running int
	// lost is the share of the answers that are lost.
	lost float64
	// ran are the ids of the requests that ran, in order.
	ran map[string]int
}

func (f *fleet) addServer(s *server) error {
	l, err := net.Listen("tcp4", loopback())
	if err != nil {
		return err
	}
	s.address, s.born, s.rec, s.ran = l.Addr().String(), time.Now().UnixMilli(), f.rec, make(map[string]int)
	if s.version == "" {
		s.version = "v1"
	}
	s.http = &http.Server{Handler: s, IdleTimeout: 30 * time.Second}
	go func() { _ = s.http.Serve(l) }()
	f.servers = append(f.servers, s)
	return nil
}

func (s *server) close() { _ = s.http.Close() }

// entry is the entry of the server in the store.
func (s *server) entry(state string) map[string]any {
	return map[string]any{
		"service": s.service, "address": s.address, "zone": s.zone, "version": s.version, "slots": s.slots, "state": state, "cold_left_ms": 0,
		"call_seq": 1, "born": s.born,
	}
}

// beat writes the entries of all servers.
func (f *fleet) beat() {
	for _, s := range f.servers {
		f.store.set("servers/"+s.id, s.entry("ready"))
	}
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	id := r.Header.Get("X-Request-Id")
	if id != "" {
		h.Set("X-Request-Id", id)
	}
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != s.id {
		h.Set("X-Instance-Id", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.Method == http.MethodGet && r.URL.Path == "/report" {
		s.loseAnswer("/report")
		h.Set("Content-Type", "application/json")
		_, _ = fmt.Fprintf(w, `{"stage":"both","born":%d,"models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"call_seq":1,"waiting":0,"running":0,"kv_used":0,"kv_total":500000,"handles":0}`, s.born)
		return
	}
	if r.URL.Path == "/healthz" {
		h.Set("X-Instance-Id", s.id)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	s.running++
	running := s.running
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.running--
		s.mu.Unlock()
	}()
	h.Set("X-Server-Load", fmt.Sprintf("%d,%d,%d", min(running, s.slots), max(running-s.slots, 0), s.slots))
	if id == "" {
		h.Set("X-Not-Run", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if s.hook != nil && s.hook(s, w, r, body) {
		return
	}
	s.run(id)
	s.loseAnswer(id)
	s.answer(w, r, id, body)
}

// setLost sets the share of the answers that are lost.
func (s *server) setLost(share float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lost = share
}

// loseAnswer ends the channel without an answer for the share of the requests whose answers are lost.
func (s *server) loseAnswer(what string) {
	s.mu.Lock()
	loses := rand.Float64() < s.lost
	s.mu.Unlock()
	if loses {
		s.rec.line("%s loses the answer to %s", s.id, what)
		panic(http.ErrAbortHandler)
	}
}

// run records that a request runs.
func (s *server) run(id string) {
	s.mu.Lock()
	s.ran[id]++
	s.mu.Unlock()
	s.rec.line("run %s at %s", id, s.id)
}

// stamp is the signature of an answer.
func (s *server) stamp(id string) string { return "stamp." + s.id + "." + id }

func (s *server) answer(w http.ResponseWriter, r *http.Request, id string, body []byte) {
	h := w.Header()
	h.Set("X-Server-Stamp", s.stamp(id))
	if !sleep(r.Context(), s.firstEvent) {
		return
	}
	if s.stride == 0 || r.Header.Get("X-Token-Counts") == "" {
		text := fmt.Sprintf("%s answers %s: %d bytes", s.id, id, len(body))
		h.Set("Content-Length", strconv.Itoa(len(text)))
		_, _ = io.WriteString(w, text)
		return
	}
	h.Set("Content-Type", "text/event-stream")
	h.Set("X-Weight-Versions", "1")
	_, out, _ := strings.Cut(r.Header.Get("X-Token-Counts"), ",")
	tokens, _ := strconv.Atoi(out)
	events := (tokens + s.stride - 1) / s.stride
	first, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	control := http.NewResponseController(w)
	for n := first + 1; n <= events; n++ {
		if n > first+1 && !sleep(r.Context(), s.gap) {
			return
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s %s %d\n\n", n, s.version, id, n); err != nil {
			return
		}
		if control.Flush() != nil {
			return
		}
	}
}

// sleep waits, and returns false if the context ends before.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
