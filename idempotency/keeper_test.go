package idempotency

import (
	"context"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/goleak"
	"google.golang.org/protobuf/types/known/durationpb"

	"pumiceshelf/internal/standin"
	"pumiceshelf/invariant"
)

func TestKeeper(t *testing.T) {
	defer goleak.VerifyNone(t)
	ctx := context.Background()
	Convey("Given two instances that reach the platform and each other", t, func() {
		f := newFleet()
		Reset(f.stop)
		a, b := f.start("a"), f.start("b")

		Convey("a key is let run once, and a repeat anywhere gets the recorded answer", func() {
			r := dose("k", "body")
			So(a.Begin(ctx, r).Decision, ShouldEqual, Run)
			a.Finish(ctx, r.Key, answered("dose 1"))
			for _, k := range []*Keeper{a, b} {
				v := k.Begin(ctx, dose("k", "body"))
				So(v.Decision, ShouldEqual, Recorded)
				So(string(v.Outcome.Body), ShouldEqual, "dose 1")
				So(v.OriginalID, ShouldEqual, r.RequestID)
				So(k.Begin(ctx, dose("k", "another")).Decision, ShouldEqual, Mismatch)
			}
		})

		Convey("large answers are kept beside the claim, those over the limit are dropped and said to be", func() {
			r := dose("large", "body")
			So(a.Begin(ctx, r).Decision, ShouldEqual, Run)
			body := strings.Repeat("x", 3000)
			a.Finish(ctx, r.Key, answered(body))
			So(string(b.Begin(ctx, dose("large", "body")).Outcome.Body), ShouldEqual, body)
			r = dose("huge", "body")
			So(a.Begin(ctx, r).Decision, ShouldEqual, Run)
			a.Finish(ctx, r.Key, answered(strings.Repeat("x", 5000)))
			v := b.Begin(ctx, dose("huge", "body"))
			So(v.Decision, ShouldEqual, Recorded)
			So(v.Outcome.Dropped, ShouldBeTrue)
		})

		Convey("repeats join the running request, here and at the other instance", func() {
			r := dose("k", "body")
			So(a.Begin(ctx, r).Decision, ShouldEqual, Run)
			var joined sync.WaitGroup
			var got atomic.Int32
			for _, k := range []*Keeper{a, b, b} {
				joined.Go(func() {
					v := k.Begin(ctx, dose("k", "body"))
					if v.Decision == Recorded && string(v.Outcome.Body) == "dose 1" {
						got.Add(1)
					}
				})
			}
			for b.Counts().Running == 0 || joins.Counter(a.cfg.Metrics).Count() == 0 {
				time.Sleep(time.Millisecond)
			}
			a.Finish(ctx, r.Key, answered("dose 1"))
			joined.Wait()
			So(got.Load(), ShouldEqual, 3)
		})

		Convey("a request that did not run gives its key back", func() {
			r := dose("k", "body")
			So(a.Begin(ctx, r).Decision, ShouldEqual, Run)
			a.Finish(ctx, r.Key, Outcome{Kind: NotRun})
			So(a.Begin(ctx, r).Decision, ShouldEqual, Run)
			a.Finish(ctx, r.Key, Outcome{Kind: NotRun})
			So(b.Begin(ctx, r).Decision, ShouldEqual, Run)
			b.Finish(ctx, r.Key, Outcome{Kind: Unknown})
			So(a.Begin(ctx, dose("k", "body")).Decision, ShouldEqual, UnknownOutcome)
		})

		Convey("an owner that is gone leaves the outcome unknown, and when it was only paused its answer still counts", func() {
			r := dose("k", "body")
			So(a.Begin(ctx, r).Decision, ShouldEqual, Run)
			f.lose(a, true)
			v := b.Begin(ctx, dose("k", "body"))
			So(v.Decision, ShouldEqual, UnknownOutcome)
			So(v.RetryAfter, ShouldEqual, 0)
			a.Finish(ctx, r.Key, answered("late"))
			So(string(b.Begin(ctx, dose("k", "body")).Outcome.Body), ShouldEqual, "late")
		})

		Convey("a paused owner that was given up on cannot give its key back", func() {
			r := dose("k", "body")
			So(a.Begin(ctx, r).Decision, ShouldEqual, Run)
			f.lose(a, true)
			So(b.Begin(ctx, dose("k", "body")).Decision, ShouldEqual, UnknownOutcome)
			a.Finish(ctx, r.Key, Outcome{Kind: NotRun})
			So(b.Begin(ctx, dose("k", "body")).Decision, ShouldEqual, UnknownOutcome)
		})

		Convey("an owner that is only out of reach for now is not sealed", func() {
			r := dose("k", "body")
			So(a.Begin(ctx, r).Decision, ShouldEqual, Run)
			f.lose(a, false)
			v := b.Begin(ctx, short(dose("k", "body")))
			So(v.Decision, ShouldEqual, UnknownOutcome)
			So(v.RetryAfter, ShouldBeGreaterThan, 0)
			a.Finish(ctx, r.Key, Outcome{Kind: NotRun})
			So(b.Begin(ctx, dose("k", "body")).Decision, ShouldEqual, Run)
		})

		Convey("a write whose answer is lost is found by reading back", func() {
			var lost atomic.Int32
			f.objects.SetFaults(standin.Faults{LoseAnswer: func(string) bool { return lost.Add(1)%2 == 1 }})
			r := dose("k", "body")
			So(a.Begin(ctx, r).Decision, ShouldEqual, Run)
			a.Finish(ctx, r.Key, answered("dose 1"))
			So(string(b.Begin(ctx, dose("k", "body")).Outcome.Body), ShouldEqual, "dose 1")
		})

		Convey("with the platform down a first attempt is refused as not run, any other as unknown, and the key is free after", func() {
			So(a.Begin(ctx, dose("fixes the layout", "body")).Decision, ShouldEqual, Run)
			f.objects.SetFaults(standin.Faults{Down: true})
			So(a.Begin(ctx, first(dose("k", "body"))).Decision, ShouldEqual, Unavailable)
			v := b.Begin(ctx, dose("k", "body"))
			So(v.Decision, ShouldEqual, UnknownOutcome)
			So(v.RetryAfter, ShouldBeGreaterThan, 0)
			f.objects.SetFaults(standin.Faults{})
			time.Sleep(downTime)
			So(b.Begin(ctx, dose("k", "body")).Decision, ShouldEqual, Run)
		})

		Convey("an instance cut off from the platform claims through the other", func() {
			f.objects.SetFaults(standin.Faults{Cut: func(caller string) bool { return caller == "a" }})
			a.layout = 2
			So(a.Begin(ctx, dose("k", "body")).Decision, ShouldEqual, Run)
			So(viaPeer.Counter(a.cfg.Metrics).Count(), ShouldBeGreaterThan, 0)
		})

		Convey("an outcome that cannot be made durable in time is made so later", func() {
			r := dose("k", "body")
			So(a.Begin(ctx, r).Decision, ShouldEqual, Run)
			f.objects.SetFaults(standin.Faults{Down: true})
			a.Finish(ctx, r.Key, answered("dose 1"))
			So(a.Counts().Pending, ShouldEqual, 1)
			f.objects.SetFaults(standin.Faults{})
			So(a.Drain(ctx), ShouldBeNil)
			So(string(b.Begin(ctx, dose("k", "body")).Outcome.Body), ShouldEqual, "dose 1")
		})

		Convey("finishing what was not let run stops the process", func() {
			So(func() { a.Finish(ctx, dose("k", "body").Key, answered("")) }, ShouldPanic)
			So(invariant.Checks(), ShouldBeGreaterThan, 0)
		})

		Convey("a key whose own time is past the retention is never run", func() {
			r := dose("k", "body")
			r.KeyTime = time.Now().Add(-2 * time.Hour)
			So(a.Begin(ctx, r).Decision, ShouldEqual, UnknownOutcome)
		})
	})

	Convey("Given many instances that write the same shard without a common first one", t, func() {
		f := newFleet()
		Reset(f.stop)
		const instances, keys = 8, 40
		var keepers []*Keeper
		for range instances {
			k := f.start("i", func(c *Config) { c.Settings.Shards = 1; c.Settings.ClaimWait = durationpb.New(testWait) })
			keepers = append(keepers, k)
			f.lose(k, true)
		}
		var runs atomic.Int32
		var work sync.WaitGroup
		for _, k := range keepers {
			for n := range keys {
				work.Go(func() {
					if k.Begin(ctx, dose("shared"+string(rune('a'+n)), "body")).Decision == Run {
						runs.Add(1)
					}
				})
			}
		}
		work.Wait()
		So(runs.Load(), ShouldEqual, keys)
	})
}
