package quota

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"pumiceshelf/api"
	"pumiceshelf/budget"
	"pumiceshelf/internal/standin"
)

func TestContendedBudget(t *testing.T) {
	Convey("Given eight domains that acquire small leases of one budget concurrently, with a slow object store", t, func() {
		f := newFleet(t, 1_000_000)
		f.policy = PolicySmall
		f.store.SetFaults(standin.Faults{Delay: time.Millisecond})
		var nodes []*node
		for d := range 8 {
			nodes = append(nodes, f.start(fmt.Sprint("d", d), fmt.Sprint("n", d)))
		}
		const rounds = 20
		var mu sync.Mutex
		var all sync.WaitGroup
		outcomes := make(map[Outcome]int)
		for _, n := range nodes {
			all.Go(func() {
				for i := range rounds {
					r := n.Reserve(t.Context(), Request{RequestID: fmt.Sprint(n.self.Name, i), Budget: mainBudget, Bound: 1000, MaxWait: time.Minute})
					mu.Lock()
					outcomes[r.Outcome]++
					mu.Unlock()
				}
			})
		}
		f.stepUntilDone(&all)

		Convey("all requests are granted, with fewer than eight conflicts per update", func() {
			So(outcomes, ShouldResemble, map[Outcome]int{Granted: 8 * rounds})
			var writes, conflicts int64
			for _, n := range nodes {
				writes += n.counters.ledgerWrites.Count()
				conflicts += n.counters.ledgerConflict.Count()
			}
			So(conflicts, ShouldBeGreaterThan, 0)
			So(conflicts, ShouldBeLessThan, 8*(writes-conflicts))
		})
	})
}

// stepUntilDone advances the clock, with all instances running concurrently, until a group of calls has returned.
func (f *fleet) stepUntilDone(all *sync.WaitGroup) {
	done := make(chan struct{})
	go func() {
		all.Wait()
		close(done)
	}()
	for range 4000 {
		select {
		case <-done:
			return
		default:
			f.stepTogether(250 * time.Millisecond)
		}
	}
	f.t.Fatal("calls did not return")
}

func TestRetiredDomain(t *testing.T) {
	Convey("Given an open lease in a domain whose instances are all killed", t, func() {
		f := newFleet(t, 10_000)
		a, b := f.start("d1", "a"), f.start("d1", "b")
		f.start("d2", "x")
		f.reserve(f.holder("d1"), "r1", 100)
		f.kill(a)
		f.kill(b)

		Convey("the lease stays open until operators retire the incarnations", func() {
			f.advance(2 * time.Minute)
			So(f.ledger().Leases[0].Closed, ShouldBeFalse)
		})
	})
	for _, c := range []struct {
		name string
		// witnessResponds is set if the holder's witness in its domain keeps the request. Otherwise one of another domain does.
		witnessResponds bool
		billed          budget.Tokens
	}{
		{"the lease is closed once the incarnations are retired, with all acquired tokens as the bound", true, 0},
		{"if an instance of another domain keeps the request, it bills the request's bound, and the rest is parked", false, 100},
	} {
		Convey(c.name, t, func() {
			var l *api.QuotaLease
			var taken, recorded uint64
			var report BudgetReport
			var next Outcome
			// Calls take no time of the fleet's clock here. Otherwise a call to the witness that takes some real time exceeds
			// mirrorTimeout, and an instance of another domain keeps the request and bills it.
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 10_000)
				f.awaitCalls = synctest.Wait
				a, b := f.start("d1", "a"), f.start("d1", "b")
				far := f.start("d2", "x")
				holder, witness := f.holder("d1"), f.nonHolder("d1")
				f.setDisconnected(holder, witness, !c.witnessResponds)
				f.reserve(holder, "r1", 100)
				f.kill(a)
				f.kill(b)
				taken = f.ledger().Leases[0].Taken
				f.bundles.set(10_000, a.self.Incarnation, b.self.Incarnation)
				f.advance(time.Minute)
				l, report = f.ledger().Leases[0], f.report()
				recorded = uint64(report.Recorded)
				next = f.reserve(far, "r2", 100).Outcome
			})
			So(l.Closed, ShouldBeTrue)
			So(l.Bound, ShouldEqual, taken)
			So(recorded, ShouldEqual, c.billed)
			So(report.Parked, ShouldEqual, budget.Tokens(taken)-c.billed)
			So(report.Agrees, ShouldBeTrue)
			So(next, ShouldEqual, Granted)
		})
	}
	Convey("A holder alone in its domain has no witness, so the ceiling bounds the tokens parked once it is retired", t, func() {
		f := newFleet(t, 10_000)
		a := f.start("d1", "a")
		f.start("d2", "x")
		f.reserve(a, "r1", 100)
		f.kill(a)
		f.bundles.set(10_000, a.self.Incarnation)
		f.advance(time.Minute)
		So(f.report().Parked, ShouldBeLessThan, 1000)
	})
}
