package route

import (
	"slices"
	"sync/atomic"
	"time"

	"pumiceshelf/admit"
)

const (
	// paceShift is the weight of a new sample of the pace, as a power of one half.
	paceShift = 4
	// slowPercent is how slow an endpoint must be, in percent of its group's median, to count as slower at all.
	slowPercent = 150
	// slowestPercent bounds how much slower an endpoint counts.
	slowestPercent = 1600
)

// pace is the average time that an endpoint takes for a token, or for a call of a plain service, in nanoseconds. A load
// report says how many requests an endpoint has; only its pace shows how long they take.
type pace struct{ nanos atomic.Int64 }

// observe takes in a whole answer. Updates that race may lose a sample.
func (p *pace) observe(r admit.Result) {
	sample := int64(r.TotalTime) / int64(max(r.Tokens, 1))
	had := p.nanos.Load()
	if had == 0 {
		had = sample
	}
	p.nanos.Store(had + (sample-had)>>paceShift)
}

// firstToken returns the time to the first token of an answer, or to all of it for a plain service; zero if the answer
// came as a whole, so that its time depends on its length.
func firstToken(r admit.Result) time.Duration {
	if r.Tokens == 0 {
		return r.TotalTime
	}
	if r.TimeToFirstToken*10 > r.TotalTime*9 {
		return 0
	}
	return r.TimeToFirstToken
}

// slowness returns the pace in percent of a median, 100 if it is not slower or not known.
func (p *pace) slowness(median int64) int64 {
	own := p.nanos.Load()
	if own == 0 || median == 0 {
		return 100
	}
	percent := own * 100 / median
	if percent < slowPercent {
		return 100
	}
	return min(percent, slowestPercent)
}

// observePace keeps the median pace of the side's endpoints for choices to compare with.
func (s *side) observePace() {
	known := make([]int64, 0, len(s.states))
	for _, e := range s.states {
		if n := e.pace.nanos.Load(); n > 0 {
			known = append(known, n)
		}
	}
	if len(known) == 0 {
		return
	}
	slices.Sort(known)
	s.pace.Store(known[(len(known)-1)/2])
}
