package members

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
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
	// firstColdExchangeDelay is the mean time until an instance that starts first asks others for cold endpoints, and asks again without
	// a response. It has no requests yet, or few.
	firstColdExchangeDelay = 200 * time.Millisecond
)

// Names returns the names of the instances in the last listing, this one included. It returns nil if the other instances are
// not known.
func (m *Members) Names() []string { return m.roster.Load().names }

// SettledNames returns Names, but nil until a second listing: instances that start together do not find each other in the first one.
func (m *Members) SettledNames() []string {
	if r := m.roster.Load(); r.settled {
		return r.names
	}
	return nil
}

// RunExchangingLimits passes on endpoint limits and cold endpoints to other instances while there are any, until the context ends. Where
// endpoints may be cold, an instance that has just started asks for them although it knows none.
func (m *Members) RunExchangingLimits(ctx context.Context) error {
	asks := m.config.AsksForCold
	for {
		interval := limitExchangeInterval/2 + rand.N(limitExchangeInterval)
		if asks {
			interval = firstColdExchangeDelay/2 + rand.N(firstColdExchangeDelay)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-m.config.Clock.After(interval):
			asks = m.exchangeLimits(ctx, asks) == 0 && asks
		}
	}
}

// exchangeLimits exchanges what is known with a few instances at the same time, if there is anything, or in any case if asks is set. It
// returns the number of responses.
func (m *Members) exchangeLimits(ctx context.Context, asks bool) int {
	now := m.config.Clock.Now()
	known := encodeLimits(m.config.Limits.Statements(now), m.config.Limits.ColdStatements(now))
	if !asks && len(known.Limits)+len(known.Cold) == 0 {
		return 0
	}
	addresses := m.roster.Load().sample()
	var responses atomic.Int64
	var calls sync.WaitGroup
	for _, address := range addresses[:min(len(addresses), limitExchangePeers)] {
		calls.Go(func() {
			reply, err := m.callExchangeLimits(ctx, address, known)
			if err != nil {
				m.config.Log.WithField("address", address).WithError(err).Info("members: exchange of endpoint limits failed")
				return
			}
			responses.Add(1)
			m.mergeLimits(reply)
		})
	}
	calls.Wait()
	return int(responses.Load())
}

// mergeLimits applies what another instance has passed on.
func (m *Members) mergeLimits(list *api.EndpointLimits) {
	now := m.config.Clock.Now()
	m.config.Limits.Merge(decodeLimits(list), now)
	m.config.Limits.MergeCold(decodeCold(list), now)
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
	reply := encodeLimits(m.config.Limits.Statements(now), m.config.Limits.ColdStatements(now))
	m.mergeLimits(request)
	return reply, nil
}

func encodeLimits(list []endpointlimit.Statement, cold []endpointlimit.ColdStatement) *api.EndpointLimits {
	out := &api.EndpointLimits{}
	for _, s := range list {
		out.Limits = append(out.Limits, &api.EndpointLimit{
			Endpoint: s.Endpoint.ID, Service: s.Endpoint.Service, Address: s.Endpoint.Address, StartedUnixMs: s.Endpoint.StartedUnixMilli,
			SoftwareVersion: s.Endpoint.SoftwareVersion, Limited: s.Limited, Rate: s.Rate, Age: durationpb.New(s.Age),
		})
	}
	for _, s := range cold {
		out.Cold = append(out.Cold, &api.ColdEndpoint{
			Endpoint: s.Endpoint.ID, Service: s.Endpoint.Service, Address: s.Endpoint.Address, StartedUnixMs: s.Endpoint.StartedUnixMilli,
			SoftwareVersion: s.Endpoint.SoftwareVersion, Left: durationpb.New(s.Left), Age: durationpb.New(s.Age), Assumed: s.Assumed,
		})
	}
	return out
}

func decodeCold(m *api.EndpointLimits) []endpointlimit.ColdStatement {
	var out []endpointlimit.ColdStatement
	for _, c := range m.GetCold() {
		out = append(out, endpointlimit.ColdStatement{
			Endpoint: registry.Endpoint{
				ID: c.Endpoint, Service: c.Service, Address: c.Address, StartedUnixMilli: c.StartedUnixMs, SoftwareVersion: c.SoftwareVersion,
			},
			Left: c.Left.AsDuration(), Age: c.Age.AsDuration(), Assumed: c.Assumed,
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
