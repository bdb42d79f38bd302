package shed

import (
	"cmp"
	"math"
	"slices"
	"sort"
	"time"
)

const (
	// maxOffers bounds the recorded requests of a service.
	maxOffers = 1024
	// minWindow, enoughOffers and maxWindow determine the time over which demand is measured: as many requests as give a stable
	// mean, but neither less than the requests of one second nor what is older than a burst.
	minWindow    = time.Second
	enoughOffers = 64
	maxWindow    = 8 * time.Second
	// recentTime is the time of the newest requests, by which a fall of the demand is noticed: load reports may be as old.
	recentTime = 3 * time.Second
	// minSpan bounds the measured rate of the first requests.
	minSpan = 250 * time.Millisecond
	// priorSent is the weight of the usual rate in the number of requests sent since the reports, in requests. One of 90 instances often
	// sends none in the age of a report, from which it does not follow that the others have sent none either.
	priorSent = 4
	// enoughSent is the number of sent requests that is taken as it is: its standard deviation is a sixth of it.
	enoughSent = 32
)

// offer is a request that a caller made.
type offer struct {
	at          time.Time
	work, score float64
	rank        int
	sent, floor bool
}

// demand holds the newest requests of a service.
type demand struct {
	offers []offer
	next   int
	// sorted holds the offers of the last summary by score, and sums the work up to and including each.
	sorted []offer
	sums   []float64
	// meanWork is the mean work of a request in the last summary.
	meanWork float64
}

func (d *demand) add(o offer) {
	if len(d.offers) < maxOffers {
		d.offers = append(d.offers, o)
		return
	}
	d.offers[d.next] = o
	d.next = (d.next + 1) % maxOffers
}

// takeBack records that the newest request of a rank that was sent has not reached a slot, and returns it, or nil if there is none.
func (d *demand) takeBack(rank int) *offer {
	for i := range d.offers {
		o := &d.offers[(d.next-1-i+2*len(d.offers))%len(d.offers)]
		if o.sent && o.rank == rank {
			o.sent = false
			return o
		}
	}
	return nil
}

// summary is the demand of the last seconds.
type summary struct {
	// rate is the offered work per second.
	rate float64
	// recentRate is that of the newest recentCount requests, which came within recentTime.
	recentRate  float64
	recentCount int
	// sentSince is the estimated number of requests that an instance with these requests sends within the age of the reports, and
	// deviation the standard deviation of it.
	sentSince, deviation float64
	// floorShare is the share of the offered work that was sent only because of the floor.
	floorShare    float64
	medium, large float64
	demand        *demand
}

func (d *demand) summarize(now time.Time, age time.Duration) summary {
	sum := summary{demand: d}
	var total, recent, floorWork, sent float64
	since := 0.0
	oldest := offer{at: now}
	d.sorted = d.sorted[:0]
	for i := range d.offers {
		o := d.offers[(d.next-1-i+2*len(d.offers))%len(d.offers)]
		elapsed := now.Sub(o.at)
		counts := elapsed < maxWindow && (elapsed < minWindow || len(d.sorted) < enoughOffers)
		if !counts && elapsed >= age {
			break
		}
		if o.sent && elapsed < age {
			since++
		}
		if !counts {
			continue
		}
		oldest = o
		d.sorted = append(d.sorted, o)
		total += o.work
		if elapsed < recentTime {
			recent += o.work
			sum.recentCount++
		}
		if o.sent {
			sent++
		}
		if o.floor {
			floorWork += o.work
		}
	}
	n := len(d.sorted)
	if n == 0 {
		return sum
	}
	sum.expectSent(since, sent/max(now.Sub(oldest.at), minWindow).Seconds(), age.Seconds())
	d.meanWork = total / float64(n)
	// The oldest request only begins the time over which the others came.
	sum.rate, sum.floorShare = (total-oldest.work)/max(now.Sub(oldest.at), minSpan).Seconds(), floorWork/total
	sum.recentRate = recent / recentTime.Seconds()
	if sum.recentCount == n {
		sum.recentRate = sum.rate
	}
	slices.SortFunc(d.sorted, func(a, b offer) int { return cmp.Compare(a.work, b.work) })
	sum.medium, sum.large = d.sorted[n*7/10].work, d.sorted[n*9/10].work
	slices.SortFunc(d.sorted, func(a, b offer) int { return cmp.Compare(a.score, b.score) })
	d.sums = d.sums[:0]
	upTo := 0.0
	for _, o := range d.sorted {
		upTo += o.work
		d.sums = append(d.sums, upTo)
	}
	return sum
}

// expectSent estimates the requests sent within the age of the reports in seconds, from those that were and the usual rate.
func (s *summary) expectSent(since, usual, age float64) {
	if usual <= 0 || age <= 0 || since >= enoughSent {
		s.sentSince, s.deviation = since, math.Sqrt(since)
		return
	}
	s.sentSince = age * (since + priorSent) / (age + priorSent/usual)
	s.deviation = s.sentSince / math.Sqrt(since+priorSent)
}

// cutoff returns the score up to which the requests make up the given share of the work, and the rank of the request there.
func (s summary) cutoff(share float64, w way) (score float64, rank int) {
	if w == sendAll {
		return 1, NumRanks - 1
	}
	d := s.demand
	goal := share * d.sums[len(d.sums)-1]
	i := sort.SearchFloat64s(d.sums, goal)
	if i >= len(d.sorted) {
		i = len(d.sorted) - 1
	}
	// Between two recorded scores, the cut-off is where the goal is between their sums.
	before, lower := 0.0, d.sorted[i].score-0.001
	if i > 0 {
		before, lower = d.sums[i-1], d.sorted[i-1].score
	}
	part := (goal - before) / max(d.sorted[i].work, 0.001)
	return lower + part*(d.sorted[i].score-lower), d.sorted[i].rank
}

// position returns how far a score is behind the cut-off among the recorded requests, from 0 to 1.
func (d *demand) position(score, cutoff float64) float64 {
	at := func(s float64) int {
		return sort.Search(len(d.sorted), func(i int) bool { return d.sorted[i].score >= s })
	}
	first := at(cutoff)
	behind := len(d.sorted) - first
	if behind <= 0 {
		return 0
	}
	return float64(max(at(score)-first, 0)) / float64(behind)
}
