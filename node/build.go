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
	"pumiceshelf/route"
	"pumiceshelf/server"
	"pumiceshelf/story"
	"pumiceshelf/telemetry"
	"pumiceshelf/tlsfiles"
)

// adminCallTimeout bounds a call to another instance for an operator.
const adminCallTimeout = 2 * time.Second

// build makes the parts in the order of their dependencies and registers those that serve other instances.
func (n *Node) build() error {
	c, p := n.config, &n.parts
	p.stories = story.NewStore(storyLimit, c.Clock.Now)
	p.repairs = telemetry.NewRepairs(c.Log, c.Clock.Now)
	p.platform = objectstore.NewClient(objectstore.ClientConfig{
		Settings: c.Settings.Platform, Clock: c.Clock, Metrics: c.Metrics, Store: c.Store, Lister: c.Lister,
	})
	if err := n.buildFleet(); err != nil {
		return err
	}
	n.buildBundles()
	n.buildRouting()
	n.buildBudgets()
	n.buildClaims()
	n.buildOrders()
	if err := n.buildServer(); err != nil {
		return err
	}
	n.buildAdmin()
	return n.register()
}

func (n *Node) buildFleet() error {
	c, p := n.config, &n.parts
	files, err := tlsFiles(c.Settings.PeerTls)
	if err != nil {
		return fmt.Errorf("node: peer_tls: %w", err)
	}
	p.fleet = peer.New(peer.Config{
		Settings:    c.Settings.Peer,
		Self:        n.self,
		TLS:         peerTLS(files),
		Clock:       c.Clock,
		Log:         c.Log,
		Metrics:     c.Metrics,
		Lister:      listTap{InstanceLister: p.platform, leaving: func(ids []string) { p.balancer.SetDraining(ids) }},
		Dial:        peer.DialFunc(c.Dial),
		Repairs:     p.repairs,
		LocalReport: n.localReport,
		OnReport:    n.applyReport,
	})
	return nil
}

// peerTLS returns mutual TLS between instances, or nil for plain TCP.
func peerTLS(files *tlsfiles.Source) *peer.TLSConfig {
	if files == nil {
		return nil
	}
	return &peer.TLSConfig{Client: files.ClientConfig, Server: files.ServerConfig(true)}
}

// tlsFiles returns the source of a key pair, or nil when TLS is not set.
func tlsFiles(f *api.TlsFiles) (*tlsfiles.Source, error) {
	if f == nil {
		return nil, nil
	}
	return tlsfiles.New(f)
}

// localReport is what heartbeats tell other instances.
func (n *Node) localReport() peer.Report {
	r := peer.Report{
		DrainingEndpoints: n.parts.balancer.LocalDraining(),
		Loads:             n.parts.balancer.LocalLoads(),
		PlatformReachable: n.parts.platform.Reachable(),
	}
	if s := n.parts.bundles.Current(); s != nil {
		r.BundleNumber = s.Number
	}
	return r
}

func (n *Node) applyReport(_ *api.Instance, r peer.Report) {
	n.parts.balancer.ApplyPeerReport(r.Loads, r.DrainingEndpoints)
}

func (n *Node) buildBundles() {
	c, p := n.config, &n.parts
	p.bundles = bundle.New(bundle.Config{
		Settings:       c.Settings.Bundle,
		FirstOperators: c.Settings.FirstOperators,
		FirstThreshold: c.Settings.FirstThreshold,
		Self:           n.self,
		Clock:          c.Clock,
		Log:            c.Log,
		Metrics:        c.Metrics,
		Store:          p.platform,
		View:           p.fleet,
		Conns:          p.fleet,
		Repairs:        p.repairs,
	})
}

func (n *Node) buildRouting() {
	c, p := n.config, &n.parts
	p.endpoints = endpoint.New(endpoint.Config{
		Dial:            c.Dial,
		Clock:           c.Clock,
		Log:             c.Log,
		Metrics:         c.Metrics,
		ProgressTimeout: c.Settings.Server.ProgressTimeout.AsDuration(),
		Repairs:         p.repairs,
	})
	p.balancer = route.New(route.Config{
		Settings: c.Settings.Route,
		Self:     n.self,
		Clock:    c.Clock,
		Log:      c.Log,
		Metrics:  c.Metrics,
		Bundles:  p.bundles,
		View:     p.fleet,
		Loads:    p.endpoints,
		Seed:     c.Seed,
		Policy:   c.Policies.Route,
		Traces:   p.stories,
		Repairs:  p.repairs,
	})
	p.admission = admit.New(admit.Config{
		Settings: c.Settings.Admission,
		Clock:    c.Clock,
		Log:      c.Log,
		Metrics:  c.Metrics,
		Chooser:  p.balancer,
		Traces:   p.stories,
		Repairs:  p.repairs,
	})
}

func (n *Node) buildBudgets() {
	c, p := n.config, &n.parts
	p.quota = quota.New(quota.Config{
		Settings: c.Settings.Budget,
		Self:     n.self,
		Clock:    c.Clock,
		Log:      c.Log,
		Metrics:  c.Metrics,
		Store:    p.platform,
		View:     p.fleet,
		Conns:    p.fleet,
		Bundles:  p.bundles,
		Stories:  p.stories,
		Repairs:  p.repairs,
		Resolve:  n.resolveUsage,
		Policy:   c.Policies.Budget,
	})
}

// resolveUsage asks the engines of a model to stop a request whose entry instance is gone, for its true usage.
// known is false unless an engine knew the request.
func (n *Node) resolveUsage(ctx context.Context, requestID, model string) (prompt, generated budget.Tokens, known bool) {
	snapshot := n.parts.bundles.Current()
	if snapshot == nil {
		return 0, 0, false
	}
	for _, e := range snapshot.Group(bundle.ModelGroup(model)) {
		usage, err := n.parts.endpoints.Cancel(ctx, e.URL, requestID)
		if err == nil && usage.Known {
			return budget.Tokens(usage.PromptTokens), budget.Tokens(usage.GeneratedTokens), true
		}
	}
	return 0, 0, false
}

func (n *Node) buildClaims() {
	c, p := n.config, &n.parts
	p.gate = idempotency.New(idempotency.Config{
		Settings: c.Settings.Claim,
		Self:     n.self,
		Clock:    c.Clock,
		Log:      c.Log,
		Metrics:  c.Metrics,
		Store:    p.platform,
		View:     p.fleet,
		Conns:    p.fleet,
		Traces:   p.stories,
		Repairs:  p.repairs,
		Policy:   c.Policies.Claim,
	})
}

func (n *Node) buildOrders() {
	c, p := n.config, &n.parts
	p.orders = orders.New(orders.Config{
		Self:    n.self,
		Clock:   c.Clock,
		Log:     c.Log,
		Metrics: c.Metrics,
		Store:   p.platform,
		View:    p.fleet,
		Bundles: p.bundles,
		Engine:  p.endpoints,
		Repairs: p.repairs,
		Traces:  p.stories,
	})
}

func (n *Node) buildServer() error {
	c, p := n.config, &n.parts
	files, err := tlsFiles(c.Settings.CallerTls)
	if err != nil {
		return fmt.Errorf("node: caller_tls: %w", err)
	}
	if files != nil {
		n.listeners.caller = tls.NewListener(n.listeners.caller, files.ServerConfig(false))
	}
	p.server = server.New(server.Config{
		Settings:    c.Settings.Server,
		Admission:   c.Settings.Admission,
		Clock:       c.Clock,
		Log:         c.Log,
		Metrics:     c.Metrics,
		Bundles:     p.bundles,
		Quota:       p.quota,
		Idempotency: p.gate,
		KeyIssuer:   p.gate,
		Admitter:    p.admission,
		Endpoints:   p.endpoints,
		RetryBudget: route.NewRetryBudget(c.Settings.Route.RetryPercent, c.Metrics),
		Traces:      p.stories,
	})
	return nil
}

func (n *Node) buildAdmin() {
	p := &n.parts
	p.admin = admin.New(admin.Config{
		Registry: n.config.Metrics,
		Status:   n.Status,
		Stories:  p.stories,
		Budget:   n.budgetReport,
		Peers:    admin.PeerStories(p.fleet, &http.Client{Transport: &http.Transport{DialContext: n.config.Dial}, Timeout: adminCallTimeout}),
		Log:      n.config.Log,
	})
}

// budgetReport returns the ledger of a customer in force, as the platform keeps it.
func (n *Node) budgetReport(ctx context.Context, customer string) (proto.Message, error) {
	snapshot := n.parts.bundles.Current()
	if snapshot == nil || snapshot.Customer(customer) == nil {
		return nil, admin.ErrUnknownCustomer
	}
	obj, err := n.parts.platform.Get(ctx, quota.LedgerPrefix+customer)
	if err != nil {
		return nil, fmt.Errorf("node: ledger of %s: %w", customer, err)
	}
	ledger := &api.CustomerLedger{}
	if err := proto.Unmarshal(obj.Value, ledger); err != nil {
		return nil, fmt.Errorf("node: ledger of %s: %w", customer, err)
	}
	return ledger, nil
}

// register lets the parts that serve other instances do so.
func (n *Node) register() error {
	p := &n.parts
	mux := p.fleet.Mux()
	return errors.Join(p.bundles.Register(mux), p.quota.Register(mux), p.gate.Register(mux))
}

// Status returns what operators see of the instance.
func (n *Node) Status() *api.Status {
	p := &n.parts
	number, problem := p.bundles.Status()
	return &api.Status{
		Instance:           n.self,
		BundleNumber:       number,
		BundleError:        problem,
		PlatformReachable:  p.platform.Reachable(),
		Peers:              p.fleet.Status(),
		Endpoints:          p.balancer.Status(),
		Orders:             p.orders.Status(),
		Leases:             p.quota.Status(),
		Repairs:            p.repairs.List(),
		RequestsInProgress: uint64(p.server.InProgress()),
		Draining:           n.draining.Load(),
	}
}
