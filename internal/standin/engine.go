package standin

import (
	"net/http"
	"sync"
	"time"
)

// Defaults of EngineConfig.
const (
	defaultSlots       = 16
	defaultStepTime    = 2 * time.Millisecond
	defaultCacheTokens = 1 << 16
	defaultImageTokens = 64
	// prefillTokensPerStep is the number of prompt tokens that a job prefills in one step.
	prefillTokensPerStep = 2048
	// maxResumableJobs bounds the jobs that are kept for resuming and canceling, finished ones included.
	maxResumableJobs = 4096
)

// EngineConfig configures a model engine.
type EngineConfig struct {
	ID     string
	Models []string
	// Slots is the number of requests that the engine runs at the same time.
	Slots int
	// Step is the duration of one step, in which each running request that is past its prefill generates one token.
	Step time.Duration
	// CacheTokens is the capacity of the prefix cache.
	CacheTokens int
	// AnswerTokens is the length of answers that are not limited by a cap; if zero, it depends on the prompt.
	AnswerTokens int
	// ChecksFencing makes the engine refuse orders with an old fencing number.
	ChecksFencing bool
	// LoadTime is how long it takes to load a model.
	LoadTime time.Duration
	// MaxLoadReportAge is how long a load report is served before it is replaced by a new one.
	MaxLoadReportAge time.Duration
	// EventDelay is the time until a cache event is published. Every DropEventEvery-th event is never published; zero drops
	// none.
	EventDelay     time.Duration
	DropEventEvery uint64
}

// EngineFaults selects the faults that an engine injects. The zero value injects none.
type EngineFaults struct {
	// Match limits the faults to requests for which it returns true; nil matches all.
	Match func(requestID string) bool
	// Busy refuses new requests with "not run".
	Busy bool
	// Reject answers new requests with status 400 without running them.
	Reject bool
	// Error answers new requests with status 500 without running them; the response does not say that they did not run.
	Error bool
	// Unresponsive accepts and runs new requests but never responds to them or to attempts to resume them.
	Unresponsive bool
	// SwapResponse sends the ID and text of another request.
	SwapResponse bool
	// SwapBody sends the body of another request's response but the correct ID in the header.
	SwapBody bool
	// Delay delays the responses to new and resumed requests.
	Delay time.Duration
	// AbortAfter aborts a new stream after this many tokens, and also resumed streams if AbortResumed is set; zero aborts none.
	AbortAfter   int
	AbortResumed bool
	// ForgetRequests answers requests to resume or cancel with status 404.
	ForgetRequests bool
	// OmitEnd ends a stream without its end marker; OmitUsage omits the usage from a stream.
	OmitEnd   bool
	OmitUsage bool
	// DuplicateEvents sends each token's event twice. SkipEvent omits the event at this offset of a new stream; zero omits none.
	DuplicateEvents bool
	SkipEvent       int
	// Truncate truncates answers that are not streamed and leaves the full length in the header; TruncateSilently sends the
	// truncated length.
	Truncate         bool
	TruncateSilently bool
	// TokensOverCap generates this many tokens more than the cap allows.
	TokensOverCap int
}

// Run is the log entry of a request that an engine started to run.
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

// Engine is a model engine with an HTTP API. Its step loop runs only while it has requests. It is safe for concurrent use.
type Engine struct {
	cfg EngineConfig
	mux *http.ServeMux

	mu          sync.Mutex
	faults      EngineFaults
	draining    bool
	runningJobs []*job
	waitingJobs []*job
	stepping    bool
	jobs        map[string]*job
	jobOrder    []string
	startedJobs []*job
	cache       *prefixCache
	report      loadReport
	reportTime  time.Time
	state       engineState
}

// NewEngine returns an engine that has all its models loaded.
func NewEngine(cfg EngineConfig) *Engine {
	if cfg.Slots == 0 {
		cfg.Slots = defaultSlots
	}
	if cfg.Step == 0 {
		cfg.Step = defaultStepTime
	}
	if cfg.CacheTokens == 0 {
		cfg.CacheTokens = defaultCacheTokens
	}
	e := &Engine{cfg: cfg, jobs: make(map[string]*job), cache: newPrefixCache(cfg), mux: http.NewServeMux()}
	for _, m := range cfg.Models {
		e.state.Models = append(e.state.Models, modelState{ID: m, State: stateLoaded})
	}
	e.mux.HandleFunc("POST /v1/chat/completions", e.serveCompletion)
	e.mux.HandleFunc("GET /v1/requests/{id}/stream", e.serveResume)
	e.mux.HandleFunc("DELETE /v1/requests/{id}", e.serveCancel)
	e.mux.HandleFunc("GET /v1/load", e.serveLoad)
	e.mux.HandleFunc("GET /v1/cache/events", e.serveEvents)
	e.mux.HandleFunc("GET /v1/state", e.serveState)
	e.mux.HandleFunc("PUT /v1/orders", e.serveOrder)
	return e
}

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) { e.mux.ServeHTTP(w, r) }

// SetFaults replaces the injected faults.
func (e *Engine) SetFaults(f EngineFaults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

// SetDraining sets whether load reports show the engine as draining.
func (e *Engine) SetDraining(draining bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.draining = draining
}

// Runs returns the log of all requests that were started, oldest first.
func (e *Engine) Runs() []Run {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make([]Run, 0, len(e.startedJobs))
	for _, j := range e.startedJobs {
		out = append(out, j.logEntry())
	}
	return out
}

// faultsFor returns the faults that apply to a request.
func (e *Engine) faultsFor(id string) EngineFaults {
	e.mu.Lock()
	f := e.faults
	e.mu.Unlock()
	if f.Match != nil && !f.Match(id) {
		return EngineFaults{}
	}
	return f
}
