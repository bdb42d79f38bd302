package placement

import (
	"maps"
	"time"

	"pumiceshelf/registry"
)

const (
	// partitionThreshold is how many endpoints of a failure domain must be unreachable, without a response from the
	// domain in between, for the domain to count as partitioned from this instance.
	partitionThreshold = 2
	// partitionPause is how long a partitioned domain is skipped before its endpoints are tried again.
	partitionPause = 1500 * time.Millisecond
)

// domainState tracks whether a failure domain can be reached from this instance.
type domainState struct {
	// unreachableEndpoints holds the IDs of endpoints found unreachable since the last response from the domain.
	unreachableEndpoints map[string]bool
	skipUntil            time.Time
}

// partitioned reports whether the domain counts as partitioned. A nil receiver does not.
func (d *domainState) partitioned(now time.Time) bool { return d != nil && now.Before(d.skipUntil) }

// OutOfReach reports whether this instance could not connect to the endpoint, or to partitionThreshold endpoints of its failure domain,
// and has had no response from the domain since. Its capacity is then of no use to this instance.
func (c *Chooser) OutOfReach(e registry.Endpoint) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	d := c.domains[e.Domain]
	return d != nil && (d.unreachableEndpoints[e.ID] || len(d.unreachableEndpoints) >= partitionThreshold)
}

// Reached records that this instance could connect to an endpoint again. Endpoints of its failure domain that were ejected because they
// could not be reached get requests again.
func (c *Chooser) Reached(e registry.Endpoint) {
	c.mu.Lock()
	defer c.mu.Unlock()
	d := c.domains[e.Domain]
	if d == nil {
		return
	}
	if len(d.unreachableEndpoints) < partitionThreshold {
		c.endEjection(e.ID)
		delete(d.unreachableEndpoints, e.ID)
		// The domain may still be skipped for endpoints that have left since.
		d.skipUntil = time.Time{}
		return
	}
	for id := range d.unreachableEndpoints {
		c.endEjection(id)
	}
	d.clear()
}

// endEjection lets an endpoint get requests again that was ejected for another reason than silence. Its failures were those of the path.
func (c *Chooser) endEjection(id string) {
	if s := c.states[id]; s != nil && !s.silent {
		s.ejections, s.ejectedUntil, s.failureAvg = 0, time.Time{}, 0
	}
}

// clear records that the domain can be reached.
func (d *domainState) clear() {
	clear(d.unreachableEndpoints)
	d.skipUntil = time.Time{}
}

// retainDomains forgets endpoints for which known returns false, and domains of which nothing is left to remember. Endpoints that left for
// good would otherwise make their domain count as out of reach. The caller holds the mutex.
func (c *Chooser) retainDomains(known func(id string) bool, now time.Time) {
	for name, d := range c.domains {
		maps.DeleteFunc(d.unreachableEndpoints, func(id string, _ bool) bool { return !known(id) })
		if len(d.unreachableEndpoints) == 0 && !d.partitioned(now) {
			delete(c.domains, name)
		}
	}
}

// updateDomain applies the result of a request to the state of its endpoint's failure domain.
func (c *Chooser) updateDomain(e registry.Endpoint, r Result, now time.Time) {
	d := c.domains[e.Domain]
	if d == nil {
		d = &domainState{unreachableEndpoints: make(map[string]bool)}
		c.domains[e.Domain] = d
	}
	switch r {
	case Unreachable:
		d.unreachableEndpoints[e.ID] = true
		if len(d.unreachableEndpoints) >= partitionThreshold {
			d.skipUntil = now.Add(partitionPause)
		}
	case Served, Errored, Busy:
		d.clear()
	case InvalidResponse, Unresponsive, Canceled, NotConnected:
	}
}
