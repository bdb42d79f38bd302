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
	// rollBytes is the size of the newest claims at which they move to a segment, so that heads stay small.
	rollBytes = 32 << 10
	// segmentBytes is the size at which a segment is full.
	segmentBytes = 512 << 10
	// inlineAnswer is the largest answer, in bytes, that is kept in the claim itself.
	inlineAnswer = 1 << 10
	// cachedSegments bounds the decoded segments kept by a shard.
	cachedSegments = 4
	// firstBackoff and lastBackoff bound the wait after a conflict or a failed call.
	firstBackoff = 2 * time.Millisecond
	lastBackoff  = 200 * time.Millisecond
	// expiryMargin divides the retention into the time that claims are kept beyond it, for clocks that differ.
	expiryMargin = 4
)

// shard decides claims of one shard by conditional updates of its head object.
type shard struct {
	*batcher
	keeper  *Keeper
	number  uint32
	limiter *rate.Limiter

	// state guards what follows.
	state   sync.Mutex
	book    *claim.Book
	version objectstore.Version
	loaded  bool
	// stale says that the platform may hold a newer head.
	stale    bool
	cache    map[string]*api.ClaimSegment
	lastUsed time.Time
}

func (k *Keeper) newShard(number uint32) *shard {
	s := &shard{keeper: k, number: number, limiter: rate.NewLimiter(k.pace, groupBurst)}
	s.reset()
	s.batcher = &batcher{flush: s.decide, pace: s.wait, base: k.base, work: &k.work}
	return s
}

// wait lets proposals gather until the shard's next group may be decided.
func (s *shard) wait(ctx context.Context) {
	now := s.keeper.cfg.Clock.Now()
	if d := s.limiter.ReserveN(now, 1).DelayFrom(now); d > 0 {
		s.keeper.sleep(ctx, d)
	}
}

func (s *shard) reset() {
	s.book = claim.NewBook()
	s.version = 0
	s.loaded = false
	s.stale = true
	s.cache = make(map[string]*api.ClaimSegment)
}

func (s *shard) prefix() string { return fmt.Sprintf("claims/%d/", s.number) }

func (s *shard) headKey() string { return s.prefix() + "head" }

func (s *shard) freshName(kind string) string { return s.prefix() + kind + "/" + uuid.NewString() }

// decide ends every proposal of a group by one conditional update, repeated while others write the same shard.
func (s *shard) decide(ctx context.Context, group []*waiting) {
	ctx, cancel := s.keeper.within(ctx, s.keeper.claimWait())
	defer cancel()
	s.state.Lock()
	defer s.state.Unlock()
	s.lastUsed = s.keeper.cfg.Clock.Now()
	proposals := proposalsOf(group)
	proposals, err := s.keepAnswers(ctx, proposals)
	if err != nil {
		endAll(group, nil, err)
		return
	}
	wait := firstBackoff
	wrote := false
	for {
		claims, err := s.attempt(ctx, proposals)
		if err == nil {
			endAll(group, claims, nil)
			return
		}
		s.stale = true
		wrote = wrote || errors.Is(err, objectstore.ErrAmbiguous)
		s.keeper.countRetry(err)
		if !s.keeper.sleep(ctx, jitter(wait)) {
			endAll(group, nil, failure(err, wrote))
			return
		}
		wait = min(2*wait, lastBackoff)
	}
}

func failure(err error, wrote bool) error {
	if wrote {
		return ambiguous(err)
	}
	return unavailable(err)
}

func jitter(d time.Duration) time.Duration { return d/2 + rand.N(d) }

// attempt decides proposals against the state known and makes the changes durable.
func (s *shard) attempt(ctx context.Context, proposals []*api.ClaimProposal) ([]*api.Claim, error) {
	fresh := s.stale
	if err := s.refresh(ctx); err != nil {
		return nil, err
	}
	if s.book.FreshBytes() > rollBytes {
		if err := s.roll(ctx); err != nil {
			return nil, err
		}
	}
	for {
		found, err := s.find(ctx, proposals)
		if err != nil {
			return nil, err
		}
		claims, changes := s.book.Outcome(proposals, found)
		if len(changes) > 0 {
			return claims, s.write(ctx, changes)
		}
		if fresh {
			return claims, nil
		}
		// Nothing to write would prove that the state was current, so it is read.
		fresh, s.stale = true, true
		if err := s.refresh(ctx); err != nil {
			return nil, err
		}
	}
}

// write makes changes durable. A lost answer is treated as a conflict: deciding again on what is read back finds them.
func (s *shard) write(ctx context.Context, changes map[claim.KeyHash]*api.Claim) error {
	value, err := proto.Marshal(s.book.Head(changes))
	if err != nil {
		return fmt.Errorf("idempotency: encode head: %w", err)
	}
	s.keeper.count.writes.Inc(1)
	version, err := s.keeper.cfg.Store.Put(ctx, s.headKey(), value, s.version)
	if err != nil {
		return err
	}
	s.version = version
	s.book.Accept(changes)
	s.keeper.count.grouped.Inc(int64(len(changes)))
	return nil
}

// refresh reads the head if a newer one may exist.
func (s *shard) refresh(ctx context.Context) error {
	if !s.stale {
		return nil
	}
	obj, err := s.keeper.cfg.Store.Get(ctx, s.headKey())
	if err != nil && !errors.Is(err, objectstore.ErrNotFound) {
		return err
	}
	if s.loaded && obj.Version == s.version {
		s.stale = false
		return nil
	}
	head := &api.ClaimHead{}
	if err := proto.Unmarshal(obj.Value, head); err != nil {
		return fmt.Errorf("%w: claims head: %w", objectstore.ErrMalformed, err)
	}
	if err := s.load(ctx, head); err != nil {
		return err
	}
	s.version = obj.Version
	s.loaded, s.stale = true, false
	return nil
}

func (s *shard) load(ctx context.Context, head *api.ClaimHead) error {
	loaded := make(map[string]*api.ClaimSegment)
	for _, name := range s.book.Missing(head) {
		segment, err := s.readSegment(ctx, name)
		if err != nil {
			return err
		}
		loaded[name] = segment
	}
	s.book.Load(head, loaded)
	return nil
}

// readSegment returns a segment. One that is gone was replaced, so that the head must be read again.
func (s *shard) readSegment(ctx context.Context, name string) (*api.ClaimSegment, error) {
	if segment := s.cache[name]; segment != nil {
		return segment, nil
	}
	segment, err := s.keeper.readSegment(ctx, name)
	if err != nil {
		return nil, err
	}
	s.remember(name, segment)
	return segment, nil
}

func (s *shard) remember(name string, segment *api.ClaimSegment) {
	for other := range s.cache {
		if len(s.cache) < cachedSegments {
			break
		}
		delete(s.cache, other)
	}
	s.cache[name] = segment
}

// find returns the older claims of the proposals' keys.
func (s *shard) find(ctx context.Context, proposals []*api.ClaimProposal) (map[claim.KeyHash]*api.Claim, error) {
	found := make(map[claim.KeyHash]*api.Claim)
	for _, p := range proposals {
		k := claim.KeyHash(p.GetClaim().GetKeyHash())
		name := s.book.Segment(k)
		if name == "" {
			continue
		}
		segment, err := s.readSegment(ctx, name)
		if err != nil {
			return nil, err
		}
		if c := claim.Find(segment, k); c != nil {
			found[k] = c
		}
	}
	return found, nil
}

// keepAnswers writes large answers to an object of their own and returns proposals that name it.
func (s *shard) keepAnswers(ctx context.Context, proposals []*api.ClaimProposal) ([]*api.ClaimProposal, error) {
	var large []*api.Claim
	out := make([]*api.ClaimProposal, len(proposals))
	name := s.freshName("answers")
	for i, p := range proposals {
		out[i] = p
		if len(p.GetClaim().GetAnswer().GetBody()) <= inlineAnswer {
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
	if err := s.create(ctx, name, &api.ClaimSegment{Claims: large}); err != nil {
		return nil, unavailable(err)
	}
	return out, nil
}

// create writes an object under a name that no one else uses, so that a lost answer is settled by a look.
func (s *shard) create(ctx context.Context, name string, segment *api.ClaimSegment) error {
	value, err := proto.Marshal(segment)
	if err != nil {
		return fmt.Errorf("idempotency: encode segment: %w", err)
	}
	wait := firstBackoff
	for {
		s.keeper.count.writes.Inc(1)
		_, err := s.keeper.cfg.Store.Put(ctx, name, value, 0)
		if err == nil || errors.Is(err, objectstore.ErrConflict) {
			return nil
		}
		s.keeper.countRetry(err)
		if !s.keeper.sleep(ctx, jitter(wait)) {
			return err
		}
		wait = min(2*wait, lastBackoff)
	}
}

// forgetIdle frees the state of a shard that has not been used for long.
func (s *shard) forgetIdle() {
	if !s.state.TryLock() {
		return
	}
	defer s.state.Unlock()
	if s.loaded && s.keeper.cfg.Clock.Since(s.lastUsed) > unloadAfter {
		s.reset()
	}
}
