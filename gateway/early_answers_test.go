package gateway_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"pumiceshelf/routing"
)

// uploadBytes is more than the buffers of a loopback connection hold, so that the upload is still being sent when an early response begins.
const uploadBytes = 12 << 20

// newUploadHarness returns a gateway with two endpoints that get the heads of requests only. The first request is handled by first, all others
// by later.
func newUploadHarness(first, later http.HandlerFunc) *harness {
	var requests atomic.Int32
	var endpoints []*fakeEndpoint
	for _, id := range []string{"i-1", "i-2"} {
		e := &fakeEndpoint{id: id, version: "v1"}
		e.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			e.mu.Lock()
			e.requests = append(e.requests, r)
			e.mu.Unlock()
			if requests.Add(1) == 1 {
				first(w, r)
				return
			}
			later(w, r)
		}))
		endpoints = append(endpoints, e)
	}
	h := newHarness(endpoints...)
	h.routes.Limits.BodyBytes = uploadBytes
	// Uploads take long on a busy machine, and must neither be moved nor end with the time of the request.
	h.changeRoutes(func(r *routing.Route) { r.Timeout, r.LatencyObjective = time.Minute, time.Minute })
	return h
}

// respondEarly returns a handler that sends a response without a length before it has the body of the request, and then resets the connection
// or closes it.
func respondEarly(body string, reset bool) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(err)
		}
		_, _ = io.WriteString(conn, unframedHead+"\r\n"+body)
		// The gateway receives the response before the connection ends.
		time.Sleep(2 * time.Millisecond)
		if reset {
			_ = conn.(*net.TCPConn).SetLinger(0)
		}
		_ = conn.Close()
	}
}

// respondAfterUpload returns a handler that sends a response without a length once it has the body of the request.
func respondAfterUpload(body string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		respondRaw(rawResponse{body: body})(w, r)
	}
}

func (h *harness) upload(path string) response {
	return h.send("POST", path, strings.Repeat("x", uploadBytes), map[string]string{"X-Token-Counts": "100,80", "X-Deadline-Ms": "60000"})
}

// Guards against a part of a response that is passed on as the whole one because the connection was reset during the upload.
func TestEarlyResponsesToUploads(t *testing.T) {
	const tries = 3
	bodies := map[string]string{"events": eventsUpTo(3), "text": "a part of the body\n\n"}
	for ending, reset := range map[string]bool{"reset": true, "closed": false} {
		for kind, body := range bodies {
			for _, path := range []string{"/status/", "/fetch/", "/note/", "/plan/"} {
				Convey(fmt.Sprintf("%s on a connection that is %s during the upload to %s are not a whole response", kind, ending, path), t, func() {
					for range tries {
						h := newUploadHarness(respondEarly(body, reset), respondEarly(body, reset))
						resp := h.upload(path)
						So(resp.truncated || resp.status == 502 && strings.Contains(resp.body, "unknown"), ShouldBeTrue)
						So(h.chargedTokens("id-1"), ShouldBeGreaterThanOrEqualTo, 100)
						if path == "/status/" || path == "/note/" {
							So(h.requestCount(), ShouldEqual, 1)
						}
						h.close()
					}
				})
			}
			Convey(fmt.Sprintf("a request that may be repeated gets its response from another endpoint after %s on a connection that is %s", kind, ending), t, func() {
				h := newUploadHarness(respondEarly(body, reset), respondAfterUpload("the body"))
				Reset(h.close)
				resp := h.upload("/fetch/")
				So(resp, ShouldResemble, response{status: 200, header: resp.header, body: "the body"})
				So(h.requestCount(), ShouldEqual, 2)
			})
		}
	}
	for kind, body := range bodies {
		Convey("a response of "+kind+" without a length after the whole upload passes whole and once", t, func() {
			for _, path := range []string{"/status/", "/fetch/", "/note/", "/plan/"} {
				if kind == "text" && (path == "/note/" || path == "/plan/") {
					continue
				}
				for range tries {
					h := newUploadHarness(respondAfterUpload(body), respondAfterUpload(body))
					resp := h.upload(path)
					So(resp, ShouldResemble, response{status: 200, header: resp.header, body: body})
					So(h.requestCount(), ShouldEqual, 1)
					h.close()
				}
			}
		})
	}
}
