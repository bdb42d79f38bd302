package placement

import (
	"math/rand/v2"
	"time"

	"pumiceshelf/registry"
)

const (
	// rejectionLimitMemory is how long the limit of a service is in force after one of its endpoints named it.
	rejectionLimitMemory = 5 * time.Second
	// minMaxRejected is the number of rejected requests per second that an endpoint which names a lower one is assumed to bear.
	minMaxRejected = 0.25
	// rejectionsUsed is the part of the rejected requests per second that all instances together may cause.
	rejectionsUsed = 0.5
)

// rejectionLimit is the number of requests per second that each endpoint of a service can reject for want of room without ending.
type rejectionLimit struct {
	maxRejected float64
	namedAt     time.Time
}

// Instances tells how an endpoint is divided among the instances of the fleet.
type Instances interface {
	// Rank returns the number of instances that come before this one in the endpoint's order, and the number of all.
	Rank(e registry.Endpoint) (before, all int)
}

// RecordMaxRejected records that the endpoint can reject so many requests per second without ending. It returns false if the
// service has named that number already.
func (t *Ticket) RecordMaxRejected(perSecond float64, now time.Time) bool {
	c := t.chooser
	c.mu.Lock()
	defer c.mu.Unlock()
	before, known := c.rejectionLimits[t.Endpoint.Service]
	c.rejectionLimits[t.Endpoint.Service] = rejectionLimit{maxRejected: perSecond, namedAt: now}
	return !known || before.maxRejected != perSecond || now.Sub(before.namedAt) > rejectionLimitMemory
}

// rejectionLimit returns the limit of a service, or false if no endpoint named one lately.
func (c *Chooser) rejectionLimit(service string, now time.Time) (rejectionLimit, bool) {
	l, ok := c.rejectionLimits[service]
	if ok && now.Sub(l.namedAt) > rejectionLimitMemory {
		delete(c.rejectionLimits, service)
		return rejectionLimit{}, false
	}
	return l, ok
}

// RecordNoMaxRejected records that the response to a request sent at the given time does not name such a number: the endpoints of
// the service have stopped to do so.
func (t *Ticket) RecordNoMaxRejected(sentAt time.Time) {
	c := t.chooser
	c.mu.Lock()
	defer c.mu.Unlock()
	if l, known := c.rejectionLimits[t.Endpoint.Service]; known && sentAt.After(l.namedAt) {
		delete(c.rejectionLimits, t.Endpoint.Service)
	}
}

// shares returns how many requests of this instance each of the endpoints of a service may have in progress, by ID, or nil if the
// service has no rejection limit. The slots of an endpoint are divided among the instances. If there are more instances than
// slots, those that come first in the endpoint's order get one each; an instance that gets none anywhere gets one at the
// endpoint in whose order it comes first. The waiting room is left to requests that cross each other.
func (c *Chooser) shares(endpoints []registry.Endpoint, now time.Time) map[string]int {
	if len(c.rejectionLimits) == 0 || len(endpoints) == 0 {
		return nil
	}
	if _, limited := c.rejectionLimit(endpoints[0].Service, now); !limited {
		return nil
	}
	shares := make(map[string]int, len(endpoints))
	total, first, firstBefore := 0, "", 0
	for _, e := range endpoints {
		before, all := c.limits.Rank(e)
		slots := max(e.Slots, 1)
		share := slots / max(all, 1)
		if before < slots%max(all, 1) {
			share++
		}
		shares[e.ID] = share
		total += share
		if first == "" || before < firstBefore {
			first, firstBefore = e.ID, before
		}
	}
	if total == 0 {
		shares[first] = 1
	}
	return shares
}

// recordRejection records that an endpoint had no room for a request. If its service has a rejection limit, the next one follows
// only after a time in which all instances together may cause the rejected requests that the endpoint bears.
func (c *Chooser) recordRejection(s *endpointState, now time.Time) {
	l, limited := c.rejectionLimit(s.endpoint.Service, now)
	if !limited {
		return
	}
	_, all := c.limits.Rank(s.endpoint)
	senders := float64(max(min(all, s.endpoint.Slots), 1))
	pause := time.Duration(senders / (rejectionsUsed * max(l.maxRejected, minMaxRejected)) * float64(time.Second))
	s.rejectedUntil = now.Add(pause + rand.N(pause/4+1))
}
