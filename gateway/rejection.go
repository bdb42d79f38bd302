package gateway

import (
	"net/http"
	"time"

	"pumiceshelf/endpointload"
	"pumiceshelf/registry"
)

// maxRejections bounds the endpoints whose last rejection is remembered; a fleet has at most about 1,300.
const maxRejections = 4096

// rejection tells that an endpoint had no capacity for a request at a time.
type rejection struct {
	endpoint registry.Endpoint
	at       time.Time
	// waiting is the greatest number of waiting requests that the process is known to have had when it rejected one.
	waiting int
}

// recordRejection makes a rejection by an endpoint count for the next decision of load shedding, instead of when the reports that are
// summed up expire. A rejection without a load report shows a full endpoint all the same. An endpoint that leaves or asks for a pause
// may reject requests although it has free slots.
func (j *job) recordRejection(a *attempt) {
	s := j.gateway.shedding
	if s == nil || a.resp.StatusCode != http.StatusServiceUnavailable || a.meta.Misdirected || a.meta.Draining || a.meta.Pause > 0 {
		return
	}
	if a.meta.Load == nil {
		s.rejected(a.ticket.Endpoint, j.gateway.config.Clock.Now())
	}
	s.rooms.Delete(j.service)
	s.shedder.RoomChanged(j.service)
}

// rejected records a rejection without a load report.
func (s *shedding) rejected(e registry.Endpoint, now time.Time) {
	v, known := s.gateway.config.Loads.View(e, now)
	s.mu.Lock()
	defer s.mu.Unlock()
	last, ok := s.rejections[e.ID]
	if !ok && len(s.rejections) >= maxRejections {
		clear(s.rejections)
	}
	r := rejection{endpoint: e, at: now}
	if ok && last.endpoint.SameProcess(e) {
		r.waiting = last.waiting
	}
	if known && v.Fresh() {
		r.waiting = max(r.waiting, v.Waiting)
	}
	s.rejections[e.ID] = r
}

// sinceRejection returns what is known of an endpoint's load: its report, or that it is full if it has rejected a request since.
func (s *shedding) sinceRejection(e registry.Endpoint, v endpointload.View, now time.Time) endpointload.View {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.rejections[e.ID]
	age := now.Sub(r.at)
	if !ok || !r.endpoint.SameProcess(e) || v.Slots == 0 || age >= v.Age || age < 0 {
		return v
	}
	// At least one request waits: an endpoint with a queue rejects nothing before.
	v.Running, v.Waiting, v.Age = v.Slots, max(v.Waiting, r.waiting, 1), age
	return v
}
