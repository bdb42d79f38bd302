package prepaid

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/smartystreets/goconvey/convey"

	"pumiceshelf/ration"
)

// ration switches Config.Rations of all instances.
func (f *testFleet) ration(on bool) {
	for _, domain := range f.domains {
		for _, m := range domain {
			m.config.Rations = func() bool { return on }
		}
	}
}

// servedIn returns the share of the requests of each rank that are served in a time.
func (f *testFleet) servedIn(span time.Duration) (urgent, other float64) {
	f.asked, f.served = [ration.Ranks]int{}, [ration.Ranks]int{}
	f.serve(span, testRate, f.prepaid)
	share := func(rank int) float64 { return float64(f.served[rank]) / float64(max(f.asked[rank], 1)) }
	return share(shortRank), share(longRank)
}

// TestRationing guards against urgent short requests that are refused in an outage of the store or after a kill of all instances,
// because long ones have used up the tokens, and against a lease that is too small although most of the budget is left.
func TestRationing(t *testing.T) {
	Convey("Given fleets of which some ration tokens by rank", t, func() {
		for _, fraction := range []float64{0.5, 0.7} {
			for _, seed := range []uint64{1, 2, 3} {
				var urgent, other [2]float64
				for i, rations := range []bool{false, true} {
					f := newTestFleet(seed, testPrepaid, 0)
					f.ration(rations)
					f.serve(time.Minute, testRate, int64(fraction*testPrepaid))
					f.store.failureMode = "down"
					urgent[i], other[i] = f.servedIn(8 * time.Second)
					So(f.spent, ShouldBeLessThanOrEqualTo, f.prepaid)
				}
				t.Logf("outage of 8 s, %.1f used, seed %d: urgent %.2f, other %.2f served; with rationing %.2f, %.2f", fraction, seed, urgent[0], other[0], urgent[1], other[1])
				So(urgent[1], ShouldBeGreaterThanOrEqualTo, max(urgent[0], 0.95))
			}
		}
		for _, seed := range []uint64{1, 2, 3} {
			var urgent, other [2]float64
			for i, rations := range []bool{false, true} {
				f := newTestFleet(seed, testPrepaid, 0)
				f.ration(rations)
				f.serve(time.Minute, testRate, int64(0.7*testPrepaid))
				f.restartAll()
				f.ration(rations)
				urgent[i], other[i] = f.servedIn(15 * time.Second)
				So(f.spent, ShouldBeLessThanOrEqualTo, f.prepaid)
			}
			t.Logf("15 s from a kill of all, 0.7 used, seed %d: urgent %.2f, other %.2f served; with rationing %.2f, %.2f", seed, urgent[0], other[0], urgent[1], other[1])
			So(urgent[1], ShouldBeGreaterThanOrEqualTo, max(urgent[0], other[1]))
			// None is served less than a quarter as often as the average.
			So(other[1], ShouldBeGreaterThanOrEqualTo, (urgent[1]+other[1])/8)
		}
	})
	Convey("without rationing, leases and refusals do not depend on ranks", t, func() {
		b := budget{prepaid: 4_500_000, remaining: 2_000_000, share: 1, allocates: true}
		d := demand{ratePerSecond: 100_000, longRatePerSecond: 100_000, steadyRatePerSecond: 100_000}
		So(b.targetSize(d, aheadByRate), ShouldEqual, 500_000)
		b.rations = true
		So(b.targetSize(d, aheadByRate), ShouldEqual, 700_000)
		// A lease lasts through one outage. Rationed, it serves urgent requests for far longer.
		b.remaining = 4_000_000
		So(b.targetSize(d, aheadByRate), ShouldEqual, 900_000)
		b.rations = false
		So(b.targetSize(d, aheadByRate), ShouldEqual, 1_400_000)
	})
}

// TestIsRationed guards against an explanation that differs from what a request gets, and against one that counts as demand.
func TestIsRationed(t *testing.T) {
	Convey("Given an instance whose tokens do not last for all requests", t, func() {
		clock, prepaid, ctx := clockwork.NewFakeClock(), int64(10_000), context.Background()
		m := newTestManager(&ledgerStore{}, "muscat-1", clock, &prepaid, 1)
		m.config.Rations = func() bool { return true }
		So(m.IsRationed("alwusta", 8, 100), ShouldBeFalse)
		m.account("alwusta")
		m.resizeLeases(ctx)
		for range 40 {
			So(m.mayTake("alwusta", m.account("alwusta"), 0, 400), ShouldBeTrue)
			clock.Advance(100 * time.Millisecond)
		}
		before := m.account("alwusta").demandByRank
		So(m.IsRationed("alwusta", 0, 100), ShouldBeFalse)
		So(m.IsRationed("alwusta", 8, 100), ShouldBeTrue)
		So(m.account("alwusta").demandByRank, ShouldResemble, before)
		_, outcome := m.Reserve(ctx, "alwusta", 8, 100)
		So(outcome, ShouldEqual, Rationed)
		m.config.Rations = func() bool { return false }
		So(m.IsRationed("alwusta", 8, 100), ShouldBeFalse)
	})
}
