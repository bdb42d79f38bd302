package intake

import (
	"github.com/rcrowley/go-metrics"

	"pumiceshelf/telemetry"
)

var (
	descClosed      = telemetry.Describe("intake.connections.closed", "connections", "Idle or stalled connections closed because a listener had as many as it may.")
	descRefused     = telemetry.Describe("intake.connections.refused", "connections", "New connections closed because all others of a listener were in use.")
	descBytes       = telemetry.Describe("intake.bodies.bytes", "bytes", "Memory held by the bodies of requests.")
	descYielded     = telemetry.Describe("intake.bodies.yielded", "requests", "Requests refused because their bodies gave way to others.")
	descBodyRefused = telemetry.Describe("intake.bodies.refused", "requests", "Requests refused because bodies held as much memory as they may.")
)

type connMetrics struct{ closed, refused metrics.Counter }

func newConnMetrics(r metrics.Registry) connMetrics {
	return connMetrics{closed: descClosed.Counter(r), refused: descRefused.Counter(r)}
}

type bodyMetrics struct {
	bytes            metrics.Gauge
	yielded, refused metrics.Counter
}

func newBodyMetrics(r metrics.Registry) bodyMetrics {
	return bodyMetrics{bytes: descBytes.Gauge(r), yielded: descYielded.Counter(r), refused: descBodyRefused.Counter(r)}
}
