package standin

import (
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// PlainConfig describes a plain service.
type PlainConfig struct {
	ID string
	// Time is how long a call takes.
	Time time.Duration
	// Slots is the capacity that load reports name.
	Slots int
}

// PlainFaults is what goes wrong with a plain service. The zero value lets all pass.
type PlainFaults struct {
	// Pick limits the faults to the requests it returns true for; nil picks all.
	Pick func(requestID string) bool
	// Busy refuses calls without running them.
	Busy bool
	// Silence runs calls and never answers.
	Silence bool
	// Crossed answers with the id of another request.
	Crossed bool
	// Truncate cuts answers.
	Truncate bool
}

// PlainCall is the log entry of one call that a plain service ran.
type PlainCall struct {
	RequestID string
	Method    string
	Path      string
	Body      string
}

// PlainAnswer is a plain service's answer to a call.
type PlainAnswer struct {
	Service   string `json:"service"`
	RequestID string `json:"request_id"`
	Method    string `json:"method"`
	Path      string `json:"path"`
	Body      string `json:"body"`
}

// Plain is a plain service over HTTP that answers any path. It is safe for concurrent use.
type Plain struct {
	cfg     PlainConfig
	running atomic.Int64
	leaving atomic.Bool

	mu     sync.Mutex
	faults PlainFaults
	calls  []PlainCall
}

// NewPlain returns a plain service.
func NewPlain(cfg PlainConfig) *Plain {
	if cfg.Slots == 0 {
		cfg.Slots = defaultSlots
	}
	return &Plain{cfg: cfg}
}

// SetFaults replaces the faults in force.
func (p *Plain) SetFaults(f PlainFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
}

// SetLeaving says in load reports whether the service is leaving.
func (p *Plain) SetLeaving(leaving bool) { p.leaving.Store(leaving) }

// Calls returns the log of all calls that ran, oldest first.
func (p *Plain) Calls() []PlainCall {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]PlainCall(nil), p.calls...)
}

// ServeHTTP implements http.Handler.
func (p *Plain) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodGet && r.URL.Path == "/load" {
		p.serveLoad(w)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	call := PlainCall{RequestID: r.Header.Get(headerRequestID), Method: r.Method, Path: r.URL.RequestURI(), Body: string(body)}
	f := p.enter(call)
	if f.Busy {
		refuse(w)
		return
	}
	p.running.Add(1)
	defer p.running.Add(-1)
	time.Sleep(p.cfg.Time)
	if f.Silence {
		<-r.Context().Done()
		return
	}
	p.answer(w, call, f)
}

// enter logs a call unless it is refused, and returns the faults that meet it.
func (p *Plain) enter(call PlainCall) PlainFaults {
	p.mu.Lock()
	defer p.mu.Unlock()
	f := p.faults
	if f.Pick != nil && !f.Pick(call.RequestID) {
		f = PlainFaults{}
	}
	if !f.Busy {
		p.calls = append(p.calls, call)
	}
	return f
}

func (p *Plain) answer(w http.ResponseWriter, call PlainCall, f PlainFaults) {
	id := call.RequestID
	if f.Crossed {
		id = "other-" + id
	}
	w.Header().Set(headerRequestID, id)
	if f.Truncate {
		w.Header().Set("Content-Length", strconv.Itoa(1<<10))
	}
	sendJSON(w, http.StatusOK, PlainAnswer{Service: p.cfg.ID, RequestID: id, Method: call.Method, Path: call.Path, Body: call.Body})
}

func (p *Plain) serveLoad(w http.ResponseWriter) {
	sendJSON(w, http.StatusOK, loadReport{Running: int(p.running.Load()), Capacity: p.cfg.Slots, Leaving: p.leaving.Load()})
}
