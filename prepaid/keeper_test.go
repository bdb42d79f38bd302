package prepaid

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/smartystreets/goconvey/convey"

	"pumiceshelf/objectstore"
)

// serveAll sends requests of one size to the keepers in turn, as a caller does that may wait for the ledger, until each of
// them refuses. It returns the tokens granted.
func serveAll(clock *clockwork.FakeClock, keepers []*Keeper, size int64) int64 {
	granted, refused := int64(0), 0
	for i := 0; refused < len(keepers)*3; i++ {
		k := keepers[i%len(keepers)]
		a := k.account("alwusta")
		if !a.reserve(size) {
			w, e := a.wait(size)
			k.round(context.Background())
			if a.leave(e) || <-w.done != Granted {
				refused++
				clock.Advance(updateInterval)
				k.observe()
				k.round(context.Background())
				continue
			}
		}
		refused = 0
		a.settle(size, size)
		granted += size
	}
	return granted
}

func TestKeeper(t *testing.T) {
	Convey("Given instances that share a budget of 1,000,000 tokens", t, func() {
		clock := clockwork.NewFakeClock()
		store := &ledgerStore{}
		prepaid := int64(1_000_000)
		var keepers []*Keeper
		for _, name := range []string{"muscat-1", "muscat-2", "muscat-3"} {
			k := testKeeper(store, name, clock, &prepaid, 3)
			keepers = append(keepers, k)
			k.round(context.Background())
		}

		Convey("with all links healthy they grant what one counter would, but for 3 in 100", func() {
			granted := serveAll(clock, keepers, 700)
			So(granted, ShouldBeLessThanOrEqualTo, prepaid)
			So(granted, ShouldBeGreaterThan, prepaid*97/100)
		})

		Convey("a request larger than every lease is granted from what is left", func() {
			a := keepers[0].account("alwusta")
			w, _ := a.wait(800_000)
			keepers[0].round(context.Background())
			So(<-w.done, ShouldEqual, Granted)
		})

		Convey("an update whose answer is lost does not raise the lease by being read while it may still be undone", func() {
			k := keepers[0]
			a := k.account("alwusta")
			before := a.demand().limit
			store.next = "late"
			clock.Advance(updateInterval)
			w, _ := a.wait(100_000)
			k.round(context.Background())
			store.next = ""
			So(<-w.done, ShouldEqual, Unavailable)
			So(a.demand().limit, ShouldEqual, before)
			So(k.fenced, ShouldBeTrue)
			w, _ = a.wait(100_000)
			k.round(context.Background())
			So(<-w.done, ShouldEqual, Granted)
			So(k.fenced, ShouldBeFalse)
			after := store.version
			store.late[0]()
			So(store.version, ShouldEqual, after)
		})

		Convey("while the store is away, an instance borrows what another one can spare, and the sum stays", func() {
			lender, borrower := keepers[0], keepers[1]
			clock.Advance(updateInterval)
			w, _ := lender.account("alwusta").wait(50_000)
			lender.round(context.Background())
			So(<-w.done, ShouldEqual, Granted)
			lender.account("alwusta").settle(50_000, 0)
			borrower.config.Borrow = func(_ context.Context, customer string, tokens int64) int64 {
				return lender.account(customer).lend(tokens)
			}
			store.next = "down"
			clock.Advance(rereadAfter + time.Second)
			need := borrower.account("alwusta").demand().limit + 5_000
			waiter, _ := borrower.account("alwusta").wait(need)
			borrower.round(context.Background())
			borrower.borrowAll(context.Background())
			So(<-waiter.done, ShouldEqual, Granted)
			So(lender.account("alwusta").demand().used, ShouldBeGreaterThanOrEqualTo, int64(5_000))
		})

		Convey("an instance that reaches the store takes tokens from the ledger for one that is cut off", func() {
			lender, borrower := keepers[0], keepers[1]
			ctx, stop := context.WithCancel(context.Background())
			ran := make(chan error, 1)
			go func() { ran <- lender.Run(ctx) }()
			spare := lender.account("alwusta").demand().limit
			got := lender.Lend(ctx, "alwusta", 200_000)
			stop()
			So(<-ran, ShouldBeNil)
			So(got, ShouldEqual, 200_000)
			So(spare, ShouldBeLessThan, 200_000)
			borrower.account("alwusta").borrow(got)
			So(borrower.account("alwusta").reserve(200_000), ShouldBeTrue)

			Convey("and what is left counts them once", func() {
				clock.Advance(rereadAfter + time.Second)
				keepers[2].round(context.Background())
				left, _ := keepers[2].account("alwusta").known(time.Time{})
				So(left, ShouldBeLessThanOrEqualTo, prepaid-200_000)
			})
			Convey("but no more than a part of what is left, and nothing once the store is away", func() {
				lender.failing.Store(clock.Now().UnixNano())
				So(lender.Lend(context.Background(), "alwusta", 1<<40), ShouldBeLessThan, prepaid/lendPart)
			})
		})

		Convey("a stopped instance gives back what it and its lenders did not spend", func() {
			given := keepers[0].account("alwusta").lend(3_000)
			So(given, ShouldBeGreaterThan, int64(0))
			keepers[1].account("alwusta").borrow(given)
			for _, k := range keepers {
				So(k.Close(context.Background()), ShouldBeNil)
			}
			l, err := decodeLedger(store.value)
			So(err, ShouldBeNil)
			So(l.handedOut("alwusta"), ShouldEqual, 0)
		})

		Convey("a killed instance's next start closes the lease at all that it may have spent", func() {
			So(keepers[0].account("alwusta").reserve(1_000), ShouldBeTrue)
			limit := keepers[0].account("alwusta").demand().limit
			again := testKeeper(store, "muscat-1", clock, &prepaid, 3)
			again.round(context.Background())
			l, err := decodeLedger(store.value)
			So(err, ShouldBeNil)
			So(l.message.Accounts["alwusta"].Closed, ShouldEqual, limit)

			Convey("and the killed one, should it still run, spends nothing more", func() {
				keepers[0].known = false
				keepers[0].round(context.Background())
				So(keepers[0].account("alwusta").reserve(1), ShouldBeFalse)
			})
		})

		Convey("a customer whose budget is used up is told so without another call to the store", func() {
			serveAll(clock, keepers, 700)
			k := keepers[0]
			k.known = false
			k.round(context.Background())
			store.next = "down"
			_, outcome := k.Reserve(context.Background(), "alwusta", 40_000)
			So(outcome, ShouldEqual, Exhausted)
		})
	})
}

func TestNextLimit(t *testing.T) {
	Convey("leases are sized by traffic, what is left and who waits", t, func() {
		for _, c := range []struct {
			name      string
			d         demand
			remaining int64
			share     float64
			want      int64
		}{
			{"idle instances hold little", demand{}, 1_000_000, 0.5, 20_000},
			{"a busy one lasts out an outage", demand{ratePerSecond: 1_000}, 1_000_000, 0.5, 14_000 + 6_000},
			{"near the end all get a part", demand{ratePerSecond: 10_000}, 10_000, 0.5, 1_750},
			{"smaller ones are not kept ahead", demand{ratePerSecond: 10_000}, 2_000, 0.5, 0},
			{"a waiter gets what it needs", demand{waiting: 1_900}, 2_000, 0.5, 1_900},
			{"no one gets more than is left", demand{waiting: 5_000}, 2_000, 0.5, 2_000},
			{"a well sized lease stays", demand{limit: 20_000, used: 1_000}, 1_000_000, 0.5, 20_000},
			{"surplus goes back", demand{limit: 100_000, used: 1_000}, 1_000_000, 0.5, 21_000},
		} {
			SoMsg(c.name, nextLimit(c.d, c.remaining, c.share, refillAt, true), ShouldEqual, c.want)
		}
		So(nextLimit(demand{ratePerSecond: 1_000}, 1_000_000, 0.5, refillAt, false), ShouldEqual, 0)
		So(nextLimit(demand{ratePerSecond: 1_000, waiting: 700}, 1_000_000, 0.5, refillAt, false), ShouldEqual, 700)
	})
}

func TestLedgerOfAnotherWriter(t *testing.T) {
	Convey("a ledger that cannot be read refuses requests and is not overwritten", t, func() {
		store := &ledgerStore{value: []byte(`"spoilt"`), version: 7}
		prepaid := int64(1_000)
		k := testKeeper(store, "muscat-1", clockwork.NewFakeClock(), &prepaid, 1)
		k.round(context.Background())
		_, outcome := k.Reserve(context.Background(), "alwusta", 10)
		So(outcome, ShouldEqual, Unavailable)
		So(store.version, ShouldEqual, objectstore.Version(7))
	})
}
