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
	// firstSilence is how many times its objective a first event or whole answer may take, and gapSilence how many times
	// its objective a pause in a stream, before an endpoint that answers no other request counts as silent.
	firstSilence = 2
	gapSilence   = 4
	// silenceCheck is how often a request that is late is looked at again.
	silenceCheck = 200 * time.Millisecond
	// leastSilence keeps short objectives from being taken for silence by a pause of this instance itself.
	leastSilence = 40 * time.Millisecond
)

// errSilent is the cause with which a request is taken back from an endpoint that has fallen silent.
var errSilent = errors.New("gateway: endpoint has fallen silent")

// watchdog takes a request back from an endpoint that neither goes on with it nor answers any other request.
type watchdog struct {
	ticket   *placement.Ticket
	route    *routing.Route
	cancel   context.CancelCauseFunc
	now      func() time.Time
	progress atomic.Int64
	started  atomic.Bool
	timer    *time.Timer
}

// watch starts a watchdog. It does nothing for routes without an objective.
func watch(t *placement.Ticket, r *routing.Route, cancel context.CancelCauseFunc, now func() time.Time) *watchdog {
	d := &watchdog{ticket: t, route: r, cancel: cancel, now: now}
	d.progress.Store(now().UnixNano())
	if limit := d.limit(); limit > 0 {
		d.timer = time.AfterFunc(limit, d.check)
	}
	return d
}

// limit returns the longest time without progress.
func (d *watchdog) limit() time.Duration {
	limit := firstSilence * d.route.LatencyObjective
	if d.started.Load() {
		limit = gapSilence * d.route.GapObjective
	}
	if limit == 0 {
		return 0
	}
	return max(limit, leastSilence)
}

// advance notes that an event has come.
func (d *watchdog) advance() {
	d.started.Store(true)
	d.progress.Store(d.now().UnixNano())
}

func (d *watchdog) check() {
	since, limit := time.Unix(0, d.progress.Load()), d.limit()
	if limit == 0 {
		return
	}
	late := d.now().Sub(since) - limit
	switch {
	case late < 0:
		d.timer.Reset(-late)
	case d.ticket.SilentSince(since):
		d.cancel(errSilent)
	default:
		d.timer.Reset(silenceCheck)
	}
}

func (d *watchdog) stop() {
	if d.timer != nil {
		d.timer.Stop()
	}
}
