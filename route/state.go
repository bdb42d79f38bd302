// Package route chooses the endpoint of a request: prefix affinity with bounded load, limits, ejection and the retry
// budget.
//
// The logic is pure: now and random numbers come in as arguments. balancer.go and poll.go are the shell around it.
// A choice reads an immutable table and atomics; it takes no lock and allocates nothing.
package route

import (
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"pumiceshelf/bundle"
	"pumiceshelf/instance"
	"pumiceshelf/invariant"
)

// state is what this instance knows of one endpoint. It outlives the tables that name it.
type state struct {
	id     string
	domain instance.Domain
	// seed is the hash of the id.
	seed uint64

	inFlight atomic.Int64
	// leaving says that some source says so.
	leaving atomic.Bool
	// report is the last load report, nil before the first.
	report atomic.Pointer[report]
	limit  limiter
	pace   pace
	health health
}

func newState(e *bundle.Endpoint, initial uint32) *state {
	s := &state{id: e.ID, domain: e.Domain, seed: xxhash.Sum64String(e.ID)}
	s.limit.init(e.Concurrency, initial)
	return s
}

// sharers says how many instances share an endpoint, and this one's place among them.
type sharers struct {
	count int
	rank  int
}

// portion splits n over the sharers exactly: the portions of all ranks sum to n. Endpoints start at different ranks so
// that what does not divide falls to different instances.
func (s sharers) portion(n int, seed uint64) int {
	if n <= 0 {
		return 0
	}
	rank := (uint64(s.rank) + seed) % uint64(s.count)
	return (n + int(rank)) / s.count
}

// room returns how many requests this instance may have in flight at the endpoint. At an endpoint of its own domain it
// has its share of the limit, at least one, and may borrow its portion of the places that the last report showed free.
// Elsewhere it has only what it may borrow, and while its own domain works, only on a report that shows its busy period.
// An endpoint that has just answered that it has no room has none.
func (s *state) room(now time.Time, sd *side, ownWorks bool) int64 {
	if s.health.rests(now) {
		return 0
	}
	limit := s.limit.get()
	r := s.report.Load()
	fresh := r.fresh(now)
	if !sd.own && ownWorks && !(fresh && sd.busy.shown(r)) {
		return 0
	}
	portion := int64(sd.sharers.portion(limit, s.seed))
	if sd.own {
		portion = max(1, portion)
	}
	if !fresh {
		return portion
	}
	borrowed := r.own + int64(sd.sharers.portion(limit-int(r.total), s.seed))
	if sd.own {
		return max(portion, borrowed)
	}
	return borrowed
}

// load returns the estimated requests at the endpoint over its limit, in thousandths: the last report corrected by this
// instance's dispatches since. A report never lowers it below what this instance itself has in flight, and failures in
// a row and a pace slower than the median raise it, so that an endpoint that fails fast or lies does not look idle. A
// recovering endpoint with nothing in flight has none, so that a request tries it.
func (s *state) load(now time.Time, sd *side) int64 {
	own := s.inFlight.Load()
	if own == 0 && s.health.recovering() {
		return 0
	}
	estimate := own * int64(sd.sharers.count)
	if r := s.report.Load(); r.fresh(now) {
		estimate = max(own, r.total+own-r.own)
	}
	penalty := 1 + s.health.failures.Load()
	return (estimate + 1) * penalty * 10 * s.pace.slowness(sd.pace.Load()) / int64(s.limit.get())
}

// usable says whether the endpoint may be given new work.
func (s *state) usable(now time.Time) bool {
	return !s.leaving.Load() && !s.health.ejected(now)
}

// take counts a request in flight unless the endpoint has no room.
func (s *state) take(room int64) bool {
	for {
		n := s.inFlight.Load()
		if n >= room {
			return false
		}
		if s.inFlight.CompareAndSwap(n, n+1) {
			return true
		}
	}
}

// give counts a request that has left the endpoint.
func (s *state) give() int64 {
	n := s.inFlight.Add(-1)
	if n < 0 {
		// The arguments of a check that holds would be allocated for each request.
		invariant.Check(false, "route", "%d requests in flight at %s", n, s.id)
	}
	return n
}
