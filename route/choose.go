package route

import (
	"time"

	"pumiceshelf/admit"
)

const (
	// preferredPerPrefix is the number of preferred endpoints of a prefix: the first ones in its rendezvous order.
	preferredPerPrefix = 2
	// sampleSize is the number of random endpoints from which the least loaded is chosen.
	sampleSize = 3
	// loadBoundPercent bounds the load of a preferred endpoint, in percent of the least load in the sample.
	loadBoundPercent = 125
	// loadBoundSlack is added to that bound, in requests.
	loadBoundSlack = 4
	// maxAttempts bounds the attempts of a choice: each fails when concurrent choices took the capacity that it found.
	maxAttempts = 4
	// splitMix64Increment is the increment of the SplitMix64 generator.
	splitMix64Increment = 0x9e3779b97f4a7c15
)

// choiceKind is the reason why an endpoint was chosen.
type choiceKind int

// Kinds of choices.
const (
	// byAffinity means that the endpoint is preferred for the prompt's prefix.
	byAffinity choiceKind = iota + 1
	// byLoad means that the endpoint was the least loaded, or the first with capacity by the policy's order.
	byLoad
	// bySpill means that the endpoint is in another failure domain.
	bySpill
)

// choice is the result of choosing an endpoint. state and kind are set if availability is admit.Acquired.
type choice struct {
	state        *endpointState
	kind         choiceKind
	availability admit.Availability
}

// mix64 is the output function of SplitMix64.
func mix64(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// chooser holds the inputs and the state of one choice.
type chooser struct {
	now         time.Time
	target      admit.Target
	randomState uint64
	policy      policy
	// ownDomainUsable is true if this instance's domain has eligible endpoints but none with free capacity.
	ownDomainUsable bool
	// allowEjected allows the choice of ejected endpoints.
	allowEjected bool
}

func (c *chooser) nextRandom() uint64 {
	c.randomState += splitMix64Increment
	return mix64(c.randomState)
}

// choose acquires a slot of an endpoint of the group, in this instance's domain if possible. Endpoints that the request
// should avoid are used only if no other is usable, and ejected ones only if all others are draining.
func (c *chooser) choose(g *group) choice {
	anyEligible := false
	for range maxAttempts {
		cand := &g.ownDomain
		s, kind, hasEligible := c.chooseFrom(g, cand)
		anyEligible = anyEligible || hasEligible
		if s == nil {
			cand = &g.otherDomains
			c.ownDomainUsable = hasEligible
			if hasEligible {
				g.busyPeriod.recordFull(c.now)
			}
			s, _, hasEligible = c.chooseFrom(g, cand)
			kind = bySpill
			anyEligible = anyEligible || hasEligible
		}
		if s == nil {
			break
		}
		if s.tryAcquire(s.capacity(c.now, cand, c.ownDomainUsable)) {
			return choice{state: s, kind: kind, availability: admit.Acquired}
		}
	}
	if anyEligible {
		return choice{availability: admit.Busy}
	}
	switch {
	case len(c.target.Avoid) > 0 || c.target.NoRetry:
		c.target.Avoid, c.target.NoRetry = nil, false
	case !c.allowEjected:
		c.allowEjected = true
	default:
		return choice{availability: admit.NoEndpoint}
	}
	return c.choose(g)
}

// chooseFrom returns a candidate with free capacity, or nil, and whether any candidate is eligible.
func (c *chooser) chooseFrom(g *group, cand *candidates) (*endpointState, choiceKind, bool) {
	if len(cand.states) == 0 {
		return nil, 0, false
	}
	switch c.policy {
	case roundRobinPolicy:
		return c.firstWithCapacity(cand, g.roundRobinCounter.Add(1))
	case randomPolicy:
		return c.firstWithCapacity(cand, c.nextRandom())
	case leastLoadedPolicy:
		return c.scanLeastLoaded(cand)
	}
	return c.chooseByAffinity(cand)
}

// chooseByAffinity returns a preferred endpoint of the prefix if its load is close to the least load in a random sample,
// else the least loaded endpoint.
func (c *chooser) chooseByAffinity(cand *candidates) (*endpointState, choiceKind, bool) {
	best := c.sampleLeastLoaded(cand)
	if best == nil {
		var hasEligible bool
		if best, _, hasEligible = c.scanLeastLoaded(cand); best == nil {
			return nil, 0, hasEligible
		}
	}
	if c.target.Prefix == 0 {
		return best, byLoad, true
	}
	bound := best.load(c.now, cand) * loadBoundPercent / 100
	for _, s := range c.preferred(cand) {
		if s == nil || !c.hasCapacity(s, cand) {
			continue
		}
		if s.load(c.now, cand) <= bound+loadBoundSlack*1000/int64(s.limit.get()) {
			return s, byAffinity, true
		}
	}
	return best, byLoad, true
}

// preferred returns the eligible candidates that rank first for the prefix by rendezvous hash.
func (c *chooser) preferred(cand *candidates) [preferredPerPrefix]*endpointState {
	var first, second *endpointState
	var high, low uint64
	for i, idHash := range cand.idHashes {
		h := mix64(idHash ^ c.target.Prefix)
		if h <= low || !c.eligible(cand.states[i]) {
			continue
		}
		if h > high {
			second, low = first, high
			first, high = cand.states[i], h
		} else {
			second, low = cand.states[i], h
		}
	}
	return [preferredPerPrefix]*endpointState{first, second}
}

// sampleLeastLoaded returns the least loaded of a few random candidates with free capacity, or nil.
func (c *chooser) sampleLeastLoaded(cand *candidates) *endpointState {
	var best *endpointState
	var least int64
	for range sampleSize {
		s := cand.states[c.nextRandom()%uint64(len(cand.states))]
		if s == best || !c.eligible(s) || !c.hasCapacity(s, cand) {
			continue
		}
		if l := s.load(c.now, cand); best == nil || l < least {
			best, least = s, l
		}
	}
	return best
}

// scanLeastLoaded returns the least loaded of all candidates with free capacity, or nil, and whether any is eligible.
func (c *chooser) scanLeastLoaded(cand *candidates) (*endpointState, choiceKind, bool) {
	var best *endpointState
	var least int64
	hasEligible := false
	start := int(c.nextRandom() % uint64(len(cand.states)))
	for i := range cand.states {
		s := cand.states[(start+i)%len(cand.states)]
		if !c.eligible(s) {
			continue
		}
		hasEligible = true
		if !c.hasCapacity(s, cand) {
			continue
		}
		if l := s.load(c.now, cand); best == nil || l < least {
			best, least = s, l
		}
	}
	return best, byLoad, hasEligible
}

// firstWithCapacity returns the first candidate with free capacity, searching from index start, or nil, and whether any
// is eligible.
func (c *chooser) firstWithCapacity(cand *candidates, start uint64) (*endpointState, choiceKind, bool) {
	n := uint64(len(cand.states))
	hasEligible := false
	for i := range n {
		s := cand.states[(start+i)%n]
		if !c.eligible(s) {
			continue
		}
		hasEligible = true
		if c.hasCapacity(s, cand) {
			return s, byLoad, true
		}
	}
	return nil, 0, hasEligible
}

func (c *chooser) hasCapacity(s *endpointState, cand *candidates) bool {
	return s.inFlight.Load() < s.capacity(c.now, cand, c.ownDomainUsable)
}

// eligible reports whether this request may be sent to the endpoint.
func (c *chooser) eligible(s *endpointState) bool {
	if !s.usable(c.now) && !(c.allowEjected && !s.draining.Load()) {
		return false
	}
	if c.target.NoRetry && s.health.recovering() {
		return false
	}
	for _, id := range c.target.Avoid {
		if id == s.id {
			return false
		}
	}
	return true
}
