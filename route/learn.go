package route

import (
	"time"

	"pumiceshelf/admit"
	"pumiceshelf/invariant"
)

// learn takes in the result of a request.
func (b *Balancer) learn(s *state, r admit.Result) {
	switch {
	case r.Busy:
		b.meters.full.Inc(1)
		s.limit.full()
		s.health.full(b.config.Clock.Now())
	case r.Failed, r.Stalled:
		b.fail(s, r)
	case r.Succeeded() && r.TotalTime > 0:
		b.succeed(s, r)
	}
}

func (b *Balancer) succeed(s *state, r admit.Result) {
	s.health.succeeded()
	s.pace.observe(r)
	pressed := b.table.Load().pressed(b.config.Clock.Now(), s)
	if s.limit.completed(firstToken(r), pressed) {
		b.meters.slowed.Inc(1)
		b.config.Log.Debugf("route: limit of %s lowered to %d, first tokens are slow", s.id, s.limit.get())
	}
}

func (b *Balancer) fail(s *state, r admit.Result) {
	b.meters.failures.Inc(1)
	if r.Stalled {
		b.meters.silent.Inc(1)
	}
	now := b.config.Clock.Now()
	if !s.health.newFailure(now.Add(-r.TotalTime), now) {
		return
	}
	s.limit.failed()
	if s.health.failed(r.Stalled) >= int64(b.config.Settings.EjectAfterFailures) {
		b.eject(s)
	}
}

// eject takes an endpoint out of rotation unless that would take most of one of its groups.
func (b *Balancer) eject(s *state) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.config.Clock.Now()
	if s.health.ejected(now) {
		return
	}
	groups := b.table.Load().memberships[s]
	for _, g := range groups {
		if g.ejected(now)+1 > g.ejectedMax() {
			b.meters.withheld.Inc(1)
			return
		}
	}
	d := s.health.eject(now, b.config.Settings.EjectionTime.AsDuration(), int64(b.config.Settings.EjectAfterFailures))
	s.limit.restart()
	for _, g := range groups {
		invariant.Check(g.ejected(now) <= g.ejectedMax(), "route", "%d of %d endpoints of %s ejected", g.ejected(now), g.size(), g.name)
	}
	b.meters.ejected.Inc(1)
	b.config.Log.Warnf("route: %s ejected for %s", s.id, d)
}

// ejected returns how many endpoints of the group are out of rotation.
func (g *group) ejected(now time.Time) int {
	n := 0
	g.each(func(s *state) {
		if s.health.ejected(now) {
			n++
		}
	})
	return n
}

// ejectedMax returns how many endpoints of the group may be out of rotation at once.
func (g *group) ejectedMax() int { return g.size() / 2 }
