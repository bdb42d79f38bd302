package placement_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"pumiceshelf/placement"
	"pumiceshelf/registry"
)

func none(string) bool  { return false }
func every(string) bool { return true }

func TestDrainingEndpointGetsNoRequest(t *testing.T) {
	Convey("Given an endpoint that has said that it is about to stop", t, func() {
		now := time.Unix(1000, 0)
		c, all := placement.New(noLimits()), engines(3)
		first := c.Pick(all, sessionRequest("s1"), nil, now).Ticket
		So(first.RecordDraining(), ShouldBeTrue)
		draining := []registry.Endpoint{first.Endpoint}
		outcome := func(at time.Time) placement.Outcome { return c.Pick(draining, sessionRequest("s1"), nil, at).Outcome }

		Convey("it is recorded once", func() {
			So(first.RecordDraining(), ShouldBeFalse)
		})
		Convey("requests go to others, however many they have", func() {
			for range 100 {
				So(c.Pick(all, sessionRequest("s1"), nil, now).Ticket.Endpoint.ID, ShouldNotEqual, first.Endpoint.ID)
			}
			for range 9 {
				So(c.Pick(all, placement.Request{Service: "model"}, nil, now).Ticket.Endpoint.ID, ShouldNotEqual, first.Endpoint.ID)
			}
		})
		Convey("it is not chosen if no other is left", func() {
			So(outcome(now.Add(time.Hour)), ShouldEqual, placement.NoEndpoint)
		})
		Convey("its entry may vanish and come back", func() {
			c.Retain(none, now)
			c.Retain(none, now.Add(9*time.Minute))
			So(outcome(now.Add(9*time.Minute)), ShouldEqual, placement.NoEndpoint)
			c.Retain(every, now.Add(9*time.Minute))
			c.Retain(none, now.Add(time.Hour))
			So(outcome(now.Add(time.Hour)), ShouldEqual, placement.NoEndpoint)
		})
		Convey("it is forgotten long after its entry is gone", func() {
			c.Retain(none, now)
			c.Retain(none, now.Add(11*time.Minute))
			So(outcome(now.Add(11*time.Minute)), ShouldEqual, placement.Chosen)
		})
		Convey("a new process under its ID gets requests, whatever a late response of the former says", func() {
			draining[0].StartedUnixMilli = 5
			next := c.Pick(draining, sessionRequest("s1"), nil, now)
			So(next.Outcome, ShouldEqual, placement.Chosen)
			next.Ticket.RecordDraining()
			So(first.RecordDraining(), ShouldBeFalse)
			So(outcome(now), ShouldEqual, placement.NoEndpoint)
		})
	})
	Convey("of many endpoints that are no longer listed, the latest are remembered", t, func() {
		now := time.Unix(1000, 0)
		c := placement.New(noLimits())
		var gone []registry.Endpoint
		for i := range 1500 {
			e := registry.Endpoint{ID: fmt.Sprintf("i-%d", i), Service: "model"}
			c.Pick([]registry.Endpoint{e}, sessionRequest("s1"), nil, now).Ticket.RecordDraining()
			gone = append(gone, e)
			c.Retain(none, now.Add(time.Duration(i)*time.Millisecond))
		}
		So(c.Pick(gone[:1], sessionRequest("s1"), nil, now).Outcome, ShouldEqual, placement.Chosen)
		So(c.Pick(gone[1500-1024:], sessionRequest("s1"), nil, now).Outcome, ShouldEqual, placement.NoEndpoint)
	})
}
