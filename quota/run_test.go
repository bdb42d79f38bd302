package quota

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/smartystreets/goconvey/convey"

	"pumiceshelf/internal/standin"
)

func TestRun(t *testing.T) {
	Convey("Given a manager that runs on the real clock", t, func() {
		f := newFleet(t, 1000)
		n := f.start("d1", "a")
		n.cfg.Clock = clockwork.NewRealClock()
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- n.Run(ctx) }()

		Convey("it serves, drains and stops", func() {
			r := n.Reserve(ctx, Request{RequestID: "r", Budget: mainBudget, Bound: 100, MaxWait: time.Minute})
			So(r.Outcome, ShouldEqual, Granted)
			n.Settle(ctx, Usage{RequestID: "r", Budget: mainBudget, Generated: 70, Ran: true})
			So(n.Drain(ctx), ShouldBeNil)
			So(f.ledger().ClosedSpend, ShouldEqual, 70)
			So([]int64{n.counters.leaseAcquired.Count(), n.counters.leaseReturned.Count()}, ShouldResemble, []int64{1, 1})
			cancel()
			So(<-done, ShouldBeNil)
		})
		Convey("a drain that cannot finish reports what remains", func() {
			n.Reserve(ctx, Request{RequestID: "r", Budget: mainBudget, Bound: 100, MaxWait: time.Minute})
			short, stop := context.WithTimeout(ctx, 10*time.Millisecond)
			defer stop()
			So(n.Drain(short).Error(), ShouldContainSubstring, "1 leases")
			cancel()
			So(<-done, ShouldBeNil)
		})
	})
}

func TestCircuitBreaker(t *testing.T) {
	Convey("While the object store is unavailable, requests are refused immediately and few calls are made to it", t, func() {
		f := newFleet(t, 1000)
		n := f.start("d1", "a")
		f.store.SetFaults(standin.Faults{Unavailable: true})
		start := f.clock.Now()
		for range 200 {
			r := f.reserveWithin(n, "r", 100, time.Minute)
			So(r.Outcome, ShouldEqual, Unavailable)
			f.step(50 * time.Millisecond)
		}
		passed := f.clock.Since(start)
		So(passed, ShouldBeLessThan, 15*time.Second)
		So(n.counters.ledgerReads.Count(), ShouldBeLessThan, passed.Seconds()+5)
		Convey("and requests are granted soon after it is available again", func() {
			f.store.SetFaults(standin.Faults{})
			f.advance(time.Second)
			So(f.reserve(n, "s", 100).Outcome, ShouldEqual, Granted)
		})
	})
	Convey("A malformed ledger is not treated as missing: nothing is reserved and nothing is written", t, func() {
		f := newFleet(t, 1000)
		n := f.start("d1", "a")
		_, err := f.store.Client("test").Put(t.Context(), LedgerPrefix+mainBudget.Customer, []byte("garbage"), 0)
		So(err, ShouldBeNil)
		So(f.reserve(n, "r", 100).Outcome, ShouldEqual, Unavailable)
		So(n.counters.ledgerWrites.Count(), ShouldEqual, 0)
	})
}
