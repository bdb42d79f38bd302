package endpointload

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// engineStreams plays the streams of an engine of a relative work time that prefills 36 tokens per ms and has an event each 31 ms. The
// other values are the shares of the time or of the streams that are affected.
type engineStreams struct {
	random              *rand.Rand
	workTime, factor    float64
	disturbed, queued   float64
	cached, interrupted float64
}

// observe returns what an instance observes of the stream with a number. Two streams fall into one period of 600 ms.
func (e *engineStreams) observe(i int) Observation {
	if i%2 == 0 {
		e.factor = 1
		if e.random.Float64() < e.disturbed {
			e.factor = 2.5
		}
	}
	work := e.workTime * e.factor
	tokens := 1024 + e.random.Int64N(4000)
	first := time.Duration(work * float64(tokens) / 36 * float64(time.Millisecond))
	if e.random.Float64() < e.cached {
		first /= 5
	}
	if e.random.Float64() < e.queued {
		first += time.Duration(e.random.Int64N(int64(500 * time.Millisecond)))
	}
	times := NewStreamTimes(start)
	at := start.Add(first)
	times.Event(start, at)
	for range 8 {
		last := at
		at = at.Add(time.Duration(work * float64(31*time.Millisecond)))
		if e.random.Float64() < e.interrupted {
			at = at.Add(150 * time.Millisecond)
		}
		times.Event(last, at)
	}
	return Observe(tokens, times.First(), times.Gap())
}

// maxError is the error of an estimate with which engines of relative work times of 1 and 1.3 are still told apart: the root of 1.3.
// maxWrongShare is the share of the time that estimates would be wrong if they followed disturbances.
const (
	maxError      = 1.14
	maxWrongShare = 0.15
)

// TestEstimates guards against estimates that follow disturbances, queues or caching in place of the speed of the engine.
func TestEstimates(t *testing.T) {
	for name, e := range map[string]*engineStreams{
		"calm": {}, "disturbed": {disturbed: 0.15}, "queues": {queued: 0.5}, "caching that the instance does not know of": {cached: 0.1},
		"prompts between events": {interrupted: 0.3}, "all": {disturbed: 0.15, queued: 0.3, cached: 0.05, interrupted: 0.2},
	} {
		Convey(name, t, func() {
			for _, workTime := range []float64{0.7, 1, 1.3, 1.7} {
				e.random, e.workTime = rand.New(rand.NewPCG(1, 1)), workTime
				table, now, wrong, count := New(), start, 0, 2000
				id := endpoint("i-1", 7)
				for i := range count + maxObservations {
					now = now.Add(300 * time.Millisecond)
					table.Record(id, Report{Slots: 12}, now)
					table.RecordObservation(id, e.observe(i), now)
					if i < maxObservations {
						continue
					}
					view, _ := table.View(id, now)
					rate, gap := view.Learned.PrefillRate*workTime/36_000, float64(view.Learned.EventGap)/workTime/float64(31*time.Millisecond)
					if max(rate, 1/rate, gap, 1/gap) > maxError {
						wrong++
					}
				}
				So(float64(wrong)/float64(count), ShouldBeLessThan, maxWrongShare)
				t.Logf("%s, work time %g: %.3f of the estimates are wrong", name, workTime, float64(wrong)/float64(count))
			}
		})
	}
}

// TestObservationsOfProcesses guards against estimates of another process, of too few or of old streams, and of endpoints whose
// reports are not shared.
func TestObservationsOfProcesses(t *testing.T) {
	first, second := endpoint("i-1", 7), endpoint("i-1", 9)
	record := func(table *Table) {
		for i := range minObservations {
			table.RecordObservation(first, Observation{PrefillRate: 30_000 + i, EventGap: 30 * time.Millisecond}, start.Add(time.Duration(i)))
		}
	}
	learned := func(table *Table, now time.Time) Learned {
		v, _ := table.View(first, now)
		return v.Learned
	}
	Convey("an estimate needs a report and minObservations, expires, and does not pass to a new process", t, func() {
		table := New()
		record(table)
		So(table.Counts(), ShouldResemble, Counts{})
		table.Record(first, Report{Slots: 8}, start)
		So(learned(table, start), ShouldResemble, Learned{})
		record(table)
		So(learned(table, start.Add(2)), ShouldResemble, Learned{PrefillRate: 30_001, EventGap: 30 * time.Millisecond})
		table.Record(first, Report{Slots: 8}, start.Add(workTimeTTL+2))
		So(learned(table, start.Add(workTimeTTL+2)), ShouldResemble, Learned{})

		record(table)
		table.Record(second, Report{Slots: 8}, start.Add(workTimeTTL))
		view, ok := table.View(second, start.Add(workTimeTTL))
		So(ok, ShouldBeTrue)
		So(view.Learned, ShouldResemble, Learned{})
		table.RecordObservation(first, Observation{PrefillRate: 30_000}, start.Add(workTimeTTL))
		So(table.states["i-1"].learner.observations, ShouldBeEmpty)
	})
}

// TestSharedObservations guards against estimates that invalid values, or an observation that comes back, can move.
func TestSharedObservations(t *testing.T) {
	e := endpoint("i-1", 7)
	Convey("an observation reaches others once, with its age", t, func() {
		a, b := New(ShareAllReports), New(ShareAllReports)
		a.Record(e, Report{Slots: 8}, start)
		a.RecordObservation(e, Observation{PrefillRate: 30_000}, start)
		list := a.Statements(start.Add(time.Second))
		So(list[0].ObservationAge, ShouldEqual, time.Second)
		So(list[0].size()-Statement{Endpoint: e}.size(), ShouldEqual, observationBytes)
		b.Merge(list, start.Add(time.Second+10*time.Millisecond))
		So(b.states["i-1"].learner.observations, ShouldHaveLength, 1)
		for i := range 5 {
			a.Merge(b.Statements(start.Add(time.Second)), start.Add(time.Second+time.Duration(i)*10*time.Millisecond))
		}
		So(a.states["i-1"].learner.observations, ShouldHaveLength, 1)
		So(a.Counts().Observed, ShouldEqual, 1)
	})
	Convey("impossible values, wrong ages and outliers are dropped and counted; the report with them counts", t, func() {
		table := New(ShareAllReports)
		merge := func(o Observation, age time.Duration, i int) {
			now := start.Add(time.Duration(i) * time.Second)
			table.Merge([]Statement{{Endpoint: e, Report: Report{Running: i, Slots: 8}, Observation: o, ObservationAge: age}}, now)
		}
		for i := range minObservations {
			merge(Observation{PrefillRate: 30_000, EventGap: 30 * time.Millisecond}, 0, i)
		}
		invalid := []Observation{
			{PrefillRate: -1}, {PrefillRate: minPrefillRate - 1}, {PrefillRate: maxPrefillRate + 1}, {EventGap: -1}, {EventGap: maxEventGap + 1},
			{PrefillRate: 300_001}, {PrefillRate: 2_999}, {EventGap: 301 * time.Millisecond}, {EventGap: 2 * time.Millisecond},
		}
		for i, o := range invalid {
			merge(o, 0, minObservations+i)
		}
		merge(Observation{PrefillRate: 30_000}, -1, 20)
		merge(Observation{PrefillRate: 30_000}, workTimeTTL, 21)
		So(table.Counts(), ShouldResemble, Counts{Merged: int64(minObservations + len(invalid) + 2), Observed: minObservations, Outliers: int64(len(invalid) + 2)})
		view, _ := table.View(e, start.Add(21*time.Second))
		So(view.Running, ShouldEqual, 21)
		So(view.Learned, ShouldResemble, Learned{PrefillRate: 30_000, EventGap: 30 * time.Millisecond})
	})
}

// TestStreamTimes guards against gaps that the instance or its caller causes.
func TestStreamTimes(t *testing.T) {
	Convey("a caller that reads slowly does not make its engine seem slow or fast, and few events tell nothing", t, func() {
		times, at := NewStreamTimes(start), start.Add(time.Second)
		times.Event(start, at)
		for i := range 40 {
			last := at
			at = at.Add(30 * time.Millisecond)
			switch {
			case i%2 == 0:
				times.Event(last, at)
			case i%4 == 1:
				at = at.Add(300 * time.Millisecond)
				times.Event(at, at)
			default:
				at = last.Add(time.Millisecond)
				times.Event(at, at)
			}
			if i < minGaps {
				So(times.Gap(), ShouldEqual, 0)
			}
		}
		So(times.First(), ShouldEqual, time.Second)
		So(times.Gap(), ShouldEqual, 30*time.Millisecond)
	})
}
