package route

import (
	"context"
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"pumiceshelf/admit"
	"pumiceshelf/api"
)

func TestRun(t *testing.T) {
	Convey("Run polls the endpoints, applies bundle changes and ends without leaking goroutines", t, func() {
		defer goleak.VerifyNone(t)
		f := newFixture(testBundle(1, 1, 8, "a"), instances(1, "a"), 0, "")
		f.loads.loads["http://a-e0"] = &api.EndpointLoad{Running: 3}
		notified := make(chan string, 100)
		f.balancer.OnSlotFree(func(g string) { notified <- g })
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error)
		go func() { done <- f.balancer.Run(ctx) }()
		So(<-notified, ShouldEqual, testGroup)
		So(f.balancer.LocalLoads()[0].Running, ShouldEqual, 3)
		f.bundles.set(testBundle(2, 2, 8, "a"))
		So(<-notified, ShouldEqual, "")
		So(f.status("a-e1"), ShouldNotBeNil)
		cancel()
		So(<-done, ShouldEqual, context.Canceled)
	})

	Convey("Each endpoint is polled by exactly one instance of its domain", t, func() {
		all := instances(3, "a", "b")
		polled := map[string]int{}
		for i := range all {
			f := newFixture(testBundle(1, 8, 8, "a", "b"), all, i, "")
			for id := range f.balancer.polledEndpoints() {
				polled[id]++
				So(id[:1], ShouldEqual, all[i].Domain)
			}
		}
		So(len(polled), ShouldEqual, 16)
		for _, n := range polled {
			So(n, ShouldEqual, 1)
		}
	})
}

func TestDrainingEndpointsOfHeartbeatSignalNoCapacity(t *testing.T) {
	Convey("When a heartbeat signals capacity, the endpoints that it names as draining take no requests any more", t, func() {
		for name, report := range map[string]func(*Balancer, *api.EndpointLoad){
			"in its list": func(b *Balancer, l *api.EndpointLoad) {
				b.ApplyPeerReport([]*api.EndpointLoad{l}, []string{l.Endpoint})
			},
			"in its load report": func(b *Balancer, l *api.EndpointLoad) {
				l.Leaving = true
				b.ApplyPeerReport([]*api.EndpointLoad{l}, nil)
			},
		} {
			f := newFixture(testBundle(1, 1, 8, "a"), instances(1, "a"), 0, "")
			leaving := []bool{}
			f.balancer.OnSlotFree(func(string) { leaving = append(leaving, f.status("a-e0").Leaving) })
			report(f.balancer, &api.EndpointLoad{Endpoint: "a-e0", Running: 1, ReportedUnixMs: f.clock.Now().UnixMilli()})
			SoMsg(name, leaving, ShouldNotContain, false)
		}
	})
}

// TestRandomOperations runs random operations and checks the balancer's state after each; the invariants in the code are
// checked as well.
func TestRandomOperations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		domains := []string{"a", "b"}
		f := newFixture(testBundle(1, 3, 4, domains...), instances(2, domains...), 0, rapid.SampledFrom([]string{PolicyAffinity, PolicyRandom}).Draw(t, "policy"))
		outstanding := map[string][]admit.Slot{}
		number, perDomain := uint64(1), 3
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			id := fmt.Sprintf("%s-e%d", rapid.SampledFrom(domains).Draw(t, "domain"), rapid.IntRange(0, 2).Draw(t, "endpoint"))
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0:
				f.clock.Advance(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
				f.balancer.tick()
			case 1:
				f.balancer.SetDraining([]string{id})
			case 2:
				number++
				perDomain = rapid.IntRange(1, 3).Draw(t, "endpoints")
				f.bundles.set(testBundle(number, perDomain, rapid.Uint32Range(0, 4).Draw(t, "rating"), domains...))
				f.balancer.rebuildIfChanged()
			case 3:
				f.balancer.ApplyPeerReport([]*api.EndpointLoad{{
					Endpoint: id, Running: rapid.Uint32Range(0, 9).Draw(t, "running"), Capacity: rapid.Uint32Range(0, 9).Draw(t, "capacity"),
					ReportedUnixMs: f.clock.Now().UnixMilli(),
				}}, nil)
			case 4, 5, 6:
				if list := outstanding[id]; len(list) > 0 {
					f.balancer.Release(list[0], admit.Result{
						Failed: rapid.Bool().Draw(t, "failed"), Stalled: rapid.Bool().Draw(t, "stalled"),
						TotalTime: time.Second, TimeToFirstToken: 10 * time.Millisecond, Tokens: 10,
					})
					outstanding[id] = list[1:]
				}
			default:
				usable := 0
				for _, s := range f.balancer.Status() {
					if !s.Ejected && !s.Leaving {
						usable++
					}
				}
				p, a := f.acquire(admit.Target{Prefix: 5})
				if a == admit.NoEndpoint {
					t.Fatal("no endpoint available, but at most one is draining")
				}
				if a == admit.Acquired {
					if s := f.status(p.Endpoint); s.Leaving || (s.Ejected && usable > 0) {
						t.Fatalf("chosen: %v, with %d usable endpoints", s, usable)
					}
					outstanding[p.Endpoint] = append(outstanding[p.Endpoint], p)
				}
			}
			f.check(t, outstanding, perDomain)
		}
	})
}

// check compares the balancer's counts with the requests that the test has in flight. An endpoint that was removed from
// the bundle and added again has a new state.
func (f *fixture) check(t *rapid.T, outstanding map[string][]admit.Slot, perDomain int) {
	tab := f.balancer.table.Load()
	if len(tab.states) != 2*perDomain {
		t.Fatalf("table has %d endpoints, bundle has %d", len(tab.states), 2*perDomain)
	}
	for id, s := range tab.states {
		want := 0
		for _, p := range outstanding[id] {
			if p.Handle.(*endpointState) == s {
				want++
			}
		}
		if int(s.inFlight.Load()) != want {
			t.Fatalf("%s has %d requests in flight, want %d", id, s.inFlight.Load(), want)
		}
		if s.limit.get() < 1 || s.limit.get() > maxUnratedLimit {
			t.Fatalf("limit of %s is %d, out of range", id, s.limit.get())
		}
	}
}
