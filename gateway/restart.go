package gateway

import (
	"context"
	"errors"
	"sync"
	"syscall"
	"time"

	"pumiceshelf/placement"
	"pumiceshelf/registry"
)

// lossRecordTime is how long after the begin of a check its loss may be recorded.
const lossRecordTime = 5 * time.Millisecond

// maxRestartChecks bounds the checks in progress, each of another endpoint, and maxRestartsWaiting the endpoints that wait for one; a
// fleet has at most about 1,300. A loss that is not checked counts as a restart, but only at this instance.
const (
	maxRestartChecks   = 64
	maxRestartsWaiting = 4096
)

// restartDetector finds out whether an endpoint that lost a connection may have started again. Endpoints that break
// off many responses without ending go on getting resumed streams. It is safe for concurrent use.
type restartDetector struct {
	gateway *Gateway
	mu      sync.Mutex
	// checked holds the IDs of the endpoints that are checked or wait for that.
	checked map[string]bool
	// inProgress is the number of checks, and waiting the endpoints whose checks begin when others end, in order.
	inProgress int
	waiting    []lostEndpoint
}

// lostEndpoint is an endpoint that lost a connection at a time.
type lostEndpoint struct {
	endpoint registry.Endpoint
	at       time.Time
}

// lost records that a connection to an endpoint was lost, or that connecting failed.
func (d *restartDetector) lost(e registry.Endpoint, r placement.Result) {
	if r != placement.InvalidResponse && r != placement.Unreachable && r != placement.NotConnected {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.checked[e.ID] || len(d.waiting) >= maxRestartsWaiting {
		return
	}
	d.checked[e.ID] = true
	d.waiting = append(d.waiting, lostEndpoint{endpoint: e, at: d.gateway.config.Clock.Now()})
	d.beginChecks()
}

// connectionEnded records that the endpoint at an address ended a connection, which may have been idle: if no request is in progress when
// an endpoint starts again, nothing else shows it. Only streams are concerned.
func (d *restartDetector) connectionEnded(address string) {
	config := d.gateway.config
	table := config.Table()
	for _, e := range config.Endpoints().AtAddress(address) {
		if table != nil && table.Streams(e.Service) {
			d.lost(e, placement.InvalidResponse)
		}
	}
}

// beginChecks begins checks of the endpoints that wait for one, as many as may be in progress. The caller holds the mutex.
func (d *restartDetector) beginChecks() {
	for len(d.waiting) > 0 && d.inProgress < maxRestartChecks {
		next := d.waiting[0]
		d.waiting = d.waiting[1:]
		d.inProgress++
		// A process takes longer than crashCheckDelay to start.
		delay := crashCheckDelay + lossRecordTime - d.gateway.config.Clock.Since(next.at)
		if delay <= 0 {
			// Several timers of 0 s at the same time crash the Go runtime (go1.26.8) in a synctest bubble under the race detector.
			go d.check(next.endpoint)
			continue
		}
		time.AfterFunc(delay, func() { d.check(next.endpoint) })
	}
}

// check connects to the endpoint. A connection shows that it has not ended. If it is refused, and other instances do not connect
// either, the loss is passed on to them. If they do, this instance may be cut off from the endpoint. A connection that succeeds shortly
// after it was refused shows another process.
func (d *restartDetector) check(e registry.Endpoint) {
	g := d.gateway
	lostUntil := g.config.Clock.Now().Add(-crashCheckDelay)
	ctx, cancel := context.WithTimeout(context.Background(), g.config.Link.dialTime())
	defer cancel()
	err := d.connect(ctx, e)
	d.mu.Lock()
	delete(d.checked, e.ID)
	d.inProgress--
	d.beginChecks()
	d.mu.Unlock()
	switch {
	case err == nil:
		if lostAgain := g.config.Chooser.RefuteLosses(e, lostUntil); lostAgain {
			d.lost(e, placement.InvalidResponse)
		}
	case !errors.Is(err, syscall.ECONNREFUSED):
	case g.config.ReachedByOthers == nil || !g.config.ReachedByOthers(ctx, e) || d.connect(ctx, e) == nil:
		g.config.Chooser.RecordLoss(placement.Loss{Endpoint: e, At: g.config.Clock.Now()})
	}
}

// connect connects to the endpoint and closes the connection.
func (d *restartDetector) connect(ctx context.Context, e registry.Endpoint) error {
	conn, err := d.gateway.config.Dial(ctx, "tcp", e.Address)
	if err == nil {
		_ = conn.Close()
	}
	return err
}
