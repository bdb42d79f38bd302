package admit

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"

	"pumiceshelf/api"
	"pumiceshelf/trace"
)

const (
	// retryAfterMin and retryAfterMax bound Ticket.RetryAfter.
	retryAfterMin = time.Second
	retryAfterMax = 2 * time.Minute
	// sweepInterval is the longest time between two sweeps of the waiting requests.
	sweepInterval = 50 * time.Millisecond
)

// Config configures a Controller.
type Config struct {
	Settings *api.AdmissionSettings
	Clock    clockwork.Clock
	Log      log.Interface
	Metrics  metrics.Registry
	Chooser  Chooser
	// Traces may be nil.
	Traces *trace.Store
	// Seed seeds the jitter of RetryAfter; zero selects a random seed.
	Seed uint64
}

// Controller blocks the goroutines of requests until they are admitted or refused. It implements Admitter.
type Controller struct {
	config   Config
	counters *counters

	mu     sync.Mutex
	queues *queues
	random *rand.Rand
	closed bool

	sweepSignal chan struct{}
}

// New returns a Controller. Waiting requests are refused in time only while Run is running.
func New(c Config) *Controller {
	seed := c.Seed
	if seed == 0 {
		seed = rand.Uint64()
	}
	out := &Controller{
		config:      c,
		counters:    newCounters(c.Metrics),
		queues:      newQueues(limits{waitingPerClass: int(c.Settings.QueueLimit), bytes: int(c.Settings.QueueBytes)}),
		random:      rand.New(rand.NewPCG(seed, seed)),
		sweepSignal: make(chan struct{}, 1),
	}
	c.Chooser.OnSlotFree(out.dispatchFreed)
	return out
}

// Admit implements Admitter.
func (c *Controller) Admit(ctx context.Context, item Item, target Target) Ticket {
	item.Class = min(max(item.Class, Interactive), Batch)
	w := &waiter{item: item, target: target}
	t, queued := c.admitOrQueue(w)
	if queued {
		t = c.awaitTicket(ctx, w)
	}
	c.recordDecision(w, t)
	return t
}

// admitOrQueue dispatches, refuses or queues a new request. It returns true if the request was queued; the ticket is
// then sent to w.ticket.
func (c *Controller) admitOrQueue(w *waiter) (Ticket, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.config.Clock.Now()
	w.arrivedAt = now
	if c.closed {
		return c.refuse(w, NoCapacity), false
	}
	if c.queues.missesDeadline(now, w.item) {
		return c.refuse(w, TooLate), false
	}
	capacity := c.config.Chooser.Capacity(w.item.Group)
	if c.queues.group(w.item.Group).mayBypassQueue(now, w.item.Class, capacity) {
		slot, availability := c.config.Chooser.Acquire(w.item.Group, w.target)
		switch availability {
		case Acquired:
			c.queues.dispatchDirectly(now, w.item)
			return c.admittedTicket(w, slot), false
		case NoEndpoint:
			return c.refuse(w, NoCapacity), false
		}
	}
	return c.enqueue(now, w, capacity)
}

func (c *Controller) enqueue(now time.Time, w *waiter, capacity int) (Ticket, bool) {
	w.ticket = make(chan Ticket, 1)
	refused, displaced := c.queues.push(now, w, capacity)
	for _, d := range displaced {
		d.ticket <- c.refuse(d, Displaced)
	}
	c.updateGauges()
	if refused != 0 {
		return c.refuse(w, refused), false
	}
	c.dispatch(now, w.item.Group)
	c.signalSweep()
	return Ticket{}, true
}

// awaitTicket waits until a queued request is admitted or refused, or ctx ends.
func (c *Controller) awaitTicket(ctx context.Context, w *waiter) Ticket {
	select {
	case t := <-w.ticket:
		return t
	case <-ctx.Done():
	}
	if c.removeQueued(w) {
		return c.refuseEnded(ctx, w)
	}
	t := <-w.ticket
	if t.Outcome != Admitted {
		return t
	}
	t.Done(Result{})
	return c.refuseEnded(ctx, w)
}

// refuseEnded returns the ticket of a request whose context has ended.
func (c *Controller) refuseEnded(ctx context.Context, w *waiter) Ticket {
	c.mu.Lock()
	defer c.mu.Unlock()
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return c.refuse(w, TooLate)
	}
	return c.refuse(w, Canceled)
}

// removeQueued removes a request from its queue. It returns false if the request is no longer queued.
func (c *Controller) removeQueued(w *waiter) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !w.queued() {
		return false
	}
	c.queues.remove(w)
	c.updateGauges()
	return true
}

// dispatchFreed dispatches waiting requests after slots of a group were freed; an empty name means any group.
func (c *Controller) dispatchFreed(group string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.config.Clock.Now()
	if group != "" {
		c.dispatch(now, group)
		return
	}
	for g := range c.queues.groups {
		c.dispatch(now, g)
	}
}

// dispatch dispatches waiting requests of a group while slots are free.
func (c *Controller) dispatch(now time.Time, group string) {
	g := c.queues.groups[group]
	if g == nil || g.waiting() == 0 {
		return
	}
	c.refuseExpired(now)
	capacity := c.config.Chooser.Capacity(group)
	for w := g.head(now, capacity); w != nil; w = g.head(now, capacity) {
		slot, availability := c.config.Chooser.Acquire(group, w.target)
		switch availability {
		case Acquired:
			c.queues.dispatchQueued(now, w)
			w.ticket <- c.admittedTicket(w, slot)
		case NoEndpoint:
			c.queues.remove(w)
			w.ticket <- c.refuse(w, NoCapacity)
		default:
			c.updateGauges()
			return
		}
	}
	c.updateGauges()
}

// refuseExpired refuses the requests that are no longer expected to meet their deadlines.
func (c *Controller) refuseExpired(now time.Time) {
	for _, w := range c.queues.expire(now) {
		w.ticket <- c.refuse(w, TooLate)
	}
}

func (c *Controller) admittedTicket(w *waiter, slot Slot) Ticket {
	return Ticket{Outcome: Admitted, Endpoint: slot.Endpoint, Done: func(r Result) { c.finish(w, slot, r) }}
}

// finish ends a dispatched request. Releasing its slot lets the next request be dispatched.
func (c *Controller) finish(w *waiter, slot Slot, r Result) {
	c.mu.Lock()
	refused := c.queues.finish(c.config.Clock.Now(), w.item, r, c.config.Chooser.Capacity(w.item.Group))
	for _, other := range refused {
		other.ticket <- c.refuse(other, TooLate)
	}
	c.mu.Unlock()
	c.config.Chooser.Release(slot, r)
}

// refuse returns the ticket of a request that does not run. RetryAfter is the expected queueing and service time, within
// bounds, plus random jitter of up to the same length, so that retries are spread out.
func (c *Controller) refuse(w *waiter, o Outcome) Ticket {
	expected := c.queues.expectedTotalTime(w.item, c.config.Chooser.Capacity(w.item.Group))
	base := min(max(expected, retryAfterMin), retryAfterMax/2)
	return Ticket{Outcome: o, RetryAfter: base + time.Duration(c.random.Int64N(int64(base)))}
}

// recordDecision records a decision in metrics, the request's trace and the log.
func (c *Controller) recordDecision(w *waiter, t Ticket) {
	c.counters.outcomes[t.Outcome].Inc(1)
	waited := c.config.Clock.Since(w.arrivedAt)
	if t.Outcome == Admitted {
		c.counters.wait.Update(waited)
		c.addTrace(w, fmt.Sprintf("admitted to %s after %s", t.Endpoint, waited))
		return
	}
	c.addTrace(w, fmt.Sprintf("refused: %s after %s, retry after %s", t.Outcome, waited, t.RetryAfter))
	c.config.Log.Debugf("admit: request %s refused: %s", w.item.RequestID, t.Outcome)
}

func (c *Controller) addTrace(w *waiter, text string) {
	if c.config.Traces != nil {
		c.config.Traces.Add(w.item.RequestID, w.item.Customer, "admit", text)
	}
}

func (c *Controller) updateGauges() {
	c.counters.waiting.Update(int64(c.queues.waiting))
	c.counters.bytes.Update(int64(c.queues.bytes))
}

func (c *Controller) signalSweep() {
	select {
	case c.sweepSignal <- struct{}{}:
	default:
	}
}

// Run refuses waiting requests when they can no longer meet their deadlines and dispatches them when endpoints become
// available again. When ctx ends, it refuses all waiting requests.
func (c *Controller) Run(ctx context.Context) error {
	defer c.close()
	timer := c.config.Clock.NewTimer(sweepInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-c.sweepSignal:
		case <-timer.Chan():
		}
		timer.Reset(c.sweep())
	}
}

// sweep refuses expired requests, dispatches others and returns the time until the next sweep.
func (c *Controller) sweep() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.config.Clock.Now()
	for _, g := range c.queues.groups {
		g.refreshEstimates()
	}
	c.refuseExpired(now)
	for g := range c.queues.groups {
		c.dispatch(now, g)
	}
	c.updateGauges()
	next := c.queues.nextExpiry()
	if next.IsZero() {
		return sweepInterval
	}
	return min(max(next.Sub(now), 0), sweepInterval)
}

// close refuses all waiting and all future requests.
func (c *Controller) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, g := range c.queues.groups {
		for g.waiting() > 0 {
			w := g.expiry.first()
			c.queues.remove(w)
			w.ticket <- c.refuse(w, NoCapacity)
		}
	}
}
