package placement_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"pumiceshelf/endpointlimit"
	"pumiceshelf/placement"
	"pumiceshelf/registry"
)

// noLimits returns limits of an instance that is alone.
func noLimits() *endpointlimit.Limits {
	return endpointlimit.New(endpointlimit.Config{
		Self: "front-1", Instances: func() []string { return []string{"front-1"} }, OnChange: func(endpointlimit.Change) {},
	})
}

func engines(n int) []registry.Endpoint {
	var out []registry.Endpoint
	for i := range n {
		out = append(out, registry.Endpoint{ID: fmt.Sprintf("i-%d", i), Service: "model", Address: "10.0.0.1:80", Domain: fmt.Sprintf("hall-%d", i%3)})
	}
	return out
}

func sessionRequest(session string) placement.Request {
	return placement.Request{
		Service: "model", PromptTokens: 9000, Priority: 3,
		PromptParts: []placement.PromptPart{{ID: "tool", Tokens: 2500}, {ID: session, Tokens: 3700}, {ID: "own", Tokens: 2800}},
	}
}

func TestPick(t *testing.T) {
	Convey("Given twelve engines in three domains", t, func() {
		now := time.Unix(1000, 0)
		all := engines(12)
		c := placement.New(noLimits())
		pick := func(r placement.Request, at time.Time) *placement.Ticket { return c.Pick(all, r, nil, at).Ticket }

		Convey("all instances send the requests of a session to the same engine", func() {
			first := pick(sessionRequest("s1"), now)
			first.Done(placement.Served, now)
			So(pick(sessionRequest("s1"), now).Endpoint.ID, ShouldEqual, first.Endpoint.ID)
			So(placement.New(noLimits()).Pick(all, sessionRequest("s1"), nil, now).Ticket.Endpoint.ID, ShouldEqual, first.Endpoint.ID)
		})
		Convey("one hot session does not exceed the load bound of any engine", func() {
			r := sessionRequest("hot")
			r.MaxTimeToFirstToken = 0
			requests := make(map[string]int)
			for range 120 {
				requests[pick(r, now).Endpoint.ID]++
			}
			for _, n := range requests {
				So(n, ShouldBeLessThanOrEqualTo, 30)
			}
		})
		Convey("overloaded engines are chosen for streams that began elsewhere only", func() {
			for range 60 {
				c.Pick(all[:1], sessionRequest("s1"), nil, now)
			}
			r := sessionRequest("other")
			r.MaxTimeToFirstToken = 2 * time.Second
			So(c.Pick(all[:1], r, nil, now).Outcome, ShouldEqual, placement.Overloaded)
			r.NeverOverloaded = true
			So(c.Pick(all[:1], r, nil, now).Outcome, ShouldEqual, placement.Chosen)
		})
		Convey("endpoints already tried are not chosen again", func() {
			first := pick(sessionRequest("s1"), now)
			tried := map[string]bool{first.Endpoint.ID: true}
			So(c.Pick(all, sessionRequest("s1"), tried, now).Ticket.Endpoint.ID, ShouldNotEqual, first.Endpoint.ID)
			So(c.Pick(all[:1], sessionRequest("s1"), map[string]bool{all[0].ID: true}, now).Outcome, ShouldEqual, placement.NoEndpoint)
		})
		Convey("an unreachable endpoint is ejected, for longer each time", func() {
			first := pick(sessionRequest("s1"), now)
			until := first.Done(placement.Unreachable, now)
			So(until, ShouldHappenAfter, now)
			So(pick(sessionRequest("s1"), now).Endpoint.ID, ShouldNotEqual, first.Endpoint.ID)
			again := pick(sessionRequest("s1"), until)
			So(again.Endpoint.ID, ShouldEqual, first.Endpoint.ID)
			So(again.Done(placement.Unreachable, until).Sub(until), ShouldBeGreaterThan, until.Sub(now))
		})
		Convey("two unreachable endpoints exclude their whole domain, even if only a third of the engines remains", func() {
			for _, domain := range []string{"hall-0", "hall-1"} {
				for n, i := 0, 0; n < 2; i++ {
					if ticket := pick(sessionRequest(fmt.Sprintf("s%d", i)), now); ticket.Endpoint.Domain == domain {
						ticket.Done(placement.Unreachable, now)
						n++
					} else {
						ticket.Done(placement.Canceled, now)
					}
				}
			}
			for i := range 50 {
				ticket := pick(sessionRequest(fmt.Sprintf("t%d", i)), now)
				So(ticket.Endpoint.Domain, ShouldEqual, "hall-2")
				ticket.Done(placement.Served, now)
			}
		})
		Convey("failing endpoints are skipped for a while, but never most of them", func() {
			failing := pick(sessionRequest("s1"), now).Endpoint.ID
			for range 6 {
				pick(sessionRequest("s1"), now).Done(placement.Errored, now)
			}
			So(pick(sessionRequest("s1"), now).Endpoint.ID, ShouldNotEqual, failing)
			So(pick(sessionRequest("s1"), now.Add(10*time.Second)).Endpoint.ID, ShouldEqual, failing)
			for i := range 400 {
				pick(sessionRequest(fmt.Sprintf("s%d", i%40)), now).Done(placement.Errored, now)
			}
			So(pick(sessionRequest("s1"), now), ShouldNotBeNil)
		})
		Convey("a process that restarts under the same ID is not ejected for earlier failures", func() {
			first := pick(sessionRequest("s1"), now)
			first.Done(placement.Unreachable, now)
			for i := range all {
				all[i].StartedUnixMilli = 5
			}
			So(pick(sessionRequest("s1"), now).Endpoint.ID, ShouldEqual, first.Endpoint.ID)
		})
	})
	Convey("a plain service uses the endpoint with the lowest in-flight count and reported load, local domain first", t, func() {
		now := time.Unix(1000, 0)
		c := placement.New(noLimits())
		endpoints := engines(3)
		r := placement.Request{Service: "desk", Domain: "hall-1"}
		first := c.Pick(endpoints, r, nil, now).Ticket
		So(first.Endpoint.Domain, ShouldEqual, "hall-1")
		first.RecordLoad(placement.Load{Running: 6, Slots: 6}, now)
		first.Done(placement.Served, now)
		So(c.Pick(endpoints, r, nil, now).Ticket.Endpoint.Domain, ShouldNotEqual, "hall-1")
		So(c.Pick(endpoints, r, nil, now.Add(2*time.Second)).Ticket.Endpoint.Domain, ShouldEqual, "hall-1")
	})
}
