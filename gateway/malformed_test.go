package gateway_test

import (
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"

	. "github.com/smartystreets/goconvey/convey"

	"pumiceshelf/internal/rawhttp"
)

// Guards against a response whose status is none, and that reaches the caller (MIXED) or tells what counts (REFUSED, TWICE).
func TestResponsesWithMalformedStatuses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) { checkMalformed(t, rawhttp.MalformedStatuses) })
}

// checkMalformed checks that responses of endpoints, to first and to standby attempts, and of other instances count as lost.
func checkMalformed(t *testing.T, malformed func(fields, body string) map[string]string) {
	const body = "data: 1\n\n"
	responses := malformed(cutFields, body)
	for name, raw := range malformed(cutFields+"X-Not-Run: 1\r\n", "") {
		responses[name+" that says that the request has not run"] = raw
	}
	for name, raw := range responses {
		send := func(w http.ResponseWriter, _ *http.Request) { rawhttp.WriteAndEnd(w, raw, false) }
		isLost := func(resp response) {
			So(resp.status, ShouldEqual, 502)
			So(resp.body, ShouldContainSubstring, "unknown")
		}
		Convey(fmt.Sprintf("a response %s is lost, and only what may be repeated is sent again: %q", name, raw), t, func() {
			for _, path := range []string{"/status/", "/note/"} {
				h := newCutHarness(2, send)
				isLost(h.send("POST", path, "", map[string]string{"X-Token-Counts": "100,80"}))
				So(h.requestCount(), ShouldEqual, 1)
				So(h.chargedTokens("id-1"), ShouldEqual, 100)
				h.close()
			}
			for path, whole := range map[string]string{"/fetch/": body, "/plan/": eventsUpTo(3)} {
				resp, requests := sendCut(2, "POST", path, nil, send, respondWith(200, whole))
				So(resp, ShouldResemble, response{status: 200, header: resp.header, body: whole})
				So(requests, ShouldEqual, 2)
				resp, _ = sendCut(2, "POST", path, nil, send)
				isLost(resp)
			}
		})
		Convey(fmt.Sprintf("a response of another instance %s is lost: %q", name, raw), t, func() {
			for _, path := range []string{"/status/", "/fetch/", "/note/", "/plan/"} {
				resp, requests := delegateCut("POST", path, raw, false)
				isLost(resp)
				So(requests, ShouldEqual, 1)
			}
		})
		Convey(fmt.Sprintf("a response %s ends a standby attempt: %q", name, raw), t, func() {
			for _, path := range []string{"/fetch/", "/plan/"} {
				var h *harness
				h = newStandbyHarness(silentUntil(func(r *http.Request) { h.awaitLog(r, logStandbyDropped) }), send)
				resp := h.send("POST", path, "b", nil)
				So(resp.status, ShouldEqual, 200)
				So(resp.truncated, ShouldBeFalse)
				So(resp.body, ShouldNotContainSubstring, body)
				h.checkEnded()
			}
		})
	}
}
