package placement

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"pumiceshelf/registry"
)

// Guards against endpoints that left for good and still count their failure domain as out of reach, and against state that grows with
// each endpoint that was unreachable once.
func TestEndpointsThatLeftDoNotCountForTheirDomain(t *testing.T) {
	now := time.Unix(1_000, 0)
	newDomain := func(count int) (c *Chooser, endpoints []registry.Endpoint) {
		c = New(newExplainFixture().limits)
		for i := range count {
			e := registry.Endpoint{ID: fmt.Sprint("i-", i), Service: "model", Domain: "hall-a"}
			choice := c.Pick([]registry.Endpoint{e}, Request{Service: "model"}, nil, now)
			choice.Ticket.Done(Unreachable, now)
			endpoints = append(endpoints, e)
		}
		return c, endpoints
	}
	// other is an endpoint of the domain that had no request.
	other := registry.Endpoint{ID: "other", Service: "model", Domain: "hall-a"}
	Convey("Given two endpoints of a domain that could not be reached", t, func() {
		c, endpoints := newDomain(2)
		So(c.OutOfReach(other), ShouldBeTrue)
		Convey("the domain stays out of reach while both are listed", func() {
			c.Retain(func(string) bool { return true }, now)
			So(c.OutOfReach(other), ShouldBeTrue)
		})
		Convey("once one has left, only the other one is out of reach", func() {
			c.Retain(func(id string) bool { return id != "i-1" }, now)
			So(c.OutOfReach(other), ShouldBeFalse)
			So(c.OutOfReach(endpoints[0]), ShouldBeTrue)
		})
		Convey("once one has left, a connection to the other one ends the pause of the domain", func() {
			c.Retain(func(id string) bool { return id != "i-1" }, now)
			c.Reached(endpoints[0])
			So(c.domains["hall-a"].partitioned(now), ShouldBeFalse)
		})
		Convey("the pause of a partitioned domain goes on after both have left, and nothing is kept later", func() {
			c.Retain(func(string) bool { return false }, now)
			So(c.domains["hall-a"].partitioned(now), ShouldBeTrue)
			So(c.OutOfReach(other), ShouldBeFalse)
			c.Retain(func(string) bool { return false }, now.Add(partitionPause))
			So(c.domains, ShouldBeEmpty)
		})
	})
}
