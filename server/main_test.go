package server

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of randomised tests, so that the verdict is the same in every run.
func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "20261203")
	_ = flag.Set("rapid.checks", "60")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}
