package quota

import (
	"fmt"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"pumiceshelf/internal/standin"
)

func TestHotBudget(t *testing.T) {
	Convey("Given eight domains that take small leases of one budget side by side, on a slow platform", t, func() {
		f := newFleet(t, 1_000_000)
		f.policy = PolicySmall
		f.objects.SetFaults(standin.Faults{Delay: time.Millisecond})
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
					r := n.Reserve(t.Context(), Request{RequestID: fmt.Sprint(n.self.Name, i), Budget: hot, Bound: 1000, Wait: time.Minute})
					mu.Lock()
					outcomes[r.Outcome]++
					mu.Unlock()
				}
			})
		}
		f.togetherUntil(&all)

		Convey("all requests are granted, and conflicts stay within a few for each update", func() {
			So(outcomes, ShouldResemble, map[Outcome]int{Granted: 8 * rounds})
			var writes, conflicts int64
			for _, n := range nodes {
				writes += n.counters.writes.Count()
				conflicts += n.counters.conflict.Count()
			}
			So(conflicts, ShouldBeGreaterThan, 0)
			So(conflicts, ShouldBeLessThan, 8*(writes-conflicts))
		})
	})
}

// togetherUntil lets time go on, with all instances at work side by side, until a group of calls has returned.
func (f *fleet) togetherUntil(all *sync.WaitGroup) {
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

func TestRetired(t *testing.T) {
	Convey("Given a whole domain lost with an open lease", t, func() {
		f := newFleet(t, 10_000)
		a, b := f.start("d1", "a"), f.start("d1", "b")
		far := f.start("d2", "x")
		holder := f.holder("d1")
		f.reserve(holder, "r1", 100)
		f.kill(a)
		f.kill(b)

		Convey("it stays open while operators say nothing", func() {
			f.steps(2 * time.Minute)
			So(f.ledger().Leases[0].Closed, ShouldBeFalse)
		})
		Convey("it is closed once its incarnations are retired, with all that it took as the bound", func() {
			taken := f.ledger().Leases[0].Taken
			f.bundles.set(10_000, a.self.Incarnation, b.self.Incarnation)
			f.steps(time.Minute)
			l := f.ledger().Leases[0]
			So(l.Closed, ShouldBeTrue)
			So(l.Bound, ShouldEqual, taken)
			So(f.report().Parked, ShouldEqual, taken)
			So(f.reserve(far, "r2", 100).Outcome, ShouldEqual, Granted)
		})
	})
	Convey("A holder alone in its domain has no witness: the ceiling bounds what is lost with it, once retired", t, func() {
		f := newFleet(t, 10_000)
		a := f.start("d1", "a")
		f.start("d2", "x")
		f.reserve(a, "r1", 100)
		f.kill(a)
		f.bundles.set(10_000, a.self.Incarnation)
		f.steps(time.Minute)
		So(f.report().Parked, ShouldBeLessThan, 1000)
	})
}
