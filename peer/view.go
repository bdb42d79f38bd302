package peer

import (
	"sort"

	"github.com/cespare/xxhash/v2"

	"pumiceshelf/api"
	"pumiceshelf/instance"
)

// snapshot is an immutable state of the view.
type snapshot struct {
	self    *api.Instance
	members []Member
	live    map[instance.Domain][]*api.Instance
}

// Self implements View.
func (f *Fleet) Self() *api.Instance { return f.current.Load().self }

// Members implements View.
func (f *Fleet) Members() []Member { return f.current.Load().members }

// Live implements View.
func (f *Fleet) Live(domain instance.Domain) []*api.Instance { return f.current.Load().live[domain] }

// Owner implements View. It returns this instance if the domain has no live instance, as can happen while this one is draining.
func (f *Fleet) Owner(topic string) *api.Instance {
	s := f.current.Load()
	best := s.self
	var bestWeight uint64
	for i, inst := range s.live[instance.Domain(s.self.GetDomain())] {
		if w := weight(topic, inst); i == 0 || w > bestWeight {
			best, bestWeight = inst, w
		}
	}
	return best
}

// Ranked implements View.
func (f *Fleet) Ranked(topic string) []*api.Instance {
	s := f.current.Load()
	out := append([]*api.Instance(nil), s.live[instance.Domain(s.self.GetDomain())]...)
	sort.SliceStable(out, func(i, j int) bool { return weight(topic, out[i]) > weight(topic, out[j]) })
	return out
}

// Changed implements View.
func (f *Fleet) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

// weight returns the weight of an instance for a topic in rendezvous hashing.
func weight(topic string, inst *api.Instance) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(topic)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(inst.GetIncarnation())
	return d.Sum64()
}

// FleetOwner returns the instance that ranks first in the whole fleet by rendezvous hash of a topic, among those that are
// live and not draining, or nil if there is none.
func FleetOwner(v View, topic string) *api.Instance {
	var best *api.Instance
	var bestWeight uint64
	for _, m := range v.Members() {
		if !m.Live || m.Instance.GetLeaving() {
			continue
		}
		if w := weight(topic, m.Instance); best == nil || w > bestWeight {
			best, bestWeight = m.Instance, w
		}
	}
	return best
}
