package quota

import (
	"errors"
	"sync"
	"time"
)

// maxBreakerBackoff is the longest time between two attempts while the object store is unavailable.
const maxBreakerBackoff = time.Second

var errStoreUnavailable = errors.New("quota: call skipped: object store unavailable at the last attempt")

// circuitBreaker rejects calls to the object store for a backoff time after a failed one, so that requests are answered
// immediately during an outage and few calls are made. It is safe for concurrent use.
type circuitBreaker struct {
	initialBackoff time.Duration

	mu      sync.Mutex
	backoff time.Duration
	retryAt time.Time
}

// allow returns errStoreUnavailable during the backoff time. After it, one call is allowed through and the next backoff
// time begins.
func (b *circuitBreaker) allow(now time.Time) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.backoff == 0 {
		return nil
	}
	if now.Before(b.retryAt) {
		return errStoreUnavailable
	}
	b.retryAt = now.Add(b.backoff)
	return nil
}

// isOpen reports whether calls are rejected and enough have failed in a row that waiting for the next one is pointless.
func (b *circuitBreaker) isOpen(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.backoff >= maxBreakerBackoff && now.Before(b.retryAt)
}

// recordFailure records a call that failed and extends the backoff time.
func (b *circuitBreaker) recordFailure(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.backoff = min(max(2*b.backoff, b.initialBackoff), maxBreakerBackoff)
	b.retryAt = now.Add(b.backoff)
}

// recordSuccess records a call that succeeded and ends the backoff time.
func (b *circuitBreaker) recordSuccess() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.backoff = 0
}
