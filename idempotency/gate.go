// Package idempotency drives package claim: it decides for each keyed request whether it runs, joins a running one,
// or gets a recorded outcome, and keeps claims in the platform.
package idempotency

import (
	"context"
	"time"

	"pumiceshelf/api"
	"pumiceshelf/claim"
)

// Decision on a keyed request.
type Decision int

// Decisions on a keyed request. Only Run lets the request be dispatched.
const (
	// Run means that the caller of Begin now owns the key and must call Finish.
	Run Decision = iota + 1
	// Recorded means that an outcome is on file; it is in Verdict.Outcome.
	Recorded
	// Mismatch means that the key was used with another body.
	Mismatch
	// UnknownOutcome means that a request with this key may have run; one that ran is never run again.
	// With RetryAfter set the outcome may become known: the caller may ask again with the same key.
	UnknownOutcome
	// Unavailable means that the claim could not be made durable; nothing ran under this call, nor, by the caller's
	// statement, under an earlier one. A caller that made no such statement gets UnknownOutcome instead.
	Unavailable
)

// Request asks for a decision.
type Request struct {
	Key       claim.KeyHash
	Body      claim.BodyHash
	RequestID string
	// Idempotent requests may be repeated; they need no durable claim.
	Idempotent bool
	// Form, Issued and KeyTime are what claim.ParseKey found in the key. An opaque key leaves them zero.
	Form    claim.Form
	Issued  *api.IssuedKey
	KeyTime time.Time
	// FirstAttempt is the caller's statement that it has not sent this key before.
	FirstAttempt bool
	// Wait is the longest time the caller can wait for a decision or for a request that it joins; zero for the
	// settings' claim wait.
	Wait time.Duration

	// attempt is the number that Begin gives to the request. Requests with the same key may share RequestID.
	attempt uint64
}

// OutcomeKind is how a keyed request ended.
type OutcomeKind int

// Ends of a keyed request.
const (
	// Answered means that a whole answer was obtained.
	Answered OutcomeKind = iota + 1
	// NotRun means that nothing was dispatched, now or later; the key may be used again.
	NotRun
	// Unknown means that it may have run.
	Unknown
)

// Outcome is the recorded end of a keyed request.
type Outcome struct {
	Kind OutcomeKind
	// Status, ContentType and Body are the caller's answer, for Answered.
	Status      int
	ContentType string
	Body        []byte
	// Dropped says that the body was over the limit and not kept.
	Dropped bool
}

// Verdict is the answer to a Request.
type Verdict struct {
	Decision   Decision
	Outcome    Outcome
	RetryAfter time.Duration
	// OriginalID is the request id that the key was first used with, for Recorded, Mismatch and UnknownOutcome.
	OriginalID string
}

// Issuer issues idempotency keys. Implementations are safe for concurrent use.
type Issuer interface {
	// Issue returns new keys for a customer.
	Issue(customer string, n int) []string
}

// Gate decides keyed requests. Implementations are safe for concurrent use.
type Gate interface {
	// Begin decides a request. For a non-idempotent one, Run is returned only after the claim is durable.
	Begin(ctx context.Context, r Request) Verdict
	// Finish records the outcome of a request that Begin let run. It returns when the outcome is durable, or, when
	// ctx ends first, keeps it and goes on trying in the background. Answered is kept before the caller's last byte.
	Finish(ctx context.Context, key claim.KeyHash, o Outcome)
}
