package registry

import (
	"math"
	"sync"
	"time"
)

// MaxContactGap is the longest time between two confirmations of the store within one contact. It is longer than a watch of the
// store, which lasts 1.8 s. Known endpoints are outdated if the last confirmation is older.
const MaxContactGap = 2500 * time.Millisecond

// Contact records since when the store has confirmed the known endpoints without a gap. An endpoint that starts again as another
// software version registers some seconds later, or after an outage of the store: only the length of the contact excludes that
// an entry still names an earlier process. It is needed after a kill of all instances, when no instance knows which
// connections were lost. It is safe for concurrent use.
type Contact struct {
	mu sync.Mutex
	// since and last are the times of the first and the last confirmation of the present contact, zero if there is none.
	since, last time.Time
	// reporters are the other instances that have reported to this one in the present contact which endpoints may have started again.
	// inherited is set once there are enough of them.
	reporters map[string]bool
	inherited bool
	// notBefore is the time before which confirmations do not count.
	notBefore time.Time
	// ownUntil is the time up to which what others report does not count.
	ownUntil time.Time
}

// Confirm records that the store confirmed the endpoints at a time, which may be some time ago if a relay reported it.
func (c *Contact) Confirm(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case at.Before(c.notBefore) || at.Before(c.last):
		return
	case c.last.IsZero() || at.Sub(c.last) > MaxContactGap:
		c.since, c.reporters, c.inherited = at, nil, false
	}
	c.last = at
}

// Interrupt ends the contact. Confirmations before a time do not begin another one.
func (c *Contact) Interrupt(notBefore time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.since, c.last, c.reporters, c.inherited, c.notBefore = time.Time{}, time.Time{}, nil, false, notBefore
}

// Reset is Interrupt because the entries may have been replaced by older ones. Others may not know that yet, so what they report does not
// count before a time.
func (c *Contact) Reset(now, ownUntil time.Time) {
	c.Interrupt(now)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ownUntil = ownUntil
}

// Inherit records that another instance, whose contact has lasted long enough, has reported to this one which endpoints may have
// started again. Once enough different ones have, that is as good as a contact of this instance, for as long as its contact lasts. One
// is not enough: it may have had no connection to the endpoints that have ended.
func (c *Contact) Inherit(reporter string, enough int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.last.IsZero() || c.inherited || c.last.Before(c.ownUntil) {
		return
	}
	if c.reporters == nil {
		c.reporters = make(map[string]bool)
	}
	c.reporters[reporter] = true
	c.inherited = len(c.reporters) >= enough
}

// Inherited reports whether enough instances have reported in the present contact.
func (c *Contact) Inherited() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.inherited
}

// State returns the age of the last confirmation, and the time from the first to the last one of the contact.
func (c *Contact) State(now time.Time) (age, lasted time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.last.IsZero() {
		return math.MaxInt64, 0
	}
	return now.Sub(c.last), c.last.Sub(c.since)
}
