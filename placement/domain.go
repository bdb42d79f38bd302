package placement

import (
	"time"

	"pumiceshelf/registry"
)

const (
	// domainWitnesses is how many endpoints of a failure domain must be out of reach, with none answering in between, for
	// the domain to count as cut off from this instance.
	domainWitnesses = 2
	// domainPause is how long a domain is then left out before one of its endpoints is tried again.
	domainPause = 1500 * time.Millisecond
)

// domain is what is known of the way to a failure domain.
type domain struct {
	// unreachable holds the endpoints that could not be reached since the last answer from the domain.
	unreachable map[string]bool
	awayUntil   time.Time
}

// away says whether the domain counts as cut off.
func (d *domain) away(now time.Time) bool { return d != nil && now.Before(d.awayUntil) }

// learnDomain takes the result of a request into what is known of its endpoint's domain.
func (c *Chooser) learnDomain(e registry.Endpoint, r Result, now time.Time) {
	d := c.domains[e.Domain]
	if d == nil {
		d = &domain{unreachable: make(map[string]bool)}
		c.domains[e.Domain] = d
	}
	switch r {
	case Unreachable:
		d.unreachable[e.ID] = true
		if len(d.unreachable) >= domainWitnesses {
			d.awayUntil = now.Add(domainPause)
		}
	case Served, Errored, Busy:
		clear(d.unreachable)
		d.awayUntil = time.Time{}
	case Broken, Silent, Withdrawn:
	}
}
