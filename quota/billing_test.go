package quota

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/smartystreets/goconvey/convey"

	"pumiceshelf/internal/standin"
)

// report returns the report on the hot budget.
func (f *fleet) report() BudgetReport {
	r, err := Report(f.t.Context(), f.objects.Client("test"), hot.Customer)
	if err != nil {
		f.t.Fatal(err)
	}
	return r[0]
}

// askedClock does something, once, when the time is asked.
type askedClock struct {
	clockwork.Clock
	asked func()
	done  atomic.Bool
}

func (c *askedClock) Now() time.Time {
	if !c.done.Swap(true) {
		c.asked()
	}
	return c.Clock.Now()
}

func TestRecords(t *testing.T) {
	Convey("Given three instances in one domain and two in another", t, func() {
		f := newFleet(t, 10_000)
		for _, n := range []string{"a", "b", "c"} {
			f.start("d1", n)
		}
		f.start("d2", "x")
		f.start("d2", "y")
		holder, entry, far := f.holder("d1"), f.other("d1"), f.other("d2")

		Convey("records and ledger agree after the fold, and segments are gone", func() {
			f.reserve(entry, "r1", 100)
			f.settle(entry, "r1", 60)
			f.steps(90 * time.Second)
			r := f.report()
			So(r.Agrees, ShouldBeTrue)
			So(r.Recorded, ShouldEqual, 60)
			So(r.Settled, ShouldEqual, 60)
			left, _ := f.objects.Client("test").List(t.Context(), usagePrefix, "", 10)
			So(left, ShouldBeEmpty)
		})
		for place, n := range map[string]*node{"its holder": holder, "another instance": entry} {
			Convey("a request that ends at "+place+" while open reservations are checked is billed", func() {
				So(f.reserve(n, "r1", 100).Outcome, ShouldEqual, Granted)
				f.clock.Advance(2 * holder.cfg.orphanAfter())
				// Settle reads the clock for its record, after it took the request out and before the holder has it.
				n.cfg.Clock = &askedClock{Clock: f.clock, asked: func() { holder.resolveOrphans(t.Context()) }}
				f.settle(n, "r1", 60)
				f.steps(30 * time.Second)
				So(f.report().Recorded, ShouldEqual, 60)
			})
		}
		Convey("a lost answer to a segment's write bills nothing twice", func() {
			var lost atomic.Int64
			f.objects.SetFaults(standin.Faults{LoseResponse: func(string) bool { return lost.Add(1)%2 == 1 }})
			for _, id := range []string{"r1", "r2", "r3"} {
				So(f.reserve(entry, id, 100).Outcome, ShouldEqual, Granted)
				f.settle(entry, id, 60)
				f.steps(3 * time.Second)
			}
			f.objects.SetFaults(standin.Faults{})
			f.steps(30 * time.Second)
			So(f.report().Recorded, ShouldEqual, 180)
			So(f.report().Settled, ShouldEqual, 180)
		})
		Convey("a settlement that the holder took with it is kept by the entry instance for the next holder", func() {
			f.reserve(entry, "r1", 100)
			f.steps(3 * time.Second)
			f.cutPlatform(holder.self.Name)
			f.settle(entry, "r1", 60)
			f.kill(holder)
			f.steps(time.Minute)
			r := f.report()
			So(r.Closed, ShouldHaveLength, 1)
			So(r.Recorded, ShouldEqual, 60)
			So(r.Closed[0].Settled, ShouldEqual, 60)
			So(r.Agrees, ShouldBeTrue)
		})
		Convey("a settlement whose answer is lost is not lost with its holder", func() {
			f.reserve(entry, "r1", 100)
			f.steps(3 * time.Second)
			f.cutPlatform(holder.self.Name)
			f.loseAnswers(func(_, _, rpc string) bool { return rpc == "/pumiceshelf.v1.BudgetPeer/Settle" })
			ctx, cancel := f.soon()
			entry.Settle(ctx, Usage{RequestID: "r1", Budget: hot, Generated: 60, Ran: true})
			cancel()
			f.loseAnswers(nil)
			f.steps(3 * time.Second)
			f.kill(holder)
			f.steps(time.Minute)
			So(f.report().Recorded, ShouldEqual, 60)
		})
		Convey("a holder that was only paused bills what another holder was given the record of", func() {
			f.reserve(entry, "r1", 100)
			f.steps(3 * time.Second)
			f.objects.SetFaults(standin.Faults{Unavailable: true})
			f.pause(holder, true)
			ctx, cancel := f.soon()
			entry.Settle(ctx, Usage{RequestID: "r1", Budget: hot, Generated: 60, Ran: true})
			cancel()
			f.steps(2 * time.Minute)
			f.pause(holder, false)
			f.steps(10 * time.Second)
			f.objects.SetFaults(standin.Faults{})
			f.steps(90 * time.Second)
			r := f.report()
			So(r.Settled, ShouldEqual, 60)
			So(r.Recorded, ShouldEqual, 60)
		})
		Convey("a request that ran in two domains is billed once", func() {
			f.reserve(entry, "r1", 100)
			f.reserve(far, "r1", 100)
			f.settle(entry, "r1", 60)
			f.settle(far, "r1", 60)
			f.steps(90 * time.Second)
			So(f.ledger().Refunded, ShouldEqual, 60)
			r := f.report()
			So(r.Recorded-r.Refunded, ShouldEqual, 60)
			So(r.Agrees, ShouldBeTrue)
		})
		Convey("a settlement whose answer is lost is billed once", func() {
			f.reserve(entry, "r1", 100)
			f.loseAnswers(func(_, _, rpc string) bool { return rpc == "/pumiceshelf.v1.BudgetPeer/Settle" })
			ctx, cancel := f.soon()
			entry.Settle(ctx, Usage{RequestID: "r1", Budget: hot, Generated: 60, Ran: true})
			cancel()
			f.loseAnswers(nil)
			f.steps(30 * time.Second)
			So(f.report().Recorded, ShouldEqual, 60)
			So(entry.entry.undelivered(), ShouldEqual, 0)
		})
	})
}
