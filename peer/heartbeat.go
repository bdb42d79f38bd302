package peer

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"storj.io/drpc"

	"pumiceshelf/api"
	"pumiceshelf/instance"
)

// beat sends heartbeats every interval, and sooner when there is news to spread.
func (f *Fleet) beat(ctx context.Context) error {
	var sends sync.WaitGroup
	defer sends.Wait()
	ticker := f.cfg.Clock.NewTicker(f.interval())
	defer ticker.Stop()
	f.round(ctx, &sends, f.regular)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.Chan():
			f.expire()
			f.round(ctx, &sends, f.regular)
		case <-f.kick:
			f.round(ctx, &sends, f.extra)
		}
	}
}

func (f *Fleet) interval() time.Duration { return f.cfg.Settings.GetHeartbeatInterval().AsDuration() }

// regular chooses the targets of an interval. It needs the lock.
func (f *Fleet) regular() []*member {
	f.tick++
	f.left = int(f.cfg.Settings.GetHeartbeatFanout())
	return f.table.targets(f.rnd, f.tick, f.left)
}

// extra chooses targets for news within what is left of the interval's bound. It needs the lock.
func (f *Fleet) extra() []*member { return f.table.spread(f.rnd, f.left) }

// round sends one heartbeat to each target that has none under way.
func (f *Fleet) round(ctx context.Context, sends *sync.WaitGroup, choose func() []*member) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range choose() {
		id := instance.Incarnation(m.instance.GetIncarnation())
		if f.pending[id] {
			continue
		}
		f.pending[id] = true
		f.left--
		p, inst, full := f.pool(m), m.instance, !m.introduced
		sends.Go(func() { f.send(ctx, p, inst, full) })
	}
}

// send exchanges one heartbeat and records how it went. Heartbeats that are missed cost the instance's connections.
func (f *Fleet) send(ctx context.Context, p *pool, inst *api.Instance, full bool) {
	id := instance.Incarnation(inst.GetIncarnation())
	callCtx, cancel := clockwork.WithTimeout(ctx, f.cfg.Clock, f.interval())
	defer cancel()
	resp, err := f.exchange(callCtx, unbounded{p}, inst, full)
	f.mu.Lock()
	delete(f.pending, id)
	f.mu.Unlock()
	switch {
	case err == nil && resp.GetFrom().GetIncarnation() == string(id):
		f.absorb(resp)
	case err == nil:
		f.replaced(id, resp.GetFrom())
	case ctx.Err() != nil || errors.Is(err, errOtherIncarnation) || errors.Is(err, errDiscarded):
	default:
		f.missed(id, p, err)
	}
}

// exchange sends one heartbeat on a connection.
func (f *Fleet) exchange(ctx context.Context, conn drpc.Conn, to *api.Instance, full bool) (*api.HeartbeatResponse, error) {
	local := f.cfg.Local()
	f.mu.Lock()
	req := &api.HeartbeatRequest{
		From:              f.describe(full),
		To:                to.GetIncarnation(),
		BundleNumber:      local.BundleNumber,
		LeavingEndpoints:  local.LeavingEndpoints,
		Loads:             local.Loads,
		PlatformReachable: local.PlatformReachable,
		Updates:           f.table.news.take(),
	}
	f.mu.Unlock()
	f.count.sent.Inc(1)
	return api.NewDRPCMembershipPeerClient(conn).Heartbeat(ctx, req)
}

// describe returns the own instance in full, or its incarnation alone. It needs the lock.
func (f *Fleet) describe(full bool) *api.Instance {
	if full {
		return f.table.self
	}
	return &api.Instance{Incarnation: f.table.self.GetIncarnation()}
}

// absorb takes over the answer to a heartbeat.
func (f *Fleet) absorb(resp *api.HeartbeatResponse) {
	f.met(resp.GetFrom(), responseReport(resp), resp.GetUpdates(), !resp.GetIntroduce())
}

// met takes over what another instance told of itself and of others.
func (f *Fleet) met(from *api.Instance, r Report, updates []*api.MemberUpdate, introduced bool) {
	f.mu.Lock()
	now := f.cfg.Clock.Now()
	returned := f.table.heard(now, from, r)
	m := f.table.members[instance.Incarnation(from.GetIncarnation())]
	sender := from
	if m != nil {
		m.introduced = introduced
		sender = m.instance
	}
	fresh := false
	for _, u := range updates {
		fresh = f.table.update(now, u) || fresh
	}
	f.publish()
	f.mu.Unlock()
	if returned {
		f.count.returned.Inc(1)
		f.repaired("instance " + from.GetIncarnation() + " answers again")
	}
	if fresh {
		f.wake()
	}
	if m != nil {
		f.cfg.OnReport(sender, r)
	}
}

// missed records a heartbeat that failed and discards the connections to the instance.
func (f *Fleet) missed(id instance.Incarnation, p *pool, err error) {
	f.count.missed.Inc(1)
	if n := p.discard(); n > 0 {
		f.count.discarded.Inc(int64(n))
		f.cfg.Log.Warnf("peer: heartbeat to %s missed, %d connections discarded: %v", id, n, err)
	}
	f.mu.Lock()
	fresh := f.table.missedHeartbeat(f.cfg.Clock.Now(), id)
	f.mu.Unlock()
	if fresh {
		f.count.suspected.Inc(1)
		f.wake()
	}
}

// replaced records that a later incarnation answered at the address of an earlier one.
func (f *Fleet) replaced(id instance.Incarnation, by *api.Instance) {
	f.mu.Lock()
	f.table.superseded(f.cfg.Clock.Now(), id)
	f.table.add(by)
	f.publish()
	f.mu.Unlock()
	f.count.superseded.Inc(1)
	f.cfg.Log.Infof("peer: %s was replaced by %s", id, by.GetIncarnation())
	f.drop(id)
}

// expire lets instances go that were silent for too long, and connections that were not used for long.
func (f *Fleet) expire() {
	f.mu.Lock()
	gone := f.table.expire(f.cfg.Clock.Now())
	f.refresh()
	f.publish()
	idle := f.idlePools()
	f.mu.Unlock()
	for _, p := range idle {
		p.closeIdle(f.cfg.Clock.Now())
	}
	for _, id := range gone {
		f.count.gone.Inc(1)
		f.cfg.Log.Warnf("peer: %s is gone", id)
		f.drop(id)
	}
}

func (f *Fleet) repaired(text string) {
	if f.cfg.Repairs != nil {
		f.cfg.Repairs.Add("peer", text)
	}
}

// heartbeatServer answers heartbeats.
type heartbeatServer Fleet

var _ api.DRPCMembershipPeerServer = (*heartbeatServer)(nil)

// Heartbeat implements api.DRPCMembershipPeerServer. A sender that is not known is added.
func (s *heartbeatServer) Heartbeat(_ context.Context, req *api.HeartbeatRequest) (*api.HeartbeatResponse, error) {
	f := (*Fleet)(s)
	f.count.received.Inc(1)
	local := f.cfg.Local()
	from := req.GetFrom()
	full := from.GetPeerAddress() != "" || req.GetTo() != f.cfg.Self.GetIncarnation()
	introduce := f.introduce(from)
	if !introduce {
		f.hear(req)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return &api.HeartbeatResponse{
		From:              f.describe(full),
		BundleNumber:      local.BundleNumber,
		PlatformReachable: local.PlatformReachable,
		LeavingEndpoints:  local.LeavingEndpoints,
		Loads:             local.Loads,
		Updates:           f.table.news.take(),
		Introduce:         introduce,
	}, nil
}

// introduce says whether the sender must send itself in full.
func (f *Fleet) introduce(from *api.Instance) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	known := f.table.members[instance.Incarnation(from.GetIncarnation())] != nil
	return !known && from.GetPeerAddress() == ""
}

// hear takes over a heartbeat received. That a request arrived does not show that the way back works, which the answer to
// an own heartbeat shows; both count as a sign of life.
func (f *Fleet) hear(req *api.HeartbeatRequest) {
	r := Report{
		BundleNumber:      req.GetBundleNumber(),
		LeavingEndpoints:  req.GetLeavingEndpoints(),
		Loads:             req.GetLoads(),
		PlatformReachable: req.GetPlatformReachable(),
	}
	f.mu.Lock()
	m := f.table.members[instance.Incarnation(req.GetFrom().GetIncarnation())]
	introduced := m != nil && m.introduced
	f.mu.Unlock()
	f.met(req.GetFrom(), r, req.GetUpdates(), introduced)
}

func responseReport(resp *api.HeartbeatResponse) Report {
	return Report{
		BundleNumber:      resp.GetBundleNumber(),
		LeavingEndpoints:  resp.GetLeavingEndpoints(),
		Loads:             resp.GetLoads(),
		PlatformReachable: resp.GetPlatformReachable(),
	}
}
