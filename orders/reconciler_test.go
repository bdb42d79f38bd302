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

// testBundle returns a bundle with perDomain engines of model m at the given version in each domain.
func testBundle(number uint64, version string, perDomain int, concurrentLoads uint32, domains ...string) *api.Bundle {
	b := &api.Bundle{Number: number, ConcurrentLoads: concurrentLoads, Models: []*api.Model{{Id: "m", Version: version}}}
	for _, d := range domains {
		for i := range perDomain {
			id := fmt.Sprintf("%s-e%d", d, i)
			b.Endpoints = append(b.Endpoints, &api.Endpoint{Id: id, Domain: d, Url: id, Models: []string{"m"}})
		}
	}
	return b
}

func TestReconcile(t *testing.T) {
	Convey("Given three engines in one domain and one concurrent load", t, func() {
		f := newTestFleet(testBundle(1, "v1", 3, 1, "a"), true, "a")
		f.reconcileRounds(5, "a-0")
		So(f.engines.versions("m"), ShouldResemble, map[string]int{"v1": 3})
		So(f.engines.orders, ShouldEqual, 3)
		f.engines.requiredModels = []string{"m"}

		Convey("a new version is loaded by one engine after the other and the model stays available", func() {
			f.setBundle(testBundle(2, "v2", 3, 1, "a"))
			f.reconcileRounds(5, "a-0")
			So(f.engines.versions("m"), ShouldResemble, map[string]int{"v2": 3})
			So(f.engines.maxLoading, ShouldEqual, 1)
			So(f.engines.unserved, ShouldBeFalse)
			for _, s := range f.reconcilers["a-0"].Status() {
				So(s.State, ShouldEqual, "in_force")
			}
		})
		Convey("while all engines are up to date the object store is not used", func() {
			writes := f.store.writes
			f.store.unavailable = true
			f.reconcileRounds(3, "a-0")
			So(f.store.writes, ShouldEqual, writes)
			So(f.reconcilers["a-0"].counters.storeUnavailable.Count(), ShouldEqual, 0)
		})
		Convey("an engine that restarts without models gets the order again", func() {
			f.engines.states["a-e1"] = &endpoint.State{}
			f.reconcileRounds(2, "a-0")
			So(f.engines.versions("m"), ShouldResemble, map[string]int{"v1": 3})
		})
		Convey("dropped responses of the object store do not prevent the change", func() {
			f.setBundle(testBundle(2, "v2", 3, 1, "a"))
			for range 8 {
				f.store.dropNextResponse = true
				f.reconcileRounds(1, "a-0")
				f.reconcileRounds(1, "a-0")
			}
			So(f.engines.versions("m"), ShouldResemble, map[string]int{"v2": 3})
		})
		Convey("a slot whose response was dropped is released if the change is taken back", func() {
			f.setBundle(testBundle(2, "v2", 3, 1, "a"))
			f.store.dropNextResponse = true
			f.reconcileRounds(1, "a-0")
			f.setBundle(testBundle(3, "v1", 3, 1, "a"))
			f.reconcileRounds(2, "a-0")
			var stored api.ChangeSlots
			_, err := readMessage(t.Context(), f.store, slotsKey, &stored)
			So(err, ShouldBeNil)
			So(stored.Slots, ShouldBeEmpty)
		})
		Convey("the last loaded endpoint waits for a replica", func() {
			f.engines.unreachable["a-e1"], f.engines.unreachable["a-e2"] = true, true
			f.setBundle(testBundle(2, "v2", 3, 1, "a"))
			f.reconcileRounds(5, "a-0")
			So(f.engines.versions("m")["v1"], ShouldEqual, 3)
			So(f.reconcilers["a-0"].Status()[0].State, ShouldEqual, "waiting_for_replica")
			f.engines.unreachable = map[string]bool{}
			f.reconcileRounds(8, "a-0")
			So(f.engines.versions("m"), ShouldResemble, map[string]int{"v2": 3})
			So(f.engines.unserved, ShouldBeFalse)
		})
		Convey("no order is sent while the object store is unavailable", func() {
			f.store.unavailable = true
			f.setBundle(testBundle(2, "v2", 3, 1, "a"))
			f.reconcileRounds(3, "a-0")
			So(f.engines.orders, ShouldEqual, 3)
			f.store.unavailable = false
			f.reconcileRounds(6, "a-0")
			So(f.engines.versions("m"), ShouldResemble, map[string]int{"v2": 3})
		})
	})

	Convey("Two domains with one engine each change one after the other", t, func() {
		f := newTestFleet(testBundle(1, "v1", 1, 2, "a", "b"), true, "a", "b")
		f.reconcileRounds(3, "a-0", "b-0")
		f.engines.requiredModels = []string{"m"}
		f.setBundle(testBundle(2, "v2", 1, 2, "a", "b"))
		f.reconcileRounds(6, "a-0", "b-0")
		So(f.engines.versions("m"), ShouldResemble, map[string]int{"v2": 2})
		So(f.engines.unserved, ShouldBeFalse)
	})

	Convey("Domains that wait for a replica in each other keep their fencing numbers", t, func() {
		f := newTestFleet(testBundle(1, "v1", 1, 2, "a", "b"), true, "a", "b")
		f.engines.states["a-e0"].Fence = 5
		f.reconcileRounds(3, "a-0", "b-0")
		for version := range uint64(4) {
			f.setBundle(testBundle(2+version, fmt.Sprint("v", 2+version), 1, 2, "a", "b"))
			f.reconcileRounds(6, "a-0", "b-0")
			So(f.engines.versions("m"), ShouldResemble, map[string]int{fmt.Sprint("v", 2+version): 2})
		}
		for _, name := range []string{"a-0", "b-0"} {
			So(f.reconcilers[name].counters.leasesAcquired.Count(), ShouldEqual, 1)
		}
	})

	Convey("Two domains with one engine each that plan concurrently do not both change", t, func() {
		f := newTestFleet(testBundle(1, "v1", 1, 2, "a", "b"), true, "a", "b")
		f.reconcileRounds(3, "a-0", "b-0")
		f.engines.requiredModels = []string{"m"}
		f.setBundle(testBundle(2, "v2", 1, 2, "a", "b"))
		// The third state that a-0 reads is that of the other domain's engine, on which its plan relies.
		f.engines.skipStateReads, f.engines.onStateRead = 2, func() { f.reconcilers["b-0"].reconcile(context.Background()) }
		f.reconcilers["a-0"].reconcile(context.Background())
		So(f.reconcilers["a-0"].counters.superseded.Count(), ShouldEqual, 1)
		So(f.engines.unserved, ShouldBeFalse)
		f.reconcileRounds(6, "a-0", "b-0")
		So(f.engines.versions("m"), ShouldResemble, map[string]int{"v2": 2})
	})

	Convey("A slot of a domain that stopped reconciling expires after slotTTL", t, func() {
		f := newTestFleet(testBundle(1, "v1", 1, 1, "a", "b"), true, "a", "b")
		f.reconcilers["b-0"].reconcile(context.Background())
		f.reconcileRounds(3, "a-0")
		So(f.reconcilers["a-0"].Status()[0].State, ShouldEqual, "waiting_for_slot")
		f.clock.Advance(slotTTL)
		f.reconcileRounds(2, "a-0")
		So(f.reconcilers["a-0"].Status()[0].State, ShouldEqual, "in_force")
	})
}

func TestPausedLeaseHolder(t *testing.T) {
	for _, checkFences := range []bool{true, false} {
		Convey(fmt.Sprintf("Given a lease holder that is paused while another instance acquires the lease, engines check fencing numbers: %t", checkFences), t, func() {
			f := newTestFleet(testBundle(1, "v1", 2, 1, "a"), checkFences, "a")
			f.reconcileRounds(4, "a-0")
			f.engines.requiredModels = []string{"m"}
			successor := f.reconcilers["a-1"].config.Self

			Convey("after a pause following the last check, its order is refused or corrected by the new holder", func() {
				f.setBundle(testBundle(2, "v2", 2, 1, "a"), "a-0")
				f.engines.beforeOrder = func(string) {
					*f.owners["a"] = successor
					f.setBundle(testBundle(3, "v3", 2, 1, "a"), "a-1")
					f.reconcileRounds(6, "a-1")
				}
				f.reconcilers["a-0"].reconcile(context.Background())
				if checkFences {
					So(f.reconcilers["a-0"].counters.staleFence.Count(), ShouldEqual, 1)
				} else {
					So(f.engines.versions("m")["v2"], ShouldEqual, 1)
				}
				f.reconcileRounds(6, "a-0", "a-1")
				So(f.engines.versions("m"), ShouldResemble, map[string]int{"v3": 2})
				So(f.engines.unserved, ShouldBeFalse)
			})
			Convey("after a pause before the last check, it sends nothing because the checks have expired or it has lost the lease", func() {
				r, snap := f.reconcilers["a-0"], f.bundles["a-0"].snap
				d := decision{endpoint: snap.Endpoint("a-e0"), step: needsChange}
				d.order, _ = desired(snap, d.endpoint)
				f.engines.states["a-e0"].Models[0].Version = "v0"
				orders, start := f.engines.orders, f.clock.Now()
				f.clock.Advance(orderTimeout + 1)
				So(r.sendOrder(context.Background(), snap, d, 1, start), ShouldEqual, errChecksExpired)
				_, err := f.reconcilers["a-1"].ensureLease(context.Background(), 0)
				So(err, ShouldBeNil)
				So(r.sendOrder(context.Background(), snap, d, 1, f.clock.Now()), ShouldEqual, errNotHolder)
				So(f.engines.orders, ShouldEqual, orders)
			})
		})
	}

	Convey("A new lease after the loss of the lease object has a fencing number above those of the engines", t, func() {
		f := newTestFleet(testBundle(1, "v1", 1, 1, "a"), true, "a")
		f.engines.states["a-e0"].Fence = 41
		f.reconcileRounds(2, "a-0")
		So(f.engines.states["a-e0"].Fence, ShouldEqual, 42)
		delete(f.store.objects, leasePrefix+"a")
		f.engines.states["a-e0"].Models = nil
		f.reconcileRounds(2, "a-0")
		So(f.engines.states["a-e0"].Fence, ShouldEqual, 43)
	})
}

// TestRandomOperations randomly changes bundles, owners, engines and the store. It checks that concurrent loads stay within
// the limit, that no model loses its last loaded engine, and that the engines finally match the last bundle.
func TestRandomOperations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		domains := []string{"a", "b"}[:rapid.IntRange(1, 2).Draw(t, "domains")]
		perDomain := rapid.IntRange(2, 4).Draw(t, "engines")
		limit := rapid.Uint32Range(1, 2).Draw(t, "loads")
		f := newTestFleet(testBundle(1, "v1", perDomain, limit, domains...), rapid.Bool().Draw(t, "checks"), domains...)
		all := []string{}
		for _, d := range domains {
			all = append(all, d+"-0", d+"-1")
		}
		f.reconcileRounds(12, all...)
		f.engines.requiredModels, f.engines.maxLoading = []string{"m"}, 0
		number := uint64(1)
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			name := rapid.SampledFrom(all).Draw(t, "instance")
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				number++
				f.setBundle(testBundle(number, fmt.Sprintf("v%d", number%3), perDomain, limit, domains...))
			case 1:
				*f.owners[name[:1]] = f.reconcilers[name].config.Self
			case 2:
				f.store.dropNextResponse = true
			case 3:
				f.engines.finishLoads()
			case 4:
				f.store.unavailable = !f.store.unavailable
			default:
				f.reconcilers[name].reconcile(context.Background())
			}
		}
		f.store.unavailable, f.store.dropNextResponse = false, false
		f.reconcileRounds(40, all...)
		if f.engines.unserved {
			t.Fatal("a model lost its last loaded engine")
		}
		if f.engines.maxLoading > int(limit) {
			t.Fatalf("%d engines were loading concurrently, limit %d", f.engines.maxLoading, limit)
		}
		want := fmt.Sprintf("v%d", number%3)
		if got := f.engines.versions("m"); number > 1 && got[want] != perDomain*len(domains) {
			t.Fatalf("engines at %v, want all at %s", got, want)
		}
	})
}

var _ objectstore.Store = (*memoryStore)(nil)

// BenchmarkPlan measures the planning of one round of a domain whose engines all need a change.
func BenchmarkPlan(b *testing.B) {
	const n = 163
	f := newTestFleet(testBundle(1, "v1", n, 1, "a"), true, "a")
	r, snap := f.reconcilers["a-0"], f.bundles["a-0"].snap
	states := r.readStates(context.Background(), domainEngines(snap, "a"))
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		r.plan(snap, states, nil)
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/n, "ns/endpoint")
}
