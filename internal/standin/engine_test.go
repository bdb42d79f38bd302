package standin

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func send(method, url, id, body string) (int, string) {
	r, err := http.NewRequest(method, url, strings.NewReader(body))
	So(err, ShouldBeNil)
	r.Header.Set(headerRequestID, id)
	res, err := http.DefaultClient.Do(r)
	So(err, ShouldBeNil)
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	So(err, ShouldBeNil)
	return res.StatusCode, string(data)
}

func TestEngine(t *testing.T) {
	const body = `{"model":"m","max_tokens":3,"messages":[{"role":"user","content":"price this coat"}]}`
	Convey("Given an engine", t, func() {
		e := NewEngine(EngineConfig{Models: []string{"m"}, ChecksFencing: true})
		s := httptest.NewServer(e)
		defer s.Close()
		model, prompt, tokens, err := ParsePrompt([]byte(body))
		So(err, ShouldBeNil)
		answer := Answer(model, prompt, 3)

		Convey("a complete answer is determined by the prompt and is logged", func() {
			status, got := send("POST", s.URL+"/v1/chat/completions", "r1", body)
			So(status, ShouldEqual, 200)
			So(got, ShouldContainSubstring, `"content":"`+answer+`"`)
			So(got, ShouldContainSubstring, `"request_id":"r1"`)
			run := e.Runs()[0]
			So(run.Generated, ShouldEqual, 3)
			So(run.PromptTokens, ShouldEqual, tokens)
			So(run.Finished, ShouldBeTrue)
		})
		Convey("a stream has one event per token, ends with the usage and can be resumed at an offset", func() {
			stream := strings.Replace(body, `"max_tokens"`, `"stream":true,"max_tokens"`, 1)
			_, got := send("POST", s.URL+"/v1/chat/completions", "r1", stream)
			So(strings.Count(got, `"tokens":1`), ShouldEqual, 3)
			So(got, ShouldContainSubstring, `"completion_tokens":3`)
			So(got, ShouldEndWith, "data: [DONE]\n\n")
			_, rest := send("GET", s.URL+"/v1/requests/r1/stream?offset=2", "", "")
			So(rest, ShouldStartWith, "id: 2\n")
			So(got, ShouldEndWith, rest)
		})
		Convey("a busy engine refuses requests without running them", func() {
			e.SetFaults(EngineFaults{Busy: true})
			status, _ := send("POST", s.URL+"/v1/chat/completions", "r1", body)
			So(status, ShouldEqual, 503)
			So(e.Runs(), ShouldBeEmpty)
		})
		Convey("an order with an old fencing number is refused, and cache events are published", func() {
			status, _ := send("PUT", s.URL+"/v1/orders", "", `{"fence":7,"models":[{"id":"m"},{"id":"n"}]}`)
			So(status, ShouldEqual, 204)
			status, _ = send("PUT", s.URL+"/v1/orders", "", `{"fence":6,"models":[]}`)
			So(status, ShouldEqual, 409)
			send("POST", s.URL+"/v1/chat/completions", "r1", strings.Replace(body, "coat", strings.Repeat("coat ", 40), 1))
			_, got := send("GET", s.URL+"/v1/cache/events?after=1", "", "")
			So(got, ShouldContainSubstring, `"sequence":2`)
		})
	})
}
