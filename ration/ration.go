// Package ration decides which requests may use a customer's prepaid tokens while these do not last for all of them. It handles
// two situations: an outage of the store in which instances serve from leases that cover only a part of the demand, and the last part
// of a budget, for example after a kill of all instances has parked the rest.
//
// Tokens are kept for the requests that are more urgent than the one that asks, as many as these are expected to need until there
// is supply again. Large prompts of less urgent routes then no longer use up within seconds what would serve urgent short ones
// throughout an outage. No rank starves: one that was served far less than the others is served nevertheless.
//
// The package is pure: callers pass the current time. A Demand is not safe for concurrent use.
package ration

import (
	"math"
	"time"
)

const (
	// Ranks is the number of ranks; 0 is the most urgent.
	Ranks = 10
	// demandTime is the time constant of the demand by rank. It spans some tens of requests of most customers, and follows a burst
	// while the outage lasts.
	demandTime = 10 * time.Second
	// minObserved is the time that a shorter one since the first request counts as: a single request says little of the demand.
	minObserved = time.Second
	// serviceTime is the time constant of the share served. An outage of a few seconds after normal service starves no rank.
	serviceTime = time.Minute
	// floorShare is the share of the average that each rank is served at least. Callers of each kind are to be served at least a
	// quarter as often as others; the margin is for shares that are counted over a different time.
	floorShare = 0.35
	// minAsked is the number of requests of a rank below which its share says nothing.
	minAsked = 4
)

// Supply is what can be given to requests.
type Supply struct {
	// Tokens is the number of tokens that are available now.
	Tokens int64
	// Lasts is for how long they must last.
	Lasts time.Duration
}

// Decision is the result of Decide.
type Decision struct {
	// Granted is set if the request may take its tokens, as far as there are enough.
	Granted bool
	// Kept is the number of tokens that are kept for more urgent requests.
	Kept int64
	// Floor is set if the request is granted only because its rank was served too little.
	Floor bool
}

// Demand records what the requests of one customer ask for, by rank.
type Demand struct {
	tokens, asked, granted [Ranks]float64
	// since is the time of the first request.
	since, at time.Time
}

// Decide decides on a request of a rank for a number of tokens, and records it.
func (d *Demand) Decide(rank int, tokens int64, s Supply, now time.Time) Decision {
	rank = clamp(rank)
	d.advance(now)
	d.tokens[rank] += float64(tokens)
	d.asked[rank]++
	decision := d.decide(rank, tokens, s)
	if decision.Granted {
		d.granted[rank]++
	}
	return decision
}

// Peek returns what Decide would, without a change of state.
func (d *Demand) Peek(rank int, tokens int64, s Supply, now time.Time) Decision {
	copied := *d
	return copied.Decide(rank, tokens, s, now)
}

// Missing returns how many tokens the supply lacks for a request of a rank that Decide refused.
func (d *Demand) Missing(rank int, tokens int64, s Supply, now time.Time) int64 {
	copied := *d
	copied.advance(now)
	return max(tokens+copied.before(clamp(rank), s.Lasts)-s.Tokens, 0)
}

// Grant records that a request of a rank that Decide refused may take its tokens after all.
func (d *Demand) Grant(rank int) { d.granted[clamp(rank)]++ }

// Kept returns the number of tokens that must be kept for all but the least urgent rank, for the given time.
func (d *Demand) Kept(lasts time.Duration, now time.Time) int64 {
	copied := *d
	copied.advance(now)
	for rank := Ranks - 1; rank > 0; rank-- {
		if copied.asked[rank] >= 1 {
			return copied.before(rank, lasts)
		}
	}
	return 0
}

func (d *Demand) decide(rank int, tokens int64, s Supply) Decision {
	kept := d.before(rank, s.Lasts)
	switch {
	case kept == 0, tokens+kept <= s.Tokens:
		return Decision{Granted: true, Kept: kept}
	case d.starves(rank):
		return Decision{Granted: true, Kept: kept, Floor: true}
	}
	return Decision{Kept: kept}
}

// before returns how many tokens the requests of more urgent ranks need within a time.
func (d *Demand) before(rank int, lasts time.Duration) int64 {
	sum := 0.0
	for _, tokens := range d.tokens[:rank] {
		sum += tokens
	}
	return int64(sum / d.observed().Seconds() * max(lasts, 0).Seconds())
}

// observed returns the time to which the recorded tokens refer. It is shorter than demandTime at first: right after a kill of all
// instances, when the rest of a budget matters most, the demand would else be taken for a fraction of what it is.
func (d *Demand) observed() time.Duration {
	since := max(d.at.Sub(d.since), minObserved)
	return time.Duration(float64(demandTime) * (1 - math.Exp(-since.Seconds()/demandTime.Seconds())))
}

// starves reports whether a rank was served less than floorShare of the average. The request that asks is counted as not served.
func (d *Demand) starves(rank int) bool {
	if d.asked[rank] < minAsked {
		return false
	}
	var asked, granted float64
	for i := range d.asked {
		asked, granted = asked+d.asked[i], granted+d.granted[i]
	}
	return d.granted[rank]/d.asked[rank] < floorShare*granted/asked
}

// advance lets what was recorded decay until now.
func (d *Demand) advance(now time.Time) {
	elapsed := now.Sub(d.at)
	switch {
	case d.at.IsZero():
		d.since, d.at = now, now
		return
	case elapsed < 0:
		d.since, d.at = d.since.Add(elapsed), now
		return
	}
	demand, service := math.Exp(-elapsed.Seconds()/demandTime.Seconds()), math.Exp(-elapsed.Seconds()/serviceTime.Seconds())
	for i := range d.tokens {
		d.tokens[i] *= demand
		d.asked[i] *= service
		d.granted[i] *= service
	}
	d.at = now
}

func clamp(rank int) int { return min(max(rank, 0), Ranks-1) }
