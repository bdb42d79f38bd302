package budget_test

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"pumiceshelf/budget"
)

func TestDemand(t *testing.T) {
	Convey("Given a demand of ten tokens per second", t, func() {
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
		d.RecordBound(500)
		tick(10, 5)
		Convey("the average is correct after a few seconds, before the window is full", func() {
			So(d.Over(time.Minute), ShouldBeBetweenOrEqual, 599, 601)
		})
		Convey("the average follows a change within minutes", func() {
			tick(10, 3600)
			tick(100, 900)
			So(d.PerSecond(), ShouldBeBetween, 98, 100.1)
		})
		Convey("the bound of a large request no longer counts after ten minutes", func() {
			So(d.LargestBound(), ShouldEqual, 500)
			tick(10, 600)
			So(d.LargestBound(), ShouldEqual, 0)
		})
	})
	Convey("A share is proportional to demand, and the full amount if there is no demand", t, func() {
		So(budget.Share(100, 1, 4), ShouldEqual, 25)
		So(budget.Share(100, 1, 0), ShouldEqual, 100)
	})
}
