package admit

import "time"

// waiter is a request that waits for a slot.
type waiter struct {
	item   Item
	target Target
	// sequence is the arrival order; it breaks ties.
	sequence  uint64
	arrivedAt time.Time
	// latestStart is the latest dispatch time that is expected to meet the deadline.
	latestStart time.Time
	// expectedWork is the expected service time.
	expectedWork time.Duration
	customer     *customerQueue
	// deadlineIndex and expiryIndex are the indexes in the heaps; -1 when not queued.
	deadlineIndex int
	expiryIndex   int
	// ticket receives the decision. Its buffer of one makes sending never block.
	ticket chan Ticket
}

func (w *waiter) queued() bool { return w.expiryIndex >= 0 }

// servedAfter reports whether a is served after b within one customer's queue.
func servedAfter(a, b *waiter) bool {
	if !a.item.Deadline.Equal(b.item.Deadline) {
		return a.item.Deadline.After(b.item.Deadline)
	}
	return a.sequence > b.sequence
}

// newDeadlineHeap returns a heap for one customer's requests, earliest deadline first.
func newDeadlineHeap() indexHeap[*waiter] {
	return indexHeap[*waiter]{
		before:  func(a, b *waiter) bool { return servedAfter(b, a) },
		indexOf: func(w *waiter) *int { return &w.deadlineIndex },
	}
}

// newExpiryHeap returns a heap for a group's requests, earliest latestStart first.
func newExpiryHeap() indexHeap[*waiter] {
	return indexHeap[*waiter]{
		before: func(a, b *waiter) bool {
			if !a.latestStart.Equal(b.latestStart) {
				return a.latestStart.Before(b.latestStart)
			}
			return a.sequence < b.sequence
		},
		indexOf: func(w *waiter) *int { return &w.expiryIndex },
	}
}

// latest returns the request with the latest deadline, or the newest of several.
func latest(list []*waiter) *waiter {
	var last *waiter
	for _, w := range list {
		if last == nil || servedAfter(w, last) {
			last = w
		}
	}
	return last
}
