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

// readyPoll is how often a condition is looked at while waiting for it.
const readyPoll = 5 * time.Millisecond

// Engine is a stand-in engine that listens.
type Engine struct {
	*standin.Engine
	ID, Domain, URL string
}

// Plain is a stand-in plain service that listens.
type Plain struct {
	*standin.Plain
	ID, Domain, URL string
	Service         string
}

// Member is one instance of the fleet.
type Member struct {
	Name, Domain string
	Node         *node.Node
	Metrics      metrics.Registry
	kill         context.CancelFunc
	ended        chan error
}

// Fleet is a platform, endpoints and instances on loopback.
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
	members         []*Member
	leaving         map[string]bool
}

// Start starts the stand-ins and instances of a configuration, rolls its first bundle and waits until it is in force.
func Start(ctx context.Context, c Config) (*Fleet, error) {
	f := &Fleet{Objects: standin.NewObjects(), Network: NewNetwork(), config: c, leaving: make(map[string]bool)}
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
	if err := f.Await(ctx, 1); err != nil {
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
	f.Plains = append(f.Plains, &Plain{Plain: p, ID: id, Domain: domain, URL: "http://" + address, Service: f.serviceOf(i)})
	return nil
}

func (f *Fleet) serviceOf(i int) string {
	return f.config.Services[i%len(f.config.Services)].Id
}

// serve serves a handler on a loopback port of its own and returns the address.
func (f *Fleet) serve(h http.Handler, site Site) (string, error) {
	l, err := net.Listen("tcp", loopbackPort)
	if err != nil {
		return "", fmt.Errorf("fleet: listen for %s: %w", site, err)
	}
	s := &http.Server{Handler: h}
	go s.Serve(l)
	f.servers = append(f.servers, s)
	f.Network.Own(l.Addr().String(), site)
	return l.Addr().String(), nil
}

// StartInstance starts an instance and adds it to the platform's list.
func (f *Fleet) StartInstance(name, domain string) (*Member, error) {
	s := f.settingsFor(name, domain)
	m := &Member{Name: name, Domain: domain, Metrics: metrics.NewRegistry(), ended: make(chan error, 1)}
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
	f.Network.Own(n.CallerAddress(), Site(name))
	f.Network.Own(n.Self().PeerAddress, Site(name))
	f.Network.Own(n.AdminAddress(), Site(name))
	ctx, cancel := context.WithCancel(context.Background())
	m.kill = cancel
	go func() { m.ended <- n.Run(ctx) }()
	f.mu.Lock()
	f.members = append(f.members, m)
	f.mu.Unlock()
	f.publish()
	return m, nil
}

// Members returns the running instances.
func (f *Fleet) Members() []*Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]*Member(nil), f.members...)
}

// Member returns the running instance with the name, or nil.
func (f *Fleet) Member(name string) *Member {
	for _, m := range f.Members() {
		if m.Name == name {
			return m
		}
	}
	return nil
}

// Ended returns the channel on which the result of the instance's Run comes.
func (m *Member) Ended() <-chan error { return m.ended }

// Forget takes an instance that has ended off the platform's list.
func (f *Fleet) Forget(m *Member) {
	f.remove(m)
	f.publish()
}

// Kill stops an instance at once, as a crash does, and takes it off the platform's list.
func (f *Fleet) Kill(m *Member) error {
	f.remove(m)
	m.kill()
	err := <-m.ended
	f.publish()
	return err
}

// Drain shuts an instance down gracefully.
func (f *Fleet) Drain(ctx context.Context, m *Member) error {
	err := m.Node.Shutdown(ctx)
	f.remove(m)
	f.publish()
	return errors.Join(err, <-m.ended)
}

func (f *Fleet) remove(m *Member) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, x := range f.members {
		if x == m {
			f.members = append(f.members[:i:i], f.members[i+1:]...)
			return
		}
	}
}

// SetLeaving marks an endpoint as leaving in the platform's list.
func (f *Fleet) SetLeaving(endpoint string) {
	f.mu.Lock()
	f.leaving[endpoint] = true
	f.mu.Unlock()
	f.publish()
}

// publish gives the platform its list of instances and leaving endpoints.
func (f *Fleet) publish() {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := &api.InstanceList{}
	for _, m := range f.members {
		list.Instances = append(list.Instances, m.Node.Self())
	}
	for e := range f.leaving {
		list.Endpoints = append(list.Endpoints, &api.EndpointState{Endpoint: e, Leaving: true})
	}
	f.Objects.SetInstances(list)
}

// PlatformURL returns the base URL of the object API.
func (f *Fleet) PlatformURL() string { return "http://" + f.platformAddress }

// Store returns the object API as operators reach it.
func (f *Fleet) Store() objectstore.Store { return f.Objects.Link("operators") }

// Roll signs a bundle as the successor of the one in force and puts it in force.
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

// Await waits until every running instance has at least the numbered bundle in force.
func (f *Fleet) Await(ctx context.Context, number uint64) error {
	return Until(ctx, func() bool {
		for _, m := range f.Members() {
			s := m.Node.Bundles().Current()
			if s == nil || s.Number < number {
				return false
			}
		}
		return true
	})
}

// Until waits until a condition holds or ctx ends.
func Until(ctx context.Context, condition func() bool) error {
	tick := time.NewTicker(readyPoll)
	defer tick.Stop()
	for !condition() {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return fmt.Errorf("fleet: condition not reached: %w", ctx.Err())
		}
	}
	return nil
}

// Pause blocks every link of an instance, as its freeze does.
func (f *Fleet) Pause(name string) {
	f.Network.Block("pause "+name, func(from, to Site) bool { return from == Site(name) || to == Site(name) })
}

// Resume ends a pause.
func (f *Fleet) Resume(name string) { f.Network.Open("pause " + name) }

// Close stops everything at once.
func (f *Fleet) Close() {
	f.Network.OpenAll()
	for _, m := range f.Members() {
		f.Kill(m)
	}
	for _, s := range f.servers {
		s.Close()
	}
}

// RunsOf counts the engines' runs whose prompt contains a text.
func (f *Fleet) RunsOf(text string) int {
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
