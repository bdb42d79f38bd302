package gateway_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"

	"pumiceshelf/endpointlimit"
	"pumiceshelf/gateway"
	"pumiceshelf/internal/memorynet"
	"pumiceshelf/objectstore"
	"pumiceshelf/origin"
	"pumiceshelf/placement"
	"pumiceshelf/platform"
	"pumiceshelf/prepaid"
	"pumiceshelf/registry"
	"pumiceshelf/retrybudget"
	"pumiceshelf/routing"
)

// The metrics library starts a goroutine that never ends with its first meter. It must not belong to a bubble of synctest.
var _ = metrics.NewMeter()

// startServer starts a server on loopback, or in a network in memory unless that is nil.
func startServer(n *memorynet.Network, h http.Handler) *httptest.Server {
	if n == nil {
		return httptest.NewServer(h)
	}
	return n.NewServer(h)
}

// fakeEndpoint is an HTTP server that records each request before its handler runs.
type fakeEndpoint struct {
	id      string
	server  *httptest.Server
	version string
	// started is when its entry says that the process started, zero if it does not.
	started  int64
	mu       sync.Mutex
	requests []*http.Request
	bodies   []string
	handle   http.HandlerFunc
	// report handles the requests for what the endpoint says of its process, which are not recorded. If nil, it has no such report.
	report http.HandlerFunc
}

func newFakeEndpoint(id string, handle http.HandlerFunc) *fakeEndpoint {
	return newFakeEndpointIn(nil, id, handle)
}

// newFakeEndpointIn returns an endpoint in a network in memory, or on loopback if that is nil.
func newFakeEndpointIn(n *memorynet.Network, id string, handle http.HandlerFunc) *fakeEndpoint {
	e := &fakeEndpoint{id: id, version: "v1", handle: handle}
	e.server = startServer(n, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == (platform.Reports{}).Path() {
			if e.report == nil {
				w.WriteHeader(http.StatusNotFound)
				return
			}
			e.report(w, r)
			return
		}
		body, _ := io.ReadAll(r.Body)
		e.mu.Lock()
		e.requests, e.bodies = append(e.requests, r), append(e.bodies, string(body))
		e.mu.Unlock()
		e.handle(w, r)
	}))
	return e
}

func (e *fakeEndpoint) requestCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.requests)
}

func (e *fakeEndpoint) registration() registry.Endpoint {
	return registry.Endpoint{ID: e.id, Service: "model", Address: strings.TrimPrefix(e.server.URL, "http://"), Domain: "hall-a", SoftwareVersion: e.version, StartedUnixMilli: e.started}
}

// respondWith returns a handler that responds with the request's ID and a server stamp.
func respondWith(status int, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		w.Header().Set("X-Server-Stamp", "stamp")
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	}
}

// streamEvents returns a handler that streams the events after Last-Event-Id up to last. If abortAfter is not zero, it
// aborts the connection within the event that follows abortAfter complete ones.
func streamEvents(last, abortAfter int) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		w.Header().Set("X-Server-Stamp", "stamp")
		w.Header().Set("Content-Type", "text/event-stream")
		first := 1
		_, _ = fmt.Sscan(r.Header.Get("Last-Event-Id"), &first)
		if r.Header.Get("Last-Event-Id") != "" {
			first++
		}
		for id := first; id <= last; id++ {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", id, id)
			w.(http.Flusher).Flush()
			if abortAfter > 0 && id-first+1 == abortAfter {
				_, _ = io.WriteString(w, "id: 99\ndata: half a pie")
				w.(http.Flusher).Flush()
				panic(http.ErrAbortHandler)
			}
		}
	}
}

// eventsUpTo returns the events of streamEvents from the first to last.
func eventsUpTo(last int) string {
	var b strings.Builder
	for id := 1; id <= last; id++ {
		_, _ = fmt.Fprintf(&b, "id: %d\ndata: piece %d\n\n", id, id)
	}
	return b.String()
}

// abortConnection aborts the connection after it received the request.
func abortConnection(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// respondNotRun reports that the request was not run.
func respondNotRun(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	w.Header().Set("X-Not-Run", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// fakeBudgets returns the same outcome for all reservations and records the sum of reserved tokens.
type fakeBudgets struct {
	outcome  prepaid.Outcome
	reserved atomic.Int64
	// untilSupply is zero unless tokens are rationed.
	untilSupply time.Duration
}

func (b *fakeBudgets) UntilSupply() time.Duration { return b.untilSupply }

func (b *fakeBudgets) Reserve(_ context.Context, _ string, _ int, tokens int64) (*prepaid.Reservation, prepaid.Outcome) {
	b.reserved.Add(tokens)
	return &prepaid.Reservation{}, b.outcome
}

// logRecorder is a log.Handler that records all entries.
type logRecorder struct {
	mu      sync.Mutex
	entries []*log.Entry
}

func (l *logRecorder) HandleLog(e *log.Entry) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entries = append(l.entries, e)
	return nil
}

func (l *logRecorder) all() []*log.Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.entries)
}

// fakeOrigins keeps origins in memory.
type fakeOrigins struct {
	mu       sync.Mutex
	origins  map[string]origin.Origin
	versions []string
	complete bool
	// records counts the calls of RecordOrigin.
	records int
}

func (o *fakeOrigins) RecordOrigin(began origin.Origin) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.origins[began.Attempt] = began
	o.records++
}

func (o *fakeOrigins) SearchOrigin(_ context.Context, attempt, _ string) origin.Search {
	o.mu.Lock()
	defer o.mu.Unlock()
	began, found := o.origins[attempt]
	return origin.Search{Origin: began, Found: found, Versions: o.versions, VersionsComplete: o.complete}
}

// harness is a gateway in front of fake endpoints.
type harness struct {
	// network connects callers, gateway and endpoints in memory. If nil, they use loopback.
	network   *memorynet.Network
	gateway   *gateway.Gateway
	config    gateway.Config
	routes    routing.Config
	server    *httptest.Server
	budgets   *fakeBudgets
	table     atomic.Pointer[routing.Table]
	view      atomic.Pointer[registry.View]
	endpoints []*fakeEndpoint
	origins   *fakeOrigins
	// endpointsAge returns the age of the endpoints that the gateway knows, contact for how long the store had confirmed them.
	endpointsAge func() time.Duration
	contact      time.Duration
	registry     metrics.Registry
	logs         *logRecorder
	// receivedBytes counts the bytes of response bodies that callers have received.
	receivedBytes atomic.Int64
}

func newHarness(endpoints ...*fakeEndpoint) *harness { return newHarnessIn(nil, endpoints...) }

// newHarnessIn returns a harness whose processes are in a network in memory, or on loopback if that is nil.
func newHarnessIn(n *memorynet.Network, endpoints ...*fakeEndpoint) *harness {
	h := &harness{network: n, endpointsAge: func() time.Duration { return 0 }, contact: time.Hour, budgets: &fakeBudgets{}, origins: &fakeOrigins{origins: make(map[string]origin.Origin), versions: []string{"v1"}, complete: true}, endpoints: endpoints, registry: metrics.NewRegistry(), logs: &logRecorder{}}
	h.routes = testConfig()
	h.changeRoutes(func(*routing.Route) {})
	h.list()
	limits := endpointlimit.New(endpointlimit.Config{
		Self: "front-1", Instances: func() []string { return []string{"front-1"} }, OnChange: func(endpointlimit.Change) {},
	})
	h.config = gateway.Config{
		Headers: platform.Headers{}, Budgets: h.budgets, Chooser: placement.New(limits), Limits: limits,
		RetryBudget: retrybudget.New(retrybudget.Limits{Window: 10 * time.Second, Ratio: 0.2, Slack: 100}),
		Table:       h.table.Load, Endpoints: h.view.Load, InstanceCount: func() int { return 1 }, Domain: "hall-a",
		Clock: clockwork.NewRealClock(), Log: &log.Logger{Handler: h.logs, Level: log.InfoLevel}, Metrics: h.registry,
		Uniform: func() float64 { return 0 }, Origins: h.origins,
		Contact: func() (age, lasted time.Duration) { return h.endpointsAge(), h.contact },
	}
	if n != nil {
		h.config.Dial = n.DialContext
	}
	h.gateway = gateway.New(h.config)
	h.server = startServer(n, h.gateway)
	return h
}

// restart replaces the gateway by one with the present configuration.
func (h *harness) restart() {
	h.server.Close()
	h.config.Metrics = metrics.NewRegistry()
	h.registry = h.config.Metrics
	h.gateway = gateway.New(h.config)
	h.server = startServer(h.network, h.gateway)
}

// changeRoutes changes all routes of the configuration.
func (h *harness) changeRoutes(change func(*routing.Route)) {
	for i := range h.routes.Routes {
		change(&h.routes.Routes[i])
	}
	h.table.Store(routing.Compile(h.routes))
}

// list makes the present versions of the endpoints known to the gateway.
func (h *harness) list() {
	set := registry.NewSet()
	var list []registry.Endpoint
	for _, e := range h.endpoints {
		list = append(list, e.registration())
	}
	set.Replace(time.Now(), list, objectstore.Revision(1))
	h.view.Store(set.View())
}

func (h *harness) close() {
	h.server.Close()
	for _, e := range h.endpoints {
		e.server.Close()
	}
}

func (h *harness) requestCount() (n int) {
	for _, e := range h.endpoints {
		n += e.requestCount()
	}
	return n
}

func (h *harness) counterValue(name string) int64 {
	c, ok := h.registry.Get(name).(metrics.Counter)
	if !ok {
		return -1
	}
	return c.Count()
}

func testConfig() routing.Config {
	prepaidTotal := int64(100_000)
	route := func(name string, mode routing.Mode, attempts int, resumable bool) routing.Route {
		return routing.Route{
			Name: name, Host: "a.example", PathPrefix: "/" + name + "/", Mode: mode, Resumable: resumable, MaxAttempts: attempts,
			Timeout: 5 * time.Second, LatencyObjective: 2 * time.Second, Targets: []routing.Target{{Service: "model", Weight: 1}},
		}
	}
	public := route("public", routing.Idempotent, 1, false)
	public.Public = true
	return routing.Config{
		Version: 3,
		Routes: []routing.Route{
			route("status", routing.NonIdempotent, 2, false), route("fetch", routing.Idempotent, 2, false),
			route("note", routing.Streaming, 2, false), route("plan", routing.Streaming, 3, true), public,
		},
		Services:  []routing.Service{{Name: "model", Engine: &routing.Engine{Slots: 8, TokensPerEvent: 4}}},
		Customers: []routing.Customer{{Name: "alwusta", Keys: []string{"key"}, PrepaidTokens: &prepaidTotal}},
		Limits:    routing.Limits{BodyBytes: 1000, HeaderBytes: 2000},
	}
}

// chargedTokens waits until the request has ended and returns the tokens that it was charged.
func (h *harness) chargedTokens(id string) any {
	for {
		for _, e := range h.logs.all() {
			if e.Message == "gateway: request ended" && e.Fields["request_id"] == id {
				return e.Fields["charged_tokens"]
			}
		}
		time.Sleep(time.Millisecond)
	}
}

// response is the response that a caller received.
type response struct {
	status int
	header http.Header
	body   string
	// truncated is set if the response is incomplete or there was none.
	truncated bool
}

// send sends one request on a new connection.
func (h *harness) send(method, path, body string, header map[string]string) response {
	req, err := http.NewRequest(method, h.server.URL+path, strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	req.Host = "a.example"
	req.Header.Set("X-Request-Id", "id-1")
	req.Header.Set("Api-Key", "key")
	req.Header.Set("X-Deadline-Ms", "4000")
	for k, v := range header {
		req.Header.Set(k, v)
	}
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	if h.network != nil {
		transport.DialContext = h.network.DialContext
	}
	client := &http.Client{Transport: transport}
	resp, err := client.Do(req)
	if err != nil {
		return response{truncated: true}
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(&countingReader{r: resp.Body, n: &h.receivedBytes})
	return response{status: resp.StatusCode, header: resp.Header, body: string(text), truncated: err != nil}
}

// countingReader adds the number of bytes that it reads to n.
type countingReader struct {
	r io.Reader
	n *atomic.Int64
}

func (c *countingReader) Read(p []byte) (int, error) {
	n, err := c.r.Read(p)
	c.n.Add(int64(n))
	return n, err
}
