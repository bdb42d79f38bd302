package shed

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

// Peek returns what Decide would return for the request now. It changes no state: it decides on a copy of what is recorded for the
// service, and draws the same random numbers as the next call of Decide would.
func (s *Shedder) Peek(name string, r Request, room Room, now time.Time) Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := newService()
	if recorded := s.services[name]; recorded != nil {
		st = recorded.clone()
	}
	source := *s.source
	return s.decide(st, rand.New(&source), r, room, now)
}

// clone returns a copy that shares no memory with the original.
func (st *service) clone() *service {
	c := *st
	c.demand.offers = slices.Clone(st.demand.offers)
	c.demand.sorted, c.demand.sums = slices.Clone(st.demand.sorted), slices.Clone(st.demand.sums)
	c.groups.byName, c.groups.rates = maps.Clone(st.groups.byName), maps.Clone(st.groups.rates)
	for name, g := range c.groups.byName {
		copied := *g
		c.groups.byName[name] = &copied
	}
	for name, r := range c.groups.rates {
		copied := *r
		c.groups.rates[name] = &copied
	}
	return &c
}
