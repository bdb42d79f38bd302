package router

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/smartystreets/goconvey/convey"
)

func TestFreezeGuard(t *testing.T) {
	Convey("Given an instance that has been running without a freeze", t, func() {
		clock := clockwork.NewFakeClock()
		resumed := 0
		g := newFreezeGuard(clock, func() { resumed++ })
		for range 10 {
			clock.Advance(freezePollInterval)
			So(g.requestDelay(), ShouldEqual, time.Duration(0))
		}
		Convey("a pause that does not exceed freezeThreshold does not delay requests", func() {
			clock.Advance(freezeThreshold)
			So(g.requestDelay(), ShouldEqual, time.Duration(0))
		})
		Convey("after a freeze requests are delayed until catchUpDelay has passed, later ones are not", func() {
			clock.Advance(3 * time.Second)
			So(g.requestDelay(), ShouldEqual, catchUpDelay)
			clock.Advance(catchUpDelay / 2)
			So(g.requestDelay(), ShouldEqual, catchUpDelay/2)
			clock.Advance(catchUpDelay / 2)
			So(g.requestDelay(), ShouldEqual, time.Duration(0))
		})
		Convey("a freeze is reported once, before the first request", func() {
			So(resumed, ShouldEqual, 0)
			clock.Advance(3 * time.Second)
			g.requestDelay()
			g.requestDelay()
			So(resumed, ShouldEqual, 1)
		})
		Convey("a delayed request proceeds when catchUpDelay has passed", func() {
			clock.Advance(3 * time.Second)
			done := make(chan struct{})
			go func() {
				g.Wait(context.Background())
				close(done)
			}()
			So(clock.BlockUntilContext(context.Background(), 1), ShouldBeNil)
			clock.Advance(catchUpDelay)
			<-done
		})
		Convey("a wall clock that is set back does not delay requests", func() {
			g.lastRunning = g.lastRunning.Add(time.Hour)
			So(g.requestDelay(), ShouldEqual, time.Duration(0))
			So(g.requestDelay(), ShouldEqual, time.Duration(0))
		})
	})
}
