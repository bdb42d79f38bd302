package route

import (
	"sync/atomic"
	"time"
)

const (
	// staleAfterIntervals is the number of report intervals without any update after which the information about
	// endpoints is outdated. It is reached only if all sources fail at the same time, as when the process is frozen.
	staleAfterIntervals = 3
	// maxDeferTicks is the number of ticks, one per tickInterval (5 s in total), for which requests are deferred without
	// an update. After that the instance is probably disconnected rather than resumed from a freeze, and continues with
	// the information that it has.
	maxDeferTicks = 50
)

// stalenessGuard records when the instance last received the state of endpoints: from the platform, from a peer, or from
// every endpoint of its domain. An instance that was frozen may have missed that endpoints started draining, so it needs
// an update before it sends them new requests. It is safe for concurrent use.
type stalenessGuard struct {
	maxAge time.Duration
	// updatedAt is in Unix nanoseconds, zero until the first update.
	updatedAt atomic.Int64
	// staleTicks counts the ticks since the last update at which the information was outdated.
	staleTicks atomic.Int64
}

// recordUpdate records an update and reports whether requests were deferred until now.
func (g *stalenessGuard) recordUpdate(now time.Time) bool {
	wasDeferring := g.deferring(now)
	g.updatedAt.Store(now.UnixNano())
	g.staleTicks.Store(0)
	return wasDeferring
}

// tick counts one tick if the information is outdated. It runs once per tickInterval.
func (g *stalenessGuard) tick(now time.Time) {
	if g.outdated(now) {
		g.staleTicks.Add(1)
	}
}

// deferring reports whether requests must be deferred.
func (g *stalenessGuard) deferring(now time.Time) bool {
	return g.outdated(now) && g.staleTicks.Load() < maxDeferTicks
}

// outdated reports whether the last update is older than maxAge.
func (g *stalenessGuard) outdated(now time.Time) bool {
	updatedAt := g.updatedAt.Load()
	return updatedAt != 0 && now.UnixNano()-updatedAt > int64(g.maxAge)
}
