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
		Convey("a rolled bundle becomes active on all of them, and so does its successor", func() {
			for number := uint64(1); number <= 2; number++ {
				mustRoll(t, f.objects, testBundle(number, 3, 2))
				for _, n := range f.list() {
					eventually(t, "bundle is active", func() bool { return n.holder.Number() == number })
					So(n.holder.Current().Customer("customer-0001"), ShouldNotBeNil)
				}
			}
		})
	})
}

func nodesOfDomain(f *testFleet, domain string) []*node {
	var out []*node
	for _, n := range f.list() {
		if n.self.Domain == domain {
			out = append(out, n)
		}
	}
	return out
}

func waitForBundle(t testing.TB, nodes []*node, number uint64) {
	t.Helper()
	for _, n := range nodes {
		eventually(t, n.self.Name+" has the bundle", func() bool { return n.holder.Number() == number })
	}
}

func TestObjectStoreOutageAtStart(t *testing.T) {
	Convey("Given two domains with active bundle 1 and an unavailable object store", t, func() {
		f := newFleet(t, clockwork.NewRealClock())
		defer f.stopAll()
		a1 := f.add("d1", "a1")
		f.add("d2", "b1")
		mustRoll(t, f.objects, testBundle(1, 5, 2))
		waitForBundle(t, f.list(), 1)
		storeUnavailable := func(a, b string) bool { return b == "platform" }
		f.setPartition(storeUnavailable)
		Convey("a starting instance gets the bundle from a peer of its domain", func() {
			n := f.add("d1", "a2")
			waitForBundle(t, []*node{n}, 1)
			So(n.holder.Current().Customer("customer-0004"), ShouldNotBeNil)
		})
		Convey("a completely restarted domain accepts no bundle from another domain while no peer can confirm it", func() {
			a1.stop()
			n := f.prepare("d1", "a2")
			n.holder.fetchFirstFromPeers(context.Background())
			So(n.holder.Current(), ShouldBeNil)
			So(descUnconfirmed.Counter(n.metrics).Count(), ShouldEqual, 1)
			Convey("and accepts it once the peer can reach the object store", func() {
				f.setPartition(func(a, b string) bool { return a == "a2" && b == "platform" })
				n.holder.fetchFirstFromPeers(context.Background())
				So(n.holder.Number(), ShouldEqual, 1)
			})
		})
	})
}

func TestDomainRestartWithStalePeers(t *testing.T) {
	Convey("Given domain d2, which is partitioned with bundle 1, while d1 has bundle 2", t, func() {
		f := newFleet(t, clockwork.NewRealClock())
		defer f.stopAll()
		a1 := f.add("d1", "a1")
		b1 := f.add("d2", "b1")
		mustRoll(t, f.objects, testBundle(1, 2, 1))
		waitForBundle(t, f.list(), 1)
		f.setPartition(func(a, b string) bool { return a == "b1" })
		mustRoll(t, f.objects, testBundle(2, 2, 1))
		waitForBundle(t, []*node{a1}, 2)
		Convey("when all of d1 restarts and can reach only the stale peer, bundle 1 does not become active again", func() {
			a1.stop()
			f.setPartition(func(a, b string) bool { return b == "platform" })
			n := f.prepare("d1", "a2")
			n.holder.fetchFirstFromPeers(context.Background())
			So(n.holder.Current(), ShouldBeNil)
			f.setPartition(func(a, b string) bool { return false })
			n.run()
			waitForBundle(t, []*node{n, b1}, 2)
		})
	})
}

func TestPartitionBetweenDomains(t *testing.T) {
	Convey("Given three domains, d2 disconnected from the object store and d3 disconnected from all", t, func() {
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
		waitForBundle(t, f.list(), 1)
		f.setPartition(func(a, b string) bool {
			return a == "c1" && b != "c1" || b == "platform" && (a == "b1" || a == "b2")
		})
		mustRoll(t, f.objects, testBundle(2, 2, 1))
		Convey("d2 gets the next bundle from peers, and d3 keeps the old one until the partition ends", func() {
			waitForBundle(t, append(nodesOfDomain(f, "d1"), nodesOfDomain(f, "d2")...), 2)
			So(nodesOfDomain(f, "d3")[0].holder.Number(), ShouldEqual, 1)
			f.setPartition(func(a, b string) bool { return false })
			waitForBundle(t, f.list(), 2)
		})
	})
}

func TestStaleReadsDoNotRestoreOldBundle(t *testing.T) {
	Convey("Given an instance with active bundle 2", t, func() {
		f := newFleet(t, clockwork.NewRealClock())
		old := mustRoll(t, f.objects, testBundle(1, 2, 1))
		mustRoll(t, f.objects, testBundle(2, 2, 1))
		n := f.prepare("d1", "a1")
		So(n.holder.refresh(context.Background()), ShouldBeNil)
		So(n.holder.Number(), ShouldEqual, 2)
		Convey("bundle 1 is ignored and counted", func() {
			So(n.holder.apply(context.Background(), old, n.holder.storeSource(), false), ShouldBeNil)
			So(n.holder.Number(), ShouldEqual, 2)
			So(descOlder.Counter(n.metrics).Count(), ShouldEqual, 1)
		})
		Convey("a different manifest with number 2 is ignored and reported", func() {
			m, _ := Split(testBundle(2, 9, 1))
			other := Sign(m, ana.id, ana.key)
			So(n.holder.apply(context.Background(), other, n.holder.storeSource(), false), ShouldBeNil)
			number, text := n.holder.Status()
			So(number, ShouldEqual, 2)
			So(text, ShouldContainSubstring, "another bundle 2 was offered than the one in force")
		})
	})
}

func TestInvalidBundleIsRejected(t *testing.T) {
	Convey("Given active bundle 1", t, func() {
		f := newFleet(t, clockwork.NewRealClock())
		mustRoll(t, f.objects, testBundle(1, 2, 1))
		n := f.prepare("d1", "a1")
		So(n.holder.refresh(context.Background()), ShouldBeNil)
		Convey("a bundle that reduces a grant is rejected and reported with the path until a valid one follows", func() {
			invalid := testBundle(2, 2, 1)
			invalid.Customers[1].Budgets[0].Grants[0].Tokens--
			mustRoll(t, f.objects, invalid)
			So(n.holder.refresh(context.Background()), ShouldNotBeNil)
			So(n.holder.Number(), ShouldEqual, 1)
			_, text := n.holder.Status()
			So(text, ShouldContainSubstring, "customers[customer-0001].budgets[budget-0].grants[first].tokens is 999999, must be 1000000")
			mustRoll(t, f.objects, testBundle(3, 2, 1))
			So(n.holder.refresh(context.Background()), ShouldBeNil)
			So(n.holder.Number(), ShouldEqual, 3)
			_, text = n.holder.Status()
			So(text, ShouldBeEmpty)
		})
		Convey("a bundle with a field of a newer schema is rejected", func() {
			newer := testBundle(2, 2, 1)
			newer.Customers[1].Budgets[0].ProtoReflect().SetUnknown(protowire.AppendVarint(protowire.AppendTag(nil, 99, protowire.VarintType), 1))
			mustRoll(t, f.objects, newer)
			So(n.holder.refresh(context.Background()), ShouldNotBeNil)
			_, text := n.holder.Status()
			So(text, ShouldContainSubstring, "a newer version is required")
		})
		Convey("a bundle with too few valid signatures is rejected", func() {
			store := f.objects.Client("ana")
			signed, parts := signedNext(store, testBundle(2, 3, 1), ana, carla)
			So(Roll(context.Background(), store, signed, parts), ShouldBeNil)
			So(errors.Is(n.holder.refresh(context.Background()), ErrNotApproved), ShouldBeTrue)
			So(n.holder.Number(), ShouldEqual, 1)
		})
	})
}

func TestTrustAfterOperatorsChanged(t *testing.T) {
	Convey("Given an instance that was down while the operators changed twice", t, func() {
		f := newFleet(t, clockwork.NewRealClock())
		store := f.objects.Client("ana")
		roll := func(b *api.Bundle, signers ...operator) {
			signed, parts := signedNext(store, b, signers...)
			So(Roll(context.Background(), store, signed, parts), ShouldBeNil)
		}
		next := func(number uint64, operators ...operator) *api.Bundle {
			b := testBundle(number, 2, 1)
			b.Operators = publicKeys(operators...)
			return b
		}
		roll(next(1, ana, badr), ana, badr)
		restarted := f.prepare("d1", "a1")
		So(restarted.holder.refresh(context.Background()), ShouldBeNil)
		roll(next(2, ana, badr), ana, badr)
		roll(next(3, badr, carla), ana, badr)
		roll(next(4, badr, carla), badr, carla)
		roll(next(5, carla, ana), badr, carla)
		roll(next(6, carla, ana), carla, ana)
		Convey("the instance follows the chain to the newest bundle, and so does a new one", func() {
			So(restarted.holder.refresh(context.Background()), ShouldBeNil)
			So(restarted.holder.Number(), ShouldEqual, 6)
			newNode := f.prepare("d1", "a2")
			So(newNode.holder.refresh(context.Background()), ShouldBeNil)
			So(newNode.holder.Number(), ShouldEqual, 6)
			So(len(newNode.holder.active.Load().chain), ShouldEqual, 3)
			Convey("and it serves the chain to a peer that cannot reach the object store", func() {
				f.setPartition(func(a, b string) bool { return b == "platform" })
				other := f.prepare("d1", "a3")
				other.holder.fetchFirstFromPeers(context.Background())
				So(other.holder.Number(), ShouldEqual, 6)
			})
		})
		Convey("removed operators cannot approve a bundle, not even by the chain that named them", func() {
			So(restarted.holder.refresh(context.Background()), ShouldBeNil)
			p, err := ReadPointer(context.Background(), store)
			So(err, ShouldBeNil)
			m, _ := Split(next(7, ana, badr))
			SetPrevious(m, p, nil)
			m.ApproversHash = restarted.holder.active.Load().chain[0].Manifest[:0]
			forged := Sign(m, badr.id, badr.key)
			AddSignature(forged, ana.id, ana.key)
			err = restarted.holder.apply(context.Background(), forged, restarted.holder.storeSource(), false)
			So(errors.Is(err, ErrNotApproved), ShouldBeTrue)
			So(restarted.holder.Number(), ShouldEqual, 6)
		})
	})
}

// waitForIdleStore waits until the calls to the object store made at the start are complete and returns their counts. By
// then the watcher's first watch has returned the first bundle and its second one waits, and the instances that got the
// bundle from a peer have ended their own first reads.
func waitForIdleStore(f *testFleet) standin.Calls {
	const samples, pause = 50, 2 * time.Millisecond
	calls := f.objects.Calls()
	for unchanged := 0; unchanged < samples || calls.Watches < 2; unchanged++ {
		time.Sleep(pause)
		if latest := f.objects.Calls(); latest != calls {
			calls, unchanged = latest, 0
		}
	}
	return calls
}

func TestInstancesAnnounceBundles(t *testing.T) {
	Convey("Given a domain of 30 instances with stopped clocks, so that none polls or compares", t, func() {
		f := newFleet(t, clockwork.NewFakeClock())
		defer f.stopAll()
		mustRoll(t, f.objects, testBundle(1, 100, 2))
		for i := range 30 {
			f.prepare("d1", fmt.Sprintf("a%d", i))
		}
		for _, n := range f.list() {
			n.holder.watchTimeout = time.Hour
			n.run()
		}
		waitForBundle(t, f.list(), 1)
		before := waitForIdleStore(f)
		b := testBundle(2, 100, 2)
		b.Customers[5].Weight = 7
		mustRoll(t, f.objects, b)
		Convey("one instance reads the object store and the others get the bundle from peers", func() {
			waitForBundle(t, f.list(), 2)
			// The operator reads the pointer twice, to sign and to roll. The third read is the changed pack.
			So(f.objects.Calls().Reads-before.Reads, ShouldEqual, 3)
			So(f.objects.Calls().Watches-before.Watches, ShouldBeLessThanOrEqualTo, 1)
		})
		Convey("all reachable instances get the bundle even if some peers are unresponsive", func() {
			waitForBundle(t, f.list(), 2)
			ranked := f.list()[0].Ranked(rankTopic)
			unreachable := map[string]bool{ranked[1].Name: true, ranked[7].Name: true}
			f.setPartition(func(a, b string) bool { return unreachable[a] && !unreachable[b] })
			b.Number, b.Customers[5].Weight = 3, 8
			mustRoll(t, f.objects, b)
			for _, n := range f.list() {
				if !unreachable[n.self.Name] {
					waitForBundle(t, []*node{n}, 3)
				}
			}
		})
	})
}

func TestForgedNumberDoesNotBlockUpdates(t *testing.T) {
	Convey("Given an instance that rejected an unapproved bundle with a huge number", t, func() {
		f := newFleet(t, clockwork.NewRealClock())
		defer f.stopAll()
		a, b := f.add("d1", "a1"), f.add("d2", "b1")
		mustRoll(t, f.objects, testBundle(1, 2, 1))
		waitForBundle(t, f.list(), 1)
		f.setPartition(func(x, y string) bool { return x == "a1" && y == "platform" })
		forged, _ := Split(testBundle(1<<60, 2, 1))
		active := a.holder.active.Load()
		forged.ApproversHash = active.trust.hash[:]
		So(errors.Is(a.holder.apply(context.Background(), Sign(forged, carla.id, carla.key), a.holder.storeSource(), true), ErrNotApproved), ShouldBeTrue)
		Convey("it still gets the next bundle from a peer", func() {
			mustRoll(t, f.objects, testBundle(2, 2, 1))
			waitForBundle(t, []*node{a, b}, 2)
		})
	})
}
