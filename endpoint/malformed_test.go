package endpoint

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"pumiceshelf/internal/memorynet"
	"pumiceshelf/internal/rawhttp"
)

// Guards against a response whose status is none and that counts as complete or as a refusal.
func TestResponsesWithMalformedStatuses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) { checkMalformed(t, rawhttp.MalformedStatuses) })
}

// Guards against a response with an invalid name of a field that counts as complete or as a refusal.
func TestResponsesWithMalformedFields(t *testing.T) {
	synctest.Test(t, func(t *testing.T) { checkMalformed(t, rawhttp.MalformedFields) })
}

// checkMalformed checks that responses to calls are lost, and that those to control calls are errors.
func checkMalformed(t *testing.T, malformed func(fields, body string) map[string]string) {
	refusals := malformed(cutFields+headerNotRun+": 1\r\n", "")
	for name, raw := range malformed(cutFields, rawCompletion) {
		Convey(fmt.Sprintf("a response %s is lost, and assembled if its engine has the rest: %q", name, raw), t, func() {
			e := &cutEngine{raw: raw, times: 1, forgotten: true}
			res, _ := e.call(false, false)
			So(res.Status, ShouldEqual, Incomplete)
			So(e.calls.Load(), ShouldEqual, 1)
			for _, raw := range []string{raw, refusals[name]} {
				for _, stream := range []bool{false, true} {
					for _, forgotten := range []bool{false, true} {
						e = &cutEngine{raw: raw, times: 1, forgotten: forgotten}
						res, text := e.call(stream, true)
						So(res.Status == Complete, ShouldEqual, !forgotten)
						So(res.Status, ShouldBeIn, Complete, Incomplete)
						if res.Status == Complete && !stream {
							text = completionText(res.Body)
						}
						So("ab", ShouldStartWith, text)
						So(text == "ab", ShouldEqual, !forgotten)
						So(e.calls.Load(), ShouldEqual, 1)
					}
				}
			}
		})
	}
	responses := malformed(cutFields, `{"request_id":"r","usage":{"prompt_tokens":2,"completion_tokens":2}}`)
	maps.Copy(responses, rawhttp.MalformedTrailers(cutFields, `{"request_id":"r","usage":{"prompt_tokens":2,"completion_tokens":2}}`))
	for name, raw := range responses {
		Convey(fmt.Sprintf("a response %s to a control call is an error: %q", name, raw), t, func() {
			network := new(memorynet.Network)
			server := network.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { rawhttp.WriteAndEnd(w, raw, false) }))
			client := New(Config{ProgressTimeout: time.Minute, Log: discardLogger(), Dial: network.DialContext})
			Reset(server.Close)
			Reset(client.Close)
			_, err := client.Cancel(context.Background(), server.URL, "r")
			So(err, ShouldNotBeNil)
			So(client.Order(context.Background(), server.URL, Order{}), ShouldNotBeNil)
		})
	}
}

// Guards against a response with an invalid name of a field in its trailer that counts as complete.
func TestResponsesWithMalformedTrailers(t *testing.T) {
	synctest.Test(t, testResponsesWithMalformedTrailers)
}

func testResponsesWithMalformedTrailers(t *testing.T) {
	for name, raw := range rawhttp.MalformedTrailers(cutFields, "the body") {
		Convey("a response "+name+" is lost", t, func() {
			e := &cutEngine{raw: raw, times: 1, forgotten: true}
			res, _ := e.call(false, false)
			So(res.Status, ShouldEqual, Incomplete)
			So(res.Reason, ShouldEqual, ReasonMalformed)
			So(e.calls.Load(), ShouldEqual, 1)
		})
	}
}
