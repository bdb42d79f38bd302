// Package idempotency deduplicates requests by their idempotency keys: it decides for each request whether it runs, joins
// a running one or gets a recorded outcome. It stores claims in the object store; package claim has the rules.
package idempotency

import (
	"context"
	"time"

	"pumiceshelf/api"
	"pumiceshelf/claim"
)

// Decision is what happens to a request with an idempotency key.
type Decision int

// Decisions on a request. The request may be dispatched only if the decision is Run.
const (
	// Run means that the caller of Begin now owns the key and must call Finish.
	Run Decision = iota + 1
	// Recorded means that an outcome is recorded; BeginResult.Outcome holds it.
	Recorded
	// BodyMismatch means that the key was used with another body.
	BodyMismatch
	// UnknownOutcome means that a request with this key may have run and therefore is not run again.
	// If RetryAfter is set, the outcome may become known later: the caller may retry with the same key.
	UnknownOutcome
	// Unavailable means that the claim could not be made durable. Nothing ran for this call, and the caller stated by
	// FirstAttempt that there was no earlier one. A caller without FirstAttempt gets UnknownOutcome instead.
	Unavailable
)

// Request is a request with an idempotency key that needs a decision.
type Request struct {
	Key       claim.KeyHash
	Body      claim.BodyHash
	RequestID string
	// Idempotent is set if the request may safely run more than once. It then needs no durable claim.
	Idempotent bool
	// Form, Issued and KeyTime are the parsed parts of the key. An opaque key sets at most KeyTime.
	Form    claim.KeyForm
	Issued  *api.IssuedKey
	KeyTime time.Time
	// FirstAttempt is set if the caller states that it has not sent this key before.
	FirstAttempt bool
	// MaxWait bounds the wait for a decision or for the request that this one joins. Zero means the claim wait of the
	// settings.
	MaxWait time.Duration

	// attempt is a number that Begin assigns. It tells requests with the same key apart, which may share RequestID.
	attempt uint64
}

// OutcomeKind is how a request ended.
type OutcomeKind int

// Kinds of outcome.
const (
	// Completed means that the complete response was received.
	Completed OutcomeKind = iota + 1
	// NotRun means that nothing was dispatched or will be. The key may be used again.
	NotRun
	// Unknown means that the request may have run.
	Unknown
)

// Outcome is the recorded end of a request.
type Outcome struct {
	Kind OutcomeKind
	// Status, ContentType and Body are the response to the caller, for Completed.
	Status      int
	ContentType string
	Body        []byte
	// BodyDropped is set if the body was not kept because it was over the size limit, or is no longer stored.
	BodyDropped bool
}

// BeginResult is the decision on a Request.
type BeginResult struct {
	Decision   Decision
	Outcome    Outcome
	RetryAfter time.Duration
	// OriginalRequestID is the ID of the request that used the key first, if known. It is set for Recorded, BodyMismatch
	// and UnknownOutcome.
	OriginalRequestID string
}

// Issuer issues idempotency keys. Implementations are safe for concurrent use.
type Issuer interface {
	// Issue returns new keys for a customer.
	Issue(customer string, n int) []string
}

// Deduplicator decides which requests with an idempotency key may run. Implementations are safe for concurrent use.
type Deduplicator interface {
	// Begin returns the decision on a request. For a non-idempotent request it returns Run only after the claim is durable,
	// except that an issued key is decided by its issuer in memory, and that PolicyStated may admit a first attempt
	// without the object store.
	Begin(ctx context.Context, r Request) BeginResult
	// Finish records the outcome of a request for which Begin returned Run. It returns once the outcome is durable; if the
	// write fails or ctx ends first, the write is retried in the background. Completed must be recorded before the last
	// byte of the response is sent to the caller.
	Finish(ctx context.Context, key claim.KeyHash, o Outcome)
}
