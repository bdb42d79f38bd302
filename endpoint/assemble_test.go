package endpoint

import (
	"encoding/json"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestAssembler(t *testing.T) {
	Convey("Text, tool calls and log probabilities of a stream are assembled into a completion, which can be split into events again", t, func() {
		var b Assembler
		for _, data := range []string{
			`{"id":"c","model":"m","choices":[{"index":0,"delta":{"role":"assistant","content":"a"},"logprobs":{"content":[1]},"finish_reason":null}]}`,
			`{"id":"c","model":"m","choices":[{"index":0,"delta":{"content":"b"},"logprobs":{"content":[2]},"finish_reason":null}]}`,
			`{"id":"c","model":"m","choices":[{"index":0,"delta":{"tool_calls":[{"index":1,"id":"y","type":"function","function":{"name":"g","arguments":""}}]},"finish_reason":null}]}`,
			`{"id":"c","model":"m","choices":[{"index":0,"delta":{"tool_calls":[{"index":0,"id":"x","type":"function","function":{"name":"f","arguments":"{"}}]},"finish_reason":null}]}`,
			`{"id":"c","model":"m","choices":[{"index":0,"delta":{"tool_calls":[{"index":0,"function":{"arguments":"}"}}]},"finish_reason":"tool_calls"}]}`,
			`{"id":"c","model":"m","choices":[],"usage":{"total_tokens":9}}`,
		} {
			So(b.Add(StreamEvent{Data: []byte(data)}), ShouldBeNil)
		}
		body, err := b.Completion("r")
		So(err, ShouldBeNil)
		const message = `"content":"ab","role":"assistant","tool_calls":[{"function":{"arguments":"{}","name":"f"},"id":"x","type":"function"},` +
			`{"function":{"arguments":"","name":"g"},"id":"y","type":"function"}]`
		So(string(body), ShouldEqual, `{"id":"c","object":"chat.completion","model":"m","request_id":"r","choices":[{"index":0,"message":{`+message+
			`},"logprobs":{"content":[1,2]},"finish_reason":"tool_calls"}],"usage":{"total_tokens":9}}`)

		events, err := SplitCompletion(body)
		So(err, ShouldBeNil)
		var again Assembler
		for _, e := range events {
			So(again.Add(e), ShouldBeNil)
		}
		twice, err := again.Completion("r")
		So(err, ShouldBeNil)
		So(string(twice), ShouldEqual, string(body))
		So(json.Valid(events[2].Data) && events[2].Usage, ShouldBeTrue)
	})
	Convey("Events of a second choice are refused", t, func() {
		var b Assembler
		So(b.Add(StreamEvent{Data: []byte(`{"choices":[{"index":1,"delta":{}}]}`)}), ShouldNotBeNil)
	})
}
