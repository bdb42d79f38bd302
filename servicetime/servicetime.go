// Package servicetime estimates how long requests take at endpoints, by their size. Queues and load shedding use it.
//
// The package is pure: callers pass the current time. An Estimator is not safe for concurrent use.
package servicetime

import (
	"math/bits"
	"time"
)

const (
	// numCostBuckets is the number of request sizes, by powers of two of the cost, that are estimated separately.
	numCostBuckets = 40
	// A new sample has a weight of 1/2^meanShift in the mean and of 1/2^deviationShift in the mean deviation.
	meanShift      = 3
	deviationShift = 2
	// upperDeviations is how many mean deviations the upper estimate lies above the mean.
	upperDeviations = 3
	// SampleLifetime is how long a sample counts as fresh.
	SampleLifetime = 30 * time.Second
	// decayInterval is the shortest time between two halvings of a stale estimate that causes refusals.
	decayInterval = time.Second
)

// Estimator tracks the mean and mean deviation of service times by request size, like the round-trip time
// estimator of TCP. It assumes no model of how service time grows with cost.
type Estimator struct {
	mean      [numCostBuckets]time.Duration
	deviation [numCostBuckets]time.Duration
	sampledAt [numCostBuckets]time.Time
	decayedAt [numCostBuckets]time.Time
}

func costBucket(cost uint64) int {
	return min(bits.Len64(cost), numCostBuckets-1)
}

// Observe records the service time of a request. It reports whether there was no fresh sample of this request size.
func (e *Estimator) Observe(now time.Time, cost uint64, elapsed time.Duration) bool {
	b := costBucket(cost)
	fresh := e.isFresh(now, b)
	e.sampledAt[b] = now
	if !fresh {
		e.mean[b] = elapsed
		e.deviation[b] = elapsed / 2
		return true
	}
	diff := elapsed - e.mean[b]
	e.mean[b] += diff >> meanShift
	e.deviation[b] += (diff.Abs() - e.deviation[b]) >> deviationShift
	return false
}

func (e *Estimator) isFresh(now time.Time, bucket int) bool {
	return !e.sampledAt[bucket].IsZero() && now.Sub(e.sampledAt[bucket]) <= SampleLifetime
}

// bucketFor returns the largest bucket with samples that is not above the bucket of the cost, or -1 if there is none.
// Larger buckets are not used, so that service times of larger requests do not cause a refusal.
func (e *Estimator) bucketFor(cost uint64) int {
	for b := costBucket(cost); b >= 0; b-- {
		if e.mean[b] > 0 {
			return b
		}
	}
	return -1
}

// Known reports whether requests of this size, not only smaller ones, were observed.
func (e *Estimator) Known(cost uint64) bool { return e.mean[costBucket(cost)] > 0 }

// ExpectedTime returns the mean service time for the cost, or zero if unknown. The samples may be stale: those of the
// last burst are the best estimate for the next one.
func (e *Estimator) ExpectedTime(cost uint64) time.Duration {
	b := e.bucketFor(cost)
	if b < 0 {
		return 0
	}
	return e.mean[b]
}

// RecentMean returns the mean service time for the cost, or zero if there is no fresh sample.
func (e *Estimator) RecentMean(now time.Time, cost uint64) time.Duration {
	b := e.bucketFor(cost)
	if b < 0 || !e.isFresh(now, b) {
		return 0
	}
	return e.mean[b]
}

// UpperEstimate returns a service time that few requests of the cost exceed, or zero if unknown.
func (e *Estimator) UpperEstimate(cost uint64) time.Duration {
	b := e.bucketFor(cost)
	if b < 0 {
		return 0
	}
	return e.mean[b] + upperDeviations*e.deviation[b]
}

// DecayIfStale is called when an estimate causes a refusal. It halves an estimate without a fresh sample, at most once
// per decayInterval, so that requests of this size are eventually admitted and measured again.
func (e *Estimator) DecayIfStale(now time.Time, cost uint64) {
	b := e.bucketFor(cost)
	if b < 0 || e.isFresh(now, b) || now.Sub(e.decayedAt[b]) < decayInterval {
		return
	}
	e.decayedAt[b] = now
	e.mean[b] /= 2
	e.deviation[b] /= 2
}
