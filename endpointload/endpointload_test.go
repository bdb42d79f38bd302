package endpointload

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"pumiceshelf/registry"
)

var start = time.Unix(1_000_000, 0)

func endpoint(id string, started int64) registry.Endpoint {
	return registry.Endpoint{ID: id, Service: "model", Address: "10.0.0.1:80", StartedUnixMilli: started, SoftwareVersion: "v1"}
}

func statement(e registry.Endpoint, running int, age time.Duration) Statement {
	return Statement{Endpoint: e, Report: Report{Running: running, Slots: 8, WorkTime: 1}, Age: age}
}

// running returns the number of running requests in the table's report of an endpoint, or -1 if it has none.
func running(t *Table, e registry.Endpoint, now time.Time) int {
	v, ok := t.View(e, now)
	if !ok {
		return -1
	}
	return v.Running
}

func TestNewestReportWins(t *testing.T) {
	e := endpoint("i-1", 7)
	Convey("an older report that arrives later does not replace a newer one", t, func() {
		table := New()
		table.Merge([]Statement{statement(e, 2, time.Second)}, start)
		table.Merge([]Statement{statement(e, 1, 2*time.Second)}, start)
		So(running(table, e, start), ShouldEqual, 2)
		table.Record(e, Report{Running: 3}, start)
		table.Merge([]Statement{statement(e, 2, time.Millisecond)}, start)
		So(running(table, e, start), ShouldEqual, 3)
		So(table.Counts(), ShouldResemble, Counts{Merged: 1})
	})
	Convey("the age is relative to this instance's clock, so that those of other instances do not matter", t, func() {
		table := New()
		table.Merge([]Statement{statement(e, 2, 1500*time.Millisecond)}, start)
		view, ok := table.View(e, start.Add(time.Second))
		So(ok, ShouldBeTrue)
		So(view.Age, ShouldEqual, 2500*time.Millisecond)
		So(view.Fresh(), ShouldBeTrue)
		passedOn := table.Statements(start.Add(time.Second))
		So(passedOn, ShouldHaveLength, 1)
		So(passedOn[0].Age, ShouldEqual, 2500*time.Millisecond)
	})
	Convey("a report that comes back from other instances is not news, although the time on the way makes it seem newer", t, func() {
		table := New()
		table.Record(e, Report{Running: 1, WorkTime: 2}, start)
		table.Record(e, Report{Running: 1, WorkTime: 1}, start.Add(time.Second))
		for i := range 20 {
			// Each time the report seems 10 ms newer than before.
			now := start.Add(2*time.Second + time.Duration(i)*10*time.Millisecond)
			table.Merge([]Statement{{Endpoint: e, Report: Report{Running: 1, WorkTime: 1}, Age: time.Second}}, now)
		}
		So(table.states["i-1"].at, ShouldEqual, start.Add(time.Second))
		So(table.states["i-1"].workTimes, ShouldHaveLength, 2)
	})
}

func TestProcesses(t *testing.T) {
	first, second := endpoint("i-1", 7), endpoint("i-1", 9)
	Convey("a process that starts under the ID of another one has no report, and no typical work time of the other one", t, func() {
		table := New()
		table.Merge([]Statement{{Endpoint: first, Report: Report{Running: 5, WorkTime: 2.4}}}, start)
		So(running(table, second, start), ShouldEqual, -1)
		table.Record(second, Report{Running: 1, WorkTime: 1}, start)
		view, ok := table.View(second, start)
		So(ok, ShouldBeTrue)
		So(view.TypicalWorkTime, ShouldEqual, 1)
		So(running(table, first, start), ShouldEqual, -1)
	})
	Convey("a newer report of the older process is ignored", t, func() {
		table := New()
		table.Record(second, Report{Running: 1}, start)
		table.Record(first, Report{Running: 5}, start.Add(time.Second))
		table.Merge([]Statement{statement(first, 5, 0)}, start.Add(time.Second))
		So(running(table, second, start.Add(time.Second)), ShouldEqual, 1)
	})
	Convey("of two processes whose start is not known, the one with the newer report counts", t, func() {
		table := New()
		one, two := endpoint("i-1", 0), endpoint("i-1", 0)
		two.Address = "10.0.0.2:80"
		table.Merge([]Statement{statement(two, 2, time.Second), statement(one, 1, 2*time.Second)}, start)
		So(running(table, two, start), ShouldEqual, 2)
		table.Merge([]Statement{statement(one, 3, 0)}, start)
		So(running(table, one, start), ShouldEqual, 3)
	})
	Convey("a peer that names a later start does not displace an endpoint that responds to this instance", t, func() {
		table := New()
		table.Record(first, Report{Running: 1}, start)
		table.Merge([]Statement{statement(endpoint("i-1", math.MaxInt64), 0, 0)}, start)
		So(running(table, first, start), ShouldEqual, 1)
		later := start.Add(reportTTL)
		table.Merge([]Statement{statement(endpoint("i-1", math.MaxInt64), 0, 0)}, later)
		So(running(table, first, later), ShouldEqual, -1)
		table.Record(first, Report{Running: 2}, later)
		So(running(table, first, later), ShouldEqual, 2)
	})
	Convey("a process that ended long ago displaces none", t, func() {
		table := New()
		table.Merge([]Statement{statement(second, 1, 0)}, start)
		table.Merge([]Statement{statement(first, 2, 0)}, start.Add(workTimeTTL))
		So(running(table, first, start.Add(workTimeTTL)), ShouldEqual, 2)
	})
}

func TestInvalidStatements(t *testing.T) {
	e := endpoint("i-1", 7)
	Convey("statements with impossible values are dropped and counted, and leave the last valid one", t, func() {
		table := New()
		table.Merge([]Statement{statement(e, 2, time.Second)}, start)
		invalid := []Statement{
			{Endpoint: e, Report: Report{Running: -1}}, {Endpoint: e, Report: Report{Waiting: -1}}, {Endpoint: e, Report: Report{Slots: -1}},
			{Endpoint: e, Report: Report{Running: maxCount + 1}}, {Endpoint: e, Report: Report{WorkTime: -0.1}},
			{Endpoint: e, Report: Report{WorkTime: 100.1}}, {Endpoint: e, Report: Report{WorkTime: math.NaN()}},
			{Endpoint: e, Report: Report{WorkTime: math.Inf(1)}}, {Endpoint: e, Age: -1}, {Endpoint: e, Age: workTimeTTL + 1},
		}
		table.Merge(invalid, start)
		So(table.Counts(), ShouldResemble, Counts{Merged: 1, Dropped: int64(len(invalid))})
		for _, s := range invalid {
			if !s.valid() {
				table.Record(e, s.Report, start)
			}
		}
		So(running(table, e, start), ShouldEqual, 2)
		table.Merge([]Statement{{Endpoint: e, Report: Report{Running: maxCount, WorkTime: 100}}}, start)
		So(running(table, e, start), ShouldEqual, maxCount)
	})
	Convey("a peer that invents endpoints fills the table up to its bound, and known ones go on", t, func() {
		table := New()
		table.Record(e, Report{Running: 1}, start)
		for i := range maxEndpoints + 10 {
			table.Merge([]Statement{statement(endpoint(fmt.Sprint("x-", i), 1), 1, 0)}, start)
		}
		So(table.states, ShouldHaveLength, maxEndpoints)
		So(table.Counts().Dropped, ShouldEqual, 11)
		table.Merge([]Statement{statement(e, 4, 0)}, start.Add(time.Second))
		So(running(table, e, start.Add(time.Second)), ShouldEqual, 4)
		table.Retain(func(id string) bool { return id == "i-1" })
		So(table.states, ShouldHaveLength, 1)
	})
}

func TestExpiry(t *testing.T) {
	e := endpoint("i-1", 7)
	Convey("a report describes the queue for reportTTL, and is known and passed on for workTimeTTL", t, func() {
		table := New()
		table.Record(e, Report{Running: 1, WorkTime: 2}, start)
		view, ok := table.View(e, start.Add(reportTTL))
		So(ok, ShouldBeTrue)
		So(view.Fresh(), ShouldBeFalse)
		So(view.TypicalWorkTime, ShouldEqual, 2)
		So(table.Statements(start.Add(workTimeTTL-1)), ShouldHaveLength, 1)
		So(table.Statements(start.Add(workTimeTTL)), ShouldBeEmpty)
		_, ok = table.View(e, start.Add(workTimeTTL))
		So(ok, ShouldBeFalse)
	})
	Convey("the table is active while an endpoint has reported a work time within activeTTL", t, func() {
		table := New()
		So(table.Active(start), ShouldBeFalse)
		table.Record(e, Report{Running: 1}, start)
		So(table.Active(start), ShouldBeFalse)
		table.Merge([]Statement{statement(endpoint("i-2", 1), 1, time.Second)}, start)
		So(table.Active(start), ShouldBeTrue)
		So(table.Active(start.Add(activeTTL-time.Second-1)), ShouldBeTrue)
		So(table.Active(start.Add(activeTTL-time.Second)), ShouldBeFalse)
	})
}

func TestTypicalWorkTime(t *testing.T) {
	e := endpoint("i-1", 7)
	Convey("disturbances in less than half of the reports do not change the typical work time", t, func() {
		for _, speed := range []float64{0.7, 1.7} {
			table, now := New(), start
			for i := range 40 {
				now = now.Add(time.Second)
				workTime := speed
				if i%15 < 6 {
					workTime = speed * 2.5
				}
				table.Record(e, Report{WorkTime: workTime}, now)
				if i >= 15 {
					view, _ := table.View(e, now)
					So(view.TypicalWorkTime, ShouldEqual, speed)
				}
			}
		}
	})
	Convey("reports without a work time and those older than workTimeTTL do not count", t, func() {
		table := New()
		table.Record(e, Report{WorkTime: 4}, start)
		table.Record(e, Report{WorkTime: 4}, start.Add(time.Second))
		table.Record(e, Report{WorkTime: 1}, start.Add(10*time.Second))
		table.Record(e, Report{}, start.Add(workTimeTTL+time.Second))
		view, _ := table.View(e, start.Add(workTimeTTL))
		So(view.TypicalWorkTime, ShouldEqual, 1)
		view, ok := table.View(e, start.Add(workTimeTTL+15*time.Second))
		So(ok, ShouldBeTrue)
		So(view.TypicalWorkTime, ShouldEqual, 0)
	})
	Convey("an endpoint that changes its speed for good has a new typical work time after eight reports", t, func() {
		table, now := New(), start
		for range maxWorkTimes {
			now = now.Add(time.Second)
			table.Record(e, Report{WorkTime: 0.7}, now)
		}
		for range (maxWorkTimes + 1) / 2 {
			now = now.Add(time.Second)
			table.Record(e, Report{WorkTime: 1.7}, now)
		}
		view, _ := table.View(e, now)
		So(view.TypicalWorkTime, ShouldEqual, 1.7)
	})
}

// TestReportsWithoutWorkTime guards against instances that share nothing, or share what no deployment asked for, where endpoints report
// no work times.
func TestReportsWithoutWorkTime(t *testing.T) {
	Convey("reports without a work time are shared only if all are, and have no typical work time", t, func() {
		e, report := endpoint("i-1", 7), Report{Running: 3, Slots: 12}
		So(New().Wants(report), ShouldBeFalse)
		So(New().Wants(Report{WorkTime: 0.7}), ShouldBeTrue)
		table := New(ShareAllReports)
		So(table.Wants(report), ShouldBeTrue)
		So(table.Active(start), ShouldBeFalse)
		table.Record(e, report, start)
		So(table.Active(start), ShouldBeTrue)
		view, ok := table.View(e, start.Add(time.Second))
		So(ok, ShouldBeTrue)
		So(view.Report, ShouldResemble, report)
		So(view.TypicalWorkTime, ShouldEqual, 0)
		other := New()
		other.Merge(table.Statements(start), start)
		So(running(other, e, start), ShouldEqual, 3)
	})
}

func TestBoundOnStatements(t *testing.T) {
	Convey("three quarters of a full message are the newest statements in order, and the rest the others in turn", t, func() {
		for _, idLength := range []int{8, 60, 400} {
			table, bytes := New(), statementBytes+idLength+len("model10.0.0.1:80v1")
			for i := range 300 {
				e := endpoint(fmt.Sprintf("%0*d", idLength, i), 7)
				table.Record(e, Report{WorkTime: 1}, start.Add(time.Duration(i)*time.Millisecond))
			}
			fitting, newest := maxMessageBytes/bytes, maxNewestBytes/bytes
			older, passedOn := 300-newest, make(map[string]bool)
			for range (older + fitting - newest - 1) / (fitting - newest) {
				list := table.Statements(start.Add(time.Second))
				So(list, ShouldHaveLength, fitting)
				for i, s := range list {
					if i < newest {
						So(s.Endpoint.ID, ShouldEqual, fmt.Sprintf("%0*d", idLength, 299-i))
					} else {
						passedOn[s.Endpoint.ID] = true
					}
				}
			}
			So(passedOn, ShouldHaveLength, older)
		}
	})
	Convey("all statements are in each message if they fit, each once", t, func() {
		table := New()
		for i := range 60 {
			table.Record(endpoint(fmt.Sprintf("%08d", i), 7), Report{WorkTime: 1}, start)
		}
		for range 3 {
			seen := make(map[string]bool)
			for _, s := range table.Statements(start) {
				seen[s.Endpoint.ID] = true
			}
			So(seen, ShouldHaveLength, 60)
			So(table.Statements(start), ShouldHaveLength, 60)
		}
	})
	Convey("a statement that is longer than a message is not passed on", t, func() {
		table := New()
		table.Record(endpoint(strings.Repeat("x", maxMessageBytes), 7), Report{}, start)
		So(table.Statements(start), ShouldBeEmpty)
		for i := range 200 {
			table.Record(endpoint(fmt.Sprintf("%08d", i), 7), Report{WorkTime: 1}, start.Add(-time.Second))
		}
		seen := make(map[string]bool)
		for range 10 {
			for _, s := range table.Statements(start) {
				seen[s.Endpoint.ID] = true
			}
		}
		So(seen, ShouldHaveLength, 200)
	})
}

// TestMergeOrder guards against tables that depend on the order in which instances exchange reports: all must end with the newest
// report of the latest process of each endpoint.
func TestMergeOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ids := []string{"i-1", "i-2", "i-3"}
		ages := rapid.SliceOfNDistinct(rapid.IntRange(0, 25_000), 1, 30, rapid.ID).Draw(t, "ages")
		var list []Statement
		newest := make(map[string]Statement)
		for i, ms := range ages {
			e := endpoint(rapid.SampledFrom(ids).Draw(t, "id"), rapid.Int64Range(1, 3).Draw(t, "started"))
			// The number of running requests identifies the report.
			s := statement(e, i, time.Duration(ms)*time.Millisecond)
			list = append(list, s)
			best, ok := newest[e.ID]
			if !ok || e.StartedUnixMilli > best.Endpoint.StartedUnixMilli ||
				e.StartedUnixMilli == best.Endpoint.StartedUnixMilli && s.Age < best.Age {
				newest[e.ID] = s
			}
		}
		table := New()
		for _, s := range rapid.Permutation(list).Draw(t, "order") {
			table.Merge([]Statement{s}, start)
		}
		// A second instance that gets everything from the first one, and the first one's statements again.
		other := New()
		other.Merge(table.Statements(start), start)
		table.Merge(other.Statements(start), start)
		for id, want := range newest {
			view, ok := table.View(want.Endpoint, start)
			if !ok || view.Report != want.Report || view.Age != want.Age {
				t.Fatalf("endpoint %s has %+v (%v), want %+v", id, view, ok, want)
			}
			if got, ok := other.View(want.Endpoint, start); !ok || got.Report != want.Report {
				t.Fatalf("another instance has %+v (%v) of endpoint %s, want %+v", got, ok, id, want)
			}
		}
	})
}
