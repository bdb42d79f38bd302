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

// roll moves the claims in the head to a segment and drops segments past the retention. It changes no claim. If it fails,
// the head is not changed, unless the outcome of the write is unknown.
func (s *shard) roll(ctx context.Context) error {
	old := s.claims.Segments()
	retained := old[s.claims.ExpiredSegments(s.manager.expiryCutoff()):]
	tail, err := s.tailWithCapacity(ctx, retained)
	if err != nil {
		return err
	}
	merged := s.claims.Merge(tail)
	ref := &api.ClaimSegmentRef{
		Object:       s.newObjectName("segments"),
		NewestUnixMs: claim.NewestUnixMs(merged),
		Bytes:        uint32(proto.Size(merged)),
	}
	if tail != nil {
		retained = retained[:len(retained)-1]
	}
	head := &api.ClaimHead{Segments: append(append([]*api.ClaimSegmentRef(nil), retained...), ref)}
	if err := s.replaceHead(ctx, head, ref.GetObject(), merged); err != nil {
		s.manager.counters.rollsFailed.Inc(1)
		return err
	}
	s.manager.counters.rolls.Inc(1)
	s.deleteUnreferenced(ctx, old, head, tail != nil)
	return nil
}

// tailWithCapacity returns the newest segment if the claims in the head fit into it, otherwise nil.
func (s *shard) tailWithCapacity(ctx context.Context, refs []*api.ClaimSegmentRef) (*api.ClaimSegment, error) {
	if len(refs) == 0 {
		return nil, nil
	}
	last := refs[len(refs)-1]
	if int(last.GetBytes())+s.claims.FreshBytes() > maxSegmentBytes {
		return nil, nil
	}
	return s.readSegment(ctx, last.GetObject())
}

// replaceHead writes a new segment, then the head that refers to it. The segment is deleted if the head is
// known not to have been written.
func (s *shard) replaceHead(ctx context.Context, head *api.ClaimHead, name string, segment *api.ClaimSegment) error {
	if err := s.createObject(ctx, name, segment); err != nil {
		return err
	}
	value, err := proto.Marshal(head)
	if err != nil {
		return err
	}
	s.manager.counters.writes.Inc(1)
	version, err := s.manager.cfg.Store.Put(ctx, s.headKey(), value, s.headVersion)
	if err != nil {
		s.stale = true
		if !errors.Is(err, objectstore.ErrAmbiguous) {
			s.deleteObject(ctx, name)
		}
		return err
	}
	s.headVersion = version
	s.cacheSegment(name, segment)
	s.claims.Load(head, map[string]*api.ClaimSegment{name: segment})
	return nil
}

// deleteUnreferenced deletes the objects that the new head no longer refers to: the last of the old segments if it was
// merged into a new one, and expired segments with their response objects.
func (s *shard) deleteUnreferenced(ctx context.Context, old []*api.ClaimSegmentRef, head *api.ClaimHead, tailMerged bool) {
	referenced := make(map[string]bool)
	for _, ref := range head.GetSegments() {
		referenced[ref.GetObject()] = true
	}
	for i, ref := range old {
		if referenced[ref.GetObject()] {
			continue
		}
		replaced := tailMerged && i == len(old)-1
		if !replaced {
			s.deleteResponses(ctx, ref.GetObject())
		}
		s.deleteObject(ctx, ref.GetObject())
		delete(s.segmentCache, ref.GetObject())
	}
}

// deleteResponses deletes the response objects that an expired segment refers to.
func (s *shard) deleteResponses(ctx context.Context, name string) {
	segment, err := s.readSegment(ctx, name)
	if err != nil {
		return
	}
	deleted := make(map[string]bool)
	for _, c := range segment.GetClaims() {
		if object := c.GetAnswerObject(); object != "" && !deleted[object] {
			deleted[object] = true
			s.deleteObject(ctx, object)
		}
	}
}

// deleteObject deletes an object that is no longer referenced. If it fails, the object remains, which only costs space.
func (s *shard) deleteObject(ctx context.Context, name string) {
	obj, err := s.manager.cfg.Store.Get(ctx, name)
	if err == nil {
		err = s.manager.cfg.Store.Delete(ctx, name, obj.Version)
	}
	if err != nil && !errors.Is(err, objectstore.ErrNotFound) {
		s.manager.counters.objectsLeft.Inc(1)
	}
}

// expiryCutoff returns the time before which claims are dropped: the retention ago, with a margin for clocks that differ
// between instances.
func (m *Manager) expiryCutoff() time.Time {
	retention := m.retention()
	return m.cfg.Clock.Now().Add(-retention - retention/expiryMarginDivisor)
}
