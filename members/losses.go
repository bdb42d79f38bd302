package members

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"pumiceshelf/api"
	"pumiceshelf/placement"
	"pumiceshelf/registry"
)

const (
	// lossExchangeInterval is the mean time between two exchanges of all losses while there are any. It only brings those up to date
	// that an exchange on a new loss has missed.
	lossExchangeInterval = 200 * time.Millisecond
	// lossExchangePeers is the number of instances asked each time. With four, a new loss that each instance passes on once
	// reaches 98 of 100 instances by calculation, in as many round trips as the logarithm of their number to base four.
	lossExchangePeers = 4
	// minLossExchangeInterval is the least time between two exchanges of new losses, for losses that follow each other.
	minLossExchangeInterval = 10 * time.Millisecond
	// sustainedLossExchangeInterval and lossExchangeBurst bound the exchanges while losses go on for long: without, 86 instances
	// used half as much processor time again while 60% of the endpoints lost responses. The end of as many endpoints as the burst
	// within a moment is passed on without a delay; a delay of 100 ms after each exchange has mixed streams of two versions.
	sustainedLossExchangeInterval = 100 * time.Millisecond
	lossExchangeBurst             = 40
	// maxLossCalls bounds the calls in progress. An instance that does not respond holds one for callTimeout.
	maxLossCalls = 64
)

// Losses are the losses of connections to endpoints. An endpoint that has lost one may have started again as another software
// version, which only the instances that were connected to it know until it is listed.
type Losses interface {
	// Recent returns the losses after which an endpoint may not be listed as it runs. complete is set if they cover as long a
	// time. needed is set if those of another instance are needed because this one has not observed the endpoints for so long, or
	// because others may not list this one yet.
	Recent() (list []placement.Loss, complete, needed bool)
	// Merge adds the losses that another instance knows. complete is set if they are all that it has observed for as long as they count;
	// reporter is its address then.
	Merge(list []placement.Loss, complete bool, reporter string)
	// Signal returns a channel that receives a value when a loss was recorded.
	Signal() <-chan struct{}
}

// RunExchangingLosses exchanges losses of connections with other instances until the context ends: new ones at once, as far as
// the limit of their rate allows, and all of them repeatedly while there are any, and at the start.
func (m *Members) RunExchangingLosses(ctx context.Context) error {
	calls := make(chan struct{}, maxLossCalls)
	var inProgress sync.WaitGroup
	defer inProgress.Wait()
	clock := m.config.Clock
	limit := newExchangeLimit(sustainedLossExchangeInterval, lossExchangeBurst)
	nextForAll := clock.Now().Add(lossExchangeInterval/2 + rand.N(lossExchangeInterval))
	signaled := false
	for {
		signal, wait := m.config.Losses.Signal(), nextForAll.Sub(clock.Now())
		if signaled {
			signal, wait = nil, min(wait, limit.delay(clock.Now()))
		}
		if wait > 0 {
			select {
			case <-ctx.Done():
				return nil
			case <-signal:
				signaled = true
				continue
			case <-clock.After(wait):
			}
		}
		now := clock.Now()
		all := !now.Before(nextForAll)
		if all {
			nextForAll = now.Add(lossExchangeInterval/2 + rand.N(lossExchangeInterval))
		}
		list, complete, needed := m.config.Losses.Recent()
		if !all {
			list = m.notPassedOn(list)
		}
		if len(list) == 0 && !(all && needed) {
			signaled = false
			continue
		}
		if all {
			limit.force(now)
		} else if !limit.take(now) {
			continue
		}
		signaled = false
		m.recordPassedOn(list)
		// An instance that does not know all losses asks for them in each exchange.
		request := encodeLosses(list, complete && !all, now)
		addresses := m.roster.Load().sample()
		for _, address := range addresses[:min(len(addresses), lossExchangePeers)] {
			select {
			case calls <- struct{}{}:
			default:
				continue
			}
			inProgress.Go(func() {
				defer func() { <-calls }()
				m.exchangeLosses(ctx, address, request)
			})
		}
		if all {
			// A new loss does not wait because of it.
			continue
		}
		select {
		case <-ctx.Done():
			return nil
		case <-clock.After(minLossExchangeInterval):
		}
	}
}

// notPassedOn returns the losses that this instance has not sent to others yet.
func (m *Members) notPassedOn(list []placement.Loss) (out []placement.Loss) {
	passedOn := m.lossesPassedOn.Load()
	for _, l := range list {
		if l.Sequence > passedOn {
			out = append(out, l)
		}
	}
	return out
}

// recordPassedOn records that losses were sent to others. Only the goroutine that begins the exchanges calls it.
func (m *Members) recordPassedOn(list []placement.Loss) {
	for _, l := range list {
		if l.Sequence > m.lossesPassedOn.Load() {
			m.lossesPassedOn.Store(l.Sequence)
		}
	}
}

// exchangeLosses exchanges losses with one instance.
func (m *Members) exchangeLosses(ctx context.Context, address string, request *api.ConnectionLosses) {
	began := m.config.Clock.Now()
	reply, err := m.callExchangeLosses(ctx, address, request)
	if err != nil {
		m.config.Log.WithField("address", address).WithError(err).Debug("members: exchange of lost connections failed")
		return
	}
	now := m.config.Clock.Now()
	m.config.Losses.Merge(decodeLosses(reply, now), reply.Complete && now.Sub(began) <= callTimeout, address)
}

func (m *Members) callExchangeLosses(ctx context.Context, address string, request *api.ConnectionLosses) (*api.ConnectionLosses, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	conn := m.pool.Get(ctx, address, m.dialPeer)
	defer conn.Close()
	return api.NewDRPCFleetClient(conn).ExchangeLosses(ctx, request)
}

// ExchangeLosses implements the Fleet service.
func (m *Members) ExchangeLosses(_ context.Context, request *api.ConnectionLosses) (*api.ConnectionLosses, error) {
	if m.config.Losses == nil {
		return &api.ConnectionLosses{}, nil
	}
	now := m.config.Clock.Now()
	list, complete, _ := m.config.Losses.Recent()
	received := decodeLosses(request, now)
	if request.Complete {
		list, complete = m.notPassedOn(list), false
	}
	list = withoutKnown(list, received)
	// Only replies count as complete: a request may have waited while this instance was suspended.
	m.config.Losses.Merge(received, false, "")
	return encodeLosses(list, complete, now), nil
}

// withoutKnown returns the losses that an instance does not know which has sent others.
func withoutKnown(list, received []placement.Loss) (out []placement.Loss) {
	known := make(map[string]placement.Loss, len(received))
	for _, l := range received {
		known[l.Endpoint.ID] = l
	}
	for _, l := range list {
		k, ok := known[l.Endpoint.ID]
		if !ok || !k.Endpoint.SameProcess(l.Endpoint) || l.At.Sub(k.At) > placement.SameLossInterval {
			out = append(out, l)
		}
	}
	return out
}

func encodeLosses(list []placement.Loss, complete bool, now time.Time) *api.ConnectionLosses {
	out := &api.ConnectionLosses{Complete: complete}
	for _, l := range list {
		out.Losses = append(out.Losses, &api.ConnectionLoss{
			Endpoint: l.Endpoint.ID, Service: l.Endpoint.Service, Address: l.Endpoint.Address, StartedUnixMs: l.Endpoint.StartedUnixMilli,
			SoftwareVersion: l.Endpoint.SoftwareVersion, Age: durationpb.New(now.Sub(l.At)),
		})
	}
	return out
}

func decodeLosses(m *api.ConnectionLosses, now time.Time) (out []placement.Loss) {
	for _, l := range m.GetLosses() {
		out = append(out, placement.Loss{
			Endpoint: registry.Endpoint{
				ID: l.Endpoint, Service: l.Service, Address: l.Address, StartedUnixMilli: l.StartedUnixMs, SoftwareVersion: l.SoftwareVersion,
			},
			At: now.Add(-max(l.Age.AsDuration(), 0)),
		})
	}
	return out
}
