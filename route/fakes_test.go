package route

import (
	"context"
	"flag"
	"fmt"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"
	"google.golang.org/protobuf/types/known/durationpb"

	"pumiceshelf/api"
	"pumiceshelf/bundle"
	"pumiceshelf/instance"
	"pumiceshelf/peer"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// fixedBundle is a bundle.Source whose bundle tests replace with set.
type fixedBundle struct {
	mu      sync.Mutex
	snap    *bundle.Snapshot
	changed chan struct{}
}

func newFixedBundle(b *api.Bundle) *fixedBundle {
	return &fixedBundle{snap: bundle.Compile(b), changed: make(chan struct{})}
}

func (f *fixedBundle) Current() *bundle.Snapshot {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.snap
}

func (f *fixedBundle) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

func (f *fixedBundle) set(b *api.Bundle) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.snap = bundle.Compile(b)
	close(f.changed)
	f.changed = make(chan struct{})
}

// fixedView is a peer.View in which all instances are live.
type fixedView struct {
	self *api.Instance
	all  []*api.Instance
}

func (v *fixedView) Self() *api.Instance      { return v.self }
func (v *fixedView) Changed() <-chan struct{} { return nil }
func (v *fixedView) Members() []peer.Member {
	var out []peer.Member
	for _, i := range v.all {
		out = append(out, peer.Member{Instance: i, Live: true})
	}
	return out
}
func (v *fixedView) Live(d instance.Domain) []*api.Instance {
	var out []*api.Instance
	for _, i := range v.all {
		if i.Domain == string(d) {
			out = append(out, i)
		}
	}
	return out
}
func (v *fixedView) Ranked(string) []*api.Instance { return v.Live(instance.Domain(v.self.Domain)) }
func (v *fixedView) Owner(topic string) *api.Instance {
	var best *api.Instance
	var high uint64
	for _, i := range v.Live(instance.Domain(v.self.Domain)) {
		if h := xxhash.Sum64String(topic + i.Incarnation); best == nil || h > high {
			best, high = i, h
		}
	}
	return best
}

// instances returns perDomain instances in each domain.
func instances(perDomain int, domains ...string) []*api.Instance {
	var out []*api.Instance
	for _, d := range domains {
		for i := range perDomain {
			name := fmt.Sprintf("%s-%d", d, i)
			out = append(out, &api.Instance{Name: name, Incarnation: name + "~1", Domain: d})
		}
	}
	return out
}

const testModel = "agro"

var testGroup = bundle.ModelGroup(testModel)

// testBundle returns a bundle with perDomain endpoints of testModel in each domain.
func testBundle(number uint64, perDomain int, concurrency uint32, domains ...string) *api.Bundle {
	b := &api.Bundle{Number: number, Models: []*api.Model{{Id: testModel}}}
	for _, d := range domains {
		for i := range perDomain {
			id := fmt.Sprintf("%s-e%d", d, i)
			b.Endpoints = append(b.Endpoints, &api.Endpoint{
				Id: id, Domain: d, Url: "http://" + id, Models: []string{testModel}, Concurrency: concurrency,
			})
		}
	}
	return b
}

// scriptedLoads is a LoadSource that returns loads from a map by URL and fails for other URLs.
type scriptedLoads struct {
	mu    sync.Mutex
	loads map[string]*api.EndpointLoad
}

func (s *scriptedLoads) Load(_ context.Context, url string, _ bool) (*api.EndpointLoad, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if l := s.loads[url]; l != nil {
		return l, nil
	}
	return nil, fmt.Errorf("no load for %s", url)
}

func testSettings() *api.RouteSettings {
	return &api.RouteSettings{
		InitialConcurrency: 8,
		EjectAfterFailures: 5,
		EjectionTime:       durationpb.New(5 * time.Second),
		RetryPercent:       10,
		ReportInterval:     durationpb.New(time.Second),
	}
}

// fixture is a balancer with its fakes.
type fixture struct {
	clock    *clockwork.FakeClock
	bundles  *fixedBundle
	loads    *scriptedLoads
	balancer *Balancer
}

// newFixture returns the balancer of the instance all[self].
func newFixture(b *api.Bundle, all []*api.Instance, self int, policy string) *fixture {
	f := &fixture{clock: clockwork.NewFakeClock(), bundles: newFixedBundle(b), loads: &scriptedLoads{loads: map[string]*api.EndpointLoad{}}}
	f.balancer = New(Config{
		Settings: testSettings(), Self: all[self], Clock: f.clock, Log: &log.Logger{Handler: discard.Default},
		Metrics: metrics.NewRegistry(), Bundles: f.bundles, View: &fixedView{self: all[self], all: all}, Loads: f.loads,
		Seed: 1, Policy: policy,
	})
	return f
}
