package router_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

const (
	// contactPeriod is how long after an endpoint first named a limit, or after an instance started, its bounds hold.
	contactPeriod = 3 * time.Second
	// limitWindow, limitFactor and limitSlack bound the requests at an endpoint that names a limit: in any window, at most
	// limitFactor times what the limit allows, and limitSlack requests. toldDelay is how long after the first response that
	// names the limit an instance counts.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	toldDelay   = 500 * time.Millisecond
)

// limitAt returns the highest limit that the endpoint named within the delay before a time, or -1 if it named none at
// some moment of it.
func (e *emulatedEndpoint) limitAt(at time.Time, delay time.Duration) float64 {
	highest := -1.0
	for i, l := range e.limits {
		ended := i+1 < len(e.limits) && !e.limits[i+1].from.After(at.Add(-delay))
		if l.from.After(at) || ended {
			continue
		}
		if l.rate < 0 {
			return -1
		}
		highest = max(highest, l.rate)
	}
	return highest
}

// excessOverLimit returns the largest excess of requests over the limit in any window, and a description of it.
func (e *emulatedEndpoint) excessOverLimit(instanceStarts map[string][]time.Time) (worst float64, what string) {
	if len(e.limits) == 0 {
		return 0, ""
	}
	const step = 50 * time.Millisecond
	counts := func(a arrival) bool {
		told, ok := e.told[a.instance]
		for _, started := range instanceStarts[a.instance] {
			if age := a.at.Sub(started); age >= 0 && age < contactPeriod {
				return false
			}
		}
		return ok && a.at.Sub(told) >= toldDelay
	}
	for i, l := range e.limits {
		if l.rate < 0 || i > 0 && e.limits[i-1].rate >= 0 {
			continue
		}
		for end := l.from.Add(contactPeriod + limitWindow); ; end = end.Add(step) {
			allowed, named := float64(limitSlack), true
			for at := end.Add(-limitWindow); at.Before(end); at = at.Add(step) {
				limit := e.limitAt(at, time.Second)
				named = named && limit >= 0
				allowed += limitFactor * limit * step.Seconds()
			}
			if !named || end.After(e.arrivals[len(e.arrivals)-1].at) {
				break
			}
			n := 0
			for _, a := range e.arrivals {
				if a.at.After(end.Add(-limitWindow)) && !a.at.After(end) && counts(a) {
					n++
				}
			}
			if excess := float64(n) - allowed; excess > worst {
				worst, what = excess, fmt.Sprintf("%s got %d requests in %v until %v after naming a limit of %v; allowed %.1f", e.id, n, limitWindow, end.Sub(l.from), l.rate, allowed)
			}
		}
	}
	return worst, what
}

// arrivalsBetween returns the number of requests that reached the endpoint from one time to another.
func (e *emulatedEndpoint) arrivalsBetween(from, to time.Time) (n int) {
	for _, a := range e.arrivals {
		if a.at.After(from) && !a.at.After(to) {
			n++
		}
	}
	return n
}

// limitResult is what one emulation shows about limited endpoints.
type limitResult struct {
	broken []string
	// used is the share of the limits that was used while they were in force.
	used float64
	// served is the share of requests that callers got a complete stream for.
	served float64
	// regained is the rate of requests after limits were withdrawn, relative to the other endpoints.
	regained float64
}

// playLimits plays one emulation in which some endpoints name a limit, change it and withdraw it, while instances are killed
// and start again, join and leave.
func playLimits(seed uint64, instances, endpoints, limited int, rate float64) (result limitResult) {
	e := newEmulator(seed, instances, endpoints)
	time.Sleep(2 * time.Second)
	start := time.Now()
	rates := []float64{0.5, 1.2, 2, 6}
	steps := make(map[time.Duration]func())
	at := func(second float64, step func()) {
		d := time.Duration(second * float64(time.Second))
		for steps[d] != nil {
			d++
		}
		steps[d] = step
	}
	var allowed float64
	for i := range limited {
		endpoint, first, second := e.endpoints[i], rates[e.random.IntN(len(rates))], rates[e.random.IntN(len(rates))]
		at(8+e.random.Float64(), func() { endpoint.nameLimit(first) })
		at(22, func() { endpoint.nameLimit(second) })
		at(38, func() { endpoint.nameLimit(-1) })
		allowed += 14*first + 12*second
	}
	victim := e.instances[e.random.IntN(len(e.instances))]
	at(14+4*e.random.Float64(), func() { e.killInstance(victim) })
	at(20, func() { e.startInstance(victim) })
	third := e.random.Perm(instances)[:instances/3]
	at(26, func() {
		for _, i := range third {
			e.killInstance(e.instances[i])
		}
		time.Sleep(time.Second)
		for _, i := range third {
			e.startInstance(e.instances[i])
		}
	})
	at(31, func() { e.addInstances(max(instances/8, 1)) })
	leaver := e.instances[e.random.IntN(instances)]
	at(34, func() { e.stopInstance(leaver) })
	e.play(rate, 50*time.Second, steps)
	e.stop()
	starts := make(map[string][]time.Time)
	for _, in := range e.instances {
		starts[in.name] = in.starts
	}

	used, regained, others := 0, 0, 0
	for i, endpoint := range e.endpoints {
		after := endpoint.arrivalsBetween(start.Add(42*time.Second), start.Add(50*time.Second))
		if i >= limited {
			others += after
			continue
		}
		regained += after
		used += endpoint.arrivalsBetween(start.Add(12*time.Second), start.Add(38*time.Second))
		if excess, what := endpoint.excessOverLimit(starts); excess > 0 {
			result.broken = append(result.broken, "LIMIT: "+what)
		}
	}
	complete := 0
	for _, s := range e.streams {
		if s.complete {
			complete++
		}
	}
	result.used, result.served = float64(used)/allowed, float64(complete)/float64(len(e.streams))
	result.regained = float64(regained) / float64(limited) / (float64(others) / float64(endpoints-limited))
	return result
}

func TestRequestsToLimitedEndpointStayWithinItsLimit(t *testing.T) {
	for _, size := range []struct {
		instances, endpoints, limited int
		rate                          float64
	}{{8, 9, 2, 60}, {90, 40, 4, 240}} {
		for seed := range emulatorSeeds(size.instances) {
			t.Run(fmt.Sprintf("%d_instances/seed_%d", size.instances, seed), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					r := playLimits(seed, size.instances, size.endpoints, size.limited, size.rate)
					t.Logf("used %.2f of the limits, served %.3f, regained %.2f", r.used, r.served, r.regained)
					for _, b := range r.broken {
						t.Error(b)
					}
					if r.used < 0.5 {
						t.Errorf("used %.2f of the limits, want at least half", r.used)
					}
					if r.regained < 0.5 {
						t.Errorf("after limits were withdrawn, their endpoints got %.2f of the requests of others, want at least half", r.regained)
					}
				})
			})
		}
	}
}
