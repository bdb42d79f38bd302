package placement

import (
	"math"
	"slices"
	"time"

	"pumiceshelf/endpointload"
)

const (
	// minObservedTokens is the fewest prompt tokens from which a prefill rate is observed: the smallest part of a prompt that
	// engines prefill between two steps. For fewer, most of the time to the first event is not prefill.
	minObservedTokens = 1024
	// minLearnedShare is the inverse of the share of engines whose speed must be known before learned work times are used.
	minLearnedShare = 2
	// learnedPrecision is the precision of learned work times. Instances have different estimates of an engine, and sessions would
	// prefer different engines at different instances.
	learnedPrecision = 0.1
)

// learnedSpeed is what a service without work times in its load reports uses of learned speeds. The zero value stands for an engine
// for which none are used.
type learnedSpeed struct {
	// workTime is relative to the median of the service, and rate the prompt tokens per second at that median.
	workTime, rate float64
	// spared is set if the engine is slow and the faster ones have room.
	spared bool
}

// observed is what is known of a prompt when it is sent, for an observation of the engine's prefill rate.
type observed struct {
	// tokens are those that the engine has not cached, and alone is set if it has no other prompt of this instance to prefill.
	tokens int64
	alone  bool
	// waiting is set if the engine has reported waiting requests since.
	waiting bool
}

// observedPrompt returns what is known of a prompt that is about to be sent. Another instance may have sent its shared parts to the
// engine, so only the part that belongs to the request counts as not cached. The prefill of other parts then makes the engine seem
// slower than it is, as queues do, and the estimate goes by the faster observations.
func (s *endpointState) observedPrompt(r Request, now time.Time) observed {
	if len(r.PromptParts) == 0 {
		return observed{}
	}
	session, _ := r.sessionPart()
	if len(r.PromptParts) == 1 && s.hasCached(session, now) {
		return observed{}
	}
	return observed{tokens: r.PromptParts[len(r.PromptParts)-1].Tokens, alone: len(s.prefills) == 0}
}

// RecordStream records what the times of the request's stream tell of the engine's speed, if instances share what they know of it.
// The stream must have begun with the prefill of the request's prompt unless resumed is set.
func (t *Ticket) RecordStream(times *endpointload.StreamTimes, resumed bool, now time.Time) {
	t.chooser.mu.Lock()
	defer t.chooser.mu.Unlock()
	if t.chooser.loads == nil {
		return
	}
	first := times.First()
	if p := t.observed; resumed || !p.alone || p.waiting || p.tokens < minObservedTokens {
		first = 0
	}
	if o := endpointload.Observe(t.observed.tokens, first, times.Gap()); o != (endpointload.Observation{}) {
		t.chooser.loads.RecordObservation(t.Endpoint, o, now)
	}
}

// prefillTime returns the estimated prefill time of a number of tokens at the usual work time of the engine's service.
func (e engine) prefillTime(tokens int64) time.Duration {
	return time.Duration(float64(max(tokens, 0)) / e.rate * float64(time.Second))
}

// learnedWorkTimes returns the engines' work times relative to the median, from the times between events, by engine in the given
// order. They are zero for engines whose speed is not known, and nil if it is known of too few.
func learnedWorkTimes(engines []engine) []float64 {
	out, known := make([]float64, len(engines)), make([]float64, 0, len(engines))
	for i, e := range engines {
		if e.known && e.view.Learned.EventGap > 0 {
			out[i] = float64(e.view.Learned.EventGap)
			known = append(known, out[i])
		}
	}
	if len(known) == 0 || minLearnedShare*len(known) < len(engines) {
		return nil
	}
	slices.Sort(known)
	median := known[(len(known)-1)/2]
	for i := range out {
		out[i] /= median
	}
	return out
}

// learnSpeeds sets the learned speeds of engines that report no work times. Sessions then prefer an engine in inverse proportion to its
// work time, and none prefers one that takes more than slowFactor times as long as the fastest quarter while the faster ones have room.
// Full engines are not left out: with reports that are some seconds old, sessions then moved so often that their prompts were
// prefilled again, and two and a half times as many streams were late at 1.8 times the usual load.
func learnSpeeds(engines []engine) {
	times := learnedWorkTimes(engines)
	if times == nil {
		return
	}
	for i := range engines {
		engines[i].typical = 1
		if times[i] > 0 {
			engines[i].typical = max(math.Round(times[i]/learnedPrecision)*learnedPrecision, learnedPrecision)
		}
		times[i] = engines[i].typical
	}
	slices.Sort(times)
	limit, load, reports := slowFactor*times[len(times)/fastQuantile], 0.0, 0
	for _, e := range engines {
		if e.typical <= limit && e.known && e.view.Fresh() {
			load += e.load()
			reports++
		}
	}
	hasRoom := load <= slotUtilization*float64(reports)
	rate := prefillRate(engines)
	for _, e := range engines {
		e.state.learned = learnedSpeed{workTime: e.typical, rate: rate, spared: hasRoom && e.typical > limit}
	}
}

// inUse returns the engines that are not spared.
func inUse(usable []*endpointState) []*endpointState {
	out := make([]*endpointState, 0, len(usable))
	for _, s := range usable {
		if !s.learned.spared {
			out = append(out, s)
		}
	}
	return out
}

// weight returns the hash of an engine and a prompt part such that the share of the parts for which it is the highest is in inverse
// proportion to the engine's work time.
func (l learnedSpeed) weight(hash uint64) uint64 {
	if l.workTime == 0 {
		return hash
	}
	return uint64(math.Exp2(63) * math.Pow(float64(hash)/math.Exp2(64), l.workTime))
}

// prefillTime returns the estimated prefill time of a number of tokens.
func (s *endpointState) prefillTime(tokens int64) time.Duration {
	if s.learned.workTime == 0 {
		return prefillTime(tokens)
	}
	return time.Duration(float64(max(tokens, 0)) / s.learned.rate * s.learned.workTime * float64(time.Second))
}

// prefillRate returns the prompt tokens per second of the engines at the usual work time: the median of what was learned, or
// prefillTokensPerSecond. It is one rate for all engines of a service, because their work times tell how they differ, and a choice
// between an engine with an estimate and one without must not depend on that.
func prefillRate(engines []engine) float64 {
	var rates []float64
	for _, e := range engines {
		if e.known && e.view.Learned.PrefillRate > 0 {
			rates = append(rates, e.view.Learned.PrefillRate*e.typical)
		}
	}
	if len(rates) == 0 {
		return prefillTokensPerSecond
	}
	slices.Sort(rates)
	return rates[(len(rates)-1)/2]
}
