package server

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
)

const (
	// keysPath is the path at which callers get idempotency keys.
	keysPath = "/v1/idempotency-keys"
	// maxKeysPerRequest limits the keys issued in one response.
	maxKeysPerRequest = 1000
)

// issuedKeysResponse is the body of a response of keysPath.
type issuedKeysResponse struct {
	Keys []string `json:"keys"`
}

// issueKeys sends new idempotency keys. This instance can decide requests with them even while the object store is
// unavailable.
func (j *job) issueKeys() {
	if f := j.authenticate(); f != nil {
		j.sendRefusal(f)
		return
	}
	if j.r.Method != http.MethodPost {
		j.w.Header().Set("Allow", http.MethodPost)
		j.sendRefusal(newRefusal(ReasonMethodNotAllowed, "keys are issued by POST"))
		return
	}
	count, f := j.parseKeyCount()
	if f != nil {
		j.sendRefusal(f)
		return
	}
	data, _ := json.Marshal(issuedKeysResponse{Keys: j.server.cfg.KeyIssuer.Issue(j.customer.ID, count)})
	j.w.Header().Set("Content-Type", "application/json")
	j.w.Header().Set("Cache-Control", "no-store")
	_, _ = j.w.Write(data)
}

// parseKeyCount returns the number of keys requested, 1 by default.
func (j *job) parseKeyCount() (int, *refusal) {
	text := j.r.URL.Query().Get("count")
	if text == "" {
		return 1, nil
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < 1 || n > maxKeysPerRequest {
		return 0, invalidField("count", fmt.Sprintf("must be a whole number from 1 to %d", maxKeysPerRequest))
	}
	return n, nil
}
