package shed

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"
)

// load is an emulated load: callers, instances that decide from old reports, and endpoints with queues. All times are in seconds.
type load struct {
	instances, endpoints, slots int
	// maxQueue is how many requests may wait at an endpoint, which rejects others; zero means any number.
	maxQueue int
	// ignoreRejections leaves a report as it is if its endpoint rejects a request.
	ignoreRejections bool
	// maxAge is the greatest age of reports.
	maxAge float64
	// calm and burst are the offered work relative to the room before and during the burst.
	calm, burst float64
	plain       bool
	// flood is how many times its usual one customer asks in the burst, instead of a burst of all.
	flood float64
	// large adds a route with few very large prompts that alone offers as much as the excess of the burst.
	large bool
	// alike sets work times from 1 to 1.3, which endpoints do not report, so that instances assume 1.
	alike bool
	// kinds replace the usual kinds of requests.
	kinds []kind
	// noShedding sends everything.
	noShedding bool
	way        way
	seed       uint64
}

const (
	calmUntil     = 20.0
	burstUntil    = 60.0
	loadEnd       = 80.0
	numCustomers  = 24
	floodCustomer = 7
)

// kind is a kind of request.
type kind struct {
	route          string
	rank           int
	prompt, output int64
	work           float64
	timeLeft       float64
	share          float64
}

var streamKinds = []kind{
	{"chat", 0, 500, 100, 1.0, 10, 0.40},
	{"search", 0, 2_000, 50, 0.8, 6, 0.20},
	{"write", 1, 1_500, 300, 3.0, 30, 0.30},
	{"report", 2, 8_000, 800, 8.0, 30, 0.10},
}

var largeKind = kind{"archive", 1, 120_000, 800, 24, 60, 0}

// longKinds are requests of an assistant with 6,300 shared and 2,890 own prompt tokens, and of one with 39,600 in all.
var longKinds = []kind{
	{"chat", 0, 9_190, 150, 2.9, 15, 0.50},
	{"write", 1, 9_190, 400, 7.5, 40, 0.35},
	{"report", 2, 39_600, 400, 8.1, 60, 0.15},
}

var plainKinds = []kind{
	{"lookup", 0, 0, 0, 0.1, 2, 0.5},
	{"thumb", 1, 0, 0, 0.1, 5, 0.3},
	{"index", 2, 0, 0, 0.1, 10, 0.2},
}

// query is a request of an emulated caller.
type query struct {
	kind             kind
	customer         int
	arrived          float64
	deadline         float64
	instance         int
	cameBack         bool
	refusedBy        int
	burst, ended, ok bool
	refusals         int
	dispatched       float64
	waited           bool
	work             float64
	// request is what the instance was asked when it sent the query.
	request Request
}

func (q *query) rank() int { return q.customer%3*ranksPerCustomerRank + q.kind.rank }

type fakeEndpoint struct {
	workTime float64
	running  int
	waiting  []*query
}

// event is the end of a request, its deadline, or a caller that comes back.
type event struct {
	at       float64
	query    *query
	endpoint *fakeEndpoint
	deadline bool
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	x := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return x
}

// fakeReport is what an endpoint reported at a time.
type fakeReport struct {
	running, waiting int
	at               float64
}

// fakeInstance is an instance with its last copy of the reports, which it renews at a time.
type fakeInstance struct {
	shedder *Shedder
	reports []fakeReport
	renewal float64
}

// knownWorkTime returns what instances take for the work time of an endpoint.
func (l load) knownWorkTime(e *fakeEndpoint) float64 {
	if l.alike {
		return 1
	}
	return e.workTime
}

// room returns the capacity by the reports of an instance.
func (l load) room(in *fakeInstance, endpoints []*fakeEndpoint, now float64) Room {
	r := Room{Endpoints: l.endpoints, Slots: l.endpoints * l.slots, Known: !l.noShedding, Instances: l.instances}
	age := 0.0
	for i, report := range in.reports {
		r.Running += report.running
		r.Waiting += report.waiting
		r.WorkTime += l.knownWorkTime(endpoints[i]) / float64(l.endpoints)
		if report.waiting > 0 {
			r.EndpointsWaiting++
		}
		age += (now - report.at) / float64(l.endpoints)
	}
	r.Age = seconds(age)
	return r
}

// tally is what callers got during the burst.
type tally struct {
	asked, served                  map[string]float64
	admitted, late, room           float64
	worstWait                      float64
	rejected, refused, falseRefuse int
	calmRefused                    int
	queries                        []*query
}

func (t *tally) share(group string) float64 { return t.served[group] / max(t.asked[group], 1) }

// play plays a load.
func (l load) play() *tally {
	rnd := rand.New(rand.NewPCG(l.seed, 1))
	t := &tally{asked: map[string]float64{}, served: map[string]float64{}}
	kinds := streamKinds
	if l.plain {
		kinds = plainKinds
	}
	if l.kinds != nil {
		kinds = l.kinds
	}
	endpoints := make([]*fakeEndpoint, l.endpoints)
	speed := 0.0
	for i := range endpoints {
		endpoints[i] = &fakeEndpoint{workTime: 0.7}
		if i%3 == 0 {
			endpoints[i].workTime = 1.7
		}
		if l.alike {
			endpoints[i].workTime = 1 + 0.3*float64(i)/float64(l.endpoints-1)
		}
		speed += 1 / endpoints[i].workTime
	}
	capacity := speed * float64(l.slots) // normal work per second
	instances := make([]*fakeInstance, l.instances)
	for i := range instances {
		instances[i] = &fakeInstance{shedder: New(Config{Seed: l.seed*1000 + uint64(i) + 1, way: l.way}), reports: make([]fakeReport, l.endpoints)}
	}
	meanWork := 0.0
	for _, k := range kinds {
		meanWork += k.share * k.work
	}
	start := time.Unix(1_000_000, 0)
	at := func(s float64) time.Time { return start.Add(seconds(s)) }
	var queue events
	running := 0
	begin := func(e *fakeEndpoint, q *query, now float64) {
		e.running++
		running++
		took := q.work * e.workTime
		q.dispatched = now
		if q.burst {
			t.worstWait = max(t.worstWait, now-q.arrived)
		}
		heap.Push(&queue, event{at: now + took, query: q, endpoint: e})
	}
	send := func(q *query, now float64) {
		i, j := rnd.IntN(l.endpoints), rnd.IntN(l.endpoints)
		a, b := endpoints[i], endpoints[j]
		cost := func(e *fakeEndpoint) float64 { return float64(e.running+len(e.waiting)) * (0.5 + e.workTime/2) }
		if cost(b) < cost(a) {
			a, i = b, j
		}
		if now >= calmUntil && now < burstUntil {
			if l.maxQueue == 0 || len(a.waiting) < l.maxQueue || a.running < l.slots {
				t.admitted += q.work * a.workTime
			}
		}
		switch {
		case a.running < l.slots:
			begin(a, q, now)
		case l.maxQueue > 0 && len(a.waiting) >= l.maxQueue:
			t.rejected++
			q.ended = true
			in := instances[q.instance]
			in.shedder.Missed("s", q.request, at(now))
			if !l.ignoreRejections {
				in.reports[i] = fakeReport{a.running, len(a.waiting), now}
				in.shedder.RoomChanged("s")
			}
		default:
			q.waited = true
			a.waiting = append(a.waiting, q)
		}
	}
	ask := func(q *query, now float64) {
		in := instances[q.instance]
		if now >= in.renewal {
			for i, e := range endpoints {
				in.reports[i] = fakeReport{e.running, len(e.waiting), now}
			}
			in.renewal = now + l.maxAge*(0.3+0.7*rnd.Float64())
		}
		room := l.room(in, endpoints, now)
		left := q.deadline - now
		r := Request{Customer: strconv.Itoa(q.customer), CustomerRank: q.customer % 3, RouteRank: q.kind.rank, Route: q.kind.route,
			TimeLeft: seconds(left), PromptTokens: q.kind.prompt, MaxOutputTokens: q.kind.output,
			CameBack: q.cameBack && q.refusedBy == q.instance}
		d := in.shedder.Decide("s", r, room, at(now))
		if d.Verdict == Send {
			q.request = r
			send(q, now)
			heap.Push(&queue, event{at: q.deadline, query: q, deadline: true})
			return
		}
		if now < calmUntil {
			t.calmRefused++
		}
		t.refused++
		q.refusals++
		if float64(running) < fullShare*float64(l.endpoints*l.slots) {
			t.falseRefuse++
		}
		// The gateway adds the spread, and callers see the sum.
		after := d.RetryAfter.Seconds()
		after += rnd.Float64() * min(after, 2)
		if q.cameBack || after > left/3 {
			q.ended = true
			return
		}
		q.cameBack, q.refusedBy, q.instance = true, q.instance, rnd.IntN(l.instances)
		heap.Push(&queue, event{at: now + after, query: q})
	}
	finish := func(v event) {
		e, q := v.endpoint, v.query
		e.running--
		running--
		q.ended, q.ok = true, v.at <= q.deadline
		if !q.ok && v.at >= calmUntil && v.at < burstUntil {
			t.late += q.work * e.workTime
		}
		if !q.waited {
			r := Request{PromptTokens: q.kind.prompt, MaxOutputTokens: q.kind.output}
			instances[q.instance].shedder.Finished("s", r, seconds(v.at-q.dispatched), l.knownWorkTime(e), at(v.at))
		}
		for len(e.waiting) > 0 && e.running < l.slots {
			best := 0
			if !l.plain {
				for i, w := range e.waiting {
					if w.rank() < e.waiting[best].rank() {
						best = i
					}
				}
			}
			w := e.waiting[best]
			e.waiting = slices.Delete(e.waiting, best, best+1)
			if w.deadline > v.at {
				begin(e, w, v.at)
			} else {
				w.ended = true
			}
		}
	}
	newQuery := func(now float64, k kind, customer int) *query {
		q := &query{kind: k, customer: customer, arrived: now, deadline: now + k.timeLeft, instance: rnd.IntN(l.instances),
			work: k.work * (0.6 + 0.8*rnd.Float64()), burst: now >= calmUntil && now < burstUntil}
		if q.burst {
			t.queries = append(t.queries, q)
		}
		return q
	}
	arrivals := func(work float64) int {
		n := 0
		for limit, p := math.Exp(-work), rnd.Float64(); p > limit; p *= rnd.Float64() {
			n++
		}
		return n
	}
	const tick = 0.01
	// remaining returns the work left of the running requests.
	remaining := func(now float64) (sum float64) {
		for _, v := range queue {
			if v.endpoint != nil {
				sum += v.at - now
			}
		}
		return
	}
	started, ended := false, false
	for now := 0.0; now < loadEnd+60; now += tick {
		for len(queue) > 0 && queue[0].at <= now {
			switch v := heap.Pop(&queue).(event); {
			case v.endpoint != nil:
				finish(v)
			case v.deadline:
				if !v.query.ended {
					instances[v.query.instance].shedder.Missed("s", v.query.request, at(v.at))
				}
			default:
				ask(v.query, v.at)
			}
		}
		// What still runs when the burst ends is work of the time after it.
		if !started && now >= calmUntil {
			started, t.admitted = true, t.admitted+remaining(now)
		}
		if !ended && now >= burstUntil {
			ended, t.admitted = true, t.admitted-remaining(now)
		}
		if now >= loadEnd {
			continue
		}
		inBurst := now >= calmUntil && now < burstUntil
		factor := l.calm
		if inBurst {
			factor = l.burst
			t.room += tick * float64(l.endpoints*l.slots)
		}
		all := factor
		if inBurst && (l.flood > 0 || l.large) {
			all = l.calm
		}
		for range arrivals(all * capacity / meanWork * tick) {
			k, p := kinds[len(kinds)-1], rnd.Float64()
			for _, c := range kinds {
				if p < c.share {
					k = c
					break
				}
				p -= c.share
			}
			ask(newQuery(now, k, rnd.IntN(numCustomers)), now)
		}
		if inBurst && l.flood > 0 {
			for range arrivals((l.flood - 1) * all / numCustomers * capacity / meanWork * tick) {
				ask(newQuery(now, kinds[rnd.IntN(len(kinds)-1)], floodCustomer), now)
			}
		}
		if inBurst && l.large {
			for range arrivals((factor - all) * capacity / largeKind.work * tick) {
				ask(newQuery(now, largeKind, rnd.IntN(numCustomers)), now)
			}
		}
	}
	works := make([]float64, 0, len(t.queries))
	for _, q := range t.queries {
		works = append(works, q.kind.work)
	}
	slices.Sort(works)
	for _, q := range t.queries {
		for _, g := range q.groupNames(works) {
			t.asked[g]++
			if q.ok {
				t.served[g]++
			}
		}
	}
	return t
}

// groupNames returns the groups by which shares are counted. works are the works of all requests, in order.
func (q *query) groupNames(works []float64) []string {
	class := "small"
	switch {
	case q.kind.work >= works[len(works)*9/10]:
		class = "large"
	case q.kind.work >= works[len(works)*7/10]:
		class = "medium"
	}
	return []string{"all", "rank " + strconv.Itoa(q.rank()), "customer " + strconv.Itoa(q.customer), "route " + q.kind.route, "size " + class}
}
