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

func TestPausingEndpointGetsNoRequest(t *testing.T) {
	Convey("Given an endpoint that has asked for a pause of 2 s", t, func() {
		now := time.Unix(1000, 0)
		at := func(seconds float64) time.Time { return now.Add(time.Duration(seconds * float64(time.Second))) }
		c, all := placement.New(noLimits()), engines(3)
		first := c.Pick(all, sessionRequest("s1"), nil, now).Ticket
		So(first.RecordPause(2*time.Second, now), ShouldBeTrue)
		first.Done(placement.Busy, now)
		pausing := []registry.Endpoint{first.Endpoint}
		outcome := func(seconds float64) placement.Outcome {
			return c.Pick(pausing, sessionRequest("s1"), nil, at(seconds)).Outcome
		}

		Convey("requests go to others until its end, also those of sessions that prefer it", func() {
			for range 100 {
				So(c.Pick(all, sessionRequest("s1"), nil, at(1.9)).Ticket.Endpoint.ID, ShouldNotEqual, first.Endpoint.ID)
			}
			So(outcome(1.9), ShouldEqual, placement.Paused)
			So(outcome(2), ShouldEqual, placement.Chosen)
		})
		Convey("a shorter pause does not end it, and a later one extends it", func() {
			So(first.RecordPause(time.Second, at(0.1)), ShouldBeFalse)
			So(outcome(1.9), ShouldEqual, placement.Paused)
			So(first.RecordPause(time.Second, at(1.5)), ShouldBeTrue)
			So(outcome(2.4), ShouldEqual, placement.Paused)
			So(outcome(2.5), ShouldEqual, placement.Chosen)
		})
		Convey("several responses that turn requests away at once are one change", func() {
			So(first.RecordPause(2*time.Second, at(0.1)), ShouldBeFalse)
			So(outcome(2.05), ShouldEqual, placement.Paused)
			So(first.RecordPause(2*time.Second, at(2.1)), ShouldBeTrue)
		})
		Convey("its entry may vanish and come back", func() {
			c.Retain(none, at(0.5))
			c.Retain(every, at(1))
			So(outcome(1.9), ShouldEqual, placement.Paused)
		})
		Convey("the wait for the first endpoint counts only while all endpoints pause, and not those that leave", func() {
			second := c.Pick(all, sessionRequest("s1"), nil, now).Ticket
			second.RecordPause(time.Second, now)
			So(c.RemainingPause(all, now), ShouldEqual, 0)
			third := c.Pick(all, sessionRequest("s1"), nil, now).Ticket
			So(c.Pick(all, sessionRequest("s1"), map[string]bool{third.Endpoint.ID: true}, now).Outcome, ShouldEqual, placement.NoEndpoint)
			third.RecordDraining()
			So(c.RemainingPause(all, at(0.25)), ShouldEqual, 750*time.Millisecond)
			So(c.Pick(all, sessionRequest("s1"), nil, now).Outcome, ShouldEqual, placement.Paused)
		})
		Convey("a new process under its ID gets requests", func() {
			pausing[0].StartedUnixMilli = 5
			So(outcome(0), ShouldEqual, placement.Chosen)
		})
	})
	Convey("a pausing endpoint gets no request although its rate limit has room that is not used", t, func() {
		now := time.Unix(1000, 0)
		limits, all := noLimits(), engines(2)
		c := placement.New(limits)
		limits.Named(all[0], 2, now)
		later := now.Add(2 * time.Second)
		ticket := c.Pick(all[:1], sessionRequest("s1"), nil, later).Ticket
		ticket.RecordPause(5*time.Second, later)
		// A request may be sent at 2.5 s, and is unused at 3 s.
		So(limits.Allows(all[0], later.Add(2500*time.Millisecond)), ShouldBeTrue)
		unusedAt := later.Add(3 * time.Second)
		So(limits.Unused(all[0], unusedAt), ShouldBeTrue)
		So(c.Pick(all, sessionRequest("s1"), nil, unusedAt).Ticket.Endpoint.ID, ShouldEqual, all[1].ID)
	})
}
