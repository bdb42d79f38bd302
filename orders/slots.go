package orders

import (
	"time"

	"pumiceshelf/api"
)

const (
	// slotTTL is how long a slot is valid after it was last written. It bounds how long a domain without live instances, or
	// an engine that never finishes loading, delays the others. Correctness does not depend on it.
	slotTTL = 15 * time.Minute
	// slotRenewalAge is the age from which a slot that is still needed is renewed.
	slotRenewalAge = 5 * time.Minute
)

// slots is a reconciler's copy of the slots object, which lists the endpoints that are being changed. The reconciler modifies
// the copy and writes it back.
type slots struct {
	list []*api.ChangeSlot
	// changed is true if the list must be written back.
	changed bool
}

// expire removes the expired slots of all domains.
func (s *slots) expire(now time.Time) {
	s.filter(func(c *api.ChangeSlot) bool { return slotAge(now, c) <= slotTTL })
}

// slotAge returns the time since a slot was last written.
func slotAge(now time.Time, c *api.ChangeSlot) time.Duration {
	return now.Sub(time.UnixMilli(c.RenewedUnixMs))
}

// filter removes the slots for which keep returns false.
func (s *slots) filter(keep func(*api.ChangeSlot) bool) {
	var out []*api.ChangeSlot
	for _, c := range s.list {
		if keep(c) {
			out = append(out, c)
		}
	}
	s.changed = s.changed || len(out) != len(s.list)
	s.list = out
}

// releaseAndRenew releases the domain's slots whose endpoints are up to date or no longer managed by the bundle, and renews
// those whose endpoints are still loading.
func (s *slots) releaseAndRenew(now time.Time, domain string, decisions []decision) {
	steps := make(map[string]step, len(decisions))
	for _, d := range decisions {
		steps[d.endpoint.ID] = d.step
	}
	s.filter(func(c *api.ChangeSlot) bool {
		if c.Domain != domain {
			return true
		}
		st, managed := steps[c.Endpoint]
		return managed && st != upToDate
	})
	for _, c := range s.list {
		if c.Domain == domain && steps[c.Endpoint] == loading && slotAge(now, c) > slotRenewalAge {
			c.RenewedUnixMs = now.UnixMilli()
			s.changed = true
		}
	}
}

// acquire adds a slot for an endpoint. It returns false if the change loads weights and the limit of concurrent loads is
// reached. An endpoint that already has a slot keeps it.
func (s *slots) acquire(now time.Time, d decision, maxConcurrent int) bool {
	loadCount := 0
	for _, c := range s.list {
		if c.Endpoint == d.endpoint.ID {
			return true
		}
		if c.Loads {
			loadCount++
		}
	}
	if d.loadsWeights && loadCount >= maxConcurrent {
		return false
	}
	s.changed = true
	s.list = append(s.list, &api.ChangeSlot{
		Endpoint: d.endpoint.ID, Domain: string(d.endpoint.Domain), Loads: d.loadsWeights, RenewedUnixMs: now.UnixMilli(),
	})
	return true
}

// endpointIDs returns the IDs of the endpoints that hold slots.
func (s *slots) endpointIDs() map[string]bool {
	out := make(map[string]bool, len(s.list))
	for _, c := range s.list {
		out[c.Endpoint] = true
	}
	return out
}

// heldByDomain reports whether an endpoint of the domain holds a slot.
func (s *slots) heldByDomain(domain string) bool {
	for _, c := range s.list {
		if c.Domain == domain {
			return true
		}
	}
	return false
}
