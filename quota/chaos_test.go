package quota

import (
	"fmt"
	"maps"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"pgregory.net/rapid"

	"pumiceshelf/budget"
	"pumiceshelf/internal/standin"
)

const chaosGrant = 20_000

// chaos runs requests on a fleet in which instances crash and pause, links and the platform are cut and answers are lost.
// It keeps what engines would have run: the usage of settled requests and the bound of all others dispatched.
type chaos struct {
	*fleet
	t       *rapid.T
	next    int
	open    map[string]*node
	bounds  map[string]budget.Tokens
	spent   budget.Tokens
	unsure  budget.Tokens // may be billed or not: the instance is gone
	settled map[*node]budget.Tokens
}

func (c *chaos) pick(name string, n int) int { return rapid.IntRange(0, n-1).Draw(c.t, name) }

func (c *chaos) node() *node {
	r := c.running()
	return r[c.pick("node", len(r))]
}

func (c *chaos) request() {
	n := c.node()
	id := fmt.Sprint("r", c.next)
	c.next++
	bound := budget.Tokens(1 + c.pick("bound", 1000))
	if c.reserveWithin(n, id, bound, 500*time.Millisecond).Outcome == Granted {
		c.open[id], c.bounds[id] = n, bound
	}
}

func (c *chaos) finish() {
	for _, id := range slices.Sorted(maps.Keys(c.open)) {
		n := c.open[id]
		if n.paused || n.dead || c.pick("finish", 2) == 0 {
			continue
		}
		delete(c.open, id)
		if c.pick("ran", 8) == 0 {
			c.settleSoon(n, Usage{RequestID: id, Budget: hot})
			continue
		}
		usage := budget.Tokens(c.pick("usage", int(c.bounds[id])+1))
		c.spent += usage
		c.settled[n] += usage
		c.settleSoon(n, Usage{RequestID: id, Budget: hot, Generated: usage, Ran: true})
	}
}

func (c *chaos) settleSoon(n *node, u Usage) {
	ctx, cancel := c.soon()
	defer cancel()
	n.Settle(ctx, u)
}

func (c *chaos) crash() {
	if c.pick("crash", 3) > 0 {
		return
	}
	n := c.node()
	c.kill(n)
	c.unsure += c.settled[n]
	for _, id := range slices.Sorted(maps.Keys(c.open)) {
		if c.open[id] == n {
			c.spent += c.bounds[id]
			c.unsure += c.bounds[id]
			delete(c.open, id)
		}
	}
	delete(c.settled, n)
	c.start(n.self.Domain, fmt.Sprint(n.self.Name, "'"))
}

func (c *chaos) pauseOne() {
	if len(c.running()) > 3 {
		c.pause(c.node(), true)
	}
}

func (c *chaos) wakeAll() {
	c.mu.Lock()
	for _, n := range c.nodes {
		n.paused = false
	}
	c.mu.Unlock()
	c.viewChanged()
}

func (c *chaos) cutOne() { c.cutLink(c.node(), c.node(), true) }

func (c *chaos) healLinks() {
	c.mu.Lock()
	clear(c.cut)
	c.mu.Unlock()
	c.loseAnswers(nil)
}

func (c *chaos) loseSome() {
	var lost atomic.Int64
	c.loseAnswers(func(string, string, string) bool { return lost.Add(1)%3 == 0 })
}

func (c *chaos) platformFault() {
	var lost atomic.Int64
	switch c.pick("fault", 4) {
	case 0:
		c.objects.SetFaults(standin.Faults{Unavailable: true})
	case 1:
		c.cutPlatform(c.node().self.Name, c.node().self.Name)
	case 2:
		c.objects.SetFaults(standin.Faults{LoseResponse: func(string) bool { return lost.Add(1)%2 == 0 }})
	default:
		c.objects.SetFaults(standin.Faults{})
	}
}

func (c *chaos) passTime() { c.steps(time.Duration(1+c.pick("seconds", 15)) * time.Second) }

// check holds at every step: what engines ran and may run yet is within what was granted.
func (c *chaos) check(t *rapid.T) {
	total := c.spent
	for id := range c.open {
		total += c.bounds[id]
	}
	if total > chaosGrant {
		t.Fatalf("%d tokens may run of %d granted", total, chaosGrant)
	}
}

// end heals everything and compares the bill with what ran.
func (c *chaos) end() {
	c.wakeAll()
	c.healLinks()
	c.objects.SetFaults(standin.Faults{})
	for len(c.open) > 0 {
		c.finish()
	}
	c.steps(3 * time.Minute)
	r, err := Report(c.fleet.t.Context(), c.objects.Client("test"), hot.Customer)
	if err != nil || len(r) == 0 {
		return // Nothing was reserved.
	}
	var least budget.Tokens
	for _, tokens := range c.settled {
		least += tokens
	}
	billed := r[0].Recorded - r[0].Refunded
	if !r[0].Agrees || billed < least || billed > least+c.unsure+c.atBound() {
		c.t.Fatalf("billed %d, want %d to %d: %s", billed, least, least+c.unsure+c.atBound(), r[0].Why)
	}
}

// atBound returns the most that orphans of paused instances can have been billed over their usage.
func (c *chaos) atBound() budget.Tokens {
	var sum budget.Tokens
	for _, n := range c.nodes {
		if n.counters.orphanBound.Count() > 0 {
			for _, b := range c.bounds {
				sum += b
			}
		}
	}
	return sum
}

func TestChaos(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		c := &chaos{
			fleet: newFleet(t, chaosGrant), t: rt, open: make(map[string]*node),
			bounds: make(map[string]budget.Tokens), settled: make(map[*node]budget.Tokens),
		}
		for _, name := range []string{"a", "b", "c"} {
			c.start("d1", name)
		}
		c.start("d2", "x")
		c.start("d2", "y")
		step := func(f func()) func(*rapid.T) {
			return func(t *rapid.T) {
				c.t = t
				f()
			}
		}
		rt.Repeat(map[string]func(*rapid.T){
			"request": step(c.request), "request again": step(c.request), "request more": step(c.request),
			"finish": step(c.finish), "crash": step(c.crash), "pause": step(c.pauseOne), "wake": step(c.wakeAll),
			"cut": step(c.cutOne), "heal": step(c.healLinks), "lose answers": step(c.loseSome),
			"platform": step(c.platformFault), "pass time": step(c.passTime), "": c.check,
		})
		c.t = rt
		c.end()
	})
}
