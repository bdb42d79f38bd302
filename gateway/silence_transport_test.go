package gateway_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"pumiceshelf/routing"
)

// TestConnectionOutlastsAnEndpointThatReadsNothing guards against a connection that is closed because a silent endpoint does not
// read a long request for a moment.
func TestConnectionOutlastsAnEndpointThatReadsNothing(t *testing.T) {
	Convey("a long request to an endpoint that reads nothing for 1.5 s gets its response", t, func() {
		e := newFakeEndpoint("i-1", respondNotRun)
		e.server.Close()
		e.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(1500 * time.Millisecond)
			if _, err := io.Copy(io.Discard, r.Body); err == nil {
				respondWith(200, "x")(w, r)
			}
		}))
		h := newHarness(e)
		Reset(h.close)
		h.routes.Limits.BodyBytes = 16 << 20
		h.changeRoutes(func(*routing.Route) {})
		resp := h.send("POST", "/status/", strings.Repeat("b", 8<<20), nil)
		for _, entry := range h.logs.all() {
			if entry.Message == "gateway: no response from the endpoint" {
				t.Log(entry.Fields)
			}
		}
		So(resp.status, ShouldEqual, 200)
		So(resp.body, ShouldEqual, "x")
	})
}
