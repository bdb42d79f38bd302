package router_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

const (
	// maxRetries is how often a caller of these emulations sends a request again, and maxRetryPause how long it waits at most
	// before that.
	maxRetries    = 3
	maxRetryPause = 2 * time.Second
	// unnamedShare is the share of callers that do not name the attempt that brought the first event.
	unnamedShare = 0.3
	// firstKill is the time of the first kill of all instances: later than the version history has to last.
	firstKill = 66 * time.Second
	// costPeriod is how long after a kill the resumptions are counted, in steps of costStep.
	costPeriod = 28 * time.Second
	costStep   = 2 * time.Second
	// singleKillInterval is the time between two kills of single instances in that time.
	singleKillInterval = 2 * time.Second
)

// rejoinedResult is what one emulation shows about streams that are resumed after a kill of all instances.
type rejoinedResult struct {
	// mixed describes the streams with events of two versions.
	mixed []string
	// possible and refused count the resumptions in each costStep after the last kill that named their attempt and whose version
	// two endpoints served, and those of them that brought no event.
	possible, refused []int
	resumed           int
}

// restartAsOther crashes a serving endpoint and starts another version under its id and address, which registers late.
func (e *emulator) restartAsOther(victim *emulatedEndpoint, version string, down, register time.Duration) {
	if !e.removeServing(victim) {
		return
	}
	victim.crash()
	time.Sleep(down)
	next := e.startUnregistered(victim.id, victim.address, version)
	time.Sleep(register)
	e.store.set("servers/"+victim.id, next.entry("ready"))
}

// restartSome lets a few endpoints of a version start again as another one.
func (e *emulator) restartSome(count int, from, to string) {
	e.mu.Lock()
	var victims []*emulatedEndpoint
	for _, i := range e.random.Perm(len(e.serving)) {
		if e.serving[i].version == from && len(victims) < count {
			victims = append(victims, e.serving[i])
		}
	}
	delays := make([]time.Duration, 2*len(victims))
	for i := range delays {
		delays[i] = 100*time.Millisecond + time.Duration(e.random.Int64N(int64(1200*time.Millisecond)))
	}
	e.mu.Unlock()
	for i, v := range victims {
		e.work.Go(func() { e.restartAsOther(v, to, delays[2*i], 2*delays[2*i+1]) })
	}
}

// killAll kills all instances apart from some and starts them again after a while.
func (e *emulator) killAll(down time.Duration, spared ...*emulatedInstance) {
	for _, in := range e.instances {
		if !slices.Contains(spared, in) {
			e.killInstance(in)
		}
	}
	time.Sleep(down)
	for _, in := range e.instances {
		if !slices.Contains(spared, in) {
			e.startInstance(in)
		}
	}
}

// runPersistently sends a request and resumes or repeats it until it is complete or maxRetries are used up.
func (e *emulator) runPersistently(s *stream, in *emulatedInstance, random *rand.Rand) {
	began, id := "", e.nextID()
	e.sendAttempt(s, in, id, "")
	for range maxRetries {
		if s.complete {
			return
		}
		if began == "" && len(s.versions) > 0 {
			began = id
		}
		time.Sleep(50*time.Millisecond + time.Duration(random.Int64N(int64(maxRetryPause))))
		e.mu.Lock()
		in = e.pickInstance()
		e.mu.Unlock()
		id = e.nextID()
		e.sendAttempt(s, in, id, began)
	}
}

// playPersistently sends the given number of requests a second whose callers resume streams persistently.
func (e *emulator) playPersistently(rate float64, duration time.Duration, steps map[time.Duration]func()) {
	start := time.Now()
	e.startSteps(steps)
	for time.Since(start) < duration {
		e.mu.Lock()
		pause := time.Duration(e.random.ExpFloat64() / rate * float64(time.Second))
		s := &stream{session: fmt.Sprintf("%x", e.random.IntN(sessionsPerInstance*len(e.instances))+1)}
		if e.random.Float64() < unnamedShare {
			s.prepare = func(r *http.Request) { r.Header.Del("Resumes") }
		}
		random := rand.New(rand.NewPCG(e.random.Uint64(), 1))
		e.streams = append(e.streams, s)
		in := e.pickInstance()
		e.mu.Unlock()
		time.Sleep(pause)
		e.work.Go(func() { e.runPersistently(s, in, random) })
	}
}

// rejoinedCase is one course of events around kills of all instances.
type rejoinedCase struct {
	name string
	// versions are those that serve at the start, in turn.
	versions []string
	// steps returns what happens, by the time from the start.
	steps func(e *emulator) map[time.Duration]func()
}

// rejoinedCases are the cases of docs/design/hard-load.md, part 5.
var rejoinedCases = []rejoinedCase{
	{"two_versions_serve", []string{"v1", "v2"}, func(e *emulator) map[time.Duration]func() {
		return map[time.Duration]func(){
			firstKill - 500*time.Millisecond:  func() { e.restartSome(2, "v1", "v2") },
			firstKill:                         func() { e.killAll(2200 * time.Millisecond) },
			firstKill + 1900*time.Millisecond: func() { e.restartSome(2, "v2", "v1") },
			firstKill + 4*time.Second:         func() { e.restartSome(1, "v1", "v2") },
			firstKill + 6*time.Second:         func() { e.killAll(time.Second) },
		}
	}},
	{"the_old_version_is_just_gone", []string{"v1"}, func(e *emulator) map[time.Duration]func() {
		return map[time.Duration]func(){
			firstKill - 1500*time.Millisecond: func() { e.restartSome(len(e.endpoints), "v1", "v2") },
			firstKill:                         func() { e.killAll(2600 * time.Millisecond) },
			firstKill + 6*time.Second:         func() { e.killAll(time.Second) },
		}
	}},
	{"a_release_begins_at_the_kill", []string{"v1"}, func(e *emulator) map[time.Duration]func() {
		return map[time.Duration]func(){
			firstKill - 200*time.Millisecond:  func() { e.restartSome(1, "v1", "v2") },
			firstKill:                         func() { e.killAll(time.Second) },
			firstKill + 800*time.Millisecond:  func() { e.restartSome(2, "v1", "v2") },
			firstKill + 3500*time.Millisecond: func() { e.killAll(time.Second) },
		}
	}},
	{"one_instance_is_cut_off_and_lives", []string{"v1"}, func(e *emulator) map[time.Duration]func() {
		survivor := e.instances[0]
		return map[time.Duration]func(){
			firstKill - 4*time.Second:      func() { survivor.store.setCut(true) },
			firstKill - 3*time.Second:      func() { e.restartSome(len(e.endpoints)/2, "v1", "v2") },
			firstKill:                      func() { e.killAll(2*time.Second, survivor) },
			firstKill + 10*time.Second:     func() { survivor.store.setCut(false) },
			firstKill + 10*time.Second + 1: func() { e.restartSome(1, "v2", "v1") },
		}
	}},
}

// playRejoined plays one emulation of a case.
func playRejoined(c rejoinedCase, seed uint64, instances, endpoints int, rate float64) (result rejoinedResult) {
	e := newEmulator(seed, instances, 0)
	for i := range endpoints {
		e.addEndpoint(fmt.Sprintf("i-%03d", i), fmt.Sprintf("10.1.0.%d:80", i+1), c.versions[i%len(c.versions)])
	}
	steps := c.steps(e)
	var lastKill time.Duration
	for at := range steps {
		lastKill = max(lastKill, at)
	}
	time.Sleep(firstKill - 5*time.Second)
	start := time.Now()
	shifted := make(map[time.Duration]func())
	for at, step := range steps {
		shifted[at-firstKill+5*time.Second] = step
	}
	// Further kills of single instances cut off the streams whose resumptions are counted.
	for n := 1; time.Duration(n)*singleKillInterval < costPeriod; n++ {
		shifted[5*time.Second+lastKill-firstKill+time.Duration(n)*singleKillInterval+1] = func() {
			in := e.instances[(3*n+1)%len(e.instances)]
			if in.process.isKilled() {
				return
			}
			e.killInstance(in)
			time.Sleep(500 * time.Millisecond)
			e.startInstance(in)
		}
	}
	e.playPersistently(rate, 5*time.Second+lastKill-firstKill+costPeriod, shifted)
	e.stop()
	return e.rejoinedResult(start.Add(5*time.Second + lastKill - firstKill))
}

// rejoinedResult evaluates all streams. from is when the last kill began.
func (e *emulator) rejoinedResult(from time.Time) (result rejoinedResult) {
	steps := int(costPeriod / costStep)
	result.possible, result.refused = make([]int, steps), make([]int, steps)
	for _, s := range e.streams {
		if slices.ContainsFunc(s.versions, func(v string) bool { return v != s.versions[0] }) {
			var tries []string
			for _, a := range s.attempts {
				tries = append(tries, fmt.Sprintf("%s at %.1f s after the kill, instance up for %.1f s: %d events", a.request, a.at.Sub(from).Seconds(), a.at.Sub(a.instanceStarted).Seconds(), a.events))
			}
			result.mixed = append(result.mixed, strings.Join(tries, "; "))
		}
		for _, a := range s.attempts {
			if a.version == "" {
				continue
			}
			if a.events > 0 {
				result.resumed++
			}
			// A status of 0 means that the instance was down.
			if step := int(a.at.Sub(from) / costStep); a.at.After(from) && step < steps && a.peers >= 2 && a.status != 0 && s.prepare == nil {
				result.possible[step]++
				if a.events == 0 {
					result.refused[step]++
				}
			}
		}
	}
	return result
}

// Guards against streams that are joined from two versions after all instances were killed (ORDER).
func TestNoStreamIsJoinedFromTwoVersionsAfterAKillOfAll(t *testing.T) {
	for _, size := range []struct {
		instances, endpoints int
		rate                 float64
	}{{8, 9, 100}, {90, 40, 250}} {
		for _, c := range rejoinedCases {
			seeds := emulatorSeeds(size.instances)
			if size.instances > 10 {
				// One emulation takes a minute.
				seeds = (seeds + 1) / 2
			}
			for seed := range seeds {
				t.Run(fmt.Sprintf("%d_instances/%s/seed_%d", size.instances, c.name, seed), func(t *testing.T) {
					t.Parallel()
					synctest.Test(t, func(t *testing.T) {
						r := playRejoined(c, seed, size.instances, size.endpoints, size.rate)
						t.Logf("%d mixed streams; %d resumptions went on; after the last step, refused %v of %v that were possible, by %s", len(r.mixed), r.resumed, r.refused, r.possible, costStep)
						if len(r.mixed) > 0 {
							t.Errorf("ORDER: %d streams hold events of two versions, the first: %s", len(r.mixed), r.mixed[0])
						}
					})
				})
			}
		}
	}
}
