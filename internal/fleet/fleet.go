package fleet

import (
	"context"
	"crypto/ed25519"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/text"
	"github.com/rcrowley/go-metrics"

	"pumiceshelf/api"
	"pumiceshelf/bundle"
	"pumiceshelf/internal/standin"
	"pumiceshelf/node"
	"pumiceshelf/objectstore"
)

// pollInterval is the interval at which WaitUntil checks its condition.
const pollInterval = 5 * time.Millisecond

// Engine is a stand-in engine with the URL at which it listens.
type Engine struct {
	*standin.Engine
	ID, Domain, URL string
}

// Plain is a stand-in plain service with the URL at which it listens.
type Plain struct {
	*standin.Plain
	ID, Domain, URL string
	Service         string
}

// Instance is one instance of the fleet.
type Instance struct {
	Name, Domain string
	Node         *node.Node
	Metrics      metrics.Registry
	kill         context.CancelFunc
	runResult    chan error
}

// Fleet runs a platform, endpoints and instances on loopback.
type Fleet struct {
	Objects  *standin.Objects
	Network  *Network
	Engines  []*Engine
	Plains   []*Plain
	config   Config
	operator ed25519.PrivateKey
	log      log.Interface

	platformAddress string
	servers         []*http.Server
	mu              sync.Mutex
	instances       []*Instance
	draining        map[string]bool
}

// Start starts the stand-ins and instances of a configuration, rolls the first bundle and waits until it is active on all
// instances.
func Start(ctx context.Context, c Config) (*Fleet, error) {
	f := &Fleet{Objects: standin.NewObjects(), Network: NewNetwork(), config: c, draining: make(map[string]bool)}
	f.operator = ed25519.NewKeyFromSeed(make([]byte, ed25519.SeedSize))
	f.log = &log.Logger{Handler: text.New(os.Stderr), Level: log.ErrorLevel}
	if err := f.startStandins(); err != nil {
		f.Close()
		return nil, err
	}
	for _, domain := range c.Domains {
		for i := range c.InstancesPerDomain {
			if _, err := f.StartInstance(instanceName(domain, i), domain); err != nil {
				f.Close()
				return nil, err
			}
		}
	}
	if err := f.Roll(ctx, f.Bundle(1)); err != nil {
		f.Close()
		return nil, err
	}
	if err := f.AwaitBundle(ctx, 1); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) startStandins() error {
	address, err := f.serve(f.Objects.Handler(), PlatformSite)
	if err != nil {
		return err
	}
	f.platformAddress = address
	for _, domain := range f.config.Domains {
		for i := range f.config.EnginesPerDomain {
			if err := f.startEngine(domain, i); err != nil {
				return err
			}
		}
		for i := range f.config.PlainPerDomain {
			if err := f.startPlain(domain, i); err != nil {
				return err
			}
		}
	}
	return nil
}

func (f *Fleet) startEngine(domain string, i int) error {
	c := f.config.Engine
	c.ID = fmt.Sprintf("%s-engine-%d", domain, i+1)
	c.Models = f.ModelIDs()
	e := standin.NewEngine(c)
	address, err := f.serve(e, Site(c.ID))
	if err != nil {
		return err
	}
	f.Engines = append(f.Engines, &Engine{Engine: e, ID: c.ID, Domain: domain, URL: "http://" + address})
	return nil
}

func (f *Fleet) startPlain(domain string, i int) error {
	id := fmt.Sprintf("%s-plain-%d", domain, i+1)
	p := standin.NewPlain(standin.PlainConfig{ID: id})
	address, err := f.serve(p, Site(id))
	if err != nil {
		return err
	}
	f.Plains = append(f.Plains, &Plain{Plain: p, ID: id, Domain: domain, URL: "http://" + address, Service: f.serviceID(i)})
	return nil
}

func (f *Fleet) serviceID(i int) string {
	return f.config.Services[i%len(f.config.Services)].Id
}

// serve serves a handler on its own loopback port and returns the address.
func (f *Fleet) serve(h http.Handler, site Site) (string, error) {
	l, err := net.Listen("tcp", loopbackAddress)
	if err != nil {
		return "", fmt.Errorf("fleet: listen for %s: %w", site, err)
	}
	s := &http.Server{Handler: h}
	go s.Serve(l)
	f.servers = append(f.servers, s)
	f.Network.Register(l.Addr().String(), site)
	return l.Addr().String(), nil
}

// StartInstance starts an instance and adds it to the platform's instance list.
func (f *Fleet) StartInstance(name, domain string) (*Instance, error) {
	s := f.settingsFor(name, domain)
	m := &Instance{Name: name, Domain: domain, Metrics: metrics.NewRegistry(), runResult: make(chan error, 1)}
	n, err := node.New(node.Config{
		Settings: s,
		Policies: f.config.Policies,
		Seed:     f.config.Seed,
		Log:      f.log,
		Metrics:  m.Metrics,
		Dial:     f.Network.Dialer(Site(name)),
	})
	if err != nil {
		return nil, err
	}
	m.Node = n
	f.Network.Register(n.CallerAddress(), Site(name))
	f.Network.Register(n.Self().PeerAddress, Site(name))
	f.Network.Register(n.AdminAddress(), Site(name))
	ctx, cancel := context.WithCancel(context.Background())
	m.kill = cancel
	go func() { m.runResult <- n.Run(ctx) }()
	f.mu.Lock()
	f.instances = append(f.instances, m)
	f.mu.Unlock()
	f.publishInstances()
	return m, nil
}

// Instances returns the running instances.
func (f *Fleet) Instances() []*Instance {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]*Instance(nil), f.instances...)
}

// Instance returns the running instance with the given name, or nil.
func (f *Fleet) Instance(name string) *Instance {
	for _, m := range f.Instances() {
		if m.Name == name {
			return m
		}
	}
	return nil
}

// RunResult returns the channel that receives the result of the instance's Run.
func (m *Instance) RunResult() <-chan error { return m.runResult }

// Unlist removes an instance that has stopped from the platform's instance list.
func (f *Fleet) Unlist(m *Instance) {
	f.remove(m)
	f.publishInstances()
}

// Kill stops an instance immediately, as a crash does, and removes it from the platform's instance list.
func (f *Fleet) Kill(m *Instance) error {
	f.remove(m)
	m.kill()
	err := <-m.runResult
	f.publishInstances()
	return err
}

// Drain shuts an instance down gracefully and removes it from the platform's instance list.
func (f *Fleet) Drain(ctx context.Context, m *Instance) error {
	err := m.Node.Shutdown(ctx)
	f.remove(m)
	f.publishInstances()
	return errors.Join(err, <-m.runResult)
}

func (f *Fleet) remove(m *Instance) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, x := range f.instances {
		if x == m {
			f.instances = append(f.instances[:i:i], f.instances[i+1:]...)
			return
		}
	}
}

// SetDraining marks an endpoint as draining in the platform's instance list.
func (f *Fleet) SetDraining(endpoint string) {
	f.mu.Lock()
	f.draining[endpoint] = true
	f.mu.Unlock()
	f.publishInstances()
}

// publishInstances updates the platform's list of instances and draining endpoints.
func (f *Fleet) publishInstances() {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := &api.InstanceList{}
	for _, m := range f.instances {
		list.Instances = append(list.Instances, m.Node.Self())
	}
	for e := range f.draining {
		list.Endpoints = append(list.Endpoints, &api.EndpointState{Endpoint: e, Leaving: true})
	}
	f.Objects.SetInstances(list)
}

// PlatformURL returns the base URL of the platform's object API.
func (f *Fleet) PlatformURL() string { return "http://" + f.platformAddress }

// Store returns the object API as seen by operators.
func (f *Fleet) Store() objectstore.Store { return f.Objects.Client("operators") }

// Roll signs a bundle as the successor of the active one and makes it the active bundle.
func (f *Fleet) Roll(ctx context.Context, b *api.Bundle) error {
	pointer, err := bundle.ReadPointer(ctx, f.Store())
	if err != nil {
		return err
	}
	approvers, err := bundle.ReadApprovers(ctx, f.Store(), pointer)
	if err != nil {
		return err
	}
	manifest, parts := bundle.Split(b)
	bundle.SetPrevious(manifest, pointer, approvers)
	return bundle.Roll(ctx, f.Store(), bundle.Sign(manifest, operatorID, f.operator), parts)
}

// AwaitBundle waits until every running instance has an active bundle with at least the given number.
func (f *Fleet) AwaitBundle(ctx context.Context, number uint64) error {
	return WaitUntil(ctx, func() bool {
		for _, m := range f.Instances() {
			s := m.Node.Bundles().Current()
			if s == nil || s.Number < number {
				return false
			}
		}
		return true
	})
}

// WaitUntil waits until a condition holds. It returns an error if ctx ends first.
func WaitUntil(ctx context.Context, condition func() bool) error {
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for !condition() {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return fmt.Errorf("fleet: condition did not become true: %w", ctx.Err())
		}
	}
	return nil
}

// Pause simulates a frozen instance: it blocks all its links.
func (f *Fleet) Pause(name string) {
	f.Network.Block("pause "+name, func(from, to Site) bool { return from == Site(name) || to == Site(name) })
}

// Resume unblocks the links of a paused instance.
func (f *Fleet) Resume(name string) { f.Network.Unblock("pause " + name) }

// Close kills all instances and closes the stand-ins' servers.
func (f *Fleet) Close() {
	f.Network.UnblockAll()
	for _, m := range f.Instances() {
		f.Kill(m)
	}
	for _, s := range f.servers {
		s.Close()
	}
}

// CountRuns counts the runs in the engines' logs whose prompt contains a text.
func (f *Fleet) CountRuns(text string) int {
	count := 0
	for _, e := range f.Engines {
		for _, run := range e.Runs() {
			if strings.Contains(run.Prompt, text) {
				count++
			}
		}
	}
	return count
}
