package route

import (
	"context"
	"fmt"
	"time"

	"golang.org/x/sync/errgroup"

	"pumiceshelf/api"
	"pumiceshelf/instance"
)

// Run tracks changes of the bundle and the view and polls load reports until ctx is canceled.
func (b *Balancer) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return b.watchChanges(ctx) })
	group.Go(func() error { return b.poll(ctx) })
	return group.Wait()
}

// tickInterval is the time between checks for ejections, backoffs and peers' draining reports that have expired.
const tickInterval = 100 * time.Millisecond

// watchChanges rebuilds the table when the bundle or the view changes and calls tick every tickInterval.
func (b *Balancer) watchChanges(ctx context.Context) error {
	ticker := b.config.Clock.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		bundles, view := b.config.Bundles.Changed(), b.config.View.Changed()
		b.rebuildIfChanged()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-bundles:
			b.rebuild()
			b.notifyCapacity("")
		case <-view:
			b.rebuild()
			b.notifyCapacity("")
		case <-ticker.Chan():
			b.tick()
		}
	}
}

// rebuildIfChanged rebuilds the table if another bundle became active before watchChanges subscribed to the next change.
func (b *Balancer) rebuildIfChanged() {
	snap := b.config.Bundles.Current()
	if snap != nil && snap.Number != b.table.Load().bundleNumber {
		b.rebuild()
		b.notifyCapacity("")
	}
}

// tick ends expired ejections, backoffs and peers' draining reports.
func (b *Balancer) tick() {
	now := b.config.Clock.Now()
	b.staleness.tick(now)
	ejected, capacityChanged := 0, false
	t := b.table.Load()
	for id, s := range t.states {
		if s.health.ejected(now) {
			ejected++
		}
		if s.health.endEjection(now) {
			capacityChanged = true
			b.recordReinstated(id)
		}
		capacityChanged = s.health.endBackoff(now) || capacityChanged
	}
	b.counters.ejectedNow.Update(int64(ejected))
	b.mu.Lock()
	b.draining.prune(now, func(id string) bool { return t.states[id] != nil })
	b.updateDraining()
	b.mu.Unlock()
	if capacityChanged {
		b.notifyCapacity("")
	}
}

// recordReinstated records that an endpoint's ejection has ended.
func (b *Balancer) recordReinstated(id string) {
	b.counters.reinstated.Inc(1)
	if b.config.Repairs != nil {
		b.config.Repairs.Add("route", fmt.Sprintf("%s back in rotation after its ejection", id))
	}
}

// rebuild replaces the table by one of the active bundle and the current view.
func (b *Balancer) rebuild() {
	snap := b.config.Bundles.Current()
	if snap == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	t := buildTable(snap, b.currentShares(), b.table.Load(), b.config.Settings.InitialConcurrency)
	b.table.Store(t)
	b.draining.prune(b.config.Clock.Now(), func(id string) bool { return t.states[id] != nil })
	b.updateDraining()
	b.counters.endpoints.Update(int64(len(t.states)))
}

// currentShares returns this instance's shares among the live instances.
func (b *Balancer) currentShares() fleetShares {
	domain := instance.Domain(b.config.Self.Domain)
	return fleetShares{
		domain:   domain,
		inDomain: b.shareAmong(b.config.View.Live(domain)),
		inFleet:  b.shareAmong(b.liveInFleet()),
	}
}

// liveInFleet returns the live instances of all domains that are not draining. Each may spill over to any endpoint.
func (b *Balancer) liveInFleet() []*api.Instance {
	var out []*api.Instance
	for _, m := range b.config.View.Members() {
		if m.Live && !m.Instance.Leaving {
			out = append(out, m.Instance)
		}
	}
	return out
}

// shareAmong returns this instance's share among live instances. If it is not listed, it counts as an additional one.
func (b *Balancer) shareAmong(live []*api.Instance) instanceShare {
	for i, l := range live {
		if l.Incarnation == b.config.Self.Incarnation {
			return instanceShare{count: len(live), rank: i}
		}
	}
	return instanceShare{count: len(live) + 1, rank: len(live)}
}
