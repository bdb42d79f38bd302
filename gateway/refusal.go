package gateway

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"pumiceshelf/quarantine"
)

// reason is why a request was refused, retried or ended without a complete response. It appears in logs, metric names
// and refusals.
type reason string

const (
	reasonNone               reason = ""
	reasonNoConfiguration    reason = "no-configuration"
	reasonUnconfirmed        reason = "configuration-unconfirmed"
	reasonNoRoute            reason = "no-route"
	reasonUnknownKey         reason = "unknown-key"
	reasonMalformed          reason = "malformed"
	reasonTooLarge           reason = "too-large"
	reasonBodyTruncated      reason = "body-cut"
	reasonBudgetExhausted    reason = "budget-exhausted"
	reasonBudgetUnavailable  reason = "budget-unavailable"
	reasonBudgetRationed     reason = "budget-rationed"
	reasonBudgetContended    reason = "budget-contended"
	reasonNoEndpoint         reason = "no-endpoint"
	reasonOverloaded         reason = "overloaded"
	reasonEndpointsBusy      reason = "endpoints-busy"
	reasonEndpointsPaused    reason = "endpoints-paused"
	reasonEvacuated          reason = "evacuated"
	reasonRateLimited        reason = "rate-limited"
	reasonNoRoom             reason = "no-room"
	reasonOriginUnknown      reason = "origin-unknown"
	reasonVersionUnavailable reason = "version-unavailable"
	reasonUnreachable        reason = "unreachable"
	reasonLinkBusy           reason = "link-busy"
	reasonResponseLost       reason = "answer-lost"
	reasonResponseMismatch   reason = "answer-of-another-request"
	reasonUnresponsive       reason = "endpoint-silent"
	reasonResponseTruncated  reason = "answer-cut"
	reasonTimeout            reason = "timeout"
	reasonCallerCanceled     reason = "caller-left"
	reasonEndpointFailed     reason = "endpoint-failed"
	reasonMisdirected        reason = "endpoint-moved"
	reasonMemoryFull         reason = "memory-full"
	reasonStopping           reason = "instance-stopping"
	reasonQuarantinedPrompt  reason = "quarantined-prompt"
	reasonQuarantinedRequest reason = "quarantined-request"
)

// refusal is an error response that this instance generates itself.
type refusal struct {
	status int
	reason reason
	// retryAfter is the minimum delay before the caller may retry. If zero, no Retry-After header is sent.
	retryAfter time.Duration
}

const (
	// retryAfterTransient applies to conditions that usually clear within moments, such as a missing first
	// configuration or a failed connection.
	retryAfterTransient = 300 * time.Millisecond
	// retryAfterNoCapacity applies to conditions that take longer to clear: a service without usable endpoints, or with
	// endpoints that are overloaded or limit their request rate.
	retryAfterNoCapacity = time.Second
	// retryAfterOutage applies to requests that need the object store while it is unavailable. Outages last for
	// seconds, and a caller that retries during one is refused again.
	retryAfterOutage = 2 * time.Second
	// retryAfterEvacuated applies while all failure domains with endpoints of the service are evacuated. An operator ends that by hand,
	// which takes seconds at least.
	retryAfterEvacuated = 2 * time.Second
	// retryAfterQuarantined applies to requests that are in quarantine or have a prompt part that is. It lasts at least so long after each of them,
	// which is usually longer than callers wait.
	retryAfterQuarantined = quarantine.QuietPeriod
	// maxRetrySpread bounds the time over which retries are spread after a long delay.
	maxRetrySpread = 2 * time.Second
)

// problem is the body of a refusal in the format of RFC 9457 (problem details).
type problem struct {
	Type    string `json:"type"`
	Title   string `json:"title"`
	Status  int    `json:"status"`
	Outcome string `json:"outcome"`
}

// outcome returns what the status tells the caller about the request: "not-run", or "unknown" if an endpoint may have
// run it.
func (r refusal) outcome() string {
	switch r.status {
	case http.StatusBadGateway, http.StatusGatewayTimeout:
		return "unknown"
	default:
		return "not-run"
	}
}

// write sends the refusal. The Retry-After delay is random between one and two times retryAfter, and at most maxRetrySpread
// longer, so that retries are spread over time.
func (r refusal) write(w http.ResponseWriter, headers HeaderCodec, id string) {
	h := w.Header()
	headers.SetRequestID(h, id)
	h.Set("Content-Type", "application/problem+json")
	if r.retryAfter > 0 {
		after := r.retryAfter + rand.N(min(r.retryAfter, maxRetrySpread))
		h.Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
	}
	// Encoding cannot fail: a problem has only string and integer fields.
	body, _ := json.Marshal(problem{
		Type: "about:blank", Title: string(r.reason), Status: r.status, Outcome: r.outcome(),
	})
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(r.status)
	_, _ = w.Write(body)
}
