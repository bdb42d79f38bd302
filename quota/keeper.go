// Package quota drives package budget: it reserves and settles tokens for requests, with the budget's lease holder
// in the failure domain, and keeps ledgers in the platform.
package quota

import (
	"context"
	"time"

	"pumiceshelf/budget"
)

// Outcome of a reservation.
type Outcome int

// Outcomes of a reservation. All but Granted mean that nothing is reserved.
const (
	// Granted means that the tokens are held for the request until it is settled.
	Granted Outcome = iota + 1
	// Exhausted means that the budget lacks the tokens.
	Exhausted
	// OutOfReach means that the budget may have tokens but none that this instance can reach now.
	OutOfReach
	// UnknownBudget means that no such budget is in force.
	UnknownBudget
)

// Request asks for tokens before a model request is dispatched.
type Request struct {
	RequestID string
	Budget    budget.ID
	Model     string
	// Bound is the most the request can be charged.
	Bound budget.Tokens
	// Wait is the longest time the caller can wait.
	Wait time.Duration
}

// Reservation is the answer to a Request.
type Reservation struct {
	Outcome Outcome
	// Lease and Holder name what the tokens are held under.
	Lease  string
	Holder string
	// RetryAfter is when asking again may help; zero if nothing is known.
	RetryAfter time.Duration
}

// Usage is what a request is billed. Zero tokens and Ran false settle a request that did not run.
type Usage struct {
	RequestID string
	Budget    budget.ID
	Lease     string
	Holder    string
	Model     string
	Endpoint  string
	Prompt    budget.Tokens
	Generated budget.Tokens
	// AtBound says that the engine's usage is unknown and the bound is billed.
	AtBound bool
	// Ran is false when the request was not dispatched; the reservation is then released without a bill.
	Ran bool
}

// Keeper reserves and settles tokens. Implementations are safe for concurrent use.
type Keeper interface {
	// Reserve holds tokens for a request. A second call with the id of an open reservation returns that reservation.
	Reserve(ctx context.Context, r Request) Reservation
	// Settle bills a request exactly once, whatever the number of calls. It returns once the holder has the record,
	// or keeps the record and goes on trying in the background when ctx ends first.
	Settle(ctx context.Context, u Usage)
}
