package server

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"pumiceshelf/endpoint"
	"pumiceshelf/internal/rawhttp"
)

// cutEndpoint is the only endpoint of a harness. It cuts its responses to calls and knows nothing of them later.
type cutEndpoint struct {
	framing rawhttp.Framing
	body    string
	cut     int
	reset   bool
	calls   atomic.Int32
	// sent is the last response before it was cut.
	sent atomic.Pointer[rawhttp.Response]
}

// ServeHTTP implements http.Handler.
func (e *cutEndpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	if r.Method != http.MethodPost {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	e.calls.Add(1)
	id := r.Header.Get(headerRequestID)
	sent := e.framing.Response(headerRequestID+": "+id+"\r\n", strings.ReplaceAll(e.body, "ID", id))
	e.sent.Store(&sent)
	rawhttp.WriteAndEnd(w, sent.Raw[:e.cut], e.reset)
}

// install makes the endpoint that of all requests of the harness.
func (e *cutEndpoint) install(r *harness) {
	server := r.startHTTPServer(e)
	client := endpoint.New(endpoint.Config{
		ProgressTimeout: time.Minute, Log: discardLogger(),
		Dial: func(ctx context.Context, network, _ string) (net.Conn, error) {
			return new(net.Dialer).DialContext(ctx, network, server.Listener.Addr().String())
		},
	})
	r.server.cfg.Endpoints = client
	r.cleanups = append(r.cleanups, client.Close)
}

// Guards against a response of an endpoint that breaks off in its head, its body or its trailer and looks whole to the caller (MIXED, ORDER), and
// against a second run of a request that may run once (TWICE).
func TestResponsesCutAnywhere(t *testing.T) {
	const completion = `{"request_id":"ID","choices":[{"index":0,"message":{"content":"ab"},"finish_reason":"stop"}],` +
		`"usage":{"prompt_tokens":2,"completion_tokens":2}}`
	const stream = `id: 0
data: {"request_id":"ID","choices":[{"index":0,"delta":{"content":"a"},"finish_reason":null}]}

id: 1
data: {"request_id":"ID","tokens":0,"choices":[{"index":0,"delta":{},"finish_reason":"stop"}]}

id: 1
data: {"request_id":"ID","choices":[],"usage":{"prompt_tokens":2,"completion_tokens":1}}

data: [DONE]

`
	for name, c := range map[string]struct {
		body string
		send func(r *harness) callerResponse
		// end is what a whole response to the caller ends with.
		end string
	}{
		"a plain service": {"twelve bytes", func(r *harness) callerResponse { return r.send("POST", "/plans/7", "x") }, "twelve bytes"},
		"a completion":    {completion, func(r *harness) callerResponse { return r.sendChat("dose", false) }, `"completion_tokens":2}}`},
		"a stream":        {stream, func(r *harness) callerResponse { return r.sendChat("dose", true) }, "data: [DONE]\n\n"},
	} {
		for _, f := range rawhttp.Framings() {
			if f.HeadOnly {
				continue
			}
			for ending, reset := range rawhttp.Endings() {
				Convey(fmt.Sprintf("a response of %s %s that the endpoint %s at any byte is whole, unknown or breaks off visibly", name, f.Name, ending), t, func() {
					r := newHarness()
					Reset(r.close)
					e := &cutEndpoint{framing: f, body: c.body, reset: reset}
					e.install(r)
					_ = c.send(r)
					// The IDs of requests all have the same length.
					for _, cut := range e.sent.Load().Cuts() {
						e.cut = cut
						e.calls.Store(0)
						got := c.send(r)
						sent := e.sent.Load()
						at := strconv.Quote(sent.Raw[:cut])
						SoMsg(at, e.calls.Load(), ShouldEqual, 1)
						switch {
						case got.err != nil:
							SoMsg(at, cut, ShouldBeLessThan, len(sent.Raw))
						case got.status == http.StatusOK && name == "a plain service" && f.Unframed && !reset:
							// It ends with the connection.
							SoMsg(at, cut, ShouldBeGreaterThanOrEqualTo, sent.Head)
							SoMsg(at, got.body, ShouldEqual, sent.Body(cut))
						case got.status == http.StatusOK && name != "a stream":
							SoMsg(at, got.body, ShouldEndWith, c.end)
							SoMsg(at, sent.Body(cut), ShouldEqual, sent.Body(len(sent.Raw)))
						case got.status == http.StatusOK && strings.HasSuffix(got.body, c.end):
							SoMsg(at, sent.Body(cut), ShouldEndWith, c.end)
						case got.status == http.StatusOK:
							SoMsg(at, got.body, ShouldContainSubstring, "event: "+errorEventType+"\n")
						default:
							SoMsg(at, decodeProblem(got).Outcome, ShouldEqual, outcomeUnknown)
						}
					}
				})
			}
		}
	}
}
