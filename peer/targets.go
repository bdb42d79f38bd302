package peer

import (
	"math/rand/v2"
	"sort"

	"pumiceshelf/api"
	"pumiceshelf/instance"
)

const (
	// ringSuccessors is how many instances of its domain each instance watches steadily.
	ringSuccessors = 2
	// ringTopic seeds the order of the ring.
	ringTopic = "peer/ring"
	// outsideEvery is the interval, in heartbeat intervals, of heartbeats to other domains and to instances that are gone.
	outsideEvery = 2
)

// targets chooses up to limit instances for the heartbeats of an interval.
// A steady few are watched; more are chosen only while there is something to settle or to spread.
func (t *table) targets(rnd *rand.Rand, tick uint64, limit int) []*member {
	p := picker{limit: limit, chosen: make(map[*member]bool)}
	inside, outside, gone := t.split()
	for _, m := range t.open() {
		p.take(m)
	}
	for _, m := range t.successors(inside) {
		p.take(m)
	}
	p.random(rnd, inside, 1)
	if tick%outsideEvery == 0 {
		p.random(rnd, outside, 1)
		p.random(rnd, gone, 1)
	}
	if !t.news.empty() {
		p.random(rnd, append(inside, outside...), limit)
	}
	return p.out
}

// spread chooses up to limit instances to pass news on to, and those whose state is open.
func (t *table) spread(rnd *rand.Rand, limit int) []*member {
	p := picker{limit: limit, chosen: make(map[*member]bool)}
	for _, m := range t.open() {
		p.take(m)
	}
	if !t.news.empty() {
		inside, outside, _ := t.split()
		p.random(rnd, inside, limit)
		p.random(rnd, outside, limit)
	}
	return p.out
}

// unsettled says that a heartbeat is needed to know a member's state. Instances of other domains that were never heard of
// are taken to be live until one of their many visitors misses them.
func (t *table) unsettled(m *member) bool {
	return !m.gone && (!m.silentSince.IsZero() || (m.lastHeard.IsZero() && t.inside(m)))
}

// open returns the members whose state a heartbeat would settle, own domain first.
func (t *table) open() []*member {
	var out []*member
	for _, m := range t.members {
		if t.unsettled(m) {
			out = append(out, m)
		}
	}
	sort.Slice(out, func(i, j int) bool {
		a, b := out[i], out[j]
		if in, jn := t.inside(a), t.inside(b); in != jn {
			return in
		}
		if !a.silentSince.Equal(b.silentSince) {
			return a.silentSince.After(b.silentSince)
		}
		return a.instance.GetIncarnation() < b.instance.GetIncarnation()
	})
	return out
}

func (t *table) inside(m *member) bool { return m.instance.GetDomain() == t.self.GetDomain() }

// split sorts the members into those of the own domain, of others, and gone ones.
func (t *table) split() (inside, outside, gone []*member) {
	for _, id := range t.sortedIDs() {
		m := t.members[id]
		switch {
		case m.final:
		case m.gone:
			gone = append(gone, m)
		case t.inside(m):
			inside = append(inside, m)
		default:
			outside = append(outside, m)
		}
	}
	return inside, outside, gone
}

func (t *table) sortedIDs() []instance.Incarnation {
	out := make([]instance.Incarnation, 0, len(t.members))
	for id := range t.members {
		out = append(out, id)
	}
	sort.Slice(out, func(i, j int) bool { return out[i] < out[j] })
	return out
}

// successors returns the instances that follow the own one on the ring of its domain.
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

// take adds a member and returns whether it was added.
func (p *picker) take(m *member) bool {
	if len(p.out) >= p.limit || p.chosen[m] {
		return false
	}
	p.chosen[m] = true
	p.out = append(p.out, m)
	return true
}

// random adds up to n members of the list.
func (p *picker) random(rnd *rand.Rand, list []*member, n int) {
	for _, i := range rnd.Perm(len(list)) {
		if n == 0 || len(p.out) >= p.limit {
			return
		}
		if p.take(list[i]) {
			n--
		}
	}
}
