package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"pumiceshelf/registry"
)

const (
	// maxProcessCheckTime bounds the time in which an endpoint says which process it is. A caller waits for it, but not for longer than
	// a connection may take.
	maxProcessCheckTime = dialTimeout
	// maxProcessReportBytes bounds such a report, which may list all requests that the endpoint runs.
	maxProcessReportBytes = 256 << 10
	// processCheckPause is how long an endpoint that did not confirm its entry is not asked again. A new entry is written within a few
	// seconds.
	processCheckPause = 500 * time.Millisecond
	// unsupportedPause is the same for an endpoint that has no such report: until it is replaced by another release.
	unsupportedPause = 30 * time.Second
	// confirmationTime is how long a confirmation counts without the connection on which it came. A process takes longer to start.
	confirmationTime = crashCheckDelay
	// maxProcessChecks bounds the endpoints that are asked for one request.
	maxProcessChecks = 8
	// otherProcessTime is how long a request waits for further endpoints if it has one already: several round trips between failure
	// domains.
	otherProcessTime = 20 * time.Millisecond
)

// ProcessReports reads what endpoints say of their own process.
type ProcessReports interface {
	// Path is the path at which an endpoint reports, by a GET request that takes no capacity.
	Path() string
	// StartedUnixMilli returns when the process started that sent a report, in Unix milliseconds, and zero if it does not say so. An
	// endpoint that does not has another ID after a restart.
	StartedUnixMilli(report []byte) (int64, error)
}

var (
	// errNoProcessReport is returned for an endpoint that has no report of its process.
	errNoProcessReport = errors.New("gateway: endpoint does not report its process")
	// errSuspended is returned for a report that may have waited while this instance was suspended.
	errSuspended = errors.New("gateway: instance was suspended")
)

// processChecks asks endpoints which process they are. It is safe for concurrent use.
type processChecks struct {
	gateway *Gateway
	// suspensions counts how often this instance was suspended.
	suspensions atomic.Int64

	mu sync.Mutex
	// byID holds the last check of each endpoint by its ID.
	byID map[string]*processCheck
}

// processResult is what an endpoint says of its process.
type processResult int

const (
	// processUnknown means that it says nothing.
	processUnknown processResult = iota
	// processAsked means that it is being asked.
	processAsked
	// processConfirmed means that it is the process of its entry, processOther that it is not.
	processConfirmed
	processOther
)

// processCheck is one question to an endpoint.
type processCheck struct {
	endpoint registry.Endpoint
	done     chan struct{}
	// askedAt, the result, and until when the endpoint is not asked again are set before done is closed.
	askedAt, pausedUntil time.Time
	result               processResult
}

// resultNow returns the result as far as there is one. That of nil is processUnknown.
func (c *processCheck) resultNow() processResult {
	if c == nil {
		return processUnknown
	}
	select {
	case <-c.done:
		return c.result
	default:
		return processAsked
	}
}

// last returns the result of the last question to an endpoint, if its entry is still the same.
func (p *processChecks) last(e registry.Endpoint) processResult {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c := p.byID[e.ID]; c != nil && c.endpoint.SameProcess(e) {
		return c.resultNow()
	}
	return processUnknown
}

// IsConfirmed reports whether an endpoint has said itself that it is the process of its entry, and has lived since a connection to it was
// last lost.
func (g *Gateway) IsConfirmed(e registry.Endpoint) bool {
	lostAt := g.config.Chooser.LastLoss(e)
	return g.lasting.confirmed(e, lostAt) || g.processes.confirmedAfter(e, lostAt)
}

// confirmedAfter reports whether an endpoint was asked after a time, and has confirmed its entry just now.
func (p *processChecks) confirmedAfter(e registry.Endpoint, lostAt time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.byID[e.ID]
	return c != nil && c.endpoint.SameProcess(e) && c.resultNow() == processConfirmed && c.askedAt.After(lostAt) &&
		p.gateway.config.Clock.Now().Before(c.pausedUntil)
}

// forget makes the answers uncertain that may have waited while this instance was suspended.
func (p *processChecks) forget() {
	p.suspensions.Add(1)
	p.mu.Lock()
	defer p.mu.Unlock()
	clear(p.byID)
}

// begin asks an endpoint whether it is the listed process, unless it is being asked, or did not confirm it just now. It returns nil if
// endpoints are not asked.
func (p *processChecks) begin(e registry.Endpoint) *processCheck {
	config := p.gateway.config
	if config.Reports == nil {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if c := p.byID[e.ID]; c != nil && c.endpoint.SameProcess(e) {
		switch lost := config.Chooser.LastLoss(e); c.resultNow() {
		case processAsked:
			return c
		case processConfirmed:
			if c.askedAt.After(lost) && config.Clock.Now().Before(c.pausedUntil) {
				return c
			}
		case processUnknown, processOther:
			if config.Clock.Now().Before(c.pausedUntil) {
				return c
			}
		}
	}
	c := &processCheck{endpoint: e, done: make(chan struct{})}
	p.byID[e.ID] = c
	go p.run(c)
	return c
}

// run asks the endpoint and records the result.
func (p *processChecks) run(c *processCheck) {
	defer close(c.done)
	g := p.gateway
	c.askedAt = g.config.Clock.Now()
	result, err := g.askProcess(c.endpoint, c.askedAt)
	pause := processCheckPause
	switch {
	case result == processConfirmed:
		pause = confirmationTime
	case errors.Is(err, errNoProcessReport):
		pause = unsupportedPause
	}
	c.result, c.pausedUntil = result, g.config.Clock.Now().Add(pause)
	logger := g.config.Log.WithField("endpoint", c.endpoint.ID).WithField("software_version", c.endpoint.SoftwareVersion)
	switch result {
	case processConfirmed:
		g.metrics.processesConfirmed.Inc(1)
		logger.Debug("gateway: endpoint confirms its entry")
	case processOther:
		g.metrics.processesOther.Inc(1)
		logger.WithError(err).Info("gateway: endpoint is another process than its entry says")
	case processUnknown, processAsked:
		g.metrics.processesUnknown.Inc(1)
		logger.WithError(err).Info("gateway: endpoint does not say which process it is")
	}
}

// retain forgets the checks of endpoints that are no longer listed.
func (p *processChecks) retain(listed func(id string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id := range p.byID {
		if !listed(id) {
			delete(p.byID, id)
		}
	}
}

// askProcess asks an endpoint which process it is, and records a process that is the listed one as certain for as long as the connection
// of its report lasts. Without a confirmation, the error says why.
func (g *Gateway) askProcess(e registry.Endpoint, sentAt time.Time) (processResult, error) {
	suspensions := g.processes.suspensions.Load()
	ctx, cancel := context.WithTimeout(g.stopping, maxProcessCheckTime)
	defer cancel()
	var conn attemptConn
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { conn.set(info.Conn) }})
	request := &http.Request{
		Method: http.MethodGet, URL: &url.URL{Scheme: "http", Host: e.Address, Path: g.config.Reports.Path()}, Host: e.Address,
		Header: g.config.Headers.ForwardHeader(http.Header{}, ForwardMeta{Timeout: maxProcessCheckTime, EndpointID: e.ID, Priority: -1}),
		Proto:  "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
	resp, err := g.transport.RoundTrip(request.WithContext(ctx))
	if err != nil {
		return processUnknown, fmt.Errorf("gateway: report of endpoint %q: %w", e.ID, err)
	}
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusMisdirectedRequest:
		return processOther, fmt.Errorf("gateway: the address %s of endpoint %q belongs to another one", e.Address, e.ID)
	case http.StatusNotFound, http.StatusMethodNotAllowed, http.StatusNotImplemented:
		return processUnknown, fmt.Errorf("%w: report of endpoint %q has status %d, want %d", errNoProcessReport, e.ID, resp.StatusCode, http.StatusOK)
	default:
		return processUnknown, fmt.Errorf("gateway: report of endpoint %q has status %d, want %d", e.ID, resp.StatusCode, http.StatusOK)
	}
	report, err := io.ReadAll(io.LimitReader(resp.Body, maxProcessReportBytes))
	if err != nil {
		return processUnknown, fmt.Errorf("gateway: report of endpoint %q: %w", e.ID, err)
	}
	started, err := g.config.Reports.StartedUnixMilli(report)
	switch {
	case err != nil:
		return processUnknown, fmt.Errorf("gateway: report of endpoint %q: %w", e.ID, err)
	case started == 0 && e.StartedUnixMilli != 0:
		return processUnknown, fmt.Errorf("%w: report of endpoint %q has no start time", errNoProcessReport, e.ID)
	case started != e.StartedUnixMilli:
		return processOther, fmt.Errorf("gateway: endpoint %q started at Unix millisecond %d, its entry says %d", e.ID, started, e.StartedUnixMilli)
	}
	if g.processes.suspensions.Load() != suspensions {
		return processUnknown, fmt.Errorf("gateway: report of endpoint %q: %w", e.ID, errSuspended)
	}
	if c, ok := conn.get().(*watchedConn); ok {
		g.lasting.confirm(c, e, sentAt)
	}
	return processConfirmed, nil
}

// confirmVersion makes sure that the stream's version is certain, and that an endpoint which certainly runs it can be chosen, as far as
// the endpoints themselves tell in time. The job must not be movable.
func (j *job) confirmVersion(now time.Time) {
	if j.origin == nil || j.gateway.config.Reports == nil {
		return
	}
	begun := j.gateway.config.Clock.Now()
	if c := j.versionCheck; c != nil && j.awaitProcess(c.done, nil, maxProcessCheckTime) && c.result == processConfirmed {
		j.versionUncertain = false
	}
	for range 2 {
		// A connection whose loss is noticed after the endpoint was asked makes it uncertain again.
		left := maxProcessCheckTime - j.gateway.config.Clock.Since(begun)
		if left <= 0 || j.askCandidates(now, left) {
			return
		}
	}
}

// askCandidates asks endpoints that may run the version of the stream which process they are. It returns false if one has confirmed its
// entry and is uncertain again.
func (j *job) askCandidates(now time.Time, limit time.Duration) bool {
	found := false
	var others []registry.Endpoint
	for _, e := range j.gateway.config.Endpoints().Endpoints(j.service, now) {
		switch {
		case e.SoftwareVersion != j.origin.Version, j.triedEndpoints[e.ID]:
		case j.gateway.IsConfirmed(e):
			found, limit = true, min(limit, otherProcessTime)
		default:
			others = append(others, e)
		}
	}
	rand.Shuffle(len(others), func(a, b int) { others[a], others[b] = others[b], others[a] })
	others = others[:min(len(others), maxProcessChecks)]
	return !j.awaitFirst(others, limit) || found || slices.ContainsFunc(others, j.gateway.IsConfirmed)
}

// awaitFirst asks endpoints and waits until one has confirmed its entry, and as long again for others, so that not all streams go on at
// the first. It returns false if none has.
func (j *job) awaitFirst(endpoints []registry.Endpoint, limit time.Duration) bool {
	var checks []*processCheck
	for _, e := range endpoints {
		checks = append(checks, j.gateway.processes.begin(e))
	}
	clock := j.gateway.config.Clock
	begun, confirmed := clock.Now(), make(chan struct{}, len(checks))
	ended := make(chan struct{})
	var left sync.WaitGroup
	for _, c := range checks {
		left.Go(func() {
			if <-c.done; c.result == processConfirmed {
				confirmed <- struct{}{}
			}
		})
	}
	go func() {
		left.Wait()
		close(ended)
	}()
	if !j.awaitProcess(confirmed, ended, limit) {
		return len(confirmed) > 0
	}
	j.awaitProcess(ended, nil, max(clock.Since(begun), time.Millisecond))
	return true
}

// awaitProcess waits for one of two signals, at most for a time, and reports whether the first has come.
func (j *job) awaitProcess(done, ended <-chan struct{}, limit time.Duration) bool {
	timer := j.gateway.config.Clock.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-done:
		return true
	case <-ended:
	case <-timer.Chan():
	case <-j.ctx.Done():
	}
	return false
}
