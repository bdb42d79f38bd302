package idempotency

import (
	"errors"
	"fmt"
)

var (
	// errUnavailable means that a proposal could not be decided and has no effect.
	errUnavailable = errors.New("idempotency: claims unavailable, proposal has no effect")
	// errAmbiguous means that the outcome of a proposal is unknown: it may have taken effect or may still do so.
	errAmbiguous = errors.New("idempotency: outcome of the proposal is unknown")
	// errStoreUnreachable means that neither this instance nor one of those it queried reached the object store in time.
	errStoreUnreachable = errors.New("idempotency: no instance reached the object store in time")
	// errForged means that the incarnation that a key contains as its issuer did not issue it to the customer.
	errForged = errors.New("idempotency: key was not issued to this customer")
)

func wrapAmbiguous(cause error) error { return fmt.Errorf("%w: %w", errAmbiguous, cause) }

func wrapUnavailable(cause error) error { return fmt.Errorf("%w: %w", errUnavailable, cause) }
