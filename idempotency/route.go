package idempotency

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"pumiceshelf/api"
	"pumiceshelf/claim"
	"pumiceshelf/instance"
	"pumiceshelf/objectstore"
	"pumiceshelf/peer"
)

const (
	// layoutKey is the object with the number of shards, which never changes once it is written.
	layoutKey = "claims/layout"
	// maxFallbackPeers bounds the instances that are queried when this one cannot reach the object store.
	maxFallbackPeers = 2
	// deciderWaitDivisor divides the claim wait to get the time that each instance has to decide a batch.
	deciderWaitDivisor = 3
	// failFastPeriod is how long proposals fail immediately after no queried instance reached the object store.
	failFastPeriod = 500 * time.Millisecond
)

// propose sends a proposal to where it is decided: to the issuer of an issued key, otherwise to the object store.
func (m *Manager) propose(ctx context.Context, r Request, p *api.ClaimProposal) (*api.Claim, error) {
	if r.Form == claim.Issued {
		return m.proposeIssued(ctx, p)
	}
	return m.proposeDurable(ctx, p)
}

// proposeDurable decides a proposal in the object store. Proposals of the same shard are sent in batches.
func (m *Manager) proposeDurable(ctx context.Context, p *api.ClaimProposal) (*api.Claim, error) {
	shards, err := m.loadShardCount()
	if err != nil {
		return nil, wrapUnavailable(err)
	}
	number := binary.BigEndian.Uint32(p.GetClaim().GetKeyHash()) % shards
	claims, err := m.route(number).submit(ctx, p)
	if err != nil {
		return nil, err
	}
	return claims[0], nil
}

// loadShardCount returns the number of shards. The first instance of the fleet that used claims has written it to the
// object store.
func (m *Manager) loadShardCount() (uint32, error) {
	if count := m.cachedShardCount(); count != 0 {
		return count, nil
	}
	// One request reads the layout; those that waited for the lock use its result.
	m.layoutMu.Lock()
	defer m.layoutMu.Unlock()
	if count := m.cachedShardCount(); count != 0 {
		return count, nil
	}
	if m.failingFast() {
		return 0, errStoreUnreachable
	}
	layout, err := m.readOrCreateLayout(m.baseCtx)
	if err != nil {
		m.startFailFast()
		return 0, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.shardCount = layout.GetShards()
	return m.shardCount, nil
}

func (m *Manager) cachedShardCount() uint32 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.shardCount
}

// readOrCreateLayout reads the layout and writes it from the settings if it does not exist. A conflicting or ambiguous
// write is resolved by reading again.
func (m *Manager) readOrCreateLayout(ctx context.Context) (*api.ClaimLayout, error) {
	ctx, cancel := m.withTimeout(ctx, m.claimWait())
	defer cancel()
	obj, err := m.cfg.Store.Get(ctx, layoutKey)
	if errors.Is(err, objectstore.ErrNotFound) {
		value, _ := proto.Marshal(&api.ClaimLayout{Shards: max(1, m.cfg.Settings.GetShards())})
		if _, err := m.cfg.Store.Put(ctx, layoutKey, value, 0); err != nil &&
			!errors.Is(err, objectstore.ErrConflict) && !errors.Is(err, objectstore.ErrAmbiguous) {
			return nil, err
		}
		obj, err = m.cfg.Store.Get(ctx, layoutKey)
	}
	if err != nil {
		return nil, err
	}
	layout := &api.ClaimLayout{}
	if err := proto.Unmarshal(obj.Value, layout); err != nil || layout.GetShards() == 0 {
		return nil, fmt.Errorf("%w: claims layout", objectstore.ErrMalformed)
	}
	if layout.GetShards() != m.cfg.Settings.GetShards() {
		m.cfg.Log.Warnf("claims: the fleet uses %d shards, ignoring %d from the settings", layout.GetShards(), m.cfg.Settings.GetShards())
	}
	return layout, nil
}

// route returns the batcher that sends this instance's proposals for a shard to the instance that decides them.
func (m *Manager) route(number uint32) *batcher {
	m.mu.Lock()
	defer m.mu.Unlock()
	b := m.routes[number]
	if b == nil {
		b = &batcher{baseCtx: m.baseCtx, wg: &m.wg}
		b.flush = func(ctx context.Context, batch []*proposalWaiter) { m.decideBatch(ctx, number, batch) }
		m.routes[number] = b
	}
	return b
}

// shardOf returns the shard through which this instance itself decides claims in the object store.
func (m *Manager) shardOf(number uint32) *shard {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.shards[number]
	if s == nil {
		s = m.newShard(number)
		m.shards[number] = s
	}
	return s
}

// decideBatch sends a batch to the shard's preferred instance, so that instances seldom write the same shard; if that
// fails, it uses this instance, then others that report that they reach the object store. Correctness does not depend on
// which instance decides: every change is a conditional update.
func (m *Manager) decideBatch(ctx context.Context, number uint32, batch []*proposalWaiter) {
	ctx, cancel := m.withTimeout(ctx, m.claimWait())
	defer cancel()
	proposals := proposalsOf(batch)
	if m.failingFast() {
		completeAll(batch, nil, wrapUnavailable(errStoreUnreachable))
		return
	}
	mayTakeEffect := false
	for _, decider := range m.deciderCandidates(number) {
		claims, err := m.proposeTo(ctx, decider, number, proposals)
		if err == nil {
			completeAll(batch, claims, nil)
			return
		}
		mayTakeEffect = mayTakeEffect || errors.Is(err, errAmbiguous)
		if ctx.Err() != nil {
			break
		}
	}
	m.startFailFast()
	err := wrapUnavailable(errStoreUnreachable)
	if mayTakeEffect {
		err = wrapAmbiguous(errStoreUnreachable)
	}
	completeAll(batch, nil, err)
}

// failingFast reports whether proposals fail immediately because the object store was unavailable a moment ago.
func (m *Manager) failingFast() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.cfg.Clock.Now().Before(m.failFastUntil)
}

// startFailFast makes proposals fail immediately for failFastPeriod.
func (m *Manager) startFailFast() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.failFastUntil = m.cfg.Clock.Now().Add(failFastPeriod)
}

// deciderCandidates returns the instances that may decide a shard's batch, in the order in which to query them: the
// shard's preferred instance, this one, then fallbacks.
func (m *Manager) deciderCandidates(number uint32) []instance.Incarnation {
	var out []instance.Incarnation
	preferred := peer.FleetOwner(m.cfg.View, fmt.Sprintf("claims/%d", number))
	if preferred != nil && preferred.GetIncarnation() != string(m.self) {
		out = append(out, instance.Incarnation(preferred.GetIncarnation()))
	}
	out = append(out, m.self)
	fallbacks := 0
	for _, member := range m.cfg.View.Members() {
		id := instance.Incarnation(member.Instance.GetIncarnation())
		if fallbacks < maxFallbackPeers && member.Live && member.PlatformReachable && id != m.self && (preferred == nil || string(id) != preferred.GetIncarnation()) {
			out = append(out, id)
			fallbacks++
		}
	}
	return out
}

// proposeTo lets an instance, which may be this one, decide proposals of a shard.
func (m *Manager) proposeTo(ctx context.Context, decider instance.Incarnation, number uint32, proposals []*api.ClaimProposal) ([]*api.Claim, error) {
	ctx, cancel := m.withTimeout(ctx, m.claimWait()/deciderWaitDivisor)
	defer cancel()
	if decider == m.self {
		return m.shardOf(number).submit(ctx, proposals...)
	}
	req := &api.ProposeRequest{Shard: number, Proposals: proposals, WaitMs: uint32((m.claimWait() / deciderWaitDivisor).Milliseconds())}
	return m.proposeToPeer(ctx, decider, req)
}

// proposeToPeer sends proposals to another instance. The outcome is unknown if the call fails after it was sent.
func (m *Manager) proposeToPeer(ctx context.Context, peerID instance.Incarnation, req *api.ProposeRequest) ([]*api.Claim, error) {
	conn, err := m.cfg.Conns.Conn(ctx, peerID)
	if err != nil {
		m.counters.peerFailed.Inc(1)
		return nil, wrapUnavailable(err)
	}
	resp, err := api.NewDRPCClaimPeerClient(conn).Propose(ctx, req)
	if err != nil {
		m.counters.peerFailed.Inc(1)
		return nil, wrapAmbiguous(err)
	}
	if resp.GetUnavailable() && !resp.GetAmbiguous() {
		m.counters.peerFailed.Inc(1)
		return nil, wrapUnavailable(errStoreUnreachable)
	}
	if resp.GetUnavailable() || len(resp.GetClaims()) != len(req.GetProposals()) {
		m.counters.peerFailed.Inc(1)
		return nil, wrapAmbiguous(errStoreUnreachable)
	}
	m.counters.viaPeer.Inc(1)
	return resp.GetClaims(), nil
}

// queryOwner queries the owner of a claim for the outcome and waits for it, at most for maxOwnerWait.
func (m *Manager) queryOwner(ctx context.Context, owner instance.Incarnation, r Request, c *api.Claim) (*api.Claim, error) {
	ctx, cancel := m.withTimeout(ctx, maxOwnerWait)
	defer cancel()
	conn, err := m.cfg.Conns.Conn(ctx, owner)
	if err != nil {
		return nil, err
	}
	resp, err := api.NewDRPCClaimPeerClient(conn).Await(ctx, &api.AwaitRequest{
		KeyHash: r.Key[:],
		Owner:   string(owner),
		WaitMs:  m.remainingMillis(ctx),
		Attempt: c.GetAttempt(),
	})
	if err != nil {
		return nil, err
	}
	return resp.GetClaim(), nil
}

// remainingMillis returns the time until a context's deadline in milliseconds, less a tenth for the response to arrive.
func (m *Manager) remainingMillis(ctx context.Context) uint32 {
	deadline, ok := ctx.Deadline()
	if !ok {
		return uint32(maxOwnerWait.Milliseconds())
	}
	remaining := deadline.Sub(m.cfg.Clock.Now())
	return uint32(max(0, remaining-remaining/10) / time.Millisecond)
}
