// Package endpointlimit divides the request rate that an endpoint accepts among the instances of the fleet.
//
// An endpoint under load names in its responses the requests per second that it accepts from all instances together, for as
// long as it names them. Only a few instances, the senders of the endpoint, may then send it requests, each an equal part of
// the rate. All instances compute the same senders by rendezvous hash. They pass on what the endpoint last named, so that an
// instance that sends it nothing learns of a change as well.
//
// Invariant: while all instances have the same list of instances, at most maxPermitted*s + r*t requests are sent in any
// time t to an endpoint that named a rate r of less than s*maxPermitted/burstPeriod, where s is the number of senders.
//
// The package is pure: callers pass the current time. Limits is safe for concurrent use.
package endpointlimit

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"pumiceshelf/registry"
)

const (
	// minSenders is the number of senders at low rates; each request per second adds one. More would exceed the endpoint's
	// rate when all of them send after a pause, fewer would lose more of it with one sender.
	minSenders = 3
	// minRate is the rate in requests per second up to which an endpoint that names a lower one is asked again.
	minRate = 0.2
	// maxPermitted bounds the requests that a sender may save while it has none to send. The part above one makes up for the
	// time until its next request.
	maxPermitted = 1.35
	// burstPeriod is the time for which a sender with a large share saves more than that.
	burstPeriod = 250 * time.Millisecond
	// unconfirmedPeriod is how long a rate is divided among its senders although no instance got a response that names it,
	// in addition to the time for unconfirmedRequests at that rate. After that, all instances share it, because the senders
	// may be down or have no requests to send.
	unconfirmedPeriod   = 10 * time.Second
	unconfirmedRequests = 5
	// unusedPeriod is how long a request that a sender may send stays reserved for requests that prefer the endpoint.
	unusedPeriod = 300 * time.Millisecond
	// withdrawnPeriod is how long a withdrawn limit is passed on.
	withdrawnPeriod = 20 * time.Second
	// minAdvance is how much newer an unchanged limit of another instance must be. The time on the way makes what it passes on
	// seem newer than it is, and would add up otherwise.
	minAdvance = time.Second
	// shareInterval is how often the share of an instance is computed again.
	shareInterval = 250 * time.Millisecond
	// maxEndpoints bounds the endpoints with a known limit.
	maxEndpoints = 1024
)

// Statement is what an endpoint last named, as one instance passes it on to another.
type Statement struct {
	Endpoint registry.Endpoint
	// Limited is false if the endpoint has withdrawn its limit.
	Limited bool
	// Rate is the limit in requests per second.
	Rate float64
	// Age is the time since the endpoint named or withdrew the limit.
	Age time.Duration
}

// Change is a change of what is known about an endpoint.
type Change struct {
	Statement
	// Before is the rate known before, negative if there was no limit.
	Before float64
	// FromInstance is set if another instance passed it on.
	FromInstance bool
}

// Config holds the dependencies of Limits.
type Config struct {
	// Self is the name of this instance.
	Self string
	// Instances returns the names of all instances, this one included, or nil if they are not known.
	Instances func() []string
	// OnChange is called for each change.
	OnChange func(Change)
	// ColdBound bounds the requests to cold endpoints, and ColdRate returns the number of requests per second that a cold endpoint of a
	// service handles, or zero if its endpoints are never cold. If ColdRate is nil, none is.
	ColdBound ColdBound
	ColdRate  func(service string) float64
	// ColdTime returns how long an endpoint of a service is cold after its start. An assumed cold time ends after it, even if it was not
	// known yet when the endpoint appeared. It may be nil.
	ColdTime func(service string) time.Duration
	// SettledInstances is Instances for cold endpoints: it returns nil until the list is complete. If nil, Instances is used.
	SettledInstances func() []string
	// OnColdChange is called when an endpoint begins to be cold, or says that it is no longer. It may be nil.
	OnColdChange func(ColdChange)
}

// Limits holds the limits that endpoints have named.
type Limits struct {
	config Config
	mu     sync.Mutex
	states map[string]*state
	// cold holds what is known about endpoints that are cold or were lately.
	cold map[string]*coldState
}

// state is what is known about one process of an endpoint.
type state struct {
	endpoint registry.Endpoint
	limited  bool
	rate     float64
	// statedAt is when the endpoint named or withdrew the limit.
	statedAt time.Time

	// share is this instance's part of the rate, computed at sharedAt. unconfirmed is set while all instances share the rate.
	share       float64
	sharedAt    time.Time
	unconfirmed bool
	// permitted is the number of requests that this instance may send now. It had the latest refill at refilledAt, and allows
	// a request since permittedSince.
	permitted      float64
	refilledAt     time.Time
	permittedSince time.Time
}

// New returns Limits that know no limit.
func New(c Config) *Limits {
	return &Limits{config: c, states: make(map[string]*state), cold: make(map[string]*coldState)}
}

// Named records that a response of an endpoint names a limit.
func (l *Limits) Named(e registry.Endpoint, rate float64, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.apply(Statement{Endpoint: e, Limited: true, Rate: rate}, now, false)
}

// NotNamed records that the response to a request sent at the given time names no limit. A request that was sent before the
// latest response with a limit says nothing, because responses may overtake each other.
func (l *Limits) NotNamed(e registry.Endpoint, sentAt, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := l.stateOf(e); s != nil && sentAt.After(s.statedAt) {
		l.apply(Statement{Endpoint: e, Age: now.Sub(sentAt)}, now, false)
	}
}

// Merge applies what another instance has passed on.
func (l *Limits) Merge(list []Statement, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range list {
		l.apply(s, now, true)
	}
}

// apply applies a statement if it is newer than what is known.
func (l *Limits) apply(st Statement, now time.Time, fromInstance bool) {
	at := now.Add(-st.Age)
	s := l.states[st.Endpoint.ID]
	switch {
	case s == nil && (!st.Limited || len(l.states) >= maxEndpoints):
		return
	case s != nil && !s.endpoint.SameProcess(st.Endpoint) && s.endpoint.StartedUnixMilli > st.Endpoint.StartedUnixMilli:
		return
	case s == nil || !s.endpoint.SameProcess(st.Endpoint):
		s = &state{endpoint: st.Endpoint}
		l.states[st.Endpoint.ID] = s
	case at.Before(s.statedAt):
		return
	case fromInstance && st.Limited == s.limited && st.Rate == s.rate && at.Sub(s.statedAt) < minAdvance:
		return
	}
	before := s.limitedRate()
	if !s.limited {
		s.permitted, s.refilledAt = 0, now
	}
	s.limited, s.rate, s.statedAt = st.Limited, st.Rate, at
	if rate := s.limitedRate(); rate != before {
		s.sharedAt = time.Time{}
		l.config.OnChange(Change{Statement: st, Before: before, FromInstance: fromInstance})
	}
}

// limitedRate returns the known limit in requests per second, or -1 if there is none.
func (s *state) limitedRate() float64 {
	if !s.limited {
		return -1
	}
	return s.rate
}

// Statements returns what is to be passed on to other instances: all limits, and those withdrawn lately. It forgets limits
// that were withdrawn earlier.
func (l *Limits) Statements(now time.Time) []Statement {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []Statement
	for id, s := range l.states {
		age := now.Sub(s.statedAt)
		if !s.limited && age > withdrawnPeriod {
			delete(l.states, id)
			continue
		}
		out = append(out, Statement{Endpoint: s.endpoint, Limited: s.limited, Rate: s.rate, Age: age})
	}
	return out
}

// Limited reports whether an endpoint has named a limit.
func (l *Limits) Limited(e registry.Endpoint) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stateOf(e)
	return s != nil && s.limited
}

// Allows reports whether this instance may send a request to an endpoint now.
func (l *Limits) Allows(e registry.Endpoint, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c := l.coldOf(e, now); c != nil {
		l.refillCold(c, now)
		if c.permitted < 1 {
			return false
		}
	}
	s := l.stateOf(e)
	if s == nil || !s.limited {
		return true
	}
	l.refill(s, now)
	return s.permitted >= 1
}

// Unused reports whether this instance may send a request to an endpoint that is limited or cold, and no request has preferred it for a
// while.
func (l *Limits) Unused(e registry.Endpoint, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	s, c := l.stateOf(e), l.coldOf(e, now)
	limited := s != nil && s.limited
	switch {
	case limited && (s.permitted < 1 || now.Sub(s.permittedSince) < unusedPeriod):
		return false
	case c == nil:
		return limited
	}
	l.refillCold(c, now)
	return c.permitted >= 1 && now.Sub(c.permittedSince) >= coldUnusedPeriod
}

// Peek returns what Allows and Unused would return, without a change of state, and the limit in requests per second, negative if
// there is none.
func (l *Limits) Peek(e registry.Endpoint, now time.Time) (allows, unused bool, rate float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	copied := New(l.config)
	rate = -1
	if s := l.stateOf(e); s != nil {
		c := *s
		copied.states[e.ID] = &c
		if s.limited {
			rate = s.rate
		}
	}
	if s := l.coldOf(e, now); s != nil {
		c := *s
		copied.cold[e.ID] = &c
	}
	return copied.Allows(e, now), copied.Unused(e, now), rate
}

// Take records that a request is sent to an endpoint.
func (l *Limits) Take(e registry.Endpoint, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c := l.coldOf(e, now); c != nil {
		l.refillCold(c, now)
		c.permitted--
		c.permittedSince = now
	}
	if s := l.stateOf(e); s != nil && s.limited {
		l.refill(s, now)
		s.permitted--
		s.permittedSince = now
	}
}

// stateOf returns what is known about an endpoint, or nil. A new process under the same ID has no limit.
func (l *Limits) stateOf(e registry.Endpoint) *state {
	s := l.states[e.ID]
	if s == nil || !s.endpoint.SameProcess(e) {
		return nil
	}
	return s
}

// refill adds the requests that this instance may send since the last refill.
func (l *Limits) refill(s *state, now time.Time) {
	if now.Sub(s.sharedAt) >= shareInterval {
		l.updateShare(s, now)
	}
	before := s.permitted
	s.permitted = min(max(maxPermitted, s.share*burstPeriod.Seconds()), s.permitted+s.share*max(now.Sub(s.refilledAt), 0).Seconds())
	s.refilledAt = now
	if before < 1 && s.permitted >= 1 {
		s.permittedSince = now
	}
}

// updateShare computes this instance's part of an endpoint's rate.
func (l *Limits) updateShare(s *state, now time.Time) {
	rate := max(s.rate, minRate)
	instances := l.config.Instances()
	senders := min(minSenders+int(rate), len(instances))
	unconfirmed := now.Sub(s.statedAt) > unconfirmedPeriod+time.Duration(unconfirmedRequests/rate*float64(time.Second))
	switch {
	case len(instances) == 0:
		s.share = 0
	case unconfirmed:
		s.share = rate / float64(len(instances))
	case l.rank(instances, s.endpoint.ID) < senders:
		s.share = rate / float64(senders)
	default:
		s.share = 0
	}
	switch {
	case unconfirmed && !s.unconfirmed:
		// Instances begin at different points, so that they do not all send at the same time.
		s.permitted = float64(l.hash(l.config.Self, s.endpoint.ID)) / (1 << 64)
	case s.share == 0, !unconfirmed && s.unconfirmed:
		s.permitted = 0
	}
	s.unconfirmed, s.sharedAt = unconfirmed, now
}

// rank returns the number of instances that become senders of an endpoint before this one.
func (l *Limits) rank(instances []string, endpointID string) int {
	self, before := l.hash(l.config.Self, endpointID), 0
	for _, instance := range instances {
		if l.hash(instance, endpointID) < self {
			before++
		}
	}
	return before
}

// Rank returns the number of instances that become senders of an endpoint before this one, and the number of all instances.
func (l *Limits) Rank(e registry.Endpoint) (before, all int) {
	instances := l.config.Instances()
	return l.rank(instances, e.ID), len(instances)
}

// hash returns a number by which the instances become senders of an endpoint, the lowest first.
func (l *Limits) hash(instance, endpointID string) uint64 {
	return xxhash.Sum64String(instance + "\x00" + endpointID)
}

// Retain forgets the endpoints for which known returns false.
func (l *Limits) Retain(known func(id string) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id := range l.states {
		if !known(id) {
			delete(l.states, id)
		}
	}
}
