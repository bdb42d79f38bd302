package server

import (
	"context"
	"crypto/sha256"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"
	. "github.com/smartystreets/goconvey/convey"
	"google.golang.org/protobuf/types/known/durationpb"

	"pumiceshelf/admit"
	"pumiceshelf/api"
	"pumiceshelf/budget"
	"pumiceshelf/bundle"
	"pumiceshelf/claim"
	"pumiceshelf/endpoint"
	"pumiceshelf/idempotency"
	"pumiceshelf/internal/standin"
	"pumiceshelf/quota"
	"pumiceshelf/settings"
	"pumiceshelf/trace"
)

const customerToken = "secret-of-wusta"

// fakeBundleSource always returns the same snapshot.
type fakeBundleSource struct{ snapshot *bundle.Snapshot }

func (s *fakeBundleSource) Current() *bundle.Snapshot { return s.snapshot }
func (s *fakeBundleSource) Changed() <-chan struct{}  { return nil }

// fakeQuota holds one budget. It records all settled usage.
type fakeQuota struct {
	mu        sync.Mutex
	available budget.Tokens
	// outcome, if set, is the outcome of every reservation.
	outcome quota.Outcome
	open    map[string]budget.Tokens
	settled []quota.Usage
}

func (k *fakeQuota) Reserve(_ context.Context, r quota.Request) quota.Reservation {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.outcome != 0 {
		return quota.Reservation{Outcome: k.outcome, RetryAfter: 3 * time.Second}
	}
	if r.Bound > k.available {
		return quota.Reservation{Outcome: quota.Exhausted}
	}
	k.available -= r.Bound
	k.open[r.RequestID] = r.Bound
	return quota.Reservation{Outcome: quota.Granted, Lease: "lease"}
}

func (k *fakeQuota) Settle(_ context.Context, u quota.Usage) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.available += k.open[u.RequestID] - u.Prompt - u.Generated
	delete(k.open, u.RequestID)
	k.settled = append(k.settled, u)
}

func (k *fakeQuota) settledUsages() []quota.Usage {
	k.mu.Lock()
	defer k.mu.Unlock()
	return slices.Clone(k.settled)
}

// fakeDeduplicator keeps the outcomes of keyed requests in memory.
type fakeDeduplicator struct {
	mu          sync.Mutex
	bodyHashes  map[claim.KeyHash]claim.BodyHash
	requestIDs  map[claim.KeyHash]string
	outcomes    map[claim.KeyHash]idempotency.Outcome
	unavailable bool
}

func (g *fakeDeduplicator) Begin(_ context.Context, r idempotency.Request) idempotency.BeginResult {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.unavailable {
		return idempotency.BeginResult{Decision: idempotency.Unavailable}
	}
	body, known := g.bodyHashes[r.Key]
	o := g.outcomes[r.Key]
	switch {
	case known && body != r.Body:
		return idempotency.BeginResult{Decision: idempotency.BodyMismatch, OriginalRequestID: g.requestIDs[r.Key]}
	case !known, o.Kind == idempotency.NotRun, o.Kind == idempotency.Unknown && r.Idempotent:
		g.bodyHashes[r.Key], g.requestIDs[r.Key] = r.Body, r.RequestID
		return idempotency.BeginResult{Decision: idempotency.Run}
	case o.Kind == idempotency.Completed:
		return idempotency.BeginResult{Decision: idempotency.Recorded, Outcome: o, OriginalRequestID: g.requestIDs[r.Key]}
	}
	return idempotency.BeginResult{Decision: idempotency.UnknownOutcome, OriginalRequestID: g.requestIDs[r.Key]}
}

func (g *fakeDeduplicator) Finish(_ context.Context, k claim.KeyHash, o idempotency.Outcome) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.outcomes[k] = o
}

// fakeAdmitter admits each request to the first endpoint of its group that is not to be avoided.
type fakeAdmitter struct {
	source *fakeBundleSource
	// outcome, if set, is the outcome of every admission.
	outcome       admit.Outcome
	mu            sync.Mutex
	admittedCount int
}

func (a *fakeAdmitter) Admit(_ context.Context, item admit.Item, t admit.Target) admit.Ticket {
	if a.outcome != 0 {
		return admit.Ticket{Outcome: a.outcome, RetryAfter: 2 * time.Second}
	}
	for _, e := range a.source.snapshot.Group(item.Group) {
		if !slices.Contains(t.Avoid, e.ID) {
			a.addAdmitted(1)
			return admit.Ticket{Outcome: admit.Admitted, Endpoint: e.ID, Done: func(admit.Result) { a.addAdmitted(-1) }}
		}
	}
	return admit.Ticket{Outcome: admit.NoCapacity}
}

func (a *fakeAdmitter) addAdmitted(n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.admittedCount += n
}

// fakeRetryBudget allows a fixed number of retries.
type fakeRetryBudget struct {
	mu        sync.Mutex
	available int
}

func (r *fakeRetryBudget) RecordRequest() {}

func (r *fakeRetryBudget) AllowRetry(string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.available--
	return r.available >= 0
}

// harness is a server with two engines and two processes of a plain service.
type harness struct {
	server           *Server
	callerServer     *httptest.Server
	engines          []*standin.Engine
	primaryService   *standin.Plain
	secondaryService *standin.Plain
	quota            *fakeQuota
	deduplicator     *fakeDeduplicator
	admitter         *fakeAdmitter
	retryBudget      *fakeRetryBudget
	traces           *trace.Store
	endpointClient   *endpoint.HTTPClient
	// dialCount counts the connections to endpoints.
	dialCount atomic.Int32
	cleanups  []func()
	// callerTransport is per harness, so that tests do not share connections.
	callerTransport *http.Transport
}

const (
	modelCapTokens      = 6
	modelTemplateTokens = 4
)

func newHarness() *harness {
	r := &harness{
		quota: &fakeQuota{available: 1 << 20, open: make(map[string]budget.Tokens)},
		deduplicator: &fakeDeduplicator{
			bodyHashes: make(map[claim.KeyHash]claim.BodyHash), requestIDs: make(map[claim.KeyHash]string),
			outcomes: make(map[claim.KeyHash]idempotency.Outcome),
		},
		retryBudget:      &fakeRetryBudget{available: 10},
		callerTransport:  &http.Transport{},
		primaryService:   standin.NewPlain(standin.PlainConfig{ID: "plans"}),
		secondaryService: standin.NewPlain(standin.PlainConfig{ID: "plans"}),
		traces:           trace.NewStore(64, time.Now),
	}
	r.endpointClient = endpoint.New(endpoint.Config{ProgressTimeout: time.Minute, Log: discardLogger(), Dial: r.dial})
	bundleSource := &fakeBundleSource{snapshot: bundle.Compile(r.startEndpoints())}
	r.admitter = &fakeAdmitter{source: bundleSource}
	serverSettings := settings.Default()
	serverSettings.Server.BodyLimitBytes = 64 << 10
	serverSettings.Server.ReadTimeout = durationpb.New(300 * time.Millisecond)
	r.server = New(Config{
		Settings: serverSettings.Server, Admission: serverSettings.Admission, Clock: clockwork.NewRealClock(), Log: discardLogger(),
		Metrics: metrics.NewRegistry(), Bundles: bundleSource, Quota: r.quota, Idempotency: r.deduplicator, Admitter: r.admitter,
		Endpoints: r.endpointClient, RetryBudget: r.retryBudget, Traces: r.traces,
	})
	r.callerServer = r.startHTTPServer(r.server.Handler())
	return r
}

func (r *harness) dial(ctx context.Context, network, address string) (net.Conn, error) {
	r.dialCount.Add(1)
	return new(net.Dialer).DialContext(ctx, network, address)
}

func discardLogger() log.Interface { return &log.Logger{Handler: discard.New()} }

// startEndpoints starts the endpoints and returns a bundle that lists them.
func (r *harness) startEndpoints() *api.Bundle {
	hash := sha256.Sum256([]byte(customerToken))
	b := &api.Bundle{
		Number:    1,
		Customers: []*api.Customer{{Id: "wusta", KeyHashes: [][]byte{hash[:]}, Budgets: []*api.Budget{{Id: "main", Models: []string{"price", "dose"}}}}},
		Models: []*api.Model{
			{Id: "price", DefaultCapTokens: modelCapTokens, MaxCapTokens: 400, ImageBoundTokens: 80, TemplateBoundTokens: modelTemplateTokens},
			{Id: "dose", DefaultCapTokens: modelCapTokens, MaxCapTokens: 400, TemplateBoundTokens: modelTemplateTokens, NonIdempotent: true},
			{Id: "unpaid", DefaultCapTokens: modelCapTokens, MaxCapTokens: 400},
		},
		Services: []*api.Service{{Id: "plans", PathPrefix: "/plans/", NonIdempotentMethods: []string{"POST"}}},
	}
	for i := range 2 {
		e := standin.NewEngine(standin.EngineConfig{Models: []string{"price", "dose"}, AnswerTokens: 400})
		r.engines = append(r.engines, e)
		b.Endpoints = append(b.Endpoints, &api.Endpoint{Id: fmt.Sprint("engine-", i), Url: r.startHTTPServer(e).URL, Models: []string{"price", "dose"}})
	}
	for i, p := range []*standin.Plain{r.primaryService, r.secondaryService} {
		b.Endpoints = append(b.Endpoints, &api.Endpoint{Id: fmt.Sprint("plans-", i), Url: r.startHTTPServer(p).URL, Service: "plans"})
	}
	return b
}

func (r *harness) startHTTPServer(h http.Handler) *httptest.Server {
	s := httptest.NewUnstartedServer(h)
	s.Config.ErrorLog = nil
	s.Start()
	r.cleanups = append(r.cleanups, func() { s.CloseClientConnections(); s.Close() })
	return s
}

func (r *harness) close() {
	r.endpointClient.Close()
	r.callerTransport.CloseIdleConnections()
	for _, f := range r.cleanups {
		f()
	}
}

func (r *harness) setEngineFaults(f standin.EngineFaults) {
	for _, e := range r.engines {
		e.SetFaults(f)
	}
}

// engineRuns returns the runs of all engines.
func (r *harness) engineRuns() []standin.Run {
	var out []standin.Run
	for _, e := range r.engines {
		out = append(out, e.Runs()...)
	}
	return out
}

// callerResponse is the response, or the error, that a caller got.
type callerResponse struct {
	status           int
	header           http.Header
	body             string
	err              error
	connectionClosed bool
}

// send sends a request. header holds pairs of names and values.
func (r *harness) send(method, path, body string, header ...string) callerResponse {
	req, err := http.NewRequest(method, r.callerServer.URL+path, strings.NewReader(body))
	So(err, ShouldBeNil)
	req.Header.Set("Authorization", "Bearer "+customerToken)
	for i := 0; i < len(header); i += 2 {
		if header[i] == "Authorization" {
			req.Header.Del(header[i])
		}
		req.Header[header[i]] = append(req.Header[header[i]], header[i+1])
	}
	res, err := r.callerTransport.RoundTrip(req)
	if err != nil {
		return callerResponse{err: err}
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	return callerResponse{status: res.StatusCode, header: res.Header, body: string(data), err: err, connectionClosed: res.Close}
}

func (r *harness) sendChat(model string, stream bool, header ...string) callerResponse {
	return r.send("POST", chatPath, chatBody(model, stream), header...)
}

func chatBody(model string, stream bool) string {
	return fmt.Sprintf(`{"model":%q,"stream":%t,"messages":[{"role":"user","content":"plot 7, sandy loam"}]}`, model, stream)
}

// expectedText returns the text of the correct response to chatBody.
func expectedText(model string) string {
	_, prompt, _, _ := standin.ParsePrompt([]byte(chatBody(model, false)))
	return strings.TrimSpace(standin.Answer(model, prompt, modelCapTokens))
}
