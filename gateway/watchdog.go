package gateway

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"pumiceshelf/placement"
	"pumiceshelf/routing"
)

const (
	// firstEventStallFactor and eventGapStallFactor bound how long a request may make no progress. After that, its
	// endpoint counts as unresponsive if it responds to no other request either. They are multiples of the route's
	// latency objective, for a first event or a complete response, and of its event gap objective, for a pause within a
	// stream.
	firstEventStallFactor = 2
	eventGapStallFactor   = 4
	// stallCheckInterval is the time between two checks of an overdue request.
	stallCheckInterval = 200 * time.Millisecond
	// minStallTimeout prevents a short pause of this instance itself from being mistaken for an unresponsive endpoint
	// on routes with short objectives.
	minStallTimeout = 40 * time.Millisecond
)

// errUnresponsive is the cancellation cause of a request to an unresponsive endpoint.
var errUnresponsive = errors.New("gateway: endpoint is unresponsive")

// watchdog cancels a request that makes no progress if its endpoint responds to no other request either.
type watchdog struct {
	ticket *placement.Ticket
	route  *routing.Route
	cancel context.CancelCauseFunc
	now    func() time.Time
	// lastProgress is the Unix time of the last progress in nanoseconds.
	lastProgress   atomic.Int64
	firstEventSeen atomic.Bool
	timer          *time.Timer
}

// startWatchdog starts a watchdog for one request. Without a latency objective on the route, it never cancels the
// request.
func startWatchdog(t *placement.Ticket, r *routing.Route, cancel context.CancelCauseFunc, now func() time.Time) *watchdog {
	d := &watchdog{ticket: t, route: r, cancel: cancel, now: now}
	d.lastProgress.Store(now().UnixNano())
	if limit := d.stallTimeout(); limit > 0 {
		d.timer = time.AfterFunc(limit, d.check)
	}
	return d
}

// stallTimeout returns how long the request may make no progress, or zero for no limit.
func (d *watchdog) stallTimeout() time.Duration {
	limit := firstEventStallFactor * d.route.LatencyObjective
	if d.firstEventSeen.Load() {
		limit = eventGapStallFactor * d.route.EventGapObjective
	}
	if limit == 0 {
		return 0
	}
	return max(limit, minStallTimeout)
}

// recordProgress records the time at which an event arrived.
func (d *watchdog) recordProgress() {
	d.firstEventSeen.Store(true)
	d.lastProgress.Store(d.now().UnixNano())
}

func (d *watchdog) check() {
	since, limit := time.Unix(0, d.lastProgress.Load()), d.stallTimeout()
	if limit == 0 {
		return
	}
	overdue := d.now().Sub(since) - limit
	switch {
	case overdue < 0:
		d.timer.Reset(-overdue)
	case d.ticket.UnresponsiveSince(since):
		d.cancel(errUnresponsive)
	default:
		d.timer.Reset(stallCheckInterval)
	}
}

func (d *watchdog) stop() {
	if d.timer != nil {
		d.timer.Stop()
	}
}
