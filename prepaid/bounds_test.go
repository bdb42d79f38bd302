package prepaid

import (
	"context"
	"math"
	"testing"

	"github.com/jonboulle/clockwork"
	. "github.com/smartystreets/goconvey/convey"
)

// Guards against numbers of tokens in requests of callers or other instances whose sum with what is used overflows: they would be granted
// and make the whole budget available again (BUDGET).
func TestImpossibleNumbersOfTokens(t *testing.T) {
	Convey("Given a token holder that has spent a part of a budget", t, func() {
		clock, prepaid, ctx := clockwork.NewFakeClock(), int64(1_000_000), context.Background()
		m := newTestManager(&ledgerStore{}, "muscat-1", clock, &prepaid, 1)
		m.account("alwusta")
		m.resizeLeases(ctx)
		spent, outcome := m.Reserve(ctx, "alwusta", 0, 1000)
		So(outcome, ShouldEqual, Granted)
		spent.Settle(1000)
		before := m.account("alwusta").demand()
		So(before.used, ShouldEqual, 1000)
		for _, tokens := range []int64{math.MaxInt64, math.MaxInt64 - 500, -5000, math.MinInt64} {
			_, outcome := m.Reserve(ctx, "alwusta", 0, tokens)
			So(outcome, ShouldEqual, Exhausted)
			So(m.Allocate(ctx, TransferID{}, "alwusta", 0, tokens, tokens), ShouldResemble, Allocation{Exhausted: true})
			So(m.Allocate(ctx, TransferID{}, "alwusta", 0, max(tokens, 1), math.MaxInt64).Tokens, ShouldBeLessThanOrEqualTo, prepaid)
			So(m.Lend(ctx, TransferID{}, "alwusta", min(tokens, 0)), ShouldEqual, 0)
			m.AcceptReturn(Return{Returner: "muscat-2@1", Receiver: m.config.Incarnation, Sequence: uint64(tokens), Tokens: map[string]int64{"alwusta": max(tokens, math.MaxInt64-1)}})
			after := m.account("alwusta").demand()
			So(after.used, ShouldBeBetweenOrEqual, before.used, prepaid)
			So(after.limit, ShouldBeBetweenOrEqual, after.used, prepaid)
		}
	})
}
