// Package router assembles one routing instance. The instance watches the platform's configuration and endpoints, serves
// callers through the gateway, and drains before it stops.
package router

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"

	"pumiceshelf/api"
	"pumiceshelf/endpointlimit"
	"pumiceshelf/endpointload"
	"pumiceshelf/follow"
	"pumiceshelf/gateway"
	"pumiceshelf/instance"
	"pumiceshelf/intake"
	"pumiceshelf/linkload"
	"pumiceshelf/members"
	"pumiceshelf/objectstore"
	"pumiceshelf/origin"
	"pumiceshelf/placement"
	"pumiceshelf/prepaid"
	"pumiceshelf/quarantine"
	"pumiceshelf/registry"
	"pumiceshelf/retrybudget"
	"pumiceshelf/routing"
	"pumiceshelf/telemetry"
)

const (
	// drainAcceptPeriod is how long a draining instance still accepts requests. The load balancer polls readiness once a
	// second and removes an instance after two polls that report it not ready.
	drainAcceptPeriod = 2500 * time.Millisecond
	// shutdownReserve is the part of the grace period reserved for returning leases and ending the process.
	shutdownReserve = 1200 * time.Millisecond
	// finalResponseTime is how long before the connections are closed the requests in progress are ended, so that their last responses
	// still reach their callers.
	finalResponseTime = 100 * time.Millisecond
	// closeTimeout bounds returning the leases and removing the member entry at shutdown.
	closeTimeout = 700 * time.Millisecond
	// readHeaderTimeout and idleTimeout limit slow and idle callers. Both exceed the limits set in configurations.
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 60 * time.Second
	// evidenceTakeoverSpread is the time for each instance over which writes of evidence to the store are spread.
	evidenceTakeoverSpread = 100 * time.Millisecond
	// bufferedMemoryShare is the inverse of the share of the memory that the bodies of requests may take, and responses that are not
	// complete as much.
	bufferedMemoryShare = 6
	// memberDialTimeout bounds connecting to another instance where the call does not: a relay is worth waiting for on a link whose
	// packets wait for a few hundred milliseconds.
	memberDialTimeout = 700 * time.Millisecond
	// maxHeaderBytes limits the size of a caller's request header.
	maxHeaderBytes = 64 << 10
)

// Platform is the access to the platform's object store that a Router needs.
type Platform interface {
	objectstore.Store
	objectstore.Collections
}

// Decoder decodes the objects that the platform's operators and endpoints write to the object store.
type Decoder interface {
	// ConfigurationCollection returns the name of the collection of configurations.
	ConfigurationCollection() string
	// EndpointsCollection returns the name of the collection of endpoint entries.
	EndpointsCollection() string
	// EvacuationsCollection returns the name of the collection of evacuated failure domains.
	EvacuationsCollection() string
	// Evacuation returns the failure domain that an object of that collection asks to evacuate.
	Evacuation(obj objectstore.Object) (domain string, err error)
	// Configuration decodes a configuration. It returns false if obj is not a configuration.
	Configuration(obj objectstore.Object) (c routing.Config, ok bool, err error)
	// Endpoint decodes an endpoint entry.
	Endpoint(obj objectstore.Object) (registry.Endpoint, error)
}

// Config holds the settings and dependencies of a Router.
type Config struct {
	Settings *api.RouterSettings
	Store    Platform
	Decoder  Decoder
	Headers  gateway.HeaderCodec
	// Reports reads what endpoints say of their own process. If nil, they are not asked.
	Reports gateway.ProcessReports
	Clock   clockwork.Clock
	Log     log.Interface
	Metrics metrics.Registry
	// SharesAllLoads makes instances share load reports of endpoints also if these have no work time.
	SharesAllLoads bool
	// Listen and Dial open the listeners and connections of the instance. If nil, they use TCP.
	Listen func(ctx context.Context, network, address string) (net.Listener, error)
	Dial   func(ctx context.Context, network, address string) (net.Conn, error)
}

// Router is one routing instance of the fleet.
type Router struct {
	config       Config
	table        atomic.Pointer[routing.Table]
	endpointView atomic.Pointer[registry.View]
	draining     atomic.Bool

	// link tells whether the network link of the instance is too busy for more callers, or is nil.
	link *linkload.Monitor
	// busyLink gives connections more time while the link is full. It is nil if link is.
	busyLink *gateway.BusyLink
	// calls is the access to the store. It counts the calls.
	calls                 *callCounts
	members               *members.Members
	configurationFollower *follow.Follower
	endpointFollower      *follow.Follower
	// evacuationFollower is nil unless the settings say that operators evacuate failure domains.
	evacuationFollower *follow.Follower
	publisher          *publisher
	prepaid            *prepaid.Manager
	gateway            *gateway.Gateway
	chooser            *placement.Chooser
	limits             *endpointlimit.Limits
	loads              *endpointload.Table
	quarantine         *quarantine.Tracker
	versions           *registry.VersionHistory
	// targetsChangedAt is when the services of a route last changed, nil if they have not since the start.
	targetsChangedAt atomic.Pointer[time.Time]
	// configurationConfirmedAt is when the store last confirmed the configuration. It is nil before the first time.
	configurationConfirmedAt atomic.Pointer[time.Time]
	// contact records since when the store has confirmed the endpoints.
	contact *registry.Contact
	// startedAt is when the instance started.
	startedAt   time.Time
	freezeGuard *freezeGuard
	// endpointListing reads the endpoints apart from what is followed.
	endpointListing *freshListing
	callerServer    *http.Server
	readyServer     *http.Server
}

// New returns a Router that is not yet running.
func New(c Config) *Router {
	if c.Listen == nil {
		c.Listen = (&net.ListenConfig{KeepAliveConfig: gateway.KeepAliveConfig()}).Listen
	}
	r := &Router{config: c, link: newLink(c.Settings), versions: registry.NewVersionHistory(), contact: &registry.Contact{}, startedAt: c.Clock.Now()}
	dials := r.connectOverLink()
	r.freezeGuard = newFreezeGuard(c.Clock, r.endContact)
	r.publisher = newPublisher(r)
	r.calls = newCallCounts(c.Store, c.Decoder, c.Metrics)
	c.Store = r.calls
	r.endpointListing = &freshListing{list: func(ctx context.Context) (objectstore.Listing, error) {
		return r.calls.ListAll(ctx, c.Decoder.EndpointsCollection())
	}}
	r.limits = endpointlimit.New(endpointlimit.Config{
		Self: c.Settings.Name, Instances: func() []string { return r.members.Names() }, OnChange: r.logLimitChange,
		ColdBound: r.coldBound(), ColdRate: r.coldRate, ColdTime: r.coldStart, SettledInstances: func() []string { return r.members.SettledNames() }, OnColdChange: r.logColdChange,
	})
	r.loads = newLoads(c.SharesAllLoads)
	r.chooser = placement.NewWithLoads(r.limits, r.loads)
	r.quarantine = quarantine.New(quarantine.Config{
		Self: c.Settings.Name, OnChange: r.logQuarantine, TakeoverDelay: r.evidenceTakeoverDelay,
		OnLoss: func(e registry.Endpoint) { r.gateway.CheckForOthers(e) },
	})
	incarnation := instance.NewIncarnation(c.Settings.Name)
	r.members = members.New(members.Config{
		Store: c.Store, Collections: c.Store, Incarnation: incarnation,
		Self:  &api.FleetMember{Incarnation: string(incarnation), PeerAddress: c.Settings.PeerAddress, Domain: c.Settings.Domain, CallerAddress: c.Settings.CallerAddress},
		Seeds: c.Settings.SeedPeers,
		Dial: func(ctx context.Context, address string) (net.Conn, error) {
			return dials.member(ctx, "tcp", address)
		},
		Clock: c.Clock, Log: c.Log, Metrics: c.Metrics, Limits: r.limits, Losses: connectionLosses{r}, AsksForCold: r.coldBound().Overage > 0, Loads: r.loads, Quarantine: r.quarantine, Origins: origin.NewStore(), Versions: r.softwareVersions,
		Configuration: func() *objectstore.Listing { return r.configurationFollower.Snapshot() },
		Endpoints:     func() *objectstore.Listing { return r.endpointFollower.Snapshot() },
		Evacuations:   r.evacuations,
		Follower:      r.follower,
		Lend: func(ctx context.Context, id prepaid.TransferID, customer string, tokens int64) int64 {
			return r.prepaid.Lend(ctx, id, customer, tokens)
		},
		Allocate: func(ctx context.Context, id prepaid.TransferID, customer string, rank int, needed, wanted int64) prepaid.Allocation {
			return r.prepaid.Allocate(ctx, id, customer, rank, needed, wanted)
		},
		Abandon:      func(borrower instance.Incarnation, sequences []uint64) { r.prepaid.Abandon(borrower, sequences) },
		AcceptReturn: func(back prepaid.Return) bool { return r.prepaid.AcceptReturn(back) },
		TakeBack:     func(tokens map[string]int64) { r.prepaid.TakeBack(tokens) },
		WitnessMarks: func(holder, witness instance.Incarnation, marks map[string]int64) bool {
			return r.prepaid.WitnessMarks(holder, witness, marks)
		},
		SealMarks: func(holder, witness instance.Incarnation) (map[string]int64, bool) {
			return r.prepaid.SealMarks(holder, witness)
		},
		CanConnect: func(ctx context.Context, id, address string) bool {
			return r.canConnect(ctx, dials.endpoint, id, address)
		},
		Explain:              func(request *api.ExplainRequest) *api.ExplainReply { return r.gateway.Explain(request) },
		Unanswered:           func(customer string, tokens int64) { r.prepaid.RecordUnanswered(customer, tokens) },
		ParkedByLostResponse: func(tokens int64) { r.prepaid.RecordParkedByLostResponse(tokens) },
	})
	r.configurationFollower = follow.New(follow.Config{
		Collection: c.Decoder.ConfigurationCollection(), Store: c.Store, QueryPeers: r.members.FetchNewerConfiguration, Relays: r.members,
		Listener: &configurationListener{router: r}, Clock: c.Clock, Log: c.Log,
	})
	r.endpointFollower = follow.New(follow.Config{
		Collection: c.Decoder.EndpointsCollection(), Store: c.Store, QueryPeers: r.members.FetchNewerEndpoints, Relays: r.members,
		ConfirmWithin: r.confirmEndpointsWithin, Listener: newEndpointListener(r), Clock: c.Clock, Log: c.Log,
	})
	r.followEvacuations()
	r.prepaid = prepaid.NewManager(prepaid.Config{
		Store: c.Store, Incarnation: incarnation, Clock: c.Clock, Log: c.Log, Metrics: c.Metrics,
		Borrow: r.members.Borrow, IsTokenHolder: r.members.IsTokenHolder, IsFirstHolder: r.members.IsFirstHolder,
		RequestAllocation: r.members.RequestAllocation, Return: r.members.ReturnTokens, TokenHolderCount: r.members.TokenHolderCount,
		PrepaidTotal: r.prepaidTotal, Customers: r.prepaidCustomers,
		ReduceParked: c.Settings.GetReduceParkedTokens(), ReportParked: c.Settings.GetReportParkedTokens(),
		Rations: r.sharesLoads, StoreEra: r.storeEra,
	})
	r.gateway = gateway.New(gateway.Config{
		Headers: c.Headers, Reports: c.Reports, Budgets: r.prepaid, BudgetView: r.prepaid.View, BudgetRationed: r.prepaid.IsRationed, Chooser: r.chooser, RetryBudget: newRetryBudget(c.Settings), Limits: r.limits, Loads: r.loads, Quarantine: r.quarantine, Origins: r.members,
		SheddingDisabled: c.Settings.SheddingDisabled, MovesCallers: r.linkBusy, Link: r.busyLink,
		Contact: r.contactState, KnowsOneVersion: r.knowsOneVersion, ConfirmVersions: r.confirmVersions, ConfigurationUnconfirmed: r.configurationUnconfirmed,
		Table: r.table.Load, Endpoints: r.endpointView.Load, InstanceCount: r.members.Count, Domain: c.Settings.Domain,
		Self: c.Settings.Name, MaxBufferedBytes: int64(c.Settings.MemoryMb) << 20 / bufferedMemoryShare, Delegates: r.delegates, ReachedByOthers: r.members.ReachedByOthers, DialInstance: dials.instance,
		AwaitFreshState: r.freezeGuard.Wait, AwaitEvidence: r.members.AwaitEvidence, Dial: dials.endpoint, Clock: c.Clock, Log: c.Log, Metrics: c.Metrics, Uniform: rand.Float64,
	})
	r.callerServer = intake.Protect(&http.Server{
		Handler: r.gateway, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: newDebugLogger(c.Log),
	})
	r.readyServer = intake.Protect(&http.Server{
		Handler: r.readyHandler(), ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, ErrorLog: newDebugLogger(c.Log),
	})
	return r
}

// follower returns what keeps the snapshot of a collection, or nil.
func (r *Router) follower(collection string) *follow.Follower {
	switch collection {
	case r.config.Decoder.ConfigurationCollection():
		return r.configurationFollower
	case r.config.Decoder.EndpointsCollection():
		return r.endpointFollower
	case r.config.Decoder.EvacuationsCollection():
		return r.evacuationFollower
	}
	return nil
}

// storeEra returns the highest era of the store that this instance knows, and whether it knows one.
func (r *Router) storeEra() (era uint64, known bool) {
	for _, f := range []*follow.Follower{r.configurationFollower, r.endpointFollower} {
		if s := f.Snapshot(); s != nil {
			era, known = max(era, objectstore.Era(s.Revision)), true
		}
	}
	return era, known
}

// delegates returns the other instances that may serve requests of this one.
func (r *Router) delegates() (out []gateway.Delegate) {
	for _, a := range r.members.CallerAddresses() {
		out = append(out, gateway.Delegate(a))
	}
	return out
}

// canConnect reports whether this instance can connect to an endpoint, if it is listed with that address.
func (r *Router) canConnect(ctx context.Context, dial func(ctx context.Context, network, address string) (net.Conn, error), id, address string) bool {
	view := r.endpointView.Load()
	if view == nil || !view.Lists(id, address) {
		return false
	}
	conn, err := dial(ctx, "tcp", address)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}

func newRetryBudget(s *api.RouterSettings) *retrybudget.Budget {
	return retrybudget.New(retrybudget.Limits{
		Window: s.RetryWindow.AsDuration(), Ratio: s.GetRetryRatio(), Slack: s.GetRetrySlack(),
	})
}

// evidenceTakeoverDelay returns a random delay before this instance writes evidence of others to the store. It grows with the
// number of instances, so that few of them write at the same time.
func (r *Router) evidenceTakeoverDelay() time.Duration {
	return rand.N(time.Duration(r.members.Count()) * evidenceTakeoverSpread)
}

// readyHandler serves the readiness check and the metrics of this instance.
func (r *Router) readyHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !r.Ready() || r.linkBusy() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		_, _ = w.Write([]byte(telemetry.FormatMetrics(r.config.Metrics)))
	})
	return mux
}

// Ready reports whether the instance accepts new connections: it has a configuration and endpoints, knows the evacuated failure domains
// if operators evacuate any, and is not draining.
func (r *Router) Ready() bool {
	return r.table.Load() != nil && r.endpointView.Load() != nil && !r.draining.Load()
}

// Run serves requests until the context ends or a background task fails, then drains within the grace period and returns.
func (r *Router) Run(ctx context.Context) error {
	listeners, err := r.listen()
	if err != nil {
		return err
	}
	r.config.Log.WithFields(log.Fields{"name": r.config.Settings.Name, "domain": r.config.Settings.Domain}).Info("router: started")
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, background := errgroup.WithContext(background)
	group.Go(func() error { return r.freezeGuard.Run(background) })
	group.Go(func() error { return r.reportCalls(background) })
	group.Go(func() error { return r.configurationFollower.Run(background) })
	group.Go(func() error { return r.endpointFollower.Run(background) })
	if r.evacuationFollower != nil {
		group.Go(func() error { return r.evacuationFollower.Run(background) })
	}
	group.Go(func() error { return r.prepaid.Run(background) })
	group.Go(func() error { return r.prepaid.RunBorrowing(background) })
	group.Go(func() error { return r.members.Run(background) })
	group.Go(func() error { return r.members.RunAbandoning(background) })
	group.Go(func() error { return r.members.RunReturning(background) })
	group.Go(func() error { return r.members.RunExchangingLimits(background) })
	group.Go(func() error { return r.members.RunExchangingLoads(background) })
	group.Go(func() error { return r.members.RunPassingOrigins(background) })
	group.Go(func() error { return r.members.RunExchangingLosses(background) })
	group.Go(func() error { return r.members.RunExchangingEvidence(background) })
	group.Go(func() error { return r.members.RunPushingEvidence(background) })
	group.Go(func() error { return r.members.RunStoringEvidence(background) })
	group.Go(func() error { return r.members.Serve(background, listeners.peer) })
	group.Go(func() error { return r.gateway.RunProbing(background) })
	group.Go(func() error { return serve(r.callerServer, listeners.caller) })
	group.Go(func() error { return serve(r.readyServer, listeners.ready) })
	group.Go(func() error {
		select {
		case <-ctx.Done():
		case <-background.Done():
			r.config.Log.WithError(context.Cause(background)).Error("router: a background task failed")
		}
		r.drain()
		stop()
		_ = r.readyServer.Close()
		return nil
	})
	err = group.Wait()
	r.deregister()
	return err
}

// netListeners holds the listeners for callers, the readiness check and other instances.
type netListeners struct{ caller, ready, peer net.Listener }

func (r *Router) listen() (netListeners, error) {
	var l netListeners
	bounds, err := intake.NewBounds(int(r.config.Settings.MaxDescriptors), int64(r.config.Settings.MemoryMb*(1<<20)))
	if err != nil {
		return l, fmt.Errorf("router: %w", err)
	}
	for _, target := range []struct {
		listener       *net.Listener
		address, name  string
		maxConnections int
		tracked        bool
	}{
		{&l.caller, r.config.Settings.CallerAddress, "callers", bounds.Callers, true},
		{&l.ready, r.config.Settings.ReadyAddress, "ready", bounds.Operators, true},
		{&l.peer, r.config.Settings.PeerAddress, "peers", bounds.Peers, false},
	} {
		listener, err := r.config.Listen(context.Background(), "tcp", target.address)
		if err != nil {
			return l, fmt.Errorf("router: listen on %s: %w", target.address, err)
		}
		*target.listener = intake.NewListener(measureListener(r.link, listener), intake.ListenerConfig{
			Name: target.name, MaxConnections: target.maxConnections, Tracked: target.tracked, Now: r.config.Clock.Now, Log: r.config.Log, Metrics: r.config.Metrics,
		})
	}
	return l, nil
}

func serve(s *http.Server, l net.Listener) error {
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// drain stops accepting connections and waits for the requests in progress.
func (r *Router) drain() {
	clock := r.config.Clock
	r.draining.Store(true)
	grace, begun := r.config.Settings.Grace.AsDuration(), clock.Now()
	accept, closeAfter := min(drainAcceptPeriod, grace/2), grace-shutdownReserve
	endsAt := begun.Add(closeAfter - finalResponseTime)
	r.gateway.StartDraining(endsAt)
	r.configurationFollower.StopRelaying()
	r.endpointFollower.StopRelaying()
	if r.evacuationFollower != nil {
		r.evacuationFollower.StopRelaying()
	}
	r.config.Log.WithField("in_flight", r.gateway.InFlight()).Info("router: draining")
	clock.Sleep(accept)
	// A late request might not finish within the grace period.
	r.gateway.StopAccepting()
	end := clock.AfterFunc(max(endsAt.Sub(clock.Now()), 0), func() {
		r.config.Log.WithField("in_flight", r.gateway.InFlight()).Warn("router: grace period expires, ending requests in progress")
		r.gateway.EndRequests()
	})
	defer end.Stop()
	ctx, cancel := clockwork.WithTimeout(context.Background(), clock, closeAfter-clock.Since(begun))
	defer cancel()
	if err := r.callerServer.Shutdown(ctx); err != nil {
		r.config.Log.WithField("in_flight", r.gateway.InFlight()).Warn("router: grace period expired, closing connections with requests in progress")
		_ = r.callerServer.Close()
	}
}

// deregister returns this instance's leases and removes its member entry.
func (r *Router) deregister() {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	if err := r.prepaid.Close(ctx); err != nil {
		r.config.Log.WithError(err).Warn("router: failed to return leases")
	}
	if err := r.members.Deregister(ctx); err != nil {
		r.config.Log.WithError(err).Warn("router: failed to remove member entry")
	}
	r.config.Log.Info("router: stopped")
}
