package route

import (
	"sync/atomic"
	"time"

	"pumiceshelf/bundle"
	"pumiceshelf/instance"
)

// side is the endpoints of a group that are all in this instance's domain or all elsewhere.
type side struct {
	states []*state
	// seeds are the states' seeds side by side, for the rendezvous pass.
	seeds   []uint64
	own     bool
	sharers sharers
	// busy is the group's, for the side elsewhere.
	busy *busy
	// pace is the median of the endpoints', in nanoseconds.
	pace atomic.Int64
}

func (s *side) add(e *state) {
	s.states = append(s.states, e)
	s.seeds = append(s.seeds, e.seed)
}

// group is the endpoints of one model or service.
type group struct {
	name string
	own  side
	away side
	busy busy
	// turn counts choices, for round robin.
	turn atomic.Uint64
	// room is the last count of places, at roomAt in Unix nanoseconds.
	room   atomic.Int64
	roomAt atomic.Int64
}

// roomLifetime is how long a count of places is used again.
const roomLifetime = 5 * time.Millisecond

// places returns about how many requests of the group this instance may run at once now.
func (g *group) places(now time.Time) int {
	at := g.roomAt.Load()
	if at != 0 && now.UnixNano()-at < int64(roomLifetime) {
		return int(g.room.Load())
	}
	n, works := g.own.places(now, false)
	away, _ := g.away.places(now, works)
	n += away
	g.room.Store(n)
	g.roomAt.Store(now.UnixNano())
	return int(n)
}

// places returns the room at the side's endpoints and whether any of them works.
func (s *side) places(now time.Time, ownWorks bool) (int64, bool) {
	var n int64
	works := false
	for _, e := range s.states {
		if e.usable(now) {
			works = true
			n += e.room(now, s, ownWorks)
		}
	}
	return n, works
}

// observePace keeps the median paces of both sides.
func (g *group) observePace() {
	g.own.observePace()
	g.away.observePace()
}

func (g *group) size() int { return len(g.own.states) + len(g.away.states) }

// each calls f for each endpoint of the group.
func (g *group) each(f func(*state)) {
	for _, s := range g.own.states {
		f(s)
	}
	for _, s := range g.away.states {
		f(s)
	}
}

// table is an immutable view of all endpoints, swapped as a whole.
type table struct {
	number uint64
	fleet  fleet
	groups map[string]*group
	states map[string]*state
	// memberships lists the groups of each endpoint.
	memberships map[*state][]*group
	// endpoints are as in the bundle.
	endpoints map[string]*bundle.Endpoint
}

// fleet says with how many others this instance shares endpoints.
type fleet struct {
	domain instance.Domain
	// inDomain shares the endpoints of the domain, inFleet those elsewhere.
	inDomain sharers
	inFleet  sharers
}

// build makes the table of a snapshot. States of endpoints that old has are kept.
func build(snap *bundle.Snapshot, f fleet, old *table, initial uint32) *table {
	t := &table{
		number:      snap.Number,
		fleet:       f,
		groups:      make(map[string]*group),
		states:      make(map[string]*state),
		memberships: make(map[*state][]*group),
		endpoints:   make(map[string]*bundle.Endpoint),
	}
	snap.Endpoints(func(e *bundle.Endpoint) { t.addState(e, old, initial) })
	snap.Endpoints(func(e *bundle.Endpoint) {
		for _, m := range e.Models {
			t.addGroup(bundle.ModelGroup(m), snap, f)
		}
		if e.Service != "" {
			t.addGroup(bundle.ServiceGroup(e.Service), snap, f)
		}
	})
	return t
}

// pressed says whether this instance used at least half of its room at an endpoint when a request there ended.
func (t *table) pressed(now time.Time, s *state) bool {
	groups := t.memberships[s]
	if len(groups) == 0 {
		return false
	}
	sd := &groups[0].away
	if s.domain == t.fleet.domain {
		sd = &groups[0].own
	}
	return 2*(s.inFlight.Load()+1) >= s.room(now, sd, false)
}

func (t *table) addState(e *bundle.Endpoint, old *table, initial uint32) {
	t.endpoints[e.ID] = e
	s := old.states[e.ID]
	if s == nil || s.domain != e.Domain {
		s = newState(e, initial)
	} else {
		s.limit.rerate(e.Concurrency, initial)
	}
	t.states[e.ID] = s
}

func (t *table) addGroup(name string, snap *bundle.Snapshot, f fleet) {
	if t.groups[name] != nil {
		return
	}
	g := &group{name: name}
	g.own.own, g.own.sharers = true, f.inDomain
	g.away.sharers, g.away.busy = f.inFleet, &g.busy
	for _, e := range snap.Group(name) {
		s := t.states[e.ID]
		if e.Domain == f.domain {
			g.own.add(s)
		} else {
			g.away.add(s)
		}
		t.memberships[s] = append(t.memberships[s], g)
	}
	g.observePace()
	t.groups[name] = g
}
