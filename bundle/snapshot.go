// Package bundle checks, signs, rolls and distributes configuration bundles and holds the active one.
package bundle

import (
	"crypto/sha256"
	"strings"
	"time"

	"pumiceshelf/api"
	"pumiceshelf/budget"
	"pumiceshelf/instance"
)

// KeyHash is the SHA-256 of a customer's bearer token.
type KeyHash [sha256.Size]byte

// HashKey returns the hash that represents a bearer token in the bundle.
func HashKey(token string) KeyHash { return sha256.Sum256([]byte(token)) }

// Customer holds a customer's budgets and keys.
type Customer struct {
	ID string
	// Weight in the fair sharing of a full queue, at least 1.
	Weight uint32
	// Budgets are in the order of the bundle.
	Budgets []Budget
	keys    []KeyHash
}

// Budget holds the tokens granted to a customer for a set of models.
type Budget struct {
	ID budget.ID
	// Granted is the sum of the grants.
	Granted budget.Tokens
	// Models that may use the budget; all if empty.
	Models []string
}

// Model holds the token limits of a model and what its endpoints must have loaded.
type Model struct {
	ID string
	// DefaultCap limits the generated tokens of a request whose caller sets no limit. MaxCap is the highest limit that a
	// caller may set.
	DefaultCap uint64
	MaxCap     uint64
	// ImageBound bounds the prompt tokens of one image, and TemplateBound those that the chat template adds per message.
	ImageBound    uint64
	TemplateBound uint64
	// Version of the weights.
	Version  string
	Adapters []string
	// NonIdempotent means that a request runs at most once unless it declares that it is idempotent.
	NonIdempotent bool
}

// Service is a plain service, which receives the requests whose paths begin with its prefix.
type Service struct {
	ID         string
	PathPrefix string
	// NonIdempotent holds the HTTP methods whose requests must not be retried.
	NonIdempotent map[string]bool
	// Timeout bounds one request, including its time in the queue.
	Timeout time.Duration
}

// Endpoint is a model engine or a process of a plain service.
type Endpoint struct {
	ID     string
	Domain instance.Domain
	URL    string
	// Models are the models that an engine serves, and Service is the ID of the service that a plain process serves.
	Models  []string
	Service string
	// ChecksFencing means that the endpoint rejects orders with an old fencing number.
	ChecksFencing bool
	// Concurrency is the rated number of concurrent requests, zero if unknown.
	Concurrency uint32
	// Role of an engine, such as prefill or decode; empty means both.
	Role string
}

// Snapshot is a bundle compiled for lookups during requests. It is immutable.
type Snapshot struct {
	Number uint64
	// Operators approve the next bundle, and Threshold is how many of them must sign it.
	Operators []*api.OperatorKey
	Threshold uint32
	// ConcurrentLoads is the maximum number of concurrent loads from the weight store, zero means 1.
	ConcurrentLoads uint32
	customers       map[string]*Customer
	keys            map[KeyHash]*Customer
	models          map[string]*Model
	services        []*Service
	endpoints       map[string]*Endpoint
	groups          map[string][]*Endpoint
	retired         map[instance.Incarnation]bool
}

// Source provides the active snapshot. Implementations are safe for concurrent use.
type Source interface {
	// Current returns the active snapshot, or nil before the first.
	Current() *Snapshot
	// Changed returns a channel that is closed when a snapshot newer than Current becomes active.
	Changed() <-chan struct{}
}

// Customer returns the customer with the ID, or nil.
func (s *Snapshot) Customer(id string) *Customer { return s.customers[id] }

// Customers calls f for each customer, in no order.
func (s *Snapshot) Customers(f func(*Customer)) {
	for _, c := range s.customers {
		f(c)
	}
}

// CustomerByKey returns the customer with the hashed bearer token, or nil.
func (s *Snapshot) CustomerByKey(h KeyHash) *Customer { return s.keys[h] }

// Model returns the model with the ID, or nil.
func (s *Snapshot) Model(id string) *Model { return s.models[id] }

// Models calls f for each model, in no order.
func (s *Snapshot) Models(f func(*Model)) {
	for _, m := range s.models {
		f(m)
	}
}

// ServiceFor returns the service with the longest path prefix that matches the path, or nil.
func (s *Snapshot) ServiceFor(path string) *Service {
	var best *Service
	for _, v := range s.services {
		if strings.HasPrefix(path, v.PathPrefix) && (best == nil || len(v.PathPrefix) > len(best.PathPrefix)) {
			best = v
		}
	}
	return best
}

// Endpoint returns the endpoint with the ID, or nil.
func (s *Snapshot) Endpoint(id string) *Endpoint { return s.endpoints[id] }

// Endpoints calls f for each endpoint, in no order.
func (s *Snapshot) Endpoints(f func(*Endpoint)) {
	for _, e := range s.endpoints {
		f(e)
	}
}

// Group returns the endpoints of a group, which is the result of ModelGroup or ServiceGroup.
func (s *Snapshot) Group(group string) []*Endpoint { return s.groups[group] }

// IsRetired reports whether operators declared that an incarnation stopped for good.
func (s *Snapshot) IsRetired(i instance.Incarnation) bool { return s.retired[i] }

// ModelGroup returns the name of the group of endpoints that serve a model.
func ModelGroup(model string) string { return "model/" + model }

// ServiceGroup returns the name of the group of endpoints that serve a plain service.
func ServiceGroup(service string) string { return "service/" + service }

// BudgetFor returns the customer's first budget that the model may use.
func (c *Customer) BudgetFor(model string) (Budget, bool) {
	for _, b := range c.Budgets {
		if b.Allows(model) {
			return b, true
		}
	}
	return Budget{}, false
}

// Allows reports whether a model may use the budget.
func (b Budget) Allows(model string) bool {
	if len(b.Models) == 0 {
		return true
	}
	for _, m := range b.Models {
		if m == model {
			return true
		}
	}
	return false
}
