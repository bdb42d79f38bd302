package endpointlimit

import (
	"time"

	"pumiceshelf/registry"
)

// An endpoint is cold for some time after its start, and may become cold again. While it is, it handles only a few requests per second,
// and ends at a rate well above that. Its rate is divided among senders like a limit that it names itself, but within a bound for each
// single second, so that there are fewer senders. It protects endpoints that return, one by one or as a whole failure domain.
//
// Invariant: while all instances have lists of instances that differ by at most one sender, and know that the endpoint is cold, at most
// rate * Overage + Slack requests are sent to it in any second.

const (
	// coldWindow is the time in seconds within which the requests must be sent that reach an endpoint in one second: a request that
	// opens a connection arrives later than those after it, mostly by less than 200 ms.
	coldWindow = 1.2
	// extraSenders is the number of senders besides those computed that the bound leaves room for, while lists of instances differ.
	extraSenders = 1
	// minColdUse is the share of the highest possible rate that is given up to have more senders. With few senders, the rate of each is
	// more than the requests that it has.
	minColdUse = 0.85
	// coldUnusedPeriod is unusedPeriod for a cold endpoint. It has few prompt parts in its cache, so that a session gains little by being
	// preferred there; with a longer time, more of the rate is lost to the bound on what a sender saves.
	coldUnusedPeriod = 100 * time.Millisecond
	// coldMemory is how long it is passed on that an endpoint is no longer cold.
	coldMemory = 20 * time.Second
	// minColdExtension is how much longer an endpoint must be cold according to another instance. The time on the way makes it seem
	// longer than it is, and would add up otherwise.
	minColdExtension = 500 * time.Millisecond
	// minNotColdAdvance is how much later than the last statement about a cold time another instance must have learned of its early end: as
	// much as a call between instances may take. The age that it names lacks the time on the way, so that an earlier end seems later.
	minNotColdAdvance = 500 * time.Millisecond
	// maxColdEndpoints bounds the endpoints that may be cold at once; a fleet has at most about 1,300.
	maxColdEndpoints = 4096
	// maxColdLeft is the longest valid time for which an endpoint stays cold.
	maxColdLeft = 10 * time.Minute
)

// ColdBound bounds the requests to a cold endpoint in any one second, by all instances together.
type ColdBound struct {
	// Overage is relative to the rate that a cold endpoint of the service handles, Slack a number of requests besides. Without both, no
	// endpoint counts as cold.
	Overage, Slack float64
}

// ColdStatement tells for how long an endpoint stays cold.
type ColdStatement struct {
	Endpoint registry.Endpoint
	// Left is the time for which it stays cold, zero if the endpoint has said that it is not cold.
	Left time.Duration
	// Age is the time since this became known.
	Age time.Duration
	// Assumed is set if nobody said that the endpoint is cold, but it is new.
	Assumed bool
}

// ColdChange is the begin of a cold time, or its early end.
type ColdChange struct {
	ColdStatement
	// Rate is the number of requests per second that the endpoint handles meanwhile.
	Rate         float64
	FromInstance bool
}

// coldState is what is known about a cold process of an endpoint.
type coldState struct {
	endpoint registry.Endpoint
	until    time.Time
	assumed  bool
	// statedAt is when the latest statement was made.
	statedAt time.Time
	// The rest is as in state.
	share                      float64
	sharedAt                   time.Time
	permitted                  float64
	refilledAt, permittedSince time.Time
}

// RecordCold records that an endpoint stays cold for some time.
func (l *Limits) RecordCold(s ColdStatement, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.applyCold(s, now, false)
}

// RecordNotCold records that a response to a request sent at the given time says that the endpoint is not cold.
func (l *Limits) RecordNotCold(e registry.Endpoint, sentAt, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.applyCold(ColdStatement{Endpoint: e, Age: now.Sub(sentAt)}, now, false)
}

// MergeCold applies what another instance has passed on.
func (l *Limits) MergeCold(list []ColdStatement, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range list {
		l.applyCold(s, now, true)
	}
}

// applyCold applies a statement. What an endpoint or its entry says replaces what was assumed; apart from that, a cold time only
// becomes longer, until the endpoint says in a later response that it is not cold.
func (l *Limits) applyCold(st ColdStatement, now time.Time, fromInstance bool) {
	// The rate may not be known yet if the endpoints are listed before the configuration.
	if l.config.ColdRate == nil || l.config.ColdBound.Overage <= 0 || st.Left < 0 || st.Left > maxColdLeft || st.Age < 0 || st.Age > maxColdLeft {
		return
	}
	s, at := l.cold[st.Endpoint.ID], now.Add(-st.Age)
	switch {
	case s != nil && s.endpoint.SameProcess(st.Endpoint):
	case s != nil && s.endpoint.StartedUnixMilli > st.Endpoint.StartedUnixMilli, st.Left == 0, s == nil && len(l.cold) >= maxColdEndpoints:
		return
	default:
		s = &coldState{endpoint: st.Endpoint}
		l.cold[st.Endpoint.ID] = s
	}
	wasCold, until := now.Before(s.until), now.Add(st.Left)
	later, replaces := at.After(s.statedAt), wasCold && s.assumed && !st.Assumed
	if fromInstance && st.Left == 0 && wasCold {
		later = at.Sub(s.statedAt) > minNotColdAdvance
	}
	extends := until.After(s.until) && (!fromInstance || until.Sub(s.until) >= minColdExtension)
	switch {
	case st.Left == 0 && later:
		s.until, s.statedAt, s.assumed = time.Time{}, at, false
	case st.Left == 0, !later && (st.Assumed || s.until.IsZero()), wasCold && st.Assumed && !s.assumed, !replaces && !extends:
		if st.Left > 0 && !st.Assumed && !fromInstance {
			s.statedAt = maxTime(s.statedAt, at)
		}
		return
	default:
		s.until, s.statedAt, s.assumed = until, maxTime(s.statedAt, at), st.Assumed
	}
	if isCold := now.Before(s.until); isCold != wasCold {
		// A sender starts with nothing, so that no burst follows when many instances learn of it at once.
		s.permitted, s.refilledAt, s.sharedAt = 0, now, time.Time{}
		if l.config.OnColdChange != nil {
			l.config.OnColdChange(ColdChange{ColdStatement: st, Rate: l.coldRate(st.Endpoint.Service), FromInstance: fromInstance})
		}
	}
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// coldRate returns the requests per second that a cold endpoint of the service handles, or zero if its endpoints are never cold.
func (l *Limits) coldRate(service string) float64 {
	if l.config.ColdRate == nil || l.config.ColdBound.Overage <= 0 {
		return 0
	}
	return l.config.ColdRate(service)
}

// ColdStatements returns what is to be passed on to other instances. It forgets what ended long ago.
func (l *Limits) ColdStatements(now time.Time) (out []ColdStatement) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, s := range l.cold {
		if now.Sub(maxTime(s.until, s.statedAt)) > coldMemory {
			delete(l.cold, id)
			continue
		}
		// The end of a cold time needs no message unless it came early.
		if now.Before(s.until) || s.until.IsZero() {
			out = append(out, ColdStatement{Endpoint: s.endpoint, Left: max(s.until.Sub(now), 0), Age: now.Sub(s.statedAt), Assumed: s.assumed})
		}
	}
	return out
}

// IsCold reports whether an endpoint is cold, as far as this instance knows.
func (l *Limits) IsCold(e registry.Endpoint, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.coldOf(e, now) != nil
}

// ColdCount returns the number of cold endpoints.
func (l *Limits) ColdCount(now time.Time) (n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range l.cold {
		if now.Before(s.until) {
			n++
		}
	}
	return n
}

// coldOf returns the state of an endpoint that is cold, or nil.
func (l *Limits) coldOf(e registry.Endpoint, now time.Time) *coldState {
	s := l.cold[e.ID]
	if s == nil || !now.Before(s.until) || !s.endpoint.SameProcess(e) || l.coldRate(e.Service) <= 0 {
		return nil
	}
	if s.assumed && l.config.ColdTime != nil && now.Sub(s.statedAt) >= l.config.ColdTime(e.Service) {
		return nil
	}
	return s
}

// refillCold adds the requests that this instance may send to a cold endpoint since the last refill.
func (l *Limits) refillCold(s *coldState, now time.Time) {
	if now.Sub(s.sharedAt) >= shareInterval {
		s.share, s.sharedAt = 0, now
		instances := l.coldInstances()
		if senders, share := l.config.ColdBound.divide(l.coldRate(s.endpoint.Service), len(instances)); senders > 0 && l.rank(instances, s.endpoint.ID) < senders {
			s.share = share
		}
		if s.share == 0 {
			s.permitted = 0
		}
	}
	before := s.permitted
	s.permitted = min(max(maxPermitted, s.share*burstPeriod.Seconds()), s.permitted+s.share*max(now.Sub(s.refilledAt), 0).Seconds())
	s.refilledAt = now
	if before < 1 && s.permitted >= 1 {
		s.permittedSince = now
	}
}

// coldInstances returns the instances among which cold endpoints are divided.
func (l *Limits) coldInstances() []string {
	if l.config.SettledInstances != nil {
		return l.config.SettledInstances()
	}
	return l.config.Instances()
}

// divide returns the number of senders of a cold endpoint, of the given number of instances, and the requests per second that each may
// send. The more senders, the more of the bound is lost to the request that each may have saved.
func (b ColdBound) divide(rate float64, instances int) (senders int, share float64) {
	most := rate*b.Overage + b.Slack
	shareOf := func(senders int) float64 {
		each := most / float64(senders+extraSenders)
		share := (each - maxPermitted) / coldWindow
		if share*burstPeriod.Seconds() > maxPermitted {
			share = each / (coldWindow + burstPeriod.Seconds())
		}
		return min(share, rate/float64(senders))
	}
	highest := 0.0
	for n := 1; n <= instances && shareOf(n) > 0; n++ {
		highest = max(highest, float64(n)*shareOf(n))
	}
	for n := 1; n <= instances && shareOf(n) > 0; n++ {
		if float64(n)*shareOf(n) >= minColdUse*highest {
			senders, share = n, shareOf(n)
		}
	}
	return senders, share
}
