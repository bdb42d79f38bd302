package gateway_test

import (
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/smartystreets/goconvey/convey"

	"pumiceshelf/retrybudget"
)

// retryAfter returns a handler whose responses have a Retry-After header.
func retryAfter(text string, handle http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Retry-After", text)
		handle(w, r)
	}
}

// useFakeClock restarts the gateway with a clock that the test advances.
func (h *harness) useFakeClock() *clockwork.FakeClock {
	clock := clockwork.NewFakeClockAt(time.Now())
	h.config.Clock = clock
	h.restart()
	return clock
}

// delay returns the Retry-After header of a response in seconds, or -1 if it has none.
func (r response) delay() float64 {
	seconds, err := strconv.ParseFloat(r.header.Get("Retry-After"), 64)
	if err != nil {
		return -1
	}
	return seconds
}

func TestPausingEndpointGetsNoRequest(t *testing.T) {
	for _, c := range []struct {
		name, path string
		handle     http.HandlerFunc
		// body is part of the response to the request that the endpoint turns away.
		body string
	}{
		{"turned a request away", "/status/", respondNotRun, "endpoints-paused"},
		{"turned a stream away", "/plan/", respondNotRun, "endpoints-paused"},
		{"failed, and the request could be sent again", "/fetch/", respondWith(503, "e"), "e"},
	} {
		Convey("Given the only endpoint, which "+c.name+" and asked for a pause", t, func() {
			e := newFakeEndpoint("i-1", first(retryAfter("2.5", c.handle), respondWith(200, "x")))
			h := newHarness(e)
			Reset(h.close)
			clock := h.useFakeClock()
			resp := h.send("POST", c.path, "b", nil)
			So(resp.status, ShouldEqual, 503)
			So(resp.body, ShouldContainSubstring, c.body)
			So(resp.delay(), ShouldBeBetweenOrEqual, 2.5, 4.5)

			Convey("others are refused as not run, and told to wait for its end at least", func() {
				clock.Advance(time.Second)
				refused := h.send("GET", "/fetch/", "", nil)
				So(refused.status, ShouldEqual, 503)
				So(refused.body, ShouldContainSubstring, "endpoints-paused")
				So(refused.body, ShouldContainSubstring, "not-run")
				So(refused.delay(), ShouldBeBetweenOrEqual, 1.5, 3.5)
				So(e.requestCount(), ShouldEqual, 1)
				So(h.counterValue("gateway.ended.endpoints-paused"), ShouldBeGreaterThan, 0)
			})
			Convey("its entry may vanish and come back", func() {
				h.config.Chooser.Retain(func(string) bool { return false }, clock.Now())
				So(h.send("GET", "/fetch/", "", nil).status, ShouldEqual, 503)
				So(e.requestCount(), ShouldEqual, 1)
			})
			Convey("it gets requests again after the pause", func() {
				clock.Advance(2499 * time.Millisecond)
				So(h.send("GET", "/fetch/", "", nil).status, ShouldEqual, 503)
				clock.Advance(time.Millisecond)
				So(h.send("GET", "/fetch/", "", nil).status, ShouldEqual, 200)
			})
			Convey("a new process under its ID gets requests", func() {
				e.version = "v2"
				h.list()
				So(h.send("GET", "/fetch/", "", nil).status, ShouldEqual, 200)
			})
			Convey("it is logged once", func() {
				h.send("GET", "/fetch/", "", nil)
				So(h.logged("gateway: endpoint asks for a pause"), ShouldEqual, 1)
			})
		})
	}
	Convey("callers are told to wait for the shortest pause if all endpoints ask for one", t, func() {
		h := newHarness(newFakeEndpoint("i-1", retryAfter("9", respondNotRun)), newFakeEndpoint("i-2", retryAfter("4", respondNotRun)))
		Reset(h.close)
		h.useFakeClock()
		So(h.send("POST", "/status/", "b", nil).delay(), ShouldBeBetweenOrEqual, 4, 6)
		So(h.send("POST", "/status/", "b", nil).delay(), ShouldBeBetweenOrEqual, 4, 6)
		So(h.requestCount(), ShouldEqual, 2)
	})
	Convey("Given an endpoint that asked for a pause and another one", t, func() {
		pausing := newFakeEndpoint("i-1", retryAfter("9", respondNotRun))
		other := newFakeEndpoint("i-2", respondWith(200, "x"))
		h := newHarness(pausing)
		Reset(h.close)
		Reset(other.server.Close)
		h.useFakeClock()
		h.send("POST", "/status/", "b", nil)
		h.endpoints = []*fakeEndpoint{pausing, other}
		h.list()

		Convey("the other one gets all requests", func() {
			for range 10 {
				So(h.send("POST", "/status/", "b", nil).status, ShouldEqual, 200)
			}
		})
		Convey("a request is sent again to the other one if that failed", func() {
			other.handle = first(respondWith(500, "e"), respondWith(200, "x"))
			So(h.send("GET", "/fetch/", "", nil).status, ShouldEqual, 200)
		})
		Convey("no stream is resumed at it", func() {
			other.handle = streamEvents(9, 3)
			So(h.send("POST", "/plan/", "b", nil).truncated, ShouldBeTrue)
		})
		Convey("no request moves to it from a silent endpoint", func() {
			other.handle = goOnAfterSilence
			h.shortenObjectives()
			h.config.RetryBudget = retrybudget.New(retrybudget.Limits{Window: h.routes.Routes[0].Timeout, Slack: 100})
			h.config.Clock = clockwork.NewRealClock()
			h.restart()
			So(h.send("POST", "/plan/", "b", nil).body, ShouldEqual, eventsUpTo(3))
		})
		So(pausing.requestCount(), ShouldEqual, 1)
	})
	Convey("a response to an earlier request does not end the pause", t, func() {
		goOn := make(chan struct{})
		var turnedAway atomic.Int32
		e := newFakeEndpoint("i-1", func(w http.ResponseWriter, r *http.Request) {
			if strings.HasPrefix(r.URL.Path, "/plan/") {
				<-goOn
				streamEvents(3, 0)(w, r)
				return
			}
			turnedAway.Add(1)
			retryAfter("9", respondNotRun)(w, r)
		})
		h := newHarness(e)
		Reset(h.close)
		h.useFakeClock()
		ended := make(chan response)
		go func() { ended <- h.send("POST", "/plan/", "b", nil) }()
		for e.requestCount() == 0 {
			time.Sleep(time.Millisecond)
		}
		h.send("POST", "/status/", "b", nil)
		close(goOn)
		So((<-ended).body, ShouldEqual, eventsUpTo(3))
		h.send("POST", "/status/", "b", nil)
		So(turnedAway.Load(), ShouldEqual, 1)
	})
	for _, text := range []string{"soon", "-1", "NaN", "1e9", "Fri, 04 Dec 2026 08:00:00 GMT"} {
		Convey("the endpoint is used again, and a line logged, if its Retry-After is "+text, t, func() {
			e := newFakeEndpoint("i-1", first(retryAfter(text, respondNotRun), respondWith(200, "x")))
			h := newHarness(e)
			Reset(h.close)
			h.send("POST", "/status/", "b", nil)
			So(h.send("POST", "/status/", "b", nil).status, ShouldEqual, 200)
			So(h.logged("gateway: endpoint asks for an invalid pause"), ShouldEqual, 1)
		})
	}
	Convey("a Retry-After that belongs to another request, or comes with another status than 503, asks for no pause", t, func() {
		for _, handle := range []http.HandlerFunc{respondWithOtherID, misdirect, respondWith(429, "e"), respondWith(500, "e")} {
			e := newFakeEndpoint("i-1", first(retryAfter("9", handle), respondWith(200, "x")))
			h := newHarness(e)
			h.send("POST", "/status/", "b", nil)
			So(h.send("POST", "/status/", "b", nil).status, ShouldEqual, 200)
			h.close()
		}
	})
}
