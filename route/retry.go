package route

import (
	"sync/atomic"

	"github.com/rcrowley/go-metrics"

	"pumiceshelf/endpoint"
	"pumiceshelf/telemetry"
)

const (
	// retryUnit is one retry in the budget's account, so that a share of a retry can be earned.
	retryUnit = 100
	// retryFloor is how many retries may go before any is earned, so that quiet instances retry too.
	retryFloor = 10
	// retrySaved bounds the retries kept for later.
	retrySaved = 100
	// otherReason counts reasons that have no counter of their own.
	otherReason = "other"
)

// retryReasons are the reasons that a request is sent again for.
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

func describeRetries() (map[string]telemetry.Desc, map[string]telemetry.Desc) {
	made, denied := make(map[string]telemetry.Desc), make(map[string]telemetry.Desc)
	for _, r := range retryReasons {
		made[r] = telemetry.Describe("route.retry."+r, "retries", "Requests sent again for the reason in the name.")
		denied[r] = telemetry.Describe("route.retry_denied."+r, "retries",
			"Requests not sent again, for lack of retry budget, after the reason in the name.")
	}
	return made, denied
}

// RetryBudget allows retries up to a share of the requests, so that failures do not multiply the load. It is safe for
// concurrent use.
type RetryBudget struct {
	percent int64
	account atomic.Int64
	made    map[string]metrics.Counter
	denied  map[string]metrics.Counter
}

// NewRetryBudget returns a budget of percent retries per hundred requests, with a few to begin with.
func NewRetryBudget(percent uint32, registry metrics.Registry) *RetryBudget {
	b := &RetryBudget{percent: int64(percent), made: make(map[string]metrics.Counter), denied: make(map[string]metrics.Counter)}
	for _, r := range retryReasons {
		b.made[r] = retryDescs[r].Counter(registry)
		b.denied[r] = retryDeniedDescs[r].Counter(registry)
	}
	b.account.Store(retryFloor * retryUnit)
	return b
}

// Earn counts a new request, not a retry.
func (b *RetryBudget) Earn() {
	for {
		had := b.account.Load()
		has := min(had+b.percent, retrySaved*retryUnit)
		if has == had || b.account.CompareAndSwap(had, has) {
			return
		}
	}
}

// Spend takes one retry for a reason. It returns false when the budget has none.
func (b *RetryBudget) Spend(reason string) bool {
	if b.made[reason] == nil {
		reason = otherReason
	}
	for {
		had := b.account.Load()
		if had < retryUnit {
			b.denied[reason].Inc(1)
			return false
		}
		if b.account.CompareAndSwap(had, had-retryUnit) {
			b.made[reason].Inc(1)
			return true
		}
	}
}
