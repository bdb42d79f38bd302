package server

import (
	"encoding/json"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"pumiceshelf/internal/standin"
	"pumiceshelf/quota"
)

// issuer issues keys that name their customer.
type issuer struct{}

func (issuer) Issue(customer string, n int) []string {
	keys := make([]string, n)
	for i := range keys {
		keys[i] = "issued:" + customer
	}
	return keys
}

func TestIssueKeys(t *testing.T) {
	Convey("Given a server that issues keys", t, func() {
		r := newRig()
		Reset(r.close)
		r.server.cfg.Keys = issuer{}

		Convey("a customer gets as many as it asks for, in its own name", func() {
			got := r.send("POST", keysPath+"?count=3", "")
			So(got.status, ShouldEqual, 200)
			var body issuedKeys
			So(json.Unmarshal([]byte(got.body), &body), ShouldBeNil)
			So(body.Keys, ShouldResemble, []string{"issued:wusta", "issued:wusta", "issued:wusta"})
		})
		Convey("absurd counts and other methods are refused as not run", func() {
			for _, bad := range []reply{
				r.send("POST", keysPath+"?count=0", ""), r.send("POST", keysPath+"?count=1001", ""),
				r.send("POST", keysPath+"?count=x", ""), r.send("GET", keysPath, ""),
			} {
				So(bad.status, ShouldBeBetween, 399, 500)
				So(problemOf(bad).Outcome, ShouldEqual, outcomeNotRun)
			}
		})
		Convey("a server that issues none knows no such path", func() {
			r.server.cfg.Keys = nil
			So(r.send("POST", keysPath, "").status, ShouldEqual, 404)
		})
	})
}

func TestKeys(t *testing.T) {
	Convey("Given a server and a keyed request", t, func() {
		r := newRig()
		Reset(r.close)
		key := []string{"Idempotency-Key", "plot-7"}
		first := r.chat("dose", true, key...)
		So(textOf(first), ShouldEqual, expected("dose"))

		Convey("its repeat gets the recorded answer as a stream, with the same id", func() {
			again := r.chat("dose", true, key...)
			So(textOf(again), ShouldEqual, expected("dose"))
			So(again.body, ShouldEndWith, "data: [DONE]\n\n")
			So(again.header.Get(headerReplayed), ShouldEqual, "true")
			So(again.header.Get(headerRequestID), ShouldEqual, first.header.Get(headerRequestID))
			So(len(r.runs()), ShouldEqual, 1)
			So(len(r.keeper.bills()), ShouldEqual, 1)
		})
		Convey("the same key with another body is refused", func() {
			p := problemOf(r.chat("price", false, key...))
			So(p.Status, ShouldEqual, 422)
			So(p.Outcome, ShouldEqual, outcomeNotRun)
			So(len(r.runs()), ShouldEqual, 1)
		})
		Convey("a repeat of one that may have run is answered unknown and not run", func() {
			r.faults(standin.EngineFaults{Crossed: true})
			So(problemOf(r.chat("dose", false, "Idempotency-Key", "b")).Outcome, ShouldEqual, outcomeUnknown)
			r.faults(standin.EngineFaults{})
			p := problemOf(r.chat("dose", false, "Idempotency-Key", "b"))
			So(p.Reason, ShouldEqual, ReasonEarlierUnknown)
			So(p.Outcome, ShouldEqual, outcomeUnknown)
			So(len(r.runs()), ShouldEqual, 2)
		})
		Convey("without a durable claim nothing runs", func() {
			r.gate.down = true
			p := problemOf(r.chat("dose", false, "Idempotency-Key", "c"))
			So(p.Reason, ShouldEqual, ReasonClaimUnavailable)
			So(len(r.runs()), ShouldEqual, 1)
		})
		Convey("a refused one can be asked again", func() {
			r.keeper.outcome = quota.OutOfReach
			So(problemOf(r.chat("dose", false, "Idempotency-Key", "d")).RetryAfterMs, ShouldBeGreaterThanOrEqualTo, 3000)
			// The refusal goes out before the key is given back.
			until(func() bool { return r.server.InProgress() == 0 })
			r.keeper.outcome = 0
			So(textOf(r.chat("dose", false, "Idempotency-Key", "d")), ShouldEqual, expected("dose"))
		})
	})
}
