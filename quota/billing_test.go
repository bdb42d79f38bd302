package quota

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/smartystreets/goconvey/convey"

	"pumiceshelf/internal/standin"
)

// report returns the report on the main budget.
func (f *fleet) report() BudgetReport {
	r, err := Report(f.t.Context(), f.store.Client("test"), mainBudget.Customer)
	if err != nil {
		f.t.Fatal(err)
	}
	return r[0]
}

// hookedClock calls onFirstNow at the first call of Now.
type hookedClock struct {
	clockwork.Clock
	onFirstNow func()
	done       atomic.Bool
}

func (c *hookedClock) Now() time.Time {
	if !c.done.Swap(true) {
		c.onFirstNow()
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
		holder, entry, far := f.holder("d1"), f.nonHolder("d1"), f.nonHolder("d2")

		Convey("after the fold, records and ledger agree and the segments are deleted", func() {
			f.reserve(entry, "r1", 100)
			f.settle(entry, "r1", 60)
			f.advance(90 * time.Second)
			r := f.report()
			So(r.Agrees, ShouldBeTrue)
			So(r.Recorded, ShouldEqual, 60)
			So(r.Settled, ShouldEqual, 60)
			remaining, _ := f.store.Client("test").List(t.Context(), usagePrefix, "", 10)
			So(remaining, ShouldBeEmpty)
		})
		for role, n := range map[string]*node{"its holder": holder, "another instance": entry} {
			Convey("a request that ends at "+role+" while open reservations are checked is charged", func() {
				So(f.reserve(n, "r1", 100).Outcome, ShouldEqual, Granted)
				f.clock.Advance(2 * holder.cfg.orphanAfter())
				// Settle reads the clock for its record after it marked the request as settling and before the holder
				// has the record.
				n.cfg.Clock = &hookedClock{Clock: f.clock, onFirstNow: func() { holder.resolveOrphans(t.Context()) }}
				f.settle(n, "r1", 60)
				f.advance(30 * time.Second)
				So(f.report().Recorded, ShouldEqual, 60)
			})
		}
		Convey("lost responses to segment writes cause no double charge", func() {
			var lost atomic.Int64
			f.store.SetFaults(standin.Faults{LoseResponse: func(string) bool { return lost.Add(1)%2 == 1 }})
			for _, id := range []string{"r1", "r2", "r3"} {
				So(f.reserve(entry, id, 100).Outcome, ShouldEqual, Granted)
				f.settle(entry, id, 60)
				f.advance(3 * time.Second)
			}
			f.store.SetFaults(standin.Faults{})
			f.advance(30 * time.Second)
			So(f.report().Recorded, ShouldEqual, 180)
			So(f.report().Settled, ShouldEqual, 180)
		})
		Convey("the entry instance keeps a settlement whose record the killed holder had not stored, for the next holder", func() {
			f.reserve(entry, "r1", 100)
			f.advance(3 * time.Second)
			f.disconnectStore(holder.self.Name)
			f.settle(entry, "r1", 60)
			f.kill(holder)
			f.advance(time.Minute)
			r := f.report()
			So(r.Closed, ShouldHaveLength, 1)
			So(r.Recorded, ShouldEqual, 60)
			So(r.Closed[0].Settled, ShouldEqual, 60)
			So(r.Agrees, ShouldBeTrue)
		})
		Convey("a settlement whose response was lost is charged even if its holder is killed", func() {
			f.reserve(entry, "r1", 100)
			f.advance(3 * time.Second)
			f.disconnectStore(holder.self.Name)
			f.dropResponses(func(_, _, rpc string) bool { return rpc == "/pumiceshelf.v1.BudgetPeer/Settle" })
			ctx, cancel := f.shortContext()
			entry.Settle(ctx, Usage{RequestID: "r1", Budget: mainBudget, Generated: 60, Ran: true})
			cancel()
			f.dropResponses(nil)
			f.advance(3 * time.Second)
			f.kill(holder)
			f.advance(time.Minute)
			So(f.report().Recorded, ShouldEqual, 60)
		})
		Convey("a holder that was only paused charges a request whose record was passed to another holder", func() {
			f.reserve(entry, "r1", 100)
			f.advance(3 * time.Second)
			f.store.SetFaults(standin.Faults{Unavailable: true})
			f.setPaused(holder, true)
			ctx, cancel := f.shortContext()
			entry.Settle(ctx, Usage{RequestID: "r1", Budget: mainBudget, Generated: 60, Ran: true})
			cancel()
			f.advance(2 * time.Minute)
			f.setPaused(holder, false)
			f.advance(10 * time.Second)
			f.store.SetFaults(standin.Faults{})
			f.advance(90 * time.Second)
			r := f.report()
			So(r.Settled, ShouldEqual, 60)
			So(r.Recorded, ShouldEqual, 60)
		})
		Convey("a request that ran in two domains is charged once", func() {
			f.reserve(entry, "r1", 100)
			f.reserve(far, "r1", 100)
			f.settle(entry, "r1", 60)
			f.settle(far, "r1", 60)
			f.advance(90 * time.Second)
			So(f.ledger().Refunded, ShouldEqual, 60)
			r := f.report()
			So(r.Recorded-r.Refunded, ShouldEqual, 60)
			So(r.Agrees, ShouldBeTrue)
		})
		Convey("a settlement whose response was lost is charged once", func() {
			f.reserve(entry, "r1", 100)
			f.dropResponses(func(_, _, rpc string) bool { return rpc == "/pumiceshelf.v1.BudgetPeer/Settle" })
			ctx, cancel := f.shortContext()
			entry.Settle(ctx, Usage{RequestID: "r1", Budget: mainBudget, Generated: 60, Ran: true})
			cancel()
			f.dropResponses(nil)
			f.advance(30 * time.Second)
			So(f.report().Recorded, ShouldEqual, 60)
			So(entry.requests.undeliveredCount(), ShouldEqual, 0)
		})
	})
}
