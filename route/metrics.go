package route

import (
	"github.com/rcrowley/go-metrics"

	"pumiceshelf/telemetry"
)

var (
	descAffinity         = telemetry.Describe("route.chosen.affinity", "requests", "Requests sent to a home of their prompt's prefix.")
	descLoad             = telemetry.Describe("route.chosen.load", "requests", "Requests sent to the least loaded endpoint looked at.")
	descSpill            = telemetry.Describe("route.chosen.spill", "requests", "Requests sent to an endpoint of another failure domain.")
	descBusy             = telemetry.Describe("route.refused.busy", "choices", "Choices that found no endpoint with room.")
	descNoEndpoint       = telemetry.Describe("route.refused.gone", "choices", "Choices that found no endpoint that takes new work.")
	descFailures         = telemetry.Describe("route.failures", "requests", "Requests that an endpoint failed.")
	descStalled          = telemetry.Describe("route.silent", "requests", "Requests whose connection to the endpoint made no progress.")
	descEjections        = telemetry.Describe("route.ejections", "ejections", "Endpoints taken out of rotation for failures in a row.")
	descEjectionsSkipped = telemetry.Describe("route.ejections_withheld", "ejections",
		"Ejections left out because they would have taken most of a group.")
	descReinstated    = telemetry.Describe("route.returns", "endpoints", "Ejected endpoints that came back into rotation.")
	descLimitCutsFull = telemetry.Describe("route.limit_cuts_full", "cuts", "Limits lowered because the endpoint had no room.")
	descLimitCutsSlow = telemetry.Describe("route.limit_cuts", "cuts", "Limits lowered because first tokens took long.")
	descPolls         = telemetry.Describe("route.polls", "calls", "Load reports fetched from endpoints.")
	descPollsFailed   = telemetry.Describe("route.polls_failed", "calls", "Load reports that could not be fetched.")
	descDeferred      = telemetry.Describe("route.held_back", "choices",
		"Choices put off since nothing was heard of endpoints for too long, as after a freeze.")
	descDrainingNow = telemetry.Describe("route.leaving", "endpoints", "Endpoints that leave now.")
	descEjectedNow  = telemetry.Describe("route.ejected", "endpoints", "Endpoints out of rotation now.")
	descEndpoints   = telemetry.Describe("route.endpoints", "endpoints", "Endpoints in the bundle.")
)

// counters holds the metrics of a Balancer.
type counters struct {
	chosen                                  [bySpill + 1]metrics.Counter
	busy, noEndpoint, failures, stalled     metrics.Counter
	ejections, ejectionsSkipped, reinstated metrics.Counter
	limitCutsSlow, limitCutsFull, deferred  metrics.Counter
	polls, pollsFailed                      metrics.Counter
	drainingNow, ejectedNow, endpoints      metrics.Gauge
}

func newCounters(r metrics.Registry) *counters {
	m := &counters{
		busy: descBusy.Counter(r), noEndpoint: descNoEndpoint.Counter(r), failures: descFailures.Counter(r), stalled: descStalled.Counter(r),
		ejections: descEjections.Counter(r), ejectionsSkipped: descEjectionsSkipped.Counter(r), reinstated: descReinstated.Counter(r),
		limitCutsSlow: descLimitCutsSlow.Counter(r), limitCutsFull: descLimitCutsFull.Counter(r), deferred: descDeferred.Counter(r), polls: descPolls.Counter(r), pollsFailed: descPollsFailed.Counter(r),
		drainingNow: descDrainingNow.Gauge(r), ejectedNow: descEjectedNow.Gauge(r), endpoints: descEndpoints.Gauge(r),
	}
	m.chosen[byAffinity] = descAffinity.Counter(r)
	m.chosen[byLoad] = descLoad.Counter(r)
	m.chosen[bySpill] = descSpill.Counter(r)
	return m
}
