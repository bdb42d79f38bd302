package admit

import (
	"cmp"
	"slices"
	"time"

	"pumiceshelf/invariant"
)

// limits bounds the waiting requests.
type limits struct {
	// waitingPerClass is the maximum number of waiting requests per group and class.
	waitingPerClass int
	// bytes is the maximum number of bytes held by the waiting requests of all groups.
	bytes int
}

// queues holds all waiting requests of an instance. It does no I/O and reads no clock. It is not safe for concurrent use.
type queues struct {
	limits   limits
	groups   map[string]*groupQueue
	bytes    int
	waiting  int
	sequence uint64
}

func newQueues(l limits) *queues {
	return &queues{limits: l, groups: make(map[string]*groupQueue)}
}

func (q *queues) group(name string) *groupQueue {
	g := q.groups[name]
	if g == nil {
		g = newGroupQueue()
		q.groups[name] = g
	}
	return g
}

// push queues a request and returns the requests that it displaced. The outcome is zero if the request was queued,
// otherwise the reason for refusing it.
func (q *queues) push(now time.Time, w *waiter, capacity int) (Outcome, []*waiter) {
	g := q.group(w.item.Group)
	q.prepare(g, now, w)
	if now.Add(g.expectedWait(w.item, capacity)).After(w.latestStart) {
		g.serviceTimes.DecayIfStale(now, w.item.Cost)
		return TooLate, nil
	}
	displaced, refused := q.displaceFor(g, w)
	if refused != 0 {
		return refused, displaced
	}
	q.insert(g, w)
	q.checkLimits(g, w.item.Class)
	return 0, displaced
}

// prepare sets the fields of a new request that are derived from its item and arrival.
func (q *queues) prepare(g *groupQueue, now time.Time, w *waiter) {
	q.sequence++
	w.sequence = q.sequence
	w.arrivedAt = now
	g.setEstimates(w)
	w.deadlineIndex, w.expiryIndex = -1, -1
}

// displaceFor removes waiting requests until the new one fits and returns them. The outcome is nonzero if the new
// request cannot fit.
func (q *queues) displaceFor(g *groupQueue, w *waiter) ([]*waiter, Outcome) {
	if w.item.Bytes > q.limits.bytes {
		return nil, BytesFull
	}
	var displaced []*waiter
	if g.classes[w.item.Class].waiting >= q.limits.waitingPerClass {
		v := g.sameClassVictim(w.item)
		if v == nil {
			return nil, QueueFull
		}
		q.remove(v)
		displaced = append(displaced, v)
	}
	for q.bytes+w.item.Bytes > q.limits.bytes {
		v := q.bytesVictim(g, w.item)
		if v == nil {
			return displaced, BytesFull
		}
		q.remove(v)
		displaced = append(displaced, v)
	}
	return displaced, 0
}

// bytesVictim returns a waiting request that the new one may displace to free bytes, or nil if there is none. Lower
// classes of all groups are preferred to the new request's own class.
func (q *queues) bytesVictim(g *groupQueue, item Item) *waiter {
	var victim *waiter
	for _, other := range q.groups {
		v := other.lowerClassVictim(item.Class)
		if v != nil && (victim == nil || ranksBefore(victim, v)) {
			victim = v
		}
	}
	if victim != nil {
		return victim
	}
	return g.sameClassVictim(item)
}

// ranksBefore reports whether a ranks before b among the candidates for displacement; the last one is displaced.
func ranksBefore(a, b *waiter) bool {
	if a.item.Class != b.item.Class {
		return a.item.Class < b.item.Class
	}
	return servedAfter(b, a)
}

// dispatchQueued removes a queued request that is dispatched and counts it.
func (q *queues) dispatchQueued(now time.Time, w *waiter) {
	invariant.Check(!now.After(w.item.Deadline), "admit", "request dispatched %s after its deadline", now.Sub(w.item.Deadline))
	g := q.groups[w.item.Group]
	g.classes[w.item.Class].charge(w)
	q.remove(w)
	g.recordDispatch(now, w.item.Class)
}

// dispatchDirectly counts a request that is dispatched without queueing.
func (q *queues) dispatchDirectly(now time.Time, item Item) {
	invariant.Check(!now.After(item.Deadline), "admit", "request dispatched %s after its deadline", now.Sub(item.Deadline))
	q.group(item.Group).recordDispatch(now, item.Class)
}

// missesDeadline reports whether a request is expected to miss its deadline even if it is dispatched now. It uses the
// mean instead of the upper estimate, because a request that finds a free slot delays no other request.
func (q *queues) missesDeadline(now time.Time, item Item) bool {
	if !now.Before(item.Deadline) {
		return true
	}
	return now.Add(q.group(item.Group).serviceTimes.RecentMean(now, item.Cost)).After(item.Deadline)
}

// finish counts the end of a dispatched request and updates the estimates. It returns the waiting requests that must be
// refused because of the new estimates.
func (q *queues) finish(now time.Time, item Item, r Result, capacity int) []*waiter {
	g := q.groups[item.Group]
	g.recordFinish(now, item.Class)
	// An interrupted request would have taken longer, so its time is a lower bound. It counts only if it exceeds the mean.
	if (!r.Succeeded() || r.TotalTime == 0) && (!r.Interrupted || r.TotalTime <= g.serviceTimes.ExpectedTime(item.Cost)) {
		return nil
	}
	g.estimatesStale = true
	if g.serviceTimes.Observe(now, item.Cost, r.TotalTime) {
		return q.requeue(now, g, capacity)
	}
	return nil
}

// requeue queues the waiting requests of a group again in order of arrival. It is called when the first fresh service
// time of a request size becomes known, such as after a burst on an idle group. It returns the requests that are not
// expected to meet their deadlines.
func (q *queues) requeue(now time.Time, g *groupQueue, capacity int) []*waiter {
	waiting := slices.Clone(g.expiry.items)
	slices.SortFunc(waiting, func(a, b *waiter) int { return cmp.Compare(a.sequence, b.sequence) })
	for _, w := range waiting {
		q.remove(w)
	}
	g.estimatesStale = false
	var refused []*waiter
	for _, w := range waiting {
		g.setEstimates(w)
		if now.Add(g.expectedWait(w.item, capacity)).After(w.latestStart) {
			refused = append(refused, w)
			continue
		}
		q.insert(g, w)
	}
	return refused
}

func (q *queues) insert(g *groupQueue, w *waiter) {
	g.insert(w)
	q.bytes += w.item.Bytes
	q.waiting++
}

func (q *queues) remove(w *waiter) {
	q.groups[w.item.Group].remove(w)
	q.bytes -= w.item.Bytes
	q.waiting--
	invariant.Check(q.bytes >= 0 && q.waiting >= 0, "admit", "%d waiting requests hold %d bytes", q.waiting, q.bytes)
}

// expire removes and returns the requests that are no longer expected to meet their deadlines.
func (q *queues) expire(now time.Time) []*waiter {
	var out []*waiter
	for _, g := range q.groups {
		for g.waiting() > 0 && !g.expiry.first().latestStart.After(now) {
			w := g.expiry.first()
			q.remove(w)
			out = append(out, w)
		}
	}
	return out
}

// nextExpiry returns when the next waiting request expires, or the zero time if none is waiting.
func (q *queues) nextExpiry() time.Time {
	var next time.Time
	for _, g := range q.groups {
		if g.waiting() > 0 && (next.IsZero() || g.expiry.first().latestStart.Before(next)) {
			next = g.expiry.first().latestStart
		}
	}
	return next
}

// expectedTotalTime returns the expected queueing and service time of a new request.
func (q *queues) expectedTotalTime(item Item, capacity int) time.Duration {
	g := q.group(item.Group)
	return g.expectedWait(item, capacity) + g.serviceTimes.ExpectedTime(item.Cost)
}

func (q *queues) checkLimits(g *groupQueue, class Class) {
	invariant.Check(q.bytes <= q.limits.bytes, "admit", "waiting requests hold %d bytes, limit %d", q.bytes, q.limits.bytes)
	invariant.Check(g.classes[class].waiting <= q.limits.waitingPerClass, "admit",
		"%d waiting requests in class %d, limit %d", g.classes[class].waiting, class, q.limits.waitingPerClass)
}
