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
	// layoutKey is the object that fixes the number of shards for good.
	layoutKey = "claims/layout"
	// helpers bounds the instances asked that may reach the platform when this one does not.
	helpers = 2
	// homeShare divides the claim wait into the time given to another instance.
	homeShare = 3
	// downTime is how long proposals are refused at once after no way to the platform was found.
	downTime = 500 * time.Millisecond
)

// propose has a proposal decided by whoever decides the request's key.
func (k *Keeper) propose(ctx context.Context, r Request, p *api.ClaimProposal) (*api.Claim, error) {
	if r.Form == claim.Issued {
		return k.proposeIssued(ctx, p)
	}
	return k.proposeDurable(ctx, p)
}

// proposeDurable has a proposal decided by the platform. Proposals of a shard travel in groups.
func (k *Keeper) proposeDurable(ctx context.Context, p *api.ClaimProposal) (*api.Claim, error) {
	shards, err := k.shardCount()
	if err != nil {
		return nil, unavailable(err)
	}
	number := binary.BigEndian.Uint32(p.GetClaim().GetKeyHash()) % shards
	claims, err := k.route(number).submit(ctx, p)
	if err != nil {
		return nil, err
	}
	return claims[0], nil
}

// shardCount returns how many shards there are, which the first instance ever has fixed.
func (k *Keeper) shardCount() (uint32, error) {
	if known := k.knownShards(); known != 0 {
		return known, nil
	}
	// One request looks; those that wait for it find what it found.
	k.layoutRead.Lock()
	defer k.layoutRead.Unlock()
	if known := k.knownShards(); known != 0 {
		return known, nil
	}
	if k.down() {
		return 0, errDown
	}
	layout, err := k.fixLayout(k.base)
	if err != nil {
		k.setDown()
		return 0, err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.layout = layout.GetShards()
	return k.layout, nil
}

func (k *Keeper) knownShards() uint32 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.layout
}

func (k *Keeper) fixLayout(ctx context.Context) (*api.ClaimLayout, error) {
	ctx, cancel := k.within(ctx, k.claimWait())
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
		k.cfg.Log.Warnf("claims: the fleet keeps %d shards, the settings' %d is not used", layout.GetShards(), k.cfg.Settings.GetShards())
	}
	return layout, nil
}

// route returns the batcher that takes this instance's proposals for a shard to where they are decided.
func (k *Keeper) route(number uint32) *batcher {
	k.mu.Lock()
	defer k.mu.Unlock()
	b := k.routes[number]
	if b == nil {
		b = &batcher{base: k.base, work: &k.work}
		b.flush = func(ctx context.Context, group []*waiting) { k.send(ctx, number, group) }
		k.routes[number] = b
	}
	return b
}

// shardOf returns the part that decides a shard by this instance's own link to the platform.
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

// send has a group decided by the shard's first instance, so that instances seldom write the same shard; if that fails,
// by this one; if that fails, by others that say that they reach the platform. Who decides does not matter to the
// promise: every change is a conditional update.
func (k *Keeper) send(ctx context.Context, number uint32, group []*waiting) {
	ctx, cancel := k.within(ctx, k.claimWait())
	defer cancel()
	proposals := proposalsOf(group)
	if k.down() {
		endAll(group, nil, unavailable(errDown))
		return
	}
	maybe := false
	for _, to := range k.deciders(number) {
		claims, err := k.ask(ctx, to, number, proposals)
		if err == nil {
			endAll(group, claims, nil)
			return
		}
		maybe = maybe || errors.Is(err, errAmbiguous)
		if ctx.Err() != nil {
			break
		}
	}
	k.setDown()
	err := unavailable(errDown)
	if maybe {
		err = ambiguous(errDown)
	}
	endAll(group, nil, err)
}

// down says that proposals are refused at once, because the last ones found no way to the platform a moment ago.
func (k *Keeper) down() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.cfg.Clock.Now().Before(k.downUntil)
}

func (k *Keeper) setDown() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.downUntil = k.cfg.Clock.Now().Add(downTime)
}

// deciders returns whom to ask, this instance included.
func (k *Keeper) deciders(number uint32) []instance.Incarnation {
	var out []instance.Incarnation
	home := peer.First(k.cfg.View, fmt.Sprintf("claims/%d", number))
	if home != nil && home.GetIncarnation() != string(k.self) {
		out = append(out, instance.Incarnation(home.GetIncarnation()))
	}
	out = append(out, k.self)
	asked := 0
	for _, m := range k.cfg.View.Members() {
		id := instance.Incarnation(m.Instance.GetIncarnation())
		if asked < helpers && m.Live && m.PlatformReachable && id != k.self && (home == nil || string(id) != home.GetIncarnation()) {
			out = append(out, id)
			asked++
		}
	}
	return out
}

func (k *Keeper) ask(ctx context.Context, to instance.Incarnation, number uint32, proposals []*api.ClaimProposal) ([]*api.Claim, error) {
	ctx, cancel := k.within(ctx, k.claimWait()/homeShare)
	defer cancel()
	if to == k.self {
		return k.shardOf(number).submit(ctx, proposals...)
	}
	req := &api.ProposeRequest{Shard: number, Proposals: proposals, WaitMs: uint32((k.claimWait() / homeShare).Milliseconds())}
	return k.askPeer(ctx, to, req)
}

func (k *Keeper) askPeer(ctx context.Context, to instance.Incarnation, req *api.ProposeRequest) ([]*api.Claim, error) {
	conn, err := k.cfg.Conns.Conn(ctx, to)
	if err != nil {
		k.count.peerFailed.Inc(1)
		return nil, unavailable(err)
	}
	resp, err := api.NewDRPCClaimPeerClient(conn).Propose(ctx, req)
	if err != nil {
		k.count.peerFailed.Inc(1)
		return nil, ambiguous(err)
	}
	if resp.GetUnavailable() && !resp.GetAmbiguous() {
		k.count.peerFailed.Inc(1)
		return nil, unavailable(errDown)
	}
	if resp.GetUnavailable() || len(resp.GetClaims()) != len(req.GetProposals()) {
		k.count.peerFailed.Inc(1)
		return nil, ambiguous(errDown)
	}
	k.count.viaPeer.Inc(1)
	return resp.GetClaims(), nil
}

// askOwner asks the owner of a claim for its outcome and waits for it.
func (k *Keeper) askOwner(ctx context.Context, owner instance.Incarnation, r Request, c *api.Claim) (*api.Claim, error) {
	ctx, cancel := k.within(ctx, pollWait)
	defer cancel()
	conn, err := k.cfg.Conns.Conn(ctx, owner)
	if err != nil {
		return nil, err
	}
	resp, err := api.NewDRPCClaimPeerClient(conn).Await(ctx, &api.AwaitRequest{
		KeyHash: r.Key[:],
		Owner:   string(owner),
		WaitMs:  k.remaining(ctx),
		Attempt: c.GetAttempt(),
	})
	if err != nil {
		return nil, err
	}
	return resp.GetClaim(), nil
}

// remaining is the time left of a context in milliseconds, less some for the way back.
func (k *Keeper) remaining(ctx context.Context) uint32 {
	deadline, ok := ctx.Deadline()
	if !ok {
		return uint32(pollWait.Milliseconds())
	}
	left := deadline.Sub(k.cfg.Clock.Now())
	return uint32(max(0, left-left/10) / time.Millisecond)
}
