package claim

import (
	"time"

	"google.golang.org/protobuf/proto"

	"pumiceshelf/api"
)

// fingerprintSize is how much of a key's hash the index of older claims keeps. Two keys of one shard that share so much
// are not to be expected; if they did, the segment itself, which holds whole hashes, tells them apart.
const fingerprintSize = 16

type fingerprint [fingerprintSize]byte

func fingerprintOf(k KeyHash) fingerprint { return fingerprint(k[:fingerprintSize]) }

// Book is the state of one shard: the newest claims in full, of older ones in which segment each is.
// It is not safe for concurrent use.
type Book struct {
	fresh    map[KeyHash]*api.Claim
	bytes    int
	segments []*api.ClaimSegmentRef
	// index finds the newest segment that holds a key.
	index map[fingerprint]uint32
	// numbers maps segments' names to the numbers used in index.
	numbers map[string]uint32
	names   map[uint32]string
	last    uint32
}

// NewBook returns the state of a shard without claims.
func NewBook() *Book {
	return &Book{
		fresh:   make(map[KeyHash]*api.Claim),
		index:   make(map[fingerprint]uint32),
		numbers: make(map[string]uint32),
		names:   make(map[uint32]string),
	}
}

// Head returns the book as the shard's head object holds it, with the changes made.
func (b *Book) Head(changes map[KeyHash]*api.Claim) *api.ClaimHead {
	head := &api.ClaimHead{Segments: b.segments}
	for k, c := range b.fresh {
		if changes[k] == nil {
			head.Claims = append(head.Claims, c)
		}
	}
	for _, c := range changes {
		head.Claims = append(head.Claims, c)
	}
	return head
}

// Missing returns the segments of a head that the book has not indexed.
func (b *Book) Missing(head *api.ClaimHead) []string {
	var out []string
	for _, s := range head.GetSegments() {
		if _, ok := b.numbers[s.GetObject()]; !ok {
			out = append(out, s.GetObject())
		}
	}
	return out
}

// Load makes the book hold what a head holds. The segments that Missing named must be given.
func (b *Book) Load(head *api.ClaimHead, loaded map[string]*api.ClaimSegment) {
	b.fresh = make(map[KeyHash]*api.Claim, len(head.GetClaims()))
	b.bytes = 0
	b.Accept(headClaims(head))
	b.dropAbsent(head)
	for _, s := range head.GetSegments() {
		if segment := loaded[s.GetObject()]; segment != nil {
			b.addSegment(s.GetObject(), segment)
		}
	}
	b.segments = head.GetSegments()
}

func headClaims(head *api.ClaimHead) map[KeyHash]*api.Claim {
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

// Accept takes over changes that are durable.
func (b *Book) Accept(changes map[KeyHash]*api.Claim) {
	for k, c := range changes {
		if old := b.fresh[k]; old != nil {
			b.bytes -= proto.Size(old)
		}
		b.fresh[k] = c
		b.bytes += proto.Size(c)
	}
}

// addSegment indexes a segment. Segments are added in their order, so that the newest place of a key wins.
func (b *Book) addSegment(name string, s *api.ClaimSegment) {
	b.last++
	b.numbers[name] = b.last
	b.names[b.last] = name
	for _, c := range s.GetClaims() {
		b.index[fingerprintOf(hashOf(c))] = b.last
	}
}

// dropAbsent forgets the segments that a head no longer holds.
func (b *Book) dropAbsent(head *api.ClaimHead) {
	held := make(map[string]bool, len(head.GetSegments()))
	for _, s := range head.GetSegments() {
		held[s.GetObject()] = true
	}
	dropped := make(map[uint32]bool)
	for name, n := range b.numbers {
		if !held[name] {
			dropped[n] = true
			delete(b.numbers, name)
			delete(b.names, n)
		}
	}
	if len(dropped) == 0 {
		return
	}
	for f, n := range b.index {
		if dropped[n] {
			delete(b.index, f)
		}
	}
}

// Fresh returns the key's claim if it is among the newest, else nil.
func (b *Book) Fresh(k KeyHash) *api.Claim { return b.fresh[k] }

// Segment returns the name of the segment that holds the key's claim, or "" if there is none or a newer one is in Fresh.
func (b *Book) Segment(k KeyHash) string {
	if b.fresh[k] != nil {
		return ""
	}
	return b.names[b.index[fingerprintOf(k)]]
}

// FreshBytes returns the size of the newest claims in bytes.
func (b *Book) FreshBytes() int { return b.bytes }

// Len returns how many keys have a claim, newest and older ones; a key in both counts twice.
func (b *Book) Len() int { return len(b.fresh) + len(b.index) }

// Segments returns the older segments, oldest first.
func (b *Book) Segments() []*api.ClaimSegmentRef { return b.segments }

// Find returns a key's claim in a segment, or nil.
func Find(s *api.ClaimSegment, k KeyHash) *api.Claim {
	for _, c := range s.GetClaims() {
		if hashOf(c) == k {
			return c
		}
	}
	return nil
}

// Merge returns the claims of a segment with the newest ones put in their place or at its end.
func (b *Book) Merge(tail *api.ClaimSegment) *api.ClaimSegment {
	out := &api.ClaimSegment{}
	for _, c := range tail.GetClaims() {
		if b.fresh[hashOf(c)] == nil {
			out.Claims = append(out.Claims, c)
		}
	}
	for _, c := range b.fresh {
		out.Claims = append(out.Claims, c)
	}
	return out
}

// Newest returns the time of the newest claim of a segment in Unix milliseconds.
func Newest(s *api.ClaimSegment) int64 {
	var out int64
	for _, c := range s.GetClaims() {
		out = max(out, c.GetUnixMs())
	}
	return out
}

// Expired returns how many of the oldest segments hold only claims made before a time.
func (b *Book) Expired(before time.Time) int {
	n := 0
	for n < len(b.segments) && b.segments[n].GetNewestUnixMs() < before.UnixMilli() {
		n++
	}
	return n
}

// Outcome decides a batch of proposals in their order against the claims that the keys have, older ones given by found.
// It returns each proposal's claim afterwards, nil for none, and the changes to be made durable.
func (b *Book) Outcome(batch []*api.ClaimProposal, found map[KeyHash]*api.Claim) ([]*api.Claim, map[KeyHash]*api.Claim) {
	results := make([]*api.Claim, len(batch))
	changes := make(map[KeyHash]*api.Claim)
	for i, p := range batch {
		k := hashOf(p.GetClaim())
		present := b.present(k, changes, found)
		next := Apply(present, p)
		if next != present {
			changes[k] = next
		}
		results[i] = next
	}
	return results, changes
}

func (b *Book) present(k KeyHash, changes, found map[KeyHash]*api.Claim) *api.Claim {
	if c := changes[k]; c != nil {
		return c
	}
	if c := b.fresh[k]; c != nil {
		return c
	}
	return found[k]
}
