package quota

import (
	"context"
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"pumiceshelf/api"
	"pumiceshelf/budget"
	"pumiceshelf/internal/standin"
)

func TestHolderCrash(t *testing.T) {
	Convey("Given three instances and a holder with open and settled requests", t, func() {
		f := newFleet(t, 10_000)
		for _, n := range []string{"a", "b", "c"} {
			f.start("d1", n)
		}
		holder, entry := f.holder("d1"), f.other("d1")
		So(f.reserve(entry, "settled", 100).Outcome, ShouldEqual, Granted)
		So(f.reserve(holder, "lost", 100).Outcome, ShouldEqual, Granted)
		f.settle(entry, "settled", 60)
		f.kill(holder)

		Convey("within a minute the tokens are back but for what may have been spent", func() {
			f.steps(time.Minute)
			l := f.ledger()
			So(l.Leases, ShouldHaveLength, 1)
			So(l.Leases[0].Closed, ShouldBeTrue)
			So(l.Leases[0].Bound, ShouldBeGreaterThanOrEqualTo, 160)
			So(l.Leases[0].Bound, ShouldBeLessThan, 1000)
			So(budget.Free(l), ShouldBeGreaterThan, 9000)
		})
		Convey("the next holder serves at once", func() {
			So(f.reserve(entry, "next", 100).Outcome, ShouldEqual, Granted)
		})
	})
}

func TestPausedHolder(t *testing.T) {
	Convey("Given a holder that pauses with authority left", t, func() {
		f := newFleet(t, 10_000)
		for _, n := range []string{"a", "b", "c"} {
			f.start("d1", n)
		}
		holder, entry := f.holder("d1"), f.other("d1")
		f.reserve(holder, "r0", 100)
		f.pause(holder, true)
		f.steps(time.Minute)
		So(f.ledger().Leases[0].Closed, ShouldBeTrue)
		bound := f.ledger().Leases[0].Bound

		Convey("what it spends after waking stays within the bound that the lease was closed with", func() {
			f.pause(holder, false)
			f.cutPlatform(holder.self.Name)
			spent := budget.Tokens(100)
			for i := range 200 {
				r := holder.Reserve(t.Context(), Request{RequestID: fmt.Sprint("w", i), Budget: hot, Bound: 100})
				if r.Outcome == Granted {
					spent += 100
				}
			}
			So(uint64(spent), ShouldBeLessThanOrEqualTo, bound)
		})
		Convey("it finds its lease closed and takes another", func() {
			f.pause(holder, false)
			f.steps(2 * time.Minute)
			So(f.reserve(holder, "r1", 100).Outcome, ShouldEqual, Granted)
			So(f.reserve(entry, "r2", 100).Outcome, ShouldEqual, Granted)
		})
	})
}

func TestCutFromHolder(t *testing.T) {
	Convey("Given an entry instance cut off from the holder", t, func() {
		f := newFleet(t, 10_000)
		f.start("d1", "a")
		f.start("d1", "b")
		holder, entry := f.holder("d1"), f.other("d1")
		f.reserve(holder, "r0", 100)
		f.cutLink(holder, entry, true)

		Convey("it takes a lease of its own", func() {
			r := f.reserve(entry, "r1", 100)
			So(r.Outcome, ShouldEqual, Granted)
			So(r.Holder, ShouldEqual, entry.self.Incarnation)
			So(f.ledger().Leases, ShouldHaveLength, 2)
		})
		Convey("it gives the lease back after the cut", func() {
			f.reserve(entry, "r1", 100)
			f.settle(entry, "r1", 10)
			f.cutLink(holder, entry, false)
			f.steps(30 * time.Second)
			So(f.ledger().Leases, ShouldHaveLength, 1)
			So(f.ledger().ClosedSpend, ShouldEqual, 10)
		})
	})
}

func TestReclaimOfLivingHolder(t *testing.T) {
	Convey("A reclaimer that read the ledger before its holder wrote it closes nothing", t, func() {
		f := newFleet(t, 10_000)
		f.start("d1", "a")
		f.start("d1", "b")
		holder, other := f.holder("d1"), f.other("d1")
		f.reserve(holder, "r0", 100)
		ledger, version, err := readLedger(t.Context(), f.objects.Client("test"), hot.Customer)
		So(err, ShouldBeNil)
		f.settle(holder, "r0", 50)
		f.steps(15 * time.Second)
		So(f.ledger().Leases[0].Settled, ShouldEqual, 50)
		f.bundles.set(10_000, holder.self.Incarnation)
		other.reclaimLedger(t.Context(), ledger, version, other.liveIncarnations())
		So(f.ledger().Leases[0].Closed, ShouldBeFalse)
		So(other.counters.reclaimWait.Count(), ShouldEqual, 1)
	})
}

func TestWitnessCrash(t *testing.T) {
	Convey("A witness that dies is replaced as soon as the view says so, and the lease can be reclaimed after", t, func() {
		f := newFleet(t, 10_000)
		for _, n := range []string{"a", "b", "c", "d"} {
			f.start("d1", n)
		}
		holder := f.holder("d1")
		f.reserve(holder, "r0", 100)
		f.steps(time.Second)
		witness := f.nodes[f.ledger().Leases[0].Witnesses[0]]
		f.kill(witness)
		f.steps(time.Second)
		So(f.ledger().Leases[0].Witnesses, ShouldHaveLength, 2)
		So(f.ledger().Leases[0].Witnesses, ShouldNotContain, witness.self.Incarnation)
		f.kill(holder)
		f.steps(time.Minute)
		So(f.ledger().Leases[0].Closed, ShouldBeTrue)
	})
	Convey("Spending goes on without the platform when one of two witnesses dies", t, func() {
		f := newFleet(t, 100_000)
		for _, n := range []string{"a", "b", "c"} {
			f.start("d1", n)
		}
		holder := f.holder("d1")
		f.reserve(holder, "r0", 1000)
		f.steps(time.Second)
		f.objects.SetFaults(standin.Faults{Unavailable: true})
		f.kill(f.nodes[f.ledgerOf(holder).Witnesses[0]])
		for i := range 15 {
			So(f.reserve(holder, fmt.Sprint("s", i), 1000).Outcome, ShouldEqual, Granted)
		}
	})
}

func TestOrphans(t *testing.T) {
	Convey("Given a request whose entry instance died", t, func() {
		f := newFleet(t, 10_000)
		known := false
		f.resolve = func(context.Context, string, string) (budget.Tokens, budget.Tokens, bool) { return 10, 20, known }
		for _, n := range []string{"a", "b", "c"} {
			f.start("d1", n)
		}
		holder, entry := f.holder("d1"), f.other("d1")
		f.reserve(entry, "r1", 100)

		Convey("it is billed at the usage that an engine reports", func() {
			known = true
			f.kill(entry)
			f.steps(55 * time.Second)
			So(f.ledger().Leases[0].Settled, ShouldEqual, 30)
		})
		Convey("it is billed at its bound when no engine knows", func() {
			f.kill(entry)
			f.steps(90 * time.Second)
			So(f.ledger().Leases[0].Settled, ShouldEqual, 100)
		})
		Convey("a late settlement of an instance that was only paused is a duplicate", func() {
			f.pause(entry, true)
			f.steps(90 * time.Second)
			f.pause(entry, false)
			f.settle(entry, "r1", 50)
			f.steps(15 * time.Second)
			So(f.ledger().Leases[0].Settled, ShouldEqual, 100)
			So(holder.counters.duplicate.Count(), ShouldEqual, 1)
		})
		Convey("a released request is not billed", func() {
			f.release(entry, "r1")
			f.steps(90 * time.Second)
			So(f.ledger().Leases[0].Settled, ShouldEqual, 0)
		})
		Convey("a reservation that its living entry instance does not know is released", func() {
			_, err := service{holder.Manager}.Reserve(t.Context(), &api.ReserveBatch{From: entry.self.Incarnation, Items: []*api.ReserveItem{
				{RequestId: "late", Customer: hot.Customer, Budget: hot.Budget, BoundTokens: 50, Attempt: 999},
			}})
			So(err, ShouldBeNil)
			So(holder.Status()[0].Lease.Reserved, ShouldEqual, 150)
			f.steps(time.Minute)
			So(holder.Status()[0].Lease.Reserved, ShouldEqual, 100)
		})
		Convey("a reservation whose answer was lost is released", func() {
			f.loseAnswers(func(_, to, rpc string) bool { return to == holder.self.Incarnation })
			r := f.reserve(entry, "r2", 100)
			So(r.Holder, ShouldEqual, entry.self.Incarnation)
			f.loseAnswers(nil)
			f.steps(90 * time.Second)
			So(holder.Status()[0].Lease.Reserved, ShouldEqual, 100)
		})
	})
}

// ledgerOf returns the hot budget's lease of a holder as the holder last read it.
func (f *fleet) ledgerOf(n *node) *api.QuotaLease {
	_, l, _ := n.holder.knownBook(hot.Customer).snapshot()
	return budget.Budget(l, hot.Budget).Leases[0]
}

// cutPlatform cuts the named instances off from the platform.
func (f *fleet) cutPlatform(names ...string) {
	f.objects.SetFaults(standin.Faults{Partitioned: func(caller string) bool {
		for _, n := range names {
			if n == caller {
				return true
			}
		}
		return false
	}})
}
