package admit

import (
	"math"
	"time"

	"pumiceshelf/invariant"
	"pumiceshelf/servicetime"
)

const (
	// bypassesPerTurn is how many requests of higher classes are dispatched before a waiting lower class gets a turn.
	bypassesPerTurn = 20
	// demandTimeConstant is the time constant of the exponential average of demand.
	demandTimeConstant = 10 * time.Second
)

// groupQueue holds the waiting requests of one group and counts its dispatched requests.
type groupQueue struct {
	classes  [NumClasses]classQueue
	expiry   indexHeap[*waiter]
	inFlight [NumClasses]int
	// bypassed counts, for each waiting class, the dispatches of higher classes since its own last dispatch.
	bypassed [NumClasses]int
	// demand is the average number of requests in flight as of demandUpdatedAt.
	demand          [NumClasses]float64
	demandUpdatedAt time.Time
	serviceTimes    servicetime.Estimator
	bytes           int
	// estimatesStale is set when service times were recorded after the waiting requests were last estimated.
	estimatesStale bool
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

// setEstimates sets the fields of a request that depend on the service time estimates.
func (g *groupQueue) setEstimates(w *waiter) {
	w.expectedWork = g.serviceTimes.ExpectedTime(w.item.Cost)
	w.latestStart = w.item.Deadline.Add(-g.serviceTimes.UpperEstimate(w.item.Cost))
}

// refreshEstimates updates the estimates of the waiting requests if they are stale.
func (g *groupQueue) refreshEstimates() {
	if !g.estimatesStale {
		return
	}
	g.estimatesStale = false
	for _, w := range g.expiry.items {
		q := &g.classes[w.item.Class]
		q.expectedWork -= w.expectedWork
		g.setEstimates(w)
		q.expectedWork += w.expectedWork
	}
	g.expiry.rebuild()
}

// head returns the request to dispatch next, or nil if none may be dispatched. capacity is the number of requests that
// the group may run concurrently.
func (g *groupQueue) head(now time.Time, capacity int) *waiter {
	for c := NumClasses - 1; c > 0; c-- {
		if g.bypassed[c] >= bypassesPerTurn && g.classes[c].waiting > 0 {
			return g.classes[c].head()
		}
	}
	for c := range g.classes {
		w := g.classes[c].head()
		if w == nil {
			continue
		}
		if Class(c) == Batch && !g.batchMayDispatch(now, capacity) {
			return nil
		}
		return w
	}
	return nil
}

// mayBypassQueue reports whether a new request may be dispatched without queueing: no request of its class or a higher
// one is waiting, and no lower class is due a turn.
func (g *groupQueue) mayBypassQueue(now time.Time, class Class, capacity int) bool {
	for c := range g.classes {
		due := Class(c) <= class || g.bypassed[c] >= bypassesPerTurn
		if due && g.classes[c].waiting > 0 {
			return false
		}
	}
	return class != Batch || g.batchMayDispatch(now, capacity)
}

// batchMayDispatch reports whether one more batch request leaves enough capacity for the higher classes. They are
// expected to need their average demand or their requests in flight, whichever is larger.
func (g *groupQueue) batchMayDispatch(now time.Time, capacity int) bool {
	g.updateDemand(now)
	higher := g.inFlight[Interactive] + g.inFlight[Standard]
	expected := g.demandOfHigherClasses(Batch)
	if expected < 1 && higher == 0 {
		return true
	}
	return float64(g.inFlight[Batch]+1)+max(expected, float64(higher)) <= float64(capacity)
}

// demandOfHigherClasses returns the average number of requests in flight in all classes above the given one.
func (g *groupQueue) demandOfHigherClasses(class Class) float64 {
	var sum float64
	for c := range class {
		sum += g.demand[c]
	}
	return sum
}

// updateDemand updates the average demand to the given time.
func (g *groupQueue) updateDemand(now time.Time) {
	if g.demandUpdatedAt.IsZero() || !now.After(g.demandUpdatedAt) {
		g.demandUpdatedAt = now
		return
	}
	decay := math.Exp(-now.Sub(g.demandUpdatedAt).Seconds() / demandTimeConstant.Seconds())
	for c := range g.demand {
		g.demand[c] = g.demand[c]*decay + float64(g.inFlight[c])*(1-decay)
	}
	g.demandUpdatedAt = now
}

// recordDispatch counts a dispatched request, whether it was queued or not.
func (g *groupQueue) recordDispatch(now time.Time, class Class) {
	g.updateDemand(now)
	g.inFlight[class]++
	g.bypassed[class] = 0
	for c := class + 1; c < NumClasses; c++ {
		if g.classes[c].waiting > 0 {
			g.bypassed[c]++
		}
	}
}

// recordFinish counts the end of a dispatched request.
func (g *groupQueue) recordFinish(now time.Time, class Class) {
	g.updateDemand(now)
	g.inFlight[class]--
	invariant.Check(g.inFlight[class] >= 0, "admit", "%d requests in flight in class %d", g.inFlight[class], class)
}

// expectedWait returns the expected queueing time of a new request: the work ahead of it divided by the capacity that
// the demand of higher classes leaves, but at least the share that is guaranteed by bypassesPerTurn.
func (g *groupQueue) expectedWait(item Item, capacity int) time.Duration {
	work := g.classes[item.Class].workBefore(item)
	for c := Class(0); c < item.Class; c++ {
		work += g.classes[c].expectedWork
	}
	total := float64(max(capacity, 1))
	available := max(total-g.demandOfHigherClasses(item.Class), total/bypassesPerTurn)
	return time.Duration(float64(work) / available)
}

// sameClassVictim returns a waiting request that the new one may displace from its own class, or nil if there is none.
// It belongs to the customer with the most waiting requests per weight, unless the new request's customer would then
// have at least as many.
func (g *groupQueue) sameClassVictim(item Item) *waiter {
	q := &g.classes[item.Class]
	longest := q.mostWaitingPerWeight()
	if longest == nil {
		return nil
	}
	ownPerWeight := 1 / float64(max(item.Weight, 1))
	if c := q.customer(item.Customer); c != nil {
		ownPerWeight = c.waitingPerWeight(1)
	}
	if longest.waitingPerWeight(0) <= ownPerWeight {
		return nil
	}
	return latest(longest.waiting.items)
}

// lowerClassVictim returns a waiting request of the lowest nonempty class below the given one, or nil if there is none.
func (g *groupQueue) lowerClassVictim(class Class) *waiter {
	for c := NumClasses - 1; c > class; c-- {
		if longest := g.classes[c].mostWaitingPerWeight(); longest != nil {
			return latest(longest.waiting.items)
		}
	}
	return nil
}
