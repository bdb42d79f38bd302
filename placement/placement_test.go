package placement_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"pumiceshelf/placement"
	"pumiceshelf/registry"
)

func engines(n int) []registry.Endpoint {
	var out []registry.Endpoint
	for i := range n {
		out = append(out, registry.Endpoint{ID: fmt.Sprintf("i-%d", i), Service: "model", Address: "10.0.0.1:80", Domain: fmt.Sprintf("hall-%d", i%3)})
	}
	return out
}

func plan(session string) placement.Request {
	return placement.Request{
		Service: "model", PromptTokens: 9000, Priority: 3,
		Parts: []placement.Part{{ID: "tool", Tokens: 2500}, {ID: session, Tokens: 3700}, {ID: "own", Tokens: 2800}},
	}
}

func TestPick(t *testing.T) {
	Convey("Given twelve engines in three domains", t, func() {
		now := time.Unix(1000, 0)
		all := engines(12)
		c := placement.New()
		pick := func(r placement.Request, at time.Time) *placement.Ticket { return c.Pick(all, r, nil, at).Ticket }

		Convey("requests of a session meet at one engine, also from another instance", func() {
			first := pick(plan("s1"), now)
			first.Done(placement.Served, now)
			So(pick(plan("s1"), now).Endpoint.ID, ShouldEqual, first.Endpoint.ID)
			So(placement.New().Pick(all, plan("s1"), nil, now).Ticket.Endpoint.ID, ShouldEqual, first.Endpoint.ID)
		})
		Convey("one hot session does not take more than the load bound of one engine", func() {
			r := plan("hot")
			r.Patience = 0
			at := make(map[string]int)
			for range 120 {
				at[pick(r, now).Endpoint.ID]++
			}
			for _, n := range at {
				So(n, ShouldBeLessThanOrEqualTo, 30)
			}
		})
		Convey("what was tried is not chosen again", func() {
			first := pick(plan("s1"), now)
			tried := map[string]bool{first.Endpoint.ID: true}
			So(c.Pick(all, plan("s1"), tried, now).Ticket.Endpoint.ID, ShouldNotEqual, first.Endpoint.ID)
			So(c.Pick(all[:1], plan("s1"), map[string]bool{all[0].ID: true}, now).Verdict, ShouldEqual, placement.NoEndpoint)
		})
		Convey("an endpoint that cannot be reached is left out, for longer each time", func() {
			first := pick(plan("s1"), now)
			until := first.Done(placement.Unreachable, now)
			So(until, ShouldHappenAfter, now)
			So(pick(plan("s1"), now).Endpoint.ID, ShouldNotEqual, first.Endpoint.ID)
			again := pick(plan("s1"), until)
			So(again.Endpoint.ID, ShouldEqual, first.Endpoint.ID)
			So(again.Done(placement.Unreachable, until).Sub(until), ShouldBeGreaterThan, until.Sub(now))
		})
		Convey("two endpoints out of reach count for their domain, though it leaves a third of the engines", func() {
			for _, domain := range []string{"hall-0", "hall-1"} {
				for n, i := 0, 0; n < 2; i++ {
					if ticket := pick(plan(fmt.Sprintf("s%d", i)), now); ticket.Endpoint.Domain == domain {
						ticket.Done(placement.Unreachable, now)
						n++
					} else {
						ticket.Done(placement.Withdrawn, now)
					}
				}
			}
			for i := range 50 {
				ticket := pick(plan(fmt.Sprintf("t%d", i)), now)
				So(ticket.Endpoint.Domain, ShouldEqual, "hall-2")
				ticket.Done(placement.Served, now)
			}
		})
		Convey("endpoints that fail are left out, but never most of them, and come back", func() {
			bad := pick(plan("s1"), now).Endpoint.ID
			for range 6 {
				pick(plan("s1"), now).Done(placement.Errored, now)
			}
			So(pick(plan("s1"), now).Endpoint.ID, ShouldNotEqual, bad)
			So(pick(plan("s1"), now.Add(10*time.Second)).Endpoint.ID, ShouldEqual, bad)
			for i := range 400 {
				pick(plan(fmt.Sprintf("s%d", i%40)), now).Done(placement.Errored, now)
			}
			So(pick(plan("s1"), now), ShouldNotBeNil)
		})
		Convey("a process that starts again under its id has no past", func() {
			first := pick(plan("s1"), now)
			first.Done(placement.Unreachable, now)
			for i := range all {
				all[i].Started = 5
			}
			So(pick(plan("s1"), now).Endpoint.ID, ShouldEqual, first.Endpoint.ID)
		})
	})
	Convey("plain services get the least loaded endpoint by own count and report, near ones first", t, func() {
		now := time.Unix(1000, 0)
		c := placement.New()
		desk := engines(3)
		r := placement.Request{Service: "desk", Domain: "hall-1"}
		first := c.Pick(desk, r, nil, now).Ticket
		So(first.Endpoint.Domain, ShouldEqual, "hall-1")
		first.Report(placement.Load{Running: 6, Slots: 6}, now)
		first.Done(placement.Served, now)
		So(c.Pick(desk, r, nil, now).Ticket.Endpoint.Domain, ShouldNotEqual, "hall-1")
		So(c.Pick(desk, r, nil, now.Add(2*time.Second)).Ticket.Endpoint.Domain, ShouldEqual, "hall-1")
	})
}
