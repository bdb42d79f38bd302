package quota

import (
	"context"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"

	"pumiceshelf/api"
	"pumiceshelf/budget"
	"pumiceshelf/bundle"
	"pumiceshelf/objectstore"
	"pumiceshelf/peer"
	"pumiceshelf/telemetry"
	"pumiceshelf/trace"
)

// Policy selects how leases are sized and how much of a lease its holder may spend without a witness.
type Policy string

// Policies. The empty policy is PolicySealed.
const (
	// PolicySealed uses large leases. Spending above the ceiling requires an acknowledgement by a witness.
	PolicySealed Policy = "sealed"
	// PolicySmall uses small leases that can be spent in full without a witness.
	PolicySmall Policy = "small"
	// PolicyWriteOff uses large leases that can be spent in full without a witness. When the holder crashes, the whole
	// lease is written off.
	PolicyWriteOff Policy = "write-off"
)

// ResolveUsageFunc queries the engines for the usage of a request and cancels the request. known is false if no engine
// knows the request.
type ResolveUsageFunc func(ctx context.Context, requestID, model string) (prompt, generated budget.Tokens, known bool)

// Config configures a Manager. ResolveUsage, Traces and Repairs may be nil.
type Config struct {
	Settings     *api.BudgetSettings
	Self         *api.Instance
	Clock        clockwork.Clock
	Log          log.Interface
	Metrics      metrics.Registry
	Store        objectstore.Store
	View         peer.View
	Conns        peer.Conns
	Bundles      bundle.Source
	Traces       *trace.Store
	Repairs      *telemetry.Repairs
	ResolveUsage ResolveUsageFunc
	Policy       Policy
}

const (
	// peerCallTimeout bounds one call to another instance.
	peerCallTimeout = time.Second
	// storeTimeout bounds one call to the object store.
	storeTimeout = 3 * time.Second
	// ticksPerFlush is the number of ticks per flush interval.
	ticksPerFlush = 4
	// segmentWriteFlushes is the number of flush intervals between two usage segments. Entry instances keep their
	// settlements until the segment is durable.
	segmentWriteFlushes = 5
	// routineWriteFlushes is the minimum number of flush intervals between routine writes of a ledger, which no request
	// waits for.
	routineWriteFlushes = 10
	// routineWriteFlushesPerLedger is the number of flush intervals between routine writes per ledger in use: it bounds an
	// instance's routine writes over all its ledgers.
	routineWriteFlushesPerLedger = 2
	// idleLeaseTimeout is how long an unused lease is kept.
	idleLeaseTimeout = 2 * time.Minute
	// nonOwnerLeaseTimeout is how long an instance that does not own the budget keeps an unused lease.
	nonOwnerLeaseTimeout = 5 * time.Second
	// holderBackoff is how long no reservations are sent to a holder after it failed to respond.
	holderBackoff = 2 * time.Second
	// witnessesPerLease is the number of witnesses of a lease. An acknowledgement by one of them is sufficient; a reclaim
	// requires all of them to seal.
	witnessesPerLease = 2
	// minLeaseRequests is the minimum target for the unused tokens of a lease, in requests with the largest recent bound. It
	// applies while demand is unknown or low, but not to PolicySmall.
	minLeaseRequests = 32
	// refillDivisor sets the refill margin: a lease below its target is refilled to the target plus 1/refillDivisor of it,
	// so that it is not refilled again immediately.
	refillDivisor = 4
	// smallLeaseCoverage is how long a lease of PolicySmall lasts at the current demand.
	smallLeaseCoverage = 5 * time.Second
	// maxUpdateAttempts bounds the attempts of one ledger update under conflicts.
	maxUpdateAttempts = 8
	// maxClosedLeases bounds the closed leases listed per budget.
	maxClosedLeases = 64
	// maxRecentRequests and recentRequestRetention bound the settled request IDs that are kept per budget.
	maxRecentRequests      = 8192
	recentRequestRetention = 10 * time.Minute
	// storeRetryAfter is the retry delay returned with refusals caused by an unavailable object store.
	storeRetryAfter = 2 * time.Second
	// orphanChecksPerTimeout is the number of checks of old reservations within the time after which they are orphans.
	orphanChecksPerTimeout = 3
	// settlementRetention is how long settlements are kept for a missing holder.
	settlementRetention = time.Hour
	// reclaimSyncPeriod is how long after a reclaim the customer's usage records are applied to its ledger at each fold.
	reclaimSyncPeriod = 2 * time.Minute
	// maxBatchItems bounds the items of one message.
	maxBatchItems = 512
	// maxConcurrentWrites bounds the ledgers written concurrently.
	maxConcurrentWrites = 16
)

func (c Config) flushInterval() time.Duration { return c.Settings.FlushInterval.AsDuration() }
func (c Config) settleWait() time.Duration    { return c.Settings.SettleWait.AsDuration() }
func (c Config) ceilingAhead() time.Duration  { return c.Settings.CeilingAhead.AsDuration() }
func (c Config) coveredOutage() time.Duration { return c.Settings.OutageToRideOut.AsDuration() }
func (c Config) foldInterval() time.Duration  { return c.Settings.FoldInterval.AsDuration() }
func (c Config) orphanAfter() time.Duration   { return c.Settings.OrphanAfter.AsDuration() }

// leaseCoverage returns how long a lease lasts at the current demand.
func (c Config) leaseCoverage() time.Duration {
	if c.Policy == PolicySmall {
		return smallLeaseCoverage
	}
	return c.coveredOutage()
}

// usesWitnesses reports whether leases have witnesses, whose acknowledgements allow spending above the ceiling.
func (c Config) usesWitnesses() bool { return c.Policy != PolicySmall && c.Policy != PolicyWriteOff }
