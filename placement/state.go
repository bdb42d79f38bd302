package placement

import (
	"math"
	"time"

	"pumiceshelf/registry"
)

const (
	// failureWeight is the weight of the newest answer in an endpoint's share of failures.
	failureWeight = 0.25
	// failingShare is the share of failures from which an endpoint counts as failing: well over what services answer
	// with errors on an ordinary day.
	failingShare = 0.45
	// failureHalfLife is the time in which an endpoint's share of failures halves when nothing is heard of it.
	failureHalfLife = 2 * time.Second
	// failureCost is how many times its load an endpoint seems to have that fails all requests.
	failureCost = 4
	// ejectionFirst is the time out of rotation after a connection failed; it doubles up to ejectionMost.
	ejectionFirst = time.Second
	ejectionMost  = 4 * time.Second
	// reportLife is how long a load report is used.
	reportLife = time.Second
	// busyPause is how long an endpoint that had no room is left out: about the time that a few of its requests take.
	busyPause = 100 * time.Millisecond
)

// state is what is known of one process of an endpoint.
type state struct {
	endpoint registry.Endpoint
	inflight int
	// readings are the prompts sent to the endpoint and not yet answered by a first token.
	readings map[*reading]bool
	// sessions holds the parts that this instance has had the endpoint read, with the time of the last use.
	sessions     map[string]time.Time
	failures     float64
	failuresAt   time.Time
	ejections    int
	ejectedUntil time.Time
	busyUntil    time.Time
	load         Load
	loadAt       time.Time
	// answeredAt is when the endpoint last answered a request or went on with a stream.
	answeredAt time.Time
}

// reading is a prompt that an endpoint has been sent.
type reading struct {
	tokens   int64
	priority int
	since    time.Time
}

func newState(e registry.Endpoint) *state {
	return &state{endpoint: e, readings: make(map[*reading]bool), sessions: make(map[string]time.Time)}
}

func (s *state) learn(r Result, now time.Time) time.Time {
	if r == Served || r == Errored || r == Busy {
		s.answeredAt = now
	}
	switch r {
	case Served:
		s.observe(0, now)
		s.ejections = 0
	case Errored, Broken:
		s.observe(1, now)
	case Unreachable, Silent:
		s.observe(1, now)
		s.ejectedUntil = now.Add(min(ejectionFirst<<min(s.ejections, 8), ejectionMost))
		s.ejections++
		return s.ejectedUntil
	case Busy:
		s.busyUntil = now.Add(busyPause)
		return s.busyUntil
	case Withdrawn:
	}
	return time.Time{}
}

// observe takes an answer into the share of failures.
func (s *state) observe(failed float64, now time.Time) {
	share := s.failureShare(now)
	s.failures, s.failuresAt = share+failureWeight*(failed-share), now
}

// failureShare returns the share of failures, which fades with time.
func (s *state) failureShare(now time.Time) float64 {
	age := max(now.Sub(s.failuresAt), 0)
	return s.failures * math.Exp2(-float64(age)/float64(failureHalfLife))
}

// byLoad returns the endpoint with the least load for its share of failures.
func byLoad(usable []*state, domain string, now time.Time) *state {
	var best *state
	least := math.Inf(1)
	for _, s := range usable {
		if cost := s.cost(domain, now); cost < least {
			best, least = s, cost
		}
	}
	return best
}

func (s *state) cost(domain string, now time.Time) float64 {
	load := float64(s.inflight)
	if now.Sub(s.loadAt) < reportLife {
		load = max(load, float64(s.load.Running+s.load.Waiting))
	}
	cost := (load + 1) * (1 + failureCost*s.failureShare(now))
	if s.endpoint.Domain != domain {
		cost += 0.1
	}
	return cost
}
