package claim

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets the seed and the length of the randomized tests, so that every run has the same result.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20", "rapid.steps": "120", "rapid.checks": "200"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
