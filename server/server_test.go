package server

import (
	"encoding/json"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"pumiceshelf/internal/standin"
)

// textOf returns the text of a whole or streamed answer.
func textOf(r reply) string {
	var b strings.Builder
	for line := range strings.SplitSeq(strings.ReplaceAll(r.body, "data: ", ""), "\n") {
		var c struct {
			Choices []struct {
				Delta, Message struct{ Content string }
			}
		}
		if json.Unmarshal([]byte(line), &c) != nil {
			continue
		}
		for _, choice := range c.Choices {
			b.WriteString(choice.Delta.Content + choice.Message.Content)
		}
	}
	return strings.TrimSpace(b.String())
}

func TestThin(t *testing.T) {
	Convey("Given a server before engines", t, func() {
		r := newRig()
		Reset(r.close)
		Convey("a whole answer arrives and is billed as used", func() {
			got := r.chat("price", false)
			So(got.status, ShouldEqual, 200)
			So(textOf(got), ShouldEqual, expected("price"))
			So(len(r.keeper.bills()), ShouldEqual, 1)
			So(r.keeper.bills()[0].Generated, ShouldEqual, modelCap)
		})
		Convey("a streamed answer arrives and ends with its marker", func() {
			got := r.chat("price", true)
			So(got.err, ShouldBeNil)
			So(textOf(got), ShouldEqual, expected("price"))
			So(got.body, ShouldEndWith, "data: [DONE]\n\n")
		})
		Convey("a crossed answer is never passed on", func() {
			r.faults(standin.EngineFaults{Crossed: true})
			got := r.chat("dose", false)
			So(got.status, ShouldEqual, 502)
			So(got.body, ShouldContainSubstring, `"outcome":"unknown"`)
			So(len(r.runs()), ShouldEqual, 1)
		})
		Convey("a plain service is called", func() {
			got := r.send("GET", "/plans/7?full=1", "")
			So(got.status, ShouldEqual, 200)
			So(r.plain.Calls()[0].Path, ShouldEqual, "/plans/7?full=1")
		})
	})
}
