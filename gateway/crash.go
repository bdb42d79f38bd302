package gateway

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/apex/log"

	"pumiceshelf/placement"
	"pumiceshelf/quarantine"
	"pumiceshelf/registry"
)

const (
	// crashCheckDelay is the time between a lost connection and the check whether the endpoint has ended. A process that ends
	// closes its connections and its listener one after the other.
	crashCheckDelay = 50 * time.Millisecond
	// eventsToBegin is the number of events from which an endpoint has begun to answer. One that crashes as it begins may still
	// have sent the first one.
	eventsToBegin = 2
	// maxCrashChecks bounds the checks in progress, each of another endpoint process.
	maxCrashChecks = 64
	// maxPartsChecked bounds the parts of lost requests that wait for a check.
	maxPartsChecked = 256
	// verdictPollInterval is the time between two looks whether there is a verdict on a request that waits for it.
	verdictPollInterval = 20 * time.Millisecond
	// maxSharedParts and maxPartBytes bound the parts of a request that are considered.
	maxSharedParts = 64
	maxPartBytes   = 128
)

// crashDetector finds out whether endpoints ended whose connections were lost before or as they began to answer requests.
// An endpoint that resets single connections and one that is cut off have not ended. It is safe for concurrent use.
type crashDetector struct {
	gateway *Gateway
	mu      sync.Mutex
	checks  []*crashCheck
	// forOthers holds the endpoint processes that wait for a check because other instances lost requests there, alive those that have
	// not ended although requests were lost.
	forOthers []registry.Endpoint
	alive     []lostEndpoint
}

// crashCheck is the check of one endpoint process, and the requests that were lost there until its end.
type crashCheck struct {
	endpoint registry.Endpoint
	lostAt   time.Time
	requests [][]string
	parts    int
	// done is closed when it is recorded whether the endpoint has ended.
	done chan struct{}
}

// lost records that a request with the parts was lost at an endpoint before its first event. It returns a channel that is closed
// once the quarantine knows whether the endpoint has ended, or nil if it will not be checked.
func (d *crashDetector) lost(e registry.Endpoint, parts []string) <-chan struct{} {
	now := d.gateway.config.Clock.Now()
	if d.gateway.config.Quarantine.Ended(e, now) {
		d.record(&crashCheck{endpoint: e, lostAt: now, requests: [][]string{parts}})
		return nil
	}
	c, aliveLately := d.addCheck(e, parts, now)
	if c == nil {
		return nil
	}
	if !aliveLately {
		d.gateway.config.Quarantine.Lost(e, parts, c.lostAt)
	}
	return c.done
}

// addCheck adds a lost request to the check of its endpoint, which it begins if there is none. It returns nil if too many are in
// progress. aliveLately is set if a check has lately found that the endpoint has not ended.
func (d *crashDetector) addCheck(e registry.Endpoint, parts []string, now time.Time) (_ *crashCheck, aliveLately bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	i := slices.IndexFunc(d.checks, func(c *crashCheck) bool { return c.endpoint.SameProcess(e) })
	if i < 0 {
		if len(d.checks) >= maxCrashChecks {
			return nil, false
		}
		i = len(d.checks)
		c := &crashCheck{endpoint: e, lostAt: now, done: make(chan struct{})}
		d.checks = append(d.checks, c)
		time.AfterFunc(crashCheckDelay, func() {
			defer close(c.done)
			d.check(c)
		})
	}
	c := d.checks[i]
	if c.parts+len(parts) <= maxPartsChecked {
		c.requests, c.parts = append(c.requests, parts), c.parts+len(parts)
	}
	return c, d.aliveLately(e, now)
}

// check connects to the endpoint. Only a refused connection shows that the process has ended, unless another instance connects to
// it: then this one is partitioned from it.
func (d *crashDetector) check(c *crashCheck) {
	g := d.gateway
	ctx, cancel := context.WithTimeout(context.Background(), g.config.Link.dialTime())
	defer cancel()
	conn, err := g.config.Dial(ctx, "tcp", c.endpoint.Address)
	if err == nil {
		_ = conn.Close()
	}
	d.mu.Lock()
	d.checks = slices.DeleteFunc(d.checks, func(other *crashCheck) bool { return other == c })
	d.mu.Unlock()
	refused := errors.Is(err, syscall.ECONNREFUSED)
	reached := refused && g.config.ReachedByOthers != nil && g.config.ReachedByOthers(ctx, c.endpoint)
	if reached {
		g.reach.Failed(c.endpoint, g.config.Clock.Now())
	}
	if !refused || reached {
		g.config.Quarantine.NotEnded(c.endpoint)
		d.recordAlive(c.endpoint)
		g.config.Log.WithFields(log.Fields{"endpoint": c.endpoint.ID, "requests": len(c.requests), "connected": err == nil, "reached_by_others": reached}).
			Info("gateway: endpoint has not ended, although requests were lost before their first event")
		return
	}
	g.metrics.crashes.Inc(1)
	d.record(c)
}

// record records that an endpoint has ended, with the requests that were lost there.
func (d *crashDetector) record(c *crashCheck) {
	g := d.gateway
	now := g.config.Clock.Now()
	for _, parts := range c.requests {
		g.config.Quarantine.Crashed(c.endpoint, parts, c.lostAt, now)
	}
	g.config.Quarantine.CrashedForOthers(c.endpoint, now)
	g.config.Log.WithFields(log.Fields{"endpoint": c.endpoint.ID, "requests": len(c.requests), "parts": distinctParts(c.requests)}).
		Info("gateway: endpoint crashed while requests waited for their first event")
}

// distinctParts returns the parts of several requests, each once.
func distinctParts(requests [][]string) []string {
	out := slices.Concat(requests...)
	slices.Sort(out)
	return slices.Compact(out)
}

// sharedParts returns the IDs of the prompt parts that other requests may have as well: all but the last one.
func (m *RequestMeta) sharedParts() []string {
	if len(m.PromptParts) < 2 {
		return nil
	}
	parts := m.PromptParts[:min(len(m.PromptParts)-1, maxSharedParts)]
	out := make([]string, 0, len(parts))
	for _, p := range parts {
		if len(p.ID) <= maxPartBytes {
			out = append(out, p.ID)
		}
	}
	return out
}

// suspectParts returns the parts of the request that may crash endpoints: those of its prompt that other requests may have as
// well, and its content as a whole.
func (j *job) suspectParts() []string {
	return append(j.meta.sharedParts(), quarantine.RequestPart(j.content))
}

// recordBegun records that an endpoint began to answer the request.
func (j *job) recordBegun() {
	j.attemptBegun = true
	j.gateway.config.Quarantine.Began(j.suspectParts(), j.gateway.config.Clock.Now())
}

// recordLoss records that an attempt lost its connection before an answer began, if it did. It returns a channel that is closed
// once it is known whether the endpoint has ended, or nil.
func (j *job) recordLoss(ticket *placement.Ticket, f *failure, begun bool) <-chan struct{} {
	lost := f != nil && f.sent && (f.reason == reasonResponseLost || f.reason == reasonResponseTruncated)
	if !lost || begun || j.ctx.Err() != nil {
		return nil
	}
	return j.gateway.crashes.lost(ticket.Endpoint, j.suspectParts())
}

// checkQuarantine refuses a request with a part in quarantine. An instance that has just started asks others first, because it
// would send on what they know to crash endpoints.
func (j *job) checkQuarantine() *refusal {
	if await := j.gateway.config.AwaitEvidence; await != nil {
		await(j.ctx)
	}
	j.awaitVerdict()
	if reason, quarantined := j.quarantined(); quarantined {
		return &refusal{status: http.StatusServiceUnavailable, reason: reason, retryAfter: retryAfterQuarantined}
	}
	return nil
}

// awaitVerdict waits while other instances are asked whether the request crashes endpoints. A caller that repeats it at once would take
// further endpoints meanwhile.
func (j *job) awaitVerdict() {
	config := j.gateway.config
	for {
		wait := config.Quarantine.Awaited(j.suspectParts(), config.Clock.Now())
		if wait <= 0 {
			return
		}
		select {
		case <-config.Clock.After(min(wait, verdictPollInterval)):
		case <-j.ctx.Done():
			return
		}
	}
}

// quarantined logs the verdict on the request if it has a part in quarantine, and returns the reason to refuse it.
func (j *job) quarantined() (reason, bool) {
	v, ok := j.gateway.config.Quarantine.Quarantined(j.suspectParts(), j.gateway.config.Clock.Now())
	if !ok {
		return reasonNone, false
	}
	logger := j.logger().WithFields(log.Fields{
		"part": v.Part, "endpoints": v.Endpoints, "last_crash_ms": v.LastCrashAge.Milliseconds(), "remaining_ms": v.Remaining.Milliseconds(),
	})
	if quarantine.IsRequestPart(v.Part) {
		logger.Info("gateway: request is in quarantine")
		return reasonQuarantinedRequest, true
	}
	logger.Info("gateway: prompt part is in quarantine")
	return reasonQuarantinedPrompt, true
}

// stopForCrashes returns the failure to end with after a failed attempt if the request must not be sent again because it may
// crash endpoints: it has a part in quarantine, or it was lost before its first event and has a part under suspicion. A request
// that was lost before is not sent on until it is known whether these endpoints have ended.
func (j *job) stopForCrashes(ticket *placement.Ticket, f *failure) *failure {
	if reason, ok := j.quarantined(); ok {
		return &failure{reason: reason}
	}
	lost := !j.attemptBegun && (f.reason == reasonResponseLost || f.reason == reasonResponseTruncated)
	if !lost {
		return nil
	}
	j.awaitCrashChecks()
	if !j.gateway.config.Quarantine.Suspected(ticket.Endpoint, j.suspectParts(), j.gateway.config.Clock.Now()) {
		return nil
	}
	j.logger().WithFields(log.Fields{"reason": string(f.reason), "content": j.content}).Info("gateway: request is not sent again, it may have crashed endpoints")
	return f
}

// awaitCrashChecks waits until it is known whether the endpoints have ended at which the request was lost, if there are several.
func (j *job) awaitCrashChecks() {
	if len(j.crashChecks) < 2 {
		return
	}
	for _, done := range j.crashChecks {
		select {
		case <-done:
		case <-j.ctx.Done():
			return
		}
	}
}
