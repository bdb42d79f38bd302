package router_test

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// announcer is the part of an emulatedEndpoint that says in its responses that it leaves, or for how long it wants no requests.
type announcer struct {
	mu      sync.Mutex
	leaving bool
	// toldLeaving holds when each instance was sent a response that says so, in order.
	toldLeaving []arrival
	// maxRunning is the number of running requests from which others are turned away for a pause; no pause means never.
	// reportNotRun is set if the response says that the request was not run.
	maxRunning   int
	pause        time.Duration
	reportNotRun bool
	turnedAway   []turnedAway
}

// turnedAway is a response that asked an instance for a pause.
type turnedAway struct {
	arrival
	until time.Time
}

// leave lets all responses say that the endpoint leaves.
func (a *announcer) leave() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.leaving = true
}

// announce adds to the header of a response what the endpoint announces.
func (a *announcer) announce(h http.Header, instance string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.leaving {
		h.Set("Server-Leaving", "1")
		a.toldLeaving = append(a.toldLeaving, arrival{at: time.Now(), instance: instance})
	}
}

// turnAwayAbove lets the endpoint turn requests away while so many run, and ask for a pause. Without a pause it turns away none.
func (a *announcer) turnAwayAbove(running int, pause time.Duration, reportNotRun bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.maxRunning, a.pause, a.reportNotRun = running, pause, reportNotRun
}

// turnAway turns a request away if others of the given number run. It returns false if the endpoint runs the request.
func (a *announcer) turnAway(w http.ResponseWriter, instance string, running int) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.pause == 0 || running < a.maxRunning {
		return false
	}
	w.Header().Set("Retry-After", strconv.FormatFloat(a.pause.Seconds(), 'f', -1, 64))
	if a.reportNotRun {
		w.Header().Set("X-Not-Run", "1")
	}
	now := time.Now()
	a.turnedAway = append(a.turnedAway, turnedAway{arrival{at: now, instance: instance}, now.Add(a.pause)})
	w.WriteHeader(http.StatusServiceUnavailable)
	return true
}

// processStart returns when the process that an instance ran at the given time had started.
func (in *emulatedInstance) processStart(at time.Time) (started time.Time) {
	for _, s := range in.starts {
		if !s.After(at) {
			started = s
		}
	}
	return started
}

// lateArrivals returns the requests that reached the endpoint from an instance that it had told toldDelay before that it leaves.
func (e *emulatedEndpoint) lateArrivals(instances map[string]*emulatedInstance) (late []arrival) {
	for _, a := range e.arrivals {
		started := instances[a.instance].processStart(a.at)
		for _, told := range e.toldLeaving {
			if told.instance == a.instance && !told.at.Before(started) && a.at.Sub(told.at) > toldDelay {
				late = append(late, a)
				break
			}
		}
	}
	return late
}

// mostInPause returns the largest number of requests that reached the endpoint from an instance between toldDelay after it had
// asked it for a pause and the end of that.
func (e *emulatedEndpoint) mostInPause(instances map[string]*emulatedInstance) (most int) {
	for _, t := range e.turnedAway {
		n := 0
		for _, a := range e.arrivals {
			inPause := a.instance == t.instance && a.at.Sub(t.at) > toldDelay && a.at.Before(t.until)
			if inPause && !t.at.Before(instances[a.instance].processStart(a.at)) {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

func (e *emulator) instancesByName() map[string]*emulatedInstance {
	out := make(map[string]*emulatedInstance)
	for _, in := range e.instances {
		out[in.name] = in
	}
	return out
}

// servedShare returns the share of the streams that callers got completely.
func (e *emulator) servedShare() float64 {
	complete := 0
	for _, s := range e.streams {
		if s.complete {
			complete++
		}
	}
	return float64(complete) / float64(len(e.streams))
}

// leaveUnregistered lets an endpoint say that it leaves, keeps serving, and end. Its entry says nothing of it, says it after
// some seconds, or vanishes and comes back.
func (e *emulator) leaveUnregistered(endpoint *emulatedEndpoint, kind int, lag time.Duration) {
	const serving = 14 * time.Second
	key := "servers/" + endpoint.id
	endpoint.leave()
	time.Sleep(lag)
	switch kind % 3 {
	case 0:
	case 1:
		e.store.set(key, endpoint.entry("draining"))
	case 2:
		_ = e.store.Delete(context.Background(), key, 0)
		time.Sleep(3 * time.Second)
		e.store.set(key, endpoint.entry("ready"))
	}
	time.Sleep(serving - lag)
	e.crashEndpoint(endpoint)
}

// leavingResult is what one emulation shows about endpoints that leave.
type leavingResult struct {
	// told is the number of pairs of an endpoint and an instance that it told that it leaves.
	told   int
	broken []string
	served float64
}

// playLeaving plays one emulation in which a third of the endpoints is replaced by others, and says so in its responses only,
// while instances are killed and start again, and all are cut off from the store for a while.
func playLeaving(seed uint64, instances, endpoints int, rate float64) (result leavingResult) {
	e := newEmulator(seed, instances, endpoints)
	time.Sleep(2 * time.Second)
	steps := make(map[time.Duration]func())
	at := func(second float64, step func()) {
		steps[time.Duration(second*float64(time.Second))+time.Duration(len(steps))] = step
	}
	for i := range endpoints / 3 {
		lag := 2*time.Second + time.Duration(e.random.IntN(4000))*time.Millisecond
		at(4+14*e.random.Float64(), func() {
			e.addEndpoint(fmt.Sprintf("i-new-%d", i), fmt.Sprintf("10.2.0.%d:80", i+1), "v1")
			e.leaveUnregistered(e.endpoints[i], i, lag)
		})
	}
	at(14, func() { e.setStoreCut(true) })
	at(18, func() { e.setStoreCut(false) })
	third := e.random.Perm(instances)[:instances/3]
	at(21, func() {
		for _, i := range third {
			e.killInstance(e.instances[i])
		}
		time.Sleep(time.Second)
		for _, i := range third {
			e.startInstance(e.instances[i])
		}
	})
	e.play(rate, 36*time.Second, steps)
	e.stop()
	for _, endpoint := range e.endpoints {
		names := make(map[string]bool)
		for _, told := range endpoint.toldLeaving {
			names[told.instance] = true
		}
		result.told += len(names)
		if late := endpoint.lateArrivals(e.instancesByName()); len(late) > 0 {
			result.broken = append(result.broken, fmt.Sprintf("DRAIN: %s got %d requests from instances that it had told %v before that it leaves",
				endpoint.id, len(late), toldDelay))
		}
	}
	result.served = e.servedShare()
	return result
}

func TestEndpointThatSaysThatItLeavesGetsNoFurtherRequest(t *testing.T) {
	for _, size := range []struct {
		instances, endpoints int
		rate                 float64
	}{{8, 9, 60}, {90, 24, 240}} {
		for seed := range emulatorSeeds(size.instances) {
			t.Run(fmt.Sprintf("%d_instances/seed_%d", size.instances, seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					r := playLeaving(seed, size.instances, size.endpoints, size.rate)
					t.Logf("%d times an instance was told, served %.3f", r.told, r.served)
					for _, b := range r.broken {
						t.Error(b)
					}
					if want := size.endpoints / 3; r.told < want {
						t.Errorf("instances were told %d times, want at least %d", r.told, want)
					}
				})
			})
		}
	}
}

const (
	// maxRequestsInPause is how many requests may reach an endpoint from an instance in a pause that it asked for.
	maxRequestsInPause = 2
	// allTurnAwayFrom and allTurnAwayUntil are when all endpoints of an emulation turn requests away.
	allTurnAwayFrom, allTurnAwayUntil = 18 * time.Second, 24 * time.Second
)

// pauseResult is what one emulation shows about endpoints that ask for a pause.
type pauseResult struct {
	turnedAway int
	// most is the largest number of requests that reached an endpoint from an instance in a pause.
	most   int
	broken []string
	// refused counts the refusals by their titles.
	refused map[string]int
	// served is the share of streams that callers got completely of those that began after all endpoints had turned requests away.
	served float64
	// regained is the rate of requests at the end at endpoints that had asked for pauses, relative to the others.
	regained float64
}

// playPauses plays one emulation in which a third of the endpoints turns requests away while few run, and for some seconds all
// endpoints turn away all. Instances are killed and start again.
func playPauses(seed uint64, instances, endpoints int, rate float64) (result pauseResult) {
	e := newEmulator(seed, instances, endpoints)
	time.Sleep(2 * time.Second)
	start := time.Now()
	steps := make(map[time.Duration]func())
	at := func(d time.Duration, step func()) { steps[d+time.Duration(len(steps))] = step }
	randomPause := func() time.Duration { return time.Duration(1500+e.random.IntN(3500)) * time.Millisecond }
	busy := endpoints / 3
	for i := range busy {
		pause, notRun, running := randomPause(), i%2 == 0, e.random.IntN(3)
		from := 4*time.Second + time.Duration(e.random.IntN(4000))*time.Millisecond
		at(from, func() { e.endpoints[i].turnAwayAbove(running, pause, notRun) })
	}
	for i := range endpoints {
		pause := randomPause()
		at(allTurnAwayFrom, func() { e.endpoints[i].turnAwayAbove(0, pause, true) })
		at(allTurnAwayUntil, func() { e.endpoints[i].turnAwayAbove(0, 0, false) })
	}
	third := e.random.Perm(instances)[:instances/3]
	at(13*time.Second, func() {
		for _, i := range third {
			e.killInstance(e.instances[i])
		}
		time.Sleep(time.Second)
		for _, i := range third {
			e.startInstance(e.instances[i])
		}
	})
	e.play(rate, 40*time.Second, steps)
	e.stop()
	regained, others := 0, 0
	for i, endpoint := range e.endpoints {
		result.turnedAway += len(endpoint.turnedAway)
		most := endpoint.mostInPause(e.instancesByName())
		result.most = max(result.most, most)
		if most > maxRequestsInPause {
			result.broken = append(result.broken, fmt.Sprintf("BUDGET: %s got %d requests from an instance in a pause, %d are allowed",
				endpoint.id, most, maxRequestsInPause))
		}
		n := endpoint.arrivalsBetween(start.Add(32*time.Second), start.Add(40*time.Second))
		if i < busy {
			regained += n
		} else {
			others += n
		}
	}
	result.regained = float64(regained) / float64(busy) / (float64(others) / float64(endpoints-busy))
	result.refused, result.served = e.refusalsAndShareSince(start.Add(30 * time.Second))
	return result
}

// refusalsAndShareSince returns the refusals by their titles, and the share of complete streams of those that began after a time.
func (e *emulator) refusalsAndShareSince(since time.Time) (refused map[string]int, served float64) {
	refused = make(map[string]int)
	complete, all := 0, 0
	for _, s := range e.streams {
		for _, a := range s.attempts {
			if a.problem != "" {
				refused[a.problem]++
			}
		}
		if len(s.attempts) == 0 || s.attempts[0].at.Before(since) {
			continue
		}
		all++
		if s.complete {
			complete++
		}
	}
	return refused, float64(complete) / float64(all)
}

func TestEndpointThatAsksForAPauseGetsOne(t *testing.T) {
	for _, size := range []struct {
		instances, endpoints int
		rate                 float64
	}{{8, 9, 60}, {90, 12, 240}} {
		for seed := range emulatorSeeds(size.instances) {
			t.Run(fmt.Sprintf("%d_instances/seed_%d", size.instances, seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					r := playPauses(seed, size.instances, size.endpoints, size.rate)
					t.Logf("turned away %d, at most %d in a pause, refused %v, served %.3f after, regained %.2f",
						r.turnedAway, r.most, r.refused, r.served, r.regained)
					for _, b := range r.broken {
						t.Error(b)
					}
					if r.served < 0.95 {
						t.Errorf("served %.3f of the streams after the pauses, want at least 0.95", r.served)
					}
					if r.regained < 0.5 {
						t.Errorf("after pauses, their endpoints got %.2f of the requests of others, want at least half", r.regained)
					}
				})
			})
		}
	}
}
