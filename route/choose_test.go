package route

import (
	"fmt"
	"runtime"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"pgregory.net/rapid"

	"pumiceshelf/admit"
	"pumiceshelf/api"
)

// referenceOrder returns the candidates that ok accepts, sorted by rendezvous hash.
func referenceOrder(cand *candidates, prefix uint64, ok func(*endpointState) bool) []*endpointState {
	var out []*endpointState
	for _, s := range cand.states {
		if ok(s) {
			out = append(out, s)
		}
	}
	slices.SortFunc(out, func(a, b *endpointState) int {
		if mix64(a.idHash^prefix) > mix64(b.idHash^prefix) {
			return -1
		}
		return 1
	})
	return out
}

// TestChoiceAgainstReferenceModel generates random endpoint states and compares each choice with the result of an
// exhaustive search.
func TestChoiceAgainstReferenceModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		policy := rapid.SampledFrom([]string{PolicyAffinity, PolicyLeastLoaded, PolicyRandom, PolicyRoundRobin}).Draw(t, "policy")
		f := newFixture(testBundle(1, rapid.IntRange(1, 4).Draw(t, "endpoints"), 4, "a", "b"), instances(2, "a", "b"), 0, policy)
		g := f.balancer.table.Load().groups[testGroup]
		f.clock.Advance(time.Hour)
		now := f.clock.Now()
		g.each(func(s *endpointState) {
			s.inFlight.Store(int64(rapid.IntRange(0, 4).Draw(t, "in flight")))
			s.draining.Store(rapid.IntRange(0, 4).Draw(t, "draining") == 0)
			if rapid.IntRange(0, 4).Draw(t, "ejected") == 0 {
				s.health.eject(now, time.Second, 5)
			}
			if rapid.Bool().Draw(t, "reported") {
				s.applyReport(now, &api.EndpointLoad{Running: rapid.Uint32Range(0, 6).Draw(t, "running"), ReportedUnixMs: 1})
			}
		})
		target := admit.Target{Prefix: uint64(rapid.IntRange(0, 3).Draw(t, "prefix")) * splitMix64Increment}
		someUsable := false
		g.each(func(s *endpointState) { someUsable = someUsable || s.usable(now) })
		usable := func(s *endpointState) bool { return s.usable(now) || (!someUsable && !s.draining.Load()) }
		var eligible, free []*endpointState
		var from *candidates
		ownDomainUsable := false
		for _, cand := range []*candidates{&g.ownDomain, &g.otherDomains} {
			withCapacity := referenceOrder(cand, target.Prefix, func(s *endpointState) bool {
				return usable(s) && s.inFlight.Load() < s.capacity(now, cand, ownDomainUsable)
			})
			eligible = append(eligible, referenceOrder(cand, 0, usable)...)
			ownDomainUsable = len(eligible) > 0
			if len(free) == 0 {
				free, from = withCapacity, cand
			}
		}
		least := int64(0)
		for i, s := range free {
			if l := s.load(now, from); i == 0 || l < least {
				least = l
			}
		}
		loads := map[string]int64{}
		for _, s := range free {
			loads[s.id] = s.load(now, from)
		}

		p, a := f.acquire(target)
		switch {
		case len(eligible) == 0 && a != admit.NoEndpoint, len(eligible) > 0 && len(free) == 0 && a != admit.Busy, len(free) > 0 && a != admit.Acquired:
			t.Fatalf("availability %d with %d eligible endpoints, %d of them with free capacity", a, len(eligible), len(free))
		case a != admit.Acquired:
			return
		}
		load, ok := loads[p.Endpoint]
		if !ok {
			t.Fatalf("chose %s, which has no free capacity", p.Endpoint)
		}
		if policy == PolicyLeastLoaded && load != least {
			t.Fatalf("chose an endpoint with load %d, the least load is %d", load, least)
		}
		preferred := referenceOrder(from, target.Prefix, usable)[0]
		bound := least*loadBoundPercent/100 + loadBoundSlack*1000/int64(preferred.limit.get())
		if l, hasCapacity := loads[preferred.id]; policy == PolicyAffinity && target.Prefix != 0 && hasCapacity && l <= bound && p.Endpoint != preferred.id {
			t.Fatalf("chose %s, but the preferred endpoint %s has load %d within the bound %d", p.Endpoint, preferred.id, l, bound)
		}
	})
}

// TestConcurrentAcquireRelease acquires and releases slots from several goroutines and checks that the limit is never
// exceeded and that no request stays counted.
func TestConcurrentAcquireRelease(t *testing.T) {
	f := newFixture(testBundle(1, 4, 8, "a"), instances(1, "a"), 0, "")
	var group sync.WaitGroup
	for n := range 8 {
		group.Go(func() {
			for i := range 2000 {
				p, a := f.acquire(admit.Target{Prefix: uint64(i % 7)})
				if a != admit.Acquired {
					continue
				}
				if inFlight := p.Handle.(*endpointState).inFlight.Load(); inFlight > 8 {
					t.Errorf("%d requests in flight, limit 8", inFlight)
				}
				f.balancer.Release(p, admit.Result{TotalTime: time.Second, Failed: (i+n)%50 == 0})
			}
		})
	}
	group.Wait()
	for _, s := range f.balancer.Status() {
		if s.InFlight != 0 {
			t.Errorf("%d requests in flight after all were released", s.InFlight)
		}
	}
}

// BenchmarkChoice measures choices by affinity, without and with a prefix, for several numbers of endpoints.
func BenchmarkChoice(b *testing.B) {
	for _, perDomain := range []int{4, 12, 163, 1300} {
		for _, prefix := range []uint64{0, 99} {
			domains := []string{"a", "b", "c", "d", "e", "f", "g", "h"}
			if perDomain == 4 {
				domains = domains[:3]
			}
			if perDomain == 1300 {
				domains = domains[:1]
			}
			b.Run(fmt.Sprintf("endpoints=%dx%d/prefix=%t", len(domains), perDomain, prefix != 0), func(b *testing.B) {
				f := newFixture(testBundle(1, perDomain, 8, domains...), instances(2, domains...), 0, "")
				f.balancer.config.Clock = clockwork.NewRealClock()
				b.ReportAllocs()
				b.ResetTimer()
				b.RunParallel(func(pb *testing.PB) {
					for i := uint64(0); pb.Next(); i++ {
						p, a := f.acquire(admit.Target{Prefix: prefix * i})
						if a == admit.Acquired {
							p.Handle.(*endpointState).release()
						}
					}
				})
			})
		}
	}
}

// BenchmarkEndpoint measures the memory per endpoint and the time to apply one load report.
func BenchmarkEndpoint(b *testing.B) {
	const n = 1000
	bundle, all := testBundle(1, n, 8, "a"), instances(2, "a")
	source := newFixedBundle(bundle)
	before := heapBytes()
	f := newFixture(bundle, all, 0, "")
	f.balancer.config.Bundles = source
	f.bundles = nil
	bytesPerEndpoint := float64(heapBytes()-before) / n
	loads := make([]*api.EndpointLoad, n)
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		for e := range loads {
			loads[e] = &api.EndpointLoad{Endpoint: bundle.Endpoints[e].Id, Running: 3, Capacity: 8, ReportedUnixMs: int64(i + 1)}
		}
		f.balancer.ApplyPeerReport(loads, nil)
	}
	b.ReportMetric(bytesPerEndpoint, "B/endpoint")
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/n, "ns/report")
}

func heapBytes() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
