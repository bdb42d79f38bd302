package gateway

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"pumiceshelf/origin"
	"pumiceshelf/routing"
)

// Guards against resumptions that are refused because engines are busy, so that callers lose what they have of their streams (LOST).
func TestResumptionIsNotRefusedForLoad(t *testing.T) {
	Convey("Given a request of an engine's route", t, func() {
		j := &job{
			gateway: &Gateway{}, service: "model", route: &routing.Route{Mode: routing.Streaming, Resumable: true, LatencyObjective: time.Second},
			table: routing.Compile(routing.Config{Services: []routing.Service{{Name: "model", Engine: &routing.Engine{Slots: 8, TokensPerEvent: 4}}}}),
		}
		Convey("a new stream may be refused if no engine begins it in time", func() {
			So(j.placementRequest().MaxTimeToFirstToken, ShouldEqual, time.Second)
			So(j.placementRequest().NeverOverloaded, ShouldBeFalse)
		})
		Convey("one that its caller resumes may not", func() {
			j.origin = &origin.Origin{Service: "model", Version: "v1"}
			So(j.placementRequest().NeverOverloaded, ShouldBeTrue)
		})
	})
}
