package router_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"testing"
	"testing/synctest"
	"time"
)

const (
	// knownAfterCrashes is the number of crashes by a prompt part after which instances must know it.
	knownAfterCrashes = 5
	// maxLateRequests is how many requests with the part may reach endpoints later than contactPeriod after that.
	maxLateRequests = 3
	// settleTime is how long after that crash related requests need not begin.
	settleTime = 6 * time.Second
	// minRelatedRequests is the number of related requests from which the share of those that begin is judged.
	minRelatedRequests = 20
	// maxWaitForCrashes is how long after the first request with a part a disruption waits for crashes.
	maxWaitForCrashes = 5 * time.Second

	// partBegins is when requests with the first part begin, partLasts how long each part's requests come.
	partBegins = 7 * time.Second
	partLasts  = 18 * time.Second
	// restartPause is the time that killed instances need to start.
	restartPause = time.Second
)

// crashScenario is a play in which prompt parts crash endpoints, with a disruption.
type crashScenario struct {
	name string
	// route is the route of the requests with the part.
	route string
	// parts is the number of parts, which come one after the other.
	parts int
	// isFirst is set if the parts are the first of their prompts.
	isFirst bool
	// disrupt disrupts the fleet. It runs in its own goroutine.
	disrupt func(p *crashPlay)
}

// crashPlay is one emulation of a crashScenario.
type crashPlay struct {
	*crashEmulator
	ordered []*crashingPart
	// choices selects the disruption. Only its goroutine uses it.
	choices *rand.Rand
	// known is the number of crashes around which a disruption comes.
	known int
	// preferred, if set, is the instance that gets every second request with a part.
	preferred *emulatedInstance
}

var crashScenarios = []crashScenario{
	{name: "undisturbed", route: "draft", parts: 1},
	{name: "undisturbed with repeats and resumptions", route: "plan", parts: 1},
	{name: "the part is the first of its prompts", route: "draft", parts: 1, isFirst: true},
	{name: "two parts one after the other", route: "draft", parts: 2},
	{name: "a third of the instances restarts around the fifth crash", route: "draft", parts: 1, disrupt: (*crashPlay).restartThird},
	{name: "all instances restart after they learned of the part", route: "draft", parts: 1, disrupt: (*crashPlay).restartAllLater},
	{name: "an instance is cut off from the others around the fifth crash", route: "draft", parts: 1, disrupt: (*crashPlay).cutFromOthers},
	{name: "some instances are cut off from the store", route: "plan", parts: 1, disrupt: (*crashPlay).cutSomeFromStore},
	{name: "the store is cut off from all instances", route: "draft", parts: 1, disrupt: (*crashPlay).cutAllFromStore},
}

func (p *crashPlay) restartThird() {
	p.awaitCrashes(p.known - p.choices.IntN(2))
	p.restartInstances(p.pickInstances(len(p.instances)/3), restartPause)
}

func (p *crashPlay) restartAllLater() {
	p.awaitCrashes(p.known)
	time.Sleep(contactPeriod + time.Second)
	p.restartInstances(p.instances, restartPause)
}

func (p *crashPlay) cutFromOthers() {
	p.awaitCrashes(p.known - 1 - p.choices.IntN(3))
	in := p.pickInstances(1)[0]
	mode := []cutMode{cutRefuses, cutDrops}[p.choices.IntN(2)]
	p.note("%s is cut off from other instances, mode %d", in.name, mode)
	p.network.cutProcess(in.name, "82", mode)
	p.prefer(in)
	time.Sleep(12 * time.Second)
	p.note("%s reaches other instances", in.name)
	p.network.endCut(in.name)
	p.prefer(nil)
}

func (p *crashPlay) cutSomeFromStore() {
	p.awaitCrashes(p.known - 1 - p.choices.IntN(4))
	p.cutFromStore(p.pickInstances(len(p.instances)/3), 6*time.Second)
}

func (p *crashPlay) cutAllFromStore() {
	p.awaitCrashes(p.known - 1 - p.choices.IntN(4))
	p.cutFromStore(p.instances, 5*time.Second)
}

// prefer lets every second request with a part go to an instance, or to any if it is nil.
func (p *crashPlay) prefer(in *emulatedInstance) {
	p.crashMu.Lock()
	defer p.crashMu.Unlock()
	p.preferred = in
}

// awaitCrashes waits until the first part has crashed the given number of endpoints, or maxWaitForCrashes have passed since
// the first request with it could come.
func (p *crashPlay) awaitCrashes(n int) {
	part := p.ordered[0]
	limit := time.After(time.Until(part.from.Add(maxWaitForCrashes)))
	for {
		p.crashMu.Lock()
		count, crashed := len(part.crashes), part.crashed
		p.crashMu.Unlock()
		if count >= n {
			return
		}
		select {
		case <-crashed:
		case <-limit:
			return
		}
	}
}

// playCrashes plays a scenario.
func playCrashes(s crashScenario, size crashSize, seed uint64) *crashPlay {
	p := &crashPlay{
		crashEmulator: newCrashEmulator(seed, size.instances, size.endpoints), choices: rand.New(rand.NewPCG(seed, 2)), known: knownAfterCrashes,
	}
	from := p.start.Add(partBegins)
	for i := range s.parts {
		part := &crashingPart{
			id: fmt.Sprintf("bad%d", i), route: s.route, isFirst: s.isFirst, from: from, until: from.Add(partLasts),
			crashed: make(chan struct{}),
		}
		from = part.until.Add(time.Second)
		p.ordered, p.parts[part.id] = append(p.ordered, part), part
		p.work.Go(func() {
			next := func() (*promptRequest, *emulatedInstance) { return p.nextCrashing(part) }
			p.sendRandom(size.partRate, part.from, part.until, next)
		})
	}
	if s.disrupt != nil {
		p.work.Go(func() { s.disrupt(p) })
	}
	p.sendRandom(size.rate, p.start, from, p.soundRequest)
	p.stop()
	return p
}

// nextCrashing returns a request with a part, and the instance that it goes to, or nil for any.
func (p *crashPlay) nextCrashing(part *crashingPart) (*promptRequest, *emulatedInstance) {
	p.crashMu.Lock()
	in := p.preferred
	p.crashMu.Unlock()
	if in != nil && p.uniform() < 0.5 {
		return p.crashingRequest(part), in
	}
	return p.crashingRequest(part), nil
}

// lateArrivals returns the requests with a part that reached endpoints from instances in touch, later than contactPeriod after
// the crash from which instances must know it.
func (p *crashPlay) lateArrivals(part *crashingPart) (late []partArrival) {
	if len(part.crashes) < knownAfterCrashes {
		return nil
	}
	known := part.crashes[knownAfterCrashes-1].Add(contactPeriod)
	for _, a := range part.arrivals {
		if a.at.After(known) && p.isInTouch(a.instance, a.at) {
			late = append(late, a)
		}
	}
	return late
}

// beganTally counts requests, and those of them that began at their first attempt.
type beganTally struct{ began, all int }

func (b *beganTally) add(first attempt) {
	b.all++
	if first.events > 0 {
		b.began++
	}
}

func (b beganTally) share() float64 { return float64(b.began) / float64(max(b.all, 1)) }

// relatedRequests counts the requests without a crashing part that share the route, and the key or the first part, with those
// with the part, and were sent to instances in touch: before any part came, and from settleTime after the crashes of the part
// to its last request.
func (p *crashPlay) relatedRequests(part *crashingPart) (before, during beganTally) {
	var from, until time.Time
	if n := len(part.crashes); n > 0 {
		from = part.crashes[min(n, knownAfterCrashes)-1].Add(settleTime)
	}
	for _, r := range p.requests {
		if slices.Contains(r.parts, part.id) {
			until = r.sentAt
		}
	}
	for _, r := range p.requests {
		sharesFirst := !part.isFirst && r.parts[0] == firstPart(0)
		related := r.route == part.route && (r.key == 0 || sharesFirst)
		first := r.attempts[0]
		switch {
		case !related || p.crashes(r) || !p.isInTouch(first.instance, first.at) || first.status == http.StatusPaymentRequired:
		case first.at.Before(p.ordered[0].from):
			before.add(first)
		case !from.IsZero() && first.at.After(from) && first.at.Before(until):
			during.add(first)
		}
	}
	return before, during
}

// crashes reports whether a request has a crashing part.
func (p *crashPlay) crashes(r *promptRequest) bool {
	return slices.ContainsFunc(p.ordered, func(part *crashingPart) bool { return slices.Contains(r.parts, part.id) })
}

func (p *crashPlay) isSound(r *promptRequest) bool { return !p.crashes(r) }

// check fails the test if a rule on a part is broken.
func (p *crashPlay) check(t *testing.T, part *crashingPart) {
	t.Helper()
	late := p.lateArrivals(part)
	before, during := p.relatedRequests(part)
	t.Logf("%s: %d crashes, %d requests at endpoints, %d late; related requests began %.3f of %d before, %.3f of %d during",
		part.id, len(part.crashes), len(part.arrivals), len(late), before.share(), before.all, during.share(), during.all)
	if len(part.crashes) == 0 {
		t.Errorf("part %s crashed no endpoint", part.id)
	}
	if len(late) > maxLateRequests {
		t.Errorf("BUDGET: %d requests with part %s reached endpoints later than %v after the crash number %d, at most %d may",
			len(late), part.id, contactPeriod, knownAfterCrashes, maxLateRequests)
	}
	for i, a := range late {
		if i > maxLateRequests+1 {
			break
		}
		t.Logf("late: request %s from %s reached %s at %.3f s", a.request, a.instance, a.endpoint, a.at.Sub(p.start).Seconds())
	}
	switch {
	case before.all < minRelatedRequests || during.all < minRelatedRequests:
		t.Errorf("too few related requests to judge: %d before and %d during, want at least %d of each",
			before.all, during.all, minRelatedRequests)
	case during.share() < before.share()/2:
		t.Errorf("LOST: related requests began %.3f of the time while those with part %s came, %.3f before",
			during.share(), part.id, before.share())
	}
}

// A prompt part that crashes each endpoint that responds to it must not take the service down.
func TestRequestsThatCrashEndpointsStopReachingThem(t *testing.T) {
	for _, s := range crashScenarios {
		for _, size := range crashSizes {
			for seed := range size.seeds() {
				t.Run(s.name+"/"+size.name(seed), func(t *testing.T) {
					t.Parallel()
					synctest.Test(t, func(t *testing.T) {
						p := playCrashes(s, size, seed)
						for _, part := range p.ordered {
							p.check(t, part)
						}
						t.Logf("refused with a part: %v, without: %v", p.refusals(p.crashes), p.refusals(p.isSound))
						if t.Failed() {
							t.Log("timeline:\n" + p.timeline())
						}
					})
				})
			}
		}
	}
}
