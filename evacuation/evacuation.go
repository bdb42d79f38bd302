// Package evacuation tracks the failure domains that operators have asked to empty: no request may be sent to their endpoints until
// the operators take that back. The endpoints of an evacuated domain are only left out of the choice: its requests are placed in the other
// domains like any others, also if these become overloaded.
//
// The package is pure: it reads no clock and does no I/O. A Set is not safe for concurrent use.
package evacuation

import (
	"maps"
	"slices"

	"pumiceshelf/objectstore"
)

// Change is the begin or the end of an evacuation.
type Change struct {
	Domain string
	// Begun is false if the evacuation has ended.
	Begun bool
	// Revision is that of the store at which the change became known.
	Revision objectstore.Revision
}

// Set holds the evacuated failure domains.
type Set struct{ domains map[string]bool }

// NewSet returns a set without evacuations.
func NewSet() *Set { return &Set{domains: make(map[string]bool)} }

// Domains returns the evacuated domains in order.
func (s *Set) Domains() []string { return slices.Sorted(maps.Keys(s.domains)) }

// Replace applies a complete listing and returns what it changes.
func (s *Set) Replace(domains []string, revision objectstore.Revision) (changes []Change) {
	for _, domain := range s.Domains() {
		if !slices.Contains(domains, domain) {
			changes = append(changes, s.Remove(domain, revision)...)
		}
	}
	for _, domain := range domains {
		changes = append(changes, s.Put(domain, revision)...)
	}
	return changes
}

// Put applies an object that was written, and returns what it changes. Changes are applied in the order of their revisions.
func (s *Set) Put(domain string, revision objectstore.Revision) []Change {
	if s.domains[domain] {
		return nil
	}
	s.domains[domain] = true
	return []Change{{Domain: domain, Begun: true, Revision: revision}}
}

// Remove applies the deletion of an object, and returns what it changes.
func (s *Set) Remove(domain string, revision objectstore.Revision) []Change {
	if !s.domains[domain] {
		return nil
	}
	delete(s.domains, domain)
	return []Change{{Domain: domain, Revision: revision}}
}
