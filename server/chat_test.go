package server

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"pumiceshelf/api"
	"pumiceshelf/bundle"
	"pumiceshelf/internal/standin"
)

func TestInvalidInput(t *testing.T) {
	const messages = `"messages":[{"role":"user","content":"x"}]`
	bodies := []struct{ name, body, field, detail string }{
		{"empty body", ``, "body", "ends too early"},
		{"broken JSON", `{"model":"price",`, "body", "ends too early"},
		{"broken syntax", `{"model":price}`, "body", "not JSON"},
		{"data after the end", `{"model":"price",` + messages + `} {}`, "body", "after its end"},
		{"an array", `[1]`, "body", "must be an object"},
		{"bytes that are not UTF-8", "{\"model\":\"price\",\"user\":\"\xff\"," + messages + "}", "body", "UTF-8"},
		{"no model", `{` + messages + `}`, "model", "missing"},
		{"a model of the wrong type", `{"model":7,` + messages + `}`, "model", "is a number, must be a string"},
		{"no messages", `{"model":"price"}`, "messages", "missing"},
		{"empty messages", `{"model":"price","messages":[]}`, "messages", "0 messages"},
		{"a message that is not an object", `{"model":"price","messages":["x"]}`, "messages[0]", "object"},
		{"a message without role", `{"model":"price","messages":[{"content":"x"}]}`, "messages[0].role", "string"},
		{"content of the wrong type", `{"model":"price","messages":[{"role":"user","content":5}]}`, "messages[0].content", "is a number"},
		{"an image by URL", `{"model":"price","messages":[{"role":"user","content":[{"type":"image_url","image_url":{"url":"http://x/y.png"}}]}]}`,
			"messages[0].content[0].image_url.url", "data URL"},
		{"an image for a model without image support", `{"model":"dose","messages":[{"role":"user","content":[{"type":"image_url","image_url":{"url":"data:image/png;base64,AA"}}]}]}`,
			"messages", "does not take"},
		{"a part of unknown type", `{"model":"price","messages":[{"role":"user","content":[{"type":"audio","text":"x"}]}]}`, "messages[0].content[0].type", "must be text"},
		{"a negative cap", `{"model":"price","max_tokens":-5,` + messages + `}`, "max_tokens", "is -5"},
		{"a cap of zero", `{"model":"price","max_tokens":0,` + messages + `}`, "max_tokens", "from 1"},
		{"a broken cap", `{"model":"price","max_tokens":1.5,` + messages + `}`, "max_tokens", "whole number"},
		{"an excessive cap", `{"model":"price","max_tokens":1e9,` + messages + `}`, "max_tokens", "whole number"},
		{"a cap over the model's", `{"model":"price","max_tokens":401,` + messages + `}`, "max_tokens", "at most 400"},
		{"a cap as text", `{"model":"price","max_tokens":"5",` + messages + `}`, "max_tokens", "is a string, must be a number"},
		{"two caps that differ", `{"model":"price","max_tokens":5,"max_completion_tokens":6,` + messages + `}`, "max_tokens", "differs"},
		{"a field twice", `{"model":"price","max_tokens":1,"max_tokens":9,` + messages + `}`, "body", `"max_tokens" twice`},
		{"a field twice in a message", `{"model":"price","messages":[{"role":"user","content":"x","content":"y"}]}`, "messages[0]", "twice"},
		{"an unknown field", `{"model":"price","best_of":9,` + messages + `}`, "best_of", "not a known field"},
		{"a field in different case", `{"Model":"price",` + messages + `}`, "Model", "not a known field"},
		{"more than one choice", `{"model":"price","n":2,` + messages + `}`, "n", "must be 1"},
		{"null", `{"model":"price","stream":null,` + messages + `}`, "stream", "must not be null"},
		{"stream options without stream", `{"model":"price","stream_options":{"include_usage":true},` + messages + `}`, "stream_options", "needs stream"},
	}
	headers := []struct{ name, value string }{
		{headerDeadline, "soon"}, {headerDeadline, "0"}, {headerDeadline, "-1"}, {headerDeadline, "99999999999"},
		{headerPriority, "urgent"}, {headerIdempotent, "yes"}, {headerFirstAttempt, "1"},
		{headerIdempotencyKey, strings.Repeat("k", maxKeyLength+1)}, {headerIdempotencyKey, "caf\u00e9"},
	}
	Convey("Given a server", t, func() {
		r := newHarness()
		Reset(func() {
			So(r.engineRuns(), ShouldBeEmpty)
			So(r.quota.settledUsages(), ShouldBeEmpty)
			r.close()
		})
		Convey("each invalid body is refused with the name of the field and nothing runs", func() {
			for _, c := range bodies {
				p := decodeProblem(r.send("POST", chatPath, c.body))
				So([]any{c.name, p.Status, p.Outcome, p.Field}, ShouldResemble, []any{c.name, 400, outcomeNotRun, c.field})
				So(p.Detail, ShouldContainSubstring, c.detail)
			}
		})
		Convey("each invalid header is refused with the name of the header", func() {
			for _, c := range headers {
				p := decodeProblem(r.sendChat("price", false, c.name, c.value))
				So([]any{c.value, p.Status, p.Field}, ShouldResemble, []any{c.value, 400, c.name})
			}
			So(decodeProblem(r.sendChat("price", false, headerIdempotencyKey, "a", headerIdempotencyKey, "b")).Field, ShouldEqual, headerIdempotencyKey)
		})
		Convey("other invalid requests are refused with the matching reason", func() {
			big := strings.Repeat("x", 70<<10)
			So(decodeProblem(r.send("POST", chatPath, big)).Reason, ShouldEqual, ReasonBodyTooLarge)
			So(decodeProblem(r.sendChat("none", false)).Reason, ShouldEqual, ReasonUnknownModel)
			So(decodeProblem(r.send("GET", chatPath, "")).Reason, ShouldEqual, ReasonMethodNotAllowed)
			So(decodeProblem(r.send("GET", "/elsewhere", "")).Reason, ShouldEqual, ReasonNotFound)
			So(decodeProblem(r.send("GET", "/plans/../secret", "")).Field, ShouldEqual, "path")
		})
	})
}

// drawContent draws the content of a message: text, or parts that may include images.
func drawContent(rt *rapid.T) any {
	if rapid.Bool().Draw(rt, "plain") {
		return rapid.String().Draw(rt, "text")
	}
	parts := []any{}
	for range rapid.IntRange(0, 3).Draw(rt, "parts") {
		if rapid.Bool().Draw(rt, "image") {
			parts = append(parts, map[string]any{"type": "image_url", "image_url": map[string]any{"url": "data:image/png;base64,AAAA"}})
			continue
		}
		parts = append(parts, map[string]any{"type": "text", "text": rapid.String().Draw(rt, "part")})
	}
	return parts
}

func TestParseRandomRequests(t *testing.T) {
	snapshot := bundle.Compile(&api.Bundle{Models: []*api.Model{{Id: "m", DefaultCapTokens: 7, MaxCapTokens: 50, ImageBoundTokens: 64, TemplateBoundTokens: 3}}})
	rapid.Check(t, func(rt *rapid.T) {
		body := map[string]any{"model": "m", "stream": rapid.Bool().Draw(rt, "stream"), "temperature": 0.5}
		var list []any
		for range rapid.IntRange(1, 5).Draw(rt, "messages") {
			list = append(list, map[string]any{"role": "user", "content": drawContent(rt)})
		}
		body["messages"] = list
		if n := rapid.IntRange(0, 50).Draw(rt, "cap"); n > 0 {
			body[rapid.SampledFrom([]string{"max_tokens", "max_completion_tokens"}).Draw(rt, "name")] = n
		}
		if body["stream"] == true && rapid.Bool().Draw(rt, "options") {
			body["stream_options"] = map[string]any{"include_usage": false}
		}
		text, _ := json.Marshal(body)
		c, f := parseChatRequest(snapshot, text)
		if f != nil {
			rt.Fatalf("%s refused: %+v", text, f)
		}
		checkForwarded(rt, body, c)
	})
}

// maxPromptTokens is a reference model of the prompt's bound: 1 token per byte of text, 64 per image, 3 per message and
// 3 for the start of the response.
func maxPromptTokens(messages any) uint64 {
	tokens := 3
	for _, m := range messages.([]any) {
		tokens += 3
		switch content := m.(map[string]any)["content"].(type) {
		case string:
			tokens += len(content)
		case []any:
			for _, p := range content {
				text, ok := p.(map[string]any)["text"].(string)
				tokens += len(text)
				if !ok {
					tokens += 64
				}
			}
		}
	}
	return uint64(tokens)
}

// checkForwarded compares the forwarded body with the one sent, and the prompt's bound with the engine's token count.
func checkForwarded(rt *rapid.T, sent map[string]any, c *chatRequest) {
	_, _, tokens, err := standin.ParsePrompt(c.forwardBody)
	if err != nil || uint64(tokens) > c.promptBound {
		rt.Fatalf("prompt of %d tokens over its bound of %d (%v)", tokens, c.promptBound, err)
	}
	if expected := maxPromptTokens(sent["messages"]); expected > c.promptBound {
		rt.Fatalf("prompt of up to %d tokens over its bound of %d", expected, c.promptBound)
	}
	var got map[string]any
	if err := json.Unmarshal(c.forwardBody, &got); err != nil {
		rt.Fatalf("forwarded body: %v", err)
	}
	if got["max_tokens"] != float64(c.capTokens) {
		rt.Fatalf("forwarded cap %v, want %d", got["max_tokens"], c.capTokens)
	}
	if sent["stream"] == true && fmt.Sprint(got["stream_options"]) != "map[include_usage:true]" {
		rt.Fatalf("forwarded stream options %v", got["stream_options"])
	}
	for name, value := range sent {
		if name == "stream_options" {
			continue
		}
		a, _ := json.Marshal(value)
		b, _ := json.Marshal(got[name])
		if string(a) != string(b) {
			rt.Fatalf("field %s changed from %s to %s", name, a, b)
		}
	}
}
