package route

import (
	"time"

	"pumiceshelf/api"
)

const (
	// reportTTL is how long a report is used. It must exceed the delay of reports that arrive in peers' heartbeats.
	reportTTL = 5 * time.Second
	// minClockStepBack is how far back from the last report a report must be dated to count as new: it then comes from
	// another poller, whose clock is behind, rather than being the same or an older report that was forwarded again.
	minClockStepBack = 10 * time.Second
)

// report is the last load report of an endpoint.
type report struct {
	load *api.EndpointLoad
	// total is the number of requests running or waiting at the endpoint, from all instances.
	total int64
	// own is the number of requests that this instance had in flight when it received the report.
	own int64
	// receivedAt is when this instance received the report.
	receivedAt time.Time
}

// fresh reports whether the report is within its TTL. A nil report is not fresh.
func (r *report) fresh(now time.Time) bool {
	return r != nil && now.Sub(r.receivedAt) <= reportTTL
}

// supersededBy reports whether l is a newer report than this one. The same report, forwarded again, is not.
func (r *report) supersededBy(l *api.EndpointLoad) bool {
	if r == nil {
		return true
	}
	delta := time.Duration(l.ReportedUnixMs-r.load.ReportedUnixMs) * time.Millisecond
	return delta > 0 || delta < -minClockStepBack
}

// applyReport stores a load report and applies the reported capacity. It returns false if the report is not new.
func (s *endpointState) applyReport(now time.Time, l *api.EndpointLoad) bool {
	if !s.report.Load().supersededBy(l) {
		return false
	}
	own := s.inFlight.Load()
	s.report.Store(&report{
		load: l,
		// A total below this instance's own requests in flight is wrong or outdated.
		total:      max(int64(l.Running)+int64(l.Waiting), own),
		own:        own,
		receivedAt: now,
	})
	s.limit.setReportedCapacity(l.Capacity)
	return true
}
