// Package admin serves operators' HTTP: metrics, status, the story of a request, budgets and health.
//
// All of it only reads. Operators change the fleet by rolling bundles and by nothing else.
package admin

import (
	"context"
	"errors"
	"net/http"

	"github.com/apex/log"
	"github.com/rcrowley/go-metrics"
	"google.golang.org/protobuf/proto"

	"pumiceshelf/api"
	"pumiceshelf/story"
	"pumiceshelf/telemetry"
)

// Paths served.
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
	// ParamRequest is the id of the request to explain.
	ParamRequest = "request"
	// ParamLocal set to "true" keeps explain to the instance asked.
	ParamLocal = "local"
	// ParamCustomer is the id of the customer whose budgets are shown.
	ParamCustomer = "customer"
	// ParamFormat is json or text, for metrics.
	ParamFormat = "format"
)

// ErrUnknownCustomer is returned by a Budget function for a customer that is not in force.
var ErrUnknownCustomer = errors.New("admin: unknown customer")

// Config of an Admin. Budget and Peers may be nil.
type Config struct {
	Registry metrics.Registry
	Status   func() *api.Status
	Stories  *story.Store
	// Budget reports a customer's budgets.
	Budget func(ctx context.Context, customer string) (proto.Message, error)
	// Peers returns what other instances did for a request.
	Peers func(ctx context.Context, requestID string) []*api.Story
	Log   log.Interface
}

// Admin serves operators' HTTP.
type Admin struct{ cfg Config }

// New returns an Admin.
func New(cfg Config) *Admin { return &Admin{cfg: cfg} }

var (
	metricServed  = telemetry.Describe("admin.served", "requests", "Operators' requests answered.")
	metricRefused = telemetry.Describe("admin.refused", "requests", "Operators' requests answered with an error.")
)

// Handler returns the handler of all paths.
func (a *Admin) Handler() http.Handler {
	mux := http.NewServeMux()
	for path, serve := range map[string]func(*http.Request) result{
		PathMetrics:   a.metrics,
		PathStatus:    a.status,
		PathEndpoints: a.endpoints,
		PathExplain:   a.explain,
		PathBudget:    a.budget,
		PathHealth:    a.health,
		PathReady:     a.ready,
	} {
		mux.HandleFunc("GET "+path, func(w http.ResponseWriter, r *http.Request) { a.write(w, serve(r)) })
	}
	return mux
}

// result of one request.
type result struct {
	status      int
	contentType string
	body        []byte
}

func (a *Admin) write(w http.ResponseWriter, r result) {
	metricServed.Counter(a.cfg.Registry).Inc(1)
	if r.status >= http.StatusBadRequest {
		metricRefused.Counter(a.cfg.Registry).Inc(1)
	}
	w.Header().Set("Content-Type", r.contentType)
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(r.status)
	if _, err := w.Write(r.body); err != nil {
		a.cfg.Log.Debugf("admin: answer not sent: %v", err)
	}
}

func (a *Admin) status(*http.Request) result { return message(a.cfg.Status()) }

// endpoints answers with a status that holds the endpoints alone.
func (a *Admin) endpoints(*http.Request) result {
	s := a.cfg.Status()
	return message(&api.Status{Instance: s.Instance, BundleNumber: s.BundleNumber, Endpoints: s.Endpoints})
}

func (a *Admin) health(*http.Request) result { return plain(http.StatusOK, "ok\n") }

// ready says whether the balancer should send callers here.
func (a *Admin) ready(*http.Request) result {
	s := a.cfg.Status()
	switch {
	case s.Draining:
		return plain(http.StatusServiceUnavailable, "draining\n")
	case s.BundleNumber == 0:
		return plain(http.StatusServiceUnavailable, "no bundle in force\n")
	}
	return plain(http.StatusOK, "ready\n")
}

func (a *Admin) budget(r *http.Request) result {
	customer := r.URL.Query().Get(ParamCustomer)
	if customer == "" {
		return problem(http.StatusBadRequest, "the query must have customer=ID")
	}
	if a.cfg.Budget == nil {
		return problem(http.StatusNotImplemented, "this instance does not report budgets")
	}
	report, err := a.cfg.Budget(r.Context(), customer)
	switch {
	case errors.Is(err, ErrUnknownCustomer):
		return problem(http.StatusNotFound, "no customer "+customer+" is in force")
	case err != nil:
		return problem(http.StatusServiceUnavailable, err.Error())
	}
	return message(report)
}
