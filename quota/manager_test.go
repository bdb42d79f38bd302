package quota

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestReserveAndSettle(t *testing.T) {
	Convey("Given a domain of two instances and a budget of 1000 tokens", t, func() {
		f := newFleet(t, 1000)
		f.start("d1", "a")
		f.start("d1", "b")
		holder, other := f.holder("d1"), f.nonHolder("d1")

		Convey("the first reservation acquires a lease and waits for it", func() {
			r := f.reserve(holder, "r1", 100)
			So(r.Outcome, ShouldEqual, Granted)
			So(r.Holder, ShouldEqual, holder.self.Incarnation)
		})
		Convey("another instance reserves and settles at the holder", func() {
			r := f.reserve(other, "r1", 100)
			So(r.Outcome, ShouldEqual, Granted)
			So(r.Holder, ShouldEqual, holder.self.Incarnation)
			f.settle(other, "r1", 60)
			f.advance(12 * time.Second)
			So(f.ledger().Leases[0].Settled, ShouldEqual, 60)
		})
		Convey("exactly the whole budget can be spent", func() {
			for i := range 10 {
				id := fmt.Sprint("r", i)
				So(f.reserve(other, id, 100).Outcome, ShouldEqual, Granted)
				f.settle(other, id, 100)
			}
			So(f.reserve(other, "more", 1).Outcome, ShouldEqual, Exhausted)
			So(f.reserve(holder, "more2", 1).Outcome, ShouldEqual, Exhausted)
		})
		Convey("all budgets of a customer have the same holder and share its ledger updates", func() {
			So(f.reserve(other, "r1", 100).Outcome, ShouldEqual, Granted)
			f.advance(time.Second)
			done := make(chan Reservation, 1)
			go func() {
				done <- other.Reserve(t.Context(), Request{RequestID: "r2", Budget: sideBudget, Bound: 100, MaxWait: time.Minute})
			}()
			So(f.await(done).Holder, ShouldEqual, holder.self.Incarnation)
			f.settle(other, "r1", 60)
			other.Settle(t.Context(), Usage{RequestID: "r2", Budget: sideBudget, Generated: 70, Ran: true})
			before := holder.counters.ledgerWrites.Count()
			f.advance(15 * time.Second)
			So(holder.counters.ledgerWrites.Count()-before, ShouldBeLessThanOrEqualTo, 2)
			r, err := Report(t.Context(), f.store.Client("test"), mainBudget.Customer)
			So(err, ShouldBeNil)
			So(r[0].Settled+r[1].Settled, ShouldEqual, 130)
		})
		Convey("a request for an unknown budget is refused immediately", func() {
			r := holder.Reserve(t.Context(), Request{RequestID: "x", MaxWait: time.Second})
			So(r.Outcome, ShouldEqual, UnknownBudget)
		})
		Convey("draining returns the whole lease", func() {
			f.reserve(other, "r1", 100)
			f.settle(other, "r1", 60)
			done := make(chan error, 1)
			go func() { done <- holder.Drain(t.Context()) }()
			f.awaitError(done)
			So(f.ledger().Leases, ShouldBeEmpty)
			So(f.ledger().ClosedSpend, ShouldEqual, 60)
		})
	})
}
