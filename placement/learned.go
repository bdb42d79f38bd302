package placement

import (
	"slices"
	"time"

	"pumiceshelf/endpointload"
)

// minObservedTokens is the fewest prompt tokens from which a prefill rate is observed: the smallest part of a prompt that
// engines prefill between two steps. For fewer, most of the time to the first event is not prefill.
const minObservedTokens = 1024

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
