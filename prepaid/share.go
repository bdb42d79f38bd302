package prepaid

import "time"

// These estimates size the lease of an instance that allocates tokens to others near the end of a budget. It covers what exceeds
// recoveryHorizon of use, so that errors of the rate and of the share are multiplied.
const (
	// steadyRateWeight is the weight of the newest sample in the steady rate: that of an average over 15 s. With an average over 5 s,
	// holders with one request in two seconds had leases of between 0 and 30 s of use where all together had 10 s.
	steadyRateWeight = 1.0 / 30
	// maxSteadyRatio bounds the rate over a shorter time relative to the steady one. Beyond it, use has risen.
	maxSteadyRatio = 2
	// shareHorizon is how long the unspent tokens are taken to last that an instance has when its share is estimated. If those that it
	// has counted, a larger lease would lead to a larger share and that to a larger lease, at the expense of other holders. It is less
	// than leases last while much of a budget is left; with 7 s a kill of all instances parked more in the middle of a budget.
	shareHorizon = 5500 * time.Millisecond
	// minShareFactor bounds the share from below, relative to an even one, which exceeds the traffic of some domains.
	minShareFactor = 0.5
)

// steadyRate is the average rate since the first use, over at most about 15 s.
type steadyRate struct {
	perSecond float64
	samples   int
}

// add adds a sample. Samples before the first use do not count.
func (s *steadyRate) add(perSecond float64) {
	if s.samples == 0 && perSecond <= 0 {
		return
	}
	s.samples++
	s.perSecond += max(steadyRateWeight, 1/float64(s.samples)) * (max(perSecond, 0) - s.perSecond)
}

// recoveryRate returns the rate at which the rest of a budget must last for recoveryHorizon.
func (d demand) recoveryRate() float64 {
	return max(d.steadyRatePerSecond, d.longRatePerSecond/maxSteadyRatio)
}

// useShare estimates an instance's fraction of a customer's traffic from what it has used of the tokens that were committed since it
// started. While these are few compared to prior, the estimate is close to an even share.
func useShare(d demand, committedSinceStart, prior int64, holders int) float64 {
	even := 1 / float64(max(holders, 1))
	counted := float64(d.used) + d.steadyRatePerSecond*shareHorizon.Seconds()
	share := (counted + even*float64(prior)) / max(float64(committedSinceStart+prior), counted+float64(prior), 1)
	return max(share, minShareFactor*even)
}

// committedSinceStart returns by how much the committed tokens have grown since the first call.
func (a *account) committedSinceStart(committed int64) int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.ledgerSeen {
		a.ledgerSeen, a.committedAtStart = true, committed
	}
	return max(committed-a.committedAtStart, 0)
}
