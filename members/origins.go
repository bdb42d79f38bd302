package members

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"pumiceshelf/api"
	"pumiceshelf/origin"
)

const (
	// maxOriginDomains bounds the failure domains in which an origin is kept, besides that of the instance that relays the
	// stream. Callers resume in their own domain, or elsewhere if it is lost.
	maxOriginDomains = 2
	// originKeepers is the number of instances of a domain that may keep an origin. The first that responds keeps it.
	originKeepers = 2
	// originKeepersAsked is the number of instances of a domain that are asked for an origin. It is one more, because the
	// instance that relayed the stream may be among them.
	originKeepersAsked = originKeepers + 1
	// originQueueSize bounds the origins that wait to be passed on.
	originQueueSize = 1024
	// maxOriginBatch bounds the origins in one message.
	maxOriginBatch = 256
	// maxOriginCalls bounds the messages with origins in progress.
	maxOriginCalls = 64
	// findOriginTimeout bounds the search for an origin, during which the caller waits.
	findOriginTimeout = 200 * time.Millisecond
)

// keepers returns the addresses of other instances that keep the origin of an attempt's stream, best first, for each of
// several failure domains. All instances with the same list return the same ones, apart from themselves and their own domain.
func (r *roster) keepers(attempt, ownDomain string, perDomain int) [][]string {
	rank := func(key string) uint64 { return xxhash.Sum64String(attempt + "\x00" + key) }
	byDomain := make(map[string][]string)
	var domains []string
	for _, member := range r.others {
		if byDomain[member.Domain] == nil && member.Domain != ownDomain {
			domains = append(domains, member.Domain)
		}
		byDomain[member.Domain] = append(byDomain[member.Domain], member.PeerAddress)
	}
	slices.SortFunc(domains, func(a, b string) int { return cmp.Compare(rank(a), rank(b)) })
	var out [][]string
	for _, domain := range append([]string{ownDomain}, domains[:min(len(domains), maxOriginDomains)]...) {
		list := byDomain[domain]
		slices.SortFunc(list, func(a, b string) int { return cmp.Compare(rank(a), rank(b)) })
		if len(list) > 0 {
			out = append(out, list[:min(len(list), perDomain)])
		}
	}
	return out
}

// RecordOrigin keeps the origin of a stream and passes it on to other instances in the background.
func (m *Members) RecordOrigin(o origin.Origin) {
	m.config.Origins.Put(o, m.config.Clock.Now())
	select {
	case m.originQueue <- o:
	default:
		m.config.Log.WithField("request_id", o.Attempt).Warn("members: stream origin is not passed on, too many wait")
	}
}

// RunPassingOrigins passes on the origins of streams until the context ends.
func (m *Members) RunPassingOrigins(ctx context.Context) error {
	calls := make(chan struct{}, maxOriginCalls)
	var inProgress sync.WaitGroup
	defer inProgress.Wait()
	for {
		select {
		case <-ctx.Done():
			return nil
		case first := <-m.originQueue:
			for _, batch := range m.originBatches(first) {
				calls <- struct{}{}
				inProgress.Go(func() {
					defer func() { <-calls }()
					m.storeBatch(ctx, batch)
				})
			}
		}
	}
}

// originBatch holds the origins for one keeper, and the keeper that gets them if it does not respond.
type originBatch struct {
	addresses []string
	origins   []*api.StreamOrigin
}

// originBatches takes the waiting origins and groups them by keeper.
func (m *Members) originBatches(first origin.Origin) map[string]originBatch {
	batches := make(map[string]originBatch)
	for o, n := first, 0; ; n++ {
		for _, addresses := range m.roster.Load().keepers(o.Attempt, m.config.Self.Domain, originKeepers) {
			b := batches[addresses[0]]
			b.addresses = addresses
			b.origins = append(b.origins, encodeOrigin(o))
			batches[addresses[0]] = b
		}
		if n == maxOriginBatch {
			return batches
		}
		select {
		case o = <-m.originQueue:
		default:
			return batches
		}
	}
}

// storeBatch sends origins to the first keeper that responds.
func (m *Members) storeBatch(ctx context.Context, b originBatch) {
	for _, address := range b.addresses {
		err := m.callStoreOrigins(ctx, address, &api.StoreOriginsRequest{Origins: b.origins})
		if err == nil || ctx.Err() != nil {
			return
		}
		m.config.Log.WithField("address", address).WithField("origins", len(b.origins)).WithError(err).Info("members: stream origins not passed on")
	}
}

func (m *Members) callStoreOrigins(ctx context.Context, address string, request *api.StoreOriginsRequest) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	conn := m.pool.Get(ctx, address, m.dialPeer)
	defer conn.Close()
	_, err := api.NewDRPCFleetClient(conn).StoreOrigins(ctx, request)
	return err
}

// SearchOrigin searches for the origin of the stream that an attempt began, first here and then on the instances that may keep
// it.
func (m *Members) SearchOrigin(ctx context.Context, attempt, service string) origin.Search {
	request := &api.FindOriginRequest{Attempt: attempt, Service: service}
	result := origin.Search{}
	addReply(&result, m.findLocal(request))
	if result.Found {
		return result
	}
	ctx, cancel := context.WithTimeout(ctx, findOriginTimeout)
	defer cancel()
	var addresses []string
	for _, keepers := range m.roster.Load().keepers(attempt, m.config.Self.Domain, originKeepersAsked) {
		addresses = append(addresses, keepers...)
	}
	replies := make(chan *api.FindOriginReply, len(addresses))
	for _, address := range addresses {
		go func() {
			reply, err := m.callFindOrigin(ctx, address, request)
			if err != nil && ctx.Err() == nil {
				m.config.Log.WithField("address", address).WithField("request_id", attempt).WithError(err).Info("members: search for a stream origin failed")
			}
			replies <- reply
		}()
	}
	for range addresses {
		if addReply(&result, <-replies); result.Found {
			break
		}
	}
	return result
}

// addReply adds a reply to a search. It is nil if there was none.
func addReply(r *origin.Search, reply *api.FindOriginReply) {
	if reply == nil {
		return
	}
	if o := reply.Origin; o != nil {
		r.Origin, r.Found = origin.Origin{Attempt: o.Attempt, Service: o.Service, Version: o.Version}, true
	}
	r.Versions = append(r.Versions, reply.Versions...)
	slices.Sort(r.Versions)
	r.Versions = slices.Compact(r.Versions)
	r.VersionsComplete = r.VersionsComplete || reply.VersionsComplete
}

func (m *Members) callFindOrigin(ctx context.Context, address string, request *api.FindOriginRequest) (*api.FindOriginReply, error) {
	conn := m.pool.Get(ctx, address, m.dialPeer)
	defer conn.Close()
	return api.NewDRPCFleetClient(conn).FindOrigin(ctx, request)
}

// findLocal returns what this instance knows of an origin.
func (m *Members) findLocal(request *api.FindOriginRequest) *api.FindOriginReply {
	now := m.config.Clock.Now()
	reply := &api.FindOriginReply{}
	if o, ok := m.config.Origins.Get(request.Attempt, now); ok {
		reply.Origin = encodeOrigin(o)
	}
	reply.Versions, reply.VersionsComplete = m.config.Versions(request.Service)
	return reply
}

// StoreOrigins implements the Fleet service.
func (m *Members) StoreOrigins(_ context.Context, request *api.StoreOriginsRequest) (*api.StoreOriginsReply, error) {
	now := m.config.Clock.Now()
	for _, o := range request.Origins {
		m.config.Origins.Put(origin.Origin{Attempt: o.Attempt, Service: o.Service, Version: o.Version}, now)
	}
	return &api.StoreOriginsReply{}, nil
}

// FindOrigin implements the Fleet service.
func (m *Members) FindOrigin(_ context.Context, request *api.FindOriginRequest) (*api.FindOriginReply, error) {
	return m.findLocal(request), nil
}

func encodeOrigin(o origin.Origin) *api.StreamOrigin {
	return &api.StreamOrigin{Attempt: o.Attempt, Service: o.Service, Version: o.Version}
}
