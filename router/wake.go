package router

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// wakeTick is how often an instance notes that it runs.
	wakeTick = 200 * time.Millisecond
	// wakeGap is the pause from which an instance counts as having been frozen: well over what a busy machine causes.
	wakeGap = time.Second
	// wakeSettle is how long requests wait after a freeze, for changes that came meanwhile to be taken in: they are in the
	// buffers of connections, or are read again from a store that answers in milliseconds.
	wakeSettle = 100 * time.Millisecond
)

// wakeGuard keeps requests of an instance that wakes from a freeze from being sent to endpoints that it has not yet heard
// are leaving. It compares times of day, since the steady clock does not count the time of a suspended machine; a time of
// day that is set forward costs one short wait.
type wakeGuard struct {
	clock clockwork.Clock

	mu      sync.Mutex
	seen    time.Time
	settled time.Time
}

func newWakeGuard(clock clockwork.Clock) *wakeGuard {
	return &wakeGuard{clock: clock, seen: timeOfDay(clock)}
}

func timeOfDay(clock clockwork.Clock) time.Time { return clock.Now().Round(0) }

// Run notes that the instance runs until the context ends.
func (g *wakeGuard) Run(ctx context.Context) error {
	ticker := g.clock.NewTicker(wakeTick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.Chan():
			g.hold()
		}
	}
}

// hold returns how long a request must wait before it may rely on what the instance knows.
func (g *wakeGuard) hold() time.Duration {
	now := timeOfDay(g.clock)
	g.mu.Lock()
	defer g.mu.Unlock()
	if now.Sub(g.seen) > wakeGap {
		g.settled = now.Add(wakeSettle)
	}
	g.seen = now
	return min(max(g.settled.Sub(now), 0), wakeSettle)
}

// Wait returns at once unless the instance has just woken from a freeze.
func (g *wakeGuard) Wait(ctx context.Context) {
	pause := g.hold()
	if pause == 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-g.clock.After(pause):
	}
}
