package gateway

import "net/http"

// denied returns the refusal of a request that the configuration does not allow. While the configuration is unconfirmed, a newer one
// may allow the request, so the caller is told to come back instead. Instances that reached neither the store nor others in time have
// answered 404 for routes that had been added ten seconds before.
func (j *job) denied(r refusal) *refusal {
	unconfirmed := j.gateway.config.ConfigurationUnconfirmed
	if unconfirmed == nil || !unconfirmed() {
		return &r
	}
	return &refusal{status: http.StatusServiceUnavailable, reason: reasonUnconfirmed, retryAfter: retryAfterTransient}
}
