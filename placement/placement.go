// Package placement chooses the endpoint of a request and refuses requests that no endpoint can serve in time.
//
// It answers the hours at which prompts come faster than engines read them: requests that share parts of their prompts
// go to the engine that has most likely read them, unless so much is to be read there that reading the parts anew
// elsewhere is quicker; and a request whose first token would come after its caller has left is refused at once.
// Endpoints that fail are left out for a while, but never most of a service.
//
// The package is pure: time comes in as an argument. A Chooser is safe for concurrent use.
package placement

import (
	"sync"
	"time"

	"pumiceshelf/registry"
)

// Request is what the choice depends on.
type Request struct {
	Service string
	// Parts are the parts of the prompt in order, the last one the request's own. Empty for requests without a prompt.
	Parts []Part
	// PromptTokens is the whole prompt.
	PromptTokens int64
	// Priority at the engine, 0 first.
	Priority int
	// Patience is the time to the first token within which the request is worth sending; zero for no bound.
	Patience time.Duration
	// Domain of this instance, preferred among endpoints that are otherwise equal.
	Domain string
}

// Part is a piece of a prompt that engines keep and requests may share.
type Part struct {
	ID     string
	Tokens int64
}

// session returns the part that a session's requests share, the last but one, and how many tokens come up to its end.
func (r Request) session() (id string, tokens int64) {
	if len(r.Parts) == 0 {
		return "", 0
	}
	last := max(len(r.Parts)-2, 0)
	for _, p := range r.Parts[:last+1] {
		tokens += p.Tokens
	}
	return r.Parts[last].ID, tokens
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
	// Silent means that the endpoint did not go on with this request nor with any other.
	Silent
)

// Verdict is why no endpoint was chosen.
type Verdict int

const (
	// Chosen means that there is a ticket.
	Chosen Verdict = iota
	// NoEndpoint means that the service has none left to try.
	NoEndpoint
	// Overloaded means that no endpoint would answer in time.
	Overloaded
)

// Choice is the answer to a request for an endpoint.
type Choice struct {
	Verdict Verdict
	Ticket  *Ticket
	// Wait is how long an engine is expected to read other prompts before it comes to the request's.
	Wait time.Duration
}

// Chooser keeps what this instance knows of the endpoints.
type Chooser struct {
	mu      sync.Mutex
	states  map[string]*state
	domains map[string]*domain
}

// New returns a chooser that knows no endpoint.
func New() *Chooser {
	return &Chooser{states: make(map[string]*state), domains: make(map[string]*domain)}
}

// Ticket is one request at the endpoint chosen for it. Its methods must be called from one goroutine.
type Ticket struct {
	Endpoint registry.Endpoint
	chooser  *Chooser
	state    *state
	reading  *reading
	done     bool
}

// Pick chooses among the endpoints given, leaving out those tried before.
func (c *Chooser) Pick(endpoints []registry.Endpoint, r Request, tried map[string]bool, now time.Time) Choice {
	c.mu.Lock()
	defer c.mu.Unlock()
	usable := c.usable(endpoints, tried, now)
	if len(usable) == 0 {
		return Choice{Verdict: NoEndpoint}
	}
	var s *state
	wait, inTime := time.Duration(0), true
	if len(r.Parts) > 0 {
		s, wait, inTime = byWork(usable, r, now)
	} else {
		s = byLoad(usable, r.Domain, now)
	}
	if !inTime {
		return Choice{Verdict: Overloaded, Wait: wait}
	}
	s.inflight++
	t := &Ticket{Endpoint: s.endpoint, chooser: c, state: s, reading: s.read(r, now)}
	return Choice{Ticket: t, Wait: wait}
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
		s = newState(e)
		c.states[e.ID] = s
	}
	s.endpoint = e
	return s
}

// Retain forgets endpoints that are not known any more.
func (c *Chooser) Retain(known func(id string) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id := range c.states {
		if !known(id) {
			delete(c.states, id)
		}
	}
}

// FirstToken notes that the endpoint has read the prompt.
func (t *Ticket) FirstToken(now time.Time) {
	t.chooser.mu.Lock()
	defer t.chooser.mu.Unlock()
	t.state.answeredAt = now
	t.state.finishReading(t.reading)
	t.reading = nil
}

// SilentSince says whether the endpoint has answered none of this instance's requests since a time: it is then more
// likely stuck than busy.
func (t *Ticket) SilentSince(since time.Time) bool {
	t.chooser.mu.Lock()
	defer t.chooser.mu.Unlock()
	return !t.state.answeredAt.After(since)
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
	t.state.inflight--
	t.state.finishReading(t.reading)
	until := t.state.learn(r, now)
	t.chooser.learnDomain(t.state.endpoint, r, now)
	return until
}
