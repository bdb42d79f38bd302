package idempotency

import (
	"context"
	"errors"
	"time"

	"google.golang.org/protobuf/proto"

	"pumiceshelf/api"
	"pumiceshelf/claim"
	"pumiceshelf/objectstore"
)

// roll moves the newest claims to a segment and drops segments past the retention. It changes no claim; when it fails,
// the head stays as it is.
func (s *shard) roll(ctx context.Context) error {
	old := s.book.Segments()
	kept := old[s.book.Expired(s.keeper.expiry()):]
	tail, err := s.openTail(ctx, kept)
	if err != nil {
		return err
	}
	merged := s.book.Merge(tail)
	ref := &api.ClaimSegmentRef{
		Object:       s.freshName("segments"),
		NewestUnixMs: claim.Newest(merged),
		Bytes:        uint32(proto.Size(merged)),
	}
	if tail != nil {
		kept = kept[:len(kept)-1]
	}
	head := &api.ClaimHead{Segments: append(append([]*api.ClaimSegmentRef(nil), kept...), ref)}
	if err := s.replaceHead(ctx, head, ref.GetObject(), merged); err != nil {
		s.keeper.count.rollFailed.Inc(1)
		return err
	}
	s.keeper.count.rolls.Inc(1)
	s.discard(ctx, old, head, tail != nil)
	return nil
}

// openTail returns the newest segment if it has room, else nil.
func (s *shard) openTail(ctx context.Context, refs []*api.ClaimSegmentRef) (*api.ClaimSegment, error) {
	if len(refs) == 0 {
		return nil, nil
	}
	last := refs[len(refs)-1]
	if int(last.GetBytes())+s.book.FreshBytes() > segmentBytes {
		return nil, nil
	}
	return s.readSegment(ctx, last.GetObject())
}

func (s *shard) replaceHead(ctx context.Context, head *api.ClaimHead, name string, segment *api.ClaimSegment) error {
	if err := s.create(ctx, name, segment); err != nil {
		return err
	}
	value, err := proto.Marshal(head)
	if err != nil {
		return err
	}
	s.keeper.count.writes.Inc(1)
	version, err := s.keeper.cfg.Store.Put(ctx, s.headKey(), value, s.version)
	if err != nil {
		s.stale = true
		if !errors.Is(err, objectstore.ErrAmbiguous) {
			s.remove(ctx, name)
		}
		return err
	}
	s.version = version
	s.remember(name, segment)
	s.book.Load(head, map[string]*api.ClaimSegment{name: segment})
	return nil
}

// discard removes the objects that a new head no longer names: the tail that was merged, and what has expired.
func (s *shard) discard(ctx context.Context, old []*api.ClaimSegmentRef, head *api.ClaimHead, merged bool) {
	held := make(map[string]bool)
	for _, ref := range head.GetSegments() {
		held[ref.GetObject()] = true
	}
	for i, ref := range old {
		if held[ref.GetObject()] {
			continue
		}
		replaced := merged && i == len(old)-1
		if !replaced {
			s.discardAnswers(ctx, ref.GetObject())
		}
		s.remove(ctx, ref.GetObject())
		delete(s.cache, ref.GetObject())
	}
}

// discardAnswers removes the answer objects that an expired segment names.
func (s *shard) discardAnswers(ctx context.Context, name string) {
	segment, err := s.readSegment(ctx, name)
	if err != nil {
		return
	}
	gone := make(map[string]bool)
	for _, c := range segment.GetClaims() {
		if object := c.GetAnswerObject(); object != "" && !gone[object] {
			gone[object] = true
			s.remove(ctx, object)
		}
	}
}

// remove deletes an object that nothing names any more. A failure leaves it behind, which costs space alone.
func (s *shard) remove(ctx context.Context, name string) {
	obj, err := s.keeper.cfg.Store.Get(ctx, name)
	if err == nil {
		err = s.keeper.cfg.Store.Delete(ctx, name, obj.Version)
	}
	if err != nil && !errors.Is(err, objectstore.ErrNotFound) {
		s.keeper.count.leftBehind.Inc(1)
	}
}

// expiry is the time before which claims are dropped: the retention and a margin for clocks that differ.
func (k *Keeper) expiry() time.Time {
	retention := k.retention()
	return k.cfg.Clock.Now().Add(-retention - retention/expiryMargin)
}
