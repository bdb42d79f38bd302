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
	// usagePrefix is the key prefix of usage segments.
	usagePrefix = "usage/"
	// maxSegmentRecords bounds the records of a segment.
	maxSegmentRecords = 2000
	// component is the component name in invariant violations and repair entries.
	component = "quota"
)

// segmentKey returns the key of a segment. The sequence has a fixed width, so that keys sort by it.
func segmentKey(incarnation string, sequence uint64) string {
	return fmt.Sprintf("%s%s/%012d", usagePrefix, incarnation, sequence)
}

// segmentWriter appends usage records to write-once objects. A segment is frozen before its first write, so that a retry
// after an ambiguous outcome writes the same content. It is safe for concurrent use.
type segmentWriter struct {
	incarnation string
	store       objectstore.Store
	counters    *counters

	mu           sync.Mutex
	queue        []queuedRecord
	frozen       *frozenSegment
	nextSequence uint64
	writing      sync.Mutex
}

// queuedRecord is a record that is not in a durable segment. lease is nil if the lease's holder is lost.
type queuedRecord struct {
	record  *api.UsageRecord
	account *account
	lease   *heldLease
	charge  budget.Tokens
}

type frozenSegment struct {
	sequence uint64
	value    []byte
	records  []queuedRecord
}

func newSegmentWriter(incarnation string, store objectstore.Store, c *counters) *segmentWriter {
	return &segmentWriter{incarnation: incarnation, store: store, counters: c}
}

// add queues a record and returns the sequence of the segment that will hold it, or a later one.
func (s *segmentWriter) add(q queuedRecord) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue = append(s.queue, q)
	return s.lastSequenceLocked()
}

// lastSequence returns the sequence of the last segment needed for all records so far, or a later one.
func (s *segmentWriter) lastSequence() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastSequenceLocked()
}

func (s *segmentWriter) lastSequenceLocked() uint64 {
	if len(s.queue) == 0 && s.frozen == nil && s.nextSequence > 0 {
		return s.nextSequence - 1
	}
	ahead := uint64(max(len(s.queue)-1, 0)) / maxSegmentRecords
	if s.frozen != nil {
		ahead++
	}
	return s.nextSequence + ahead
}

// durableBelow returns the sequence below which all segments are durable.
func (s *segmentWriter) durableBelow() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.nextSequence
}

// pendingCount returns the number of records that are not durable.
func (s *segmentWriter) pendingCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := len(s.queue)
	if s.frozen != nil {
		n += len(s.frozen.records)
	}
	return n
}

// flush writes all queued records. A frozen segment that failed before is written first.
func (s *segmentWriter) flush(ctx context.Context) error {
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
		s.markDurable(f)
	}
}

func (s *segmentWriter) freeze() *frozenSegment {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.frozen != nil || len(s.queue) == 0 {
		return s.frozen
	}
	n := min(len(s.queue), maxSegmentRecords)
	f := &frozenSegment{sequence: s.nextSequence, records: append([]queuedRecord(nil), s.queue[:n]...)}
	s.queue = append([]queuedRecord(nil), s.queue[n:]...)
	seg := &api.UsageSegment{Incarnation: s.incarnation, Sequence: f.sequence}
	for _, q := range f.records {
		seg.Records = append(seg.Records, q.record)
	}
	value, err := proto.Marshal(seg)
	invariant.Check(err == nil, component, "segment %d cannot be encoded: %v", f.sequence, err)
	f.value = value
	s.frozen = f
	return f
}

func (s *segmentWriter) write(ctx context.Context, f *frozenSegment) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	s.counters.segmentWrites.Inc(1)
	_, err := s.store.Put(ctx, segmentKey(s.incarnation, f.sequence), f.value, 0)
	if errors.Is(err, objectstore.ErrConflict) {
		return nil // Only this incarnation writes the key, so an earlier write of the same content succeeded.
	}
	return err
}

// markDurable moves the tokens of a durable segment's records from queued to durable in their leases and advances to the
// next segment.
func (s *segmentWriter) markDurable(f *frozenSegment) {
	for _, q := range f.records {
		if q.lease == nil {
			continue
		}
		q.account.mu.Lock()
		q.lease.queuedTokens -= q.charge
		q.lease.durableTokens += q.charge
		q.lease.durableSegments = f.sequence + 1
		q.lease.checkRecords()
		q.account.mu.Unlock()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.frozen = nil
	s.nextSequence++
}
