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
	// sampleLifetime is how long a sample counts. A size that was refused for its estimate is tried again after it.
	sampleLifetime = 30 * time.Second
)

// estimator keeps the mean and mean deviation of service times by size of request, in the manner of TCP's
// round-trip estimate. It needs no model of how time grows with cost.
type estimator struct {
	mean      [costBuckets]time.Duration
	deviation [costBuckets]time.Duration
	sampled   [costBuckets]time.Time
}

func costBucket(cost uint64) int {
	return min(bits.Len64(cost), costBuckets-1)
}

// observe adds the service time of a request that an endpoint completed.
func (e *estimator) observe(now time.Time, cost uint64, took time.Duration) {
	b := costBucket(cost)
	fresh := e.fresh(now, b)
	e.sampled[b] = now
	if !fresh {
		e.mean[b] = took
		e.deviation[b] = took / 2
		return
	}
	diff := took - e.mean[b]
	e.mean[b] += diff >> meanShift
	e.deviation[b] += (diff.Abs() - e.deviation[b]) >> deviationShift
}

func (e *estimator) fresh(now time.Time, bucket int) bool {
	return !e.sampled[bucket].IsZero() && now.Sub(e.sampled[bucket]) <= sampleLifetime
}

// bucketFor returns the bucket with fresh samples that is nearest to the cost from below, so that a request is
// not refused for what larger ones took; -1 if none has samples.
func (e *estimator) bucketFor(now time.Time, cost uint64) int {
	for b := costBucket(cost); b >= 0; b-- {
		if e.fresh(now, b) {
			return b
		}
	}
	return -1
}

// expected returns the mean service time for the cost, zero if unknown.
func (e *estimator) expected(now time.Time, cost uint64) time.Duration {
	b := e.bucketFor(now, cost)
	if b < 0 {
		return 0
	}
	return e.mean[b]
}

// upper returns a service time that few requests of the cost exceed, zero if unknown.
func (e *estimator) upper(now time.Time, cost uint64) time.Duration {
	b := e.bucketFor(now, cost)
	if b < 0 {
		return 0
	}
	return e.mean[b] + deviations*e.deviation[b]
}
