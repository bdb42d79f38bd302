package gateway_test

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"pumiceshelf/prepaid"
	"pumiceshelf/routing"
)

func TestPassThrough(t *testing.T) {
	Convey("a request reaches an endpoint byte for byte, and its answer the caller", t, func() {
		e := newEndpoint("i-1", answers(201, "the answer"))
		r := newRig(e)
		Reset(r.close)
		a := r.send("POST", "/fetch/a%2Fb/../c?x=1&y=%20", "the body", map[string]string{"X-Own": "kept", "X-Tenant": "forged", "X-Hold": "forged"})
		So(a.status, ShouldEqual, 201)
		So(a.body, ShouldEqual, "the answer")
		So(a.header.Get("X-Server-Stamp"), ShouldEqual, "stamp")
		So(a.header.Get("X-Request-Id"), ShouldEqual, "id-1")
		seen := e.seen[0]
		So(seen.Method, ShouldEqual, "POST")
		So(seen.RequestURI, ShouldEqual, "/fetch/a%2Fb/../c?x=1&y=%20")
		So(seen.Host, ShouldEqual, "a.example")
		So(e.bodies[0], ShouldEqual, "the body")
		So(seen.Header.Get("X-Tenant"), ShouldEqual, "alwusta")
		So(seen.Header.Get("X-Expect-Instance"), ShouldEqual, "i-1")
		So(seen.Header.Get("X-Own"), ShouldEqual, "kept")
		So(seen.Header, ShouldNotContainKey, "Api-Key")
		So(seen.Header, ShouldNotContainKey, "X-Hold")
		ms, err := strconv.Atoi(seen.Header.Get("X-Deadline-Ms"))
		So(err, ShouldBeNil)
		So(ms, ShouldBeBetweenOrEqual, 1, 4000)
	})
	Convey("requests that are not served get their reason, and reach no endpoint", t, func() {
		e := newEndpoint("i-1", answers(200, "x"))
		r := newRig(e)
		Reset(r.close)
		for _, c := range []struct {
			name, path, body string
			header           map[string]string
			status           int
			title            string
		}{
			{"no route", "/other/", "", nil, 404, "no-route"},
			{"unknown key", "/fetch/", "", map[string]string{"Api-Key": "other"}, 401, "unknown-key"},
			{"no key", "/fetch/", "", map[string]string{"Api-Key": ""}, 401, "unknown-key"},
			{"no id", "/fetch/", "", map[string]string{"X-Request-Id": ""}, 400, "malformed"},
			{"bad deadline", "/fetch/", "", map[string]string{"X-Deadline-Ms": "soon"}, 400, "malformed"},
			{"large header", "/fetch/", "", map[string]string{"X-Own": strings.Repeat("x", 3000)}, 431, "too-large"},
			{"large body", "/fetch/", strings.Repeat("x", 1001), nil, 413, "too-large"},
		} {
			a := r.send("POST", c.path, c.body, c.header)
			SoMsg(c.name, a.status, ShouldEqual, c.status)
			SoMsg(c.name, a.body, ShouldContainSubstring, c.title)
			SoMsg(c.name, a.body, ShouldContainSubstring, "not-run")
			SoMsg(c.name, a.header, ShouldNotContainKey, "X-Server-Stamp")
		}
		So(r.runs(), ShouldEqual, 0)
		So(r.send("GET", "/public/", "", map[string]string{"Api-Key": ""}).status, ShouldEqual, 200)
	})
	Convey("an instance that knows no configuration answers 503, never 401 or 404", t, func() {
		r := newRig(newEndpoint("i-1", answers(200, "x")))
		Reset(r.close)
		r.table.Store(nil)
		a := r.send("GET", "/fetch/", "", nil)
		So(a.status, ShouldEqual, 503)
		So(a.header.Get("Retry-After"), ShouldNotBeEmpty)
	})
}

func TestRepeats(t *testing.T) {
	for _, c := range []struct {
		name, path    string
		first, second http.HandlerFunc
		status, runs  int
		retryAfter    bool
	}{
		{"idempotent after a crash", "/fetch/", crashes, answers(200, "x"), 200, 2, false},
		{"idempotent after an error", "/fetch/", answers(500, "e"), answers(200, "x"), 200, 2, false},
		{"idempotent, both fail: the last answer goes on", "/fetch/", answers(500, "e"), answers(500, "e"), 500, 2, false},
		{"not idempotent after a crash: unknown, and no second run", "/status/", crashes, crashes, 502, 1, false},
		{"not idempotent after an error: that answer", "/status/", answers(500, "e"), answers(500, "e"), 500, 1, false},
		{"not idempotent after not run: another", "/status/", refuses, refuses, 503, 2, true},
		{"a stream that may not be resumed, cut before its first event", "/note/", crashes, crashes, 502, 1, false},
		{"a stream that may be resumed, cut before its first event", "/plan/", crashes, streams(3, 0), 200, 2, false},
		{"an answer of another request is dropped", "/fetch/", crossed, answers(200, "x"), 200, 2, false},
		{"an answer of another request, not idempotent: unknown", "/status/", crossed, crossed, 502, 1, false},
		{"an answer shorter than it says is dropped", "/fetch/", short, answers(200, "x"), 200, 2, false},
		{"an endpoint that is another one now", "/status/", moved, moved, 503, 2, true},
	} {
		Convey(c.name, t, func() {
			// Whichever endpoint is chosen first takes the first part.
			var turn atomic.Int32
			handle := func(w http.ResponseWriter, r *http.Request) {
				if turn.Add(1) == 1 {
					c.first(w, r)
				} else {
					c.second(w, r)
				}
			}
			r := newRig(newEndpoint("i-1", handle), newEndpoint("i-2", handle))
			Reset(r.close)
			a := r.send("POST", c.path, "b", nil)
			So(a.status, ShouldEqual, c.status)
			So(r.runs(), ShouldEqual, c.runs)
			So(a.header.Get("Retry-After") != "", ShouldEqual, c.retryAfter)
			if c.status == 502 {
				So(a.body, ShouldContainSubstring, "unknown")
			}
		})
	}
	for _, c := range []struct {
		name          string
		first, second http.HandlerFunc
		status        int
		body          string
	}{
		{"is tried there again after an error", answers(500, "e"), answers(200, "x"), 200, "x"},
		{"gets the endpoint's own error when that is all there is", answers(500, "e"), answers(500, "e again"), 500, "e again"},
		{"gets the endpoint's own error when it ran nothing the second time", answers(500, "e"), refuses, 500, "e"},
	} {
		Convey("an idempotent request of a service with one endpoint "+c.name, t, func() {
			var turn atomic.Int32
			r := newRig(newEndpoint("i-1", func(w http.ResponseWriter, r *http.Request) {
				if turn.Add(1) == 1 {
					c.first(w, r)
				} else {
					c.second(w, r)
				}
			}))
			Reset(r.close)
			a := r.send("GET", "/fetch/", "", nil)
			So(a.status, ShouldEqual, c.status)
			So(a.body, ShouldEqual, c.body)
			So(a.header.Get("X-Server-Stamp"), ShouldNotBeEmpty)
			So(r.runs(), ShouldEqual, 2)
		})
	}
	Convey("an endpoint that cannot be reached was sent nothing, so that any request goes to another", t, func() {
		e := newEndpoint("i-1", answers(200, "x"))
		dead := newEndpoint("i-2", nil)
		dead.server.Close()
		r := newRig(e, dead)
		Reset(r.close)
		for range 6 {
			So(r.send("POST", "/status/", "b", nil).status, ShouldEqual, 200)
		}
		So(r.runs(), ShouldEqual, 6)
	})
}

func crossed(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("X-Request-Id", "id-2")
	w.Header().Set("X-Server-Stamp", "stamp")
	_, _ = io.WriteString(w, "of another request")
}

func short(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	w.Header().Set("Content-Length", "100")
	_, _ = io.WriteString(w, "part")
	w.(http.Flusher).Flush()
	panic(http.ErrAbortHandler)
}

func moved(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusMisdirectedRequest) }

// silent takes the request and says nothing until its connection ends.
func silent(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }

// mute sends some events and then nothing more.
func mute(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	_, _ = io.WriteString(w, "id: 1\ndata: piece 1\n\n")
	w.(http.Flusher).Flush()
	<-r.Context().Done()
}

func TestSilence(t *testing.T) {
	for _, c := range []struct {
		name, path string
		first      http.HandlerFunc
		second     http.HandlerFunc
		status     int
		body       string
		runs       int
	}{
		{"an idempotent request goes to another endpoint", "/fetch/", silent, answers(200, "x"), 200, "x", 2},
		{"a resumable stream goes on elsewhere after a pause", "/plan/", mute, streams(2, 0), 200, "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\n", 2},
		{"another request is never sent again", "/status/", silent, answers(200, "x"), 504, "unknown", 1},
	} {
		Convey("when an endpoint falls silent, "+c.name, t, func() {
			var turn atomic.Int32
			handle := func(w http.ResponseWriter, r *http.Request) {
				if turn.Add(1) == 1 {
					c.first(w, r)
				} else {
					c.second(w, r)
				}
			}
			r := newRig(newEndpoint("i-1", handle), newEndpoint("i-2", handle))
			Reset(r.close)
			config := testConfig()
			for i := range config.Routes {
				config.Routes[i].LatencyObjective, config.Routes[i].GapObjective = 20*time.Millisecond, 10*time.Millisecond
				config.Routes[i].Timeout = 500 * time.Millisecond
			}
			r.table.Store(routing.Compile(config))
			a := r.send("POST", c.path, "b", nil)
			So(a.status, ShouldEqual, c.status)
			So(a.body, ShouldContainSubstring, c.body)
			So(r.runs(), ShouldEqual, c.runs)
		})
	}
}

func TestStreams(t *testing.T) {
	whole := func(last int) string {
		var b strings.Builder
		for id := 1; id <= last; id++ {
			b.WriteString("id: " + strconv.Itoa(id) + "\ndata: piece " + strconv.Itoa(id) + "\n\n")
		}
		return b.String()
	}
	Convey("a stream goes on at another endpoint within the same answer, without a piece lost, doubled or halved", t, func() {
		var turn atomic.Int32
		handle := func(w http.ResponseWriter, r *http.Request) {
			if turn.Add(1) < 3 {
				streams(9, 3)(w, r)
			} else {
				streams(9, 0)(w, r)
			}
		}
		r := newRig(newEndpoint("i-1", handle), newEndpoint("i-2", handle), newEndpoint("i-3", handle))
		Reset(r.close)
		a := r.send("POST", "/plan/", "b", nil)
		So(a.cut, ShouldBeFalse)
		So(a.body, ShouldEqual, whole(9))
		So(r.runs(), ShouldEqual, 3)
	})
	Convey("one that may not go on ends visibly cut, after whole pieces only", t, func() {
		r := newRig(newEndpoint("i-1", streams(9, 3)), newEndpoint("i-2", streams(9, 3)))
		Reset(r.close)
		a := r.send("POST", "/note/", "b", nil)
		So(a.cut, ShouldBeTrue)
		So(a.body, ShouldEqual, whole(3))
		So(r.runs(), ShouldEqual, 1)
	})
	Convey("attempts are bounded", t, func() {
		r := newRig(newEndpoint("i-1", streams(99, 1)), newEndpoint("i-2", streams(99, 1)), newEndpoint("i-3", streams(99, 1)), newEndpoint("i-4", streams(99, 1)))
		Reset(r.close)
		a := r.send("POST", "/plan/", "b", nil)
		So(a.cut, ShouldBeTrue)
		So(r.runs(), ShouldEqual, 3)
		So(a.body, ShouldEqual, whole(3))
	})
	Convey("a caller's own Last-Event-Id is passed on", t, func() {
		r := newRig(newEndpoint("i-1", streams(5, 0)))
		Reset(r.close)
		a := r.send("POST", "/plan/", "b", map[string]string{"Last-Event-Id": "3"})
		So(a.body, ShouldEqual, strings.TrimPrefix(whole(5), whole(3)))
	})
}

func TestBudgets(t *testing.T) {
	Convey("a generation reserves its most, and one that does not fit is refused without running", t, func() {
		r := newRig(newEndpoint("i-1", streams(5, 0)))
		Reset(r.close)
		counts := map[string]string{"X-Token-Counts": "100,80"}
		So(r.send("POST", "/plan/", "b", counts).status, ShouldEqual, 200)
		So(r.budgets.reserved.Load(), ShouldEqual, int64(180))
		for _, c := range []struct {
			outcome prepaid.Outcome
			status  int
		}{{prepaid.Exhausted, 402}, {prepaid.Unavailable, 503}} {
			r.budgets.outcome = c.outcome
			a := r.send("POST", "/plan/", "b", counts)
			So(a.status, ShouldEqual, c.status)
			So(a.header.Get("Retry-After") != "", ShouldEqual, c.status == 503)
		}
		So(r.runs(), ShouldEqual, 1)
		So(r.count("gateway.ended.budget-exhausted"), ShouldEqual, int64(1))
	})
}

func TestCharges(t *testing.T) {
	for _, c := range []struct {
		name, path string
		handle     http.HandlerFunc
		want       int64
	}{
		{"the prompt once and the events that were delivered, of 4 tokens each", "/plan/", streams(5, 0), 120},
		{"never more than its most", "/plan/", streams(50, 0), 180},
		{"what went on elsewhere: the prompt once", "/plan/", streams(5, 2), 120},
		{"a cut stream: what was delivered", "/note/", streams(9, 3), 112},
		{"a lost answer: the prompt, which may have been read", "/note/", crashes, 100},
		{"not run: nothing", "/note/", refuses, 0},
	} {
		Convey("a request is charged "+c.name, t, func() {
			r := newRig(newEndpoint("i-1", c.handle), newEndpoint("i-2", c.handle), newEndpoint("i-3", c.handle))
			Reset(r.close)
			r.send("POST", c.path, "b", map[string]string{"X-Token-Counts": "100,80"})
			So(r.charged("id-1"), ShouldEqual, c.want)
		})
	}
}

func TestCallerLeaves(t *testing.T) {
	Convey("when a caller leaves, the endpoint is told at once and no other one gets the request", t, func() {
		arrived, left := make(chan struct{}), make(chan struct{})
		handle := func(_ http.ResponseWriter, r *http.Request) {
			close(arrived)
			<-r.Context().Done()
			close(left)
		}
		r := newRig(newEndpoint("i-1", handle), newEndpoint("i-2", handle))
		Reset(r.close)
		// Nothing but the caller's leaving ends this request: no timeout, and no watch for silence on such a route.
		config := testConfig()
		for i := range config.Routes {
			config.Routes[i].Timeout = time.Hour
		}
		r.table.Store(routing.Compile(config))
		ctx, leave := context.WithCancel(context.Background())
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, r.server.URL+"/status/", nil)
		So(err, ShouldBeNil)
		req.Host = "a.example"
		req.Header.Set("X-Request-Id", "id-1")
		req.Header.Set("Api-Key", "key")
		ended := make(chan error, 1)
		go func() {
			_, err := http.DefaultClient.Do(req)
			ended <- err
		}()
		<-arrived
		leave()
		<-left
		So(<-ended, ShouldNotBeNil)
		for r.count("gateway.ended.caller-left") == 0 {
			time.Sleep(time.Millisecond)
		}
		So(r.runs(), ShouldEqual, 1)
	})
}

func TestEnginePriority(t *testing.T) {
	Convey("the customer's rank counts first, the route's within it", t, func() {
		// Through the header that an engine gets.
		e := newEndpoint("i-1", streams(1, 0))
		r := newRig(e)
		Reset(r.close)
		rank := 0
		for _, c := range []struct {
			customer *int
			route    int
			want     string
		}{{nil, 0, "3"}, {nil, 1, "4"}, {&rank, 1, "1"}, {nil, 7, "5"}} {
			config := testConfig()
			config.Customers[0].Priority = c.customer
			for i := range config.Routes {
				config.Routes[i].Priority = c.route
			}
			r.table.Store(routing.Compile(config))
			So(r.send("POST", "/plan/", "b", nil).status, ShouldEqual, 200)
			So(e.seen[len(e.seen)-1].Header.Get("X-Request-Priority"), ShouldEqual, c.want)
		}
	})
}
