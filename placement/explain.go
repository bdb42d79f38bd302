package placement

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"pumiceshelf/registry"
)

// Explanation tells which endpoint Pick would choose, and what counts for and against each.
type Explanation struct {
	Outcome Outcome
	// Chosen is the endpoint that would get the request. Its ID is empty unless the outcome is Chosen.
	Chosen registry.Endpoint
	// EstimatedWait is that of Choice.
	EstimatedWait time.Duration
	// Candidates are all endpoints, the chosen one first and those that may not be chosen last.
	Candidates []Candidate
}

// Candidate is an endpoint with what this instance knows of it.
type Candidate struct {
	Endpoint registry.Endpoint
	// Usable is set if the endpoint is among those of which one is chosen.
	Usable bool
	// Remarks tell why the endpoint is not usable, and what counts for or against it.
	Remarks []string
	// InFlight is the number of this instance's requests in progress there.
	InFlight int
	// Load is the last load report in a response to this instance, LoadAge its age, negative if there is none.
	Load    Load
	LoadAge time.Duration
	// ExpectedFirstEvent is the estimated time until the engine has processed the request's prompt, zero without a prompt.
	ExpectedFirstEvent time.Duration
	cost               float64
}

// Explain tells which of the given endpoints Pick would choose for the request. It uses Pick on a copy of the state, so that no
// request in progress, prompt part or rate limit changes. Where Pick decides at random, it may choose another one.
func (c *Chooser) Explain(endpoints []registry.Endpoint, r Request, now time.Time) Explanation {
	c.mu.Lock()
	defer c.mu.Unlock()
	copied := c.copyFor(endpoints, r)
	var out Explanation
	out.Candidates = copied.candidates(endpoints, r, now)
	choice := copied.Pick(endpoints, r, nil, now)
	out.Outcome, out.EstimatedWait = choice.Outcome, choice.EstimatedWait
	if choice.Outcome == Chosen {
		out.Chosen = choice.Ticket.Endpoint
	}
	slices.SortStableFunc(out.Candidates, func(a, b Candidate) int {
		return cmp.Or(
			compareFirst(a.Endpoint.ID == out.Chosen.ID, b.Endpoint.ID == out.Chosen.ID), compareFirst(a.Usable, b.Usable),
			cmp.Compare(a.ExpectedFirstEvent, b.ExpectedFirstEvent), cmp.Compare(a.cost, b.cost), cmp.Compare(a.Endpoint.ID, b.Endpoint.ID),
		)
	})
	return out
}

// compareFirst orders values that are true before those that are not.
func compareFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}

// copyFor returns a Chooser with the state that a choice of one of the endpoints uses. Pick may change the copy. c.mu must be held
// until it is no longer used. A test compares its fields with those of Chooser.
func (c *Chooser) copyFor(endpoints []registry.Endpoint, r Request) *Chooser {
	out := &Chooser{
		states: make(map[string]*endpointState, len(endpoints)), notices: c.notices, domains: c.domains,
		rejectionLimits: maps.Clone(c.rejectionLimits), limits: readOnlyLimits{c.limits},
		loads: c.loads, intN: c.intN, serviceTimes: c.serviceTimes,
		losses: lossSignal{channel: make(chan struct{}, 1), sequence: c.losses.sequence},
	}
	session, _ := r.sessionPart()
	for _, e := range endpoints {
		s := c.states[e.ID]
		if s == nil {
			continue
		}
		copied := *s
		copied.prefills = maps.Clone(s.prefills)
		// A choice looks up the session of the request only.
		copied.cachedSessions = make(map[string]time.Time)
		if at, ok := s.cachedSessions[session]; ok {
			copied.cachedSessions[session] = at
		}
		out.states[e.ID] = &copied
	}
	return out
}

// readOnlyLimits are limits that a choice does not change.
type readOnlyLimits struct{ Limits }

func (l readOnlyLimits) Allows(e registry.Endpoint, now time.Time) bool {
	allows, _, _ := l.Peek(e, now)
	return allows
}

func (l readOnlyLimits) Unused(e registry.Endpoint, now time.Time) bool {
	_, unused, _ := l.Peek(e, now)
	return unused
}

func (l readOnlyLimits) Take(registry.Endpoint, time.Time) {}

// candidates returns the endpoints with what counts for and against each. It is called on a copy of the state.
func (c *Chooser) candidates(endpoints []registry.Endpoint, r Request, now time.Time) []Candidate {
	usable, _ := c.usable(endpoints, nil, now)
	shares := c.shares(endpoints, now)
	session, sharedTokens := r.sessionPart()
	var preferred *endpointState
	bound, byState, isEligible := 0.0, make(map[*endpointState]engine), make(map[*endpointState]bool)
	if session != "" && len(usable) > 0 {
		loaded := c.withLoads(usable, now)
		choosable := inUse(usable)
		bound = loadBound(choosable)
		if loaded != nil {
			choosable = nil
			for _, p := range loaded {
				byState[p.state] = p
			}
			chosen, _ := eligible(loaded, r.isLong(loaded))
			for _, p := range chosen {
				choosable, isEligible[p.state] = append(choosable, p.state), true
			}
		}
		preferred = rendezvous(choosable, session, func(*endpointState) bool { return true })
	}
	out := make([]Candidate, 0, len(endpoints))
	for _, e := range endpoints {
		s := c.stateOf(e)
		candidate := Candidate{
			Endpoint: e, Usable: slices.Contains(usable, s), InFlight: s.inflight, Load: s.load, LoadAge: now.Sub(s.loadAt), cost: s.cost(r.Domain, now),
		}
		if s.loadAt.IsZero() {
			candidate.LoadAge = -1
		}
		candidate.Remarks = c.remarks(s, shares, now)
		if session != "" {
			uncached := r.PromptTokens
			if s.hasCached(session, now) {
				uncached -= sharedTokens
				candidate.Remarks = append(candidate.Remarks, "has the shared parts of the prompt from this instance")
			}
			p, loaded := byState[s]
			candidate.ExpectedFirstEvent = s.backlog(r.Priority, now) + s.prefillTime(uncached)
			if loaded {
				candidate.ExpectedFirstEvent, _ = p.expected(r, s == preferred, now)
			}
			if s == preferred {
				candidate.Remarks = append(candidate.Remarks, "preferred by the session")
			}
			switch {
			case s.learned.spared:
				candidate.Remarks = append(candidate.Remarks, "slow, and faster engines have room")
			case !loaded || isEligible[s]:
			case p.load() >= 1:
				candidate.Remarks = append(candidate.Remarks, "all slots are taken")
			case r.isLong([]engine{p}):
				candidate.Remarks = append(candidate.Remarks, "too slow for long prompts")
			default:
				candidate.Remarks = append(candidate.Remarks, "slow, and faster engines have room")
			}
			if candidate.Usable && !loaded && float64(s.inflight) >= bound {
				candidate.Remarks = append(candidate.Remarks, "has many more requests of this instance than the others")
			}
		}
		if e.Domain != r.Domain {
			candidate.Remarks = append(candidate.Remarks, "in another failure domain")
		}
		out = append(out, candidate)
	}
	return out
}

// remarks tells why an endpoint would not be chosen, as far as that does not depend on the request. Several may apply.
func (c *Chooser) remarks(s *endpointState, shares map[string]int, now time.Time) (out []string) {
	add := func(applies bool, format string, values ...any) {
		if applies {
			out = append(out, fmt.Sprintf(format, values...))
		}
	}
	left := func(until time.Time) time.Duration { return until.Sub(now).Round(time.Millisecond) }
	n := c.noticeOf(s.endpoint)
	add(n.draining, "leaving: it has said that it is about to stop")
	add(now.Before(n.pausedUntil), "wants no requests for %v", left(n.pausedUntil))
	allows, _, rate := c.limits.Peek(s.endpoint, now)
	add(rate >= 0 && allows, "limits its rate to %g requests per second", rate)
	add(rate < 0 && !allows, "cold, and this instance has used its part of the rate that it handles")
	add(rate >= 0 && !allows, "limits its rate to %g requests per second, of which this instance has used its part", rate)
	if shares != nil {
		share := shares[s.endpoint.ID]
		add(s.inflight >= share, "this instance has %d requests there and may have %d, because it ends if it rejects too many", s.inflight, share)
		add(now.Before(s.rejectedUntil), "rejected a request, gets none for %v", left(s.rejectedUntil))
	}
	add(now.Before(s.ejectedUntil) && s.silent, "ejected for %v, or until it responds: it responded to no request", left(s.ejectedUntil))
	add(now.Before(s.ejectedUntil) && !s.silent, "ejected for %v after failures", left(s.ejectedUntil))
	if d := c.domains[s.endpoint.Domain]; d.partitioned(now) {
		add(true, "failure domain %s is not reached, skipped for %v", s.endpoint.Domain, left(d.skipUntil))
	}
	add(now.Before(s.busyUntil), "busy: it had no free slot, skipped for %v", left(s.busyUntil))
	rate = s.failureRate(now)
	add(rate >= failingThreshold, "failing: %.0f%% of its last requests failed", 100*rate)
	return out
}
