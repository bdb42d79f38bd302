package members

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcpool"

	"pumiceshelf/api"
	"pumiceshelf/instance"
	"pumiceshelf/prepaid"
)

const (
	// sharedFrom is the number of instances of a failure domain from which one of them holds the tokens of all. Fewer hold
	// their own: with two or three, a holder that is cut off or crashes costs more than the calls saved; with 24, each one's
	// part is less than a large request.
	sharedFrom = 6
	// silentFor is how long an instance that did not answer is passed over: dead ones stay listed until they come back.
	silentFor = time.Second
	// holdersAsked bounds the instances that are asked for tokens that a request waits for.
	holdersAsked = 2
)

// silences remembers which addresses did not answer. It is safe for concurrent use.
type silences struct {
	mu    sync.Mutex
	until map[string]time.Time
}

func (s *silences) note(address string, until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.until == nil {
		s.until = make(map[string]time.Time)
	}
	s.until[address] = until
}

func (s *silences) is(address string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Before(s.until[address])
}

// holdersBefore returns the addresses of the instances of this failure domain that hold its tokens rather than this one,
// in order. All instances order them alike, by a hash of their names, so that a domain has one holder while its
// instances see the same list; that they may not costs calls to the store and no tokens. There are none in a small domain.
func (m *Members) holdersBefore() []string {
	own := holderRank(m.config.Incarnation)
	var before []string
	inDomain := 1
	for _, member := range m.ranked() {
		if member.Domain != m.config.Self.Domain {
			continue
		}
		inDomain++
		if holderRank(instance.Incarnation(member.Incarnation)) < own {
			before = append(before, member.PeerAddress)
		}
	}
	if inDomain < sharedFrom {
		return nil
	}
	return before
}

// ranked returns the other instances in the order in which they hold their domains' tokens.
func (m *Members) ranked() []*api.FleetMember {
	l := m.list.Load()
	if l == nil {
		return nil
	}
	var out []*api.FleetMember
	for _, member := range *l {
		if member.PeerAddress != m.config.Self.PeerAddress {
			out = append(out, member)
		}
	}
	slices.SortFunc(out, func(a, b *api.FleetMember) int {
		return cmp.Compare(holderRank(instance.Incarnation(a.Incarnation)), holderRank(instance.Incarnation(b.Incarnation)))
	})
	return out
}

// lenders returns some instances to borrow from: the holders of the other domains, then any.
func (m *Members) lenders() []string {
	var out []string
	seen := map[string]bool{m.config.Self.Domain: true}
	for _, member := range m.ranked() {
		if !seen[member.Domain] {
			seen[member.Domain] = true
			out = append(out, member.PeerAddress)
		}
	}
	for _, address := range m.addresses() {
		if !slices.Contains(out, address) {
			out = append(out, address)
		}
	}
	return out[:min(len(out), askedAtOnce)]
}

func holderRank(i instance.Incarnation) uint64 { return xxhash.Sum64String(i.Name()) }

// Holds says whether this instance is the one of its failure domain that holds the domain's tokens.
func (m *Members) Holds() bool {
	now := m.config.Clock.Now()
	for _, address := range m.holdersBefore() {
		if !m.silent.is(address, now) {
			return false
		}
	}
	return true
}

// Holders returns how many instances hold tokens, as far as is known: one of each large domain, and all of small ones.
func (m *Members) Holders() int {
	l := m.list.Load()
	if l == nil {
		return m.Count()
	}
	inDomain := make(map[string]int)
	for _, member := range *l {
		inDomain[member.Domain]++
	}
	sum := 0
	for _, n := range inDomain {
		if n >= sharedFrom {
			n = 1
		}
		sum += n
	}
	return max(sum, 1)
}

// Draw asks the instances that hold this failure domain's tokens for what a request needs, and for what is wanted besides.
// The next one is asked only if one does not answer or does not reach the ledger.
func (m *Members) Draw(ctx context.Context, customer string, needed, wanted int64) prepaid.Provision {
	now, asked := m.config.Clock.Now(), 0
	for _, address := range m.holdersBefore() {
		if asked == holdersAsked || ctx.Err() != nil {
			break
		}
		if m.silent.is(address, now) {
			continue
		}
		asked++
		reply, err := m.callLend(ctx, address, &api.LendRequest{Customer: customer, Tokens: wanted, Needed: needed})
		switch {
		case err != nil:
			m.silent.note(address, now.Add(silentFor))
			m.config.Log.WithField("address", address).WithError(err).Info("members: holder of the domain's tokens does not answer")
		case !reply.Away:
			return prepaid.Provision{Tokens: min(max(reply.Tokens, 0), wanted), Exhausted: reply.Exhausted}
		}
	}
	return prepaid.Provision{Away: true}
}

// Borrow asks some instances for tokens of a customer's budget, one after the other, until it has those wanted. It
// returns what it got.
func (m *Members) Borrow(ctx context.Context, customer string, tokens int64) int64 {
	ctx, cancel := context.WithTimeout(ctx, borrowTimeout)
	defer cancel()
	got := int64(0)
	for _, address := range m.lenders() {
		if got >= tokens || ctx.Err() != nil {
			break
		}
		reply, err := m.callLend(ctx, address, &api.LendRequest{Customer: customer, Tokens: tokens - got})
		if err != nil {
			m.config.Log.WithField("address", address).WithError(err).Info("members: nothing borrowed")
			continue
		}
		got += min(max(reply.Tokens, 0), tokens-got)
	}
	return got
}

// callLend asks one instance. Tokens whose answer is lost are spent by nobody.
func (m *Members) callLend(ctx context.Context, address string, q *api.LendRequest) (*api.LendReply, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout/2)
	defer cancel()
	conn := m.pool.Get(ctx, address, func(ctx context.Context, address string) (drpcpool.Conn, error) {
		raw, err := m.config.Dial(ctx, address)
		if err != nil {
			return nil, err
		}
		return drpcconn.New(raw), nil
	})
	defer conn.Close()
	return api.NewDRPCFleetClient(conn).Lend(ctx, q)
}

// Lend implements the Fleet service.
func (m *Members) Lend(ctx context.Context, q *api.LendRequest) (*api.LendReply, error) {
	if q.Needed <= 0 {
		return &api.LendReply{Tokens: m.config.Lend(ctx, q.Customer, max(q.Tokens, 0))}, nil
	}
	p := m.config.Provide(ctx, q.Customer, q.Needed, max(q.Tokens, q.Needed))
	return &api.LendReply{Tokens: p.Tokens, Exhausted: p.Exhausted, Away: p.Away}, nil
}
