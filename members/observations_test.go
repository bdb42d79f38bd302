package members

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"
	. "github.com/smartystreets/goconvey/convey"
	"google.golang.org/protobuf/types/known/durationpb"

	"pumiceshelf/api"
	"pumiceshelf/endpointload"
)

// TestObservationsReachInstances guards against estimates that few instances have: one instance observes an engine about once in 20 s.
// Within 10 s, before the first streams count in the model of package placement, an instance knows the speed of 19 of 20 engines.
func TestObservationsReachInstances(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const size, endpoints = 69, 140
		f := newLoadFleet(t, fleetNames(size))
		defer f.stop()
		f.run(size)
		gap := func(i int) time.Duration { return time.Duration(31+9*(i%3/2)) * time.Millisecond }
		for began := time.Now(); time.Since(began) < 10*time.Second; time.Sleep(300 * time.Millisecond) {
			for i := range endpoints {
				loads := f.peers[rand.N(size)].config.Loads
				loads.Record(loadEndpoint(i), endpointload.Report{Running: 3, Slots: 12, WorkTime: 1}, time.Now())
				loads.RecordObservation(loadEndpoint(i), endpointload.Observe(0, 0, gap(i)+rand.N(time.Millisecond)), time.Now())
			}
		}
		known := 0
		for _, p := range f.peers {
			for i := range endpoints {
				if v, _ := p.config.Loads.View(loadEndpoint(i), time.Now()); v.Learned.EventGap/time.Millisecond == gap(i)/time.Millisecond {
					known++
				}
			}
		}
		share := float64(known) / size / endpoints
		t.Logf("%.1f%% of the speeds are known after 10 s", 100*share)
		if share < 0.95 {
			t.Errorf("%.1f%% of the speeds are known after 10 s, want 95%%", 100*share)
		}
	})
}

// TestObservationsInMessages guards against observations that age too little on the way, and against impossible ones of a peer. A
// peer of an earlier release sends none.
func TestObservationsInMessages(t *testing.T) {
	Convey("an observation keeps its values and its age, and impossible ones are dropped and counted", t, func() {
		o := endpointload.Observation{PrefillRate: 34_000, EventGap: 31_234 * time.Microsecond}
		sent := []endpointload.Statement{{Endpoint: loadEndpoint(1), Observation: o, ObservationAge: 2 * time.Second}, {Endpoint: loadEndpoint(2)}}
		message := encodeReports(sent, 100*time.Millisecond)
		decoded := decodeReports(message, 200*time.Millisecond)
		So(decoded[0].Observation, ShouldResemble, o)
		So(decoded[0].ObservationAge, ShouldEqual, 2300*time.Millisecond)
		So(decoded[1].Observation, ShouldResemble, endpointload.Observation{})
		So(message.Loads[1].ObservationAgeMs, ShouldEqual, 0)

		m := New(Config{Self: &api.FleetMember{}, Clock: clockwork.NewFakeClock(), Metrics: metrics.NewRegistry()})
		_, err := m.ExchangeLoads(t.Context(), &api.EndpointReports{Loads: []*api.EndpointReport{
			{Endpoint: "i-1", PrefillRate: 1}, {Endpoint: "i-2", EventGapUs: 1 << 31}, {Endpoint: "i-3", EventGapUs: 30_000, ObservationAgeMs: 1 << 31},
			{Endpoint: "i-4", PrefillRate: 34_000, EventGapUs: 30_000, Age: durationpb.New(time.Second), ObservationAgeMs: 1000}, {Endpoint: "i-5"},
		}})
		So(err, ShouldBeNil)
		So(descLoadMerged.Counter(m.config.Metrics).Count(), ShouldEqual, 5)
		So(descObserved.Counter(m.config.Metrics).Count(), ShouldEqual, 1)
		So(descOutliers.Counter(m.config.Metrics).Count(), ShouldEqual, 3)
	})
}
