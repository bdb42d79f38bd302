package members

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"pumiceshelf/api"
	"pumiceshelf/endpointlimit"
	"pumiceshelf/registry"
)

const (
	// limitExchangeInterval is the mean time between two exchanges of endpoint limits while an instance knows any.
	limitExchangeInterval = time.Second
	// limitExchangePeers is the number of instances with which it exchanges them.
	limitExchangePeers = 2
)

// Names returns the names of the instances in the last listing, this one included. It returns nil if the other instances are
// not known.
func (m *Members) Names() []string { return m.roster.Load().names }

// RunExchangingLimits passes on endpoint limits to other instances while there are any, until the context ends.
func (m *Members) RunExchangingLimits(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-m.config.Clock.After(limitExchangeInterval/2 + rand.N(limitExchangeInterval)):
			m.exchangeLimits(ctx)
		}
	}
}

// exchangeLimits exchanges the known limits with a few instances at the same time.
func (m *Members) exchangeLimits(ctx context.Context) {
	known := m.config.Limits.Statements(m.config.Clock.Now())
	if len(known) == 0 {
		return
	}
	addresses := m.roster.Load().sample()
	var calls sync.WaitGroup
	for _, address := range addresses[:min(len(addresses), limitExchangePeers)] {
		calls.Go(func() {
			reply, err := m.callExchangeLimits(ctx, address, encodeLimits(known))
			if err != nil {
				m.config.Log.WithField("address", address).WithError(err).Info("members: exchange of endpoint limits failed")
				return
			}
			m.config.Limits.Merge(decodeLimits(reply), m.config.Clock.Now())
		})
	}
	calls.Wait()
}

func (m *Members) callExchangeLimits(ctx context.Context, address string, request *api.EndpointLimits) (*api.EndpointLimits, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	conn := m.pool.Get(ctx, address, m.dialPeer)
	defer conn.Close()
	return api.NewDRPCFleetClient(conn).ExchangeLimits(ctx, request)
}

// ExchangeLimits implements the Fleet service.
func (m *Members) ExchangeLimits(_ context.Context, request *api.EndpointLimits) (*api.EndpointLimits, error) {
	now := m.config.Clock.Now()
	reply := encodeLimits(m.config.Limits.Statements(now))
	m.config.Limits.Merge(decodeLimits(request), now)
	return reply, nil
}

func encodeLimits(list []endpointlimit.Statement) *api.EndpointLimits {
	out := &api.EndpointLimits{}
	for _, s := range list {
		out.Limits = append(out.Limits, &api.EndpointLimit{
			Endpoint: s.Endpoint.ID, Service: s.Endpoint.Service, Address: s.Endpoint.Address, StartedUnixMs: s.Endpoint.StartedUnixMilli,
			SoftwareVersion: s.Endpoint.SoftwareVersion, Limited: s.Limited, Rate: s.Rate, Age: durationpb.New(s.Age),
		})
	}
	return out
}

func decodeLimits(m *api.EndpointLimits) []endpointlimit.Statement {
	var out []endpointlimit.Statement
	for _, l := range m.GetLimits() {
		out = append(out, endpointlimit.Statement{
			Endpoint: registry.Endpoint{
				ID: l.Endpoint, Service: l.Service, Address: l.Address, StartedUnixMilli: l.StartedUnixMs, SoftwareVersion: l.SoftwareVersion,
			},
			Limited: l.Limited, Rate: l.Rate, Age: l.Age.AsDuration(),
		})
	}
	return out
}
