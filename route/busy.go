package route

import (
	"sync/atomic"
	"time"
)

const (
	// busyMemory is the longest time between two choices that find a domain full within one busy period.
	busyMemory = time.Second
	// busySettle is how long after the start of a busy period a load report must have been taken to show it.
	busySettle = 100 * time.Millisecond
)

// busy keeps since when this instance's own domain is full for a group, in Unix nanoseconds. Clients wake together, so
// that the other domains fill at the same moment: a report from before says nothing about the places they have left.
type busy struct {
	since atomic.Int64
	last  atomic.Int64
}

// observe notes that the own domain had no room.
func (b *busy) observe(now time.Time) {
	n := now.UnixNano()
	if n-b.last.Swap(n) > int64(busyMemory) {
		b.since.Store(n)
	}
}

// shown says whether a report was taken late enough to show the busy period.
func (b *busy) shown(r *report) bool {
	return r.load.ReportedUnixMs >= (b.since.Load()+int64(busySettle))/int64(time.Millisecond)
}
