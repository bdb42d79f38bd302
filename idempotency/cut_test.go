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

// forget lets a running request end at its instance without the outcome ever becoming durable, and be forgotten there, as
// when too many outcomes waited and too many requests ended since.
func forget(k *Keeper, r Request) {
	k.local.finish(r.Key, answered("lost"))
	k.local.mu.Lock()
	defer k.local.mu.Unlock()
	clear(k.local.recent)
	k.local.order.Init()
}

func TestOwnersThatForgot(t *testing.T) {
	defer goleak.VerifyNone(t)
	ctx := context.Background()
	Convey("Given an instance that forgot how a claimed request ended before the outcome was durable", t, func() {
		f := newFleet()
		Reset(f.stop)
		a, b := f.start("a"), f.start("b")
		r := dose("k", "body")
		So(a.Begin(ctx, r).Decision, ShouldEqual, Run)
		forget(a, r)

		Convey("a repeat is not run by it", func() {
			So(a.Begin(ctx, dose("k", "body")).Decision, ShouldEqual, UnknownOutcome)
		})
		Convey("a repeat is not run by another", func() {
			So(b.Begin(ctx, dose("k", "body")).Decision, ShouldEqual, UnknownOutcome)
		})
	})

	Convey("Given a claim that was made after its owner gave up waiting for it", t, func() {
		f := newFleet()
		Reset(f.stop)
		a, b := f.start("a"), f.start("b")
		So(a.Begin(ctx, dose("fixes the layout", "body")).Decision, ShouldEqual, Run)
		r := dose("k", "body")
		So(a.Begin(ctx, r).Decision, ShouldEqual, Run)
		e := a.local.running(r.Key)
		a.local.refuse(e, Verdict{Decision: Unavailable})
		a.local.giveUp(e.request)

		Convey("its owner runs a repeat", func() {
			So(a.Begin(ctx, dose("k", "body")).Decision, ShouldEqual, Run)
		})
		Convey("another runs a repeat at the owner's word", func() {
			So(b.Begin(ctx, dose("k", "body")).Decision, ShouldEqual, Run)
		})
	})
}

func TestKeysInACut(t *testing.T) {
	defer goleak.VerifyNone(t)
	ctx := context.Background()
	Convey("Given a key that an instance issued, and no platform", t, func() {
		f := newFleet()
		Reset(f.stop)
		a, b := f.start("a"), f.start("b")
		f.objects.SetFaults(standin.Faults{Down: true})
		key := a.Issue("al-wusta", 1)[0]

		Convey("it is let run once, wherever it arrives, and repeats get the answer", func() {
			r := dose(key, "body")
			So(b.Begin(ctx, r).Decision, ShouldEqual, Run)
			b.Finish(ctx, r.Key, answered("dose 1"))
			So(string(a.Begin(ctx, dose(key, "body")).Outcome.Body), ShouldEqual, "dose 1")
			So(a.Begin(ctx, dose(key, "other")).Decision, ShouldEqual, Mismatch)

			Convey("also after the issuer is gone, from the platform's copy", func() {
				f.objects.SetFaults(standin.Faults{})
				So(b.Drain(ctx), ShouldBeNil)
				f.lose(a, true)
				c := f.start("c")
				So(string(c.Begin(ctx, dose(key, "body")).Outcome.Body), ShouldEqual, "dose 1")
			})
		})

		Convey("with its issuer out of reach it is not run", func() {
			f.lose(a, false)
			So(b.Begin(ctx, first(dose(key, "body"))).Decision, ShouldEqual, Unavailable)
			So(b.Begin(ctx, dose(key, "body")).Decision, ShouldEqual, UnknownOutcome)
		})

		Convey("another customer cannot use it", func() {
			r := dose(key, "body")
			k := claim.ParseKey("precio-justo", key)
			r.Key, r.Issued = k.Hash, k.Issued
			So(a.Begin(ctx, r).Decision, ShouldEqual, Mismatch)
			So(b.Begin(ctx, r).Decision, ShouldEqual, Mismatch)
			So(a.Begin(ctx, dose(key, "body")).Decision, ShouldEqual, Run)
		})

		Convey("a request that did not run gives it back", func() {
			r := dose(key, "body")
			So(b.Begin(ctx, r).Decision, ShouldEqual, Run)
			b.Finish(ctx, r.Key, Outcome{Kind: NotRun})
			So(a.Begin(ctx, dose(key, "body")).Decision, ShouldEqual, Run)
		})
	})

	Convey("A key whose claim its issuer no longer keeps is still used", t, func() {
		book := newIssuedBook(claim.NewIssuer("a~1", [32]byte{1}))
		propose := func(text string) *api.Claim {
			k := claim.ParseKey("c", text)
			c, _ := book.propose(&api.ClaimProposal{
				Kind:   api.ClaimProposalKind_CLAIM_PROPOSAL_KIND_CLAIM,
				Claim:  &api.Claim{KeyHash: k.Hash[:], Attempt: k.Issued.GetNumber(), Owner: "a~1"},
				Issued: k.Issued,
			})
			return c
		}
		oldest := book.issue("c")
		So(propose(oldest).GetState(), ShouldEqual, api.ClaimState_CLAIM_STATE_CLAIMED)
		for range issuedLimit {
			propose(book.issue("c"))
		}
		So(book.len(), ShouldEqual, issuedLimit)
		So(propose(oldest).GetState(), ShouldEqual, api.ClaimState_CLAIM_STATE_UNKNOWN)
	})

	Convey("Given a stated key and an instance cut off from the platform and the others", t, func() {
		f := newFleet()
		Reset(f.stop)
		stated := func(c *Config) { c.Settings.AdmitStatedKeys = true }
		a, b, plain := f.start("a", stated), f.start("b", stated), f.start("plain")
		So(a.Begin(ctx, dose("fixes the layout", "body")).Decision, ShouldEqual, Run)
		f.objects.SetFaults(standin.Faults{Cut: func(caller string) bool { return caller == "a" }})
		f.lose(a, false)
		key := claim.StatedPrefix + "k"

		Convey("the first attempt is let run there, and no later one anywhere until its record is on file", func() {
			r := first(dose(key, "body"))
			So(a.Begin(ctx, r).Decision, ShouldEqual, Run)
			for _, k := range []*Keeper{b, plain} {
				So(k.Begin(ctx, dose(key, "body")).Decision, ShouldEqual, UnknownOutcome)
			}
			a.Finish(ctx, r.Key, answered("dose 1"))
			f.objects.SetFaults(standin.Faults{})
			f.mend()
			So(a.Drain(ctx), ShouldBeNil)
			So(string(b.Begin(ctx, dose(key, "body")).Outcome.Body), ShouldEqual, "dose 1")
		})

		Convey("a later attempt that was refused there does not make the next one run", func() {
			So(a.Begin(ctx, dose(key, "body")).Decision, ShouldEqual, UnknownOutcome)
			f.objects.SetFaults(standin.Faults{})
			f.mend()
			time.Sleep(downTime)
			So(a.Begin(ctx, dose(key, "body")).Decision, ShouldEqual, UnknownOutcome)
		})

		Convey("without the policy the first attempt is refused as not run", func() {
			f.objects.SetFaults(standin.Faults{Down: true})
			So(plain.Begin(ctx, first(dose(key, "body"))).Decision, ShouldEqual, Unavailable)
		})
	})
}
