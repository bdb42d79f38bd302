package router_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

const (
	// maxMixedStreams is how many streams may hold events of two versions.
	maxMixedStreams = 2
	// minResumptions is the number of resumptions from which at least half as large a share must go on as of new streams begins.
	minResumptions = 12
)

// versionResult is what one emulation shows about streams.
type versionResult struct {
	// mixed is the number of streams with events of two versions.
	mixed int
	// began and wentOn are the shares of new streams and of resumptions that brought an event. They count attempts at instances
	// that had run and reached the store for contactPeriod; of resumptions, those while two endpoints of the version served.
	began, wentOn float64
	resumptions   int
	// refused counts the resumptions that were not served, by the title of the refusal, empty if there was none.
	refused map[string]int
}

// playVersions plays one emulation in which endpoints of three versions serve side by side, crash, come back, sometimes as
// another version, and are replaced, while instances are killed and, once, cut off from the store.
func playVersions(seed uint64, instances, endpoints int, rate float64) (result versionResult) {
	e := newEmulator(seed, instances, 0)
	versions := []string{"v1", "v1", "v1.1"}
	for i := range endpoints {
		e.addEndpoint(fmt.Sprintf("i-%03d", i), fmt.Sprintf("10.1.0.%d:80", i+1), versions[i%len(versions)])
	}
	time.Sleep(2 * time.Second)
	start := time.Now()
	steps := make(map[time.Duration]func())
	at := func(second float64, step func()) {
		steps[time.Duration(second*float64(time.Second))+time.Duration(len(steps))] = step
	}
	for second := 3.0; second < 38; second += 1.5 + 2*e.random.Float64() {
		pick, back, register := e.random.Float64(), 0.3+1.5*e.random.Float64(), 0.5*e.random.Float64()
		sameID, sameVersion := e.random.IntN(2) == 0, e.random.IntN(3) > 0
		at(second, func() { e.replaceCrashed(pick, back, register, sameID, sameVersion) })
	}
	for i := range endpoints / 3 {
		at(15+0.3*float64(i), func() {
			e.addEndpoint(fmt.Sprintf("i-new-%d", i), fmt.Sprintf("10.2.0.%d:80", i+1), "v1.2")
			e.drainEndpoint(e.endpoints[3*i])
		})
	}
	for _, second := range []float64{8, 20, 27} {
		victims := e.random.Perm(instances)[:instances/3]
		at(second, func() {
			for _, v := range victims {
				e.killInstance(e.instances[v])
			}
			time.Sleep(time.Second)
			for _, v := range victims {
				e.startInstance(e.instances[v])
			}
		})
	}
	const cutBegin, cutEnd = 32.0, 37.0
	at(cutBegin, func() { e.setStoreCut(true) })
	at(cutEnd, func() { e.setStoreCut(false) })
	e.play(rate, 42*time.Second, steps)
	e.stop()
	cutFrom := start.Add(time.Duration(cutBegin * float64(time.Second)))
	cutUntil := start.Add(time.Duration(cutEnd * float64(time.Second))).Add(contactPeriod)
	return e.streamResult(func(a attempt) bool {
		return a.at.Sub(a.instanceStarted) >= contactPeriod && (a.at.Before(cutFrom) || a.at.After(cutUntil))
	})
}

// replaceCrashed crashes one of the serving endpoints, selected by pick in [0, 1), and starts another at its address after
// some seconds, which registers later.
func (e *emulator) replaceCrashed(pick, back, register float64, sameID, sameVersion bool) {
	e.mu.Lock()
	victim := e.serving[int(pick*float64(len(e.serving)))]
	e.mu.Unlock()
	e.crashEndpoint(victim)
	time.Sleep(time.Duration(back * float64(time.Second)))
	id, version := victim.id, victim.version
	if !sameID {
		id += "b"
	}
	if !sameVersion {
		version = map[string]string{"v1": "v1.1", "v1.1": "v1", "v1.2": "v1"}[version]
	}
	endpoint := e.startUnregistered(id, victim.address, version)
	time.Sleep(time.Duration(register * float64(time.Second)))
	e.store.set("servers/"+id, endpoint.entry("ready"))
}

// setStoreCut cuts all instances off from the store, or ends the cut.
func (e *emulator) setStoreCut(cut bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, in := range e.instances {
		in.store.setCut(cut)
	}
}

// streamResult evaluates all streams. Of the attempts, it counts those for which inTouch returns true.
func (e *emulator) streamResult(inTouch func(attempt) bool) (result versionResult) {
	newStreams, began, wentOn := 0, 0, 0
	result.refused = make(map[string]int)
	for _, s := range e.streams {
		for _, v := range s.versions {
			if v != s.versions[0] {
				result.mixed++
				break
			}
		}
		for _, a := range s.attempts {
			switch {
			case !inTouch(a):
			case a.version == "":
				newStreams++
				if a.events > 0 {
					began++
				}
			case a.peers >= 2:
				result.resumptions++
				if a.events > 0 {
					wentOn++
				} else {
					result.refused[a.problem]++
				}
			}
		}
	}
	result.began = float64(began) / float64(newStreams)
	result.wentOn = float64(wentOn) / float64(max(result.resumptions, 1))
	return result
}

func TestStreamsGoOnAtTheVersionThatBeganThem(t *testing.T) {
	for _, size := range []struct {
		instances, endpoints int
		rate                 float64
	}{{8, 9, 60}, {90, 40, 200}} {
		for seed := range emulatorSeeds(size.instances) {
			t.Run(fmt.Sprintf("%d_instances/seed_%d", size.instances, seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					r := playVersions(seed, size.instances, size.endpoints, size.rate)
					t.Logf("%d mixed streams; began %.3f, went on %.3f of %d, refused %v", r.mixed, r.began, r.wentOn, r.resumptions, r.refused)
					if r.mixed > maxMixedStreams {
						t.Errorf("ORDER: %d streams hold events of two versions, at most %d may", r.mixed, maxMixedStreams)
					}
					if r.resumptions >= minResumptions && r.wentOn < r.began/2 {
						t.Errorf("LOST: %.3f of %d resumptions went on, but %.3f of new streams began", r.wentOn, r.resumptions, r.began)
					}
				})
			})
		}
	}
}
