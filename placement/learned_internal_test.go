package placement

import (
	"fmt"
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

// TestLearnedWorkTimes guards against slow engines that get as much as fast ones, against engines left out without need, and against
// any change where load reports are not shared or speeds are not known.
func TestLearnedWorkTimes(t *testing.T) {
	const ms = time.Millisecond
	now := time.Unix(1000, 0)
	gaps, rates := []time.Duration{31 * ms, 31 * ms, 30 * ms, 40 * ms, 95 * ms}, []int{33_000, 33_000, 33_000, 25_400, 10_800}
	request := func(i int) Request {
		return Request{
			Service: "model", PromptTokens: 9000, MaxTimeToFirstToken: time.Second,
			PromptParts: []PromptPart{{ID: fmt.Sprint("session", i), Tokens: 6000}, {ID: "own", Tokens: 3000}},
		}
	}
	chosen := func(c *Chooser, list []registry.Endpoint) map[string]int {
		counts := make(map[string]int)
		for i := range 4000 {
			choice := c.Pick(list, request(i), nil, now.Add(2*time.Second))
			choice.Ticket.Done(Served, now.Add(2*time.Second))
			counts[choice.Ticket.Endpoint.ID]++
		}
		return counts
	}
	limits := func() Limits { return newExplainFixture().limits }
	Convey("engines get sessions in inverse proportion to their work times, and those three times slower none", t, func() {
		table := endpointload.New(endpointload.ShareAllReports)
		list := learnedFleet(table, now, 0, gaps, rates)
		c := NewWithLoads(limits(), table)
		counts := chosen(c, list)
		So(counts["e"], ShouldEqual, 0)
		So(float64(counts["d"])/float64(counts["a"]+counts["b"]+counts["c"])*3, ShouldAlmostEqual, 1/1.3, 0.1)
		So(c.stateOf(list[0]).prefillTime(33_000), ShouldAlmostEqual, time.Second, 30*ms)
		So(c.stateOf(list[3]).prefillTime(33_000), ShouldAlmostEqual, 1300*ms, 30*ms)
		explained := c.Explain(list, request(1), now.Add(2*time.Second)).Candidates
		So(explained[len(explained)-1].Endpoint.ID, ShouldEqual, "e")
		So(explained[len(explained)-1].Remarks, ShouldContain, "slow, and faster engines have room")

		Convey("until the faster ones have no room", func() {
			for _, e := range list[:4] {
				table.Record(e, endpointload.Report{Running: 7, Slots: 8}, now.Add(2*time.Second))
			}
			So(float64(chosen(c, list)["e"])/4000, ShouldAlmostEqual, 1/3.1/(3+1/1.3+1/3.1), 0.02)
		})
	})
	Convey("nothing changes if reports are not shared, if the speed of few engines is known, or if it was learned long ago", t, func() {
		before := New(limits())
		want := chosen(before, learnedFleet(endpointload.New(), now, 0, gaps, rates))
		unshared, few, old := endpointload.New(), endpointload.New(endpointload.ShareAllReports), endpointload.New(endpointload.ShareAllReports)
		list := learnedFleet(old, now.Add(-3*time.Minute), 0, gaps, rates)
		learnedFleet(few, now, 0, []time.Duration{31 * ms, 31 * ms, 0, 0, 0}, []int{33_000, 33_000, 0, 0, 0})
		for _, table := range []*endpointload.Table{unshared, few, old} {
			c := NewWithLoads(limits(), table)
			So(chosen(c, list), ShouldResemble, want)
			So(c.stateOf(list[0]).learned, ShouldResemble, learnedSpeed{})
		}
	})
}
