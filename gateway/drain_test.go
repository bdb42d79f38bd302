package gateway_test

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"pumiceshelf/internal/memorynet"
)

// respondAfter returns a handler that responds after a delay, unless its request ends before.
func respondAfter(delay time.Duration, then http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-time.After(delay):
			then(w, r)
		case <-r.Context().Done():
		}
	}
}

// TestDrainingGateway guards against requests that are accepted while an instance drains and then cut off without a response.
func TestDrainingGateway(t *testing.T) {
	// drainTime is how long the gateway drains, less than the time limit of 4 s that callers name.
	const drainTime = 3 * time.Second
	play := func(delay time.Duration, then http.HandlerFunc, check func(h *harness)) {
		synctest.Test(t, func(t *testing.T) {
			Convey("", t, func() {
				network := new(memorynet.Network)
				h := newHarnessIn(network, newFakeEndpointIn(network, "i-1", respondAfter(delay, then)))
				Reset(h.close)
				check(h)
			})
		})
	}
	drain := func(h *harness) {
		h.gateway.StartDraining(time.Now().Add(drainTime))
		time.AfterFunc(drainTime, h.gateway.EndRequests)
	}
	// learn makes the duration of a request known. The gateway may still be at work on it when its caller has the response.
	learn := func(h *harness, path string) {
		So(h.send("POST", path, "b", nil).status, ShouldEqual, 200)
		for h.gateway.InFlight() > 0 {
			time.Sleep(time.Millisecond)
		}
	}
	refused := func(resp response) {
		So(resp.status, ShouldEqual, 503)
		So(resp.body, ShouldContainSubstring, "instance-stopping")
		So(resp.body, ShouldContainSubstring, "not-run")
		So(resp.header.Get("Retry-After"), ShouldNotBeEmpty)
	}
	for _, path := range []string{"/status/", "/fetch/", "/note/", "/plan/"} {
		t.Run(path, func(t *testing.T) {
			play(0, streamEvents(3, 0), func(h *harness) {
				learn(h, path)
				drain(h)
				So(h.send("POST", path, "b", nil).status, ShouldEqual, 200)
				h.gateway.StopAccepting()
				refused(h.send("POST", path, "b", nil))
				So(h.requestCount(), ShouldEqual, 2)
			})
			play(3500*time.Millisecond, streamEvents(3, 0), func(h *harness) {
				// One that lasts for longer than the instance still has is not begun.
				learn(h, path)
				drain(h)
				refused(h.send("POST", path, "b", nil))
				So(h.requestCount(), ShouldEqual, 1)
				// With a time limit that ends before the instance it may be.
				So(h.send("POST", path, "b", map[string]string{"X-Deadline-Ms": "1000"}).status, ShouldEqual, 504)
			})
			play(time.Hour, streamEvents(3, 0), func(h *harness) {
				// One in progress gets an outcome before the instance ends.
				begun := time.Now()
				time.AfterFunc(500*time.Millisecond, func() { drain(h) })
				resp := h.send("POST", path, "b", nil)
				So(resp.status, ShouldEqual, 502)
				So(resp.body, ShouldContainSubstring, "unknown")
				So(time.Since(begun), ShouldEqual, 500*time.Millisecond+drainTime)
			})
		})
	}
	t.Run("unknown duration", func(t *testing.T) {
		play(0, respondWith(200, "x"), func(h *harness) {
			drain(h)
			refused(h.send("POST", "/status/", "b", nil))
			So(h.send("POST", "/fetch/", "b", nil).status, ShouldEqual, 200)
		})
	})
	t.Run("stream that has begun", func(t *testing.T) {
		play(0, stallAfterFirstEvent, func(h *harness) {
			time.AfterFunc(500*time.Millisecond, func() { drain(h) })
			resp := h.send("POST", "/note/", "b", nil)
			So(resp.body, ShouldEqual, eventsUpTo(1))
			So(resp.truncated, ShouldBeTrue)
		})
	})
}
