package shed

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// floorShare is the least share served of a customer, route or size class, relative to the average. Callers need a quarter; the
	// rest is for the few requests that one of many instances sees of a customer.
	floorShare = 0.35
	// shareTime is the time constant of the shares served.
	shareTime = 30 * time.Second
	// rankTime is that of the shares of ranks, which are compared with each other and need more requests.
	rankTime = time.Minute
	// maxGroups bounds the customers and routes with recorded shares.
	maxGroups = 2048
	// enoughOffered is the number of requests from which the share served of a rank is compared with others. With 3, ranks that one of
	// 86 instances sees seldom were compared too late in a burst: rank 6 was served up to 0.049 less than rank 7.
	enoughOffered = 2
	// maxMissed bounds how many of the sent requests of a rank count as not served in time. Without the bound, a rank that is late for
	// another reason than the queue would be sent as a whole.
	maxMissed = 0.5
	// usualTime and presentTime are the time constants of a customer's usual and present rate.
	usualTime   = 2 * time.Minute
	presentTime = 3 * time.Second
	// unusualFactor is how much more than usual a customer may ask before the excess is served after others of its rank.
	unusualFactor = 2.0
	// minUsual is the lowest usual rate at an instance, in requests per second, so that a customer that seldom asks is not
	// unusual when it does.
	minUsual = 0.2
)

// Share is what a customer was served.
type Share struct {
	Customer string
	// Offered and Served are decayed numbers of requests, Work the decayed slot-seconds of the latter.
	Offered, Served, Work float64
}

// group counts the requests of a customer, route or size class while the service has no capacity for all.
type group struct {
	// missed is the number of sent requests that were not served in time.
	offered, served, missed, work float64
	at                            time.Time
}

func (g *group) decay(period time.Duration, now time.Time) {
	f := math.Exp(-max(now.Sub(g.at).Seconds(), 0) / period.Seconds())
	g.offered, g.served, g.missed, g.work, g.at = g.offered*f, g.served*f, g.missed*f, g.work*f, now
}

// inTime returns the number of requests that were served in time.
func (g *group) inTime() float64 { return g.served - min(g.missed, maxMissed*g.served) }

// rates are a customer's usual and present numbers of requests per second.
type rates struct {
	usual, present float64
	at, usualAt    time.Time
}

func (r *rates) add(learn bool, now time.Time) {
	r.present = r.present*math.Exp(-max(now.Sub(r.at).Seconds(), 0)/presentTime.Seconds()) + 1/presentTime.Seconds()
	if learn {
		r.usual = r.usual*math.Exp(-max(now.Sub(r.usualAt).Seconds(), 0)/usualTime.Seconds()) + 1/usualTime.Seconds()
		r.usualAt = now
	}
	r.at = now
}

type groups struct {
	all    group
	ranks  [NumRanks]group
	byName map[string]*group
	rates  map[string]*rates
	// allRates counts the requests of all customers. since and learned are when usual rates were first and last learned.
	allRates       rates
	since, learned time.Time
}

func newGroups() groups {
	return groups{byName: make(map[string]*group), rates: make(map[string]*rates)}
}

// groupNames returns the names of the groups that a request belongs to.
func groupNames(r Request, sizeClass string) [3]string {
	return [3]string{"customer " + r.Customer, "route " + r.Route, "size " + sizeClass}
}

// unusual records a request of a customer and reports whether it counts as beyond the customer's usual. Of a customer that asks n
// times what is allowed, a share of 1/n does not. The usual rate is learned while there is capacity for all, so that a burst does
// not become usual; it is at least the mean of all customers, for those that are new.
func (g *groups) unusual(customer string, learn bool, now time.Time, random float64) bool {
	r := g.rates[customer]
	if r == nil {
		if len(g.rates) >= maxGroups {
			g.forgetRates()
		}
		r = &rates{at: now, usualAt: now}
		g.rates[customer] = r
	}
	r.add(learn, now)
	if learn {
		g.allRates.add(true, now)
		if g.since.IsZero() {
			g.since = now
		}
		g.learned = now
		return false
	}
	// Both rates started at zero; without the correction they would be too low at first.
	complete := max(1-math.Exp(-g.learned.Sub(g.since).Seconds()/usualTime.Seconds()), 0.01)
	usual := max(r.usual, g.allRates.usual/float64(len(g.rates))) / complete
	allowed := unusualFactor * max(usual, minUsual)
	return r.present > allowed && random >= allowed/r.present
}

// servedTooLittle reports whether a request must be sent because one of its groups was served too little, or its rank less than
// less urgent ones. It is random, so that the many instances that see few requests of a group serve the right share together.
func (g *groups) servedTooLittle(names [3]string, rank int, now time.Time, random float64) bool {
	g.all.decay(shareTime, now)
	if g.all.offered < 1 {
		return false
	}
	own := &g.ranks[rank]
	own.decay(rankTime, now)
	if random < g.lessUrgentShare(rank, now)*(own.offered+1)-own.inTime() {
		return true
	}
	share := floorShare * g.all.served / g.all.offered
	for _, name := range names {
		offered, served := 1.0, 0.0
		if x := g.byName[name]; x != nil {
			x.decay(shareTime, now)
			offered, served = x.offered+1, x.served
		}
		if random < share*offered-served {
			return true
		}
	}
	return false
}

// lessUrgentShare returns the greatest share served of the ranks behind a rank, alone or several of them together, because an
// instance may see few requests of each.
func (g *groups) lessUrgentShare(rank int, now time.Time) float64 {
	most := 0.0
	var offered, inTime float64
	compare := func(offered, inTime float64) {
		if offered >= enoughOffered {
			// Less an eighth of its standard deviation, or the greatest of several would be too high by chance.
			p := inTime / offered
			most = max(most, p-math.Sqrt(p*(1-p)/offered)/8)
		}
	}
	for i := rank + 1; i < NumRanks; i++ {
		x := &g.ranks[i]
		x.decay(rankTime, now)
		offered, inTime = offered+x.offered, inTime+x.inTime()
		compare(x.offered, x.inTime())
		compare(offered, inTime)
	}
	return most
}

// count records whether a request was sent. returns is set if its caller comes back after the refusal: it then counts when it has
// come back, because callers count their requests and not how often they ask.
func (g *groups) count(names [3]string, rank int, sent, returns bool, work float64, now time.Time) {
	if !sent && returns {
		return
	}
	count := func(x *group, period time.Duration) {
		x.decay(period, now)
		x.offered++
		if sent {
			x.served++
			x.work += work
		}
	}
	count(&g.all, shareTime)
	count(&g.ranks[rank], rankTime)
	for _, name := range names {
		x := g.byName[name]
		if x == nil {
			if len(g.byName) >= maxGroups {
				g.forget()
			}
			x = &group{at: now}
			g.byName[name] = x
		}
		count(x, shareTime)
	}
}

// countLate records a request that was refused because it was late. Only its rank counts it: nothing can be done for it, but for
// others of its rank.
func (g *groups) countLate(rank int, now time.Time) {
	g.ranks[rank].decay(rankTime, now)
	g.ranks[rank].offered++
}

// countMissed records that a request of a rank was sent and not served in time.
func (g *groups) countMissed(rank int, now time.Time) {
	g.ranks[rank].decay(rankTime, now)
	g.ranks[rank].missed++
}

// forget deletes the group that has not asked for longest.
func (g *groups) forget() {
	oldest := ""
	for name, x := range g.byName {
		if oldest == "" || x.at.Before(g.byName[oldest].at) {
			oldest = name
		}
	}
	delete(g.byName, oldest)
}

// forgetRates deletes the rates of the customer that has not asked for longest.
func (g *groups) forgetRates() {
	oldest, found := "", false
	for name, x := range g.rates {
		if !found || x.at.Before(g.rates[oldest].at) {
			oldest, found = name, true
		}
	}
	delete(g.rates, oldest)
}

// mostServed returns the customers with the most work served.
func (g *groups) mostServed(n int, now time.Time) []Share {
	var out []Share
	const prefix = "customer "
	for name, x := range g.byName {
		if len(name) >= len(prefix) && name[:len(prefix)] == prefix {
			x.decay(shareTime, now)
			out = append(out, Share{Customer: name[len(prefix):], Offered: x.offered, Served: x.served, Work: x.work})
		}
	}
	slices.SortFunc(out, func(a, b Share) int {
		return cmp.Or(cmp.Compare(b.Work, a.Work), cmp.Compare(a.Customer, b.Customer))
	})
	return out[:min(n, len(out))]
}
