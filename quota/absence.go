package quota

import (
	"sync"
	"time"
)

// absences remembers since when incarnations are missing from the view of live instances. It is safe for concurrent use.
type absences struct {
	mu    sync.Mutex
	since map[string]time.Time
}

func newAbsences() *absences { return &absences{since: make(map[string]time.Time)} }

// of returns how long an incarnation has been missing, zero if it is live.
func (a *absences) of(incarnation string, live map[string]bool, now time.Time) time.Duration {
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

// forget drops incarnations that have been missing for longer than keep.
func (a *absences) forget(now time.Time, keep time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for i, since := range a.since {
		if now.Sub(since) > keep {
			delete(a.since, i)
		}
	}
}
