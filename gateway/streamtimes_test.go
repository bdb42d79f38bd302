package gateway_test

import (
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"pumiceshelf/endpointload"
	"pumiceshelf/internal/memorynet"
	"pumiceshelf/placement"
)

// TestSpeedOfStreams guards against estimates that are never made, that count time which is not the engine's, and against state in
// deployments that do not share load reports.
func TestSpeedOfStreams(t *testing.T) { synctest.Test(t, testSpeedOfStreams) }

func testSpeedOfStreams(t *testing.T) {
	const first, gap, tokens = 100 * time.Millisecond, 30 * time.Millisecond, 3000
	streams := func(load string) func(w http.ResponseWriter, r *http.Request) {
		return func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
			w.Header().Set("X-Server-Stamp", "stamp")
			w.Header().Set("Content-Type", "text/event-stream")
			w.Header().Set("X-Server-Load", load)
			time.Sleep(first)
			for id := range 9 {
				_, _ = fmt.Fprintf(w, "id: %d\ndata: piece\n\n", id)
				w.(http.Flusher).Flush()
				time.Sleep(gap)
			}
		}
	}
	for _, c := range []struct {
		name, load, parts, path, after string
		loads                          *endpointload.Table
		want                           endpointload.Learned
	}{
		{"both are learned", "1,0,8", "a:6000,b:3000", "/note/x", "", endpointload.New(endpointload.ShareAllReports), endpointload.Learned{PrefillRate: tokens * float64(time.Second/first), EventGap: gap}},
		{"the first event of a request that may have waited does not count", "8,1,8", "a:6000,b:3000", "/note/x", "", endpointload.New(endpointload.ShareAllReports), endpointload.Learned{EventGap: gap}},
		{"the first event of a short prompt does not count", "1,0,8", "a:6000,b:300", "/note/x", "", endpointload.New(endpointload.ShareAllReports), endpointload.Learned{EventGap: gap}},
		{"the first event of a resumed stream does not count", "1,0,8", "a:6000,b:3000", "/plan/x", "3", endpointload.New(endpointload.ShareAllReports), endpointload.Learned{EventGap: gap}},
		{"nothing is learned where reports are not shared", "1,0,8", "a:6000,b:3000", "/note/x", "", endpointload.New(), endpointload.Learned{}},
	} {
		Convey(c.name, t, func() {
			n := &memorynet.Network{}
			e := newFakeEndpointIn(n, "i-0", streams(c.load))
			h := newHarnessIn(n, e)
			defer h.close()
			h.config.Loads, h.config.Chooser = c.loads, placement.NewWithLoads(h.config.Limits, c.loads)
			h.restart()
			for range 4 {
				resp := h.send("POST", c.path, "", map[string]string{"X-Token-Counts": "9000,60", "X-Prefix-Hash": c.parts, "Last-Event-Id": c.after})
				So(resp.status, ShouldEqual, 200)
				time.Sleep(time.Second)
			}
			view, ok := c.loads.View(e.registration(), time.Now())
			So(ok, ShouldEqual, c.want != endpointload.Learned{})
			So(view.Learned, ShouldResemble, c.want)
		})
	}
}
