package gateway

import (
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"pumiceshelf/responsecheck"
)

const (
	// refusalMemory is how long a refusal is remembered at least. Callers repeat a request within the time that they wait for its response,
	// which is seconds.
	refusalMemory = time.Minute
	// maxRemembered bounds the refusals that are remembered in each half of the memory, of 16 bytes each.
	maxRemembered = 1 << 14
)

// refusals remembers which requests endpoints have lately refused. An endpoint may send a refusal once more where a later response is
// due on the connection. Its ID tells that apart from the response to another request, but not from that to the same request when a
// caller repeats it. The repetition therefore gets a connection of its own. It is safe for concurrent use.
type refusals struct {
	mu              sync.RWMutex
	recent, earlier map[uint64]struct{}
	// begunAt is when recent was begun.
	begunAt time.Time
}

// add remembers a refusal. It returns false if there is no room, and the connection must not be used again.
func (r *refusals) add(address, id string, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.recent == nil || now.Sub(r.begunAt) >= refusalMemory {
		r.recent, r.earlier, r.begunAt = make(map[uint64]struct{}), r.recent, now
	}
	if len(r.recent) >= maxRemembered {
		return false
	}
	r.recent[refusalKey(address, id)] = struct{}{}
	return true
}

// contains reports whether an endpoint has lately refused a request.
func (r *refusals) contains(address, id string) bool {
	key := refusalKey(address, id)
	r.mu.RLock()
	defer r.mu.RUnlock()
	_, recent := r.recent[key]
	_, earlier := r.earlier[key]
	return recent || earlier
}

func refusalKey(address, id string) uint64 { return xxhash.Sum64String(address + " " + id) }

// promisesNotRun reports whether a caller takes a response for the promise that its request was not run.
func promisesNotRun(status int, m ResponseMeta) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return m.NotRun
}

// rememberRefusal remembers the response of an attempt if it is a refusal.
func (j *job) rememberRefusal(a *attempt) {
	if !promisesNotRun(a.resp.StatusCode, a.meta) {
		return
	}
	if !j.gateway.refusals.add(a.ticket.Endpoint.Address, j.meta.ID, j.gateway.config.Clock.Now()) {
		a.closeAfterResponse = true
	}
}

// transportFor returns the transport for an attempt: one whose connections serve a single request if the endpoint has had the same
// request before.
func (j *job) transportFor(a *attempt) *responsecheck.Transport {
	if a.repeats || j.gateway.refusals.contains(a.ticket.Endpoint.Address, j.meta.ID) {
		return j.gateway.singleTransport
	}
	return j.gateway.transport
}
