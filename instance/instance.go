// Package instance names the machines of the fleet: instances, their incarnations and their failure domains.
package instance

import (
	"strings"

	"github.com/google/uuid"
)

// Domain is the name of a failure domain.
type Domain string

// Incarnation names one process start of an instance. It is never used again,
// so a promise made by one incarnation binds no other.
type Incarnation string

// incarnationSeparator stands between the name and the part unique to a start.
const incarnationSeparator = "~"

// NewIncarnation returns a fresh incarnation of the named instance.
func NewIncarnation(name string) Incarnation {
	return Incarnation(name + incarnationSeparator + uuid.NewString())
}

// Name returns the name of the instance that the incarnation belongs to.
func (i Incarnation) Name() string {
	name, _, _ := strings.Cut(string(i), incarnationSeparator)
	return name
}
