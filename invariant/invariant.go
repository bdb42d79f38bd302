// Package invariant holds the checks that stop the process when a promise of the program is broken.
// The checks are compiled into every build.
package invariant

import (
	"fmt"
	"sync/atomic"
)

// Violation is the value that a failed check panics with.
type Violation struct {
	// Part is the package whose invariant failed.
	Part string
	// Text says which invariant failed and with what values.
	Text string
}

// Error implements error.
func (v Violation) Error() string {
	return fmt.Sprintf("invariant broken in %s: %s", v.Part, v.Text)
}

var checks atomic.Uint64

// Check panics with a Violation unless ok holds. The arguments after format are formatted only on failure.
func Check(ok bool, part, format string, args ...any) {
	checks.Add(1)
	if !ok {
		panic(Violation{Part: part, Text: fmt.Sprintf(format, args...)})
	}
}

// Checks returns how many checks have run in this process.
func Checks() uint64 { return checks.Load() }
