// Package shed decides which requests of a service are refused when its endpoints have no capacity for all of them. It handles
// bursts of several times the capacity, a customer that sends many times its usual load, and a route with a few very large
// prompts.
//
// Each instance decides alone, from the load reports that instances share and from the demand that it has seen itself. While the
// service has capacity, everything is sent. Otherwise requests are ordered by rank, and within a rank by what a customer asks
// beyond its usual and by work; the cut-off in this order admits as much work as the endpoints complete. A customer, route or
// size class that would be served far less than the average is served nevertheless.
//
// The package is pure: callers pass the current time. A Shedder is safe for concurrent use.
package shed

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"pumiceshelf/servicetime"
)

const (
	// NumRanks is the number of ranks, that of the priorities that engines know.
	NumRanks = 10
	// ranksPerCustomerRank is the number of route ranks in a customer rank.
	ranksPerCustomerRank = 3
	// fullShare is the share of slots from which a service may lack capacity (docs/design/hard-load.md, part 3).
	fullShare = 0.9
	// waitingPerEndpoint and waitingShare are how many requests should wait at the endpoints of a service without capacity, so
	// that none of them idles between two reports: two per endpoint, a tenth of the slots, or as many as start within a time that
	// is short for every objective.
	waitingPerEndpoint = 2
	waitingShare       = 0.1
	waitingTime        = 150 * time.Millisecond
	// correctionTime is the time in which a deviation from that number is corrected. Reports are up to 3 s old, and the requests
	// sent since are accounted for, so it may be shorter.
	correctionTime = 2 * time.Second
	// maxTarget and minTarget bound the admitted work relative to the capacity, so that a wrong estimate of the queue neither
	// floods nor stops a service.
	maxTarget, minTarget = 1.5, 0.2
	// planTTL is how long a cut-off is used. Demand does not change much in it, and sorting the demand takes some 50 us.
	planTTL = 50 * time.Millisecond
	// calibrationTime is the time constant of the measured share of this instance in the load of the service.
	calibrationTime = 20 * time.Second
	// mixTime is the time constant of the mean work of running requests; most requests take less.
	mixTime = 5 * time.Second
	// maxGap bounds the time between two decisions of which the work counts. One of 90 instances sees a request every few hundred
	// milliseconds, and now and then only after seconds; in longer gaps the reports were unknown, and nothing that was sent is counted.
	maxGap = 5 * time.Second
	// overloadedWeight is the weight of what is measured without capacity, while the queues of the endpoints still grow.
	overloadedWeight = 0.2
	// priorRequests is the weight of the assumption that instances have equal shares, in requests.
	priorRequests = 10
	// lackingUtilization is the mean share of the slots taken from which a service with less than the aimed queue lacks capacity. With the
	// aimed queue, all slots are taken. At 0.9, TestDemandFalls saw refusals later than 3 s after the demand had fallen to 0.7 of the
	// capacity.
	lackingUtilization = 0.95
	// utilizationTime is the time constant of that mean. Reports of single moments show all slots taken now and then although there is
	// capacity for all.
	utilizationTime = 2 * time.Second
	// confidence is the number of standard deviations by which the number of requests that other instances have sent must be
	// certain before anything is refused.
	confidence = 2
	// defaultPlainTime is assumed for a request without a prompt until one has completed.
	defaultPlainTime = 100 * time.Millisecond
	// prefillPerToken and timePerToken are the published step times of engines: a chunk of 1,024 prompt tokens, or a token of each
	// stream, takes 18.5 ms.
	prefillPerToken = 18500 * time.Microsecond / 1024
	timePerToken    = 18500 * time.Microsecond
	// minRetryAfter is the shortest useful delay: reports then show another queue.
	minRetryAfter = 500 * time.Millisecond
	// maxRetryAfter is a third of the longest time that callers wait for a response; later, none of them comes back.
	maxRetryAfter = 10 * time.Second
	// returnShare is the part of the time left, one third, that callers wait before they come back.
	returnShare = 3
	// maxSpread bounds what is added to Retry-After at random.
	maxSpread = 2 * time.Second
	// recoveryTime is how long a service must have capacity before a further lack counts as a new one.
	recoveryTime = 2 * time.Second
)

// Shedder decides for the requests of this instance.
type Shedder struct {
	mu sync.Mutex
	// source is the state of random.
	source   *rand.PCG
	random   *rand.Rand
	way      way
	services map[string]*service
}

// New returns a Shedder without recorded demand.
func New(c Config) *Shedder {
	if c.Seed == 0 {
		c.Seed = rand.Uint64()
	}
	source := rand.NewPCG(c.Seed, c.Seed)
	return &Shedder{source: source, random: rand.New(source), way: c.way, services: make(map[string]*service)}
}

// service is the recorded demand for one service.
type service struct {
	times  servicetime.Estimator
	demand demand
	groups groups
	plan   plan
	// arrivedWork and sentCount are decayed sums: of the slot-seconds that requests of all instances took or wait for, and of the
	// requests that this instance sent. reported is the number of running and waiting requests in the last reports.
	arrivedWork, sentCount float64
	reported               int
	advancedAt             time.Time
	// utilization is the decayed mean of the share of the slots taken by the reports.
	utilization float64
	// backlog is the estimated work of waiting requests by rank, sentRate the work of each rank that all instances send per second,
	// and sentWork the work that this instance has sent since both were estimated.
	backlog, sentRate, sentWork [NumRanks]float64
	// since is when the first request was decided.
	since time.Time
	// roomLostAt is since when the service lacks capacity, fullAt when it last did.
	roomLostAt, fullAt time.Time
	// mixWork and mixCount are decayed sums of the work and number of sent requests, for the mean of those that are running.
	mixWork, mixCount float64
	mixAt             time.Time
}

// plan is what applies to requests until it expires.
type plan struct {
	at      time.Time
	hasRoom bool
	// cutoff is the score from which requests are refused.
	cutoff, excess float64
	cutoffRank     int
	// queueTime is the expected wait at the endpoints, and rankTimes the one at engines by rank.
	queueTime time.Duration
	rankTimes [NumRanks]time.Duration
	// medium and large are the works from which a request is among the next fifth and the largest tenth.
	medium, large float64
}

// weight returns the weight of what is measured while the plan applies.
func (p plan) weight() float64 {
	if p.hasRoom {
		return 1
	}
	return overloadedWeight
}

// Decide returns what to do with a request now.
func (s *Shedder) Decide(name string, r Request, room Room, now time.Time) Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.decide(s.service(name), s.random, r, room, now)
}

// decide decides for a request and records it in st.
func (s *Shedder) decide(st *service, random *rand.Rand, r Request, room Room, now time.Time) Decision {
	rank := Rank(r.CustomerRank, r.RouteRank)
	if !room.Known || room.Slots <= 0 {
		return Decision{Rank: rank, HasRoom: true}
	}
	work := st.work(r, room)
	if now.Sub(st.plan.at) >= planTTL || now.Before(st.plan.at) {
		st.advance(room, now)
		st.plan = st.makePlan(room, now, s.way)
		switch {
		case st.plan.hasRoom:
		case now.Sub(st.fullAt) > recoveryTime:
			st.roomLostAt, st.fullAt = now, now
		default:
			st.fullAt = now
		}
	}
	p := st.plan
	unusual := st.groups.unusual(r.Customer, p.hasRoom, now, random.Float64())
	o := offer{at: now, work: work, rank: rank, score: s.way.score(r, rank, work, st.demand.meanWork, unusual, random.Float64())}
	d := Decision{HasRoom: p.hasRoom, Rank: rank, CutoffRank: p.cutoffRank, Work: seconds(work), Excess: p.excess}
	if !p.hasRoom {
		s.judge(st, random, r, o, &d)
	}
	o.sent, o.floor = d.Verdict == Send, d.Reason == ReasonFloor
	st.demand.add(o)
	if o.sent {
		st.sentCount += p.weight()
		st.countSent(work, now)
		st.sentWork[rank] += work
	}
	return d
}

// judge decides for a request while the service has no capacity for all.
func (s *Shedder) judge(st *service, random *rand.Rand, r Request, o offer, d *Decision) {
	p := st.plan
	names := groupNames(r, p.sizeClass(o.work))
	switch {
	case r.TimeLeft > 0 && seconds(o.work)+p.wait(r, o.rank) > r.TimeLeft:
		st.groups.countLate(o.rank, o.at)
		d.Verdict, d.Reason, d.RetryAfter = Refuse, ReasonLate, st.retryAfter(o.score, o.at)
		return
	case o.score < p.cutoff:
	case s.way.hasFloor() && st.groups.servedTooLittle(names, o.rank, o.at, random.Float64()):
		d.Reason = ReasonFloor
	default:
		d.Verdict, d.Reason, d.RetryAfter = Refuse, ReasonCutoff, st.retryAfter(o.score, o.at)
	}
	returns := !r.CameBack && d.RetryAfter+min(d.RetryAfter, maxSpread)/2 <= r.TimeLeft/returnShare
	st.groups.count(names, o.rank, d.Verdict == Send, returns, o.work, o.at)
}

// Finished records how long a request occupied a slot of an endpoint with the given work time. Requests that waited at the
// endpoint must not be recorded, because the wait is no work.
func (s *Shedder) Finished(name string, r Request, took time.Duration, workTime float64, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if took <= 0 || workTime <= 0 {
		return
	}
	s.service(name).times.Observe(now, cost(r), time.Duration(float64(took)/workTime))
}

// Missed records that a request that was sent was not served in time: it ended late or was rejected. Others of its rank are then
// served in its place. Endpoints serve the most urgent requests first, so requests of the less urgent ranks with a short deadline
// may still be waiting when it passes.
func (s *Shedder) Missed(name string, r Request, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.service(name).groups.countMissed(Rank(r.CustomerRank, r.RouteRank), now)
}

// Rejected records that all endpoints tried have rejected a request that was sent. It is missed, and took and will take no slot:
// if it counted as sent, the share of this instance in the load would seem greater, and so the demand of all smaller, the more requests
// endpoints reject.
func (s *Shedder) Rejected(name string, r Request, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st, rank := s.service(name), Rank(r.CustomerRank, r.RouteRank)
	st.groups.countMissed(rank, now)
	if o := st.demand.takeBack(rank); o != nil {
		st.sentCount = max(st.sentCount-st.plan.weight(), 0)
		st.sentWork[rank] = max(st.sentWork[rank]-o.work, 0)
	}
}

// RoomChanged makes the next decision compute the cut-off anew, because an endpoint has just told that it is full.
func (s *Shedder) RoomChanged(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.service(name).plan.at = time.Time{}
}

// Served returns the customers that were served most work of a service without capacity lately, at most n.
func (s *Shedder) Served(name string, n int, now time.Time) []Share {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.service(name).groups.mostServed(n, now)
}

func (s *Shedder) service(name string) *service {
	st := s.services[name]
	if st == nil {
		st = newService()
		s.services[name] = st
	}
	return st
}

func newService() *service { return &service{groups: newGroups()} }

// Rank returns the rank of a request, which is also its priority at engines: the customer's priority first, then the route's.
func Rank(customerRank, routeRank int) int {
	routeRank = min(max(routeRank, 0), ranksPerCustomerRank-1)
	return min(max(customerRank, 0)*ranksPerCustomerRank+routeRank, NumRanks-1)
}

// cost returns the size of a request, by which its time is estimated: its time by the published step times, in milliseconds.
func cost(r Request) uint64 {
	if r.PromptTokens+r.MaxOutputTokens <= 0 {
		return 1
	}
	return uint64(max(publishedTime(r)/time.Millisecond, 2))
}

func publishedTime(r Request) time.Duration {
	if r.PromptTokens+r.MaxOutputTokens <= 0 {
		return defaultPlainTime
	}
	return time.Duration(r.PromptTokens)*prefillPerToken + time.Duration(r.MaxOutputTokens)*timePerToken
}

// work returns the slot-seconds that a request is expected to take.
func (st *service) work(r Request, room Room) float64 {
	c, expected := cost(r), publishedTime(r)
	switch known := st.times.ExpectedTime(c); {
	case st.times.Known(c):
		expected = known
	default:
		// The estimate of smaller requests is too low for this one.
		expected = max(expected, known)
	}
	workTime := room.WorkTime
	if workTime <= 0 {
		workTime = 1
	}
	return max(expected.Seconds()*workTime, 0.001)
}

func (st *service) makePlan(room Room, now time.Time, w way) plan {
	sum := st.demand.summarize(now, room.Age)
	multiple := st.multiple(room)
	slots, endpoints := float64(room.Slots), float64(room.Endpoints)
	meanWork := st.sentMean()
	reported, age := float64(room.Running+room.Waiting), room.Age.Seconds()
	sent := sum.sentSince
	queue := predict(reported, slots, multiple*sent, meanWork, age)
	deviation := confidence * sum.deviation
	certain := reported
	if queue > reported {
		certain = max(reported, predict(reported, slots, multiple*max(sent-deviation, 0), meanWork, age))
	} else {
		certain = min(reported, predict(reported, slots, multiple*(sent+deviation), meanWork, age))
	}
	change := certain - reported
	waiting := max(waitingPerEndpoint*endpoints, waitingShare*slots, waitingTime.Seconds()*slots/meanWork)
	p := plan{at: now, cutoff: math.Inf(1), cutoffRank: NumRanks - 1}
	p.medium, p.large = sum.medium, sum.large
	p.queueTime = seconds(max(queue-slots, 0) * meanWork / slots)
	p.rankTimes = st.waits(slots, max(queue-slots, 0)*meanWork, now)
	offered := sum.rate * multiple
	p.excess = offered / slots
	// What ends is replaced from the queue first.
	taken := float64(room.Running) + change
	if change < 0 {
		taken = float64(room.Running) + min(change+float64(room.Waiting), 0)
	}
	fewWait := 2*room.EndpointsWaiting < room.Endpoints && certain < slots+endpoints/2
	// An instance that sees few requests must not take their chance increase for an excess.
	exceeds := func(rate float64, n int) bool {
		return rate*multiple*(1-confidence/math.Sqrt(max(float64(n), 1))) >= fullShare*slots
	}
	// It measures demand over up to maxWindow, which after a fall still contains the time before. Then the newest requests count, or
	// the slots must be taken for a time.
	lasts := exceeds(sum.recentRate, sum.recentCount) || st.utilization >= lackingUtilization
	balanced := !(exceeds(sum.rate, len(st.demand.sorted)) && lasts) && certain <= slots+waiting
	if taken < fullShare*slots || fewWait || balanced {
		p.hasRoom = true
		return p
	}
	target := slots + (slots+waiting-queue)*meanWork/correctionTime.Seconds()
	target = min(max(target, minTarget*slots), maxTarget*slots)
	if share := target / offered; share < 1 {
		p.cutoff, p.cutoffRank = sum.cutoff(max(share-sum.floorShare, 0), w)
	}
	return p
}

// countSent adds a request to the mix of those that are running.
func (st *service) countSent(work float64, now time.Time) {
	f := math.Exp(-max(now.Sub(st.mixAt).Seconds(), 0) / mixTime.Seconds())
	st.mixWork, st.mixCount, st.mixAt = st.mixWork*f+work, st.mixCount*f+1, now
}

// sentMean returns the mean work of the requests sent lately.
func (st *service) sentMean() float64 {
	if st.mixCount == 0 {
		return max(st.demand.meanWork, defaultPlainTime.Seconds())
	}
	return max(st.mixWork/st.mixCount, 0.001)
}

// predict returns the number of running and waiting requests after some seconds in which a number of requests were sent, if each
// takes meanWork seconds in one of the slots.
func predict(n, slots, sent, meanWork, age float64) float64 {
	if age <= 0 {
		return n
	}
	rate := sent / age
	level := rate * meanWork
	if n >= slots {
		slope := rate - slots/meanWork
		if slope >= 0 || n+slope*age >= slots {
			return n + slope*age
		}
		age -= (n - slots) / -slope
		n = slots
	}
	if after := level + (n-level)*math.Exp(-age/meanWork); after <= slots {
		return after
	}
	age -= meanWork * math.Log((level-n)/(level-slots))
	return slots + (rate-slots/meanWork)*age
}

// retryAfter returns when a refused request should come back. How long an excess lasts is not known; the best guess is as long
// again as it has lasted. Requests further behind the cut-off come back later.
func (st *service) retryAfter(score float64, now time.Time) time.Duration {
	base := max(now.Sub(st.roomLostAt), st.plan.queueTime, minRetryAfter)
	return seconds(min(base, maxRetryAfter).Seconds() * (0.5 + st.demand.position(score, st.plan.cutoff)))
}

func (p plan) sizeClass(work float64) string {
	switch {
	case work >= p.large:
		return "large"
	case work >= p.medium:
		return "medium"
	default:
		return "small"
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
