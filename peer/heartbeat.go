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

// runHeartbeats sends heartbeats once per interval, and earlier when there are updates to gossip.
func (f *Fleet) runHeartbeats(ctx context.Context) error {
	var sends sync.WaitGroup
	defer sends.Wait()
	ticker := f.cfg.Clock.NewTicker(f.interval())
	defer ticker.Stop()
	f.sendHeartbeats(ctx, &sends, f.intervalTargets)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.Chan():
			f.expire()
			f.sendHeartbeats(ctx, &sends, f.intervalTargets)
		case <-f.gossipSignal:
			f.sendHeartbeats(ctx, &sends, f.gossipTargets)
		}
	}
}

func (f *Fleet) interval() time.Duration { return f.cfg.Settings.GetHeartbeatInterval().AsDuration() }

// intervalTargets starts a heartbeat interval and returns its targets. f.mu must be held.
func (f *Fleet) intervalTargets() []*member {
	f.tick++
	f.remainingHeartbeats = int(f.cfg.Settings.GetHeartbeatFanout())
	return f.table.intervalTargets(f.rnd, f.tick, f.remainingHeartbeats)
}

// gossipTargets returns targets for queued updates, up to the remaining heartbeats of the interval. f.mu must be held.
func (f *Fleet) gossipTargets() []*member { return f.table.gossipTargets(f.rnd, f.remainingHeartbeats) }

// sendHeartbeats sends one heartbeat to each target that has none in flight.
func (f *Fleet) sendHeartbeats(ctx context.Context, sends *sync.WaitGroup, selectTargets func() []*member) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range selectTargets() {
		id := instance.Incarnation(m.instance.GetIncarnation())
		if f.inFlight[id] {
			continue
		}
		f.inFlight[id] = true
		f.remainingHeartbeats--
		p, inst, full := f.memberPool(m), m.instance, !m.introduced
		sends.Go(func() { f.sendHeartbeat(ctx, p, inst, full) })
	}
}

// sendHeartbeat exchanges one heartbeat and records the result. A missed heartbeat closes the connections to the instance.
func (f *Fleet) sendHeartbeat(ctx context.Context, p *pool, inst *api.Instance, full bool) {
	id := instance.Incarnation(inst.GetIncarnation())
	callCtx, cancel := clockwork.WithTimeout(ctx, f.cfg.Clock, f.interval())
	defer cancel()
	resp, err := f.exchangeHeartbeat(callCtx, unlimitedPool{p}, inst, full)
	f.mu.Lock()
	delete(f.inFlight, id)
	f.mu.Unlock()
	switch {
	case err == nil && resp.GetFrom().GetIncarnation() == string(id):
		f.applyResponse(resp)
	case err == nil:
		f.recordSuperseded(id, resp.GetFrom())
	case ctx.Err() != nil || errors.Is(err, errWrongIncarnation) || errors.Is(err, errPoolClosed):
	default:
		f.recordMissed(id, p, err)
	}
}

// exchangeHeartbeat sends one heartbeat on a connection and returns the response. If full is true, the request contains
// the complete description of this instance, otherwise only its incarnation.
func (f *Fleet) exchangeHeartbeat(ctx context.Context, conn drpc.Conn, to *api.Instance, full bool) (*api.HeartbeatResponse, error) {
	local := f.cfg.LocalReport()
	f.mu.Lock()
	req := &api.HeartbeatRequest{
		From:              f.selfDescription(full),
		To:                to.GetIncarnation(),
		BundleNumber:      local.BundleNumber,
		LeavingEndpoints:  local.DrainingEndpoints,
		Loads:             local.Loads,
		PlatformReachable: local.PlatformReachable,
		Updates:           f.table.updates.nextBatch(),
	}
	f.mu.Unlock()
	f.counters.sent.Inc(1)
	return api.NewDRPCMembershipPeerClient(conn).Heartbeat(ctx, req)
}

// selfDescription returns the complete description of this instance, or only its incarnation. f.mu must be held.
func (f *Fleet) selfDescription(full bool) *api.Instance {
	if full {
		return f.table.self
	}
	return &api.Instance{Incarnation: f.table.self.GetIncarnation()}
}

// applyResponse applies the response to a heartbeat.
func (f *Fleet) applyResponse(resp *api.HeartbeatResponse) {
	f.applyHeartbeat(resp.GetFrom(), responseReport(resp), resp.GetUpdates(), !resp.GetIntroduce())
}

// applyHeartbeat applies another instance's report and its updates about other members.
func (f *Fleet) applyHeartbeat(from *api.Instance, r Report, updates []*api.MemberUpdate, introduced bool) {
	f.mu.Lock()
	now := f.cfg.Clock.Now()
	recovered := f.table.recordHeartbeat(now, from, r)
	m := f.table.members[instance.Incarnation(from.GetIncarnation())]
	sender := from
	if m != nil {
		m.introduced = introduced
		sender = m.instance
	}
	newUpdates := false
	for _, u := range updates {
		newUpdates = f.table.applyUpdate(now, u) || newUpdates
	}
	f.publishIfChanged()
	f.mu.Unlock()
	if recovered {
		f.counters.recovered.Inc(1)
		f.recordRepair("instance " + from.GetIncarnation() + " answers again")
	}
	if newUpdates {
		f.signalGossip()
	}
	if m != nil {
		f.cfg.OnReport(sender, r)
	}
}

// recordMissed records a failed heartbeat and closes the connections to the instance.
func (f *Fleet) recordMissed(id instance.Incarnation, p *pool, err error) {
	f.counters.missed.Inc(1)
	if n := p.discard(); n > 0 {
		f.counters.discarded.Inc(int64(n))
		f.cfg.Log.Warnf("peer: heartbeat to %s failed, closed %d connections: %v", id, n, err)
	}
	f.mu.Lock()
	newlySuspected := f.table.recordMissedHeartbeat(f.cfg.Clock.Now(), id)
	f.mu.Unlock()
	if newlySuspected {
		f.counters.suspected.Inc(1)
		f.signalGossip()
	}
}

// recordSuperseded records that an incarnation was superseded by another one at the same address.
func (f *Fleet) recordSuperseded(id instance.Incarnation, by *api.Instance) {
	f.mu.Lock()
	f.table.markSuperseded(f.cfg.Clock.Now(), id)
	f.table.add(by)
	f.publishIfChanged()
	f.mu.Unlock()
	f.counters.superseded.Inc(1)
	f.cfg.Log.Infof("peer: incarnation %s was replaced by %s", id, by.GetIncarnation())
	f.closePool(id)
}

// expire marks instances as failed that were unresponsive for the failure timeout, and closes idle connections.
func (f *Fleet) expire() {
	f.mu.Lock()
	failed := f.table.expire(f.cfg.Clock.Now())
	f.storeSnapshot()
	f.publishIfChanged()
	idle := f.poolsToSweep()
	f.mu.Unlock()
	for _, p := range idle {
		p.closeIdle(f.cfg.Clock.Now())
	}
	for _, id := range failed {
		f.counters.failed.Inc(1)
		f.cfg.Log.Warnf("peer: instance %s failed: no heartbeat within the failure timeout", id)
		f.closePool(id)
	}
}

func (f *Fleet) recordRepair(text string) {
	if f.cfg.Repairs != nil {
		f.cfg.Repairs.Add("peer", text)
	}
}

// heartbeatServer serves heartbeat requests.
type heartbeatServer Fleet

var _ api.DRPCMembershipPeerServer = (*heartbeatServer)(nil)

// Heartbeat implements api.DRPCMembershipPeerServer. It adds unknown senders, or asks for their description if it is missing.
func (s *heartbeatServer) Heartbeat(_ context.Context, req *api.HeartbeatRequest) (*api.HeartbeatResponse, error) {
	f := (*Fleet)(s)
	f.counters.received.Inc(1)
	local := f.cfg.LocalReport()
	from := req.GetFrom()
	full := from.GetPeerAddress() != "" || req.GetTo() != f.cfg.Self.GetIncarnation()
	introduce := f.needsIntroduction(from)
	if !introduce {
		f.applyRequest(req)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return &api.HeartbeatResponse{
		From:              f.selfDescription(full),
		BundleNumber:      local.BundleNumber,
		PlatformReachable: local.PlatformReachable,
		LeavingEndpoints:  local.DrainingEndpoints,
		Loads:             local.Loads,
		Updates:           f.table.updates.nextBatch(),
		Introduce:         introduce,
	}, nil
}

// needsIntroduction reports whether the sender is unknown and sent only its incarnation.
func (f *Fleet) needsIntroduction(from *api.Instance) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	known := f.table.members[instance.Incarnation(from.GetIncarnation())] != nil
	return !known && from.GetPeerAddress() == ""
}

// applyRequest applies a received heartbeat. Both requests and responses count as a sign of life, although only a response
// shows that this instance can reach the sender.
func (f *Fleet) applyRequest(req *api.HeartbeatRequest) {
	r := Report{
		BundleNumber:      req.GetBundleNumber(),
		DrainingEndpoints: req.GetLeavingEndpoints(),
		Loads:             req.GetLoads(),
		PlatformReachable: req.GetPlatformReachable(),
	}
	f.mu.Lock()
	m := f.table.members[instance.Incarnation(req.GetFrom().GetIncarnation())]
	introduced := m != nil && m.introduced
	f.mu.Unlock()
	f.applyHeartbeat(req.GetFrom(), r, req.GetUpdates(), introduced)
}

func responseReport(resp *api.HeartbeatResponse) Report {
	return Report{
		BundleNumber:      resp.GetBundleNumber(),
		DrainingEndpoints: resp.GetLeavingEndpoints(),
		Loads:             resp.GetLoads(),
		PlatformReachable: resp.GetPlatformReachable(),
	}
}
