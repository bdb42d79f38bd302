package peer

import (
	"math/bits"

	"pumiceshelf/api"
)

const (
	// maxUpdatesPerHeartbeat bounds the updates in one heartbeat.
	maxUpdatesPerHeartbeat = 8
	// maxQueuedUpdates bounds the queued updates.
	maxQueuedUpdates = 1024
	// transmitFactor, multiplied by the bit length of the fleet size, is how often an update is sent.
	transmitFactor = 3
	// maxKnownTransmits bounds how often an update is sent that most other instances already have.
	maxKnownTransmits = 3
)

// updateQueue holds membership updates to gossip with heartbeats. Each is sent a bounded number of times.
type updateQueue struct {
	items []queuedUpdate
	// pushCount is the number of updates ever added.
	pushCount uint64
}

type queuedUpdate struct {
	update        *api.MemberUpdate
	transmitsLeft int
}

// push adds an update at the head of the queue, to be sent in a fleet of the given size. A full queue drops its last update.
func (q *updateQueue) push(u *api.MemberUpdate, size int) {
	q.pushCount++
	if len(q.items) == maxQueuedUpdates {
		q.items = q.items[:maxQueuedUpdates-1]
	}
	item := queuedUpdate{update: u, transmitsLeft: transmitFactor * bits.Len(uint(size))}
	q.items = append([]queuedUpdate{item}, q.items...)
}

// capTransmits limits the remaining transmits of all queued updates to maxKnownTransmits.
func (q *updateQueue) capTransmits() {
	for i := range q.items {
		q.items[i].transmitsLeft = min(q.items[i].transmitsLeft, maxKnownTransmits)
	}
}

// nextBatch returns the updates for one heartbeat and moves those with transmits left to the end of the queue.
func (q *updateQueue) nextBatch() []*api.MemberUpdate {
	n := min(maxUpdatesPerHeartbeat, len(q.items))
	out := make([]*api.MemberUpdate, 0, n)
	head := q.items[:n]
	rest := q.items[n:]
	next := make([]queuedUpdate, 0, len(q.items))
	next = append(next, rest...)
	for _, item := range head {
		out = append(out, item.update)
		if item.transmitsLeft--; item.transmitsLeft > 0 {
			next = append(next, item)
		}
	}
	q.items = next
	return out
}

func (q *updateQueue) empty() bool { return len(q.items) == 0 }
