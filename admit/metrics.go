package admit

import (
	"github.com/rcrowley/go-metrics"

	"pumiceshelf/telemetry"
)

var (
	descAdmitted  = telemetry.Describe("admit.admitted", "requests", "Requests that got a place at an endpoint.")
	descQueueFull = telemetry.Describe("admit.refused.queue_full", "requests",
		"Requests refused because the queue of their model and class was full.")
	descBytesFull = telemetry.Describe("admit.refused.bytes_full", "requests",
		"Requests refused because waiting requests held too many bytes.")
	descTooLate = telemetry.Describe("admit.refused.too_late", "requests",
		"Requests refused because their deadline could not be met.")
	descDisplaced = telemetry.Describe("admit.refused.displaced", "requests",
		"Waiting requests refused because their place went to one that goes before them.")
	descCanceled   = telemetry.Describe("admit.refused.canceled", "requests", "Waiting requests whose caller went away.")
	descNoCapacity = telemetry.Describe("admit.refused.no_capacity", "requests",
		"Requests refused because no endpoint could run them.")
	descWaiting = telemetry.Describe("admit.waiting", "requests", "Requests that wait now.")
	descBytes   = telemetry.Describe("admit.waiting_bytes", "bytes", "Bytes held by requests that wait now.")
	descWait    = telemetry.Describe("admit.wait", "nanoseconds", "Time that admitted requests waited.")
)

// counters holds the metrics of a Controller.
type counters struct {
	outcomes [NoCapacity + 1]metrics.Counter
	waiting  metrics.Gauge
	bytes    metrics.Gauge
	wait     metrics.Timer
}

func newCounters(r metrics.Registry) *counters {
	m := &counters{waiting: descWaiting.Gauge(r), bytes: descBytes.Gauge(r), wait: descWait.Timer(r)}
	m.outcomes[Admitted] = descAdmitted.Counter(r)
	m.outcomes[QueueFull] = descQueueFull.Counter(r)
	m.outcomes[BytesFull] = descBytesFull.Counter(r)
	m.outcomes[TooLate] = descTooLate.Counter(r)
	m.outcomes[Displaced] = descDisplaced.Counter(r)
	m.outcomes[Canceled] = descCanceled.Counter(r)
	m.outcomes[NoCapacity] = descNoCapacity.Counter(r)
	return m
}
