package gateway_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"pumiceshelf/internal/rawhttp"
	"pumiceshelf/origin"
	"pumiceshelf/placement"
	"pumiceshelf/platform"
	"pumiceshelf/registry"
	"pumiceshelf/routing"
)

// versioned returns an endpoint of a software version.
func versioned(id, version string, handle http.HandlerFunc) *fakeEndpoint {
	e := newFakeEndpoint(id, handle)
	e.version = version
	return e
}

func TestStreamGoesOnAtItsVersion(t *testing.T) {
	Convey("Given endpoints of two versions", t, func() {
		first, second := versioned("i-1", "v1", streamEvents(9, 0)), versioned("i-2", "v2", streamEvents(9, 0))
		h := newHarness(first, second)
		Reset(h.close)
		h.origins.versions = []string{"v1", "v2"}
		h.origins.origins["began"] = origin.Origin{Attempt: "began", Service: "model", Version: "v2"}
		resume := map[string]string{"Resumes": "began", "Last-Event-Id": "3"}

		Convey("a caller's resumption goes to the version that began the stream", func() {
			for range 5 {
				So(h.send("POST", "/plan/", "b", resume).body, ShouldEqual, strings.TrimPrefix(eventsUpTo(9), eventsUpTo(3)))
			}
			So([]int{first.requestCount(), second.requestCount()}, ShouldResemble, []int{0, 5})
		})
		for _, c := range []struct {
			name, title string
			change      func()
		}{
			{"of a stream whose version is not known", "origin-unknown", func() { clear(h.origins.origins) }},
			{"whose version no endpoint serves", "version-unavailable", func() {
				h.origins.origins["began"] = origin.Origin{Attempt: "began", Service: "model", Version: "v3"}
			}},
			{"whose service is no longer a target of the route", "version-unavailable", func() {
				h.origins.origins["began"] = origin.Origin{Attempt: "began", Service: "other", Version: "v2"}
			}},
			{"while the known endpoints may be outdated", "version-unavailable", func() { h.endpointsAge = func() time.Duration { return 3 * time.Second } }},
		} {
			Convey("a resumption "+c.name+" is refused as not run, with a time to retry", func() {
				c.change()
				resp := h.send("POST", "/plan/", "b", resume)
				So(resp.status, ShouldEqual, 503)
				So(resp.body, ShouldContainSubstring, c.title)
				So(resp.header.Get("Retry-After"), ShouldNotBeEmpty)
				So(h.requestCount(), ShouldEqual, 0)
			})
		}
		Convey("new streams are not affected by the age of the endpoints", func() {
			h.endpointsAge = func() time.Duration { return time.Hour }
			So(h.send("POST", "/plan/", "b", nil).body, ShouldEqual, eventsUpTo(9))
		})
		Convey("the version of a new stream is recorded", func() {
			h.send("POST", "/plan/", "b", nil)
			want := origin.Origin{Attempt: "id-1", Service: "model", Version: "v1"}
			if second.requestCount() > 0 {
				want.Version = "v2"
			}
			So(h.origins.origins["id-1"], ShouldResemble, want)
		})
	})
	Convey("a resumption of a stream whose version is not known goes on if the service had only one version for long", t, func() {
		e := versioned("i-1", "v1", streamEvents(9, 0))
		h := newHarness(e)
		Reset(h.close)
		resume := map[string]string{"Resumes": "began", "Last-Event-Id": "3"}
		So(h.send("POST", "/plan/", "b", resume).status, ShouldEqual, 200)
		h.origins.complete = false
		resume["Resumes"] = "other"
		So(h.send("POST", "/plan/", "b", resume).status, ShouldEqual, 503)
		So(e.requestCount(), ShouldEqual, 1)
	})
	Convey("within an answer, a stream is resumed only at the version that began it", t, func() {
		for _, c := range []struct {
			name      string
			versions  []string
			requests  int
			truncated bool
		}{{"another endpoint has it", []string{"v1", "v2", "v2", "v1"}, 2, false}, {"no other endpoint has it", []string{"v2", "v1", "v2"}, 1, true}} {
			Convey("if "+c.name, func() {
				var began atomic.Bool
				handle := func(w http.ResponseWriter, r *http.Request) {
					if began.Swap(true) {
						streamEvents(9, 0)(w, r)
					} else {
						streamEvents(9, 3)(w, r)
					}
				}
				var ofFirst, ofSecond int
				var endpoints []*fakeEndpoint
				for i, version := range c.versions {
					endpoints = append(endpoints, versioned(fmt.Sprint("i-", i), version, handle))
				}
				h := newHarness(endpoints...)
				Reset(h.close)
				h.origins.versions = []string{"v1", "v2"}
				h.origins.origins["began"] = origin.Origin{Attempt: "began", Service: "model", Version: "v1"}
				resp := h.send("POST", "/plan/", "b", map[string]string{"Resumes": "began", "Last-Event-Id": "0"})
				So(resp.truncated, ShouldEqual, c.truncated)
				for i, version := range c.versions {
					if version == "v1" {
						ofFirst += endpoints[i].requestCount()
					} else {
						ofSecond += endpoints[i].requestCount()
					}
				}
				So(ofFirst, ShouldEqual, c.requests)
				So(ofSecond, ShouldEqual, 0)
			})
		}
	})
	Convey("a stream whose version may be another than is known is not resumed within its answer", t, func() {
		for _, c := range []struct {
			name string
			// change is called while the stream's endpoint serves it.
			change func(h *harness, first *fakeEndpoint)
		}{
			{"the known endpoints may be outdated when it begins", func(h *harness, _ *fakeEndpoint) {
				// The store confirms them after a gap, which begins a new contact.
				h.contact = 0
				h.endpointsAge = func() time.Duration {
					// They are up to date again once the first event was received.
					if h.receivedBytes.Load() > 0 {
						return 0
					}
					return 3 * time.Second
				}
			}},
			{"its endpoint turns out to be another process", func(h *harness, first *fakeEndpoint) {
				first.version = "v2"
				h.list()
			}},
			{"its endpoint turns out to be another process, in a failure domain that is evacuated by now", func(h *harness, first *fakeEndpoint) {
				first.version = "v2"
				h.evacuate(first)
			}},
		} {
			Convey("if "+c.name, func() {
				var h *harness
				var endpoints []*fakeEndpoint
				var began atomic.Bool
				handle := func(w http.ResponseWriter, r *http.Request) {
					if began.Swap(true) {
						streamEvents(9, 0)(w, r)
						return
					}
					for _, e := range endpoints {
						if e.id == r.Header.Get("X-Expect-Instance") {
							c.change(h, e)
						}
					}
					streamEvents(3, 0)(w, r)
					for h.receivedBytes.Load() == 0 {
						time.Sleep(time.Millisecond)
					}
					panic(http.ErrAbortHandler)
				}
				endpoints = []*fakeEndpoint{versioned("i-1", "v1", handle), versioned("i-2", "v1", handle)}
				h = newHarness(endpoints...)
				Reset(h.close)
				h.origins.versions = []string{"v1", "v2"}
				resp := h.send("POST", "/plan/", "b", nil)
				So(resp.truncated, ShouldBeTrue)
				So(h.requestCount(), ShouldEqual, 1)
			})
		}
	})
	Convey("no stream is resumed at an endpoint that has just lost a connection, also while one version is known", t, func() {
		e := versioned("i-1", "v1", streamEvents(9, 3))
		h := newHarness(e)
		Reset(h.close)
		So(h.send("POST", "/plan/", "b", nil).truncated, ShouldBeTrue)
		So(e.requestCount(), ShouldEqual, 1)
		resp := h.send("POST", "/plan/", "b", map[string]string{"Resumes": "id-1", "Last-Event-Id": "3"})
		So(resp.status, ShouldEqual, 503)
		So(e.requestCount(), ShouldEqual, 1)
	})
}

// Guards against streams that are joined from two versions because an instance trusts entries of endpoints that it cannot know
// to be right (ORDER). Only one version is known in each case.
func TestStreamIsNotResumedWhileItsVersionIsUncertain(t *testing.T) {
	Convey("Given an endpoint whose version is the only one known", t, func() {
		e := versioned("i-1", "v1", streamEvents(9, 0))
		h := newHarness(e)
		Reset(h.close)
		h.origins.origins["began"] = origin.Origin{Attempt: "began", Service: "model", Version: "v1"}
		named, unnamed := map[string]string{"Resumes": "began", "Last-Event-Id": "3"}, map[string]string{"Last-Event-Id": "3"}
		uncertain := []struct {
			name   string
			change func()
		}{
			{"the instance has not reached the store lately, so that its complete history is outdated", func() { h.endpointsAge = func() time.Duration { return 3 * time.Second } }},
			{"the instance has just started and has no memory of lost connections", func() { h.contact = time.Second }},
		}
		for _, c := range uncertain {
			Convey("a resumption is refused at once if "+c.name, func() {
				c.change()
				resp := h.send("POST", "/plan/", "b", named)
				So(resp.status, ShouldEqual, 503)
				So(resp.body, ShouldContainSubstring, "version-unavailable")
				So(resp.body, ShouldContainSubstring, "not-run")
				So(h.send("POST", "/plan/", "b", unnamed).status, ShouldEqual, 503)
				So(e.requestCount(), ShouldEqual, 0)
			})
			Convey("the version of a new stream is not recorded if "+c.name, func() {
				c.change()
				So(h.send("POST", "/plan/", "b", nil).status, ShouldEqual, 200)
				So(h.origins.origins, ShouldNotContainKey, "id-1")
			})
		}
		Convey("a resumption that names no attempt is refused if an endpoint may run a version that is not listed yet", func() {
			h.origins.versions = []string{"v1", registry.UnknownVersion}
			So(h.send("POST", "/plan/", "b", unnamed).body, ShouldContainSubstring, "origin-unknown")
			So(e.requestCount(), ShouldEqual, 0)
		})
		Convey("a resumption that names no attempt goes on otherwise, and is recorded under none", func() {
			So(h.send("POST", "/plan/", "b", unnamed).status, ShouldEqual, 200)
			So(h.origins.origins, ShouldHaveLength, 1)
		})
		Convey("a resumption that names no attempt is refused if the route has several services", func() {
			h.changeRoutes(func(r *routing.Route) { r.Targets = append(r.Targets, routing.Target{Service: "other", Weight: 1}) })
			So(h.send("POST", "/plan/", "b", unnamed).body, ShouldContainSubstring, "origin-unknown")
			So(e.requestCount(), ShouldEqual, 0)
		})
	})
}

// Guards against streams that end with a broken response although their endpoint lives on and no other version is known (LOST).
func TestStreamIsResumedAtEndpointsThatBreakOffResponses(t *testing.T) {
	for _, oneVersion := range []bool{true, false} {
		Convey(fmt.Sprintf("an endpoint that lives on after a lost connection gets resumptions if it is known that one version serves: %v", oneVersion), t, func() {
			e := versioned("i-1", "v1", streamEvents(9, 3))
			h := newHarness(e)
			Reset(h.close)
			h.config.KnowsOneVersion = func(string) bool { return oneVersion }
			h.restart()
			So(h.send("POST", "/plan/", "b", nil).truncated, ShouldBeTrue)
			resume := map[string]string{"Resumes": "id-1", "Last-Event-Id": "3"}
			So(h.send("POST", "/plan/", "b", resume).status, ShouldEqual, 503)
			time.Sleep(200 * time.Millisecond)
			So(h.send("POST", "/plan/", "b", resume).status, ShouldEqual, map[bool]int{true: 200, false: 503}[oneVersion])
		})
	}
}

// Guards against an endpoint that starts again as another version while no request is in progress there, which no instance would notice:
// streams would be resumed under its outdated entry (ORDER).
func TestEndOfAnEndpointWithoutRequestsIsNoticed(t *testing.T) {
	Convey("Given an endpoint to which the instance has an idle connection", t, func() {
		e := versioned("i-1", "v1", streamEvents(3, 0))
		h := newHarness(e)
		Reset(h.close)
		So(h.send("POST", "/plan/", "b", nil).status, ShouldEqual, 200)
		losses := func() []placement.Loss {
			time.Sleep(200 * time.Millisecond)
			return h.config.Chooser.Losses(time.Now().Add(-time.Second))
		}
		Convey("its end is recorded, to be passed on to others", func() {
			e.server.Listener.Close()
			e.server.CloseClientConnections()
			So(losses(), ShouldHaveLength, 1)
			resume := map[string]string{"Resumes": "id-1", "Last-Event-Id": "2"}
			So(h.send("POST", "/plan/", "b", resume).status, ShouldEqual, 503)
		})
		Convey("an endpoint that closes the connection and lives on has not ended", func() {
			e.server.CloseClientConnections()
			So(losses(), ShouldBeEmpty)
		})
	})
}

// Guards against streams that no instance resumes for 5 s after an outage of the store, although connections to their endpoints have lasted
// (LOST), and against streams that go on at an endpoint that may have started again meanwhile (ORDER).
func TestStreamIsResumedWhereConnectionsLasted(t *testing.T) {
	Convey("Given an endpoint that was certain, and the store away", t, func() {
		e := versioned("i-1", "v1", streamEvents(9, 0))
		h := newHarness(e)
		Reset(h.close)
		h.origins.origins["began"] = origin.Origin{Attempt: "began", Service: "model", Version: "v1"}
		resume := map[string]string{"Resumes": "began", "Last-Event-Id": "3"}
		resumed := func() bool {
			resp := h.send("POST", "/plan/", "b", resume)
			So(resp.status, ShouldBeIn, 200, 503)
			return resp.status == 200
		}
		begin := func() { So(h.send("POST", "/plan/", "b", nil).status, ShouldEqual, 200) }
		away := func() { h.endpointsAge = func() time.Duration { return 4 * time.Second } }
		Convey("a stream is resumed while a connection lasts that was open before", func() {
			begin()
			away()
			for range 3 {
				So(resumed(), ShouldBeTrue)
			}
			// The store has just responded again.
			h.endpointsAge, h.contact = func() time.Duration { return 0 }, time.Second
			So(resumed(), ShouldBeTrue)
		})
		Convey("a stream is not resumed if no connection was open while the endpoint was certain", func() {
			away()
			begin()
			So(resumed(), ShouldBeFalse)
		})
		Convey("a stream is not resumed once the connection has ended", func() {
			begin()
			away()
			e.server.CloseClientConnections()
			time.Sleep(50 * time.Millisecond)
			So(resumed(), ShouldBeFalse)
			begin()
			So(resumed(), ShouldBeFalse)
		})
		Convey("a stream is not resumed if the endpoint is listed as another process", func() {
			begin()
			away()
			e.version = "v2"
			h.list()
			So(resumed(), ShouldBeFalse)
			h.origins.origins["began"] = origin.Origin{Attempt: "began", Service: "model", Version: "v2"}
			So(resumed(), ShouldBeFalse)
		})
		Convey("a stream is not resumed after this instance was suspended", func() {
			begin()
			away()
			h.gateway.ForgetProcesses()
			So(resumed(), ShouldBeFalse)
		})
	})
}

// reportStart returns a handler that says when the process of an endpoint started.
func reportStart(unixMilli int64) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		_, _ = fmt.Fprintf(w, `{"running":1,"born":%d}`, unixMilli)
	}
}

// Guards against streams that no instance resumes, or whose origin none records, for seconds after connections were lost, although their
// endpoints live on and say so (LOST), and against streams that go on at an endpoint that does not (ORDER).
func TestStreamsGoOnWhereEndpointsConfirmTheirEntries(t *testing.T) {
	const started = 1_700_000_000_000
	for _, c := range []struct {
		name   string
		report http.HandlerFunc
		goesOn bool
	}{
		{"confirms its entry", reportStart(started), true},
		{"confirms its entry on a connection that it closes", func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Connection", "close")
			reportStart(started)(w, r)
		}, true},
		{"says that it started later", reportStart(started + 1), false},
		{"does not say when it started", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, `{"running":1}`) }, false},
		{"says something else", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, `{"born":"today"}`) }, false},
		{"is another one than expected", respondWith(http.StatusMisdirectedRequest, ""), false},
		{"breaks off its report", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "100")
			_, _ = fmt.Fprintf(w, `{"born":%d}`, int64(started))
		}, false},
		{"confirms its entry in a report with a blank in the name of a field", func(w http.ResponseWriter, _ *http.Request) {
			rawhttp.WriteAndEnd(w, fmt.Sprintf("HTTP/1.1 200 OK\r\nX Foo: 1\r\nContent-Length: 22\r\n\r\n{\"born\":%d}", int64(started)), false)
		}, false},
		{"has no report", nil, false},
		{"does not respond", func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }, false},
	} {
		Convey("Given two versions in service, and an endpoint that "+c.name, t, func() {
			e := versioned("i-1", "v1", streamEvents(9, 3))
			e.report, e.started = c.report, started
			h := newHarness(e)
			Reset(h.close)
			h.config.Reports = platform.Reports{}
			h.restart()
			resume := map[string]string{"Resumes": "id-1", "Last-Event-Id": "3"}
			recorded := func() bool {
				h.origins.mu.Lock()
				defer h.origins.mu.Unlock()
				_, ok := h.origins.origins["id-1"]
				return ok
			}

			Convey("a stream that it broke off is resumed there only if it confirms", func() {
				h.changeRoutes(func(r *routing.Route) { r.MaxAttempts = 1 })
				So(h.send("POST", "/plan/", "b", nil).truncated, ShouldBeTrue)
				resp := h.send("POST", "/plan/", "b", resume)
				if c.goesOn {
					// It breaks off each stream.
					So(resp.truncated, ShouldBeTrue)
					So(e.requestCount(), ShouldEqual, 2)
				} else {
					So(resp.status, ShouldEqual, 503)
					So(resp.body, ShouldContainSubstring, "version-unavailable")
					So(e.requestCount(), ShouldEqual, 1)
				}
			})
			Convey("a stream that began before the instance was in contact for long is recorded only if it confirms", func() {
				h.contact = time.Second
				e.handle = streamEvents(3, 0)
				So(h.send("POST", "/plan/", "b", nil).status, ShouldEqual, 200)
				time.Sleep(100 * time.Millisecond)
				So(recorded(), ShouldEqual, c.goesOn)
				So(h.origins.records, ShouldBeLessThanOrEqualTo, 1)
			})
		})
	}
	Convey("an endpoint that refuses a report once is asked again", t, func() {
		e := versioned("i-1", "v1", streamEvents(9, 3))
		var asked atomic.Int64
		e.report, e.started = func(w http.ResponseWriter, r *http.Request) {
			if asked.Add(1) == 1 {
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			reportStart(started)(w, r)
		}, started
		h := newHarness(e)
		Reset(h.close)
		h.config.Reports = platform.Reports{}
		h.restart()
		h.changeRoutes(func(r *routing.Route) { r.MaxAttempts = 1 })
		So(h.send("POST", "/plan/", "b", nil).truncated, ShouldBeTrue)
		time.Sleep(600 * time.Millisecond)
		So(h.send("POST", "/plan/", "b", map[string]string{"Resumes": "id-1", "Last-Event-Id": "3"}).truncated, ShouldBeTrue)
	})
	Convey("an endpoint that confirmed its entry is asked again after another connection to it was lost", t, func() {
		e := versioned("i-1", "v1", streamEvents(9, 3))
		var asked atomic.Int64
		confirm := reportStart(started)
		e.report, e.started = func(w http.ResponseWriter, r *http.Request) {
			asked.Add(1)
			confirm(w, r)
		}, started
		h := newHarness(e)
		Reset(h.close)
		h.config.Reports = platform.Reports{}
		h.restart()
		h.changeRoutes(func(r *routing.Route) { r.MaxAttempts = 1 })
		So(h.send("POST", "/plan/", "b", nil).truncated, ShouldBeTrue)
		for range 3 {
			before := asked.Load()
			So(h.send("POST", "/plan/", "b", map[string]string{"Resumes": "id-1", "Last-Event-Id": "3"}).truncated, ShouldBeTrue)
			So(asked.Load(), ShouldBeGreaterThan, before)
		}
		confirm = reportStart(started + 1)
		So(h.send("POST", "/plan/", "b", map[string]string{"Resumes": "id-1", "Last-Event-Id": "3"}).status, ShouldEqual, 503)
	})
}
