package server

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
)

const (
	// keysPath issues idempotency keys.
	keysPath = "/v1/idempotency-keys"
	// maxKeysIssued is how many keys one request may ask for.
	maxKeysIssued = 1000
)

// issuedKeys is the answer of keysPath.
type issuedKeys struct {
	Keys []string `json:"keys"`
}

// issueKeys answers with idempotency keys that this instance decides even when the platform is out of reach.
func (j *job) issueKeys() {
	if f := j.authenticate(); f != nil {
		j.refuse(f)
		return
	}
	if j.r.Method != http.MethodPost {
		j.w.Header().Set("Allow", http.MethodPost)
		j.refuse(refuse(ReasonMethod, "keys are issued by POST"))
		return
	}
	count, f := j.keyCount()
	if f != nil {
		j.refuse(f)
		return
	}
	data, _ := json.Marshal(issuedKeys{Keys: j.server.cfg.Keys.Issue(j.customer.ID, count)})
	j.w.Header().Set("Content-Type", "application/json")
	j.w.Header().Set("Cache-Control", "no-store")
	_, _ = j.w.Write(data)
}

// keyCount is how many keys the request asks for, one if it does not say.
func (j *job) keyCount() (int, *refusal) {
	text := j.r.URL.Query().Get("count")
	if text == "" {
		return 1, nil
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < 1 || n > maxKeysIssued {
		return 0, badField("count", fmt.Sprintf("must be a whole number from 1 to %d", maxKeysIssued))
	}
	return n, nil
}
