package prepaid

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against leases near the end of a budget that follow single requests: a holder with few of them had none of its share left when
// the store became unavailable, and others twice theirs.
func TestEstimatesOfUse(t *testing.T) {
	Convey("Given an account with one request in two seconds", t, func() {
		a := &account{limit: 1 << 40}
		for n := range 120 {
			if n%4 == 0 {
				a.reserve(1000)
			}
			a.updateRates(tickInterval)
			if n >= 30 {
				So(a.demand().recoveryRate(), ShouldBeBetween, 400, 650)
			}
		}
		Convey("the rate follows when use triples", func() {
			for n := range 30 {
				if n%4 < 3 {
					a.reserve(1000)
				}
				a.updateRates(tickInterval)
			}
			So(a.demand().recoveryRate(), ShouldBeGreaterThan, 1000)
		})
	})
	Convey("Given holders with 3/7 and 1/7 of the traffic at 700 tokens per second after 20 s", t, func() {
		share := func(rate, horizon float64) float64 {
			d := demand{used: int64(20 * rate), limit: int64((20 + horizon) * rate), steadyRatePerSecond: rate}
			return useShare(d, 700*(20+int64(shareHorizon/time.Second)), 700, 5)
		}
		Convey("shares are those of the traffic and do not depend on the leases", func() {
			So(share(300, 1), ShouldAlmostEqual, 3.0/7, 0.03)
			So(share(100, 30), ShouldAlmostEqual, 1.0/7, 0.03)
			So(share(300, 1), ShouldEqual, share(300, 30))
		})
		Convey("a holder without use has half of an even share, and one that has just started an even one", func() {
			So(useShare(demand{}, 1<<30, 700, 5), ShouldEqual, 0.1)
			So(useShare(demand{}, 0, 700, 5), ShouldEqual, 0.2)
		})
	})
}
