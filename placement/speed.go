package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"pumiceshelf/endpointload"
	"pumiceshelf/registry"
)

// Engines that report how long work takes are told apart by their speed. This answers the load of a large fleet before engines of
// different speeds: an engine prefills a prompt in chunks between the tokens of its running streams, so that on a slow engine each
// event of a stream pauses for longer than its objective while a long prompt is prefilled. While the fast engines have room they get
// all requests. The slow ones take short prompts in bursts, and never long ones while a fast engine has a free slot.

const (
	// longPrefillDivisor makes a prompt long if its prefill takes more than this fraction of the objective for pauses between
	// events. Two shorter ones at once, on an engine of half the usual speed, still keep the objective.
	longPrefillDivisor = 4
	// slowFactor is the ratio of work times from which an engine counts as slow next to the fast ones. At twice the work time, half
	// of the objective for pauses would be gone before any disturbance.
	slowFactor = 1.5
	// fastQuantile is the inverse of the share of engines that are at least as fast as the one that slowFactor refers to.
	fastQuantile = 4
	// slotUtilization is the part of the slots of the engines in use that requests should take, which leaves room for bursts of one
	// and a half times the mean.
	slotUtilization = 0.65
	// typicalPrecision is the difference of work times below which engines count as equally fast.
	typicalPrecision = 0.05
	// disturbanceMemory is how long a reported work time is expected to last, since it changes several times per second on endpoints
	// that share their machines. After that, the typical one is more likely.
	disturbanceMemory = 500 * time.Millisecond
	// randomCandidates is the number of engines drawn at random that are compared with the one that a session prefers. Instances
	// with the same reports would all move to the same engine if they compared all of them.
	randomCandidates = 2
	// moveDivisor is the part of the latency objective by which another engine must be faster than the one that the session prefers.
	moveDivisor = 8
	// crowdedLoad is the part of the slots from which the requests of an engine count as delay, up to half of the objective when
	// all slots are taken.
	crowdedLoad = 0.5
)

// Loads tells what endpoints have reported of their load, to this instance or to others.
type Loads interface {
	View(e registry.Endpoint, now time.Time) (endpointload.View, bool)
	Wants(r endpointload.Report) bool
	Record(e registry.Endpoint, r endpointload.Report, now time.Time)
	RecordObservation(e registry.Endpoint, o endpointload.Observation, now time.Time)
}

// isLong reports whether the prefill of the request's prompt, at the rate of the engines, would delay the events of streams on the same
// engine too much.
func (r Request) isLong(engines []engine) bool {
	return r.MaxEventGap > 0 && engines[0].prefillTime(r.PromptTokens) > r.MaxEventGap/longPrefillDivisor
}

// engine is an endpoint with what is known of its load.
type engine struct {
	state *endpointState
	view  endpointload.View
	known bool
	// typical is the typical work time, or that of the service if the engine's is not known.
	typical float64
	// rate is the prompt tokens per second of the service's engines at the usual work time.
	rate float64
	hash uint64
}

// load returns the number of requests at the engine, as far as this instance knows, relative to its slots.
func (e engine) load() float64 {
	slots := e.state.endpoint.Slots
	requests := e.state.inflight
	if e.known && e.view.Fresh() {
		slots = max(e.view.Slots, 1)
		requests = max(requests, e.view.Running+e.view.Waiting)
	}
	return float64(requests) / float64(max(slots, 1))
}

// workTime returns how long work is expected to take on the engine now.
func (e engine) workTime() float64 {
	if e.known && e.view.Age < disturbanceMemory && e.view.WorkTime > 0 {
		return e.view.WorkTime
	}
	return e.typical
}

// withLoads returns the endpoints with what is known of their load, or nil if none of them reports a work time. It then sets the learned
// speeds of the endpoints.
func (c *Chooser) withLoads(usable []*endpointState, now time.Time) []engine {
	if c.loads == nil {
		return nil
	}
	out := make([]engine, 0, len(usable))
	var typical []float64
	for _, s := range usable {
		s.learned = learnedSpeed{}
		v, known := c.loads.View(s.endpoint, now)
		if known && v.TypicalWorkTime > 0 {
			typical = append(typical, v.TypicalWorkTime)
		}
		out = append(out, engine{state: s, view: v, known: known, typical: v.TypicalWorkTime, hash: xxhash.Sum64String(s.endpoint.ID)})
	}
	if len(typical) == 0 {
		learnSpeeds(out)
		return nil
	}
	slices.Sort(typical)
	for i := range out {
		if out[i].typical == 0 {
			out[i].typical = typical[len(typical)/2]
		}
	}
	rate := prefillRate(out)
	for i := range out {
		out[i].rate = rate
	}
	return out
}

// eligible returns the engines for a request: the fast ones, and for short prompts as many of the slow ones as the requests of all
// instances need. All instances order the engines in the same way. If no eligible engine has room, it returns all that have. crowded
// is set if so few slots are free that the requests must be spread over all engines returned (balance.go).
func eligible(all []engine, long bool) (engines []engine, crowded bool) {
	ordered := slices.Clone(all)
	slices.SortFunc(ordered, func(a, b engine) int {
		return cmp.Or(cmp.Compare(math.Round(a.typical/typicalPrecision), math.Round(b.typical/typicalPrecision)), cmp.Compare(a.hash, b.hash))
	})
	limit := slowFactor * ordered[len(ordered)/fastQuantile].typical
	fast, _ := slices.BinarySearchFunc(ordered, limit, func(e engine, limit float64) int {
		if e.typical <= limit {
			return -1
		}
		return 1
	})
	used := fast
	if !long {
		used = min(max(fast, enginesNeeded(ordered)), len(ordered))
	}
	group := ordered[:used]
	if withRoom(group)[0].load() >= 1 {
		group = all
	}
	if crowded = meanLoad(group) >= slotUtilization; crowded {
		return group, true
	}
	return withRoom(group), false
}

// meanLoad returns the mean load of the engines.
func meanLoad(engines []engine) (mean float64) {
	for _, e := range engines {
		mean += e.load() / float64(len(engines))
	}
	return mean
}

// enginesNeeded returns the number of engines for which the requests in progress take slotUtilization of the slots.
func enginesNeeded(engines []engine) int {
	needed := 0.0
	for _, e := range engines {
		if e.known && e.view.Fresh() {
			needed += e.load()
		}
	}
	return int(math.Ceil(needed / slotUtilization))
}

// withRoom returns the endpoints that have free slots, or all of them if none has.
func withRoom(all []engine) []engine {
	var free []engine
	for _, e := range all {
		if e.load() < 1 {
			free = append(free, e)
		}
	}
	if len(free) == 0 {
		return all
	}
	return free
}

// expected returns the expected time to the first event of a request at an engine, and the part of it before its prefill begins.
func (e engine) expected(r Request, cached bool, now time.Time) (first, wait time.Duration) {
	session, sharedTokens := r.sessionPart()
	tokens := r.PromptTokens
	if cached || e.state.hasCached(session, now) {
		tokens -= sharedTokens
	}
	work := e.workTime()
	wait = time.Duration(float64(e.ownBacklog(r.Priority, now)) * work)
	if crowd := e.load() - crowdedLoad; crowd > 0 {
		wait += time.Duration(crowd * float64(r.MaxTimeToFirstToken))
	}
	return wait + time.Duration(float64(e.prefillTime(tokens))*work), wait
}

// chooseEngine returns the engine that the session of the request prefers, or one of a few others that is expected to respond
// clearly sooner.
func (c *Chooser) chooseEngine(engines []engine, r Request, now time.Time) (best *endpointState, wait time.Duration) {
	session, _ := r.sessionPart()
	states := make([]*endpointState, len(engines))
	byState := make(map[*endpointState]engine, len(engines))
	for i, e := range engines {
		states[i], byState[e.state] = e.state, e
	}
	preferred := rendezvous(states, session, func(*endpointState) bool { return true })
	first, wait := byState[preferred].expected(r, true, now)
	best = preferred
	limit := first - r.MaxTimeToFirstToken/moveDivisor
	for range randomCandidates {
		other := engines[c.intN(len(engines))]
		if f, w := other.expected(r, false, now); f < limit {
			best, wait, limit = other.state, w, f
		}
	}
	return best, wait
}

// ownBacklog returns the prefill time of this instance's own prompts ahead of a new one of the given priority, at the usual work
// time.
func (e engine) ownBacklog(priority int, now time.Time) time.Duration {
	tokens, oldest := int64(0), time.Duration(0)
	for p := range e.state.prefills {
		if p.priority <= priority {
			tokens += p.tokens
			oldest = max(oldest, now.Sub(p.since))
		}
	}
	return max(e.prefillTime(tokens), oldest)
}

// chooseBySpeed chooses an eligible engine. If the engine would begin too late, inTime is false while the service is overloaded.
func (c *Chooser) chooseBySpeed(all []engine, r Request, now time.Time) (s *endpointState, wait time.Duration, inTime bool) {
	engines, crowded := eligible(all, r.isLong(all))
	if crowded {
		e := c.chooseBalanced(spread(engines, c.serviceTime(r.Service)), r)
		s = e.state
		_, wait = e.expected(r, false, now)
	} else {
		s, wait = c.chooseEngine(engines, r, now)
	}
	if r.MaxTimeToFirstToken == 0 || wait <= maxWait(r.MaxTimeToFirstToken, all[0].prefillTime(r.PromptTokens)) {
		return s, wait, true
	}
	states := make([]*endpointState, len(engines))
	for i, e := range engines {
		states[i] = e.state
	}
	return s, wait, r.NeverOverloaded || !overloaded(states, r, now)
}
