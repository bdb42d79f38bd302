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
	// unlistedSince is when the endpoint was first found not listed, or zero if it is listed.
	unlistedSince time.Time
}

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

// retainNotices forgets the endpoints that have not been listed for unlistedRetention, and those not listed for the
// longest time if there are too many.
func (c *Chooser) retainNotices(listed func(id string) bool, now time.Time) {
	var unlisted []*notice
	for id, n := range c.notices {
		switch {
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
