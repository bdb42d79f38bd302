package gateway_test

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"pumiceshelf/objectstore"
	"pumiceshelf/origin"
	"pumiceshelf/registry"
)

// evacuate makes known to the gateway that the failure domain of the given endpoints is evacuated.
func (h *harness) evacuate(evacuated ...*fakeEndpoint) {
	set := registry.NewSet()
	var list []registry.Endpoint
	for _, e := range h.endpoints {
		r := e.registration()
		for _, other := range evacuated {
			if other == e {
				r.Domain = "hall-x"
			}
		}
		list = append(list, r)
	}
	set.Replace(time.Now(), list, objectstore.Revision(1))
	h.view.Store(set.View().Without([]string{"hall-x"}))
}

// TestEvacuatedService guards against requests to evacuated endpoints, new, repeated or resumed, and against refusals that do not name
// the cause or the time to retry.
func TestEvacuatedService(t *testing.T) {
	Convey("Given two endpoints of which one fails", t, func() {
		failing, sound := newFakeEndpoint("i-1", respondWith(500, "failed")), newFakeEndpoint("i-2", streamEvents(9, 0))
		h := newHarness(failing, sound)
		Reset(h.close)

		Convey("if the domain of both is evacuated, requests are refused as not run", func() {
			h.evacuate(failing, sound)
			resp := h.send("POST", "/plan/", "b", nil)
			So(resp.status, ShouldEqual, 503)
			So(resp.body, ShouldContainSubstring, "evacuated")
			So(resp.body, ShouldContainSubstring, "not-run")
			So(resp.header.Get("Retry-After"), ShouldNotBeEmpty)
			So(h.requestCount(), ShouldEqual, 0)
			So(h.counterValue("gateway.ended.evacuated"), ShouldEqual, 1)
		})
		Convey("a repeat is not sent to the evacuated one", func() {
			h.evacuate(sound)
			So(h.send("POST", "/plan/", "b", nil).status, ShouldEqual, 500)
			So(sound.requestCount(), ShouldEqual, 0)
		})
		Convey("a resumption is not sent to the evacuated one", func() {
			h.evacuate(sound, failing)
			h.origins.origins["began"] = origin.Origin{Attempt: "began", Service: "model", Version: ""}
			resp := h.send("POST", "/plan/", "b", map[string]string{"Resumes": "began", "Last-Event-Id": "3"})
			So(resp.status, ShouldEqual, 503)
			So(resp.body, ShouldContainSubstring, "evacuated")
			So(h.requestCount(), ShouldEqual, 0)
		})
	})
}
