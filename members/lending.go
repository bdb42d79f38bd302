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

// Holds says whether this instance holds tokens of its own: it is the one that does so for its failure domain, or its
// domain is small.
func (m *Members) Holds() bool {
	now := m.config.Clock.Now()
	for _, address := range m.roster.Load().before {
		if !m.silent.is(address, now) {
			return false
		}
	}
	return true
}

// Holders returns how many instances hold tokens, as far as is known.
func (m *Members) Holders() int { return m.roster.Load().holders }

// Draw asks the instances that hold this failure domain's tokens for what a request needs, and for what is wanted besides.
// The next one is asked only if one does not answer or does not reach the ledger.
func (m *Members) Draw(ctx context.Context, customer string, needed, wanted int64) prepaid.Provision {
	now, asked := m.config.Clock.Now(), 0
	for _, address := range m.roster.Load().before {
		if asked == holdersAsked || ctx.Err() != nil {
			break
		}
		if m.silent.is(address, now) {
			continue
		}
		asked++
		reply, err := m.callLend(ctx, address, &api.LendRequest{Customer: customer, Tokens: wanted, Needed: needed})
		switch {
		case err != nil && ctx.Err() != nil:
			// The caller left: that says nothing about the instance.
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
	for _, address := range m.roster.Load().lenders() {
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
