package gateway_test

import (
	"context"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"
	. "github.com/smartystreets/goconvey/convey"

	"pumiceshelf/endpointload"
	"pumiceshelf/instance"
	"pumiceshelf/placement"
	"pumiceshelf/prepaid"
)

// TestNoRoom guards against requests that wait at full endpoints until they are late, against refusals without need, and against
// tokens that stay reserved for a refused request.
func TestNoRoom(t *testing.T) {
	Convey("Given an endpoint that reports its load", t, func() {
		e := newFakeEndpoint("i-1", respondWith(200, "the answer"))
		h := newHarness(e)
		Reset(func() { h.close() })
		h.config.Loads = endpointload.New()
		reserved := int64(0)
		manager := prepaid.NewManager(prepaid.Config{
			Incarnation: instance.NewIncarnation("front-1"), Clock: clockwork.NewRealClock(), Log: h.config.Log, Metrics: metrics.NewRegistry(),
			PrepaidTotal: func(string) (int64, bool) { return 100_000, true }, IsTokenHolder: func() bool { return false },
			RequestAllocation: func(context.Context, string, int, int64, int64) prepaid.Allocation {
				if reserved > 0 {
					return prepaid.Allocation{Exhausted: true}
				}
				reserved = 11_000
				return prepaid.Allocation{Tokens: reserved}
			},
		})
		h.config.Budgets = manager
		h.restart()
		report := func(r endpointload.Report) { h.config.Loads.Record(e.registration(), r, time.Now()) }
		// Its prompt and output take longer than the caller waits.
		send := func() response {
			return h.send("POST", "/fetch/x", "body", map[string]string{"X-Token-Counts": "10000,800"})
		}
		full := endpointload.Report{Running: 8, Waiting: 100, Slots: 8, WorkTime: 1}

		Convey("a request that cannot meet its deadline at full endpoints is refused at once, and its tokens are released", func() {
			report(full)
			for range 20 {
				began := time.Now()
				resp := send()
				So(resp.status, ShouldEqual, 503)
				So(resp.body, ShouldContainSubstring, `"title":"no-room"`)
				So(resp.body, ShouldContainSubstring, `"outcome":"not-run"`)
				So(time.Since(began), ShouldBeLessThan, time.Second)
				after, err := strconv.ParseFloat(resp.header.Get("Retry-After"), 64)
				So(err, ShouldBeNil)
				So(after, ShouldBeGreaterThan, 0)
			}
			So(e.requestCount(), ShouldEqual, 0)
			So(h.counterValue("shed.refused.late"), ShouldEqual, 20)
			So(h.counterValue("gateway.ended.no-room"), ShouldEqual, 20)
			lines := 0
			for _, l := range h.logs.all() {
				if l.Message == "gateway: no room for a request" {
					lines++
				}
			}
			So(lines, ShouldBeBetweenOrEqual, 1, 20)

			report(endpointload.Report{Running: 2, Slots: 8, WorkTime: 1})
			time.Sleep(60 * time.Millisecond)
			So(send().status, ShouldEqual, 200)
		})
		Convey("it is sent while slots are free", func() {
			report(endpointload.Report{Running: 6, Slots: 8, WorkTime: 1})
			So(send().status, ShouldEqual, 200)
		})
		Convey("it is sent if the endpoint reports no work time", func() {
			full.WorkTime = 0
			report(full)
			So(send().status, ShouldEqual, 200)
		})
		Convey("it is sent if the report is older than 3 s", func() {
			h.config.Loads.Record(e.registration(), full, time.Now().Add(-3*time.Second))
			So(send().status, ShouldEqual, 200)
		})
		Convey("a rejection by the endpoint counts at once", func() {
			reject := func(load string) {
				e.handle = func(w http.ResponseWriter, r *http.Request) {
					if load != "" {
						w.Header().Set("X-Server-Load", load)
					}
					respondNotRun(w, r)
				}
			}
			free := endpointload.Report{Running: 6, Slots: 8, WorkTime: 1}
			Convey("with the load report of the rejection", func() {
				h.config.Chooser = placement.NewWithLoads(h.config.Limits, h.config.Loads)
				h.restart()
				report(free)
				reject("8,100,8,100")
				So(send().body, ShouldNotContainSubstring, `"title":"no-room"`)
				So(e.requestCount(), ShouldEqual, 1)
				So(send().body, ShouldContainSubstring, `"title":"no-room"`)
			})
			Convey("without one, until the next report", func() {
				full.Waiting = 300
				report(full)
				reject("")
				small := map[string]string{"X-Token-Counts": "100,10"}
				So(h.send("POST", "/fetch/x", "body", small).body, ShouldNotContainSubstring, `"title":"no-room"`)
				So(h.counterValue("shed.missed"), ShouldEqual, 1)
				sent := e.requestCount()
				So(sent, ShouldBeGreaterThan, 0)
				report(free)
				time.Sleep(60 * time.Millisecond)
				h.send("POST", "/fetch/x", "body", small)
				So(e.requestCount(), ShouldBeGreaterThan, sent)
				sent = e.requestCount()
				So(send().body, ShouldContainSubstring, `"title":"no-room"`)
				So(e.requestCount(), ShouldEqual, sent)
				report(free)
				time.Sleep(60 * time.Millisecond)
				So(send().body, ShouldNotContainSubstring, `"title":"no-room"`)
			})
		})
		Convey("it is sent if shedding is turned off", func() {
			h.config.SheddingDisabled = true
			h.restart()
			report(full)
			So(send().status, ShouldEqual, 200)
		})
	})
}
