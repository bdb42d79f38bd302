package route

import (
	"github.com/rcrowley/go-metrics"

	"pumiceshelf/telemetry"
)

var (
	descAffinity = telemetry.Describe("route.chosen.affinity", "requests", "Requests sent to a home of their prompt's prefix.")
	descLoad     = telemetry.Describe("route.chosen.load", "requests", "Requests sent to the least loaded endpoint looked at.")
	descSpill    = telemetry.Describe("route.chosen.spill", "requests", "Requests sent to an endpoint of another failure domain.")
	descBusy     = telemetry.Describe("route.refused.busy", "choices", "Choices that found no endpoint with room.")
	descGone     = telemetry.Describe("route.refused.gone", "choices", "Choices that found no endpoint that takes new work.")
	descFailure  = telemetry.Describe("route.failures", "requests", "Requests that an endpoint failed.")
	descSilent   = telemetry.Describe("route.silent", "requests", "Requests whose connection to the endpoint made no progress.")
	descEjected  = telemetry.Describe("route.ejections", "ejections", "Endpoints taken out of rotation for failures in a row.")
	descWithheld = telemetry.Describe("route.ejections_withheld", "ejections",
		"Ejections left out because they would have taken most of a group.")
	descReturned = telemetry.Describe("route.returns", "endpoints", "Ejected endpoints that came back into rotation.")
	descFull     = telemetry.Describe("route.limit_cuts_full", "cuts", "Limits lowered because the endpoint had no room.")
	descSlowed   = telemetry.Describe("route.limit_cuts", "cuts", "Limits lowered because first tokens took long.")
	descPolls    = telemetry.Describe("route.polls", "calls", "Load reports fetched from endpoints.")
	descPollFail = telemetry.Describe("route.polls_failed", "calls", "Load reports that could not be fetched.")
	descHeldBack = telemetry.Describe("route.held_back", "choices",
		"Choices put off since nothing was heard of endpoints for too long, as after a freeze.")
	descLeaving = telemetry.Describe("route.leaving", "endpoints", "Endpoints that leave now.")
	descOut     = telemetry.Describe("route.ejected", "endpoints", "Endpoints out of rotation now.")
	descKnown   = telemetry.Describe("route.endpoints", "endpoints", "Endpoints in the bundle.")
)

// meters are the balancer's metrics.
type meters struct {
	chosen                        [bySpill + 1]metrics.Counter
	busy, gone, failures, silent  metrics.Counter
	ejected, withheld, returned   metrics.Counter
	slowed, full, heldBack        metrics.Counter
	polls, pollsFailed            metrics.Counter
	leavingNow, outNow, endpoints metrics.Gauge
}

func newMeters(r metrics.Registry) *meters {
	m := &meters{
		busy: descBusy.Counter(r), gone: descGone.Counter(r), failures: descFailure.Counter(r), silent: descSilent.Counter(r),
		ejected: descEjected.Counter(r), withheld: descWithheld.Counter(r), returned: descReturned.Counter(r),
		slowed: descSlowed.Counter(r), full: descFull.Counter(r), heldBack: descHeldBack.Counter(r), polls: descPolls.Counter(r), pollsFailed: descPollFail.Counter(r),
		leavingNow: descLeaving.Gauge(r), outNow: descOut.Gauge(r), endpoints: descKnown.Gauge(r),
	}
	m.chosen[byAffinity] = descAffinity.Counter(r)
	m.chosen[byLoad] = descLoad.Counter(r)
	m.chosen[bySpill] = descSpill.Counter(r)
	return m
}
