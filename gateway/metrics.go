package gateway

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"pumiceshelf/telemetry"
)

var (
	descRequests          = telemetry.Describe("gateway.requests", "requests", "Requests of callers.")
	descCompleted         = telemetry.Describe("gateway.answered", "requests", "Requests that got an endpoint's whole answer.")
	descAttempts          = telemetry.Describe("gateway.attempts", "requests", "Requests sent to endpoints, repeats included.")
	descLimited           = telemetry.Describe("gateway.attempts.limited", "requests", "Requests sent to endpoints that limit their request rate.")
	descCold              = telemetry.Describe("gateway.attempts.cold", "requests", "Requests sent to cold endpoints, within the rate that they handle.")
	descCrashes           = telemetry.Describe("gateway.endpoint_crashes", "crashes", "Endpoint processes found to have ended while requests waited for their first event.")
	descDelegated         = telemetry.Describe("gateway.delegated", "requests", "Requests that another instance answered because their service was out of reach.")
	descProcessConfirmed  = telemetry.Describe("gateway.processes.confirmed", "reports", "Endpoints that were asked which process they are, and confirmed their entry.")
	descProcessOther      = telemetry.Describe("gateway.processes.other", "reports", "Endpoints that were asked which process they are, and are another one than their entry says.")
	descProcessUnknown    = telemetry.Describe("gateway.processes.unknown", "reports", "Endpoints that were asked which process they are, and did not say.")
	descTotalLatency      = telemetry.Describe("gateway.latency.total", "nanoseconds", "Time to the end of an endpoint's whole answer.")
	descFirstEventLatency = telemetry.Describe("gateway.latency.first_event", "nanoseconds", "Time to the first event of a stream.")
)

// allReasons lists every reason for which a request ends without a complete response or is retried.
var allReasons = []reason{
	reasonNoConfiguration, reasonUnconfirmed, reasonNoRoute, reasonUnknownKey, reasonMalformed, reasonTooLarge, reasonBodyTruncated,
	reasonBudgetExhausted, reasonBudgetUnavailable, reasonBudgetRationed, reasonBudgetContended, reasonNoEndpoint, reasonOverloaded, reasonEndpointsBusy, reasonEndpointsPaused, reasonEvacuated,
	reasonRateLimited, reasonNoRoom, reasonOriginUnknown, reasonVersionUnavailable,
	reasonUnreachable, reasonLinkBusy, reasonResponseLost, reasonResponseMismatch, reasonUnresponsive, reasonResponseTruncated,
	reasonTimeout, reasonCallerCanceled, reasonEndpointFailed, reasonMisdirected, reasonMemoryFull, reasonStopping, reasonQuarantinedPrompt,
	reasonQuarantinedRequest,
}

var descEnded, descRetried = describeReasons()

func describeReasons() (ended, retried map[reason]telemetry.Desc) {
	ended, retried = make(map[reason]telemetry.Desc), make(map[reason]telemetry.Desc)
	for _, r := range allReasons {
		ended[r] = telemetry.Describe("gateway.ended."+string(r), "requests", "Requests that ended without a whole answer for the reason in the name.")
		retried[r] = telemetry.Describe("gateway.repeated."+string(r), "requests", "Requests sent to another endpoint for the reason in the name.")
	}
	return ended, retried
}

type gatewayMetrics struct {
	requests, completed, attempts metrics.Counter
	limited, cold                 metrics.Counter
	crashes, delegated            metrics.Counter
	// These count the questions to endpoints which process they are, by the answer.
	processesConfirmed, processesOther, processesUnknown metrics.Counter
	totalLatency, firstEventLatency                      metrics.Timer
	ended, retried                                       map[reason]metrics.Counter
}

func newGatewayMetrics(r metrics.Registry) *gatewayMetrics {
	m := &gatewayMetrics{
		requests: descRequests.Counter(r), completed: descCompleted.Counter(r), attempts: descAttempts.Counter(r), limited: descLimited.Counter(r), cold: descCold.Counter(r),
		crashes: descCrashes.Counter(r), delegated: descDelegated.Counter(r),
		processesConfirmed: descProcessConfirmed.Counter(r), processesOther: descProcessOther.Counter(r), processesUnknown: descProcessUnknown.Counter(r),
		totalLatency: descTotalLatency.Timer(r), firstEventLatency: descFirstEventLatency.Timer(r),
		ended: make(map[reason]metrics.Counter), retried: make(map[reason]metrics.Counter),
	}
	for _, endReason := range allReasons {
		m.ended[endReason] = descEnded[endReason].Counter(r)
		m.retried[endReason] = descRetried[endReason].Counter(r)
	}
	return m
}

// observe records the outcome and the latencies of a finished request. firstEvent is zero if no stream was started.
func (m *gatewayMetrics) observe(endReason reason, total, firstEvent time.Duration) {
	m.requests.Inc(1)
	if firstEvent > 0 {
		m.firstEventLatency.Update(firstEvent)
	}
	if endReason != reasonNone {
		m.ended[endReason].Inc(1)
		return
	}
	m.completed.Inc(1)
	m.totalLatency.Update(total)
}
