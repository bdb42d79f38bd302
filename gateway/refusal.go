package gateway

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"
)

// reason says why a request did not get an endpoint's answer. It is part of logs, counters and refusals.
type reason string

const (
	reasonNone           reason = ""
	reasonStarting       reason = "no-configuration"
	reasonNoRoute        reason = "no-route"
	reasonUnknownKey     reason = "unknown-key"
	reasonMalformed      reason = "malformed"
	reasonTooLarge       reason = "too-large"
	reasonBodyCut        reason = "body-cut"
	reasonExhausted      reason = "budget-exhausted"
	reasonBudgetAway     reason = "budget-unavailable"
	reasonNoEndpoint     reason = "no-endpoint"
	reasonOverloaded     reason = "overloaded"
	reasonBusy           reason = "endpoints-busy"
	reasonUnreachable    reason = "unreachable"
	reasonLost           reason = "answer-lost"
	reasonCrossed        reason = "answer-of-another-request"
	reasonSilent         reason = "endpoint-silent"
	reasonCut            reason = "answer-cut"
	reasonTimeout        reason = "timeout"
	reasonCallerLeft     reason = "caller-left"
	reasonEndpointFailed reason = "endpoint-failed"
	reasonMoved          reason = "endpoint-moved"
)

// refusal is a final answer of this instance itself.
type refusal struct {
	status int
	reason reason
	// retryAfter is when the caller may come back; zero for no word on it.
	retryAfter time.Duration
}

const (
	// retrySoon is when to come back for what is over in moments: a first configuration, a failed connection.
	retrySoon = 300 * time.Millisecond
	// retryLater is when to come back for what takes longer: a store that is away, a service without endpoints.
	retryLater = time.Second
	// retryOutage is when to come back for what needs the store while it is away: its outages last for seconds, and a caller
	// that comes back within one is refused again.
	retryOutage = 2 * time.Second
)

// problem is the body of a refusal as of RFC 9457.
type problem struct {
	Type    string `json:"type"`
	Title   string `json:"title"`
	Status  int    `json:"status"`
	Outcome string `json:"outcome"`
}

// outcome returns what a status of this instance promises: not run, or unknown.
func (r refusal) outcome() string {
	switch r.status {
	case http.StatusBadGateway, http.StatusGatewayTimeout:
		return "unknown"
	default:
		return "not-run"
	}
}

// write sends the refusal. Callers that come back are spread over as much time again.
func (r refusal) write(w http.ResponseWriter, wire Wire, id string) {
	h := w.Header()
	wire.Identify(h, id)
	h.Set("Content-Type", "application/problem+json")
	if r.retryAfter > 0 {
		after := r.retryAfter + rand.N(r.retryAfter)
		h.Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
	}
	// A problem has only strings and a number, so that it can always be encoded.
	body, _ := json.Marshal(problem{
		Type: "about:blank", Title: string(r.reason), Status: r.status, Outcome: r.outcome(),
	})
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(r.status)
	_, _ = w.Write(body)
}
