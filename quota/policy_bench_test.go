package quota

import (
	"fmt"
	"testing"
	"time"

	"pumiceshelf/budget"
	"pumiceshelf/internal/standin"
)

// BenchmarkPolicies runs on a simulated clock with two requests per second of 500 tokens each (bound 1000) and a budget of
// twice the size of a lease. It reports the requests refused in a store outage of ten minutes, the store calls per minute
// in normal service, the seconds after a crash of the holder until all tokens that are not parked are free, and the tokens
// parked then and two minutes later.
func BenchmarkPolicies(b *testing.B) {
	for _, p := range []Policy{PolicySealed, PolicySmall, PolicyWriteOff} {
		b.Run(string(p), func(b *testing.B) {
			for b.Loop() {
				outage(b, p)
				crash(b, p)
			}
		})
	}
}

func newPolicyFleet(b *testing.B, p Policy) (*fleet, *node) {
	f := newFleet(b, 4_000_000)
	f.policy = p
	for i := range 3 {
		f.start("d1", fmt.Sprint("a", i))
	}
	entry := f.nonHolder("d1")
	f.runDemand(entry, "before", 5*time.Minute)
	return f, entry
}

func outage(b *testing.B, p Policy) {
	f, entry := newPolicyFleet(b, p)
	before := f.store.Calls()
	f.runDemand(entry, "ordinary", time.Minute)
	after := f.store.Calls()
	b.ReportMetric(float64(after.Reads+after.Writes-before.Reads-before.Writes), "calls/min")
	f.store.SetFaults(standin.Faults{Unavailable: true})
	b.ReportMetric(float64(f.runDemand(entry, "during", 10*time.Minute)), "refused")
}

func crash(b *testing.B, p Policy) {
	f, entry := newPolicyFleet(b, p)
	f.reserve(entry, "open", 1000)
	f.kill(f.holder("d1"))
	seconds := 0
	for f.report().Closed == nil && seconds < 600 {
		f.advance(time.Second)
		seconds++
	}
	b.ReportMetric(float64(f.report().Parked), "parked-at-once")
	f.advance(2 * time.Minute)
	b.ReportMetric(float64(seconds), "s-to-free")
	b.ReportMetric(float64(f.report().Parked), "parked-tokens")
}

// BenchmarkLease measures a reservation and its settlement in package budget alone, without I/O.
func BenchmarkLease(b *testing.B) {
	l := budget.NewLease("l")
	l.Observe(1, leaseOf(1<<60))
	a := budget.Attempt{Incarnation: "e", Number: 1}
	b.ReportAllocs()
	for b.Loop() {
		l.Reserve("r", a, 1000, "m", 0)
		l.Settle("r", a, 1)
	}
}
