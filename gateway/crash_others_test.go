package gateway_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"pumiceshelf/internal/memorynet"
	"pumiceshelf/quarantine"
	"pumiceshelf/registry"
)

// The instance that lost a request may end before it checks the endpoint. Another one must check it in its place.
func TestCheckForOtherInstances(t *testing.T) { synctest.Test(t, testCheckForOtherInstances) }

func testCheckForOtherInstances(t *testing.T) {
	for _, c := range []struct {
		name    string
		ended   bool
		crashes int
		log     string
	}{
		{"counts if the endpoint has ended", true, 1, crashLog},
		{"does not count if the endpoint runs", false, 0, "gateway: endpoint has not ended, although requests were lost before their first event"},
	} {
		Convey("a loss that another instance passed on "+c.name, t, func() {
			network := new(memorynet.Network)
			e := newFakeEndpointIn(network, "i-1", abortConnection)
			h := newHarnessIn(network, e)
			Reset(h.close)
			h.config.Quarantine = quarantine.New(quarantine.Config{OnLoss: func(e registry.Endpoint) { h.gateway.CheckForOthers(e) }})
			h.restart()
			endpoint := h.config.Endpoints().Endpoints("model", time.Now())[0]
			if c.ended {
				e.crash()
			}
			now := h.config.Clock.Now()
			h.config.Quarantine.Merge(quarantine.State{Crashes: []quarantine.Crash{{Endpoint: endpoint, Unchecked: true, Parts: []string{"bad"}}}}, now)
			So(h.config.Quarantine.Statements(now).Crashes, ShouldBeEmpty)
			h.awaitLogs(c.log, 1)
			So(h.config.Quarantine.Statements(h.config.Clock.Now()).Crashes, ShouldHaveLength, c.crashes)
			So(h.config.Quarantine.LostByOthers(endpoint), ShouldBeFalse)
		})
	}
}

// Losses at an endpoint that resets connections must not make other instances check it each time.
func TestLossIsPassedOnBeforeItsCheck(t *testing.T) {
	Convey("a lost request is passed on at once, but not soon after a check that found the endpoint running", t, func() {
		h := newHarness(newFakeEndpoint("i-1", abortConnection))
		Reset(h.close)
		h.config.Quarantine = quarantine.New(quarantine.Config{})
		clock := h.setClock()
		passedOn := func() int { return len(h.config.Quarantine.Losses(clock.Now()).Crashes) }
		h.sendPrompt("/note/", "part", 0)
		So(passedOn(), ShouldEqual, 1)
		h.awaitLogs("gateway: endpoint has not ended, although requests were lost before their first event", 1)
		clock.advance(5 * time.Second)
		h.sendPrompt("/note/", "part", 1)
		So(passedOn(), ShouldEqual, 0)
		h.awaitLogs("gateway: endpoint has not ended, although requests were lost before their first event", 2)
		clock.advance(11 * time.Second)
		h.sendPrompt("/note/", "part", 2)
		So(passedOn(), ShouldEqual, 1)
	})
}

// A caller repeats a request before the other instances have replied whether they know an answer to it.
func TestRequestWaitsForVerdict(t *testing.T) {
	Convey("right after the third crash, a request is not sent before the verdict, and a sound one is", t, func() {
		var endpoints []*fakeEndpoint
		for i := range 5 {
			endpoints = append(endpoints, crashOnQuery(fmt.Sprintf("i-%d", i), "bad"))
		}
		h := newHarness(endpoints...)
		Reset(h.close)
		h.config.Quarantine = quarantine.New(quarantine.Config{})
		h.restart()
		for i := range 3 {
			So(h.send("POST", "/status/x?bad", "{}", nil).status, ShouldEqual, 502)
			h.awaitLogs(crashLog, i+1)
		}
		before := h.requestCount()
		refused := h.send("POST", "/status/x?bad", "{}", nil)
		So(refused.status, ShouldEqual, 503)
		So(refused.body, ShouldContainSubstring, "quarantined-request")
		So(h.requestCount(), ShouldEqual, before)
		So(h.send("POST", "/status/x?good", "{}", nil).status, ShouldEqual, 200)
	})
}
