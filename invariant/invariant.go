// Package invariant provides checks that stop the process with a panic when an invariant of the program is violated.
// The checks are compiled into every build.
package invariant

import (
	"fmt"
	"sync/atomic"
)

// Violation is the value that a failed check panics with.
type Violation struct {
	// Component is the component whose invariant was violated.
	Component string
	// Text describes the violated invariant, with the values.
	Text string
}

// Error implements error.
func (v Violation) Error() string {
	return fmt.Sprintf("invariant violated in %s: %s", v.Component, v.Text)
}

var checks atomic.Uint64

// Check panics with a Violation unless ok is true. The message is formatted only on failure.
func Check(ok bool, component, format string, args ...any) {
	checks.Add(1)
	if !ok {
		panic(Violation{Component: component, Text: fmt.Sprintf(format, args...)})
	}
}

// CheckCount returns the number of checks that have run in this process.
func CheckCount() uint64 { return checks.Load() }
