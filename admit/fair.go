package admit

import "time"

// customerQueue holds one customer's requests of one group and class.
type customerQueue struct {
	name   string
	weight float64
	// start is the virtual time at which its next request may be served.
	start float64
	// sequence orders customers with equal start by when they began to wait.
	sequence uint64
	index    int
	waiting  indexHeap[*waiter]
}

// excess is the number of requests that wait, over the customer's weight.
func (c *customerQueue) excess(more int) float64 { return float64(c.waiting.Len()+more) / c.weight }

// classQueue holds the requests of one class. Customers share it by start-time fair queueing over costs; each
// customer's own requests go earliest deadline first.
type classQueue struct {
	// active are the customers with waiting requests, first to be served first.
	active  indexHeap[*customerQueue]
	byName  map[string]*customerQueue
	virtual float64
	waiting int
	work    time.Duration
	weights float64
}

func newClassQueue() classQueue {
	return classQueue{
		byName: make(map[string]*customerQueue),
		active: indexHeap[*customerQueue]{
			before: func(a, b *customerQueue) bool {
				if a.start != b.start {
					return a.start < b.start
				}
				return a.sequence < b.sequence
			},
			place: func(c *customerQueue) *int { return &c.index },
		},
	}
}

// customer returns the queue of a customer, nil if none of its requests waited lately.
func (q *classQueue) customer(name string) *customerQueue { return q.byName[name] }

func (q *classQueue) push(w *waiter) {
	c := q.byName[w.item.Customer]
	if c == nil {
		c = &customerQueue{name: w.item.Customer, index: -1, waiting: newDeadlineHeap()}
		q.byName[c.name] = c
	}
	if c.waiting.Len() == 0 {
		c.weight = float64(max(w.item.Weight, 1))
		c.start = max(c.start, q.virtual)
		c.sequence = w.sequence
		q.weights += c.weight
		q.active.add(c)
	}
	w.customer = c
	c.waiting.add(w)
	q.work += w.work
	q.waiting++
}

// head returns the request that is served next.
func (q *classQueue) head() *waiter {
	if q.active.Len() == 0 {
		return nil
	}
	return q.active.first().waiting.first()
}

// charge moves the customer's virtual start past a request that is served now.
func (q *classQueue) charge(w *waiter) {
	c := w.customer
	q.virtual = max(q.virtual, c.start)
	c.start += float64(max(w.item.Cost, 1)) / c.weight
	q.active.fix(c)
}

// remove takes a request out of the queue.
func (q *classQueue) remove(w *waiter) {
	c := w.customer
	c.waiting.remove(w)
	q.work -= w.work
	q.waiting--
	if c.waiting.Len() == 0 {
		q.active.remove(c)
		q.weights -= c.weight
	}
	if q.waiting == 0 {
		q.reset()
	}
}

// reset forgets the past of a queue that ran empty, so that it keeps nothing of customers that went away. A customer
// that was served more than its share of an uncontended queue owes nothing.
func (q *classQueue) reset() {
	q.virtual = 0
	q.work = 0
	q.weights = 0
	clear(q.byName)
}

// heaviest returns the customer that holds most places over its weight.
func (q *classQueue) heaviest() *customerQueue {
	var worst *customerQueue
	for _, c := range q.active.items {
		if worst == nil || c.excess(0) > worst.excess(0) {
			worst = c
		}
	}
	return worst
}

// workBefore returns the work of this class that is expected to be served before a new request: the customer's own
// earlier work and one request more, with the shares that the others take beside it, and never more than all of it.
func (q *classQueue) workBefore(item Item) time.Duration {
	if q.waiting == 0 {
		return 0
	}
	own := q.work / time.Duration(q.waiting)
	if c := q.byName[item.Customer]; c != nil {
		own += c.workUntil(item.Deadline)
	}
	share := q.weights / float64(max(item.Weight, 1))
	return min(q.work, time.Duration(float64(own)*share))
}

// workUntil returns the work of requests whose deadlines are not after the given one.
func (c *customerQueue) workUntil(deadline time.Time) time.Duration {
	var work time.Duration
	for _, w := range c.waiting.items {
		if !w.item.Deadline.After(deadline) {
			work += w.work
		}
	}
	return work
}
