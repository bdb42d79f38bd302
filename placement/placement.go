// Package placement selects the endpoint for a request and refuses requests that no endpoint can serve in time.
//
// Prefill is the work an engine does on a prompt before its first token. When prompts arrive faster than engines can
// prefill them, requests that share prompt parts are routed to the engine that most likely has those parts cached,
// unless its backlog is so long that repeating the prefill on another engine is faster. A request whose first token
// would come too late is refused immediately. Failing endpoints are skipped for a while, but never most endpoints of a
// service. Endpoints that have said that they are about to stop, or have asked for a pause, get no request at all.
//
// The package is pure: callers pass the current time. A Chooser is safe for concurrent use.
package placement

import (
	"math/rand/v2"
	"sync"
	"time"

	"pumiceshelf/endpointload"
	"pumiceshelf/registry"
)

// Request holds the properties of a request that determine its endpoint.
type Request struct {
	Service string
	// PromptParts are the parts of the prompt in order; the last one is specific to the request. Empty for requests
	// without a prompt.
	PromptParts []PromptPart
	// PromptTokens is the length of the whole prompt.
	PromptTokens int64
	// Priority at the engine; 0 is the highest.
	Priority int
	// MaxTimeToFirstToken is the longest expected time to the first token for which the request is still sent; zero
	// means no limit.
	MaxTimeToFirstToken time.Duration
	// NeverOverloaded is set if the request is sent however long the engines are expected to take.
	NeverOverloaded bool
	// MaxEventGap is the objective for the pauses between the events of the request's stream; zero if there is none.
	MaxEventGap time.Duration
	// Domain is the failure domain of this instance. Among endpoints of equal load, those in it are preferred.
	Domain string
	// RespondedWithin is set for a request that may as well stay where it is. It excludes ejected endpoints, and those that
	// have requests of this instance in progress and responded to none within that time.
	RespondedWithin time.Duration
}

// PromptPart is a section of a prompt that engines cache and that several requests may share.
type PromptPart struct {
	ID     string
	Tokens int64
}

// sessionPart returns the ID of the last part that the requests of a session share (the second to last part of the
// prompt, or the only one) and the number of prompt tokens up to its end.
func (r Request) sessionPart() (id string, tokens int64) {
	if len(r.PromptParts) == 0 {
		return "", 0
	}
	last := max(len(r.PromptParts)-2, 0)
	for _, p := range r.PromptParts[:last+1] {
		tokens += p.Tokens
	}
	return r.PromptParts[last].ID, tokens
}

// Load is an endpoint's own report of its running and waiting requests and its slots.
type Load struct {
	Running, Waiting, Slots int
	// WorkTime is how long work takes on the endpoint at this moment, relative to the usual. It is zero if the endpoint does not
	// report it.
	WorkTime float64
}

// Result is the result of a request at an endpoint.
type Result int

const (
	// Served means a complete response with any status other than a server error.
	Served Result = iota
	// Errored means a response that reports a server error.
	Errored
	// InvalidResponse means that the response was truncated or malformed.
	InvalidResponse
	// Unreachable means that connecting failed, or that the connection was lost before a response.
	Unreachable
	// Busy means that the endpoint did not run the request because it had no free capacity.
	Busy
	// Canceled means that the caller canceled the request or its timeout expired. It says nothing about the endpoint.
	Canceled
	// Unresponsive means that the endpoint made no progress on this request or any other.
	Unresponsive
	// NotConnected means that connecting failed because this instance's network link was busy. The endpoint is not at fault, but it
	// may have started again meanwhile.
	NotConnected
)

// Outcome reports whether an endpoint was chosen and, if not, why.
type Outcome int

const (
	// Chosen means that the choice has a ticket.
	Chosen Outcome = iota
	// NoEndpoint means that the service has no endpoint that was not tried before.
	NoEndpoint
	// Overloaded means that no endpoint is expected to return a first token in time.
	Overloaded
	// RateLimited means that all endpoints limit their request rate or the requests that they can reject, and this instance has
	// used its part.
	RateLimited
	// Paused means that all endpoints have asked this instance for a pause.
	Paused
)

// Choice is the result of Chooser.Pick.
type Choice struct {
	Outcome Outcome
	Ticket  *Ticket
	// EstimatedWait is how long the engine is expected to work on other prompts before it reaches this request's.
	EstimatedWait time.Duration
	// Limited is set if the chosen endpoint limits its request rate.
	Limited bool
}

// Limits restricts the requests that this instance may send to endpoints that limit their request rate.
type Limits interface {
	// Limited reports whether the endpoint limits its rate.
	Limited(e registry.Endpoint) bool
	// Allows reports whether this instance may send a request to the endpoint now.
	Allows(e registry.Endpoint, now time.Time) bool
	// Unused reports whether it may send one to a limited endpoint, and no request has preferred that endpoint for a while.
	Unused(e registry.Endpoint, now time.Time) bool
	// Peek returns what Allows and Unused would return, without a change of state, and the endpoint's limit in requests per second,
	// negative if there is none.
	Peek(e registry.Endpoint, now time.Time) (allows, unused bool, rate float64)
	// Take records that a request is sent.
	Take(e registry.Endpoint, now time.Time)
	Instances
}

// Chooser selects endpoints from the load, failures and cached prompt parts that this instance has recorded for them.
type Chooser struct {
	mu      sync.Mutex
	states  map[string]*endpointState
	notices map[string]*notice
	domains map[string]*domainState
	// rejectionLimits holds the limits of services by name.
	rejectionLimits map[string]rejectionLimit
	limits          Limits
	// loads are the shared load reports of endpoints that report work times, or nil.
	loads Loads
	// intN returns a random number in [0, n). Tests replace it to repeat a run.
	intN   func(n int) int
	losses lossSignal
	// serviceTimes holds the mean time of a stream in a slot, at the usual work time, by service.
	serviceTimes map[string]time.Duration
}

// New returns a Chooser without any recorded state.
func New(l Limits) *Chooser { return NewWithLoads(l, nil) }

// NewWithLoads returns a Chooser that also uses the load reports that other instances pass on.
func NewWithLoads(l Limits, loads Loads) *Chooser {
	return &Chooser{
		loads: loads, intN: rand.IntN,
		states: make(map[string]*endpointState), notices: make(map[string]*notice), domains: make(map[string]*domainState),
		rejectionLimits: make(map[string]rejectionLimit), limits: l, losses: newLossSignal(),
		serviceTimes: make(map[string]time.Duration),
	}
}

// Ticket tracks one request at the endpoint chosen for it. Its methods must be called from one goroutine.
type Ticket struct {
	Endpoint registry.Endpoint
	chooser  *Chooser
	state    *endpointState
	prefill  *prefill
	observed observed
	// firstEventAt is when the first event came.
	firstEventAt time.Time
	done         bool
}

// Pick chooses one of the given endpoints, excluding those whose IDs are in tried.
func (c *Chooser) Pick(endpoints []registry.Endpoint, r Request, tried map[string]bool, now time.Time) Choice {
	c.mu.Lock()
	defer c.mu.Unlock()
	usable, limited := c.usable(endpoints, tried, now)
	if r.RespondedWithin > 0 {
		usable = c.responding(usable, r.RespondedWithin, now)
	}
	switch {
	case len(usable) > 0:
	case limited:
		return Choice{Outcome: RateLimited}
	case c.remainingPause(endpoints, now) > 0:
		return Choice{Outcome: Paused}
	default:
		return Choice{Outcome: NoEndpoint}
	}
	var s *endpointState
	wait, inTime := time.Duration(0), true
	var withLoads []engine
	if len(r.PromptParts) > 0 {
		withLoads = c.withLoads(usable, now)
	}
	switch unused := c.unusedLimited(usable, now); {
	case unused != nil:
		s, wait = unused, unused.backlog(r.Priority, now)
	case withLoads != nil:
		s, wait, inTime = c.chooseBySpeed(withLoads, r, now)
	case len(r.PromptParts) > 0:
		s, wait, inTime = chooseByAffinity(inUse(usable), r, now)
	default:
		s = leastLoaded(usable, r.Domain, now)
	}
	if !inTime {
		return Choice{Outcome: Overloaded, EstimatedWait: wait}
	}
	c.limits.Take(s.endpoint, now)
	s.inflight++
	t := &Ticket{Endpoint: s.endpoint, chooser: c, state: s, observed: s.observedPrompt(r, now)}
	t.prefill = s.startPrefill(r, now)
	return Choice{Ticket: t, EstimatedWait: wait, Limited: c.limits.Limited(s.endpoint)}
}

// unusedLimited returns an endpoint whose rate limit has room for a request of this instance that no request has preferred
// for a while, or nil. Without it, the limits of endpoints would be used little in a large fleet, where few of an
// instance's sessions prefer a given endpoint.
func (c *Chooser) unusedLimited(usable []*endpointState, now time.Time) *endpointState {
	for _, s := range usable {
		if c.limits.Unused(s.endpoint, now) {
			return s
		}
	}
	return nil
}

// usable returns the endpoints that may be chosen, and whether rate limits exclude others. Endpoints
// that want no requests are always excluded. Ejected endpoints and those in partitioned domains are excluded unless no other
// remains; failing or busy ones are excluded unless that would exclude more than half of the rest.
func (c *Chooser) usable(endpoints []registry.Endpoint, tried map[string]bool, now time.Time) (usable []*endpointState, limited bool) {
	var healthy, reachable, all []*endpointState
	shares := c.shares(endpoints, now)
	for _, e := range endpoints {
		if tried[e.ID] || !c.noticeOf(e).accepts(now) {
			continue
		}
		if !c.limits.Allows(e, now) {
			limited = true
			continue
		}
		s := c.stateOf(e)
		if shares != nil && (s.inflight >= shares[e.ID] || now.Before(s.rejectedUntil)) {
			limited = true
			continue
		}
		all = append(all, s)
		if now.Before(s.ejectedUntil) || c.domains[e.Domain].partitioned(now) {
			continue
		}
		reachable = append(reachable, s)
		if !now.Before(s.busyUntil) && s.failureRate(now) < failingThreshold {
			healthy = append(healthy, s)
		}
	}
	switch {
	case len(reachable) == 0:
		return all, limited
	case 2*len(healthy) >= len(reachable):
		return healthy, limited
	default:
		return reachable, limited
	}
}

// responding returns the endpoints that are not ejected, and responded within a period if they have requests in progress.
func (c *Chooser) responding(endpoints []*endpointState, period time.Duration, now time.Time) (out []*endpointState) {
	for _, s := range endpoints {
		excluded := now.Before(s.ejectedUntil) || c.domains[s.endpoint.Domain].partitioned(now)
		if !excluded && (s.inflight == 0 || now.Sub(s.respondedAt) < period) {
			out = append(out, s)
		}
	}
	return out
}

// stateOf returns the state of an endpoint. A new process under the same ID starts with an empty state.
func (c *Chooser) stateOf(e registry.Endpoint) *endpointState {
	s := c.states[e.ID]
	if s == nil || !s.endpoint.SameProcess(e) {
		s = newEndpointState(e)
		c.states[e.ID] = s
	}
	s.endpoint = e
	return s
}

// Retain deletes the state of endpoints for which known returns false, unless they were found to have ended lately, their notices after
// a while, and what it knows of failure domains through them.
func (c *Chooser) Retain(known func(id string) bool, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.retainNotices(known, now)
	c.retainDomains(known, now)
	for id, s := range c.states {
		if !known(id) && now.Sub(s.endedAt) > lossRetention {
			delete(c.states, id)
		}
	}
}

// RecordProgress records a response or stream event of the endpoint. The first one ends the prefill of the prompt.
func (t *Ticket) RecordProgress(now time.Time) {
	t.chooser.mu.Lock()
	defer t.chooser.mu.Unlock()
	t.state.recordResponse(now)
	if t.prefill != nil {
		t.firstEventAt = now
	}
	t.state.finishPrefill(t.prefill)
	t.prefill = nil
}

// UnresponsiveSince reports whether the endpoint has responded to none of this instance's requests after the given
// time. Such an endpoint is more likely stuck than busy.
func (t *Ticket) UnresponsiveSince(since time.Time) bool {
	t.chooser.mu.Lock()
	defer t.chooser.mu.Unlock()
	return !t.state.respondedAt.After(since)
}

// RecordSilence records that the endpoint responds to no request, while this one continues to wait. Others get new requests
// until it responds. It returns the time until which the endpoint is ejected, or the zero time if it was ejected before.
func (t *Ticket) RecordSilence(now time.Time) (ejectedUntil time.Time) {
	t.chooser.mu.Lock()
	defer t.chooser.mu.Unlock()
	return t.state.ejectForSilence(now)
}

// RecordLoad records a load report of the endpoint.
func (t *Ticket) RecordLoad(l Load, now time.Time) {
	t.chooser.mu.Lock()
	defer t.chooser.mu.Unlock()
	t.state.load, t.state.loadAt = l, now
	t.observed.waiting = t.observed.waiting || l.Waiting > 0
	if t.chooser.loads != nil && t.chooser.loads.Wants(endpointload.Report(l)) {
		t.chooser.loads.Record(t.Endpoint, endpointload.Report(l), now)
	}
}

// Done ends the request with a result; further calls do nothing. It returns the time until which the endpoint is
// ejected or skipped as busy, or the zero time.
func (t *Ticket) Done(r Result, now time.Time) (skipUntil time.Time) {
	t.chooser.mu.Lock()
	defer t.chooser.mu.Unlock()
	if t.done {
		return time.Time{}
	}
	t.done = true
	t.state.inflight--
	t.state.finishPrefill(t.prefill)
	if r == Served && !t.firstEventAt.IsZero() {
		t.chooser.recordServiceTime(t.Endpoint, now.Sub(t.firstEventAt), now)
	}
	until := t.state.recordResult(r, now)
	if r == Busy {
		t.chooser.recordRejection(t.state, now)
	}
	t.chooser.updateDomain(t.state.endpoint, r, now)
	return until
}
