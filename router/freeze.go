package router

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// freezePollInterval is how often the guard records that the process is running.
	freezePollInterval = 200 * time.Millisecond
	// freezeThreshold is the longest time between two records that does not count as a freeze. It is well above the
	// scheduling delays of a busy machine.
	freezeThreshold = time.Second
	// catchUpDelay is how long requests wait after a freeze, so that changes made meanwhile are applied first. The changes
	// are in connection buffers, or are read again from the store, which responds within milliseconds.
	catchUpDelay = 100 * time.Millisecond
)

// freezeGuard delays requests after the process resumes from a freeze, so that they are not sent to endpoints that started
// draining meanwhile. It compares wall-clock times because the monotonic clock stops while a machine is suspended. Setting
// the wall clock forward delays requests once, by at most catchUpDelay.
type freezeGuard struct {
	clock clockwork.Clock
	// onResume is called after a freeze, before any request goes on. It must not use the guard.
	onResume func()

	mu sync.Mutex
	// lastRunning is the wall time of the last record that the process was running.
	lastRunning time.Time
	// delayUntil is the wall time until which requests are delayed.
	delayUntil time.Time
}

func newFreezeGuard(clock clockwork.Clock, onResume func()) *freezeGuard {
	return &freezeGuard{clock: clock, onResume: onResume, lastRunning: wallTime(clock)}
}

// wallTime returns the current time without its monotonic clock reading.
func wallTime(clock clockwork.Clock) time.Time { return clock.Now().Round(0) }

// Run records periodically that the process is running, until the context ends.
func (g *freezeGuard) Run(ctx context.Context) error {
	ticker := g.clock.NewTicker(freezePollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.Chan():
			g.requestDelay()
		}
	}
}

// requestDelay records that the process is running and returns how long a request must wait for the instance to apply
// pending changes.
func (g *freezeGuard) requestDelay() time.Duration {
	now := wallTime(g.clock)
	g.mu.Lock()
	defer g.mu.Unlock()
	if now.Sub(g.lastRunning) > freezeThreshold {
		g.delayUntil = now.Add(catchUpDelay)
		g.onResume()
	}
	g.lastRunning = now
	return min(max(g.delayUntil.Sub(now), 0), catchUpDelay)
}

// Wait delays a request if the process has just resumed from a freeze. It returns early if the context ends.
func (g *freezeGuard) Wait(ctx context.Context) {
	delay := g.requestDelay()
	if delay == 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-g.clock.After(delay):
	}
}
