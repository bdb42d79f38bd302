package prepaid

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/smartystreets/goconvey/convey"
)

func TestView(t *testing.T) {
	Convey("the view shows what a request can reserve and changes nothing", t, func() {
		clock, prepaid := clockwork.NewFakeClock(), int64(1_000_000)
		m := newTestManager(&ledgerStore{}, "muscat-1", clock, &prepaid, 1)
		So(m.View("alwusta"), ShouldResemble, View{Age: -1, Leases: true})
		So(m.accounts, ShouldBeEmpty)
		m.account("alwusta")
		m.resizeLeases(context.Background())
		clock.Advance(100 * time.Millisecond)

		v := m.View("alwusta")
		So(v.Available, ShouldBeGreaterThan, 0)
		So(v.Available+v.Remaining, ShouldEqual, prepaid)
		So(v.Reservable, ShouldEqual, prepaid)
		So(v.Age, ShouldEqual, 100*time.Millisecond)
		So(m.View("alwusta"), ShouldResemble, v)
		reservation, outcome := m.Reserve(t.Context(), "alwusta", 0, v.Available)
		So(outcome, ShouldEqual, Granted)
		So(m.View("alwusta").Available, ShouldEqual, 0)
		reservation.Settle(0)
		So(m.View("alwusta"), ShouldResemble, v)

		So(v.Exhausted(prepaid), ShouldBeFalse)
		So(v.Exhausted(prepaid+1), ShouldBeTrue)
		clock.Advance(maxExhaustedAge)
		So(m.View("alwusta").Exhausted(prepaid+1), ShouldBeFalse)
	})
	Convey("tokens for which earlier requests wait are not available", t, func() {
		clock, prepaid := clockwork.NewFakeClock(), int64(1_000_000)
		m := newTestManager(&ledgerStore{}, "muscat-1", clock, &prepaid, 1)
		m.account("alwusta").addWaiter(10)
		So(m.View("alwusta").Available, ShouldEqual, 0)
		So(m.View("alwusta").Waiting, ShouldEqual, 1)
	})
}
