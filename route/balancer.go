package route

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"

	"pumiceshelf/admit"
	"pumiceshelf/api"
	"pumiceshelf/bundle"
	"pumiceshelf/instance"
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

// Acquire takes a place at an endpoint of the group.
func (b *Balancer) Acquire(name string, t admit.Target) (admit.Place, admit.Availability) {
	g := b.table.Load().groups[name]
	if g == nil {
		b.meters.gone.Inc(1)
		return admit.Place{}, admit.Gone
	}
	c := chooser{now: b.config.Clock.Now(), target: t, random: b.random.Add(golden), policy: b.policy}
	out := c.choose(g)
	switch out.availability {
	case admit.Busy:
		b.meters.busy.Inc(1)
		return admit.Place{}, admit.Busy
	case admit.Gone:
		b.meters.gone.Inc(1)
		return admit.Place{}, admit.Gone
	}
	b.meters.chosen[out.kind].Inc(1)
	return admit.Place{Endpoint: out.state.id, Handle: out.state}, admit.Chosen
}

// Places returns about how many requests of the group this instance may run at once now.
func (b *Balancer) Places(name string) int {
	g := b.table.Load().groups[name]
	if g == nil {
		return 0
	}
	return g.places(b.config.Clock.Now())
}

// Release gives a place back and learns from how the request went.
func (b *Balancer) Release(p admit.Place, r admit.Result) {
	s := p.Handle.(*state)
	s.give()
	b.learn(s, r)
	for _, g := range b.table.Load().memberships[s] {
		b.room(g.name)
	}
}

// OnRoom sets the function that is called when a group may have room again.
func (b *Balancer) OnRoom(f func(group string)) { b.onRoom.Store(&f) }

func (b *Balancer) room(name string) {
	if f := b.onRoom.Load(); f != nil {
		(*f)(name)
	}
}

// learn takes in the result of a request.
func (b *Balancer) learn(s *state, r admit.Result) {
	switch {
	case r.Busy:
		b.meters.full.Inc(1)
		s.limit.full()
	case r.Failed, r.Silent:
		b.fail(s, r.Silent)
	case r.Whole() && r.Total > 0:
		b.succeed(s, r)
	}
}

func (b *Balancer) succeed(s *state, r admit.Result) {
	s.health.succeeded()
	s.pace.observe(r)
	pressed := b.table.Load().pressed(b.config.Clock.Now(), s)
	if s.limit.completed(firstToken(r), pressed) {
		b.meters.slowed.Inc(1)
		b.config.Log.Debugf("route: limit of %s lowered to %d, first tokens are slow", s.id, s.limit.get())
	}
}

func (b *Balancer) fail(s *state, silent bool) {
	b.meters.failures.Inc(1)
	if silent {
		b.meters.silent.Inc(1)
	}
	s.limit.failed()
	if s.health.failed(silent) >= int64(b.config.Settings.EjectAfterFailures) {
		b.eject(s)
	}
}

// eject takes an endpoint out of rotation unless that would take most of one of its groups.
func (b *Balancer) eject(s *state) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.config.Clock.Now()
	if s.health.ejected(now) {
		return
	}
	groups := b.table.Load().memberships[s]
	for _, g := range groups {
		if g.ejected(now)+1 > g.ejectedMax() {
			b.meters.withheld.Inc(1)
			return
		}
	}
	d := s.health.eject(now, b.config.Settings.EjectionTime.AsDuration(), int64(b.config.Settings.EjectAfterFailures))
	s.limit.restart()
	for _, g := range groups {
		invariant.Check(g.ejected(now) <= g.ejectedMax(), "route", "%d of %d endpoints of %s ejected", g.ejected(now), g.size(), g.name)
	}
	b.meters.ejected.Inc(1)
	b.config.Log.Warnf("route: %s ejected for %s", s.id, d)
}

// ejected returns how many endpoints of the group are out of rotation.
func (g *group) ejected(now time.Time) int {
	n := 0
	g.each(func(s *state) {
		if s.health.ejected(now) {
			n++
		}
	})
	return n
}

// ejectedMax returns how many endpoints of the group may be out of rotation at once.
func (g *group) ejectedMax() int { return g.size() / 2 }

// SetLeaving takes in the platform's list of endpoints that leave.
func (b *Balancer) SetLeaving(ids []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.leaving.setPlatform(ids)
	b.markLeaving()
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

// rebuild swaps in a table of the bundle in force and the view of now.
func (b *Balancer) rebuild() {
	snap := b.config.Bundles.Current()
	if snap == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	t := build(snap, b.fleet(), b.table.Load(), b.config.Settings.InitialConcurrency)
	b.table.Store(t)
	b.leaving.forget(b.config.Clock.Now(), func(id string) bool { return t.states[id] != nil })
	b.markLeaving()
	b.meters.endpoints.Update(int64(len(t.states)))
}

// fleet counts the live instances that share endpoints with this one.
func (b *Balancer) fleet() fleet {
	domain := instance.Domain(b.config.Self.Domain)
	return fleet{
		domain:   domain,
		inDomain: b.rank(b.config.View.Live(domain)),
		inFleet:  b.rank(b.liveElsewhere()),
	}
}

// liveElsewhere returns the live instances of all domains, which may spill over to any endpoint.
func (b *Balancer) liveElsewhere() []*api.Instance {
	var out []*api.Instance
	for _, m := range b.config.View.Members() {
		if m.Live && !m.Instance.Leaving {
			out = append(out, m.Instance)
		}
	}
	return out
}

// rank returns this instance's place among others, counting itself even if it is not listed.
func (b *Balancer) rank(live []*api.Instance) sharers {
	for i, l := range live {
		if l.Incarnation == b.config.Self.Incarnation {
			return sharers{count: len(live), rank: i}
		}
	}
	return sharers{count: len(live) + 1, rank: len(live)}
}

// Run follows the bundle and the view and polls load reports until ctx ends.
func (b *Balancer) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return b.follow(ctx) })
	group.Go(func() error { return b.poll(ctx) })
	return group.Wait()
}

// followInterval is the time between looks at ejections and leaving endpoints that time has changed.
const followInterval = 100 * time.Millisecond

func (b *Balancer) follow(ctx context.Context) error {
	ticker := b.config.Clock.NewTicker(followInterval)
	defer ticker.Stop()
	for {
		bundles, view := b.config.Bundles.Changed(), b.config.View.Changed()
		b.rebuildIfChanged()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-bundles:
			b.rebuild()
			b.room("")
		case <-view:
			b.rebuild()
			b.room("")
		case <-ticker.Chan():
			b.tick()
		}
	}
}

// rebuildIfChanged catches a bundle that came in force between two waits.
func (b *Balancer) rebuildIfChanged() {
	snap := b.config.Bundles.Current()
	if snap != nil && snap.Number != b.table.Load().number {
		b.rebuild()
	}
}

// tick lets ejections and peers' words end.
func (b *Balancer) tick() {
	now := b.config.Clock.Now()
	out, returned := 0, false
	t := b.table.Load()
	for id, s := range t.states {
		if s.health.ejected(now) {
			out++
		}
		if s.health.takeReturn(now) {
			returned = true
			b.returned(id)
		}
	}
	b.meters.outNow.Update(int64(out))
	b.mu.Lock()
	b.leaving.forget(now, func(id string) bool { return t.states[id] != nil })
	b.markLeaving()
	b.mu.Unlock()
	if returned {
		b.room("")
	}
}

func (b *Balancer) returned(id string) {
	b.meters.returned.Inc(1)
	if b.config.Repairs != nil {
		b.config.Repairs.Add("route", fmt.Sprintf("%s back in rotation after its ejection", id))
	}
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
