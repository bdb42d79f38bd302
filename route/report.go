package route

import (
	"time"

	"pumiceshelf/api"
)

const (
	// reportLifetime is how long a report counts. Its choice leaves room for reports that come by heartbeats.
	reportLifetime = 5 * time.Second
	// clockStep is how far a report may be dated before the last one and still be a new one of another poller's clock.
	clockStep = 10 * time.Second
)

// report is the last load report of an endpoint.
type report struct {
	load *api.EndpointLoad
	// total is the number of requests that ran and waited at the endpoint, from all instances.
	total int64
	// own is how many this instance had in flight when the report came.
	own int64
	// at is when this instance got it.
	at time.Time
}

// fresh says whether the report still counts. A nil report does not.
func (r *report) fresh(now time.Time) bool {
	return r != nil && now.Sub(r.at) <= reportLifetime
}

// newer says whether a load was reported after this one. A load that is passed on again is not.
func (r *report) newer(l *api.EndpointLoad) bool {
	if r == nil {
		return true
	}
	step := time.Duration(l.ReportedUnixMs-r.load.ReportedUnixMs) * time.Millisecond
	return step > 0 || step < -clockStep
}

// apply takes in a load report. It returns false for one that is not new.
func (s *state) apply(now time.Time, l *api.EndpointLoad) bool {
	if !s.report.Load().newer(l) {
		return false
	}
	own := s.inFlight.Load()
	s.report.Store(&report{
		load: l,
		// An endpoint that says less than this instance itself has there lies or lags.
		total: max(int64(l.Running)+int64(l.Waiting), own),
		own:   own,
		at:    now,
	})
	s.limit.reported(l.Capacity)
	return true
}
