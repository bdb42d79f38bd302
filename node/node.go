package node

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"pumiceshelf/admin"
	"pumiceshelf/admit"
	"pumiceshelf/api"
	"pumiceshelf/bundle"
	"pumiceshelf/endpoint"
	"pumiceshelf/idempotency"
	"pumiceshelf/instance"
	"pumiceshelf/intake"
	"pumiceshelf/objectstore"
	"pumiceshelf/orders"
	"pumiceshelf/peer"
	"pumiceshelf/quota"
	"pumiceshelf/route"
	"pumiceshelf/server"
	"pumiceshelf/telemetry"
	"pumiceshelf/trace"
)

const (
	// traceLimit is the number of recent requests whose traces an instance keeps.
	traceLimit = 4096
	// adminReadHeaderTimeout bounds reading the headers of an admin HTTP request.
	adminReadHeaderTimeout = 5 * time.Second
	// adminIdleTimeout bounds how long an admin connection stays open between two requests, as one of a caller does.
	adminIdleTimeout = 2 * time.Minute
)

// ErrRetired is returned by Run after a bundle retired this incarnation while it was still running. The instance has
// drained itself.
var ErrRetired = errors.New("node: this incarnation was retired by a bundle; restart the instance")

// Node is one instance of the fleet. Run serves requests, Shutdown drains the instance, and canceling Run's context
// stops it immediately.
type Node struct {
	config     Config
	self       *api.Instance
	listeners  listeners
	components components
	ctx        context.Context
	stop       context.CancelFunc
	stopped    chan struct{}
	draining   atomic.Bool
}

// listeners holds the listeners for client, peer and admin connections.
type listeners struct {
	caller, peer, admin net.Listener
}

// components holds the components of an instance in the order in which they are built.
type components struct {
	traces      *trace.Store
	repairs     *telemetry.Repairs
	platform    *objectstore.Client
	fleet       *peer.Fleet
	bundles     *bundle.Holder
	endpoints   *endpoint.HTTPClient
	balancer    *route.Balancer
	admission   *admit.Controller
	quota       *quota.Manager
	idempotency *idempotency.Manager
	orders      *orders.Reconciler
	server      *server.Server
	admin       *admin.Admin
}

// New opens the listeners of an instance and builds its components. It serves nothing until Run is called.
func New(cfg Config) (*Node, error) {
	cfg.setDefaults()
	n := &Node{config: cfg, stopped: make(chan struct{})}
	n.ctx, n.stop = context.WithCancel(context.Background())
	if err := n.listen(); err != nil {
		return nil, err
	}
	n.self = &api.Instance{
		Name:         cfg.Settings.Name,
		Incarnation:  string(instance.NewIncarnation(cfg.Settings.Name)),
		Domain:       cfg.Settings.Domain,
		Region:       cfg.Settings.Region,
		PeerAddress:  n.listeners.peer.Addr().String(),
		AdminAddress: n.listeners.admin.Addr().String(),
	}
	if err := n.build(); err != nil {
		n.listeners.close()
		return nil, err
	}
	return n, nil
}

func (n *Node) listen() error {
	s := n.config.Settings
	bindings := []struct {
		address  string
		listener *net.Listener
	}{
		{s.CallerAddress, &n.listeners.caller},
		{s.PeerAddress, &n.listeners.peer},
		{s.AdminAddress, &n.listeners.admin},
	}
	for _, b := range bindings {
		l, err := n.config.Listen("tcp", b.address)
		if err != nil {
			n.listeners.close()
			return fmt.Errorf("node: listen on %s: %w", b.address, err)
		}
		*b.listener = l
	}
	bounds, err := intake.NewBounds(0, int64(s.MemoryMb)<<20)
	if err != nil {
		n.listeners.close()
		return fmt.Errorf("node: %w", err)
	}
	n.listeners.caller = n.bound(n.listeners.caller, "callers", bounds.Callers, true)
	n.listeners.peer = n.bound(n.listeners.peer, "peers", bounds.Peers, false)
	n.listeners.admin = n.bound(n.listeners.admin, "admin", bounds.Operators, true)
	return nil
}

// bound bounds the connections of a listener. tracked is set if an HTTP server tells what they do.
func (n *Node) bound(l net.Listener, name string, maxConnections int, tracked bool) net.Listener {
	return intake.NewListener(l, intake.ListenerConfig{
		Name: name, MaxConnections: maxConnections, Tracked: tracked, Now: n.config.Clock.Now, Log: n.config.Log, Metrics: n.config.Metrics,
	})
}

func (l listeners) close() {
	for _, x := range []net.Listener{l.caller, l.peer, l.admin} {
		if x != nil {
			x.Close()
		}
	}
}

// Self returns the description of the instance that its peers use.
func (n *Node) Self() *api.Instance { return n.self }

// CallerAddress returns the address of the client HTTP listener.
func (n *Node) CallerAddress() string { return n.listeners.caller.Addr().String() }

// AdminAddress returns the address of the admin HTTP listener.
func (n *Node) AdminAddress() string { return n.listeners.admin.Addr().String() }

// Bundles returns the source of the active bundle.
func (n *Node) Bundles() bundle.Source { return n.components.bundles }

// InProgress returns the number of requests in progress.
func (n *Node) InProgress() int { return n.components.server.InProgress() }

// Run serves until ctx is canceled or Shutdown has drained the instance. It must be called only once.
func (n *Node) Run(ctx context.Context) error {
	defer close(n.stopped)
	unregister := context.AfterFunc(ctx, n.stop)
	defer unregister()
	group, ctx := errgroup.WithContext(n.ctx)
	c := n.components
	loops := []func(context.Context) error{
		c.fleet.Run, c.bundles.Run, c.quota.Run, c.idempotency.Run, c.balancer.Run, c.admission.Run, c.orders.Run,
		n.servePeers, n.serveCallers, n.serveAdmin, n.watchRetirement,
	}
	for _, loop := range loops {
		group.Go(func() error { return loop(ctx) })
	}
	n.config.Log.Infof("node: %s accepts client requests on %s", n.self.Incarnation, n.CallerAddress())
	err := group.Wait()
	n.listeners.close()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// Shutdown stops accepting requests, waits for those in progress, returns the leases to the ledger and ends Run. If ctx
// ends first, Shutdown stops immediately and returns an error with the number of dropped requests.
func (n *Node) Shutdown(ctx context.Context) error {
	err := n.drain(ctx)
	n.stop()
	<-n.stopped
	return err
}

// drain performs every step of Shutdown except ending Run.
func (n *Node) drain(ctx context.Context) error {
	n.config.Log.Infof("node: draining, %d requests in progress", n.InProgress())
	n.draining.Store(true)
	c := n.components
	c.fleet.StartDraining()
	err := c.server.Drain(ctx)
	if err != nil {
		err = fmt.Errorf("node: %d requests dropped: %w", n.InProgress(), err)
	}
	if e := c.idempotency.Drain(ctx); e != nil {
		err = errors.Join(err, fmt.Errorf("node: record request outcomes: %w", e))
	}
	if e := c.quota.Drain(ctx); e != nil {
		err = errors.Join(err, fmt.Errorf("node: return leases to the ledger: %w", e))
	}
	return err
}

// watchRetirement drains the instance when a bundle retires its incarnation, because other instances may then close its
// leases.
func (n *Node) watchRetirement(ctx context.Context) error {
	for {
		changed := n.components.bundles.Changed()
		s := n.components.bundles.Current()
		if s != nil && s.IsRetired(instance.Incarnation(n.self.Incarnation)) {
			return n.drainRetired()
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (n *Node) drainRetired() error {
	n.config.Log.Errorf("node: incarnation %s was retired by a bundle, draining", n.self.Incarnation)
	ctx, cancel := context.WithTimeout(context.Background(), n.config.Settings.Server.DrainTimeout.AsDuration())
	defer cancel()
	return errors.Join(ErrRetired, n.drain(ctx))
}

func (n *Node) servePeers(ctx context.Context) error {
	return n.components.fleet.Serve(ctx, n.listeners.peer)
}

func (n *Node) serveCallers(ctx context.Context) error {
	return serveHTTP(ctx, n.components.server.HTTPServer(), n.listeners.caller)
}

func (n *Node) serveAdmin(ctx context.Context) error {
	s := &http.Server{Handler: n.components.admin.Handler(), ReadHeaderTimeout: adminReadHeaderTimeout, IdleTimeout: adminIdleTimeout}
	return serveHTTP(ctx, intake.Protect(s), n.listeners.admin)
}

// serveHTTP serves until ctx ends, then closes all connections.
func serveHTTP(ctx context.Context, s *http.Server, l net.Listener) error {
	unregister := context.AfterFunc(ctx, func() { s.Close() })
	defer unregister()
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("node: serve HTTP on %s: %w", l.Addr(), err)
	}
	return nil
}
