package gateway

import (
	"time"

	"github.com/apex/log"

	"pumiceshelf/placement"
)

// tryMove sends a standby attempt to another endpoint, for a request whose endpoint has been silent since the given time. It does
// nothing if the request must stay: its attempts or the retry budget are used up, or no endpoint that responded within the
// period may take it. The watchdog calls it while the job's goroutine waits for the endpoint.
func (j *job) tryMove(a *attempt, since time.Time, period time.Duration) {
	j.mu.Lock()
	defer j.mu.Unlock()
	t := a.ticket
	if j.movable != a || !t.UnresponsiveSince(since) || j.delayedByLink(a, 2*period) {
		return
	}
	g := j.gateway
	now := g.config.Clock.Now()
	logger := j.logger().WithFields(log.Fields{"endpoint": t.Endpoint.ID, "silent_ms": now.Sub(since).Milliseconds()})
	if until := t.RecordSilence(now); !until.IsZero() {
		logger.WithFields(log.Fields{"reason": string(reasonUnresponsive), "until_ms": until.Sub(now).Milliseconds()}).Info("gateway: endpoint ejected")
	}
	if j.standby != nil {
		j.dropSilentStandby(now)
		return
	}
	reserved, blocker := j.reserve(period, now)
	switch {
	case reserved != nil:
		j.startStandby(a, reserved, now)
	case !j.stayLogged:
		j.stayLogged = true
		logger.WithField("reason", blocker).Info("gateway: request stays at a silent endpoint")
	}
}

// reserve takes an endpoint and a retry for tryMove. It returns what it lacks if there is none.
func (j *job) reserve(period time.Duration, now time.Time) (reserved *placement.Ticket, blocker string) {
	g := j.gateway
	instances := g.config.InstanceCount()
	switch {
	case j.ctx.Err() != nil, j.remainingTime() < minRemainingTime:
		return nil, "no-time"
	case j.sentCount+j.ended.sent+1 >= j.route.MaxAttempts, j.dialFailures+j.ended.dialFailures >= maxDialFailures:
		return nil, "no-attempt"
	case !g.config.RetryBudget.HasRetry(j.service, now, instances):
		return nil, "no-retry"
	}
	if reason, quarantined := j.quarantined(); quarantined {
		return nil, string(reason)
	}
	request := j.placementRequest()
	request.RespondedWithin = period
	choice := g.config.Chooser.Pick(j.candidates(now), request, j.triedEndpoints, now)
	if choice.Outcome != placement.Chosen {
		return nil, string(reasonNoEndpoint)
	}
	if !g.config.RetryBudget.AllowRetry(j.service, now, instances) {
		choice.Ticket.Done(placement.Canceled, now)
		return nil, "no-retry"
	}
	return choice.Ticket, ""
}

// setMovable allows moves of the request from the endpoint of the present attempt, or ends them if it is nil.
func (j *job) setMovable(a *attempt) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.movable = a
}

// resumeWatch makes the watchdog of an attempt, if it has one, watch for the next event.
func (j *job) resumeWatch(a *attempt) {
	if a.watchdog != nil {
		a.watchdog.resume()
		j.setMovable(a)
	}
}
