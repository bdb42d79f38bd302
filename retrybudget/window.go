// Package retrybudget bounds how often requests are sent again, so that failures do not multiply the load of a service.
// The bound holds over all instances without them talking: each keeps to its own part of it.
//
// The package is pure: time comes in as an argument. A Budget is safe for concurrent use.
package retrybudget

import (
	"sync"
	"time"
)

const (
	// buckets is how finely a window slides.
	buckets = 10
	// ratioPart is the part of the allowed share that is used; the rest covers what differs in how the two ends count.
	ratioPart = 0.85
	// slackPart is the same for the constant part of the bound, which instances divide by a number that may be old.
	slackPart = 0.7
)

// Limits are the bound over all instances: in any window, repeats <= Ratio x requests + Slack.
type Limits struct {
	Window time.Duration
	Ratio  float64
	Slack  float64
}

// Budget counts the requests and repeats of each service.
type Budget struct {
	limits Limits

	mu       sync.Mutex
	services map[string]*history
}

// history counts in a ring of buckets that reaches one bucket further than a window.
type history struct {
	requests [buckets + 1]int
	repeats  [buckets + 1]int
	// newest is the number of the newest bucket since the zero time.
	newest int64
}

// New returns a budget within the limits.
func New(l Limits) *Budget {
	return &Budget{limits: l, services: make(map[string]*history)}
}

// Request counts a caller's request to a service.
func (b *Budget) Request(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	h := b.at(service, now)
	h.requests[h.newest%(buckets+1)]++
}

// Repeat takes one repeat of a request to a service if the budget allows it. instances is how many share the bound.
func (b *Budget) Repeat(service string, now time.Time, instances int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	h := b.at(service, now)
	requests, repeats := 0, 0
	for i := range h.requests {
		repeats += h.repeats[i]
		requests += h.requests[i]
	}
	// The oldest bucket lies partly outside of a window: its repeats count, its requests do not.
	requests -= h.requests[(h.newest+1)%(buckets+1)]
	allowed := b.limits.Ratio*ratioPart*float64(requests) + b.limits.Slack*slackPart/float64(max(instances, 1))
	if float64(repeats+1) > allowed {
		return false
	}
	h.repeats[h.newest%(buckets+1)]++
	return true
}

func (b *Budget) at(service string, now time.Time) *history {
	h := b.services[service]
	if h == nil {
		h = &history{}
		b.services[service] = h
	}
	bucket := now.UnixNano() / int64(max(b.limits.Window/buckets, 1))
	if bucket-h.newest > buckets {
		*h = history{newest: bucket}
		return h
	}
	for h.newest < bucket {
		h.newest++
		i := h.newest % (buckets + 1)
		h.requests[i], h.repeats[i] = 0, 0
	}
	return h
}
