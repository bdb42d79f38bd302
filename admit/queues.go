package admit

import (
	"cmp"
	"slices"
	"time"

	"pumiceshelf/invariant"
)

// limits bound what waits.
type limits struct {
	// waiting requests per group and class.
	waiting int
	// bytes held by waiting requests over all groups.
	bytes int
}

// queues holds all waiting requests of an instance. It does no I/O and reads no clock; calls are not safe side by side.
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

// push queues a request. It returns zero, or the outcome that it is refused with, and the requests that it displaced.
func (q *queues) push(now time.Time, w *waiter, places int) (Outcome, []*waiter) {
	g := q.group(w.item.Group)
	q.prepare(g, now, w)
	if now.Add(g.waitFor(w.item, places)).After(w.latestStart) {
		g.service.doubt(now, w.item.Cost)
		return TooLate, nil
	}
	displaced, refused := q.makeRoom(g, w)
	if refused != 0 {
		return refused, displaced
	}
	q.insert(g, w)
	q.check(g, w.item.Class)
	return 0, displaced
}

// prepare fills in what is derived from the item.
func (q *queues) prepare(g *groupQueue, now time.Time, w *waiter) {
	q.sequence++
	w.sequence = q.sequence
	w.arrived = now
	g.estimate(w)
	w.deadlineIndex, w.expiryIndex = -1, -1
}

// makeRoom displaces others until the new request fits, or says why it cannot fit.
func (q *queues) makeRoom(g *groupQueue, w *waiter) ([]*waiter, Outcome) {
	if w.item.Bytes > q.limits.bytes {
		return nil, BytesFull
	}
	var displaced []*waiter
	if g.classes[w.item.Class].waiting >= q.limits.waiting {
		v := g.victim(w.item)
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

// bytesVictim returns a request whose bytes the new one may take: of a lower class of any group, else of its own queue.
func (q *queues) bytesVictim(g *groupQueue, item Item) *waiter {
	var worst *waiter
	for _, other := range q.groups {
		v := other.lowerVictim(item.Class)
		if v != nil && (worst == nil || goesBefore(worst, v)) {
			worst = v
		}
	}
	if worst != nil {
		return worst
	}
	return g.victim(item)
}

// goesBefore orders candidates for displacement; the one that does not go before is displaced.
func goesBefore(a, b *waiter) bool {
	if a.item.Class != b.item.Class {
		return a.item.Class < b.item.Class
	}
	return later(b, a)
}

// take removes a request that goes to an endpoint now.
func (q *queues) take(now time.Time, w *waiter) {
	invariant.Check(!now.After(w.item.Deadline), "admit", "request dispatched %s after its deadline", now.Sub(w.item.Deadline))
	g := q.groups[w.item.Group]
	g.classes[w.item.Class].charge(w)
	q.remove(w)
	g.dispatch(now, w.item.Class)
}

// pass counts a request that goes to an endpoint without waiting.
func (q *queues) pass(now time.Time, item Item) {
	invariant.Check(!now.After(item.Deadline), "admit", "request dispatched %s after its deadline", now.Sub(item.Deadline))
	q.group(item.Group).dispatch(now, item.Class)
}

// hopeless says whether a request is not expected to meet its deadline even if it goes to an endpoint now. It goes by the
// mean: a request that finds room takes nothing from others, so that only the likely outcome counts against it.
func (q *queues) hopeless(now time.Time, item Item) bool {
	if !now.Before(item.Deadline) {
		return true
	}
	return now.Add(q.group(item.Group).service.lately(now, item.Cost)).After(item.Deadline)
}

// finish counts the end of a dispatched request and learns from it. It returns requests that are refused by what was
// learnt.
func (q *queues) finish(now time.Time, item Item, r Result, places int) []*waiter {
	g := q.groups[item.Group]
	g.finish(now, item.Class)
	// A request that was cut would have taken longer; it counts when that says more than the mean.
	if (!r.Whole() || r.Total == 0) && (!r.Cut || r.Total <= g.service.expected(item.Cost)) {
		return nil
	}
	g.learnt = true
	if g.service.observe(now, item.Cost, r.Total) {
		return q.requeue(now, g, places)
	}
	return nil
}

// requeue queues a group's requests again, in order of arrival, when the first service time of a size is known, as after
// a burst on a quiet queue. It returns those that are not expected to meet their deadlines.
func (q *queues) requeue(now time.Time, g *groupQueue, places int) []*waiter {
	list := slices.Clone(g.expiry.items)
	slices.SortFunc(list, func(a, b *waiter) int { return cmp.Compare(a.sequence, b.sequence) })
	for _, w := range list {
		q.remove(w)
	}
	g.learnt = false
	var refused []*waiter
	for _, w := range list {
		g.estimate(w)
		if now.Add(g.waitFor(w.item, places)).After(w.latestStart) {
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

// remove takes a request out of its queue.
func (q *queues) remove(w *waiter) {
	q.groups[w.item.Group].remove(w)
	q.bytes -= w.item.Bytes
	q.waiting--
	invariant.Check(q.bytes >= 0 && q.waiting >= 0, "admit", "%d requests wait with %d bytes", q.waiting, q.bytes)
}

// expire removes and returns the requests that can no longer meet their deadlines.
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

// nextExpiry returns when the next request becomes hopeless; zero if none waits.
func (q *queues) nextExpiry() time.Time {
	var next time.Time
	for _, g := range q.groups {
		if g.waiting() > 0 && (next.IsZero() || g.expiry.first().latestStart.Before(next)) {
			next = g.expiry.first().latestStart
		}
	}
	return next
}

// drainTime returns how long the group's queue is expected to keep a new request waiting and running.
func (q *queues) drainTime(item Item, places int) time.Duration {
	g := q.group(item.Group)
	return g.waitFor(item, places) + g.service.expected(item.Cost)
}

func (q *queues) check(g *groupQueue, class Class) {
	invariant.Check(q.bytes <= q.limits.bytes, "admit", "%d bytes wait, limit %d", q.bytes, q.limits.bytes)
	invariant.Check(g.classes[class].waiting <= q.limits.waiting, "admit",
		"%d requests wait in class %d, limit %d", g.classes[class].waiting, class, q.limits.waiting)
}
