package prepaid

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/smartystreets/goconvey/convey"
)

func TestInstancesServeThroughOutageNearEndOfBudget(t *testing.T) {
	Convey("instances that lease tokens for their own requests serve through an outage of 4 s with a fifth of the budget left", t, func() {
		const size, ratePerSecond = 500, 10_000
		clock, store, prepaid := clockwork.NewFakeClock(), &ledgerStore{}, int64(1_000_000)
		var managers []*Manager
		for _, name := range []string{"muscat-1", "muscat-2", "muscat-3"} {
			managers = append(managers, newTestManager(store, name, clock, &prepaid, 3))
		}
		spent, refused := int64(0), 0
		// serve sends requests until a time or until a number of tokens is spent.
		serve := func(span time.Duration, until int64) {
			for end, n := clock.Now().Add(span), 0; clock.Now().Before(end) && spent < until; clock.Advance(time.Second * size / ratePerSecond) {
				m := managers[n%len(managers)]
				if n++; n%5 == 0 {
					for _, m := range managers {
						m.updateRates()
						m.resizeLeases(canceledContext())
					}
				}
				if a := m.account("alwusta"); a.reserve(size) {
					a.settle(size, size)
					spent += size
				} else {
					refused++
				}
			}
		}
		serve(5*time.Minute, prepaid*80/100)
		So(spent, ShouldEqual, prepaid*80/100)
		refused = 0
		store.failureMode = "down"
		serve(4*time.Second, prepaid)
		So(refused, ShouldEqual, 0)
	})
}
