package gateway

import (
	"errors"
	"net/http"
	"time"

	"github.com/apex/log"

	"pumiceshelf/placement"
	"pumiceshelf/routing"
)

// errStandbyDropped is the cancellation cause of a standby attempt that is not needed any more.
var errStandbyDropped = errors.New("gateway: standby attempt was dropped")

// Reasons for which a standby attempt is dropped, apart from its own failure and the end of the request.
const (
	dropFirstGoesOn  = "first-goes-on"
	dropFirstDone    = "first-done"
	dropUnresponsive = "standby-silent"
)

type standbyState int

const (
	// standbySent means that the endpoint has not begun to respond.
	standbySent standbyState = iota
	// standbyBegun means that the endpoint has begun to respond, and the first attempt is canceled.
	standbyBegun
	// standbyAwaited means that the first attempt failed, and the job waits for this one, however it ends.
	standbyAwaited
	// standbyDropped means that the attempt is canceled.
	standbyDropped
)

// standby is a second attempt of a request, sent while the first one waits for a silent endpoint. It takes the request over
// once its endpoint begins to respond. Its goroutine owns the attempt until done is closed.
type standby struct {
	attempt *attempt
	sentAt  time.Time
	done    chan struct{}
	// failure is set before done is closed if there is no response.
	failure *failure

	// The job's mu guards the fields below.
	state standbyState
	// dropReason and result are those of a dropped attempt.
	dropReason string
	result     placement.Result
}

// standbyTally sums up the standby attempts that ended without taking the request over.
type standbyTally struct {
	sent, dialFailures int
	mayHaveRun         bool
	crashChecks        []<-chan struct{}
}

// startStandby sends a second attempt while the first waits. The caller holds j.mu, and has taken a retry.
func (j *job) startStandby(first *attempt, t *placement.Ticket, now time.Time) {
	j.triedEndpoints[t.Endpoint.ID] = true
	s := &standby{attempt: j.newAttempt(t), sentAt: now, done: make(chan struct{})}
	j.standby = s
	j.gateway.metrics.retried[reasonUnresponsive].Inc(1)
	j.logger().WithFields(log.Fields{"endpoint": t.Endpoint.ID, "silent_endpoint": first.ticket.Endpoint.ID, "last_event": j.lastEventID}).
		Info("gateway: standby attempt sent")
	go j.runStandby(s, first)
}

// runStandby waits until the standby attempt begins, fails or is dropped.
func (j *job) runStandby(s *standby, first *attempt) {
	defer close(s.done)
	s.failure = j.send(s.attempt)
	f := s.failure
	if f == nil {
		f = j.awaitBegin(s.attempt)
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	switch {
	case s.state == standbyAwaited:
	case s.state == standbySent && f == nil && j.ctx.Err() == nil:
		s.state = standbyBegun
		first.cancel(errUnresponsive)
	default:
		j.endStandby(s, f)
	}
}

// awaitBegin waits until the endpoint of a standby attempt begins to respond: for a stream, with its first event. It returns a
// failure if the response is not worth more than a silent endpoint.
func (j *job) awaitBegin(a *attempt) *failure {
	status, streaming := a.resp.StatusCode, j.route.Mode == routing.Streaming
	switch {
	case status >= http.StatusInternalServerError:
		return &failure{reason: reasonEndpointFailed, result: placement.Errored, mayHaveRun: true, sent: true}
	case streaming && status/100 != 2:
		return &failure{reason: reasonEndpointFailed, result: placement.Served, mayHaveRun: true, sent: true}
	case !streaming:
		return nil
	}
	if f := j.checkContinuation(a); f != nil {
		return f
	}
	ev, err := a.readEvent()
	if err == nil {
		err = j.checkEvent(a, ev)
	}
	a.peeked = &peekedEvent{event: ev, err: err}
	if err != nil {
		return &failure{reason: reasonResponseTruncated, result: placement.InvalidResponse, mayHaveRun: true, sent: true}
	}
	return nil
}

// endStandby settles a standby attempt that does not take the request over. f is its failure, or nil if it began. The caller
// holds j.mu.
func (j *job) endStandby(s *standby, f *failure) {
	reason, result := s.dropReason, s.result
	switch {
	case s.state == standbyDropped:
	case j.ctx.Err() != nil:
		reason, result = string(j.interruption()), placement.Canceled
	default:
		reason, result = string(f.reason), f.result
		if check := j.recordLoss(s.attempt.ticket, f, false); check != nil {
			j.ended.crashChecks = append(j.ended.crashChecks, check)
		}
	}
	if f == nil || f.sent {
		j.ended.sent++
	} else {
		j.ended.dialFailures++
	}
	j.ended.mayHaveRun = j.ended.mayHaveRun || f == nil || f.mayHaveRun
	j.standby = nil
	s.attempt.close()
	ticket, now := s.attempt.ticket, j.gateway.config.Clock.Now()
	logger := j.logger().WithFields(log.Fields{"endpoint": ticket.Endpoint.ID, "reason": reason})
	logger.WithField("sent", f == nil || f.sent).Info("gateway: standby attempt dropped")
	j.gateway.restarts.lost(ticket.Endpoint, result)
	if until := ticket.Done(result, now); !until.IsZero() {
		logger.WithField("until_ms", until.Sub(now).Milliseconds()).Info("gateway: endpoint ejected")
	}
}

// dropStandby cancels the standby attempt, if there is one. The caller holds j.mu.
func (j *job) dropStandby(reason string, result placement.Result) {
	s := j.standby
	if s == nil || s.state == standbyDropped {
		return
	}
	begun := s.state == standbyBegun
	s.state, s.dropReason, s.result = standbyDropped, reason, result
	s.attempt.cancel(errStandbyDropped)
	if begun {
		// Its goroutine has ended.
		j.endStandby(s, nil)
	}
}

// dropSilentStandby drops a standby attempt whose endpoint responds to no request either, so that another endpoint may be
// tried. The caller holds j.mu.
func (j *job) dropSilentStandby(now time.Time) {
	s, limit := j.standby, max(firstEventStallFactor*j.route.LatencyObjective, minStallTimeout)
	if s.state == standbySent && now.Sub(s.sentAt) >= limit && s.attempt.ticket.UnresponsiveSince(s.sentAt) && !j.delayedByLink(s.attempt, limit) {
		j.dropStandby(dropUnresponsive, placement.Unresponsive)
	}
}

// keep records that the endpoint of an attempt goes on, which ends a standby attempt. The request cannot move until the next
// call of setMovable. It returns false if the standby attempt has taken the request over.
func (j *job) keep() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.standby != nil && j.standby.state == standbyBegun {
		return false
	}
	j.dropStandby(dropFirstGoesOn, placement.Canceled)
	j.movable = nil
	return true
}

// awaitStandby reports whether a standby attempt is in progress after the first one failed. The job must then wait for it.
func (j *job) awaitStandby() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.standby == nil {
		return false
	}
	if j.standby.state == standbySent {
		j.standby.state = standbyAwaited
	}
	return true
}

// takeStandby returns the standby attempt, which becomes the job's present one, or nil.
func (j *job) takeStandby() *standby {
	j.mu.Lock()
	defer j.mu.Unlock()
	s := j.standby
	j.standby = nil
	return s
}

// settleStandbys adds the standby attempts that ended to the totals of the job. It waits for one that was dropped.
func (j *job) settleStandbys() {
	j.mu.Lock()
	if s := j.standby; s != nil && s.state == standbyDropped {
		j.mu.Unlock()
		<-s.done
		j.mu.Lock()
	}
	defer j.mu.Unlock()
	j.sentCount += j.ended.sent
	j.dialFailures += j.ended.dialFailures
	j.mayHaveRun = j.mayHaveRun || j.ended.mayHaveRun
	j.crashChecks = append(j.crashChecks, j.ended.crashChecks...)
	j.ended = standbyTally{}
}

// releaseStandby drops a standby attempt when the request ends. Afterwards, the job's totals are complete.
func (j *job) releaseStandby(reason string) {
	j.mu.Lock()
	j.dropStandby(reason, placement.Canceled)
	j.mu.Unlock()
	j.settleStandbys()
}
