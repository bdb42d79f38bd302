package members

import (
	"context"
	"sync"
	"time"

	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcpool"

	"pumiceshelf/api"
	"pumiceshelf/prepaid"
)

const (
	// unresponsiveTTL is how long an unresponsive instance is skipped. A crashed instance stays in the list until it
	// restarts.
	unresponsiveTTL = time.Second
	// maxHoldersQueried bounds the token holders from which an allocation is requested while a request waits.
	maxHoldersQueried = 2
)

// unresponsiveSet records the addresses of unresponsive instances, each until a given time. It is safe for concurrent use.
type unresponsiveSet struct {
	mu    sync.Mutex
	until map[string]time.Time
}

func (s *unresponsiveSet) add(address string, until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.until == nil {
		s.until = make(map[string]time.Time)
	}
	s.until[address] = until
}

// contains reports whether an address is recorded as unresponsive at the given time.
func (s *unresponsiveSet) contains(address string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Before(s.until[address])
}

// IsTokenHolder reports whether this instance leases tokens from the ledger: it is the token holder of its failure
// domain, or its domain is too small to have one.
func (m *Members) IsTokenHolder() bool {
	now := m.config.Clock.Now()
	for _, address := range m.roster.Load().holdersBefore {
		if !m.unresponsive.contains(address, now) {
			return false
		}
	}
	return true
}

// IsFirstHolder reports whether this instance is the first token holder in the order of its failure domain, so that it does
// not stand in for another one. It is not before it has listed the others: when 100 instances were killed and started again together, 50 to
// 99 of them leased a part of each budget in advance, and less than a hundredth of it was left for the others.
func (m *Members) IsFirstHolder() bool {
	r := m.roster.Load()
	return r.listed && len(r.holdersBefore) == 0
}

// TokenHolderCount returns how many instances lease tokens from the ledger, according to the last listing.
func (m *Members) TokenHolderCount() int { return m.roster.Load().holderCount }

// RequestAllocation requests the tokens that a request needs, up to the wanted number, from the token holder of this
// failure domain. It queries the next instance in order only if one is unresponsive or cannot reach the ledger.
func (m *Members) RequestAllocation(ctx context.Context, customer string, rank int, needed, wanted int64) prepaid.Allocation {
	now, queried, responded := m.config.Clock.Now(), 0, false
	for _, address := range m.roster.Load().holdersBefore {
		if queried == maxHoldersQueried || ctx.Err() != nil {
			break
		}
		if m.unresponsive.contains(address, now) {
			continue
		}
		queried++
		reply, err := m.callLend(ctx, address, &api.LendRequest{Customer: customer, Tokens: wanted, Needed: needed, Rank: int32(rank)})
		switch {
		case err != nil && ctx.Err() != nil:
			// The caller canceled the request, which does not show that the instance is unresponsive.
		case err != nil:
			m.unresponsive.add(address, now.Add(unresponsiveTTL))
			m.config.Log.WithField("address", address).WithError(err).Info("members: token holder of the domain is unresponsive")
		case !reply.Away:
			return prepaid.Allocation{Tokens: min(max(reply.Tokens, 0), wanted), Exhausted: reply.Exhausted, Rationed: reply.Rationed}
		default:
			responded = true
		}
	}
	return prepaid.Allocation{StoreUnavailable: true, Unreachable: !responded && ctx.Err() == nil}
}

// Borrow requests tokens of a customer's budget from a few instances in turn, until it has the given number. It returns
// the number of tokens received.
func (m *Members) Borrow(ctx context.Context, customer string, tokens int64) int64 {
	ctx, cancel := context.WithTimeout(ctx, borrowTimeout)
	defer cancel()
	borrowed := int64(0)
	for _, address := range m.roster.Load().lenders() {
		if borrowed >= tokens || ctx.Err() != nil {
			break
		}
		reply, err := m.callLend(ctx, address, &api.LendRequest{Customer: customer, Tokens: tokens - borrowed})
		if err != nil {
			m.config.Log.WithField("address", address).WithError(err).Info("members: loan request failed")
			continue
		}
		borrowed += min(max(reply.Tokens, 0), tokens-borrowed)
	}
	return borrowed
}

// callLend sends a loan or allocation request to one instance. If it returns an error, the request is abandoned, and the
// other instance takes back tokens that it may have passed on.
func (m *Members) callLend(ctx context.Context, address string, request *api.LendRequest) (*api.LendReply, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request.Borrower, request.Sequence = string(m.config.Incarnation), m.lendSequence.Add(1)
	conn := m.pool.Get(ctx, address, m.dialPeer)
	defer conn.Close()
	reply, err := api.NewDRPCFleetClient(conn).Lend(ctx, request)
	if err != nil {
		m.recordUnanswered(address, request)
	}
	return reply, err
}

// dialPeer connects to another instance.
func (m *Members) dialPeer(ctx context.Context, address string) (drpcpool.Conn, error) {
	raw, err := m.config.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return drpcconn.New(raw), nil
}

// Lend implements the Fleet service. A request that names needed tokens is an allocation, any other a loan.
func (m *Members) Lend(ctx context.Context, request *api.LendRequest) (*api.LendReply, error) {
	if request.Needed <= 0 {
		return &api.LendReply{Tokens: m.config.Lend(ctx, transferID(request), request.Customer, max(request.Tokens, 0))}, nil
	}
	allocation := m.config.Allocate(ctx, transferID(request), request.Customer, int(request.Rank), request.Needed, max(request.Tokens, request.Needed))
	return &api.LendReply{Tokens: allocation.Tokens, Exhausted: allocation.Exhausted, Away: allocation.StoreUnavailable, Rationed: allocation.Rationed}, nil
}
