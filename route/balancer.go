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
	"pumiceshelf/story"
	"pumiceshelf/telemetry"
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
	Traces  *story.Store
	Repairs *telemetry.Repairs
}

// Balancer chooses endpoints and records their health, load and limits. It implements admit.Chooser.
type Balancer struct {
	config      Config
	policy      policy
	meters      *meters
	table       atomic.Pointer[table]
	randomState atomic.Uint64
	onCapacity  atomic.Pointer[func(group string)]
	// staleness defers requests while the information about endpoints is too old.
	staleness stalenessGuard

	mu       sync.Mutex
	draining *drainingSources
	// localLoads are the load reports that this instance fetched itself, by endpoint id.
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
		meters:     newMeters(c.Metrics),
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

// Acquire reserves capacity for one request at an endpoint of the group.
func (b *Balancer) Acquire(name string, t admit.Target) (admit.Slot, admit.Availability) {
	g := b.group(name)
	if g == nil {
		b.meters.noEndpoint.Inc(1)
		return admit.Slot{}, admit.NoEndpoint
	}
	now := b.config.Clock.Now()
	if b.staleness.deferring(now) {
		b.meters.deferred.Inc(1)
		return admit.Slot{}, admit.Busy
	}
	c := chooser{now: now, target: t, randomState: b.randomState.Add(splitMix64Increment), policy: b.policy}
	out := c.choose(g)
	switch out.availability {
	case admit.Busy:
		b.meters.busy.Inc(1)
		return admit.Slot{}, admit.Busy
	case admit.NoEndpoint:
		b.meters.noEndpoint.Inc(1)
		return admit.Slot{}, admit.NoEndpoint
	}
	b.meters.chosen[out.kind].Inc(1)
	return admit.Slot{Endpoint: out.state.id, Handle: out.state}, admit.Acquired
}

// Places returns approximately how many requests of the group this instance may run concurrently.
func (b *Balancer) Capacity(name string) int {
	g := b.group(name)
	if g == nil {
		return 0
	}
	return g.capacity(b.config.Clock.Now())
}

// Release returns the capacity of a request and records the request's result.
func (b *Balancer) Release(p admit.Slot, r admit.Result) {
	s := p.Handle.(*endpointState)
	s.release()
	b.recordResult(s, r)
	for _, g := range b.table.Load().memberships[s] {
		b.notifyCapacity(g.name)
	}
}

// OnRoom sets the function that is called when a group may have capacity again; the group "" means any group.
func (b *Balancer) OnSlotFree(f func(group string)) { b.onCapacity.Store(&f) }

// notifyCapacity reports that a group, or any group if name is empty, may have capacity again.
func (b *Balancer) notifyCapacity(name string) {
	if f := b.onCapacity.Load(); f != nil {
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
	b.meters.drainingNow.Update(int64(n))
}

// Status returns the state of each endpoint as this instance sees it, ordered by id.
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
