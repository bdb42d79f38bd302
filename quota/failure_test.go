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
		holder, entry := f.holder("d1"), f.nonHolder("d1")
		So(f.reserve(entry, "settled", 100).Outcome, ShouldEqual, Granted)
		So(f.reserve(holder, "lost", 100).Outcome, ShouldEqual, Granted)
		f.settle(entry, "settled", 60)
		f.kill(holder)

		Convey("within a minute, all tokens that cannot have been spent are free again", func() {
			f.advance(time.Minute)
			l := f.ledger()
			So(l.Leases, ShouldHaveLength, 1)
			So(l.Leases[0].Closed, ShouldBeTrue)
			So(l.Leases[0].Bound, ShouldBeGreaterThanOrEqualTo, 160)
			So(l.Leases[0].Bound, ShouldBeLessThan, 1000)
			So(budget.Free(l), ShouldBeGreaterThan, 9000)
		})
		Convey("the next holder grants a request within the ten seconds that it may wait", func() {
			So(f.reserve(entry, "next", 100).Outcome, ShouldEqual, Granted)
		})
	})
}

func TestPausedHolder(t *testing.T) {
	Convey("Given a holder that is paused while its lease has unused tokens", t, func() {
		f := newFleet(t, 10_000)
		for _, n := range []string{"a", "b", "c"} {
			f.start("d1", n)
		}
		holder, entry := f.holder("d1"), f.nonHolder("d1")
		f.reserve(holder, "r0", 100)
		f.setPaused(holder, true)
		f.advance(time.Minute)
		So(f.ledger().Leases[0].Closed, ShouldBeTrue)
		bound := f.ledger().Leases[0].Bound

		Convey("its spending after it resumes stays within the bound that the lease was closed with", func() {
			f.setPaused(holder, false)
			f.disconnectStore(holder.self.Name)
			spent := budget.Tokens(100)
			for i := range 200 {
				r := holder.Reserve(t.Context(), Request{RequestID: fmt.Sprint("w", i), Budget: mainBudget, Bound: 100})
				if r.Outcome == Granted {
					spent += 100
				}
			}
			So(uint64(spent), ShouldBeLessThanOrEqualTo, bound)
		})
		Convey("it detects that its lease is closed and acquires another", func() {
			f.setPaused(holder, false)
			f.advance(2 * time.Minute)
			So(f.reserve(holder, "r1", 100).Outcome, ShouldEqual, Granted)
			So(f.reserve(entry, "r2", 100).Outcome, ShouldEqual, Granted)
		})
	})
}

func TestDisconnectedFromHolder(t *testing.T) {
	Convey("Given an entry instance disconnected from the holder", t, func() {
		f := newFleet(t, 10_000)
		f.start("d1", "a")
		f.start("d1", "b")
		holder, entry := f.holder("d1"), f.nonHolder("d1")
		f.reserve(holder, "r0", 100)
		f.setDisconnected(holder, entry, true)

		Convey("it acquires its own lease", func() {
			r := f.reserve(entry, "r1", 100)
			So(r.Outcome, ShouldEqual, Granted)
			So(r.Holder, ShouldEqual, entry.self.Incarnation)
			So(f.ledger().Leases, ShouldHaveLength, 2)
		})
		Convey("it returns its lease after it is connected again", func() {
			f.reserve(entry, "r1", 100)
			f.settle(entry, "r1", 10)
			f.setDisconnected(holder, entry, false)
			f.advance(30 * time.Second)
			So(f.ledger().Leases, ShouldHaveLength, 1)
			So(f.ledger().ClosedSpend, ShouldEqual, 10)
		})
	})
}

func TestReclaimOfLiveHolder(t *testing.T) {
	Convey("A reclaimer that read the ledger before the holder's last write closes no lease", t, func() {
		f := newFleet(t, 10_000)
		f.start("d1", "a")
		f.start("d1", "b")
		holder, other := f.holder("d1"), f.nonHolder("d1")
		f.reserve(holder, "r0", 100)
		ledger, version, err := readLedger(t.Context(), f.store.Client("test"), mainBudget.Customer)
		So(err, ShouldBeNil)
		f.settle(holder, "r0", 50)
		f.advance(15 * time.Second)
		So(f.ledger().Leases[0].Settled, ShouldEqual, 50)
		f.bundles.set(10_000, holder.self.Incarnation)
		other.reclaimLedger(t.Context(), ledger, version, other.liveIncarnations())
		So(f.ledger().Leases[0].Closed, ShouldBeFalse)
		So(other.counters.reclaimPostponed.Count(), ShouldEqual, 1)
	})
}

func TestWitnessCrash(t *testing.T) {
	Convey("A killed witness is replaced as soon as the view changes, and the lease can still be reclaimed", t, func() {
		f := newFleet(t, 10_000)
		for _, n := range []string{"a", "b", "c", "d"} {
			f.start("d1", n)
		}
		holder := f.holder("d1")
		f.reserve(holder, "r0", 100)
		f.advance(time.Second)
		witness := f.nodes[f.ledger().Leases[0].Witnesses[0]]
		f.kill(witness)
		f.advance(time.Second)
		So(f.ledger().Leases[0].Witnesses, ShouldHaveLength, 2)
		So(f.ledger().Leases[0].Witnesses, ShouldNotContain, witness.self.Incarnation)
		f.kill(holder)
		f.advance(time.Minute)
		So(f.ledger().Leases[0].Closed, ShouldBeTrue)
	})
	Convey("During a store outage, spending continues after one of two witnesses is killed", t, func() {
		f := newFleet(t, 100_000)
		for _, n := range []string{"a", "b", "c"} {
			f.start("d1", n)
		}
		holder := f.holder("d1")
		f.reserve(holder, "r0", 1000)
		f.advance(time.Second)
		f.store.SetFaults(standin.Faults{Unavailable: true})
		f.kill(f.nodes[f.cachedLease(holder).Witnesses[0]])
		for i := range 15 {
			So(f.reserve(holder, fmt.Sprint("s", i), 1000).Outcome, ShouldEqual, Granted)
		}
	})
}

func TestOrphans(t *testing.T) {
	Convey("Given a request whose entry instance is not the holder", t, func() {
		f := newFleet(t, 10_000)
		known := false
		f.resolve = func(context.Context, string, string) (budget.Tokens, budget.Tokens, bool) { return 10, 20, known }
		for _, n := range []string{"a", "b", "c"} {
			f.start("d1", n)
		}
		holder, entry := f.holder("d1"), f.nonHolder("d1")
		f.reserve(entry, "r1", 100)

		Convey("after its entry instance is killed, it is charged with the usage that an engine reports", func() {
			known = true
			f.kill(entry)
			f.advance(55 * time.Second)
			So(f.ledger().Leases[0].Settled, ShouldEqual, 30)
		})
		Convey("after its entry instance is killed, it is charged at its bound if no engine knows the request", func() {
			f.kill(entry)
			f.advance(90 * time.Second)
			So(f.ledger().Leases[0].Settled, ShouldEqual, 100)
		})
		Convey("a late settlement by an entry instance that was only paused is a duplicate", func() {
			f.setPaused(entry, true)
			f.advance(90 * time.Second)
			f.setPaused(entry, false)
			f.settle(entry, "r1", 50)
			f.advance(15 * time.Second)
			So(f.ledger().Leases[0].Settled, ShouldEqual, 100)
			So(holder.counters.duplicate.Count(), ShouldEqual, 1)
		})
		Convey("a released request is not charged", func() {
			f.release(entry, "r1")
			f.advance(90 * time.Second)
			So(f.ledger().Leases[0].Settled, ShouldEqual, 0)
		})
		Convey("a reservation that its live entry instance does not know is released", func() {
			_, err := service{holder.Manager}.Reserve(t.Context(), &api.ReserveBatch{From: entry.self.Incarnation, Items: []*api.ReserveItem{
				{RequestId: "late", Customer: mainBudget.Customer, Budget: mainBudget.Budget, BoundTokens: 50, Attempt: 999},
			}})
			So(err, ShouldBeNil)
			So(holder.Status()[0].Lease.Reserved, ShouldEqual, 150)
			f.advance(time.Minute)
			So(holder.Status()[0].Lease.Reserved, ShouldEqual, 100)
		})
		Convey("a reservation whose response was lost is released", func() {
			f.dropResponses(func(_, to, rpc string) bool { return to == holder.self.Incarnation })
			r := f.reserve(entry, "r2", 100)
			So(r.Holder, ShouldEqual, entry.self.Incarnation)
			f.dropResponses(nil)
			f.advance(90 * time.Second)
			So(holder.Status()[0].Lease.Reserved, ShouldEqual, 100)
		})
	})
}

// cachedLease returns the main budget's first lease as the holder last read it.
func (f *fleet) cachedLease(n *node) *api.QuotaLease {
	_, l, _ := n.holder.existingLedger(mainBudget.Customer).snapshot()
	return budget.Budget(l, mainBudget.Budget).Leases[0]
}

// disconnectStore disconnects the named instances from the object store and reconnects all others.
func (f *fleet) disconnectStore(names ...string) {
	f.store.SetFaults(standin.Faults{Partitioned: func(caller string) bool {
		for _, n := range names {
			if n == caller {
				return true
			}
		}
		return false
	}})
}
