package quota

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"pumiceshelf/budget"
	"pumiceshelf/budget/naive"
	"pumiceshelf/internal/standin"
)

// runDemand runs the usual demand at an instance, two requests per second that use half of their bound, and returns the
// number of refused requests.
func (f *fleet) runDemand(n *node, name string, total time.Duration) int {
	refused := 0
	for i := range int(total / (500 * time.Millisecond)) {
		id := fmt.Sprint(name, i)
		if f.reserveWithin(n, id, 1000, time.Second).Outcome == Granted {
			f.settle(n, id, 500)
		} else {
			refused++
		}
		f.advance(500 * time.Millisecond)
	}
	return refused
}

// runOutage runs the usual demand before and during an outage of the store, and returns the number of requests refused
// in each part and the report after it. Time passes in the fleet only while all of its calls wait for time to pass.
func runOutage(t *testing.T, p Policy, witnesses int) (before, during int, r BudgetReport) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 4_000_000)
		f.awaitCalls = synctest.Wait
		f.policy = p
		for i := range witnesses + 1 {
			f.start("d1", fmt.Sprint("a", i))
		}
		entry := f.holder("d1")
		if witnesses > 0 {
			entry = f.nonHolder("d1")
		}
		before = f.runDemand(entry, "before", 5*time.Minute)
		f.store.SetFaults(standin.Faults{Unavailable: true})
		during = f.runDemand(entry, "during", 10*time.Minute)
		f.store.SetFaults(standin.Faults{})
		f.advance(30 * time.Second)
		r = f.report()
	})
	return before, during, r
}

func TestStoreOutage(t *testing.T) {
	run := func(p Policy, witnesses int) (refused int) {
		before, refused, r := runOutage(t, p, witnesses)
		So(before, ShouldEqual, 0)
		So(r.Agrees, ShouldBeTrue)
		So(r.Recorded, ShouldEqual, budget.Tokens(500*(1800-refused)))
		return refused
	}
	Convey("In a store outage of ten minutes, the usual demand on a half-full budget is granted", t, func() {
		So(run(PolicySealed, 2), ShouldEqual, 0)
	})
	Convey("In a store outage, one witness is sufficient", t, func() { So(run(PolicySealed, 1), ShouldEqual, 0) })
	Convey("In a store outage, small leases refuse most of the demand", t, func() { So(run(PolicySmall, 2), ShouldBeGreaterThan, 1000) })
	Convey("In a store outage, leases that a crash writes off grant the demand as well", t, func() { So(run(PolicyWriteOff, 2), ShouldEqual, 0) })
}

func TestLeaseSizeInNormalService(t *testing.T) {
	Convey("In normal service, a lease always covers the demand of the configured outage less two routine write intervals", t, func() {
		f := newFleet(t, 40_000_000)
		n := f.start("d1", "a")
		f.start("d1", "b")
		f.runDemand(n, "before", 5*time.Minute)
		holder := f.holder("d1")
		a := holder.holder.account(mainBudget)
		interval := routineWriteFlushes * holder.cfg.flushInterval()
		for i := range 30 {
			f.runDemand(n, fmt.Sprint("m", i, "-"), time.Minute)
			a.mu.Lock()
			unused, least := a.lease.Unused(), a.demand.Over(holder.cfg.coveredOutage()-2*interval)
			a.mu.Unlock()
			So(unused, ShouldBeGreaterThan, least)
		}
	})
}

func TestRefusalTiming(t *testing.T) {
	Convey("During a store outage, an instance without a lease refuses a request within a second", t, func() {
		f := newFleet(t, 1000)
		n := f.start("d1", "a")
		f.store.SetFaults(standin.Faults{Unavailable: true})
		start := f.clock.Now()
		r := f.reserveWithin(n, "r", 100, time.Minute)
		So(r.Outcome, ShouldEqual, Unavailable)
		So(r.RetryAfter, ShouldBeGreaterThan, 0)
		So(f.clock.Since(start), ShouldBeLessThan, time.Second)
	})
	Convey("A request larger than the whole budget is refused without a read from the object store", t, func() {
		f := newFleet(t, 1000)
		n := f.start("d1", "a")
		So(n.Reserve(t.Context(), Request{RequestID: "r", Budget: mainBudget, Bound: 1001, MaxWait: time.Minute}).Outcome, ShouldEqual, Exhausted)
		So(f.store.Calls().Reads, ShouldEqual, 0)
	})
	Convey("When a budget is nearly exhausted, a request waits for other requests to settle", t, func() {
		f := newFleet(t, 1000)
		n := f.start("d1", "a")
		So(f.reserve(n, "r1", 900).Outcome, ShouldEqual, Granted)
		done := make(chan Reservation, 1)
		go func() {
			done <- n.Reserve(t.Context(), Request{RequestID: "r2", Budget: mainBudget, Bound: 500, MaxWait: time.Minute})
		}()
		f.advance(time.Second)
		f.settle(n, "r1", 100)
		So(f.await(done).Outcome, ShouldEqual, Granted)
	})
}

func TestGrantIncrease(t *testing.T) {
	Convey("Given two domains and an exhausted budget", t, func() {
		f := newFleet(t, 1000)
		near, far := f.start("d1", "a"), f.start("d2", "x")
		So(f.reserve(near, "r1", 1000).Outcome, ShouldEqual, Granted)
		f.settle(near, "r1", 1000)
		So(f.reserve(far, "r2", 500).Outcome, ShouldEqual, Exhausted)

		Convey("an increase in a newer bundle can be spent, and an older bundle does not reduce the grant", func() {
			f.bundles.set(2000)
			So(f.reserve(far, "r3", 500).Outcome, ShouldEqual, Granted)
			f.bundles.set(1000)
			So(f.reserve(far, "r4", 100).Outcome, ShouldEqual, Granted)
			So(f.ledger().Granted, ShouldEqual, 2000)
		})
		Convey("an increase during a store outage can be spent after the outage", func() {
			f.store.SetFaults(standin.Faults{Unavailable: true})
			f.bundles.set(2000)
			So(f.reserve(far, "r3", 500).Outcome, ShouldEqual, Unavailable)
			f.store.SetFaults(standin.Faults{})
			So(f.reserve(far, "r4", 500).Outcome, ShouldEqual, Granted)
		})
	})
}

// TestDifferential compares the fleet with the reference model while all instances are connected: both grant the same
// requests, if waiting is allowed, and charge the same tokens.
func TestDifferential(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := newFleet(t, 3000)
		model := naive.New()
		model.Grant(mainBudget, 3000)
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
			want := model.Reserve(mainBudget, id, bound)
			if got := f.reserve(n, id, bound); (got.Outcome == Granted) != want {
				rt.Fatalf("request %s of %d tokens with %d left: fleet %v, reference model granted %v", id, bound, model.Available(mainBudget), got, want)
			}
			if want {
				open[id], bounds[id] = n, bound
			}
			for _, id := range slices.Sorted(maps.Keys(open)) {
				n := open[id]
				if rapid.IntRange(0, 2).Draw(rt, "settle") > 0 {
					usage := rapid.Uint64Range(0, uint64(bounds[id])).Draw(rt, "usage")
					f.settle(n, id, budget.Tokens(usage))
					model.Settle(mainBudget, id, budget.Tokens(usage))
					delete(open, id)
				}
			}
		}
		for id, n := range open {
			f.release(n, id)
			model.Release(mainBudget, id)
		}
		f.advance(30 * time.Second)
		if r := f.report(); r.Recorded != model.Billed(mainBudget) || !r.Agrees {
			rt.Fatalf("fleet charged %d tokens, reference model %d: %s", r.Recorded, model.Billed(mainBudget), r.Why)
		}
	})
}
