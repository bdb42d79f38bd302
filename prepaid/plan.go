package prepaid

import "time"

// Sizes of leases. A lease rides out an outage of the store; what is left of it when its holder crashes is lost to the
// customer.
const (
	// leaseHorizon is the time that a lease lasts at the present rate: the store is cut off from all instances for up to
	// 9 s, and down for 5 s right after that.
	leaseHorizon = 14 * time.Second
	// refillAt is the part of the wanted lease below which it is filled up.
	refillAt = 0.8
	// urgentAt is the part below which it is filled up at once.
	urgentAt = 0.4
	// releaseAt is how many times the wanted lease is held before the rest is given back.
	releaseAt = 1.6
	// leaseShare bounds leases as the budget runs out: they hold at most this part of what is not handed out, by each
	// instance's share of the traffic, so that little is lost when all instances are killed at once near the end.
	leaseShare = 0.35
	// idleShare is the part for instances that have not used the budget yet.
	idleShare = 0.04
	// smallestLease is the size below which a lease is not kept ahead: requests near the end of a budget take what they
	// need, one by one.
	smallestLease = 1500
	// borrowBelow and borrowFor are how long what is left must last while the store is away, and what is asked for.
	borrowBelow = 2 * time.Second
	borrowFor   = 5 * time.Second
	// lendReserve is how long what a lender keeps for itself must last.
	lendReserve = 2 * time.Second
	// rateWeight is the weight of the newest sample in the average rate.
	rateWeight = 0.3
)

// nextLimit returns what a lease should allow after the next update: unchanged while it is well sized.
// remaining is what the ledger has not handed out. share is this instance's part of the customer's traffic.
// A lease below the part fill of its wanted size is filled up. ahead is false for instances that take no more than their
// requests wait for.
func nextLimit(d demand, remaining int64, share, fill float64, ahead bool) int64 {
	free := d.limit - d.used
	part := share * float64(remaining)
	target := int64(min(max(d.ratePerSecond*leaseHorizon.Seconds(), idleShare*part), leaseShare*part))
	if target < smallestLease || !ahead {
		target = 0
	}
	want := d.waiting + target
	surplus := free - want
	switch {
	case free < d.waiting+int64(fill*float64(target)):
		return d.limit + min(want-free, remaining)
	case fill > urgentAt && float64(free) > releaseAt*float64(want) && float64(surplus) > max(idleShare*part, smallestLease/3):
		return d.limit - surplus
	default:
		return d.limit
	}
}

// trafficShare estimates an instance's part of a customer's traffic: balancers spread connections unevenly, so it is what
// the instance has taken so far, and at least an even part.
func trafficShare(taken, handedOut int64, holders int) float64 {
	even := 1 / float64(max(holders, 1))
	if handedOut <= 0 {
		return even
	}
	return max(even, float64(taken)/float64(handedOut))
}

// shortfall returns how many tokens an instance should borrow while the store is away, zero for none.
func shortfall(d demand) int64 {
	free := d.limit - d.used
	if free >= d.waiting+int64(d.ratePerSecond*borrowBelow.Seconds()) {
		return 0
	}
	return d.waiting + int64(d.ratePerSecond*borrowFor.Seconds()) - free
}
