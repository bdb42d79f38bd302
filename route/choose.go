package route

import (
	"time"

	"pumiceshelf/admit"
)

const (
	// homes is how many endpoints a prefix has in rendezvous order.
	homes = 2
	// sampled is how many endpoints the least loaded is looked for among.
	sampled = 3
	// loadBound is how far, in percent, the load of a prefix's home may lie above the least loaded of the sample.
	loadBound = 125
	// loadSlack is added to that bound, in requests.
	loadSlack = 4
	// attempts bounds how often a choice starts over when others took the room that it saw.
	attempts = 4
	// golden is the odd constant of SplitMix64.
	golden = 0x9e3779b97f4a7c15
)

// kind says why an endpoint was chosen.
type kind int

// Kinds of choices.
const (
	byAffinity kind = iota + 1
	byLoad
	bySpill
)

// choice is the result of one choice.
type choice struct {
	state        *state
	kind         kind
	availability admit.Availability
}

// mix spreads the bits of x, as SplitMix64 does.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// chooser is one choice in the making.
type chooser struct {
	now    time.Time
	target admit.Target
	random uint64
	policy policy
	// ownWorks says that an endpoint of the own domain works but has no room.
	ownWorks bool
	// lastResort lets ejected endpoints be chosen.
	lastResort bool
}

// next returns the next random number.
func (c *chooser) next() uint64 {
	c.random += golden
	return mix(c.random)
}

// choose takes a place at an endpoint of the group: of the own domain if one has room, else elsewhere. Endpoints that
// the request should avoid come only when no other works, and ejected ones only when all others leave.
func (c *chooser) choose(g *group) choice {
	anyWorks := false
	for range attempts {
		sd := &g.own
		s, why, works := c.chooseSide(g, sd)
		anyWorks = anyWorks || works
		if s == nil {
			sd = &g.away
			c.ownWorks = works
			if works {
				g.busy.observe(c.now)
			}
			s, _, works = c.chooseSide(g, sd)
			why = bySpill
			anyWorks = anyWorks || works
		}
		if s == nil {
			break
		}
		if s.take(s.room(c.now, sd, c.ownWorks)) {
			return choice{state: s, kind: why, availability: admit.Acquired}
		}
	}
	if anyWorks {
		return choice{availability: admit.Busy}
	}
	switch {
	case len(c.target.Avoid) > 0 || c.target.NoRetry:
		c.target.Avoid, c.target.NoRetry = nil, false
	case !c.lastResort:
		c.lastResort = true
	default:
		return choice{availability: admit.NoEndpoint}
	}
	return c.choose(g)
}

// chooseSide returns an endpoint with room, or nil, and whether any endpoint of the side works.
func (c *chooser) chooseSide(g *group, sd *side) (*state, kind, bool) {
	if len(sd.states) == 0 {
		return nil, 0, false
	}
	switch c.policy {
	case roundRobin:
		return c.firstFrom(sd, g.turn.Add(1))
	case random:
		return c.firstFrom(sd, c.next())
	case leastLoaded:
		return c.scan(sd)
	}
	return c.affine(sd)
}

// affine prefers the prefix's homes while their load is near the least loaded of a sample.
func (c *chooser) affine(sd *side) (*state, kind, bool) {
	best := c.sample(sd)
	if best == nil {
		var works bool
		if best, _, works = c.scan(sd); best == nil {
			return nil, 0, works
		}
	}
	if c.target.Prefix == 0 {
		return best, byLoad, true
	}
	bound := best.load(c.now, sd) * loadBound / 100
	for _, s := range c.homes(sd) {
		if s == nil || !c.hasRoom(s, sd) {
			continue
		}
		if s.load(c.now, sd) <= bound+loadSlack*1000/int64(s.limit.get()) {
			return s, byAffinity, true
		}
	}
	return best, byLoad, true
}

// homes returns the usable endpoints that come first for the prefix by rendezvous hash.
func (c *chooser) homes(sd *side) [homes]*state {
	var first, second *state
	var high, low uint64
	for i, seed := range sd.seeds {
		h := mix(seed ^ c.target.Prefix)
		if h <= low || !c.eligible(sd.states[i]) {
			continue
		}
		if h > high {
			second, low = first, high
			first, high = sd.states[i], h
		} else {
			second, low = sd.states[i], h
		}
	}
	return [homes]*state{first, second}
}

// sample returns the least loaded with room of a few random endpoints, or nil.
func (c *chooser) sample(sd *side) *state {
	var best *state
	var least int64
	for range sampled {
		s := sd.states[c.next()%uint64(len(sd.states))]
		if s == best || !c.eligible(s) || !c.hasRoom(s, sd) {
			continue
		}
		if l := s.load(c.now, sd); best == nil || l < least {
			best, least = s, l
		}
	}
	return best
}

// scan returns the least loaded endpoint with room.
func (c *chooser) scan(sd *side) (*state, kind, bool) {
	var best *state
	var least int64
	works := false
	start := int(c.next() % uint64(len(sd.states)))
	for i := range sd.states {
		s := sd.states[(start+i)%len(sd.states)]
		if !c.eligible(s) {
			continue
		}
		works = true
		if !c.hasRoom(s, sd) {
			continue
		}
		if l := s.load(c.now, sd); best == nil || l < least {
			best, least = s, l
		}
	}
	return best, byLoad, works
}

// firstFrom returns the first endpoint with room from a place in the order.
func (c *chooser) firstFrom(sd *side, start uint64) (*state, kind, bool) {
	n := uint64(len(sd.states))
	works := false
	for i := range n {
		s := sd.states[(start+i)%n]
		if !c.eligible(s) {
			continue
		}
		works = true
		if c.hasRoom(s, sd) {
			return s, byLoad, true
		}
	}
	return nil, 0, works
}

func (c *chooser) hasRoom(s *state, sd *side) bool {
	return s.inFlight.Load() < s.room(c.now, sd, c.ownWorks)
}

// eligible says whether the endpoint may be given this request.
func (c *chooser) eligible(s *state) bool {
	if !s.usable(c.now) && !(c.lastResort && !s.leaving.Load()) {
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
