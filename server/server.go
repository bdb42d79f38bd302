// Package server handles the HTTP requests of callers: it authenticates and validates them, reserves their tokens,
// dispatches them to endpoints and sends the responses.
package server

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"

	"pumiceshelf/admit"
	"pumiceshelf/api"
	"pumiceshelf/bundle"
	"pumiceshelf/endpoint"
	"pumiceshelf/idempotency"
	"pumiceshelf/intake"
	"pumiceshelf/invariant"
	"pumiceshelf/quota"
	"pumiceshelf/trace"
)

// Limits and intervals.
const (
	maxHeaderBytes = 32 << 10
	idleTimeout    = 2 * time.Minute
	// bodyBytesFactor times AdmissionSettings.QueueBytes limits the body bytes of all requests in progress.
	bodyBytesFactor = 2
	// drainPollInterval is the interval at which Drain checks its conditions.
	drainPollInterval = 5 * time.Millisecond
	// drainQuietPeriod is the time without a new request after which Drain assumes that callers use other instances.
	// maxDrainQuietWait bounds the wait for such a period.
	drainQuietPeriod  = 200 * time.Millisecond
	maxDrainQuietWait = 2 * time.Second
)

// Paths served in addition to those of plain services.
const (
	chatPath   = "/v1/chat/completions"
	healthPath = "/healthz"
)

// RetryBudget limits retries to a share of the requests.
type RetryBudget interface {
	// RecordRequest counts a request, which adds a fraction of a retry to the budget.
	RecordRequest()
	// AllowRetry deducts one retry for the reason from the budget. It returns false if the budget is empty.
	AllowRetry(reason string) bool
}

// Config configures a Server.
type Config struct {
	Settings    *api.ServerSettings
	Admission   *api.AdmissionSettings
	Clock       clockwork.Clock
	Log         log.Interface
	Metrics     metrics.Registry
	Bundles     bundle.Source
	Quota       quota.Reserver
	Idempotency idempotency.Deduplicator
	// KeyIssuer issues idempotency keys. If nil, no keys are issued.
	KeyIssuer   idempotency.Issuer
	Admitter    admit.Admitter
	Endpoints   endpoint.Client
	RetryBudget RetryBudget
	// Traces may be nil.
	Traces *trace.Store
}

// Server handles the requests of callers. It is safe for concurrent use.
type Server struct {
	cfg     Config
	metrics *serverMetrics
	// drainStarted is true once Drain was called: health checks fail and connections are closed, but requests are
	// served. refusingRequests is true once Drain refuses new requests.
	drainStarted     atomic.Bool
	refusingRequests atomic.Bool
	// lastArrivalUnixNano is the time of the most recent request.
	lastArrivalUnixNano atomic.Int64
	inProgress          atomic.Int64
	// bodies bounds the memory of the bodies of all requests in progress.
	bodies *intake.Budget
}

// New returns a server that accepts requests immediately.
func New(cfg Config) *Server {
	return &Server{
		cfg: cfg, metrics: newServerMetrics(cfg.Metrics),
		bodies: intake.NewBudget(bodyBytesFactor*int64(cfg.Admission.QueueBytes), cfg.Clock.Now, cfg.Metrics),
	}
}

// Handler returns the HTTP handler for callers' requests.
func (s *Server) Handler() http.Handler { return http.HandlerFunc(s.serve) }

// HTTPServer returns an HTTP server for the handler, with limits for header size, read time and idle time.
func (s *Server) HTTPServer() *http.Server {
	read := s.cfg.Settings.ReadTimeout.AsDuration()
	return intake.Protect(&http.Server{
		Handler:           s.Handler(),
		ReadHeaderTimeout: read,
		ReadTimeout:       read,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	})
}

// InProgress returns the number of requests in progress.
func (s *Server) InProgress() int { return int(s.inProgress.Load()) }

// Drain makes load balancers and callers use other instances. It serves requests that still arrive until none come for
// a while, then refuses new ones and waits until all requests in progress are finished or ctx ends.
func (s *Server) Drain(ctx context.Context) error {
	s.drainStarted.Store(true)
	s.cfg.Log.Infof("server: draining, %d requests in progress", s.InProgress())
	tick := s.cfg.Clock.NewTicker(drainPollInterval)
	defer tick.Stop()
	start := s.cfg.Clock.Now()
	if err := s.waitUntil(ctx, tick, func() bool { return s.mayStartRefusing(start) }); err != nil {
		s.refusingRequests.Store(true)
		return err
	}
	s.refusingRequests.Store(true)
	if err := s.waitUntil(ctx, tick, func() bool { return s.InProgress() == 0 }); err != nil {
		return err
	}
	s.cfg.Log.Info("server: drained")
	return nil
}

// mayStartRefusing reports whether a drain that began at start may refuse new requests: none arrived for
// drainQuietPeriod, or maxDrainQuietWait has passed.
func (s *Server) mayStartRefusing(start time.Time) bool {
	now := s.cfg.Clock.Now()
	last := time.Unix(0, s.lastArrivalUnixNano.Load())
	if last.Before(start) {
		last = start
	}
	return now.Sub(last) >= drainQuietPeriod || now.Sub(start) >= maxDrainQuietWait
}

// waitUntil waits until done returns true, which it checks on every tick, or ctx ends.
func (s *Server) waitUntil(ctx context.Context, tick clockwork.Ticker, done func() bool) error {
	for !done() {
		select {
		case <-tick.Chan():
		case <-ctx.Done():
			s.cfg.Log.Warnf("server: drain stopped with %d requests still in progress", s.InProgress())
			return ctx.Err()
		}
	}
	return nil
}

// serve handles one request. An invariant violation stops the process instead of being recovered by net/http.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	defer crashOnViolation()
	if r.URL.Path == healthPath {
		s.serveHealth(w)
		return
	}
	s.metrics.requests.Inc(1)
	s.lastArrivalUnixNano.Store(s.cfg.Clock.Now().UnixNano())
	if s.drainStarted.Load() {
		w.Header().Set("Connection", "close")
	}
	s.metrics.inProgress.Update(s.inProgress.Add(1))
	defer func() { s.metrics.inProgress.Update(s.inProgress.Add(-1)) }()
	j := newJob(s, w, r)
	if f := s.checkAvailable(); f != nil {
		j.sendRefusal(f)
		return
	}
	if r.URL.Path == keysPath && s.cfg.KeyIssuer != nil {
		j.issueKeys()
		return
	}
	j.serve()
}

// crashOnViolation stops the process if the handler panicked with an invariant violation. It panics again in a new
// goroutine, where net/http cannot recover it.
func crashOnViolation() {
	v := recover()
	if v == nil {
		return
	}
	if violation, ok := v.(invariant.Violation); ok {
		go func() { panic(violation) }()
		select {}
	}
	panic(v)
}

// checkAvailable returns a refusal if the instance cannot accept the request now, or nil.
func (s *Server) checkAvailable() *refusal {
	switch {
	case s.refusingRequests.Load():
		return newRefusal(ReasonDraining, "this instance is shutting down; another will answer")
	case s.inProgress.Load() > int64(s.cfg.Settings.RequestLimit):
		return newRefusal(ReasonTooManyRequests, "the instance has as many requests in progress as it may")
	case s.cfg.Bundles.Current() == nil:
		return newRefusal(ReasonNoBundle, "the instance has no configuration yet")
	}
	return nil
}

// serveHealth reports to load balancers whether the instance accepts requests.
func (s *Server) serveHealth(w http.ResponseWriter) {
	if s.drainStarted.Load() || s.cfg.Bundles.Current() == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}
