package router

import (
	"github.com/apex/log"

	"pumiceshelf/endpointlimit"
	"pumiceshelf/quarantine"
)

// logLimitChange logs a change of an endpoint's rate limit.
func (r *Router) logLimitChange(c endpointlimit.Change) {
	fields := log.Fields{"endpoint": c.Endpoint.ID, "before_per_s": c.Before, "age_ms": c.Age.Milliseconds(), "from_instance": c.FromInstance}
	if !c.Limited {
		r.config.Log.WithFields(fields).Info("router: endpoint has withdrawn its rate limit")
		return
	}
	r.config.Log.WithFields(fields).WithField("limit_per_s", c.Rate).Info("router: endpoint limits its request rate")
}

// logQuarantine logs the begin or the end of a quarantine with the evidence.
func (r *Router) logQuarantine(c quarantine.Change) {
	logger := r.config.Log.WithFields(log.Fields{
		"part": c.Part, "endpoints": c.Endpoints, "last_crash_ms": c.LastCrashAge.Milliseconds(), "remaining_ms": c.Remaining.Milliseconds(),
		"from_instance": c.FromInstance,
	})
	what := "prompt part"
	if quarantine.IsRequestPart(c.Part) {
		what = "request"
	}
	if c.Ended != "" {
		logger.WithField("reason", c.Ended).Info("router: quarantine of a " + what + " ended")
		return
	}
	logger.Warn("router: " + what + " put in quarantine, endpoints crashed while requests with it waited")
}
