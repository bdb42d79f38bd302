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

// arrival is one request of a simulated load.
type arrival struct {
	at      time.Duration
	item    Item
	service time.Duration
}

// discipline is a queue under simulation.
type discipline interface {
	// arrive queues a request or refuses it.
	arrive(now time.Time, w *waiter, places int)
	// next returns the next request to dispatch, nil if none may go.
	next(now time.Time, places int) *waiter
	finish(now time.Time, w *waiter, took time.Duration)
}

// fair is the queue of this package.
type fair struct {
	q *queues
	// atOnce and later count refusals on arrival and after a wait; waited is the sum of the latter's waits.
	atOnce, later int
	waited        time.Duration
}

func newFair() *fair { return &fair{q: newQueues(limits{waiting: 256, bytes: 1 << 30})} }

func (f *fair) arrive(now time.Time, w *waiter, places int) {
	refused, displaced := TooLate, []*waiter(nil)
	if !f.q.hopeless(now, w.item) {
		refused, displaced = f.q.push(now, w, places)
	}
	if refused != 0 {
		f.atOnce++
	}
	f.gaveUp(now, displaced)
}

func (f *fair) gaveUp(now time.Time, list []*waiter) {
	for _, w := range list {
		f.later++
		f.waited += now.Sub(w.arrived)
	}
}

func (f *fair) next(now time.Time, places int) *waiter {
	f.gaveUp(now, f.q.expire(now))
	w := f.q.group("g").head(now, places)
	if w != nil {
		f.q.take(now, w)
	}
	return w
}

func (f *fair) finish(now time.Time, w *waiter, took time.Duration) {
	f.gaveUp(now, f.q.finish(now, w.item, Result{Total: took}, simPlaces))
}

// fcfs serves in order of arrival without limits.
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

// served is one dispatched request of a simulation.
type served struct {
	arrival
	start, end time.Duration
}

func (s served) latency() time.Duration { return s.end - s.at }
func (s served) onTime() bool           { return !epoch.Add(s.end).After(s.item.Deadline) }
func (s served) lateStart() bool        { return epoch.Add(s.start).After(s.item.Deadline) }

var epoch = time.Unix(1_700_000_000, 0)

// simulate runs a load through a discipline before a number of places, in virtual time.
func simulate(d discipline, load []arrival, places int) []served {
	var out []served
	var busy []*served // first to end first
	loads := make(map[*waiter]arrival)
	waiters := make(map[*served]*waiter)
	dispatch := func(now time.Duration) {
		for len(busy) < places {
			w := d.next(epoch.Add(now), places)
			if w == nil {
				return
			}
			a := loads[w]
			s := &served{arrival: a, start: now, end: now + a.service}
			waiters[s] = w
			i, _ := slices.BinarySearchFunc(busy, s, func(a, b *served) int { return cmp.Compare(a.end, b.end) })
			busy = slices.Insert(busy, i, s)
		}
	}
	for len(load) > 0 || len(busy) > 0 {
		if len(busy) > 0 && (len(load) == 0 || busy[0].end <= load[0].at) {
			s := busy[0]
			busy = busy[1:]
			d.finish(epoch.Add(s.end), waiters[s], s.service)
			out = append(out, *s)
			dispatch(s.end)
			continue
		}
		a := load[0]
		load = load[1:]
		w := &waiter{item: a.item}
		loads[w] = a
		d.arrive(epoch.Add(a.at), w, places)
		dispatch(a.at)
	}
	return out
}

// stream describes one customer's load of one class.
type stream struct {
	customer string
	weight   uint32
	class    Class
	// load is the offered work as a share of the capacity.
	load     float64
	deadline time.Duration
	// cost is the mean cap in tokens.
	cost     float64
	from, to time.Duration
}

// tokenTime is the service time of a token.
const tokenTime = 5 * time.Millisecond

// meanUse is the mean share of its cap that a request generates.
const meanUse = 0.65

// generate draws the arrivals of streams for a number of places.
func generate(seed uint64, places int, streams ...stream) []arrival {
	var out []arrival
	for i, s := range streams {
		r := rand.New(rand.NewPCG(seed, uint64(i)))
		mean := s.cost * meanUse * tokenTime.Seconds()
		rate := s.load * float64(places) / mean
		for at := s.from.Seconds(); ; {
			at += r.ExpFloat64() / rate
			if at >= s.to.Seconds() {
				break
			}
			cost := s.cost * (0.5 + r.Float64())
			use := 0.3 + 0.7*r.Float64()
			when := time.Duration(at * float64(time.Second))
			out = append(out, arrival{
				at:      when,
				service: time.Duration(cost * use * float64(tokenTime)),
				item: Item{Customer: s.customer, Weight: s.weight, Group: "g", Class: s.class, Bytes: 1000,
					Cost: uint64(cost), Deadline: epoch.Add(when + s.deadline)},
			})
		}
	}
	sort.SliceStable(out, func(i, j int) bool { return out[i].at < out[j].at })
	return out
}

// goodput returns the work of answers within their deadlines over the capacity of a time.
func goodput(all []served, places int, from, to time.Duration) float64 {
	var work time.Duration
	for _, s := range all {
		if s.onTime() {
			work += max(0, min(s.end, to)-max(s.start, from))
		}
	}
	return work.Seconds() / (to - from).Seconds() / float64(places)
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
	simPlaces = 16
	simTime   = 10 * time.Minute
	simSeeds  = 3
)

// overload offers three times the capacity in all classes from ten customers, two of them large.
func overload(seed uint64) []arrival {
	var streams []stream
	for i := range 10 {
		weight := uint32(1)
		if i < 2 {
			weight = 3
		}
		for class, deadline := range []time.Duration{10 * time.Second, 30 * time.Second, 5 * time.Minute} {
			streams = append(streams, stream{
				customer: fmt.Sprintf("c%d", i), weight: weight, class: Class(class), load: 0.1,
				deadline: deadline, cost: 400, to: simTime,
			})
		}
	}
	return generate(seed, simPlaces, streams...)
}

func TestOverload(t *testing.T) {
	Convey("With three times the capacity offered, goodput holds and nothing is dispatched after its deadline", t, func() {
		for seed := range uint64(simSeeds) {
			load := overload(seed)
			d := newFair()
			ours := simulate(d, load, simPlaces)
			base := simulate(&fcfs{}, load, simPlaces)
			g, b := goodput(ours, simPlaces, time.Minute, simTime), goodput(base, simPlaces, time.Minute, simTime)
			late := countIf(ours, func(s served) bool { return !s.onTime() && s.at > time.Minute })
			t.Logf("seed %d: goodput %.3f of capacity, %d of %d answered late; first come, first served %.3f", seed, g, late, len(ours), b)
			t.Logf("seed %d: %d refused at once, %d after a wait of %s on average", seed, d.atOnce, d.later, d.waited/time.Duration(max(d.later, 1)))
			So(g, ShouldBeGreaterThanOrEqualTo, 0.95)
			So(countIf(ours, served.lateStart), ShouldEqual, 0)
			So(b, ShouldBeLessThan, 0.5)
			So(d.atOnce, ShouldBeGreaterThan, 9*d.later)
		}
	})
}

func TestHourBurst(t *testing.T) {
	Convey("A burst on a queue that knows no service times wastes little on answers that come too late", t, func() {
		for seed := range uint64(simSeeds) {
			load := generate(seed, simPlaces, stream{customer: "a", class: Standard, load: 600, deadline: 5 * time.Second, cost: 300, to: 100 * time.Millisecond})
			d := newFair()
			all := simulate(d, load, simPlaces)
			late := countIf(all, func(s served) bool { return !s.onTime() })
			t.Logf("seed %d: of %d requests at once %d answered in time, %d late; %d refused after a wait of %s on average", seed, len(load), len(all)-late, late,
				d.later, d.waited/time.Duration(max(d.later, 1)))
			So(late, ShouldBeLessThanOrEqualTo, len(all)/20)
			So(len(all)-late, ShouldBeGreaterThan, 2*simPlaces)
		}
	})
}

func TestDrafts(t *testing.T) {
	Convey("Interactive requests barely notice drafts that saturate the rest", t, func() {
		for seed := range uint64(simSeeds) {
			people := stream{customer: "shop", weight: 1, class: Interactive, load: 0.4, deadline: 30 * time.Second, cost: 300, to: simTime}
			drafts := stream{customer: "night", weight: 1, class: Batch, load: 2, deadline: 10 * time.Minute, cost: 1500, to: simTime}
			interactive := func(s served) bool { return s.item.Class == Interactive }
			alone := quantile(simulate(newFair(), generate(seed, simPlaces, people), simPlaces), 0.99, interactive)
			beside := simulate(newFair(), generate(seed, simPlaces, people, drafts), simPlaces)
			with := quantile(beside, 0.99, interactive)
			base := quantile(simulate(&fcfs{}, generate(seed, simPlaces, people, drafts), simPlaces), 0.99, interactive)
			t.Logf("seed %d: interactive p99 %s alone, %s with drafts; first come, first served %s; goodput %.3f", seed, alone, with, base,
				goodput(beside, simPlaces, time.Minute, simTime))
			So(with, ShouldBeLessThanOrEqualTo, alone*3/2)
		}
	})
}

func TestBurst(t *testing.T) {
	Convey("One customer's burst does not starve the rest", t, func() {
		for seed := range uint64(simSeeds) {
			var rest []stream
			for i := range 9 {
				rest = append(rest, stream{customer: fmt.Sprintf("c%d", i), weight: 1, class: Standard, load: 0.05,
					deadline: 30 * time.Second, cost: 400, to: simTime})
			}
			burst := stream{customer: "burst", weight: 1, class: Standard, load: 5, deadline: 30 * time.Second, cost: 400,
				from: 2 * time.Minute, to: 8 * time.Minute}
			others := func(s served) bool { return s.item.Customer != "burst" }
			offered := len(generate(seed, simPlaces, rest...))
			all := simulate(newFair(), generate(seed, simPlaces, append(rest, burst)...), simPlaces)
			alone := simulate(newFair(), generate(seed, simPlaces, rest...), simPlaces)
			base := simulate(&fcfs{}, generate(seed, simPlaces, append(rest, burst)...), simPlaces)
			good := func(s served) bool { return others(s) && s.onTime() }
			t.Logf("seed %d: others answered in time %d of %d, p99 %s, alone %s; first come, first served %d; goodput %.3f", seed,
				countIf(all, good), offered, quantile(all, 0.99, others), quantile(alone, 0.99, others), countIf(base, good),
				goodput(all, simPlaces, 3*time.Minute, 8*time.Minute))
			So(countIf(all, good), ShouldBeGreaterThanOrEqualTo, offered*99/100)
		}
	})
}
