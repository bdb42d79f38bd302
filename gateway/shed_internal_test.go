package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"
	. "github.com/smartystreets/goconvey/convey"

	"pumiceshelf/endpointload"
	"pumiceshelf/placement"
	"pumiceshelf/registry"
)

// TestShedWorkTime guards against shedding for endpoints that report no work times where nobody asked for it, or for engines whose
// speed is not known.
func TestShedWorkTime(t *testing.T) {
	Convey("reports without a work time count only for plain endpoints, and only where all reports are shared", t, func() {
		with := endpointload.View{Report: endpointload.Report{Running: 6, Slots: 6, WorkTime: 2.5}}
		without := endpointload.View{Report: endpointload.Report{Running: 6, Slots: 6}}
		for _, shared := range []bool{false, true} {
			loads := endpointload.New()
			if shared {
				loads = endpointload.New(endpointload.ShareAllReports)
			}
			for _, engine := range []bool{false, true} {
				workTime, known := shedWorkTime(loads, with, engine)
				So(known, ShouldBeTrue)
				So(workTime, ShouldEqual, 2.5)
				workTime, known = shedWorkTime(loads, without, engine)
				So(known, ShouldEqual, shared && !engine)
				So(workTime, ShouldEqual, 1)
			}
		}
	})
}

// TestRoomOfIdleEndpoints guards against refusals while the endpoints that get few requests, and so report seldom, have free slots.
func TestRoomOfIdleEndpoints(t *testing.T) {
	Convey("full endpoints do not stand for those whose last report is older than 3 s, but for those that have made none", t, func() {
		now := time.Unix(1_000_000, 0)
		loads := endpointload.New()
		g := New(Config{Loads: loads, Chooser: placement.New(nil), Clock: clockwork.NewFakeClock(), Metrics: metrics.NewRegistry()})
		var endpoints []registry.Endpoint
		for i := range 6 {
			e := registry.Endpoint{ID: fmt.Sprint("i-", i), Service: "s", StartedUnixMilli: 1}
			endpoints = append(endpoints, e)
			switch {
			case i < 3:
				loads.Record(e, endpointload.Report{Running: 12, Waiting: 10, Slots: 12, WorkTime: 1}, now)
			case i < 5:
				loads.Record(e, endpointload.Report{Running: 2, Slots: 12, WorkTime: 1}, now.Add(-4*time.Second))
			}
		}
		room := g.shedding.sumRoom(endpoints, true, now)
		So(room.Known, ShouldBeTrue)
		So(room.Slots, ShouldEqual, 72)
		So(room.Running, ShouldEqual, 48)
		So(room.EndpointsWaiting, ShouldEqual, 3)
	})
}
