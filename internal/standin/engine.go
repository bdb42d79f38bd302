package standin

import (
	"net/http"
	"sync"
	"time"
)

// Defaults of EngineConfig.
const (
	defaultSlots       = 16
	defaultStep        = 2 * time.Millisecond
	defaultCacheTokens = 1 << 16
	defaultImageTokens = 64
	// prefillTokens is how many prompt tokens one step reads.
	prefillTokens = 2048
	// answersKept bounds the finished requests that can still be resumed.
	answersKept = 4096
)

// EngineConfig describes a model engine.
type EngineConfig struct {
	ID     string
	Models []string
	// Slots is how many requests one step works on.
	Slots int
	// Step is the time of one step; each running request gets one token in it.
	Step time.Duration
	// CacheTokens is the memory of the prefix cache.
	CacheTokens int
	// AnswerTokens is the length of answers that meet no cap; zero lets it depend on the prompt.
	AnswerTokens int
	// ChecksFencing refuses orders with an old fencing number.
	ChecksFencing bool
	// LoadTime is how long an order to load a model takes.
	LoadTime time.Duration
	// LoadLag is the age that a load report can reach.
	LoadLag time.Duration
	// EventLag delays cache events; of EventGap events one is never published, none if zero.
	EventLag time.Duration
	EventGap uint64
}

// EngineFaults is what goes wrong with an engine. The zero value lets all pass.
type EngineFaults struct {
	// Pick limits the faults to the requests it returns true for; nil picks all.
	Pick func(requestID string) bool
	// Busy refuses new requests without running them.
	Busy bool
	// Reject answers new requests as wrong and does not run them.
	Reject bool
	// Error answers new requests with status 500 and does not run them, without saying so.
	Error bool
	// Silence accepts new requests, runs them and never answers.
	Silence bool
	// Crossed answers with the id and text of another request.
	Crossed bool
	// CrossedBody keeps the right id in the header and crosses the rest.
	CrossedBody bool
	// Delay holds every answer back.
	Delay time.Duration
	// BreakAfter aborts a new stream after this many tokens, and resumed ones too if BreakResumes; zero never does.
	BreakAfter   int
	BreakResumes bool
	// Forget answers 404 to a resume.
	Forget bool
	// NoEnd ends a stream without its end marker; NoUsage leaves the usage out.
	NoEnd   bool
	NoUsage bool
	// Duplicate sends each event twice; Gap leaves out the event at this offset of a new stream.
	Duplicate bool
	Gap       int
	// Truncate cuts whole answers, with a length that says so; TruncateQuiet with one that does not.
	Truncate      bool
	TruncateQuiet bool
	// OverCap generates this many tokens past the cap.
	OverCap int
}

// Run is the log entry of one request that an engine ran.
type Run struct {
	RequestID string
	Model     string
	Prompt    string
	// PromptTokens and Generated are the true usage.
	PromptTokens int
	Generated    int
	CapTokens    int
	Finished     bool
	Canceled     bool
	Start        time.Time
}

// Engine is a model engine over HTTP. It works on requests only while there are any. It is safe for concurrent use.
type Engine struct {
	cfg EngineConfig
	mux *http.ServeMux

	mu       sync.Mutex
	faults   EngineFaults
	leaving  bool
	running  []*job
	waiting  []*job
	stepping bool
	jobs     map[string]*job
	order    []string
	runs     []*job
	cache    *prefixCache
	report   loadReport
	reported time.Time
	state    engineState
}

// NewEngine returns an engine that serves its models at once.
func NewEngine(cfg EngineConfig) *Engine {
	if cfg.Slots == 0 {
		cfg.Slots = defaultSlots
	}
	if cfg.Step == 0 {
		cfg.Step = defaultStep
	}
	if cfg.CacheTokens == 0 {
		cfg.CacheTokens = defaultCacheTokens
	}
	e := &Engine{cfg: cfg, jobs: make(map[string]*job), cache: newPrefixCache(cfg), mux: http.NewServeMux()}
	for _, m := range cfg.Models {
		e.state.Models = append(e.state.Models, modelState{ID: m, State: stateLoaded})
	}
	e.mux.HandleFunc("POST /v1/chat/completions", e.complete)
	e.mux.HandleFunc("GET /v1/requests/{id}/stream", e.resume)
	e.mux.HandleFunc("DELETE /v1/requests/{id}", e.cancel)
	e.mux.HandleFunc("GET /v1/load", e.serveLoad)
	e.mux.HandleFunc("GET /v1/cache/events", e.serveEvents)
	e.mux.HandleFunc("GET /v1/state", e.serveState)
	e.mux.HandleFunc("PUT /v1/orders", e.serveOrder)
	return e
}

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) { e.mux.ServeHTTP(w, r) }

// SetFaults replaces the faults in force.
func (e *Engine) SetFaults(f EngineFaults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

// SetLeaving says in load reports whether the engine is leaving.
func (e *Engine) SetLeaving(leaving bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = leaving
}

// Runs returns the log of all requests that were worked on, oldest first.
func (e *Engine) Runs() []Run {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make([]Run, 0, len(e.runs))
	for _, j := range e.runs {
		out = append(out, j.run())
	}
	return out
}

// faultsFor returns the faults that meet a request.
func (e *Engine) faultsFor(id string) EngineFaults {
	e.mu.Lock()
	f := e.faults
	e.mu.Unlock()
	if f.Pick != nil && !f.Pick(id) {
		return EngineFaults{}
	}
	return f
}
