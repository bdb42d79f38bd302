package router_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// resetConns closes all connections of the process, which lives on.
func (p *process) resetConns() {
	p.mu.Lock()
	conns := p.conns
	p.conns = nil
	p.mu.Unlock()
	for _, c := range conns {
		_ = c.Close()
	}
}

// playResetConnections plays one emulation in which endpoints of two versions serve while the connections of all instances are reset, and half of
// the instances are killed shortly after that.
func playResetConnections(seed uint64, instances, endpoints int, rate float64) versionResult {
	e := newEmulator(seed, instances, 0)
	for i := range endpoints {
		e.addEndpoint(fmt.Sprintf("i-%03d", i), fmt.Sprintf("10.1.0.%d:80", i+1), []string{"v1", "v1.1"}[i%2])
	}
	time.Sleep(8 * time.Second)
	steps := make(map[time.Duration]func())
	for _, second := range []time.Duration{3, 12, 21} {
		steps[second*time.Second] = func() {
			for _, in := range e.instances {
				in.process.resetConns()
			}
		}
		victims := e.random.Perm(instances)[:instances/2]
		steps[(second+2)*time.Second] = func() {
			for _, v := range victims {
				e.killInstance(e.instances[v])
			}
			time.Sleep(500 * time.Millisecond)
			for _, v := range victims {
				e.startInstance(e.instances[v])
			}
		}
	}
	e.play(rate, 28*time.Second, steps)
	e.stop()
	return e.streamResult(func(a attempt) bool { return a.at.Sub(a.instanceStarted) >= contactPeriod })
}

// Guards against streams that are resumed nowhere after all connections were reset, although their endpoints live on (LOST).
func TestStreamsAreResumedAfterConnectionsAreReset(t *testing.T) {
	for _, size := range []struct {
		instances, endpoints int
		rate                 float64
	}{{8, 8, 400}, {90, 8, 500}} {
		for seed := range emulatorSeeds(size.instances) {
			t.Run(fmt.Sprintf("%d_instances/seed_%d", size.instances, seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					r := playResetConnections(seed, size.instances, size.endpoints, size.rate)
					t.Logf("%d mixed streams; began %.3f, went on %.3f of %d, refused %v", r.mixed, r.began, r.wentOn, r.resumptions, r.refused)
					if r.mixed > maxMixedStreams {
						t.Errorf("ORDER: %d streams hold events of two versions, at most %d may", r.mixed, maxMixedStreams)
					}
					if r.resumptions < minResumptions || r.wentOn < r.began/2 {
						t.Errorf("LOST: %.3f of %d resumptions went on, but %.3f of new streams began", r.wentOn, r.resumptions, r.began)
					}
				})
			})
		}
	}
}
