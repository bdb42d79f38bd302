package prepaid

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/smartystreets/goconvey/convey"
)

// Guards against refusals in an outage of the store although other instances have enough tokens, and against urgent requests that are
// refused because their tokens were lent.
func TestRationedRequestsBorrow(t *testing.T) {
	Convey("Given an instance with short urgent requests, whose tokens do not cover a long one as well", t, func() {
		clock, store, prepaid, ctx := clockwork.NewFakeClock(), &ledgerStore{}, int64(1_000_000), context.Background()
		start := func(name string) *Manager {
			m := newTestManager(store, name, clock, &prepaid, 2)
			m.config.Rations = func() bool { return true }
			m.account("alwusta")
			m.resizeLeases(ctx)
			for range 20 {
				So(m.mayTake("alwusta", m.account("alwusta"), 0, 40), ShouldBeTrue)
				So(m.mayTake("alwusta", m.account("alwusta"), 5, 10), ShouldBeTrue)
				clock.Advance(100 * time.Millisecond)
			}
			return m
		}
		borrower, lender := start("muscat-1"), start("muscat-2")
		for _, m := range []*Manager{borrower, lender} {
			m.recordStoreFailed(clock.Now())
		}
		available := func(m *Manager) int64 { return m.View("alwusta").Available }
		long := available(borrower) - 1000
		asked := int64(0)
		borrower.config.Borrow = func(_ context.Context, customer string, tokens int64) int64 {
			asked = tokens
			return lender.Lend(ctx, TransferID{}, customer, tokens)
		}

		Convey("the long request borrows what is missing, and the rest covers urgent ones", func() {
			before := available(lender)
			_, outcome := borrower.Reserve(ctx, "alwusta", 5, long)
			So(outcome, ShouldEqual, Granted)
			So(asked, ShouldBeBetween, 0, long)
			So(available(lender), ShouldEqual, before-asked)
			kept := borrower.keptForUrgent(borrower.account("alwusta"))
			So(kept, ShouldBeGreaterThan, 1000)
			So(available(borrower), ShouldBeGreaterThanOrEqualTo, kept)
		})
		Convey("it is refused if others keep their tokens for urgent ones, and these are not asked again at once", func() {
			lender.account("alwusta").reserve(available(lender) - lender.keptForUrgent(lender.account("alwusta")))
			_, outcome := borrower.Reserve(ctx, "alwusta", 5, long)
			So([]any{outcome, asked > 0}, ShouldResemble, []any{Rationed, true})
			asked = 0
			_, outcome = borrower.Reserve(ctx, "alwusta", 5, long)
			So([]any{outcome, asked}, ShouldResemble, []any{Rationed, int64(0)})
		})
		Convey("a lender gives up to half of what it does not keep, also what its less urgent requests would use", func() {
			lender.account("alwusta").ratePerSecond = float64(available(lender))
			most := (available(lender) - lender.keptForUrgent(lender.account("alwusta"))) / 2
			So(lender.Lend(ctx, TransferID{}, "alwusta", 1<<40), ShouldEqual, most)
		})
	})
	Convey("an instance with a token holder borrows for requests that wait, and ahead only where tokens are not rationed", t, func() {
		prepaid := int64(1_000_000)
		m := newTestManager(&ledgerStore{}, "muscat-1", clockwork.NewFakeClock(), &prepaid, 1)
		m.config.IsTokenHolder = func() bool { return false }
		for _, rations := range []bool{true, false} {
			m.config.Rations = func() bool { return rations }
			So(m.wantedLoan(demand{limit: 100, waiting: 300}), ShouldEqual, 200)
			So(m.wantedLoan(demand{limit: 100, ratePerSecond: 500}) > 0, ShouldEqual, !rations)
		}
	})
}
