package members

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"

	"pumiceshelf/api"
	"pumiceshelf/instance"
)

// minHolderDomainSize is the number of instances from which a failure domain has a token holder. With 24 instances, a
// lease of each would be smaller than a large request. With two or three, a token holder saves store calls, but requests
// are served no better.
const minHolderDomainSize = 6

// maxHolderCandidates bounds the instances of a failure domain that may become its token holder. An instance that gets no
// responses because it is overloaded itself must not turn all others into token holders one after the other.
const maxHolderCandidates = 3

const (
	// relayCount is the number of instances of a large failure domain that watch the store for the others.
	relayCount = 2
	// maxRelayCandidates bounds the instances from which another one may get changes. Those after the first relayCount watch the
	// store only while they get no changes themselves.
	maxRelayCandidates = 4
)

// roster is an immutable snapshot of the list of instances, as seen by this instance.
type roster struct {
	// others are the other instances in the order in which they become token holders: by a hash of their names, which is
	// the same on all instances. Different listings on two instances cost store calls but no tokens.
	others []*api.FleetMember
	// otherHolders are the addresses of the first instance of each other domain.
	otherHolders []string
	// holdersBefore are the addresses of the first instances, at most maxHolderCandidates, that precede this one as token
	// holder of its failure domain, in order. It is empty in a small domain.
	holdersBefore []string
	// holderCount is the number of instances that lease tokens: one in each large domain, and all in small ones.
	holderCount int
	// relays are the addresses of the instances that may pass changes of the store on to this one, the preferred one first. It is
	// empty in a small domain, and for an instance that is a relay itself.
	relays []string
	// isRelay is set if this instance is one of the first relayCount of a large domain in the order of relays.
	isRelay bool
	// names are the names of all instances, this one included. It is nil if those of the others are not known.
	names []string
	// witnesses are the other instances in the order in which they witness this one's leases.
	witnesses []instance.Incarnation
	// listed is set once the instances have been listed.
	listed bool
	// settled is set from the listing on that also has the instances which started together with this one.
	settled bool
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
			r.otherHolders = append(r.otherHolders, member.PeerAddress)
		case member.Domain == self.Domain && inDomain[self.Domain] >= minHolderDomainSize && holderRank(member) < holderRank(self):
			r.holdersBefore = append(r.holdersBefore, member.PeerAddress)
		}
	}
	r.names = memberNames(r.others, self)
	r.witnesses = witnessOrder(r.others, self)
	if inDomain[self.Domain] >= minHolderDomainSize {
		r.chooseRelays(self)
	}
	r.holdersBefore = r.holdersBefore[:min(len(r.holdersBefore), maxHolderCandidates)]
	for _, n := range inDomain {
		if n >= minHolderDomainSize {
			n = 1
		}
		r.holderCount += n
	}
	return r
}

// chooseRelays sets the relays of this instance. Their order is by a hash of their names, which is the same on all instances, so
// that no instance gets changes from one that gets them from it.
func (r *roster) chooseRelays(self *api.FleetMember) {
	var before []*api.FleetMember
	for _, member := range r.others {
		if member.Domain == self.Domain && relayRank(member) < relayRank(self) {
			before = append(before, member)
		}
	}
	if len(before) < relayCount {
		r.isRelay = true
		return
	}
	slices.SortFunc(before, func(a, b *api.FleetMember) int { return cmp.Compare(relayRank(a), relayRank(b)) })
	for _, member := range before[:min(len(before), maxRelayCandidates)] {
		r.relays = append(r.relays, member.PeerAddress)
	}
	// The instances prefer one or the other of the first ones, so that each has about as many to serve.
	if first := relayRank(self) % relayCount; first > 0 {
		r.relays[0], r.relays[first] = r.relays[first], r.relays[0]
	}
}

// incarnationAt returns the listed incarnation of another instance, or "" if it is not known.
func (r *roster) incarnationAt(address string) string {
	for _, member := range r.others {
		if member.PeerAddress == address {
			return member.Incarnation
		}
	}
	return ""
}

// memberNames returns the names of all instances, or nil if one of the others is known by its address only.
func memberNames(others []*api.FleetMember, self *api.FleetMember) []string {
	names := []string{nameOf(self)}
	for _, member := range others {
		name := nameOf(member)
		if name == "" {
			return nil
		}
		names = append(names, name)
	}
	return names
}

// nameOf returns the name of a listed instance, or "" for a seed.
func nameOf(m *api.FleetMember) string { return instance.Incarnation(m.Incarnation).Name() }

// holderRank returns the hash that orders the instances of a domain as token holders. The lowest comes first.
func holderRank(m *api.FleetMember) uint64 {
	return xxhash.Sum64String(nameOf(m))
}

// relayRank returns the hash that orders the instances of a domain as relays. The lowest comes first. The order differs from that
// of the token holders, which have other work.
func relayRank(m *api.FleetMember) uint64 { return xxhash.Sum64String("relay/" + nameOf(m)) }

// sample returns the addresses of up to maxPeersQueried other instances, chosen at random.
func (r *roster) sample() []string {
	out := make([]string, len(r.others))
	for i, member := range r.others {
		out[i] = member.PeerAddress
	}
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:min(len(out), maxPeersQueried)]
}

// lenders returns the addresses of up to maxPeersQueried instances to borrow from: first those of other domains' token
// holders, then any.
func (r *roster) lenders() []string {
	out := slices.Clone(r.otherHolders)
	for _, address := range r.sample() {
		if !slices.Contains(out, address) {
			out = append(out, address)
		}
	}
	return out[:min(len(out), maxPeersQueried)]
}

// randomPeer returns the address of a random other instance that is not skipped, or "" if there is none. If inDomain is set and the
// domain has such instances, it is one of them.
func (r *roster) randomPeer(domain string, inDomain bool, skipped func(address string) bool) string {
	var all, own []string
	for _, member := range r.others {
		if skipped(member.PeerAddress) {
			continue
		}
		all = append(all, member.PeerAddress)
		if member.Domain == domain {
			own = append(own, member.PeerAddress)
		}
	}
	if inDomain && len(own) > 0 {
		all = own
	}
	if len(all) == 0 {
		return ""
	}
	return all[rand.N(len(all))]
}
