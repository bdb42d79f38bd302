// Package admin serves the HTTP interface for operators: metrics, status, traces of requests, budgets and health.
//
// The interface is read-only. Operators change the fleet only by rolling bundles.
package admin

import (
	"context"
	"errors"
	"net/http"

	"github.com/apex/log"
	"github.com/rcrowley/go-metrics"
	"google.golang.org/protobuf/proto"

	"pumiceshelf/api"
	"pumiceshelf/telemetry"
	"pumiceshelf/trace"
)

// Paths of the admin interface.
const (
	PathMetrics   = "/metrics"
	PathStatus    = "/status"
	PathEndpoints = "/endpoints"
	PathExplain   = "/explain"
	PathBudget    = "/budget"
	PathHealth    = "/healthz"
	PathReady     = "/readyz"
)

// Query parameters.
const (
	// ParamRequest is the ID of the request to explain.
	ParamRequest = "request"
	// ParamLocal, when "true", restricts explain to events of the queried instance.
	ParamLocal = "local"
	// ParamCustomer is the ID of the customer whose budgets are shown.
	ParamCustomer = "customer"
	// ParamFormat is the format of metrics, "json" or "text".
	ParamFormat = "format"
)

// ErrUnknownCustomer is returned by Config.Budget for a customer that the active bundle does not contain.
var ErrUnknownCustomer = errors.New("admin: customer is not in the active bundle")

// Config configures an Admin. Budget and PeerTraces may be nil.
type Config struct {
	Registry metrics.Registry
	Status   func() *api.Status
	Traces   *trace.Store
	// Budget returns the report on a customer's budgets.
	Budget func(ctx context.Context, customer string) (proto.Message, error)
	// PeerTraces returns the traces that other instances hold for a request.
	PeerTraces func(ctx context.Context, requestID string) []*api.Story
	Log        log.Interface
}

// Admin serves the HTTP interface for operators.
type Admin struct{ cfg Config }

// New returns an Admin.
func New(cfg Config) *Admin { return &Admin{cfg: cfg} }

var (
	descServed  = telemetry.Describe("admin.served", "requests", "Operators' requests answered.")
	descRefused = telemetry.Describe("admin.refused", "requests", "Operators' requests answered with an error.")
)

// Handler returns an HTTP handler for all paths of the admin interface.
func (a *Admin) Handler() http.Handler {
	mux := http.NewServeMux()
	for path, serve := range map[string]func(*http.Request) response{
		PathMetrics:   a.metrics,
		PathStatus:    a.status,
		PathEndpoints: a.endpoints,
		PathExplain:   a.explain,
		PathBudget:    a.budget,
		PathHealth:    a.health,
		PathReady:     a.ready,
	} {
		mux.HandleFunc("GET "+path, func(w http.ResponseWriter, r *http.Request) { a.writeResponse(w, serve(r)) })
	}
	return mux
}

// response holds the HTTP response to one request.
type response struct {
	status      int
	contentType string
	body        []byte
}

func (a *Admin) writeResponse(w http.ResponseWriter, r response) {
	descServed.Counter(a.cfg.Registry).Inc(1)
	if r.status >= http.StatusBadRequest {
		descRefused.Counter(a.cfg.Registry).Inc(1)
	}
	w.Header().Set("Content-Type", r.contentType)
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(r.status)
	if _, err := w.Write(r.body); err != nil {
		a.cfg.Log.Debugf("admin: write response: %v", err)
	}
}

func (a *Admin) status(*http.Request) response { return messageResponse(a.cfg.Status()) }

// endpoints returns the status reduced to the instance, the bundle number and the endpoints.
func (a *Admin) endpoints(*http.Request) response {
	s := a.cfg.Status()
	return messageResponse(&api.Status{Instance: s.Instance, BundleNumber: s.BundleNumber, Endpoints: s.Endpoints})
}

func (a *Admin) health(*http.Request) response { return textResponse(http.StatusOK, "ok\n") }

// ready reports whether load balancers should send client requests to this instance.
func (a *Admin) ready(*http.Request) response {
	s := a.cfg.Status()
	switch {
	case s.Draining:
		return textResponse(http.StatusServiceUnavailable, "draining\n")
	case s.BundleNumber == 0:
		return textResponse(http.StatusServiceUnavailable, "no bundle in force\n")
	}
	return textResponse(http.StatusOK, "ready\n")
}

func (a *Admin) budget(r *http.Request) response {
	customer := r.URL.Query().Get(ParamCustomer)
	if customer == "" {
		return problemResponse(http.StatusBadRequest, "the query must have customer=ID")
	}
	if a.cfg.Budget == nil {
		return problemResponse(http.StatusNotImplemented, "this instance does not report budgets")
	}
	report, err := a.cfg.Budget(r.Context(), customer)
	switch {
	case errors.Is(err, ErrUnknownCustomer):
		return problemResponse(http.StatusNotFound, "no customer "+customer+" is in force")
	case err != nil:
		return problemResponse(http.StatusServiceUnavailable, err.Error())
	}
	return messageResponse(report)
}
