package route

import (
	"sync/atomic"
	"time"
)

const (
	// ejectionMax bounds the time out of rotation.
	ejectionMax = time.Minute
	// ejectionDoublings bounds how often the time doubles.
	ejectionDoublings = 10
	// silentWeight is how many failures a silent connection counts for.
	silentWeight = 2
)

const (
	// restMin and restMax bound how long an endpoint that has no room is left alone. The time doubles with each such
	// answer in a row.
	restMin = 50 * time.Millisecond
	restMax = time.Second
	// restDoublings bounds how often it doubles.
	restDoublings = 5
)

// health counts failures in a row and keeps an endpoint that has too many of them out of rotation for a time.
type health struct {
	failures atomic.Int64
	// failedAt is when the last failure was counted, in Unix nanoseconds.
	failedAt atomic.Int64
	// until is the end of the ejection in Unix nanoseconds; zero when in rotation.
	until atomic.Int64
	// ejections in a row, without an answer between them.
	ejections atomic.Int64
	// refusals in a row for lack of room, and the end of the rest after the last, in Unix nanoseconds; zero for none.
	refusals atomic.Int64
	rested   atomic.Int64
}

// full leaves an endpoint alone that answered that it has no room, be it that it is full or that it loads its model.
func (h *health) full(now time.Time) {
	n := min(h.refusals.Add(1)-1, restDoublings)
	h.rested.Store(now.Add(min(restMin<<n, restMax)).UnixNano())
}

// rests says whether the endpoint is left alone now.
func (h *health) rests(now time.Time) bool {
	until := h.rested.Load()
	return until != 0 && now.UnixNano() < until
}

// takeRest reports, once, that a rest has ended.
func (h *health) takeRest(now time.Time) bool {
	until := h.rested.Load()
	return until != 0 && now.UnixNano() >= until && h.rested.CompareAndSwap(until, 0)
}

// ejected says whether the endpoint is out of rotation now.
func (h *health) ejected(now time.Time) bool {
	until := h.until.Load()
	return until != 0 && now.UnixNano() < until
}

// succeeded forgets the failures.
func (h *health) succeeded() {
	if h.failures.Load() != 0 {
		h.failures.Store(0)
	}
	if h.ejections.Load() != 0 {
		h.ejections.Store(0)
	}
	if h.refusals.Load() != 0 {
		h.refusals.Store(0)
	}
}

// newFailure says whether the failure of a request that began at a time is one more. Requests that were on their way when
// the last failure was counted may have been lost together, as on one connection that went silent while new ones work.
func (h *health) newFailure(began, now time.Time) bool {
	if began.UnixNano() < h.failedAt.Load() {
		return false
	}
	h.failedAt.Store(now.UnixNano())
	return true
}

// failed counts a failure and returns how many there were in a row.
func (h *health) failed(silent bool) int64 {
	if silent {
		return h.failures.Add(silentWeight)
	}
	return h.failures.Add(1)
}

// recovering says whether the endpoint was ejected and has not answered since.
func (h *health) recovering() bool { return h.ejections.Load() > 0 }

// eject takes the endpoint out of rotation, twice as long as the last time. It comes back one failure away from the
// next ejection.
func (h *health) eject(now time.Time, base time.Duration, threshold int64) time.Duration {
	n := min(h.ejections.Add(1)-1, ejectionDoublings)
	d := min(base<<n, ejectionMax)
	h.failures.Store(max(threshold-1, 0))
	h.until.Store(now.Add(d).UnixNano())
	return d
}

// takeReturn reports, once, that an ejection has ended.
func (h *health) takeReturn(now time.Time) bool {
	until := h.until.Load()
	return until != 0 && now.UnixNano() >= until && h.until.CompareAndSwap(until, 0)
}
