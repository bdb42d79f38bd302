package server

import (
	"github.com/rcrowley/go-metrics"

	"pumiceshelf/endpoint"
	"pumiceshelf/telemetry"
)

var (
	requestsDesc              = telemetry.Describe("server.requests", "requests", "Requests received, refused ones included.")
	completedDesc             = telemetry.Describe("server.answered", "requests", "Requests that got a whole answer.")
	replayedDesc              = telemetry.Describe("server.replayed", "requests", "Repeats that got the recorded answer of an earlier request.")
	unknownOutcomesDesc       = telemetry.Describe("server.unknown", "requests", "Requests that ended with the outcome unknown.")
	abortedStreamsDesc        = telemetry.Describe("server.streams_aborted", "streams", "Streams that were visibly aborted after pieces had been passed.")
	inProgressDesc            = telemetry.Describe("server.in_progress", "requests", "Requests in progress.")
	bodyBytesDesc             = telemetry.Describe("server.body_bytes", "bytes", "Bodies of requests in progress.")
	usageOverBoundDesc        = telemetry.Describe("server.usage_over_bound", "requests", "Requests whose engine reported more tokens than their bound; the bound was billed.")
	chargedAtBoundDesc        = telemetry.Describe("server.billed_at_bound", "requests", "Requests billed at their bound because the engine's usage is unknown.")
	finishedWithoutCallerDesc = telemetry.Describe("server.finished_without_caller", "requests", "Keyed non-idempotent requests that were finished after their caller went away.")
	deniedRetriesDesc         = telemetry.Describe("server.retry_budget_empty", "retries", "Retries not made because the retry budget was empty.")
	timeToDispatchDesc        = telemetry.Describe("server.time_to_dispatch", "nanoseconds", "Time from receipt to dispatch, waiting included.")
	timeToFirstTokenDesc      = telemetry.Describe("server.time_to_first_token", "nanoseconds", "Time from receipt to the first token passed to the caller.")
	timeToSettleDesc          = telemetry.Describe("server.time_to_settle", "nanoseconds", "Time that settling the budget and recording the outcome took before the last byte.")
	totalTimeDesc             = telemetry.Describe("server.time_total", "nanoseconds", "Time from receipt to the end of an answer.")
)

// retryDescs describes the retry counters by the reason for which the previous attempt failed.
var retryDescs = describeRetries()

func describeRetries() map[endpoint.Reason]telemetry.Desc {
	out := make(map[endpoint.Reason]telemetry.Desc)
	for _, r := range []endpoint.Reason{
		endpoint.ReasonDial, endpoint.ReasonBusy, endpoint.ReasonErrorStatus, endpoint.ReasonReset, endpoint.ReasonNoProgress,
		endpoint.ReasonWrongID, endpoint.ReasonTruncated, endpoint.ReasonMalformed, endpoint.ReasonOverCap,
	} {
		out[r] = telemetry.Describe("server.retry."+string(r), "retries", "Retries after an attempt that ended with "+string(r)+".")
	}
	return out
}

type serverMetrics struct {
	refused               map[Reason]metrics.Counter
	retries               map[endpoint.Reason]metrics.Counter
	requests              metrics.Counter
	completed             metrics.Counter
	replayed              metrics.Counter
	unknownOutcomes       metrics.Counter
	abortedStreams        metrics.Counter
	inProgress            metrics.Gauge
	bodyBytes             metrics.Gauge
	usageOverBound        metrics.Counter
	chargedAtBound        metrics.Counter
	finishedWithoutCaller metrics.Counter
	deniedRetries         metrics.Counter
	timeToDispatch        metrics.Timer
	timeToFirstToken      metrics.Timer
	timeToSettle          metrics.Timer
	totalTime             metrics.Timer
}

func newServerMetrics(r metrics.Registry) *serverMetrics {
	m := &serverMetrics{
		refused:               make(map[Reason]metrics.Counter),
		retries:               make(map[endpoint.Reason]metrics.Counter),
		requests:              requestsDesc.Counter(r),
		completed:             completedDesc.Counter(r),
		replayed:              replayedDesc.Counter(r),
		unknownOutcomes:       unknownOutcomesDesc.Counter(r),
		abortedStreams:        abortedStreamsDesc.Counter(r),
		inProgress:            inProgressDesc.Gauge(r),
		bodyBytes:             bodyBytesDesc.Gauge(r),
		usageOverBound:        usageOverBoundDesc.Counter(r),
		chargedAtBound:        chargedAtBoundDesc.Counter(r),
		finishedWithoutCaller: finishedWithoutCallerDesc.Counter(r),
		deniedRetries:         deniedRetriesDesc.Counter(r),
		timeToDispatch:        timeToDispatchDesc.Timer(r),
		timeToFirstToken:      timeToFirstTokenDesc.Timer(r),
		timeToSettle:          timeToSettleDesc.Timer(r),
		totalTime:             totalTimeDesc.Timer(r),
	}
	for reason, i := range reasons {
		m.refused[reason] = i.desc.Counter(r)
	}
	for reason, d := range retryDescs {
		m.retries[reason] = d.Counter(r)
	}
	return m
}
