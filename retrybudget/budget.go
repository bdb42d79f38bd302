// Package retrybudget bounds the rate of retries, so that failures do not multiply the load on a service. The bound
// holds across all instances without communication: each instance stays within its own share.
//
// The package is pure: callers pass the current time. A Budget is safe for concurrent use.
package retrybudget

import (
	"sync"
	"time"
)

const (
	// bucketsPerWindow sets the resolution of the sliding window.
	bucketsPerWindow = 10
	// ratioSafetyFactor is the fraction of Limits.Ratio that is used. The rest covers differences between how instances
	// and services count requests.
	ratioSafetyFactor = 0.85
	// slackSafetyFactor is the fraction of Limits.Slack that is used. The rest covers an outdated number of instances,
	// by which Slack is divided.
	slackSafetyFactor = 0.7
)

// Limits define the bound across all instances: in any window, retries <= Ratio * requests + Slack.
type Limits struct {
	Window time.Duration
	Ratio  float64
	Slack  float64
}

// Budget counts the requests and retries of each service.
type Budget struct {
	limits Limits

	mu       sync.Mutex
	services map[string]*requestHistory
}

// requestHistory counts requests and retries in a ring of buckets that covers one bucket more than a window.
type requestHistory struct {
	requests [bucketsPerWindow + 1]int
	retries  [bucketsPerWindow + 1]int
	// newest is the number of the newest bucket, counted from the Unix epoch.
	newest int64
}

// New returns a Budget with the given limits.
func New(l Limits) *Budget {
	return &Budget{limits: l, services: make(map[string]*requestHistory)}
}

// RecordRequest counts a caller's request to a service.
func (b *Budget) RecordRequest(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	h := b.historyAt(service, now)
	h.requests[h.newest%(bucketsPerWindow+1)]++
}

// HasRetry reports whether AllowRetry would allow a retry, without counting one.
func (b *Budget) HasRetry(service string, now time.Time, instances int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.allows(b.historyAt(service, now), instances)
}

// AllowRetry reports whether the budget allows one more retry of a request to a service, and counts it if so. instances
// is the number of instances that share the bound.
func (b *Budget) AllowRetry(service string, now time.Time, instances int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	h := b.historyAt(service, now)
	if !b.allows(h, instances) {
		return false
	}
	h.retries[h.newest%(bucketsPerWindow+1)]++
	return true
}

// allows reports whether the budget allows one more retry.
func (b *Budget) allows(h *requestHistory, instances int) bool {
	requests, retries := 0, 0
	for i := range h.requests {
		retries += h.retries[i]
		requests += h.requests[i]
	}
	// The oldest bucket lies partly outside of the window. Counting its retries but not its requests keeps the bound.
	requests -= h.requests[(h.newest+1)%(bucketsPerWindow+1)]
	allowed := b.limits.Ratio*ratioSafetyFactor*float64(requests) + b.limits.Slack*slackSafetyFactor/float64(max(instances, 1))
	return float64(retries+1) <= allowed
}

// historyAt returns the history of a service, advanced to the bucket of the given time.
func (b *Budget) historyAt(service string, now time.Time) *requestHistory {
	h := b.services[service]
	if h == nil {
		h = &requestHistory{}
		b.services[service] = h
	}
	bucket := now.UnixNano() / int64(max(b.limits.Window/bucketsPerWindow, 1))
	if bucket-h.newest > bucketsPerWindow {
		*h = requestHistory{newest: bucket}
		return h
	}
	for h.newest < bucket {
		h.newest++
		i := h.newest % (bucketsPerWindow + 1)
		h.requests[i], h.retries[i] = 0, 0
	}
	return h
}
