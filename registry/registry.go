// Package registry keeps the endpoints that the platform's service discovery lists. It turns listings and changes, which
// may be late, have gaps or lapse while the store is away, into the set of endpoints that may get new requests.
//
// The package is pure: it reads no clock and does no I/O. A Set is not safe for concurrent use; a View is immutable.
package registry

import (
	"maps"
	"strings"
	"time"

	"pumiceshelf/objectstore"
)

// lapseGrace is how long after the store's return a missing entry may still come back: endpoints register again within
// about two seconds (the platform's promise). It is shorter than that, so that an endpoint that left meanwhile gets no
// new request later than the bound on leaving endpoints.
const lapseGrace = 1800 * time.Millisecond

// Endpoint is one process that serves requests of a service.
type Endpoint struct {
	// ID names the endpoint; a process that starts again may keep it.
	ID      string
	Service string
	// Address is an IP address and port.
	Address string
	Domain  string
	Slots   int
	// Leaving endpoints get no new requests.
	Leaving bool
	// Started is when the process started, in Unix milliseconds; zero when it does not say.
	Started int64
	// Revision is the store's version of the entry.
	Revision objectstore.Version
}

// Same says whether both are the same process.
func (e Endpoint) Same(o Endpoint) bool {
	return e.ID == o.ID && e.Address == o.Address && e.Service == o.Service && e.Started == o.Started
}

// View is the endpoints that may get new requests, by service. It is immutable.
type View struct {
	Revision objectstore.Revision
	services map[string][]Endpoint
	// lapsed are endpoints whose entries are missing, which may still get requests until a time.
	lapsed map[string][]lapsed
}

// Endpoints returns those of a service that may get requests at a time. The caller must not change the slice.
func (v *View) Endpoints(service string, now time.Time) []Endpoint {
	if v == nil {
		return nil
	}
	listed := v.services[service]
	if len(v.lapsed[service]) == 0 {
		return listed
	}
	out := append([]Endpoint(nil), listed...)
	for _, l := range v.lapsed[service] {
		if now.Before(l.until) {
			out = append(out, l.endpoint)
		}
	}
	return out
}

// Services returns how many endpoints each service has.
func (v *View) Services() map[string]int {
	out := make(map[string]int)
	for s, list := range v.services {
		out[s] += len(list)
	}
	for s, list := range v.lapsed {
		out[s] += len(list)
	}
	return out
}

// Set is the state of the registry.
type Set struct {
	revision objectstore.Revision
	entries  map[string]Endpoint
	// lapsed holds entries that vanished while the store was away, with the time at which they are given up.
	lapsed map[string]lapsed
	// graceUntil is when entries that vanish stop being kept; zero while the store has been steady.
	graceUntil time.Time
	away       bool
}

type lapsed struct {
	endpoint Endpoint
	until    time.Time
}

// NewSet returns an empty set.
func NewSet() *Set {
	return &Set{entries: make(map[string]Endpoint), lapsed: make(map[string]lapsed)}
}

// Revision returns the store's revision up to which the set knows the entries.
func (s *Set) Revision() objectstore.Revision { return s.revision }

// StoreAway notes that the store does not answer.
func (s *Set) StoreAway() { s.away = true }

// StoreBack notes that the store answers. It returns true if it was away before.
func (s *Set) StoreBack(now time.Time) bool {
	if !s.away {
		return false
	}
	s.away = false
	s.graceUntil = now.Add(lapseGrace)
	return true
}

// Replace takes in a whole listing. One older than what is known changes nothing.
func (s *Set) Replace(now time.Time, list []Endpoint, revision objectstore.Revision) {
	if revision < s.revision {
		return
	}
	old := s.entries
	s.entries = make(map[string]Endpoint, len(list))
	for _, e := range list {
		s.put(e)
	}
	for id, e := range old {
		if _, ok := s.entries[id]; !ok {
			s.vanish(now, e)
		}
	}
	s.revision = revision
}

// Put takes in a new or changed entry.
func (s *Set) Put(e Endpoint) {
	if known, ok := s.entries[e.ID]; ok && known.Revision > e.Revision {
		return
	}
	s.put(e)
}

func (s *Set) put(e Endpoint) {
	s.entries[e.ID] = e
	delete(s.lapsed, e.ID)
}

// Remove takes in that an entry is gone.
func (s *Set) Remove(now time.Time, id string) {
	e, ok := s.entries[id]
	if !ok {
		return
	}
	delete(s.entries, id)
	s.vanish(now, e)
}

// vanish keeps the endpoint for a while if its entry may only have lapsed with the store.
func (s *Set) vanish(now time.Time, e Endpoint) {
	if !e.Leaving && now.Before(s.graceUntil) {
		s.lapsed[e.ID] = lapsed{endpoint: e, until: s.graceUntil}
	}
}

// Advance notes that all changes up to a revision are known.
func (s *Set) Advance(revision objectstore.Revision) { s.revision = max(s.revision, revision) }

// Expire gives up entries that lapsed and did not come back. It returns true if there were any.
func (s *Set) Expire(now time.Time) bool {
	before := len(s.lapsed)
	maps.DeleteFunc(s.lapsed, func(_ string, l lapsed) bool { return !now.Before(l.until) })
	return len(s.lapsed) != before
}

// View returns the endpoints that may get new requests.
func (s *Set) View() *View {
	v := &View{Revision: s.revision, services: make(map[string][]Endpoint), lapsed: make(map[string][]lapsed)}
	for _, e := range s.entries {
		if !e.Leaving {
			v.services[e.Service] = append(v.services[e.Service], e)
		}
	}
	for _, l := range s.lapsed {
		v.lapsed[l.endpoint.Service] = append(v.lapsed[l.endpoint.Service], l)
	}
	return v
}

// Lapsed returns how many endpoints are kept though their entries are missing.
func (s *Set) Lapsed() int { return len(s.lapsed) }

// Known says whether an endpoint is listed or kept.
func (s *Set) Known(id string) bool {
	_, listed := s.entries[id]
	_, kept := s.lapsed[id]
	return listed || kept
}

// Drop takes in that an entry no longer names an endpoint.
func (s *Set) Drop(id string) {
	delete(s.entries, id)
	delete(s.lapsed, id)
}

// ID returns the endpoint that an entry is about.
func ID(obj objectstore.Object) string {
	_, id, _ := strings.Cut(obj.Key, "/")
	return id
}
