package prepaid

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/smartystreets/goconvey/convey"

	"pumiceshelf/objectstore"
)

func TestBudgetHoldsWhenStoreIsRestoredFromCopy(t *testing.T) {
	Convey("Given instances whose leases grow after a copy of the store was made", t, func() {
		clock, store, prepaid := clockwork.NewFakeClock(), &ledgerStore{}, int64(1_000_000)
		var managers []*Manager
		for _, name := range []string{"muscat-1", "muscat-2", "muscat-3"} {
			m := newTestManager(store, name, clock, &prepaid, 3)
			managers = append(managers, m)
			m.resizeLeases(canceledContext())
		}
		spent := int64(0)
		// spend lets an instance use up to a number of tokens in requests of 1,000.
		spend := func(m *Manager, tokens int64) {
			a := m.account("alwusta")
			for range tokens / 1_000 {
				if !a.reserve(1_000) {
					w, e := a.addWaiter(1_000)
					m.resizeLeases(canceledContext())
					if a.removeWaiter(e) || <-w.done != Granted {
						continue
					}
				}
				a.settle(1_000, 1_000)
				spent += 1_000
			}
		}
		value, version := store.value, store.version
		spend(managers[0], 500_000)
		spend(managers[1], 300_000)
		So(spent, ShouldEqual, 800_000)
		restore := func(value []byte, version objectstore.Version) {
			store.value, store.version, store.initial = value, version, objectstore.WithEra[objectstore.Version](1, 0)
			clock.Advance(maxLedgerAge + time.Millisecond)
		}
		for _, c := range []struct {
			name    string
			value   []byte
			version objectstore.Version
		}{
			{"from that copy", value, objectstore.WithEra[objectstore.Version](1, uint64(version))},
			{"from a copy without a ledger", nil, 0},
		} {
			Convey("if the store comes back "+c.name+", no more than the budget is spent", func() {
				restore(c.value, c.version)
				for i := range 40 {
					for j := range managers {
						m := managers[(2+i+j)%3]
						m.updateRates()
						spend(m, 100_000)
						m.resizeLeases(canceledContext())
					}
					clock.Advance(500 * time.Millisecond)
				}
				So(spent, ShouldBeLessThanOrEqualTo, prepaid)
				So(spent, ShouldBeGreaterThan, prepaid*95/100)
				l, err := decodeLedger(store.value)
				So(err, ShouldBeNil)
				So(l.committed("alwusta"), ShouldBeGreaterThanOrEqualTo, spent)
			})
		}
	})
}
