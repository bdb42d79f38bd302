package route

import (
	"sync/atomic"
	"time"

	"pumiceshelf/bundle"
	"pumiceshelf/instance"
)

// candidates are the endpoints of a group that are in this instance's domain, or those in other domains.
type candidates struct {
	states []*endpointState
	// idHashes are the hashes of the endpoints' IDs in a contiguous slice, for fast rendezvous hashing.
	idHashes []uint64
	// ownDomain is true for the endpoints in this instance's domain.
	ownDomain bool
	share     instanceShare
	// busyPeriod is that of the group; set only for the endpoints in other domains.
	busyPeriod *busyPeriod
	// medianTokenTime is the median token time of the endpoints, in nanoseconds.
	medianTokenTime atomic.Int64
}

func (s *candidates) add(e *endpointState) {
	s.states = append(s.states, e)
	s.idHashes = append(s.idHashes, e.idHash)
}

// group holds the endpoints of one model or service.
type group struct {
	name         string
	ownDomain    candidates
	otherDomains candidates
	busyPeriod   busyPeriod
	// roundRobinCounter counts the choices of the round-robin policy.
	roundRobinCounter atomic.Uint64
	// cachedCapacity is the last computed capacity; capacityCachedAt is when it was computed, in Unix nanoseconds.
	cachedCapacity   atomic.Int64
	capacityCachedAt atomic.Int64
}

// capacityCacheTTL is how long a computed capacity is reused.
const capacityCacheTTL = 5 * time.Millisecond

// capacity returns approximately how many requests of the group this instance may run concurrently.
func (g *group) capacity(now time.Time) int {
	at := g.capacityCachedAt.Load()
	if at != 0 && now.UnixNano()-at < int64(capacityCacheTTL) {
		return int(g.cachedCapacity.Load())
	}
	n, ownDomainUsable := g.ownDomain.capacity(now, false)
	others, _ := g.otherDomains.capacity(now, ownDomainUsable)
	n += others
	g.cachedCapacity.Store(n)
	g.capacityCachedAt.Store(now.UnixNano())
	return int(n)
}

// capacity returns the sum of the usable endpoints' capacities and whether any endpoint is usable.
func (s *candidates) capacity(now time.Time, ownDomainUsable bool) (int64, bool) {
	var n int64
	usable := false
	for _, e := range s.states {
		if e.usable(now) {
			usable = true
			n += e.capacity(now, s, ownDomainUsable)
		}
	}
	return n, usable
}

// updateMedianTokenTimes updates the median token times of both sets of candidates.
func (g *group) updateMedianTokenTimes() {
	g.ownDomain.updateMedianTokenTime()
	g.otherDomains.updateMedianTokenTime()
}

func (g *group) size() int { return len(g.ownDomain.states) + len(g.otherDomains.states) }

// each calls f for each endpoint of the group.
func (g *group) each(f func(*endpointState)) {
	for _, s := range g.ownDomain.states {
		f(s)
	}
	for _, s := range g.otherDomains.states {
		f(s)
	}
}

// table indexes the groups and endpoints of a bundle. It is immutable and replaced as a whole.
type table struct {
	bundleNumber uint64
	shares       fleetShares
	groups       map[string]*group
	states       map[string]*endpointState
	// memberships lists the groups of each endpoint.
	memberships map[*endpointState][]*group
	// endpoints are the bundle's endpoints by ID.
	endpoints map[string]*bundle.Endpoint
}

// fleetShares holds this instance's shares of endpoints.
type fleetShares struct {
	domain instance.Domain
	// inDomain applies to the endpoints of this instance's domain, inFleet to those of other domains.
	inDomain instanceShare
	inFleet  instanceShare
}

// buildTable returns the table of a bundle snapshot. It reuses the endpoint states of the old table.
func buildTable(snap *bundle.Snapshot, f fleetShares, old *table, initial uint32) *table {
	t := &table{
		bundleNumber: snap.Number,
		shares:       f,
		groups:       make(map[string]*group),
		states:       make(map[string]*endpointState),
		memberships:  make(map[*endpointState][]*group),
		endpoints:    make(map[string]*bundle.Endpoint),
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

// utilized reports whether this instance used at least half of its capacity at an endpoint before the request that has
// just ended was released.
func (t *table) utilized(now time.Time, s *endpointState) bool {
	groups := t.memberships[s]
	if len(groups) == 0 {
		return false
	}
	cand := &groups[0].otherDomains
	if s.domain == t.shares.domain {
		cand = &groups[0].ownDomain
	}
	return 2*(s.inFlight.Load()+1) >= s.capacity(now, cand, false)
}

func (t *table) addState(e *bundle.Endpoint, old *table, initial uint32) {
	t.endpoints[e.ID] = e
	s := old.states[e.ID]
	if s == nil || s.domain != e.Domain {
		s = newEndpointState(e, initial)
	} else {
		s.limit.setRating(e.Concurrency, initial)
	}
	t.states[e.ID] = s
}

func (t *table) addGroup(name string, snap *bundle.Snapshot, f fleetShares) {
	if t.groups[name] != nil {
		return
	}
	g := &group{name: name}
	g.ownDomain.ownDomain, g.ownDomain.share = true, f.inDomain
	g.otherDomains.share, g.otherDomains.busyPeriod = f.inFleet, &g.busyPeriod
	for _, e := range snap.Group(name) {
		s := t.states[e.ID]
		if e.Domain == f.domain {
			g.ownDomain.add(s)
		} else {
			g.otherDomains.add(s)
		}
		t.memberships[s] = append(t.memberships[s], g)
	}
	g.updateMedianTokenTimes()
	t.groups[name] = g
}
