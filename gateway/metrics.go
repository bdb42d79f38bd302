package gateway

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"pumiceshelf/telemetry"
)

var (
	descRequests = telemetry.Describe("gateway.requests", "requests", "Requests of callers.")
	descAnswered = telemetry.Describe("gateway.answered", "requests", "Requests that got an endpoint's whole answer.")
	descAttempts = telemetry.Describe("gateway.attempts", "requests", "Requests sent to endpoints, repeats included.")
	descTotal    = telemetry.Describe("gateway.latency.total", "nanoseconds", "Time to the end of an endpoint's whole answer.")
	descFirst    = telemetry.Describe("gateway.latency.first_event", "nanoseconds", "Time to the first event of a stream.")
)

// reasons are those that requests end or are repeated for.
var reasons = []reason{
	reasonStarting, reasonNoRoute, reasonUnknownKey, reasonMalformed, reasonTooLarge, reasonBodyCut, reasonExhausted,
	reasonBudgetAway, reasonNoEndpoint, reasonOverloaded, reasonBusy, reasonUnreachable, reasonLost, reasonCrossed, reasonSilent, reasonCut, reasonTimeout,
	reasonCallerLeft, reasonEndpointFailed, reasonMoved,
}

var descEnded, descRepeated = describeReasons()

func describeReasons() (ended, repeated map[reason]telemetry.Desc) {
	ended, repeated = make(map[reason]telemetry.Desc), make(map[reason]telemetry.Desc)
	for _, r := range reasons {
		ended[r] = telemetry.Describe("gateway.ended."+string(r), "requests", "Requests that ended without a whole answer for the reason in the name.")
		repeated[r] = telemetry.Describe("gateway.repeated."+string(r), "requests", "Requests sent to another endpoint for the reason in the name.")
	}
	return ended, repeated
}

type counters struct {
	requests, answered, attempts metrics.Counter
	total, first                 metrics.Timer
	ended, repeated              map[reason]metrics.Counter
}

func newCounters(r metrics.Registry) *counters {
	c := &counters{
		requests: descRequests.Counter(r), answered: descAnswered.Counter(r), attempts: descAttempts.Counter(r),
		total: descTotal.Timer(r), first: descFirst.Timer(r),
		ended: make(map[reason]metrics.Counter), repeated: make(map[reason]metrics.Counter),
	}
	for _, why := range reasons {
		c.ended[why] = descEnded[why].Counter(r)
		c.repeated[why] = descRepeated[why].Counter(r)
	}
	return c
}

// observe counts how a request ended.
func (c *counters) observe(why reason, total, first time.Duration) {
	c.requests.Inc(1)
	if first > 0 {
		c.first.Update(first)
	}
	if why != reasonNone {
		c.ended[why].Inc(1)
		return
	}
	c.answered.Inc(1)
	c.total.Update(total)
}
