package members

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against exchanges at an unbounded rate while endpoints lose connections continuously, and against an exchange that waits
// longer than the bound requires.
func TestExchangeLimitBoundsEveryPeriod(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		interval := time.Duration(rapid.IntRange(1, 1000).Draw(t, "interval")) * time.Millisecond
		burst := rapid.IntRange(1, 50).Draw(t, "burst")
		limit, now := newExchangeLimit(interval, burst), time.Unix(1_800_000_000, 0)
		var taken []time.Time
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "pause")) * time.Millisecond)
			delay := limit.delay(now)
			// The bucket calculates in floating point numbers: its delays are right but for some nanoseconds.
			if delay > interval+time.Microsecond {
				t.Fatalf("an exchange has to wait %s, the interval is %s", delay, interval)
			}
			allowed := limit.take(now)
			if delay == 0 && !allowed || delay > time.Microsecond && allowed {
				t.Fatalf("an exchange with a delay of %s: allowed %t", delay, allowed)
			}
			if !allowed {
				now = now.Add(delay + time.Microsecond)
				if !limit.take(now) {
					t.Fatalf("no exchange is allowed after its delay of %s", delay)
				}
			}
			taken = append(taken, now)
		}
		for first := range taken {
			for last := first; last < len(taken); last++ {
				gained := float64(taken[last].Sub(taken[first])) / float64(interval)
				if got := last - first + 1; float64(got) > float64(burst)+gained+0.001 {
					t.Fatalf("%d exchanges in %s; the burst is %d, the interval %s", got, taken[last].Sub(taken[first]), burst, interval)
				}
			}
		}
	})
}

// Guards against more exchanges than the bound because some of them cannot wait.
func TestForcedExchangesDelayOthers(t *testing.T) {
	limit, now := newExchangeLimit(100*time.Millisecond, 2), time.Unix(1_800_000_000, 0)
	limit.force(now)
	if !limit.take(now) || limit.take(now) {
		t.Fatal("a forced exchange has to use up one of two")
	}
	limit.force(now)
	if delay := limit.delay(now); delay < 199*time.Millisecond || delay > 201*time.Millisecond {
		t.Fatalf("after a forced exchange of an empty bucket, the next one has to wait %s, expected 200ms", delay)
	}
}
