package server

import (
	"crypto/sha256"
	"fmt"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"pumiceshelf/admit"
	"pumiceshelf/bundle"
	"pumiceshelf/claim"
)

// Headers of callers' requests and of responses.
const (
	headerRequestID      = "X-Request-Id"
	headerDeadline       = "X-Deadline-Ms"
	headerPriority       = "X-Priority"
	headerIdempotencyKey = "Idempotency-Key"
	headerIdempotent     = "X-Idempotent"
	headerFirstAttempt   = "X-First-Attempt"
	headerReplayed       = "X-Replayed"
	headerCustomer       = "X-Customer"
)

// Limits of header values.
const (
	maxDeadline  = time.Hour
	maxKeyLength = 255
)

var classesByHeader = map[string]admit.Class{"interactive": admit.Interactive, "standard": admit.Standard, "": admit.Standard, "batch": admit.Batch}

var classNames = map[admit.Class]string{admit.Interactive: "interactive", admit.Standard: "standard", admit.Batch: "batch"}

// controlHeaders holds the parsed headers that control how a request is handled.
type controlHeaders struct {
	deadline time.Duration
	class    admit.Class
	key      string
	// idempotent is nil if the header is not set.
	idempotent   *bool
	firstAttempt bool
}

func parseControlHeaders(h http.Header) (controlHeaders, *refusal) {
	var c controlHeaders
	for _, name := range []string{headerDeadline, headerPriority, headerIdempotencyKey, headerIdempotent, headerFirstAttempt} {
		if len(h[textproto.CanonicalMIMEHeaderKey(name)]) > 1 {
			return c, invalidField(name, "must be given once")
		}
	}
	if f := c.parseDeadline(h.Get(headerDeadline)); f != nil {
		return c, f
	}
	class, ok := classesByHeader[h.Get(headerPriority)]
	if !ok {
		return c, invalidField(headerPriority, "must be interactive, standard or batch")
	}
	c.class = class
	if f := c.parseKey(h.Get(headerIdempotencyKey)); f != nil {
		return c, f
	}
	idempotent, f := parseBool(headerIdempotent, h.Get(headerIdempotent))
	if f != nil {
		return c, f
	}
	c.idempotent = idempotent
	first, f := parseBool(headerFirstAttempt, h.Get(headerFirstAttempt))
	if f != nil {
		return c, f
	}
	c.firstAttempt = first != nil && *first
	return c, nil
}

func (c *controlHeaders) parseDeadline(v string) *refusal {
	if v == "" {
		return nil
	}
	ms, err := strconv.ParseUint(v, 10, 32)
	d := time.Duration(ms) * time.Millisecond
	if err != nil || ms == 0 || d > maxDeadline {
		return invalidField(headerDeadline, fmt.Sprintf("must be a whole number of milliseconds from 1 to %d", maxDeadline.Milliseconds()))
	}
	c.deadline = d
	return nil
}

func (c *controlHeaders) parseKey(v string) *refusal {
	printable := strings.IndexFunc(v, func(r rune) bool { return r < ' ' || r > '~' }) < 0
	if len(v) > maxKeyLength || !printable {
		return invalidField(headerIdempotencyKey, fmt.Sprintf("must be at most %d printable ASCII characters", maxKeyLength))
	}
	c.key = v
	return nil
}

func parseBool(name, v string) (*bool, *refusal) {
	switch v {
	case "":
		return nil, nil
	case "true", "false":
		b := v == "true"
		return &b, nil
	}
	return nil, invalidField(name, "must be true or false")
}

// bearerTokenHash returns the hash of the request's bearer token.
func bearerTokenHash(h http.Header) (bundle.KeyHash, bool) {
	token, ok := strings.CutPrefix(h.Get("Authorization"), "Bearer ")
	if !ok || token == "" {
		return bundle.KeyHash{}, false
	}
	return bundle.HashKey(token), true
}

// requestIDForKey derives a request ID from a key. A non-idempotent request thus has the same ID in each attempt and at
// each instance.
func requestIDForKey(k claim.KeyHash) string {
	h := sha256.Sum256(append([]byte("request id"), k[:]...))
	id, _ := uuid.FromBytes(h[:16])
	return id.String()
}

// hopByHopHeaders apply to one connection only and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length",
}

// routerHeaders are addressed to the router and are not forwarded to plain services.
var routerHeaders = []string{
	"Authorization", headerRequestID, headerDeadline, headerPriority, headerIdempotencyKey, headerIdempotent, headerFirstAttempt,
	headerCustomer, "Expect", "Accept-Encoding",
}

// forwardedHeaders returns h without hop-by-hop headers, the headers that Connection lists, and those in drop.
func forwardedHeaders(h http.Header, drop ...[]string) http.Header {
	out := h.Clone()
	for _, list := range h["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, names := range append(drop, hopByHopHeaders) {
		for _, name := range names {
			out.Del(name)
		}
	}
	return out
}
