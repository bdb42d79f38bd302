package router_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// announcer is the part of an emulatedEndpoint that says in its responses that it leaves.
type announcer struct {
	mu      sync.Mutex
	leaving bool
	// toldLeaving holds when each instance was sent a response that says so, in order.
	toldLeaving []arrival
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
			result.broken = append(result.broken, fmt.Sprintf("DRAIN: %s got %d requests from instances that it had told %v before that it leaves", endpoint.id, len(late), toldDelay))
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
