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
			r := n.Reserve(ctx, Request{RequestID: "r", Budget: hot, Bound: 100, Wait: time.Minute})
			So(r.Outcome, ShouldEqual, Granted)
			n.Settle(ctx, Usage{RequestID: "r", Budget: hot, Generated: 70, Ran: true})
			So(n.Drain(ctx), ShouldBeNil)
			So(f.ledger().ClosedSpend, ShouldEqual, 70)
			cancel()
			So(<-done, ShouldBeNil)
		})
		Convey("a drain that cannot finish says what is left", func() {
			n.Reserve(ctx, Request{RequestID: "r", Budget: hot, Bound: 100, Wait: time.Minute})
			short, stop := context.WithTimeout(ctx, 10*time.Millisecond)
			defer stop()
			So(n.Drain(short).Error(), ShouldContainSubstring, "1 leases")
			cancel()
			So(<-done, ShouldBeNil)
		})
	})
}

func TestGate(t *testing.T) {
	Convey("While the platform does not answer, requests are refused at once and calls to it stay few", t, func() {
		f := newFleet(t, 1000)
		n := f.start("d1", "a")
		f.objects.SetFaults(standin.Faults{Unavailable: true})
		start := f.clock.Now()
		for range 200 {
			r := f.reserveWithin(n, "r", 100, time.Minute)
			So(r.Outcome, ShouldEqual, OutOfReach)
			f.step(50 * time.Millisecond)
		}
		passed := f.clock.Since(start)
		So(passed, ShouldBeLessThan, 15*time.Second)
		So(n.counters.reads.Count(), ShouldBeLessThan, passed.Seconds()+5)
		Convey("and they are served soon after it is back", func() {
			f.objects.SetFaults(standin.Faults{})
			f.steps(time.Second)
			So(f.reserve(n, "s", 100).Outcome, ShouldEqual, Granted)
		})
	})
	Convey("A ledger that cannot be read is no ledger: nothing is reserved and nothing written", t, func() {
		f := newFleet(t, 1000)
		n := f.start("d1", "a")
		_, err := f.objects.Client("test").Put(t.Context(), LedgerPrefix+hot.Customer, []byte("garbage"), 0)
		So(err, ShouldBeNil)
		So(f.reserve(n, "r", 100).Outcome, ShouldEqual, OutOfReach)
		So(n.counters.writes.Count(), ShouldEqual, 0)
	})
}
