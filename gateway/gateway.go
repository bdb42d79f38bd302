package gateway

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"

	"pumiceshelf/endpointlimit"
	"pumiceshelf/origin"
	"pumiceshelf/placement"
	"pumiceshelf/prepaid"
	"pumiceshelf/quarantine"
	"pumiceshelf/reach"
	"pumiceshelf/registry"
	"pumiceshelf/retrybudget"
	"pumiceshelf/routing"
)

// Budgets reserves tokens from the prepaid budgets of customers.
type Budgets interface {
	Reserve(ctx context.Context, customer string, tokens int64) (*prepaid.Reservation, prepaid.Outcome)
}

// Origins records which software version began a stream, for all instances.
type Origins interface {
	// RecordOrigin records the origin of a stream. It does not block.
	RecordOrigin(o origin.Origin)
	// SearchOrigin searches for the origin of the stream that an attempt began.
	SearchOrigin(ctx context.Context, attempt, service string) origin.Search
}

// Config holds the dependencies and settings of a Gateway.
type Config struct {
	Headers     HeaderCodec
	Budgets     Budgets
	Chooser     *placement.Chooser
	RetryBudget *retrybudget.Budget
	// Limits records the request rates that endpoints accept.
	Limits *endpointlimit.Limits
	// Quarantine finds prompt parts that crash endpoints. If nil, the gateway has one of its own.
	Quarantine *quarantine.Tracker
	// Table returns the active routing table, or nil if no configuration has been applied yet.
	Table func() *routing.Table
	// Endpoints returns the endpoints that accept new requests, or nil before the first listing.
	Endpoints func() *registry.View
	// EndpointsAge returns the time since the store confirmed the endpoints.
	EndpointsAge func() time.Duration
	// Versions returns the software versions that the endpoints of a service had lately, and whether they cover a time that is
	// longer than any stream.
	Versions func(service string) (versions []string, complete bool)
	// Origins records and finds which version began a stream.
	Origins Origins
	// InstanceCount returns the number of instances that share the retry budget.
	InstanceCount func() int
	// AwaitFreshState blocks until the state of this instance is up to date. It returns immediately unless the process
	// has just resumed from a freeze. If nil, requests never wait.
	AwaitFreshState func(ctx context.Context)
	// Self is the name of this instance, Domain its failure domain.
	Self, Domain string
	// Delegates returns the other instances that may serve requests if this one does not reach their service. It may be nil.
	Delegates func() []Delegate
	// ReachedByOthers reports whether another instance can connect to an endpoint. If nil, none can.
	ReachedByOthers func(ctx context.Context, e registry.Endpoint) bool
	Clock           clockwork.Clock
	Log             log.Interface
	Metrics         metrics.Registry
	// MaxBufferedBytes bounds the bytes of responses that are held until they are complete, for all requests together. Zero means
	// the default.
	MaxBufferedBytes int64
	// DialInstance connects to other instances. If nil, it is that of NewDialer with MaxUnackedTime.
	DialInstance func(ctx context.Context, network, address string) (net.Conn, error)
	// Dial connects to endpoints. If nil, it is that of NewDialer with MaxEndpointUnackedTime.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Uniform returns a uniformly distributed random number in [0, 1).
	Uniform func() float64
}

// Gateway is an http.Handler that serves the requests of callers.
type Gateway struct {
	config Config
	// transport sends requests to endpoints, delegateTransport to other instances.
	transport, delegateTransport *http.Transport
	metrics                      *gatewayMetrics
	crashes                      *crashDetector
	reach                        *reach.Tracker
	delegates                    delegates
	buffered                     byteBudget
	inflight                     atomic.Int64
	draining                     atomic.Bool
}

// New returns a Gateway for the given configuration.
func New(c Config) *Gateway {
	if c.Dial == nil {
		c.Dial = NewDialer(MaxEndpointUnackedTime).DialContext
	}
	if c.MaxBufferedBytes == 0 {
		c.MaxBufferedBytes = defaultMaxBufferedBytes
	}
	if c.DialInstance == nil {
		c.DialInstance = NewDialer(MaxUnackedTime).DialContext
	}
	if c.Quarantine == nil {
		c.Quarantine = quarantine.New(quarantine.Config{})
	}
	g := &Gateway{config: c, transport: newTransport(c.Dial), delegateTransport: newTransport(c.DialInstance), metrics: newGatewayMetrics(c.Metrics)}
	// The other instance may close a kept connection just as a request is sent, and then it is not known whether it ran.
	g.delegateTransport.DisableKeepAlives = true
	g.buffered.max = c.MaxBufferedBytes
	g.reach = reach.New(g.logReach)
	g.crashes = &crashDetector{gateway: g}
	return g
}

// InFlight returns the number of requests in progress.
func (g *Gateway) InFlight() int64 { return g.inflight.Load() }

// StartDraining makes the gateway close each connection after its next response, so that callers reconnect elsewhere.
// The gateway still serves the requests that it receives.
func (g *Gateway) StartDraining() { g.draining.Store(true) }

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.inflight.Add(1)
	defer g.inflight.Add(-1)
	if g.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	j := &job{gateway: g, w: w, r: r, started: g.config.Clock.Now()}
	defer j.finish()
	j.serve()
}
