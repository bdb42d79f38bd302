package node

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net/http"
	"time"

	"google.golang.org/protobuf/proto"

	"pumiceshelf/admin"
	"pumiceshelf/admit"
	"pumiceshelf/api"
	"pumiceshelf/budget"
	"pumiceshelf/bundle"
	"pumiceshelf/endpoint"
	"pumiceshelf/idempotency"
	"pumiceshelf/objectstore"
	"pumiceshelf/orders"
	"pumiceshelf/peer"
	"pumiceshelf/quota"
	"pumiceshelf/responsecheck"
	"pumiceshelf/route"
	"pumiceshelf/server"
	"pumiceshelf/telemetry"
	"pumiceshelf/tlsfiles"
	"pumiceshelf/trace"
)

// peerTraceTimeout bounds a request for a trace to another instance's admin address.
const peerTraceTimeout = 2 * time.Second

// build creates the components in dependency order and registers the services that other instances call.
func (n *Node) build() error {
	cfg, c := n.config, &n.components
	c.traces = trace.NewStore(traceLimit, cfg.Clock.Now)
	c.repairs = telemetry.NewRepairs(cfg.Log, cfg.Clock.Now)
	c.platform = objectstore.NewClient(objectstore.ClientConfig{
		Settings: cfg.Settings.Platform, Clock: cfg.Clock, Metrics: cfg.Metrics, Store: cfg.Store, Lister: cfg.Lister,
	})
	if err := n.buildFleet(); err != nil {
		return err
	}
	n.buildBundles()
	n.buildRouting()
	n.buildBudgets()
	n.buildIdempotency()
	n.buildOrders()
	if err := n.buildServer(); err != nil {
		return err
	}
	n.buildAdmin()
	return n.registerPeerServices()
}

func (n *Node) buildFleet() error {
	cfg, c := n.config, &n.components
	files, err := newTLSSource(cfg.Settings.PeerTls)
	if err != nil {
		return fmt.Errorf("node: peer_tls: %w", err)
	}
	c.fleet = peer.New(peer.Config{
		Settings:    cfg.Settings.Peer,
		Self:        n.self,
		TLS:         newPeerTLSConfig(files),
		Clock:       cfg.Clock,
		Log:         cfg.Log,
		Metrics:     cfg.Metrics,
		Lister:      drainingLister{InstanceLister: c.platform, onDraining: func(ids []string) { c.balancer.SetDraining(ids) }},
		Dial:        peer.DialFunc(cfg.Dial),
		Repairs:     c.repairs,
		LocalReport: n.localReport,
		OnReport:    n.applyPeerReport,
	})
	return nil
}

// newPeerTLSConfig returns the mutual TLS configuration for peer connections, or nil for plain TCP.
func newPeerTLSConfig(files *tlsfiles.Source) *peer.TLSConfig {
	if files == nil {
		return nil
	}
	return &peer.TLSConfig{Client: files.ClientConfig, Server: files.ServerConfig(true)}
}

// newTLSSource returns a source for the key pair of f, or nil if TLS is not configured.
func newTLSSource(f *api.TlsFiles) (*tlsfiles.Source, error) {
	if f == nil {
		return nil, nil
	}
	return tlsfiles.New(f)
}

// localReport returns the report that heartbeats carry to other instances.
func (n *Node) localReport() peer.Report {
	r := peer.Report{
		DrainingEndpoints: n.components.balancer.LocalDraining(),
		Loads:             n.components.balancer.LocalLoads(),
		PlatformReachable: n.components.platform.Reachable(),
	}
	if s := n.components.bundles.Current(); s != nil {
		r.BundleNumber = s.Number
	}
	return r
}

func (n *Node) applyPeerReport(_ *api.Instance, r peer.Report) {
	n.components.balancer.ApplyPeerReport(r.Loads, r.DrainingEndpoints)
}

func (n *Node) buildBundles() {
	cfg, c := n.config, &n.components
	c.bundles = bundle.New(bundle.Config{
		Settings:       cfg.Settings.Bundle,
		FirstOperators: cfg.Settings.FirstOperators,
		FirstThreshold: cfg.Settings.FirstThreshold,
		Self:           n.self,
		Clock:          cfg.Clock,
		Log:            cfg.Log,
		Metrics:        cfg.Metrics,
		Store:          c.platform,
		View:           c.fleet,
		Conns:          c.fleet,
	})
}

func (n *Node) buildRouting() {
	cfg, c := n.config, &n.components
	c.endpoints = endpoint.New(endpoint.Config{
		Dial:            cfg.Dial,
		Clock:           cfg.Clock,
		Log:             cfg.Log,
		Metrics:         cfg.Metrics,
		ProgressTimeout: cfg.Settings.Server.ProgressTimeout.AsDuration(),
		Repairs:         c.repairs,
	})
	c.balancer = route.New(route.Config{
		Settings: cfg.Settings.Route,
		Self:     n.self,
		Clock:    cfg.Clock,
		Log:      cfg.Log,
		Metrics:  cfg.Metrics,
		Bundles:  c.bundles,
		View:     c.fleet,
		Loads:    c.endpoints,
		Seed:     cfg.Seed,
		Policy:   cfg.Policies.Route,
		Traces:   c.traces,
		Repairs:  c.repairs,
	})
	c.admission = admit.New(admit.Config{
		Settings: cfg.Settings.Admission,
		Clock:    cfg.Clock,
		Log:      cfg.Log,
		Metrics:  cfg.Metrics,
		Chooser:  c.balancer,
		Traces:   c.traces,
	})
}

func (n *Node) buildBudgets() {
	cfg, c := n.config, &n.components
	c.quota = quota.New(quota.Config{
		Settings:     cfg.Settings.Budget,
		Self:         n.self,
		Clock:        cfg.Clock,
		Log:          cfg.Log,
		Metrics:      cfg.Metrics,
		Store:        c.platform,
		View:         c.fleet,
		Conns:        c.fleet,
		Bundles:      c.bundles,
		Traces:       c.traces,
		Repairs:      c.repairs,
		ResolveUsage: n.resolveUsage,
		Policy:       cfg.Policies.Budget,
	})
}

// resolveUsage cancels a request at the engines of its model after its entry instance has failed, and returns the
// actual token usage. known is false if no engine knew the request.
func (n *Node) resolveUsage(ctx context.Context, requestID, model string) (prompt, generated budget.Tokens, known bool) {
	snapshot := n.components.bundles.Current()
	if snapshot == nil {
		return 0, 0, false
	}
	for _, e := range snapshot.Group(bundle.ModelGroup(model)) {
		usage, err := n.components.endpoints.Cancel(ctx, e.URL, requestID)
		if err == nil && usage.Known {
			return budget.Tokens(usage.PromptTokens), budget.Tokens(usage.GeneratedTokens), true
		}
	}
	return 0, 0, false
}

func (n *Node) buildIdempotency() {
	cfg, c := n.config, &n.components
	c.idempotency = idempotency.New(idempotency.Config{
		Settings: cfg.Settings.Claim,
		Self:     n.self,
		Clock:    cfg.Clock,
		Log:      cfg.Log,
		Metrics:  cfg.Metrics,
		Store:    c.platform,
		View:     c.fleet,
		Conns:    c.fleet,
		Traces:   c.traces,
		Policy:   cfg.Policies.Claim,
	})
}

func (n *Node) buildOrders() {
	cfg, c := n.config, &n.components
	c.orders = orders.New(orders.Config{
		Self:    n.self,
		Clock:   cfg.Clock,
		Log:     cfg.Log,
		Metrics: cfg.Metrics,
		Store:   c.platform,
		View:    c.fleet,
		Bundles: c.bundles,
		Engine:  c.endpoints,
		Repairs: c.repairs,
		Traces:  c.traces,
	})
}

func (n *Node) buildServer() error {
	cfg, c := n.config, &n.components
	files, err := newTLSSource(cfg.Settings.CallerTls)
	if err != nil {
		return fmt.Errorf("node: caller_tls: %w", err)
	}
	if files != nil {
		n.listeners.caller = tls.NewListener(n.listeners.caller, files.ServerConfig(false))
	}
	c.server = server.New(server.Config{
		Settings:    cfg.Settings.Server,
		Admission:   cfg.Settings.Admission,
		Clock:       cfg.Clock,
		Log:         cfg.Log,
		Metrics:     cfg.Metrics,
		Bundles:     c.bundles,
		Quota:       c.quota,
		Idempotency: c.idempotency,
		KeyIssuer:   c.idempotency,
		Admitter:    c.admission,
		Endpoints:   c.endpoints,
		RetryBudget: route.NewRetryBudget(cfg.Settings.Route.RetryPercent, cfg.Metrics),
		Traces:      c.traces,
	})
	return nil
}

func (n *Node) buildAdmin() {
	c := &n.components
	c.admin = admin.New(admin.Config{
		Registry:   n.config.Metrics,
		Status:     n.Status,
		Traces:     c.traces,
		Budget:     n.customerLedger,
		PeerTraces: admin.PeerTraces(c.fleet, responsecheck.Client(&http.Client{Transport: &http.Transport{DialContext: n.config.Dial}, Timeout: peerTraceTimeout})),
		Log:        n.config.Log,
	})
}

// customerLedger returns the stored ledger of a customer of the active bundle.
func (n *Node) customerLedger(ctx context.Context, customer string) (proto.Message, error) {
	snapshot := n.components.bundles.Current()
	if snapshot == nil || snapshot.Customer(customer) == nil {
		return nil, admin.ErrUnknownCustomer
	}
	obj, err := n.components.platform.Get(ctx, quota.LedgerPrefix+customer)
	if err != nil {
		return nil, fmt.Errorf("node: read ledger of customer %s: %w", customer, err)
	}
	ledger := &api.CustomerLedger{}
	if err := proto.Unmarshal(obj.Value, ledger); err != nil {
		return nil, fmt.Errorf("node: decode ledger of customer %s: %w", customer, err)
	}
	return ledger, nil
}

// registerPeerServices registers the services that other instances call.
func (n *Node) registerPeerServices() error {
	c := &n.components
	mux := c.fleet.Mux()
	return errors.Join(c.bundles.Register(mux), c.quota.Register(mux), c.idempotency.Register(mux))
}

// Status returns the status of the instance for the admin interface.
func (n *Node) Status() *api.Status {
	c := &n.components
	number, bundleError := c.bundles.Status()
	return &api.Status{
		Instance:           n.self,
		BundleNumber:       number,
		BundleError:        bundleError,
		PlatformReachable:  c.platform.Reachable(),
		Peers:              c.fleet.Status(),
		Endpoints:          c.balancer.Status(),
		Orders:             c.orders.Status(),
		Leases:             c.quota.Status(),
		Repairs:            c.repairs.List(),
		RequestsInProgress: uint64(c.server.InProgress()),
		Draining:           n.draining.Load(),
	}
}
