package members

import (
	"context"
	"sync"
	"time"

	"pumiceshelf/api"
	"pumiceshelf/instance"
	"pumiceshelf/prepaid"
)

const (
	// abandonRetryInterval is the time between two attempts to tell an instance about requests without a response.
	abandonRetryInterval = 300 * time.Millisecond
	// abandonTimeout is how long they are repeated. After it, the tokens of a response that was lost stay unused.
	abandonTimeout = 20 * time.Second
	// repairTimeout bounds a call that abandons requests or returns tokens. No caller waits for it. With callTimeout, all attempts of an
	// instance with a full link failed, and a fifth of a customer's budget stayed unused.
	repairTimeout = 1500 * time.Millisecond
	// maxUnanswered bounds the requests without a response that are kept for one instance.
	maxUnanswered = 1024
)

// unansweredRequests are this instance's requests for tokens that got no response, by the address of the other instance.
// It is safe for concurrent use.
type unansweredRequests struct {
	mu        sync.Mutex
	byAddress map[string][]unansweredRequest
	// forgotten is the sum of the tokens of requests that were dropped since the last call of take.
	forgotten int64
}

type unansweredRequest struct {
	sequence uint64
	expires  time.Time
	tokens   int64
}

func (u *unansweredRequests) add(address string, r unansweredRequest) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.byAddress == nil {
		u.byAddress = make(map[string][]unansweredRequest)
	}
	list := append(u.byAddress[address], r)
	dropped := max(0, len(list)-maxUnanswered)
	for _, r := range list[:dropped] {
		u.forgotten += r.tokens
	}
	u.byAddress[address] = list[dropped:]
}

// take removes and returns all requests that have not expired, and returns the tokens of those that are forgotten since the last
// call. They stay parked if the other instance had passed them on.
func (u *unansweredRequests) take(now time.Time) (out map[string][]unansweredRequest, forgotten int64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	out = make(map[string][]unansweredRequest)
	for address, list := range u.byAddress {
		for _, r := range list {
			if now.Before(r.expires) {
				out[address] = append(out[address], r)
			} else {
				u.forgotten += r.tokens
			}
		}
	}
	forgotten = u.forgotten
	u.byAddress, u.forgotten = nil, 0
	return out, forgotten
}

// RunAbandoning tells other instances about requests for tokens that got no response, so that they take the tokens back,
// until the context ends.
func (m *Members) RunAbandoning(ctx context.Context) error {
	ticker := m.config.Clock.NewTicker(abandonRetryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.Chan():
			m.abandonUnanswered(ctx)
		}
	}
}

// abandonUnanswered makes one attempt for each instance, at the same time, and keeps what failed for the next one.
func (m *Members) abandonUnanswered(ctx context.Context) {
	var calls sync.WaitGroup
	unanswered, forgotten := m.unanswered.take(m.config.Clock.Now())
	m.recordParked(forgotten)
	for address, list := range unanswered {
		calls.Go(func() {
			request := &api.AbandonRequest{Borrower: string(m.config.Incarnation)}
			for _, r := range list {
				request.Sequences = append(request.Sequences, r.sequence)
			}
			err := m.callAbandon(ctx, address, request)
			if err == nil {
				return
			}
			m.config.Log.WithField("address", address).WithField("requests", len(list)).WithError(err).Info("members: requests for tokens not yet abandoned")
			for _, r := range list {
				m.unanswered.add(address, r)
			}
		})
	}
	calls.Wait()
}

func (m *Members) callAbandon(ctx context.Context, address string, request *api.AbandonRequest) error {
	ctx, cancel := context.WithTimeout(ctx, repairTimeout)
	defer cancel()
	conn := m.pool.Get(ctx, address, m.dialPeer)
	defer conn.Close()
	_, err := api.NewDRPCFleetClient(conn).Abandon(ctx, request)
	return err
}

// Abandon implements the Fleet service.
func (m *Members) Abandon(_ context.Context, request *api.AbandonRequest) (*api.AbandonReply, error) {
	m.config.Abandon(instance.Incarnation(request.Borrower), request.Sequences)
	return &api.AbandonReply{}, nil
}

// recordUnanswered records a request for tokens without a response. Its tokens are never used here.
func (m *Members) recordUnanswered(address string, request *api.LendRequest) {
	m.unanswered.add(address, unansweredRequest{sequence: request.Sequence, expires: m.config.Clock.Now().Add(abandonTimeout), tokens: request.Tokens})
	if m.config.Unanswered != nil {
		m.config.Unanswered(request.Customer, request.Tokens)
	}
}

// recordParked reports tokens that stay parked because of a lost response.
func (m *Members) recordParked(tokens int64) {
	if tokens > 0 && m.config.ParkedByLostResponse != nil {
		m.config.ParkedByLostResponse(tokens)
	}
}

// transferID returns the identity of a request for tokens.
func transferID(request *api.LendRequest) prepaid.TransferID {
	return prepaid.TransferID{Borrower: instance.Incarnation(request.Borrower), Sequence: request.Sequence}
}
