package gateway_test

import (
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"pumiceshelf/retrybudget"
	"pumiceshelf/routing"
)

// silenceDuration is how long a silent endpoint sends nothing, many times as long as the shortened objectives of its routes.
const silenceDuration = 300 * time.Millisecond

// goOnAfterSilence sends the first of three events, is silent for a while, and goes on.
func goOnAfterSilence(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	_, _ = w.Write([]byte(eventsUpTo(1)))
	w.(http.Flusher).Flush()
	select {
	case <-r.Context().Done():
		return
	case <-time.After(silenceDuration):
	}
	_, _ = w.Write([]byte(eventsUpTo(3)[len(eventsUpTo(1)):]))
}

// respondAfterSilence responds after a while.
func respondAfterSilence(w http.ResponseWriter, r *http.Request) {
	select {
	case <-r.Context().Done():
	case <-time.After(silenceDuration):
		respondWith(200, "x")(w, r)
	}
}

// shortenObjectives makes the gateway expect responses within a few milliseconds.
func (h *harness) shortenObjectives() {
	h.changeRoutes(func(r *routing.Route) {
		r.LatencyObjective, r.EventGapObjective = 20*time.Millisecond, 10*time.Millisecond
	})
}

// setAttempts sets the attempts of all routes.
func (h *harness) setAttempts(n int) { h.changeRoutes(func(r *routing.Route) { r.MaxAttempts = n }) }

func TestSilentEndpointKeepsItsRequestWithoutAlternative(t *testing.T) {
	for _, c := range []struct {
		name, path, body string
		handle           http.HandlerFunc
		second           *fakeEndpoint
		// change changes the harness before the request is sent.
		change func(*harness)
	}{
		{name: "a stream at the only endpoint", path: "/plan/", handle: goOnAfterSilence, body: eventsUpTo(3)},
		{name: "an idempotent request at the only endpoint", path: "/fetch/", handle: respondAfterSilence, body: "x"},
		{
			name: "a stream if the retry budget is empty", path: "/plan/", handle: goOnAfterSilence, body: eventsUpTo(3),
			second: newFakeEndpoint("i-2", goOnAfterSilence),
			change: func(h *harness) { h.config.RetryBudget = retrybudget.New(retrybudget.Limits{Window: 10 * time.Second}) },
		},
		{
			name: "a stream whose attempts are used up", path: "/plan/", handle: goOnAfterSilence, body: eventsUpTo(3),
			second: newFakeEndpoint("i-2", goOnAfterSilence), change: func(h *harness) { h.setAttempts(1) },
		},
		{
			name: "a stream if the other endpoint runs another version", path: "/plan/", handle: goOnAfterSilence, body: eventsUpTo(3),
			second: versioned("i-2", "v2", goOnAfterSilence),
			change: func(h *harness) { h.origins.versions = []string{"v1", "v2"} },
		},
	} {
		Convey("a silent endpoint goes on with "+c.name, t, func() {
			endpoints := []*fakeEndpoint{newFakeEndpoint("i-1", c.handle)}
			if c.second != nil {
				endpoints = append(endpoints, c.second)
			}
			h := newHarness(endpoints...)
			Reset(h.close)
			h.shortenObjectives()
			if c.change != nil {
				c.change(h)
			}
			h.restart()
			resp := h.send("POST", c.path, "b", nil)
			So(resp.truncated, ShouldBeFalse)
			So(resp.status, ShouldEqual, 200)
			So(resp.body, ShouldEqual, c.body)
			So(h.requestCount(), ShouldEqual, 1)
		})
	}
}
