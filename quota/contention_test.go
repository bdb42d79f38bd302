package quota

import (
	"fmt"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

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
		far := f.start("d2", "x")
		holder := f.holder("d1")
		f.reserve(holder, "r1", 100)
		f.kill(a)
		f.kill(b)

		Convey("the lease stays open until operators retire the incarnations", func() {
			f.advance(2 * time.Minute)
			So(f.ledger().Leases[0].Closed, ShouldBeFalse)
		})
		Convey("the lease is closed once the incarnations are retired, with all acquired tokens as the bound", func() {
			taken := f.ledger().Leases[0].Taken
			f.bundles.set(10_000, a.self.Incarnation, b.self.Incarnation)
			f.advance(time.Minute)
			l := f.ledger().Leases[0]
			So(l.Closed, ShouldBeTrue)
			So(l.Bound, ShouldEqual, taken)
			So(f.report().Parked, ShouldEqual, taken)
			So(f.reserve(far, "r2", 100).Outcome, ShouldEqual, Granted)
		})
	})
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
