package router

import (
	"time"

	"github.com/apex/log"

	"pumiceshelf/endpointlimit"
	"pumiceshelf/telemetry"
)

var descColdEndpoints = telemetry.Describe("router.cold_endpoints", "endpoints", "Endpoints that are cold, as far as the instance knows.")

// unknownColdStart is how long an endpoint is assumed to be cold whose service is not configured yet. Endpoints are cold for some seconds
// after they start, and the configuration that adds their service may follow some time later.
const unknownColdStart = time.Minute

// coldBound returns the bound on the requests to cold endpoints.
func (r *Router) coldBound() endpointlimit.ColdBound {
	return endpointlimit.ColdBound{Overage: r.config.Settings.ColdOverage, Slack: r.config.Settings.ColdSlack}
}

// coldRate returns the requests per second that a cold endpoint of a service handles, or zero if its endpoints are never cold.
func (r *Router) coldRate(service string) float64 {
	if t := r.table.Load(); t != nil && t.Service(service) != nil {
		return t.Service(service).ColdPerSecond
	}
	return 0
}

// coldStart returns how long an endpoint of a service is cold after its start, or zero if it never is. Whether endpoints of a service
// count as cold at all depends on coldRate, once the service is configured.
func (r *Router) coldStart(service string) time.Duration {
	if t := r.table.Load(); t != nil && t.Service(service) != nil {
		return t.Service(service).ColdStart
	}
	return unknownColdStart
}

// recordCold records which endpoints are cold.
func (r *Router) recordCold(list []endpointlimit.ColdStatement) {
	for _, s := range list {
		r.limits.RecordCold(s, r.config.Clock.Now())
	}
}

// logColdChange logs that an endpoint begins to be cold, or says that it is no longer.
func (r *Router) logColdChange(c endpointlimit.ColdChange) {
	fields := log.Fields{"endpoint": c.Endpoint.ID, "from_instance": c.FromInstance, "age_ms": c.Age.Milliseconds()}
	if c.Left == 0 {
		r.config.Log.WithFields(fields).Info("router: endpoint is no longer cold")
		return
	}
	r.config.Log.WithFields(fields).WithFields(log.Fields{"left_ms": c.Left.Milliseconds(), "assumed": c.Assumed, "per_s": c.Rate}).Info("router: endpoint is cold")
}
