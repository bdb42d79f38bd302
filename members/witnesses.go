package members

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	"pumiceshelf/api"
	"pumiceshelf/instance"
)

// errNotListed is returned for an instance whose address is not known.
var errNotListed = errors.New("members: instance is not listed")

// witnessOrder returns the other instances in the order in which they witness the leases of this one: those of its own failure domain first,
// which it still reaches if the domain is disconnected, then one of each other domain in turn, by a hash that spreads the holders over them.
func witnessOrder(others []*api.FleetMember, self *api.FleetMember) []instance.Incarnation {
	type candidate struct {
		member *api.FleetMember
		hash   uint64
		// inDomain counts the candidates of the domain that precede this one.
		inDomain int
	}
	var candidates []candidate
	for _, member := range others {
		if name := nameOf(member); name != "" {
			candidates = append(candidates, candidate{member: member, hash: xxhash.Sum64String("witness/" + nameOf(self) + "/" + name)})
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int { return cmp.Compare(a.hash, b.hash) })
	inDomain := make(map[string]int)
	for i, c := range candidates {
		candidates[i].inDomain = inDomain[c.member.Domain]
		inDomain[c.member.Domain]++
	}
	slices.SortStableFunc(candidates, func(a, b candidate) int {
		if aOwn, bOwn := a.member.Domain == self.Domain, b.member.Domain == self.Domain; aOwn != bOwn {
			if aOwn {
				return -1
			}
			return 1
		}
		return cmp.Compare(a.inDomain, b.inDomain)
	})
	out := make([]instance.Incarnation, 0, len(candidates))
	for _, c := range candidates {
		out = append(out, instance.Incarnation(c.member.Incarnation))
	}
	return out
}

// Witnesses returns the other instances in the order in which they witness this one's leases.
func (m *Members) Witnesses() []instance.Incarnation { return m.roster.Load().witnesses }

// addressOf returns the address of a listed incarnation, or "".
func (r *roster) addressOf(incarnation instance.Incarnation) string {
	for _, member := range r.others {
		if member.Incarnation == string(incarnation) {
			return member.PeerAddress
		}
	}
	return ""
}

// replaced reports whether another incarnation of an instance is listed.
func (r *roster) replaced(incarnation instance.Incarnation) bool {
	return r.addressOf(incarnation) == "" && slices.ContainsFunc(r.others, func(member *api.FleetMember) bool { return nameOf(member) == incarnation.Name() })
}

// callWitness calls an instance as a witness.
func (m *Members) callWitness(ctx context.Context, witness instance.Incarnation, call func(context.Context, api.DRPCWitnessClient) error) error {
	address := m.roster.Load().addressOf(witness)
	if address == "" {
		return fmt.Errorf("%w: %s", errNotListed, witness)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	conn := m.pool.Get(ctx, address, m.dialPeer)
	defer conn.Close()
	return call(ctx, api.NewDRPCWitnessClient(conn))
}

// RaiseMarks requests a witness to raise the marks of this instance. It returns false if the witness refuses.
func (m *Members) RaiseMarks(ctx context.Context, witness instance.Incarnation, marks map[string]int64) (acknowledged bool, err error) {
	err = m.callWitness(ctx, witness, func(ctx context.Context, c api.DRPCWitnessClient) error {
		reply, err := c.RaiseMarks(ctx, &api.RaiseMarksRequest{Holder: string(m.config.Incarnation), Witness: string(witness), Marks: marks})
		acknowledged = err == nil && !reply.Refused
		return err
	})
	return acknowledged, err
}

// SealMarks requests a witness to seal the marks of an earlier incarnation of this instance. It returns false if the witness does not
// know that incarnation, or if another incarnation of the witness is listed.
func (m *Members) SealMarks(ctx context.Context, holder, witness instance.Incarnation) (marks map[string]int64, known bool, err error) {
	if m.roster.Load().replaced(witness) {
		return nil, false, nil
	}
	err = m.callWitness(ctx, witness, func(ctx context.Context, c api.DRPCWitnessClient) error {
		reply, err := c.SealMarks(ctx, &api.SealMarksRequest{Holder: string(holder), Witness: string(witness)})
		if err == nil {
			marks, known = reply.Marks, !reply.Unknown
		}
		return err
	})
	return marks, known, err
}

// witnessServer implements the Witness service.
type witnessServer struct{ members *Members }

// RaiseMarks implements the Witness service.
func (s witnessServer) RaiseMarks(_ context.Context, request *api.RaiseMarksRequest) (*api.RaiseMarksReply, error) {
	if s.members.config.WitnessMarks == nil {
		return &api.RaiseMarksReply{Refused: true}, nil
	}
	return &api.RaiseMarksReply{Refused: !s.members.config.WitnessMarks(instance.Incarnation(request.Holder), instance.Incarnation(request.Witness), request.Marks)}, nil
}

// SealMarks implements the Witness service.
func (s witnessServer) SealMarks(_ context.Context, request *api.SealMarksRequest) (*api.SealMarksReply, error) {
	if s.members.config.SealMarks == nil {
		return &api.SealMarksReply{Unknown: true}, nil
	}
	marks, known := s.members.config.SealMarks(instance.Incarnation(request.Holder), instance.Incarnation(request.Witness))
	return &api.SealMarksReply{Unknown: !known, Marks: marks}, nil
}
