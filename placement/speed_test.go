package placement_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pumiceshelf/endpointload"
	"pumiceshelf/placement"
	"pumiceshelf/registry"
)

const (
	streamStep      = 5 * time.Millisecond
	tokensPerEvent  = 6
	exchangePeriod  = 500 * time.Millisecond
	disturbedFactor = 2.5
	disturbedPeriod = 600 * time.Millisecond
	// warmUp is the time before requests count, in which engines cache the shared parts of prompts.
	warmUp = 10 * time.Second
	// maxLateShare is the target for a calm day: 1,500 of 11,187 streams.
	maxLateShare = 0.134
	// maxFirstEventRatio is the target for the mean time to the first event, in percent of the oracle's.
	maxFirstEventRatio = 130
)

// streamDeployment is a fleet of engines with its load.
type streamDeployment struct {
	engines, slots int
	// workTimes are the relative work times of a third of the engines each. reportsWorkTime is set if engines report them;
	// otherwise instances share all reports.
	workTimes       [3]float64
	reportsWorkTime bool
	// disturbedShare is the part of the time in which an engine takes disturbedFactor times as long.
	disturbedShare float64
	// chunk is the number of prompt tokens that an engine prefills between two steps.
	chunk                                       int64
	longPerSecond, shortPerSecond               float64
	shortObjective, longObjective, gapObjective time.Duration
}

// firstDeployment has engines that report work times, and secondDeployment engines that do not.
var (
	firstDeployment = streamDeployment{
		engines: 90, slots: 24, workTimes: [3]float64{0.7, 0.7, 2.1}, reportsWorkTime: true, disturbedShare: 0.15, chunk: 1024,
		longPerSecond: 138, shortPerSecond: 178,
		shortObjective: 300 * time.Millisecond, longObjective: 600 * time.Millisecond, gapObjective: 300 * time.Millisecond,
	}
	secondDeployment = streamDeployment{
		engines: 140, slots: 12, workTimes: [3]float64{1, 1, 1.3}, chunk: 2048, longPerSecond: 195, shortPerSecond: 273,
		shortObjective: 400 * time.Millisecond, longObjective: 1200 * time.Millisecond, gapObjective: 500 * time.Millisecond,
	}
)

// streamFleet plays instances that send prompts to engines of different speeds, which prefill them in chunks between the tokens of
// running streams. Instances see the reports in their own responses and exchange them. It uses no clock or network.
type streamFleet struct {
	streamDeployment
	begin, now time.Time
	random     *rand.Rand
	instances  []*streamInstance
	byID       map[string]*streamEngine
	endpoints  []registry.Endpoint
	// oracle makes each choice with the state of all engines.
	oracle bool
	counts map[bool]*streamCounts
	// sent counts the requests after the first ten seconds, toSlow those sent to the last third of the engines, which are the slowest.
	toSlow, sent int
}

type streamCounts struct {
	requests, late int
	first          time.Duration
}

type streamInstance struct {
	chooser *placement.Chooser
	loads   *endpointload.Table
}

type streamEngine struct {
	workTime, factor float64
	prefill, running []*playedStream
	cached           map[string]bool
	// owed is work done ahead of time, in milliseconds; decode alternates chunks and tokens.
	owed   float64
	decode bool
}

type playedStream struct {
	request         placement.Request
	ticket          *placement.Ticket
	tokensLeft      int64
	sent, lastEvent time.Time
	tokens, events  int
	first, gap      time.Duration
	times           *endpointload.StreamTimes
}

func newStreamFleet(d streamDeployment, seed uint64, instances int, shared bool) *streamFleet {
	f := &streamFleet{
		streamDeployment: d, begin: time.Unix(1000, 0), now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(seed, 7)),
		byID: make(map[string]*streamEngine), counts: map[bool]*streamCounts{false: {}, true: {}},
	}
	for i := range d.engines {
		id := fmt.Sprintf("i-%d", i)
		f.endpoints = append(f.endpoints, registry.Endpoint{ID: id, Service: "model", Slots: d.slots})
		f.byID[id] = &streamEngine{workTime: d.workTimes[i%3], factor: 1, cached: make(map[string]bool)}
	}
	for range instances {
		in := &streamInstance{chooser: placement.New(noLimits()), loads: endpointload.New()}
		if !d.reportsWorkTime {
			in.loads = endpointload.New(endpointload.ShareAllReports)
		}
		if shared {
			in.chooser = placement.NewWithLoads(noLimits(), in.loads)
		}
		in.chooser.SetIntN(f.random.IntN)
		f.instances = append(f.instances, in)
	}
	return f
}

// run plays a load and counts the requests that end after warmUp.
func (f *streamFleet) run(duration time.Duration) {
	for end := f.now.Add(duration); f.now.Before(end); f.now = f.now.Add(streamStep) {
		elapsed := f.now.Sub(f.begin)
		if elapsed%exchangePeriod == 0 {
			f.exchange()
		}
		for _, long := range []bool{true, false} {
			rate := f.shortPerSecond
			if long {
				rate = f.longPerSecond
			}
			for at := f.random.ExpFloat64(); at < rate*streamStep.Seconds(); at += f.random.ExpFloat64() {
				f.arrive(long)
			}
		}
		for _, e := range f.endpoints {
			if engine := f.byID[e.ID]; elapsed%disturbedPeriod == 0 {
				engine.factor = 1
				if f.random.Float64() < f.disturbedShare {
					engine.factor = disturbedFactor
				}
			}
			f.advance(f.byID[e.ID])
		}
	}
}

// counted reports whether requests count now.
func (f *streamFleet) counted() bool { return f.now.Sub(f.begin) > warmUp }

// exchange lets each instance exchange reports with a random other one.
func (f *streamFleet) exchange() {
	for _, in := range f.instances {
		other := f.instances[f.random.IntN(len(f.instances))]
		statements := in.loads.Statements(f.now)
		in.loads.Merge(other.loads.Statements(f.now), f.now)
		other.loads.Merge(statements, f.now)
	}
}

func (f *streamFleet) arrive(long bool) {
	own, session := int64(100+f.random.ExpFloat64()*530), fmt.Sprintf("short-%d", f.random.IntN(1300))
	r := placement.Request{
		Service: "model", MaxTimeToFirstToken: f.shortObjective, MaxEventGap: f.gapObjective,
		PromptParts: []placement.PromptPart{{ID: "tool-short", Tokens: 119}, {ID: session, Tokens: 79}, {ID: "own", Tokens: own}}, PromptTokens: 198 + own,
	}
	if long {
		own, session = int64(200+f.random.ExpFloat64()*2700), fmt.Sprintf("long-%d", f.random.IntN(1500))
		r.MaxTimeToFirstToken, r.PromptTokens = f.longObjective, 6300+own
		r.PromptParts = []placement.PromptPart{{ID: "tool", Tokens: 2520}, {ID: session, Tokens: 3780}, {ID: "own", Tokens: own}}
	}
	in := f.instances[f.random.IntN(len(f.instances))]
	var ticket *placement.Ticket
	if f.oracle {
		ticket = in.chooser.Pick(f.endpoints[f.best(r):][:1], r, nil, f.now).Ticket
	} else {
		ticket = in.chooser.Pick(f.endpoints, r, nil, f.now).Ticket
	}
	if ticket == nil {
		f.counts[long].requests++
		f.counts[long].late++
		return
	}
	e := f.byID[ticket.Endpoint.ID]
	if f.counted() {
		f.sent++
		if e.workTime == f.workTimes[2] {
			f.toSlow++
		}
	}
	e.prefill = append(e.prefill, &playedStream{request: r, ticket: ticket, tokensLeft: e.uncached(r), sent: f.now, times: endpointload.NewStreamTimes(f.now)})
	for _, p := range r.PromptParts[:2] {
		e.cached[p.ID] = true
	}
}

// uncached returns the number of prompt tokens that the engine has to process.
func (e *streamEngine) uncached(r placement.Request) (tokens int64) {
	for _, p := range r.PromptParts {
		if !e.cached[p.ID] {
			tokens += p.Tokens
		}
	}
	return tokens
}

// best returns the index of the engine that would finish the prefill of a request first.
func (f *streamFleet) best(r placement.Request) (index int) {
	least := -1.0
	for i, e := range f.endpoints {
		engine := f.byID[e.ID]
		tokens := engine.uncached(r)
		for _, s := range engine.prefill {
			tokens += s.tokensLeft
		}
		if work := float64(tokens) * engine.workTime * engine.factor; least < 0 || work < least {
			least, index = work, i
		}
	}
	return index
}

// advance plays one step of an engine.
func (f *streamFleet) advance(e *streamEngine) {
	e.owed += float64(streamStep.Milliseconds()) / (e.workTime * e.factor)
	for e.owed > 0 && len(e.prefill)+len(e.running) > 0 {
		if e.decode = !e.decode || len(e.prefill) == 0 || len(e.running) >= f.slots; e.decode {
			f.decodeToken(e)
			continue
		}
		s := e.prefill[0]
		chunk := min(s.tokensLeft, f.chunk)
		e.owed -= float64(chunk) / 40.8
		if s.tokensLeft -= chunk; s.tokensLeft <= 0 {
			e.prefill, e.running = e.prefill[1:], append(e.running, s)
		}
	}
	if len(e.prefill)+len(e.running) == 0 {
		e.owed = 0
	}
}

// decodeToken makes one token of each running stream.
func (f *streamFleet) decodeToken(e *streamEngine) {
	e.owed -= 5.05 + 0.0164*float64(len(e.running))
	var still []*playedStream
	for _, s := range e.running {
		events := 49
		if s.request.PromptTokens >= 6300 {
			events = 9
		}
		if s.tokens++; s.tokens == 1 || s.tokens%tokensPerEvent == 0 {
			f.event(e, s)
		}
		if s.events < events {
			still = append(still, s)
			continue
		}
		s.ticket.RecordStream(s.times, false, f.now)
		s.ticket.Done(placement.Served, f.now)
		if f.counted() {
			c := f.counts[s.request.PromptTokens >= 6300]
			c.requests++
			c.first += s.first
			if s.first > s.request.MaxTimeToFirstToken || s.gap > f.gapObjective {
				c.late++
			}
		}
	}
	e.running = still
}

// event returns an event to the caller, the first one with the engine's report.
func (f *streamFleet) event(e *streamEngine, s *playedStream) {
	workTime := e.workTime * e.factor
	if !f.reportsWorkTime {
		workTime = 0
	}
	s.times.Event(s.lastEvent, f.now)
	if s.events++; s.events == 1 {
		s.first = f.now.Sub(s.sent)
		s.ticket.RecordProgress(f.now)
		s.ticket.RecordLoad(placement.Load{
			Running: len(e.running), Waiting: len(e.prefill), Slots: f.slots, WorkTime: workTime,
		}, f.now)
	} else {
		s.gap = max(s.gap, f.now.Sub(s.lastEvent))
	}
	s.lastEvent = f.now
}

func (c streamCounts) lateShare() float64 { return float64(c.late) / float64(max(c.requests, 1)) }

// lateShare returns the share of all streams that were late.
func (f *streamFleet) lateShare() float64 {
	long, short := f.counts[true], f.counts[false]
	return streamCounts{requests: long.requests + short.requests, late: long.late + short.late}.lateShare()
}

// meanFirst returns the mean time to the first event of all streams.
func (f *streamFleet) meanFirst() time.Duration {
	long, short := f.counts[true], f.counts[false]
	return (long.first + short.first) / time.Duration(max(long.requests+short.requests, 1))
}

// TestFastEnginesKeepStreamsOnTime guards against short streams that pause while long prompts are prefilled, and against long prompts
// on slow engines, in fleets where an instance sees a small part of the requests.
func TestFastEnginesKeepStreamsOnTime(t *testing.T) {
	for _, instances := range []int{8, 90, 195} {
		t.Run(fmt.Sprintf("%d_instances", instances), func(t *testing.T) {
			play := func(shared, oracle bool) *streamFleet {
				f := newStreamFleet(firstDeployment, 1, instances, shared)
				f.oracle = oracle
				f.run(25 * time.Second)
				return f
			}
			before, after, best := play(false, false), play(true, false), play(false, true)
			for name, f := range map[string]*streamFleet{"own reports": before, "by speed": after, "oracle": best} {
				long, short := f.counts[true], f.counts[false]
				t.Logf("%-11s late: long %.3f, short %.3f; mean first event %v; %d of %d requests on slow engines", name, long.lateShare(), short.lateShare(),
					f.meanFirst().Round(time.Millisecond), f.toSlow, f.sent)
			}
			if share := after.lateShare(); share > maxLateShare {
				t.Errorf("%.3f of the streams are late, at most %.3f may be", share, maxLateShare)
			}
			if most := best.meanFirst() * maxFirstEventRatio / 100; after.meanFirst() > most {
				t.Errorf("the mean time to the first event is %v, %v may be", after.meanFirst(), most)
			}
			if most := after.sent / 3 / 5; after.toSlow > most {
				t.Errorf("slow engines got %d of %d requests, at most a fifth of their even share may go there, %d", after.toSlow, after.sent, most)
			}
		})
	}
}
