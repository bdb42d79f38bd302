package route

import (
	"sync/atomic"

	"github.com/rcrowley/go-metrics"

	"pumiceshelf/endpoint"
	"pumiceshelf/telemetry"
)

const (
	// retryCost is the cost of one retry in units of the balance. Each request adds RetryBudget.percent units.
	retryCost = 100
	// initialRetries is the number of retries allowed before any request, so that instances with few requests can retry.
	initialRetries = 10
	// maxSavedRetries bounds the retries that unused balance can accumulate.
	maxSavedRetries = 100
	// otherReason is the name of the counter for reasons without their own.
	otherReason = "other"
)

// retryReasons are the reasons for a retry that have their own counters.
var retryReasons = []string{
	string(endpoint.ReasonDial),
	string(endpoint.ReasonBusy),
	string(endpoint.ReasonErrorStatus),
	string(endpoint.ReasonReset),
	string(endpoint.ReasonNoProgress),
	string(endpoint.ReasonWrongID),
	string(endpoint.ReasonTruncated),
	string(endpoint.ReasonMalformed),
	otherReason,
}

var retryDescs, retryDeniedDescs = describeRetries()

// describeRetries returns the descriptions of the counters of allowed and of denied retries, by reason.
func describeRetries() (map[string]telemetry.Desc, map[string]telemetry.Desc) {
	allowed, denied := make(map[string]telemetry.Desc), make(map[string]telemetry.Desc)
	for _, r := range retryReasons {
		allowed[r] = telemetry.Describe("route.retry."+r, "retries", "Requests sent again for the reason in the name.")
		denied[r] = telemetry.Describe("route.retry_denied."+r, "retries",
			"Requests not sent again, for lack of retry budget, after the reason in the name.")
	}
	return allowed, denied
}

// RetryBudget limits retries to a percentage of the requests, so that failures do not multiply the load. It is safe for
// concurrent use.
type RetryBudget struct {
	percent int64
	// balance is in units of 1/retryCost retry.
	balance atomic.Int64
	allowed map[string]metrics.Counter
	denied  map[string]metrics.Counter
}

// NewRetryBudget returns a budget that allows percent retries per hundred requests, plus initialRetries.
func NewRetryBudget(percent uint32, registry metrics.Registry) *RetryBudget {
	b := &RetryBudget{percent: int64(percent), allowed: make(map[string]metrics.Counter), denied: make(map[string]metrics.Counter)}
	for _, r := range retryReasons {
		b.allowed[r] = retryDescs[r].Counter(registry)
		b.denied[r] = retryDeniedDescs[r].Counter(registry)
	}
	b.balance.Store(initialRetries * retryCost)
	return b
}

// RecordRequest adds the percentage for a new request to the balance. It must not be called for retries.
func (b *RetryBudget) RecordRequest() {
	for {
		balance := b.balance.Load()
		next := min(balance+b.percent, maxSavedRetries*retryCost)
		if next == balance || b.balance.CompareAndSwap(balance, next) {
			return
		}
	}
}

// AllowRetry deducts one retry for the given reason. It returns false if the balance does not cover it.
func (b *RetryBudget) AllowRetry(reason string) bool {
	if b.allowed[reason] == nil {
		reason = otherReason
	}
	for {
		balance := b.balance.Load()
		if balance < retryCost {
			b.denied[reason].Inc(1)
			return false
		}
		if b.balance.CompareAndSwap(balance, balance-retryCost) {
			b.allowed[reason].Inc(1)
			return true
		}
	}
}
