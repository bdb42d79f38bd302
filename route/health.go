package route

import (
	"sync/atomic"
	"time"
)

const (
	// maxEjectionTime bounds the time of one ejection.
	maxEjectionTime = time.Minute
	// maxEjectionDoublings bounds how often the ejection time doubles.
	maxEjectionDoublings = 10
	// stalledWeight is the number of failures that a stalled connection counts as.
	stalledWeight = 2
)

const (
	// minBusyBackoff and maxBusyBackoff bound how long an endpoint gets no requests after a busy response. The time
	// doubles with each consecutive one.
	minBusyBackoff = 50 * time.Millisecond
	maxBusyBackoff = time.Second
	// maxBackoffDoublings bounds how often that time doubles.
	maxBackoffDoublings = 5
)

// health counts an endpoint's consecutive failures and busy responses and records its ejection and backoff.
type health struct {
	// failures counts consecutive failures, weighted by their kind.
	failures atomic.Int64
	// failedAt is when the last failure was counted, in Unix nanoseconds.
	failedAt atomic.Int64
	// ejectedUntil is the end of the ejection in Unix nanoseconds; zero if the endpoint is in rotation.
	ejectedUntil atomic.Int64
	// ejections counts consecutive ejections without a successful request between them.
	ejections atomic.Int64
	// busyResponses counts consecutive busy responses.
	busyResponses atomic.Int64
	// backoffUntil is the end of the backoff after the last busy response, in Unix nanoseconds; zero for none.
	backoffUntil atomic.Int64
}

// recordBusy starts a backoff after a busy response: the endpoint is full or still loading its model.
func (h *health) recordBusy(now time.Time) {
	n := min(h.busyResponses.Add(1)-1, maxBackoffDoublings)
	h.backoffUntil.Store(now.Add(min(minBusyBackoff<<n, maxBusyBackoff)).UnixNano())
}

// backingOff reports whether the endpoint is in a backoff now.
func (h *health) backingOff(now time.Time) bool {
	until := h.backoffUntil.Load()
	return until != 0 && now.UnixNano() < until
}

// endBackoff clears an expired backoff. It returns true once per backoff.
func (h *health) endBackoff(now time.Time) bool {
	until := h.backoffUntil.Load()
	return until != 0 && now.UnixNano() >= until && h.backoffUntil.CompareAndSwap(until, 0)
}

// ejected reports whether the endpoint is ejected now.
func (h *health) ejected(now time.Time) bool {
	until := h.ejectedUntil.Load()
	return until != 0 && now.UnixNano() < until
}

// recordSuccess resets the counts of failures, ejections and busy responses.
func (h *health) recordSuccess() {
	if h.failures.Load() != 0 {
		h.failures.Store(0)
	}
	if h.ejections.Load() != 0 {
		h.ejections.Store(0)
	}
	if h.busyResponses.Load() != 0 {
		h.busyResponses.Store(0)
	}
}

// markFailure reports whether the failure of a request that began at the given time must be counted, and records the time
// if so. A request that was in flight when the last failure was counted is not counted again: both may have failed for one
// reason, for example one stalled connection while new connections work.
func (h *health) markFailure(began, now time.Time) bool {
	if began.UnixNano() < h.failedAt.Load() {
		return false
	}
	h.failedAt.Store(now.UnixNano())
	return true
}

// recordFailure counts a failure and returns the weighted number of consecutive failures.
func (h *health) recordFailure(stalled bool) int64 {
	if stalled {
		return h.failures.Add(stalledWeight)
	}
	return h.failures.Add(1)
}

// recovering reports whether the endpoint was ejected and has not completed a request since.
func (h *health) recovering() bool { return h.ejections.Load() > 0 }

// eject ejects the endpoint and returns the ejection time, which starts at base and doubles with each consecutive ejection.
// After the ejection a single failure reaches the threshold again.
func (h *health) eject(now time.Time, base time.Duration, threshold int64) time.Duration {
	n := min(h.ejections.Add(1)-1, maxEjectionDoublings)
	d := min(base<<n, maxEjectionTime)
	h.failures.Store(max(threshold-1, 0))
	h.ejectedUntil.Store(now.Add(d).UnixNano())
	return d
}

// endEjection clears an expired ejection. It returns true once per ejection.
func (h *health) endEjection(now time.Time) bool {
	until := h.ejectedUntil.Load()
	return until != 0 && now.UnixNano() >= until && h.ejectedUntil.CompareAndSwap(until, 0)
}
