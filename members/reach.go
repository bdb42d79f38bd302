package members

import (
	"context"
	"errors"
	"math/rand/v2"

	"pumiceshelf/api"
	"pumiceshelf/registry"
)

// maxCheckers bounds the instances that are asked whether they reach an endpoint. They may be partitioned from it as well.
const maxCheckers = 8

// CallerAddress is the address of another instance for callers.
type CallerAddress struct{ Domain, Address string }

// CallerAddresses returns the addresses for callers of the other instances, as far as they are listed.
func (m *Members) CallerAddresses() (out []CallerAddress) {
	for _, member := range m.roster.Load().others {
		if member.CallerAddress != "" {
			out = append(out, CallerAddress{Domain: member.Domain, Address: member.CallerAddress})
		}
	}
	return out
}

// ReachedByOthers reports whether one of several other instances can connect to an endpoint. They are asked at the same time.
func (m *Members) ReachedByOthers(ctx context.Context, e registry.Endpoint) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	others := m.roster.Load().others
	order := rand.Perm(len(others))
	order = order[:min(len(order), maxCheckers)]
	replies := make(chan bool, len(order))
	for _, i := range order {
		go func() {
			connected, err := m.callCheckEndpoint(ctx, others[i].PeerAddress, e)
			if err != nil && !errors.Is(err, context.Canceled) {
				m.config.Log.WithField("address", others[i].PeerAddress).WithError(err).Info("members: check of an endpoint by another instance failed")
			}
			replies <- connected
		}()
	}
	for range order {
		if <-replies {
			return true
		}
	}
	return false
}

func (m *Members) callCheckEndpoint(ctx context.Context, address string, e registry.Endpoint) (bool, error) {
	conn := m.pool.Get(ctx, address, m.dialPeer)
	defer conn.Close()
	reply, err := api.NewDRPCFleetClient(conn).CheckEndpoint(ctx, &api.CheckEndpointRequest{Id: e.ID, Address: e.Address})
	return reply.GetConnected(), err
}

// CheckEndpoint implements the Fleet service.
func (m *Members) CheckEndpoint(ctx context.Context, request *api.CheckEndpointRequest) (*api.CheckEndpointReply, error) {
	return &api.CheckEndpointReply{Connected: m.config.CanConnect(ctx, request.Id, request.Address)}, nil
}
