package orders

import (
	"github.com/rcrowley/go-metrics"

	"pumiceshelf/telemetry"
)

var (
	descAccepted   = telemetry.Describe("orders.given", "orders", "Orders that engines accepted.")
	descFailed     = telemetry.Describe("orders.failed", "orders", "Orders that could not be given; they are repeated.")
	descStaleFence = telemetry.Describe("orders.refused.stale_fence", "orders", "Orders that engines refused for an old fencing number.")
	descSuperseded = telemetry.Describe("orders.withheld.superseded", "orders",
		"Orders withheld because the bundle, the owner or the lease changed before they were sent.")
	descChecksExpired = telemetry.Describe("orders.withheld.late", "orders",
		"Orders withheld because too much time had passed since the checks before them, as after a pause.")
	descWaitingForSlot = telemetry.Describe("orders.withheld.slot", "orders",
		"Orders withheld because as many endpoints were loading as may at once.")
	descWaitingForReplica = telemetry.Describe("orders.withheld.replica", "orders",
		"Orders withheld because they would have taken a model's last loaded endpoint.")
	descStoreUnavailable = telemetry.Describe("orders.withheld.platform", "rounds",
		"Rounds that gave no orders because the platform could not be reached.")
	descLeasesAcquired = telemetry.Describe("orders.leases_taken", "leases", "Times this instance took the lease of its domain's orders.")
	descOutdated       = telemetry.Describe("orders.behind", "endpoints", "Managed endpoints of the domain that are not as the bundle wants.")
)

// counters holds the metrics of a Reconciler.
type counters struct {
	accepted, failed, staleFence, superseded, checksExpired, waitingForSlot, waitingForReplica, storeUnavailable, leasesAcquired metrics.Counter
	outdated                                                                                                                     metrics.Gauge
}

func newCounters(r metrics.Registry) *counters {
	return &counters{
		accepted: descAccepted.Counter(r), failed: descFailed.Counter(r), staleFence: descStaleFence.Counter(r),
		superseded: descSuperseded.Counter(r), checksExpired: descChecksExpired.Counter(r), waitingForSlot: descWaitingForSlot.Counter(r),
		waitingForReplica: descWaitingForReplica.Counter(r), storeUnavailable: descStoreUnavailable.Counter(r), leasesAcquired: descLeasesAcquired.Counter(r),
		outdated: descOutdated.Gauge(r),
	}
}
