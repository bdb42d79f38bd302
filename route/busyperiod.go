package route

import (
	"sync/atomic"
	"time"
)

const (
	// maxBusyGap is the longest time between two choices of one busy period that find this instance's domain full.
	maxBusyGap = time.Second
	// busyReportDelay is the minimum age of a busy period at which a load report reflects it.
	busyReportDelay = 100 * time.Millisecond
)

// busyPeriod records since when this instance's domain has been full for a group. Clients often send requests at the
// same time, so the other domains fill up at the same moment: an earlier load report does not show their free capacity.
type busyPeriod struct {
	// startedAt and lastFullAt are in Unix nanoseconds.
	startedAt  atomic.Int64
	lastFullAt atomic.Int64
}

// recordFull records that this instance's domain had no free capacity.
func (b *busyPeriod) recordFull(now time.Time) {
	n := now.UnixNano()
	if n-b.lastFullAt.Swap(n) > int64(maxBusyGap) {
		b.startedAt.Store(n)
	}
}

// coveredBy reports whether a load report was created late enough to reflect the busy period.
func (b *busyPeriod) coveredBy(r *report) bool {
	return r.load.ReportedUnixMs >= (b.startedAt.Load()+int64(busyReportDelay))/int64(time.Millisecond)
}
