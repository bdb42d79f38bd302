package gateway

import (
	"errors"
	"sync"
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

// watchdog tries to move a request that makes no progress if its endpoint responds to no other request either. The request stays
// until another endpoint begins to respond, because a sound endpoint may be silent for a while.
type watchdog struct {
	ticket *placement.Ticket
	route  *routing.Route
	// move sends a standby attempt to another endpoint, one that responded within the given period, if it can. since is the time
	// of the request's last progress.
	move func(since time.Time, period time.Duration)
	now  func() time.Time
	// lastProgress is the Unix time of the last progress in nanoseconds.
	lastProgress   atomic.Int64
	firstEventSeen atomic.Bool
	// relaying is set while an event is passed on to the caller, which says nothing about the endpoint.
	relaying atomic.Bool

	// mu guards the fields below.
	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
}

// startWatchdog starts a watchdog for one request. Without a latency objective on the route, it never moves the
// request.
func startWatchdog(t *placement.Ticket, r *routing.Route, move func(since time.Time, period time.Duration), now func() time.Time) *watchdog {
	d := &watchdog{ticket: t, route: r, move: move, now: now}
	d.lastProgress.Store(now().UnixNano())
	if limit := d.stallTimeout(); limit > 0 {
		d.checkAfter(limit)
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

// suspend stops the watch while an event that arrived is passed on to the caller, who may be slow. A nil watchdog does nothing.
func (d *watchdog) suspend() {
	if d != nil {
		d.firstEventSeen.Store(true)
		d.relaying.Store(true)
	}
}

// resume watches for the next event.
func (d *watchdog) resume() {
	d.lastProgress.Store(d.now().UnixNano())
	d.relaying.Store(false)
}

func (d *watchdog) check() {
	if d.isStopped() {
		return
	}
	since, limit := time.Unix(0, d.lastProgress.Load()), d.stallTimeout()
	if limit == 0 {
		return
	}
	overdue := d.now().Sub(since) - limit
	switch {
	case d.relaying.Load():
	case overdue < 0:
		d.checkAfter(-overdue)
		return
	case d.ticket.UnresponsiveSince(since):
		d.move(since, limit/2)
	}
	d.checkAfter(stallCheckInterval)
}

func (d *watchdog) isStopped() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.stopped
}

// checkAfter starts the timer for the next check, unless the watchdog was stopped.
func (d *watchdog) checkAfter(wait time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.stopped {
		d.timer = time.AfterFunc(wait, d.check)
	}
}

func (d *watchdog) stop() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stopped = true
	if d.timer != nil {
		d.timer.Stop()
	}
}
