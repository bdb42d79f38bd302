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

func TestManager(t *testing.T) {
	defer goleak.VerifyNone(t)
	ctx := context.Background()
	Convey("Given two instances that reach the object store and each other", t, func() {
		f := newFleet()
		Reset(f.stop)
		a, b := f.start("a"), f.start("b")

		Convey("a request runs once, and a retry at any instance gets the recorded response", func() {
			r := newRequest("k", "body")
			So(a.Begin(ctx, r).Decision, ShouldEqual, Run)
			a.Finish(ctx, r.Key, completed("response 1"))
			for _, m := range []*Manager{a, b} {
				result := m.Begin(ctx, newRequest("k", "body"))
				So(result.Decision, ShouldEqual, Recorded)
				So(string(result.Outcome.Body), ShouldEqual, "response 1")
				So(result.OriginalRequestID, ShouldEqual, r.RequestID)
				So(m.Begin(ctx, newRequest("k", "another")).Decision, ShouldEqual, BodyMismatch)
			}
		})

		Convey("large responses are stored outside of the claim, and those over the limit are dropped and marked as dropped", func() {
			r := newRequest("large", "body")
			So(a.Begin(ctx, r).Decision, ShouldEqual, Run)
			body := strings.Repeat("x", 3000)
			a.Finish(ctx, r.Key, completed(body))
			So(string(b.Begin(ctx, newRequest("large", "body")).Outcome.Body), ShouldEqual, body)
			r = newRequest("huge", "body")
			So(a.Begin(ctx, r).Decision, ShouldEqual, Run)
			a.Finish(ctx, r.Key, completed(strings.Repeat("x", 5000)))
			result := b.Begin(ctx, newRequest("huge", "body"))
			So(result.Decision, ShouldEqual, Recorded)
			So(result.Outcome.BodyDropped, ShouldBeTrue)
		})

		Convey("retries join the running request, on the same and on the other instance", func() {
			r := newRequest("k", "body")
			So(a.Begin(ctx, r).Decision, ShouldEqual, Run)
			var wg sync.WaitGroup
			var matching atomic.Int32
			for _, m := range []*Manager{a, b, b} {
				wg.Go(func() {
					result := m.Begin(ctx, newRequest("k", "body"))
					if result.Decision == Recorded && string(result.Outcome.Body) == "response 1" {
						matching.Add(1)
					}
				})
			}
			for b.Counts().Running == 0 || descJoins.Counter(a.cfg.Metrics).Count() == 0 {
				time.Sleep(time.Millisecond)
			}
			a.Finish(ctx, r.Key, completed("response 1"))
			wg.Wait()
			So(matching.Load(), ShouldEqual, 3)
		})

		Convey("a request that did not run releases its key", func() {
			r := newRequest("k", "body")
			So(a.Begin(ctx, r).Decision, ShouldEqual, Run)
			a.Finish(ctx, r.Key, Outcome{Kind: NotRun})
			So(a.Begin(ctx, r).Decision, ShouldEqual, Run)
			a.Finish(ctx, r.Key, Outcome{Kind: NotRun})
			So(b.Begin(ctx, r).Decision, ShouldEqual, Run)
			b.Finish(ctx, r.Key, Outcome{Kind: Unknown})
			So(a.Begin(ctx, newRequest("k", "body")).Decision, ShouldEqual, UnknownOutcome)
		})

		Convey("the outcome is unknown if the owner is not live, and the response of an owner that was only paused is still recorded", func() {
			r := newRequest("k", "body")
			So(a.Begin(ctx, r).Decision, ShouldEqual, Run)
			f.disconnect(a, true)
			result := b.Begin(ctx, newRequest("k", "body"))
			So(result.Decision, ShouldEqual, UnknownOutcome)
			So(result.RetryAfter, ShouldEqual, 0)
			a.Finish(ctx, r.Key, completed("late"))
			So(string(b.Begin(ctx, newRequest("k", "body")).Outcome.Body), ShouldEqual, "late")
		})

		Convey("a paused owner whose claim was sealed cannot release the key", func() {
			r := newRequest("k", "body")
			So(a.Begin(ctx, r).Decision, ShouldEqual, Run)
			f.disconnect(a, true)
			So(b.Begin(ctx, newRequest("k", "body")).Decision, ShouldEqual, UnknownOutcome)
			a.Finish(ctx, r.Key, Outcome{Kind: NotRun})
			So(b.Begin(ctx, newRequest("k", "body")).Decision, ShouldEqual, UnknownOutcome)
		})

		Convey("the claim of an owner that is live but unreachable is not sealed", func() {
			r := newRequest("k", "body")
			So(a.Begin(ctx, r).Decision, ShouldEqual, Run)
			f.disconnect(a, false)
			result := b.Begin(ctx, withShortWait(newRequest("k", "body")))
			So(result.Decision, ShouldEqual, UnknownOutcome)
			So(result.RetryAfter, ShouldBeGreaterThan, 0)
			a.Finish(ctx, r.Key, Outcome{Kind: NotRun})
			So(b.Begin(ctx, newRequest("k", "body")).Decision, ShouldEqual, Run)
		})

		Convey("a write whose response is lost is found by reading the head again", func() {
			var writes atomic.Int32
			f.objects.SetFaults(standin.Faults{LoseResponse: func(string) bool { return writes.Add(1)%2 == 1 }})
			r := newRequest("k", "body")
			So(a.Begin(ctx, r).Decision, ShouldEqual, Run)
			a.Finish(ctx, r.Key, completed("response 1"))
			So(string(b.Begin(ctx, newRequest("k", "body")).Outcome.Body), ShouldEqual, "response 1")
		})

		Convey("while the object store is unavailable, a first attempt is refused as not run, any other as unknown, and the key is free afterwards", func() {
			So(a.Begin(ctx, newRequest("creates the layout", "body")).Decision, ShouldEqual, Run)
			f.objects.SetFaults(standin.Faults{Unavailable: true})
			So(a.Begin(ctx, asFirstAttempt(newRequest("k", "body"))).Decision, ShouldEqual, Unavailable)
			result := b.Begin(ctx, newRequest("k", "body"))
			So(result.Decision, ShouldEqual, UnknownOutcome)
			So(result.RetryAfter, ShouldBeGreaterThan, 0)
			f.objects.SetFaults(standin.Faults{})
			time.Sleep(failFastPeriod)
			So(b.Begin(ctx, newRequest("k", "body")).Decision, ShouldEqual, Run)
		})

		Convey("an instance that is disconnected from the object store claims through the other", func() {
			f.objects.SetFaults(standin.Faults{Partitioned: func(caller string) bool { return caller == "a" }})
			a.shardCount = 2
			So(a.Begin(ctx, newRequest("k", "body")).Decision, ShouldEqual, Run)
			So(descViaPeer.Counter(a.cfg.Metrics).Count(), ShouldBeGreaterThan, 0)
		})

		Convey("an outcome that cannot be made durable in time is made durable later", func() {
			r := newRequest("k", "body")
			So(a.Begin(ctx, r).Decision, ShouldEqual, Run)
			f.objects.SetFaults(standin.Faults{Unavailable: true})
			a.Finish(ctx, r.Key, completed("response 1"))
			So(a.Counts().Pending, ShouldEqual, 1)
			f.objects.SetFaults(standin.Faults{})
			So(a.Drain(ctx), ShouldBeNil)
			So(string(b.Begin(ctx, newRequest("k", "body")).Outcome.Body), ShouldEqual, "response 1")
		})

		Convey("finishing a request that is not running panics", func() {
			So(func() { a.Finish(ctx, newRequest("k", "body").Key, completed("")) }, ShouldPanic)
			So(invariant.CheckCount(), ShouldBeGreaterThan, 0)
		})

		Convey("a request whose key is older than the retention is never run", func() {
			r := newRequest("k", "body")
			r.KeyTime = time.Now().Add(-2 * time.Hour)
			So(a.Begin(ctx, r).Decision, ShouldEqual, UnknownOutcome)
		})
	})

	Convey("Given many instances that write the same shard without a common preferred instance", t, func() {
		f := newFleet()
		Reset(f.stop)
		const instances, keys = 8, 40
		var managers []*Manager
		for range instances {
			m := f.start("i", func(c *Config) { c.Settings.Shards = 1; c.Settings.ClaimWait = durationpb.New(testWait) })
			managers = append(managers, m)
			f.disconnect(m, true)
		}
		var runs atomic.Int32
		var wg sync.WaitGroup
		for _, m := range managers {
			for n := range keys {
				wg.Go(func() {
					if m.Begin(ctx, newRequest("shared"+string(rune('a'+n)), "body")).Decision == Run {
						runs.Add(1)
					}
				})
			}
		}
		wg.Wait()
		So(runs.Load(), ShouldEqual, keys)
	})
}
