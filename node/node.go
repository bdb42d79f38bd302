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
	"pumiceshelf/objectstore"
	"pumiceshelf/orders"
	"pumiceshelf/peer"
	"pumiceshelf/quota"
	"pumiceshelf/route"
	"pumiceshelf/server"
	"pumiceshelf/story"
	"pumiceshelf/telemetry"
)

const (
	// storyLimit is how many recent requests an instance can explain.
	storyLimit = 4096
	// adminReadTimeout bounds the time to read the header of an operator's request.
	adminReadTimeout = 5 * time.Second
)

// ErrRetired means that operators declared this incarnation gone for good while it was alive. It has drained itself.
var ErrRetired = errors.New("node: this incarnation was retired by a bundle; start the instance again")

// Node is one instance of the fleet. Run serves; Shutdown drains it; ending Run's context stops it at once.
type Node struct {
	config    Config
	self      *api.Instance
	listeners listeners
	parts     parts
	ctx       context.Context
	stop      context.CancelFunc
	stopped   chan struct{}
	draining  atomic.Bool
}

type listeners struct {
	caller, peer, admin net.Listener
}

// parts of an instance, in the order in which they are built.
type parts struct {
	stories   *story.Store
	repairs   *telemetry.Repairs
	platform  *objectstore.Client
	fleet     *peer.Fleet
	bundles   *bundle.Holder
	endpoints *endpoint.HTTPClient
	balancer  *route.Balancer
	admission *admit.Controller
	quota     *quota.Manager
	gate      *idempotency.Keeper
	orders    *orders.Reconciler
	server    *server.Server
	admin     *admin.Admin
}

// New opens the listeners of an instance and builds its parts. Nothing is served before Run.
func New(c Config) (*Node, error) {
	c.complete()
	n := &Node{config: c, stopped: make(chan struct{})}
	n.ctx, n.stop = context.WithCancel(context.Background())
	if err := n.listen(); err != nil {
		return nil, err
	}
	n.self = &api.Instance{
		Name:         c.Settings.Name,
		Incarnation:  string(instance.NewIncarnation(c.Settings.Name)),
		Domain:       c.Settings.Domain,
		Region:       c.Settings.Region,
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
	wanted := []struct {
		address string
		to      *net.Listener
	}{
		{s.CallerAddress, &n.listeners.caller},
		{s.PeerAddress, &n.listeners.peer},
		{s.AdminAddress, &n.listeners.admin},
	}
	for _, w := range wanted {
		l, err := n.config.Listen("tcp", w.address)
		if err != nil {
			n.listeners.close()
			return fmt.Errorf("node: listen on %s: %w", w.address, err)
		}
		*w.to = l
	}
	return nil
}

func (l listeners) close() {
	for _, x := range []net.Listener{l.caller, l.peer, l.admin} {
		if x != nil {
			x.Close()
		}
	}
}

// Self returns the instance as its peers see it.
func (n *Node) Self() *api.Instance { return n.self }

// CallerAddress returns the address that callers' HTTP is served on.
func (n *Node) CallerAddress() string { return n.listeners.caller.Addr().String() }

// AdminAddress returns the address that operators' HTTP is served on.
func (n *Node) AdminAddress() string { return n.listeners.admin.Addr().String() }

// Bundles returns the source of the bundle in force.
func (n *Node) Bundles() bundle.Source { return n.parts.bundles }

// InProgress returns how many requests are in progress.
func (n *Node) InProgress() int { return n.parts.server.InProgress() }

// Run serves until ctx ends or Shutdown has drained the instance. It is called once.
func (n *Node) Run(ctx context.Context) error {
	defer close(n.stopped)
	end := context.AfterFunc(ctx, n.stop)
	defer end()
	group, ctx := errgroup.WithContext(n.ctx)
	p := n.parts
	runs := []func(context.Context) error{
		p.fleet.Run, p.bundles.Run, p.quota.Run, p.gate.Run, p.balancer.Run, p.admission.Run, p.orders.Run,
		n.servePeers, n.serveCallers, n.serveAdmin, n.watchRetired,
	}
	for _, run := range runs {
		group.Go(func() error { return run(ctx) })
	}
	n.config.Log.Infof("node: %s serves callers on %s", n.self.Incarnation, n.CallerAddress())
	err := group.Wait()
	n.listeners.close()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// Shutdown takes no new work, finishes the requests in progress, gives leases back and ends Run. When ctx ends first,
// it stops at once and returns an error that says what was dropped.
func (n *Node) Shutdown(ctx context.Context) error {
	err := n.drain(ctx)
	n.stop()
	<-n.stopped
	return err
}

// drain does all of a shutdown but ending Run.
func (n *Node) drain(ctx context.Context) error {
	n.config.Log.Infof("node: draining, %d requests in progress", n.InProgress())
	n.draining.Store(true)
	p := n.parts
	p.fleet.StartDraining()
	err := p.server.Drain(ctx)
	if err != nil {
		err = fmt.Errorf("node: %d requests dropped: %w", n.InProgress(), err)
	}
	if e := p.gate.Drain(ctx); e != nil {
		err = errors.Join(err, fmt.Errorf("node: outcomes not recorded: %w", e))
	}
	if e := p.quota.Drain(ctx); e != nil {
		err = errors.Join(err, fmt.Errorf("node: leases not given back: %w", e))
	}
	return err
}

// watchRetired drains the instance when a bundle retires its incarnation: others may then close its leases.
func (n *Node) watchRetired(ctx context.Context) error {
	for {
		changed := n.parts.bundles.Changed()
		s := n.parts.bundles.Current()
		if s != nil && s.Retired(instance.Incarnation(n.self.Incarnation)) {
			return n.retire()
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (n *Node) retire() error {
	n.config.Log.Errorf("node: %s is retired by a bundle, draining", n.self.Incarnation)
	ctx, cancel := context.WithTimeout(context.Background(), n.config.Settings.Server.DrainTimeout.AsDuration())
	defer cancel()
	return errors.Join(ErrRetired, n.drain(ctx))
}

func (n *Node) servePeers(ctx context.Context) error {
	return n.parts.fleet.Serve(ctx, n.listeners.peer)
}

func (n *Node) serveCallers(ctx context.Context) error {
	return serveHTTP(ctx, n.parts.server.HTTPServer(), n.listeners.caller)
}

func (n *Node) serveAdmin(ctx context.Context) error {
	s := &http.Server{Handler: n.parts.admin.Handler(), ReadHeaderTimeout: adminReadTimeout}
	return serveHTTP(ctx, s, n.listeners.admin)
}

// serveHTTP serves until ctx ends and then closes every connection.
func serveHTTP(ctx context.Context, s *http.Server, l net.Listener) error {
	end := context.AfterFunc(ctx, func() { s.Close() })
	defer end()
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("node: serve %s: %w", l.Addr(), err)
	}
	return nil
}
