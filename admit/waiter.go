package admit

import "time"

// waiter is one request in a queue.
type waiter struct {
	item   Item
	target Target
	// sequence orders requests that are otherwise equal by arrival.
	sequence uint64
	arrived  time.Time
	// latestStart is the last moment at which a dispatch is expected to meet the deadline.
	latestStart time.Time
	// work is the expected service time.
	work     time.Duration
	customer *customerQueue
	// deadlineIndex and expiryIndex are the places in the heaps; -1 when not queued.
	deadlineIndex int
	expiryIndex   int
	// answer receives the ticket. It has room for one.
	answer chan Ticket
}

func (w *waiter) queued() bool { return w.expiryIndex >= 0 }

// later says whether a is served after b within one customer's queue.
func later(a, b *waiter) bool {
	if !a.item.Deadline.Equal(b.item.Deadline) {
		return a.item.Deadline.After(b.item.Deadline)
	}
	return a.sequence > b.sequence
}

// newDeadlineHeap returns a heap for one customer's requests, earliest deadline first.
func newDeadlineHeap() indexHeap[*waiter] {
	return indexHeap[*waiter]{
		before: func(a, b *waiter) bool { return later(b, a) },
		place:  func(w *waiter) *int { return &w.deadlineIndex },
	}
}

// newExpiryHeap returns a heap for a group's requests, first to become hopeless first.
func newExpiryHeap() indexHeap[*waiter] {
	return indexHeap[*waiter]{
		before: func(a, b *waiter) bool {
			if !a.latestStart.Equal(b.latestStart) {
				return a.latestStart.Before(b.latestStart)
			}
			return a.sequence < b.sequence
		},
		place: func(w *waiter) *int { return &w.expiryIndex },
	}
}

// last returns the request with the latest deadline, the newest of equals.
func last(list []*waiter) *waiter {
	var worst *waiter
	for _, w := range list {
		if worst == nil || later(w, worst) {
			worst = w
		}
	}
	return worst
}
