package server

import (
	"net/http"

	"pumiceshelf/telemetry"
)

// Reasons for refusals before a request is parsed and validated.
const (
	ReasonBadRequest       Reason = "bad_request"
	ReasonUnauthenticated  Reason = "unauthenticated"
	ReasonNotFound         Reason = "not_found"
	ReasonMethodNotAllowed Reason = "method_not_allowed"
	ReasonBodyTooLarge     Reason = "body_too_large"
	ReasonBodyTooSlow      Reason = "body_too_slow"
	ReasonUnknownModel     Reason = "unknown_model"
	ReasonDraining         Reason = "draining"
	ReasonNoBundle         Reason = "no_bundle"
	ReasonTooManyRequests  Reason = "too_many_requests"
)

// Reasons for refusals because of idempotency keys and budgets.
const (
	ReasonKeyBodyMismatch       Reason = "key_used_with_other_body"
	ReasonEarlierAttemptUnknown Reason = "earlier_attempt_unknown"
	ReasonResponseNotStored     Reason = "answer_not_kept"
	ReasonClaimUnavailable      Reason = "claim_unavailable"
	ReasonNoBudget              Reason = "no_budget"
	ReasonBudgetExhausted       Reason = "budget_exhausted"
	ReasonBudgetUnavailable     Reason = "budget_out_of_reach"
)

// Reasons for refusals in admission and after dispatch.
const (
	ReasonQueueFull            Reason = "queue_full"
	ReasonQueueBytesFull       Reason = "queue_bytes_full"
	ReasonDeadlineUnmeetable   Reason = "deadline_cannot_be_met"
	ReasonDisplaced            Reason = "displaced"
	ReasonNoCapacity           Reason = "no_capacity"
	ReasonCallerCanceled       Reason = "caller_gone"
	ReasonEndpointsUnavailable Reason = "endpoints_unavailable"
	ReasonEndpointRejected     Reason = "endpoint_rejected"
	ReasonResponseLost         Reason = "answer_lost"
	ReasonDeadlineExceeded     Reason = "deadline_passed"
)

// statusClientClosedRequest is the status of a refusal after the caller disconnected, which no caller receives.
const statusClientClosedRequest = 499

// reasonInfo holds what a refusal for a reason tells callers, and the metric that counts it.
type reasonInfo struct {
	status int
	title  string
	// retryable is true if a retry may succeed.
	retryable bool
	desc      telemetry.Desc
}

func newReasonInfo(reason Reason, status int, retryable bool, title, help string) reasonInfo {
	return reasonInfo{status: status, title: title, retryable: retryable, desc: telemetry.Describe("server.refused."+string(reason), "requests", help)}
}

var reasons = map[Reason]reasonInfo{
	ReasonBadRequest:       newReasonInfo(ReasonBadRequest, http.StatusBadRequest, false, "Bad request", "Requests with a wrong header, field or body."),
	ReasonUnauthenticated:  newReasonInfo(ReasonUnauthenticated, http.StatusUnauthorized, false, "No such key", "Requests whose bearer token names no customer in the bundle in force."),
	ReasonNotFound:         newReasonInfo(ReasonNotFound, http.StatusNotFound, false, "No such path", "Requests whose path is neither a model call nor under a service's prefix."),
	ReasonMethodNotAllowed: newReasonInfo(ReasonMethodNotAllowed, http.StatusMethodNotAllowed, false, "Method not allowed", "Model requests with a method other than POST."),
	ReasonBodyTooLarge:     newReasonInfo(ReasonBodyTooLarge, http.StatusRequestEntityTooLarge, false, "Body too large", "Requests whose body is over the limit in the settings."),
	ReasonBodyTooSlow:      newReasonInfo(ReasonBodyTooSlow, http.StatusRequestTimeout, true, "Body too slow", "Requests whose body did not arrive within the read timeout."),
	ReasonUnknownModel:     newReasonInfo(ReasonUnknownModel, http.StatusNotFound, false, "No such model", "Requests for a model that the bundle in force does not name."),
	ReasonDraining:         newReasonInfo(ReasonDraining, http.StatusServiceUnavailable, true, "Instance is shutting down", "Requests that arrived while the instance was shutting down."),
	ReasonNoBundle:         newReasonInfo(ReasonNoBundle, http.StatusServiceUnavailable, true, "No configuration yet", "Requests that arrived before the first bundle was in force."),
	ReasonTooManyRequests:  newReasonInfo(ReasonTooManyRequests, http.StatusServiceUnavailable, true, "Too many requests in progress", "Requests over the instance's limits of requests or body bytes in progress."),

	ReasonKeyBodyMismatch:       newReasonInfo(ReasonKeyBodyMismatch, http.StatusUnprocessableEntity, false, "Key was used with another body", "Requests that reuse an idempotency key with another method, path or body."),
	ReasonEarlierAttemptUnknown: newReasonInfo(ReasonEarlierAttemptUnknown, http.StatusConflict, false, "An earlier attempt may have run", "Repeats of a non-idempotent request that may have run and is never run again."),
	ReasonResponseNotStored:     newReasonInfo(ReasonResponseNotStored, http.StatusGone, false, "The answer was not kept", "Repeats of a request that was answered with an answer too large to keep."),
	ReasonClaimUnavailable:      newReasonInfo(ReasonClaimUnavailable, http.StatusServiceUnavailable, true, "Key cannot be claimed now", "Keyed requests whose claim could not be made durable."),
	ReasonNoBudget:              newReasonInfo(ReasonNoBudget, http.StatusForbidden, false, "No budget for this model", "Requests of customers that have no budget for the model."),
	ReasonBudgetExhausted:       newReasonInfo(ReasonBudgetExhausted, http.StatusPaymentRequired, false, "Budget exhausted", "Requests whose bound is more than the budget holds."),
	ReasonBudgetUnavailable:     newReasonInfo(ReasonBudgetUnavailable, http.StatusServiceUnavailable, true, "Budget out of reach", "Requests whose budget may hold tokens that this instance cannot reach now."),

	ReasonQueueFull:            newReasonInfo(ReasonQueueFull, http.StatusServiceUnavailable, true, "Queue full", "Requests refused because the queue of their model and class was full."),
	ReasonQueueBytesFull:       newReasonInfo(ReasonQueueBytesFull, http.StatusServiceUnavailable, true, "Queue full", "Requests refused because waiting requests held too many bytes."),
	ReasonDeadlineUnmeetable:   newReasonInfo(ReasonDeadlineUnmeetable, http.StatusServiceUnavailable, true, "Deadline cannot be met", "Requests refused early because their deadline could not be met."),
	ReasonDisplaced:            newReasonInfo(ReasonDisplaced, http.StatusServiceUnavailable, true, "Displaced by a more urgent request", "Waiting requests whose place went to a request that goes before them."),
	ReasonNoCapacity:           newReasonInfo(ReasonNoCapacity, http.StatusServiceUnavailable, true, "No endpoint available", "Requests for which no endpoint was available."),
	ReasonCallerCanceled:       newReasonInfo(ReasonCallerCanceled, statusClientClosedRequest, false, "Caller went away", "Requests whose caller went away before the answer."),
	ReasonEndpointsUnavailable: newReasonInfo(ReasonEndpointsUnavailable, http.StatusServiceUnavailable, true, "Endpoints did not take the request", "Requests that endpoints refused or could not be sent, after the retries allowed."),
	ReasonEndpointRejected:     newReasonInfo(ReasonEndpointRejected, http.StatusUnprocessableEntity, false, "The engine does not take this request", "Requests that an engine refused as wrong, such as a prompt that is too long for the model."),
	ReasonResponseLost:         newReasonInfo(ReasonResponseLost, http.StatusBadGateway, false, "The answer was lost", "Requests that may have run and whose whole answer could not be obtained."),
	ReasonDeadlineExceeded:     newReasonInfo(ReasonDeadlineExceeded, http.StatusGatewayTimeout, false, "Deadline passed", "Requests that were dispatched and had no whole answer by their deadline."),
}
