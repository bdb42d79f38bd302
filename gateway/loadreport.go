package gateway

import (
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/rcrowley/go-metrics"

	"pumiceshelf/registry"
	"pumiceshelf/telemetry"
)

const (
	// invalidLoadLogInterval is the minimum time between two log lines about invalid load reports of an endpoint, which may come with
	// each of its responses.
	invalidLoadLogInterval = time.Minute
	// maxInvalidLoadEndpoints bounds the endpoints whose last line is remembered; a fleet has at most about 1,300.
	maxInvalidLoadEndpoints = 4096
)

var (
	descInvalidLoads  = telemetry.Describe("endpointload.invalid.reports", "reports", "Load reports of endpoints that could not be parsed.")
	descLoadReportAge = telemetry.Describe("endpointload.report_age", "nanoseconds", "Age of the load report of the chosen endpoint when a request was sent to it.")
)

// loadReports counts the invalid load reports of endpoints and bounds the log lines about them. It is safe for concurrent use.
type loadReports struct {
	invalid metrics.Counter
	age     metrics.Timer
	mu      sync.Mutex
	// loggedAt is when an endpoint's invalid report was last logged, by endpoint ID.
	loggedAt map[string]time.Time
}

func newLoadReports(r metrics.Registry) *loadReports {
	return &loadReports{invalid: descInvalidLoads.Counter(r), age: descLoadReportAge.Timer(r), loggedAt: make(map[string]time.Time)}
}

// mayLog reports whether an invalid report of the endpoint is to be logged now, and records that it was.
func (l *loadReports) mayLog(id string, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if at, ok := l.loggedAt[id]; ok && now.Sub(at) < invalidLoadLogInterval {
		return false
	}
	if len(l.loggedAt) >= maxInvalidLoadEndpoints {
		for id, at := range l.loggedAt {
			if now.Sub(at) >= invalidLoadLogInterval {
				delete(l.loggedAt, id)
			}
		}
		if len(l.loggedAt) >= maxInvalidLoadEndpoints {
			return false
		}
	}
	l.loggedAt[id] = now
	return true
}

// recordInvalidLoad counts and logs the load report of a response if it cannot be parsed. The last valid report of the endpoint
// stays in use until it is too old.
func (j *job) recordInvalidLoad(a *attempt) {
	if a.meta.InvalidLoad == "" {
		return
	}
	reports := j.gateway.loadReports
	reports.invalid.Inc(1)
	if endpoint := a.ticket.Endpoint.ID; reports.mayLog(endpoint, j.gateway.config.Clock.Now()) {
		j.logger().WithFields(log.Fields{"endpoint": endpoint, "load": a.meta.InvalidLoad}).Warn("gateway: endpoint sends an invalid load report")
	}
}

// recordLoadReportAge records how old the load report of an endpoint is to which a request is about to be sent, if there is one.
func (g *Gateway) recordLoadReportAge(e registry.Endpoint) {
	if g.config.Loads == nil {
		return
	}
	if view, ok := g.config.Loads.View(e, g.config.Clock.Now()); ok {
		g.loadReports.age.Update(view.Age)
	}
}
