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

func TestBadInput(t *testing.T) {
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
		{"a message that is no object", `{"model":"price","messages":["x"]}`, "messages[0]", "object"},
		{"a message without role", `{"model":"price","messages":[{"content":"x"}]}`, "messages[0].role", "string"},
		{"content of the wrong type", `{"model":"price","messages":[{"role":"user","content":5}]}`, "messages[0].content", "is a number"},
		{"an image by address", `{"model":"price","messages":[{"role":"user","content":[{"type":"image_url","image_url":{"url":"http://x/y.png"}}]}]}`,
			"messages[0].content[0].image_url.url", "data URL"},
		{"an image for a model that takes none", `{"model":"dose","messages":[{"role":"user","content":[{"type":"image_url","image_url":{"url":"data:image/png;base64,AA"}}]}]}`,
			"messages", "does not take"},
		{"a part of unknown type", `{"model":"price","messages":[{"role":"user","content":[{"type":"audio","text":"x"}]}]}`, "messages[0].content[0].type", "must be text"},
		{"a negative cap", `{"model":"price","max_tokens":-5,` + messages + `}`, "max_tokens", "is -5"},
		{"a cap of zero", `{"model":"price","max_tokens":0,` + messages + `}`, "max_tokens", "from 1"},
		{"a broken cap", `{"model":"price","max_tokens":1.5,` + messages + `}`, "max_tokens", "whole number"},
		{"an absurd cap", `{"model":"price","max_tokens":1e9,` + messages + `}`, "max_tokens", "whole number"},
		{"a cap over the model's", `{"model":"price","max_tokens":401,` + messages + `}`, "max_tokens", "at most 400"},
		{"a cap as text", `{"model":"price","max_tokens":"5",` + messages + `}`, "max_tokens", "is a string, must be a number"},
		{"two caps that differ", `{"model":"price","max_tokens":5,"max_completion_tokens":6,` + messages + `}`, "max_tokens", "differs"},
		{"a field twice", `{"model":"price","max_tokens":1,"max_tokens":9,` + messages + `}`, "body", `"max_tokens" twice`},
		{"a field twice in a message", `{"model":"price","messages":[{"role":"user","content":"x","content":"y"}]}`, "messages[0]", "twice"},
		{"an unknown field", `{"model":"price","best_of":9,` + messages + `}`, "best_of", "not a known field"},
		{"a field in other letters", `{"Model":"price",` + messages + `}`, "Model", "not a known field"},
		{"several answers", `{"model":"price","n":2,` + messages + `}`, "n", "must be 1"},
		{"null", `{"model":"price","stream":null,` + messages + `}`, "stream", "must not be null"},
		{"stream options without stream", `{"model":"price","stream_options":{"include_usage":true},` + messages + `}`, "stream_options", "needs stream"},
	}
	headers := []struct{ name, value string }{
		{headerDeadline, "soon"}, {headerDeadline, "0"}, {headerDeadline, "-1"}, {headerDeadline, "99999999999"},
		{headerPriority, "urgent"}, {headerIdempotent, "yes"}, {headerFirstAttempt, "1"},
		{headerKey, strings.Repeat("k", maxKeyLength+1)}, {headerKey, "caf\u00e9"},
	}
	Convey("Given a server", t, func() {
		r := newRig()
		Reset(func() {
			So(r.runs(), ShouldBeEmpty)
			So(r.keeper.bills(), ShouldBeEmpty)
			r.close()
		})
		Convey("each wrong body is refused with its field and nothing runs", func() {
			for _, c := range bodies {
				p := problemOf(r.send("POST", chatPath, c.body))
				So([]any{c.name, p.Status, p.Outcome, p.Field}, ShouldResemble, []any{c.name, 400, outcomeNotRun, c.field})
				So(p.Detail, ShouldContainSubstring, c.detail)
			}
		})
		Convey("each wrong header is refused with its name", func() {
			for _, c := range headers {
				p := problemOf(r.chat("price", false, c.name, c.value))
				So([]any{c.value, p.Status, p.Field}, ShouldResemble, []any{c.value, 400, c.name})
			}
			So(problemOf(r.chat("price", false, headerKey, "a", headerKey, "b")).Field, ShouldEqual, headerKey)
		})
		Convey("other refusals name their reason", func() {
			big := strings.Repeat("x", 70<<10)
			So(problemOf(r.send("POST", chatPath, big)).Reason, ShouldEqual, ReasonTooLarge)
			So(problemOf(r.chat("none", false)).Reason, ShouldEqual, ReasonUnknownModel)
			So(problemOf(r.send("GET", chatPath, "")).Reason, ShouldEqual, ReasonMethod)
			So(problemOf(r.send("GET", "/elsewhere", "")).Reason, ShouldEqual, ReasonNotFound)
			So(problemOf(r.send("GET", "/plans/../secret", "")).Field, ShouldEqual, "path")
		})
	})
}

// drawContent draws the content of a message: text, or parts with images among them.
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

func TestParseRandom(t *testing.T) {
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
		c, f := parseChat(snapshot, text)
		if f != nil {
			rt.Fatalf("%s refused: %+v", text, f)
		}
		checkForwarded(rt, body, c)
	})
}

// mostTokens is a naive count: each byte of text is a token, each image has 64, each message 3 and the answer's opening 3.
func mostTokens(messages any) uint64 {
	most := 3
	for _, m := range messages.([]any) {
		most += 3
		switch content := m.(map[string]any)["content"].(type) {
		case string:
			most += len(content)
		case []any:
			for _, p := range content {
				text, ok := p.(map[string]any)["text"].(string)
				most += len(text)
				if !ok {
					most += 64
				}
			}
		}
	}
	return uint64(most)
}

// checkForwarded compares the forwarded body with the one sent and the bound with what an engine counts.
func checkForwarded(rt *rapid.T, sent map[string]any, c *chat) {
	_, _, tokens, err := standin.ParsePrompt(c.forward)
	if err != nil || uint64(tokens) > c.promptBound {
		rt.Fatalf("prompt of %d tokens over its bound of %d (%v)", tokens, c.promptBound, err)
	}
	if most := mostTokens(sent["messages"]); most > c.promptBound {
		rt.Fatalf("prompt of up to %d tokens over its bound of %d", most, c.promptBound)
	}
	var got map[string]any
	if err := json.Unmarshal(c.forward, &got); err != nil {
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
