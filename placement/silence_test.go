package placement_test

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"pumiceshelf/placement"
	"pumiceshelf/registry"
)

func TestSilentEndpointGetsRequestsAgainOnceItResponds(t *testing.T) {
	Convey("Given a request at an endpoint that has fallen silent", t, func() {
		now := time.Unix(1000, 0)
		c, all := placement.New(noLimits()), engines(3)
		waiting := c.Pick(all, sessionRequest("s1"), nil, now).Ticket
		now = now.Add(time.Second)
		So(waiting.RecordSilence(now), ShouldHappenAfter, now)

		Convey("other requests go elsewhere while it is silent", func() {
			So(c.Pick(all, sessionRequest("s1"), nil, now).Ticket.Endpoint.ID, ShouldNotEqual, waiting.Endpoint.ID)
		})
		Convey("its silence is reported once", func() {
			So(waiting.RecordSilence(now).IsZero(), ShouldBeTrue)
		})
		Convey("the requests that move because of one silence do not prolong the ejection", func() {
			only := []registry.Endpoint{waiting.Endpoint}
			others := []*placement.Ticket{c.Pick(only, sessionRequest("s1"), nil, now).Ticket, c.Pick(only, sessionRequest("s1"), nil, now).Ticket}
			for _, t := range append(others, waiting) {
				So(t.Done(placement.Unresponsive, now).IsZero(), ShouldBeTrue)
			}
			later := now.Add(time.Second)
			So(c.Pick(all, sessionRequest("s1"), nil, later).Ticket.Endpoint.ID, ShouldEqual, waiting.Endpoint.ID)
		})
		Convey("requests go to it as soon as it responds to the one that waits", func() {
			waiting.RecordProgress(now)
			So(c.Pick(all, sessionRequest("s1"), nil, now).Ticket.Endpoint.ID, ShouldEqual, waiting.Endpoint.ID)
		})
		Convey("an unreachable endpoint stays ejected although an earlier request gets a response", func() {
			lost := c.Pick(all[:1], sessionRequest("s2"), nil, now).Ticket
			lost.Done(placement.Unreachable, now)
			earlier := c.Pick(all[:1], sessionRequest("s2"), nil, now).Ticket
			earlier.RecordProgress(now)
			So(c.Pick(all, sessionRequest("s2"), nil, now).Ticket.Endpoint.ID, ShouldNotEqual, all[0].ID)
		})
	})
}

func TestRequestMovesOnlyToAnEndpointThatResponds(t *testing.T) {
	Convey("Given a request that may stay at its silent endpoint", t, func() {
		began := time.Unix(1000, 0)
		now := began.Add(time.Second)
		c, all := placement.New(noLimits()), engines(2)
		pick := func(tried map[string]bool) placement.Choice {
			r := sessionRequest("s1")
			r.RespondedWithin = 200 * time.Millisecond
			return c.Pick(all, r, tried, now)
		}
		first := c.Pick(all[:1], sessionRequest("s1"), nil, began).Ticket
		tried := map[string]bool{first.Endpoint.ID: true}

		Convey("it moves to an idle endpoint", func() {
			So(pick(tried).Outcome, ShouldEqual, placement.Chosen)
		})
		Convey("it does not move to one that is silent as well, until that one responds", func() {
			other := c.Pick(all[1:], sessionRequest("s2"), nil, began).Ticket
			So(pick(tried).Outcome, ShouldEqual, placement.NoEndpoint)
			other.RecordProgress(now)
			So(pick(tried).Outcome, ShouldEqual, placement.Chosen)
		})
		Convey("it does not move to one that fell silent a moment after its own endpoint did", func() {
			c.Pick(all[1:], sessionRequest("s2"), nil, began).Ticket.RecordProgress(began.Add(time.Millisecond))
			So(pick(tried).Outcome, ShouldEqual, placement.NoEndpoint)
		})
		Convey("it does not move to an ejected one", func() {
			c.Pick(all[1:], sessionRequest("s2"), nil, began).Ticket.Done(placement.Unreachable, now)
			So(pick(tried).Outcome, ShouldEqual, placement.NoEndpoint)
		})
	})
}
