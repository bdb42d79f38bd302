package endpointload

import (
	"slices"
	"time"
)

const (
	// minGaps is the fewest gaps of a stream from which its usual gap is taken. The median of four is not the one that a prompt
	// prefilled in between makes longer.
	minGaps = 4
	// maxGaps bounds the gaps that are kept of a stream.
	maxGaps = 64
	// maxReaderPart is the inverse of the part of a gap in which the instance may have been busy passing on the last event. While it
	// is busy, it does not see when the next one arrives.
	maxReaderPart = 4
)

// StreamTimes records when the events of one stream arrive. It is not safe for concurrent use.
type StreamTimes struct {
	sentAt, lastAt time.Time
	first          time.Duration
	gaps           []time.Duration
}

// NewStreamTimes returns the times of a stream whose request was sent at a time.
func NewStreamTimes(sentAt time.Time) *StreamTimes { return &StreamTimes{sentAt: sentAt} }

// Event records an event that arrived at a time, for which the instance has waited since it was ready for it.
func (s *StreamTimes) Event(ready, arrived time.Time) {
	if s.lastAt.IsZero() {
		s.first = arrived.Sub(s.sentAt)
	} else if gap := arrived.Sub(s.lastAt); len(s.gaps) < maxGaps && ready.Sub(s.lastAt) <= gap/maxReaderPart {
		s.gaps = append(s.gaps, gap)
	}
	s.lastAt = arrived
}

// First returns the time until the first event, or zero if none has arrived.
func (s *StreamTimes) First() time.Duration { return s.first }

// Gap returns the median of the times between two events, or zero if there are too few.
func (s *StreamTimes) Gap() time.Duration {
	if len(s.gaps) < minGaps {
		return 0
	}
	sorted := slices.Clone(s.gaps)
	slices.Sort(sorted)
	return sorted[(len(sorted)-1)/2]
}
