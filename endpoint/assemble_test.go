package endpoint

import (
	"encoding/json"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestAssembler(t *testing.T) {
	Convey("Text, tool calls and probabilities of a stream become one whole answer, and events again", t, func() {
		var b Assembler
		for _, data := range []string{
			`{"id":"c","model":"m","choices":[{"index":0,"delta":{"role":"assistant","content":"a"},"logprobs":{"content":[1]},"finish_reason":null}]}`,
			`{"id":"c","model":"m","choices":[{"index":0,"delta":{"content":"b"},"logprobs":{"content":[2]},"finish_reason":null}]}`,
			`{"id":"c","model":"m","choices":[{"index":0,"delta":{"tool_calls":[{"index":1,"id":"y","type":"function","function":{"name":"g","arguments":""}}]},"finish_reason":null}]}`,
			`{"id":"c","model":"m","choices":[{"index":0,"delta":{"tool_calls":[{"index":0,"id":"x","type":"function","function":{"name":"f","arguments":"{"}}]},"finish_reason":null}]}`,
			`{"id":"c","model":"m","choices":[{"index":0,"delta":{"tool_calls":[{"index":0,"function":{"arguments":"}"}}]},"finish_reason":"tool_calls"}]}`,
			`{"id":"c","model":"m","choices":[],"usage":{"total_tokens":9}}`,
		} {
			So(b.Add(Piece{Data: []byte(data)}), ShouldBeNil)
		}
		whole, err := b.Whole("r")
		So(err, ShouldBeNil)
		const message = `"content":"ab","role":"assistant","tool_calls":[{"function":{"arguments":"{}","name":"f"},"id":"x","type":"function"},` +
			`{"function":{"arguments":"","name":"g"},"id":"y","type":"function"}]`
		So(string(whole), ShouldEqual, `{"id":"c","object":"chat.completion","model":"m","request_id":"r","choices":[{"index":0,"message":{`+message+
			`},"logprobs":{"content":[1,2]},"finish_reason":"tool_calls"}],"usage":{"total_tokens":9}}`)

		pieces, err := Split(whole)
		So(err, ShouldBeNil)
		var again Assembler
		for _, p := range pieces {
			So(again.Add(p), ShouldBeNil)
		}
		twice, err := again.Whole("r")
		So(err, ShouldBeNil)
		So(string(twice), ShouldEqual, string(whole))
		So(json.Valid(pieces[2].Data) && pieces[2].Usage, ShouldBeTrue)
	})
	Convey("Pieces of a second choice are not taken", t, func() {
		var b Assembler
		So(b.Add(Piece{Data: []byte(`{"choices":[{"index":1,"delta":{}}]}`)}), ShouldNotBeNil)
	})
}
