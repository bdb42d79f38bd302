package gateway

import (
	"math/rand/v2"
	"slices"
	"time"

	"pumiceshelf/registry"
)

const (
	// minOthersCheckDelay and maxOthersCheckDelay bound the time until an instance checks an endpoint because another one lost requests
	// there. Usually the other one has passed on the result of its own check by then, after crashCheckDelay.
	minOthersCheckDelay = 2 * crashCheckDelay
	maxOthersCheckDelay = 6 * crashCheckDelay
	// aliveMemory is how long after a check that found an endpoint running its losses are not passed on before their check, because
	// it may be one that resets connections. maxAlive bounds the endpoints for which that is known.
	aliveMemory = 10 * time.Second
	maxAlive    = 256
)

// CheckForOthers lets this instance check after a short time whether an endpoint has ended, because another instance lost requests
// there and may end before it has checked it itself. It returns at once.
func (g *Gateway) CheckForOthers(e registry.Endpoint) {
	d := g.crashes
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.forOthers) >= maxCrashChecks || slices.ContainsFunc(d.forOthers, e.SameProcess) {
		return
	}
	d.forOthers = append(d.forOthers, e)
	delay := minOthersCheckDelay + rand.N(maxOthersCheckDelay-minOthersCheckDelay)
	time.AfterFunc(delay, func() { d.checkForOthers(e) })
}

// checkForOthers checks an endpoint unless the result is known.
func (d *crashDetector) checkForOthers(e registry.Endpoint) {
	d.mu.Lock()
	d.forOthers = slices.DeleteFunc(d.forOthers, e.SameProcess)
	d.mu.Unlock()
	now := d.gateway.config.Clock.Now()
	switch c := (&crashCheck{endpoint: e, lostAt: now}); {
	case !d.gateway.config.Quarantine.LostByOthers(e):
	case d.gateway.config.Quarantine.Ended(e, now):
		d.record(c)
	default:
		d.check(c)
	}
}

// recordAlive records that an endpoint has not ended although requests were lost there.
func (d *crashDetector) recordAlive(e registry.Endpoint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.alive = slices.DeleteFunc(d.alive, func(a lostEndpoint) bool { return a.endpoint.SameProcess(e) })
	if len(d.alive) >= maxAlive {
		d.alive = slices.Delete(d.alive, 0, 1)
	}
	d.alive = append(d.alive, lostEndpoint{endpoint: e, at: d.gateway.config.Clock.Now()})
}

// aliveLately reports whether an endpoint had not ended lately although requests were lost there. The caller holds the mutex.
func (d *crashDetector) aliveLately(e registry.Endpoint, now time.Time) bool {
	return slices.ContainsFunc(d.alive, func(a lostEndpoint) bool { return a.endpoint.SameProcess(e) && now.Sub(a.at) < aliveMemory })
}
