package orders

import (
	"github.com/rcrowley/go-metrics"

	"pumiceshelf/telemetry"
)

var (
	descGiven      = telemetry.Describe("orders.given", "orders", "Orders that engines accepted.")
	descFailed     = telemetry.Describe("orders.failed", "orders", "Orders that could not be given; they are repeated.")
	descStale      = telemetry.Describe("orders.refused.stale_fence", "orders", "Orders that engines refused for an old fencing number.")
	descSuperseded = telemetry.Describe("orders.withheld.superseded", "orders",
		"Orders withheld because the bundle, the owner or the lease changed before they were sent.")
	descLate = telemetry.Describe("orders.withheld.late", "orders",
		"Orders withheld because too much time had passed since the checks before them, as after a pause.")
	descSlot = telemetry.Describe("orders.withheld.slot", "orders",
		"Orders withheld because as many endpoints were loading as may at once.")
	descReplica = telemetry.Describe("orders.withheld.replica", "orders",
		"Orders withheld because they would have taken a model's last loaded endpoint.")
	descPlatform = telemetry.Describe("orders.withheld.platform", "rounds",
		"Rounds that gave no orders because the platform could not be reached.")
	descTaken  = telemetry.Describe("orders.leases_taken", "leases", "Times this instance took the lease of its domain's orders.")
	descBehind = telemetry.Describe("orders.behind", "endpoints", "Managed endpoints of the domain that are not as the bundle wants.")
)

// meters are the reconciler's metrics.
type meters struct {
	given, failed, stale, superseded, late, slot, replica, platform, taken metrics.Counter
	behind                                                                 metrics.Gauge
}

func newMeters(r metrics.Registry) *meters {
	return &meters{
		given: descGiven.Counter(r), failed: descFailed.Counter(r), stale: descStale.Counter(r),
		superseded: descSuperseded.Counter(r), late: descLate.Counter(r), slot: descSlot.Counter(r),
		replica: descReplica.Counter(r), platform: descPlatform.Counter(r), taken: descTaken.Counter(r),
		behind: descBehind.Gauge(r),
	}
}
