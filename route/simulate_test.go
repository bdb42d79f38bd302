package route

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"pumiceshelf/admit"
	"pumiceshelf/api"
)

const (
	simEndpoints = 4 // in each of three domains
	simInstances = 2 // in each of three domains
	simSlots     = 8
	simPrefixes  = 400
	simCache     = 40 // prefixes that an engine keeps
	simTokens    = 100
	simStep      = 8 * time.Millisecond
	simMiss      = 900 * time.Millisecond
	simHit       = 90 * time.Millisecond
	simTime      = 2 * time.Minute
	simReportLag = time.Second
)

// job is one request of a simulation.
type job struct {
	balancer int
	prefix   uint64
	at       time.Time
	tokens   int
	place    admit.Slot
	started  time.Time
	first    time.Duration
}

// engine runs a few requests at once, queues others and keeps the latest prefixes.
type engine struct {
	running int
	waiting []*job
	cache   []uint64
	// slow multiplies its times. It reports nothing if mute and an idle engine if lying.
	slow        float64
	mute, lying bool
	hits, total int
}

func (e *engine) prefill(prefix uint64) time.Duration {
	e.total++
	i := slices.Index(e.cache, prefix)
	if i >= 0 {
		e.hits++
		e.cache = slices.Delete(e.cache, i, i+1)
	}
	e.cache = append(e.cache, prefix)
	if len(e.cache) > simCache {
		e.cache = e.cache[1:]
	}
	if i >= 0 {
		return simHit
	}
	return simMiss
}

// event of a simulation at a time.
type event struct {
	at    time.Time
	order int
	run   func()
}

type events []event

func (h events) Len() int { return len(h) }
func (h events) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].order < h[j].order
}
func (h events) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *events) Push(x any)   { *h = append(*h, x.(event)) }
func (h *events) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

// world is a fleet of balancers before engines, in virtual time.
type world struct {
	clockAt   time.Time
	events    events
	order     int
	random    *rand.Rand
	balancers []*fixture
	engines   map[string]*engine
	queues    [][]*job
	latencies []time.Duration
	worst     int
}

func newWorld(seed uint64, policy string, spoil func(map[string]*engine)) *world {
	domains := []string{"a", "b", "c"}
	b := testBundle(1, simEndpoints, simSlots, domains...)
	all := instances(simInstances, domains...)
	w := &world{random: rand.New(rand.NewPCG(seed, 1)), engines: map[string]*engine{}}
	for i := range all {
		w.balancers = append(w.balancers, newFixture(b, all, i, policy))
		w.balancers[i].balancer.random.Store(seed*1000 + uint64(i))
	}
	w.queues = make([][]*job, len(all))
	w.clockAt = w.balancers[0].clock.Now()
	for _, e := range b.Endpoints {
		w.engines[e.Id] = &engine{slow: 1}
	}
	spoil(w.engines)
	return w
}

func (w *world) after(d time.Duration, run func()) {
	w.order++
	heap.Push(&w.events, event{at: w.clockAt.Add(d), order: w.order, run: run})
}

// run offers a load, as a share of the engines' capacity without cache hits, for simTime.
func (w *world) run(load float64) {
	rate := load * float64(len(w.engines)*simSlots) / (simMiss + simTokens*simStep).Seconds()
	start := w.clockAt
	var report func()
	report = func() {
		w.report()
		if w.clockAt.Sub(start) < simTime {
			w.after(simReportLag, report)
		}
	}
	w.after(0, report)
	var arrive func()
	arrive = func() {
		if w.clockAt.Sub(start) < simTime {
			w.admit(w.draw())
			w.after(time.Duration(w.random.ExpFloat64()/rate*float64(time.Second)), arrive)
		}
	}
	w.after(0, arrive)
	for len(w.events) > 0 {
		e := heap.Pop(&w.events).(event)
		for _, b := range w.balancers {
			b.clock.Advance(e.at.Sub(w.clockAt))
		}
		w.clockAt = e.at
		e.run()
	}
}

// draw makes a request whose prefix is one of a few often and one of many seldom.
func (w *world) draw() *job {
	rank := math.Pow(simPrefixes, w.random.Float64())
	return &job{
		balancer: w.random.IntN(len(w.balancers)), prefix: mix(uint64(rank)), at: w.clockAt,
		tokens: simTokens/2 + w.random.IntN(simTokens),
	}
}

func (w *world) admit(j *job) {
	w.queues[j.balancer] = append(w.queues[j.balancer], j)
	w.dispatch(j.balancer)
}

func (w *world) dispatch(i int) {
	for len(w.queues[i]) > 0 {
		j := w.queues[i][0]
		p, a := w.balancers[i].acquire(admit.Target{Prefix: j.prefix})
		if a != admit.Acquired {
			return
		}
		w.queues[i] = w.queues[i][1:]
		j.place, j.started = p, w.clockAt
		e := w.engines[p.Endpoint]
		e.waiting = append(e.waiting, j)
		w.start(e)
	}
}

// start runs the engine's waiting requests while it has slots.
func (w *world) start(e *engine) {
	for e.running < simSlots && len(e.waiting) > 0 {
		j := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.running++
		prefill := time.Duration(float64(e.prefill(j.prefix)) * e.slow)
		j.first = w.clockAt.Add(prefill).Sub(j.started)
		w.after(prefill+time.Duration(float64(j.tokens)*e.slow*float64(simStep)), func() { w.finish(e, j) })
	}
}

func (w *world) finish(e *engine, j *job) {
	e.running--
	w.start(e)
	w.latencies = append(w.latencies, w.clockAt.Sub(j.at))
	w.balancers[j.balancer].balancer.Release(j.place, admit.Result{TimeToFirstToken: j.first, TotalTime: w.clockAt.Sub(j.started), Tokens: uint64(j.tokens)})
	w.dispatch(j.balancer)
}

// report takes the engines' loads and lets every balancer hear them after the lag.
func (w *world) report() {
	var loads []*api.EndpointLoad
	least, most := math.MaxInt, 0
	for id, e := range w.engines {
		n := e.running + len(e.waiting)
		least, most = min(least, n), max(most, n)
		l := &api.EndpointLoad{Endpoint: id, Running: uint32(e.running), Waiting: uint32(len(e.waiting)), ReportedUnixMs: w.clockAt.UnixMilli()}
		if e.lying {
			l.Running, l.Waiting = 0, 0
		}
		if !e.mute {
			loads = append(loads, l)
		}
	}
	w.worst = max(w.worst, most-least)
	w.after(simReportLag, func() {
		for i, b := range w.balancers {
			b.balancer.ApplyReport(loads, nil)
			b.balancer.table.Load().groups[testGroup].observePace()
			w.dispatch(i)
		}
	})
}

// figures of one simulation.
type figures struct {
	hits     float64
	p50, p99 time.Duration
	worst    int
}

func simulate(seed uint64, policy string, load float64, spoil func(map[string]*engine)) figures {
	w := newWorld(seed, policy, spoil)
	w.run(load)
	hits, total := 0, 0
	for _, e := range w.engines {
		hits += e.hits
		total += e.total
	}
	slices.Sort(w.latencies)
	at := func(q float64) time.Duration {
		return w.latencies[int(q*float64(len(w.latencies)-1))].Round(time.Millisecond)
	}
	return figures{hits: float64(hits) / float64(total), p50: at(0.5), p99: at(0.99), worst: w.worst}
}

// TestPolicies compares the policies on the same loads.
func TestPolicies(t *testing.T) {
	healthy := func(map[string]*engine) {}
	slowLiar := func(all map[string]*engine) { all["a-e0"].slow, all["a-e0"].lying = 4, true }
	mute := func(all map[string]*engine) {
		for _, e := range all {
			e.mute = true
		}
	}
	compare := func(name string, load float64, spoil func(map[string]*engine)) map[string]figures {
		out := map[string]figures{}
		for _, policy := range []string{PolicyAffinity, PolicyLeastLoaded, PolicyRandom, PolicyRoundRobin} {
			f := simulate(1, policy, load, spoil)
			t.Logf("%s, %s: hits %.3f p50 %s p99 %s imbalance %d", name, policy, f.hits, f.p50, f.p99, f.worst)
			out[policy] = f
		}
		return out
	}
	for _, f := range []map[string]figures{
		compare("load 0.7", 0.7, healthy), compare("load 1.1", 1.1, healthy), compare("no reports", 0.7, mute),
	} {
		Convey("Affinity finds more prefixes in cache at no cost to the slowest requests", t, func() {
			So(f[PolicyAffinity].hits, ShouldBeGreaterThan, 1.15*f[PolicyRandom].hits)
			So(f[PolicyAffinity].p50, ShouldBeLessThan, f[PolicyRandom].p50)
			So(f[PolicyAffinity].p99, ShouldBeLessThanOrEqualTo, f[PolicyRandom].p99)
		})
	}
	f := compare("one of twelve four times slower, reports idle", 0.7, slowLiar)
	Convey("An endpoint that is slow and says that it is idle is found out by its pace", t, func() {
		So(f[PolicyAffinity].p99, ShouldBeLessThan, f[PolicyRandom].p99*3/4)
	})
}
