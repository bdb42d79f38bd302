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
	Convey("repeats are a share of the requests and a few", t, func() {
		b := retrybudget.New(retrybudget.Limits{Window: window, Ratio: 0.2, Slack: 10})
		now := time.Unix(1000, 0)
		for range 100 {
			b.Request("model", now)
		}
		allowed := 0
		for b.Repeat("model", now, 1) {
			allowed++
		}
		So(allowed, ShouldBeBetween, 15, 30)
		So(b.Repeat("model", now.Add(window/2), 1), ShouldBeFalse)
		Convey("each service has its own", func() { So(b.Repeat("desk", now, 1), ShouldBeTrue) })
		Convey("more instances have less each", func() { So(b.Repeat("desk", now, 8), ShouldBeFalse) })
		Convey("and they come back with time", func() { So(b.Repeat("model", now.Add(2*window), 1), ShouldBeTrue) })
	})
}

// TestEveryWindow checks the bound in all windows of random histories, not only in those that begin with a bucket.
func TestEveryWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := retrybudget.Limits{Window: window, Ratio: 0.2, Slack: 20}
		b := retrybudget.New(limits)
		now := time.Unix(1000, 0)
		var requests, repeats []time.Time
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "request") {
				b.Request("model", now)
				requests = append(requests, now)
			} else if b.Repeat("model", now, 1) {
				repeats = append(repeats, now)
			}
		}
		for _, end := range repeats {
			in := func(list []time.Time) (n int) {
				for _, at := range list {
					if at.After(end.Add(-window)) && !at.After(end) {
						n++
					}
				}
				return n
			}
			if got, bound := float64(in(repeats)), limits.Ratio*float64(in(requests))+limits.Slack; got > bound {
				t.Fatalf("%v repeats in the window that ends at %v, bound %v", got, end, bound)
			}
		}
	})
}
