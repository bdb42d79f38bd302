package prepaid

import "time"

// Sizes of leases. A lease rides out an outage of the store; what is left of it when its holder crashes is lost to the
// customer. With these figures six instances hold at most a quarter of what remains, so that all of them killed at once
// park less than the prepaid total's usual reserve while it lasts, and nearly nothing at its end.
const (
	// leaseHorizon is the time that a lease lasts at the present rate: the outages of the store that are to be ridden
	// out take 2 to 5 s.
	leaseHorizon = 5 * time.Second
	// leaseShare is the part of the remaining budget that all instances together hold at most: one in leaseShare.
	leaseShare = 4
	// idleShare is the same for instances that have not used the budget yet.
	idleShare = 48
	// rateWeight is the weight of the newest second in the average rate.
	rateWeight = 0.3
)

// nextLimit returns what a lease should allow after the next update: unchanged while it is well sized.
// remaining is what the ledger has not handed out, holders how many instances share it.
func nextLimit(d demand, remaining int64, holders int) int64 {
	free := d.limit - d.used
	n := int64(max(holders, 1))
	target := min(max(int64(d.ratePerSecond*leaseHorizon.Seconds()), remaining/(idleShare*n)), remaining/(leaseShare*n))
	want := d.waiting + target
	switch {
	case d.waiting > free:
		return d.limit + min(want-free, max(remaining, 0))
	case free < d.waiting+target/2:
		return d.limit + min(want-free, max(remaining, 0))
	case free > 2*want && free-want > remaining/(leaseShare*idleShare*n):
		return d.limit - (free - want)
	default:
		return d.limit
	}
}
