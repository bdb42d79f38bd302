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
	"pumiceshelf/story"
	"pumiceshelf/telemetry"
)

// Policy names a way to size leases and to let holders spend from them.
type Policy string

// Policies. The empty policy is PolicySealed.
const (
	// PolicySealed takes large leases. Spending above the ceiling needs the acknowledgement of a witness.
	PolicySealed Policy = "sealed"
	// PolicySmall takes small leases that can be spent as they are.
	PolicySmall Policy = "small"
	// PolicyWriteOff takes large leases that can be spent as they are. A crash writes them off.
	PolicyWriteOff Policy = "write-off"
)

// ResolveFunc asks the engines what a request used, and cancels it. It returns false when no engine knows.
type ResolveFunc func(ctx context.Context, requestID, model string) (prompt, generated budget.Tokens, known bool)

// Config of a Manager. Resolve, Stories and Repairs may be nil.
type Config struct {
	Settings *api.BudgetSettings
	Self     *api.Instance
	Clock    clockwork.Clock
	Log      log.Interface
	Metrics  metrics.Registry
	Store    objectstore.Store
	View     peer.View
	Conns    peer.Conns
	Bundles  bundle.Source
	Stories  *story.Store
	Repairs  *telemetry.Repairs
	Resolve  ResolveFunc
	Policy   Policy
}

const (
	// callTimeout bounds one call to another instance.
	callTimeout = time.Second
	// storeTimeout bounds one call to the platform.
	storeTimeout = 3 * time.Second
	// tickDivisor is how many ticks make a flush interval.
	tickDivisor = 4
	// recordInterval is how many flush intervals pass between two usage segments. Entry instances keep their settlements
	// until the segment is durable.
	recordInterval = 5
	// settledInterval is how many flush intervals pass between writes that only bring the ledger up to date.
	settledInterval = 10
	// settledPerLedger is how many flush intervals pass between two such writes of an instance, whatever the ledger.
	settledPerLedger = 2
	// idleAfter is how long a lease is kept without use.
	idleAfter = 2 * time.Minute
	// strangerKeep is how long an instance that is not the owner of a budget keeps a lease without use.
	strangerKeep = 5 * time.Second
	// avoidFor is how long a holder that did not answer is passed over.
	avoidFor = 2 * time.Second
	// witnessCount is the number of witnesses of a lease. Any one acknowledges, all must seal.
	witnessCount = 2
	// firstLeaseRequests sizes a lease before any demand was seen, in requests of the first one's bound.
	firstLeaseRequests = 32
	// refillPart is the part of its target by which a lease that has fallen below it is taken over it, so that it is not
	// taken up again at once.
	refillPart = 4
	// smallLeaseTime sizes leases of PolicySmall at the current demand.
	smallLeaseTime = 5 * time.Second
	// conflictLimit is how often an update is tried again at once after a conflict.
	conflictLimit = 8
	// closedLeaseLimit bounds the closed leases listed per budget.
	closedLeaseLimit = 64
	// recentLimit and recentKeep bound the memory of settled requests per budget.
	recentLimit = 8192
	recentKeep  = 10 * time.Minute
	// platformRetryAfter is when a request refused for lack of the platform may be tried again.
	platformRetryAfter = 2 * time.Second
	// orphanDivisor is how many looks at old reservations make the time after which they are orphans.
	orphanDivisor = 3
	// recordKeep is how long settlements are kept for a holder that is missing.
	recordKeep = time.Hour
	// syncFor is how long the ledgers of reclaimed leases are brought up to date at each fold.
	syncFor = 2 * time.Minute
	// batchLimit bounds the items of one message.
	batchLimit = 512
	// writeLimit bounds the ledgers written side by side.
	writeLimit = 16
)

func (c Config) flushInterval() time.Duration { return c.Settings.FlushInterval.AsDuration() }
func (c Config) settleWait() time.Duration    { return c.Settings.SettleWait.AsDuration() }
func (c Config) ceilingAhead() time.Duration  { return c.Settings.CeilingAhead.AsDuration() }
func (c Config) outage() time.Duration        { return c.Settings.OutageToRideOut.AsDuration() }
func (c Config) foldInterval() time.Duration  { return c.Settings.FoldInterval.AsDuration() }
func (c Config) orphanAfter() time.Duration   { return c.Settings.OrphanAfter.AsDuration() }

// leaseTime is the demand that a lease is sized for.
func (c Config) leaseTime() time.Duration {
	if c.Policy == PolicySmall {
		return smallLeaseTime
	}
	return c.outage()
}

// acknowledges says whether spending above the ceiling is possible.
func (c Config) acknowledges() bool { return c.Policy != PolicySmall && c.Policy != PolicyWriteOff }
