package budget

import (
	"math"
	"time"
)

// demandWindow is the time over which demand is averaged.
const demandWindow = 3 * time.Minute

// Demand is an exponentially weighted average of the tokens used per second. It is not safe for concurrent use.
type Demand struct {
	rate    float64
	weight  float64
	pending Tokens
	last    time.Time
	// largest is the largest bound since rotated, and previous the one of the window before.
	largest, previous Tokens
	rotated           time.Time
}

// Add counts tokens billed.
func (d *Demand) Add(tokens Tokens) { d.pending += tokens }

// Ask notes the bound of a request.
func (d *Demand) Ask(bound Tokens) { d.largest = max(d.largest, bound) }

// Update folds what was counted since the last call into the average.
func (d *Demand) Update(now time.Time) {
	if d.last.IsZero() {
		d.last, d.rotated = now, now
		return
	}
	if now.Sub(d.rotated) >= demandWindow {
		d.previous, d.largest, d.rotated = d.largest, 0, now
	}
	passed := now.Sub(d.last)
	if passed <= 0 {
		return
	}
	keep := math.Exp(-float64(passed) / float64(demandWindow))
	d.rate = keep*d.rate + (1-keep)*float64(d.pending)/passed.Seconds()
	d.weight = keep*d.weight + 1 - keep
	d.pending, d.last = 0, now
}

// PerSecond returns the average demand in tokens per second, corrected for a short history.
func (d *Demand) PerSecond() float64 {
	if d.weight == 0 {
		return 0
	}
	return d.rate / d.weight
}

// Over returns the tokens that the average demand uses in a time.
func (d *Demand) Over(t time.Duration) Tokens {
	return Tokens(math.Ceil(d.PerSecond() * t.Seconds()))
}

// Largest returns the largest bound of a request in the last minutes.
func (d *Demand) Largest() Tokens { return max(d.largest, d.previous) }

// Share returns the part of an amount that falls to a demand among all, rounded down.
func Share(amount Tokens, mine, all float64) Tokens {
	if all <= 0 || mine >= all {
		return amount
	}
	return Tokens(float64(amount) * mine / all)
}
