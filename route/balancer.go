package route

import (
	"math/rand/v2"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"

	"pumiceshelf/admit"
	"pumiceshelf/api"
	"pumiceshelf/bundle"
	"pumiceshelf/invariant"
	"pumiceshelf/peer"
	"pumiceshelf/telemetry"
	"pumiceshelf/trace"
)

// Config configures a Balancer.
type Config struct {
	Settings *api.RouteSettings
	Self     *api.Instance
	Clock    clockwork.Clock
	Log      log.Interface
	Metrics  metrics.Registry
	Bundles  bundle.Source
	View     peer.View
	Loads    LoadSource
	// Seed of the random number generator; zero means a random seed.
	Seed uint64
	// Policy is one of the Policy constants; empty means PolicyAffinity.
	Policy string
	// Traces and Repairs may be nil.
	Traces  *trace.Store
	Repairs *telemetry.Repairs
}

// Balancer chooses endpoints and records their health, load and limits. It implements admit.Chooser.
type Balancer struct {
	config      Config
	policy      policy
	counters    *counters
	table       atomic.Pointer[table]
	randomState atomic.Uint64
	onSlotFree  atomic.Pointer[func(group string)]
	// staleness defers requests while the information about endpoints is too old.
	staleness stalenessGuard

	mu       sync.Mutex
	draining *drainingSources
	// localLoads are the load reports that this instance fetched itself, by endpoint ID.
	localLoads map[string]*api.EndpointLoad
}

var _ admit.Chooser = (*Balancer)(nil)

// New returns a balancer for the endpoints of the active bundle. An unknown policy stops the process.
func New(c Config) *Balancer {
	p, err := parsePolicy(c.Policy)
	invariant.Check(err == nil, "route", "%v", err)
	b := &Balancer{
		config:     c,
		policy:     p,
		counters:   newCounters(c.Metrics),
		draining:   newDrainingSources(),
		localLoads: make(map[string]*api.EndpointLoad),
		staleness:  stalenessGuard{maxAge: staleAfterIntervals * c.Settings.ReportInterval.AsDuration()},
	}
	seed := c.Seed
	if seed == 0 {
		seed = rand.Uint64()
	}
	b.randomState.Store(seed)
	b.table.Store(&table{shares: b.currentShares()})
	b.rebuild()
	return b
}

// group returns a group, or nil. If the group is missing and the active bundle is newer than the table, it rebuilds the
// table first: a request may refer to a bundle that has just become active.
func (b *Balancer) group(name string) *group {
	t := b.table.Load()
	if g := t.groups[name]; g != nil {
		return g
	}
	if snap := b.config.Bundles.Current(); snap == nil || snap.Number == t.bundleNumber {
		return nil
	}
	b.rebuild()
	return b.table.Load().groups[name]
}

// Acquire implements admit.Chooser. It chooses an endpoint of the group and acquires one of its slots.
func (b *Balancer) Acquire(name string, t admit.Target) (admit.Slot, admit.Availability) {
	g := b.group(name)
	if g == nil {
		b.counters.noEndpoint.Inc(1)
		return admit.Slot{}, admit.NoEndpoint
	}
	now := b.config.Clock.Now()
	if b.staleness.deferring(now) {
		b.counters.deferred.Inc(1)
		return admit.Slot{}, admit.Busy
	}
	c := chooser{now: now, target: t, randomState: b.randomState.Add(splitMix64Increment), policy: b.policy}
	out := c.choose(g)
	switch out.availability {
	case admit.Busy:
		b.counters.busy.Inc(1)
		return admit.Slot{}, admit.Busy
	case admit.NoEndpoint:
		b.counters.noEndpoint.Inc(1)
		return admit.Slot{}, admit.NoEndpoint
	}
	b.counters.chosen[out.kind].Inc(1)
	return admit.Slot{Endpoint: out.state.id, Handle: out.state}, admit.Acquired
}

// Capacity implements admit.Chooser. The result is approximate, see group.capacity.
func (b *Balancer) Capacity(name string) int {
	g := b.group(name)
	if g == nil {
		return 0
	}
	return g.capacity(b.config.Clock.Now())
}

// Release implements admit.Chooser. It releases a slot and records the result of its request.
func (b *Balancer) Release(slot admit.Slot, r admit.Result) {
	s := slot.Handle.(*endpointState)
	s.release()
	b.recordResult(s, r)
	for _, g := range b.table.Load().memberships[s] {
		b.notifyCapacity(g.name)
	}
}

// OnSlotFree implements admit.Chooser.
func (b *Balancer) OnSlotFree(f func(group string)) { b.onSlotFree.Store(&f) }

// notifyCapacity calls the function set by OnSlotFree: a group, or any group if name is empty, may have capacity again.
func (b *Balancer) notifyCapacity(name string) {
	if f := b.onSlotFree.Load(); f != nil {
		(*f)(name)
	}
}

// SetDraining sets the platform's list of draining endpoints.
func (b *Balancer) SetDraining(ids []string) {
	b.mu.Lock()
	b.draining.setPlatform(ids)
	b.updateDraining()
	b.mu.Unlock()
	b.recordUpdate()
}

// recordUpdate records that the platform, a peer or the endpoints reported the state of endpoints. The caller must not
// hold b.mu.
func (b *Balancer) recordUpdate() {
	if b.staleness.recordUpdate(b.config.Clock.Now()) {
		b.config.Log.Infof("route: endpoint information is up to date again, resuming requests")
		b.notifyCapacity("")
	}
}

// updateDraining updates the draining flags of the endpoints. The caller must hold b.mu.
func (b *Balancer) updateDraining() {
	now := b.config.Clock.Now()
	n := 0
	for id, s := range b.table.Load().states {
		draining := b.draining.contains(now, id)
		if draining {
			n++
		}
		if s.draining.Swap(draining) != draining {
			b.config.Log.Infof("route: endpoint %s draining: %t", id, draining)
		}
	}
	b.counters.drainingNow.Update(int64(n))
}

// Status returns the state of each endpoint as this instance sees it, ordered by ID.
func (b *Balancer) Status() []*api.EndpointStatus {
	now := b.config.Clock.Now()
	t := b.table.Load()
	out := make([]*api.EndpointStatus, 0, len(t.states))
	for _, s := range t.states {
		out = append(out, s.status(now))
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Endpoint < out[j].Endpoint })
	return out
}

func (s *endpointState) status(now time.Time) *api.EndpointStatus {
	st := &api.EndpointStatus{
		Endpoint:            s.id,
		Domain:              string(s.domain),
		InFlight:            uint32(s.inFlight.Load()),
		Limit:               uint32(s.limit.get()),
		Ejected:             s.health.ejected(now),
		Leaving:             s.draining.Load(),
		ConsecutiveFailures: uint64(s.health.failures.Load()),
	}
	if r := s.report.Load(); r != nil {
		st.LastReportUnixMs = r.receivedAt.UnixMilli()
	}
	return st
}
