package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"
	. "github.com/smartystreets/goconvey/convey"

	"pumiceshelf/endpointload"
	"pumiceshelf/placement"
	"pumiceshelf/registry"
)

func TestInvalidLoadReports(t *testing.T) {
	Convey("invalid load reports are all counted and are logged with endpoint and text once a minute for each endpoint", t, func() {
		clock, lines, registryOfMetrics := clockwork.NewFakeClock(), memory.New(), metrics.NewRegistry()
		g := New(Config{Clock: clock, Log: &log.Logger{Handler: lines, Level: log.DebugLevel}, Metrics: registryOfMetrics})
		respond := func(id, invalid string) {
			j := &job{gateway: g, meta: RequestMeta{ID: "r-1"}}
			j.recordInvalidLoad(&attempt{ticket: &placement.Ticket{Endpoint: registry.Endpoint{ID: id}}, meta: ResponseMeta{InvalidLoad: invalid}})
		}
		counted := func() int64 { return descInvalidLoads.Counter(registryOfMetrics).Count() }

		respond("i-1", "")
		So(counted(), ShouldEqual, 0)
		respond("i-1", "3;1;8")
		respond("i-1", "3;2;8")
		respond("i-2", "many")
		So(counted(), ShouldEqual, 3)
		So(lines.Entries, ShouldHaveLength, 2)
		So(lines.Entries[0].Fields, ShouldResemble, log.Fields{"request_id": "r-1", "endpoint": "i-1", "load": "3;1;8"})
		So(lines.Entries[1].Fields["endpoint"], ShouldEqual, "i-2")

		clock.Advance(invalidLoadLogInterval - time.Nanosecond)
		respond("i-1", "3;3;8")
		So(lines.Entries, ShouldHaveLength, 2)
		clock.Advance(time.Nanosecond)
		respond("i-1", "3;4;8")
		So(lines.Entries, ShouldHaveLength, 3)
		So(counted(), ShouldEqual, 5)
	})
	Convey("endpoints under ever new IDs do not fill the memory", t, func() {
		l, now := newLoadReports(metrics.NewRegistry()), time.Unix(1, 0)
		for i := range maxInvalidLoadEndpoints {
			So(l.mayLog(fmt.Sprint("i-", i), now), ShouldBeTrue)
		}
		So(l.mayLog("another", now), ShouldBeFalse)
		So(l.mayLog("another", now.Add(invalidLoadLogInterval)), ShouldBeTrue)
		So(l.loggedAt, ShouldHaveLength, 1)
	})
}

func TestLoadReportAge(t *testing.T) {
	Convey("the age of the report is recorded for endpoints that have one", t, func() {
		clock, loads, registryOfMetrics := clockwork.NewFakeClock(), endpointload.New(), metrics.NewRegistry()
		e := registry.Endpoint{ID: "i-1"}
		loads.Record(e, endpointload.Report{Slots: 8}, clock.Now())
		clock.Advance(2 * time.Second)
		g := New(Config{Clock: clock, Metrics: registryOfMetrics, Loads: loads})
		g.recordLoadReportAge(e)
		g.recordLoadReportAge(registry.Endpoint{ID: "i-2"})
		New(Config{Clock: clock, Metrics: metrics.NewRegistry()}).recordLoadReportAge(e)
		age := descLoadReportAge.Timer(registryOfMetrics)
		So(age.Count(), ShouldEqual, 1)
		So(age.Max(), ShouldEqual, int64(2*time.Second))
	})
}
