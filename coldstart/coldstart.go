// Package coldstart finds out from the entries of service discovery which endpoints are cold: those whose entries say so, and those that
// are new, until it is known. Endpoints that return after a crash or an evacuation handle only a low
// rate of requests at first; endpointlimit divides that rate among the instances.
//
// The package is pure: callers pass the current time. A Tracker is not safe for concurrent use.
package coldstart

import (
	"time"

	"pumiceshelf/endpointlimit"
	"pumiceshelf/registry"
)

// processMemory is how long the process of an endpoint without an entry is remembered. Entries that expired in an outage of the store
// come back with it, which lasts 9 s at most on the platform, and do not make an endpoint new.
const processMemory = 2 * time.Minute

// Tracker remembers the processes that entries described.
type Tracker struct {
	// listed is set once there was a complete listing. Endpoints that appear later are new.
	listed bool
	known  map[string]process
}

type process struct {
	endpoint registry.Endpoint
	seenAt   time.Time
}

// New returns a Tracker before the first listing.
func New() *Tracker { return &Tracker{known: make(map[string]process)} }

// Update takes in all current entries, and returns what they say about cold endpoints. coldStart returns how long an endpoint of a
// service is cold after its start, or zero if it never is. A new process counts as cold for so long unless its entry says how long: an
// entry without a time, or with zero, may have been written before the endpoint knew.
func (t *Tracker) Update(entries []registry.Endpoint, coldStart func(service string) time.Duration, now time.Time) (out []endpointlimit.ColdStatement) {
	for _, e := range entries {
		before, ok := t.known[e.ID]
		same := ok && before.endpoint.SameProcess(e)
		switch {
		case e.ColdLeft > 0 && (!same || e.Version != before.endpoint.Version):
			out = append(out, endpointlimit.ColdStatement{Endpoint: e, Left: e.ColdLeft})
		case !same && t.listed:
			out = append(out, Assumed([]registry.Endpoint{e}, coldStart)...)
		}
		t.known[e.ID] = process{endpoint: e, seenAt: now}
	}
	t.listed = true
	for id, p := range t.known {
		if now.Sub(p.seenAt) > processMemory {
			delete(t.known, id)
		}
	}
	return out
}

// Assumed returns statements that endpoints are cold of which it is not known: new ones, and those of a failure domain whose evacuation ended,
// which operators may have started again meanwhile.
func Assumed(endpoints []registry.Endpoint, coldStart func(service string) time.Duration) (out []endpointlimit.ColdStatement) {
	for _, e := range endpoints {
		if left := coldStart(e.Service); left > 0 {
			out = append(out, endpointlimit.ColdStatement{Endpoint: e, Left: left, Assumed: true})
		}
	}
	return out
}
