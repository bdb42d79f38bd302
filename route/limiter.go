package route

import (
	"math"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxUnratedLimit bounds the limit of an endpoint without a rating by the operators.
	maxUnratedLimit = 1024
	// fastWeight and slowWeight are the weights of a new sample in the fast and the slow moving average of the time to
	// the first token.
	fastWeight = 1.0 / 8
	slowWeight = 1.0 / 128
	// maxSlowdown is the ratio of the fast to the slow average above which the limit is lowered.
	maxSlowdown = 2.0
	// slowdownSlack is added to that bound, so that noise in short times does not count as a slowdown.
	slowdownSlack = 20 * time.Millisecond
	// slowLimitFactor multiplies the limit of an endpoint that became slow or full.
	slowLimitFactor = 0.9
	// failureLimitFactor multiplies the limit of an endpoint that failed.
	failureLimitFactor = 0.5
	// minSamplesPerCut is the minimum number of samples between two reductions of the limit for slowness.
	minSamplesPerCut = 8
)

// limiter adapts an endpoint's concurrency limit, for all instances together. The limit starts at the operators' rating or
// an initial estimate, decreases by a factor when the endpoint fails or becomes slow or full, and increases by at most one
// per completed request otherwise. Reads are atomic; updates, once per completed request, take the lock.
type limiter struct {
	// published is the rounded limit.
	published atomic.Int64

	mu              sync.Mutex
	limit           float64
	ceiling         float64
	rated           bool
	fastAvg         float64
	slowAvg         float64
	samplesSinceCut int
}

// init sets the limit to the rating, or without one to an initial limit that may increase.
func (l *limiter) init(rated, initial uint32) {
	l.rated = rated > 0
	l.ceiling = maxUnratedLimit
	l.limit = float64(max(initial, 1))
	if l.rated {
		l.ceiling = float64(rated)
		l.limit = l.ceiling
	}
	l.publish()
}

// setRating applies a change of the operators' rating.
func (l *limiter) setRating(rated, initial uint32) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.rated == (rated > 0) && (rated == 0 || l.ceiling == float64(rated)) {
		return
	}
	l.init(rated, initial)
}

// get returns the limit, at least one.
func (l *limiter) get() int { return int(l.published.Load()) }

// publish clamps the limit to [1, ceiling] and makes it visible to get.
func (l *limiter) publish() {
	l.limit = min(max(l.limit, 1), l.ceiling)
	l.published.Store(int64(math.Round(l.limit)))
}

// setReportedCapacity sets the ceiling of an endpoint without a rating to the capacity that it reports.
func (l *limiter) setReportedCapacity(capacity uint32) {
	if capacity == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.rated {
		return
	}
	l.ceiling = min(float64(capacity), maxUnratedLimit)
	l.publish()
}

// recordFailure lowers the limit after a failure.
func (l *limiter) recordFailure() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limit *= failureLimitFactor
	l.publish()
}

// recordBusy lowers the limit after a busy response.
func (l *limiter) recordBusy() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limit *= slowLimitFactor
	l.publish()
}

// reset sets the limit to one, for an endpoint that is ejected.
func (l *limiter) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limit = 1
	l.fastAvg = 0
	l.publish()
}

// recordCompletion records the time to the first token of a complete response; zero if unknown. The limit increases only
// if utilized is true, that is, while this instance uses much of its share. It returns true if it lowered the limit.
func (l *limiter) recordCompletion(firstToken time.Duration, utilized bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.addSample(float64(firstToken))
	if l.shouldCut() {
		l.limit *= slowLimitFactor
		l.samplesSinceCut = 0
		l.publish()
		return true
	}
	if utilized && l.limit < l.ceiling && !l.slow() {
		l.limit += 1 / math.Sqrt(l.limit)
		l.publish()
	}
	return false
}

// addSample adds a time to the first token, in nanoseconds, to the moving averages.
func (l *limiter) addSample(v float64) {
	if v <= 0 {
		return
	}
	l.samplesSinceCut++
	if l.slowAvg == 0 {
		l.slowAvg = v
	}
	if l.fastAvg == 0 {
		l.fastAvg = v
	}
	l.fastAvg += (v - l.fastAvg) * fastWeight
	// The slow average follows decreases quickly, so that a baseline from a time of overload does not persist.
	if l.fastAvg < l.slowAvg {
		l.slowAvg += (l.fastAvg - l.slowAvg) * fastWeight
		return
	}
	l.slowAvg += (v - l.slowAvg) * slowWeight
}

// slow reports whether first tokens take longer than the bound.
func (l *limiter) slow() bool { return l.fastAvg > l.slowAvg*maxSlowdown+float64(slowdownSlack) }

// shouldCut reports whether the limit must be lowered for slowness.
func (l *limiter) shouldCut() bool { return l.samplesSinceCut >= minSamplesPerCut && l.slow() }
