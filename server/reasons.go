package server

import (
	"net/http"

	"pumiceshelf/telemetry"
)

// Reasons of refusals before a request is understood.
const (
	ReasonBadRequest      Reason = "bad_request"
	ReasonUnauthenticated Reason = "unauthenticated"
	ReasonNotFound        Reason = "not_found"
	ReasonMethod          Reason = "method_not_allowed"
	ReasonTooLarge        Reason = "body_too_large"
	ReasonSlowBody        Reason = "body_too_slow"
	ReasonUnknownModel    Reason = "unknown_model"
	ReasonDraining        Reason = "draining"
	ReasonNoBundle        Reason = "no_bundle"
	ReasonTooMany         Reason = "too_many_requests"
)

// Reasons of refusals of keys and budgets.
const (
	ReasonKeyMismatch      Reason = "key_used_with_other_body"
	ReasonEarlierUnknown   Reason = "earlier_attempt_unknown"
	ReasonAnswerNotKept    Reason = "answer_not_kept"
	ReasonClaimUnavailable Reason = "claim_unavailable"
	ReasonNoBudget         Reason = "no_budget"
	ReasonExhausted        Reason = "budget_exhausted"
	ReasonOutOfReach       Reason = "budget_out_of_reach"
)

// Reasons of refusals of admission and dispatch.
const (
	ReasonQueueFull    Reason = "queue_full"
	ReasonBytesFull    Reason = "queue_bytes_full"
	ReasonTooLate      Reason = "deadline_cannot_be_met"
	ReasonDisplaced    Reason = "displaced"
	ReasonNoCapacity   Reason = "no_capacity"
	ReasonCallerGone   Reason = "caller_gone"
	ReasonEndpoints    Reason = "endpoints_unavailable"
	ReasonRejected     Reason = "endpoint_rejected"
	ReasonAnswerLost   Reason = "answer_lost"
	ReasonDeadlinePast Reason = "deadline_passed"
)

// statusCallerGone is what logs show for a caller that went away; nobody receives it.
const statusCallerGone = 499

// reasonInfo is what callers and operators are told of a reason.
type reasonInfo struct {
	status int
	title  string
	// again says that asking again may help.
	again bool
	desc  telemetry.Desc
}

func info(reason Reason, status int, again bool, title, help string) reasonInfo {
	return reasonInfo{status: status, title: title, again: again, desc: telemetry.Describe("server.refused."+string(reason), "requests", help)}
}

var reasons = map[Reason]reasonInfo{
	ReasonBadRequest:      info(ReasonBadRequest, http.StatusBadRequest, false, "Bad request", "Requests with a wrong header, field or body."),
	ReasonUnauthenticated: info(ReasonUnauthenticated, http.StatusUnauthorized, false, "No such key", "Requests whose bearer token names no customer in the bundle in force."),
	ReasonNotFound:        info(ReasonNotFound, http.StatusNotFound, false, "No such path", "Requests whose path is neither a model call nor under a service's prefix."),
	ReasonMethod:          info(ReasonMethod, http.StatusMethodNotAllowed, false, "Method not allowed", "Model requests with a method other than POST."),
	ReasonTooLarge:        info(ReasonTooLarge, http.StatusRequestEntityTooLarge, false, "Body too large", "Requests whose body is over the limit in the settings."),
	ReasonSlowBody:        info(ReasonSlowBody, http.StatusRequestTimeout, true, "Body too slow", "Requests whose body did not arrive within the read timeout."),
	ReasonUnknownModel:    info(ReasonUnknownModel, http.StatusNotFound, false, "No such model", "Requests for a model that the bundle in force does not name."),
	ReasonDraining:        info(ReasonDraining, http.StatusServiceUnavailable, true, "Instance is shutting down", "Requests that arrived while the instance was shutting down."),
	ReasonNoBundle:        info(ReasonNoBundle, http.StatusServiceUnavailable, true, "No configuration yet", "Requests that arrived before the first bundle was in force."),
	ReasonTooMany:         info(ReasonTooMany, http.StatusServiceUnavailable, true, "Too many requests in progress", "Requests over the instance's limits of requests or body bytes in progress."),

	ReasonKeyMismatch:      info(ReasonKeyMismatch, http.StatusUnprocessableEntity, false, "Key was used with another body", "Requests that reuse an idempotency key with another method, path or body."),
	ReasonEarlierUnknown:   info(ReasonEarlierUnknown, http.StatusConflict, false, "An earlier attempt may have run", "Repeats of a non-idempotent request that may have run and is never run again."),
	ReasonAnswerNotKept:    info(ReasonAnswerNotKept, http.StatusGone, false, "The answer was not kept", "Repeats of a request that was answered with an answer too large to keep."),
	ReasonClaimUnavailable: info(ReasonClaimUnavailable, http.StatusServiceUnavailable, true, "Key cannot be claimed now", "Keyed requests whose claim could not be made durable."),
	ReasonNoBudget:         info(ReasonNoBudget, http.StatusForbidden, false, "No budget for this model", "Requests of customers that have no budget for the model."),
	ReasonExhausted:        info(ReasonExhausted, http.StatusPaymentRequired, false, "Budget exhausted", "Requests whose bound is more than the budget holds."),
	ReasonOutOfReach:       info(ReasonOutOfReach, http.StatusServiceUnavailable, true, "Budget out of reach", "Requests whose budget may hold tokens that this instance cannot reach now."),

	ReasonQueueFull:    info(ReasonQueueFull, http.StatusServiceUnavailable, true, "Queue full", "Requests refused because the queue of their model and class was full."),
	ReasonBytesFull:    info(ReasonBytesFull, http.StatusServiceUnavailable, true, "Queue full", "Requests refused because waiting requests held too many bytes."),
	ReasonTooLate:      info(ReasonTooLate, http.StatusServiceUnavailable, true, "Deadline cannot be met", "Requests refused early because their deadline could not be met."),
	ReasonDisplaced:    info(ReasonDisplaced, http.StatusServiceUnavailable, true, "Displaced by a more urgent request", "Waiting requests whose place went to a request that goes before them."),
	ReasonNoCapacity:   info(ReasonNoCapacity, http.StatusServiceUnavailable, true, "No endpoint available", "Requests for which no endpoint was available."),
	ReasonCallerGone:   info(ReasonCallerGone, statusCallerGone, false, "Caller went away", "Requests whose caller went away before the answer."),
	ReasonEndpoints:    info(ReasonEndpoints, http.StatusServiceUnavailable, true, "Endpoints did not take the request", "Requests that endpoints refused or could not be sent, after the retries allowed."),
	ReasonRejected:     info(ReasonRejected, http.StatusUnprocessableEntity, false, "The engine does not take this request", "Requests that an engine refused as wrong, such as a prompt that is too long for the model."),
	ReasonAnswerLost:   info(ReasonAnswerLost, http.StatusBadGateway, false, "The answer was lost", "Requests that may have run and whose whole answer could not be obtained."),
	ReasonDeadlinePast: info(ReasonDeadlinePast, http.StatusGatewayTimeout, false, "Deadline passed", "Requests that were dispatched and had no whole answer by their deadline."),
}
