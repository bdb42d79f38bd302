package server

import (
	"flag"
	"testing"

	"go.uber.org/goleak"
)

// TestMain fixes the seed of randomized tests, so that every run tests the same inputs, and checks that no goroutines
// leak.
func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "20261203")
	_ = flag.Set("rapid.checks", "60")
	_ = flag.Set("rapid.nofailfile", "true")
	// The metrics library keeps one goroutine for the whole process.
	goleak.VerifyTestMain(m, goleak.IgnoreTopFunction("github.com/rcrowley/go-metrics.(*meterArbiter).tick"))
}
