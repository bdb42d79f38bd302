package gateway_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"pumiceshelf/gateway"
	"pumiceshelf/quarantine"
	"pumiceshelf/registry"
)

// refuseConnections has the signature of net.Dialer.DialContext.
func refuseConnections(context.Context, string, string) (net.Conn, error) {
	return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
}

// newPartitioned returns two gateways with the same endpoints, of which the first one can connect to none of them.
func newPartitioned(endpoints ...*fakeEndpoint) (partitioned, other *harness) {
	other, partitioned = newHarness(endpoints...), newHarness(endpoints...)
	partitioned.config.Self = "front-0"
	partitioned.config.Dial = refuseConnections
	partitioned.config.Delegates = func() []gateway.Delegate {
		return []gateway.Delegate{{Domain: "hall-a", Address: other.server.Listener.Addr().String()}}
	}
	partitioned.config.Quarantine = quarantine.New(quarantine.Config{})
	partitioned.restart()
	return partitioned, other
}

// newLosingServer returns a server that closes the connection of each request without a response.
func newLosingServer(received func()) *httptest.Server {
	return httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		received()
		panic(http.ErrAbortHandler)
	}))
}

func TestRequestsAreDelegated(t *testing.T) {
	header := func(id string) map[string]string { return map[string]string{"X-Request-Id": id} }
	Convey("an instance that reaches no endpoint passes requests on to another one", t, func() {
		received := make(chan http.Header, 10)
		handle := func(w http.ResponseWriter, r *http.Request) {
			received <- r.Header
			if strings.HasPrefix(r.URL.Path, "/note/") {
				streamEvents(3, 0)(w, r)
				return
			}
			respondWith(200, "ok")(w, r)
		}
		h, other := newPartitioned(newFakeEndpoint("i-1", handle), newFakeEndpoint("i-2", handle), newFakeEndpoint("i-3", handle))
		Reset(h.close)
		Reset(other.server.Close)
		for i, path := range []string{"/fetch/x", "/status/x", "/fetch/x"} {
			resp := h.send("POST", path, "{}", header(fmt.Sprint("id-", i)))
			So(resp.status, ShouldEqual, 200)
			So(resp.body, ShouldEqual, "ok")
			So(resp.header.Get("X-Request-Id"), ShouldEqual, fmt.Sprint("id-", i))
			endpointHeader := <-received
			So(endpointHeader.Get("Pumiceshelf-Delegated-By"), ShouldBeEmpty)
			So(endpointHeader.Get("Api-Key"), ShouldBeEmpty)
			So(endpointHeader.Get("X-Tenant"), ShouldEqual, "alwusta")
		}
		So(h.requestCount(), ShouldEqual, 3)
		So(h.counterValue("gateway.delegated"), ShouldEqual, 3)
		Convey("without reserving tokens itself", func() {
			before := h.budgets.reserved.Load()
			So(h.send("POST", "/note/x", "{}", map[string]string{"X-Request-Id": "id-9", "X-Token-Counts": "40,8"}).status, ShouldEqual, 200)
			So(h.budgets.reserved.Load(), ShouldEqual, before)
			So(other.budgets.reserved.Load(), ShouldBeGreaterThan, 0)
		})
	})
	Convey("a request that was passed on is not passed on again, and the refusal says that it did not run", t, func() {
		h, other := newPartitioned(newFakeEndpoint("i-1", respondWith(200, "ok")))
		Reset(h.close)
		Reset(other.server.Close)
		for range 2 {
			resp := h.send("POST", "/fetch/x", "{}", map[string]string{"Pumiceshelf-Delegated-By": "front-7"})
			So(resp.status, ShouldEqual, 503)
			So(resp.body, ShouldContainSubstring, "not-run")
			So(resp.header.Get("Pumiceshelf-Out-Of-Reach"), ShouldEqual, "1")
		}
		So(other.requestCount(), ShouldEqual, 0)
	})
	Convey("if the other instance loses its response, the outcome is unknown and the request is sent nowhere else", t, func() {
		h, other := newPartitioned(newFakeEndpoint("i-1", respondWith(200, "ok")), newFakeEndpoint("i-2", respondWith(200, "ok")))
		Reset(h.close)
		other.server.Close()
		var requests atomic.Int32
		other.server = newLosingServer(func() { requests.Add(1) })
		Reset(other.server.Close)
		resp := h.send("POST", "/fetch/x", "{}", nil)
		So(resp.status, ShouldEqual, 502)
		So(resp.body, ShouldContainSubstring, "unknown")
		So(requests.Load(), ShouldEqual, 1)
	})
}

func TestEndpointThatOthersReachHasNotCrashed(t *testing.T) {
	Convey("a lost request and a refused connection are no evidence if another instance reaches the endpoint", t, func() {
		e := newFakeEndpoint("i-1", nil)
		h := newHarness(e)
		Reset(h.close)
		h.config.Quarantine = quarantine.New(quarantine.Config{})
		checked := make(chan string, 1)
		h.config.ReachedByOthers = func(_ context.Context, e registry.Endpoint) bool {
			checked <- e.ID
			return true
		}
		h.restart()
		e.handle = func(http.ResponseWriter, *http.Request) {
			e.crash()
			panic(http.ErrAbortHandler)
		}
		So(h.send("POST", "/status/x", "{}", nil).status, ShouldEqual, 502)
		So(<-checked, ShouldEqual, "i-1")
		h.awaitLogs("gateway: endpoint has not ended, although requests were lost before their first event", 1)
		So(h.config.Quarantine.Statements(time.Now()).Crashes, ShouldBeEmpty)
	})
}
