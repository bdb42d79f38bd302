// Package origin remembers which software version of an endpoint began a stream, so that the stream goes on only at that
// version.
//
// The package is pure: callers pass the current time. A Store is safe for concurrent use.
package origin

import (
	"sync"
	"time"
)

const (
	// retention is how long an origin is kept: longer than a stream may take with all resumptions of its caller.
	retention = time.Minute
	// maxOrigins bounds the origins that one instance keeps.
	maxOrigins = 20_000
)

// Origin is the service and the software version of the endpoint that sent the first event of a stream.
type Origin struct {
	// Attempt is the ID of the caller's attempt that received the first event.
	Attempt string
	Service string
	Version string
}

// Search is the result of a search for an origin on several instances.
type Search struct {
	Origin Origin
	Found  bool
	// Versions are the software versions that the service had lately, as far as the instances that responded know them.
	// VersionsComplete is set if they cover a time that is longer than any stream.
	Versions         []string
	VersionsComplete bool
}

// Store holds the origins of recent streams.
type Store struct {
	mu      sync.Mutex
	entries map[string]entry
	// order holds the attempts from the oldest entry on; attempts that were put again occur several times.
	order []queued
}

type entry struct {
	origin Origin
	at     time.Time
}

type queued struct {
	attempt string
	at      time.Time
}

// NewStore returns an empty store.
func NewStore() *Store { return &Store{entries: make(map[string]entry)} }

// Put stores an origin and deletes the oldest ones beyond the bounds.
func (s *Store) Put(o Origin, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entries[o.Attempt] = entry{origin: o, at: now}
	s.order = append(s.order, queued{attempt: o.Attempt, at: now})
	for len(s.order) > 0 && (len(s.order) > maxOrigins || now.Sub(s.order[0].at) >= retention) {
		if first := s.order[0]; s.entries[first.attempt].at.Equal(first.at) {
			delete(s.entries, first.attempt)
		}
		s.order = s.order[1:]
	}
}

// Get returns the origin of the stream that an attempt began.
func (s *Store) Get(attempt string, now time.Time) (Origin, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.entries[attempt]
	return e.origin, ok && now.Sub(e.at) < retention
}
