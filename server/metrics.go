package server

import (
	"github.com/rcrowley/go-metrics"

	"pumiceshelf/endpoint"
	"pumiceshelf/telemetry"
)

var (
	descRequests              = telemetry.Describe("server.requests", "requests", "Requests received, refused ones included.")
	descCompleted             = telemetry.Describe("server.answered", "requests", "Requests that got a whole answer.")
	descReplayed              = telemetry.Describe("server.replayed", "requests", "Repeats that got the recorded answer of an earlier request.")
	descUnknownOutcomes       = telemetry.Describe("server.unknown", "requests", "Requests that ended with the outcome unknown.")
	descAbortedStreams        = telemetry.Describe("server.streams_aborted", "streams", "Streams that were visibly aborted after pieces had been passed.")
	descInProgress            = telemetry.Describe("server.in_progress", "requests", "Requests in progress.")
	descBodyBytes             = telemetry.Describe("server.body_bytes", "bytes", "Bodies of requests in progress.")
	descUsageOverBound        = telemetry.Describe("server.usage_over_bound", "requests", "Requests whose engine reported more tokens than their bound; the bound was billed.")
	descChargedAtBound        = telemetry.Describe("server.billed_at_bound", "requests", "Requests billed at their bound because the engine's usage is unknown.")
	descFinishedWithoutCaller = telemetry.Describe("server.finished_without_caller", "requests", "Keyed non-idempotent requests that were finished after their caller went away.")
	descDeniedRetries         = telemetry.Describe("server.retry_budget_empty", "retries", "Retries not made because the retry budget was empty.")
	descTimeToDispatch        = telemetry.Describe("server.time_to_dispatch", "nanoseconds", "Time from receipt to dispatch, waiting included.")
	descTimeToFirstToken      = telemetry.Describe("server.time_to_first_token", "nanoseconds", "Time from receipt to the first token passed to the caller.")
	descTimeToSettle          = telemetry.Describe("server.time_to_settle", "nanoseconds", "Time that settling the budget and recording the outcome took before the last byte.")
	descTotalTime             = telemetry.Describe("server.time_total", "nanoseconds", "Time from receipt to the end of an answer.")
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
		requests:              descRequests.Counter(r),
		completed:             descCompleted.Counter(r),
		replayed:              descReplayed.Counter(r),
		unknownOutcomes:       descUnknownOutcomes.Counter(r),
		abortedStreams:        descAbortedStreams.Counter(r),
		inProgress:            descInProgress.Gauge(r),
		bodyBytes:             descBodyBytes.Gauge(r),
		usageOverBound:        descUsageOverBound.Counter(r),
		chargedAtBound:        descChargedAtBound.Counter(r),
		finishedWithoutCaller: descFinishedWithoutCaller.Counter(r),
		deniedRetries:         descDeniedRetries.Counter(r),
		timeToDispatch:        descTimeToDispatch.Timer(r),
		timeToFirstToken:      descTimeToFirstToken.Timer(r),
		timeToSettle:          descTimeToSettle.Timer(r),
		totalTime:             descTotalTime.Timer(r),
	}
	for reason, i := range reasons {
		m.refused[reason] = i.desc.Counter(r)
	}
	for reason, d := range retryDescs {
		m.retries[reason] = d.Counter(r)
	}
	return m
}
