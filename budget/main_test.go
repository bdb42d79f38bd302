package budget_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets the seed and the length of the randomized tests unless flags set them, so that every run has the same
// result.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20261203", "rapid.steps": "250", "rapid.checks": "4000", "rapid.nofailfile": "true"} {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}
