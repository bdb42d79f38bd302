package prepaid

import "time"

// Sizes of leases. A lease rides out an outage of the store; what is left of it when its holder crashes is lost to the
// customer.
const (
	// leaseHorizon is the time that a lease lasts at the present rate. The store is cut off from all instances for up to
	// 9 s, while a lease is between refillAt and all of this.
	leaseHorizon = 11 * time.Second
	// refillAt is the part of the wanted lease below which it is filled up.
	refillAt = 0.85
	// leaseShare bounds leases as the budget runs out: the instances together hold at most this part of what is not
	// handed out, so that little is lost when all are killed at once near the end.
	leaseShare = 0.5
	// idleShare is the part for instances that have not used the budget yet.
	idleShare = 0.04
	// rateWeight is the weight of the newest sample in the average rate.
	rateWeight = 0.3
)

// nextLimit returns what a lease should allow after the next update: unchanged while it is well sized.
// remaining is what the ledger has not handed out. share is this instance's part of the customer's traffic.
func nextLimit(d demand, remaining int64, share float64) int64 {
	free := d.limit - d.used
	part := share * float64(remaining)
	target := int64(min(max(d.ratePerSecond*leaseHorizon.Seconds(), idleShare*part), leaseShare*part))
	want := d.waiting + target
	switch {
	case free < d.waiting+int64(refillAt*float64(target)):
		return d.limit + min(want-free, remaining)
	case free > 2*want && float64(free-want) > idleShare*part:
		return d.limit - (free - want)
	default:
		return d.limit
	}
}

// trafficShare estimates an instance's part of a customer's traffic: balancers spread connections unevenly, so it is what
// the instance has taken so far, and at least an even part.
func trafficShare(taken, handedOut int64, instances int) float64 {
	even := 1 / float64(max(instances, 1))
	if handedOut <= 0 {
		return even
	}
	return max(even, float64(taken)/float64(handedOut))
}
