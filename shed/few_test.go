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

// TestDemandFalls guards against an instance that sees few requests and refuses some of them later than 3 s after the demand has fallen
// below the capacity: its measured demand is up to 8 s old, and the reports of four endpoints, made at different moments, show a lack of
// capacity now and then.
func TestDemandFalls(t *testing.T) {
	const (
		// The capacity is 240 requests per second, of which each of 45 instances gets its part. Membership still lists 90.
		listed, perInstance = 90, 240.0 / 45
		excess, calm        = 1.5, 0.7
		burst, after        = 10 * time.Second, 10 * time.Second
		reportInterval      = 500 * time.Millisecond
		// reportsKnown is how old load reports may be.
		reportsKnown = 3 * time.Second
	)
	request := Request{Customer: "a", Route: "r", TimeLeft: 10 * time.Second}
	start := time.Unix(1_000_000, 0)
	Convey("nothing is refused later than 3 s after the demand has fallen", t, func() {
		inBurst, refused := 0, 0
		for seed := range uint64(100) {
			s, rnd := New(Config{Seed: seed + 1}), rand.New(rand.NewPCG(seed, 1))
			var endpoints [4]int
			var renewal [4]time.Time
			for now := start; now.Before(start.Add(burst + after)); {
				load := excess
				if now.Sub(start) >= burst {
					load = calm
				}
				now = now.Add(time.Duration(rnd.ExpFloat64() / (load * perInstance) * float64(time.Second)))
				room := Room{Endpoints: len(endpoints), Slots: 24, WorkTime: 1, Instances: listed, Known: true}
				for i := range endpoints {
					if !now.Before(renewal[i]) {
						endpoints[i], renewal[i] = requestsAt(load, rnd), now.Add(time.Duration(rnd.Float64()*2*float64(reportInterval)))
					}
					room.Running += min(endpoints[i], 6)
					room.Waiting += max(endpoints[i]-6, 0)
					if endpoints[i] > 6 {
						room.EndpointsWaiting++
					}
				}
				room.Age = reportInterval
				if s.Decide("s", request, room, now).Verdict == Send {
					continue
				}
				switch since := now.Sub(start.Add(burst)); {
				case since < 0:
					inBurst++
				case since > reportsKnown:
					refused++
				}
			}
		}
		t.Logf("%d requests were refused in the burst, %d later than %v after it", inBurst, refused, reportsKnown)
		So(inBurst, ShouldBeGreaterThan, 0)
		So(refused, ShouldEqual, 0)
	})
}

// requestsAt returns the number of requests at an endpoint with 6 slots, at random: as in a queue with Poisson arrivals and exponential
// times below the capacity, and with a queue of 1 to 8 above it.
func requestsAt(load float64, rnd *rand.Rand) int {
	if load >= 1 {
		return 7 + rnd.IntN(8)
	}
	const slots = 6
	weights, sum := make([]float64, 40), 0.0
	for n := range weights {
		weights[n] = 1
		if n > 0 {
			weights[n] = weights[n-1] * load * slots / float64(min(n, slots))
		}
		sum += weights[n]
	}
	x := rnd.Float64() * sum
	for n, w := range weights {
		if x -= w; x < 0 {
			return n
		}
	}
	return len(weights) - 1
}
