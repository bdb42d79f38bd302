package server

import (
	"encoding/json"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"pumiceshelf/internal/standin"
	"pumiceshelf/quota"
)

// fakeKeyIssuer issues keys that contain the customer's ID.
type fakeKeyIssuer struct{}

func (fakeKeyIssuer) Issue(customer string, n int) []string {
	keys := make([]string, n)
	for i := range keys {
		keys[i] = "issued:" + customer
	}
	return keys
}

func TestIssueKeys(t *testing.T) {
	Convey("Given a server that issues keys", t, func() {
		r := newHarness()
		Reset(r.close)
		r.server.cfg.KeyIssuer = fakeKeyIssuer{}

		Convey("a customer gets the requested number of keys, issued for that customer", func() {
			got := r.send("POST", keysPath+"?count=3", "")
			So(got.status, ShouldEqual, 200)
			var body issuedKeysResponse
			So(json.Unmarshal([]byte(got.body), &body), ShouldBeNil)
			So(body.Keys, ShouldResemble, []string{"issued:wusta", "issued:wusta", "issued:wusta"})
		})
		Convey("invalid counts and other methods are refused as not run", func() {
			for _, response := range []callerResponse{
				r.send("POST", keysPath+"?count=0", ""), r.send("POST", keysPath+"?count=1001", ""),
				r.send("POST", keysPath+"?count=x", ""), r.send("GET", keysPath, ""),
			} {
				So(response.status, ShouldBeBetween, 399, 500)
				So(decodeProblem(response).Outcome, ShouldEqual, outcomeNotRun)
			}
		})
		Convey("a server without a key issuer responds with 404", func() {
			r.server.cfg.KeyIssuer = nil
			So(r.send("POST", keysPath, "").status, ShouldEqual, 404)
		})
	})
}

func TestKeyedRequests(t *testing.T) {
	Convey("Given a server and a keyed request", t, func() {
		r := newHarness()
		Reset(r.close)
		key := []string{"Idempotency-Key", "plot-7"}
		first := r.sendChat("dose", true, key...)
		So(responseText(first), ShouldEqual, expectedText("dose"))

		Convey("a duplicate gets the recorded response as a stream with the same request ID", func() {
			duplicate := r.sendChat("dose", true, key...)
			So(responseText(duplicate), ShouldEqual, expectedText("dose"))
			So(duplicate.body, ShouldEndWith, "data: [DONE]\n\n")
			So(duplicate.header.Get(headerReplayed), ShouldEqual, "true")
			So(duplicate.header.Get(headerRequestID), ShouldEqual, first.header.Get(headerRequestID))
			So(len(r.engineRuns()), ShouldEqual, 1)
			So(len(r.quota.settledUsages()), ShouldEqual, 1)
		})
		Convey("the same key with another body is refused", func() {
			p := decodeProblem(r.sendChat("price", false, key...))
			So(p.Status, ShouldEqual, 422)
			So(p.Outcome, ShouldEqual, outcomeNotRun)
			So(len(r.engineRuns()), ShouldEqual, 1)
		})
		Convey("a duplicate of a request that may have run gets outcome unknown and is not run", func() {
			r.setEngineFaults(standin.EngineFaults{SwapResponse: true})
			So(decodeProblem(r.sendChat("dose", false, "Idempotency-Key", "b")).Outcome, ShouldEqual, outcomeUnknown)
			r.setEngineFaults(standin.EngineFaults{})
			p := decodeProblem(r.sendChat("dose", false, "Idempotency-Key", "b"))
			So(p.Reason, ShouldEqual, ReasonEarlierAttemptUnknown)
			So(p.Outcome, ShouldEqual, outcomeUnknown)
			So(len(r.engineRuns()), ShouldEqual, 2)
		})
		Convey("a request whose claim cannot be made durable is not run", func() {
			r.deduplicator.unavailable = true
			p := decodeProblem(r.sendChat("dose", false, "Idempotency-Key", "c"))
			So(p.Reason, ShouldEqual, ReasonClaimUnavailable)
			So(len(r.engineRuns()), ShouldEqual, 1)
		})
		Convey("a request refused as not run can be retried with the same key", func() {
			r.quota.outcome = quota.Unavailable
			So(decodeProblem(r.sendChat("dose", false, "Idempotency-Key", "d")).RetryAfterMs, ShouldBeGreaterThanOrEqualTo, 3000)
			// The refusal is sent before the key is released.
			waitFor(func() bool { return r.server.InProgress() == 0 })
			r.quota.outcome = 0
			So(responseText(r.sendChat("dose", false, "Idempotency-Key", "d")), ShouldEqual, expectedText("dose"))
		})
	})
}
