package gateway

import (
	"bytes"
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"pumiceshelf/reach"
	"pumiceshelf/registry"
)

const (
	// delegatedHeader is set in a request that another instance passes on for its caller. Its value is the name of that instance.
	// A caller that sets it only loses the chance that its request is passed on.
	delegatedHeader = "Pumiceshelf-Delegated-By"
	// outOfReachHeader is set in the refusal of such a request by an instance that does not reach the service either.
	outOfReachHeader = "Pumiceshelf-Out-Of-Reach"
	// maxDelegates bounds the instances to which one request is passed on until one serves it.
	maxDelegates = 8
	// minAvoidance is how long an instance gets no requests after one that it could not serve. It doubles each time, up to
	// maxAvoidance.
	minAvoidance = 500 * time.Millisecond
	maxAvoidance = 4 * time.Second
	// provenMemory is how long an instance that served a request is preferred, exploreOnceIn the inverse of the share of requests
	// for which another one is.
	provenMemory  = 5 * time.Second
	exploreOnceIn = 4
	// delegateSearchPeriod bounds the time in which a delegate is searched for. Some may be partitioned from this instance.
	delegateSearchPeriod = 400 * time.Millisecond
	// probeInterval is the mean time between two attempts to connect to an endpoint of a service that is out of reach.
	probeInterval = 300 * time.Millisecond
	// relayBufferBytes is the size of the buffer for a response of another instance.
	relayBufferBytes = 16 << 10
)

// Delegate is another instance that may serve requests of this one's callers.
type Delegate struct {
	Domain string
	// Address is that for callers.
	Address string
}

// delegates chooses the instances to pass requests on to. It is safe for concurrent use.
type delegates struct {
	mu sync.Mutex
	// avoided holds the instances that could not serve a request, proven those that did lately, with the last time.
	avoided map[string]avoidance
	proven  map[string]time.Time
}

// avoidance is the state of an instance that could not serve a request.
type avoidance struct {
	until time.Time
	last  time.Duration
}

// order returns delegates in the order to try them, without those to avoid: usually first the ones that served a request lately,
// then the others, alternately of the domain and of other ones, because a whole domain may have lost its paths. Sometimes another
// one comes first, so that the requests of several instances do not stay at the few that each has found.
func (d *delegates) order(all []Delegate, domain string, now time.Time) []Delegate {
	d.mu.Lock()
	defer d.mu.Unlock()
	var proven, near, far []Delegate
	for _, i := range rand.Perm(len(all)) {
		delegate := all[i]
		at, served := d.proven[delegate.Address]
		switch {
		case now.Before(d.avoided[delegate.Address].until):
		case served && now.Sub(at) < provenMemory:
			proven = append(proven, delegate)
		case delegate.Domain == domain:
			near = append(near, delegate)
		default:
			far = append(far, delegate)
		}
	}
	rest := alternate(near, far)
	out := append(proven, rest...)
	if len(proven) > 0 && len(rest) > 0 && rand.N(exploreOnceIn) == 0 {
		out[0], out[len(proven)] = out[len(proven)], out[0]
	}
	return out[:min(len(out), maxDelegates)]
}

// alternate merges two lists, one element of each at a time.
func alternate(a, b []Delegate) []Delegate {
	out := make([]Delegate, 0, len(a)+len(b))
	for i := range max(len(a), len(b)) {
		if i < len(a) {
			out = append(out, a[i])
		}
		if i < len(b) {
			out = append(out, b[i])
		}
	}
	return out
}

// avoid records that an instance could not serve a request.
func (d *delegates) avoid(address string, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.avoided == nil {
		d.avoided = make(map[string]avoidance)
	}
	for other, a := range d.avoided {
		if now.Sub(a.until) > maxAvoidance {
			delete(d.avoided, other)
		}
	}
	last := min(max(2*d.avoided[address].last, minAvoidance), maxAvoidance)
	d.avoided[address] = avoidance{until: now.Add(last), last: last}
	delete(d.proven, address)
}

// served records that an instance served a request.
func (d *delegates) served(address string, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.proven == nil {
		d.proven = make(map[string]time.Time)
	}
	for other, at := range d.proven {
		if now.Sub(at) > provenMemory {
			delete(d.proven, other)
		}
	}
	d.proven[address] = now
	delete(d.avoided, address)
}

// logReach logs that a service got out of reach or back into it.
func (g *Gateway) logReach(c reach.Change) {
	logger := g.config.Log.WithFields(log.Fields{"service": c.Service, "failed": c.Failed})
	if c.Lost {
		logger.Warn("gateway: service is out of reach, requests are passed on to other instances")
		return
	}
	logger.WithField("ms", c.Lasted.Milliseconds()).Info("gateway: service is in reach again")
}

// RunProbing connects to the endpoints of services that are out of reach, and to those that load shedding leaves out because they
// are, until the context ends.
func (g *Gateway) RunProbing(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-g.config.Clock.After(probeInterval/2 + rand.N(probeInterval)):
		}
		var probes sync.WaitGroup
		for _, service := range g.reach.Lost() {
			probes.Go(func() { g.probe(ctx, service) })
		}
		if s := g.shedding; s != nil {
			for _, e := range s.nextUnreached(g.config.Clock.Now()) {
				probes.Go(func() { s.probeUnreached(ctx, e) })
			}
		}
		probes.Wait()
	}
}

// probe connects to one endpoint of a service.
func (g *Gateway) probe(ctx context.Context, service string) {
	now := g.config.Clock.Now()
	listed := g.config.Endpoints().Endpoints(service, now)
	e, ok := g.reach.Next(service, listed)
	if !ok {
		return
	}
	err := g.connect(ctx, e)
	now = g.config.Clock.Now()
	switch {
	case err == nil:
		g.reach.Connected(e, now)
	case !isLinkTimeout(err):
		g.reach.Failed(e, now)
		g.reach.OutOfReach(service, listed, now)
	}
}

// connect tries to connect to an endpoint, and closes the connection.
func (g *Gateway) connect(ctx context.Context, e registry.Endpoint) error {
	ctx, cancel := context.WithTimeout(ctx, g.config.Link.dialTime())
	defer cancel()
	conn, err := g.config.Dial(ctx, "tcp", e.Address)
	if err == nil {
		_ = conn.Close()
	}
	return err
}

// outOfReach reports whether the request's service is out of reach.
func (j *job) outOfReach() bool {
	now := j.gateway.config.Clock.Now()
	return j.gateway.reach.OutOfReach(j.service, j.gateway.config.Endpoints().Endpoints(j.service, now), now)
}

// delegateEarly passes the request on to another instance if its service is out of reach, before anything is reserved for it
// here. A request that another instance passed on is refused.
func (j *job) delegateEarly() *refusal {
	if !j.outOfReach() {
		return nil
	}
	return j.delegate()
}

// delegateLate does the same for a request that was sent to no endpoint because connecting failed, as the last resort also if
// the service does not count as out of reach, unless the own link was busy.
func (j *job) delegateLate(lastResort bool) *refusal {
	if j.sentCount > 0 || j.mayHaveRun || j.dialFailures == 0 || !j.outOfReach() && (!lastResort || j.keptByLink()) {
		return nil
	}
	return j.delegate()
}

// delegate passes the request on to other instances until one serves it. It returns a refusal if the request must end here, and
// otherwise sets answered if the caller has got a response.
func (j *job) delegate() *refusal {
	g := j.gateway
	if j.delegatedBy != "" {
		j.w.Header().Set(outOfReachHeader, "1")
		return &refusal{status: http.StatusServiceUnavailable, reason: reasonUnreachable, retryAfter: retryAfterTransient}
	}
	if j.delegated || g.config.Delegates == nil {
		return nil
	}
	j.delegated = true
	began := g.config.Clock.Now()
	for _, d := range g.delegates.order(g.config.Delegates(), g.config.Domain, g.config.Clock.Now()) {
		if j.ctx.Err() != nil || j.remainingTime() < minRemainingTime || g.config.Clock.Since(began) > delegateSearchPeriod {
			break
		}
		passed, end := j.passOn(d)
		if passed {
			g.delegates.served(d.Address, g.config.Clock.Now())
			j.answered = true
			return end
		}
	}
	j.logger().WithField("service", j.service).Info("gateway: no other instance reaches the service")
	return nil
}

// passOn sends the request to another instance and relays its response. It returns false if that instance has not run the request
// and another one may get it. Unless that is due to the own link, the instance is avoided for a while.
func (j *job) passOn(d Delegate) (passed bool, end *refusal) {
	g := j.gateway
	var written atomic.Bool
	ctx, cancel := context.WithCancel(httptrace.WithClientTrace(j.ctx, &httptrace.ClientTrace{WroteHeaders: func() { written.Store(true) }}))
	defer cancel()
	resp, err := g.delegateTransport.RoundTrip(j.delegatedRequest(ctx, d.Address))
	logger := j.logger().WithFields(log.Fields{"instance": d.Address, "service": j.service})
	switch {
	case err != nil && !written.Load():
		logger.WithError(err).Info("gateway: request not passed on to another instance")
		if !isLinkTimeout(err) {
			g.delegates.avoid(d.Address, g.config.Clock.Now())
		}
		return false, nil
	case err != nil:
		logger.WithError(err).Info("gateway: no response from the other instance")
		return true, j.delegationLost()
	}
	defer resp.Body.Close()
	if resp.Header.Get(outOfReachHeader) != "" && resp.StatusCode == http.StatusServiceUnavailable {
		logger.Info("gateway: the other instance does not reach the service either")
		g.delegates.avoid(d.Address, g.config.Clock.Now())
		return false, nil
	}
	if meta := g.config.Headers.ParseResponse(resp.StatusCode, resp.Header); !meta.answers(j.meta.ID) {
		logger.WithField("other_id", meta.RequestID).Warn("gateway: dropped a response to another request")
		return true, j.delegationLost()
	}
	if j.r.Method != http.MethodHead && !isFramed(resp) {
		// The end of such a response does not show that it is whole, and instances send none.
		logger.WithField("status", resp.StatusCode).Warn("gateway: response of the other instance has no length")
		return true, j.delegationLost()
	}
	g.metrics.delegated.Inc(1)
	j.endpointID = d.Address
	logger.WithField("status", resp.StatusCode).Info("gateway: request passed on to another instance")
	if err := j.relayDelegated(resp); err != nil {
		logger.WithError(err).Info("gateway: response of the other instance is truncated")
		return true, j.delegationLost()
	}
	return true, nil
}

// delegationLost returns the refusal of a request that another instance may have sent to an endpoint.
func (j *job) delegationLost() *refusal {
	switch {
	case j.r.Context().Err() != nil:
		return &refusal{reason: reasonCallerCanceled}
	case errors.Is(context.Cause(j.ctx), errStopping):
		return &refusal{status: http.StatusBadGateway, reason: reasonStopping}
	case j.ctx.Err() != nil:
		return &refusal{status: http.StatusGatewayTimeout, reason: reasonTimeout}
	default:
		return &refusal{status: http.StatusBadGateway, reason: reasonResponseLost}
	}
}

// delegatedRequest returns the caller's request for another instance, which treats it like one of its own callers.
func (j *job) delegatedRequest(ctx context.Context, address string) *http.Request {
	header := j.gateway.config.Headers.DelegatedHeader(j.r.Header, j.remainingTime())
	header.Set(delegatedHeader, j.gateway.config.Self)
	req := &http.Request{
		Method: j.r.Method, URL: targetURL(j.r, address), Host: j.r.Host, Header: header,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Body: io.NopCloser(bytes.NewReader(j.body)), ContentLength: int64(len(j.body)),
	}
	return req.WithContext(ctx)
}

// relayDelegated passes on a response of another instance as it arrives.
func (j *job) relayDelegated(resp *http.Response) error {
	j.setResponseHeader(resp.Header)
	if resp.ContentLength >= 0 {
		j.w.Header().Set("Content-Length", strconv.FormatInt(resp.ContentLength, 10))
	}
	j.status, j.headerSent = resp.StatusCode, true
	j.firstEventLatency = j.gateway.config.Clock.Since(j.started)
	j.w.WriteHeader(resp.StatusCode)
	if j.r.Method == http.MethodHead {
		return nil
	}
	control, buffer := http.NewResponseController(j.w), make([]byte, relayBufferBytes)
	for {
		n, err := resp.Body.Read(buffer)
		if n > 0 {
			if _, writeErr := j.w.Write(buffer[:n]); writeErr != nil {
				return writeErr
			}
			if flushErr := control.Flush(); flushErr != nil {
				return flushErr
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}
