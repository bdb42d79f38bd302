package prepaid

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/smartystreets/goconvey/convey"
)

func TestReturnedTokensStayReturnedAfterReplacement(t *testing.T) {
	Convey("Given a paused instance that has returned tokens which it had borrowed", t, func() {
		clock, store, prepaid := clockwork.NewFakeClock(), &ledgerStore{}, int64(1_000_000)
		lender, paused := newTestManager(store, "muscat-1", clock, &prepaid, 2), newTestManager(store, "muscat-2", clock, &prepaid, 2)
		resize := func(managers ...*Manager) {
			clock.Advance(maxLedgerAge + time.Millisecond)
			for _, m := range managers {
				m.resizeLeases(t.Context())
			}
		}
		acquire := func(m *Manager, tokens int64) {
			w, _ := m.account("alwusta").addWaiter(tokens)
			resize(m)
			So(<-w.done, ShouldEqual, Granted)
		}
		resize(lender, paused)
		acquire(lender, 400_000)
		lender.account("alwusta").excludeFromRates(400_000)
		paused.account("alwusta").addBorrowed(400_000)
		resize(paused)
		So(paused.ledger.lease("alwusta", paused.config.Incarnation), ShouldBeLessThan, 0)

		Convey("it does not spend them after its successor has closed its lease and used them", func() {
			successor := newTestManager(store, "muscat-2", clock, &prepaid, 2)
			acquire(successor, 900_000)
			resize(paused)
			spendable := int64(0)
			for _, m := range []*Manager{lender, paused} {
				d := m.account("alwusta").demand()
				spendable += d.limit - d.used
			}
			So(900_000+spendable, ShouldBeLessThanOrEqualTo, prepaid)
		})
	})
	Convey("an instance whose first return of borrowed tokens fails keeps them", t, func() {
		clock, store, prepaid := clockwork.NewFakeClock(), &ledgerStore{}, int64(1_000_000)
		m := newTestManager(store, "muscat-1", clock, &prepaid, 1)
		m.account("alwusta").addBorrowed(400_000)
		m.config.IsTokenHolder = func() bool { return true }
		store.failureMode = "late"
		m.resizeLeases(t.Context())
		store.failureMode = ""
		clock.Advance(maxLedgerAge)
		m.resizeLeases(t.Context())
		l, err := decodeLedger(store.value)
		So(err, ShouldBeNil)
		So(m.account("alwusta").demand().limit, ShouldEqual, 400_000+l.lease("alwusta", m.config.Incarnation))
	})
}
