package gateway_test

import (
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"pumiceshelf/retrybudget"
)

// leaving returns a handler whose responses say that the endpoint leaves.
func leaving(handle http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Server-Leaving", "1")
		handle(w, r)
	}
}

// first returns a handler that uses one handler for the first request and another one for all further requests.
func first(handle, then http.HandlerFunc) http.HandlerFunc {
	var began atomic.Bool
	return func(w http.ResponseWriter, r *http.Request) {
		if began.Swap(true) {
			then(w, r)
		} else {
			handle(w, r)
		}
	}
}

// logged returns the number of log lines with a message.
func (h *harness) logged(message string) (n int) {
	for _, e := range h.logs.all() {
		if e.Message == message {
			n++
		}
	}
	return n
}

func TestLeavingEndpointGetsNoFurtherRequest(t *testing.T) {
	for _, c := range []struct {
		name, path string
		handle     http.HandlerFunc
		status     int
		// fromEndpoint is set if the response to the first request is the endpoint's.
		fromEndpoint bool
	}{
		{"a response", "/fetch/", respondWith(200, "x"), 200, true},
		{"an error response, after which it could be tried again", "/fetch/", respondWith(500, "e"), 500, true},
		{"an error response to a request that is not repeated", "/status/", respondWith(404, "e"), 404, true},
		{"a stream", "/note/", streamEvents(3, 0), 200, true},
		{"a stream that breaks off", "/plan/", streamEvents(3, 1), 200, true},
		{"a response that the request was not run", "/status/", respondNotRun, 503, false},
	} {
		Convey("the only endpoint gets no request after it said that it leaves in "+c.name, t, func() {
			e := newFakeEndpoint("i-1", leaving(c.handle))
			h := newHarness(e)
			Reset(h.close)
			resp := h.send("POST", c.path, "b", nil)
			So(resp.status, ShouldEqual, c.status)
			if c.fromEndpoint {
				So(resp.header.Get("Server-Leaving"), ShouldEqual, "1")
			}
			So(e.requestCount(), ShouldEqual, 1)
			refused := h.send("POST", "/fetch/", "b", nil)
			So(refused.status, ShouldEqual, 503)
			So(refused.body, ShouldContainSubstring, "no-endpoint")
			So(refused.body, ShouldContainSubstring, "not-run")
			So(refused.header.Get("Retry-After"), ShouldNotBeEmpty)
			So(e.requestCount(), ShouldEqual, 1)
			So(h.logged("gateway: endpoint is leaving"), ShouldEqual, 1)
		})
	}
	for _, c := range []struct {
		name   string
		handle http.HandlerFunc
	}{
		{"belongs to another request", respondWithOtherID}, {"comes from another endpoint at its address", misdirect},
	} {
		Convey("an endpoint gets further requests if the response that says that it leaves "+c.name, t, func() {
			e := newFakeEndpoint("i-1", first(leaving(c.handle), respondWith(200, "x")))
			h := newHarness(e)
			Reset(h.close)
			h.send("POST", "/status/", "b", nil)
			So(h.send("POST", "/status/", "b", nil).status, ShouldEqual, 200)
			So(h.logged("gateway: endpoint is leaving"), ShouldEqual, 0)
		})
	}
	Convey("Given an endpoint that has said that it leaves", t, func() {
		e := newFakeEndpoint("i-1", leaving(respondWith(200, "x")))
		other := newFakeEndpoint("i-2", respondWith(200, "x"))
		h := newHarness(e)
		Reset(h.close)
		h.send("GET", "/fetch/", "", nil)
		Reset(other.server.Close)
		listBoth := func() {
			h.endpoints = []*fakeEndpoint{e, other}
			h.list()
		}

		Convey("it gets none although its entry vanishes and comes back", func() {
			h.config.Chooser.Retain(func(string) bool { return false }, h.config.Clock.Now())
			h.list()
			So(h.send("GET", "/fetch/", "", nil).status, ShouldEqual, 503)
		})
		Convey("a new process under its ID gets requests", func() {
			e.version = "v2"
			h.list()
			So(h.send("GET", "/fetch/", "", nil).status, ShouldEqual, 200)
		})
		Convey("no stream is resumed at it", func() {
			other.handle = streamEvents(9, 3)
			listBoth()
			resp := h.send("POST", "/plan/", "b", nil)
			So(resp.truncated, ShouldBeTrue)
			So(resp.body, ShouldEqual, eventsUpTo(3))
			So(e.requestCount(), ShouldEqual, 1)
		})
		Convey("no request moves to it from a silent endpoint", func() {
			other.handle = goOnAfterSilence
			listBoth()
			h.shortenObjectives()
			h.config.RetryBudget = retrybudget.New(retrybudget.Limits{Window: h.routes.Routes[0].Timeout, Slack: 100})
			h.restart()
			resp := h.send("POST", "/plan/", "b", nil)
			So(resp.body, ShouldEqual, eventsUpTo(3))
			So([]int{e.requestCount(), other.requestCount()}, ShouldResemble, []int{1, 1})
		})
	})
	Convey("a request in progress at an endpoint goes on after it said that it leaves", t, func() {
		goOn := make(chan struct{})
		e := newFakeEndpoint("i-1", func(w http.ResponseWriter, r *http.Request) {
			if strings.HasPrefix(r.URL.Path, "/plan/") {
				<-goOn
				streamEvents(3, 0)(w, r)
				return
			}
			leaving(respondWith(200, "x"))(w, r)
		})
		h := newHarness(e)
		Reset(h.close)
		ended := make(chan response)
		go func() { ended <- h.send("POST", "/plan/", "b", nil) }()
		for e.requestCount() == 0 {
			time.Sleep(time.Millisecond)
		}
		So(h.send("GET", "/fetch/", "", nil).status, ShouldEqual, 200)
		close(goOn)
		So((<-ended).body, ShouldEqual, eventsUpTo(3))
		So(e.requestCount(), ShouldEqual, 2)
	})
}
