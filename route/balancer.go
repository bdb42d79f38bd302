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

// Config of a Balancer.
type Config struct {
	Settings *api.RouteSettings
	Self     *api.Instance
	Clock    clockwork.Clock
	Log      log.Interface
	Metrics  metrics.Registry
	Bundles  bundle.Source
	View     peer.View
	Loads    LoadSource
	// Seed of the random choices; random if zero.
	Seed uint64
	// Policy is one of the Policy names; PolicyAffinity if empty.
	Policy string
	// Stories and Repairs may be nil.
	Stories *story.Book
	Repairs *telemetry.Repairs
}

// Balancer chooses endpoints and keeps what it learns of them. It implements admit.Chooser.
type Balancer struct {
	config Config
	policy policy
	meters *meters
	table  atomic.Pointer[table]
	random atomic.Uint64
	onRoom atomic.Pointer[func(group string)]
	// hearing holds requests back while what is known of endpoints is too old.
	hearing hearing

	mu      sync.Mutex
	leaving *leaving
	// local are the reports that this instance fetched itself.
	local map[string]*api.EndpointLoad
}

var _ admit.Chooser = (*Balancer)(nil)

// New returns a balancer with the endpoints of the bundle in force. An unknown policy stops the process.
func New(c Config) *Balancer {
	p, err := parsePolicy(c.Policy)
	invariant.Check(err == nil, "route", "%v", err)
	b := &Balancer{
		config:  c,
		policy:  p,
		meters:  newMeters(c.Metrics),
		leaving: newLeaving(),
		local:   make(map[string]*api.EndpointLoad),
		hearing: hearing{limit: silentIntervals * c.Settings.ReportInterval.AsDuration()},
	}
	seed := c.Seed
	if seed == 0 {
		seed = rand.Uint64()
	}
	b.random.Store(seed)
	b.table.Store(&table{fleet: b.fleet()})
	b.rebuild()
	return b
}

// group returns a group, or nil. A request may know a bundle that has just come in force before the table follows.
func (b *Balancer) group(name string) *group {
	t := b.table.Load()
	if g := t.groups[name]; g != nil {
		return g
	}
	if snap := b.config.Bundles.Current(); snap == nil || snap.Number == t.number {
		return nil
	}
	b.rebuild()
	return b.table.Load().groups[name]
}

// Acquire takes a place at an endpoint of the group.
func (b *Balancer) Acquire(name string, t admit.Target) (admit.Slot, admit.Availability) {
	g := b.group(name)
	if g == nil {
		b.meters.gone.Inc(1)
		return admit.Slot{}, admit.NoEndpoint
	}
	now := b.config.Clock.Now()
	if b.hearing.silent(now) {
		b.meters.heldBack.Inc(1)
		return admit.Slot{}, admit.Busy
	}
	c := chooser{now: now, target: t, random: b.random.Add(golden), policy: b.policy}
	out := c.choose(g)
	switch out.availability {
	case admit.Busy:
		b.meters.busy.Inc(1)
		return admit.Slot{}, admit.Busy
	case admit.NoEndpoint:
		b.meters.gone.Inc(1)
		return admit.Slot{}, admit.NoEndpoint
	}
	b.meters.chosen[out.kind].Inc(1)
	return admit.Slot{Endpoint: out.state.id, Handle: out.state}, admit.Acquired
}

// Places returns about how many requests of the group this instance may run at once now.
func (b *Balancer) Capacity(name string) int {
	g := b.group(name)
	if g == nil {
		return 0
	}
	return g.places(b.config.Clock.Now())
}

// Release gives a place back and learns from how the request went.
func (b *Balancer) Release(p admit.Slot, r admit.Result) {
	s := p.Handle.(*state)
	s.give()
	b.learn(s, r)
	for _, g := range b.table.Load().memberships[s] {
		b.room(g.name)
	}
}

// OnRoom sets the function that is called when a group may have room again.
func (b *Balancer) OnSlotFree(f func(group string)) { b.onRoom.Store(&f) }

func (b *Balancer) room(name string) {
	if f := b.onRoom.Load(); f != nil {
		(*f)(name)
	}
}

// SetLeaving takes in the platform's list of endpoints that leave.
func (b *Balancer) SetLeaving(ids []string) {
	b.mu.Lock()
	b.leaving.setPlatform(ids)
	b.markLeaving()
	b.mu.Unlock()
	b.heard()
}

// heard notes that the platform, a peer or endpoints said how endpoints are. The lock must not be held.
func (b *Balancer) heard() {
	if b.hearing.heard(b.config.Clock.Now()) {
		b.config.Log.Infof("route: hears of endpoints again, requests go on")
		b.room("")
	}
}

// markLeaving brings the endpoints' leaving marks up to date. The lock is held.
func (b *Balancer) markLeaving() {
	now := b.config.Clock.Now()
	n := 0
	for id, s := range b.table.Load().states {
		is := b.leaving.is(now, id)
		if is {
			n++
		}
		if s.leaving.Swap(is) != is {
			b.config.Log.Infof("route: %s leaving: %t", id, is)
		}
	}
	b.meters.leavingNow.Update(int64(n))
}

// Status returns what this instance knows of each endpoint, in order of ids.
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

func (s *state) status(now time.Time) *api.EndpointStatus {
	st := &api.EndpointStatus{
		Endpoint:            s.id,
		Domain:              string(s.domain),
		InFlight:            uint32(s.inFlight.Load()),
		Limit:               uint32(s.limit.get()),
		Ejected:             s.health.ejected(now),
		Leaving:             s.leaving.Load(),
		ConsecutiveFailures: uint64(s.health.failures.Load()),
	}
	if r := s.report.Load(); r != nil {
		st.LastReportUnixMs = r.at.UnixMilli()
	}
	return st
}
