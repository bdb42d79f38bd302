package server

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"
)

// Values of problem.Outcome.
const (
	outcomeNotRun  = "not_run"
	outcomeUnknown = "unknown"
)

const problemType = "application/problem+json"

// defaultRetryAfter is the delay of a retryable refusal for which no better estimate is known.
const defaultRetryAfter = time.Second

// Reason is the cause of a refusal. Each has a counter, a title and a status in reasons.go.
type Reason string

// refusal is an error response that the router generates itself.
type refusal struct {
	reason Reason
	// unknownOutcome is true if the request may have run.
	unknownOutcome bool
	detail         string
	// field names the invalid field or header of the request, if there is one.
	field      string
	retryAfter time.Duration
	requestID  string
}

// problem is the body of a refusal in the format of RFC 9457 (problem details).
type problem struct {
	Type         string `json:"type"`
	Title        string `json:"title"`
	Status       int    `json:"status"`
	Detail       string `json:"detail,omitempty"`
	Outcome      string `json:"outcome"`
	Reason       Reason `json:"reason"`
	RequestID    string `json:"request_id,omitempty"`
	Field        string `json:"field,omitempty"`
	RetryAfterMs int64  `json:"retry_after_ms,omitempty"`
}

func newRefusal(r Reason, detail string) *refusal { return &refusal{reason: r, detail: detail} }

func invalidField(field, detail string) *refusal {
	return &refusal{reason: ReasonBadRequest, field: field, detail: detail}
}

// withUnknownOutcome sets the outcome to unknown and returns the refusal.
func (f *refusal) withUnknownOutcome() *refusal {
	f.unknownOutcome = true
	return f
}

// withRetryAfter sets the delay of a retry and returns the refusal.
func (f *refusal) withRetryAfter(d time.Duration) *refusal {
	f.retryAfter = d
	return f
}

// jitteredRetryAfter returns the delay after which a retry may succeed, or zero if none will. The delay is random
// between one and one and a half times its base, so that retries are spread over time.
func (f *refusal) jitteredRetryAfter() time.Duration {
	base := f.retryAfter
	if base <= 0 && reasons[f.reason].retryable {
		base = defaultRetryAfter
	}
	if base <= 0 {
		return 0
	}
	return base + rand.N(base/2+1)
}

func (f *refusal) problem() problem {
	info := reasons[f.reason]
	p := problem{
		Type: "urn:pumiceshelf:refusal:" + string(f.reason), Title: info.title, Status: info.status, Detail: f.detail,
		Outcome: outcomeNotRun, Reason: f.reason, RequestID: f.requestID, Field: f.field,
	}
	if f.unknownOutcome {
		p.Outcome = outcomeUnknown
	}
	p.RetryAfterMs = f.jitteredRetryAfter().Milliseconds()
	return p
}

// write sends the refusal as the response and flushes it.
func (f *refusal) write(w http.ResponseWriter) {
	p := f.problem()
	data, _ := json.Marshal(p)
	h := w.Header()
	h.Set("Content-Type", problemType)
	h.Set("Content-Length", strconv.Itoa(len(data)))
	h.Set("Cache-Control", "no-store")
	if f.requestID != "" {
		h.Set(headerRequestID, f.requestID)
	}
	if p.RetryAfterMs > 0 {
		h.Set("Retry-After", strconv.FormatInt((p.RetryAfterMs+999)/1000, 10))
	}
	if f.reason == ReasonUnauthenticated {
		h.Set("WWW-Authenticate", "Bearer")
	}
	w.WriteHeader(p.Status)
	_, _ = w.Write(data)
	_ = http.NewResponseController(w).Flush()
}
