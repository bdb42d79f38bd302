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
	"pumiceshelf/story"
	"pumiceshelf/telemetry"
)

const (
	// retryAfterMin and retryAfterMax bound what refused callers are told.
	retryAfterMin = time.Second
	retryAfterMax = 2 * time.Minute
	// sweepInterval is the longest time between looks at requests that wait.
	sweepInterval = 50 * time.Millisecond
)

// Config of a Controller.
type Config struct {
	Settings *api.AdmissionSettings
	Clock    clockwork.Clock
	Log      log.Interface
	Metrics  metrics.Registry
	Chooser  Chooser
	// Stories and Repairs may be nil.
	Stories *story.Book
	Repairs *telemetry.Repairs
	// Seed of the jitter; random if zero.
	Seed uint64
}

// Controller lets goroutines wait for their turn. It implements Admitter.
type Controller struct {
	config Config
	meters *meters

	mu     sync.Mutex
	queues *queues
	random *rand.Rand
	closed bool

	kick chan struct{}
}

// New returns a controller. Run must run for waiting requests to be refused in time.
func New(c Config) *Controller {
	seed := c.Seed
	if seed == 0 {
		seed = rand.Uint64()
	}
	out := &Controller{
		config: c,
		meters: newMeters(c.Metrics),
		queues: newQueues(limits{waiting: int(c.Settings.QueueLimit), bytes: int(c.Settings.QueueBytes)}),
		random: rand.New(rand.NewPCG(seed, seed)),
		kick:   make(chan struct{}, 1),
	}
	c.Chooser.OnRoom(out.room)
	return out
}

// Admit waits until the request may be dispatched or is refused.
func (c *Controller) Admit(ctx context.Context, item Item, target Target) Ticket {
	item.Class = min(max(item.Class, Interactive), Batch)
	w := &waiter{item: item, target: target}
	t, waits := c.enter(w)
	if waits {
		t = c.await(ctx, w)
	}
	c.account(w, t)
	return t
}

// enter dispatches, refuses or queues a new request.
func (c *Controller) enter(w *waiter) (Ticket, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.config.Clock.Now()
	w.arrived = now
	if c.closed {
		return c.refuse(w, NoCapacity), false
	}
	if c.queues.hopeless(now, w.item) {
		return c.refuse(w, TooLate), false
	}
	places := c.config.Chooser.Places(w.item.Group)
	if c.queues.group(w.item.Group).mayPass(now, w.item.Class, places) {
		place, availability := c.config.Chooser.Acquire(w.item.Group, w.target)
		switch availability {
		case Chosen:
			c.queues.pass(now, w.item)
			return c.admitted(w, place), false
		case Gone:
			return c.refuse(w, NoCapacity), false
		}
	}
	return c.queue(now, w, places)
}

func (c *Controller) queue(now time.Time, w *waiter, places int) (Ticket, bool) {
	w.answer = make(chan Ticket, 1)
	refused, displaced := c.queues.push(now, w, places)
	for _, d := range displaced {
		d.answer <- c.refuse(d, Displaced)
	}
	c.gauge()
	if refused != 0 {
		return c.refuse(w, refused), false
	}
	c.dispatch(now, w.item.Group)
	c.wake()
	return Ticket{}, true
}

// await waits for the answer to a queued request.
func (c *Controller) await(ctx context.Context, w *waiter) Ticket {
	select {
	case t := <-w.answer:
		return t
	case <-ctx.Done():
	}
	if c.withdraw(w) {
		return c.gaveUp(ctx, w)
	}
	t := <-w.answer
	if t.Outcome != Admitted {
		return t
	}
	t.Done(Result{})
	return c.gaveUp(ctx, w)
}

func (c *Controller) gaveUp(ctx context.Context, w *waiter) Ticket {
	c.mu.Lock()
	defer c.mu.Unlock()
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return c.refuse(w, TooLate)
	}
	return c.refuse(w, Canceled)
}

// withdraw takes a request out of its queue, if it is still there.
func (c *Controller) withdraw(w *waiter) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !w.queued() {
		return false
	}
	c.queues.remove(w)
	c.gauge()
	return true
}

// room dispatches what waits after a group, or any group for "", may have room.
func (c *Controller) room(group string) {
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

// dispatch sends waiting requests of a group to endpoints while there is room.
func (c *Controller) dispatch(now time.Time, group string) {
	g := c.queues.groups[group]
	if g == nil || g.waiting() == 0 {
		return
	}
	c.expire(now)
	places := c.config.Chooser.Places(group)
	for w := g.head(now, places); w != nil; w = g.head(now, places) {
		place, availability := c.config.Chooser.Acquire(group, w.target)
		switch availability {
		case Chosen:
			c.queues.take(now, w)
			w.answer <- c.admitted(w, place)
		case Gone:
			c.queues.remove(w)
			w.answer <- c.refuse(w, NoCapacity)
		default:
			c.gauge()
			return
		}
	}
	c.gauge()
}

// expire refuses the requests that can no longer meet their deadlines.
func (c *Controller) expire(now time.Time) {
	for _, w := range c.queues.expire(now) {
		w.answer <- c.refuse(w, TooLate)
	}
}

func (c *Controller) admitted(w *waiter, place Place) Ticket {
	return Ticket{Outcome: Admitted, Endpoint: place.Endpoint, Done: func(r Result) { c.done(w, place, r) }}
}

// done ends a dispatched request. Giving the place back lets the next one go.
func (c *Controller) done(w *waiter, place Place, r Result) {
	c.mu.Lock()
	refused := c.queues.finish(c.config.Clock.Now(), w.item, r, c.config.Chooser.Places(w.item.Group))
	for _, other := range refused {
		other.answer <- c.refuse(other, TooLate)
	}
	c.mu.Unlock()
	c.config.Chooser.Release(place, r)
}

// refuse makes the ticket of a request that does not run. The time to come back is spread over as long again as the
// queue is expected to take.
func (c *Controller) refuse(w *waiter, o Outcome) Ticket {
	drain := c.queues.drainTime(w.item, c.config.Chooser.Places(w.item.Group))
	base := min(max(drain, retryAfterMin), retryAfterMax/2)
	return Ticket{Outcome: o, RetryAfter: base + time.Duration(c.random.Int64N(int64(base)))}
}

// account counts a decision and tells the request's story.
func (c *Controller) account(w *waiter, t Ticket) {
	c.meters.outcomes[t.Outcome].Inc(1)
	waited := c.config.Clock.Since(w.arrived)
	if t.Outcome == Admitted {
		c.meters.wait.Update(waited)
		c.tell(w, fmt.Sprintf("admitted to %s after %s", t.Endpoint, waited))
		return
	}
	c.tell(w, fmt.Sprintf("refused: %s after %s, retry after %s", t.Outcome, waited, t.RetryAfter))
	c.config.Log.Debugf("admit: refused %s: %s", w.item.RequestID, t.Outcome)
}

func (c *Controller) tell(w *waiter, text string) {
	if c.config.Stories != nil {
		c.config.Stories.Add(w.item.RequestID, w.item.Customer, "admit", text)
	}
}

func (c *Controller) gauge() {
	c.meters.waiting.Update(int64(c.queues.waiting))
	c.meters.bytes.Update(int64(c.queues.bytes))
}

func (c *Controller) wake() {
	select {
	case c.kick <- struct{}{}:
	default:
	}
}

// Run refuses requests as they become hopeless and dispatches them when endpoints return. When ctx ends it refuses all
// that wait.
func (c *Controller) Run(ctx context.Context) error {
	defer c.close()
	timer := c.config.Clock.NewTimer(sweepInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-c.kick:
		case <-timer.Chan():
		}
		timer.Reset(c.sweep())
	}
}

// sweep expires and dispatches, and returns how long the next sweep can wait.
func (c *Controller) sweep() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.config.Clock.Now()
	for _, g := range c.queues.groups {
		g.reestimate()
	}
	c.expire(now)
	for g := range c.queues.groups {
		c.dispatch(now, g)
	}
	c.gauge()
	next := c.queues.nextExpiry()
	if next.IsZero() {
		return sweepInterval
	}
	return min(max(next.Sub(now), 0), sweepInterval)
}

// close refuses all that wait and all that come.
func (c *Controller) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, g := range c.queues.groups {
		for g.waiting() > 0 {
			w := g.expiry.first()
			c.queues.remove(w)
			w.answer <- c.refuse(w, NoCapacity)
		}
	}
}
