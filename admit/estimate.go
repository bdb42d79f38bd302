package admit

import (
	"math/bits"
	"time"
)

const (
	// costBuckets is the number of powers of two of the cost that service times are kept apart for.
	costBuckets = 40
	// meanShift and deviationShift are the weights of a new sample, as powers of one half.
	meanShift      = 3
	deviationShift = 2
	// deviations is how many mean deviations above the mean an upper estimate lies.
	deviations = 3
	// sampleLifetime is how long a sample is fresh.
	sampleLifetime = 30 * time.Second
	// doubtInterval is the time between two halvings of an estimate that is not fresh and that requests are refused for.
	doubtInterval = time.Second
)

// estimator keeps the mean and mean deviation of service times by size of request, in the manner of TCP's
// round-trip estimate. It needs no model of how time grows with cost.
type estimator struct {
	mean      [costBuckets]time.Duration
	deviation [costBuckets]time.Duration
	sampled   [costBuckets]time.Time
	doubted   [costBuckets]time.Time
}

func costBucket(cost uint64) int {
	return min(bits.Len64(cost), costBuckets-1)
}

// observe adds the service time of a request. It returns true if nothing fresh was known of its size before.
func (e *estimator) observe(now time.Time, cost uint64, took time.Duration) bool {
	b := costBucket(cost)
	fresh := e.fresh(now, b)
	e.sampled[b] = now
	if !fresh {
		e.mean[b] = took
		e.deviation[b] = took / 2
		return true
	}
	diff := took - e.mean[b]
	e.mean[b] += diff >> meanShift
	e.deviation[b] += (diff.Abs() - e.deviation[b]) >> deviationShift
	return false
}

func (e *estimator) fresh(now time.Time, bucket int) bool {
	return !e.sampled[bucket].IsZero() && now.Sub(e.sampled[bucket]) <= sampleLifetime
}

// bucketFor returns the bucket with samples that is nearest to the cost from below, so that a request is not refused for
// what larger ones took; -1 if there is none.
func (e *estimator) bucketFor(cost uint64) int {
	for b := costBucket(cost); b >= 0; b-- {
		if e.mean[b] > 0 {
			return b
		}
	}
	return -1
}

// expected returns the mean service time for the cost, zero if unknown. It may be from long ago: that of the last burst
// is the best guess at the next.
func (e *estimator) expected(cost uint64) time.Duration {
	b := e.bucketFor(cost)
	if b < 0 {
		return 0
	}
	return e.mean[b]
}

// lately returns the mean service time for the cost, zero if nothing fresh is known.
func (e *estimator) lately(now time.Time, cost uint64) time.Duration {
	b := e.bucketFor(cost)
	if b < 0 || !e.fresh(now, b) {
		return 0
	}
	return e.mean[b]
}

// upper returns a service time that few requests of the cost exceed, zero if unknown.
func (e *estimator) upper(cost uint64) time.Duration {
	b := e.bucketFor(cost)
	if b < 0 {
		return 0
	}
	return e.mean[b] + deviations*e.deviation[b]
}

// doubt is called when a request is refused for its estimate. An estimate that no fresh sample bears out is halved now
// and then, so that requests of its size are tried again.
func (e *estimator) doubt(now time.Time, cost uint64) {
	b := e.bucketFor(cost)
	if b < 0 || e.fresh(now, b) || now.Sub(e.doubted[b]) < doubtInterval {
		return
	}
	e.doubted[b] = now
	e.mean[b] /= 2
	e.deviation[b] /= 2
}
