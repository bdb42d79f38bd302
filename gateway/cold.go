package gateway

import (
	"time"

	"github.com/apex/log"

	"pumiceshelf/endpointlimit"
)

// recordCold records for how long an endpoint stays cold, or that it is not, if the response says so.
func (j *job) recordCold(a *attempt, sentAt time.Time) {
	limits, endpoint, now := j.gateway.config.Limits, a.ticket.Endpoint, j.gateway.config.Clock.Now()
	switch {
	case a.meta.InvalidColdLeft != "":
		j.logger().WithFields(log.Fields{"endpoint": endpoint.ID, "cold": a.meta.InvalidColdLeft}).Warn("gateway: endpoint names an invalid cold time")
	case a.meta.ColdLeft == nil:
	case *a.meta.ColdLeft == 0:
		limits.RecordNotCold(endpoint, sentAt, now)
	default:
		limits.RecordCold(endpointlimit.ColdStatement{Endpoint: endpoint, Left: *a.meta.ColdLeft}, now)
	}
}
