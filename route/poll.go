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

// pollsAtOnce bounds the load reports fetched side by side.
const pollsAtOnce = 16

// LoadSource fetches load reports. Implementations are safe for concurrent use.
type LoadSource interface {
	// Load asks a model engine, or a plain service, for its load.
	Load(ctx context.Context, url string, model bool) (*api.EndpointLoad, error)
}

// poll fetches, once an interval, the load reports of the endpoints that this instance polls.
func (b *Balancer) poll(ctx context.Context) error {
	ticker := b.config.Clock.NewTicker(b.config.Settings.ReportInterval.AsDuration())
	defer ticker.Stop()
	for {
		b.pollOnce(ctx)
		for _, g := range b.table.Load().groups {
			g.observePace()
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.Chan():
		}
	}
}

// pollOnce fetches the reports of all endpoints that are this instance's to poll and forgets those of others.
func (b *Balancer) pollOnce(ctx context.Context) {
	mine := b.mine()
	b.keepLocal(mine)
	var group errgroup.Group
	group.SetLimit(pollsAtOnce)
	var answered atomic.Int64
	for _, e := range mine {
		group.Go(func() error {
			if b.pollEndpoint(ctx, e) {
				answered.Add(1)
			}
			return nil
		})
	}
	_ = group.Wait()
	// Reports of a part of the endpoints say nothing of the others.
	if len(mine) > 0 && len(mine) == b.inDomain() && int(answered.Load()) == len(mine) {
		b.heard()
	}
}

// inDomain counts the endpoints of this domain.
func (b *Balancer) inDomain() int {
	n := 0
	for _, e := range b.table.Load().endpoints {
		if string(e.Domain) == b.config.Self.Domain {
			n++
		}
	}
	return n
}

// mine returns the endpoints of this domain that this instance polls. Each endpoint has one poller in its domain; the
// others hear its reports with heartbeats.
func (b *Balancer) mine() map[string]*bundle.Endpoint {
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

// keepLocal forgets the reports of endpoints that others poll now.
func (b *Balancer) keepLocal(mine map[string]*bundle.Endpoint) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id := range b.local {
		if mine[id] == nil {
			delete(b.local, id)
			b.leaving.setReported(id, false)
		}
	}
}

// pollEndpoint returns whether the endpoint reported.
func (b *Balancer) pollEndpoint(ctx context.Context, e *bundle.Endpoint) bool {
	ctx, cancel := context.WithTimeout(ctx, b.config.Settings.ReportInterval.AsDuration())
	defer cancel()
	b.meters.polls.Inc(1)
	got, err := b.config.Loads.Load(ctx, e.URL, len(e.Models) > 0)
	if err != nil {
		b.meters.pollsFailed.Inc(1)
		b.config.Log.Debugf("route: no load report from %s: %s", e.ID, err)
		return false
	}
	l := proto.Clone(got).(*api.EndpointLoad)
	l.Endpoint = e.ID
	l.ReportedUnixMs = b.config.Clock.Now().UnixMilli()
	b.keep(l)
	return true
}

// keep takes in a report that this instance fetched itself.
func (b *Balancer) keep(l *api.EndpointLoad) {
	b.mu.Lock()
	b.local[l.Endpoint] = l
	b.leaving.setReported(l.Endpoint, l.Leaving)
	b.markLeaving()
	b.mu.Unlock()
	b.applyLoad(l)
	b.roomAt(l.Endpoint)
}

func (b *Balancer) applyLoad(l *api.EndpointLoad) bool {
	s := b.table.Load().states[l.Endpoint]
	return s != nil && s.apply(b.config.Clock.Now(), l)
}

// roomAt tells that an endpoint's groups may have room.
func (b *Balancer) roomAt(id string) {
	t := b.table.Load()
	for _, g := range t.memberships[t.states[id]] {
		b.room(g.name)
	}
}

// LocalLoads returns the reports that this instance fetched itself, in order of endpoints, for its heartbeats.
func (b *Balancer) LocalLoads() []*api.EndpointLoad {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make([]*api.EndpointLoad, 0, len(b.local))
	for _, l := range b.local {
		out = append(out, l)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Endpoint < out[j].Endpoint })
	return out
}

// LocalLeaving returns the endpoints that leave by what this instance knows other than from peers, in order.
func (b *Balancer) LocalLeaving() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.leaving.own()
}

// ApplyReport takes in load reports and leaving endpoints of a peer's heartbeat.
func (b *Balancer) ApplyReport(loads []*api.EndpointLoad, leaving []string) {
	now := b.config.Clock.Now()
	for _, l := range loads {
		if b.applyLoad(l) {
			b.roomAt(l.Endpoint)
		}
	}
	b.mu.Lock()
	for _, l := range loads {
		if l.Leaving {
			b.leaving.hear(now, []string{l.Endpoint})
		}
	}
	b.leaving.hear(now, leaving)
	b.markLeaving()
	b.mu.Unlock()
	b.heard()
}
