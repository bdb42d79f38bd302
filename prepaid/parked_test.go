package prepaid

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/smartystreets/goconvey/convey"
)

// parkedSeeds are the seeds over which tokens parked by a kill of all instances are averaged.
var parkedSeeds = []uint64{1, 2, 3, 4, 5, 6}

// reduceParked switches Config.ReduceParked of all instances.
func (f *testFleet) reduceParked(on bool) {
	for _, domain := range f.domains {
		for _, m := range domain {
			m.config.ReduceParked = on
		}
	}
}

// fleetAt returns a fleet that has used a fraction of its budget.
func fleetAt(seed uint64, lossRate, fraction float64, reduce bool) *testFleet {
	f := newTestFleet(seed, testPrepaid, lossRate)
	f.reduceParked(reduce)
	f.serve(time.Minute, testRate, int64(fraction*testPrepaid))
	return f
}

// parkedAt returns the fraction of the budget that a kill of all instances parks.
func parkedAt(seed uint64, lossRate, fraction float64, reduce bool) float64 {
	f := fleetAt(seed, lossRate, fraction, reduce)
	f.restartAll()
	return float64(f.parked()) / testPrepaid
}

// parkedByFormula returns the fraction of a budget that leases of token holders have unspent, and thus a kill of all parks, when
// remaining seconds of use are left of total seconds. See docs/design/parked-tokens.md.
func parkedByFormula(remaining, total float64) float64 {
	return min(leaseHorizon.Seconds(), max(remaining-recoveryHorizon.Seconds(), crashShare*total)) / total
}

// TestParkedTokensAreThoseOfAnOutage guards the trade between long and short leases: what instances can serve while the store is
// unavailable is what a kill of all at that moment parks, and both follow from the formula.
func TestParkedTokensAreThoseOfAnOutage(t *testing.T) {
	const total = testPrepaid / testRate
	Convey("Given fleets that have used a part of a budget", t, func() {
		for _, fraction := range []float64{0.25, 0.5} {
			sum := 0.0
			for _, seed := range parkedSeeds {
				parked := parkedAt(seed, 0, fraction, false)
				sum += parked
				for _, outage := range []time.Duration{4 * time.Second, 8 * time.Second, 20 * time.Second} {
					f := fleetAt(seed, 0, fraction, false)
					before, failedBefore := f.spent, f.refusedTokens
					f.store.failureMode = "down"
					f.serve(outage, testRate, f.prepaid)
					served, refused := float64(f.spent-before)/testPrepaid, float64(f.refusedTokens-failedBefore)/testPrepaid
					t.Logf("used %.2f, seed %d: a kill parks %.4f; an outage of %s serves %.4f and refuses %.4f", fraction, seed, parked, outage, served, refused)
					So(served, ShouldBeLessThanOrEqualTo, parked)
					So(parked+refused, ShouldBeGreaterThanOrEqualTo, outage.Seconds()/total-0.01)
				}
			}
			mean, formula := sum/float64(len(parkedSeeds)), parkedByFormula((1-fraction)*total, total)
			t.Logf("used %.2f: a kill parks %.4f, by the formula %.4f", fraction, mean, formula)
			So(mean, ShouldBeBetween, 0.8*formula, 1.2*formula)
		}
	})
}

// TestReduceParkedTokens guards against tokens in advance that instances rarely need: those that stand in for a token holder, and
// those that got a small request after a large one. Without the setting a kill of all near the end of a budget parks up to
// twice testMaxParked if responses between instances are lost.
func TestReduceParkedTokens(t *testing.T) {
	Convey("with the setting, a kill of all instances with a tenth of the budget left parks few tokens even if one in twenty responses is lost", t, func() {
		for _, lossRate := range []float64{0, 0.02, 0.05} {
			var before, after float64
			for _, seed := range parkedSeeds {
				before += parkedAt(seed, lossRate, 0.9, false) / float64(len(parkedSeeds))
				parked := parkedAt(seed, lossRate, 0.9, true)
				So(parked, ShouldBeLessThan, testMaxParked)
				after += parked / float64(len(parkedSeeds))
			}
			t.Logf("lost responses %.2f: parked %.4f without the setting, %.4f with it", lossRate, before, after)
			So(after, ShouldBeLessThan, before)
		}
	})
	Convey("with the setting, tokens of lost responses are available again, and those ahead of frequent requests are passed back", t, func() {
		for _, seed := range []uint64{1, 2, 3} {
			f := newTestFleet(seed, testPrepaid, 0.05)
			f.reduceParked(true)
			// With requests of a tenth of the size each instance gets 2.7 a second, so that it requests tokens ahead.
			f.requestScale = 0.1
			f.spendMost()
			So(f.returned, ShouldBeGreaterThan, 0)
			So(f.parked(), ShouldEqual, 0)
		}
	})
	Convey("with the setting, requests are refused in an outage of the store as without it, or fewer", t, func() {
		for _, lossRate := range []float64{0, 0.05} {
			for _, fraction := range []float64{0.25, 0.5} {
				var refused [2]int64
				for i, reduce := range []bool{false, true} {
					for _, seed := range parkedSeeds {
						f := fleetAt(seed, lossRate, fraction, reduce)
						before := f.refusedTokens
						f.store.failureMode = "down"
						f.serve(8*time.Second, testRate, f.prepaid)
						refused[i] += f.refusedTokens - before
					}
				}
				t.Logf("lost responses %.2f, used %.2f: %d tokens refused without the setting, %d with it", lossRate, fraction, refused[0], refused[1])
				// The runs differ in which requests wait and which responses are lost, so a tenth is no difference.
				So(refused[1], ShouldBeLessThanOrEqualTo, refused[0]*11/10)
			}
		}
	})
}

// TestParkedTokensByCause guards against a report that counts spent tokens as parked, or names the wrong cause.
func TestParkedTokensByCause(t *testing.T) {
	Convey("Given three instances with leases, of which each has used a part", t, func() {
		clock, store, prepaid := clockwork.NewFakeClock(), &ledgerStore{}, int64(1_000_000)
		names := []string{"muscat-1", "muscat-2", "muscat-3"}
		managers := make([]*Manager, len(names))
		resizeAll := func() {
			for _, m := range managers {
				m.updateRates()
				m.resizeLeases(canceledContext())
				m.reportParked()
			}
		}
		restart := func(i int) {
			managers[i] = newTestManager(store, names[i], clock, &prepaid, len(names))
			managers[i].config.ReportParked = true
			managers[i].resizeLeases(canceledContext())
		}
		unspent := func(i int) int64 {
			d := managers[i].account("alwusta").demand()
			return d.limit - d.used
		}
		for i := range names {
			restart(i)
			for _, spent := range []int64{50_000, 0} {
				// Each of these needs a larger lease. The update for the second one writes what the first one used.
				tokens := unspent(i) + 50_000
				w, _ := managers[i].account("alwusta").addWaiter(tokens)
				managers[i].resizeLeases(canceledContext())
				So(<-w.done, ShouldEqual, Granted)
				managers[i].account("alwusta").settle(tokens, spent)
			}
		}
		// These tokens are spent after the last update of the ledger, so the report may count them as parked.
		const sinceUpdate = 2_000
		for i := range names {
			So(managers[i].account("alwusta").reserve(sinceUpdate), ShouldBeTrue)
			managers[i].account("alwusta").settle(sinceUpdate, sinceUpdate)
		}
		// wait lets the time pass in which the causes are reported.
		wait := func() {
			for range 2 * int((parkedReportDelay+maxLedgerAge)/tickInterval) {
				clock.Advance(tickInterval)
				resizeAll()
			}
		}

		Convey("a kill of one is reported as such, with what its lease had unspent", func() {
			parked := unspent(1)
			So(parked, ShouldBeGreaterThan, 0)
			restart(1)
			wait()
			So(managers[1].parkedOne.Count(), ShouldBeBetweenOrEqual, parked, parked+sinceUpdate)
			So(managers[1].parkedAll.Count(), ShouldEqual, 0)
			So(managers[0].parkedOne.Count()+managers[0].parkedAll.Count(), ShouldEqual, 0)
		})
		Convey("a kill of all is reported as such by each of them, also by the last to start", func() {
			parked := []int64{unspent(0), unspent(1), unspent(2)}
			for i := range names {
				clock.Advance(2 * time.Second)
				restart(i)
			}
			wait()
			for i := range names {
				So(managers[i].parkedAll.Count(), ShouldBeBetweenOrEqual, parked[i], parked[i]+sinceUpdate)
				So(managers[i].parkedOne.Count(), ShouldEqual, 0)
			}
			l, err := decodeLedger(store.value)
			So(err, ShouldBeNil)
			for _, m := range managers {
				So(l.message.Unspent, ShouldContainKey, string(m.config.Incarnation))
			}
			So(l.message.Unspent, ShouldHaveLength, len(names))
		})
		Convey("restarts leave the ledger after a minute", func() {
			restart(1)
			So(managers[1].ledger.message.Restarts, ShouldHaveLength, 1)
			clock.Advance(restartRetention + time.Second)
			w, _ := managers[0].account("alwusta").addWaiter(unspent(0) + 1)
			managers[0].resizeLeases(canceledContext())
			So(<-w.done, ShouldEqual, Granted)
			So(managers[0].ledger.message.Restarts, ShouldBeEmpty)
		})
		Convey("an orderly stop leaves nothing in the ledger and parks nothing", func() {
			So(managers[1].Close(t.Context()), ShouldBeNil)
			So(managers[1].ledger.message.Unspent, ShouldHaveLength, len(names)-1)
			restart(1)
			wait()
			So(managers[1].parkedOne.Count()+managers[1].parkedAll.Count(), ShouldEqual, 0)
		})
	})
	Convey("without the setting the ledger has nothing for reports", t, func() {
		store, prepaid := &ledgerStore{}, int64(1_000_000)
		for range 2 {
			newTestManager(store, "muscat-1", clockwork.NewFakeClock(), &prepaid, 1).resizeLeases(canceledContext())
		}
		l, err := decodeLedger(store.value)
		So(err, ShouldBeNil)
		So(l.message.Restarts, ShouldBeEmpty)
		So(l.message.Unspent, ShouldBeEmpty)
	})
}
