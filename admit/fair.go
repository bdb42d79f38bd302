package admit

import "time"

// customerQueue holds the waiting requests of one customer in one group and class.
type customerQueue struct {
	name   string
	weight float64
	// virtualStart is the virtual start time of the customer's next request, in units of Item.Cost per weight.
	virtualStart float64
	// sequence orders customers with equal virtualStart by the arrival of the request that made them active.
	sequence  uint64
	heapIndex int
	waiting   indexHeap[*waiter]
}

// waitingPerWeight returns the customer's number of waiting requests, plus extra ones, divided by its weight.
func (c *customerQueue) waitingPerWeight(extra int) float64 {
	return float64(c.waiting.Len()+extra) / c.weight
}

// classQueue holds the waiting requests of one class. Customers share it by start-time fair queueing on request cost;
// the requests of one customer are served earliest deadline first.
type classQueue struct {
	// active holds the customers with waiting requests, the next one to be served first.
	active       indexHeap[*customerQueue]
	byName       map[string]*customerQueue
	virtualTime  float64
	waiting      int
	expectedWork time.Duration
	// weightSum is the sum of the weights of the active customers.
	weightSum float64
}

func newClassQueue() classQueue {
	return classQueue{
		byName: make(map[string]*customerQueue),
		active: indexHeap[*customerQueue]{
			before: func(a, b *customerQueue) bool {
				if a.virtualStart != b.virtualStart {
					return a.virtualStart < b.virtualStart
				}
				return a.sequence < b.sequence
			},
			indexOf: func(c *customerQueue) *int { return &c.heapIndex },
		},
	}
}

// customer returns the queue of a customer, or nil if it has had no waiting request since the last reset.
func (q *classQueue) customer(name string) *customerQueue { return q.byName[name] }

func (q *classQueue) push(w *waiter) {
	c := q.byName[w.item.Customer]
	if c == nil {
		c = &customerQueue{name: w.item.Customer, heapIndex: -1, waiting: newDeadlineHeap()}
		q.byName[c.name] = c
	}
	if c.waiting.Len() == 0 {
		c.weight = float64(max(w.item.Weight, 1))
		c.virtualStart = max(c.virtualStart, q.virtualTime)
		c.sequence = w.sequence
		q.weightSum += c.weight
		q.active.add(c)
	}
	w.customer = c
	c.waiting.add(w)
	q.expectedWork += w.expectedWork
	q.waiting++
}

// head returns the request to be served next, or nil if none is waiting.
func (q *classQueue) head() *waiter {
	if q.active.Len() == 0 {
		return nil
	}
	return q.active.first().waiting.first()
}

// charge advances the customer's virtual start by the cost of a request that is dispatched.
func (q *classQueue) charge(w *waiter) {
	c := w.customer
	q.virtualTime = max(q.virtualTime, c.virtualStart)
	c.virtualStart += float64(max(w.item.Cost, 1)) / c.weight
	q.active.fix(c)
}

func (q *classQueue) remove(w *waiter) {
	c := w.customer
	c.waiting.remove(w)
	q.expectedWork -= w.expectedWork
	q.waiting--
	if c.waiting.Len() == 0 {
		q.active.remove(c)
		q.weightSum -= c.weight
	}
	if q.waiting == 0 {
		q.reset()
	}
}

// reset discards the fair-queueing state of an empty queue, so that inactive customers use no memory. A customer that
// got more than its share while there was no contention is not penalized later.
func (q *classQueue) reset() {
	q.virtualTime = 0
	q.expectedWork = 0
	q.weightSum = 0
	clear(q.byName)
}

// mostWaitingPerWeight returns the customer with the most waiting requests relative to its weight.
func (q *classQueue) mostWaitingPerWeight() *customerQueue {
	var most *customerQueue
	for _, c := range q.active.items {
		if most == nil || c.waitingPerWeight(0) > most.waitingPerWeight(0) {
			most = c
		}
	}
	return most
}

// workBefore returns the work of this class that is expected to be served before a new request: the customer's own work
// with earlier or equal deadlines plus one average request, scaled up by the other customers' shares. It is at most the
// total work of the class.
func (q *classQueue) workBefore(item Item) time.Duration {
	if q.waiting == 0 {
		return 0
	}
	ownWork := q.expectedWork / time.Duration(q.waiting)
	if c := q.byName[item.Customer]; c != nil {
		ownWork += c.workDueBy(item.Deadline)
	}
	shareFactor := q.weightSum / float64(max(item.Weight, 1))
	return min(q.expectedWork, time.Duration(float64(ownWork)*shareFactor))
}

// workDueBy returns the work of the customer's requests whose deadlines are not after the given one.
func (c *customerQueue) workDueBy(deadline time.Time) time.Duration {
	var work time.Duration
	for _, w := range c.waiting.items {
		if !w.item.Deadline.After(deadline) {
			work += w.expectedWork
		}
	}
	return work
}
