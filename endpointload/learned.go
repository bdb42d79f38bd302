package endpointload

import (
	"slices"
	"time"
)

// Instances learn how fast an engine is from the streams that they relay. This answers the load of a fleet before engines that differ
// in speed and report no work time, or whose prefill rate is not the one that this package's users assume.
//
// An observation is disturbed in one direction: a queue, prompts of other instances, another load on the engine's machine and the
// network make it slower than the engine is. An estimate is therefore taken from the faster observations, but not from the fastest,
// which caching that no instance knows of, or events that arrive together, make too fast.

const (
	// maxObservations bounds the observations kept for an endpoint. They are about five seconds of an engine's streams.
	maxObservations = 15
	// minObservations is the fewest from which an estimate is made. One disturbed observation among them does not decide.
	minObservations = 3
	// slowerShare is the part of the observations that counts as slower than the estimate. Disturbances of 15% of the time and
	// queues at the next half of the requests stay below it, and up to 30% too fast ones stay above it.
	slowerShare = 0.7
	// outlierFactor is the ratio to the estimate from which an observation is dropped. Engines of one service differ by less, even
	// while one of them is disturbed.
	outlierFactor = 10
	// minPrefillRate and maxPrefillRate, in tokens per second, and maxEventGap bound what an engine can do.
	minPrefillRate = 100
	maxPrefillRate = 10_000_000
	maxEventGap    = 10 * time.Second
	// observationBytes is the size of an encoded observation in a statement, if all values have their greatest length.
	observationBytes = 14
	// observationPrecision is the precision with which instances pass on event gaps.
	observationPrecision = time.Microsecond
)

// Observation is what one stream told of the speed of its engine. Zero values were not observed.
type Observation struct {
	// PrefillRate is the prompt tokens per second up to the first event.
	PrefillRate int
	// EventGap is the usual time between two events.
	EventGap time.Duration
}

// Observe returns the observation of a stream whose first event came after a time, for a prompt of which so many tokens were
// certainly not cached, and whose events came with the given gap. Zero times were not observed. The observation is zero if nothing
// was, and invalid values of it are dropped.
func Observe(tokens int64, first, gap time.Duration) Observation {
	o := Observation{EventGap: gap.Truncate(observationPrecision)}
	if first > 0 && tokens > 0 {
		o.PrefillRate = int(min(float64(tokens)/first.Seconds(), maxPrefillRate+1))
	}
	if o.PrefillRate < minPrefillRate || o.PrefillRate > maxPrefillRate {
		o.PrefillRate = 0
	}
	if o.EventGap < 0 || o.EventGap > maxEventGap {
		o.EventGap = 0
	}
	return o
}

// valid reports whether the values are possible.
func (o Observation) valid() bool {
	return (o.PrefillRate == 0 || o.PrefillRate >= minPrefillRate && o.PrefillRate <= maxPrefillRate) && o.EventGap >= 0 && o.EventGap <= maxEventGap
}

// Learned is what is estimated of an engine's speed. Zero values are not known.
type Learned struct {
	// PrefillRate is the prompt tokens per second, with the steps of running streams between two parts of a prompt.
	PrefillRate float64
	// EventGap is the time between two events of a stream while the engine does nothing else.
	EventGap time.Duration
}

// learner holds the observations of one process of an endpoint. Its zero value has none.
type learner struct {
	observations []timedObservation
	estimate     Learned
}

type timedObservation struct {
	Observation
	at time.Time
}

// newest returns the newest observation and its age, or false if there is none within workTimeTTL.
func (l *learner) newest(now time.Time) (Observation, time.Duration, bool) {
	if len(l.observations) == 0 {
		return Observation{}, 0, false
	}
	last := l.observations[len(l.observations)-1]
	age := now.Sub(last.at)
	return last.Observation, age, age < workTimeTTL
}

// learned returns the estimate, or zero if the newest observation is older than workTimeTTL.
func (l *learner) learned(now time.Time) Learned {
	if _, _, ok := l.newest(now); !ok {
		return Learned{}
	}
	return l.estimate
}

// add adds a valid observation that was made at a time unless it is known or older than the newest. outlier is set if it differs so
// much from the estimate that it is dropped.
func (l *learner) add(o Observation, at, now time.Time) (added, outlier bool) {
	if n := len(l.observations); n > 0 && !at.After(l.observations[n-1].at) {
		return false, false
	}
	// The time on the way makes an observation that comes back seem newer than it is.
	if slices.ContainsFunc(l.observations, func(k timedObservation) bool { return k.Observation == o && at.Sub(k.at) < minAdvance }) {
		return false, false
	}
	if e := l.learned(now); isOutlier(float64(o.PrefillRate), e.PrefillRate) || isOutlier(float64(o.EventGap), float64(e.EventGap)) {
		return false, true
	}
	l.observations = append(l.observations, timedObservation{o, at})
	l.observations = slices.DeleteFunc(l.observations, func(k timedObservation) bool { return now.Sub(k.at) >= workTimeTTL })
	if extra := len(l.observations) - maxObservations; extra > 0 {
		l.observations = slices.Delete(l.observations, 0, extra)
	}
	var rates, gaps []float64
	for _, k := range l.observations {
		if k.PrefillRate > 0 {
			rates = append(rates, float64(k.PrefillRate))
		}
		if k.EventGap > 0 {
			gaps = append(gaps, float64(k.EventGap))
		}
	}
	l.estimate = Learned{PrefillRate: quantile(rates, slowerShare), EventGap: time.Duration(quantile(gaps, 1-slowerShare))}
	return true, false
}

// isOutlier reports whether a value that was observed differs from a known estimate by more than outlierFactor.
func isOutlier(value, estimate float64) bool {
	return value > 0 && estimate > 0 && (value > estimate*outlierFactor || value*outlierFactor < estimate)
}

// quantile returns the value that a share of the values is not above, or zero if there are fewer than minObservations.
func quantile(values []float64, share float64) float64 {
	if len(values) < minObservations {
		return 0
	}
	slices.Sort(values)
	return values[int(share*float64(len(values)-1)+0.5)]
}
