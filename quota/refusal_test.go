package quota

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"pumiceshelf/budget"
	"pumiceshelf/budget/naive"
	"pumiceshelf/internal/standin"
)

// serve runs ordinary demand at an instance, two requests a second that use half of their bound, and returns the number
// refused.
func (f *fleet) serve(n *node, name string, total time.Duration) int {
	refused := 0
	for i := range int(total / (500 * time.Millisecond)) {
		id := fmt.Sprint(name, i)
		if f.reserveWithin(n, id, 1000, time.Second).Outcome == Granted {
			f.settle(n, id, 500)
		} else {
			refused++
		}
		f.steps(500 * time.Millisecond)
	}
	return refused
}

func TestPlatformOutage(t *testing.T) {
	run := func(p Policy, witnesses int) (refused int) {
		f := newFleet(t, 4_000_000)
		f.policy = p
		for i := range witnesses + 1 {
			f.start("d1", fmt.Sprint("a", i))
		}
		entry := f.holder("d1")
		if witnesses > 0 {
			entry = f.other("d1")
		}
		So(f.serve(entry, "before", 5*time.Minute), ShouldEqual, 0)
		f.objects.SetFaults(standin.Faults{Unavailable: true})
		refused = f.serve(entry, "during", 10*time.Minute)
		f.objects.SetFaults(standin.Faults{})
		f.steps(30 * time.Second)
		r := f.report()
		So(r.Agrees, ShouldBeTrue)
		So(r.Recorded, ShouldEqual, budget.Tokens(500*(1800-refused)))
		return refused
	}
	Convey("Through ten minutes without the platform, ordinary demand on a half-full budget is served", t, func() {
		So(run(PolicySealed, 2), ShouldEqual, 0)
	})
	Convey("One witness is enough", t, func() { So(run(PolicySealed, 1), ShouldEqual, 0) })
	Convey("Small leases refuse most of it", t, func() { So(run(PolicySmall, 2), ShouldBeGreaterThan, 1000) })
	Convey("Leases written off at a crash serve it as well", t, func() { So(run(PolicyWriteOff, 2), ShouldEqual, 0) })
}

func TestLeaseKeepsItsSize(t *testing.T) {
	Convey("In ordinary service a lease never falls below the demand of the outage it is sized for, but for one interval", t, func() {
		f := newFleet(t, 40_000_000)
		n := f.start("d1", "a")
		f.start("d1", "b")
		f.serve(n, "before", 5*time.Minute)
		holder := f.holder("d1")
		a := holder.holder.account(hot)
		interval := settledInterval * holder.cfg.flushInterval()
		for i := range 30 {
			f.serve(n, fmt.Sprint("m", i, "-"), time.Minute)
			a.mu.Lock()
			unused, least := a.lease.Unused(), a.demand.Over(holder.cfg.outage()-2*interval)
			a.mu.Unlock()
			So(unused, ShouldBeGreaterThan, least)
		}
	})
}

func TestAnswersAtOnce(t *testing.T) {
	Convey("Given an instance without the platform and without a lease", t, func() {
		f := newFleet(t, 1000)
		n := f.start("d1", "a")
		f.objects.SetFaults(standin.Faults{Unavailable: true})
		start := f.clock.Now()
		r := f.reserveWithin(n, "r", 100, time.Minute)
		So(r.Outcome, ShouldEqual, OutOfReach)
		So(r.RetryAfter, ShouldBeGreaterThan, 0)
		So(f.clock.Since(start), ShouldBeLessThan, time.Second)
	})
	Convey("A request larger than the whole budget is refused without a call to the platform", t, func() {
		f := newFleet(t, 1000)
		n := f.start("d1", "a")
		So(n.Reserve(t.Context(), Request{RequestID: "r", Budget: hot, Bound: 1001, Wait: time.Minute}).Outcome, ShouldEqual, Exhausted)
		So(f.objects.Calls().Reads, ShouldEqual, 0)
	})
	Convey("Near the end of a budget a request waits for the settlement of others", t, func() {
		f := newFleet(t, 1000)
		n := f.start("d1", "a")
		So(f.reserve(n, "r1", 900).Outcome, ShouldEqual, Granted)
		done := make(chan Reservation, 1)
		go func() {
			done <- n.Reserve(t.Context(), Request{RequestID: "r2", Budget: hot, Bound: 500, Wait: time.Minute})
		}()
		f.steps(time.Second)
		f.settle(n, "r1", 100)
		So(f.await(done).Outcome, ShouldEqual, Granted)
	})
}

func TestTopUps(t *testing.T) {
	Convey("Given two domains and an exhausted budget", t, func() {
		f := newFleet(t, 1000)
		near, far := f.start("d1", "a"), f.start("d2", "x")
		So(f.reserve(near, "r1", 1000).Outcome, ShouldEqual, Granted)
		f.settle(near, "r1", 1000)
		So(f.reserve(far, "r2", 500).Outcome, ShouldEqual, Exhausted)

		Convey("a top-up in a newer bundle is served, and an older bundle takes nothing away", func() {
			f.bundles.set(2000)
			So(f.reserve(far, "r3", 500).Outcome, ShouldEqual, Granted)
			f.bundles.set(1000)
			So(f.reserve(far, "r4", 100).Outcome, ShouldEqual, Granted)
			So(f.ledger().Granted, ShouldEqual, 2000)
		})
		Convey("a top-up during a cut from the platform is served after it", func() {
			f.objects.SetFaults(standin.Faults{Unavailable: true})
			f.bundles.set(2000)
			So(f.reserve(far, "r3", 500).Outcome, ShouldEqual, OutOfReach)
			f.objects.SetFaults(standin.Faults{})
			So(f.reserve(far, "r4", 500).Outcome, ShouldEqual, Granted)
		})
	})
}

// TestDifferential compares the fleet with the naive keeper while all links are up: they grant the same requests, waiting
// allowed, and bill the same.
func TestDifferential(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := newFleet(t, 3000)
		judge := naive.New()
		judge.Grant(hot, 3000)
		var nodes []*node
		for _, domain := range []string{"d1", "d2", "d3"} {
			nodes = append(nodes, f.start(domain, domain+"a"), f.start(domain, domain+"b"))
		}
		open := make(map[string]*node)
		bounds := make(map[string]budget.Tokens)
		for i := range 60 {
			n := nodes[rapid.IntRange(0, len(nodes)-1).Draw(rt, "node")]
			id := fmt.Sprint("r", i)
			bound := budget.Tokens(rapid.IntRange(1, 300).Draw(rt, "bound"))
			want := judge.Reserve(hot, id, bound)
			if got := f.reserve(n, id, bound); (got.Outcome == Granted) != want {
				rt.Fatalf("request %s of %d tokens with %d left: fleet %v, naive granted %v", id, bound, judge.Available(hot), got, want)
			}
			if want {
				open[id], bounds[id] = n, bound
			}
			for _, id := range slices.Sorted(maps.Keys(open)) {
				n := open[id]
				if rapid.IntRange(0, 2).Draw(rt, "settle") > 0 {
					usage := rapid.Uint64Range(0, uint64(bounds[id])).Draw(rt, "usage")
					f.settle(n, id, budget.Tokens(usage))
					judge.Settle(hot, id, budget.Tokens(usage))
					delete(open, id)
				}
			}
		}
		for id, n := range open {
			f.release(n, id)
			judge.Release(hot, id)
		}
		f.steps(30 * time.Second)
		if r := f.report(); r.Recorded != judge.Billed(hot) || !r.Agrees {
			rt.Fatalf("fleet billed %d, naive %d: %s", r.Recorded, judge.Billed(hot), r.Why)
		}
	})
}
