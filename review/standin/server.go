package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// run is one request that a server ran.
type run struct {
	id, server, method, path string
	at                       time.Time
}

// engine is a stand-in for a model server, or for a plain server if stride is zero.
type engine struct {
	id, address, zone, service string
	slots, stride              int
	firstEvent, eventPause     time.Duration
	work                       time.Duration
	running                    atomic.Int64
	hang                       atomic.Bool
	server                     *http.Server
	// version is that of the server's software, born when its process started.
	version string
	born    time.Time

	mu   sync.Mutex
	runs []run
}

func startEngine(e *engine) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	e.address, e.version = l.Addr().String(), "v1"
	e.serve(l)
	return nil
}

func (e *engine) serve(l net.Listener) {
	e.born, e.server = time.Now(), &http.Server{Handler: e}
	go e.server.Serve(l)
}

// startAgain starts a server again after a crash, under the ID and at the address that it had, as another software version.
func (e *engine) startAgain(version string) error {
	l, err := net.Listen("tcp", e.address)
	if err != nil {
		return err
	}
	e.version = version
	e.serve(l)
	return nil
}

// crash ends the server: it closes all channels, and refuses new ones.
func (e *engine) crash() { _ = e.server.Close() }

// entry is what the server writes into the store.
func (e *engine) entry() map[string]any {
	return map[string]any{
		"service": e.service, "address": e.address, "zone": e.zone, "version": e.version, "slots": e.slots, "state": "ready",
		"cold_left_ms": 0, "call_seq": 0, "born": e.born.UnixMilli(),
	}
}

func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	id := r.Header.Get("X-Request-Id")
	h.Set("X-Request-Id", id)
	h.Set("X-Server-Load", fmt.Sprintf("%d,0,%d", e.running.Load(), e.slots))
	if r.URL.Path == "/healthz" {
		h.Set("X-Instance-Id", e.id)
		return
	}
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != e.id {
		h.Set("X-Instance-Id", e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	if int(e.running.Add(1)) > e.slots {
		e.running.Add(-1)
		h.Set("X-Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer e.running.Add(-1)
	for e.hang.Load() {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(10 * time.Millisecond):
		}
	}
	e.mu.Lock()
	e.runs = append(e.runs, run{id: id, server: e.id, method: r.Method, path: r.URL.Path, at: time.Now()})
	e.mu.Unlock()
	h.Set("X-Server-Stamp", "stamp."+e.id+"."+id)
	if e.stride == 0 {
		time.Sleep(e.work)
		_, _ = io.WriteString(w, "answer to "+id)
		return
	}
	_, out, _ := strings.Cut(r.Header.Get("X-Token-Counts"), ",")
	tokens, _ := strconv.Atoi(strings.TrimSpace(out))
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	h.Set("Content-Type", "text/event-stream")
	version := e.version
	time.Sleep(e.firstEvent)
	for n := last + 1; n <= (tokens+e.stride-1)/e.stride; n++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: piece %d of %s by %s\n\n", n, n, id, version); err != nil {
			return
		}
		w.(http.Flusher).Flush()
		select {
		case <-time.After(e.eventPause):
		case <-r.Context().Done():
			return
		}
	}
}

// ran returns the IDs of the requests that the server ran.
func (e *engine) ran() map[string]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make(map[string]int)
	for _, r := range e.runs {
		out[r.id]++
	}
	return out
}
