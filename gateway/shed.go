package gateway

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/rcrowley/go-metrics"

	"pumiceshelf/endpointload"
	"pumiceshelf/registry"
	"pumiceshelf/routing"
	"pumiceshelf/shed"
	"pumiceshelf/telemetry"
)

const (
	// roomTTL is how long the sum of an instance's load reports is used. Reports are exchanged every 500 ms.
	roomTTL = 50 * time.Millisecond
	// maxRefusedContents bounds the refused requests that are remembered, and refusedTTL is how long they are: callers come back
	// after at most a third of the longest timeout.
	maxRefusedContents = 4096
	refusedTTL         = 30 * time.Second
	// maxShedLines bounds the log lines of single decisions per second, shedSummaryInterval is the time between summaries.
	maxShedLines        = 20
	shedSummaryInterval = 5 * time.Second
	// summarizedCustomers is the number of customers in a summary.
	summarizedCustomers = 5
)

var (
	descShedSent   = describeShedRanks("sent", "Requests sent while the load reports of enough endpoints were fresh, of the rank in the name; 0 is the most urgent.")
	descShedRefuse = describeShedRanks("refused", "Requests refused for want of room, of the rank in the name; 0 is the most urgent.")
	descShedCutoff = telemetry.Describe("shed.refused.cutoff", "requests", "Requests refused because others go before them and there is no room for all.")
	descShedLate   = telemetry.Describe("shed.refused.late", "requests", "Requests refused because they could not meet their deadline any more.")
	descShedMissed = telemetry.Describe("shed.missed", "requests", "Requests that load shedding has sent and that were not served in time, or rejected by all endpoints tried.")
	descShedFloor  = telemetry.Describe("shed.sent.floor", "requests", "Requests sent although others go before them, because too few of their customer, route, size or rank were served.")
)

func describeShedRanks(verdict, text string) (out [lowestPriority + 1]telemetry.Desc) {
	for rank := range out {
		out[rank] = telemetry.Describe(fmt.Sprintf("shed.%s.rank%d", verdict, rank), "requests", text)
	}
	return out
}

type shedMetrics struct {
	sent, refused               [lowestPriority + 1]metrics.Counter
	cutoff, late, floor, missed metrics.Counter
}

func newShedMetrics(r metrics.Registry) *shedMetrics {
	m := &shedMetrics{cutoff: descShedCutoff.Counter(r), late: descShedLate.Counter(r), floor: descShedFloor.Counter(r), missed: descShedMissed.Counter(r)}
	for rank := range m.sent {
		m.sent[rank], m.refused[rank] = descShedSent[rank].Counter(r), descShedRefuse[rank].Counter(r)
	}
	return m
}

func (m *shedMetrics) observe(d shed.Decision) {
	if d.Verdict == shed.Send {
		m.sent[d.Rank].Inc(1)
	} else {
		m.refused[d.Rank].Inc(1)
	}
	switch d.Reason {
	case shed.ReasonCutoff:
		m.cutoff.Inc(1)
	case shed.ReasonLate:
		m.late.Inc(1)
	case shed.ReasonFloor:
		m.floor.Inc(1)
	}
}

// shedding refuses requests for which the endpoints of their service have no room.
type shedding struct {
	gateway *Gateway
	shedder *shed.Shedder
	metrics *shedMetrics
	// rooms holds a *sharedRoom for each service by name.
	rooms sync.Map

	mu sync.Mutex
	// refused holds when requests were refused, by content ID.
	refused map[string]time.Time
	// rejections holds the last rejection of an endpoint by its ID.
	rejections map[string]rejection
	// lines and omitted are the log lines written and omitted since second.
	lines, omitted int
	second         time.Time
	summarized     map[string]time.Time
	// unreached holds the endpoints that were left out of the capacity of a service because they were out of reach, by service.
	unreached map[string]unreachedEndpoints
}

// sharedRoom is the room of a service at a time.
type sharedRoom struct {
	room shed.Room
	at   time.Time
}

func newShedding(g *Gateway) *shedding {
	return &shedding{
		gateway: g, shedder: shed.New(shed.Config{}), metrics: newShedMetrics(g.config.Metrics),
		refused: make(map[string]time.Time), rejections: make(map[string]rejection), summarized: make(map[string]time.Time),
		unreached: make(map[string]unreachedEndpoints),
	}
}

// checkRoom refuses the request if its service has no room for it. The tokens that were reserved are released.
func (j *job) checkRoom() *refusal {
	s := j.gateway.shedding
	if s == nil {
		return nil
	}
	now := j.gateway.config.Clock.Now()
	room := s.room(j.service, now)
	if !room.Known {
		return nil
	}
	r := j.shedRequest()
	r.CameBack = s.cameBack(j.content, now)
	d := s.shedder.Decide(j.service, r, room, now)
	s.metrics.observe(d)
	if d.Reason != "" {
		s.logDecision(j, d, room, now)
	}
	if d.Verdict == shed.Send {
		j.admitted = &r
		return nil
	}
	if j.reservation != nil {
		j.reservation.Settle(0)
		j.reservation = nil
	}
	s.recordRefused(j.content, now)
	return &refusal{status: http.StatusServiceUnavailable, reason: reasonNoRoom, retryAfter: d.RetryAfter}
}

// shedRequest returns the properties of the request that determine its place in the order.
func (j *job) shedRequest() shed.Request {
	r := shed.Request{
		Customer: j.customerName(), CustomerRank: customerRank(j.customer), RouteRank: j.route.Priority, Route: j.route.Name,
		Objective: j.route.LatencyObjective, TimeLeft: j.remainingTime(),
		Resumes: j.route.Mode == routing.Streaming && (j.meta.Resumes != "" || j.meta.ResumeAfter != ""),
	}
	if j.engine() != nil {
		r.PromptTokens, r.MaxOutputTokens = j.meta.PromptTokens, j.meta.MaxOutputTokens
	}
	return r
}

// recordMissed reports to load shedding that the request, which it has sent, was not served in time. A caller that leaves at the deadline
// has waited in vain as well.
func (j *job) recordMissed() {
	if j.admitted == nil {
		return
	}
	switch j.reason {
	case reasonTimeout, reasonEndpointsBusy, reasonOverloaded:
	case reasonNoEndpoint:
		// Endpoints that rejected it are not tried again.
		if j.sentCount == 0 {
			return
		}
	case reasonCallerCanceled:
		if j.remainingTime() >= minRemainingTime {
			return
		}
	default:
		return
	}
	j.gateway.shedding.metrics.missed.Inc(1)
	record := j.gateway.shedding.shedder.Missed
	if j.sentCount > 0 && !j.mayHaveRun {
		record = j.gateway.shedding.shedder.Rejected
	}
	record(j.service, *j.admitted, j.gateway.config.Clock.Now())
}

// recordServiceTime records how long a request took that one endpoint answered as a whole, unless it may have waited there.
func (j *job) recordServiceTime(e registry.Endpoint, begun time.Time, f *failure) {
	s := j.gateway.shedding
	if s == nil || f != nil || j.sentCount != 0 || j.meta.Resumes != "" || j.meta.ResumeAfter != "" {
		return
	}
	now := j.gateway.config.Clock.Now()
	v, ok := j.gateway.config.Loads.View(e, now)
	workTime, known := shedWorkTime(j.gateway.config.Loads, v, j.engine() != nil)
	if !ok || v.Waiting > 0 || !known {
		return
	}
	s.shedder.Finished(j.service, j.shedRequest(), now.Sub(begun), workTime, now)
}

// room returns the capacity of a service, which is summed up at most once per roomTTL.
func (s *shedding) room(service string, now time.Time) shed.Room {
	if v, ok := s.rooms.Load(service); ok {
		if shared := v.(*sharedRoom); now.Sub(shared.at) < roomTTL && !now.Before(shared.at) {
			room := shared.room
			room.Age += now.Sub(shared.at)
			return room
		}
	}
	room := s.readRoom(service, now)
	s.rooms.Store(service, &sharedRoom{room: room, at: now})
	return room
}

// shedWorkTime returns the work time of a report, the usual one if a plain endpoint reports none and all reports are shared. Engines
// without work times are left out: they take the most urgent request first, and without their speed it is not known how long
// others wait. In the model, shedding then served fewer callers than sending all (docs/design/shedding.md).
func shedWorkTime(loads *endpointload.Table, v endpointload.View, engine bool) (workTime float64, known bool) {
	if v.WorkTime > 0 {
		return v.WorkTime, true
	}
	return 1, !engine && loads.Wants(v.Report)
}

// readRoom returns the capacity of a service from the present load reports.
func (s *shedding) readRoom(service string, now time.Time) shed.Room {
	c := s.gateway.config
	room := s.sumRoom(c.Endpoints().Endpoints(service, now), s.isEngine(service), now)
	room.Instances = c.InstanceCount()
	return room
}

// isEngine reports whether the endpoints of a service are model engines.
func (s *shedding) isEngine(service string) bool {
	table := s.gateway.config.Table()
	if table == nil {
		return false
	}
	described := table.Service(service)
	return described != nil && described.Engine != nil
}

// sumRoom adds up the last reports of the endpoints in reach, if at least half of them are fresh. An endpoint that gets few requests, such as a slow
// engine, reports seldom, so that the full ones must not stand for it. They do for those that have made no report.
func (s *shedding) sumRoom(endpoints []registry.Endpoint, engines bool, now time.Time) shed.Room {
	var room shed.Room
	var unreached []registry.Endpoint
	fresh, counted := 0, 0
	var age time.Duration
	for _, e := range endpoints {
		if e.Draining {
			continue
		}
		if s.gateway.config.Chooser.OutOfReach(e) {
			unreached = append(unreached, e)
			continue
		}
		room.Endpoints++
		v, ok := s.gateway.config.Loads.View(e, now)
		v = s.sinceRejection(e, v, now)
		workTime, known := shedWorkTime(s.gateway.config.Loads, v, engines)
		if !ok || !known {
			continue
		}
		counted++
		if v.Fresh() {
			fresh++
			age += v.Age
		}
		room.Slots += v.Slots
		room.Running += v.Running
		room.Waiting += v.Waiting
		room.WorkTime += workTime
		if v.Waiting > 0 {
			room.EndpointsWaiting++
		}
	}
	if fresh == 0 || 2*fresh < room.Endpoints || room.Slots == 0 {
		return shed.Room{Endpoints: room.Endpoints}
	}
	scale := func(n int) int { return n * room.Endpoints / counted }
	room.Slots, room.Running, room.Waiting = scale(room.Slots), scale(room.Running), scale(room.Waiting)
	room.EndpointsWaiting = scale(room.EndpointsWaiting)
	room.WorkTime /= float64(counted)
	room.Age = age / time.Duration(fresh)
	room.Known = true
	s.recordUnreached(unreached, now)
	return room
}

// recordRefused records that a request was refused.
func (s *shedding) recordRefused(content string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.refused) >= maxRefusedContents {
		for c, at := range s.refused {
			if now.Sub(at) >= refusedTTL {
				delete(s.refused, c)
			}
		}
	}
	if len(s.refused) < maxRefusedContents {
		s.refused[content] = now
	}
}

// cameBack reports whether this instance refused the request before. Each refusal counts once.
func (s *shedding) cameBack(content string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	at, ok := s.refused[content]
	delete(s.refused, content)
	return ok && now.Sub(at) < refusedTTL
}

// logDecision logs a decision other than to send the request before the cut-off, and now and then who was served instead.
func (s *shedding) logDecision(j *job, d shed.Decision, room shed.Room, now time.Time) {
	omitted, write, summarize := s.mayLog(j.service, now)
	if write {
		fields := log.Fields{
			"service": j.service, "route": j.route.Name, "customer": j.customerName(), "cause": d.Reason, "rank": d.Rank, "cutoff_rank": d.CutoffRank,
			"work_ms": d.Work.Milliseconds(), "retry_after_ms": d.RetryAfter.Milliseconds(), "excess": fmt.Sprintf("%.2f", d.Excess),
			"running": room.Running, "waiting": room.Waiting, "slots": room.Slots, "age_ms": room.Age.Milliseconds(),
		}
		if omitted > 0 {
			fields["lines_omitted"] = omitted
		}
		message := "gateway: no room for a request"
		if d.Verdict == shed.Send {
			message = "gateway: request sent ahead of others"
		}
		j.logger().WithFields(fields).Info(message)
	}
	if summarize {
		var served []string
		for _, c := range s.shedder.Served(j.service, summarizedCustomers, now) {
			served = append(served, fmt.Sprintf("%s: %.0f of %.0f requests, %.1f slot-s", c.Customer, c.Served, c.Offered, c.Work))
		}
		s.gateway.config.Log.WithFields(log.Fields{
			"service": j.service, "excess": fmt.Sprintf("%.2f", d.Excess), "cutoff_rank": d.CutoffRank, "most_served": strings.Join(served, "; "),
		}).Info("gateway: customers served most without room for all")
	}
}

// mayLog reports whether a line and a summary may be written, and how many lines were omitted since the last one.
func (s *shedding) mayLog(service string, now time.Time) (omitted int, write, summarize bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.second) >= time.Second {
		s.second, s.lines = now, 0
	}
	if s.lines < maxShedLines {
		s.lines++
		omitted, s.omitted, write = s.omitted, 0, true
	} else {
		s.omitted++
	}
	if now.Sub(s.summarized[service]) >= shedSummaryInterval {
		s.summarized[service], summarize = now, true
	}
	return omitted, write, summarize
}
