package claim

import (
	"time"

	"google.golang.org/protobuf/proto"

	"pumiceshelf/api"
)

// fingerprintSize is the number of bytes of a key's hash that the index of older claims keeps. A collision within a shard
// is very unlikely; if one occurs, the segment tells the keys apart because it holds the complete hashes.
const fingerprintSize = 16

type fingerprint [fingerprintSize]byte

func fingerprintOf(k KeyHash) fingerprint { return fingerprint(k[:fingerprintSize]) }

// ShardState is the state of one shard: the newest claims in full, and for each older claim the segment that holds it. It
// is not safe for concurrent use.
type ShardState struct {
	// fresh holds the newest claims, those in the shard's head object. bytes is their encoded size.
	fresh    map[KeyHash]*api.Claim
	bytes    int
	segments []*api.ClaimSegmentRef
	// index maps a key to the number of the newest segment that holds it.
	index map[fingerprint]uint32
	// segmentNumbers maps the names of segments to the numbers used in index, segmentNames the reverse.
	segmentNumbers map[string]uint32
	segmentNames   map[uint32]string
	lastNumber     uint32
}

// NewShardState returns the state of a shard without claims.
func NewShardState() *ShardState {
	return &ShardState{
		fresh:          make(map[KeyHash]*api.Claim),
		index:          make(map[fingerprint]uint32),
		segmentNumbers: make(map[string]uint32),
		segmentNames:   make(map[uint32]string),
	}
}

// Head returns the contents of the shard's head object with changes applied. It does not modify the state.
func (st *ShardState) Head(changes map[KeyHash]*api.Claim) *api.ClaimHead {
	head := &api.ClaimHead{Segments: st.segments}
	for k, c := range st.fresh {
		if changes[k] == nil {
			head.Claims = append(head.Claims, c)
		}
	}
	for _, c := range changes {
		head.Claims = append(head.Claims, c)
	}
	return head
}

// MissingSegments returns the names of the segments that a head lists and that are not indexed.
func (st *ShardState) MissingSegments(head *api.ClaimHead) []string {
	var out []string
	for _, s := range head.GetSegments() {
		if _, ok := st.segmentNumbers[s.GetObject()]; !ok {
			out = append(out, s.GetObject())
		}
	}
	return out
}

// Load replaces the state by the contents of a head. loaded must contain the segments that MissingSegments returned.
func (st *ShardState) Load(head *api.ClaimHead, loaded map[string]*api.ClaimSegment) {
	st.fresh = make(map[KeyHash]*api.Claim, len(head.GetClaims()))
	st.bytes = 0
	st.ApplyChanges(claimsByKey(head))
	st.removeAbsentSegments(head)
	for _, s := range head.GetSegments() {
		if segment := loaded[s.GetObject()]; segment != nil {
			st.indexSegment(s.GetObject(), segment)
		}
	}
	st.segments = head.GetSegments()
}

func claimsByKey(head *api.ClaimHead) map[KeyHash]*api.Claim {
	out := make(map[KeyHash]*api.Claim, len(head.GetClaims()))
	for _, c := range head.GetClaims() {
		out[hashOf(c)] = c
	}
	return out
}

func hashOf(c *api.Claim) KeyHash {
	var k KeyHash
	copy(k[:], c.GetKeyHash())
	return k
}

// ApplyChanges applies changes that are durable.
func (st *ShardState) ApplyChanges(changes map[KeyHash]*api.Claim) {
	for k, c := range changes {
		if old := st.fresh[k]; old != nil {
			st.bytes -= proto.Size(old)
		}
		st.fresh[k] = c
		st.bytes += proto.Size(c)
	}
}

// indexSegment indexes a segment. Segments must be indexed oldest first, so that the index refers to the newest segment of a
// key.
func (st *ShardState) indexSegment(name string, s *api.ClaimSegment) {
	st.lastNumber++
	st.segmentNumbers[name] = st.lastNumber
	st.segmentNames[st.lastNumber] = name
	for _, c := range s.GetClaims() {
		st.index[fingerprintOf(hashOf(c))] = st.lastNumber
	}
}

// removeAbsentSegments removes the segments from the index that a head no longer lists.
func (st *ShardState) removeAbsentSegments(head *api.ClaimHead) {
	present := make(map[string]bool, len(head.GetSegments()))
	for _, s := range head.GetSegments() {
		present[s.GetObject()] = true
	}
	removed := make(map[uint32]bool)
	for name, n := range st.segmentNumbers {
		if !present[name] {
			removed[n] = true
			delete(st.segmentNumbers, name)
			delete(st.segmentNames, n)
		}
	}
	if len(removed) == 0 {
		return
	}
	for f, n := range st.index {
		if removed[n] {
			delete(st.index, f)
		}
	}
}

// Fresh returns the key's claim if it is one of the newest, else nil.
func (st *ShardState) Fresh(k KeyHash) *api.Claim { return st.fresh[k] }

// SegmentOf returns the name of the segment that holds the key's claim, or "" if no segment does or Fresh has a newer one.
func (st *ShardState) SegmentOf(k KeyHash) string {
	if st.fresh[k] != nil {
		return ""
	}
	return st.segmentNames[st.index[fingerprintOf(k)]]
}

// FreshBytes returns the encoded size of the newest claims in bytes.
func (st *ShardState) FreshBytes() int { return st.bytes }

// Len returns the number of keys with a claim. A key with both a newest and an older claim counts twice.
func (st *ShardState) Len() int { return len(st.fresh) + len(st.index) }

// Segments returns the segments of older claims, oldest first.
func (st *ShardState) Segments() []*api.ClaimSegmentRef { return st.segments }

// FindInSegment returns a key's claim in a segment, or nil.
func FindInSegment(s *api.ClaimSegment, k KeyHash) *api.Claim {
	for _, c := range s.GetClaims() {
		if hashOf(c) == k {
			return c
		}
	}
	return nil
}

// Merge returns a segment with the claims of tail and the newest claims. A newest claim replaces tail's claim of the same
// key.
func (st *ShardState) Merge(tail *api.ClaimSegment) *api.ClaimSegment {
	out := &api.ClaimSegment{}
	for _, c := range tail.GetClaims() {
		if st.fresh[hashOf(c)] == nil {
			out.Claims = append(out.Claims, c)
		}
	}
	for _, c := range st.fresh {
		out.Claims = append(out.Claims, c)
	}
	return out
}

// NewestUnixMs returns the time of the newest claim of a segment in Unix milliseconds.
func NewestUnixMs(s *api.ClaimSegment) int64 {
	var out int64
	for _, c := range s.GetClaims() {
		out = max(out, c.GetUnixMs())
	}
	return out
}

// ExpiredSegments returns how many of the oldest segments hold only claims that were made before a time.
func (st *ShardState) ExpiredSegments(before time.Time) int {
	n := 0
	for n < len(st.segments) && st.segments[n].GetNewestUnixMs() < before.UnixMilli() {
		n++
	}
	return n
}

// Decide decides a batch of proposals in order against the current claims of their keys; older holds the claims that were
// found in segments. It returns the claim of each proposal's key after the decision, nil for none, and the changes that
// must be made durable.
func (st *ShardState) Decide(batch []*api.ClaimProposal, older map[KeyHash]*api.Claim) ([]*api.Claim, map[KeyHash]*api.Claim) {
	results := make([]*api.Claim, len(batch))
	changes := make(map[KeyHash]*api.Claim)
	for i, p := range batch {
		k := hashOf(p.GetClaim())
		current := st.current(k, changes, older)
		next := Apply(current, p)
		if next != current {
			changes[k] = next
		}
		results[i] = next
	}
	return results, changes
}

func (st *ShardState) current(k KeyHash, changes, older map[KeyHash]*api.Claim) *api.Claim {
	if c := changes[k]; c != nil {
		return c
	}
	if c := st.fresh[k]; c != nil {
		return c
	}
	return older[k]
}
