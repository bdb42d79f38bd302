package members

import (
	"context"
	"time"

	"github.com/apex/log"

	"pumiceshelf/api"
	"pumiceshelf/instance"
	"pumiceshelf/prepaid"
)

const (
	// returnRetryInterval is the time between two attempts to pass tokens back, and returnTimeout how long they are repeated.
	// After it, the tokens stay unused, as the receiver may have them.
	returnRetryInterval = 300 * time.Millisecond
	returnTimeout       = 20 * time.Second
)

// outgoingReturn is a return of tokens to the instance at an address.
type outgoingReturn struct {
	request *api.ReturnRequest
	address string
}

// ReturnTokens begins to pass tokens by customer back to the token holder of this failure domain. It returns false if there is
// none, or if earlier returns are not done yet.
func (m *Members) ReturnTokens(tokens map[string]int64) bool {
	now, r := m.config.Clock.Now(), m.roster.Load()
	for _, address := range r.holdersBefore {
		receiver := r.incarnationAt(address)
		if receiver == "" || m.unresponsive.contains(address, now) {
			continue
		}
		request := &api.ReturnRequest{
			Returner: string(m.config.Incarnation), Receiver: receiver, Sequence: m.returnSequence.Add(1), Tokens: tokens,
		}
		select {
		case m.returnQueue <- outgoingReturn{request: request, address: address}:
			return true
		default:
			return false
		}
	}
	return false
}

// RunReturning sends returns of tokens, one after the other, until the context ends.
func (m *Members) RunReturning(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case r := <-m.returnQueue:
			m.sendReturn(ctx, r)
		}
	}
}

// sendReturn sends a return until it has a response. It takes the tokens back only if the receiver cannot have them.
func (m *Members) sendReturn(ctx context.Context, r outgoingReturn) {
	expires := m.config.Clock.Now().Add(returnTimeout)
	for first := true; ; first = false {
		reply, err := m.callReturn(ctx, r)
		switch {
		case err == nil && !reply.WrongReceiver:
			return
		case err == nil && first:
			m.config.TakeBack(r.request.Tokens)
			return
		case err == nil || !m.config.Clock.Now().Before(expires):
			m.config.Log.WithFields(log.Fields{"address": r.address, "tokens": r.request.Tokens}).WithError(err).
				Info("members: tokens not returned")
			parked := int64(0)
			for _, tokens := range r.request.Tokens {
				parked += tokens
			}
			m.recordParked(parked)
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-m.config.Clock.After(returnRetryInterval):
		}
	}
}

func (m *Members) callReturn(ctx context.Context, r outgoingReturn) (*api.ReturnReply, error) {
	ctx, cancel := context.WithTimeout(ctx, repairTimeout)
	defer cancel()
	conn := m.pool.Get(ctx, r.address, m.dialPeer)
	defer conn.Close()
	return api.NewDRPCFleetClient(conn).Return(ctx, r.request)
}

// Return implements the Fleet service.
func (m *Members) Return(_ context.Context, request *api.ReturnRequest) (*api.ReturnReply, error) {
	accepted := m.config.AcceptReturn(prepaid.Return{
		Returner: instance.Incarnation(request.Returner), Receiver: instance.Incarnation(request.Receiver),
		Sequence: request.Sequence, Tokens: request.Tokens,
	})
	return &api.ReturnReply{WrongReceiver: !accepted}, nil
}
