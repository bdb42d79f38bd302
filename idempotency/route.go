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
func (k *Keeper) propose(ctx context.Context, r Request, p *api.ClaimProposal) (*api.Claim, error) {
	if r.Form == claim.Issued {
		return k.proposeIssued(ctx, p)
	}
	return k.proposeDurable(ctx, p)
}

// proposeDurable decides a proposal in the object store. Proposals of the same shard are sent in batches.
func (k *Keeper) proposeDurable(ctx context.Context, p *api.ClaimProposal) (*api.Claim, error) {
	shards, err := k.loadShardCount()
	if err != nil {
		return nil, wrapUnavailable(err)
	}
	number := binary.BigEndian.Uint32(p.GetClaim().GetKeyHash()) % shards
	claims, err := k.route(number).submit(ctx, p)
	if err != nil {
		return nil, err
	}
	return claims[0], nil
}

// loadShardCount returns the number of shards. The first instance of the fleet that used claims has written it to the
// object store.
func (k *Keeper) loadShardCount() (uint32, error) {
	if count := k.cachedShardCount(); count != 0 {
		return count, nil
	}
	// One request reads the layout; those that waited for the lock use its result.
	k.layoutMu.Lock()
	defer k.layoutMu.Unlock()
	if count := k.cachedShardCount(); count != 0 {
		return count, nil
	}
	if k.failingFast() {
		return 0, errStoreUnreachable
	}
	layout, err := k.readOrCreateLayout(k.baseCtx)
	if err != nil {
		k.startFailFast()
		return 0, err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.shardCount = layout.GetShards()
	return k.shardCount, nil
}

func (k *Keeper) cachedShardCount() uint32 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.shardCount
}

// readOrCreateLayout reads the layout and writes it from the settings if it does not exist. A conflicting or ambiguous
// write is resolved by reading again.
func (k *Keeper) readOrCreateLayout(ctx context.Context) (*api.ClaimLayout, error) {
	ctx, cancel := k.withTimeout(ctx, k.claimWait())
	defer cancel()
	obj, err := k.cfg.Store.Get(ctx, layoutKey)
	if errors.Is(err, objectstore.ErrNotFound) {
		value, _ := proto.Marshal(&api.ClaimLayout{Shards: max(1, k.cfg.Settings.GetShards())})
		if _, err := k.cfg.Store.Put(ctx, layoutKey, value, 0); err != nil &&
			!errors.Is(err, objectstore.ErrConflict) && !errors.Is(err, objectstore.ErrAmbiguous) {
			return nil, err
		}
		obj, err = k.cfg.Store.Get(ctx, layoutKey)
	}
	if err != nil {
		return nil, err
	}
	layout := &api.ClaimLayout{}
	if err := proto.Unmarshal(obj.Value, layout); err != nil || layout.GetShards() == 0 {
		return nil, fmt.Errorf("%w: claims layout", objectstore.ErrMalformed)
	}
	if layout.GetShards() != k.cfg.Settings.GetShards() {
		k.cfg.Log.Warnf("claims: the fleet uses %d shards, ignoring %d from the settings", layout.GetShards(), k.cfg.Settings.GetShards())
	}
	return layout, nil
}

// route returns the batcher that sends this instance's proposals for a shard to the instance that decides them.
func (k *Keeper) route(number uint32) *batcher {
	k.mu.Lock()
	defer k.mu.Unlock()
	b := k.routes[number]
	if b == nil {
		b = &batcher{baseCtx: k.baseCtx, wg: &k.wg}
		b.flush = func(ctx context.Context, batch []*proposalWaiter) { k.decideBatch(ctx, number, batch) }
		k.routes[number] = b
	}
	return b
}

// shardOf returns the shard through which this instance itself decides claims in the object store.
func (k *Keeper) shardOf(number uint32) *shard {
	k.mu.Lock()
	defer k.mu.Unlock()
	s := k.shards[number]
	if s == nil {
		s = k.newShard(number)
		k.shards[number] = s
	}
	return s
}

// decideBatch sends a batch to the shard's preferred instance, so that instances seldom write the same shard; if that
// fails, it uses this instance, then others that report that they reach the object store. Correctness does not depend on
// which instance decides: every change is a conditional update.
func (k *Keeper) decideBatch(ctx context.Context, number uint32, batch []*proposalWaiter) {
	ctx, cancel := k.withTimeout(ctx, k.claimWait())
	defer cancel()
	proposals := proposalsOf(batch)
	if k.failingFast() {
		completeAll(batch, nil, wrapUnavailable(errStoreUnreachable))
		return
	}
	mayTakeEffect := false
	for _, decider := range k.deciderCandidates(number) {
		claims, err := k.proposeTo(ctx, decider, number, proposals)
		if err == nil {
			completeAll(batch, claims, nil)
			return
		}
		mayTakeEffect = mayTakeEffect || errors.Is(err, errAmbiguous)
		if ctx.Err() != nil {
			break
		}
	}
	k.startFailFast()
	err := wrapUnavailable(errStoreUnreachable)
	if mayTakeEffect {
		err = wrapAmbiguous(errStoreUnreachable)
	}
	completeAll(batch, nil, err)
}

// failingFast reports whether proposals fail immediately because the object store was unavailable a moment ago.
func (k *Keeper) failingFast() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.cfg.Clock.Now().Before(k.failFastUntil)
}

// startFailFast makes proposals fail immediately for failFastPeriod.
func (k *Keeper) startFailFast() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.failFastUntil = k.cfg.Clock.Now().Add(failFastPeriod)
}

// deciderCandidates returns the instances that may decide a shard's batch, in the order in which to query them: the
// shard's preferred instance, this one, then fallbacks.
func (k *Keeper) deciderCandidates(number uint32) []instance.Incarnation {
	var out []instance.Incarnation
	preferred := peer.FleetOwner(k.cfg.View, fmt.Sprintf("claims/%d", number))
	if preferred != nil && preferred.GetIncarnation() != string(k.self) {
		out = append(out, instance.Incarnation(preferred.GetIncarnation()))
	}
	out = append(out, k.self)
	fallbacks := 0
	for _, m := range k.cfg.View.Members() {
		id := instance.Incarnation(m.Instance.GetIncarnation())
		if fallbacks < maxFallbackPeers && m.Live && m.PlatformReachable && id != k.self && (preferred == nil || string(id) != preferred.GetIncarnation()) {
			out = append(out, id)
			fallbacks++
		}
	}
	return out
}

// proposeTo lets an instance, which may be this one, decide proposals of a shard.
func (k *Keeper) proposeTo(ctx context.Context, decider instance.Incarnation, number uint32, proposals []*api.ClaimProposal) ([]*api.Claim, error) {
	ctx, cancel := k.withTimeout(ctx, k.claimWait()/deciderWaitDivisor)
	defer cancel()
	if decider == k.self {
		return k.shardOf(number).submit(ctx, proposals...)
	}
	req := &api.ProposeRequest{Shard: number, Proposals: proposals, WaitMs: uint32((k.claimWait() / deciderWaitDivisor).Milliseconds())}
	return k.proposeToPeer(ctx, decider, req)
}

// proposeToPeer sends proposals to another instance. The outcome is unknown if the call fails after it was sent.
func (k *Keeper) proposeToPeer(ctx context.Context, peerID instance.Incarnation, req *api.ProposeRequest) ([]*api.Claim, error) {
	conn, err := k.cfg.Conns.Conn(ctx, peerID)
	if err != nil {
		k.counters.peerFailed.Inc(1)
		return nil, wrapUnavailable(err)
	}
	resp, err := api.NewDRPCClaimPeerClient(conn).Propose(ctx, req)
	if err != nil {
		k.counters.peerFailed.Inc(1)
		return nil, wrapAmbiguous(err)
	}
	if resp.GetUnavailable() && !resp.GetAmbiguous() {
		k.counters.peerFailed.Inc(1)
		return nil, wrapUnavailable(errStoreUnreachable)
	}
	if resp.GetUnavailable() || len(resp.GetClaims()) != len(req.GetProposals()) {
		k.counters.peerFailed.Inc(1)
		return nil, wrapAmbiguous(errStoreUnreachable)
	}
	k.counters.viaPeer.Inc(1)
	return resp.GetClaims(), nil
}

// queryOwner asks the owner of a claim for the outcome and waits for it, at most for maxOwnerWait.
func (k *Keeper) queryOwner(ctx context.Context, owner instance.Incarnation, r Request, c *api.Claim) (*api.Claim, error) {
	ctx, cancel := k.withTimeout(ctx, maxOwnerWait)
	defer cancel()
	conn, err := k.cfg.Conns.Conn(ctx, owner)
	if err != nil {
		return nil, err
	}
	resp, err := api.NewDRPCClaimPeerClient(conn).Await(ctx, &api.AwaitRequest{
		KeyHash: r.Key[:],
		Owner:   string(owner),
		WaitMs:  k.remainingMillis(ctx),
		Attempt: c.GetAttempt(),
	})
	if err != nil {
		return nil, err
	}
	return resp.GetClaim(), nil
}

// remainingMillis returns the time until a context's deadline in milliseconds, less a tenth for the response to arrive.
func (k *Keeper) remainingMillis(ctx context.Context) uint32 {
	deadline, ok := ctx.Deadline()
	if !ok {
		return uint32(maxOwnerWait.Milliseconds())
	}
	remaining := deadline.Sub(k.cfg.Clock.Now())
	return uint32(max(0, remaining-remaining/10) / time.Millisecond)
}
