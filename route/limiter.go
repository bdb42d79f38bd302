package route

import (
	"math"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// limitMax bounds the limit of an endpoint that nobody rated.
	limitMax = 1024
	// fastWeight and slowWeight are the weights of a new sample in the averages of the time to the first token.
	fastWeight = 1.0 / 8
	slowWeight = 1.0 / 128
	// tolerance is how far the fast average may lie above the slow one before the limit is lowered.
	tolerance = 2.0
	// slack is added to the tolerated time, so that short times do not count as slow for their noise.
	slack = 20 * time.Millisecond
	// slowFactor and failFactor lower the limit of an endpoint that turned slow or full, or failed.
	slowFactor = 0.9
	failFactor = 0.5
	// samplesPerCut is how many completions lie at least between two cuts for slowness.
	samplesPerCut = 8
)

// limiter keeps how many requests an endpoint can run at once for all instances together. It starts at the operators'
// rating or a first guess, falls when the endpoint fails or turns slow and rises one by one while it does well.
// Reads are atomic; changes, once per finished request, take the lock.
type limiter struct {
	value atomic.Int64

	mu      sync.Mutex
	limit   float64
	ceiling float64
	rated   bool
	fast    float64
	slow    float64
	samples int
}

// init sets the limit to the rating, or to a first guess that may grow when there is none.
func (l *limiter) init(rated, initial uint32) {
	l.rated = rated > 0
	l.ceiling = limitMax
	l.limit = float64(max(initial, 1))
	if l.rated {
		l.ceiling = float64(rated)
		l.limit = l.ceiling
	}
	l.publish()
}

// rerate follows a change of the operators' rating.
func (l *limiter) rerate(rated, initial uint32) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.rated == (rated > 0) && (rated == 0 || l.ceiling == float64(rated)) {
		return
	}
	l.init(rated, initial)
}

// get returns the limit, at least one.
func (l *limiter) get() int { return int(l.value.Load()) }

func (l *limiter) publish() {
	l.limit = min(max(l.limit, 1), l.ceiling)
	l.value.Store(int64(math.Round(l.limit)))
}

// reported takes the capacity that an endpoint without a rating reports of itself as its ceiling.
func (l *limiter) reported(capacity uint32) {
	if capacity == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.rated {
		return
	}
	l.ceiling = min(float64(capacity), limitMax)
	l.publish()
}

// failed lowers the limit after a failure.
func (l *limiter) failed() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limit *= failFactor
	l.publish()
}

// full lowers the limit after the endpoint answered that it has no room.
func (l *limiter) full() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limit *= slowFactor
	l.publish()
}

// restart sets the limit to one, for an endpoint that comes back into rotation.
func (l *limiter) restart() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limit = 1
	l.fast = 0
	l.publish()
}

// completed takes in the time to the first token of a whole answer, zero if not known. The limit grows only while it is
// pressed, that is while this instance uses much of its part. It returns true when it lowered the limit.
func (l *limiter) completed(first time.Duration, pressed bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sample(float64(first))
	if l.tooSlow() {
		l.limit *= slowFactor
		l.samples = 0
		l.publish()
		return true
	}
	if pressed && l.limit < l.ceiling && !l.strained() {
		l.limit += 1 / math.Sqrt(l.limit)
		l.publish()
	}
	return false
}

func (l *limiter) sample(v float64) {
	if v <= 0 {
		return
	}
	l.samples++
	if l.slow == 0 {
		l.slow = v
	}
	if l.fast == 0 {
		l.fast = v
	}
	l.fast += (v - l.fast) * fastWeight
	// The slow average follows falls at once, so that a baseline learnt while the endpoint was overloaded is forgotten.
	if l.fast < l.slow {
		l.slow += (l.fast - l.slow) * fastWeight
		return
	}
	l.slow += (v - l.slow) * slowWeight
}

// strained says whether first tokens take longer than is tolerated.
func (l *limiter) strained() bool { return l.fast > l.slow*tolerance+float64(slack) }

func (l *limiter) tooSlow() bool { return l.samples >= samplesPerCut && l.strained() }
