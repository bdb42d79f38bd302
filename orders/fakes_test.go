package orders

import (
	"context"
	"errors"
	"flag"
	"os"
	"slices"
	"sync"
	"testing"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"

	"pumiceshelf/api"
	"pumiceshelf/bundle"
	"pumiceshelf/endpoint"
	"pumiceshelf/objectstore"
	"pumiceshelf/peer"
)

// memoryStore is a objectstore.Store whose answers tests can take away.
type memoryStore struct {
	objectstore.Store
	mu      sync.Mutex
	objects map[string]objectstore.Object
	version objectstore.Version
	down    bool
	// loseNext lets the next write take effect and loses its answer.
	loseNext bool
	writes   int
}

func (s *memoryStore) Get(_ context.Context, key string) (objectstore.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return objectstore.Object{}, objectstore.ErrUnavailable
	}
	if o, ok := s.objects[key]; ok {
		return o, nil
	}
	return objectstore.Object{}, objectstore.ErrNotFound
}

func (s *memoryStore) Put(_ context.Context, key string, value []byte, expected objectstore.Version) (objectstore.Version, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return 0, objectstore.ErrUnavailable
	}
	if s.objects[key].Version != expected {
		return 0, objectstore.ErrConflict
	}
	s.version++
	s.writes++
	s.objects[key] = objectstore.Object{Key: key, Version: s.version, Value: value}
	if s.loseNext {
		s.loseNext = false
		return 0, objectstore.ErrAmbiguous
	}
	return s.version, nil
}

// engines of the fleet by URL.
type fakeEngines struct {
	mu     sync.Mutex
	states map[string]*endpoint.State
	// checks says whether engines refuse old fencing numbers.
	checks bool
	dead   map[string]bool
	// before runs when an order arrives, before the engine sees it.
	before func(url string)
	// asked runs once, after a state has been read after skip others and before it is given.
	asked func()
	skip  int
	// loading and mostLoading count engines that load.
	mostLoading int
	orders      int
	// unserved is set when a model of need had no loaded engine after an order.
	need     []string
	unserved bool
}

func (f *fakeEngines) State(_ context.Context, url string) (endpoint.State, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.dead[url] {
		return endpoint.State{}, errors.New("dead")
	}
	s := *f.states[url]
	s.Models = append([]endpoint.ModelState(nil), s.Models...)
	if f.skip--; f.asked != nil && f.skip < 0 {
		run := f.asked
		f.asked = nil
		f.mu.Unlock()
		run()
		f.mu.Lock()
	}
	return s, nil
}

func (f *fakeEngines) Order(_ context.Context, url string, o endpoint.Order) error {
	if b := f.before; b != nil {
		f.before = nil
		b(url)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.states[url]
	if f.checks && o.Fence < s.Fence {
		return endpoint.ErrStaleFence
	}
	if f.checks {
		s.Fence = o.Fence
	}
	f.orders++
	old := s.Models
	s.Models, s.Role = nil, o.Role
	for _, m := range o.Models {
		m.State = endpoint.ModelLoading
		if find(old, func(h endpoint.ModelState) bool { return h.State == endpoint.ModelLoaded && matches(m, h) }) != nil {
			m.State = endpoint.ModelLoaded
		}
		s.Models = append(s.Models, m)
	}
	f.judge()
	return nil
}

func (f *fakeEngines) judge() {
	loadingNow := 0
	for _, s := range f.states {
		if find(s.Models, func(m endpoint.ModelState) bool { return m.State == endpoint.ModelLoading }) != nil {
			loadingNow++
		}
	}
	f.mostLoading = max(f.mostLoading, loadingNow)
	for _, model := range f.need {
		served := false
		for _, s := range f.states {
			served = served || serves(*s, model)
		}
		f.unserved = f.unserved || !served
	}
}

// finish ends all loads.
func (f *fakeEngines) finish() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.states {
		for i := range s.Models {
			s.Models[i].State = endpoint.ModelLoaded
		}
	}
}

func (f *fakeEngines) versions(model string) map[string]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := map[string]int{}
	for _, s := range f.states {
		for _, m := range s.Models {
			if m.ID == model {
				out[m.Version]++
			}
		}
	}
	return out
}

type fixedView struct {
	peer.View
	self  *api.Instance
	owner **api.Instance
}

func (v *fixedView) Self() *api.Instance        { return v.self }
func (v *fixedView) Owner(string) *api.Instance { return *v.owner }
func (v *fixedView) Changed() <-chan struct{}   { return nil }

type fixedBundle struct{ snap *bundle.Snapshot }

func (f *fixedBundle) Current() *bundle.Snapshot { return f.snap }
func (f *fixedBundle) Changed() <-chan struct{}  { return nil }

// fleet is one reconciler per instance over the same store and engines.
type fleet struct {
	clock   *clockwork.FakeClock
	store   *memoryStore
	engines *fakeEngines
	owners  map[string]**api.Instance
	bundles map[string]*fixedBundle
	rs      map[string]*Reconciler
}

// newFleet has two instances, NAME-0 and NAME-1, in each domain; the first is the owner.
func newFleet(b *api.Bundle, checks bool, domains ...string) *fleet {
	f := &fleet{
		clock:   clockwork.NewFakeClock(),
		store:   &memoryStore{objects: map[string]objectstore.Object{}},
		engines: &fakeEngines{states: map[string]*endpoint.State{}, checks: checks, dead: map[string]bool{}},
		owners:  map[string]**api.Instance{}, bundles: map[string]*fixedBundle{}, rs: map[string]*Reconciler{},
	}
	for _, e := range b.Endpoints {
		f.engines.states[e.Url] = &endpoint.State{}
	}
	for _, d := range domains {
		owner := new(*api.Instance)
		f.owners[d] = owner
		for _, n := range []string{"-1", "-0"} {
			self := &api.Instance{Name: d + n, Incarnation: d + n, Domain: d}
			*owner = self
			f.bundles[d+n] = &fixedBundle{snap: bundle.Compile(b)}
			f.rs[d+n] = New(Config{
				Self: self, Clock: f.clock, Log: &log.Logger{Handler: discard.Default}, Metrics: metrics.NewRegistry(),
				Store: f.store, View: &fixedView{self: self, owner: owner}, Bundles: f.bundles[d+n], Engine: f.engines,
			})
		}
	}
	return f
}

func (f *fleet) roll(b *api.Bundle, names ...string) {
	for n, fb := range f.bundles {
		if len(names) == 0 || slices.Contains(names, n) {
			fb.snap = bundle.Compile(b)
		}
	}
}

// settle runs rounds of the named reconcilers, with loads ending between them.
func (f *fleet) settle(rounds int, names ...string) {
	for range rounds {
		for _, n := range names {
			f.rs[n].round(context.Background())
		}
		f.engines.finish()
		f.clock.Advance(busyInterval)
	}
}

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}
