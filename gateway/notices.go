package gateway

import (
	"time"

	"github.com/apex/log"
)

// recordRateLimit records the limit that a response names, or that it names none.
func (j *job) recordRateLimit(a *attempt, sentAt time.Time) {
	limits, endpoint, now := j.gateway.config.Limits, a.ticket.Endpoint, j.gateway.config.Clock.Now()
	switch {
	case a.meta.RateLimit != nil:
		limits.Named(endpoint, *a.meta.RateLimit, now)
	case a.meta.InvalidRateLimit != "":
		j.logger().WithFields(log.Fields{"endpoint": endpoint.ID, "limit": a.meta.InvalidRateLimit}).Warn("gateway: endpoint names an invalid rate limit")
	default:
		limits.NotNamed(endpoint, sentAt, now)
	}
}

// recordMaxRejected records how many requests the endpoint can reject without ending, if the response says so.
func (j *job) recordMaxRejected(a *attempt, sentAt time.Time) {
	logger := j.logger().WithField("endpoint", a.ticket.Endpoint.ID)
	switch {
	case a.meta.InvalidMaxRejected != "":
		logger.WithField("rejected_per_s", a.meta.InvalidMaxRejected).Warn("gateway: endpoint names an invalid number of rejected requests")
	case a.meta.MaxRejected == nil:
		a.ticket.RecordNoMaxRejected(sentAt)
	case a.ticket.RecordMaxRejected(*a.meta.MaxRejected, j.gateway.config.Clock.Now()):
		logger.WithField("rejected_per_s", *a.meta.MaxRejected).Info("gateway: endpoints of the service end if they reject too many requests")
	}
}

// recordDraining records that an endpoint is about to stop, if the response says so.
func (j *job) recordDraining(a *attempt) {
	if a.meta.Draining && a.ticket.RecordDraining() {
		j.logger().WithField("endpoint", a.ticket.Endpoint.ID).Info("gateway: endpoint is leaving")
	}
}

// recordPause records for how long an endpoint wants no further requests, if the response says so. It does so whether or not
// the endpoint ran this one.
func (j *job) recordPause(a *attempt) {
	logger := j.logger().WithField("endpoint", a.ticket.Endpoint.ID)
	switch {
	case a.meta.InvalidPause != "":
		logger.WithField("pause", a.meta.InvalidPause).Warn("gateway: endpoint asks for an invalid pause")
	case a.meta.Pause > 0 && a.ticket.RecordPause(a.meta.Pause, j.gateway.config.Clock.Now()):
		logger.WithField("ms", a.meta.Pause.Milliseconds()).Info("gateway: endpoint asks for a pause")
	}
}
