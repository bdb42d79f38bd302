package router

import (
	"time"

	"github.com/rcrowley/go-metrics"
)

// ActiveVersion returns the version of the active configuration, or zero.
func (r *Router) ActiveVersion() int64 {
	if t := r.table.Load(); t != nil {
		return t.Version()
	}
	return 0
}

// Offers reports whether an endpoint of the service "model" may get new requests.
func (r *Router) Offers(id string, now time.Time) bool {
	for _, e := range r.endpointView.Load().Endpoints("model", now) {
		if e.ID == id {
			return true
		}
	}
	return false
}

// IsRelay reports whether the instance watches the store for others.
func (r *Router) IsRelay() bool { return r.members.IsRelay() }

// InFlight returns the number of requests of callers in progress.
func (r *Router) InFlight() int64 { return r.gateway.InFlight() }

// AvailableTokens returns how many tokens of a customer's budget the instance can reserve at once.
func (r *Router) AvailableTokens(customer string) int64 { return r.prepaid.View(customer).Available }

// Count returns the value of a counter, or zero if there is none.
func (r *Router) Count(name string) int64 {
	if c, ok := r.config.Metrics.Get(name).(metrics.Counter); ok {
		return c.Count()
	}
	return 0
}
