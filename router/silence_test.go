package router_test

import (
	"fmt"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

const (
	// minSilence and maxSilence bound how long an endpoint falls silent.
	minSilence = 800 * time.Millisecond
	maxSilence = 1400 * time.Millisecond
	// shortestTimeout is the shortest timeout of all versions of the configuration. No call takes so long, with several silences.
	shortestTimeout = 4 * time.Second
	// settlePeriod is how long callers go on after the last silences began.
	settlePeriod = 7 * time.Second
	// configurationApplyPeriod is how long after a change of the configuration callers use its new routes.
	configurationApplyPeriod = 2 * time.Second
	// From returnDelay after the end of a silence, for returnWindow, endpoints must get minReturnShare of the requests that they
	// get otherwise, and callers must get complete responses to minServedAfterSilence of their requests.
	returnDelay           = time.Second
	returnWindow          = 1500 * time.Millisecond
	minReturnShare        = 0.6
	minServedAfterSilence = 0.95
	// retryWindow is the window of the retry budget, defaultRetryRatio and defaultRetrySlack its default size.
	retryWindow       = 10 * time.Second
	defaultRetryRatio = 0.2
	defaultRetrySlack = 20.0
)

// retryLimits bound the requests that endpoints get beyond the first of each: in any retryWindow, ratio x requests + slack.
type retryLimits struct{ ratio, slack float64 }

// silenceResult is what one emulation shows about silent endpoints.
type silenceResult struct {
	// outcomes counts the calls by outcome, and refusals by reason.
	outcomes map[string]int
	// broken describes each response that ended early or was not complete.
	broken []string
	// returned is the number of requests that endpoints got after a silence, relative to their shares of all requests.
	returned float64
	// served is the share of the calls after a silence that got a complete response.
	served float64
}

// silenceEvent is a number of endpoints that fall silent at once.
type silenceEvent struct {
	at        time.Duration
	endpoints int
	// duration is how long they are silent, or zero for random durations.
	duration time.Duration
	// interval is the time from the silence of one endpoint to that of the next.
	interval time.Duration
	// changed is set if the configuration changes within the silence.
	changed bool
}

// silenceEmulation describes an emulation in which endpoints fall silent.
type silenceEmulation struct {
	instances, endpoints int
	rate                 float64
	limits               retryLimits
	events               []silenceEvent
	paths                []callPath
}

// play plays the emulation. After the first change of the configuration, callers use the added route too.
func (s silenceEmulation) play(seed uint64) (result silenceResult) {
	e := newEmulator(seed, 0, s.endpoints)
	e.settings = map[string]any{"retryRatio": s.limits.ratio, "retrySlack": s.limits.slack}
	logs := newRequestLog()
	e.logs = logs
	for _, endpoint := range e.endpoints {
		endpoint.respond = endpoint.respondByPath
	}
	timeout, version := 6*time.Second, 1
	e.store.set("config/main", callConfiguration(version, timeout, false))
	e.addInstances(s.instances)
	time.Sleep(2 * time.Second)

	steps := make(map[time.Duration]func())
	at := func(d time.Duration, step func()) { steps[d+time.Duration(len(steps))] = step }
	var changed atomic.Bool
	for _, event := range s.events {
		for i, n := range e.random.Perm(s.endpoints)[:event.endpoints] {
			endpoint, duration := e.endpoints[n], minSilence+time.Duration(e.random.Int64N(int64(maxSilence-minSilence)))
			if event.duration > 0 {
				duration = event.duration
			}
			at(event.at+time.Duration(i)*event.interval, func() { endpoint.fallSilent(duration) })
		}
		if event.changed {
			version += 1 + e.random.IntN(3)
			timeout = shortestTimeout + time.Duration(e.random.Int64N(int64(2*time.Second)))
			text := callConfiguration(version, timeout, true)
			at(event.at+time.Duration(e.random.Int64N(int64(minSilence))), func() {
				e.store.set("config/main", text)
				time.Sleep(configurationApplyPeriod)
				changed.Store(true)
			})
		}
	}
	calls := e.playCalls(s.rate, s.events[len(s.events)-1].at+settlePeriod, steps, func() []callPath {
		if changed.Load() {
			return append(s.paths[:len(s.paths):len(s.paths)], callPath{"/added/x", 2})
		}
		return s.paths
	})
	e.stop()

	result.outcomes = make(map[string]int)
	runs := e.runs()
	for _, c := range calls {
		result.outcomes[strings.TrimSpace(string(c.outcome())+" "+c.problem())]++
		if fault := c.fault(runs[c.id]); fault != "" {
			result.broken = append(result.broken, fault+": "+logs.describe(c, runs[c.id]))
		}
	}
	result.broken = append(result.broken, e.retriesOver(s.limits, calls, runs)...)
	result.returned, result.served = e.returnedShare(calls), e.servedAfterSilence(calls)
	return result
}

// fault returns which rule the response to a call broke, or an empty string. No endpoint broke a response off.
func (c *call) fault(runs []run) string {
	if fault := c.contentFault(); fault != "" {
		return fault
	}
	switch o := c.outcome(); {
	case !c.repeatable() && len(runs) > 1:
		return "TWICE"
	case !c.repeatable() && o == outcomeRefused && len(runs) > 0:
		return "REFUSED"
	case o == outcomeTruncated, o == outcomeClosed, o == outcomeFailed:
		return "LOST"
	default:
		return ""
	}
}

// retriesOver returns the windows in which endpoints got more requests beyond the first of each than the budget allows. The
// requests are counted in that window, the one before it or the one half a window before, whichever has most.
func (e *emulator) retriesOver(limits retryLimits, calls []*call, runs map[string][]run) (broken []string) {
	var retries []time.Time
	for _, r := range runs {
		for _, again := range r[1:] {
			retries = append(retries, again.at)
		}
	}
	for _, end := range retries {
		n := 0
		for _, at := range retries {
			if at.After(end.Add(-retryWindow)) && !at.After(end) {
				n++
			}
		}
		most := 0
		for _, shift := range []time.Duration{0, retryWindow / 2, retryWindow} {
			most = max(most, callsBetween(calls, end.Add(-shift-retryWindow), end.Add(-shift)))
		}
		if allowed := limits.ratio*float64(most) + limits.slack; float64(n) > allowed {
			broken = append(broken, fmt.Sprintf("BUDGET: %d retries in %v, allowed %.1f", n, retryWindow, allowed))
		}
	}
	return broken
}

// callsBetween returns the number of calls that were sent from one time to another.
func callsBetween(calls []*call, from, to time.Time) (n int) {
	for _, c := range calls {
		if c.at.After(from) && !c.at.After(to) {
			n++
		}
	}
	return n
}

// returnedShare returns the number of requests that endpoints got after a silence, relative to their shares of all requests. It
// counts silences of some endpoints only, after which others could get these requests.
func (e *emulator) returnedShare(calls []*call) float64 {
	got, usual := 0, 0.0
	for _, endpoint := range e.endpoints {
		share := float64(len(endpoint.arrivals)) / float64(len(calls))
		for _, s := range endpoint.silences {
			if e.allSilent(s.from) {
				continue
			}
			from := s.until.Add(returnDelay)
			got += endpoint.arrivalsBetween(from, from.Add(returnWindow))
			usual += share * float64(callsBetween(calls, from, from.Add(returnWindow)))
		}
	}
	return float64(got) / usual
}

// allSilent reports whether all endpoints were silent within minSilence after a time.
func (e *emulator) allSilent(at time.Time) bool {
	return !slices.ContainsFunc(e.endpoints, func(endpoint *emulatedEndpoint) bool {
		return !slices.ContainsFunc(endpoint.silences, func(s silence) bool {
			return s.until.After(at) && s.from.Before(at.Add(minSilence))
		})
	})
}

// servedAfterSilence returns the share of the calls in the returnWindow after silences that got a complete response.
func (e *emulator) servedAfterSilence(calls []*call) float64 {
	var last time.Time
	ends := make(map[time.Time]bool)
	for _, endpoint := range e.endpoints {
		for _, s := range endpoint.silences {
			ends[s.until] = true
		}
	}
	complete, sent := 0, 0
	for _, c := range calls {
		for until := range ends {
			if until.Before(c.at.Add(maxSilence)) && until.After(last) {
				last = until
			}
		}
		if since := c.at.Sub(last); since >= returnDelay && since < returnDelay+returnWindow {
			sent++
			if c.outcome() == outcomeComplete {
				complete++
			}
		}
	}
	return float64(complete) / float64(sent)
}

// silenceEvents returns silences of one endpoint, of a third and of all at once, alone and beside changes of the configuration, and
// at last of one after another.
func silenceEvents(endpoints int) []silenceEvent {
	third := endpoints / 3
	return []silenceEvent{
		{at: 4 * time.Second, endpoints: 1},
		{at: 8 * time.Second, endpoints: third},
		{at: 12 * time.Second, endpoints: endpoints},
		{at: 16 * time.Second, endpoints: 1, changed: true},
		{at: 20 * time.Second, endpoints: third, changed: true},
		{at: 24 * time.Second, endpoints: endpoints, changed: true},
		{at: 28 * time.Second, endpoints: endpoints, changed: true},
		{at: 32 * time.Second, endpoints: third, changed: true},
		{at: 36 * time.Second, endpoints: 1, changed: true},
		{at: 40 * time.Second, endpoints: endpoints, interval: 2 * time.Second / time.Duration(endpoints)},
	}
}

func TestSilentEndpointsLoseNoRequests(t *testing.T) {
	for _, size := range []struct {
		instances, endpoints int
		rate                 float64
	}{{8, 9, 60}, {90, 40, 200}} {
		for seed := range emulatorSeeds(size.instances) {
			s := silenceEmulation{
				instances: size.instances, endpoints: size.endpoints, rate: size.rate, events: silenceEvents(size.endpoints),
				limits: []retryLimits{{0.02, 2}, {defaultRetryRatio, defaultRetrySlack}}[seed%2],
				paths:  []callPath{{"/plan/x", 5}, {"/single/x", 1}, {"/once/x", 2}, {"/fetch/x", 1}, {"/order/x", 1}},
			}
			t.Run(fmt.Sprintf("%d_instances/seed_%d", size.instances, seed), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) { s.play(seed).check(t) })
			})
		}
	}
}

// TestSilentEndpointGetsRequestsAgain has so many streams that each instance has some at each endpoint.
func TestSilentEndpointGetsRequestsAgain(t *testing.T) {
	const instances, endpoints, silences = 8, 9, 4
	for seed := range emulatorSeeds(instances) {
		s := silenceEmulation{
			instances: instances, endpoints: endpoints, rate: 200, limits: retryLimits{defaultRetryRatio, defaultRetrySlack},
			paths: []callPath{{"/plan/x", 1}},
		}
		for i := range silences {
			at := time.Duration(i+1) * 5 * time.Second
			s.events = append(s.events, silenceEvent{at: at, endpoints: 1, duration: maxSilence})
		}
		t.Run(fmt.Sprintf("seed_%d", seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { s.play(seed).check(t) })
		})
	}
}

// check reports broken rules and bounds.
func (r silenceResult) check(t *testing.T) {
	t.Logf("%v; after silences, endpoints got %.2f of their usual requests, served %.3f", r.outcomes, r.returned, r.served)
	reportBroken(t, r.broken)
	if r.returned < minReturnShare {
		t.Errorf("endpoints got %.2f of their usual requests after silences, want %.2f", r.returned, minReturnShare)
	}
	if r.served < minServedAfterSilence {
		t.Errorf("%.3f of the requests after a silence were served, want %.3f", r.served, minServedAfterSilence)
	}
}
