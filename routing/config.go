// Package routing holds the routing configuration: routes, services and customers. A Config is compiled once into an
// immutable Table that requests read without locks.
package routing

import "time"

// Mode defines whether requests of a route may be retried after a failure.
type Mode int

const (
	// NonIdempotent requests run at most once.
	NonIdempotent Mode = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Streaming requests return a stream of events. They are not idempotent unless the route is resumable.
	Streaming
)

// String returns the name of the mode as shown in logs.
func (m Mode) String() string {
	return [...]string{"non-idempotent", "idempotent", "streaming"}[m]
}

// Config is one decoded and validated version of the configuration.
type Config struct {
	// Version increases with every configuration, not always by one.
	Version   int64
	Routes    []Route
	Services  []Service
	Customers []Customer
	Limits    Limits
}

// Limits bound the requests and connections of callers. Zero means that the configuration sets no limit.
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
	// Resumable streams may continue at another endpoint after the last event received.
	Resumable bool
	// Public routes need no key.
	Public bool
	// UsesPrefixAffinity is set if the requests share parts of their prompts, so that an endpoint that has cached them
	// serves them faster.
	UsesPrefixAffinity bool
	// Timeout bounds the time until the complete response.
	Timeout time.Duration
	// LatencyObjective is the target time to the response, or to the first event of a stream.
	LatencyObjective time.Duration
	// GapObjective is the longest pause between two events of a stream that still counts as on time; zero if there is none.
	GapObjective time.Duration
	// EventGapObjective is the target maximum time between two events of a stream.
	EventGapObjective time.Duration
	// Priority of the route; 0 is the highest.
	Priority int
	// MaxAttempts is the maximum number of endpoints to which one request is sent.
	MaxAttempts int
	// Targets are the services among which requests are distributed by weight.
	Targets []Target
}

// Target is a service and its weight within a route.
type Target struct {
	Service string
	Weight  int
}

// Service is a group of endpoints that serve the same requests.
type Service struct {
	Name string
	// MaxConns is the maximum number of connections that one endpoint accepts from all instances together; zero means
	// unknown.
	MaxConns int
	// ColdPerSecond is the number of requests per second that an endpoint handles while it is cold; zero if endpoints are never cold.
	ColdPerSecond float64
	// ColdStart is how long an endpoint is cold after its start.
	ColdStart time.Duration
	// Engine describes the model engines of the service; nil for a plain service.
	Engine *Engine
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is how many requests an engine runs at once.
	Slots int
	// CacheTokens is the cache capacity of an engine in tokens, shared by running requests and cached prompt parts.
	CacheTokens int64
	// TokensPerEvent is the maximum number of tokens in one event of a stream.
	TokensPerEvent int64
}

// Customer is an owner of API keys and a prepaid budget.
type Customer struct {
	Name string
	Keys []string
	// Priority is the rank of the customer, 0 is the highest; nil means the default rank.
	Priority *int
	// PrepaidTokens is the total number of tokens that the customer may consume; nil means no limit.
	PrepaidTokens *int64
}
