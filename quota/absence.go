package quota

import (
	"sync"
	"time"
)

// absenceTracker records since when incarnations have been missing from the view of live instances. It is safe for
// concurrent use.
type absenceTracker struct {
	mu    sync.Mutex
	since map[string]time.Time
}

func newAbsenceTracker() *absenceTracker { return &absenceTracker{since: make(map[string]time.Time)} }

// duration returns how long an incarnation has been missing, or zero if it is live. The first call for a missing
// incarnation starts its absence.
func (a *absenceTracker) duration(incarnation string, live map[string]bool, now time.Time) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	if live[incarnation] {
		delete(a.since, incarnation)
		return 0
	}
	since, ok := a.since[incarnation]
	if !ok {
		a.since[incarnation] = now
		return 0
	}
	return now.Sub(since)
}

// removeOlderThan removes incarnations that have been missing for longer than retention.
func (a *absenceTracker) removeOlderThan(now time.Time, retention time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for i, since := range a.since {
		if now.Sub(since) > retention {
			delete(a.since, i)
		}
	}
}
