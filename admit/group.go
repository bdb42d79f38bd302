package admit

import (
	"math"
	"time"

	"pumiceshelf/invariant"
)

const (
	// turnsPerLower is how many requests of higher classes go before a lower class that waits gets one turn.
	turnsPerLower = 20
	// demandTime is the time over which the demand of higher classes is averaged.
	demandTime = 10 * time.Second
)

// groupQueue holds the requests that wait for one model or service, and counts those dispatched.
type groupQueue struct {
	classes  [Classes]classQueue
	expiry   indexHeap[*waiter]
	inFlight [Classes]int
	// passed counts dispatches of higher classes since the class, waiting, had its last turn.
	passed [Classes]int
	// demand is the average number of requests in flight, up to demandAt.
	demand   [Classes]float64
	demandAt time.Time
	service  estimator
	bytes    int
	// learnt says that service times came in since the waiting requests were last estimated.
	learnt bool
}

func newGroupQueue() *groupQueue {
	g := &groupQueue{expiry: newExpiryHeap()}
	for i := range g.classes {
		g.classes[i] = newClassQueue()
	}
	return g
}

func (g *groupQueue) waiting() int { return g.expiry.Len() }

func (g *groupQueue) insert(w *waiter) {
	g.classes[w.item.Class].push(w)
	g.expiry.add(w)
	g.bytes += w.item.Bytes
}

func (g *groupQueue) remove(w *waiter) {
	g.classes[w.item.Class].remove(w)
	g.expiry.remove(w)
	g.bytes -= w.item.Bytes
	invariant.Check(g.bytes >= 0, "admit", "waiting requests hold %d bytes", g.bytes)
}

// estimate fills in what is expected of a request.
func (g *groupQueue) estimate(w *waiter) {
	w.work = g.service.expected(w.item.Cost)
	w.latestStart = w.item.Deadline.Add(-g.service.upper(w.item.Cost))
}

// reestimate brings what is expected of the waiting requests up to date.
func (g *groupQueue) reestimate() {
	if !g.learnt {
		return
	}
	g.learnt = false
	for _, w := range g.expiry.items {
		q := &g.classes[w.item.Class]
		q.work -= w.work
		g.estimate(w)
		q.work += w.work
	}
	g.expiry.rebuild()
}

// head returns the request to dispatch next, given how many the group may run at once; nil if none may go.
func (g *groupQueue) head(now time.Time, places int) *waiter {
	for c := Classes - 1; c > 0; c-- {
		if g.passed[c] >= turnsPerLower && g.classes[c].waiting > 0 {
			return g.classes[c].head()
		}
	}
	for c := range g.classes {
		w := g.classes[c].head()
		if w == nil {
			continue
		}
		if Class(c) == Batch && !g.batchMayGo(now, places) {
			return nil
		}
		return w
	}
	return nil
}

// mayPass says whether a request may go to an endpoint now although others wait: if none of its class or above does and
// no lower class is due its turn.
func (g *groupQueue) mayPass(now time.Time, class Class, places int) bool {
	for c := range g.classes {
		due := Class(c) <= class || g.passed[c] >= turnsPerLower
		if due && g.classes[c].waiting > 0 {
			return false
		}
	}
	return class != Batch || g.batchMayGo(now, places)
}

// batchMayGo says whether batch work leaves room for what the higher classes are expected to ask for while it runs:
// their average demand, or what they have in flight if that is more.
func (g *groupQueue) batchMayGo(now time.Time, places int) bool {
	g.observeDemand(now)
	higher := g.inFlight[Interactive] + g.inFlight[Standard]
	expected := g.demandAbove(Batch)
	if expected < 1 && higher == 0 {
		return true
	}
	return float64(g.inFlight[Batch]+1)+max(expected, float64(higher)) <= float64(places)
}

// demandAbove returns the average number of requests in flight of the classes that go before one.
func (g *groupQueue) demandAbove(class Class) float64 {
	var sum float64
	for c := range class {
		sum += g.demand[c]
	}
	return sum
}

// observeDemand brings the average demand up to now.
func (g *groupQueue) observeDemand(now time.Time) {
	if g.demandAt.IsZero() || !now.After(g.demandAt) {
		g.demandAt = now
		return
	}
	keep := math.Exp(-now.Sub(g.demandAt).Seconds() / demandTime.Seconds())
	for c := range g.demand {
		g.demand[c] = g.demand[c]*keep + float64(g.inFlight[c])*(1-keep)
	}
	g.demandAt = now
}

// dispatch counts a request that goes to an endpoint now, whether it waited or not.
func (g *groupQueue) dispatch(now time.Time, class Class) {
	g.observeDemand(now)
	g.inFlight[class]++
	g.passed[class] = 0
	for c := class + 1; c < Classes; c++ {
		if g.classes[c].waiting > 0 {
			g.passed[c]++
		}
	}
}

// finish counts a request that has left its endpoint.
func (g *groupQueue) finish(now time.Time, class Class) {
	g.observeDemand(now)
	g.inFlight[class]--
	invariant.Check(g.inFlight[class] >= 0, "admit", "%d requests in flight in class %d", g.inFlight[class], class)
}

// waitFor returns the expected wait of a new request: the work before it over the places that higher classes are
// expected to leave to its class, at least those that its turns give it.
func (g *groupQueue) waitFor(item Item, places int) time.Duration {
	work := g.classes[item.Class].workBefore(item)
	for c := Class(0); c < item.Class; c++ {
		work += g.classes[c].work
	}
	total := float64(max(places, 1))
	left := max(total-g.demandAbove(item.Class), total/turnsPerLower)
	return time.Duration(float64(work) / left)
}

// victim returns a waiting request that the new one may displace from its own class: one of the customer that holds
// most places over its weight, unless the new one's customer would then hold as many.
func (g *groupQueue) victim(item Item) *waiter {
	q := &g.classes[item.Class]
	worst := q.heaviest()
	if worst == nil {
		return nil
	}
	own := 1 / float64(max(item.Weight, 1))
	if c := q.customer(item.Customer); c != nil {
		own = c.excess(1)
	}
	if worst.excess(0) <= own {
		return nil
	}
	return last(worst.waiting.items)
}

// lowerVictim returns a waiting request of a lower class than the given one, the lowest first.
func (g *groupQueue) lowerVictim(class Class) *waiter {
	for c := Classes - 1; c > class; c-- {
		if worst := g.classes[c].heaviest(); worst != nil {
			return last(worst.waiting.items)
		}
	}
	return nil
}
