package idempotency

import (
	"context"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/goleak"

	"pumiceshelf/api"
	"pumiceshelf/claim"
	"pumiceshelf/internal/standin"
)

// forgetOutcome ends a running request without making the outcome durable, and removes the outcome from the instance's
// memory. This happens if both the pending outcomes and the recent outcomes exceeded their limits.
func forgetOutcome(m *Manager, r Request) {
	m.local.finish(r.Key, completed("lost"))
	m.local.mu.Lock()
	defer m.local.mu.Unlock()
	clear(m.local.recent)
	m.local.recentOrder.Init()
}

func TestOwnerWithoutRecord(t *testing.T) {
	defer goleak.VerifyNone(t)
	ctx := context.Background()
	Convey("Given an instance that lost the outcome of a claimed request before it was durable", t, func() {
		f := newFleet()
		Reset(f.stop)
		a, b := f.start("a"), f.start("b")
		r := newRequest("k", "body")
		So(a.Begin(ctx, r).Decision, ShouldEqual, Run)
		forgetOutcome(a, r)

		Convey("a retry does not run on that instance", func() {
			So(a.Begin(ctx, newRequest("k", "body")).Decision, ShouldEqual, UnknownOutcome)
		})
		Convey("a retry does not run on another instance", func() {
			So(b.Begin(ctx, newRequest("k", "body")).Decision, ShouldEqual, UnknownOutcome)
		})
	})

	Convey("Given a claim that took effect after its owner had stopped waiting for it", t, func() {
		f := newFleet()
		Reset(f.stop)
		a, b := f.start("a"), f.start("b")
		So(a.Begin(ctx, newRequest("creates the layout", "body")).Decision, ShouldEqual, Run)
		r := newRequest("k", "body")
		So(a.Begin(ctx, r).Decision, ShouldEqual, Run)
		e := a.local.running(r.Key)
		a.local.reject(e, BeginResult{Decision: Unavailable})
		a.local.recordNotRun(e.request)

		Convey("a retry runs on the owner", func() {
			So(a.Begin(ctx, newRequest("k", "body")).Decision, ShouldEqual, Run)
		})
		Convey("a retry runs on another instance, to which the owner reports that the request did not run", func() {
			So(b.Begin(ctx, newRequest("k", "body")).Decision, ShouldEqual, Run)
		})
	})
}

func TestKeysDuringPartition(t *testing.T) {
	defer goleak.VerifyNone(t)
	ctx := context.Background()
	Convey("Given an issued key while the object store is unavailable", t, func() {
		f := newFleet()
		Reset(f.stop)
		a, b := f.start("a"), f.start("b")
		f.objects.SetFaults(standin.Faults{Unavailable: true})
		key := a.Issue("al-wusta", 1)[0]

		Convey("a request with the key runs once, on any instance, and retries get the response", func() {
			r := newRequest(key, "body")
			So(b.Begin(ctx, r).Decision, ShouldEqual, Run)
			b.Finish(ctx, r.Key, completed("response 1"))
			So(string(a.Begin(ctx, newRequest(key, "body")).Outcome.Body), ShouldEqual, "response 1")
			So(a.Begin(ctx, newRequest(key, "other")).Decision, ShouldEqual, BodyMismatch)

			Convey("after the issuer has ended, retries get the response from the object store", func() {
				f.objects.SetFaults(standin.Faults{})
				So(b.Drain(ctx), ShouldBeNil)
				f.disconnect(a, true)
				c := f.start("c")
				So(string(c.Begin(ctx, newRequest(key, "body")).Outcome.Body), ShouldEqual, "response 1")
			})
		})

		Convey("a request does not run if the issuer is unreachable", func() {
			f.disconnect(a, false)
			So(b.Begin(ctx, asFirstAttempt(newRequest(key, "body"))).Decision, ShouldEqual, Unavailable)
			So(b.Begin(ctx, newRequest(key, "body")).Decision, ShouldEqual, UnknownOutcome)
		})

		Convey("another customer cannot use the key", func() {
			r := newRequest(key, "body")
			k := claim.ParseKey("precio-justo", key)
			r.Key, r.Issued = k.Hash, k.Issued
			So(a.Begin(ctx, r).Decision, ShouldEqual, BodyMismatch)
			So(b.Begin(ctx, r).Decision, ShouldEqual, BodyMismatch)
			So(a.Begin(ctx, newRequest(key, "body")).Decision, ShouldEqual, Run)
		})

		Convey("a request that did not run releases the key", func() {
			r := newRequest(key, "body")
			So(b.Begin(ctx, r).Decision, ShouldEqual, Run)
			b.Finish(ctx, r.Key, Outcome{Kind: NotRun})
			So(a.Begin(ctx, newRequest(key, "body")).Decision, ShouldEqual, Run)
		})
	})

	Convey("A key stays used after its issuer evicted the claim", t, func() {
		keys := newIssuedKeys(claim.NewIssuer("a~1", [32]byte{1}))
		propose := func(text string) *api.Claim {
			k := claim.ParseKey("c", text)
			c, _ := keys.propose(&api.ClaimProposal{
				Kind:   api.ClaimProposalKind_CLAIM_PROPOSAL_KIND_CLAIM,
				Claim:  &api.Claim{KeyHash: k.Hash[:], Attempt: k.Issued.GetNumber(), Owner: "a~1"},
				Issued: k.Issued,
			})
			return c
		}
		oldest := keys.issue("c")
		So(propose(oldest).GetState(), ShouldEqual, api.ClaimState_CLAIM_STATE_CLAIMED)
		for range maxIssuedClaims {
			propose(keys.issue("c"))
		}
		So(keys.len(), ShouldEqual, maxIssuedClaims)
		So(propose(oldest).GetState(), ShouldEqual, api.ClaimState_CLAIM_STATE_UNKNOWN)
	})

	Convey("Given a stated key and an instance that is disconnected from the object store and the other instances", t, func() {
		f := newFleet()
		Reset(f.stop)
		stated := func(c *Config) { c.Settings.AdmitStatedKeys = true }
		a, b, plain := f.start("a", stated), f.start("b", stated), f.start("plain")
		So(a.Begin(ctx, newRequest("creates the layout", "body")).Decision, ShouldEqual, Run)
		f.objects.SetFaults(standin.Faults{Partitioned: func(caller string) bool { return caller == "a" }})
		f.disconnect(a, false)
		key := claim.StatedPrefix + "k"

		Convey("the first attempt runs there, and no later attempt runs on any instance until the first is recorded", func() {
			r := asFirstAttempt(newRequest(key, "body"))
			So(a.Begin(ctx, r).Decision, ShouldEqual, Run)
			for _, m := range []*Manager{b, plain} {
				So(m.Begin(ctx, newRequest(key, "body")).Decision, ShouldEqual, UnknownOutcome)
			}
			a.Finish(ctx, r.Key, completed("response 1"))
			f.objects.SetFaults(standin.Faults{})
			f.heal()
			So(a.Drain(ctx), ShouldBeNil)
			So(string(b.Begin(ctx, newRequest(key, "body")).Outcome.Body), ShouldEqual, "response 1")
		})

		Convey("a later attempt that was refused there does not allow the next one to run", func() {
			So(a.Begin(ctx, newRequest(key, "body")).Decision, ShouldEqual, UnknownOutcome)
			f.objects.SetFaults(standin.Faults{})
			f.heal()
			time.Sleep(failFastPeriod)
			So(a.Begin(ctx, newRequest(key, "body")).Decision, ShouldEqual, UnknownOutcome)
		})

		Convey("without PolicyStated the first attempt is refused as not run", func() {
			f.objects.SetFaults(standin.Faults{Unavailable: true})
			So(plain.Begin(ctx, asFirstAttempt(newRequest(key, "body"))).Decision, ShouldEqual, Unavailable)
		})
	})
}
