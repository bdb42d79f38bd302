package route

import (
	"time"

	"pumiceshelf/admit"
	"pumiceshelf/invariant"
)

// recordResult updates the endpoint's health and limit with the result of a request.
func (b *Balancer) recordResult(s *endpointState, r admit.Result) {
	switch {
	case r.Busy:
		b.counters.limitCutsFull.Inc(1)
		s.limit.recordBusy()
		s.health.recordBusy(b.config.Clock.Now())
	case r.Failed, r.Stalled:
		b.recordFailure(s, r)
	case r.Succeeded() && r.TotalTime > 0:
		b.recordSuccess(s, r)
	}
}

func (b *Balancer) recordSuccess(s *endpointState, r admit.Result) {
	s.health.recordSuccess()
	s.tokenTime.observe(r)
	utilized := b.table.Load().utilized(b.config.Clock.Now(), s)
	if s.limit.recordCompletion(firstToken(r), utilized) {
		b.counters.limitCutsSlow.Inc(1)
		b.config.Log.Debugf("route: limit of endpoint %s lowered to %d because first tokens are slow", s.id, s.limit.get())
	}
}

func (b *Balancer) recordFailure(s *endpointState, r admit.Result) {
	b.counters.failures.Inc(1)
	if r.Stalled {
		b.counters.stalled.Inc(1)
	}
	now := b.config.Clock.Now()
	if !s.health.markFailure(now.Add(-r.TotalTime), now) {
		return
	}
	s.limit.recordFailure()
	if s.health.recordFailure(r.Stalled) >= int64(b.config.Settings.EjectAfterFailures) {
		b.eject(s)
	}
}

// eject ejects an endpoint unless more than half of one of its groups would be ejected then.
func (b *Balancer) eject(s *endpointState) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.config.Clock.Now()
	if s.health.ejected(now) {
		return
	}
	groups := b.table.Load().memberships[s]
	for _, g := range groups {
		if g.ejectedCount(now)+1 > g.maxEjected() {
			b.counters.ejectionsSkipped.Inc(1)
			return
		}
	}
	d := s.health.eject(now, b.config.Settings.EjectionTime.AsDuration(), int64(b.config.Settings.EjectAfterFailures))
	s.limit.reset()
	for _, g := range groups {
		invariant.Check(g.ejectedCount(now) <= g.maxEjected(), "route", "%d of %d endpoints of group %s ejected", g.ejectedCount(now), g.size(), g.name)
	}
	b.counters.ejections.Inc(1)
	b.config.Log.Warnf("route: endpoint %s ejected for %s", s.id, d)
}

// ejectedCount returns the number of ejected endpoints of the group.
func (g *group) ejectedCount(now time.Time) int {
	n := 0
	g.each(func(s *endpointState) {
		if s.health.ejected(now) {
			n++
		}
	})
	return n
}

// maxEjected returns how many endpoints of the group may be ejected at the same time.
func (g *group) maxEjected() int { return g.size() / 2 }
