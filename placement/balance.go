package placement

import (
	"math"
	"time"

	"pumiceshelf/registry"
)

// While the engines of a service have few free slots, all instances would send what comes until the next report to the few engines
// whose last reports show free ones: load reports are a second or two old, in which one engine would get the requests of all. This
// file spreads these requests instead, by how many of them each engine can take until the reports show the effect. It answers the
// load of a large fleet before engines that a burst exceeds.

const (
	// defaultServiceTime is assumed for the time of a stream in a slot until one has ended. Published streams take 0.5 to 2 s.
	defaultServiceTime = time.Second
	// serviceTimeWeight is the weight of the newest stream in the mean time in a slot, so that some tens of streams determine it.
	serviceTimeWeight = 0.05
	// reactionFactor is the time in which a difference between engines is corrected, relative to the mean age of the reports. With 3,
	// engines of 90 instances had free slots for seconds while others had queues (0.93 of the slots used in place of 0.95).
	reactionFactor = 1.5
	// minReaction bounds that time from below. Reports are exchanged every 500 ms.
	minReaction = 500 * time.Millisecond
	// minSavingDivisor is the part of the time in a slot that the prefill of the shared parts of a prompt must take for the session to
	// prefer an engine. What is saved otherwise is less than the wait for the requests of one session on the same engine.
	minSavingDivisor = 20
	// preferredMemory is the number of requests for which it is remembered which engines their sessions prefer: one of 90 instances
	// sees a few per second. priorPreferred is the weight of the assumption that each engine is preferred by its part.
	preferredMemory = 100
	priorPreferred  = 8
)

// balance is how the requests of a crowded service are spread over its engines.
type balance struct {
	engines []engine
	// intake is the number of requests that each engine should get until the reports show the effect, and total their sum.
	intake []float64
	total  float64
}

// spread returns the balance for engines in which a request takes a slot for the given time at the usual work time. Each engine gets
// as many requests as it completes, and more or fewer by how much shorter or longer its queue takes than that of others.
func spread(engines []engine, serviceTime time.Duration) balance {
	reaction := reactionTime(engines).Seconds() / serviceTime.Seconds()
	b := balance{engines: engines, intake: make([]float64, len(engines))}
	for _, e := range engines {
		b.total += e.completions(reaction)
	}
	// The sum of the intakes rises with the level, which is found by bisection.
	low, high := -1-reaction*10, 1.0
	for _, e := range engines {
		high = max(high, e.load()*e.typical)
	}
	for range 30 {
		level, sum := (low+high)/2, 0.0
		for _, e := range engines {
			sum += e.intake(level, reaction)
		}
		if sum < b.total {
			low = level
		} else {
			high = level
		}
	}
	b.total = 0
	for i, e := range engines {
		b.intake[i] = e.intake(high, reaction)
		b.total += b.intake[i]
	}
	return b
}

// reactionTime returns the time in which a difference between engines is corrected.
func reactionTime(engines []engine) time.Duration {
	var sum time.Duration
	n := 0
	for _, e := range engines {
		if e.known && e.view.Fresh() {
			sum += e.view.Age
			n++
		}
	}
	return max(time.Duration(reactionFactor*float64(sum))/time.Duration(max(n, 1)), minReaction)
}

// slots returns the number of slots by the last report or, if that is old, by the entry of the engine.
func (e engine) slots() float64 {
	if e.known && e.view.Fresh() {
		return float64(max(e.view.Slots, 1))
	}
	return float64(max(e.state.endpoint.Slots, 1))
}

// completions returns the number of requests that the engine completes with all slots taken, in a time relative to that of a request.
func (e engine) completions(reaction float64) float64 { return e.slots() * reaction / e.typical }

// intake returns the number of requests after which the engine is at the level: a negative one is the share of its slots that are
// free, a positive one the time that its queue takes.
func (e engine) intake(level, reaction float64) float64 {
	if level > 0 {
		level /= e.typical
	}
	return max(e.slots()*(1+level-e.load())+e.completions(reaction), 0)
}

// chooseBalanced returns an engine at random, so that each gets its part of the intake. Of the requests whose sessions prefer an
// engine, as many go there as its part allows, and the others fill the parts of the other engines.
func (c *Chooser) chooseBalanced(b balance, r Request) engine {
	session, sharedTokens := r.sessionPart()
	if b.engines[0].prefillTime(sharedTokens) < c.serviceTime(r.Service)/minSavingDivisor {
		return b.pick(b.intake, b.total, c.uniform())
	}
	states, even, recorded := make([]*endpointState, len(b.engines)), 0.0, 0.0
	for i, e := range b.engines {
		states[i] = e.state
		even += e.completions(1)
		e.state.preferred *= 1 - 1.0/preferredMemory
		recorded += e.state.preferred
	}
	preferred := rendezvous(states, session, func(*endpointState) bool { return true })
	surplus, sum := make([]float64, len(b.engines)), 0.0
	for i, e := range b.engines {
		prefers := (e.state.preferred + priorPreferred*e.completions(1)/even) / (recorded + priorPreferred)
		part := b.intake[i] / b.total
		if e.state == preferred {
			preferred.preferred++
			if c.uniform()*prefers < part {
				return e
			}
		}
		surplus[i] = max(part-prefers, 0)
		sum += surplus[i]
	}
	return b.pick(surplus, sum, c.uniform())
}

// pick returns an engine at random, with the given weights and their sum. random is uniform in [0, 1).
func (b balance) pick(weights []float64, sum, random float64) engine {
	random *= sum
	for i, e := range b.engines {
		if random -= weights[i]; random < 0 {
			return e
		}
	}
	return b.engines[len(b.engines)-1]
}

// uniform returns a random number in [0, 1).
func (c *Chooser) uniform() float64 { return float64(c.intN(math.MaxInt32)) / math.MaxInt32 }

// serviceTime returns the mean time of a stream of the service in a slot, at the usual work time.
func (c *Chooser) serviceTime(service string) time.Duration {
	if t, ok := c.serviceTimes[service]; ok {
		return t
	}
	return defaultServiceTime
}

// recordServiceTime records that a stream took a slot of the engine for some time after its first event.
func (c *Chooser) recordServiceTime(e registry.Endpoint, took time.Duration, now time.Time) {
	if c.loads == nil {
		return
	}
	v, known := c.loads.View(e, now)
	if !known || v.TypicalWorkTime <= 0 || took <= 0 {
		return
	}
	mean := c.serviceTime(e.Service)
	c.serviceTimes[e.Service] = mean + time.Duration(serviceTimeWeight*(float64(took)/v.TypicalWorkTime-float64(mean)))
}
