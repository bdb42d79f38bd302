package gateway_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/smartystreets/goconvey/convey"

	"pumiceshelf/quarantine"
)

// advancingClock is the real clock set forward by the test.
type advancingClock struct {
	clockwork.Clock
	offset atomic.Int64
}

func (c *advancingClock) Now() time.Time { return c.Clock.Now().Add(time.Duration(c.offset.Load())) }

func (c *advancingClock) Since(t time.Time) time.Duration { return c.Now().Sub(t) }

func (c *advancingClock) advance(d time.Duration) { c.offset.Add(int64(d)) }

// setClock restarts the gateway with a clock that the test sets forward.
func (h *harness) setClock() *advancingClock {
	clock := &advancingClock{Clock: clockwork.NewRealClock()}
	h.config.Clock = clock
	h.restart()
	return clock
}

// crashOn returns an endpoint that ends when it begins to answer a request whose prompt has the part, and streams a response
// to any other.
func crashOn(id, part string) *fakeEndpoint {
	e := newFakeEndpoint(id, nil)
	e.handle = func(w http.ResponseWriter, r *http.Request) {
		if !strings.Contains(r.Header.Get("X-Prefix-Hash"), part+":") {
			streamEvents(3, 0)(w, r)
			return
		}
		e.crash()
		panic(http.ErrAbortHandler)
	}
	return e
}

// crash ends the endpoint: it accepts no more connections, and resets those in progress.
func (e *fakeEndpoint) crash() {
	_ = e.server.Listener.Close()
	e.server.CloseClientConnections()
}

// sendPrompt sends a request with a prompt of the shared first part, the given part and one of its own.
func (h *harness) sendPrompt(path, part string, number int) response {
	return h.send("POST", path, "{}", map[string]string{
		"X-Request-Id": fmt.Sprintf("id-%s-%d", part, number), "X-Token-Counts": "400,8",
		"X-Prefix-Hash": fmt.Sprintf("c0:100,%s:200,f%d:100", part, number),
	})
}

// awaitLogs waits until the gateway has logged the message so often, or a few seconds.
func (h *harness) awaitLogs(message string, count int) {
	for range 3000 {
		found := 0
		for _, e := range h.logs.all() {
			if e.Message == message {
				found++
			}
		}
		if found >= count {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

const crashLog = "gateway: endpoint crashed while requests waited for their first event"

func TestPromptPartThatCrashesEndpoints(t *testing.T) {
	Convey("a request with a part under which three endpoints have crashed is not sent, others are", t, func() {
		var endpoints []*fakeEndpoint
		for i := range 6 {
			endpoints = append(endpoints, crashOn(fmt.Sprintf("i-%d", i), "bad"))
		}
		h := newHarness(endpoints...)
		Reset(h.close)
		clock := h.setClock()
		So(h.sendPrompt("/note/", "good", 0).status, ShouldEqual, 200)
		for i := range 3 {
			So(h.sendPrompt("/note/", "bad", i).status, ShouldEqual, 502)
			h.awaitLogs(crashLog, i+1)
			clock.advance(time.Second)
		}
		before, reserved := h.requestCount(), h.budgets.reserved.Load()
		for i := range 5 {
			refused := h.sendPrompt("/note/", "bad", 10+i)
			So(refused.status, ShouldEqual, 503)
			So(refused.body, ShouldContainSubstring, "quarantined-prompt")
			So(refused.body, ShouldContainSubstring, "not-run")
			So(refused.header.Get("Retry-After"), ShouldNotBeEmpty)
		}
		So(h.requestCount(), ShouldEqual, before)
		So(h.budgets.reserved.Load(), ShouldEqual, reserved)
		for i := range 3 {
			So(h.sendPrompt("/note/", "good", 20+i).status, ShouldEqual, 200)
		}
	})
}

// convict puts a part in quarantine, as another instance's verdict does.
func (h *harness) convict(part string) {
	h.config.Quarantine.Merge(quarantine.State{Quarantined: []quarantine.Quarantined{{Verdict: quarantine.Verdict{Part: part, Remaining: time.Minute}}}}, h.config.Clock.Now())
}

func TestQuarantineDuringRequest(t *testing.T) {
	for _, c := range []struct {
		name, path string
		first      http.HandlerFunc
		status     int
		outcome    string
	}{
		{"a request that may have run is not sent again, and its outcome is unknown", "/plan/", abortConnection, 502, "unknown"},
		{"a request that did not run is refused", "/status/", respondNotRun, 503, "quarantined-prompt"},
	} {
		Convey(c.name+" if its part was put in quarantine meanwhile", t, func() {
			var h *harness
			handle := func(w http.ResponseWriter, r *http.Request) {
				h.convict("bad")
				c.first(w, r)
			}
			h = newHarness(newFakeEndpoint("i-1", handle), newFakeEndpoint("i-2", handle))
			Reset(h.close)
			h.config.Quarantine = quarantine.New(quarantine.Config{})
			h.restart()
			resp := h.sendPrompt(c.path, "bad", 1)
			So(resp.status, ShouldEqual, c.status)
			So(resp.body, ShouldContainSubstring, c.outcome)
			So(h.requestCount(), ShouldEqual, 1)
		})
	}
}

// An instance that has just started does not know yet which requests crash endpoints.
func TestRequestsWaitUntilOthersWereAsked(t *testing.T) {
	Convey("a request that comes before another instance has named it is not sent", t, func() {
		h := newHarness(newFakeEndpoint("i-1", streamEvents(3, 0)))
		Reset(h.close)
		h.config.Quarantine = quarantine.New(quarantine.Config{})
		h.config.AwaitEvidence = func(context.Context) { h.convict("bad") }
		h.restart()
		resp := h.sendPrompt("/plan/", "bad", 1)
		So(resp.status, ShouldEqual, 503)
		So(resp.body, ShouldContainSubstring, "quarantined-prompt")
		So(h.requestCount(), ShouldEqual, 0)
		So(h.sendPrompt("/plan/", "good", 2).status, ShouldEqual, 200)
	})
}

func TestSuspectedRequestIsNotSentAgain(t *testing.T) {
	Convey("a request with a part under which other endpoints crashed is sent once, a sound one is sent again", t, func() {
		var endpoints []*fakeEndpoint
		for i := range 8 {
			endpoints = append(endpoints, crashOn(fmt.Sprintf("i-%d", i), "bad"))
		}
		h := newHarness(endpoints...)
		Reset(h.close)
		h.config.Quarantine = quarantine.New(quarantine.Config{})
		clock := h.setClock()
		So(h.sendPrompt("/note/", "good", 0).status, ShouldEqual, 200)
		for i := range 2 {
			So(h.sendPrompt("/note/", "bad", i).status, ShouldEqual, 502)
			h.awaitLogs(crashLog, i+1)
			clock.advance(time.Second)
		}
		before := h.requestCount()
		So(h.sendPrompt("/plan/", "bad", 3).status, ShouldEqual, 502)
		So(h.requestCount(), ShouldEqual, before+1)
		h.awaitLogs(crashLog, 3)
		So(h.sendPrompt("/plan/", "good", 4).status, ShouldEqual, 200)
	})
}

func TestLostConnectionsOfLiveEndpointsConvictNothing(t *testing.T) {
	for _, c := range []struct {
		name   string
		handle http.HandlerFunc
		// checks is the number of checks whether the endpoint has ended, for each request.
		checks int
	}{
		{"resets connections", abortConnection, 1},
		{"ends responses before their first event", func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
			w.WriteHeader(http.StatusOK)
			w.(http.Flusher).Flush()
			panic(http.ErrAbortHandler)
		}, 1},
		{"fails", respondWith(500, "e"), 0},
	} {
		Convey("an endpoint that "+c.name+" is alive, so its requests are no evidence", t, func() {
			e := newFakeEndpoint("i-1", c.handle)
			h := newHarness(e)
			Reset(h.close)
			h.config.Quarantine = quarantine.New(quarantine.Config{})
			clock := h.setClock()
			for i := range 8 {
				h.sendPrompt("/note/", "part", i)
				h.awaitLogs("gateway: endpoint has not ended, although requests were lost before their first event", c.checks*(i+1))
				clock.advance(5 * time.Second)
			}
			So(e.requestCount(), ShouldEqual, 8)
			So(h.config.Quarantine.Statements(clock.Now()).Crashes, ShouldBeEmpty)
		})
	}
}

func TestEndpointThatCrashesAfterItsFirstEvent(t *testing.T) {
	Convey("a part under which three endpoints crashed after the first event is in quarantine", t, func() {
		var endpoints []*fakeEndpoint
		for i := range 6 {
			e := newFakeEndpoint(fmt.Sprintf("i-%d", i), nil)
			e.handle = func(w http.ResponseWriter, r *http.Request) {
				if !strings.Contains(r.Header.Get("X-Prefix-Hash"), "bad:") {
					streamEvents(3, 0)(w, r)
					return
				}
				w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
				_, _ = io.WriteString(w, eventsUpTo(1))
				w.(http.Flusher).Flush()
				e.crash()
				panic(http.ErrAbortHandler)
			}
			endpoints = append(endpoints, e)
		}
		h := newHarness(endpoints...)
		Reset(h.close)
		clock := h.setClock()
		So(h.sendPrompt("/note/", "good", 0).status, ShouldEqual, 200)
		for i := range 3 {
			So(h.sendPrompt("/note/", "bad", i).truncated, ShouldBeTrue)
			h.awaitLogs(crashLog, i+1)
			clock.advance(time.Second)
		}
		before := h.requestCount()
		So(h.sendPrompt("/note/", "bad", 10).body, ShouldContainSubstring, "quarantined-prompt")
		So(h.requestCount(), ShouldEqual, before)
	})
}

// crashOnQuery returns an endpoint that ends when it begins to run a request with the query, and answers any other.
func crashOnQuery(id, query string) *fakeEndpoint {
	e := newFakeEndpoint(id, nil)
	e.handle = func(w http.ResponseWriter, r *http.Request) {
		if r.URL.RawQuery != query {
			respondWith(200, "ok")(w, r)
			return
		}
		e.crash()
		panic(http.ErrAbortHandler)
	}
	return e
}

func TestRequestThatCrashesEndpoints(t *testing.T) {
	for _, c := range []struct{ name, path string }{{"idempotent", "/fetch/x"}, {"non-idempotent", "/status/x"}} {
		Convey("repeats of a request that has crashed three endpoints are not sent if it is "+c.name, t, func() {
			var endpoints []*fakeEndpoint
			for i := range 8 {
				endpoints = append(endpoints, crashOnQuery(fmt.Sprintf("i-%d", i), "bad"))
			}
			h := newHarness(endpoints...)
			Reset(h.close)
			clock := h.setClock()
			send := func(path, query string, i int) response {
				return h.send("POST", path+"?"+query, "{}", map[string]string{"X-Request-Id": fmt.Sprintf("id-%s-%d", query, i)})
			}
			crashed := 0
			for i := 0; crashed < 3; i++ {
				So(send(c.path, "bad", i).status, ShouldEqual, 502)
				crashed = h.requestCount()
				h.awaitLogs(crashLog, crashed)
				clock.advance(time.Second)
			}
			So(crashed, ShouldEqual, 3)
			for i := range 3 {
				refused := send(c.path, "bad", 10+i)
				So(refused.status, ShouldEqual, 503)
				So(refused.body, ShouldContainSubstring, "quarantined-request")
				So(refused.body, ShouldContainSubstring, "not-run")
				So(refused.header.Get("Retry-After"), ShouldNotBeEmpty)
			}
			So(h.requestCount(), ShouldEqual, crashed)
			So(send(c.path, "good", 20).status, ShouldEqual, 200)
		})
	}
	Convey("a request that crashes endpoints faster than their end shows is sent to two of them", t, func() {
		var endpoints []*fakeEndpoint
		for i := range 6 {
			endpoints = append(endpoints, crashOnQuery(fmt.Sprintf("i-%d", i), "bad"))
		}
		h := newHarness(endpoints...)
		Reset(h.close)
		h.setAttempts(5)
		So(h.send("POST", "/fetch/x?bad", "{}", nil).status, ShouldEqual, 502)
		So(h.requestCount(), ShouldEqual, 2)
	})
}
