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
	"pumiceshelf/endpointload"
	"pumiceshelf/intake"
	"pumiceshelf/origin"
	"pumiceshelf/placement"
	"pumiceshelf/prepaid"
	"pumiceshelf/quarantine"
	"pumiceshelf/reach"
	"pumiceshelf/registry"
	"pumiceshelf/responsecheck"
	"pumiceshelf/retrybudget"
	"pumiceshelf/routing"
)

// Budgets reserves tokens from the prepaid budgets of customers.
type Budgets interface {
	Reserve(ctx context.Context, customer string, rank int, tokens int64) (*prepaid.Reservation, prepaid.Outcome)
	// UntilSupply returns the time after which a request that is refused for want of tokens may be served, or zero if that is not known.
	UntilSupply() time.Duration
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
	Headers HeaderCodec
	Budgets Budgets
	// BudgetView returns what this instance knows of a customer's budget, for Explain. If nil, nothing is known.
	BudgetView func(customer string) prepaid.View
	// BudgetRationed reports whether a request of a rank for a number of tokens would be refused because they are kept for more urgent
	// ones, for Explain. If nil, it is not known.
	BudgetRationed func(customer string, rank int, tokens int64) bool
	Chooser        *placement.Chooser
	RetryBudget    *retrybudget.Budget
	// Limits records the request rates that endpoints accept.
	Limits *endpointlimit.Limits
	// Loads holds the load reports of endpoints. If nil, no request is refused for want of room.
	Loads *endpointload.Table
	// SheddingDisabled turns off refusals for want of room.
	SheddingDisabled bool
	// Quarantine finds prompt parts that crash endpoints. If nil, the gateway has one of its own.
	Quarantine *quarantine.Tracker
	// Table returns the active routing table, or nil if no configuration has been applied yet.
	Table func() *routing.Table
	// ConfigurationUnconfirmed reports whether a newer configuration than that of the table may have to be in force. If nil, it never is.
	ConfigurationUnconfirmed func() bool
	// Endpoints returns the endpoints that accept new requests, or nil before the first listing.
	Endpoints func() *registry.View
	// Contact returns the time since the store last confirmed the endpoints, and for how long it had done so without a gap.
	Contact func() (age, lasted time.Duration)
	// ConfirmVersions returns the software versions of a service's endpoints that the store lists, in a listing that begins after the
	// call. If nil, those that are known count as confirmed.
	ConfirmVersions func(ctx context.Context, service string) ([]string, error)
	// Reports reads what endpoints say of their own process. If nil, they are not asked.
	Reports ProcessReports
	// KnowsOneVersion reports whether this instance has lately seen endpoints of a service of one version only. If nil, it has not.
	KnowsOneVersion func(service string) bool
	// Origins records and finds which version began a stream.
	Origins Origins
	// InstanceCount returns the number of instances that share the retry budget.
	InstanceCount func() int
	// AwaitFreshState blocks until the state of this instance is up to date. It returns immediately unless the process
	// has just resumed from a freeze. If nil, requests never wait.
	AwaitFreshState func(ctx context.Context)
	// AwaitEvidence blocks until this instance has asked others which requests crash endpoints. It returns immediately unless the
	// process has just started. If nil, requests never wait.
	AwaitEvidence func(ctx context.Context)
	// Self is the name of this instance, Domain its failure domain.
	Self, Domain string
	// Delegates returns the other instances that may serve requests if this one does not reach their service. It may be nil.
	Delegates func() []Delegate
	// ReachedByOthers reports whether another instance can connect to an endpoint. If nil, none can.
	ReachedByOthers func(ctx context.Context, e registry.Endpoint) bool
	Clock           clockwork.Clock
	Log             log.Interface
	Metrics         metrics.Registry
	// MaxBufferedBytes bounds the bytes of the bodies of requests, and as much those of responses that are held until they are complete,
	// for all requests together. Zero means the default.
	MaxBufferedBytes int64
	// MovesCallers reports whether callers are to close their connections after a response, so that they reach other instances. It may
	// be nil.
	MovesCallers func() bool
	// Link tells whether the own network link is busy. Dial and DialInstance return its errors. If nil, the link is never busy.
	Link *BusyLink
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
	// transport sends requests to endpoints, singleTransport each on a connection of its own, and delegateTransport to other instances.
	transport, singleTransport, delegateTransport *responsecheck.Transport
	refusals                                      refusals
	lasting                                       lastingConnections
	processes                                     processChecks
	metrics                                       *gatewayMetrics
	crashes                                       *crashDetector
	restarts                                      *restartDetector
	reach                                         *reach.Tracker
	delegates                                     delegates
	// buffered bounds the responses that are held, bodies the bodies of requests. Requests in progress always have room for responses.
	buffered    byteBudget
	bodies      *intake.Budget
	loadReports *loadReports
	inflight    atomic.Int64
	// drain is nil until the instance is about to stop.
	drain     atomic.Pointer[drain]
	durations durations
	// stopping ends shortly before the instance does. stop ends it.
	stopping context.Context
	stop     context.CancelFunc
	// shedding is nil if it is turned off.
	shedding *shedding
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
	// The other instance may close a kept connection just as a request is sent, and then it is not known whether it ran.
	g := &Gateway{config: c, delegateTransport: newTransport(c.DialInstance, true), metrics: newGatewayMetrics(c.Metrics)}
	g.stopping, g.stop = context.WithCancel(context.Background())
	g.processes.gateway, g.processes.byID = g, make(map[string]*processCheck)
	g.restarts = &restartDetector{gateway: g, checked: make(map[string]bool)}
	dial := watchConnections(c.Dial, g.restarts.connectionEnded, &g.lasting, c.Clock.Now)
	g.transport, g.singleTransport = newTransport(dial, false), newTransport(dial, true)
	g.buffered.max, g.buffered.now = c.MaxBufferedBytes, c.Clock.Now
	g.bodies = intake.NewBudget(c.MaxBufferedBytes, c.Clock.Now, c.Metrics)
	g.reach = reach.New(g.logReach)
	g.crashes = &crashDetector{gateway: g}
	g.loadReports = newLoadReports(c.Metrics)
	if c.Loads != nil && !c.SheddingDisabled {
		g.shedding = newShedding(g)
	}
	return g
}

// InFlight returns the number of requests in progress.
func (g *Gateway) InFlight() int64 { return g.inflight.Load() }

// RetainEndpoints forgets what is known of endpoints for which listed returns false.
func (g *Gateway) RetainEndpoints(listed func(id string) bool) { g.processes.retain(listed) }

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.inflight.Add(1)
	defer g.inflight.Add(-1)
	if g.isDraining() {
		w.Header().Set("Connection", "close")
	}
	j := &job{gateway: g, w: w, r: r, started: g.config.Clock.Now()}
	defer j.finish()
	j.serve()
}
