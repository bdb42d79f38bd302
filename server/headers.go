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

// Headers of callers' requests and answers.
const (
	headerRequestID    = "X-Request-Id"
	headerDeadline     = "X-Deadline-Ms"
	headerPriority     = "X-Priority"
	headerKey          = "Idempotency-Key"
	headerIdempotent   = "X-Idempotent"
	headerFirstAttempt = "X-First-Attempt"
	headerReplayed     = "X-Replayed"
	headerCustomer     = "X-Customer"
)

// Bounds of headers.
const (
	maxDeadline  = time.Hour
	maxKeyLength = 255
)

var classes = map[string]admit.Class{"interactive": admit.Interactive, "standard": admit.Standard, "": admit.Standard, "batch": admit.Batch}

var classNames = map[admit.Class]string{admit.Interactive: "interactive", admit.Standard: "standard", admit.Batch: "batch"}

// control is what the headers of a request ask for.
type control struct {
	deadline     time.Duration
	class        admit.Class
	key          string
	idempotent   *bool
	firstAttempt bool
}

func parseControl(h http.Header) (control, *refusal) {
	var c control
	for _, name := range []string{headerDeadline, headerPriority, headerKey, headerIdempotent, headerFirstAttempt} {
		if len(h[textproto.CanonicalMIMEHeaderKey(name)]) > 1 {
			return c, badField(name, "must be given once")
		}
	}
	if f := c.parseDeadline(h.Get(headerDeadline)); f != nil {
		return c, f
	}
	class, ok := classes[h.Get(headerPriority)]
	if !ok {
		return c, badField(headerPriority, "must be interactive, standard or batch")
	}
	c.class = class
	if f := c.parseKey(h.Get(headerKey)); f != nil {
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

func (c *control) parseDeadline(v string) *refusal {
	if v == "" {
		return nil
	}
	ms, err := strconv.ParseUint(v, 10, 32)
	d := time.Duration(ms) * time.Millisecond
	if err != nil || ms == 0 || d > maxDeadline {
		return badField(headerDeadline, fmt.Sprintf("must be a whole number of milliseconds from 1 to %d", maxDeadline.Milliseconds()))
	}
	c.deadline = d
	return nil
}

func (c *control) parseKey(v string) *refusal {
	printable := strings.IndexFunc(v, func(r rune) bool { return r < ' ' || r > '~' }) < 0
	if len(v) > maxKeyLength || !printable {
		return badField(headerKey, fmt.Sprintf("must be at most %d printable ASCII characters", maxKeyLength))
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
	return nil, badField(name, "must be true or false")
}

// bearer returns the hash of the request's bearer token.
func bearer(h http.Header) (bundle.KeyHash, bool) {
	token, ok := strings.CutPrefix(h.Get("Authorization"), "Bearer ")
	if !ok || token == "" {
		return bundle.KeyHash{}, false
	}
	return bundle.HashKey(token), true
}

// keyedID returns the request id of a keyed non-idempotent request: the same at every instance and for every attempt.
func keyedID(k claim.KeyHash) string {
	h := sha256.Sum256(append([]byte("request id"), k[:]...))
	id, _ := uuid.FromBytes(h[:16])
	return id.String()
}

// hopHeaders are between two ends of one connection and are not passed on.
var hopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length",
}

// ownHeaders are between caller and router.
var ownHeaders = []string{
	"Authorization", headerRequestID, headerDeadline, headerPriority, headerKey, headerIdempotent, headerFirstAttempt,
	headerCustomer, "Expect", "Accept-Encoding",
}

// passedOn returns the headers of a message that go to its other end.
func passedOn(h http.Header, drop ...[]string) http.Header {
	out := h.Clone()
	for _, named := range h["Connection"] {
		for name := range strings.SplitSeq(named, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, names := range append(drop, hopHeaders) {
		for _, name := range names {
			out.Del(name)
		}
	}
	return out
}
