// Package router assembles one routing instance: it follows the platform's configuration and endpoints, serves callers
// through the gateway, and drains on request.
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
	"pumiceshelf/follow"
	"pumiceshelf/gateway"
	"pumiceshelf/instance"
	"pumiceshelf/members"
	"pumiceshelf/objectstore"
	"pumiceshelf/placement"
	"pumiceshelf/prepaid"
	"pumiceshelf/registry"
	"pumiceshelf/retrybudget"
	"pumiceshelf/routing"
	"pumiceshelf/telemetry"
)

const (
	// drainOpen is how long an instance that leaves still takes requests: the balancer asks once a second and takes it
	// out after two answers that it is not ready.
	drainOpen = 2500 * time.Millisecond
	// drainReserve is kept of the grace for giving back leases and ending the process.
	drainReserve = 1200 * time.Millisecond
	// closeTimeout bounds giving back leases at the end.
	closeTimeout = 700 * time.Millisecond
	// headerTimeout and idleTimeout bound what callers may take; both are longer than the configurations' own limits.
	headerTimeout = 10 * time.Second
	idleTimeout   = 60 * time.Second
	// headerBytes bounds a caller's header.
	headerBytes = 64 << 10
)

// Platform is what the router needs of the platform's adapter.
type Platform interface {
	objectstore.Store
	objectstore.Collections
}

// Decoder reads what the platform's operators and endpoints write.
type Decoder interface {
	// ConfigurationCollection and EndpointsCollection name the collections to follow.
	ConfigurationCollection() string
	EndpointsCollection() string
	// Configuration reads a configuration; ok is false for an object that is none.
	Configuration(obj objectstore.Object) (c routing.Config, ok bool, err error)
	// Endpoint reads an endpoint's entry.
	Endpoint(obj objectstore.Object) (registry.Endpoint, error)
}

// Config of a Router.
type Config struct {
	Settings *api.RouterSettings
	Store    Platform
	Decoder  Decoder
	Wire     gateway.Wire
	Clock    clockwork.Clock
	Log      log.Interface
	Metrics  metrics.Registry
}

// Router is one instance.
type Router struct {
	config  Config
	table   atomic.Pointer[routing.Table]
	view    atomic.Pointer[registry.View]
	leaving atomic.Bool

	members       *members.Members
	configuration *follow.Follower
	endpoints     *follow.Follower
	keeper        *prepaid.Keeper
	gateway       *gateway.Gateway
	chooser       *placement.Chooser
	wake          *wakeGuard
	front         *http.Server
	ready         *http.Server
}

// New assembles a router.
func New(c Config) *Router {
	r := &Router{config: c, chooser: placement.New(), wake: newWakeGuard(c.Clock)}
	incarnation := instance.NewIncarnation(c.Settings.Name)
	dialer := gateway.NewDialer()
	r.members = members.New(members.Config{
		Store: c.Store, Collections: c.Store, Incarnation: incarnation,
		Self:  &api.FleetMember{Incarnation: string(incarnation), PeerAddress: c.Settings.PeerAddress, Domain: c.Settings.Domain},
		Seeds: c.Settings.SeedPeers,
		Dial: func(ctx context.Context, address string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", address)
		},
		Clock: c.Clock, Log: c.Log,
		Configuration: func() *objectstore.Listing { return r.configuration.Copy() },
		Endpoints:     func() *objectstore.Listing { return r.endpoints.Copy() },
		Lend: func(ctx context.Context, customer string, tokens int64) int64 {
			return r.keeper.Lend(ctx, customer, tokens)
		},
		Provide: func(ctx context.Context, customer string, needed, wanted int64) prepaid.Provision {
			return r.keeper.Provide(ctx, customer, needed, wanted)
		},
	})
	r.configuration = follow.New(follow.Config{
		Collection: c.Decoder.ConfigurationCollection(), Store: c.Store, Newest: r.members.NewestConfiguration,
		Listener: &configurationListener{router: r}, Clock: c.Clock, Log: c.Log,
	})
	r.endpoints = follow.New(follow.Config{
		Collection: c.Decoder.EndpointsCollection(), Store: c.Store, Newest: r.members.NewestEndpoints,
		Listener: newEndpointListener(r), Clock: c.Clock, Log: c.Log,
	})
	r.keeper = prepaid.NewKeeper(prepaid.Config{
		Store: c.Store, Incarnation: incarnation, Clock: c.Clock, Log: c.Log, Metrics: c.Metrics,
		Borrow: r.members.Borrow, Holds: r.members.Holds, Draw: r.members.Draw, Holders: r.members.Holders,
		Prepaid: r.prepaid, Customers: r.prepaidCustomers,
	})
	r.gateway = gateway.New(gateway.Config{
		Wire: c.Wire, Budgets: r.keeper, Chooser: r.chooser, Retries: newRetryBudget(c.Settings),
		Table: r.table.Load, Endpoints: r.view.Load, Instances: r.members.Count, Domain: c.Settings.Domain,
		Settle: r.wake.Wait, Clock: c.Clock, Log: c.Log, Metrics: c.Metrics, Uniform: rand.Float64,
	})
	r.front = &http.Server{
		Handler: r.gateway, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: headerBytes,
		ErrorLog: quietLog(c.Log),
	}
	r.ready = &http.Server{Handler: r.readyHandler(), ReadHeaderTimeout: headerTimeout, ErrorLog: quietLog(c.Log)}
	return r
}

func newRetryBudget(s *api.RouterSettings) *retrybudget.Budget {
	return retrybudget.New(retrybudget.Limits{
		Window: s.RetryWindow.AsDuration(), Ratio: s.GetRetryRatio(), Slack: s.GetRetrySlack(),
	})
}

func (r *Router) prepaid(customer string) (int64, bool) {
	t := r.table.Load()
	if t == nil {
		return 0, false
	}
	c := t.Customer(customer)
	if c == nil || c.Prepaid == nil {
		return 0, false
	}
	return *c.Prepaid, true
}

func (r *Router) prepaidCustomers() []string {
	t := r.table.Load()
	if t == nil {
		return nil
	}
	var out []string
	for _, c := range t.Customers() {
		if c.Prepaid != nil {
			out = append(out, c.Name)
		}
	}
	return out
}

// readyHandler answers whether this instance takes new connections, and serves its metrics.
func (r *Router) readyHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !r.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		_, _ = w.Write([]byte(telemetry.Lines(r.config.Metrics)))
	})
	return mux
}

// Ready says whether the instance takes new connections: it knows a configuration and endpoints, and is not leaving.
func (r *Router) Ready() bool {
	return r.table.Load() != nil && r.view.Load() != nil && !r.leaving.Load()
}

// Run serves until the context ends, then drains within the grace and returns.
func (r *Router) Run(ctx context.Context) error {
	listeners, err := r.listen()
	if err != nil {
		return err
	}
	r.config.Log.WithFields(log.Fields{"name": r.config.Settings.Name, "domain": r.config.Settings.Domain}).Info("router: started")
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, background := errgroup.WithContext(background)
	group.Go(func() error { return r.wake.Run(background) })
	group.Go(func() error { return r.configuration.Run(background) })
	group.Go(func() error { return r.endpoints.Run(background) })
	group.Go(func() error { return r.keeper.Run(background) })
	group.Go(func() error { return r.keeper.RunLoans(background) })
	group.Go(func() error { return r.members.Run(background) })
	group.Go(func() error { return r.members.Serve(background, listeners.peer) })
	group.Go(func() error { return serve(r.front, listeners.caller) })
	group.Go(func() error { return serve(r.ready, listeners.ready) })
	group.Go(func() error {
		select {
		case <-ctx.Done():
			r.drain()
		case <-background.Done():
		}
		stop()
		_ = r.ready.Close()
		return nil
	})
	err = group.Wait()
	r.leave()
	return err
}

type listeners struct{ caller, ready, peer net.Listener }

func (r *Router) listen() (listeners, error) {
	var l listeners
	config := net.ListenConfig{KeepAliveConfig: gateway.KeepAlive()}
	for _, one := range []struct {
		into    *net.Listener
		address string
	}{
		{&l.caller, r.config.Settings.CallerAddress},
		{&l.ready, r.config.Settings.ReadyAddress},
		{&l.peer, r.config.Settings.PeerAddress},
	} {
		listener, err := config.Listen(context.Background(), "tcp", one.address)
		if err != nil {
			return l, fmt.Errorf("router: listen at %s: %w", one.address, err)
		}
		*one.into = listener
	}
	return l, nil
}

func serve(s *http.Server, l net.Listener) error {
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// drain stops taking connections and waits for requests in progress.
func (r *Router) drain() {
	clock := r.config.Clock
	r.leaving.Store(true)
	r.gateway.Leave()
	r.config.Log.WithField("in_flight", r.gateway.InFlight()).Info("router: draining")
	grace := r.config.Settings.Grace.AsDuration()
	clock.Sleep(min(drainOpen, grace/2))
	// From here on no request is taken: one taken late could not be finished within the grace.
	ctx, cancel := clockwork.WithTimeout(context.Background(), clock, grace-min(drainOpen, grace/2)-drainReserve)
	defer cancel()
	if err := r.front.Shutdown(ctx); err != nil {
		r.config.Log.WithField("in_flight", r.gateway.InFlight()).Warn("router: requests cut off at the end of the grace")
		_ = r.front.Close()
	}
}

// leave gives back what this instance holds.
func (r *Router) leave() {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	if err := r.keeper.Close(ctx); err != nil {
		r.config.Log.WithError(err).Warn("router: leases not given back")
	}
	if err := r.members.Leave(ctx); err != nil {
		r.config.Log.WithError(err).Warn("router: entry not removed")
	}
	r.config.Log.Info("router: stopped")
}
