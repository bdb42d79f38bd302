package standin

import (
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// PlainConfig configures a plain service.
type PlainConfig struct {
	ID string
	// ResponseTime is how long a call takes.
	ResponseTime time.Duration
	// Slots is the capacity shown in load reports; it does not limit calls.
	Slots int
}

// PlainFaults selects the faults that a plain service injects. The zero value injects none.
type PlainFaults struct {
	// Match limits the faults to calls for which it returns true; nil matches all.
	Match func(requestID string) bool
	// Busy refuses calls with "not run".
	Busy bool
	// Unresponsive runs calls but never responds.
	Unresponsive bool
	// SwapResponse responds with the ID of another request.
	SwapResponse bool
	// Truncate announces a longer response than it sends.
	Truncate bool
}

// PlainCall is the log entry of a call that a plain service ran.
type PlainCall struct {
	RequestID string
	Method    string
	Path      string
	Body      string
}

// PlainResponse is the body of a plain service's response.
type PlainResponse struct {
	Service   string `json:"service"`
	RequestID string `json:"request_id"`
	Method    string `json:"method"`
	Path      string `json:"path"`
	Body      string `json:"body"`
}

// Plain is a plain HTTP service that responds on every path. It is safe for concurrent use.
type Plain struct {
	cfg      PlainConfig
	running  atomic.Int64
	draining atomic.Bool

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

// SetFaults replaces the injected faults.
func (p *Plain) SetFaults(f PlainFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
}

// SetDraining sets whether load reports show the service as draining.
func (p *Plain) SetDraining(draining bool) { p.draining.Store(draining) }

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
	f := p.recordCall(call)
	if f.Busy {
		writeNotRun(w)
		return
	}
	p.running.Add(1)
	defer p.running.Add(-1)
	time.Sleep(p.cfg.ResponseTime)
	if f.Unresponsive {
		<-r.Context().Done()
		return
	}
	p.respond(w, call, f)
}

// recordCall logs a call unless it is refused, and returns the faults that apply to it.
func (p *Plain) recordCall(call PlainCall) PlainFaults {
	p.mu.Lock()
	defer p.mu.Unlock()
	f := p.faults
	if f.Match != nil && !f.Match(call.RequestID) {
		f = PlainFaults{}
	}
	if !f.Busy {
		p.calls = append(p.calls, call)
	}
	return f
}

func (p *Plain) respond(w http.ResponseWriter, call PlainCall, f PlainFaults) {
	id := call.RequestID
	if f.SwapResponse {
		id = "other-" + id
	}
	w.Header().Set(headerRequestID, id)
	if f.Truncate {
		w.Header().Set("Content-Length", strconv.Itoa(1<<10))
	}
	sendJSON(w, http.StatusOK, PlainResponse{Service: p.cfg.ID, RequestID: id, Method: call.Method, Path: call.Path, Body: call.Body})
}

func (p *Plain) serveLoad(w http.ResponseWriter) {
	sendJSON(w, http.StatusOK, loadReport{Running: int(p.running.Load()), Capacity: p.cfg.Slots, Draining: p.draining.Load()})
}
