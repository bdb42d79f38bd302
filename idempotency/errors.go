package idempotency

import (
	"errors"
	"fmt"
)

var (
	// errUnavailable means that a proposal could not be decided and took no effect.
	errUnavailable = errors.New("idempotency: claims out of reach")
	// errAmbiguous means that a proposal may or may not take effect.
	errAmbiguous = errors.New("idempotency: claim may have been made")
	// errDown means that no way to the platform was found in time.
	errDown = errors.New("idempotency: no instance reached the platform in time")
	// errForged means that a key names this incarnation as its issuer, which did not issue it to that customer.
	errForged = errors.New("idempotency: key was not issued to this customer")
)

func ambiguous(cause error) error { return fmt.Errorf("%w: %w", errAmbiguous, cause) }

func unavailable(cause error) error { return fmt.Errorf("%w: %w", errUnavailable, cause) }
