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

// sentByReports lets 90 instances, which know the same reports, send 20 requests each, and returns how many of these each engine got.
// Before, each has sent 40 others. All are canceled, so that only the reports tell the load.
func sentByReports(reports []endpointload.Report, request func(random *rand.Rand) placement.Request) []int {
	now, random := time.Unix(1000, 0), rand.New(rand.NewPCG(1, 1))
	var all []registry.Endpoint
	var statements []endpointload.Statement
	for i, r := range reports {
		e := registry.Endpoint{ID: fmt.Sprintf("i-%d", i), Service: "model", Slots: r.Slots}
		all = append(all, e)
		statements = append(statements, endpointload.Statement{Endpoint: e, Report: r, Age: 1300 * time.Millisecond})
	}
	sent := make(map[string]int)
	for range 90 {
		loads := endpointload.New()
		loads.Merge(statements, now)
		c := placement.NewWithLoads(noLimits(), loads)
		c.SetIntN(random.IntN)
		for i := range 60 {
			t := c.Pick(all, request(random), nil, now).Ticket
			t.Done(placement.Canceled, now)
			if i >= 40 {
				sent[t.Endpoint.ID]++
			}
		}
	}
	out := make([]int, len(all))
	for i, e := range all {
		out[i] = sent[e.ID]
	}
	return out
}

// shortPrompt returns a request of one of nine sessions, whose shared part is short.
func shortPrompt(random *rand.Rand) placement.Request {
	return placement.Request{
		Service: "model", PromptTokens: 500, MaxTimeToFirstToken: 4 * time.Second,
		PromptParts: []placement.PromptPart{{ID: fmt.Sprint("session-", random.IntN(9)), Tokens: 100}, {ID: "own", Tokens: 400}},
	}
}

func fullEngines(n int, workTime float64) (out []endpointload.Report) {
	for range n {
		out = append(out, endpointload.Report{Running: 12, Waiting: 5, Slots: 12, WorkTime: workTime})
	}
	return out
}

// TestFreeEngineIsNotFlooded guards callers of a crowded service against instances that all send to the one engine that has free
// slots by its last report, which are taken at once.
func TestFreeEngineIsNotFlooded(t *testing.T) {
	reports := fullEngines(12, 1)
	reports[4] = endpointload.Report{Slots: 12, WorkTime: 1}
	sent := sentByReports(reports, shortPrompt)
	// Until the reports show it, it completes a twelfth, and its 12 slots and an even part of the 55 waiting requests are free.
	if sent[4] < 1800/12 || sent[4] > 1800/4 {
		t.Errorf("the engine with free slots got %d of 1800 requests, all: %v", sent[4], sent)
	}
}

// TestSessionsDoNotOverloadEngines guards callers of a crowded service against the sessions of many instances that prefer the same
// engines.
func TestSessionsDoNotOverloadEngines(t *testing.T) {
	long := func(random *rand.Rand) placement.Request {
		r := shortPrompt(random)
		r.PromptTokens, r.PromptParts[0].Tokens = 9190, 6300
		return r
	}
	for name, request := range map[string]func(*rand.Rand) placement.Request{"short shared parts": shortPrompt, "long shared parts": long} {
		for i, n := range sentByReports(fullEngines(12, 1), request) {
			// The even part is 150. Of nine sessions, an engine that one of them prefers would get 200, and one that two prefer 400.
			if n > 300 {
				t.Errorf("%s: engine %d got %d of 1800 requests", name, i, n)
			}
		}
	}
}

// TestSlowEnginesGetTheirPart guards callers of a crowded service against slow engines that get as many requests as fast ones.
func TestSlowEnginesGetTheirPart(t *testing.T) {
	sent := sentByReports(append(fullEngines(6, 1), fullEngines(6, 2)...), shortPrompt)
	fast, slow := 0, 0
	for i, n := range sent {
		if i < 6 {
			fast += n
		} else {
			slow += n
		}
	}
	// They complete half as many, and their queues take twice as long.
	if 2*slow > fast || slow == 0 {
		t.Errorf("slow engines got %d of 1800 requests: %v", slow, sent)
	}
}
