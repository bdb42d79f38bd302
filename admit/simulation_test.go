package admit

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sort"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// arrival is a request of a simulated load.
type arrival struct {
	arriveAt    time.Duration
	item        Item
	serviceTime time.Duration
}

// discipline is a simulated queueing discipline.
type discipline interface {
	// arrive queues a request or refuses it.
	arrive(now time.Time, w *waiter, capacity int)
	// next returns the next request to dispatch, or nil if none may be dispatched.
	next(now time.Time, capacity int) *waiter
	finish(now time.Time, w *waiter, serviceTime time.Duration)
}

// fairQueueing is the queue of this package.
type fairQueueing struct {
	q *queues
	// refusedOnArrival and refusedAfterWait count refusals; waited is the total wait before the latter.
	refusedOnArrival, refusedAfterWait int
	waited                             time.Duration
}

func newFairQueueing() *fairQueueing {
	return &fairQueueing{q: newQueues(limits{waitingPerClass: 256, bytes: 1 << 30})}
}

func (f *fairQueueing) arrive(now time.Time, w *waiter, capacity int) {
	refused, displaced := TooLate, []*waiter(nil)
	if !f.q.missesDeadline(now, w.item) {
		refused, displaced = f.q.push(now, w, capacity)
	}
	if refused != 0 {
		f.refusedOnArrival++
	}
	f.recordRefused(now, displaced)
}

func (f *fairQueueing) recordRefused(now time.Time, list []*waiter) {
	for _, w := range list {
		f.refusedAfterWait++
		f.waited += now.Sub(w.arrivedAt)
	}
}

func (f *fairQueueing) next(now time.Time, capacity int) *waiter {
	f.recordRefused(now, f.q.expire(now))
	w := f.q.group("g").head(now, capacity)
	if w != nil {
		f.q.dispatchQueued(now, w)
	}
	return w
}

func (f *fairQueueing) finish(now time.Time, w *waiter, serviceTime time.Duration) {
	f.recordRefused(now, f.q.finish(now, w.item, Result{TotalTime: serviceTime}, simCapacity))
}

// fcfs serves requests first come, first served, without limits.
type fcfs struct{ list []*waiter }

func (f *fcfs) arrive(_ time.Time, w *waiter, _ int) { f.list = append(f.list, w) }
func (f *fcfs) next(time.Time, int) *waiter {
	if len(f.list) == 0 {
		return nil
	}
	w := f.list[0]
	f.list = f.list[1:]
	return w
}
func (f *fcfs) finish(time.Time, *waiter, time.Duration) {}

// served is a dispatched request of a simulation.
type served struct {
	arrival
	start, end time.Duration
}

func (s served) latency() time.Duration { return s.end - s.arriveAt }
func (s served) onTime() bool           { return !epoch.Add(s.end).After(s.item.Deadline) }
func (s served) lateStart() bool        { return epoch.Add(s.start).After(s.item.Deadline) }

var epoch = time.Unix(1_700_000_000, 0)

// simulate runs a load through a discipline in virtual time. capacity is the number of requests that run concurrently.
func simulate(d discipline, load []arrival, capacity int) []served {
	var out []served
	var running []*served // earliest end first
	loads := make(map[*waiter]arrival)
	waiters := make(map[*served]*waiter)
	dispatch := func(now time.Duration) {
		for len(running) < capacity {
			w := d.next(epoch.Add(now), capacity)
			if w == nil {
				return
			}
			a := loads[w]
			s := &served{arrival: a, start: now, end: now + a.serviceTime}
			waiters[s] = w
			i, _ := slices.BinarySearchFunc(running, s, func(a, b *served) int { return cmp.Compare(a.end, b.end) })
			running = slices.Insert(running, i, s)
		}
	}
	for len(load) > 0 || len(running) > 0 {
		if len(running) > 0 && (len(load) == 0 || running[0].end <= load[0].arriveAt) {
			s := running[0]
			running = running[1:]
			d.finish(epoch.Add(s.end), waiters[s], s.serviceTime)
			out = append(out, *s)
			dispatch(s.end)
			continue
		}
		a := load[0]
		load = load[1:]
		w := &waiter{item: a.item}
		loads[w] = a
		d.arrive(epoch.Add(a.arriveAt), w, capacity)
		dispatch(a.arriveAt)
	}
	return out
}

// customerLoad describes the load of one customer in one class.
type customerLoad struct {
	customer string
	weight   uint32
	class    Class
	// load is the offered work as a fraction of the capacity.
	load     float64
	deadline time.Duration
	// cost is the mean token cap.
	cost     float64
	from, to time.Duration
}

// timePerToken is the service time per generated token.
const timePerToken = 5 * time.Millisecond

// meanCapUse is the mean fraction of its token cap that a request generates.
const meanCapUse = 0.65

// generate returns random arrivals of the given loads, sorted by time.
func generate(seed uint64, capacity int, loads ...customerLoad) []arrival {
	var out []arrival
	for i, s := range loads {
		r := rand.New(rand.NewPCG(seed, uint64(i)))
		mean := s.cost * meanCapUse * timePerToken.Seconds()
		rate := s.load * float64(capacity) / mean
		for at := s.from.Seconds(); ; {
			at += r.ExpFloat64() / rate
			if at >= s.to.Seconds() {
				break
			}
			cost := s.cost * (0.5 + r.Float64())
			use := 0.3 + 0.7*r.Float64()
			when := time.Duration(at * float64(time.Second))
			out = append(out, arrival{
				arriveAt:    when,
				serviceTime: time.Duration(cost * use * float64(timePerToken)),
				item: Item{Customer: s.customer, Weight: s.weight, Group: "g", Class: s.class, Bytes: 1000,
					Cost: uint64(cost), Deadline: epoch.Add(when + s.deadline)},
			})
		}
	}
	sort.SliceStable(out, func(i, j int) bool { return out[i].arriveAt < out[j].arriveAt })
	return out
}

// goodput returns the work of responses that met their deadlines as a fraction of the capacity from one time to another.
func goodput(all []served, capacity int, from, to time.Duration) float64 {
	var work time.Duration
	for _, s := range all {
		if s.onTime() {
			work += max(0, min(s.end, to)-max(s.start, from))
		}
	}
	return work.Seconds() / (to - from).Seconds() / float64(capacity)
}

func quantile(all []served, q float64, f func(served) bool) time.Duration {
	var l []time.Duration
	for _, s := range all {
		if f(s) {
			l = append(l, s.latency())
		}
	}
	if len(l) == 0 {
		return 0
	}
	sort.Slice(l, func(i, j int) bool { return l[i] < l[j] })
	return l[int(math.Ceil(q*float64(len(l))))-1]
}

func countIf(all []served, f func(served) bool) int {
	n := 0
	for _, s := range all {
		if f(s) {
			n++
		}
	}
	return n
}

const (
	simCapacity = 16
	simDuration = 10 * time.Minute
	simSeeds    = 3
)

// overload returns a load of three times the capacity, spread over all classes and ten customers, two of them with
// triple weight.
func overload(seed uint64) []arrival {
	var loads []customerLoad
	for i := range 10 {
		weight := uint32(1)
		if i < 2 {
			weight = 3
		}
		for class, deadline := range []time.Duration{10 * time.Second, 30 * time.Second, 5 * time.Minute} {
			loads = append(loads, customerLoad{
				customer: fmt.Sprintf("c%d", i), weight: weight, class: Class(class), load: 0.1,
				deadline: deadline, cost: 400, to: simDuration,
			})
		}
	}
	return generate(seed, simCapacity, loads...)
}

func TestOverload(t *testing.T) {
	Convey("At three times the capacity, goodput stays high and no request is dispatched after its deadline", t, func() {
		for seed := range uint64(simSeeds) {
			load := overload(seed)
			d := newFairQueueing()
			ours := simulate(d, load, simCapacity)
			base := simulate(&fcfs{}, load, simCapacity)
			g, b := goodput(ours, simCapacity, time.Minute, simDuration), goodput(base, simCapacity, time.Minute, simDuration)
			late := countIf(ours, func(s served) bool { return !s.onTime() && s.arriveAt > time.Minute })
			t.Logf("seed %d: goodput %.3f of capacity, %d of %d responses late; first come, first served %.3f", seed, g, late, len(ours), b)
			t.Logf("seed %d: %d refused on arrival, %d after a mean wait of %s", seed, d.refusedOnArrival, d.refusedAfterWait, d.waited/time.Duration(max(d.refusedAfterWait, 1)))
			So(g, ShouldBeGreaterThanOrEqualTo, 0.95)
			So(countIf(ours, served.lateStart), ShouldEqual, 0)
			So(b, ShouldBeLessThan, 0.5)
			So(d.refusedOnArrival, ShouldBeGreaterThan, 9*d.refusedAfterWait)
		}
	})
}

func TestBurstWithoutEstimates(t *testing.T) {
	Convey("In a burst without service time estimates, few responses are late", t, func() {
		for seed := range uint64(simSeeds) {
			load := generate(seed, simCapacity, customerLoad{customer: "a", class: Standard, load: 600, deadline: 5 * time.Second, cost: 300, to: 100 * time.Millisecond})
			d := newFairQueueing()
			all := simulate(d, load, simCapacity)
			late := countIf(all, func(s served) bool { return !s.onTime() })
			t.Logf("seed %d: burst of %d requests, %d responses in time, %d late; %d refused after a mean wait of %s", seed, len(load), len(all)-late, late,
				d.refusedAfterWait, d.waited/time.Duration(max(d.refusedAfterWait, 1)))
			So(late, ShouldBeLessThanOrEqualTo, len(all)/20)
			So(len(all)-late, ShouldBeGreaterThan, 2*simCapacity)
		}
	})
}

func TestBatchLoad(t *testing.T) {
	Convey("A batch load that saturates the capacity adds little latency to interactive requests", t, func() {
		for seed := range uint64(simSeeds) {
			interactiveLoad := customerLoad{customer: "shop", weight: 1, class: Interactive, load: 0.4, deadline: 30 * time.Second, cost: 300, to: simDuration}
			batchLoad := customerLoad{customer: "night", weight: 1, class: Batch, load: 2, deadline: 10 * time.Minute, cost: 1500, to: simDuration}
			interactive := func(s served) bool { return s.item.Class == Interactive }
			alone := quantile(simulate(newFairQueueing(), generate(seed, simCapacity, interactiveLoad), simCapacity), 0.99, interactive)
			mixed := simulate(newFairQueueing(), generate(seed, simCapacity, interactiveLoad, batchLoad), simCapacity)
			withBatch := quantile(mixed, 0.99, interactive)
			base := quantile(simulate(&fcfs{}, generate(seed, simCapacity, interactiveLoad, batchLoad), simCapacity), 0.99, interactive)
			t.Logf("seed %d: interactive p99 %s alone, %s with batch load; first come, first served %s; goodput %.3f", seed, alone, withBatch, base,
				goodput(mixed, simCapacity, time.Minute, simDuration))
			So(withBatch, ShouldBeLessThanOrEqualTo, alone*3/2)
		}
	})
}

func TestCustomerBurst(t *testing.T) {
	Convey("A burst of one customer does not starve the others", t, func() {
		for seed := range uint64(simSeeds) {
			var rest []customerLoad
			for i := range 9 {
				rest = append(rest, customerLoad{customer: fmt.Sprintf("c%d", i), weight: 1, class: Standard, load: 0.05,
					deadline: 30 * time.Second, cost: 400, to: simDuration})
			}
			burst := customerLoad{customer: "burst", weight: 1, class: Standard, load: 5, deadline: 30 * time.Second, cost: 400,
				from: 2 * time.Minute, to: 8 * time.Minute}
			others := func(s served) bool { return s.item.Customer != "burst" }
			offered := len(generate(seed, simCapacity, rest...))
			all := simulate(newFairQueueing(), generate(seed, simCapacity, append(rest, burst)...), simCapacity)
			alone := simulate(newFairQueueing(), generate(seed, simCapacity, rest...), simCapacity)
			base := simulate(&fcfs{}, generate(seed, simCapacity, append(rest, burst)...), simCapacity)
			good := func(s served) bool { return others(s) && s.onTime() }
			t.Logf("seed %d: %d of %d responses of other customers in time, p99 %s, alone %s; first come, first served %d; goodput %.3f", seed,
				countIf(all, good), offered, quantile(all, 0.99, others), quantile(alone, 0.99, others), countIf(base, good),
				goodput(all, simCapacity, 3*time.Minute, 8*time.Minute))
			So(countIf(all, good), ShouldBeGreaterThanOrEqualTo, offered*99/100)
		}
	})
}
