package orders

import (
	"time"

	"pumiceshelf/api"
)

const (
	// slotLifetime is how long a slot counts after it was last written. It bounds how long a lost domain, or an engine
	// that never finishes, holds up the others; no promise rests on it.
	slotLifetime = 15 * time.Minute
	// slotRenewal is the age at which a slot that is still needed is written again.
	slotRenewal = 5 * time.Minute
)

// slots is the object of endpoints that are being changed, in the hands of one reconciler.
type slots struct {
	list    []*api.ChangeSlot
	changed bool
}

// expire drops the slots that have outlived their time, of any domain.
func (s *slots) expire(now time.Time) {
	s.keep(func(c *api.ChangeSlot) bool { return age(now, c) <= slotLifetime })
}

func age(now time.Time, c *api.ChangeSlot) time.Duration {
	return now.Sub(time.UnixMilli(c.RenewedUnixMs))
}

// keep drops the slots that f refuses.
func (s *slots) keep(f func(*api.ChangeSlot) bool) {
	var out []*api.ChangeSlot
	for _, c := range s.list {
		if f(c) {
			out = append(out, c)
		}
	}
	s.changed = s.changed || len(out) != len(s.list)
	s.list = out
}

// settle releases the domain's slots whose endpoints are done or no longer managed by the bundle, and renews those whose
// endpoints still load.
func (s *slots) settle(now time.Time, domain string, decisions []decision) {
	steps := make(map[string]step, len(decisions))
	for _, d := range decisions {
		steps[d.endpoint.ID] = d.step
	}
	s.keep(func(c *api.ChangeSlot) bool {
		if c.Domain != domain {
			return true
		}
		st, managed := steps[c.Endpoint]
		return managed && st != inForce
	})
	for _, c := range s.list {
		if c.Domain == domain && steps[c.Endpoint] == loading && age(now, c) > slotRenewal {
			c.RenewedUnixMs = now.UnixMilli()
			s.changed = true
		}
	}
}

// take adds a slot for an endpoint, or returns false when as many endpoints as may load at once do. An endpoint that
// has a slot keeps it.
func (s *slots) take(now time.Time, d decision, concurrent int) bool {
	loads := 0
	for _, c := range s.list {
		if c.Endpoint == d.endpoint.ID {
			return true
		}
		if c.Loads {
			loads++
		}
	}
	if d.loads && loads >= concurrent {
		return false
	}
	s.changed = true
	s.list = append(s.list, &api.ChangeSlot{
		Endpoint: d.endpoint.ID, Domain: string(d.endpoint.Domain), Loads: d.loads, RenewedUnixMs: now.UnixMilli(),
	})
	return true
}

// held returns the ids of the endpoints that hold slots.
func (s *slots) held() map[string]bool {
	out := make(map[string]bool, len(s.list))
	for _, c := range s.list {
		out[c.Endpoint] = true
	}
	return out
}

// hasDomain says whether an endpoint of the domain holds a slot.
func (s *slots) hasDomain(domain string) bool {
	for _, c := range s.list {
		if c.Domain == domain {
			return true
		}
	}
	return false
}
