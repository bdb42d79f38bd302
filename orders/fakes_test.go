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

// memoryStore is an objectstore.Store in memory that can be unavailable and drop responses.
type memoryStore struct {
	objectstore.Store
	mu          sync.Mutex
	objects     map[string]objectstore.Object
	version     objectstore.Version
	unavailable bool
	// dropNextResponse makes the next write take effect but return ErrAmbiguous.
	dropNextResponse bool
	writes           int
}

func (s *memoryStore) Get(_ context.Context, key string) (objectstore.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unavailable {
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
	if s.unavailable {
		return 0, objectstore.ErrUnavailable
	}
	if s.objects[key].Version != expected {
		return 0, objectstore.ErrConflict
	}
	s.version++
	s.writes++
	s.objects[key] = objectstore.Object{Key: key, Version: s.version, Value: value}
	if s.dropNextResponse {
		s.dropNextResponse = false
		return 0, objectstore.ErrAmbiguous
	}
	return s.version, nil
}

// fakeEngines is an Engine that simulates all engines of the fleet.
type fakeEngines struct {
	mu     sync.Mutex
	states map[string]*endpoint.State
	// checkFences makes engines refuse old fencing numbers.
	checkFences bool
	unreachable map[string]bool
	// beforeOrder runs once, when an order arrives, before the engine processes it.
	beforeOrder func(url string)
	// onStateRead runs once, before State returns, after skipStateReads other reads.
	onStateRead    func()
	skipStateReads int
	// maxLoading is the highest number of engines that were loading at the same time.
	maxLoading int
	// orders counts the accepted orders.
	orders int
	// requiredModels must stay available: unserved is true if one had no loaded engine after an order.
	requiredModels []string
	unserved       bool
}

func (f *fakeEngines) State(_ context.Context, url string) (endpoint.State, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.unreachable[url] {
		return endpoint.State{}, errors.New("engine is unreachable")
	}
	s := *f.states[url]
	s.Models = append([]endpoint.ModelState(nil), s.Models...)
	if f.skipStateReads--; f.onStateRead != nil && f.skipStateReads < 0 {
		run := f.onStateRead
		f.onStateRead = nil
		f.mu.Unlock()
		run()
		f.mu.Lock()
	}
	return s, nil
}

func (f *fakeEngines) Order(_ context.Context, url string, o endpoint.Order) error {
	if b := f.beforeOrder; b != nil {
		f.beforeOrder = nil
		b(url)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.states[url]
	if f.checkFences && o.Fence < s.Fence {
		return endpoint.ErrStaleFence
	}
	if f.checkFences {
		s.Fence = o.Fence
	}
	f.orders++
	old := s.Models
	s.Models, s.Role = nil, o.Role
	for _, m := range o.Models {
		m.State = endpoint.ModelLoading
		if findModel(old, func(got endpoint.ModelState) bool { return got.State == endpoint.ModelLoaded && matches(m, got) }) != nil {
			m.State = endpoint.ModelLoaded
		}
		s.Models = append(s.Models, m)
	}
	f.recordLoadState()
	return nil
}

// recordLoadState updates maxLoading and unserved.
func (f *fakeEngines) recordLoadState() {
	loadingNow := 0
	for _, s := range f.states {
		if findModel(s.Models, func(m endpoint.ModelState) bool { return m.State == endpoint.ModelLoading }) != nil {
			loadingNow++
		}
	}
	f.maxLoading = max(f.maxLoading, loadingNow)
	for _, model := range f.requiredModels {
		served := false
		for _, s := range f.states {
			served = served || isLoaded(*s, model)
		}
		f.unserved = f.unserved || !served
	}
}

// finishLoads completes all loads.
func (f *fakeEngines) finishLoads() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.states {
		for i := range s.Models {
			s.Models[i].State = endpoint.ModelLoaded
		}
	}
}

// versions counts the engines at each version of a model.
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

// fixedView is a peer.View with an owner that tests set.
type fixedView struct {
	peer.View
	self  *api.Instance
	owner **api.Instance
}

func (v *fixedView) Self() *api.Instance        { return v.self }
func (v *fixedView) Owner(string) *api.Instance { return *v.owner }
func (v *fixedView) Changed() <-chan struct{}   { return nil }

// fixedBundle is a bundle.Source whose bundle tests replace.
type fixedBundle struct{ snap *bundle.Snapshot }

func (f *fixedBundle) Current() *bundle.Snapshot { return f.snap }
func (f *fixedBundle) Changed() <-chan struct{}  { return nil }

// testFleet has one reconciler per instance, with a common store and engines.
type testFleet struct {
	clock       *clockwork.FakeClock
	store       *memoryStore
	engines     *fakeEngines
	owners      map[string]**api.Instance
	bundles     map[string]*fixedBundle
	reconcilers map[string]*Reconciler
}

// newTestFleet returns a fleet of two instances per domain, DOMAIN-0 and DOMAIN-1; DOMAIN-0 is the owner.
func newTestFleet(b *api.Bundle, checkFences bool, domains ...string) *testFleet {
	f := &testFleet{
		clock:   clockwork.NewFakeClock(),
		store:   &memoryStore{objects: map[string]objectstore.Object{}},
		engines: &fakeEngines{states: map[string]*endpoint.State{}, checkFences: checkFences, unreachable: map[string]bool{}},
		owners:  map[string]**api.Instance{}, bundles: map[string]*fixedBundle{}, reconcilers: map[string]*Reconciler{},
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
			f.reconcilers[d+n] = New(Config{
				Self: self, Clock: f.clock, Log: &log.Logger{Handler: discard.Default}, Metrics: metrics.NewRegistry(),
				Store: f.store, View: &fixedView{self: self, owner: owner}, Bundles: f.bundles[d+n], Engine: f.engines,
			})
		}
	}
	return f
}

// setBundle sets the bundle of the named instances, or of all if none is named.
func (f *testFleet) setBundle(b *api.Bundle, names ...string) {
	for n, fb := range f.bundles {
		if len(names) == 0 || slices.Contains(names, n) {
			fb.snap = bundle.Compile(b)
		}
	}
}

// reconcileRounds runs rounds of the named instances' reconcilers. After each round all loads complete.
func (f *testFleet) reconcileRounds(rounds int, names ...string) {
	for range rounds {
		for _, n := range names {
			f.reconcilers[n].reconcile(context.Background())
		}
		f.engines.finishLoads()
		f.clock.Advance(busyInterval)
	}
}

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}
