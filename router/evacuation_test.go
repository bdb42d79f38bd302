package router_test

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"testing"
	"testing/synctest"
	"time"
)

const (
	// evacuationTimeout is how long after the store acknowledged an evacuation requests may reach the endpoints of the domain, and
	// returnTimeout how long after its end they must get requests again: the time in which instances apply a change.
	evacuationTimeout = 5 * time.Second
	returnTimeout     = 3 * time.Second
	// minServedInEvacuation is the share of streams that callers must get completely. The kill of a fifth of the instances cuts the
	// connections of those that are new there, and a caller resumes only a stream that has begun.
	minServedInEvacuation = 0.95
)

// evacuationPlay is one emulation in which failure domains are evacuated.
type evacuationPlay struct {
	*emulator
	// begun and ended are when the store acknowledged the evacuation of hall-a and its end. All domains are evacuated from
	// allBegun to allEnded.
	begun, ended, allBegun, allEnded time.Time
}

// newEvacuationPlay starts instances with the settings, before endpoints in three failure domains.
func newEvacuationPlay(seed uint64, instances, endpoints int, settings map[string]any) *evacuationPlay {
	p := &evacuationPlay{emulator: newEmulator(seed, 0, endpoints)}
	for i, endpoint := range p.endpoints {
		endpoint.domain = []string{"hall-a", "hall-b", "hall-c"}[i%3]
		p.store.set("servers/"+endpoint.id, endpoint.entry("ready"))
	}
	// An instance that starts without access to the store finds the others by its seeds.
	p.settings = map[string]any{"seedPeers": []string{"10.0.1.1:82", "10.0.4.1:82", "10.0.6.1:82"}}
	maps.Copy(p.settings, settings)
	p.addInstances(instances)
	return p
}

func (p *evacuationPlay) evacuate(domain string) { p.store.set("evacuations/"+domain, "{}") }
func (p *evacuationPlay) endEvacuation(domain string) {
	_ = p.store.Delete(context.Background(), "evacuations/"+domain, 0)
}

// restartFifth kills a fifth of the instances and starts them again a second later, the first of them without access to the store.
func (p *evacuationPlay) restartFifth() {
	p.mu.Lock()
	victims := p.random.Perm(len(p.instances))[:max(len(p.instances)/5, 1)]
	p.mu.Unlock()
	for _, i := range victims {
		p.killInstance(p.instances[i])
	}
	time.Sleep(time.Second)
	for n, i := range victims {
		p.startInstance(p.instances[i])
		if n == 0 {
			p.instances[i].store.setCut(true)
		}
	}
}

// playEvacuation evacuates hall-a under load while a fifth of the instances is killed and starts again, and one instance is without
// the store. Later all domains are evacuated for a while.
func playEvacuation(seed uint64, instances, endpoints int, rate float64, settings map[string]any) *evacuationPlay {
	p := newEvacuationPlay(seed, instances, endpoints, settings)
	time.Sleep(8 * time.Second)
	p.play(rate, 34*time.Second, map[time.Duration]func(){
		2 * time.Second: func() { p.instances[0].store.setCut(true) },
		4 * time.Second: func() {
			p.evacuate("hall-a")
			p.begun = time.Now()
		},
		4200 * time.Millisecond: p.restartFifth,
		18 * time.Second: func() {
			p.endEvacuation("hall-a")
			p.ended = time.Now()
		},
		24 * time.Second: func() {
			for _, domain := range []string{"hall-a", "hall-b", "hall-c"} {
				p.evacuate(domain)
			}
			p.allBegun = time.Now()
		},
		31 * time.Second: func() {
			for _, domain := range []string{"hall-a", "hall-b", "hall-c"} {
				p.endEvacuation(domain)
			}
			p.allEnded = time.Now()
		},
	})
	p.stop()
	return p
}

// lateRequests describes the requests that reached endpoints which had been evacuated for too long, or from instances that had
// started since. It also returns how long after the begin the last request reached one.
func (p *evacuationPlay) lateRequests() (late []string, last time.Duration) {
	instances := p.instancesByName()
	for _, endpoint := range p.endpoints {
		for _, a := range endpoint.arrivals {
			if endpoint.domain == "hall-a" && a.at.After(p.begun) && a.at.Before(p.ended) {
				last = max(last, a.at.Sub(p.begun))
				started := instances[a.instance].processStart(a.at)
				if a.at.Sub(p.begun) > evacuationTimeout || started.After(p.begun) {
					late = append(late, fmt.Sprintf("EVAC: %s got a request from %s, started %v before, %v after the evacuation", endpoint.id, a.instance, a.at.Sub(started), a.at.Sub(p.begun)))
				}
			}
			if a.at.Sub(p.allBegun) > evacuationTimeout && a.at.Before(p.allEnded) {
				late = append(late, fmt.Sprintf("EVAC: %s got a request %v after the evacuation of all domains", endpoint.id, a.at.Sub(p.allBegun)))
			}
		}
	}
	return late, last
}

// statusesBetween counts the first attempts that began in a time by their status and the title of a refusal.
func (p *evacuationPlay) statusesBetween(from, to time.Time) map[string]int {
	out := make(map[string]int)
	for _, s := range p.streams {
		if len(s.attempts) > 0 && s.attempts[0].at.After(from) && s.attempts[0].at.Before(to) {
			out[fmt.Sprint(s.attempts[0].status, " ", s.attempts[0].problem)]++
		}
	}
	return out
}

// servedBetween returns the share of streams begun in a time that callers got completely.
func (p *evacuationPlay) servedBetween(from, to time.Time) float64 {
	complete, all := 0, 0
	for _, s := range p.streams {
		if len(s.attempts) > 0 && s.attempts[0].at.After(from) && s.attempts[0].at.Before(to) {
			all++
			if s.complete {
				complete++
			}
		}
	}
	return float64(complete) / float64(all)
}

// TestEvacuatedDomainGetsNoRequests guards rule EVAC: no request reaches the endpoints of an evacuated failure domain later than the
// settings say, whatever happens to instances, and they serve again soon after its end.
func TestEvacuatedDomainGetsNoRequests(t *testing.T) {
	for _, size := range []struct {
		instances, endpoints int
		rate                 float64
	}{{8, 9, 60}, {90, 42, 240}} {
		for seed := range emulatorSeeds(size.instances) {
			t.Run(fmt.Sprintf("%d_instances/seed_%d", size.instances, seed), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					p := playEvacuation(seed, size.instances, size.endpoints, size.rate, map[string]any{"evacuationTimeoutMs": evacuationTimeout.Milliseconds()})
					late, last := p.lateRequests()
					served := p.servedBetween(p.begun.Add(-2*time.Second), p.allBegun.Add(-time.Second))
					t.Logf("last request %v after the evacuation, served %.3f", last, served)
					reportBroken(t, late)
					if served < minServedInEvacuation {
						t.Errorf("served %.3f of the streams, want %.2f: %v", served, minServedInEvacuation, p.statusesBetween(p.begun.Add(-2*time.Second), p.allBegun.Add(-time.Second)))
					}
					for _, endpoint := range p.endpoints {
						if endpoint.domain == "hall-a" && endpoint.arrivalsBetween(p.ended, p.ended.Add(returnTimeout)) == 0 {
							t.Errorf("%s got no request within %v after the end of the evacuation", endpoint.id, returnTimeout)
						}
					}
					statuses := p.statusesBetween(p.allBegun.Add(evacuationTimeout), p.allEnded.Add(-time.Second))
					refused := fmt.Sprint(http.StatusServiceUnavailable, " evacuated")
					if len(statuses) != 1 || statuses[refused] == 0 {
						t.Errorf("while all domains were evacuated callers got %v, want only %q", statuses, refused)
					}
				})
			})
		}
	}
}

// TestInstancesWithoutEvacuationsWatchNothingMore guards deployments whose settings have no time to evacuate: no instance may call the
// store for evacuations, and objects of that name have no effect.
func TestInstancesWithoutEvacuationsWatchNothingMore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newEvacuationPlay(1, 8, 9, nil)
		p.evacuate("hall-a")
		p.play(40, 8*time.Second, nil)
		p.stop()
		for _, in := range p.instances {
			if n := in.store.collectionCalls("evacuations"); n > 0 {
				t.Errorf("%s called the store %d times for evacuations", in.name, n)
			}
		}
		arrivals := 0
		for _, endpoint := range p.endpoints {
			if endpoint.domain == "hall-a" {
				arrivals += len(endpoint.arrivals)
			}
		}
		if arrivals == 0 {
			t.Error("endpoints of hall-a got no request")
		}
	})
}
