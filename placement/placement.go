// Package placement chooses the endpoint of a request. Requests that share parts of their prompts go to the endpoint
// that has most likely read them, unless it has much more to do than the others; endpoints that fail are left out for a
// while, but never most of a service.
//
// The package is pure: time and randomness come in as arguments. A Chooser is safe for concurrent use.
package placement

import (
	"math"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"pumiceshelf/registry"
)

const (
	// loadBoundFactor and loadBoundSlack bound an endpoint's load against the mean of its service: x times the mean plus
	// a few. With a smaller bound hot prompts move about and are read again (measured on the users' bench).
	loadBoundFactor = 1.5
	loadBoundSlack  = 2.0
	// failureWeight is the weight of the newest answer in an endpoint's share of failures.
	failureWeight = 0.25
	// failingShare is the share of failures from which an endpoint counts as failing: well over what services answer
	// with errors on an ordinary day.
	failingShare = 0.45
	// failureHalfLife is the time in which an endpoint's share of failures halves when nothing is heard of it.
	failureHalfLife = 2 * time.Second
	// ejectionFirst is the time out of rotation after a connection failed; it doubles up to ejectionMost.
	ejectionFirst = time.Second
	ejectionMost  = 4 * time.Second
	// failureCost is how many times its load an endpoint seems to have that fails all requests.
	failureCost = 4
	// reportLife is how long a load report is used.
	reportLife = time.Second
	// busyPause is how long an endpoint that had no room is left out: about the time that a few of its requests take.
	busyPause = 100 * time.Millisecond
)

// Request is what the choice depends on.
type Request struct {
	Service string
	// Affinity names the prompt part that the request shares with others; empty for none.
	Affinity string
	// PromptTokens is what an endpoint has to read before it answers.
	PromptTokens int64
	// Domain of this instance, preferred among endpoints that are otherwise equal.
	Domain string
}

// Load is an endpoint's own report.
type Load struct {
	Running, Waiting, Slots int
}

// Result is how an endpoint dealt with a request.
type Result int

const (
	// Served means a whole answer, whatever its status, except a server error.
	Served Result = iota
	// Errored means an answer that says that the endpoint failed.
	Errored
	// Broken means that the answer was cut or spoilt.
	Broken
	// Unreachable means that no connection could be made, or that it died without an answer.
	Unreachable
	// Busy means that the endpoint did not run the request for lack of room.
	Busy
	// Withdrawn means that the caller left or the time was up: nothing is learnt.
	Withdrawn
)

// Chooser keeps what this instance knows of the endpoints.
type Chooser struct {
	mu      sync.Mutex
	states  map[string]*state
	domains map[string]*domain
}

// state is what is known of one process of an endpoint.
type state struct {
	endpoint registry.Endpoint
	inflight int
	// reading is the sum of prompt tokens sent to the endpoint and not yet answered by a first token.
	reading      int64
	failures     float64
	failuresAt   time.Time
	ejections    int
	ejectedUntil time.Time
	busyUntil    time.Time
	load         Load
	loadAt       time.Time
}

// New returns a chooser that knows no endpoint.
func New() *Chooser {
	return &Chooser{states: make(map[string]*state), domains: make(map[string]*domain)}
}

// Ticket is one request at the endpoint chosen for it. First and Done must be called from one goroutine.
type Ticket struct {
	Endpoint registry.Endpoint
	chooser  *Chooser
	state    *state
	reading  int64
	done     bool
}

// Pick chooses among the endpoints given, leaving out those tried before. It returns nil if there is none.
func (c *Chooser) Pick(endpoints []registry.Endpoint, r Request, tried map[string]bool, now time.Time) *Ticket {
	c.mu.Lock()
	defer c.mu.Unlock()
	usable := c.usable(endpoints, tried, now)
	if len(usable) == 0 {
		return nil
	}
	var s *state
	if r.Affinity != "" {
		s = byAffinity(usable, r.Affinity)
	} else {
		s = byLoad(usable, r.Domain, now)
	}
	s.inflight++
	s.reading += r.PromptTokens
	return &Ticket{Endpoint: s.endpoint, chooser: c, state: s, reading: r.PromptTokens}
}

// usable returns the endpoints that may be chosen. Those that cannot be reached are left out while any other is there;
// those that fail or are busy only unless that would leave out most.
func (c *Chooser) usable(endpoints []registry.Endpoint, tried map[string]bool, now time.Time) []*state {
	var good, reachable, all []*state
	for _, e := range endpoints {
		if tried[e.ID] {
			continue
		}
		s := c.state(e)
		all = append(all, s)
		if now.Before(s.ejectedUntil) || c.domains[e.Domain].away(now) {
			continue
		}
		reachable = append(reachable, s)
		if !now.Before(s.busyUntil) && s.failureShare(now) < failingShare {
			good = append(good, s)
		}
	}
	switch {
	case len(reachable) == 0:
		return all
	case 2*len(good) >= len(reachable):
		return good
	default:
		return reachable
	}
}

func (c *Chooser) state(e registry.Endpoint) *state {
	s := c.states[e.ID]
	if s == nil || !s.endpoint.Same(e) {
		s = &state{endpoint: e}
		c.states[e.ID] = s
	}
	s.endpoint = e
	return s
}

// Retain forgets endpoints that are not in the view.
func (c *Chooser) Retain(known func(id string) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id := range c.states {
		if !known(id) {
			delete(c.states, id)
		}
	}
}

// byAffinity takes the endpoints in the order of their rendezvous hash and returns the first within the load bound.
func byAffinity(usable []*state, affinity string) *state {
	total := 0
	for _, s := range usable {
		total += s.inflight
	}
	bound := loadBoundFactor*float64(total+1)/float64(len(usable)) + loadBoundSlack
	var best, any *state
	var bestScore, anyScore uint64
	for _, s := range usable {
		score := xxhash.Sum64String(affinity + "\x00" + s.endpoint.ID)
		if any == nil || score > anyScore {
			any, anyScore = s, score
		}
		if float64(s.inflight) < bound && (best == nil || score > bestScore) {
			best, bestScore = s, score
		}
	}
	if best == nil {
		return any
	}
	return best
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

// FirstToken notes that the endpoint has read the prompt.
func (t *Ticket) FirstToken() {
	t.chooser.mu.Lock()
	defer t.chooser.mu.Unlock()
	t.state.reading -= t.reading
	t.reading = 0
}

// Report notes the endpoint's own load report.
func (t *Ticket) Report(l Load, now time.Time) {
	t.chooser.mu.Lock()
	defer t.chooser.mu.Unlock()
	t.state.load, t.state.loadAt = l, now
}

// Done ends the request. Further calls do nothing. It returns the time until which the endpoint is left out, if it is.
func (t *Ticket) Done(r Result, now time.Time) (ejectedUntil time.Time) {
	t.chooser.mu.Lock()
	defer t.chooser.mu.Unlock()
	if t.done {
		return time.Time{}
	}
	t.done = true
	s := t.state
	s.inflight--
	s.reading -= t.reading
	until := s.learn(r, now)
	t.chooser.learnDomain(s.endpoint, r, now)
	return until
}

func (s *state) learn(r Result, now time.Time) time.Time {
	switch r {
	case Served:
		s.observe(0, now)
		s.ejections = 0
	case Errored, Broken:
		s.observe(1, now)
	case Unreachable:
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
