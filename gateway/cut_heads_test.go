package gateway_test

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"

	. "github.com/smartystreets/goconvey/convey"

	"pumiceshelf/gateway"
	"pumiceshelf/internal/memorynet"
	"pumiceshelf/internal/rawhttp"
)

// cutFields are the header lines of the responses that the tests cut.
const cutFields = "X-Request-Id: id-1\r\nX-Server-Stamp: stamp\r\nContent-Type: text/event-stream\r\n"

// newCutHarness returns a harness with n endpoints. The first requests get their response from the handlers, in order, all others from the
// last one.
func newCutHarness(n int, handlers ...http.HandlerFunc) *harness {
	var requests atomic.Int32
	handle := func(w http.ResponseWriter, r *http.Request) {
		handlers[min(int(requests.Add(1)), len(handlers))-1](w, r)
	}
	var endpoints []*fakeEndpoint
	network := new(memorynet.Network)
	for i := range n {
		endpoints = append(endpoints, newFakeEndpointIn(network, fmt.Sprint("i-", i), handle))
	}
	return newHarnessIn(network, endpoints...)
}

// sendCut sends a request to a harness of its own and returns the response with the number of requests that the endpoints got.
func sendCut(n int, method, path string, header map[string]string, handlers ...http.HandlerFunc) (response, int) {
	h := newCutHarness(n, handlers...)
	defer h.close()
	resp := h.send(method, path, "", header)
	return resp, h.requestCount()
}

// wholeEvents returns the events of a stream that end before the cut.
func wholeEvents(text string) string {
	i := strings.LastIndex(text, "\n\n")
	if i < 0 {
		return ""
	}
	return text[:i+2]
}

// Guards against a response that breaks off in its head, its body or its trailer and looks whole (MIXED), and against a second run of a request
// that may run once (TWICE).
func TestResponsesCutAnywhere(t *testing.T) {
	synctest.Test(t, testResponsesCutAnywhere)
}

func testResponsesCutAnywhere(t *testing.T) {
	const body = "twelve bytes"
	for _, f := range rawhttp.Framings() {
		r := f.Response(cutFields, body)
		raw, head := r.Raw, r.Head
		for ending, reset := range rawhttp.Endings() {
			Convey(fmt.Sprintf("a response %s that its server %s at any byte is whole or unknown", f.Name, ending), t, func() {
				for _, cut := range r.Cuts() {
					at := strconv.Quote(raw[:cut])
					cutOff := func(w http.ResponseWriter, _ *http.Request) { rawhttp.WriteAndEnd(w, raw[:cut], reset) }
					sent := body
					whole, lost := cut == len(raw), cut < len(raw) || reset
					if f.Unframed && !reset && cut >= head {
						// It ends with the connection.
						sent, whole, lost = raw[head:cut], true, false
					}
					check := func(resp response, requests int, sent string) {
						SoMsg(at, requests, ShouldEqual, 1)
						if resp.status/100 == 2 && whole {
							SoMsg(at, resp, ShouldResemble, response{status: 200, header: resp.header, body: sent})
							return
						}
						SoMsg(at, lost, ShouldBeTrue)
						SoMsg(at, resp.status, ShouldEqual, 502)
						SoMsg(at, resp.truncated, ShouldBeFalse)
						if sent != "" {
							SoMsg(at, resp.body, ShouldContainSubstring, "unknown")
						}
					}
					resp, requests := sendCut(2, "POST", "/status/", nil, cutOff)
					check(resp, requests, sent)
					if cut <= head {
						whole, lost = cut == head, cut < head || reset
						resp, requests = sendCut(2, "HEAD", "/status/", nil, cutOff)
						check(resp, requests, "")
					}
					if f.Unframed && !reset && cut >= head {
						continue
					}
					resp, requests = sendCut(2, "POST", "/fetch/", nil, cutOff, func(w http.ResponseWriter, _ *http.Request) { rawhttp.WriteAndEnd(w, raw, false) })
					SoMsg(at, resp, ShouldResemble, response{status: 200, header: resp.header, body: body})
					SoMsg(at, requests, ShouldBeLessThanOrEqualTo, 2)
				}
			})
		}
	}
}

// Guards against a refusal that is taken for one before its head is whole: the caller is told "not run" of a request that may run (REFUSED), and
// it is sent to a second endpoint (TWICE).
func TestRefusalsCutAnywhere(t *testing.T) {
	synctest.Test(t, testRefusalsCutAnywhere)
}

func testRefusalsCutAnywhere(t *testing.T) {
	for _, raw := range []string{
		"HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nX-Request-Id: id-1\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 429 Too Many Requests\r\nX-Request-Id: id-1\r\nX-Not-Run: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"HTTP/1.1 421 Misdirected Request\r\nX-Request-Id: id-1\r\nContent-Length: 0\r\n\r\n",
	} {
		head := strings.Index(raw, "\r\n\r\n") + 4
		for ending, reset := range rawhttp.Endings() {
			Convey(fmt.Sprintf("%q that its server %s at any byte of the head does not say that a request has not run", raw, ending), t, func() {
				for cut := range head {
					for _, path := range []string{"/status/", "/note/"} {
						resp, requests := sendCut(2, "POST", path, nil, func(w http.ResponseWriter, _ *http.Request) { rawhttp.WriteAndEnd(w, raw[:cut], reset) })
						SoMsg(strconv.Quote(raw[:cut]), resp.status, ShouldEqual, 502)
						SoMsg(strconv.Quote(raw[:cut]), resp.body, ShouldContainSubstring, "unknown")
						SoMsg(strconv.Quote(raw[:cut]), requests, ShouldEqual, 1)
					}
				}
			})
		}
	}
}

// Guards against a stream that breaks off anywhere and looks complete, or goes on with anything but its next events (ORDER).
func TestStreamsCutAnywhere(t *testing.T) {
	synctest.Test(t, testStreamsCutAnywhere)
}

func testStreamsCutAnywhere(t *testing.T) {
	const last = 3
	// rest sends the events that follow the last one that the caller has.
	rest := streamEvents(last, 0)
	begin := streamEvents(last, 1)
	for _, f := range rawhttp.Framings() {
		if f.HeadOnly {
			continue
		}
		for ending, reset := range rawhttp.Endings() {
			// cuts calls check for each cut of the response with the events after an event.
			cuts := func(after int, check func(cutOff http.HandlerFunc, events string, whole, lost bool, at string)) {
				r := f.Response(cutFields, strings.TrimPrefix(eventsUpTo(last), eventsUpTo(after)))
				raw := r.Raw
				for _, cut := range r.Cuts() {
					events := r.Body(cut)
					whole, lost := cut == len(raw), cut < len(raw) || reset
					if f.Unframed && events != "" && wholeEvents(events) == events {
						whole, lost = true, reset
					}
					cutOff := func(w http.ResponseWriter, _ *http.Request) { rawhttp.WriteAndEnd(w, raw[:cut], reset) }
					check(cutOff, wholeEvents(events), whole, lost, strconv.Quote(raw[:cut]))
				}
			}
			// check checks what a caller got who has the events up to begun, where no endpoint has more than the given ones.
			check := func(resp response, begun, events string, whole, lost bool, at string) {
				switch {
				case resp.status == 502:
					SoMsg(at, lost, ShouldBeTrue)
					SoMsg(at, resp.body, ShouldContainSubstring, "unknown")
				case resp.truncated:
					SoMsg(at, lost, ShouldBeTrue)
					SoMsg(at, begun+events, ShouldStartWith, resp.body)
					SoMsg(at, wholeEvents(resp.body), ShouldEqual, resp.body)
				default:
					SoMsg(at, whole, ShouldBeTrue)
					SoMsg(at, resp, ShouldResemble, response{status: 200, header: resp.header, body: begun + events})
				}
				if !reset && events != "" {
					// What had arrived in order is passed on.
					SoMsg(at, resp.body, ShouldEqual, begun+events)
				}
			}
			Convey(fmt.Sprintf("a stream %s that its server %s at any byte breaks off visibly", f.Name, ending), t, func() {
				cuts(0, func(cutOff http.HandlerFunc, events string, whole, lost bool, at string) {
					resp, requests := sendCut(2, "POST", "/note/", nil, cutOff)
					check(resp, "", events, whole, lost, at)
					SoMsg(at, requests, ShouldEqual, 1)
				})
			})
			Convey(fmt.Sprintf("a stream %s that its server %s at any byte goes on at another", f.Name, ending), t, func() {
				cuts(0, func(cutOff http.HandlerFunc, events string, whole, _ bool, at string) {
					if f.Unframed && whole {
						return
					}
					resp, _ := sendCut(3, "POST", "/plan/", nil, cutOff, rest)
					SoMsg(at, resp, ShouldResemble, response{status: 200, header: resp.header, body: eventsUpTo(last)})
				})
			})
			Convey(fmt.Sprintf("the rest of a stream %s that its server %s at any byte breaks off visibly or goes on at a third", f.Name, ending), t, func() {
				cuts(1, func(cutOff http.HandlerFunc, events string, whole, lost bool, at string) {
					resp, _ := sendCut(2, "POST", "/plan/", nil, begin, cutOff)
					check(resp, eventsUpTo(1), events, whole, lost, at)
					if f.Unframed && whole {
						return
					}
					resp, _ = sendCut(3, "POST", "/plan/", nil, begin, cutOff, rest)
					SoMsg(at, resp, ShouldResemble, response{status: 200, header: resp.header, body: eventsUpTo(last)})
				})
			})
			Convey(fmt.Sprintf("a stream %s that the caller resumes and its server %s at any byte breaks off visibly or goes on at another", f.Name, ending), t, func() {
				resumes := map[string]string{"Resumes": "id-0", "Last-Event-Id": "1"}
				cuts(1, func(cutOff http.HandlerFunc, events string, whole, lost bool, at string) {
					resp, _ := sendCut(1, "POST", "/plan/", resumes, cutOff)
					check(resp, "", events, whole, lost, at)
					if f.Unframed && whole {
						return
					}
					resp, _ = sendCut(3, "POST", "/plan/", resumes, cutOff, rest)
					SoMsg(at, resp, ShouldResemble, response{status: 200, header: resp.header, body: strings.TrimPrefix(eventsUpTo(last), eventsUpTo(1))})
				})
			})
		}
	}
}

// Guards against a standby attempt that takes a request over with a response that breaks off (MIXED, ORDER).
func TestStandbyAttemptsCutAnywhere(t *testing.T) {
	for _, f := range rawhttp.Framings() {
		if f.HeadOnly {
			continue
		}
		for path, texts := range map[string][2]string{"/plan/": {eventsUpTo(1), eventsUpTo(3)}, "/fetch/": {"", "x"}} {
			begun, all := texts[0], texts[1]
			r := f.Response(cutFields, strings.TrimPrefix(all, begun))
			raw, head := r.Raw, r.Head
			for _, cut := range r.Cuts() {
				if f.Unframed && cut > head && (path == "/fetch/" || wholeEvents(raw[head:cut]) == raw[head:cut]) {
					// It ends with the connection.
					continue
				}
				if f.Unframed && cut == head && path == "/fetch/" {
					continue
				}
				synctest.Test(t, func(t *testing.T) {
					Convey(fmt.Sprintf("a standby attempt at %s with a response %s that ends after %d bytes does not complete it", path, f.Name, cut), t, func() {
						var h *harness
						// The first endpoint goes on once the standby attempt has failed.
						first := silentUntil(func(r *http.Request) { h.awaitLog(r, logStandbyDropped) })
						second := func(w http.ResponseWriter, _ *http.Request) { rawhttp.WriteAndEnd(w, raw[:cut], false) }
						h = newStandbyHarness(first, second)
						resp := h.send("POST", path, "b", nil)
						if resp.status == 200 && !resp.truncated {
							So(resp.body, ShouldEqual, all)
						} else if resp.status == 200 {
							So(all, ShouldStartWith, resp.body)
							So(wholeEvents(resp.body), ShouldEqual, resp.body)
						} else {
							So(resp.status, ShouldEqual, 502)
							So(resp.body, ShouldContainSubstring, "unknown")
						}
						if cut < head {
							So(resp, ShouldResemble, response{status: 200, header: resp.header, body: all})
							So(h.requestCounts(), ShouldResemble, []int{1, 1})
						}
						h.checkEnded()
					})
				})
			}
		}
	}
}

// Guards against the response of another instance that breaks off anywhere and looks whole to the caller (MIXED, ORDER), and against a request
// that is sent on once more or called "not run" after it was passed on (TWICE, REFUSED).
func TestDelegatedResponsesCutAnywhere(t *testing.T) {
	synctest.Test(t, testDelegatedResponsesCutAnywhere)
}

func testDelegatedResponsesCutAnywhere(t *testing.T) {
	for _, f := range rawhttp.Framings() {
		for path, body := range map[string]string{"/status/": "twelve bytes", "/fetch/": "twelve bytes", "/note/": eventsUpTo(2), "/plan/": eventsUpTo(2)} {
			if f.HeadOnly && path != "/status/" {
				continue
			}
			r := f.Response(cutFields, body)
			raw, head := r.Raw, r.Head
			for ending, reset := range rawhttp.Endings() {
				Convey(fmt.Sprintf("a response to %s %s that the other instance %s at any byte is whole or breaks off visibly", path, f.Name, ending), t, func() {
					for _, cut := range r.Cuts() {
						at := strconv.Quote(raw[:cut])
						resp, requests := delegateCut("POST", path, raw[:cut], reset)
						SoMsg(at, requests, ShouldEqual, 1)
						switch {
						case cut < head, f.Unframed:
							// Instances frame all their responses.
							SoMsg(at, resp.status, ShouldEqual, 502)
							SoMsg(at, resp.body, ShouldContainSubstring, "unknown")
						case cut == len(raw):
							SoMsg(at, resp, ShouldResemble, response{status: 200, header: resp.header, body: body})
						default:
							SoMsg(at, resp.truncated, ShouldBeTrue)
							SoMsg(at, body, ShouldStartWith, resp.body)
						}
					}
				})
			}
		}
	}
}

// Guards against a delegated response without a body that counts as lost because it has no length.
func TestDelegatedResponsesWithoutABody(t *testing.T) {
	synctest.Test(t, testDelegatedResponsesWithoutABody)
}

func testDelegatedResponsesWithoutABody(t *testing.T) {
	Convey("a response without a body of another instance passes, with a length or without", t, func() {
		for _, c := range []struct {
			method, status string
			want           int
		}{{"HEAD", "200 OK", 200}, {"POST", "204 No Content", 204}, {"GET", "304 Not Modified", 304}} {
			for _, framing := range []string{"", "Connection: close\r\n"} {
				resp, requests := delegateCut(c.method, "/status/", "HTTP/1.1 "+c.status+"\r\n"+cutFields+framing+"\r\n", false)
				SoMsg(c.status, resp, ShouldResemble, response{status: c.want, header: resp.header})
				SoMsg(c.status, requests, ShouldEqual, 1)
			}
		}
	})
}

// delegateCut sends a request to an instance that reaches no endpoint and passes it on to two others, which respond with raw bytes. It returns
// the response with the number of requests that those got.
func delegateCut(method, path, raw string, reset bool) (response, int) {
	handle := func(w http.ResponseWriter, _ *http.Request) { rawhttp.WriteAndEnd(w, raw, reset) }
	network := new(memorynet.Network)
	endpoint := newFakeEndpointIn(network, "i-1", respondWith(200, "unused"))
	others := []*fakeEndpoint{newFakeEndpointIn(network, "front-1", handle), newFakeEndpointIn(network, "front-2", handle)}
	h := newHarnessIn(network, endpoint)
	defer h.close()
	h.config.Dial, h.config.DialInstance = refuseConnections, network.DialContext
	h.config.Delegates = func() (delegates []gateway.Delegate) {
		for _, other := range others {
			delegates = append(delegates, gateway.Delegate{Domain: "hall-a", Address: other.registration().Address})
		}
		return delegates
	}
	h.restart()
	resp := h.send(method, path, "", nil)
	requests := 0
	for _, other := range others {
		other.server.Close()
		requests += other.requestCount()
	}
	return resp, requests + endpoint.requestCount()
}
