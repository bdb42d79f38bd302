// Package admit decides which waiting request goes next and which are refused: bounded queues, deadlines, priorities
// and fair shares.
//
// The logic does no I/O and reads no clock; the shell in shell.go lets goroutines wait on it.
package admit

import (
	"context"
	"time"
)

// Class of a request. Lower values go first.
type Class int

// Classes, from the most urgent.
const (
	// Interactive is for callers who wait at a table or field edge.
	Interactive Class = iota
	// Standard is the class of a request that names none.
	Standard
	// Batch is overnight work that gives way to all other.
	Batch
	// Classes is the number of classes.
	Classes
)

// Item is a request that asks to be dispatched.
type Item struct {
	RequestID string
	Customer  string
	// Weight is the customer's share.
	Weight uint32
	// Group is the model or service whose endpoints can run it.
	Group    string
	Class    Class
	Deadline time.Time
	// Bytes held while waiting.
	Bytes int
	// Cost is the expected work in tokens, 1 for a plain service call.
	Cost uint64
}

// Outcome of an admission.
type Outcome int

// Outcomes of an admission. All but Admitted mean that the request did not run.
const (
	// Admitted means that the request may be dispatched now; Ticket.Done must be called.
	Admitted Outcome = iota + 1
	// QueueFull means that the queue of its model and class is full.
	QueueFull
	// BytesFull means that waiting requests hold too many bytes.
	BytesFull
	// TooLate means that the deadline cannot be met or has passed.
	TooLate
	// Displaced means that its place went to a request that goes before it.
	Displaced
	// Canceled means that the caller went away.
	Canceled
	// NoCapacity means that no endpoint can run it now or soon.
	NoCapacity
)

// Ticket is the answer of an Admitter.
type Ticket struct {
	Outcome Outcome
	// Endpoint that was chosen, for Admitted.
	Endpoint string
	// RetryAfter is when asking again may help.
	RetryAfter time.Duration
	// Done gives the place back. It is set for Admitted and must be called exactly once.
	Done func(Result)
}

// Result says how a dispatched request went, for limits and ejection.
type Result struct {
	// Failed says that the endpoint failed the request; a caller's own cancel is no failure.
	Failed bool
	// Silent says that the endpoint's connection made no progress.
	Silent bool
	// Busy says that the endpoint had no room and did not run the request; that is no failure.
	Busy bool
	// Cut says that the request ended at its deadline or with its caller, so that its durations say nothing of the endpoint.
	Cut bool
	// FirstToken and Total are durations since dispatch; zero if never reached.
	FirstToken time.Duration
	Total      time.Duration
	// Tokens generated.
	Tokens uint64
}

// Target says where a request can go.
type Target struct {
	// Prefix is the hash of the prompt's prefix; zero for none.
	Prefix uint64
	// Avoid lists endpoints that this request has failed on.
	Avoid []string
	// Once says that the request may not be repeated, so that it is not the one to try a recovering endpoint.
	Once bool
}

// Admitter lets a request wait for its turn and an endpoint. Implementations are safe for concurrent use.
type Admitter interface {
	Admit(ctx context.Context, item Item, target Target) Ticket
}
