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

	"pumiceshelf/gateway"
	"pumiceshelf/objectstore"
	"pumiceshelf/placement"
	"pumiceshelf/platform"
	"pumiceshelf/prepaid"
	"pumiceshelf/registry"
	"pumiceshelf/retrybudget"
	"pumiceshelf/routing"
)

// endpoint is a stand-in of one server. Each request is noted before its handler runs.
type endpoint struct {
	id     string
	server *httptest.Server
	mu     sync.Mutex
	seen   []*http.Request
	bodies []string
	handle http.HandlerFunc
}

func newEndpoint(id string, handle http.HandlerFunc) *endpoint {
	e := &endpoint{id: id, handle: handle}
	e.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		e.mu.Lock()
		e.seen, e.bodies = append(e.seen, r), append(e.bodies, string(body))
		e.mu.Unlock()
		e.handle(w, r)
	}))
	return e
}

func (e *endpoint) runs() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.seen)
}

func (e *endpoint) entry() registry.Endpoint {
	return registry.Endpoint{ID: e.id, Service: "model", Address: strings.TrimPrefix(e.server.URL, "http://"), Domain: "hall-a"}
}

// answers serves a stamped answer that echoes the request's id.
func answers(status int, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		w.Header().Set("X-Server-Stamp", "stamp")
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	}
}

// streams serves events from the one after Last-Event-Id up to the last, and breaks off after a number of them if that is
// not zero.
func streams(last, breakAfter int) http.HandlerFunc {
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
			if breakAfter > 0 && id-first+1 == breakAfter {
				_, _ = io.WriteString(w, "id: 99\ndata: half a pie")
				w.(http.Flusher).Flush()
				panic(http.ErrAbortHandler)
			}
		}
	}
}

// crashes takes the request and cuts the connection.
func crashes(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// refuses says that the request was not run.
func refuses(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("X-Not-Run", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// budgets grants or refuses all reservations and notes them.
type budgets struct {
	outcome  prepaid.Outcome
	reserved atomic.Int64
}

func (b *budgets) Reserve(_ context.Context, _ string, tokens int64) (*prepaid.Reservation, prepaid.Outcome) {
	b.reserved.Add(tokens)
	return &prepaid.Reservation{}, b.outcome
}

// logs is a log.Handler that keeps the lines.
type logs struct {
	mu      sync.Mutex
	entries []*log.Entry
}

func (l *logs) HandleLog(e *log.Entry) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entries = append(l.entries, e)
	return nil
}

func (l *logs) all() []*log.Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.entries)
}

// rig is a gateway before stand-ins.
type rig struct {
	gateway   *gateway.Gateway
	server    *httptest.Server
	budgets   *budgets
	table     atomic.Pointer[routing.Table]
	view      atomic.Pointer[registry.View]
	endpoints []*endpoint
	registry  metrics.Registry
	logs      *logs
}

func newRig(endpoints ...*endpoint) *rig {
	r := &rig{budgets: &budgets{}, endpoints: endpoints, registry: metrics.NewRegistry(), logs: &logs{}}
	r.table.Store(routing.Compile(testConfig()))
	set := registry.NewSet()
	var list []registry.Endpoint
	for _, e := range endpoints {
		list = append(list, e.entry())
	}
	set.Replace(time.Now(), list, objectstore.Revision(1))
	r.view.Store(set.View())
	r.gateway = gateway.New(gateway.Config{
		Wire: platform.Headers{}, Budgets: r.budgets, Chooser: placement.New(),
		Retries: retrybudget.New(retrybudget.Limits{Window: 10 * time.Second, Ratio: 0.2, Slack: 100}),
		Table:   r.table.Load, Endpoints: r.view.Load, Instances: func() int { return 1 }, Domain: "hall-a",
		Clock: clockwork.NewRealClock(), Log: &log.Logger{Handler: r.logs, Level: log.InfoLevel}, Metrics: r.registry,
		Uniform: func() float64 { return 0 },
	})
	r.server = httptest.NewServer(r.gateway)
	return r
}

func (r *rig) close() {
	r.server.Close()
	for _, e := range r.endpoints {
		e.server.Close()
	}
}

func (r *rig) runs() (n int) {
	for _, e := range r.endpoints {
		n += e.runs()
	}
	return n
}

func (r *rig) count(name string) int64 {
	c, ok := r.registry.Get(name).(metrics.Counter)
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
		Customers: []routing.Customer{{Name: "alwusta", Keys: []string{"key"}, Prepaid: &prepaidTotal}},
		Limits:    routing.Limits{BodyBytes: 1000, HeaderBytes: 2000},
	}
}

// charged waits for a request's end and returns the tokens that it was charged.
func (r *rig) charged(id string) any {
	for {
		for _, e := range r.logs.all() {
			if e.Message == "gateway: request ended" && e.Fields["request_id"] == id {
				return e.Fields["charged_tokens"]
			}
		}
		time.Sleep(time.Millisecond)
	}
}

// answer is what a caller got.
type answer struct {
	status int
	header http.Header
	body   string
	// cut is set when the answer did not end as its header says.
	cut bool
}

// send makes one request on a connection of its own.
func (r *rig) send(method, path, body string, header map[string]string) answer {
	req, err := http.NewRequest(method, r.server.URL+path, strings.NewReader(body))
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
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	resp, err := client.Do(req)
	if err != nil {
		return answer{cut: true}
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, header: resp.Header, body: string(text), cut: err != nil}
}
