package gateway_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	. "github.com/smartystreets/goconvey/convey"

	"pumiceshelf/gateway"
	"pumiceshelf/internal/memorynet"
	"pumiceshelf/linkload"
	"pumiceshelf/quarantine"
	"pumiceshelf/routing"
)

const (
	usualDialTime = 300 * time.Millisecond
	slowDialTime  = 600 * time.Millisecond
	logEjected    = "gateway: endpoint ejected"
	logOutOfReach = "gateway: service is out of reach, requests are passed on to other instances"
)

// linkHarness is a gateway whose own network link delays connections, and may count as busy.
type linkHarness struct {
	*harness
	busy atomic.Bool
	// delay holds the time to connect to an address, which is zero if it is not listed.
	mu    sync.Mutex
	delay map[string]time.Duration
	// refuse makes endpoints refuse connections, and instanceDelay is the time to connect to the other instance in nanoseconds.
	refuse        atomic.Bool
	instanceDelay atomic.Int64
	// linkMetrics holds the counters of the link.
	linkMetrics metrics.Registry
	// other is another instance that reaches all endpoints at once.
	other *harness
}

// never is a time in which no connection is established.
const never = time.Hour

// newLinkHarness returns a gateway in front of the given number of endpoints. It must run in a synctest bubble: tests compare exact
// durations, and close waits for timeouts.
func newLinkHarness(busy bool, delay time.Duration, count int) *linkHarness {
	network := new(memorynet.Network)
	var endpoints []*fakeEndpoint
	for i := range count {
		endpoints = append(endpoints, newFakeEndpointIn(network, fmt.Sprint("i-", i+1), respondWith(200, "ok")))
	}
	h := &linkHarness{harness: newHarnessIn(network, endpoints...), delay: make(map[string]time.Duration), other: newHarnessIn(network, endpoints...)}
	h.busy.Store(busy)
	for _, e := range endpoints {
		h.setDelay(e, delay)
	}
	h.linkMetrics = h.config.Metrics
	link := gateway.NewBusyLink(h.busy.Load, h.config.Clock, h.config.Log, h.linkMetrics)
	h.config.Link, h.config.Self, h.config.Quarantine = link, "front-0", quarantine.New(quarantine.Config{})
	h.config.Dial = link.Dial(usualDialTime, h.dial)
	h.config.DialInstance = link.Dial(usualDialTime, h.dialInstance)
	h.config.Delegates = func() []gateway.Delegate {
		return []gateway.Delegate{{Domain: "hall-a", Address: h.other.server.Listener.Addr().String()}}
	}
	h.restart()
	return h
}

// linkCount returns the value of a counter of the link.
func (h *linkHarness) linkCount(name string) int64 {
	return h.linkMetrics.Get("gateway.link." + name).(metrics.Counter).Count()
}

func (h *linkHarness) setDelay(e *fakeEndpoint, delay time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.delay[e.registration().Address] = delay
}

func (h *linkHarness) dial(ctx context.Context, network, address string) (net.Conn, error) {
	if h.refuse.Load() {
		return refuseConnections(ctx, network, address)
	}
	h.mu.Lock()
	delay := h.delay[address]
	h.mu.Unlock()
	return h.dialAfter(ctx, delay, network, address)
}

func (h *linkHarness) dialInstance(ctx context.Context, network, address string) (net.Conn, error) {
	return h.dialAfter(ctx, time.Duration(h.instanceDelay.Load()), network, address)
}

// dialAfter connects after a delay.
func (h *linkHarness) dialAfter(ctx context.Context, delay time.Duration, network, address string) (net.Conn, error) {
	if delay == 0 {
		return h.network.DialContext(ctx, network, address)
	}
	select {
	case <-time.After(delay):
		return h.network.DialContext(ctx, network, address)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (h *linkHarness) close() {
	h.harness.close()
	h.other.server.Close()
	// Connections in progress, and the checks that follow, end with their timeouts. The bubble must not end before.
	time.Sleep(2 * linkload.MaxDialTime)
}

// logged returns the number of log lines with a message.
func (h *linkHarness) logged(message string) (n int) {
	for _, e := range h.logs.all() {
		if e.Message == message {
			n++
		}
	}
	return n
}

// TestSlowConnectionsOnABusyLink guards against endpoints that are taken for faulty because connecting to them takes longer on a full
// link: each retry sends the request over the same link again.
func TestSlowConnectionsOnABusyLink(t *testing.T) { synctest.Test(t, testSlowConnectionsOnABusyLink) }

func testSlowConnectionsOnABusyLink(t *testing.T) {
	Convey("Given endpoints to which connecting takes 600 ms", t, func() {
		Convey("on a busy link, the request waits for the connection", func() {
			h := newLinkHarness(true, slowDialTime, 2)
			Reset(h.close)
			begin := time.Now()
			So(h.send("POST", "/fetch/x", "{}", nil).status, ShouldEqual, 200)
			// In virtual time, the connection takes exactly as long.
			So(time.Since(begin), ShouldEqual, slowDialTime)
			So(h.requestCount(), ShouldEqual, 1)
			So(h.logged(logEjected), ShouldEqual, 0)
			So(h.linkCount("dials.extended"), ShouldEqual, 1)
			So(h.logged("gateway: own link is busy, connections get more time"), ShouldEqual, 1)
		})
		Convey("also on a link that becomes busy meanwhile, or ceases to be", func() {
			for _, busy := range []bool{false, true} {
				h := newLinkHarness(busy, slowDialTime, 2)
				time.AfterFunc(usualDialTime/3, func() { h.busy.Store(!busy) })
				So(h.send("POST", "/fetch/x", "{}", nil).status, ShouldEqual, 200)
				So(h.logged(logEjected), ShouldEqual, 0)
				h.close()
			}
		})
		Convey("a short objective does not make the endpoint count as silent before it has the request", func() {
			h := newLinkHarness(true, slowDialTime, 2)
			Reset(h.close)
			h.changeRoutes(func(r *routing.Route) { r.LatencyObjective = 120 * time.Millisecond })
			So(h.send("POST", "/fetch/x", "{}", nil).status, ShouldEqual, 200)
			So(h.requestCount(), ShouldEqual, 1)
			So(h.logged(logEjected), ShouldEqual, 0)
		})
		Convey("on a link that is not busy, the endpoints are ejected, and the request is passed on as before", func() {
			h := newLinkHarness(false, slowDialTime, 2)
			Reset(h.close)
			So(h.send("POST", "/fetch/x", "{}", nil).status, ShouldEqual, 200)
			So(h.logged(logEjected), ShouldEqual, 2)
			So(h.logged(logOutOfReach), ShouldEqual, 1)
			So(h.linkCount("dials.extended"), ShouldEqual, 0)
			So(h.linkCount("dials.timed_out"), ShouldEqual, 0)
		})
	})
}

// TestTimeoutsOnABusyLink guards against endpoints and services that seem out of reach because the own link is full, and against an
// endpoint that is out of reach and is not ejected while it is full.
func TestTimeoutsOnABusyLink(t *testing.T) { synctest.Test(t, testTimeoutsOnABusyLink) }

func testTimeoutsOnABusyLink(t *testing.T) {
	Convey("if no connection is established on a busy link, no endpoint or service counts as out of reach", t, func() {
		h := newLinkHarness(true, never, 2)
		Reset(h.close)
		h.config.Delegates = nil
		h.restart()
		begin := time.Now()
		resp := h.send("POST", "/status/x", "{}", map[string]string{"X-Deadline-Ms": "1400"})
		So(time.Since(begin), ShouldBeLessThan, 1400*time.Millisecond)
		So(resp.status, ShouldEqual, 503)
		So(resp.body, ShouldContainSubstring, "not-run")
		So(resp.header.Get("Retry-After"), ShouldNotBeEmpty)
		So(h.requestCount(), ShouldEqual, 0)
		So(h.logged(logEjected), ShouldEqual, 0)
		So(h.logged(logOutOfReach), ShouldEqual, 0)
		So(h.linkCount("dials.timed_out"), ShouldBeGreaterThanOrEqualTo, 2)
		So(h.linkCount("dials.faults"), ShouldEqual, 0)
		So(h.counterValue("gateway.repeated.unreachable"), ShouldEqual, 0)
		So(h.counterValue("gateway.repeated.link-busy"), ShouldBeGreaterThanOrEqualTo, 1)
		Convey("and the endpoints get requests again at once", func() {
			for _, e := range h.endpoints {
				h.setDelay(e, 0)
			}
			So(h.send("POST", "/status/x", "{}", nil).status, ShouldEqual, 200)
		})
	})
	Convey("an endpoint that refuses connections is at fault", t, func() {
		h := newLinkHarness(true, 0, 1)
		Reset(h.close)
		h.endpoints[0].server.Close()
		h.send("POST", "/fetch/x", "{}", nil)
		So(h.logged(logEjected), ShouldEqual, 1)
		So(h.linkCount("dials.timed_out"), ShouldEqual, 0)
	})
	Convey("an endpoint that is out of reach while others are not is ejected within the longer timeout and one connection", t, func() {
		h := newLinkHarness(true, 0, 3)
		Reset(h.close)
		h.setDelay(h.endpoints[0], never)
		begin := time.Now()
		for h.logged(logEjected) == 0 && time.Since(begin) < 10*time.Second {
			for range 4 {
				go h.send("POST", "/fetch/x", "{}", map[string]string{"X-Deadline-Ms": "1000"})
			}
			time.Sleep(20 * time.Millisecond)
		}
		So(time.Since(begin), ShouldBeLessThan, linkload.MaxDialTime+time.Second)
		So(h.linkCount("dials.faults"), ShouldBeGreaterThanOrEqualTo, 1)
		for _, e := range h.logs.all() {
			if e.Message == logEjected {
				So(e.Fields["endpoint"], ShouldEqual, "i-1")
			}
		}
	})
}

// TestResponsesShowThatABusyLinkCarriesPackets guards against an endpoint out of reach that is not found while all other requests go over
// established connections.
func TestResponsesShowThatABusyLinkCarriesPackets(t *testing.T) {
	synctest.Test(t, testResponsesShowThatABusyLinkCarriesPackets)
}

func testResponsesShowThatABusyLinkCarriesPackets(t *testing.T) {
	Convey("Given three endpoints with idle connections, of which the first is out of reach from now on", t, func() {
		h := newLinkHarness(true, 0, 3)
		Reset(h.close)
		sendSome := func(n int) {
			for range n {
				go h.send("POST", "/fetch/x", "{}", map[string]string{"X-Deadline-Ms": "1000"})
			}
			time.Sleep(20 * time.Millisecond)
		}
		for range 10 {
			sendSome(8)
		}
		h.setDelay(h.endpoints[0], never)
		h.endpoints[0].server.CloseClientConnections()
		Convey("it is ejected within the longer timeout and one connection", func() {
			begin := time.Now()
			for h.logged(logEjected) == 0 && time.Since(begin) < 10*time.Second {
				sendSome(4)
			}
			So(time.Since(begin), ShouldBeLessThan, linkload.MaxDialTime+time.Second)
			So(h.linkCount("dials.faults"), ShouldBeGreaterThanOrEqualTo, 1)
		})
	})
}

// TestRequestsOnABusyLinkAreNotPassedOn guards against requests that take the bytes of a full link a second time, on the way to another
// instance, and against ones that are kept although the own link is free or another instance asks for a decision.
func TestRequestsOnABusyLinkAreNotPassedOn(t *testing.T) {
	synctest.Test(t, testRequestsOnABusyLinkAreNotPassedOn)
}

func testRequestsOnABusyLinkAreNotPassedOn(t *testing.T) {
	deadline := map[string]string{"X-Deadline-Ms": "1200"}
	Convey("Given an instance that connects to no endpoint, and another one that does", t, func() {
		Convey("on a busy link, the request is refused and has not run", func() {
			h := newLinkHarness(true, never, 2)
			Reset(h.close)
			resp := h.send("POST", "/status/x", "{}", deadline)
			So(resp.status, ShouldEqual, 503)
			So(resp.body, ShouldContainSubstring, "not-run")
			So(h.requestCount(), ShouldEqual, 0)
			So(h.linkCount("kept"), ShouldEqual, 1)
			So(h.counterValue("gateway.delegated"), ShouldEqual, 0)
		})
		Convey("on a free link, it is passed on", func() {
			h := newLinkHarness(false, never, 2)
			Reset(h.close)
			So(h.send("POST", "/status/x", "{}", deadline).status, ShouldEqual, 200)
			So(h.linkCount("kept"), ShouldEqual, 0)
			So(h.counterValue("gateway.delegated"), ShouldEqual, 1)
		})
		Convey("on a busy link, it is passed on if the endpoints refuse connections", func() {
			h := newLinkHarness(true, 0, 2)
			Reset(h.close)
			h.refuse.Store(true)
			So(h.send("POST", "/status/x", "{}", deadline).status, ShouldEqual, 200)
			So(h.counterValue("gateway.delegated"), ShouldEqual, 1)
		})
		Convey("an instance with a busy link tells one that passed the request on to try another one", func() {
			h := newLinkHarness(true, never, 2)
			Reset(h.close)
			resp := h.send("POST", "/status/x", "{}", map[string]string{"X-Deadline-Ms": "1200", "Pumiceshelf-Delegated-By": "front-7"})
			So(resp.status, ShouldEqual, 503)
			So(resp.header.Get("Pumiceshelf-Out-Of-Reach"), ShouldEqual, "1")
			So(h.linkCount("kept"), ShouldEqual, 0)
		})
	})
}

// TestInstancesAreNotAvoidedForABusyLink guards against other instances that get no requests because the own link is full.
func TestInstancesAreNotAvoidedForABusyLink(t *testing.T) {
	synctest.Test(t, testInstancesAreNotAvoidedForABusyLink)
}

func testInstancesAreNotAvoidedForABusyLink(t *testing.T) {
	Convey("Given a service out of reach on a busy link, and another instance to which connecting times out once", t, func() {
		h := newLinkHarness(true, 0, 1)
		Reset(h.close)
		h.refuse.Store(true)
		h.instanceDelay.Store(int64(never))
		So(h.send("POST", "/status/x", "{}", map[string]string{"X-Deadline-Ms": "1200"}).status, ShouldEqual, 503)
		Convey("the next request is passed on to it", func() {
			h.instanceDelay.Store(0)
			So(h.send("POST", "/status/x", "{}", nil).status, ShouldEqual, 200)
			So(h.counterValue("gateway.delegated"), ShouldEqual, 1)
		})
	})
}

// TestCallersThatIgnoreTheRequestToClose guards against callers that keep their connections to an instance whose link is busy, and against
// connections that end although it is not.
func TestCallersThatIgnoreTheRequestToClose(t *testing.T) {
	Convey("the instance closes the connection after the response or refusal that asks for it, and after no other", t, func() {
		h := newHarness(newFakeEndpoint("i-1", respondWith(200, "ok")))
		Reset(func() { h.close() })
		var moves atomic.Bool
		h.config.MovesCallers = moves.Load
		h.restart()
		for _, c := range []struct {
			key    string
			status int
			moves  bool
		}{{"key", 200, true}, {"unknown", 401, true}, {"key", 200, false}, {"unknown", 401, false}} {
			moves.Store(c.moves)
			conn, err := net.Dial("tcp", h.server.Listener.Addr().String())
			So(err, ShouldBeNil)
			reader := bufio.NewReader(conn)
			_, err = fmt.Fprintf(conn, "POST /fetch/x HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: id-1\r\nApi-Key: %s\r\nContent-Length: 2\r\n\r\n{}", c.key)
			So(err, ShouldBeNil)
			resp, err := http.ReadResponse(reader, nil)
			So(err, ShouldBeNil)
			_, err = io.Copy(io.Discard, resp.Body)
			So(err, ShouldBeNil)
			So(resp.StatusCode, ShouldEqual, c.status)
			So(resp.Close, ShouldEqual, c.moves)
			// A connection that is kept shows nothing until the deadline.
			So(conn.SetReadDeadline(time.Now().Add(100*time.Millisecond)), ShouldBeNil)
			_, err = reader.ReadByte()
			So(errors.Is(err, os.ErrDeadlineExceeded), ShouldEqual, !c.moves)
			So(conn.Close(), ShouldBeNil)
		}
	})
}
