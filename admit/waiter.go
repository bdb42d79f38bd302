package admit

import (
	"container/heap"
	"time"
)

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

// byDeadline is a heap of one customer's requests, earliest deadline first.
type byDeadline []*waiter

func (h byDeadline) Len() int { return len(h) }
func (h byDeadline) Less(i, j int) bool {
	if !h[i].item.Deadline.Equal(h[j].item.Deadline) {
		return h[i].item.Deadline.Before(h[j].item.Deadline)
	}
	return h[i].sequence < h[j].sequence
}
func (h byDeadline) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].deadlineIndex = i
	h[j].deadlineIndex = j
}
func (h *byDeadline) Push(x any) {
	w := x.(*waiter)
	w.deadlineIndex = len(*h)
	*h = append(*h, w)
}
func (h *byDeadline) Pop() any {
	old := *h
	w := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	w.deadlineIndex = -1
	return w
}

// last returns the request with the latest deadline, the newest of equals.
func (h byDeadline) last() *waiter {
	var worst *waiter
	for _, w := range h {
		if worst == nil || later(w, worst) {
			worst = w
		}
	}
	return worst
}

func later(a, b *waiter) bool {
	if !a.item.Deadline.Equal(b.item.Deadline) {
		return a.item.Deadline.After(b.item.Deadline)
	}
	return a.sequence > b.sequence
}

// byExpiry is a heap of a group's requests, first to become hopeless first.
type byExpiry []*waiter

func (h byExpiry) Len() int { return len(h) }
func (h byExpiry) Less(i, j int) bool {
	if !h[i].latestStart.Equal(h[j].latestStart) {
		return h[i].latestStart.Before(h[j].latestStart)
	}
	return h[i].sequence < h[j].sequence
}
func (h byExpiry) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].expiryIndex = i
	h[j].expiryIndex = j
}
func (h *byExpiry) Push(x any) {
	w := x.(*waiter)
	w.expiryIndex = len(*h)
	*h = append(*h, w)
}
func (h *byExpiry) Pop() any {
	old := *h
	w := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	w.expiryIndex = -1
	return w
}

var (
	_ heap.Interface = (*byDeadline)(nil)
	_ heap.Interface = (*byExpiry)(nil)
)
