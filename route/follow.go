package route

import (
	"context"
	"fmt"
	"time"

	"golang.org/x/sync/errgroup"

	"pumiceshelf/api"
	"pumiceshelf/instance"
)

// Run follows the bundle and the view and polls load reports until ctx ends.
func (b *Balancer) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return b.follow(ctx) })
	group.Go(func() error { return b.poll(ctx) })
	return group.Wait()
}

// followInterval is the time between looks at ejections and leaving endpoints that time has changed.
const followInterval = 100 * time.Millisecond

func (b *Balancer) follow(ctx context.Context) error {
	ticker := b.config.Clock.NewTicker(followInterval)
	defer ticker.Stop()
	for {
		bundles, view := b.config.Bundles.Changed(), b.config.View.Changed()
		b.rebuildIfChanged()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-bundles:
			b.rebuild()
			b.room("")
		case <-view:
			b.rebuild()
			b.room("")
		case <-ticker.Chan():
			b.tick()
		}
	}
}

// rebuildIfChanged catches a bundle that came in force between two waits.
func (b *Balancer) rebuildIfChanged() {
	snap := b.config.Bundles.Current()
	if snap != nil && snap.Number != b.table.Load().number {
		b.rebuild()
		b.room("")
	}
}

// tick lets ejections and peers' words end.
func (b *Balancer) tick() {
	now := b.config.Clock.Now()
	b.hearing.look(now)
	out, room := 0, false
	t := b.table.Load()
	for id, s := range t.states {
		if s.health.ejected(now) {
			out++
		}
		if s.health.takeReturn(now) {
			room = true
			b.returned(id)
		}
		room = s.health.takeRest(now) || room
	}
	b.meters.outNow.Update(int64(out))
	b.mu.Lock()
	b.leaving.forget(now, func(id string) bool { return t.states[id] != nil })
	b.markLeaving()
	b.mu.Unlock()
	if room {
		b.room("")
	}
}

func (b *Balancer) returned(id string) {
	b.meters.returned.Inc(1)
	if b.config.Repairs != nil {
		b.config.Repairs.Add("route", fmt.Sprintf("%s back in rotation after its ejection", id))
	}
}

// rebuild swaps in a table of the bundle in force and the view of now.
func (b *Balancer) rebuild() {
	snap := b.config.Bundles.Current()
	if snap == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	t := build(snap, b.fleet(), b.table.Load(), b.config.Settings.InitialConcurrency)
	b.table.Store(t)
	b.leaving.forget(b.config.Clock.Now(), func(id string) bool { return t.states[id] != nil })
	b.markLeaving()
	b.meters.endpoints.Update(int64(len(t.states)))
}

// fleet counts the live instances that share endpoints with this one.
func (b *Balancer) fleet() fleet {
	domain := instance.Domain(b.config.Self.Domain)
	return fleet{
		domain:   domain,
		inDomain: b.rank(b.config.View.Live(domain)),
		inFleet:  b.rank(b.liveElsewhere()),
	}
}

// liveElsewhere returns the live instances of all domains, which may spill over to any endpoint.
func (b *Balancer) liveElsewhere() []*api.Instance {
	var out []*api.Instance
	for _, m := range b.config.View.Members() {
		if m.Live && !m.Instance.Leaving {
			out = append(out, m.Instance)
		}
	}
	return out
}

// rank returns this instance's place among others, counting itself even if it is not listed.
func (b *Balancer) rank(live []*api.Instance) sharers {
	for i, l := range live {
		if l.Incarnation == b.config.Self.Incarnation {
			return sharers{count: len(live), rank: i}
		}
	}
	return sharers{count: len(live) + 1, rank: len(live)}
}
