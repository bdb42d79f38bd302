package router

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/smartystreets/goconvey/convey"
)

func TestWakeGuard(t *testing.T) {
	Convey("Given an instance that runs", t, func() {
		clock := clockwork.NewFakeClock()
		g := newWakeGuard(clock)
		for range 10 {
			clock.Advance(wakeTick)
			So(g.hold(), ShouldEqual, time.Duration(0))
		}
		Convey("requests are not held up by a short pause", func() {
			clock.Advance(wakeGap)
			So(g.hold(), ShouldEqual, time.Duration(0))
		})
		Convey("after a freeze the first ones wait for what came meanwhile, later ones do not", func() {
			clock.Advance(3 * time.Second)
			So(g.hold(), ShouldEqual, wakeSettle)
			clock.Advance(wakeSettle / 2)
			So(g.hold(), ShouldEqual, wakeSettle/2)
			clock.Advance(wakeSettle / 2)
			So(g.hold(), ShouldEqual, time.Duration(0))
		})
		Convey("a request that waits is let go when the time is up", func() {
			clock.Advance(3 * time.Second)
			done := make(chan struct{})
			go func() {
				g.Wait(context.Background())
				close(done)
			}()
			So(clock.BlockUntilContext(context.Background(), 1), ShouldBeNil)
			clock.Advance(wakeSettle)
			<-done
		})
		Convey("a time of day that is set back holds nobody", func() {
			g.seen = g.seen.Add(time.Hour)
			So(g.hold(), ShouldEqual, time.Duration(0))
			So(g.hold(), ShouldEqual, time.Duration(0))
		})
	})
}
