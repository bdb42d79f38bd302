// Package admit implements admission control: it queues requests, selects the one to dispatch next and refuses those
// that exceed queue limits or cannot meet their deadlines. It applies priority classes and per-customer fair shares.
//
// The queueing logic does no I/O and reads no clock; Controller adds the clock, locking and blocking.
package admit

import (
	"context"
	"time"
)

// Class is the priority class of a request. Lower values are dispatched first.
type Class int

// Priority classes, most urgent first.
const (
	// Interactive is for requests with a user waiting for the response.
	Interactive Class = iota
	// Standard is the default class.
	Standard
	// Batch is for background work, which yields to all other classes.
	Batch
	// NumClasses is the number of classes.
	NumClasses
)

// Item describes a request to be admitted.
type Item struct {
	RequestID string
	Customer  string
	// Weight is the customer's weight in fair queueing.
	Weight uint32
	// Group identifies the model or service whose endpoints can run the request.
	Group    string
	Class    Class
	Deadline time.Time
	// Bytes is the memory that the request holds while it waits.
	Bytes int
	// Cost is the expected work in tokens; 1 for a plain service call.
	Cost uint64
}

// Outcome is the result of an admission.
type Outcome int

// Outcomes. All but Admitted mean that the request did not run.
const (
	// Admitted means that the request may be dispatched now. Ticket.Done must be called.
	Admitted Outcome = iota + 1
	// QueueFull means that the queue of the request's group and class is full.
	QueueFull
	// BytesFull means that the waiting requests would exceed the byte limit.
	BytesFull
	// TooLate means that the deadline has passed or is not expected to be met.
	TooLate
	// Displaced means that the request was removed from its queue in favor of another one.
	Displaced
	// Canceled means that the caller canceled the request.
	Canceled
	// NoCapacity means that no endpoint of the group accepts requests, or that the Admitter has stopped.
	NoCapacity
)

// Ticket is the decision of an Admitter on a request.
type Ticket struct {
	Outcome Outcome
	// Endpoint is the ID of the selected endpoint if the outcome is Admitted.
	Endpoint string
	// RetryAfter is the suggested delay before a retry of a refused request.
	RetryAfter time.Duration
	// Done releases the slot. It is set only for Admitted and must be called exactly once.
	Done func(Result)
}

// Result is the result of a dispatched request. It is used for endpoint concurrency limits and ejection.
type Result struct {
	// Failed reports whether the endpoint failed the request. A cancellation by the caller is not a failure.
	Failed bool
	// Stalled reports whether the connection to the endpoint made no progress.
	Stalled bool
	// Busy reports whether the endpoint refused the request for lack of capacity, which is not a failure.
	Busy bool
	// Interrupted reports whether the request ended early for a reason other than its endpoint, such as its deadline or
	// a cancellation. Its durations then do not describe the endpoint.
	Interrupted bool
	// TimeToFirstToken and TotalTime are measured from dispatch; zero if not reached.
	TimeToFirstToken time.Duration
	TotalTime        time.Duration
	// Tokens is the number of generated tokens.
	Tokens uint64
}

// Target constrains the endpoints that a request can be sent to.
type Target struct {
	// Prefix is the hash of the prompt prefix; zero for none.
	Prefix uint64
	// Avoid lists the IDs of endpoints on which this request has failed.
	Avoid []string
	// NoRetry reports whether the request must not be retried. Such a request is not used to probe a recovering endpoint.
	NoRetry bool
}

// Admitter queues requests and assigns endpoints to them. Implementations are safe for concurrent use.
type Admitter interface {
	// Admit blocks until the request may be dispatched or is refused.
	Admit(ctx context.Context, item Item, target Target) Ticket
}
