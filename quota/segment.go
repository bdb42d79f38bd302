package quota

import (
	"context"
	"errors"
	"fmt"
	"sync"

	"google.golang.org/protobuf/proto"

	"pumiceshelf/api"
	"pumiceshelf/budget"
	"pumiceshelf/invariant"
	"pumiceshelf/objectstore"
)

const (
	// usagePrefix starts the keys of usage segments.
	usagePrefix = "usage/"
	// segmentRecords bounds the records of a segment.
	segmentRecords = 2000
	// part names the package in invariant violations, logs and stories.
	part = "quota"
)

// segmentKey names a segment. Sequences have a fixed width, so that keys sort by them.
func segmentKey(incarnation string, sequence uint64) string {
	return fmt.Sprintf("%s%s/%012d", usagePrefix, incarnation, sequence)
}

// segments appends usage records to write-once objects. A segment is frozen before its first write, so a write repeated
// after a lost answer meets its own content. It is safe for concurrent use.
type segments struct {
	incarnation string
	store       objectstore.Store
	counters    *counters

	mu      sync.Mutex
	queue   []queued
	frozen  *frozen
	next    uint64
	writing sync.Mutex
}

// queued is a record that is in no durable segment. lease is nil for a record of a lease whose holder is gone.
type queued struct {
	record  *api.UsageRecord
	account *account
	lease   *heldLease
	charge  budget.Tokens
}

type frozen struct {
	sequence uint64
	value    []byte
	records  []queued
}

func newSegments(incarnation string, store objectstore.Store, c *counters) *segments {
	return &segments{incarnation: incarnation, store: store, counters: c}
}

// add queues a record and returns the sequence of the segment that will hold it, or a later one.
func (s *segments) add(q queued) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue = append(s.queue, q)
	return s.lastLocked()
}

// last returns the sequence of the last segment needed for all records so far, or a later one.
func (s *segments) last() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastLocked()
}

func (s *segments) lastLocked() uint64 {
	if len(s.queue) == 0 && s.frozen == nil && s.next > 0 {
		return s.next - 1
	}
	ahead := uint64(max(len(s.queue)-1, 0)) / segmentRecords
	if s.frozen != nil {
		ahead++
	}
	return s.next + ahead
}

// durableBelow returns the sequence below which all segments are durable.
func (s *segments) durableBelow() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.next
}

// pending returns the number of records that are not durable.
func (s *segments) pending() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := len(s.queue)
	if s.frozen != nil {
		n += len(s.frozen.records)
	}
	return n
}

// flush writes what is queued.
func (s *segments) flush(ctx context.Context) error {
	s.writing.Lock()
	defer s.writing.Unlock()
	for {
		f := s.freeze()
		if f == nil {
			return nil
		}
		if err := s.write(ctx, f); err != nil {
			s.counters.segmentRetry.Inc(1)
			return err
		}
		s.done(f)
	}
}

func (s *segments) freeze() *frozen {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.frozen != nil || len(s.queue) == 0 {
		return s.frozen
	}
	n := min(len(s.queue), segmentRecords)
	f := &frozen{sequence: s.next, records: append([]queued(nil), s.queue[:n]...)}
	s.queue = append([]queued(nil), s.queue[n:]...)
	seg := &api.UsageSegment{Incarnation: s.incarnation, Sequence: f.sequence}
	for _, q := range f.records {
		seg.Records = append(seg.Records, q.record)
	}
	value, err := proto.Marshal(seg)
	invariant.Check(err == nil, part, "segment %d does not encode: %v", f.sequence, err)
	f.value = value
	s.frozen = f
	return f
}

func (s *segments) write(ctx context.Context, f *frozen) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	s.counters.segments.Inc(1)
	_, err := s.store.Put(ctx, segmentKey(s.incarnation, f.sequence), f.value, 0)
	if errors.Is(err, objectstore.ErrConflict) {
		return nil // Only this incarnation writes the key: an earlier write took effect.
	}
	return err
}

// done credits the records of a durable segment to their leases.
func (s *segments) done(f *frozen) {
	for _, q := range f.records {
		if q.lease == nil {
			continue
		}
		q.account.mu.Lock()
		q.lease.queued -= q.charge
		q.lease.durable += q.charge
		q.lease.segments = f.sequence + 1
		q.lease.checkRecords()
		q.account.mu.Unlock()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.frozen = nil
	s.next++
}
