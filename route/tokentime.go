package route

import (
	"slices"
	"sync/atomic"
	"time"

	"pumiceshelf/admit"
)

const (
	// tokenTimeWeightShift defines the weight of a new sample in the average: 1 / 2^tokenTimeWeightShift.
	tokenTimeWeightShift = 4
	// minSlowdownPercent is the token time, in percent of the median, from which an endpoint counts as slow.
	minSlowdownPercent = 150
	// maxSlowdownPercent bounds the slowdown of an endpoint.
	maxSlowdownPercent = 1600
)

// tokenTime is the moving average of the time that an endpoint takes per token, or per call of a plain service, in
// nanoseconds. Load reports contain only the number of requests, not how long they take.
type tokenTime struct{ nanos atomic.Int64 }

// observe adds a complete response to the average. A concurrent update may lose a sample.
func (t *tokenTime) observe(r admit.Result) {
	sample := int64(r.TotalTime) / int64(max(r.Tokens, 1))
	avg := t.nanos.Load()
	if avg == 0 {
		avg = sample
	}
	t.nanos.Store(avg + (sample-avg)>>tokenTimeWeightShift)
}

// firstToken returns the time to the first token of a response, or the total time for a plain service. It returns zero if
// the first token took more than 9/10 of the total time: the response was probably not streamed, so that its first token
// arrived with the last and the time depends on the length.
func firstToken(r admit.Result) time.Duration {
	if r.Tokens == 0 {
		return r.TotalTime
	}
	if r.TimeToFirstToken*10 > r.TotalTime*9 {
		return 0
	}
	return r.TimeToFirstToken
}

// slowdownPercent returns the token time in percent of the median, or 100 if it is not slow or either is unknown.
func (t *tokenTime) slowdownPercent(median int64) int64 {
	own := t.nanos.Load()
	if own == 0 || median == 0 {
		return 100
	}
	percent := own * 100 / median
	if percent < minSlowdownPercent {
		return 100
	}
	return min(percent, maxSlowdownPercent)
}

// updateMedianTokenTime stores the median token time of the candidates, with which choices compare an endpoint's.
func (s *candidates) updateMedianTokenTime() {
	known := make([]int64, 0, len(s.states))
	for _, e := range s.states {
		if n := e.tokenTime.nanos.Load(); n > 0 {
			known = append(known, n)
		}
	}
	if len(known) == 0 {
		return
	}
	slices.Sort(known)
	s.medianTokenTime.Store(known[(len(known)-1)/2])
}
