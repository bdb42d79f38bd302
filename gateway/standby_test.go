package gateway_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"pumiceshelf/internal/memorynet"
	"pumiceshelf/placement"
	"pumiceshelf/registry"
	"pumiceshelf/retrybudget"
	"pumiceshelf/routing"
)

const (
	logStandbySent    = "gateway: standby attempt sent"
	logStandbyDropped = "gateway: standby attempt dropped"
	logTakesOver      = "gateway: standby attempt takes over"
	logStays          = "gateway: request stays at a silent endpoint"
	// minStall is the shortest silence after which a gateway sends a second attempt.
	minStall = 40 * time.Millisecond
)

// loggedReasons returns the reasons of all log entries with a message.
func (h *harness) loggedReasons(message string) (reasons []string) {
	for _, e := range h.logs.all() {
		if e.Message == message {
			reason, _ := e.Fields["reason"].(string)
			reasons = append(reasons, reason)
		}
	}
	return reasons
}

// awaitLog waits until there is a log entry with the message, or the request ends.
func (h *harness) awaitLog(r *http.Request, message string) {
	for r.Context().Err() == nil && len(h.loggedReasons(message)) == 0 {
		time.Sleep(time.Millisecond)
	}
}

// checkEnded checks that all requests ended, with all their attempts.
func (h *harness) checkEnded() {
	for h.gateway.InFlight() > 0 {
		time.Sleep(time.Millisecond)
	}
	So(len(h.loggedReasons(logStandbySent)), ShouldEqual, len(h.loggedReasons(logStandbyDropped))+len(h.loggedReasons(logTakesOver)))
	later := time.Now().Add(time.Hour)
	for _, e := range h.endpoints {
		idle := placement.Request{Service: "model", RespondedWithin: 1}
		choice := h.config.Chooser.Pick([]registry.Endpoint{e.registration()}, idle, nil, later)
		So(choice.Outcome, ShouldEqual, placement.Chosen)
		choice.Ticket.Done(placement.Canceled, later)
	}
}

// ended returns a field of the log entry for the end of the only request.
func (h *harness) ended(field string) any {
	for _, e := range h.logs.all() {
		if e.Message == "gateway: request ended" {
			return e.Fields[field]
		}
	}
	return nil
}

// newStandbyHarness returns a gateway that prefers the first of the endpoints, and soon sends a second attempt if that is silent.
func newStandbyHarness(handlers ...http.HandlerFunc) *harness {
	network := new(memorynet.Network)
	var endpoints []*fakeEndpoint
	for i, handle := range handlers {
		endpoints = append(endpoints, newFakeEndpointIn(network, fmt.Sprint("i-", i+1), handle))
	}
	h := newHarnessIn(network, endpoints...)
	Reset(h.close)
	h.preferFirst()
	h.changeRoutes(func(r *routing.Route) {
		r.LatencyObjective, r.EventGapObjective = 150*time.Millisecond, 10*time.Millisecond
	})
	h.restart()
	return h
}

func (h *harness) requestCounts() (counts []int) {
	for _, e := range h.endpoints {
		counts = append(counts, e.requestCount())
	}
	return counts
}

// beginStream sends the header and the first event of a stream, or only the header of another response.
func beginStream(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	if strings.HasPrefix(r.URL.Path, "/plan/") {
		_, _ = io.WriteString(w, eventsUpTo(1))
	}
	w.(http.Flusher).Flush()
}

// silentUntil returns a handler that begins a stream, and goes on with two further events once awake returns. Other requests get
// no response before.
func silentUntil(awake func(r *http.Request)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !strings.HasPrefix(r.URL.Path, "/plan/") {
			awake(r)
			respondWith(200, "x")(w, r)
			return
		}
		beginStream(w, r)
		awake(r)
		if r.Context().Err() == nil {
			_, _ = io.WriteString(w, eventsUpTo(3)[len(eventsUpTo(1)):])
		}
	}
}

// forever waits until the request is canceled.
func forever(r *http.Request) { <-r.Context().Done() }

// TestFirstEndpointGoesOnDuringAStandbyAttempt guards against events of two attempts in one stream, and a second attempt that
// goes on beside the first.
func TestFirstEndpointGoesOnDuringAStandbyAttempt(t *testing.T) {
	synctest.Test(t, testFirstEndpointGoesOnDuringAStandbyAttempt)
}

func testFirstEndpointGoesOnDuringAStandbyAttempt(t *testing.T) {
	for _, c := range []struct {
		path, body string
		charged    int
	}{{"/plan/", eventsUpTo(3), 112}, {"/fetch/", "x", 100}} {
		Convey("a request to "+c.path+" stays if its endpoint goes on before the second attempt has begun", t, func() {
			sent, canceled := make(chan struct{}), make(chan struct{})
			first := func(r *http.Request) {
				select {
				case <-sent:
				case <-r.Context().Done():
				}
			}
			second := func(w http.ResponseWriter, r *http.Request) {
				if c.path == "/plan/" {
					w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
					_, _ = io.WriteString(w, "id: 2\ndata: half a pie")
					w.(http.Flusher).Flush()
				}
				close(sent)
				<-r.Context().Done()
				close(canceled)
			}
			h := newStandbyHarness(silentUntil(first), second)
			resp := h.send("POST", c.path, "b", map[string]string{"X-Token-Counts": "100,80"})
			So(resp.truncated, ShouldBeFalse)
			So(resp.status, ShouldEqual, 200)
			So(resp.body, ShouldEqual, c.body)
			So(h.chargedTokens("id-1"), ShouldEqual, c.charged)
			<-canceled
			h.checkEnded()
			So(h.requestCounts(), ShouldResemble, []int{1, 1})
			So(h.loggedReasons(logStandbyDropped), ShouldResemble, []string{"first-goes-on"})
			So(h.ended("sent"), ShouldEqual, 2)
			So(h.ended("endpoint"), ShouldEqual, "i-1")
		})
	}
}

// TestFirstAttemptEndsWhenTheStandbyAttemptBegins guards against two endpoints that both work on one request.
func TestFirstAttemptEndsWhenTheStandbyAttemptBegins(t *testing.T) {
	synctest.Test(t, testFirstAttemptEndsWhenTheStandbyAttemptBegins)
}

func testFirstAttemptEndsWhenTheStandbyAttemptBegins(t *testing.T) {
	for _, c := range []struct {
		path, body string
		charged    int
	}{{"/plan/", eventsUpTo(3), 112}, {"/fetch/", "x", 100}} {
		Convey("a request to "+c.path+" is canceled at the silent endpoint before the response of the other is complete", t, func() {
			canceled := make(chan struct{})
			first := silentUntil(func(r *http.Request) {
				<-r.Context().Done()
				close(canceled)
			})
			second := func(w http.ResponseWriter, r *http.Request) {
				rest := "x"
				w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
				if c.path == "/plan/" {
					_, _ = io.WriteString(w, strings.TrimPrefix(eventsUpTo(2), eventsUpTo(1)))
					rest = strings.TrimPrefix(eventsUpTo(3), eventsUpTo(2))
				}
				w.(http.Flusher).Flush()
				select {
				case <-canceled:
					_, _ = io.WriteString(w, rest)
				case <-r.Context().Done():
				}
			}
			h := newStandbyHarness(first, second)
			resp := h.send("POST", c.path, "b", map[string]string{"X-Token-Counts": "100,80"})
			So(resp.truncated, ShouldBeFalse)
			So(resp.body, ShouldEqual, c.body)
			So(h.chargedTokens("id-1"), ShouldEqual, c.charged)
			h.checkEnded()
			So(h.requestCounts(), ShouldResemble, []int{1, 1})
			So(h.loggedReasons(logTakesOver), ShouldResemble, []string{"endpoint-silent"})
			So(h.ended("sent"), ShouldEqual, 2)
			So(h.ended("endpoint"), ShouldEqual, "i-2")
			if c.path == "/plan/" {
				So(h.endpoints[1].requests[0].Header.Get("Last-Event-Id"), ShouldEqual, "1")
			}
		})
	}
}

// TestCrashDuringAStandbyAttemptWaitsForIt guards against a third attempt while the second is in progress.
func TestCrashDuringAStandbyAttemptWaitsForIt(t *testing.T) {
	synctest.Test(t, testCrashDuringAStandbyAttemptWaitsForIt)
}

func testCrashDuringAStandbyAttemptWaitsForIt(t *testing.T) {
	for _, c := range []struct{ path, body string }{{"/plan/", eventsUpTo(3)}, {"/fetch/", "x"}} {
		Convey("if the first endpoint crashes, a request to "+c.path+" goes on at the second", t, func() {
			var h *harness
			sent := make(chan struct{})
			first := silentUntil(func(*http.Request) {
				<-sent
				h.listFirst(3)
				panic(http.ErrAbortHandler)
			})
			second := func(w http.ResponseWriter, r *http.Request) {
				close(sent)
				h.awaitLog(r, logTakesOver)
				if c.path == "/plan/" {
					streamEvents(3, 0)(w, r)
				} else {
					respondWith(200, "x")(w, r)
				}
			}
			h = newStandbyHarness(first, second, respondNotRun)
			h.listFirst(2)
			resp := h.send("POST", c.path, "b", nil)
			So(resp.truncated, ShouldBeFalse)
			So(resp.body, ShouldEqual, c.body)
			h.checkEnded()
			So(h.requestCounts(), ShouldResemble, []int{1, 1, 0})
		})
	}
	Convey("if the second then turns the request down, it goes to a third", t, func() {
		var h *harness
		sent := make(chan struct{})
		first := silentUntil(func(*http.Request) {
			<-sent
			h.listFirst(3)
			panic(http.ErrAbortHandler)
		})
		second := func(w http.ResponseWriter, r *http.Request) {
			close(sent)
			h.awaitLog(r, logTakesOver)
			respondNotRun(w, r)
		}
		h = newStandbyHarness(first, second, streamEvents(3, 0))
		h.listFirst(2)
		So(h.send("POST", "/plan/", "b", nil).body, ShouldEqual, eventsUpTo(3))
		h.checkEnded()
		So(h.requestCounts(), ShouldResemble, []int{1, 1, 1})
		So(h.ended("sent"), ShouldEqual, 3)
	})
}

// TestStandbyAttemptsAreBounded guards against sends beyond max_attempts and the retry budget.
func TestStandbyAttemptsAreBounded(t *testing.T) { synctest.Test(t, testStandbyAttemptsAreBounded) }

func testStandbyAttemptsAreBounded(t *testing.T) {
	for _, c := range []struct {
		name    string
		change  func(*harness)
		reason  string
		sent    int
		dropped []string
	}{
		{"max_attempts", func(h *harness) { h.setAttempts(3) }, "no-attempt", 3, []string{"endpoints-busy", "endpoints-busy"}},
		{"the retry budget", func(h *harness) {
			h.setAttempts(4)
			h.config.RetryBudget = retrybudget.New(retrybudget.Limits{Window: 10 * time.Second, Slack: 2})
		}, "no-retry", 2, []string{"endpoints-busy"}},
	} {
		Convey("a request that others turn down is sent again within "+c.name, t, func() {
			var h *harness
			first := silentUntil(func(r *http.Request) { h.awaitLog(r, logStays) })
			h = newStandbyHarness(first, respondNotRun, respondNotRun, respondNotRun)
			c.change(h)
			h.restart()
			resp := h.send("POST", "/plan/", "b", nil)
			So(resp.truncated, ShouldBeFalse)
			So(resp.body, ShouldEqual, eventsUpTo(3))
			h.checkEnded()
			So(h.loggedReasons(logStays), ShouldResemble, []string{c.reason})
			So(h.requestCount(), ShouldEqual, c.sent)
			So(h.endpoints[0].requestCount(), ShouldEqual, 1)
			So(h.ended("sent"), ShouldEqual, c.sent)
			So(h.loggedReasons(logStandbyDropped), ShouldResemble, c.dropped)
		})
	}
	Convey("a second attempt that could not connect leaves its attempt to another", t, func() {
		var h *harness
		first := silentUntil(func(r *http.Request) {
			h.awaitLog(r, logStandbyDropped)
			h.listFirst(3)
			forever(r)
		})
		h = newStandbyHarness(first, respondNotRun, streamEvents(3, 0))
		h.listFirst(2)
		h.setAttempts(2)
		h.endpoints[1].server.Close()
		So(h.send("POST", "/plan/", "b", nil).body, ShouldEqual, eventsUpTo(3))
		h.checkEnded()
		So(h.requestCounts(), ShouldResemble, []int{1, 0, 1})
		So(h.loggedReasons(logStandbyDropped), ShouldResemble, []string{"unreachable"})
		So(h.ended("sent"), ShouldEqual, 2)
	})
}

// TestSilentStandbyAttemptIsReplaced guards against a request that waits at two silent endpoints beside a third that responds.
func TestSilentStandbyAttemptIsReplaced(t *testing.T) {
	synctest.Test(t, testSilentStandbyAttemptIsReplaced)
}

func testSilentStandbyAttemptIsReplaced(t *testing.T) {
	Convey("a request whose second endpoint is silent too goes on at the third", t, func() {
		second := func(_ http.ResponseWriter, r *http.Request) { forever(r) }
		var h *harness
		first := silentUntil(func(r *http.Request) {
			h.awaitLog(r, logStandbyDropped)
			h.listFirst(3)
			forever(r)
		})
		h = newStandbyHarness(first, second, streamEvents(3, 0))
		h.listFirst(2)
		So(h.send("POST", "/plan/", "b", nil).body, ShouldEqual, eventsUpTo(3))
		h.checkEnded()
		So(h.requestCounts(), ShouldResemble, []int{1, 1, 1})
		So(h.loggedReasons(logStandbyDropped), ShouldResemble, []string{"standby-silent"})
	})
}

// TestEndOfARequestEndsItsStandbyAttempt guards against endpoints that go on after the caller canceled or the timeout expired.
func TestEndOfARequestEndsItsStandbyAttempt(t *testing.T) {
	synctest.Test(t, testEndOfARequestEndsItsStandbyAttempt)
}

func testEndOfARequestEndsItsStandbyAttempt(t *testing.T) {
	for _, path := range []string{"/plan/", "/fetch/"} {
		for _, c := range []struct {
			name, reason string
			cancel       bool
		}{{"its caller cancels", "caller-left", true}, {"its timeout expires", "timeout", false}} {
			Convey("a request to "+path+" ends at both endpoints if "+c.name, t, func() {
				canceled := make(chan string, 2)
				sent := make(chan struct{})
				first := silentUntil(func(r *http.Request) {
					forever(r)
					canceled <- "first"
				})
				second := func(_ http.ResponseWriter, r *http.Request) {
					close(sent)
					forever(r)
					canceled <- "second"
				}
				h := newStandbyHarness(first, second)
				if !c.cancel {
					// At the timeout, the second endpoint does not count as silent yet.
					h.changeRoutes(func(r *routing.Route) { r.LatencyObjective, r.Timeout = 300*time.Millisecond, 900*time.Millisecond })
				}
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				req, err := http.NewRequestWithContext(ctx, "POST", h.server.URL+path, strings.NewReader("b"))
				So(err, ShouldBeNil)
				req.Host = "a.example"
				req.Header.Set("X-Request-Id", "id-1")
				req.Header.Set("Api-Key", "key")
				transport := &http.Transport{DialContext: h.network.DialContext}
				go func() {
					if resp, err := transport.RoundTrip(req); err == nil {
						_, _ = io.Copy(io.Discard, resp.Body)
						resp.Body.Close()
					}
				}()
				<-sent
				if c.cancel {
					cancel()
				}
				So([]string{<-canceled, <-canceled}, ShouldContain, "first")
				h.checkEnded()
				So(h.requestCounts(), ShouldResemble, []int{1, 1})
				So(h.loggedReasons(logStandbyDropped), ShouldResemble, []string{c.reason})
				So(h.ended("sent"), ShouldEqual, 2)
				So(h.ended("may_have_run"), ShouldEqual, true)
			})
		}
	}
}

// TestRequestOfADroppedStandbyAttemptMayHaveRun guards against "not run" for a request that only the second endpoint received.
func TestRequestOfADroppedStandbyAttemptMayHaveRun(t *testing.T) {
	synctest.Test(t, testRequestOfADroppedStandbyAttemptMayHaveRun)
}

func testRequestOfADroppedStandbyAttemptMayHaveRun(t *testing.T) {
	Convey("a request whose first endpoint accepts no connection may have run at the second", t, func() {
		h := newStandbyHarness(respondNotRun, func(_ http.ResponseWriter, r *http.Request) { forever(r) })
		firstAddress := h.endpoints[0].registration().Address
		ended := make(chan struct{})
		Reset(func() { close(ended) })
		h.config.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
			if address == firstAddress {
				// The transport does not cancel the dial of a request that has ended.
				select {
				case <-ctx.Done():
				case <-ended:
				}
				return nil, context.Canceled
			}
			return h.network.DialContext(ctx, network, address)
		}
		h.restart()
		resp := h.send("POST", "/fetch/", "b", map[string]string{"X-Deadline-Ms": "600"})
		So(resp.status, ShouldEqual, 504)
		h.checkEnded()
		So(h.requestCounts(), ShouldResemble, []int{0, 1})
	})
}

// TestEndpointsThatGoOnAtTheSameTime guards against lost, repeated and joined events when both endpoints go on at once.
func TestEndpointsThatGoOnAtTheSameTime(t *testing.T) {
	synctest.Test(t, testEndpointsThatGoOnAtTheSameTime)
}

func testEndpointsThatGoOnAtTheSameTime(t *testing.T) {
	Convey("each event arrives once and in order", t, func() {
		// In whole milliseconds, both endpoints often go on at the same virtual time.
		pause := func(from, to time.Duration) {
			time.Sleep(from + time.Millisecond*rand.N((to-from)/time.Millisecond+1))
		}
		handle := func(w http.ResponseWriter, r *http.Request) {
			if r.Header.Get("Last-Event-Id") != "" {
				pause(0, 4*time.Millisecond)
				streamEvents(9, 0)(w, r)
				return
			}
			silentUntil(func(*http.Request) { pause(minStall, minStall+8*time.Millisecond) })(w, r)
			_, _ = io.WriteString(w, eventsUpTo(9)[len(eventsUpTo(3)):])
		}
		h := newStandbyHarness(handle, handle, handle)
		h.shortenObjectives()
		for range 40 {
			resp := h.send("POST", "/plan/", "b", nil)
			So(resp.truncated, ShouldBeFalse)
			So(resp.body, ShouldEqual, eventsUpTo(9))
		}
		h.checkEnded()
	})
}
