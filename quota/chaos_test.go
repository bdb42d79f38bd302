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

// chaos runs requests on a fleet in which instances crash, pause and are disconnected from each other and the object store,
// and responses are lost. It tracks what engines would have used: the usage of settled requests, and the bound of all
// others that were dispatched.
type chaos struct {
	*fleet
	t         *rapid.T
	next      int
	open      map[string]*node
	bounds    map[string]budget.Tokens
	spent     budget.Tokens
	uncertain budget.Tokens // may be charged or not, because the instance crashed
	settled   map[*node]budget.Tokens
}

func (c *chaos) pick(name string, n int) int { return rapid.IntRange(0, n-1).Draw(c.t, name) }

func (c *chaos) node() *node {
	r := c.running()
	return r[c.pick("node", len(r))]
}

func (c *chaos) reserveOne() {
	n := c.node()
	id := fmt.Sprint("r", c.next)
	c.next++
	bound := budget.Tokens(1 + c.pick("bound", 1000))
	if c.reserveWithin(n, id, bound, 500*time.Millisecond).Outcome == Granted {
		c.open[id], c.bounds[id] = n, bound
	}
}

func (c *chaos) finishSome() {
	for _, id := range slices.Sorted(maps.Keys(c.open)) {
		n := c.open[id]
		if n.paused || n.dead || c.pick("finish", 2) == 0 {
			continue
		}
		delete(c.open, id)
		if c.pick("ran", 8) == 0 {
			c.settleWithShortContext(n, Usage{RequestID: id, Budget: mainBudget})
			continue
		}
		usage := budget.Tokens(c.pick("usage", int(c.bounds[id])+1))
		c.spent += usage
		c.settled[n] += usage
		c.settleWithShortContext(n, Usage{RequestID: id, Budget: mainBudget, Generated: usage, Ran: true})
	}
}

func (c *chaos) settleWithShortContext(n *node, u Usage) {
	ctx, cancel := c.shortContext()
	defer cancel()
	n.Settle(ctx, u)
}

func (c *chaos) crashOne() {
	if c.pick("crash", 3) > 0 {
		return
	}
	n := c.node()
	c.kill(n)
	c.uncertain += c.settled[n]
	for _, id := range slices.Sorted(maps.Keys(c.open)) {
		if c.open[id] == n {
			c.spent += c.bounds[id]
			c.uncertain += c.bounds[id]
			delete(c.open, id)
		}
	}
	delete(c.settled, n)
	c.start(n.self.Domain, fmt.Sprint(n.self.Name, "'"))
}

func (c *chaos) pauseOne() {
	if len(c.running()) > 3 {
		c.setPaused(c.node(), true)
	}
}

func (c *chaos) resumeAll() {
	c.mu.Lock()
	for _, n := range c.nodes {
		n.paused = false
	}
	c.mu.Unlock()
	c.viewChanged()
}

func (c *chaos) disconnectOne() { c.setDisconnected(c.node(), c.node(), true) }

func (c *chaos) healLinks() {
	c.mu.Lock()
	clear(c.disconnected)
	c.mu.Unlock()
	c.dropResponses(nil)
}

func (c *chaos) dropSomeResponses() {
	var lost atomic.Int64
	c.dropResponses(func(string, string, string) bool { return lost.Add(1)%3 == 0 })
}

func (c *chaos) storeFault() {
	var lost atomic.Int64
	switch c.pick("fault", 4) {
	case 0:
		c.store.SetFaults(standin.Faults{Unavailable: true})
	case 1:
		c.disconnectStore(c.node().self.Name, c.node().self.Name)
	case 2:
		c.store.SetFaults(standin.Faults{LoseResponse: func(string) bool { return lost.Add(1)%2 == 0 }})
	default:
		c.store.SetFaults(standin.Faults{})
	}
}

func (c *chaos) advanceTime() { c.advance(time.Duration(1+c.pick("seconds", 15)) * time.Second) }

// check verifies after every step that the tokens that engines used and may still use do not exceed the grant.
func (c *chaos) check(t *rapid.T) {
	total := c.spent
	for id := range c.open {
		total += c.bounds[id]
	}
	if total > chaosGrant {
		t.Fatalf("%d tokens are used or may still be used, but only %d are granted", total, chaosGrant)
	}
}

// checkFinal ends all faults and compares the charged tokens with those that engines used.
func (c *chaos) checkFinal() {
	c.resumeAll()
	c.healLinks()
	c.store.SetFaults(standin.Faults{})
	for len(c.open) > 0 {
		c.finishSome()
	}
	c.advance(3 * time.Minute)
	r, err := Report(c.fleet.t.Context(), c.store.Client("test"), mainBudget.Customer)
	if err != nil || len(r) == 0 {
		return // Nothing was reserved.
	}
	var least budget.Tokens
	for _, tokens := range c.settled {
		least += tokens
	}
	charged := r[0].Recorded - r[0].Refunded
	if !r[0].Agrees || charged < least || charged > least+c.uncertain+c.maxOrphanCharges() {
		c.t.Fatalf("charged %d tokens, want %d to %d: %s", charged, least, least+c.uncertain+c.maxOrphanCharges(), r[0].Why)
	}
}

// maxOrphanCharges returns an upper bound of what orphans of paused instances can have been charged beyond their usage.
func (c *chaos) maxOrphanCharges() budget.Tokens {
	var sum budget.Tokens
	for _, n := range c.nodes {
		if n.counters.orphanAtBound.Count() > 0 {
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
			"request": step(c.reserveOne), "request again": step(c.reserveOne), "request more": step(c.reserveOne),
			"finish": step(c.finishSome), "crash": step(c.crashOne), "pause": step(c.pauseOne), "resume": step(c.resumeAll),
			"disconnect": step(c.disconnectOne), "heal": step(c.healLinks), "lose responses": step(c.dropSomeResponses),
			"platform": step(c.storeFault), "pass time": step(c.advanceTime), "": c.check,
		})
		c.t = rt
		c.checkFinal()
	})
}
