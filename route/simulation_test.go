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
	simEndpoints      = 4 // per domain
	simInstances      = 2 // per domain
	simSlots          = 8
	simPrefixes       = 400
	simCacheSize      = 40 // prefixes that an engine caches
	simTokens         = 100
	simTokenTime      = 8 * time.Millisecond
	simMissPrefill    = 900 * time.Millisecond
	simHitPrefill     = 90 * time.Millisecond
	simDuration       = 2 * time.Minute
	simReportInterval = time.Second
)

// simRequest is one request of a simulation.
type simRequest struct {
	balancer   int
	prefix     uint64
	arrivedAt  time.Time
	tokens     int
	slot       admit.Slot
	startedAt  time.Time
	firstToken time.Duration
}

// simEngine runs up to simSlots requests concurrently, queues the others and caches the most recently used prefixes.
type simEngine struct {
	running int
	waiting []*simRequest
	cache   []uint64
	// slowdown multiplies the engine's times. The engine sends no load reports if noReports is set, and reports of an idle
	// engine if reportsIdle is set.
	slowdown               float64
	noReports, reportsIdle bool
	cacheHits, prefills    int
}

func (e *simEngine) prefill(prefix uint64) time.Duration {
	e.prefills++
	i := slices.Index(e.cache, prefix)
	if i >= 0 {
		e.cacheHits++
		e.cache = slices.Delete(e.cache, i, i+1)
	}
	e.cache = append(e.cache, prefix)
	if len(e.cache) > simCacheSize {
		e.cache = e.cache[1:]
	}
	if i >= 0 {
		return simHitPrefill
	}
	return simMissPrefill
}

// event is a function that runs at a time of the simulation; sequence orders events of the same time.
type event struct {
	at       time.Time
	sequence int
	run      func()
}

type events []event

func (h events) Len() int { return len(h) }
func (h events) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].sequence < h[j].sequence
}
func (h events) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *events) Push(x any)   { *h = append(*h, x.(event)) }
func (h *events) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

// simulation runs a fleet of balancers and engines in virtual time.
type simulation struct {
	now          time.Time
	events       events
	sequence     int
	random       *rand.Rand
	balancers    []*fixture
	engines      map[string]*simEngine
	queues       [][]*simRequest
	latencies    []time.Duration
	maxImbalance int
}

func newSimulation(seed uint64, policy string, setFaults func(map[string]*simEngine)) *simulation {
	domains := []string{"a", "b", "c"}
	b := testBundle(1, simEndpoints, simSlots, domains...)
	all := instances(simInstances, domains...)
	sim := &simulation{random: rand.New(rand.NewPCG(seed, 1)), engines: map[string]*simEngine{}}
	for i := range all {
		sim.balancers = append(sim.balancers, newFixture(b, all, i, policy))
		sim.balancers[i].balancer.randomState.Store(seed*1000 + uint64(i))
	}
	sim.queues = make([][]*simRequest, len(all))
	sim.now = sim.balancers[0].clock.Now()
	for _, e := range b.Endpoints {
		sim.engines[e.Id] = &simEngine{slowdown: 1}
	}
	setFaults(sim.engines)
	return sim
}

func (sim *simulation) schedule(d time.Duration, run func()) {
	sim.sequence++
	heap.Push(&sim.events, event{at: sim.now.Add(d), sequence: sim.sequence, run: run})
}

// run generates requests for simDuration. load is a fraction of the engines' capacity without cache hits.
func (sim *simulation) run(load float64) {
	rate := load * float64(len(sim.engines)*simSlots) / (simMissPrefill + simTokens*simTokenTime).Seconds()
	start := sim.now
	var report func()
	report = func() {
		sim.scheduleReports()
		if sim.now.Sub(start) < simDuration {
			sim.schedule(simReportInterval, report)
		}
	}
	sim.schedule(0, report)
	var arrive func()
	arrive = func() {
		if sim.now.Sub(start) < simDuration {
			sim.admit(sim.randomRequest())
			sim.schedule(time.Duration(sim.random.ExpFloat64()/rate*float64(time.Second)), arrive)
		}
	}
	sim.schedule(0, arrive)
	for len(sim.events) > 0 {
		e := heap.Pop(&sim.events).(event)
		for _, b := range sim.balancers {
			b.clock.Advance(e.at.Sub(sim.now))
		}
		sim.now = e.at
		e.run()
	}
}

// randomRequest returns a request whose prefix is skewed: a few prefixes are frequent and many are rare.
func (sim *simulation) randomRequest() *simRequest {
	rank := math.Pow(simPrefixes, sim.random.Float64())
	return &simRequest{
		balancer: sim.random.IntN(len(sim.balancers)), prefix: mix64(uint64(rank)), arrivedAt: sim.now,
		tokens: simTokens/2 + sim.random.IntN(simTokens),
	}
}

func (sim *simulation) admit(r *simRequest) {
	sim.queues[r.balancer] = append(sim.queues[r.balancer], r)
	sim.dispatch(r.balancer)
}

func (sim *simulation) dispatch(i int) {
	for len(sim.queues[i]) > 0 {
		r := sim.queues[i][0]
		p, a := sim.balancers[i].acquire(admit.Target{Prefix: r.prefix})
		if a != admit.Acquired {
			return
		}
		sim.queues[i] = sim.queues[i][1:]
		r.slot, r.startedAt = p, sim.now
		e := sim.engines[p.Endpoint]
		e.waiting = append(e.waiting, r)
		sim.startWaiting(e)
	}
}

// startWaiting starts the engine's waiting requests while it has free slots.
func (sim *simulation) startWaiting(e *simEngine) {
	for e.running < simSlots && len(e.waiting) > 0 {
		r := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.running++
		prefill := time.Duration(float64(e.prefill(r.prefix)) * e.slowdown)
		r.firstToken = sim.now.Add(prefill).Sub(r.startedAt)
		sim.schedule(prefill+time.Duration(float64(r.tokens)*e.slowdown*float64(simTokenTime)), func() { sim.finish(e, r) })
	}
}

func (sim *simulation) finish(e *simEngine, r *simRequest) {
	e.running--
	sim.startWaiting(e)
	sim.latencies = append(sim.latencies, sim.now.Sub(r.arrivedAt))
	sim.balancers[r.balancer].balancer.Release(r.slot, admit.Result{TimeToFirstToken: r.firstToken, TotalTime: sim.now.Sub(r.startedAt), Tokens: uint64(r.tokens)})
	sim.dispatch(r.balancer)
}

// scheduleReports records the engines' loads and applies them at every balancer after simReportInterval.
func (sim *simulation) scheduleReports() {
	var loads []*api.EndpointLoad
	least, most := math.MaxInt, 0
	for id, e := range sim.engines {
		n := e.running + len(e.waiting)
		least, most = min(least, n), max(most, n)
		l := &api.EndpointLoad{Endpoint: id, Running: uint32(e.running), Waiting: uint32(len(e.waiting)), ReportedUnixMs: sim.now.UnixMilli()}
		if e.reportsIdle {
			l.Running, l.Waiting = 0, 0
		}
		if !e.noReports {
			loads = append(loads, l)
		}
	}
	sim.maxImbalance = max(sim.maxImbalance, most-least)
	sim.schedule(simReportInterval, func() {
		for i, b := range sim.balancers {
			b.balancer.ApplyPeerReport(loads, nil)
			b.balancer.table.Load().groups[testGroup].updateMedianTokenTimes()
			sim.dispatch(i)
		}
	})
}

// simResult is the result of one simulation.
type simResult struct {
	hits         float64
	p50, p99     time.Duration
	maxImbalance int
}

func simulate(seed uint64, policy string, load float64, setFaults func(map[string]*simEngine)) simResult {
	sim := newSimulation(seed, policy, setFaults)
	sim.run(load)
	hits, total := 0, 0
	for _, e := range sim.engines {
		hits += e.cacheHits
		total += e.prefills
	}
	slices.Sort(sim.latencies)
	at := func(q float64) time.Duration {
		return sim.latencies[int(q*float64(len(sim.latencies)-1))].Round(time.Millisecond)
	}
	return simResult{hits: float64(hits) / float64(total), p50: at(0.5), p99: at(0.99), maxImbalance: sim.maxImbalance}
}

// TestPolicies compares the policies under the same loads.
func TestPolicies(t *testing.T) {
	healthy := func(map[string]*simEngine) {}
	slowReportsIdle := func(all map[string]*simEngine) { all["a-e0"].slowdown, all["a-e0"].reportsIdle = 4, true }
	withoutReports := func(all map[string]*simEngine) {
		for _, e := range all {
			e.noReports = true
		}
	}
	compare := func(name string, load float64, setFaults func(map[string]*simEngine)) map[string]simResult {
		out := map[string]simResult{}
		for _, policy := range []string{PolicyAffinity, PolicyLeastLoaded, PolicyRandom, PolicyRoundRobin} {
			f := simulate(1, policy, load, setFaults)
			t.Logf("%s, %s: hits %.3f p50 %s p99 %s imbalance %d", name, policy, f.hits, f.p50, f.p99, f.maxImbalance)
			out[policy] = f
		}
		return out
	}
	for _, f := range []map[string]simResult{
		compare("load 0.7", 0.7, healthy), compare("load 1.1", 1.1, healthy), compare("no reports", 0.7, withoutReports),
	} {
		Convey("Affinity has more cache hits than random choice and no higher 99th percentile of latency", t, func() {
			So(f[PolicyAffinity].hits, ShouldBeGreaterThan, 1.15*f[PolicyRandom].hits)
			So(f[PolicyAffinity].p50, ShouldBeLessThan, f[PolicyRandom].p50)
			So(f[PolicyAffinity].p99, ShouldBeLessThanOrEqualTo, f[PolicyRandom].p99)
		})
	}
	f := compare("one of twelve endpoints four times slower and reporting idle", 0.7, slowReportsIdle)
	Convey("A slow endpoint that reports itself idle is detected by its token time", t, func() {
		So(f[PolicyAffinity].p99, ShouldBeLessThan, f[PolicyRandom].p99*3/4)
	})
}
