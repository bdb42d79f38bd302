// Package reach finds out whether this instance has lost its paths to the endpoints of a service, so that its requests are
// better served by another instance.
//
// A service counts as out of reach once connecting to several of its endpoints failed, or to its only one, and no connection to
// any of them was established since. Whether the paths are lost or the endpoints have ended makes no difference here: if another
// instance reaches one, it can serve the requests. An endpoint that was listed after the first failure has not been tried, so
// that it ends this state until connecting to it fails as well.
//
// The package is pure: callers pass the current time. A Tracker is safe for concurrent use.
package reach

import (
	"sync"
	"sync/atomic"
	"time"

	"pumiceshelf/registry"
)

const (
	// minFailed is the number of endpoints of a service that must have failed.
	minFailed = 2
	// failureMemory is how long a failure counts. A service out of reach is probed more often.
	failureMemory = 3 * time.Second
)

// Change is the time at which a service gets out of reach or back into it.
type Change struct {
	Service string
	Lost    bool
	// Failed is the number of endpoints to which connecting failed.
	Failed int
	// Lasted is how long the service was out of reach. It is zero if Lost is set.
	Lasted time.Duration
}

// Tracker records how connecting to endpoints ends.
type Tracker struct {
	onChange func(Change)
	// failing is set while some service has failures, so that the path of requests usually takes no lock.
	failing  atomic.Bool
	mu       sync.Mutex
	services map[string]*service
}

// service holds the failures since a connection to any endpoint of a service was last established.
type service struct {
	failures map[string]failure
	// known holds the endpoint processes that were listed when the failures were first counted, or were listed later and failed.
	known map[string]registry.Endpoint
	// lostAt is when the service got out of reach, zero if it is in reach.
	lostAt time.Time
	// probes counts the endpoints returned by Next.
	probes int
}

type failure struct {
	endpoint registry.Endpoint
	at       time.Time
}

// New returns a Tracker without failures. onChange is called for each change and must not call the Tracker. It may be nil.
func New(onChange func(Change)) *Tracker {
	return &Tracker{onChange: onChange, services: make(map[string]*service)}
}

// Failed records that connecting to an endpoint failed, or that it no longer acknowledges what was sent to it.
func (t *Tracker) Failed(e registry.Endpoint, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.services[e.Service]
	if s == nil {
		s = &service{failures: make(map[string]failure)}
		t.services[e.Service] = s
	}
	s.failures[e.ID] = failure{endpoint: e, at: now}
	if s.known != nil {
		s.known[e.ID] = e
	}
	t.failing.Store(true)
}

// Connected records that a connection to an endpoint was established.
func (t *Tracker) Connected(e registry.Endpoint, now time.Time) {
	if !t.failing.Load() {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.forget(e.Service, now)
}

// forget drops the failures of a service.
func (t *Tracker) forget(name string, now time.Time) {
	s := t.services[name]
	if s == nil {
		return
	}
	delete(t.services, name)
	t.failing.Store(len(t.services) > 0)
	t.setLost(name, s, false, now)
}

func (t *Tracker) setLost(name string, s *service, lost bool, now time.Time) {
	if lost == !s.lostAt.IsZero() {
		return
	}
	c := Change{Service: name, Lost: lost, Failed: len(s.failures)}
	if lost {
		s.lostAt = now
	} else {
		c.Lasted, s.lostAt = now.Sub(s.lostAt), time.Time{}
	}
	if t.onChange != nil {
		t.onChange(c)
	}
}

// OutOfReach reports whether a service is out of reach, given the endpoints that are listed now.
func (t *Tracker) OutOfReach(name string, listed []registry.Endpoint, now time.Time) bool {
	if !t.failing.Load() {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.services[name]
	if s == nil {
		return false
	}
	for id, f := range s.failures {
		if now.Sub(f.at) > failureMemory {
			delete(s.failures, id)
		}
	}
	if len(s.failures) == 0 || len(listed) == 0 {
		t.forget(name, now)
		return false
	}
	lost := s.countFailed(listed) >= min(minFailed, len(listed)) && !s.hasUntried(listed)
	t.setLost(name, s, lost, now)
	return lost
}

// countFailed returns the number of listed endpoints that failed.
func (s *service) countFailed(listed []registry.Endpoint) (n int) {
	for _, e := range listed {
		if f, ok := s.failures[e.ID]; ok && f.endpoint.SameProcess(e) {
			n++
		}
	}
	return n
}

// hasUntried reports whether an endpoint was listed after the failures were first counted, and has not failed.
func (s *service) hasUntried(listed []registry.Endpoint) bool {
	if s.known == nil {
		s.known = make(map[string]registry.Endpoint)
		for _, e := range listed {
			s.known[e.ID] = e
		}
	}
	for _, e := range listed {
		if known, ok := s.known[e.ID]; !ok || !known.SameProcess(e) {
			return true
		}
	}
	return false
}

// Lost returns the services that were out of reach when they were last asked for.
func (t *Tracker) Lost() (names []string) {
	if !t.failing.Load() {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for name, s := range t.services {
		if !s.lostAt.IsZero() {
			names = append(names, name)
		}
	}
	return names
}

// Next returns the endpoint to connect to next to find out whether a service is back in reach: each in turn.
func (t *Tracker) Next(name string, listed []registry.Endpoint) (registry.Endpoint, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.services[name]
	if s == nil || len(listed) == 0 {
		return registry.Endpoint{}, false
	}
	s.probes++
	return listed[s.probes%len(listed)], true
}
