package budget_test

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"pumiceshelf/api"
	"pumiceshelf/budget"
	"pumiceshelf/invariant"
)

// listed returns a lease that version 1 of a ledger lists, and its ledger entry.
func listed(acquired, ceiling uint64, witnesses ...string) (*budget.Lease, *api.QuotaLease) {
	l := budget.NewLease("l")
	rec := &api.QuotaLease{Id: "l", Taken: acquired, Ceiling: ceiling, Witnesses: witnesses}
	l.Observe(1, rec)
	return l, rec
}

var attempt = budget.Attempt{Incarnation: "e", Number: 1}

func TestLimit(t *testing.T) {
	Convey("The limit is the larger of ceiling and watermark, not their sum, and at most the acquired tokens", t, func() {
		l, _ := listed(1000, 100, "w")
		So(l.RecordAcknowledgement("w", 150), ShouldBeTrue)
		So(l.Limit(), ShouldEqual, 150)
		So(l.RecordAcknowledgement("w", 120), ShouldBeTrue)
		So(l.Limit(), ShouldEqual, 150)
		l.RecordAcknowledgement("w", 2000)
		So(l.Limit(), ShouldEqual, 1000)
	})
	Convey("An acknowledgement from an incarnation that is not a witness is ignored", t, func() {
		l, _ := listed(1000, 100, "w")
		So(l.RecordAcknowledgement("w2", 150), ShouldBeFalse)
		So(l.Limit(), ShouldEqual, 100)
	})
}

func TestWitnessChange(t *testing.T) {
	Convey("Given an update in flight that replaces the witnesses", t, func() {
		l, _ := listed(1000, 100, "old")
		l.BeginUpdate(1, budget.Change{Keep: 1000, Witnesses: []string{"new"}, ChangeWitnesses: true})

		Convey("a late acknowledgement from the old witness is rejected", func() {
			So(l.RecordAcknowledgement("old", 500), ShouldBeFalse)
			So(l.Limit(), ShouldEqual, 100)
		})
		Convey("no witness is queried, and the new witness counts only after its version was observed", func() {
			So(l.ActiveWitnesses(), ShouldBeEmpty)
			So(l.RecordAcknowledgement("new", 500), ShouldBeFalse)
			l.Observe(2, &api.QuotaLease{Id: "l", Taken: 1000, Ceiling: 100, Witnesses: []string{"new"}})
			So(l.RecordAcknowledgement("new", 500), ShouldBeTrue)
			So(l.RecordAcknowledgement("old", 700), ShouldBeFalse)
		})
		Convey("while the outcome is unknown the old witness is rejected, also after the same version is read again", func() {
			l.UpdateOutcomeUnknown()
			l.Observe(1, &api.QuotaLease{Id: "l", Taken: 1000, Ceiling: 100, Witnesses: []string{"old"}})
			So(l.RecordAcknowledgement("old", 500), ShouldBeFalse)
		})
		Convey("a later update that fails does not lift the restrictions of one whose outcome is unknown", func() {
			l.UpdateOutcomeUnknown()
			l.BeginUpdate(1, budget.Change{Keep: 1000})
			l.UpdateNotWritten()
			So(l.RecordAcknowledgement("old", 500), ShouldBeFalse)
		})
		Convey("if the update is known not to have been written, the old witness remains", func() {
			l.UpdateNotWritten()
			So(l.RecordAcknowledgement("old", 500), ShouldBeTrue)
		})
	})
	Convey("The version that replaces the witnesses raises the ceiling to the acknowledged total", t, func() {
		e := budget.Begin("c", ledgerWith(&api.QuotaLease{Id: "l", Taken: 800, Ceiling: 100, Witnesses: []string{"old"}}))
		e.ChangeWitnesses("b", "l", []string{"new"}, 300)
		next, changed := e.Finish()
		So(changed, ShouldBeTrue)
		So(next.Budgets[0].Leases[0].Ceiling, ShouldEqual, 300)
	})
}

func TestWitnessChangeAfterReturn(t *testing.T) {
	Convey("A watermark above the acquired tokens survives a witness change, as it counts after acquiring more", t, func() {
		e := budget.Begin("c", ledgerWith(&api.QuotaLease{Id: "l", Taken: 10, Witnesses: []string{"old"}}))
		e.ChangeWitnesses("b", "l", []string{"new"}, 300)
		e.Acquire("b", budget.LeaseIdentity{LeaseID: "l"}, 500, 1, 0)
		rec := e.Entry("b").Leases[0]
		r := budget.StartReclaim(1, rec)
		r.RecordSeal("new", 0)
		_, bound, _ := r.ClosingUpdate()
		So(bound, ShouldEqual, 300)
	})
}

func TestStaleResponses(t *testing.T) {
	Convey("A delayed response to an older update restores neither older witnesses nor an older total", t, func() {
		l, _ := listed(1000, 100, "old")
		l.Observe(3, &api.QuotaLease{Id: "l", Taken: 400, Ceiling: 100, Witnesses: []string{"new"}})
		l.Observe(2, &api.QuotaLease{Id: "l", Taken: 1000, Ceiling: 100, Witnesses: []string{"old"}})
		So(l.Acquired(), ShouldEqual, 400)
		So(l.Witnesses(), ShouldResemble, []string{"new"})
	})
	Convey("A return with an unknown outcome lowers the limit until a newer version is observed", t, func() {
		l, rec := listed(1000, 1000)
		l.BeginUpdate(1, budget.Change{Keep: 200})
		l.UpdateOutcomeUnknown()
		l.Observe(1, rec)
		So(l.Limit(), ShouldEqual, 200)
		l.Observe(2, rec)
		So(l.Limit(), ShouldEqual, 1000)
	})
	Convey("A lease that may have been closed accepts no reservation", t, func() {
		l, rec := listed(1000, 1000)
		l.BeginUpdate(1, budget.Change{Keep: 1000, Close: true})
		l.UpdateOutcomeUnknown()
		So(l.Reserve("r", attempt, 10, "m", 0), ShouldBeFalse)
		l.Observe(2, rec)
		So(l.Reserve("r", attempt, 10, "m", 0), ShouldBeTrue)
	})
	Convey("A lease that may have been listed and closed counts as closed, so that its ID is not reused", t, func() {
		l := budget.NewLease("l")
		l.Observe(1, nil)
		l.BeginUpdate(1, budget.Change{})
		l.UpdateOutcomeUnknown()
		l.Observe(3, nil)
		So(l.Closed(), ShouldBeTrue)
	})
	Convey("A lease that a newer version does not list is closed permanently", t, func() {
		l, rec := listed(1000, 1000)
		l.Observe(2, nil)
		l.Observe(3, rec)
		So(l.Reserve("r", attempt, 10, "m", 0), ShouldBeFalse)
	})
}

func TestWitness(t *testing.T) {
	Convey("A sealed lease gets no further acknowledgement, and each seal returns the watermark", t, func() {
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
	Convey("A restarted witness is a new incarnation that neither acknowledges nor seals for the previous one", t, func() {
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
		Convey("it is closed only after all witnesses have sealed, with the highest total and the version that was read", func() {
			r.RecordSeal("w1", 300)
			_, _, ok := r.ClosingUpdate()
			So(ok, ShouldBeFalse)
			r.RecordSeal("w2", 200)
			v, bound, ok := r.ClosingUpdate()
			So(ok, ShouldBeTrue)
			So(v, ShouldEqual, 7)
			So(bound, ShouldEqual, 300)
		})
		Convey("the bound is all acquired tokens if a witness is permanently lost", func() {
			r.RecordLostWitness("w1")
			r.RecordSeal("w2", 200)
			_, bound, ok := r.ClosingUpdate()
			So(ok, ShouldBeTrue)
			So(bound, ShouldEqual, 1000)
		})
		Convey("a seal from an instance that is not a witness is ignored", func() {
			r.RecordSeal("w3", 900)
			So(r.Unsealed(), ShouldHaveLength, 2)
		})
	})
}

func TestSettleOnce(t *testing.T) {
	Convey("Given a lease with a reservation", t, func() {
		l, _ := listed(1000, 1000)
		l.Reserve("r", attempt, 100, "m", 0)
		Convey("a second reservation of the same request reserves no further tokens", func() {
			So(l.Reserve("r", budget.Attempt{Incarnation: "e2", Number: 9}, 100, "m", 0), ShouldBeTrue)
			So(l.Reserved(), ShouldEqual, 100)
			Convey("releasing one attempt keeps the reservation of the other", func() {
				So(l.Release("r", attempt), ShouldBeTrue)
				So(l.Reserved(), ShouldEqual, 100)
			})
		})
		Convey("the request is billed once", func() {
			charge, ok := l.Settle("r", attempt, 60)
			So(ok, ShouldBeTrue)
			So(charge, ShouldEqual, 60)
			_, ok = l.Settle("r", attempt, 60)
			So(ok, ShouldBeFalse)
			So(l.Settled(), ShouldEqual, 60)
		})
		Convey("usage above the bound is billed at the bound", func() {
			charge, _ := l.Settle("r", attempt, 500)
			So(charge, ShouldEqual, 100)
		})
		Convey("settling or releasing another attempt has no effect", func() {
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
	Convey("A grant from an older bundle is ignored, and a repeated total counts once", t, func() {
		e := budget.Begin("c", ledgerWith())
		e.Grant("b", 1500)
		e.Grant("b", 1500)
		e.Grant("b", 700)
		So(e.Free("b"), ShouldEqual, 1500)
	})
	Convey("A lease acquires at most the free tokens", t, func() {
		e := budget.Begin("c", ledgerWith(&api.QuotaLease{Id: "x", Taken: 900}))
		So(e.Acquire("b", budget.LeaseIdentity{LeaseID: "l"}, 500, 1, 0), ShouldEqual, 100)
		So(e.Acquire("b", budget.LeaseIdentity{LeaseID: "l"}, 500, 1, 0), ShouldEqual, 0)
	})
	Convey("A ledger that commits more tokens than were granted violates an invariant", t, func() {
		So(func() { budget.CheckLedger(ledgerWith(&api.QuotaLease{Id: "x", Taken: 1001})) }, shouldViolateInvariant)
	})
	Convey("A reclaimed lease frees the tokens above its bound and is removed when records account for the bound", t, func() {
		e := budget.Begin("c", ledgerWith(&api.QuotaLease{Id: "x", Taken: 900, Settled: 50}))
		e.Reclaim("b", "x", "me", 300)
		So(e.Free("b"), ShouldEqual, 700)
		e.Resolve("b", "x", 200)
		So(e.Entry("b").Leases[0].Settled, ShouldEqual, 200)
		e.Resolve("b", "x", 400)
		So(e.Entry("b").Leases, ShouldBeEmpty)
		So(e.Entry("b").ClosedSpend, ShouldEqual, 300)
	})
	Convey("Closed leases beyond the limit are folded into totals that preserve their bounds", t, func() {
		e := budget.Begin("c", ledgerWith(&api.QuotaLease{Id: "x", Taken: 300}, &api.QuotaLease{Id: "y", Taken: 300}))
		e.Reclaim("b", "x", "me", 200)
		e.Reclaim("b", "y", "me", 100)
		e.CompactClosed("b", 1)
		So(e.Entry("b").Unresolved, ShouldEqual, 200)
		So(e.Free("b"), ShouldEqual, 700)
	})
	Convey("Wants of other domains that the free tokens do not cover are unmet, and they reduce the tokens available to a domain", t, func() {
		e := budget.Begin("c", ledgerWith(&api.QuotaLease{Id: "x", Taken: 900}))
		e.SetWant("b", "d2", 250, 0)
		So(budget.UnmetWants(e.Entry("b"), "d1"), ShouldEqual, 150)
		So(budget.UnmetWants(e.Entry("b"), "d2"), ShouldEqual, 0)
		So(budget.AvailableTo(e.Entry("b"), "d1"), ShouldEqual, 0)
		So(budget.AvailableTo(e.Entry("b"), "d2"), ShouldEqual, 100)
	})
}

// shouldViolateInvariant succeeds if a function panics with an invariant violation.
func shouldViolateInvariant(actual any, _ ...any) (message string) {
	defer func() {
		if _, ok := recover().(invariant.Violation); ok {
			message = ""
		}
	}()
	message = "no invariant was violated"
	actual.(func())()
	return message
}
