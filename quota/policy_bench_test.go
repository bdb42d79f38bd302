package quota

import (
	"fmt"
	"testing"
	"time"

	"pumiceshelf/budget"
	"pumiceshelf/internal/standin"
)

// BenchmarkPolicies reports, on a simulated clock with two requests of 500 tokens (bound 1000) a second and a budget that
// holds twice what a lease is sized for: requests refused in ten minutes without the platform, platform calls a minute in
// ordinary service, and after a crash of the holder the seconds until what is not parked is free, and the tokens
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

func policyFleet(b *testing.B, p Policy) (*fleet, *node) {
	f := newFleet(b, 4_000_000)
	f.policy = p
	for i := range 3 {
		f.start("d1", fmt.Sprint("a", i))
	}
	entry := f.other("d1")
	f.serve(entry, "before", 5*time.Minute)
	return f, entry
}

func outage(b *testing.B, p Policy) {
	f, entry := policyFleet(b, p)
	before := f.objects.Calls()
	f.serve(entry, "ordinary", time.Minute)
	after := f.objects.Calls()
	b.ReportMetric(float64(after.Reads+after.Writes-before.Reads-before.Writes), "calls/min")
	f.objects.SetFaults(standin.Faults{Unavailable: true})
	b.ReportMetric(float64(f.serve(entry, "during", 10*time.Minute)), "refused")
}

func crash(b *testing.B, p Policy) {
	f, entry := policyFleet(b, p)
	f.reserve(entry, "open", 1000)
	f.kill(f.holder("d1"))
	seconds := 0
	for f.report().Closed == nil && seconds < 600 {
		f.steps(time.Second)
		seconds++
	}
	b.ReportMetric(float64(f.report().Parked), "parked-at-once")
	f.steps(2 * time.Minute)
	b.ReportMetric(float64(seconds), "s-to-free")
	b.ReportMetric(float64(f.report().Parked), "parked-tokens")
}

// BenchmarkLease is the pure part of a reservation and its settlement.
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
