package members

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"

	"pumiceshelf/api"
	"pumiceshelf/instance"
)

// sharedFrom is the number of instances of a failure domain from which one of them holds the tokens of all. With 24 each
// one's part is less than a large request; with two or three a holder saves calls to the store and serves no better.
const sharedFrom = 6

// roster is one listing of the instances as this one sees it. It is immutable.
type roster struct {
	// others are the other instances in the order in which they hold their domains' tokens: by a hash of their names, which
	// all instances compute alike. That two may see different listings costs calls to the store and no tokens.
	others []*api.FleetMember
	// heads are the addresses of the first instance of each other domain.
	heads []string
	// before are the addresses of those that hold the tokens of this failure domain rather than this instance, in order.
	// There are none in a small domain.
	before []string
	// holders is how many instances hold tokens: one of each large domain, and all of small ones.
	holders int
}

func newRoster(list []*api.FleetMember, self *api.FleetMember) *roster {
	r := &roster{}
	inDomain := map[string]int{self.Domain: 1}
	for _, member := range list {
		if member.PeerAddress != self.PeerAddress {
			r.others = append(r.others, member)
			inDomain[member.Domain]++
		}
	}
	slices.SortFunc(r.others, func(a, b *api.FleetMember) int { return cmp.Compare(holderRank(a), holderRank(b)) })
	seen := map[string]bool{self.Domain: true}
	for _, member := range r.others {
		switch {
		case member.Domain != self.Domain && !seen[member.Domain]:
			seen[member.Domain] = true
			r.heads = append(r.heads, member.PeerAddress)
		case member.Domain == self.Domain && inDomain[self.Domain] >= sharedFrom && holderRank(member) < holderRank(self):
			r.before = append(r.before, member.PeerAddress)
		}
	}
	for _, n := range inDomain {
		if n >= sharedFrom {
			n = 1
		}
		r.holders += n
	}
	return r
}

func holderRank(m *api.FleetMember) uint64 {
	return xxhash.Sum64String(instance.Incarnation(m.Incarnation).Name())
}

// some returns some other instances, drawn at random.
func (r *roster) some() []string {
	out := make([]string, len(r.others))
	for i, member := range r.others {
		out[i] = member.PeerAddress
	}
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:min(len(out), askedAtOnce)]
}

// lenders returns some instances to borrow from: the holders of the other domains, then any.
func (r *roster) lenders() []string {
	out := slices.Clone(r.heads)
	for _, address := range r.some() {
		if !slices.Contains(out, address) {
			out = append(out, address)
		}
	}
	return out[:min(len(out), askedAtOnce)]
}
