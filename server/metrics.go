package server

import (
	"github.com/rcrowley/go-metrics"

	"pumiceshelf/endpoint"
	"pumiceshelf/telemetry"
)

var (
	requestsDesc   = telemetry.Describe("server.requests", "requests", "Requests received, refused ones included.")
	answeredDesc   = telemetry.Describe("server.answered", "requests", "Requests that got a whole answer.")
	replayedDesc   = telemetry.Describe("server.replayed", "requests", "Repeats that got the recorded answer of an earlier request.")
	unknownDesc    = telemetry.Describe("server.unknown", "requests", "Requests that ended with the outcome unknown.")
	abortedDesc    = telemetry.Describe("server.streams_aborted", "streams", "Streams that were visibly aborted after pieces had been passed.")
	inProgressDesc = telemetry.Describe("server.in_progress", "requests", "Requests in progress.")
	bodyBytesDesc  = telemetry.Describe("server.body_bytes", "bytes", "Bodies of requests in progress.")
	overBoundDesc  = telemetry.Describe("server.usage_over_bound", "requests", "Requests whose engine reported more tokens than their bound; the bound was billed.")
	atBoundDesc    = telemetry.Describe("server.billed_at_bound", "requests", "Requests billed at their bound because the engine's usage is unknown.")
	detachedDesc   = telemetry.Describe("server.finished_without_caller", "requests", "Keyed non-idempotent requests that were finished after their caller went away.")
	noRetryDesc    = telemetry.Describe("server.retry_budget_empty", "retries", "Retries not made because the retry budget was empty.")
	dispatchDesc   = telemetry.Describe("server.time_to_dispatch", "nanoseconds", "Time from receipt to dispatch, waiting included.")
	firstDesc      = telemetry.Describe("server.time_to_first_token", "nanoseconds", "Time from receipt to the first token passed to the caller.")
	closeDesc      = telemetry.Describe("server.time_to_settle", "nanoseconds", "Time that settling the budget and recording the outcome took before the last byte.")
	totalDesc      = telemetry.Describe("server.time_total", "nanoseconds", "Time from receipt to the end of an answer.")
)

// retryDescs holds the retries by the reason of the attempt before.
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

type meters struct {
	refused    map[Reason]metrics.Counter
	retries    map[endpoint.Reason]metrics.Counter
	requests   metrics.Counter
	answered   metrics.Counter
	replayed   metrics.Counter
	unknown    metrics.Counter
	aborted    metrics.Counter
	inProgress metrics.Gauge
	bodyBytes  metrics.Gauge
	overBound  metrics.Counter
	atBound    metrics.Counter
	detached   metrics.Counter
	noRetry    metrics.Counter
	dispatch   metrics.Timer
	first      metrics.Timer
	close      metrics.Timer
	total      metrics.Timer
}

func newMeters(r metrics.Registry) *meters {
	m := &meters{
		refused:    make(map[Reason]metrics.Counter),
		retries:    make(map[endpoint.Reason]metrics.Counter),
		requests:   requestsDesc.Counter(r),
		answered:   answeredDesc.Counter(r),
		replayed:   replayedDesc.Counter(r),
		unknown:    unknownDesc.Counter(r),
		aborted:    abortedDesc.Counter(r),
		inProgress: inProgressDesc.Gauge(r),
		bodyBytes:  bodyBytesDesc.Gauge(r),
		overBound:  overBoundDesc.Counter(r),
		atBound:    atBoundDesc.Counter(r),
		detached:   detachedDesc.Counter(r),
		noRetry:    noRetryDesc.Counter(r),
		dispatch:   dispatchDesc.Timer(r),
		first:      firstDesc.Timer(r),
		close:      closeDesc.Timer(r),
		total:      totalDesc.Timer(r),
	}
	for reason, i := range reasons {
		m.refused[reason] = i.desc.Counter(r)
	}
	for reason, d := range retryDescs {
		m.retries[reason] = d.Counter(r)
	}
	return m
}
