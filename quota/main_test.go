package quota

import (
	"flag"
	"os"
	"testing"

	"go.uber.org/goleak"
)

// TestMain fixes the seed of the randomized tests, so that their result is the same in every run, and checks for leaked
// goroutines.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20261203", "rapid.checks": "12", "rapid.nofailfile": "true"} {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			_ = flag.Set(name, value)
		}
	}
	code := m.Run()
	if code == 0 {
		if err := goleak.Find(); err != nil {
			_, _ = os.Stderr.WriteString(err.Error())
			code = 1
		}
	}
	os.Exit(code)
}
