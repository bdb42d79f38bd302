// Package quota reserves and settles budget tokens for requests, at the budget's lease holder in the failure domain. It
// implements the I/O around package budget and stores the ledgers in the object store.
package quota

import (
	"context"
	"time"

	"pumiceshelf/budget"
)

// Outcome is the outcome of a reservation.
type Outcome int

// Outcomes of a reservation. Nothing is reserved unless the outcome is Granted.
const (
	// Granted means that the tokens are reserved for the request until it is settled.
	Granted Outcome = iota + 1
	// Exhausted means that the budget does not have the tokens.
	Exhausted
	// Unavailable means that the budget may have tokens, but this instance cannot obtain them now.
	Unavailable
	// UnknownBudget means that the active bundle does not define the budget.
	UnknownBudget
)

// Request is a request to reserve tokens before a model request is dispatched.
type Request struct {
	RequestID string
	Budget    budget.ID
	Model     string
	// Bound is the maximum charge of the request.
	Bound budget.Tokens
	// MaxWait is the longest time the caller can wait; zero forbids waiting.
	MaxWait time.Duration
}

// Reservation is the result of a Request.
type Reservation struct {
	Outcome Outcome
	// Lease and Holder identify the lease that the tokens are reserved from and its holder.
	Lease  string
	Holder string
	// RetryAfter is the delay after which a retry may succeed; zero if unknown.
	RetryAfter time.Duration
}

// Usage is the usage that a request is charged for. Zero tokens and Ran false settle a request that did not run.
type Usage struct {
	RequestID string
	Budget    budget.ID
	Lease     string
	Holder    string
	Model     string
	Endpoint  string
	Prompt    budget.Tokens
	Generated budget.Tokens
	// AtBound is set if the engine's usage is unknown and the bound is charged.
	AtBound bool
	// Ran is false if the request was not dispatched; the reservation is then released without a charge.
	Ran bool
}

// Reserver reserves and settles tokens. Implementations are safe for concurrent use.
type Reserver interface {
	// Reserve reserves tokens for a request. A second call with the ID of an open reservation returns that reservation.
	Reserve(ctx context.Context, r Request) Reservation
	// Settle charges a request exactly once, regardless of the number of calls. It returns when the holder has the usage
	// record. If ctx ends first, it returns then and delivery continues in the background.
	Settle(ctx context.Context, u Usage)
}
