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
	Convey("A balancer that runs polls its endpoints, follows the bundle and ends without leaving goroutines", t, func() {
		defer goleak.VerifyNone(t)
		f := newFixture(testBundle(1, 1, 8, "a"), instances(1, "a"), 0, "")
		f.loads.loads["http://a-e0"] = &api.EndpointLoad{Running: 3}
		room := make(chan string, 100)
		f.balancer.OnSlotFree(func(g string) { room <- g })
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error)
		go func() { done <- f.balancer.Run(ctx) }()
		So(<-room, ShouldEqual, testGroup)
		So(f.balancer.LocalLoads()[0].Running, ShouldEqual, 3)
		f.bundles.set(testBundle(2, 2, 8, "a"))
		So(<-room, ShouldEqual, "")
		So(f.status("a-e1"), ShouldNotBeNil)
		cancel()
		So(<-done, ShouldEqual, context.Canceled)
	})

	Convey("Each endpoint of a domain is polled by one of its instances", t, func() {
		all := instances(3, "a", "b")
		polled := map[string]int{}
		for i := range all {
			f := newFixture(testBundle(1, 8, 8, "a", "b"), all, i, "")
			for id := range f.balancer.mine() {
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

// TestRandomSteps takes random steps and checks what must hold after each; the program's own invariants run beside.
func TestRandomSteps(t *testing.T) {
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
				f.balancer.SetLeaving([]string{id})
			case 2:
				number++
				perDomain = rapid.IntRange(1, 3).Draw(t, "endpoints")
				f.bundles.set(testBundle(number, perDomain, rapid.Uint32Range(0, 4).Draw(t, "rating"), domains...))
				f.balancer.rebuildIfChanged()
			case 3:
				f.balancer.ApplyReport([]*api.EndpointLoad{{
					Endpoint: id, Running: rapid.Uint32Range(0, 9).Draw(t, "running"), Capacity: rapid.Uint32Range(0, 9).Draw(t, "capacity"),
					ReportedUnixMs: f.clock.Now().UnixMilli(),
				}}, nil)
			case 4, 5, 6:
				if list := outstanding[id]; len(list) > 0 {
					f.balancer.Release(list[0], admit.Result{
						Failed: rapid.Bool().Draw(t, "failed"), Stalled: rapid.Bool().Draw(t, "silent"),
						TotalTime: time.Second, TimeToFirstToken: 10 * time.Millisecond, Tokens: 10,
					})
					outstanding[id] = list[1:]
				}
			default:
				working := 0
				for _, s := range f.balancer.Status() {
					if !s.Ejected && !s.Leaving {
						working++
					}
				}
				p, a := f.acquire(admit.Target{Prefix: 5})
				if a == admit.NoEndpoint {
					t.Fatal("no endpoint, while at most one leaves")
				}
				if a == admit.Acquired {
					if s := f.status(p.Endpoint); s.Leaving || (s.Ejected && working > 0) {
						t.Fatalf("chosen: %v, %d others work", s, working)
					}
					outstanding[p.Endpoint] = append(outstanding[p.Endpoint], p)
				}
			}
			f.check(t, outstanding, perDomain)
		}
	})
}

// check compares the balancer's counts with the places that the test holds. An endpoint that left the bundle and came
// back is a new one.
func (f *fixture) check(t *rapid.T, outstanding map[string][]admit.Slot, perDomain int) {
	tab := f.balancer.table.Load()
	if len(tab.states) != 2*perDomain {
		t.Fatalf("%d endpoints, bundle has %d", len(tab.states), 2*perDomain)
	}
	for id, s := range tab.states {
		held := 0
		for _, p := range outstanding[id] {
			if p.Handle.(*state) == s {
				held++
			}
		}
		if int(s.inFlight.Load()) != held {
			t.Fatalf("%s has %d in flight, held %d", id, s.inFlight.Load(), held)
		}
		if s.limit.get() < 1 || s.limit.get() > limitMax {
			t.Fatalf("limit of %s is %d", id, s.limit.get())
		}
	}
}
