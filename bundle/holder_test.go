package bundle

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/smartystreets/goconvey/convey"
	"google.golang.org/protobuf/encoding/protowire"

	"pumiceshelf/api"
	"pumiceshelf/internal/standin"
)

func TestRollReachesEveryInstance(t *testing.T) {
	Convey("Given three instances in two domains and no bundle", t, func() {
		f := newFleet(t, clockwork.NewRealClock())
		defer f.stopAll()
		f.add("d1", "a1")
		f.add("d1", "a2")
		f.add("d2", "b1")
		So(f.list()[0].holder.Current(), ShouldBeNil)
		Convey("a rolled bundle comes in force on all, and then its successor", func() {
			for number := uint64(1); number <= 2; number++ {
				mustRoll(t, f.objects, testBundle(number, 3, 2))
				for _, n := range f.list() {
					eventually(t, "bundle in force", func() bool { return n.holder.Number() == number })
					So(n.holder.Current().Customer("customer-0001"), ShouldNotBeNil)
				}
			}
		})
	})
}

func instances(f *testFleet, domain string) []*node {
	var out []*node
	for _, n := range f.list() {
		if n.self.Domain == domain {
			out = append(out, n)
		}
	}
	return out
}

func allHave(t testing.TB, nodes []*node, number uint64) {
	t.Helper()
	for _, n := range nodes {
		eventually(t, n.self.Name+" has the bundle", func() bool { return n.holder.Number() == number })
	}
}

func TestPlatformOutageAtStart(t *testing.T) {
	Convey("Given two domains with bundle 1 in force and the platform gone", t, func() {
		f := newFleet(t, clockwork.NewRealClock())
		defer f.stopAll()
		a1 := f.add("d1", "a1")
		f.add("d2", "b1")
		mustRoll(t, f.objects, testBundle(1, 5, 2))
		allHave(t, f.list(), 1)
		platformDown := func(a, b string) bool { return b == "platform" }
		f.setCut(platformDown)
		Convey("an instance that starts takes the bundle from a peer of its domain", func() {
			n := f.add("d1", "a2")
			allHave(t, []*node{n}, 1)
			So(n.holder.Current().Customer("customer-0004"), ShouldNotBeNil)
		})
		Convey("a domain restarted whole takes none from another domain while no peer can confirm it", func() {
			a1.stop()
			n := f.prepare("d1", "a2")
			n.holder.startFromPeers(context.Background())
			So(n.holder.Current(), ShouldBeNil)
			So(metricUnconfirmed.Counter(n.metrics).Count(), ShouldEqual, 1)
			Convey("and takes it once the peer reaches the platform", func() {
				f.setCut(func(a, b string) bool { return a == "a2" && b == "platform" })
				n.holder.startFromPeers(context.Background())
				So(n.holder.Number(), ShouldEqual, 1)
			})
		})
	})
}

func TestRestartOfWholeDomainWithStalePeers(t *testing.T) {
	Convey("Given domain d2 cut off at bundle 1 while d1 has bundle 2", t, func() {
		f := newFleet(t, clockwork.NewRealClock())
		defer f.stopAll()
		a1 := f.add("d1", "a1")
		b1 := f.add("d2", "b1")
		mustRoll(t, f.objects, testBundle(1, 2, 1))
		allHave(t, f.list(), 1)
		f.setCut(func(a, b string) bool { return a == "b1" })
		mustRoll(t, f.objects, testBundle(2, 2, 1))
		allHave(t, []*node{a1}, 2)
		Convey("when all of d1 restarts and reaches only the stale peer, bundle 1 does not come back", func() {
			a1.stop()
			f.setCut(func(a, b string) bool { return b == "platform" })
			n := f.prepare("d1", "a2")
			n.holder.startFromPeers(context.Background())
			So(n.holder.Current(), ShouldBeNil)
			f.setCut(func(a, b string) bool { return false })
			n.run()
			allHave(t, []*node{n, b1}, 2)
		})
	})
}

func TestPartitionBetweenDomains(t *testing.T) {
	Convey("Given three domains, d2 cut from the platform and d3 cut from all", t, func() {
		f := newFleet(t, clockwork.NewRealClock())
		defer f.stopAll()
		for _, name := range []string{"a1", "a2"} {
			f.add("d1", name)
		}
		for _, name := range []string{"b1", "b2"} {
			f.add("d2", name)
		}
		f.add("d3", "c1")
		mustRoll(t, f.objects, testBundle(1, 2, 1))
		allHave(t, f.list(), 1)
		f.setCut(func(a, b string) bool {
			return a == "c1" && b != "c1" || b == "platform" && (a == "b1" || a == "b2")
		})
		mustRoll(t, f.objects, testBundle(2, 2, 1))
		Convey("d2 gets the next bundle from peers, d3 keeps the old one and heals by itself", func() {
			allHave(t, append(instances(f, "d1"), instances(f, "d2")...), 2)
			So(instances(f, "d3")[0].holder.Number(), ShouldEqual, 1)
			f.setCut(func(a, b string) bool { return false })
			allHave(t, f.list(), 2)
		})
	})
}

func TestStaleReadsDoNotTakeABundleBack(t *testing.T) {
	Convey("Given an instance with bundle 2 in force", t, func() {
		f := newFleet(t, clockwork.NewRealClock())
		old := mustRoll(t, f.objects, testBundle(1, 2, 1))
		mustRoll(t, f.objects, testBundle(2, 2, 1))
		n := f.prepare("d1", "a1")
		So(n.holder.readPointer(context.Background()), ShouldBeNil)
		So(n.holder.Number(), ShouldEqual, 2)
		Convey("an offer of bundle 1 is passed over and counted", func() {
			So(n.holder.offer(context.Background(), old, n.holder.storeSource(), false), ShouldBeNil)
			So(n.holder.Number(), ShouldEqual, 2)
			So(metricBackwards.Counter(n.metrics).Count(), ShouldEqual, 1)
		})
		Convey("an offer of another bundle 2 is passed over and reported", func() {
			m, _ := Split(testBundle(2, 9, 1))
			other := Sign(m, ana.id, ana.key)
			So(n.holder.offer(context.Background(), other, n.holder.storeSource(), false), ShouldBeNil)
			number, text := n.holder.Status()
			So(number, ShouldEqual, 2)
			So(text, ShouldContainSubstring, "another bundle 2")
		})
	})
}

func TestBundleThatFailsStaysOut(t *testing.T) {
	Convey("Given bundle 1 in force", t, func() {
		f := newFleet(t, clockwork.NewRealClock())
		mustRoll(t, f.objects, testBundle(1, 2, 1))
		n := f.prepare("d1", "a1")
		So(n.holder.readPointer(context.Background()), ShouldBeNil)
		Convey("a bundle that takes a grant away stays out, reported by its path, until a whole one follows", func() {
			bad := testBundle(2, 2, 1)
			bad.Customers[1].Budgets[0].Grants[0].Tokens--
			mustRoll(t, f.objects, bad)
			So(n.holder.readPointer(context.Background()), ShouldNotBeNil)
			So(n.holder.Number(), ShouldEqual, 1)
			_, text := n.holder.Status()
			So(text, ShouldContainSubstring, "customers[customer-0001].budgets[budget-0].grants[first].tokens is 999999, must be 1000000")
			mustRoll(t, f.objects, testBundle(3, 2, 1))
			So(n.holder.readPointer(context.Background()), ShouldBeNil)
			So(n.holder.Number(), ShouldEqual, 3)
			_, text = n.holder.Status()
			So(text, ShouldBeEmpty)
		})
		Convey("a bundle with a field of a newer schema stays out", func() {
			newer := testBundle(2, 2, 1)
			newer.Customers[1].Budgets[0].ProtoReflect().SetUnknown(protowire.AppendVarint(protowire.AppendTag(nil, 99, protowire.VarintType), 1))
			mustRoll(t, f.objects, newer)
			So(n.holder.readPointer(context.Background()), ShouldNotBeNil)
			_, text := n.holder.Status()
			So(text, ShouldContainSubstring, "needs a newer one")
		})
		Convey("a bundle with too few signatures stays out", func() {
			store := f.objects.Link("ana")
			signed, parts := signedNext(store, testBundle(2, 3, 1), ana, carla)
			So(Roll(context.Background(), store, signed, parts), ShouldBeNil)
			So(errors.Is(n.holder.readPointer(context.Background()), ErrNotApproved), ShouldBeTrue)
			So(n.holder.Number(), ShouldEqual, 1)
		})
	})
}

func TestTrustAfterOperatorsChanged(t *testing.T) {
	Convey("Given operators who changed twice while an instance was down", t, func() {
		f := newFleet(t, clockwork.NewRealClock())
		store := f.objects.Link("ana")
		roll := func(b *api.Bundle, by ...operator) {
			signed, parts := signedNext(store, b, by...)
			So(Roll(context.Background(), store, signed, parts), ShouldBeNil)
		}
		next := func(number uint64, by ...operator) *api.Bundle {
			b := testBundle(number, 2, 1)
			b.Operators = publics(by...)
			return b
		}
		roll(next(1, ana, badr), ana, badr)
		down := f.prepare("d1", "a1")
		So(down.holder.readPointer(context.Background()), ShouldBeNil)
		roll(next(2, ana, badr), ana, badr)
		roll(next(3, badr, carla), ana, badr)
		roll(next(4, badr, carla), badr, carla)
		roll(next(5, carla, ana), badr, carla)
		roll(next(6, carla, ana), carla, ana)
		Convey("it follows the chain to the newest bundle, as does a fresh one", func() {
			So(down.holder.readPointer(context.Background()), ShouldBeNil)
			So(down.holder.Number(), ShouldEqual, 6)
			fresh := f.prepare("d1", "a2")
			So(fresh.holder.readPointer(context.Background()), ShouldBeNil)
			So(fresh.holder.Number(), ShouldEqual, 6)
			So(len(fresh.holder.force.Load().chain), ShouldEqual, 3)
			Convey("and passes the chain on to a peer that has no platform", func() {
				f.setCut(func(a, b string) bool { return b == "platform" })
				other := f.prepare("d1", "a3")
				other.holder.startFromPeers(context.Background())
				So(other.holder.Number(), ShouldEqual, 6)
			})
		})
		Convey("operators who were taken out cannot approve, not even by the chain that named them", func() {
			So(down.holder.readPointer(context.Background()), ShouldBeNil)
			p, err := ReadPointer(context.Background(), store)
			So(err, ShouldBeNil)
			m, _ := Split(next(7, ana, badr))
			Follow(m, p, nil)
			m.ApproversHash = down.holder.force.Load().chain[0].Manifest[:0]
			forged := Sign(m, badr.id, badr.key)
			AddSignature(forged, ana.id, ana.key)
			err = down.holder.offer(context.Background(), forged, down.holder.storeSource(), false)
			So(errors.Is(err, ErrNotApproved), ShouldBeTrue)
			So(down.holder.Number(), ShouldEqual, 6)
		})
	})
}

// settledCalls returns the calls to the platform once those of the start are over: the watcher's first watch brings the
// first bundle and its second one waits, and instances that heard of the bundle from a peer have ended their own first reads.
func settledCalls(f *testFleet) standin.Calls {
	const looks, pause = 50, 2 * time.Millisecond
	calls := f.objects.Calls()
	for same := 0; same < looks || calls.Watches < 2; same++ {
		time.Sleep(pause)
		if now := f.objects.Calls(); now != calls {
			calls, same = now, 0
		}
	}
	return calls
}

func TestInstancesTellEachOther(t *testing.T) {
	Convey("Given a domain of 30 instances whose clocks stand still, so that none polls or compares", t, func() {
		f := newFleet(t, clockwork.NewFakeClock())
		defer f.stopAll()
		mustRoll(t, f.objects, testBundle(1, 100, 2))
		for i := range 30 {
			f.prepare("d1", fmt.Sprintf("a%d", i))
		}
		for _, n := range f.list() {
			n.holder.watchFor = time.Hour
			n.run()
		}
		allHave(t, f.list(), 1)
		before := settledCalls(f)
		b := testBundle(2, 100, 2)
		b.Customers[5].Weight = 7
		mustRoll(t, f.objects, b)
		Convey("one reads the platform and the others hear of it from peers", func() {
			allHave(t, f.list(), 2)
			// Two reads are the operator's: the pointer, to sign and to roll. One is the changed pack.
			So(f.objects.Calls().Reads-before.Reads, ShouldEqual, 3)
			So(f.objects.Calls().Watches-before.Watches, ShouldBeLessThanOrEqualTo, 1)
		})
		Convey("and so when some of them do not answer", func() {
			allHave(t, f.list(), 2)
			ranked := f.list()[0].Ranked(topic)
			dead := map[string]bool{ranked[1].Name: true, ranked[7].Name: true}
			f.setCut(func(a, b string) bool { return dead[a] && !dead[b] })
			b.Number, b.Customers[5].Weight = 3, 8
			mustRoll(t, f.objects, b)
			for _, n := range f.list() {
				if !dead[n.self.Name] {
					allHave(t, []*node{n}, 3)
				}
			}
		})
	})
}

func TestForgedNumberDoesNotDeafen(t *testing.T) {
	Convey("Given an instance to which an unapproved bundle of a huge number was announced", t, func() {
		f := newFleet(t, clockwork.NewRealClock())
		defer f.stopAll()
		a, b := f.add("d1", "a1"), f.add("d2", "b1")
		mustRoll(t, f.objects, testBundle(1, 2, 1))
		allHave(t, f.list(), 1)
		f.setCut(func(x, y string) bool { return x == "a1" && y == "platform" })
		forged, _ := Split(testBundle(1<<60, 2, 1))
		now := a.holder.force.Load()
		forged.ApproversHash = now.trust.hash[:]
		So(errors.Is(a.holder.offer(context.Background(), Sign(forged, carla.id, carla.key), a.holder.storeSource(), true), ErrNotApproved), ShouldBeTrue)
		Convey("it still takes the next bundle from a peer", func() {
			mustRoll(t, f.objects, testBundle(2, 2, 1))
			allHave(t, []*node{a, b}, 2)
		})
	})
}
