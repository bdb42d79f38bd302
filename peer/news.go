package peer

import (
	"math/bits"

	"pumiceshelf/api"
)

const (
	// newsPerHeartbeat bounds the updates that one heartbeat carries.
	newsPerHeartbeat = 8
	// newsLimit bounds the updates that wait.
	newsLimit = 1024
	// newsRepeat times the logarithm of the fleet's size is how often an update is passed on.
	newsRepeat = 3
	// curbedRepeat is how often an update is passed on that most others have already.
	curbedRepeat = 3
)

// newsQueue holds updates to pass on with heartbeats, each a bounded number of times.
type newsQueue struct {
	items []newsItem
	// pushed counts the updates ever added.
	pushed uint64
}

type newsItem struct {
	update *api.MemberUpdate
	left   int
}

// push adds an update for a fleet of the given size, to go before all others. The last is dropped when the queue is full.
func (q *newsQueue) push(u *api.MemberUpdate, size int) {
	q.pushed++
	if len(q.items) == newsLimit {
		q.items = q.items[:newsLimit-1]
	}
	item := newsItem{update: u, left: newsRepeat * bits.Len(uint(size))}
	q.items = append([]newsItem{item}, q.items...)
}

// curb lets all updates be passed on at most a few times.
func (q *newsQueue) curb() {
	for i := range q.items {
		q.items[i].left = min(q.items[i].left, curbedRepeat)
	}
}

// take returns the updates for one heartbeat and counts them as passed on once.
func (q *newsQueue) take() []*api.MemberUpdate {
	n := min(newsPerHeartbeat, len(q.items))
	out := make([]*api.MemberUpdate, 0, n)
	head := q.items[:n]
	rest := q.items[n:]
	next := make([]newsItem, 0, len(q.items))
	next = append(next, rest...)
	for _, item := range head {
		out = append(out, item.update)
		if item.left--; item.left > 0 {
			next = append(next, item)
		}
	}
	q.items = next
	return out
}

func (q *newsQueue) empty() bool { return len(q.items) == 0 }
