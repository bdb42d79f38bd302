package soak

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// tracedPerRule is the number of violations of each rule that are traced, traceLines the number of log lines of each instance in
	// a trace, and tracePeriod the time before and after in which steps of the run and log lines about an endpoint are shown.
	tracedPerRule, traceLines, tracePeriod = 3, 30, 6 * time.Second
	// maxLatencyMs and latencyDigits are the range and precision of the latencies that are counted.
	maxLatencyMs, latencyDigits = 60_000, 3
	// timeFormat shows times as of the day, in milliseconds. Log lines have the same clock.
	timeFormat = "15:04:05.000"
)

// Result is the result of a run, with the fields of bench.Result as far as they apply. Every field is always printed.
type Result struct {
	Experiment        string  `json:"experiment"`
	Seed              uint64  `json:"seed"`
	Instances         int     `json:"instances"`
	DurationS         float64 `json:"duration_s"`
	Requests          int     `json:"requests"`
	Answered          int     `json:"answered"`
	NotRun            int     `json:"not_run"`
	Unknown           int     `json:"unknown"`
	OverspendTokens   int64   `json:"overspend_tokens"`
	DoubleRuns        int     `json:"double_runs"`
	WrongAnswers      int     `json:"wrong_answers"`
	NotRunButRan      int     `json:"not_run_but_ran"`
	PlatformCallsPerS float64 `json:"platform_calls_per_s"`
	P50Ms             int64   `json:"p50_ms"`
	P99Ms             int64   `json:"p99_ms"`
	// Extra holds figures about what the run covered.
	Extra map[string]float64 `json:"extra"`
	// Violations lists the guarantees that did not hold. Fault is a fault of the soak test itself, or empty.
	Violations []string `json:"broken"`
	Fault      string   `json:"fault"`
	// Refusals counts refusals by reason.
	Refusals map[string]int `json:"refusals"`
	// NotChecked describes what was not checked, since there were too few requests.
	NotChecked []string `json:"not_checked"`
	// Traces describes the first violations of each rule. They are printed before the object.
	Traces []string `json:"-"`
}

// JSON returns the result as one line of JSON.
func (r *Result) JSON() string {
	out, err := json.Marshal(r)
	if err != nil {
		return err.Error()
	}
	return string(out)
}

// Err returns an error that says how many guarantees were violated, or nil.
func (r *Result) Err() error {
	if len(r.Violations) == 0 {
		return nil
	}
	return fmt.Errorf("soak: seed %d: %d violations, the first one is %s", r.Seed, len(r.Violations), r.Violations[0])
}

// newResult returns the result of a run that has not begun.
func newResult(c Config) *Result {
	return &Result{
		Experiment: "processes", Seed: c.Seed, Instances: c.Instances, DurationS: c.Duration.Seconds(), Violations: []string{}, NotChecked: []string{}, Refusals: make(map[string]int),
		Extra: make(map[string]float64),
	}
}

// evaluate checks the guarantees and counts what happened.
func (s *soak) evaluate() *Result {
	o := s.observe()
	s.check(o)
	r := newResult(s.config)
	r.Requests, r.Extra, r.NotChecked, r.PlatformCallsPerS = len(o.calls), s.cover(o), o.notChecked, float64(s.store.Calls())/time.Since(s.started).Seconds()
	latencies := hdrhistogram.New(1, maxLatencyMs, latencyDigits)
	for _, c := range o.calls {
		switch {
		case c.complete():
			r.Answered++
			// A call takes no longer than callTimeout, which is in range.
			_ = latencies.RecordValue(c.ended.Sub(c.at).Milliseconds())
		case c.notRun():
			r.NotRun++
		default:
			r.Unknown++
		}
		if c.status != 0 && c.status != http.StatusOK {
			r.Refusals[fmt.Sprintf("%d %s", c.status, c.title)]++
		}
	}
	r.P50Ms, r.P99Ms = latencies.ValueAtQuantile(50), latencies.ValueAtQuantile(99)
	count := make(map[string]int)
	for _, v := range o.violations {
		r.Violations = append(r.Violations, v.rule+": "+v.text)
		if count[v.rule]++; count[v.rule] <= tracedPerRule {
			r.Traces = append(r.Traces, s.trace(o, v))
		}
	}
	r.OverspendTokens, r.DoubleRuns, r.NotRunButRan, r.WrongAnswers = o.overspent, count["TWICE"], count["REFUSED"], count["ANSWER"]+count["ORDER"]
	return r
}

// cover returns figures about what the run covered.
func (s *soak) cover(o *observations) map[string]float64 {
	f := o.extra
	f["evacuations"], f["outages"], f["unidentified_connections"] = float64(len(s.evacuations)), float64(len(s.outages)), float64(s.unidentified)
	for _, stall := range s.stalls {
		f["stalls"]++
		f["stalled_s"] += stall.to.Sub(stall.from).Seconds()
	}
	for _, c := range o.calls {
		if c.resumes != "" {
			f["resumed"]++
			if c.complete() {
				f["resumed_complete"]++
			}
		}
		if c.instance == s.instances[s.busiest].name {
			f["calls_at_busiest"]++
		}
	}
	for _, a := range o.arrivals {
		f["arrivals"]++
		switch {
		case a.misrouted:
			f["misrouted"]++
		case a.rejected:
			f["rejected_by_full_endpoints"]++
		}
		if a.at.Before(a.endpoint.started.Add(a.endpoint.cold)) {
			f["arrivals_at_cold"]++
		}
		if s.disturbed(a) {
			f["arrivals_of_disturbed_instances"]++
		}
	}
	for _, e := range s.endpoints {
		e.mu.Lock()
		if e.maxWaiting > 0 {
			f["full_endpoints_"+e.service]++
		}
		if !e.leftAt.IsZero() {
			f["left"]++
		}
		e.mu.Unlock()
		if e.cold > 0 {
			f["cold_starts"]++
			most, _ := mostInASecond(s.coldArrivals(o, e))
			f["most_per_s_at_cold"] = max(f["most_per_s_at_cold"], float64(most))
		}
	}
	for _, in := range s.instances {
		f["processes"] += float64(len(in.runs))
		f["stops"] += float64(len(in.stops))
		for _, l := range in.links {
			f["link_faults"] += float64(len(l.faults))
		}
	}
	return f
}

// trace describes a violation: the calls and arrivals concerned, the steps of the run around it, and log lines of the instances.
func (s *soak) trace(o *observations, v violation) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s at %s (start %s, logs in %s): %s\n", v.rule, v.at.Format(timeFormat), s.started.Format(timeFormat), s.config.Folder, v.text)
	var ids []string
	if about := o.byID[v.request]; about != nil {
		for _, c := range o.calls {
			if c.key != about.key {
				continue
			}
			ids = append(ids, c.id)
			fmt.Fprintf(&b, "  call %s /%s of %s at %s from %s to %s, resumes %q after %d: status %d %s, %d events, error %v, canceled %v\n", c.id, c.route.name,
				c.customer, c.instance, c.at.Format(timeFormat), c.ended.Format(timeFormat), c.resumes, c.after, c.status, c.title, c.events(), c.err, c.canceled)
			for _, a := range o.arrivals {
				if a.request == c.id {
					fmt.Fprintf(&b, "    reached %s (%s, version %s, started %s) from %s at %s, rejected %v, misrouted %v, ran %s to %s\n", a.endpoint.id, a.endpoint.domain, a.endpoint.version,
						a.endpoint.started.Format(timeFormat), a.instance, a.at.Format(timeFormat), a.rejected, a.misrouted, a.ranAt.Format(timeFormat), a.endedAt.Format(timeFormat))
				}
			}
		}
	}
	if v.at.IsZero() {
		return b.String()
	}
	from, to := v.at.Add(-2*tracePeriod), v.at.Add(tracePeriod/2)
	for _, n := range s.timeline {
		if n.at.After(from) && n.at.Before(to) {
			fmt.Fprintf(&b, "  step %s %s\n", n.at.Format(timeFormat), n.text)
		}
	}
	for _, in := range s.instances {
		for _, id := range ids {
			for _, line := range in.logLines(`"`+id+`"`, func([]byte) bool { return true }) {
				fmt.Fprintf(&b, "  %s: %s\n", in.name, line)
			}
		}
		if v.endpoint == "" {
			continue
		}
		for _, line := range in.logLines(`"`+v.endpoint+`"`, func(line []byte) bool {
			at, isRequest := parseLine(line)
			return !isRequest && at.After(from) && at.Before(to)
		}) {
			fmt.Fprintf(&b, "  %s: %s\n", in.name, line)
		}
	}
	return b.String()
}

// parseLine returns the time of a log line, and whether it is about one request.
func parseLine(line []byte) (at time.Time, isRequest bool) {
	var l struct {
		Timestamp time.Time
		Fields    map[string]any
	}
	// An error means that the line is not of the logger, such as of a panic: it has no time.
	_ = json.Unmarshal(line, &l)
	_, isRequest = l.Fields["request_id"]
	return l.Timestamp, isRequest
}
