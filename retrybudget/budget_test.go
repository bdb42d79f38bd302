package retrybudget_test

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"pumiceshelf/retrybudget"
)

const window = 10 * time.Second

func TestBudget(t *testing.T) {
	Convey("retries are limited to a fraction of the requests plus a constant", t, func() {
		b := retrybudget.New(retrybudget.Limits{Window: window, Ratio: 0.2, Slack: 10})
		now := time.Unix(1000, 0)
		for range 100 {
			b.RecordRequest("model", now)
		}
		allowed := 0
		for b.AllowRetry("model", now, 1) {
			allowed++
		}
		So(allowed, ShouldBeBetween, 15, 30)
		So(b.AllowRetry("model", now.Add(window/2), 1), ShouldBeFalse)
		Convey("each service has its own budget", func() { So(b.AllowRetry("desk", now, 1), ShouldBeTrue) })
		Convey("the constant is divided among the instances", func() { So(b.AllowRetry("desk", now, 8), ShouldBeFalse) })
		Convey("retries are allowed again after the window", func() { So(b.AllowRetry("model", now.Add(2*window), 1), ShouldBeTrue) })
	})
}

// TestEveryWindow checks the bound in all windows of random histories, not only in windows aligned to buckets.
func TestEveryWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := retrybudget.Limits{Window: window, Ratio: 0.2, Slack: 20}
		b := retrybudget.New(limits)
		now := time.Unix(1000, 0)
		var requests, retries []time.Time
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "request") {
				b.RecordRequest("model", now)
				requests = append(requests, now)
			} else if b.AllowRetry("model", now, 1) {
				retries = append(retries, now)
			}
		}
		for _, end := range retries {
			countInWindow := func(list []time.Time) (n int) {
				for _, at := range list {
					if at.After(end.Add(-window)) && !at.After(end) {
						n++
					}
				}
				return n
			}
			if got, bound := float64(countInWindow(retries)), limits.Ratio*float64(countInWindow(requests))+limits.Slack; got > bound {
				t.Fatalf("%v retries in the window ending at %v, bound %v", got, end, bound)
			}
		}
	})
}
