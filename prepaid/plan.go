package prepaid

import "time"

// Sizes of leases. A lease must last through an outage of the store, but its unspent tokens are parked if the instance
// crashes, and the customer cannot use them.
const (
	// leaseHorizon is how long a lease lasts at the current rate. It covers a partition from the store of up to 9 s that is
	// followed at once by a store outage of 5 s.
	leaseHorizon = 14 * time.Second
	// refillFraction is the fraction of the target size below which a lease is filled up.
	refillFraction = 0.8
	// urgentFraction is the fraction below which it is filled up without waiting for minUpdateInterval, unless it still lasts for
	// urgentHorizon, in which other reasons lead to an update.
	urgentFraction = 0.4
	urgentHorizon  = 2 * time.Second
	// maxRateRatio bounds the current rate by the average over a longer time. With few requests a second, each one raises the
	// current rate to a multiple of what the customer uses.
	maxRateRatio = 2
	// releaseFactor is the multiple of the wanted size above which the surplus is released.
	releaseFactor = 1.6
	// leaseShare bounds the lease of an instance for its own requests to this fraction of its share of the remaining budget, so
	// that few tokens are parked when all instances are killed at once near the end of a budget. Where tokens are rationed, the lease
	// of an instance that allocates to others may have as much: with recoveryHorizon alone, callers were refused a second after
	// the begin of an outage although two thirds of their budget were left.
	leaseShare = 0.35
	// recoveryHorizon is how long the rest of a budget must last at the current rate for the lease of an instance that
	// allocates tokens to others to last through an outage. If all instances crash, the budget must still serve until they
	// have recovered. Otherwise such a lease is at most crashShare of the instance's share of the prepaid total: what a crash
	// parks is small, and the ledger is not updated for each request.
	recoveryHorizon = 15 * time.Second
	crashShare      = 0.02
	// idleShare is the fraction that a token holder leases before it has used the budget. An instance that stands in for the
	// token holder leases for its own rate only.
	idleShare = 0.04
	// standInShares divides the even share of an instance that stands in for a token holder, or leases only what requests wait for:
	// at most this many instances of a domain stand in for each other, and together may park what the token holder alone may.
	standInShares = 3
	// minLease is the size in tokens below which nothing is leased in advance. Near the end of a budget, tokens are leased
	// for one request at a time.
	minLease = 1500
	// While the store is unavailable, an instance whose available tokens last less than borrowThreshold borrows enough
	// for borrowTarget.
	borrowThreshold = 2 * time.Second
	borrowTarget    = 5 * time.Second
	// lendReserve is how long the tokens that a lender keeps must last at its current rate.
	lendReserve = 2 * time.Second
	// rateWeight is the weight of the newest sample in the moving average of the rate.
	rateWeight = 0.3
	// longRateWeight is that of the averages over a longer time: an instance's own rate, since it gets few requests of most
	// customers, and the rate at which a budget runs out.
	longRateWeight = 0.1
)

// aheadMode determines how much an instance leases before its requests need it.
type aheadMode int

const (
	// aheadNone leases only what requests wait for.
	aheadNone aheadMode = iota
	// aheadByRate leases what lasts for leaseHorizon at the current rate.
	aheadByRate
	// aheadWithIdle also leases idleShare of the budgets that are little used.
	aheadWithIdle
)

func (a aheadMode) idleShare() float64 {
	if a == aheadWithIdle {
		return idleShare
	}
	return 0
}

// budget is what an instance knows of a customer's budget when it sizes its lease.
type budget struct {
	// prepaid is the prepaid total, and remaining the part that the ledger has not committed.
	prepaid, remaining int64
	// share is this instance's fraction of the customer's traffic.
	share float64
	// leasedShare is its fraction of the leased tokens, at least an even one.
	leasedShare float64
	// allocates is set if this instance leases tokens for others.
	allocates bool
	// rations is set if tokens that do not last for all requests are kept for urgent ones.
	rations bool
}

// nextLimit returns the limit of an account after the next update. A lease below the fraction fillThreshold of its
// target size is filled up, a large surplus is released, and otherwise the limit stays unchanged.
func nextLimit(d demand, b budget, fillThreshold float64, ahead aheadMode) int64 {
	available := d.limit - d.used
	ownShare := b.share * float64(b.remaining)
	target := b.targetSize(d, ahead)
	if target < minLease || ahead == aheadNone {
		target = 0
	}
	wanted := d.waiting + target
	surplus := available - wanted
	switch {
	case available < d.waiting+fillLevel(target, d, fillThreshold):
		return d.limit + min(wanted-available, b.remaining)
	case fillThreshold > urgentFraction && float64(available) > releaseFactor*float64(wanted) && float64(surplus) > max(idleShare*ownShare, minLease/3):
		return d.limit - surplus
	default:
		return d.limit
	}
}

// fillLevel returns the number of tokens below which a lease of a target size is filled up.
func fillLevel(target int64, d demand, fillThreshold float64) int64 {
	level := fillThreshold * float64(target)
	if fillThreshold <= urgentFraction {
		level = min(level, d.rate()*urgentHorizon.Seconds())
	}
	return int64(level)
}

// rate returns the tokens per second for which an instance leases.
func (d demand) rate() float64 {
	return min(d.ratePerSecond, maxRateRatio*d.longRatePerSecond)
}

// targetSize returns the size of a lease that lasts through an outage of the store at the current rate, within what a crash
// may park.
func (b budget) targetSize(d demand, ahead aheadMode) int64 {
	ownShare := b.share * float64(b.remaining)
	rate := max(d.rate(), d.longRatePerSecond)
	horizon := leaseHorizon
	if b.rations {
		horizon = outageHorizon
	}
	size := max(rate*horizon.Seconds(), ahead.idleShare()*ownShare)
	if b.allocates {
		own := ownShare + float64(d.limit-d.used)
		most := max(own-d.recoveryRate()*recoveryHorizon.Seconds(), crashShare*min(b.share, b.leasedShare)*float64(b.prepaid))
		if b.rations {
			most = max(most, leaseShare*own)
		}
		return int64(min(size, most))
	}
	return int64(min(size, leaseShare*ownShare))
}

// trafficShare estimates an instance's fraction of a customer's traffic. Load balancers spread connections unevenly, so
// it is the fraction of the committed tokens that the instance has leased, but at least an even share.
func trafficShare(leased, committed int64, holders int) float64 {
	evenShare := 1 / float64(max(holders, 1))
	if committed <= 0 {
		return evenShare
	}
	return max(evenShare, float64(leased)/float64(committed))
}

// shortfall returns how many tokens an instance should borrow while the store is unavailable, or zero.
func shortfall(d demand) int64 {
	available := d.limit - d.used
	if available >= d.waiting+int64(d.ratePerSecond*borrowThreshold.Seconds()) {
		return 0
	}
	return d.waiting + int64(d.ratePerSecond*borrowTarget.Seconds()) - available
}
