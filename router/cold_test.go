package router_test

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

const (
	// coldPerSecond, coldOverage and coldSlack bound the requests to a cold endpoint in any one second, as the platform's settings and
	// the configuration of the service do. coldStart is how long an endpoint is cold.
	coldPerSecond = 4.0
	coldOverage   = 1.5
	coldSlack     = 5.0
	coldStart     = 8 * time.Second
	// minColdUsed is the least share of the rate of cold endpoints that must be used once instances know of them, if there are more
	// requests than other endpoints prefer: they are to be used, not avoided.
	minColdUsed = 0.5
	// minServedCold is the least share of streams that callers must get completely although endpoints are cold.
	minServedCold = 0.95
)

// coldPlay is one emulation in which the endpoints of a failure domain return cold.
type coldPlay struct {
	*evacuationPlay
	// restarted holds the endpoint processes that started in the evacuated domain.
	restarted []*emulatedEndpoint
}

// coldConfiguration is emulatedConfiguration with endpoints that may be cold.
func coldConfiguration() string {
	later := strings.Replace(emulatedConfiguration, `"version":1`, `"version":2`, 1)
	return strings.Replace(later, `{"name":"model","engine"`,
		fmt.Sprintf(`{"name":"model","cold_start_s":%g,"cold_per_s":%g,"engine"`, coldStart.Seconds(), coldPerSecond), 1)
}

// restartDomain lets all endpoints of a domain start again as new processes. Every other one says in its entry how long it is cold.
func (p *coldPlay) restartDomain(domain string) {
	for i, old := range p.endpoints {
		if old.domain != domain || !p.removeServing(old) {
			continue
		}
		old.crash()
		fresh := p.startUnregistered(old.id, old.address, old.version)
		fresh.domain = domain
		if i/3%2 == 0 {
			fresh.coldLeft = coldStart
		}
		p.restarted = append(p.restarted, fresh)
		p.store.set("servers/"+fresh.id, fresh.entry("ready"))
	}
}

// playCold evacuates hall-a, starts its endpoints again, and ends the evacuation under load while they are cold. A fifth of the
// instances is killed then and starts again.
func playCold(seed uint64, instances, endpoints int, rate float64, settings map[string]any) *coldPlay {
	p := &coldPlay{evacuationPlay: newEvacuationPlay(seed, instances, endpoints, settings)}
	p.store.set("config/main", coldConfiguration())
	time.Sleep(8 * time.Second)
	p.play(rate, 17*time.Second, map[time.Duration]func(){
		2 * time.Second: func() {
			p.evacuate("hall-a")
			p.begun = time.Now()
		},
		6 * time.Second: func() { p.restartDomain("hall-a") },
		8 * time.Second: func() {
			p.endEvacuation("hall-a")
			p.ended = time.Now()
		},
		8500 * time.Millisecond: p.restartFifth,
	})
	p.stop()
	return p
}

// mostPerSecond returns the largest number of requests that reached an endpoint in any one second from one time to another.
func (e *emulatedEndpoint) mostPerSecond(from, to time.Time) (most int) {
	for _, a := range e.arrivals {
		if a.at.Before(from) || a.at.After(to) {
			continue
		}
		most = max(most, e.arrivalsBetween(a.at.Add(-time.Nanosecond), minTime(a.at.Add(time.Second), to)))
	}
	return most
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// TestColdEndpointsGetFewRequests guards rule FAILBACK: endpoints that return cold crash if all instances together send them more than
// they handle.
func TestColdEndpointsGetFewRequests(t *testing.T) {
	for _, size := range []struct {
		instances, endpoints int
		rate                 float64
	}{{8, 9, 150}, {90, 42, 700}} {
		for seed := range emulatorSeeds(size.instances) {
			t.Run(fmt.Sprintf("%d_instances/seed_%d", size.instances, seed), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					p := playCold(seed, size.instances, size.endpoints, size.rate, map[string]any{
						"evacuationTimeoutMs": evacuationTimeout.Milliseconds(), "coldOverage": coldOverage, "coldSlack": coldSlack,
					})
					bound, most, used := coldPerSecond*coldOverage+coldSlack, 0, 0
					warm, knownFrom := p.restarted[0].started.Add(coldStart), p.ended.Add(2*time.Second)
					for _, endpoint := range p.restarted {
						n := endpoint.mostPerSecond(endpoint.started, warm)
						most = max(most, n)
						used += endpoint.arrivalsBetween(knownFrom, warm)
						if float64(n) > bound {
							t.Errorf("FAILBACK: %s got %d requests in a second while it was cold, at most %.0f are allowed", endpoint.id, n, bound)
						}
					}
					share := float64(used) / (coldPerSecond * warm.Sub(knownFrom).Seconds() * float64(len(p.restarted)))
					served := p.servedBetween(p.begun, p.ended.Add(coldStart))
					t.Logf("%d endpoints, at most %d requests a second, used %.2f of what they handle, served %.3f", len(p.restarted), most, share, served)
					if share < minColdUsed {
						t.Errorf("used %.2f of what cold endpoints handle, want %.2f", share, minColdUsed)
					}
					if served < minServedCold {
						t.Errorf("served %.3f of the streams, want %.2f: %v", served, minServedCold, p.statusesBetween(p.begun, p.ended.Add(coldStart)))
					}
				})
			})
		}
	}
}

// TestEndpointThatBecomesColdAgain guards endpoints that become cold while they serve, and say so in their responses only: once all
// instances may know, they get no more than they handle.
func TestEndpointThatBecomesColdAgain(t *testing.T) {
	const (
		instances, endpoints = 8, 9
		rate                 = 150
		// spread is the time in which what one instance heard in a response reaches all: about three exchanges of a second.
		spread = 4 * time.Second
		lasts  = 12 * time.Second
	)
	synctest.Test(t, func(t *testing.T) {
		p := newEvacuationPlay(1, instances, endpoints, map[string]any{"coldOverage": coldOverage, "coldSlack": coldSlack})
		p.store.set("config/main", coldConfiguration())
		cold := p.endpoints[0]
		time.Sleep(8 * time.Second)
		var since time.Time
		next := cold.respond
		cold.respond = func(w http.ResponseWriter, r *http.Request) {
			if p.mu.Lock(); !since.IsZero() {
				w.Header().Set("X-Cold-Ms", strconv.FormatInt(max(lasts-time.Since(since), 0).Milliseconds(), 10))
			}
			p.mu.Unlock()
			next(w, r)
		}
		p.play(rate, 20*time.Second, map[time.Duration]func(){4 * time.Second: func() {
			p.mu.Lock()
			since = time.Now()
			p.mu.Unlock()
		}})
		p.stop()
		bound, n := coldPerSecond*coldOverage+coldSlack, cold.mostPerSecond(since.Add(spread), since.Add(lasts))
		after := cold.arrivalsBetween(since.Add(lasts+2*time.Second), since.Add(lasts+4*time.Second))
		t.Logf("at most %d requests a second while cold, %d in 2 s afterwards", n, after)
		if float64(n) > bound {
			t.Errorf("%s got %d requests in a second while it was cold, at most %.0f are allowed", cold.id, n, bound)
		}
		if float64(after) < 2*bound {
			t.Errorf("%s got %d requests in 2 s after it was cold, want %.0f", cold.id, after, 2*bound)
		}
	})
}
