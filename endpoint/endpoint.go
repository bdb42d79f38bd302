// Package endpoint implements the HTTP client for model engines and plain services.
package endpoint

import (
	"context"
	"net/http"
	"time"
)

// Status is the status of a finished call to an endpoint.
type Status int

// Statuses of a call.
const (
	// Complete means that the complete response arrived, with the request's ID and, for a stream, its end marker.
	Complete Status = iota + 1
	// NotSent means that no byte of the request reached the endpoint, so it did not and will not run.
	NotSent
	// Refused means that the endpoint responded that it did not run the request.
	Refused
	// Incomplete means that the request may have run but its complete response did not arrive.
	Incomplete
	// Canceled means that the caller canceled the request or its deadline passed. The client also cancels it at a model engine.
	Canceled
)

// Reason is the reason why a call did not complete. Each reason has a counter.
type Reason string

// Reasons of calls that did not complete.
const (
	ReasonNone           Reason = ""
	ReasonDial           Reason = "dial_failed"
	ReasonBusy           Reason = "endpoint_busy"
	ReasonErrorStatus    Reason = "endpoint_error"
	ReasonRejected       Reason = "endpoint_rejected"
	ReasonReset          Reason = "connection_reset"
	ReasonNoProgress     Reason = "no_progress"
	ReasonWrongID        Reason = "answer_of_other_request"
	ReasonTruncated      Reason = "answer_truncated"
	ReasonMalformed      Reason = "answer_malformed"
	ReasonCallerCanceled Reason = "caller_gone"
	ReasonDeadline       Reason = "deadline_passed"
	ReasonOverCap        Reason = "over_token_cap"
)

// Call is one request to one endpoint.
type Call struct {
	RequestID string
	Endpoint  string
	// URL is the endpoint's base URL.
	URL       string
	Method    string
	Path      string
	Header    http.Header
	Body      []byte
	Stream    bool
	ModelCall bool
	// UseNewConnection sends the request on a new connection, so that it cannot be lost on a stalled idle connection.
	UseNewConnection bool
	// CapTokens is the maximum number of tokens that a model call may generate; zero means no limit.
	CapTokens uint64
	Deadline  time.Time
}

// Usage is the token usage reported by an engine.
type Usage struct {
	PromptTokens    uint64
	GeneratedTokens uint64
	// Known is false if no usage report was received.
	Known bool
}

// Result is the result of a call.
type Result struct {
	Status Status
	Reason Reason
	Usage  Usage
	// HTTPStatus, Header and Body are those of a complete non-streaming response. HTTPStatus is also set for a complete
	// stream and for an error response; Body also holds the error message of a rejected request.
	HTTPStatus       int
	Header           http.Header
	Body             []byte
	TimeToFirstToken time.Duration
	TotalTime        time.Duration
	// Resumes is how many times the stream was resumed.
	Resumes int
}

// StreamEvent is an event of a streaming response.
type StreamEvent struct {
	// Offset is the offset of the event's first token in the response.
	Offset uint64
	// Data is the data of the event as sent to the caller. It is valid until sink returns.
	Data []byte
	// Usage is true if the event contains only usage.
	Usage bool
}

// Client calls endpoints. Implementations are safe for concurrent use.
type Client interface {
	// Do runs one call. For a stream, it passes each event to sink once and in order. An error of sink cancels the call.
	Do(ctx context.Context, c Call, sink func(StreamEvent) error) Result
	// Cancel cancels a request at an engine and returns the usage that the engine reports for it.
	Cancel(ctx context.Context, url, requestID string) (Usage, error)
}
