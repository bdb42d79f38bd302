package budget_test

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"pumiceshelf/budget"
)

func TestDemand(t *testing.T) {
	Convey("Given ten tokens a second for an hour", t, func() {
		var d budget.Demand
		now := time.Unix(0, 0)
		d.Update(now)
		tick := func(tokens budget.Tokens, n int) {
			for range n {
				now = now.Add(time.Second)
				d.Add(tokens)
				d.Update(now)
			}
		}
		d.Ask(500)
		tick(10, 5)
		Convey("the average is right after a few seconds, also before the window is full", func() {
			So(d.Over(time.Minute), ShouldBeBetweenOrEqual, 599, 601)
		})
		Convey("it follows a change within some minutes", func() {
			tick(10, 3600)
			tick(100, 900)
			So(d.PerSecond(), ShouldBeBetween, 98, 100.1)
		})
		Convey("a large request is forgotten after some minutes", func() {
			So(d.Largest(), ShouldEqual, 500)
			tick(10, 600)
			So(d.Largest(), ShouldEqual, 0)
		})
	})
	Convey("Shares are in proportion to demand", t, func() {
		So(budget.Share(100, 1, 4), ShouldEqual, 25)
		So(budget.Share(100, 1, 0), ShouldEqual, 100)
	})
}
