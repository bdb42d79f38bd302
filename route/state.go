// Package route chooses the endpoint of a request. It implements prefix affinity with bounded load, concurrency limits,
// ejection of failing endpoints and the retry budget.
//
// The logic is pure: callers pass the current time and random numbers. Clocks, goroutines and polling are in balancer.go,
// run.go, result.go and poll.go. A choice reads an immutable table and atomics; it takes no lock and allocates nothing.
package route

import (
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"pumiceshelf/bundle"
	"pumiceshelf/instance"
	"pumiceshelf/invariant"
)

// endpointState is the state of one endpoint as this instance sees it. Successive tables share it.
type endpointState struct {
	id     string
	domain instance.Domain
	// idHash is the hash of the ID, for rendezvous hashing.
	idHash uint64

	inFlight atomic.Int64
	// draining is set while any source reports the endpoint as draining.
	draining atomic.Bool
	// report is the last load report, nil before the first.
	report    atomic.Pointer[report]
	limit     limiter
	tokenTime tokenTime
	health    health
}

func newEndpointState(e *bundle.Endpoint, initial uint32) *endpointState {
	s := &endpointState{id: e.ID, domain: e.Domain, idHash: xxhash.Sum64String(e.ID)}
	s.limit.init(e.Concurrency, initial)
	return s
}

// instanceShare defines this instance's share of an endpoint's limit.
type instanceShare struct {
	// count is the number of instances that share the endpoint, rank the index of this instance among them.
	count int
	rank  int
}

// portion returns this instance's portion of n. The portions of all ranks sum to n. The seed, which differs between
// endpoints, rotates the ranks so that the remainders of different endpoints go to different instances.
func (s instanceShare) portion(n int, seed uint64) int {
	if n <= 0 {
		return 0
	}
	rank := (uint64(s.rank) + seed) % uint64(s.count)
	return (n + int(rank)) / s.count
}

// capacity returns how many requests this instance may have in flight at the endpoint. At an endpoint of its own domain
// that is its share of the limit, at least one, or, if higher, its requests in flight at the last report plus its portion
// of the slots that the report showed free. In other domains it may only use its portion of free slots, and while its own
// domain is usable, only if the report covers the busy period. An endpoint that is backing off has no capacity.
func (s *endpointState) capacity(now time.Time, cand *candidates, ownDomainUsable bool) int64 {
	if s.health.backingOff(now) {
		return 0
	}
	limit := s.limit.get()
	r := s.report.Load()
	fresh := r.fresh(now)
	if !cand.ownDomain && ownDomainUsable && !(fresh && cand.busyPeriod.coveredBy(r)) {
		return 0
	}
	portion := int64(cand.share.portion(limit, s.idHash))
	if cand.ownDomain {
		portion = max(1, portion)
	}
	if !fresh {
		return portion
	}
	fromReport := r.own + int64(cand.share.portion(limit-int(r.total), s.idHash))
	if cand.ownDomain {
		return max(portion, fromReport)
	}
	return fromReport
}

// load returns the estimated number of requests at the endpoint divided by its limit, in thousandths: the last report,
// corrected by the change of this instance's requests in flight since. The estimate is never below this instance's own
// requests in flight, and consecutive failures or a token time above the median raise the load. Otherwise an endpoint that
// fails quickly or reports a false load would seem idle. The load of a recovering endpoint without requests in flight is
// zero, so that a request tries it.
func (s *endpointState) load(now time.Time, cand *candidates) int64 {
	own := s.inFlight.Load()
	if own == 0 && s.health.recovering() {
		return 0
	}
	estimate := own * int64(cand.share.count)
	if r := s.report.Load(); r.fresh(now) {
		estimate = max(own, r.total+own-r.own)
	}
	penalty := 1 + s.health.failures.Load()
	return (estimate + 1) * penalty * 10 * s.tokenTime.slowdownPercent(cand.medianTokenTime.Load()) / int64(s.limit.get())
}

// usable reports whether the endpoint accepts new requests: it is neither draining nor ejected.
func (s *endpointState) usable(now time.Time) bool {
	return !s.draining.Load() && !s.health.ejected(now)
}

// tryAcquire counts a request as in flight if fewer than capacity are. It reports whether it did.
func (s *endpointState) tryAcquire(capacity int64) bool {
	for {
		n := s.inFlight.Load()
		if n >= capacity {
			return false
		}
		if s.inFlight.CompareAndSwap(n, n+1) {
			return true
		}
	}
}

// release counts a request at the endpoint as ended and returns how many are still in flight.
func (s *endpointState) release() int64 {
	n := s.inFlight.Add(-1)
	if n < 0 {
		// The surrounding if avoids allocating the arguments of the call for each request.
		invariant.Check(false, "route", "%d requests in flight at endpoint %s", n, s.id)
	}
	return n
}
