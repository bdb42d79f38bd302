package router_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

const (
	// plainCrashesBegin is when the first endpoint crashes without a part. singleCrashes endpoints crash one by one, and then
	// rackSize endpoints at once, rackCrashes times.
	plainCrashesBegin = 4 * time.Second
	singleCrashes     = 6
	singleCrashGap    = 2 * time.Second
	rackCrashes       = 3
	rackCrashGap      = 6 * time.Second
	rackSize          = 3
	// resetShare is the share of its requests whose connection an endpoint resets. One of resetEvery endpoints does so for
	// resetsLast.
	resetShare = 0.4
	resetEvery = 3
	resetsLast = 25 * time.Second
	// maxOverloadedShare is the share of requests that may be refused because the remaining endpoints are overloaded.
	maxOverloadedShare = 0.005
)

// crashSize is the size of an emulated fleet, with its rates of requests per second.
type crashSize struct {
	instances, endpoints int
	rate, partRate       float64
}

var crashSizes = []crashSize{{8, 9, 40, 1.2}, {90, 40, 80, 2}}

// seeds returns the number of emulations of each case. Those of many instances take longer.
func (s crashSize) seeds() uint64 {
	n := emulatorSeeds(s.instances)
	if s.instances > 10 {
		return (n + 1) / 2
	}
	return n
}

func (s crashSize) name(seed uint64) string {
	return fmt.Sprintf("%d_instances/seed_%d", s.instances, seed)
}

// playPlainCrashes plays crashes that have nothing to do with prompts: of single endpoints, and then of several at once.
func playPlainCrashes(size crashSize, seed uint64) *crashEmulator {
	c := newCrashEmulator(seed, size.instances, size.endpoints)
	c.work.Go(func() {
		time.Sleep(plainCrashesBegin)
		for range singleCrashes {
			c.crashSome(1)
			time.Sleep(singleCrashGap)
		}
		for range rackCrashes {
			c.crashSome(rackSize)
			time.Sleep(rackCrashGap)
		}
	})
	c.playWithNewDocument(size, plainCrashesBegin+singleCrashes*singleCrashGap+rackCrashes*rackCrashGap)
	return c
}

// playResets plays endpoints that reset the connections of a share of their requests and stay alive.
func playResets(size crashSize, seed uint64) *crashEmulator {
	c := newCrashEmulator(seed, size.instances, size.endpoints)
	c.crashMu.Lock()
	for i := range max(1, size.endpoints/resetEvery) {
		c.resetShare[c.endpoints[i].id] = resetShare
	}
	c.crashMu.Unlock()
	c.playWithNewDocument(size, resetsLast)
	return c
}

// playWithNewDocument sends requests for a time. Those with newDocument begin to come after some seconds.
func (c *crashEmulator) playWithNewDocument(size crashSize, d time.Duration) {
	until := c.start.Add(d)
	c.work.Go(func() {
		c.sendRandom(size.partRate, c.start.Add(plainCrashesBegin), until, func() (*promptRequest, *emulatedInstance) {
			session := int(c.uniform() * sessionCount)
			return c.newRequest("draft", session, newDocument, sessionPart(session)), nil
		})
	})
	c.sendRandom(size.rate, c.start, until, c.soundRequest)
	c.stop()
}

func allRequests(*promptRequest) bool { return true }

// unexpectedRefusals returns the attempts that were refused for a reason that crashes and resets do not explain: those that a
// response was lost with the endpoint for are expected, and a few for which the remaining endpoints are overloaded.
func (c *crashEmulator) unexpectedRefusals() map[string]int {
	refused := c.refusals(allRequests)
	delete(refused, "502 answer-lost")
	delete(refused, "502 answer-cut")
	overloaded := refused["503 overloaded"] + refused["502 overloaded"]
	if float64(overloaded) <= maxOverloadedShare*float64(len(c.requests)) {
		delete(refused, "503 overloaded")
		delete(refused, "502 overloaded")
	}
	return refused
}

// testSoundRequests fails a test if a play without a crashing part leads to unexpected refusals.
func testSoundRequests(t *testing.T, play func(crashSize, uint64) *crashEmulator) {
	t.Helper()
	for _, size := range crashSizes {
		for seed := range size.seeds() {
			t.Run(size.name(seed), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					c := play(size, seed)
					t.Logf("%d requests, refused: %v", len(c.requests), c.refusals(allRequests))
					if unexpected := c.unexpectedRefusals(); len(unexpected) > 0 {
						t.Errorf("refused for other reasons than lost responses: %v", unexpected)
						t.Log("timeline:\n" + c.timeline())
					}
				})
			})
		}
	}
}

// Prompt parts that happen to be in progress when endpoints crash must not be refused.
func TestCrashesOfEndpointsLeadToNoRefusals(t *testing.T) { testSoundRequests(t, playPlainCrashes) }

// Prompt parts must not be refused because an endpoint that stays alive resets connections.
func TestResetConnectionsLeadToNoRefusals(t *testing.T) { testSoundRequests(t, playResets) }
