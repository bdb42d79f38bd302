// Package instance defines the identifiers of incarnations and failure domains.
package instance

import (
	"strings"

	"github.com/google/uuid"
)

// Domain is the name of a failure domain.
type Domain string

// Incarnation identifies one process start of an instance. It is never reused,
// so obligations of one incarnation do not apply to another.
type Incarnation string

// incarnationSeparator separates the instance's name from the unique identifier of the process start.
const incarnationSeparator = "~"

// NewIncarnation returns a new unique incarnation of the named instance.
func NewIncarnation(name string) Incarnation {
	return Incarnation(name + incarnationSeparator + uuid.NewString())
}

// Name returns the name of the incarnation's instance.
func (i Incarnation) Name() string {
	name, _, _ := strings.Cut(string(i), incarnationSeparator)
	return name
}
