// Package endpointload keeps the newest load report of each endpoint, from this instance's own responses and from those of other
// instances. It is for large fleets before many endpoints, where one instance sends too few requests to an endpoint to know its speed
// and its queue.
//
// The package is pure: callers pass the current time. A Table is safe for concurrent use.
package endpointload

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"pumiceshelf/registry"
)

const (
	// reportTTL is how long a report describes the queue of an endpoint. Streams take a few seconds, so an older queue is gone.
	reportTTL = 3 * time.Second
	// workTimeTTL is how long a work time counts for the typical one. It is long because slow endpoints get few requests, so that
	// they report seldom.
	workTimeTTL = 2 * time.Minute
	// activeTTL is how long instances go on exchanging reports after the last work time that one of them has heard of.
	activeTTL = 30 * time.Second
	// maxWorkTimes bounds the work times kept for an endpoint. The median of so many is not moved by a disturbance that lasts for
	// a few of them.
	maxWorkTimes = 15
	// maxWorkTime and maxCount are the highest valid values in a report of another instance. Counts fit the messages between
	// instances, and no endpoint has a million slots.
	maxWorkTime = 100
	maxCount    = 1_000_000
	// minAdvance is how much newer a report of another instance must be to count although its values are the same. It is the longest
	// time that one message takes. The time on the way makes a report that comes back seem newer than it is, and the same report
	// would count several times for the typical work time.
	minAdvance = 300 * time.Millisecond
	// maxEndpoints bounds the endpoints in the table; a fleet has at most about 1,300.
	maxEndpoints = 4096
	// maxMessageBytes bounds the statements of one message, so that it is sent in a few packets. statementBytes is the size of an
	// encoded statement without the texts that name the endpoint, if all values have their greatest length.
	maxMessageBytes = 8 << 10
	statementBytes  = 56
	// maxNewestBytes bounds the newest statements of a message, so that the older ones of 140 endpoints are passed on within about
	// five messages.
	maxNewestBytes = maxMessageBytes * 3 / 4
)

// Report is an endpoint's own report of its load.
type Report struct {
	Running, Waiting, Slots int
	// WorkTime is how long work takes on the endpoint at this moment, relative to the usual: 1 is as usual. It is zero if the
	// endpoint does not report it.
	WorkTime float64
}

// valid reports whether the values are possible.
func (r Report) valid() bool {
	for _, n := range []int{r.Running, r.Waiting, r.Slots} {
		if n < 0 || n > maxCount {
			return false
		}
	}
	return r.WorkTime >= 0 && r.WorkTime <= maxWorkTime
}

// View is what is known of an endpoint's load.
type View struct {
	Report
	// Age is the time since the endpoint made the report.
	Age time.Duration
	// TypicalWorkTime is the median of the work times of the last reports. It separates the lasting speed of an endpoint from
	// short disturbances. It is zero if none is known.
	TypicalWorkTime float64
	// Learned is the speed that instances have observed.
	Learned Learned
}

// Fresh reports whether the report still describes the queue of the endpoint.
func (v View) Fresh() bool { return v.Age < reportTTL }

// Statement is the report of an endpoint as instances pass it on to each other.
type Statement struct {
	Endpoint registry.Endpoint
	Report
	Age time.Duration
	// Observation is the newest one of the endpoint, zero if there is none, and ObservationAge its age.
	Observation    Observation
	ObservationAge time.Duration
}

// Table holds the newest reports of endpoints.
type Table struct {
	mu     sync.Mutex
	states map[string]*state
	// workTimeAt is when an endpoint last reported a work time.
	workTimeAt time.Time
	counts     Counts
	// lastOlder is the endpoint whose statement was last passed on although others are newer.
	lastOlder string
	// sharesAll is set if reports without a work time are shared as well, and sharedAt is when one was last recorded.
	sharesAll bool
	sharedAt  time.Time
}

// Option changes a table.
type Option func(*Table)

// ShareAllReports makes instances share reports without a work time as well.
func ShareAllReports(t *Table) { t.sharesAll = true }

// Counts are the numbers of statements of other instances since the start.
type Counts struct {
	// Merged is the number of those that were news, Dropped of those with impossible values or of more endpoints than the table
	// holds.
	Merged, Dropped int64
	// Observed is the number of observations that were news, of this instance and of others, and Outliers of those dropped because
	// of impossible values or because they differ too much from the estimate.
	Observed, Outliers int64
}

// state holds the reports of one process of an endpoint.
type state struct {
	endpoint  registry.Endpoint
	report    Report
	at        time.Time
	workTimes []workTime
	learner   learner
	// own is set if the process has sent this instance a report itself.
	own bool
}

type workTime struct {
	value float64
	at    time.Time
}

// New returns an empty table.
func New(options ...Option) *Table {
	t := &Table{states: make(map[string]*state)}
	for _, o := range options {
		o(t)
	}
	return t
}

// Wants reports whether a report is to be shared: it has a work time, or all reports are.
func (t *Table) Wants(r Report) bool { return r.WorkTime > 0 || t.sharesAll }

// Record records a report that an endpoint made now, in a response to this instance.
func (t *Table) Record(e registry.Endpoint, r Report, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r.valid() {
		t.apply(Statement{Endpoint: e, Report: r}, now, true)
	}
}

// RecordObservation records what a stream of this instance told of the speed of an endpoint. Observations of processes of which no
// report is shared are ignored.
func (t *Table) RecordObservation(e registry.Endpoint, o Observation, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.observe(e, o, 0, now)
}

// observe records an observation that was made some time ago.
func (t *Table) observe(e registry.Endpoint, o Observation, age time.Duration, now time.Time) {
	s := t.states[e.ID]
	if s == nil || !s.endpoint.SameProcess(e) || o == (Observation{}) {
		return
	}
	if !o.valid() || age < 0 || age >= workTimeTTL {
		t.counts.Outliers++
		return
	}
	added, outlier := s.learner.add(o, now.Add(-age), now)
	if added {
		t.counts.Observed++
	}
	if outlier {
		t.counts.Outliers++
	}
}

// Merge records the reports that another instance passes on. Invalid ones are dropped and counted.
func (t *Table) Merge(list []Statement, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range list {
		switch {
		case s.Endpoint.ID == "" || !s.valid() || s.Age < 0 || s.Age > workTimeTTL || t.states[s.Endpoint.ID] == nil && len(t.states) >= maxEndpoints:
			t.counts.Dropped++
			continue
		case t.apply(s, now, false):
			t.counts.Merged++
		}
		t.observe(s.Endpoint, s.Observation, s.ObservationAge, now)
	}
}

// apply records a valid statement unless a newer report of the endpoint, or a later process of it, is known. own is set if the
// endpoint made the report to this instance. It reports whether the statement was news.
func (t *Table) apply(st Statement, now time.Time, own bool) bool {
	at := now.Add(-st.Age)
	s := t.states[st.Endpoint.ID]
	switch {
	case s == nil && len(t.states) >= maxEndpoints:
		return false
	case s == nil, !s.endpoint.SameProcess(st.Endpoint) && s.replacedBy(st.Endpoint, at, now, own):
		s = &state{endpoint: st.Endpoint}
		t.states[st.Endpoint.ID] = s
	case !s.endpoint.SameProcess(st.Endpoint), !at.After(s.at), !own && st.Report == s.report && at.Sub(s.at) < minAdvance:
		return false
	}
	s.report, s.at, s.own = st.Report, at, s.own || own
	if at.After(t.sharedAt) {
		t.sharedAt = at
	}
	if st.WorkTime > 0 {
		s.workTimes = append(s.workTimes, workTime{st.WorkTime, at})
		if len(s.workTimes) > maxWorkTimes {
			s.workTimes = slices.Delete(s.workTimes, 0, 1)
		}
		if at.After(t.workTimeAt) {
			t.workTimeAt = at
		}
	}
	return true
}

// replacedBy reports whether a report of another process of the endpoint, made at the given time, replaces this state. The later
// start counts, or the newer report if both started at the same time or the start is unknown. A process that has sent this instance
// a report itself precedes one that only other instances know, as long as it makes reports, because their statements may be false.
func (s *state) replacedBy(e registry.Endpoint, at, now time.Time, own bool) bool {
	switch {
	case own && !s.own, now.Sub(s.at) >= workTimeTTL:
		return true
	case s.own && !own && now.Sub(s.at) < reportTTL:
		return false
	case e.StartedUnixMilli != s.endpoint.StartedUnixMilli:
		return e.StartedUnixMilli > s.endpoint.StartedUnixMilli
	}
	return at.After(s.at)
}

// View returns what is known of an endpoint's load, or false if it has made no report within workTimeTTL.
func (t *Table) View(e registry.Endpoint, now time.Time) (View, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.states[e.ID]
	if s == nil || !s.endpoint.SameProcess(e) || now.Sub(s.at) >= workTimeTTL {
		return View{}, false
	}
	return View{Report: s.report, Age: now.Sub(s.at), TypicalWorkTime: s.typicalWorkTime(now), Learned: s.learner.learned(now)}, true
}

// typicalWorkTime returns the median of the work times that are not older than workTimeTTL, or zero.
func (s *state) typicalWorkTime(now time.Time) float64 {
	values := make([]float64, 0, maxWorkTimes)
	for _, w := range s.workTimes {
		if now.Sub(w.at) < workTimeTTL {
			values = append(values, w.value)
		}
	}
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}

// Active reports whether an endpoint has reported a work time within activeTTL, or anything if all reports are shared. While none
// does, instances exchange nothing.
func (t *Table) Active(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	at := t.workTimeAt
	if t.sharesAll {
		at = t.sharedAt
	}
	return !at.IsZero() && now.Sub(at) < activeTTL
}

// Statements returns reports for other instances, as many as fit into maxMessageBytes: the newest ones first, and then some of the
// others, each in turn. Endpoints that get few requests report seldom, and their reports would never be passed on otherwise.
func (t *Table) Statements(now time.Time) []Statement {
	t.mu.Lock()
	defer t.mu.Unlock()
	var all []Statement
	for _, s := range t.states {
		if age := now.Sub(s.at); age < workTimeTTL {
			st := Statement{Endpoint: s.endpoint, Report: s.report, Age: age}
			if o, age, ok := s.learner.newest(now); ok {
				st.Observation, st.ObservationAge = o, age
			}
			all = append(all, st)
		}
	}
	slices.SortFunc(all, func(a, b Statement) int {
		return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.Endpoint.ID, b.Endpoint.ID))
	})
	size, n := 0, 0
	for n < len(all) && size+all[n].size() <= maxNewestBytes {
		size += all[n].size()
		n++
	}
	out, older := all[:n:n], all[n:]
	slices.SortFunc(older, func(a, b Statement) int { return cmp.Compare(a.Endpoint.ID, b.Endpoint.ID) })
	next, _ := slices.BinarySearchFunc(older, t.lastOlder, func(s Statement, id string) int {
		if s.Endpoint.ID <= id {
			return -1
		}
		return 1
	})
	for i := range older {
		st := older[(next+i)%len(older)]
		fits := size+st.size() <= maxMessageBytes
		if !fits && i > 0 {
			break
		}
		// One that never fits must not keep the others from their turn.
		t.lastOlder = st.Endpoint.ID
		if fits {
			out, size = append(out, st), size+st.size()
		}
	}
	return out
}

// size returns the most bytes that the encoded statement takes.
func (s Statement) size() int {
	size := statementBytes + len(s.Endpoint.ID) + len(s.Endpoint.Service) + len(s.Endpoint.Address) + len(s.Endpoint.SoftwareVersion)
	if s.Observation != (Observation{}) {
		size += observationBytes
	}
	return size
}

// Retain deletes the reports of endpoints for which known returns false.
func (t *Table) Retain(known func(id string) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id := range t.states {
		if !known(id) {
			delete(t.states, id)
		}
	}
}

// Counts returns the numbers of statements of other instances since the start.
func (t *Table) Counts() Counts {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.counts
}
