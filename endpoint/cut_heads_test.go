package endpoint

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"pumiceshelf/internal/memorynet"
	"pumiceshelf/internal/rawhttp"
)

// cutFields are the header lines of the responses that the tests cut.
const cutFields = "X-Request-Id: r\r\nContent-Type: text/event-stream\r\n"

// cutEngine responds to the calls of the request "r", and to the requests for the rest of its stream, with the bytes and the ending of cut, up
// to as many times as times says. Afterwards it has the rest of the stream, unless forgotten is set.
type cutEngine struct {
	raw       string
	reset     bool
	times     int
	forgotten bool
	// begin is sent in place of the first response if it is not empty, and then the connection ends.
	begin        string
	calls, asked atomic.Int32
}

// ServeHTTP implements http.Handler.
func (e *cutEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	if r.Method == http.MethodPost {
		e.calls.Add(1)
		if e.begin != "" {
			rawhttp.WriteAndEnd(w, e.begin, false)
			return
		}
	}
	switch {
	case r.Method == http.MethodDelete:
		w.WriteHeader(http.StatusNotFound)
	case int(e.asked.Add(1)) <= e.times:
		rawhttp.WriteAndEnd(w, e.raw, e.reset)
	case e.forgotten:
		w.WriteHeader(http.StatusNotFound)
	default:
		offset, _ := strconv.Atoi(r.URL.Query().Get("offset"))
		w.Header().Set(headerRequestID, "r")
		_, _ = io.WriteString(w, rawEvents(offset, "\n"))
	}
}

// call makes one call and returns the result and the text of a streamed response.
func (e *cutEngine) call(stream, model bool) (Result, string) {
	network := new(memorynet.Network)
	server := network.NewServer(e)
	client := New(Config{ProgressTimeout: time.Minute, Log: discardLogger(), Dial: network.DialContext})
	defer server.Close()
	defer client.Close()
	var text strings.Builder
	res := client.Do(context.Background(), Call{
		RequestID: "r", Endpoint: "e", URL: server.URL, Method: http.MethodPost, Path: "/v1/chat/completions", Stream: stream, ModelCall: model,
		Header: http.Header{headerRequestID: {"r"}},
	}, func(ev StreamEvent) error {
		var c struct {
			Choices []struct{ Delta struct{ Content string } }
		}
		err := json.Unmarshal(ev.Data, &c)
		for _, choice := range c.Choices {
			text.WriteString(choice.Delta.Content)
		}
		return err
	})
	return res, text.String()
}

// Guards against a response that breaks off in its head, its body or its trailer and counts as complete (MIXED, ORDER), as not sent or as refused
// (REFUSED), or is asked for by a second run (TWICE).
func TestResponsesCutAnywhere(t *testing.T) {
	synctest.Test(t, testResponsesCutAnywhere)
}

func testResponsesCutAnywhere(t *testing.T) {
	for _, f := range rawhttp.Framings() {
		for ending, reset := range rawhttp.Endings() {
			Convey(fmt.Sprintf("a response of a plain service %s that it %s at any byte is whole or incomplete", f.Name, ending), t, func() {
				r := f.Response(cutFields, "twelve bytes")
				for _, cut := range r.Cuts() {
					e := &cutEngine{raw: r.Raw[:cut], reset: reset, times: 1, forgotten: true}
					res, _ := e.call(false, false)
					at := strconv.Quote(r.Raw[:cut])
					SoMsg(at, e.calls.Load(), ShouldEqual, 1)
					want := Incomplete
					if cut == len(r.Raw) && (!f.Unframed || !reset) || f.Unframed && !reset && cut >= r.Head {
						want = Complete
						SoMsg(at, string(res.Body), ShouldEqual, r.Body(cut))
					}
					SoMsg(at, res.Status, ShouldEqual, want)
				}
			})
			Convey(fmt.Sprintf("a completion %s that its engine %s at any byte is whole, assembled or incomplete", f.Name, ending), t, func() {
				r := f.Response(cutFields, rawCompletion)
				for _, cut := range r.Cuts() {
					at := strconv.Quote(r.Raw[:cut])
					e := &cutEngine{raw: r.Raw[:cut], reset: reset, times: 1}
					res, _ := e.call(false, true)
					SoMsg(at, res.Status, ShouldEqual, Complete)
					SoMsg(at, completionText(res.Body), ShouldEqual, "ab")
					SoMsg(at, e.calls.Load(), ShouldEqual, 1)
					e = &cutEngine{raw: r.Raw[:cut], reset: reset, times: 1, forgotten: true}
					res, _ = e.call(false, true)
					want := Incomplete
					if cut == len(r.Raw) && (!f.Unframed || !reset) {
						want = Complete
						SoMsg(at, string(res.Body), ShouldEqual, rawCompletion)
					}
					SoMsg(at, res.Status, ShouldEqual, want)
				}
			})
			if f.HeadOnly {
				continue
			}
			Convey(fmt.Sprintf("a stream %s that its engine %s at any byte is resumed or incomplete", f.Name, ending), t, func() {
				checkCutStreams(f, reset, "", 0)
			})
			Convey(fmt.Sprintf("the rest of a stream %s that its engine %s at any byte is resumed or incomplete", f.Name, ending), t, func() {
				events := rawEvents(0, "\n")
				begin := rawhttp.Framings()[0].Response(cutFields, events)
				checkCutStreams(f, reset, begin.Raw[:begin.Head+strings.Index(events, "id: 1")], 1)
			})
		}
	}
}

// checkCutStreams cuts the responses with the events from a token on, of a stream that begins with the given response.
func checkCutStreams(f rawhttp.Framing, reset bool, begin string, token int) {
	r := f.Response(cutFields, rawEvents(token, "\n"))
	for _, cut := range r.Cuts() {
		at := strconv.Quote(r.Raw[:cut])
		e := &cutEngine{raw: r.Raw[:cut], reset: reset, times: 1, begin: begin}
		res, text := e.call(true, true)
		SoMsg(at, res.Status, ShouldEqual, Complete)
		SoMsg(at, text, ShouldEqual, "ab")
		SoMsg(at, e.calls.Load(), ShouldEqual, 1)
		for _, forgotten := range []bool{false, true} {
			e = &cutEngine{raw: r.Raw[:cut], reset: reset, times: 1, forgotten: true, begin: begin}
			if !forgotten {
				// All attempts to resume get the same bytes.
				e.times = maxIdleResumes + 2
			}
			res, text = e.call(true, true)
			SoMsg(at, res.Status, ShouldBeIn, Complete, Incomplete)
			// The end marker shows that all events have arrived, and counts once its empty line has begun.
			ended := strings.Contains(r.Body(cut), "data: [DONE]\n\n")
			SoMsg(at, res.Status == Complete, ShouldEqual, ended)
			SoMsg(at, "ab", ShouldStartWith, text)
			SoMsg(at, e.calls.Load(), ShouldEqual, 1)
		}
	}
}

// Guards against a refusal that counts before its head is whole: its caller is told "not run" of a request that may run (REFUSED), and it may
// run a second time elsewhere (TWICE).
func TestRefusalsCutAnywhere(t *testing.T) {
	synctest.Test(t, testRefusalsCutAnywhere)
}

func testRefusalsCutAnywhere(t *testing.T) {
	for _, raw := range []string{
		"HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nX-Request-Id: r\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 404 Not Found\r\nX-Request-Id: r\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"HTTP/1.1 422 Unprocessable Entity\r\nX-Request-Id: r\r\nContent-Length: 0\r\n\r\n",
	} {
		for ending, reset := range rawhttp.Endings() {
			Convey(fmt.Sprintf("%q that its endpoint %s at any byte of the head does not say that a request has not run", raw, ending), t, func() {
				for cut := range strings.Index(raw, "\r\n\r\n") + len("\r\n\r\n") {
					for _, model := range []bool{false, true} {
						e := &cutEngine{raw: raw[:cut], reset: reset, times: 1, forgotten: true}
						res, _ := e.call(false, model)
						SoMsg(strconv.Quote(raw[:cut]), res.Status, ShouldEqual, Incomplete)
						SoMsg(strconv.Quote(raw[:cut]), e.calls.Load(), ShouldEqual, 1)
					}
				}
			})
		}
	}
}

// Guards against a control call whose response breaks off and counts as an empty one.
func TestControlResponsesCutAnywhere(t *testing.T) {
	synctest.Test(t, testControlResponsesCutAnywhere)
}

func testControlResponsesCutAnywhere(t *testing.T) {
	ctx := context.Background()
	for name, c := range map[string]struct {
		body string
		send func(c *HTTPClient, url string) error
	}{
		"usage":        {`{"request_id":"r","usage":{"prompt_tokens":2,"completion_tokens":2}}`, func(c *HTTPClient, url string) error { _, err := c.Cancel(ctx, url, "r"); return err }},
		"load":         {`{"running":1,"waiting":12,"capacity":8}`, func(c *HTTPClient, url string) error { _, err := c.Load(ctx, url, true); return err }},
		"state":        {`{"models":[{"id":"m"}],"fence":12}`, func(c *HTTPClient, url string) error { _, err := c.State(ctx, url); return err }},
		"cache events": {`{"events":[{"sequence":12}]}`, func(c *HTTPClient, url string) error { _, err := c.CacheEvents(ctx, url, 0); return err }},
		"order":        {`{}`, func(c *HTTPClient, url string) error { return c.Order(ctx, url, Order{}) }},
	} {
		for _, f := range rawhttp.Framings() {
			for ending, reset := range rawhttp.Endings() {
				Convey(fmt.Sprintf("a response to the call for %s %s that the engine %s at any byte is whole or an error", name, f.Name, ending), t, func() {
					r := f.Response(cutFields, c.body)
					for _, cut := range r.Cuts() {
						network := new(memorynet.Network)
						server := network.NewServer(http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
							// Otherwise the connection may end while the request is being sent, and the response does not count.
							_, _ = io.Copy(io.Discard, request.Body)
							rawhttp.WriteAndEnd(w, r.Raw[:cut], reset)
						}))
						client := New(Config{ProgressTimeout: time.Minute, Log: discardLogger(), Dial: network.DialContext})
						err := c.send(client, server.URL)
						client.Close()
						server.Close()
						whole := cut == len(r.Raw) && (!f.Unframed || !reset)
						if name == "order" && f.Unframed && !reset {
							// The status alone says that the order was accepted.
							whole = cut >= r.Head
						}
						SoMsg(strconv.Quote(r.Raw[:cut]), err == nil, ShouldEqual, whole)
					}
				})
			}
		}
	}
}
