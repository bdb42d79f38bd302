package gateway

import (
	"context"
	"net/http"
	"sync/atomic"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"

	"pumiceshelf/placement"
	"pumiceshelf/prepaid"
	"pumiceshelf/registry"
	"pumiceshelf/retrybudget"
	"pumiceshelf/routing"
)

// Budgets reserves tokens of customers' prepaid budgets.
type Budgets interface {
	Reserve(ctx context.Context, customer string, tokens int64) (*prepaid.Reservation, prepaid.Outcome)
}

// Config of a Gateway.
type Config struct {
	Wire    Wire
	Budgets Budgets
	Chooser *placement.Chooser
	Retries *retrybudget.Budget
	// Table returns the configuration in force, nil before the first.
	Table func() *routing.Table
	// Endpoints returns the endpoints that may get new requests, nil before the first listing.
	Endpoints func() *registry.View
	// Instances returns how many instances share the retry budget.
	Instances func() int
	// Settle returns when what the instance knows may be relied on, which is at once unless it was frozen; nil for never
	// to wait.
	Settle func(ctx context.Context)
	// Domain of this instance.
	Domain  string
	Clock   clockwork.Clock
	Log     log.Interface
	Metrics metrics.Registry
	// Transport carries requests to endpoints; nil means the package's own.
	Transport http.RoundTripper
	// Uniform returns a number in [0, 1).
	Uniform func() float64
}

// Gateway serves callers' requests. It is an http.Handler.
type Gateway struct {
	config    Config
	transport http.RoundTripper
	counters  *counters
	inflight  atomic.Int64
	leaving   atomic.Bool
}

// New returns a gateway.
func New(c Config) *Gateway {
	g := &Gateway{config: c, transport: c.Transport, counters: newCounters(c.Metrics)}
	if g.transport == nil {
		g.transport = newTransport()
	}
	return g
}

// InFlight returns how many requests are in progress.
func (g *Gateway) InFlight() int64 { return g.inflight.Load() }

// Leave makes the gateway ask callers to use other connections from now on. It goes on to serve.
func (g *Gateway) Leave() { g.leaving.Store(true) }

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.inflight.Add(1)
	defer g.inflight.Add(-1)
	if g.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	j := &job{gateway: g, w: w, r: r, started: g.config.Clock.Now()}
	defer j.end()
	j.serve()
}
