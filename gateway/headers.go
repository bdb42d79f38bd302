// Package gateway serves the requests of callers on the configured routes: it finds the route and the customer,
// reserves tokens of the prepaid budget, chooses an endpoint, forwards the request, relays the response and settles the
// tokens that were used. Method, path, query and bodies are passed on byte for byte. Every request takes this path.
//
// The package guarantees that
//   - a request that is not idempotent is sent to at most one endpoint that may run it,
//   - "not run" is reported only if no endpoint can have run the request,
//   - a caller receives only the response to its own request, and a truncated response is never presented as complete.
package gateway

import (
	"net/http"
	"time"

	"pumiceshelf/placement"
)

// RequestMeta is the metadata in the header of a caller's request.
type RequestMeta struct {
	// ID identifies the request. A caller that retries uses a new ID for each attempt.
	ID string
	// Key is the API key of the customer, or empty if there is none.
	Key string
	// Timeout is how long the caller waits for the response, or zero if the request does not specify it.
	Timeout time.Duration
	// Resumes is the ID of the attempt that received the first event of the stream that this request resumes, and ResumeAfter
	// the ID of the last event that the caller received. They are empty for a new stream; Resumes is also empty if the caller
	// does not name the attempt.
	Resumes, ResumeAfter string
	// PromptParts are the parts of the prompt that engines cache, or empty if there are none. The last one belongs to this
	// request alone.
	PromptParts []placement.PromptPart
	// PromptTokens and MaxOutputTokens are the size of a generation request, or zero for other requests.
	PromptTokens, MaxOutputTokens int64
}

// ForwardMeta is the metadata that an instance adds to a request before it forwards it to an endpoint.
type ForwardMeta struct {
	// Timeout is the remaining time for the request.
	Timeout time.Duration
	// EndpointID is the ID of the endpoint that the request is intended for.
	EndpointID string
	// Customer is the owner of the caller's key, or empty if there is none.
	Customer string
	// Priority is the scheduling priority at the engine, from 0 (highest) to 9 (lowest), or negative if there is none.
	Priority int
	// ResumeAfter is the ID of the last event that the caller received. It is empty unless this attempt resumes a
	// stream.
	ResumeAfter string
}

// ResponseMeta is the metadata in the header of an endpoint's response.
type ResponseMeta struct {
	// RequestID is the ID of the request that the response belongs to, or empty if the endpoint does not report it.
	RequestID string
	// NotRun reports that the endpoint did not run the request and will not run it later.
	NotRun bool
	// Misdirected reports that the address now belongs to another endpoint. The request was not run.
	Misdirected bool
	// Draining reports that the endpoint is about to stop and wants no further requests.
	Draining bool
	// Pause is how long the endpoint wants no further requests of this instance, or zero if it asks for no pause.
	Pause time.Duration
	// InvalidPause is the text of a pause that cannot be parsed.
	InvalidPause string
	// Load is the load report of the endpoint, or nil if there is none.
	Load *placement.Load
	// InvalidLoad is the text of a load report that cannot be parsed.
	InvalidLoad string
	// RateLimit is the number of requests per second that the endpoint accepts from all instances together, or nil if it
	// names no limit.
	RateLimit *float64
	// MaxRejected is the number of requests per second that the endpoint can reject for want of room without ending, or nil if it
	// names none.
	MaxRejected *float64
	// InvalidMaxRejected is the text of such a number that cannot be parsed.
	InvalidMaxRejected string
	// ColdLeft is the time for which the endpoint stays cold, zero if it is not cold, or nil if the response does not say.
	ColdLeft *time.Duration
	// InvalidColdLeft is the text of such a time that cannot be parsed.
	InvalidColdLeft string
	// InvalidRateLimit is the text of a rate limit that cannot be parsed.
	InvalidRateLimit string
}

// HeaderCodec parses and builds the headers that are exchanged with callers and endpoints.
type HeaderCodec interface {
	// ParseRequest parses the header of a caller's request. An error names the invalid field and its value.
	ParseRequest(h http.Header) (RequestMeta, error)
	// ForwardHeader returns the header of the request that is sent to an endpoint.
	ForwardHeader(h http.Header, f ForwardMeta) http.Header
	// DelegatedHeader returns the header of the request that is passed on to another instance on behalf of the caller, who waits
	// that much longer.
	DelegatedHeader(h http.Header, timeout time.Duration) http.Header
	// ParseResponse parses the status and header of an endpoint's response.
	ParseResponse(status int, h http.Header) ResponseMeta
	// ResponseHeader returns the header that is sent to the caller with an endpoint's response.
	ResponseHeader(h http.Header) http.Header
	// SetRequestID sets the ID of the request in the header of a refusal.
	SetRequestID(h http.Header, id string)
}
