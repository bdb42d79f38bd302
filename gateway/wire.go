// Package gateway serves callers' requests on the routes of the configuration: it finds the route and the customer,
// reserves tokens of the prepaid budget, chooses an endpoint, passes the request on byte for byte and the answer back,
// and settles what was used. Each request takes this one path.
//
// Promises kept here: a request that is not idempotent is sent to at most one endpoint that may run it; "not run" is said
// only if no endpoint may have run it; a caller gets an answer only whole and only to its own request.
package gateway

import (
	"net/http"
	"time"

	"pumiceshelf/placement"
)

// Meta is what a request says of itself.
type Meta struct {
	// ID names the request; each attempt of a caller has its own.
	ID string
	// Key of the customer; empty for none.
	Key string
	// Deadline is how long the caller waits; zero when it does not say.
	Deadline time.Duration
	// Parts are the parts of the prompt that engines keep, the last one the request's own; empty for none.
	Parts []placement.Part
	// PromptTokens and MaxOutputTokens are the size of a generation; zero for other requests.
	PromptTokens, MaxOutputTokens int64
}

// Forwarded is what an instance tells the endpoint besides what the caller said.
type Forwarded struct {
	// Deadline is the time that is left.
	Deadline time.Duration
	// EndpointID is the endpoint that the request is meant for.
	EndpointID string
	// Customer is the owner of the caller's key; empty for none.
	Customer string
	// Priority at the engine, 0 first and 9 last; negative for none.
	Priority int
	// ResumeAfter is the id of the last event that the caller has, empty unless the request is resumed here.
	ResumeAfter string
}

// Answer is what the header of an endpoint's answer says.
type Answer struct {
	// RequestID is the request that the answer belongs to; empty when the endpoint does not say.
	RequestID string
	// NotRun means that the endpoint did not run the request and never will.
	NotRun bool
	// OtherEndpoint means that the address belongs to another endpoint now. The request did not run.
	OtherEndpoint bool
	// Load is the endpoint's load report, nil for none.
	Load *placement.Load
}

// Wire reads and writes the headers that callers and endpoints use.
type Wire interface {
	// Request reads the header of a caller's request. An error names the field and its value.
	Request(h http.Header) (Meta, error)
	// Forward returns the header that an endpoint gets.
	Forward(h http.Header, f Forwarded) http.Header
	// Answer reads the header of an endpoint's answer.
	Answer(status int, h http.Header) Answer
	// Deliver returns the header that the caller gets with an endpoint's answer.
	Deliver(h http.Header) http.Header
	// Identify names the request that a refusal belongs to.
	Identify(h http.Header, id string)
}
