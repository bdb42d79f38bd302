package budget_test

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"pumiceshelf/api"
	"pumiceshelf/budget"
	"pumiceshelf/invariant"
)

// listed returns a lease as version 1 of a ledger lists it.
func listed(taken, ceiling uint64, witnesses ...string) (*budget.Lease, *api.QuotaLease) {
	l := budget.NewLease("l")
	rec := &api.QuotaLease{Id: "l", Taken: taken, Ceiling: ceiling, Witnesses: witnesses}
	l.Observe(1, rec)
	return l, rec
}

var by = budget.Attempt{Incarnation: "e", Number: 1}

func TestAuthority(t *testing.T) {
	Convey("Authority is the larger of ceiling and watermark, never their sum, and at most what is taken", t, func() {
		l, _ := listed(1000, 100, "w")
		So(l.Acknowledged("w", 150), ShouldBeTrue)
		So(l.Authority(), ShouldEqual, 150)
		So(l.Acknowledged("w", 120), ShouldBeTrue)
		So(l.Authority(), ShouldEqual, 150)
		l.Acknowledged("w", 2000)
		So(l.Authority(), ShouldEqual, 1000)
	})
	Convey("An acknowledgement of an incarnation that is no witness counts for nothing", t, func() {
		l, _ := listed(1000, 100, "w")
		So(l.Acknowledged("w2", 150), ShouldBeFalse)
		So(l.Authority(), ShouldEqual, 100)
	})
}

func TestChangeOfWitnesses(t *testing.T) {
	Convey("From the moment that a change of witnesses was sent", t, func() {
		l, _ := listed(1000, 100, "old")
		l.Sending(1, budget.Change{Keep: 1000, Witnesses: []string{"new"}, ChangeWitnesses: true})

		Convey("a late acknowledgement of the old one is refused", func() {
			So(l.Acknowledged("old", 500), ShouldBeFalse)
			So(l.Authority(), ShouldEqual, 100)
		})
		Convey("nobody is asked, and the new one counts only when its version was seen", func() {
			So(l.Asked(), ShouldBeEmpty)
			So(l.Acknowledged("new", 500), ShouldBeFalse)
			l.Observe(2, &api.QuotaLease{Id: "l", Taken: 1000, Ceiling: 100, Witnesses: []string{"new"}})
			So(l.Acknowledged("new", 500), ShouldBeTrue)
			So(l.Acknowledged("old", 700), ShouldBeFalse)
		})
		Convey("a lost answer keeps the old one refused, also after the same version is read back", func() {
			l.AnswerLost()
			l.Observe(1, &api.QuotaLease{Id: "l", Taken: 1000, Ceiling: 100, Witnesses: []string{"old"}})
			So(l.Acknowledged("old", 500), ShouldBeFalse)
		})
		Convey("and a later update that fails does not end the promise of the lost one", func() {
			l.AnswerLost()
			l.Sending(1, budget.Change{Keep: 1000})
			l.NotWritten()
			So(l.Acknowledged("old", 500), ShouldBeFalse)
		})
		Convey("an update known not to be written leaves the old one in its place", func() {
			l.NotWritten()
			So(l.Acknowledged("old", 500), ShouldBeTrue)
		})
	})
	Convey("The change raises the ceiling in the same version to what was acknowledged", t, func() {
		e := budget.Begin("c", ledgerWith(&api.QuotaLease{Id: "l", Taken: 800, Ceiling: 100, Witnesses: []string{"old"}}))
		e.ChangeWitnesses("b", "l", []string{"new"}, 300)
		next, changed := e.Finish()
		So(changed, ShouldBeTrue)
		So(next.Budgets[0].Leases[0].Ceiling, ShouldEqual, 300)
	})
}

func TestChangeOfWitnessesAfterReturn(t *testing.T) {
	Convey("A watermark over what is taken survives a change of witnesses, since a later take makes it count again", t, func() {
		e := budget.Begin("c", ledgerWith(&api.QuotaLease{Id: "l", Taken: 10, Witnesses: []string{"old"}}))
		e.ChangeWitnesses("b", "l", []string{"new"}, 300)
		e.Take("b", budget.Owner{LeaseID: "l"}, 500, 1, 0)
		rec := e.Entry("b").Leases[0]
		r := budget.StartReclaim(1, rec)
		r.Sealed("new", 0)
		_, bound, _ := r.Close()
		So(bound, ShouldEqual, 300)
	})
}

func TestLateAnswers(t *testing.T) {
	Convey("A late answer to an older update brings back neither older witnesses nor an older total", t, func() {
		l, _ := listed(1000, 100, "old")
		l.Observe(3, &api.QuotaLease{Id: "l", Taken: 400, Ceiling: 100, Witnesses: []string{"new"}})
		l.Observe(2, &api.QuotaLease{Id: "l", Taken: 1000, Ceiling: 100, Witnesses: []string{"old"}})
		So(l.Taken(), ShouldEqual, 400)
		So(l.Witnesses(), ShouldResemble, []string{"new"})
	})
	Convey("A return whose answer is lost binds until a newer version is seen", t, func() {
		l, rec := listed(1000, 1000)
		l.Sending(1, budget.Change{Keep: 200})
		l.AnswerLost()
		l.Observe(1, rec)
		So(l.Authority(), ShouldEqual, 200)
		l.Observe(2, rec)
		So(l.Authority(), ShouldEqual, 1000)
	})
	Convey("A lease that may be closed takes no reservation", t, func() {
		l, rec := listed(1000, 1000)
		l.Sending(1, budget.Change{Keep: 1000, Close: true})
		l.AnswerLost()
		So(l.Reserve("r", by, 10, "m", 0), ShouldBeFalse)
		l.Observe(2, rec)
		So(l.Reserve("r", by, 10, "m", 0), ShouldBeTrue)
	})
	Convey("A lease that may have been listed and closed again is not taken a second time", t, func() {
		l := budget.NewLease("l")
		l.Observe(1, nil)
		l.Sending(1, budget.Change{})
		l.AnswerLost()
		l.Observe(3, nil)
		So(l.Closed(), ShouldBeTrue)
	})
	Convey("A lease that a newer version does not list is closed for good", t, func() {
		l, rec := listed(1000, 1000)
		l.Observe(2, nil)
		l.Observe(3, rec)
		So(l.Reserve("r", by, 10, "m", 0), ShouldBeFalse)
	})
}

func TestWitness(t *testing.T) {
	Convey("A sealed lease is acknowledged no more, and sealing tells the watermark each time", t, func() {
		w := budget.NewWitness("w~1")
		w.Acknowledge("w~1", "l", 300)
		total, ok := w.Seal("w~1", "l")
		So(ok, ShouldBeTrue)
		So(total, ShouldEqual, 300)
		_, ok = w.Acknowledge("w~1", "l", 400)
		So(ok, ShouldBeFalse)
		total, _ = w.Seal("w~1", "l")
		So(total, ShouldEqual, 300)
	})
	Convey("A restarted witness is another incarnation: it neither acknowledges nor seals for the old one", t, func() {
		w := budget.NewWitness("w~2")
		_, ok := w.Acknowledge("w~1", "l", 400)
		So(ok, ShouldBeFalse)
		_, ok = w.Seal("w~1", "l")
		So(ok, ShouldBeFalse)
	})
}

func TestReclaim(t *testing.T) {
	Convey("Given a lease with two witnesses", t, func() {
		r := budget.StartReclaim(7, &api.QuotaLease{Id: "l", Taken: 1000, Ceiling: 100, Witnesses: []string{"w1", "w2"}})
		Convey("it is closed only when all have sealed, at the highest total, at the version read before", func() {
			r.Sealed("w1", 300)
			_, _, ok := r.Close()
			So(ok, ShouldBeFalse)
			r.Sealed("w2", 200)
			v, bound, ok := r.Close()
			So(ok, ShouldBeTrue)
			So(v, ShouldEqual, 7)
			So(bound, ShouldEqual, 300)
		})
		Convey("a witness lost for good leaves all that was taken as the bound", func() {
			r.Lost("w1")
			r.Sealed("w2", 200)
			_, bound, ok := r.Close()
			So(ok, ShouldBeTrue)
			So(bound, ShouldEqual, 1000)
		})
		Convey("a seal of an instance that was not named changes nothing", func() {
			r.Sealed("w3", 900)
			So(r.Unsealed(), ShouldHaveLength, 2)
		})
	})
}

func TestBillingOnce(t *testing.T) {
	Convey("Given a lease with a reservation", t, func() {
		l, _ := listed(1000, 1000)
		l.Reserve("r", by, 100, "m", 0)
		Convey("a second reservation of the same request holds nothing more", func() {
			So(l.Reserve("r", budget.Attempt{Incarnation: "e2", Number: 9}, 100, "m", 0), ShouldBeTrue)
			So(l.Reserved(), ShouldEqual, 100)
			Convey("and the release of one attempt leaves the other's", func() {
				So(l.Release("r", by), ShouldBeTrue)
				So(l.Reserved(), ShouldEqual, 100)
			})
		})
		Convey("it is billed once", func() {
			charge, ok := l.Settle("r", by, 60)
			So(ok, ShouldBeTrue)
			So(charge, ShouldEqual, 60)
			_, ok = l.Settle("r", by, 60)
			So(ok, ShouldBeFalse)
			So(l.Settled(), ShouldEqual, 60)
		})
		Convey("usage over the bound is billed at the bound", func() {
			charge, _ := l.Settle("r", by, 500)
			So(charge, ShouldEqual, 100)
		})
		Convey("a settlement or release of another attempt does nothing", func() {
			old := budget.Attempt{Incarnation: "e", Number: 0}
			_, ok := l.Settle("r", old, 60)
			So(ok, ShouldBeFalse)
			So(l.Release("r", old), ShouldBeFalse)
			So(l.Reserved(), ShouldEqual, 100)
		})
	})
}

func ledgerWith(leases ...*api.QuotaLease) *api.CustomerLedger {
	return &api.CustomerLedger{Customer: "c", Budgets: []*api.BudgetLedger{{Budget: "b", Granted: 1000, Leases: leases}}}
}

func TestLedger(t *testing.T) {
	Convey("An older bundle takes no granted tokens away, and a total counts once", t, func() {
		e := budget.Begin("c", ledgerWith())
		e.Grant("b", 1500)
		e.Grant("b", 1500)
		e.Grant("b", 700)
		So(e.Free("b"), ShouldEqual, 1500)
	})
	Convey("No more is taken than is free", t, func() {
		e := budget.Begin("c", ledgerWith(&api.QuotaLease{Id: "x", Taken: 900}))
		So(e.Take("b", budget.Owner{LeaseID: "l"}, 500, 1, 0), ShouldEqual, 100)
		So(e.Take("b", budget.Owner{LeaseID: "l"}, 500, 1, 0), ShouldEqual, 0)
	})
	Convey("A ledger that promises more than was granted stops the process", t, func() {
		So(func() { budget.CheckLedger(ledgerWith(&api.QuotaLease{Id: "x", Taken: 1001})) }, ShouldPanicLike)
	})
	Convey("A reclaimed lease frees what lies over its bound at once, and the rest as records account for it", t, func() {
		e := budget.Begin("c", ledgerWith(&api.QuotaLease{Id: "x", Taken: 900, Settled: 50}))
		e.Reclaim("b", "x", "me", 300)
		So(e.Free("b"), ShouldEqual, 700)
		e.Resolve("b", "x", 200)
		So(e.Entry("b").Leases[0].Settled, ShouldEqual, 200)
		e.Resolve("b", "x", 400)
		So(e.Entry("b").Leases, ShouldBeEmpty)
		So(e.Entry("b").ClosedSpend, ShouldEqual, 300)
	})
	Convey("Closed leases over the limit are folded into totals that keep their bound", t, func() {
		e := budget.Begin("c", ledgerWith(&api.QuotaLease{Id: "x", Taken: 300}, &api.QuotaLease{Id: "y", Taken: 300}))
		e.Reclaim("b", "x", "me", 200)
		e.Reclaim("b", "y", "me", 100)
		e.Forget("b", 1)
		So(e.Entry("b").Unresolved, ShouldEqual, 200)
		So(e.Free("b"), ShouldEqual, 700)
	})
	Convey("Wants of other domains count beyond what is free", t, func() {
		e := budget.Begin("c", ledgerWith(&api.QuotaLease{Id: "x", Taken: 900}))
		e.Want("b", "d2", 250, 0)
		So(budget.Wanted(e.Entry("b"), "d1"), ShouldEqual, 150)
		So(budget.Wanted(e.Entry("b"), "d2"), ShouldEqual, 0)
		So(budget.Spare(e.Entry("b"), "d1"), ShouldEqual, 0)
		So(budget.Spare(e.Entry("b"), "d2"), ShouldEqual, 100)
	})
}

// ShouldPanicLike succeeds when a function panics with a violated invariant.
func ShouldPanicLike(actual any, _ ...any) (message string) {
	defer func() {
		if _, ok := recover().(invariant.Violation); ok {
			message = ""
		}
	}()
	message = "no invariant was violated"
	actual.(func())()
	return message
}
