// Package server is callers' HTTP: the way of one request from its first byte to its last.
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
	"pumiceshelf/invariant"
	"pumiceshelf/quota"
	"pumiceshelf/story"
)

// Bounds of callers' HTTP.
const (
	headerLimit = 32 << 10
	idleTimeout = 2 * time.Minute
	// bodyShare is how many times the bytes of full queues all bodies in progress may hold.
	bodyShare = 2
	// drainPoll is how often a drain looks whether requests are left.
	drainPoll = 5 * time.Millisecond
	// drainQuiet without a new request shows that callers have been sent elsewhere; drainGrace is the longest wait for it.
	drainQuiet = 200 * time.Millisecond
	drainGrace = 2 * time.Second
)

// Paths served besides those of plain services.
const (
	chatPath   = "/v1/chat/completions"
	healthPath = "/healthz"
)

// Retries is the budget that retries are spent from.
type Retries interface {
	// Earn notes a request, which earns a share of a retry.
	Earn()
	// Spend takes one retry for the reason, or returns false when the budget is empty.
	Spend(reason string) bool
}

// Config of a Server.
type Config struct {
	Settings  *api.ServerSettings
	Admission *api.AdmissionSettings
	Clock     clockwork.Clock
	Log       log.Interface
	Metrics   metrics.Registry
	Bundles   bundle.Source
	Keeper    quota.Keeper
	Gate      idempotency.Deduplicator
	// Keys issues idempotency keys; none are issued when nil.
	Keys      idempotency.Issuer
	Admitter  admit.Admitter
	Endpoints endpoint.Client
	Retries   Retries
	Stories   *story.Book
}

// Server answers callers. It is safe for concurrent use.
type Server struct {
	cfg    Config
	meters *meters
	// leaving says that callers are to go elsewhere, draining that new requests are refused.
	leaving  atomic.Bool
	draining atomic.Bool
	// arrived is when the newest request came, in Unix nanoseconds.
	arrived    atomic.Int64
	inProgress atomic.Int64
	bodyBytes  atomic.Int64
}

// New returns a server that takes requests at once.
func New(cfg Config) *Server { return &Server{cfg: cfg, meters: newMeters(cfg.Metrics)} }

// Handler returns the handler of callers' requests.
func (s *Server) Handler() http.Handler { return http.HandlerFunc(s.serve) }

// HTTPServer returns an HTTP server around the handler, with bounded headers and times.
func (s *Server) HTTPServer() *http.Server {
	read := s.cfg.Settings.ReadTimeout.AsDuration()
	return &http.Server{
		Handler:           s.Handler(),
		ReadHeaderTimeout: read,
		ReadTimeout:       read,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    headerLimit,
	}
}

// InProgress returns the number of requests in progress.
func (s *Server) InProgress() int { return int(s.inProgress.Load()) }

// Drain tells balancers and callers to go elsewhere, still serves those that come meanwhile, then refuses new requests and
// waits until all in progress are finished or ctx ends.
func (s *Server) Drain(ctx context.Context) error {
	s.leaving.Store(true)
	s.cfg.Log.Infof("server: draining, %d requests in progress", s.InProgress())
	tick := s.cfg.Clock.NewTicker(drainPoll)
	defer tick.Stop()
	start := s.cfg.Clock.Now()
	if err := s.wait(ctx, tick, func() bool { return s.quiet(start) }); err != nil {
		s.draining.Store(true)
		return err
	}
	s.draining.Store(true)
	if err := s.wait(ctx, tick, func() bool { return s.InProgress() == 0 }); err != nil {
		return err
	}
	s.cfg.Log.Info("server: drained")
	return nil
}

// quiet says whether no new requests are to be expected after a drain that began at start.
func (s *Server) quiet(start time.Time) bool {
	now := s.cfg.Clock.Now()
	last := time.Unix(0, s.arrived.Load())
	if last.Before(start) {
		last = start
	}
	return now.Sub(last) >= drainQuiet || now.Sub(start) >= drainGrace
}

func (s *Server) wait(ctx context.Context, tick clockwork.Ticker, done func() bool) error {
	for !done() {
		select {
		case <-tick.Chan():
		case <-ctx.Done():
			s.cfg.Log.Warnf("server: drain ended with %d requests in progress", s.InProgress())
			return ctx.Err()
		}
	}
	return nil
}

// serve takes one request in and keeps broken invariants from being swallowed by net/http.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	defer stopOnViolation()
	if r.URL.Path == healthPath {
		s.serveHealth(w)
		return
	}
	s.meters.requests.Inc(1)
	s.arrived.Store(s.cfg.Clock.Now().UnixNano())
	if s.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	s.meters.inProgress.Update(s.inProgress.Add(1))
	defer func() { s.meters.inProgress.Update(s.inProgress.Add(-1)) }()
	j := newJob(s, w, r)
	if f := s.overloaded(); f != nil {
		j.refuse(f)
		return
	}
	if r.URL.Path == keysPath && s.cfg.Keys != nil {
		j.issueKeys()
		return
	}
	j.serve()
}

// stopOnViolation stops the process when a handler broke an invariant.
func stopOnViolation() {
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

// overloaded refuses requests that the instance takes none of now.
func (s *Server) overloaded() *refusal {
	switch {
	case s.draining.Load():
		return refuse(ReasonDraining, "this instance is shutting down; another will answer")
	case s.inProgress.Load() > int64(s.cfg.Settings.RequestLimit):
		return refuse(ReasonTooMany, "the instance has as many requests in progress as it may")
	case s.cfg.Bundles.Current() == nil:
		return refuse(ReasonNoBundle, "the instance has no configuration yet")
	}
	return nil
}

// serveHealth tells balancers whether the instance takes requests.
func (s *Server) serveHealth(w http.ResponseWriter) {
	if s.leaving.Load() || s.cfg.Bundles.Current() == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}
