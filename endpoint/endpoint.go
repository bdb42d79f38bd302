// Package endpoint speaks HTTP to model engines and plain services.
package endpoint

import (
	"context"
	"net/http"
	"time"
)

// Status of a call to an endpoint.
type Status int

// Ends of a call.
const (
	// Complete means that the whole answer came, bound to the request's id and closed by its end marker.
	Complete Status = iota + 1
	// NotSent means that no byte of the request reached the endpoint; it did not run and never will.
	NotSent
	// Refused means that the endpoint answered that it did not run the request.
	Refused
	// Broken means that the request may have run and no whole answer came.
	Broken
	// Canceled means that the caller went away or the router gave up, and the endpoint was told to stop.
	Canceled
)

// Reason says why a call did not complete. Each has a counter.
type Reason string

// Reasons of calls that did not complete.
const (
	ReasonNone       Reason = ""
	ReasonDial       Reason = "dial_failed"
	ReasonBusy       Reason = "endpoint_busy"
	ReasonServer     Reason = "endpoint_error"
	ReasonRejected   Reason = "endpoint_rejected"
	ReasonReset      Reason = "connection_reset"
	ReasonSilent     Reason = "no_progress"
	ReasonWrongID    Reason = "answer_of_other_request"
	ReasonTruncated  Reason = "answer_truncated"
	ReasonMalformed  Reason = "answer_malformed"
	ReasonCallerGone Reason = "caller_gone"
	ReasonDeadline   Reason = "deadline_passed"
	ReasonOverCap    Reason = "over_token_cap"
)

// Call is one request to one endpoint.
type Call struct {
	RequestID string
	Endpoint  string
	// URL is the endpoint's base URL.
	URL    string
	Method string
	Path   string
	Header http.Header
	Body   []byte
	Stream bool
	Model  bool
	// Fresh asks for a connection of its own, so that no idle connection that has gone silent can swallow the request.
	Fresh bool
	// CapTokens is the most tokens that may be generated, for a model call.
	CapTokens uint64
	Deadline  time.Time
}

// Usage reported by the engine.
type Usage struct {
	Prompt    uint64
	Generated uint64
	// Known is false when the engine's report never came.
	Known bool
}

// Result of a call.
type Result struct {
	Status Status
	Reason Reason
	Usage  Usage
	// HTTPStatus, Header and Body of the endpoint's answer, for a whole one; status and body for one that was rejected.
	HTTPStatus int
	Header     http.Header
	Body       []byte
	FirstToken time.Duration
	Total      time.Duration
	// Resumes counts how often the stream was picked up again.
	Resumes int
}

// Piece is one step of a streamed answer.
type Piece struct {
	// Offset of its first token in the answer.
	Offset uint64
	// Data is the event's data as it goes to the caller. It is valid until sink returns.
	Data []byte
	// Usage says that the event only reports usage.
	Usage bool
}

// Client calls endpoints. Implementations are safe for concurrent use.
type Client interface {
	// Do runs one call. For a stream, sink gets each piece once and in order; an error of sink cancels the call.
	Do(ctx context.Context, c Call, sink func(Piece) error) Result
	// Cancel tells an engine to stop a request and returns its true usage if the engine knows it.
	Cancel(ctx context.Context, url, requestID string) (Usage, error)
}
