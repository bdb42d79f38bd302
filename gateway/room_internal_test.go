package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"
	. "github.com/smartystreets/goconvey/convey"

	"pumiceshelf/endpointload"
	"pumiceshelf/origin"
	"pumiceshelf/placement"
	"pumiceshelf/registry"
	"pumiceshelf/shed"
)

// Guards against refusals for want of room because of reports that are old, of few endpoints or of an earlier process, and against a
// request that goes before others more than once because of one refusal.
func TestRoomIsThatOfFreshReports(t *testing.T) {
	Convey("Given a service of which endpoints report that they are full", t, func() {
		now, loads := time.Unix(1000, 0), endpointload.New()
		s := newShedding(&Gateway{config: Config{Loads: loads, Chooser: placement.New(openLimits{}), Metrics: metrics.NewRegistry()}})
		var endpoints []registry.Endpoint
		for i := range 4 {
			endpoints = append(endpoints, registry.Endpoint{ID: fmt.Sprintf("i-%d", i), Service: "model", StartedUnixMilli: 5})
		}
		full := endpointload.Report{Running: 8, Waiting: 3, Slots: 8, WorkTime: 1}
		Convey("reports of half of the endpoints stand for all, those of fewer for none", func() {
			loads.Record(endpoints[0], full, now)
			So(s.sumRoom(endpoints, true, now), ShouldResemble, shed.Room{Endpoints: 4})
			loads.Record(endpoints[1], full, now)
			room := s.sumRoom(endpoints, true, now)
			So(room.Known, ShouldBeTrue)
			So([]int{room.Slots, room.Running, room.Waiting, room.EndpointsWaiting}, ShouldResemble, []int{32, 32, 12, 4})
		})
		Convey("reports count for 3 s", func() {
			for _, e := range endpoints {
				loads.Record(e, full, now)
			}
			So(s.sumRoom(endpoints, true, now.Add(2999*time.Millisecond)).Known, ShouldBeTrue)
			So(s.sumRoom(endpoints, true, now.Add(3*time.Second)).Known, ShouldBeFalse)
		})
		Convey("a rejection by an earlier process does not make an endpoint full", func() {
			idle := endpointload.Report{Slots: 8, WorkTime: 1}
			loads.Record(endpoints[0], idle, now)
			s.rejected(endpoints[0], now.Add(100*time.Millisecond))
			at := now.Add(200 * time.Millisecond)
			So(s.sumRoom(endpoints[:1], true, at).Running, ShouldEqual, 8)
			later := endpoints[0]
			later.StartedUnixMilli++
			loads.Record(later, idle, now)
			So(s.sumRoom([]registry.Endpoint{later}, true, at).Running, ShouldEqual, 0)
		})
		Convey("a refusal lets the request go before others once", func() {
			s.recordRefused("content", now)
			So(s.cameBack("content", now), ShouldBeTrue)
			So(s.cameBack("content", now), ShouldBeFalse)
			s.recordRefused("content", now)
			So(s.cameBack("content", now.Add(refusedTTL)), ShouldBeFalse)
		})
	})
}

// Guards against a stream that goes on, after its endpoint broke it off, although it is not certain which version began it (ORDER).
func TestStreamOfUncertainVersionGoesOnNowhere(t *testing.T) {
	Convey("Given a stream that has begun at one of two endpoints of its version", t, func() {
		set := registry.NewSet()
		for _, id := range []string{"i-1", "i-2"} {
			set.Put(registry.Endpoint{ID: id, Service: "model", SoftwareVersion: "v1", Version: 1})
		}
		view := set.View()
		first := view.Endpoints("model", time.Time{})[0]
		g := &Gateway{config: Config{
			Chooser: placement.New(openLimits{}), Clock: clockwork.NewFakeClock(), Endpoints: func() *registry.View { return view },
			Contact: func() (age, lasted time.Duration) { return 0, time.Hour },
		}}
		j := &job{gateway: g, service: "model", origin: &origin.Origin{Service: "model", Version: "v1"}, firstEndpoint: first}
		Convey("it may go on at both if the version is certain", func() {
			So(j.candidates(g.config.Clock.Now()), ShouldHaveLength, 2)
		})
		Convey("it may go on at none if it is not", func() {
			j.versionUncertain = true
			So(j.candidates(g.config.Clock.Now()), ShouldBeEmpty)
		})
		Convey("it may go on at none if its first endpoint is listed as another process", func() {
			j.firstEndpoint.StartedUnixMilli++
			So(j.candidates(g.config.Clock.Now()), ShouldBeEmpty)
		})
	})
}
