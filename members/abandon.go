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
	// maxUnanswered bounds the requests without a response that are kept for one instance.
	maxUnanswered = 1024
)

// unansweredRequests are this instance's requests for tokens that got no response, by the address of the other instance.
// It is safe for concurrent use.
type unansweredRequests struct {
	mu        sync.Mutex
	byAddress map[string][]unansweredRequest
}

type unansweredRequest struct {
	sequence uint64
	expires  time.Time
}

func (u *unansweredRequests) add(address string, r unansweredRequest) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.byAddress == nil {
		u.byAddress = make(map[string][]unansweredRequest)
	}
	list := append(u.byAddress[address], r)
	u.byAddress[address] = list[max(0, len(list)-maxUnanswered):]
}

// take removes and returns all requests that have not expired.
func (u *unansweredRequests) take(now time.Time) map[string][]unansweredRequest {
	u.mu.Lock()
	defer u.mu.Unlock()
	out := make(map[string][]unansweredRequest)
	for address, list := range u.byAddress {
		for _, r := range list {
			if now.Before(r.expires) {
				out[address] = append(out[address], r)
			}
		}
	}
	u.byAddress = nil
	return out
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
	for address, list := range m.unanswered.take(m.config.Clock.Now()) {
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
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
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
	m.unanswered.add(address, unansweredRequest{sequence: request.Sequence, expires: m.config.Clock.Now().Add(abandonTimeout)})
	if m.config.Unanswered != nil {
		m.config.Unanswered(request.Customer, request.Tokens)
	}
}

// transferID returns the identity of a request for tokens.
func transferID(request *api.LendRequest) prepaid.TransferID {
	return prepaid.TransferID{Borrower: instance.Incarnation(request.Borrower), Sequence: request.Sequence}
}
