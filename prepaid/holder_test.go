package prepaid

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/smartystreets/goconvey/convey"

	"pumiceshelf/objectstore"
)

// countingStore counts the calls of one instance, and refuses them while it is cut off.
type countingStore struct {
	*ledgerStore
	calls int
	cut   bool
}

func (s *countingStore) Get(ctx context.Context, key string) (objectstore.Object, error) {
	s.calls++
	if s.cut {
		return objectstore.Object{}, objectstore.ErrUnavailable
	}
	return s.ledgerStore.Get(ctx, key)
}

func (s *countingStore) Put(ctx context.Context, key string, value []byte, expected objectstore.Version) (objectstore.Version, error) {
	s.calls++
	if s.cut {
		return 0, objectstore.ErrUnavailable
	}
	return s.ledgerStore.Put(ctx, key, value, expected)
}

func TestHolderOfADomain(t *testing.T) {
	Convey("Given three instances of a failure domain, one of which holds its tokens", t, func() {
		clock := clockwork.NewFakeClock()
		ledger := &ledgerStore{}
		prepaid := int64(1_000_000)
		holder := testKeeper(ledger, "muscat-1", clock, &prepaid, 1)
		stores := []*countingStore{{ledgerStore: ledger}, {ledgerStore: ledger}}
		var others []*Keeper
		for i, name := range []string{"muscat-2", "muscat-3"} {
			k := testKeeper(stores[i], name, clock, &prepaid, 1)
			k.config.Holds = func() bool { return false }
			k.config.Draw = holder.Provide
			others = append(others, k)
		}
		ctx := context.Background()
		holder.round(ctx)
		for _, k := range others {
			k.round(ctx)
		}
		before := stores[0].calls

		Convey("the others draw from it and leave the store alone", func() {
			for range 20 {
				r, outcome := others[0].Reserve(ctx, "alwusta", 300)
				So(outcome, ShouldEqual, Granted)
				r.Settle(300)
				clock.Advance(tickInterval)
				others[0].observe()
				others[0].round(ctx)
				holder.observe()
				holder.round(ctx)
			}
			So(stores[0].calls, ShouldEqual, before)
			So(holder.account("alwusta").demand().ratePerSecond, ShouldBeGreaterThan, 300)

			Convey("and what they drew and did not spend is given back when they stop", func() {
				others[1].account("alwusta").borrow(holder.account("alwusta").lend(1_000))
				for _, k := range append(others, holder) {
					So(k.Close(ctx), ShouldBeNil)
				}
				l, err := decodeLedger(ledger.value)
				So(err, ShouldBeNil)
				So(l.handedOut("alwusta"), ShouldEqual, 20*300)
			})
		})

		Convey("a request that the budget does not cover is refused as exhausted without a call of their own", func() {
			others[0].config.Draw = func(context.Context, string, int64, int64) Provision { return Provision{Exhausted: true} }
			_, outcome := others[0].Reserve(ctx, "alwusta", 2_000_000)
			So(outcome, ShouldEqual, Exhausted)
			So(stores[0].calls, ShouldEqual, before)
		})

		Convey("while the holder is only slow, the others do not add to the writers of the ledger", func() {
			others[0].config.Draw = func(context.Context, string, int64, int64) Provision { return Provision{} }
			_, outcome := others[0].Reserve(ctx, "alwusta", 700)
			So(outcome, ShouldEqual, Unavailable)
			So(stores[0].calls, ShouldEqual, before)
		})

		Convey("a holder that does not reach the ledger says so at once, once its lease is used up", func() {
			holder.failing.Store(clock.Now().UnixNano())
			free := holder.account("alwusta").demand().limit
			So(holder.Provide(ctx, "alwusta", free, free+1), ShouldResemble, Provision{Tokens: free})
			So(holder.Provide(ctx, "alwusta", 10, 10), ShouldResemble, Provision{Away: true})
		})

		Convey("when the holder does not answer, an instance takes what its requests wait for, and no more", func() {
			others[0].config.Draw = func(context.Context, string, int64, int64) Provision { return Provision{Away: true} }
			w, _ := others[0].account("alwusta").wait(700)
			others[0].round(ctx)
			So(<-w.done, ShouldEqual, Granted)
			So(others[0].account("alwusta").demand().limit, ShouldEqual, 700)
		})

		Convey("one that others draw from keeps a lease ahead for them until they have stopped", func() {
			So(others[0].Provide(canceled(), "alwusta", 700, 900).Exhausted, ShouldBeFalse)
			clock.Advance(updateInterval)
			others[0].round(ctx)
			So(others[0].account("alwusta").demand().limit, ShouldBeGreaterThan, 2_000)
			clock.Advance(provideMemory + time.Second)
			others[0].round(ctx)
			others[0].round(ctx)
			d := others[0].account("alwusta").demand()
			So(d.limit-d.used, ShouldBeLessThan, smallestLease)
		})
	})
}

// contendedStore lets other instances win every race for the ledger.
type contendedStore struct{ *ledgerStore }

func (s contendedStore) Put(context.Context, string, []byte, objectstore.Version) (objectstore.Version, error) {
	s.version++
	return 0, &objectstore.ConflictError{Current: objectstore.Object{Key: LedgerKey, Version: s.version, Value: s.value}}
}

func TestContention(t *testing.T) {
	Convey("an instance that loses all races for the ledger does not take the store for away, nor its waiters for refused", t, func() {
		prepaid := int64(1_000_000)
		k := testKeeper(contendedStore{&ledgerStore{version: 1, value: []byte("{}")}}, "muscat-1", clockwork.NewFakeClock(), &prepaid, 1)
		w, e := k.account("alwusta").wait(700)
		k.round(context.Background())
		So(len(w.done), ShouldEqual, 0)
		So(k.storeAway(k.config.Clock.Now()), ShouldBeFalse)
		So(k.account("alwusta").leave(e), ShouldBeTrue)
		So(k.Provide(canceled(), "alwusta", 700, 700), ShouldResemble, Provision{})
	})
}

// canceled is a context that waits for nothing.
func canceled() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}
