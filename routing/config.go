// Package routing holds the configuration that requests are routed by: routes, services and customers. A Config is
// compiled once into a Table, which requests read without locks.
package routing

import "time"

// Mode says what may be repeated when a request fails.
type Mode int

const (
	// NonIdempotent requests run at most once.
	NonIdempotent Mode = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Streaming requests are answered by a series of events. They are not idempotent unless resumable.
	Streaming
)

// String names the mode as logs show it.
func (m Mode) String() string {
	return [...]string{"non-idempotent", "idempotent", "streaming"}[m]
}

// Config is one version of the configuration, as decoded and checked.
type Config struct {
	// Version grows with every configuration, in uneven steps.
	Version   int64
	Routes    []Route
	Services  []Service
	Customers []Customer
	Limits    Limits
}

// Limits bound what callers may send. Zero means that the configuration names none.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Route sends requests of a host and path prefix to services.
type Route struct {
	Name       string
	Host       string
	PathPrefix string
	Mode       Mode
	// Resumable streams may go on at another endpoint after the last event that arrived.
	Resumable bool
	// Public routes need no key.
	Public bool
	// Affine requests share parts of their prompts, so that they gain from an endpoint that has read them.
	Affine bool
	// Timeout is the longest time that a caller is kept waiting for the whole answer.
	Timeout time.Duration
	// LatencyObjective is the time to the answer, or to a stream's first event, that callers should see.
	LatencyObjective time.Duration
	// GapObjective is the longest pause between two events of a stream that callers should see.
	GapObjective time.Duration
	// Priority is the rank of the route, 0 first.
	Priority int
	// MaxAttempts bounds the endpoints that one request is sent to.
	MaxAttempts int
	// Targets are the services to choose from by weight.
	Targets []Target
}

// Target is a service and its share of a route.
type Target struct {
	Service string
	Weight  int
}

// Service is a group of endpoints that serve the same requests.
type Service struct {
	Name string
	// MaxConns bounds the connections that one endpoint takes from all instances together; zero means unknown.
	MaxConns int
	// Engine describes the model engines of the service; nil for a plain service.
	Engine *Engine
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is how many requests an engine runs at once.
	Slots int
	// CacheTokens is the memory of an engine in tokens, shared by running requests and kept prompt parts.
	CacheTokens int64
	// TokensPerEvent is how many tokens one event of a stream holds at most.
	TokensPerEvent int64
}

// Customer owns keys and a prepaid budget.
type Customer struct {
	Name string
	Keys []string
	// Priority takes the place of the route's when set.
	Priority *int
	// Prepaid is the total of tokens that the customer may consume; nil means no limit.
	Prepaid *int64
}
