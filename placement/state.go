package placement

import (
	"math"
	"time"

	"pumiceshelf/registry"
)

const (
	// failureWeight is the weight of the newest result in an endpoint's failure rate.
	failureWeight = 0.25
	// failingThreshold is the failure rate from which an endpoint counts as failing, well above the error rate of
	// services in normal operation.
	failingThreshold = 0.45
	// failureHalfLife is the time in which an endpoint's failure rate halves without new results.
	failureHalfLife = 2 * time.Second
	// failureCostFactor weights the failure rate in the cost of an endpoint: the cost is multiplied by
	// 1 + failureCostFactor when all requests fail.
	failureCostFactor = 4
	// minEjection is the ejection time after the first request to an unreachable or unresponsive endpoint. It doubles
	// with each further one up to maxEjection.
	minEjection = time.Second
	maxEjection = 4 * time.Second
	// loadReportTTL is how long a load report is used.
	loadReportTTL = time.Second
	// busyPause is how long an endpoint without free capacity is skipped: about the time that a few of its requests
	// take.
	busyPause = 100 * time.Millisecond
)

// endpointState is what this instance has recorded about one process of an endpoint.
type endpointState struct {
	endpoint registry.Endpoint
	inflight int
	// preferred is the decayed number of requests of which the session prefers the endpoint, while its service is crowded.
	preferred float64
	// prefills are the prompts sent to the endpoint that have not returned a first token yet.
	prefills map[*prefill]bool
	// cachedSessions maps the session parts of the prompts that this instance sent to the endpoint to the time of their
	// last use.
	cachedSessions map[string]time.Time
	// failureAvg is the failure rate at failureAvgAt; failureRate returns the current one.
	failureAvg   float64
	failureAvgAt time.Time
	ejections    int
	ejectedUntil time.Time
	// silent is set while the endpoint is ejected only because it does not respond.
	silent    bool
	busyUntil time.Time
	// rejectedUntil is when an endpoint with a rejection limit that rejected a request may get the next one.
	rejectedUntil time.Time
	load          Load
	loadAt        time.Time
	// learned is the speed that the last choice used.
	learned learnedSpeed
	// lostConnectionAt is when a connection to the endpoint last failed.
	lostConnectionAt time.Time
	// endedAt is when the endpoint was found to have ended. Losses up to refutedAt were found to be no sign of that.
	endedAt, refutedAt time.Time
	// lossSequence is the sequence number of the last loss that was signaled.
	lossSequence uint64
	// respondedAt is when the endpoint last responded to a request or sent a stream event.
	respondedAt time.Time
}

// prefill is a prompt sent to an endpoint, with the tokens that the endpoint must process.
type prefill struct {
	tokens   int64
	priority int
	since    time.Time
}

func newEndpointState(e registry.Endpoint) *endpointState {
	return &endpointState{endpoint: e, prefills: make(map[*prefill]bool), cachedSessions: make(map[string]time.Time)}
}

// recordResult records the result of a request. It returns the time until which the endpoint is ejected or skipped as
// busy, or the zero time.
func (s *endpointState) recordResult(r Result, now time.Time) time.Time {
	if r == Served || r == Errored || r == Busy {
		s.recordResponse(now)
	}
	if r == InvalidResponse || r == Unreachable || r == Unresponsive || r == NotConnected {
		s.lostConnectionAt = now
	}
	switch r {
	case Served:
		s.updateFailureRate(0, now)
		s.ejections = 0
	case Errored, InvalidResponse:
		s.updateFailureRate(1, now)
	case Unreachable:
		s.updateFailureRate(1, now)
		s.silent = false
		return s.eject(now)
	case Unresponsive:
		s.updateFailureRate(1, now)
		return s.ejectForSilence(now)
	case Busy:
		s.busyUntil = now.Add(busyPause)
		return s.busyUntil
	case Canceled, NotConnected:
	}
	return time.Time{}
}

// recordResponse records that the endpoint responds, and ends an ejection for silence.
func (s *endpointState) recordResponse(now time.Time) {
	s.respondedAt = now
	if s.silent {
		s.silent, s.ejections, s.ejectedUntil = false, 0, time.Time{}
	}
}

// ejectForSilence ejects the endpoint until it responds, once for all requests that wait. It returns the zero time if the
// endpoint was ejected before.
func (s *endpointState) ejectForSilence(now time.Time) time.Time {
	if now.Before(s.ejectedUntil) {
		return time.Time{}
	}
	s.silent = true
	return s.eject(now)
}

// eject excludes the endpoint from new requests, for longer each time. It returns the end of that time.
func (s *endpointState) eject(now time.Time) time.Time {
	s.ejectedUntil = now.Add(min(minEjection<<min(s.ejections, 8), maxEjection))
	s.ejections++
	return s.ejectedUntil
}

// updateFailureRate adds a result to the moving average of failures; failed is 1 for a failure and 0 otherwise.
func (s *endpointState) updateFailureRate(failed float64, now time.Time) {
	rate := s.failureRate(now)
	s.failureAvg, s.failureAvgAt = rate+failureWeight*(failed-rate), now
}

// failureRate returns the moving average of failures, which decays with time.
func (s *endpointState) failureRate(now time.Time) float64 {
	age := max(now.Sub(s.failureAvgAt), 0)
	return s.failureAvg * math.Exp2(-float64(age)/float64(failureHalfLife))
}

// leastLoaded returns the endpoint with the lowest cost.
func leastLoaded(usable []*endpointState, domain string, now time.Time) *endpointState {
	var best *endpointState
	lowest := math.Inf(1)
	for _, s := range usable {
		if cost := s.cost(domain, now); cost < lowest {
			best, lowest = s, cost
		}
	}
	return best
}

// cost returns the endpoint's load, weighted by its failure rate. Endpoints in other failure domains cost slightly
// more.
func (s *endpointState) cost(domain string, now time.Time) float64 {
	load := float64(s.inflight)
	if now.Sub(s.loadAt) < loadReportTTL {
		load = max(load, float64(s.load.Running+s.load.Waiting))
	}
	cost := (load + 1) * (1 + failureCostFactor*s.failureRate(now))
	if s.endpoint.Domain != domain {
		cost += 0.1
	}
	return cost
}
