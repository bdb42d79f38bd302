package budget

import (
	"math"
	"time"
)

// demandWindow is the time over which demand is averaged.
const demandWindow = 3 * time.Minute

// Demand is an exponentially weighted average of the tokens used per second. It is not safe for concurrent use.
type Demand struct {
	// rate is the weighted sum of the tokens per second, weight the sum of the weights.
	rate      float64
	weight    float64
	pending   Tokens
	updatedAt time.Time
	// largest is the largest bound since rotatedAt, previous the largest of the window before it.
	largest, previous Tokens
	rotatedAt         time.Time
}

// Add adds billed tokens to the demand.
func (d *Demand) Add(tokens Tokens) { d.pending += tokens }

// RecordBound records the bound of a request, the maximum that it can be charged.
func (d *Demand) RecordBound(bound Tokens) { d.largest = max(d.largest, bound) }

// Update folds the tokens added since the previous call into the average.
func (d *Demand) Update(now time.Time) {
	if d.updatedAt.IsZero() {
		d.updatedAt, d.rotatedAt = now, now
		return
	}
	if now.Sub(d.rotatedAt) >= demandWindow {
		d.previous, d.largest, d.rotatedAt = d.largest, 0, now
	}
	elapsed := now.Sub(d.updatedAt)
	if elapsed <= 0 {
		return
	}
	decay := math.Exp(-float64(elapsed) / float64(demandWindow))
	d.rate = decay*d.rate + (1-decay)*float64(d.pending)/elapsed.Seconds()
	d.weight = decay*d.weight + 1 - decay
	d.pending, d.updatedAt = 0, now
}

// PerSecond returns the average demand in tokens per second. It is normalized by the total weight, so that it is not
// too low while the history is shorter than demandWindow.
func (d *Demand) PerSecond() float64 {
	if d.weight == 0 {
		return 0
	}
	return d.rate / d.weight
}

// Over returns the tokens that the average demand uses within t, rounded up.
func (d *Demand) Over(t time.Duration) Tokens {
	return Tokens(math.Ceil(d.PerSecond() * t.Seconds()))
}

// LargestBound returns the largest request bound in the current and the previous window of demandWindow.
func (d *Demand) LargestBound() Tokens { return max(d.largest, d.previous) }

// Share returns amount multiplied by the ratio of demand to the total demand, rounded down. It returns the whole amount
// if demand is at least the total.
func Share(amount Tokens, demand, total float64) Tokens {
	if total <= 0 || demand >= total {
		return amount
	}
	return Tokens(float64(amount) * demand / total)
}
