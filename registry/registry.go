// Package registry tracks the endpoints listed by the platform's service discovery. It derives the set of endpoints
// that may get new requests from listings and changes, which may be late or incomplete; entries may also expire during
// an outage of the store.
//
// The package is pure: it reads no clock and does no I/O. A Set is not safe for concurrent use; a View is immutable.
package registry

import (
	"maps"
	"slices"
	"strings"
	"time"

	"pumiceshelf/objectstore"
)

// missingEntryGrace is how long endpoints without an entry are retained after the store becomes available again. The
// platform guarantees that endpoints register again within about two seconds. The grace period is shorter, so that an
// endpoint that was shut down during the outage gets no new request later than the bound for draining endpoints allows.
const missingEntryGrace = 1800 * time.Millisecond

// Endpoint is one process that serves requests of a service.
type Endpoint struct {
	// ID identifies the endpoint; a restarted process may reuse it.
	ID      string
	Service string
	// Address is an IP address and port.
	Address string
	// Domain is the failure domain of the endpoint.
	Domain string
	// Slots is how many requests the endpoint runs at once.
	Slots int
	// Draining endpoints get no new requests.
	Draining bool
	// StartedUnixMilli is when the process started, in Unix milliseconds; zero if unknown.
	StartedUnixMilli int64
	// SoftwareVersion is the version of the program that the endpoint runs. A stream of one version cannot go on at another.
	SoftwareVersion string
	// ColdLeft is the time for which the endpoint stays cold from the write of its entry on, as far as the entry says; zero if it
	// says nothing.
	ColdLeft time.Duration
	// Version is the object store's version of the entry.
	Version objectstore.Version
}

// SameProcess reports whether both endpoints are the same process.
func (e Endpoint) SameProcess(o Endpoint) bool {
	return e.ID == o.ID && e.Address == o.Address && e.Service == o.Service && e.StartedUnixMilli == o.StartedUnixMilli &&
		e.SoftwareVersion == o.SoftwareVersion
}

// View is an immutable snapshot of the endpoints that may get new requests, by service.
type View struct {
	Revision objectstore.Revision
	services map[string][]Endpoint
	// retained holds endpoints whose entries are missing but that may get requests for a limited time.
	retained map[string][]retainedEndpoint
	// evacuated holds the listed endpoints of each service that are left out because their failure domain is evacuated.
	evacuated map[string][]Endpoint
}

// Endpoints returns the endpoints of a service that may get requests at the given time. The caller must not modify the
// slice.
func (v *View) Endpoints(service string, now time.Time) []Endpoint {
	if v == nil {
		return nil
	}
	listed := v.services[service]
	if len(v.retained[service]) == 0 {
		return listed
	}
	out := append([]Endpoint(nil), listed...)
	for _, r := range v.retained[service] {
		if now.Before(r.until) {
			out = append(out, r.endpoint)
		}
	}
	return out
}

// Lists reports whether an endpoint with the ID and the address is listed and not draining. Those of evacuated domains are included:
// they still serve the streams in progress.
func (v *View) Lists(id, address string) bool {
	for _, services := range []map[string][]Endpoint{v.services, v.evacuated} {
		for _, list := range services {
			for _, e := range list {
				if e.ID == id && e.Address == address {
					return true
				}
			}
		}
	}
	return false
}

// AtAddress returns the listed endpoints with an address that are not draining, those of evacuated domains included.
func (v *View) AtAddress(address string) (out []Endpoint) {
	if v == nil {
		return nil
	}
	for _, services := range []map[string][]Endpoint{v.services, v.evacuated} {
		for _, list := range services {
			for _, e := range list {
				if e.Address == address {
					out = append(out, e)
				}
			}
		}
	}
	return out
}

// EndpointCounts returns the number of endpoints of each service.
func (v *View) EndpointCounts() map[string]int {
	out := make(map[string]int)
	for s, list := range v.services {
		out[s] += len(list)
	}
	for s, list := range v.retained {
		out[s] += len(list)
	}
	return out
}

// Set holds the current entries of the registry.
type Set struct {
	revision objectstore.Revision
	entries  map[string]Endpoint
	// retained holds endpoints, by ID, whose entries were found missing shortly after an outage of the store.
	retained map[string]retainedEndpoint
	// graceUntil is the time until which endpoints with missing entries are retained; zero before the first outage.
	graceUntil       time.Time
	storeUnavailable bool
}

// retainedEndpoint is an endpoint without an entry that may get requests until a time.
type retainedEndpoint struct {
	endpoint Endpoint
	until    time.Time
}

// NewSet returns an empty set.
func NewSet() *Set {
	return &Set{entries: make(map[string]Endpoint), retained: make(map[string]retainedEndpoint)}
}

// Revision returns the revision of the store up to which changes have been applied.
func (s *Set) Revision() objectstore.Revision { return s.revision }

// StoreUnavailable records that the store is unavailable.
func (s *Set) StoreUnavailable() { s.storeUnavailable = true }

// StoreAvailable records that the store is available. It returns true if it was unavailable before.
func (s *Set) StoreAvailable(now time.Time) bool {
	if !s.storeUnavailable {
		return false
	}
	s.storeUnavailable = false
	s.graceUntil = now.Add(missingEntryGrace)
	return true
}

// Replace applies a complete listing. It ignores listings older than the current revision.
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
			s.retainDuringGrace(now, e)
		}
	}
	s.revision = revision
}

// Put applies a new or changed entry. It ignores versions older than the current one.
func (s *Set) Put(e Endpoint) {
	if current, ok := s.entries[e.ID]; ok && current.Version > e.Version {
		return
	}
	s.put(e)
}

func (s *Set) put(e Endpoint) {
	s.entries[e.ID] = e
	delete(s.retained, e.ID)
}

// Remove applies the deletion of an entry.
func (s *Set) Remove(now time.Time, id string) {
	e, ok := s.entries[id]
	if !ok {
		return
	}
	delete(s.entries, id)
	s.retainDuringGrace(now, e)
}

// retainDuringGrace retains an endpoint whose entry may be missing only because it expired during an outage of the
// store.
func (s *Set) retainDuringGrace(now time.Time, e Endpoint) {
	if !e.Draining && now.Before(s.graceUntil) {
		s.retained[e.ID] = retainedEndpoint{endpoint: e, until: s.graceUntil}
	}
}

// Advance records that all changes up to a revision have been applied.
func (s *Set) Advance(revision objectstore.Revision) { s.revision = max(s.revision, revision) }

// RemoveExpired removes retained endpoints whose grace period has ended. It returns true if there were any.
func (s *Set) RemoveExpired(now time.Time) bool {
	before := len(s.retained)
	maps.DeleteFunc(s.retained, func(_ string, r retainedEndpoint) bool { return !now.Before(r.until) })
	return len(s.retained) != before
}

// View returns a snapshot of the endpoints that may get new requests.
func (s *Set) View() *View {
	v := &View{Revision: s.revision, services: make(map[string][]Endpoint), retained: make(map[string][]retainedEndpoint)}
	for _, e := range s.entries {
		if !e.Draining {
			v.services[e.Service] = append(v.services[e.Service], e)
		}
	}
	for _, r := range s.retained {
		v.retained[r.endpoint.Service] = append(v.retained[r.endpoint.Service], r)
	}
	return v
}

// RetainedCount returns how many endpoints are retained without an entry.
func (s *Set) RetainedCount() int { return len(s.retained) }

// Listed returns all endpoints with an entry, draining ones included.
func (s *Set) Listed() []Endpoint { return slices.Collect(maps.Values(s.entries)) }

// Contains reports whether an endpoint is listed or retained.
func (s *Set) Contains(id string) bool {
	_, listed := s.entries[id]
	_, isRetained := s.retained[id]
	return listed || isRetained
}

// RemoveInvalid removes an endpoint whose entry has become invalid, without a grace period.
func (s *Set) RemoveInvalid(id string) {
	delete(s.entries, id)
	delete(s.retained, id)
}

// EndpointID returns the ID of the endpoint that an entry describes.
func EndpointID(obj objectstore.Object) string {
	_, id, _ := strings.Cut(obj.Key, "/")
	return id
}
