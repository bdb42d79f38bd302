package orders

import (
	"context"
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"pumiceshelf/api"
	"pumiceshelf/endpoint"
	"pumiceshelf/objectstore"
)

// testBundle has perDomain engines of model m at a version in each domain.
func testBundle(number uint64, version string, perDomain int, concurrent uint32, domains ...string) *api.Bundle {
	b := &api.Bundle{Number: number, ConcurrentLoads: concurrent, Models: []*api.Model{{Id: "m", Version: version}}}
	for _, d := range domains {
		for i := range perDomain {
			id := fmt.Sprintf("%s-e%d", d, i)
			b.Endpoints = append(b.Endpoints, &api.Endpoint{Id: id, Domain: d, Url: id, Models: []string{"m"}})
		}
	}
	return b
}

func TestReconcile(t *testing.T) {
	Convey("Three engines of one domain, one load at a time", t, func() {
		f := newFleet(testBundle(1, "v1", 3, 1, "a"), true, "a")
		f.settle(5, "a-0")
		So(f.engines.versions("m"), ShouldResemble, map[string]int{"v1": 3})
		So(f.engines.orders, ShouldEqual, 3)
		f.engines.need = []string{"m"}

		Convey("a new version goes round one by one and no model is lost", func() {
			f.roll(testBundle(2, "v2", 3, 1, "a"))
			f.settle(5, "a-0")
			So(f.engines.versions("m"), ShouldResemble, map[string]int{"v2": 3})
			So(f.engines.mostLoading, ShouldEqual, 1)
			So(f.engines.unserved, ShouldBeFalse)
			for _, s := range f.rs["a-0"].Status() {
				So(s.State, ShouldEqual, "in_force")
			}
		})
		Convey("when all is in force the platform is left alone", func() {
			before := f.store.writes
			f.store.down = true
			f.settle(3, "a-0")
			So(f.store.writes, ShouldEqual, before)
			So(f.rs["a-0"].meters.platform.Count(), ShouldEqual, 0)
		})
		Convey("an engine that restarts empty is ordered again", func() {
			f.engines.states["a-e1"] = &endpoint.State{}
			f.settle(2, "a-0")
			So(f.engines.versions("m"), ShouldResemble, map[string]int{"v1": 3})
		})
		Convey("answers of the store that are lost change nothing", func() {
			f.roll(testBundle(2, "v2", 3, 1, "a"))
			for range 8 {
				f.store.loseNext = true
				f.settle(1, "a-0")
				f.settle(1, "a-0")
			}
			So(f.engines.versions("m"), ShouldResemble, map[string]int{"v2": 3})
		})
		Convey("the last loaded endpoint waits for a replica", func() {
			f.engines.dead["a-e1"], f.engines.dead["a-e2"] = true, true
			f.roll(testBundle(2, "v2", 3, 1, "a"))
			f.settle(5, "a-0")
			So(f.engines.versions("m")["v1"], ShouldEqual, 3)
			So(f.rs["a-0"].Status()[0].State, ShouldEqual, "waiting_for_replica")
			f.engines.dead = map[string]bool{}
			f.settle(8, "a-0")
			So(f.engines.versions("m"), ShouldResemble, map[string]int{"v2": 3})
			So(f.engines.unserved, ShouldBeFalse)
		})
		Convey("with the platform down no order goes out", func() {
			f.store.down = true
			f.roll(testBundle(2, "v2", 3, 1, "a"))
			f.settle(3, "a-0")
			So(f.engines.orders, ShouldEqual, 3)
			f.store.down = false
			f.settle(6, "a-0")
			So(f.engines.versions("m"), ShouldResemble, map[string]int{"v2": 3})
		})
	})

	Convey("Two domains with one engine each change one after the other", t, func() {
		f := newFleet(testBundle(1, "v1", 1, 2, "a", "b"), true, "a", "b")
		f.settle(3, "a-0", "b-0")
		f.engines.need = []string{"m"}
		f.roll(testBundle(2, "v2", 1, 2, "a", "b"))
		f.settle(6, "a-0", "b-0")
		So(f.engines.versions("m"), ShouldResemble, map[string]int{"v2": 2})
		So(f.engines.unserved, ShouldBeFalse)
	})

	Convey("Two domains with one engine each that plan side by side do not both change", t, func() {
		f := newFleet(testBundle(1, "v1", 1, 2, "a", "b"), true, "a", "b")
		f.settle(3, "a-0", "b-0")
		f.engines.need = []string{"m"}
		f.roll(testBundle(2, "v2", 1, 2, "a", "b"))
		// The third state that a-0 asks for is that of the other domain's engine, which it plans to count on.
		f.engines.skip, f.engines.asked = 2, func() { f.rs["b-0"].round(context.Background()) }
		f.rs["a-0"].round(context.Background())
		So(f.rs["a-0"].meters.superseded.Count(), ShouldEqual, 1)
		So(f.engines.unserved, ShouldBeFalse)
		f.settle(6, "a-0", "b-0")
		So(f.engines.versions("m"), ShouldResemble, map[string]int{"v2": 2})
	})

	Convey("A slot of a lost domain is freed after its lifetime", t, func() {
		f := newFleet(testBundle(1, "v1", 1, 1, "a", "b"), true, "a", "b")
		f.rs["b-0"].round(context.Background())
		f.settle(3, "a-0")
		So(f.rs["a-0"].Status()[0].State, ShouldEqual, "waiting_for_slot")
		f.clock.Advance(slotLifetime)
		f.settle(2, "a-0")
		So(f.rs["a-0"].Status()[0].State, ShouldEqual, "in_force")
	})
}

func TestPausedHolder(t *testing.T) {
	for _, checks := range []bool{true, false} {
		Convey(fmt.Sprintf("A holder is paused while its lease goes to another, engines check fencing: %t", checks), t, func() {
			f := newFleet(testBundle(1, "v1", 2, 1, "a"), checks, "a")
			f.settle(4, "a-0")
			f.engines.need = []string{"m"}
			successor := f.rs["a-1"].config.Self

			Convey("after the last check: its order is refused, or put right within a round", func() {
				f.roll(testBundle(2, "v2", 2, 1, "a"), "a-0")
				f.engines.before = func(string) {
					*f.owners["a"] = successor
					f.roll(testBundle(3, "v3", 2, 1, "a"), "a-1")
					f.settle(6, "a-1")
				}
				f.rs["a-0"].round(context.Background())
				if checks {
					So(f.rs["a-0"].meters.stale.Count(), ShouldEqual, 1)
				} else {
					So(f.engines.versions("m")["v2"], ShouldEqual, 1)
				}
				f.settle(6, "a-0", "a-1")
				So(f.engines.versions("m"), ShouldResemble, map[string]int{"v3": 2})
				So(f.engines.unserved, ShouldBeFalse)
			})
			Convey("before the last check: it finds the lease gone or the checks too old and sends nothing", func() {
				r, snap := f.rs["a-0"], f.bundles["a-0"].snap
				d := decision{endpoint: snap.Endpoint("a-e0"), step: change}
				d.order, _ = desired(snap, d.endpoint)
				f.engines.states["a-e0"].Models[0].Version = "v0"
				orders, start := f.engines.orders, f.clock.Now()
				f.clock.Advance(orderWindow + 1)
				So(r.order(context.Background(), snap, d, 1, start), ShouldEqual, errLate)
				_, err := f.rs["a-1"].ensureLease(context.Background(), 0)
				So(err, ShouldBeNil)
				So(r.order(context.Background(), snap, d, 1, f.clock.Now()), ShouldEqual, errNotHolder)
				So(f.engines.orders, ShouldEqual, orders)
			})
		})
	}

	Convey("A lease object that was lost starts above what engines have seen", t, func() {
		f := newFleet(testBundle(1, "v1", 1, 1, "a"), true, "a")
		f.engines.states["a-e0"].Fence = 41
		f.settle(2, "a-0")
		So(f.engines.states["a-e0"].Fence, ShouldEqual, 42)
		delete(f.store.objects, leasePrefix+"a")
		f.engines.states["a-e0"].Models = nil
		f.settle(2, "a-0")
		So(f.engines.states["a-e0"].Fence, ShouldEqual, 43)
	})
}

// TestRandomRounds changes bundles, owners, engines and the store at random and checks that loads stay within the limit,
// that no model loses its last loaded engine, and that all ends as the last bundle wants.
func TestRandomRounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		domains := []string{"a", "b"}[:rapid.IntRange(1, 2).Draw(t, "domains")]
		per := rapid.IntRange(2, 4).Draw(t, "engines")
		limit := rapid.Uint32Range(1, 2).Draw(t, "loads")
		f := newFleet(testBundle(1, "v1", per, limit, domains...), rapid.Bool().Draw(t, "checks"), domains...)
		all := []string{}
		for _, d := range domains {
			all = append(all, d+"-0", d+"-1")
		}
		f.settle(12, all...)
		f.engines.need, f.engines.mostLoading = []string{"m"}, 0
		number := uint64(1)
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			name := rapid.SampledFrom(all).Draw(t, "instance")
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				number++
				f.roll(testBundle(number, fmt.Sprintf("v%d", number%3), per, limit, domains...))
			case 1:
				*f.owners[name[:1]] = f.rs[name].config.Self
			case 2:
				f.store.loseNext = true
			case 3:
				f.engines.finish()
			case 4:
				f.store.down = !f.store.down
			default:
				f.rs[name].round(context.Background())
			}
		}
		f.store.down, f.store.loseNext = false, false
		f.settle(40, all...)
		if f.engines.unserved {
			t.Fatal("a model lost its last loaded engine")
		}
		if f.engines.mostLoading > int(limit) {
			t.Fatalf("%d engines loaded at once, limit %d", f.engines.mostLoading, limit)
		}
		want := fmt.Sprintf("v%d", number%3)
		if got := f.engines.versions("m"); number > 1 && got[want] != per*len(domains) {
			t.Fatalf("engines at %v, want all at %s", got, want)
		}
	})
}

var _ objectstore.Store = (*memoryStore)(nil)

// BenchmarkPlan plans one round of a domain whose engines are all to change.
func BenchmarkPlan(b *testing.B) {
	const n = 163
	f := newFleet(testBundle(1, "v1", n, 1, "a"), true, "a")
	r, snap := f.rs["a-0"], f.bundles["a-0"].snap
	seen := r.observe(context.Background(), engines(snap, "a"))
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		r.plan(snap, seen, nil)
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/n, "ns/endpoint")
}
