package route

import (
	"context"
	"sort"
	"sync/atomic"

	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	"pumiceshelf/api"
	"pumiceshelf/bundle"
	"pumiceshelf/instance"
)

// maxConcurrentPolls bounds the load reports that are fetched concurrently.
const maxConcurrentPolls = 16

// LoadSource fetches load reports. Implementations are safe for concurrent use.
type LoadSource interface {
	// Load fetches the load of a model engine, or of a plain service if model is false.
	Load(ctx context.Context, url string, model bool) (*api.EndpointLoad, error)
}

// poll fetches the load reports of this instance's endpoints and updates the median token times once per report interval.
func (b *Balancer) poll(ctx context.Context) error {
	ticker := b.config.Clock.NewTicker(b.config.Settings.ReportInterval.AsDuration())
	defer ticker.Stop()
	for {
		b.pollOnce(ctx)
		for _, g := range b.table.Load().groups {
			g.updateMedianTokenTimes()
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.Chan():
		}
	}
}

// pollOnce fetches the load reports of all endpoints that this instance polls and drops the reports of other endpoints.
func (b *Balancer) pollOnce(ctx context.Context) {
	polled := b.polledEndpoints()
	b.pruneLocalLoads(polled)
	var group errgroup.Group
	group.SetLimit(maxConcurrentPolls)
	var responded atomic.Int64
	for _, e := range polled {
		group.Go(func() error {
			if b.pollEndpoint(ctx, e) {
				responded.Add(1)
			}
			return nil
		})
	}
	_ = group.Wait()
	// Reports of some endpoints of the domain do not show the state of the others.
	if len(polled) > 0 && len(polled) == b.countDomainEndpoints() && int(responded.Load()) == len(polled) {
		b.recordUpdate()
	}
}

func (b *Balancer) countDomainEndpoints() int {
	n := 0
	for _, e := range b.table.Load().endpoints {
		if string(e.Domain) == b.config.Self.Domain {
			n++
		}
	}
	return n
}

// polledEndpoints returns the endpoints of this domain that this instance polls. Each endpoint is polled by one instance
// of its domain; the others receive its load reports in heartbeats.
func (b *Balancer) polledEndpoints() map[string]*bundle.Endpoint {
	out := make(map[string]*bundle.Endpoint)
	domain := instance.Domain(b.config.Self.Domain)
	for id, e := range b.table.Load().endpoints {
		if e.Domain != domain {
			continue
		}
		owner := b.config.View.Owner("loads/" + id)
		if owner == nil || owner.Incarnation == b.config.Self.Incarnation {
			out[id] = e
		}
	}
	return out
}

// pruneLocalLoads drops the load reports of endpoints that this instance no longer polls.
func (b *Balancer) pruneLocalLoads(polled map[string]*bundle.Endpoint) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id := range b.localLoads {
		if polled[id] == nil {
			delete(b.localLoads, id)
			b.draining.setReported(id, false)
		}
	}
}

// pollEndpoint fetches and applies one endpoint's load report. It reports whether the endpoint responded.
func (b *Balancer) pollEndpoint(ctx context.Context, e *bundle.Endpoint) bool {
	ctx, cancel := context.WithTimeout(ctx, b.config.Settings.ReportInterval.AsDuration())
	defer cancel()
	b.counters.polls.Inc(1)
	response, err := b.config.Loads.Load(ctx, e.URL, len(e.Models) > 0)
	if err != nil {
		b.counters.pollsFailed.Inc(1)
		b.config.Log.Debugf("route: fetching the load report of endpoint %s failed: %s", e.ID, err)
		return false
	}
	l := proto.Clone(response).(*api.EndpointLoad)
	l.Endpoint = e.ID
	l.ReportedUnixMs = b.config.Clock.Now().UnixMilli()
	b.applyLocalLoad(l)
	return true
}

// applyLocalLoad stores and applies a load report that this instance fetched itself.
func (b *Balancer) applyLocalLoad(l *api.EndpointLoad) {
	b.mu.Lock()
	b.localLoads[l.Endpoint] = l
	b.draining.setReported(l.Endpoint, l.Leaving)
	b.updateDraining()
	b.mu.Unlock()
	b.applyLoad(l)
	b.notifyEndpointCapacity(l.Endpoint)
}

// applyLoad applies a load report to its endpoint. It returns false if the endpoint is unknown or the report not new.
func (b *Balancer) applyLoad(l *api.EndpointLoad) bool {
	s := b.table.Load().states[l.Endpoint]
	return s != nil && s.applyReport(b.config.Clock.Now(), l)
}

// notifyEndpointCapacity reports that the groups of an endpoint may have capacity again.
func (b *Balancer) notifyEndpointCapacity(id string) {
	t := b.table.Load()
	for _, g := range t.memberships[t.states[id]] {
		b.notifyCapacity(g.name)
	}
}

// LocalLoads returns the load reports that this instance fetched itself, ordered by endpoint, for its heartbeats.
func (b *Balancer) LocalLoads() []*api.EndpointLoad {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make([]*api.EndpointLoad, 0, len(b.localLoads))
	for _, l := range b.localLoads {
		out = append(out, l)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Endpoint < out[j].Endpoint })
	return out
}

// LocalDraining returns the draining endpoints that the platform or the endpoints' own load reports name, in order.
// Endpoints that only peers report are excluded.
func (b *Balancer) LocalDraining() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.draining.local()
}

// ApplyPeerReport applies the load reports and draining endpoints from a peer's heartbeat.
func (b *Balancer) ApplyPeerReport(loads []*api.EndpointLoad, draining []string) {
	now := b.config.Clock.Now()
	b.mu.Lock()
	for _, l := range loads {
		if l.Leaving {
			b.draining.setByPeer(now, []string{l.Endpoint})
		}
	}
	b.draining.setByPeer(now, draining)
	b.updateDraining()
	b.mu.Unlock()
	for _, l := range loads {
		if b.applyLoad(l) {
			b.notifyEndpointCapacity(l.Endpoint)
		}
	}
	b.recordUpdate()
}
