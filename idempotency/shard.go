package idempotency

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/google/uuid"
	"golang.org/x/time/rate"
	"google.golang.org/protobuf/proto"

	"pumiceshelf/api"
	"pumiceshelf/claim"
	"pumiceshelf/objectstore"
)

const (
	// rollThresholdBytes is the size of the claims in a head above which they move to a segment, so that heads stay small.
	rollThresholdBytes = 32 << 10
	// maxSegmentBytes bounds the size to which a segment is filled.
	maxSegmentBytes = 512 << 10
	// maxInlineResponseBytes is the size of the largest response body that is stored in the claim itself.
	maxInlineResponseBytes = 1 << 10
	// maxCachedSegments bounds the decoded segments that a shard caches.
	maxCachedSegments = 4
	// minBackoff and maxBackoff bound the wait after a conflict or a failed call.
	minBackoff = 2 * time.Millisecond
	maxBackoff = 200 * time.Millisecond
	// expiryMarginDivisor divides the retention to get the time for which claims are kept beyond it, because the clocks of
	// instances differ.
	expiryMarginDivisor = 4
)

// shard decides the claims of one shard by conditional updates of its head object.
type shard struct {
	*batcher
	manager *Manager
	number  uint32
	limiter *rate.Limiter

	// stateMu guards the fields below.
	stateMu     sync.Mutex
	claims      *claim.ShardState
	headVersion objectstore.Version
	loaded      bool
	// stale is set if the object store may hold a newer head.
	stale        bool
	segmentCache map[string]*api.ClaimSegment
	lastUsed     time.Time
}

func (m *Manager) newShard(number uint32) *shard {
	s := &shard{manager: m, number: number, limiter: rate.NewLimiter(m.batchRate, maxBatchBurst)}
	s.reset()
	s.batcher = &batcher{flush: s.decide, throttle: s.waitForRate, baseCtx: m.baseCtx, wg: &m.wg}
	return s
}

// waitForRate waits until the shard's next batch may be decided. More proposals are queued meanwhile.
func (s *shard) waitForRate(ctx context.Context) {
	now := s.manager.cfg.Clock.Now()
	if d := s.limiter.ReserveN(now, 1).DelayFrom(now); d > 0 {
		s.manager.sleep(ctx, d)
	}
}

func (s *shard) reset() {
	s.claims = claim.NewShardState()
	s.headVersion = 0
	s.loaded = false
	s.stale = true
	s.segmentCache = make(map[string]*api.ClaimSegment)
}

func (s *shard) prefix() string { return fmt.Sprintf("claims/%d/", s.number) }

func (s *shard) headKey() string { return s.prefix() + "head" }

func (s *shard) newObjectName(kind string) string { return s.prefix() + kind + "/" + uuid.NewString() }

// decide completes every proposal of a batch by one conditional update, which it retries after conflicts and failures
// until the claim wait ends.
func (s *shard) decide(ctx context.Context, batch []*proposalWaiter) {
	ctx, cancel := s.manager.withTimeout(ctx, s.manager.claimWait())
	defer cancel()
	s.stateMu.Lock()
	defer s.stateMu.Unlock()
	s.lastUsed = s.manager.cfg.Clock.Now()
	proposals := proposalsOf(batch)
	proposals, err := s.storeLargeResponses(ctx, proposals)
	if err != nil {
		completeAll(batch, nil, err)
		return
	}
	backoff := minBackoff
	mayTakeEffect := false
	for {
		claims, err := s.tryDecide(ctx, proposals)
		if err == nil {
			completeAll(batch, claims, nil)
			return
		}
		s.stale = true
		mayTakeEffect = mayTakeEffect || errors.Is(err, objectstore.ErrAmbiguous)
		s.manager.countRetry(err)
		if !s.manager.sleep(ctx, jitter(backoff)) {
			completeAll(batch, nil, decideError(err, mayTakeEffect))
			return
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// decideError returns errAmbiguous if an earlier write may have taken effect, otherwise errUnavailable.
func decideError(err error, mayTakeEffect bool) error {
	if mayTakeEffect {
		return wrapAmbiguous(err)
	}
	return wrapUnavailable(err)
}

// jitter returns a random duration between half and one and a half of d.
func jitter(d time.Duration) time.Duration { return d/2 + rand.N(d) }

// tryDecide decides proposals on the cached state and writes the changes. It makes one attempt at the write.
func (s *shard) tryDecide(ctx context.Context, proposals []*api.ClaimProposal) ([]*api.Claim, error) {
	headRead := s.stale
	if err := s.refreshHead(ctx); err != nil {
		return nil, err
	}
	if s.claims.FreshBytes() > rollThresholdBytes {
		if err := s.roll(ctx); err != nil {
			return nil, err
		}
	}
	for {
		older, err := s.olderClaims(ctx, proposals)
		if err != nil {
			return nil, err
		}
		claims, changes := s.claims.Decide(proposals, older)
		if len(changes) > 0 {
			return claims, s.writeHead(ctx, changes)
		}
		if headRead {
			return claims, nil
		}
		// Without a conditional write nothing proves that the cached state is current, so the head is read.
		headRead, s.stale = true, true
		if err := s.refreshHead(ctx); err != nil {
			return nil, err
		}
	}
}

// writeHead makes changes durable. If the store's response is lost, the caller proceeds as after a conflict: it reads the
// head again, which holds the changes if they were written.
func (s *shard) writeHead(ctx context.Context, changes map[claim.KeyHash]*api.Claim) error {
	value, err := proto.Marshal(s.claims.Head(changes))
	if err != nil {
		return fmt.Errorf("idempotency: encode head: %w", err)
	}
	s.manager.counters.writes.Inc(1)
	version, err := s.manager.cfg.Store.Put(ctx, s.headKey(), value, s.headVersion)
	if err != nil {
		return err
	}
	s.headVersion = version
	s.claims.ApplyChanges(changes)
	s.manager.counters.changes.Inc(int64(len(changes)))
	return nil
}

// refreshHead reads the head if a newer one may exist.
func (s *shard) refreshHead(ctx context.Context) error {
	if !s.stale {
		return nil
	}
	obj, err := s.manager.cfg.Store.Get(ctx, s.headKey())
	if err != nil && !errors.Is(err, objectstore.ErrNotFound) {
		return err
	}
	if s.loaded && obj.Version == s.headVersion {
		s.stale = false
		return nil
	}
	head := &api.ClaimHead{}
	if err := proto.Unmarshal(obj.Value, head); err != nil {
		return fmt.Errorf("%w: claims head: %w", objectstore.ErrMalformed, err)
	}
	if err := s.loadHead(ctx, head); err != nil {
		return err
	}
	s.headVersion = obj.Version
	s.loaded, s.stale = true, false
	return nil
}

// loadHead updates the cached state from a head and reads the segments that are not indexed yet.
func (s *shard) loadHead(ctx context.Context, head *api.ClaimHead) error {
	segments := make(map[string]*api.ClaimSegment)
	for _, name := range s.claims.MissingSegments(head) {
		segment, err := s.readSegment(ctx, name)
		if err != nil {
			return err
		}
		segments[name] = segment
	}
	s.claims.Load(head, segments)
	return nil
}

// readSegment returns a segment from the cache or the object store. If it was not found, it was replaced, and the head
// must be read again.
func (s *shard) readSegment(ctx context.Context, name string) (*api.ClaimSegment, error) {
	if segment := s.segmentCache[name]; segment != nil {
		return segment, nil
	}
	segment, err := s.manager.readSegment(ctx, name)
	if err != nil {
		return nil, err
	}
	s.cacheSegment(name, segment)
	return segment, nil
}

// cacheSegment caches a segment and evicts others that exceed the limit, in no particular order.
func (s *shard) cacheSegment(name string, segment *api.ClaimSegment) {
	for evicted := range s.segmentCache {
		if len(s.segmentCache) < maxCachedSegments {
			break
		}
		delete(s.segmentCache, evicted)
	}
	s.segmentCache[name] = segment
}

// olderClaims returns the claims of the proposals' keys that are in segments.
func (s *shard) olderClaims(ctx context.Context, proposals []*api.ClaimProposal) (map[claim.KeyHash]*api.Claim, error) {
	older := make(map[claim.KeyHash]*api.Claim)
	for _, p := range proposals {
		k := claim.KeyHash(p.GetClaim().GetKeyHash())
		name := s.claims.SegmentOf(k)
		if name == "" {
			continue
		}
		segment, err := s.readSegment(ctx, name)
		if err != nil {
			return nil, err
		}
		if c := claim.FindInSegment(segment, k); c != nil {
			older[k] = c
		}
	}
	return older, nil
}

// storeLargeResponses writes the large responses of a batch to one object and returns proposals that refer to it.
func (s *shard) storeLargeResponses(ctx context.Context, proposals []*api.ClaimProposal) ([]*api.ClaimProposal, error) {
	var large []*api.Claim
	out := make([]*api.ClaimProposal, len(proposals))
	name := s.newObjectName("answers")
	for i, p := range proposals {
		out[i] = p
		if len(p.GetClaim().GetAnswer().GetBody()) <= maxInlineResponseBytes {
			continue
		}
		large = append(large, &api.Claim{KeyHash: p.GetClaim().GetKeyHash(), Answer: p.GetClaim().GetAnswer()})
		out[i] = proto.Clone(p).(*api.ClaimProposal)
		out[i].Claim.Answer = nil
		out[i].Claim.AnswerObject = name
	}
	if large == nil {
		return out, nil
	}
	if err := s.createObject(ctx, name, &api.ClaimSegment{Claims: large}); err != nil {
		return nil, wrapUnavailable(err)
	}
	return out, nil
}

// createObject writes an object under a unique name and retries failures. A conflict on a retry means that an earlier
// attempt whose response was lost has written the object.
func (s *shard) createObject(ctx context.Context, name string, segment *api.ClaimSegment) error {
	value, err := proto.Marshal(segment)
	if err != nil {
		return fmt.Errorf("idempotency: encode segment: %w", err)
	}
	backoff := minBackoff
	for {
		s.manager.counters.writes.Inc(1)
		_, err := s.manager.cfg.Store.Put(ctx, name, value, 0)
		if err == nil || errors.Is(err, objectstore.ErrConflict) {
			return nil
		}
		s.manager.countRetry(err)
		if !s.manager.sleep(ctx, jitter(backoff)) {
			return err
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// unloadIfIdle frees the state of a shard that was not used for shardIdleTimeout.
func (s *shard) unloadIfIdle() {
	if !s.stateMu.TryLock() {
		return
	}
	defer s.stateMu.Unlock()
	if s.loaded && s.manager.cfg.Clock.Since(s.lastUsed) > shardIdleTimeout {
		s.reset()
	}
}
