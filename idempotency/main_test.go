package idempotency

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets the seed and the length of the randomized tests, so that every run has the same result.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20", "rapid.steps": "40", "rapid.checks": "20"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
