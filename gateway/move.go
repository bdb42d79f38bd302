package gateway

import (
	"time"

	"github.com/apex/log"

	"pumiceshelf/placement"
)

// reserveMove reserves an attempt at another endpoint, for a request whose endpoint has been silent since the given time. It
// returns false if the request must stay: its attempts or the retry budget are used up, or no endpoint that responded within the
// period may take it. The watchdog calls it while the job's goroutine waits for the endpoint.
func (j *job) reserveMove(t *placement.Ticket, since time.Time, period time.Duration) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.movable != t {
		return false
	}
	g := j.gateway
	now := g.config.Clock.Now()
	logger := j.logger().WithFields(log.Fields{"endpoint": t.Endpoint.ID, "silent_ms": now.Sub(since).Milliseconds()})
	if until := t.RecordSilence(now); !until.IsZero() {
		logger.WithFields(log.Fields{"reason": string(reasonUnresponsive), "until_ms": until.Sub(now).Milliseconds()}).Info("gateway: endpoint ejected")
	}
	blocker := j.reserve(period, now)
	if blocker != "" && !j.stayLogged {
		j.stayLogged = true
		logger.WithField("reason", blocker).Info("gateway: request stays at a silent endpoint")
	}
	return blocker == ""
}

// reserve takes an endpoint and a retry for reserveMove. It returns what it lacks, or an empty string.
func (j *job) reserve(period time.Duration, now time.Time) (blocker string) {
	g := j.gateway
	instances := g.config.InstanceCount()
	switch {
	case j.ctx.Err() != nil, j.remainingTime() < minRemainingTime:
		return "no-time"
	case j.sentCount+1 >= j.route.MaxAttempts:
		return "no-attempt"
	case !g.config.RetryBudget.HasRetry(j.service, now, instances):
		return "no-retry"
	}
	request := j.placementRequest()
	request.RespondedWithin = period
	choice := g.config.Chooser.Pick(j.candidates(now), request, j.triedEndpoints, now)
	if choice.Outcome != placement.Chosen {
		return string(reasonNoEndpoint)
	}
	if !g.config.RetryBudget.AllowRetry(j.service, now, instances) {
		choice.Ticket.Done(placement.Canceled, now)
		return "no-retry"
	}
	j.reserved = choice.Ticket
	return ""
}

// setMovable allows moves of the request from the endpoint of an attempt, or ends them if it is nil.
func (j *job) setMovable(t *placement.Ticket) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.movable = t
}

// takeReserved returns the reserved attempt, or nil. No attempt may be in progress.
func (j *job) takeReserved() *placement.Ticket {
	t := j.reserved
	j.reserved = nil
	return t
}

// releaseReserved gives up a reserved attempt that is not used, because the silent endpoint or the caller ended the request.
func (j *job) releaseReserved() {
	if t := j.takeReserved(); t != nil {
		t.Done(placement.Canceled, j.gateway.config.Clock.Now())
	}
}
