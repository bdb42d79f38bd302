package server

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"
)

// Outcome words that reach callers.
const (
	outcomeNotRun  = "not_run"
	outcomeUnknown = "unknown"
)

const problemType = "application/problem+json"

// Retry-After of refusals after which asking again may help and nothing better is known.
const defaultRetryAfter = time.Second

// Reason of a refusal. Each has a counter, a title and a status in reasons.go.
type Reason string

// refusal is an answer to a caller that is not the answer it asked for.
type refusal struct {
	reason Reason
	// unknown says that the request may have run.
	unknown bool
	detail  string
	// field of the request that is wrong, if one is.
	field      string
	retryAfter time.Duration
	requestID  string
}

// problem is a refusal as callers see it, by RFC 9457.
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

func refuse(reason Reason, detail string) *refusal { return &refusal{reason: reason, detail: detail} }

func badField(field, detail string) *refusal {
	return &refusal{reason: ReasonBadRequest, field: field, detail: detail}
}

// mayHaveRun returns the refusal with the outcome unknown.
func (f *refusal) mayHaveRun() *refusal {
	f.unknown = true
	return f
}

func (f *refusal) after(d time.Duration) *refusal {
	f.retryAfter = d
	return f
}

// wait returns the jittered time after which asking again may help; zero for none.
func (f *refusal) wait() time.Duration {
	base := f.retryAfter
	if base <= 0 && reasons[f.reason].again {
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
	if f.unknown {
		p.Outcome = outcomeUnknown
	}
	p.RetryAfterMs = f.wait().Milliseconds()
	return p
}

// write sends the refusal as the response, at once.
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
