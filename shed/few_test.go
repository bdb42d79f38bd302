package shed

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// TestFewRequests guards against an instance that sees two requests a second, one of 90 in front of two endpoints, and takes the load
// for smaller than it is: all of them together then send far more than the endpoints can handle.
func TestFewRequests(t *testing.T) {
	const instances, seconds, perInstance = 90, 300, 120.0 / 90
	room := Room{Endpoints: 2, Slots: 12, Running: 12, Waiting: 40, EndpointsWaiting: 2, WorkTime: 1, Instances: instances, Known: true, Age: 500 * time.Millisecond}
	request := Request{Customer: "a", Route: "r", TimeLeft: 10 * time.Second}
	// play returns the mean of the estimated load relative to that of the instance, and the share of decisions that found capacity for
	// all. Endpoints reject the given share of what is sent, beside what they take.
	play := func(rejected float64) (multiple, hasRoom float64) {
		s, rnd, now := New(Config{Seed: 1, way: sendAll}), rand.New(rand.NewPCG(1, 1)), time.Unix(1_000_000, 0)
		n := 0.0
		for end := now.Add(seconds * time.Second); now.Before(end); n++ {
			now = now.Add(time.Duration(rnd.ExpFloat64() / perInstance * (1 - rejected) * float64(time.Second)))
			if s.Decide("s", request, room, now).HasRoom {
				hasRoom++
			}
			if rnd.Float64() < rejected {
				s.Rejected("s", request, now)
			}
			multiple += s.service("s").multiple(room)
		}
		return multiple / n, hasRoom / n
	}
	Convey("the load of all instances is known to a tenth, although the time between two requests is long", t, func() {
		multiple, hasRoom := play(0)
		So(multiple, ShouldBeBetweenOrEqual, minAdmitted*instances, maxAdmitted*instances)
		Convey("and full endpoints are not taken for free ones if this instance sent nothing since their reports", func() {
			So(hasRoom, ShouldBeLessThan, 1-minAdmitted)
		})
	})
	Convey("requests that endpoints reject do not make the load of the others seem smaller", t, func() {
		multiple, _ := play(0.4)
		So(multiple, ShouldBeBetweenOrEqual, minAdmitted*instances, maxAdmitted*instances)
	})
}
