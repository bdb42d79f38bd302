package placement

import (
	"slices"
	"time"

	"pumiceshelf/registry"
)

const (
	// unlistedRetention is how long a notice is kept after the endpoint is no longer listed. Entries of endpoints that
	// still run may be missing for a while, such as during an outage of the store.
	unlistedRetention = 10 * time.Minute
	// maxUnlisted bounds the notices of endpoints that are not listed.
	maxUnlisted = 1024
)

// notice is what one process of an endpoint has said in its responses about further requests of this instance. Unlike
// an endpointState, it outlives the endpoint's entry for a while, because the entry may come back.
type notice struct {
	endpoint registry.Endpoint
	// draining is set once the endpoint has said that it is about to stop.
	draining bool
	// pausedUntil is the end of the pause that the endpoint has asked for, and pause the length that it last named.
	pausedUntil time.Time
	pause       time.Duration
	// unlistedSince is when the endpoint was first found not listed, or zero if it is listed.
	unlistedSince time.Time
}

// accepts reports whether the endpoint may get a request.
func (n notice) accepts(now time.Time) bool { return !n.draining && !now.Before(n.pausedUntil) }

// RecordDraining records that the endpoint is about to stop, and gets no further requests. It returns false if that was known.
func (t *Ticket) RecordDraining() bool {
	t.chooser.mu.Lock()
	defer t.chooser.mu.Unlock()
	n := t.chooser.ensureNotice(t.Endpoint)
	if n == nil || n.draining {
		return false
	}
	n.draining = true
	return true
}

// RecordPause records that the endpoint wants no further requests for a while. No other response ends the pause, because
// responses may overtake each other, and a shorter pause does not replace a longer one. It returns false if the endpoint is in
// a pause of that length already, which is then extended.
func (t *Ticket) RecordPause(pause time.Duration, now time.Time) bool {
	t.chooser.mu.Lock()
	defer t.chooser.mu.Unlock()
	n, until := t.chooser.ensureNotice(t.Endpoint), now.Add(pause)
	if n == nil || !until.After(n.pausedUntil) {
		return false
	}
	changed := !now.Before(n.pausedUntil) || pause != n.pause
	n.pausedUntil, n.pause = until, pause
	return changed
}

// RemainingPause returns the time until the first of the endpoints takes requests again if all that are not draining have
// asked for a pause, and zero otherwise.
func (c *Chooser) RemainingPause(endpoints []registry.Endpoint, now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.remainingPause(endpoints, now)
}

// remainingPause is RemainingPause for a caller that holds the mutex.
func (c *Chooser) remainingPause(endpoints []registry.Endpoint, now time.Time) (shortest time.Duration) {
	for _, e := range endpoints {
		n := c.noticeOf(e)
		if n.draining {
			continue
		}
		remaining := n.pausedUntil.Sub(now)
		if remaining <= 0 {
			return 0
		}
		if shortest == 0 || remaining < shortest {
			shortest = remaining
		}
	}
	return shortest
}

// ensureNotice returns the notice of an endpoint for a change. It returns nil if a later process has the endpoint's ID.
func (c *Chooser) ensureNotice(e registry.Endpoint) *notice {
	n := c.notices[e.ID]
	switch {
	case n != nil && n.endpoint.SameProcess(e):
		return n
	case n != nil && n.endpoint.StartedUnixMilli > e.StartedUnixMilli:
		return nil
	}
	n = &notice{endpoint: e}
	c.notices[e.ID] = n
	return n
}

// noticeOf returns what an endpoint has said. A new process under the same ID has said nothing.
func (c *Chooser) noticeOf(e registry.Endpoint) notice {
	if n := c.notices[e.ID]; n != nil && n.endpoint.SameProcess(e) {
		return *n
	}
	return notice{}
}

// retainNotices forgets ended pauses, the endpoints that have not been listed for unlistedRetention, and those not listed for
// the longest time if there are too many.
func (c *Chooser) retainNotices(listed func(id string) bool, now time.Time) {
	var unlisted []*notice
	for id, n := range c.notices {
		switch {
		case n.accepts(now):
			delete(c.notices, id)
		case listed(id):
			n.unlistedSince = time.Time{}
		case n.unlistedSince.IsZero():
			n.unlistedSince = now
			unlisted = append(unlisted, n)
		case now.Sub(n.unlistedSince) > unlistedRetention:
			delete(c.notices, id)
		default:
			unlisted = append(unlisted, n)
		}
	}
	if len(unlisted) <= maxUnlisted {
		return
	}
	slices.SortFunc(unlisted, func(a, b *notice) int { return a.unlistedSince.Compare(b.unlistedSince) })
	for _, n := range unlisted[:len(unlisted)-maxUnlisted] {
		delete(c.notices, n.endpoint.ID)
	}
}
