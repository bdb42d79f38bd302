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

// naiveHomes sorts all endpoints of a side by rendezvous hash.
func naiveHomes(sd *side, prefix uint64, ok func(*state) bool) []*state {
	var out []*state
	for _, s := range sd.states {
		if ok(s) {
			out = append(out, s)
		}
	}
	slices.SortFunc(out, func(a, b *state) int {
		if mix(a.seed^prefix) > mix(b.seed^prefix) {
			return -1
		}
		return 1
	})
	return out
}

// TestAgainstNaive draws states of endpoints and compares each choice with what a search of all of them allows.
func TestAgainstNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		policy := rapid.SampledFrom([]string{PolicyAffinity, PolicyLeastLoaded, PolicyRandom, PolicyRoundRobin}).Draw(t, "policy")
		f := newFixture(testBundle(1, rapid.IntRange(1, 4).Draw(t, "endpoints"), 4, "a", "b"), instances(2, "a", "b"), 0, policy)
		g := f.balancer.table.Load().groups[testGroup]
		f.clock.Advance(time.Hour)
		now := f.clock.Now()
		g.each(func(s *state) {
			s.inFlight.Store(int64(rapid.IntRange(0, 4).Draw(t, "in flight")))
			s.leaving.Store(rapid.IntRange(0, 4).Draw(t, "leaving") == 0)
			if rapid.IntRange(0, 4).Draw(t, "ejected") == 0 {
				s.health.eject(now, time.Second, 5)
			}
			if rapid.Bool().Draw(t, "reported") {
				s.apply(now, &api.EndpointLoad{Running: rapid.Uint32Range(0, 6).Draw(t, "running"), ReportedUnixMs: 1})
			}
		})
		target := admit.Target{Prefix: uint64(rapid.IntRange(0, 3).Draw(t, "prefix")) * golden}
		someWork := false
		g.each(func(s *state) { someWork = someWork || s.usable(now) })
		usable := func(s *state) bool { return s.usable(now) || (!someWork && !s.leaving.Load()) }
		var working, free []*state
		var from *side
		ownWorks := false
		for _, sd := range []*side{&g.own, &g.away} {
			open := naiveHomes(sd, target.Prefix, func(s *state) bool {
				return usable(s) && s.inFlight.Load() < s.room(now, sd, ownWorks)
			})
			working = append(working, naiveHomes(sd, 0, usable)...)
			ownWorks = len(working) > 0
			if len(free) == 0 {
				free, from = open, sd
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
		case len(working) == 0 && a != admit.NoEndpoint, len(working) > 0 && len(free) == 0 && a != admit.Busy, len(free) > 0 && a != admit.Acquired:
			t.Fatalf("answer %d with %d working and %d free", a, len(working), len(free))
		case a != admit.Acquired:
			return
		}
		load, ok := loads[p.Endpoint]
		if !ok {
			t.Fatalf("chose %s, which is not free", p.Endpoint)
		}
		if policy == PolicyLeastLoaded && load != least {
			t.Fatalf("chose load %d, least %d", load, least)
		}
		home := naiveHomes(from, target.Prefix, usable)[0]
		bound := least*loadBound/100 + loadSlack*1000/int64(home.limit.get())
		if l, open := loads[home.id]; policy == PolicyAffinity && target.Prefix != 0 && open && l <= bound && p.Endpoint != home.id {
			t.Fatalf("chose %s, home %s has load %d, bound %d", p.Endpoint, home.id, l, bound)
		}
	})
}

// TestSideBySide takes and gives places from many goroutines. The limits hold and nothing stays taken.
func TestSideBySide(t *testing.T) {
	f := newFixture(testBundle(1, 4, 8, "a"), instances(1, "a"), 0, "")
	var group sync.WaitGroup
	for n := range 8 {
		group.Go(func() {
			for i := range 2000 {
				p, a := f.acquire(admit.Target{Prefix: uint64(i % 7)})
				if a != admit.Acquired {
					continue
				}
				if in := p.Handle.(*state).inFlight.Load(); in > 8 {
					t.Errorf("%d in flight at a limit of 8", in)
				}
				f.balancer.Release(p, admit.Result{TotalTime: time.Second, Failed: (i+n)%50 == 0})
			}
		})
	}
	group.Wait()
	for _, s := range f.balancer.Status() {
		if s.InFlight != 0 {
			t.Errorf("%d in flight at the end", s.InFlight)
		}
	}
}

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
							p.Handle.(*state).give()
						}
					}
				})
			})
		}
	}
}

// BenchmarkEndpoint measures what one endpoint takes in memory, and a report of it in time.
func BenchmarkEndpoint(b *testing.B) {
	const n = 1000
	bundle, all := testBundle(1, n, 8, "a"), instances(2, "a")
	source := newFixedBundle(bundle)
	before := heapBytes()
	f := newFixture(bundle, all, 0, "")
	f.balancer.config.Bundles = source
	f.bundles = nil
	held := float64(heapBytes()-before) / n
	loads := make([]*api.EndpointLoad, n)
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		for e := range loads {
			loads[e] = &api.EndpointLoad{Endpoint: bundle.Endpoints[e].Id, Running: 3, Capacity: 8, ReportedUnixMs: int64(i + 1)}
		}
		f.balancer.ApplyReport(loads, nil)
	}
	b.ReportMetric(held, "B/endpoint")
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/n, "ns/report")
}

func heapBytes() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
