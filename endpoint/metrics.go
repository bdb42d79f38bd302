package endpoint

import (
	"github.com/rcrowley/go-metrics"

	"pumiceshelf/telemetry"
)

var failedDescs = map[Reason]telemetry.Desc{
	ReasonDial:           telemetry.Describe("endpoint.failed.dial_failed", "calls", "Calls to endpoints that could not be connected; nothing was sent."),
	ReasonBusy:           telemetry.Describe("endpoint.failed.endpoint_busy", "calls", "Calls that an endpoint refused without running them."),
	ReasonRejected:       telemetry.Describe("endpoint.failed.endpoint_rejected", "calls", "Model calls that an engine refused as wrong, without running them."),
	ReasonErrorStatus:    telemetry.Describe("endpoint.failed.endpoint_error", "calls", "Calls answered with an error status and no word on whether they ran."),
	ReasonReset:          telemetry.Describe("endpoint.failed.connection_reset", "calls", "Calls whose connection ended before any answer."),
	ReasonNoProgress:     telemetry.Describe("endpoint.failed.no_progress", "calls", "Calls given up for missing progress."),
	ReasonWrongID:        telemetry.Describe("endpoint.failed.answer_of_other_request", "calls", "Calls answered with the id of another request; the answer was dropped."),
	ReasonTruncated:      telemetry.Describe("endpoint.failed.answer_truncated", "calls", "Calls whose answer ended before its end marker or length."),
	ReasonMalformed:      telemetry.Describe("endpoint.failed.answer_malformed", "calls", "Calls whose answer is not the protocol or over its size limits."),
	ReasonCallerCanceled: telemetry.Describe("endpoint.failed.caller_gone", "calls", "Calls canceled because the caller went away."),
	ReasonDeadline:       telemetry.Describe("endpoint.failed.deadline_passed", "calls", "Calls canceled at the request's deadline."),
	ReasonOverCap:        telemetry.Describe("endpoint.failed.over_token_cap", "calls", "Calls canceled because the engine generated past the cap."),
}

var (
	interruptedDescs = map[Reason]telemetry.Desc{
		ReasonReset:       telemetry.Describe("endpoint.broken.connection_reset", "answers", "Answers that broke off with their connection, before being picked up again or given up."),
		ReasonNoProgress:  telemetry.Describe("endpoint.broken.no_progress", "answers", "Answers that made no progress for a time and were asked for on another connection."),
		ReasonWrongID:     telemetry.Describe("endpoint.broken.answer_of_other_request", "answers", "Answers that carried the id of another request."),
		ReasonTruncated:   telemetry.Describe("endpoint.broken.answer_truncated", "answers", "Answers that ended early or with a gap."),
		ReasonMalformed:   telemetry.Describe("endpoint.broken.answer_malformed", "answers", "Answers that are not the protocol."),
		ReasonErrorStatus: telemetry.Describe("endpoint.broken.endpoint_error", "answers", "Answers with an error status while a stream was picked up."),
		ReasonDial:        telemetry.Describe("endpoint.broken.dial_failed", "answers", "Failed dials while a stream was picked up."),
		ReasonBusy:        telemetry.Describe("endpoint.broken.endpoint_busy", "answers", "Refusals while a stream was picked up."),
	}
	descResumed       = telemetry.Describe("endpoint.resumed", "streams", "Answers that were picked up at the engine on another connection.")
	descDiscarded     = telemetry.Describe("endpoint.transports_discarded", "transports", "Sets of connections to an endpoint that were discarded because one went silent.")
	descDuplicate     = telemetry.Describe("endpoint.duplicates_dropped", "events", "Events of answers that were dropped because their offset had been seen.")
	descCancel        = telemetry.Describe("endpoint.cancels", "calls", "Requests that an engine was told to stop.")
	descCancelFailure = telemetry.Describe("endpoint.cancels_unanswered", "calls", "Cancels whose usage report never came.")
	descOverUsage     = telemetry.Describe("endpoint.usage_over_cap", "answers", "Whole answers whose reported tokens are over the cap.")
)

type counters struct {
	failed         map[Reason]metrics.Counter
	interrupted    map[Reason]metrics.Counter
	resumed        metrics.Counter
	discarded      metrics.Counter
	duplicates     metrics.Counter
	cancels        metrics.Counter
	cancelFailures metrics.Counter
	overUsage      metrics.Counter
}

func newCounters(r metrics.Registry) *counters {
	c := &counters{
		failed:         make(map[Reason]metrics.Counter),
		interrupted:    make(map[Reason]metrics.Counter),
		resumed:        descResumed.Counter(r),
		discarded:      descDiscarded.Counter(r),
		duplicates:     descDuplicate.Counter(r),
		cancels:        descCancel.Counter(r),
		cancelFailures: descCancelFailure.Counter(r),
		overUsage:      descOverUsage.Counter(r),
	}
	for reason, d := range failedDescs {
		c.failed[reason] = d.Counter(r)
	}
	for reason, d := range interruptedDescs {
		c.interrupted[reason] = d.Counter(r)
	}
	return c
}

func incReason(m map[Reason]metrics.Counter, r Reason) {
	if c := m[r]; c != nil {
		c.Inc(1)
	}
}
