package prepaid

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/smartystreets/goconvey/convey"

	"pumiceshelf/objectstore"
)

// countingStore counts the calls of one instance, and fails them while the instance is disconnected.
type countingStore struct {
	*ledgerStore
	calls        int
	disconnected bool
}

func (s *countingStore) Get(ctx context.Context, key string) (objectstore.Object, error) {
	s.calls++
	if s.disconnected {
		return objectstore.Object{}, objectstore.ErrUnavailable
	}
	return s.ledgerStore.Get(ctx, key)
}

func (s *countingStore) Put(ctx context.Context, key string, value []byte, expected objectstore.Version) (objectstore.Version, error) {
	s.calls++
	if s.disconnected {
		return 0, objectstore.ErrUnavailable
	}
	return s.ledgerStore.Put(ctx, key, value, expected)
}

func TestTokenHolder(t *testing.T) {
	Convey("Given three instances of a failure domain, one of which is the token holder", t, func() {
		clock := clockwork.NewFakeClock()
		ledger := &ledgerStore{}
		prepaid := int64(1_000_000)
		holder := newTestManager(ledger, "muscat-1", clock, &prepaid, 1)
		stores := []*countingStore{{ledgerStore: ledger}, {ledgerStore: ledger}}
		var others []*Manager
		for i, name := range []string{"muscat-2", "muscat-3"} {
			m := newTestManager(stores[i], name, clock, &prepaid, 1)
			m.config.IsTokenHolder = func() bool { return false }
			m.config.RequestAllocation = func(ctx context.Context, customer string, rank int, needed, wanted int64) Allocation {
				return holder.Allocate(ctx, TransferID{}, customer, rank, needed, wanted)
			}
			others = append(others, m)
		}
		ctx := context.Background()
		holder.resizeLeases(ctx)
		for _, m := range others {
			m.resizeLeases(ctx)
		}
		callsBefore := stores[0].calls

		Convey("the others get allocations from it and make no store calls", func() {
			for range 20 {
				r, outcome := others[0].Reserve(ctx, "alwusta", 0, 300)
				So(outcome, ShouldEqual, Granted)
				r.Settle(300)
				clock.Advance(tickInterval)
				others[0].updateRates()
				others[0].resizeLeases(ctx)
				holder.updateRates()
				holder.resizeLeases(ctx)
			}
			So(stores[0].calls, ShouldEqual, callsBefore)
			So(holder.account("alwusta").demand().ratePerSecond, ShouldBeGreaterThan, 300)

			Convey("and allocated tokens that they did not spend return to the ledger when they stop", func() {
				others[1].account("alwusta").addBorrowed(holder.account("alwusta").lend(1_000, 0))
				for _, m := range append(others, holder) {
					So(m.Close(ctx), ShouldBeNil)
				}
				l, err := decodeLedger(ledger.value)
				So(err, ShouldBeNil)
				So(l.committed("alwusta"), ShouldEqual, 20*300)
			})
		})

		Convey("after a restart they leave the lease of their earlier incarnation to their next update of the ledger", func() {
			w, _ := others[0].account("alwusta").addWaiter(700)
			others[0].resizeLeases(ctx)
			So(<-w.done, ShouldEqual, Granted)
			updatesBefore := ledger.version
			restarted := newTestManager(ledger, "muscat-2", clock, &prepaid, 1)
			restarted.config.IsTokenHolder = func() bool { return false }
			restarted.resizeLeases(ctx)
			So(ledger.version, ShouldEqual, updatesBefore)

			w, _ = restarted.account("alwusta").addWaiter(500)
			restarted.resizeLeases(ctx)
			So(<-w.done, ShouldEqual, Granted)
			l, err := decodeLedger(ledger.value)
			So(err, ShouldBeNil)
			So(l.message.Accounts["alwusta"].Closed, ShouldEqual, 700)
		})
		Convey("a request that the budget does not cover is refused as exhausted without a store call", func() {
			others[0].config.RequestAllocation = func(context.Context, string, int, int64, int64) Allocation { return Allocation{Exhausted: true} }
			_, outcome := others[0].Reserve(ctx, "alwusta", 0, 2_000_000)
			So(outcome, ShouldEqual, Exhausted)
			So(stores[0].calls, ShouldEqual, callsBefore)
		})

		Convey("while the token holder is slow but available, the others do not write to the ledger", func() {
			others[0].config.RequestAllocation = func(context.Context, string, int, int64, int64) Allocation { return Allocation{} }
			_, outcome := others[0].Reserve(ctx, "alwusta", 0, 700)
			So(outcome, ShouldEqual, Contended)
			So(stores[0].calls, ShouldEqual, callsBefore)
		})

		Convey("a token holder that is disconnected from the store allocates its lease, and then reports the store unavailable at once", func() {
			holder.storeFailedAt.Store(clock.Now().UnixNano())
			available := holder.account("alwusta").demand().limit
			So(holder.Allocate(ctx, TransferID{}, "alwusta", 0, available, available+1), ShouldResemble, Allocation{Tokens: available})
			So(holder.Allocate(ctx, TransferID{}, "alwusta", 0, 10, 10), ShouldResemble, Allocation{StoreUnavailable: true})
		})

		Convey("when the token holder is unresponsive, an instance leases only the tokens that its requests wait for", func() {
			others[0].config.RequestAllocation = func(context.Context, string, int, int64, int64) Allocation { return Allocation{StoreUnavailable: true} }
			w, _ := others[0].account("alwusta").addWaiter(700)
			others[0].resizeLeases(ctx)
			So(<-w.done, ShouldEqual, Granted)
			So(others[0].account("alwusta").demand().limit, ShouldEqual, 700)
		})

		Convey("tokens that an instance passes on do not count as its own use when it requests an allocation", func() {
			others[1].config.IsTokenHolder = func() bool { return true }
			others[1].resizeLeases(ctx)
			others[1].updateRates()
			So(others[1].Allocate(ctx, TransferID{}, "alwusta", 0, 10_000, 10_000).Tokens, ShouldEqual, 10_000)
			clock.Advance(tickInterval)
			others[1].updateRates()
			others[1].config.IsTokenHolder = func() bool { return false }
			clock.Advance(allocationWindow + time.Second)
			requested := int64(0)
			others[1].config.RequestAllocation = func(_ context.Context, _ string, _ int, _, wanted int64) Allocation {
				requested = wanted
				return Allocation{Exhausted: true}
			}
			_, outcome := others[1].Reserve(ctx, "alwusta", 0, 100_000)
			So(outcome, ShouldEqual, Exhausted)
			So(requested, ShouldEqual, 100_000)
		})
		Convey("an instance that allocates to others leases tokens in advance until allocationWindow after their last request", func() {
			So(others[0].Allocate(canceledContext(), TransferID{}, "alwusta", 0, 700, 900).Exhausted, ShouldBeFalse)
			clock.Advance(minUpdateInterval)
			others[0].resizeLeases(ctx)
			So(others[0].account("alwusta").demand().limit, ShouldBeGreaterThan, 2_000)
			clock.Advance(allocationWindow + time.Second)
			others[0].resizeLeases(ctx)
			others[0].resizeLeases(ctx)
			d := others[0].account("alwusta").demand()
			So(d.limit-d.used, ShouldBeLessThan, minLease)
		})
	})
}

// contendedStore fails every update of the ledger with a conflict.
type contendedStore struct{ *ledgerStore }

func (s contendedStore) Put(context.Context, string, []byte, objectstore.Version) (objectstore.Version, error) {
	s.version++
	return 0, &objectstore.ConflictError{Current: objectstore.Object{Key: LedgerKey, Version: s.version, Value: s.value}}
}

func TestContention(t *testing.T) {
	Convey("an instance whose updates of the ledger all conflict neither records an outage nor refuses its waiters", t, func() {
		prepaid := int64(1_000_000)
		m := newTestManager(contendedStore{&ledgerStore{version: 1, value: []byte("{}")}}, "muscat-1", clockwork.NewFakeClock(), &prepaid, 1)
		w, e := m.account("alwusta").addWaiter(700)
		m.resizeLeases(context.Background())
		So(len(w.done), ShouldEqual, 0)
		So(m.storeUnavailable(m.config.Clock.Now()), ShouldBeFalse)
		So(m.account("alwusta").removeWaiter(e), ShouldBeTrue)
		So(m.Allocate(canceledContext(), TransferID{}, "alwusta", 0, 700, 700), ShouldResemble, Allocation{})
	})
}

// canceledContext returns a context that is already canceled.
func canceledContext() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}

// slowStore blocks each call until the test allows it to continue.
type slowStore struct {
	*ledgerStore
	calls, proceed chan struct{}
}

func (s slowStore) Put(ctx context.Context, key string, value []byte, expected objectstore.Version) (objectstore.Version, error) {
	s.calls <- struct{}{}
	<-s.proceed
	return s.ledgerStore.Put(ctx, key, value, expected)
}

func TestConflictsAreNoOutage(t *testing.T) {
	Convey("Given a token holder with a request that waits for an update of the ledger", t, func() {
		clock := clockwork.NewFakeClock()
		store := slowStore{ledgerStore: &ledgerStore{value: []byte("{}"), version: 1}, calls: make(chan struct{}), proceed: make(chan struct{})}
		prepaid := int64(1_000_000)
		m := newTestManager(store, "muscat-1", clock, &prepaid, 1)
		m.config.Borrow = func(context.Context, string, int64) int64 { return 0 }
		reserved := make(chan Outcome, 1)
		updated := make(chan struct{})
		wait := func() {
			go func() {
				_, outcome := m.Reserve(t.Context(), "alwusta", 0, 700_000)
				reserved <- outcome
			}()
			So(clock.BlockUntilContext(t.Context(), 2), ShouldBeNil)
			go func() {
				m.resizeLeases(t.Context())
				close(updated)
			}()
			<-store.calls
		}

		Convey("the store stays available while updates conflict and are repeated", func() {
			wait()
			for range 3 {
				store.version++
				clock.Advance(slowStoreDelay / 2)
				store.proceed <- struct{}{}
				<-store.calls
			}
			So(m.storeUnavailable(clock.Now()), ShouldBeFalse)
			store.proceed <- struct{}{}
			So(<-reserved, ShouldEqual, Granted)
			<-updated
		})
		Convey("the store counts as unavailable while one call gets no response", func() {
			wait()
			clock.Advance(slowStoreDelay)
			So(<-m.borrowSignal, ShouldResemble, struct{}{})
			So(m.storeUnavailable(clock.Now()), ShouldBeTrue)
			store.proceed <- struct{}{}
			So(<-reserved, ShouldEqual, Granted)
			<-updated
		})
	})
}

func TestUnusedAllocationsReturn(t *testing.T) {
	Convey("tokens that an instance got ahead of its requests and does not use are available to others again", t, func() {
		clock := clockwork.NewFakeClock()
		ledger := &ledgerStore{}
		prepaid := int64(1_000_000)
		holder, other := newTestManager(ledger, "muscat-1", clock, &prepaid, 1), newTestManager(ledger, "muscat-2", clock, &prepaid, 1)
		other.config.IsTokenHolder = func() bool { return false }
		other.config.Return = func(tokens map[string]int64) bool {
			return holder.AcceptReturn(Return{Returner: other.config.Incarnation, Receiver: holder.config.Incarnation, Sequence: 1, Tokens: tokens})
		}
		holder.resizeLeases(t.Context())
		other.resizeLeases(t.Context())
		other.account("alwusta").addBorrowed(holder.Allocate(t.Context(), TransferID{}, "alwusta", 0, 5_000, 5_000).Tokens)
		for range 60 {
			clock.Advance(tickInterval)
			for _, m := range []*Manager{holder, other} {
				m.updateRates()
				m.resizeLeases(t.Context())
			}
		}
		d := other.account("alwusta").demand()
		So(d.limit-d.used, ShouldEqual, 0)
		d = holder.account("alwusta").demand()
		So(d.limit-d.used+prepaid-holder.ledger.committed("alwusta"), ShouldEqual, prepaid)
	})
}
