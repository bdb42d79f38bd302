package placement

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"pumiceshelf/endpointload"
	"pumiceshelf/registry"
)

// learnedFleet returns endpoints of equal names and a table that has observations of them: an event gap and a prefill rate for each.
func learnedFleet(table *endpointload.Table, now time.Time, workTime float64, gaps []time.Duration, rates []int) (list []registry.Endpoint) {
	for i, gap := range gaps {
		e := registry.Endpoint{ID: string(rune('a' + i)), Service: "model", Slots: 8}
		list = append(list, e)
		table.Record(e, endpointload.Report{Running: 1, Slots: 8, WorkTime: workTime}, now)
		for k := range 3 {
			table.RecordObservation(e, endpointload.Observation{EventGap: gap, PrefillRate: rates[i]}, now.Add(time.Duration(k)*time.Second))
		}
	}
	return list
}

// TestPrefillRate guards against a rate that depends on whether an engine has an estimate, and against one where nothing is learned.
func TestPrefillRate(t *testing.T) {
	Convey("the rate of a service is the median of the learned rates at the usual work time", t, func() {
		now, table := time.Unix(1000, 0), endpointload.New()
		c := NewWithLoads(nil, table)
		states := func(list []registry.Endpoint) (out []*endpointState) {
			for _, e := range list {
				out = append(out, c.stateOf(e))
			}
			return out
		}
		list := learnedFleet(table, now, 2, []time.Duration{1, 1, 1, 1}, []int{10_000, 20_000, 30_000, 0})
		for _, e := range c.withLoads(states(list), now.Add(2*time.Second)) {
			So(e.prefillTime(prefillTokensPerSecond), ShouldEqual, time.Second*prefillTokensPerSecond/40_000)
		}
		for _, e := range c.withLoads(states(list[3:]), now.Add(2*time.Second)) {
			So(e.prefillTime(prefillTokensPerSecond), ShouldEqual, time.Second)
		}
		So(c.withLoads(states(list), now.Add(3*time.Minute)), ShouldBeNil)
	})
}
