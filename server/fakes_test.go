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
	"pumiceshelf/story"
)

const token = "secret-of-wusta"

// source holds one snapshot.
type source struct{ snapshot *bundle.Snapshot }

func (s *source) Current() *bundle.Snapshot { return s.snapshot }
func (s *source) Changed() <-chan struct{}  { return nil }

// keeper is one budget under a mutex. It keeps what was settled.
type keeper struct {
	mu      sync.Mutex
	left    budget.Tokens
	outcome quota.Outcome
	open    map[string]budget.Tokens
	settled []quota.Usage
}

func (k *keeper) Reserve(_ context.Context, r quota.Request) quota.Reservation {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.outcome != 0 {
		return quota.Reservation{Outcome: k.outcome, RetryAfter: 3 * time.Second}
	}
	if r.Bound > k.left {
		return quota.Reservation{Outcome: quota.Exhausted}
	}
	k.left -= r.Bound
	k.open[r.RequestID] = r.Bound
	return quota.Reservation{Outcome: quota.Granted, Lease: "lease"}
}

func (k *keeper) Settle(_ context.Context, u quota.Usage) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.left += k.open[u.RequestID] - u.Prompt - u.Generated
	delete(k.open, u.RequestID)
	k.settled = append(k.settled, u)
}

func (k *keeper) bills() []quota.Usage {
	k.mu.Lock()
	defer k.mu.Unlock()
	return slices.Clone(k.settled)
}

// gate keeps outcomes in a map.
type gate struct {
	mu       sync.Mutex
	bodies   map[claim.KeyHash]claim.BodyHash
	ids      map[claim.KeyHash]string
	outcomes map[claim.KeyHash]idempotency.Outcome
	down     bool
}

func (g *gate) Begin(_ context.Context, r idempotency.Request) idempotency.BeginResult {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.down {
		return idempotency.BeginResult{Decision: idempotency.Unavailable}
	}
	body, known := g.bodies[r.Key]
	o := g.outcomes[r.Key]
	switch {
	case known && body != r.Body:
		return idempotency.BeginResult{Decision: idempotency.BodyMismatch, OriginalRequestID: g.ids[r.Key]}
	case !known, o.Kind == idempotency.NotRun, o.Kind == idempotency.Unknown && r.Idempotent:
		g.bodies[r.Key], g.ids[r.Key] = r.Body, r.RequestID
		return idempotency.BeginResult{Decision: idempotency.Run}
	case o.Kind == idempotency.Completed:
		return idempotency.BeginResult{Decision: idempotency.Recorded, Outcome: o, OriginalRequestID: g.ids[r.Key]}
	}
	return idempotency.BeginResult{Decision: idempotency.UnknownOutcome, OriginalRequestID: g.ids[r.Key]}
}

func (g *gate) Finish(_ context.Context, k claim.KeyHash, o idempotency.Outcome) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.outcomes[k] = o
}

// admitter takes the first endpoint of the group that is not to be avoided.
type admitter struct {
	source  *source
	outcome admit.Outcome
	mu      sync.Mutex
	open    int
}

func (a *admitter) Admit(_ context.Context, item admit.Item, t admit.Target) admit.Ticket {
	if a.outcome != 0 {
		return admit.Ticket{Outcome: a.outcome, RetryAfter: 2 * time.Second}
	}
	for _, e := range a.source.snapshot.Group(item.Group) {
		if !slices.Contains(t.Avoid, e.ID) {
			a.add(1)
			return admit.Ticket{Outcome: admit.Admitted, Endpoint: e.ID, Done: func(admit.Result) { a.add(-1) }}
		}
	}
	return admit.Ticket{Outcome: admit.NoCapacity}
}

func (a *admitter) add(n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.open += n
}

// retries is a budget of a fixed number of retries.
type retries struct {
	mu   sync.Mutex
	left int
}

func (r *retries) Earn() {}

func (r *retries) Spend(string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.left--
	return r.left >= 0
}

// rig is a server before two engines and a plain service.
type rig struct {
	server  *Server
	front   *httptest.Server
	engines []*standin.Engine
	plain   *standin.Plain
	spare   *standin.Plain
	keeper  *keeper
	gate    *gate
	admit   *admitter
	retries *retries
	stories *story.Book
	client  *endpoint.HTTPClient
	// dials counts the connections to endpoints.
	dials   atomic.Int32
	closers []func()
	// caller has connections of its own, so that no test meets those of another.
	caller *http.Transport
}

const (
	modelCap      = 6
	modelTemplate = 4
)

func newRig() *rig {
	r := &rig{
		keeper: &keeper{left: 1 << 20, open: make(map[string]budget.Tokens)},
		gate: &gate{
			bodies: make(map[claim.KeyHash]claim.BodyHash), ids: make(map[claim.KeyHash]string),
			outcomes: make(map[claim.KeyHash]idempotency.Outcome),
		},
		retries: &retries{left: 10},
		caller:  &http.Transport{},
		plain:   standin.NewPlain(standin.PlainConfig{ID: "plans"}),
		spare:   standin.NewPlain(standin.PlainConfig{ID: "plans"}),
		stories: story.NewBook(64, time.Now),
	}
	r.client = endpoint.New(endpoint.Config{ProgressTimeout: time.Minute, Log: quiet(), Dial: r.dial})
	src := &source{snapshot: bundle.Compile(r.bundle())}
	r.admit = &admitter{source: src}
	set := settings.Default()
	set.Server.BodyLimitBytes = 64 << 10
	set.Server.ReadTimeout = durationpb.New(300 * time.Millisecond)
	r.server = New(Config{
		Settings: set.Server, Admission: set.Admission, Clock: clockwork.NewRealClock(), Log: quiet(),
		Metrics: metrics.NewRegistry(), Bundles: src, Keeper: r.keeper, Gate: r.gate, Admitter: r.admit,
		Endpoints: r.client, Retries: r.retries, Stories: r.stories,
	})
	r.front = r.listen(r.server.Handler())
	return r
}

func (r *rig) dial(ctx context.Context, network, address string) (net.Conn, error) {
	r.dials.Add(1)
	return new(net.Dialer).DialContext(ctx, network, address)
}

func quiet() log.Interface { return &log.Logger{Handler: discard.New()} }

func (r *rig) bundle() *api.Bundle {
	hash := sha256.Sum256([]byte(token))
	b := &api.Bundle{
		Number:    1,
		Customers: []*api.Customer{{Id: "wusta", KeyHashes: [][]byte{hash[:]}, Budgets: []*api.Budget{{Id: "main", Models: []string{"price", "dose"}}}}},
		Models: []*api.Model{
			{Id: "price", DefaultCapTokens: modelCap, MaxCapTokens: 400, ImageBoundTokens: 80, TemplateBoundTokens: modelTemplate},
			{Id: "dose", DefaultCapTokens: modelCap, MaxCapTokens: 400, TemplateBoundTokens: modelTemplate, NonIdempotent: true},
			{Id: "unpaid", DefaultCapTokens: modelCap, MaxCapTokens: 400},
		},
		Services: []*api.Service{{Id: "plans", PathPrefix: "/plans/", NonIdempotentMethods: []string{"POST"}}},
	}
	for i := range 2 {
		e := standin.NewEngine(standin.EngineConfig{Models: []string{"price", "dose"}, AnswerTokens: 400})
		r.engines = append(r.engines, e)
		b.Endpoints = append(b.Endpoints, &api.Endpoint{Id: fmt.Sprint("engine-", i), Url: r.listen(e).URL, Models: []string{"price", "dose"}})
	}
	for i, p := range []*standin.Plain{r.plain, r.spare} {
		b.Endpoints = append(b.Endpoints, &api.Endpoint{Id: fmt.Sprint("plans-", i), Url: r.listen(p).URL, Service: "plans"})
	}
	return b
}

func (r *rig) listen(h http.Handler) *httptest.Server {
	s := httptest.NewUnstartedServer(h)
	s.Config.ErrorLog = nil
	s.Start()
	r.closers = append(r.closers, func() { s.CloseClientConnections(); s.Close() })
	return s
}

func (r *rig) close() {
	r.client.Close()
	r.caller.CloseIdleConnections()
	for _, f := range r.closers {
		f()
	}
}

func (r *rig) faults(f standin.EngineFaults) {
	for _, e := range r.engines {
		e.SetFaults(f)
	}
}

// runs returns what all engines ran.
func (r *rig) runs() []standin.Run {
	var out []standin.Run
	for _, e := range r.engines {
		out = append(out, e.Runs()...)
	}
	return out
}

// reply is what a caller got.
type reply struct {
	status int
	header http.Header
	body   string
	err    error
	closed bool
}

// send makes a request with headers given as pairs.
func (r *rig) send(method, path, body string, header ...string) reply {
	req, err := http.NewRequest(method, r.front.URL+path, strings.NewReader(body))
	So(err, ShouldBeNil)
	req.Header.Set("Authorization", "Bearer "+token)
	for i := 0; i < len(header); i += 2 {
		if header[i] == "Authorization" {
			req.Header.Del(header[i])
		}
		req.Header[header[i]] = append(req.Header[header[i]], header[i+1])
	}
	res, err := r.caller.RoundTrip(req)
	if err != nil {
		return reply{err: err}
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	return reply{status: res.StatusCode, header: res.Header, body: string(data), err: err, closed: res.Close}
}

func (r *rig) chat(model string, stream bool, header ...string) reply {
	return r.send("POST", chatPath, chatBody(model, stream), header...)
}

func chatBody(model string, stream bool) string {
	return fmt.Sprintf(`{"model":%q,"stream":%t,"messages":[{"role":"user","content":"plot 7, sandy loam"}]}`, model, stream)
}

// expected is the text of the right answer to chatBody.
func expected(model string) string {
	_, prompt, _, _ := standin.ParsePrompt([]byte(chatBody(model, false)))
	return strings.TrimSpace(standin.Answer(model, prompt, modelCap))
}
