package peer

import (
	"math/rand/v2"
	"sort"

	"pumiceshelf/api"
	"pumiceshelf/instance"
)

const (
	// ringSuccessors is how many instances of its domain each instance probes at every interval.
	ringSuccessors = 2
	// ringTopic is the rendezvous topic that determines the order of the ring.
	ringTopic = "peer/ring"
	// outsideProbeInterval is the interval, in heartbeat intervals, of heartbeats to other domains and to failed instances.
	outsideProbeInterval = 2
)

// intervalTargets chooses up to limit instances for the heartbeats of an interval: a constant few, and more only while
// members need a probe or updates are queued.
func (t *table) intervalTargets(rnd *rand.Rand, tick uint64, limit int) []*member {
	p := picker{limit: limit, chosen: make(map[*member]bool)}
	inside, outside, failed := t.classify()
	for _, m := range t.membersToProbe() {
		p.add(m)
	}
	for _, m := range t.successors(inside) {
		p.add(m)
	}
	p.addRandom(rnd, inside, 1)
	if tick%outsideProbeInterval == 0 {
		p.addRandom(rnd, outside, 1)
		p.addRandom(rnd, failed, 1)
	}
	if !t.updates.empty() {
		p.addRandom(rnd, append(inside, outside...), limit)
	}
	return p.out
}

// gossipTargets chooses up to limit instances: those that need a probe and, while updates are queued, random others.
func (t *table) gossipTargets(rnd *rand.Rand, limit int) []*member {
	p := picker{limit: limit, chosen: make(map[*member]bool)}
	for _, m := range t.membersToProbe() {
		p.add(m)
	}
	if !t.updates.empty() {
		inside, outside, _ := t.classify()
		p.addRandom(rnd, inside, limit)
		p.addRandom(rnd, outside, limit)
	}
	return p.out
}

// needsProbe reports whether a heartbeat is needed to determine a member's state. Instances of other domains without any
// heartbeat so far are treated as live until one of the many instances that probe them misses a heartbeat.
func (t *table) needsProbe(m *member) bool {
	return !m.failed && (!m.unresponsiveSince.IsZero() || (m.lastHeartbeat.IsZero() && t.inOwnDomain(m)))
}

// membersToProbe returns the members that need a probe, those of this instance's domain first.
func (t *table) membersToProbe() []*member {
	var out []*member
	for _, m := range t.members {
		if t.needsProbe(m) {
			out = append(out, m)
		}
	}
	sort.Slice(out, func(i, j int) bool {
		a, b := out[i], out[j]
		if aInside, bInside := t.inOwnDomain(a), t.inOwnDomain(b); aInside != bInside {
			return aInside
		}
		if !a.unresponsiveSince.Equal(b.unresponsiveSince) {
			return a.unresponsiveSince.After(b.unresponsiveSince)
		}
		return a.instance.GetIncarnation() < b.instance.GetIncarnation()
	})
	return out
}

func (t *table) inOwnDomain(m *member) bool { return m.instance.GetDomain() == t.self.GetDomain() }

// classify divides the members into live ones of this instance's domain, live ones of other domains, and failed ones.
// Superseded members are left out.
func (t *table) classify() (inside, outside, failed []*member) {
	for _, id := range t.sortedIncarnations() {
		m := t.members[id]
		switch {
		case m.superseded:
		case m.failed:
			failed = append(failed, m)
		case t.inOwnDomain(m):
			inside = append(inside, m)
		default:
			outside = append(outside, m)
		}
	}
	return inside, outside, failed
}

func (t *table) sortedIncarnations() []instance.Incarnation {
	out := make([]instance.Incarnation, 0, len(t.members))
	for id := range t.members {
		out = append(out, id)
	}
	sort.Slice(out, func(i, j int) bool { return out[i] < out[j] })
	return out
}

// successors returns the ringSuccessors instances that follow this one on the ring of its domain.
func (t *table) successors(inside []*member) []*member {
	own := weight(ringTopic, t.self)
	distance := func(inst *api.Instance) uint64 { return weight(ringTopic, inst) - own }
	ring := append([]*member(nil), inside...)
	sort.Slice(ring, func(i, j int) bool { return distance(ring[i].instance) < distance(ring[j].instance) })
	return ring[:min(ringSuccessors, len(ring))]
}

// picker collects distinct members up to a limit.
type picker struct {
	limit  int
	chosen map[*member]bool
	out    []*member
}

// add adds a member, unless it is chosen already or the limit is reached, and reports whether it was added.
func (p *picker) add(m *member) bool {
	if len(p.out) >= p.limit || p.chosen[m] {
		return false
	}
	p.chosen[m] = true
	p.out = append(p.out, m)
	return true
}

// addRandom adds up to n random members of the list.
func (p *picker) addRandom(rnd *rand.Rand, list []*member, n int) {
	for _, i := range rnd.Perm(len(list)) {
		if n == 0 || len(p.out) >= p.limit {
			return
		}
		if p.add(list[i]) {
			n--
		}
	}
}
