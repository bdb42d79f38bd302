package route

import (
	"context"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"pumiceshelf/admit"
	"pumiceshelf/api"
)

func (f *fixture) acquire(t admit.Target) (admit.Slot, admit.Availability) {
	return f.balancer.Acquire(testGroup, t)
}

func (f *fixture) status(id string) *api.EndpointStatus {
	for _, s := range f.balancer.Status() {
		if s.Endpoint == id {
			return s
		}
	}
	return nil
}

func TestChoice(t *testing.T) {
	Convey("One instance before three domains of two endpoints rated 2", t, func() {
		f := newFixture(testBundle(1, 2, 2, "a", "b", "c"), instances(1, "a"), 0, "")

		fill := func() (domains string) {
			for {
				p, a := f.acquire(admit.Target{})
				if a != admit.Acquired {
					So(a, ShouldEqual, admit.Busy)
					return domains
				}
				domains += p.Endpoint[:1]
			}
		}
		report := func() {
			for _, s := range f.balancer.Status() {
				f.balancer.ApplyReport([]*api.EndpointLoad{{Endpoint: s.Endpoint, Running: s.InFlight, ReportedUnixMs: f.clock.Now().UnixMilli()}}, nil)
			}
		}
		Convey("it fills its own domain, then those that reports show free since, then is busy", func() {
			report()
			So(fill(), ShouldEqual, "aaaa")
			f.clock.Advance(busySettle)
			So(fill(), ShouldEqual, "")
			report()
			So(len(fill()), ShouldEqual, 8)
		})
		Convey("when its own domain is gone it takes the others at once", func() {
			f.balancer.SetLeaving([]string{"a-e0", "a-e1"})
			So(len(fill()), ShouldEqual, 8)
		})

		Convey("an unknown group is gone", func() {
			_, a := f.balancer.Acquire("model/none", admit.Target{})
			So(a, ShouldEqual, admit.NoEndpoint)
		})

		Convey("a group of a bundle that has just come in force is known", func() {
			f := newFixture(testBundle(1, 0, 2), instances(1, "a"), 0, "")
			_, a := f.acquire(admit.Target{})
			So(a, ShouldEqual, admit.NoEndpoint)
			f.bundles.set(testBundle(2, 1, 2, "a"))
			_, a = f.acquire(admit.Target{})
			So(a, ShouldEqual, admit.Acquired)
		})

		Convey("a prefix has one home", func() {
			first, _ := f.acquire(admit.Target{Prefix: 77})
			f.balancer.Release(first, admit.Result{TotalTime: time.Second})
			for range 20 {
				p, _ := f.acquire(admit.Target{Prefix: 77})
				So(p.Endpoint, ShouldEqual, first.Endpoint)
				f.balancer.Release(p, admit.Result{TotalTime: time.Second})
			}
		})

		Convey("an endpoint to avoid comes only when no other works", func() {
			p, _ := f.acquire(admit.Target{Avoid: []string{"a-e0"}})
			So(p.Endpoint, ShouldEqual, "a-e1")
			f.balancer.SetLeaving([]string{"a-e1", "b-e0", "b-e1", "c-e0", "c-e1"})
			p, a := f.acquire(admit.Target{Avoid: []string{"a-e0"}})
			So(a, ShouldEqual, admit.Acquired)
			So(p.Endpoint, ShouldEqual, "a-e0")
		})
	})

	Convey("Three instances of a domain share an endpoint's limit exactly", t, func() {
		all := instances(3, "a")
		sum := 0
		for i := range all {
			f := newFixture(testBundle(1, 1, 8, "a"), all, i, "")
			for {
				if _, a := f.acquire(admit.Target{}); a != admit.Acquired {
					break
				}
				sum++
			}
		}
		So(sum, ShouldEqual, 8)
	})
}

func TestLeaving(t *testing.T) {
	Convey("An endpoint that leaves gets no new work, whichever source says so", t, func() {
		f := newFixture(testBundle(1, 2, 8, "a"), instances(1, "a"), 0, "")
		only := func(id string) {
			for range 4 {
				p, a := f.acquire(admit.Target{Prefix: 3})
				So(a, ShouldEqual, admit.Acquired)
				So(p.Endpoint, ShouldEqual, id)
			}
		}
		Convey("the platform's list", func() {
			f.balancer.SetLeaving([]string{"a-e0"})
			only("a-e1")
			So(f.balancer.LocalLeaving(), ShouldResemble, []string{"a-e0"})
		})
		Convey("its own load report", func() {
			f.loads.loads["http://a-e1"] = &api.EndpointLoad{Leaving: true}
			f.balancer.pollOnce(context.Background())
			only("a-e0")
			So(f.balancer.LocalLeaving(), ShouldResemble, []string{"a-e1"})
		})
		Convey("a peer, for as long as it says so, and its word is not passed on", func() {
			f.balancer.ApplyReport(nil, []string{"a-e0"})
			only("a-e1")
			So(f.balancer.LocalLeaving(), ShouldBeEmpty)
			f.clock.Advance(rumourLifetime)
			f.balancer.tick()
			So(f.status("a-e0").Leaving, ShouldBeFalse)
		})
		Convey("a bundle without it", func() {
			f.bundles.set(testBundle(2, 1, 8, "a"))
			f.balancer.rebuildIfChanged()
			only("a-e0")
		})
	})
}

func TestWakeFromFreeze(t *testing.T) {
	Convey("Given an instance that heard of its endpoints", t, func() {
		f := newFixture(testBundle(1, 2, 8, "a"), instances(1, "a"), 0, "")
		f.balancer.SetLeaving(nil)
		limit := silentIntervals * testSettings().ReportInterval.AsDuration()

		Convey("after a freeze nothing is sent until it hears of them again, then not to one that left meanwhile", func() {
			f.clock.Advance(limit + time.Millisecond)
			_, a := f.acquire(admit.Target{Prefix: 3})
			So(a, ShouldEqual, admit.Busy)
			rooms := 0
			f.balancer.OnSlotFree(func(string) { rooms++ })
			f.balancer.SetLeaving([]string{"a-e0"})
			So(rooms, ShouldEqual, 1)
			p, a := f.acquire(admit.Target{Prefix: 3})
			So(a, ShouldEqual, admit.Acquired)
			So(p.Endpoint, ShouldEqual, "a-e1")
		})
		Convey("a report of one endpoint is not enough, reports of all are", func() {
			f.clock.Advance(limit + time.Millisecond)
			f.loads.loads["http://a-e0"] = &api.EndpointLoad{}
			f.balancer.pollOnce(t.Context())
			_, a := f.acquire(admit.Target{Prefix: 3})
			So(a, ShouldEqual, admit.Busy)
			f.loads.loads["http://a-e1"] = &api.EndpointLoad{}
			f.balancer.pollOnce(t.Context())
			_, a = f.acquire(admit.Target{Prefix: 3})
			So(a, ShouldEqual, admit.Acquired)
		})
		Convey("word in time holds nothing back", func() {
			f.clock.Advance(limit)
			_, a := f.acquire(admit.Target{Prefix: 3})
			So(a, ShouldEqual, admit.Acquired)
		})
		Convey("one that hears nobody for long goes on with what it knows", func() {
			f.clock.Advance(limit + time.Millisecond)
			for range silentPatience {
				f.balancer.tick()
			}
			_, a := f.acquire(admit.Target{Prefix: 3})
			So(a, ShouldEqual, admit.Acquired)
		})
	})
}

func TestEjection(t *testing.T) {
	Convey("Three endpoints, all of which fail", t, func() {
		f := newFixture(testBundle(1, 3, 8, "a"), instances(1, "a"), 0, "")
		fail := func(n int) {
			for range n {
				p, a := f.acquire(admit.Target{})
				if a == admit.Acquired {
					f.balancer.Release(p, admit.Result{Failed: true})
				}
			}
		}
		fail(100)
		Convey("at most half of the group is ejected", func() {
			g := f.balancer.table.Load().groups[testGroup]
			So(g.ejected(f.clock.Now()), ShouldEqual, 1)
			So(f.balancer.meters.withheld.Count(), ShouldBeGreaterThan, 0)
		})
		Convey("the ejected one comes back at limit one and grows with answers", func() {
			f.clock.Advance(5 * time.Second)
			f.balancer.tick()
			So(f.balancer.meters.returned.Count(), ShouldEqual, 1)
			for range 50 {
				var places []admit.Slot
				for p, a := f.acquire(admit.Target{}); a == admit.Acquired; p, a = f.acquire(admit.Target{}) {
					places = append(places, p)
				}
				for _, p := range places {
					f.balancer.Release(p, admit.Result{TotalTime: time.Second, TimeToFirstToken: 50 * time.Millisecond})
				}
			}
			for _, s := range f.balancer.Status() {
				So(s.ConsecutiveFailures, ShouldEqual, 0)
				So(s.Limit, ShouldEqual, 8)
			}
		})
	})

	Convey("An endpoint that nobody rated earns a higher limit only while it is used", t, func() {
		f := newFixture(testBundle(1, 1, 0, "a"), instances(1, "a"), 0, "")
		answer := admit.Result{TimeToFirstToken: 50 * time.Millisecond, TotalTime: time.Second, Tokens: 100}
		for range 100 {
			p, _ := f.acquire(admit.Target{})
			f.balancer.Release(p, answer)
		}
		So(f.status("a-e0").Limit, ShouldEqual, 8)
		var places []admit.Slot
		for p, a := f.acquire(admit.Target{}); a == admit.Acquired; p, a = f.acquire(admit.Target{}) {
			places = append(places, p)
		}
		f.balancer.Release(places[0], answer)
		f.balancer.Release(places[1], answer)
		So(f.status("a-e0").Limit, ShouldEqual, 9)
	})

	Convey("Endpoints that have no room are not ejected, but get less", t, func() {
		f := newFixture(testBundle(1, 2, 8, "a"), instances(1, "a"), 0, "")
		rooms := 0
		f.balancer.OnSlotFree(func(g string) {
			if g == "" {
				rooms++
			}
		})
		asked := 0
		for range 50 {
			p, a := f.acquire(admit.Target{})
			if a == admit.Acquired {
				asked++
				f.balancer.Release(p, admit.Result{Busy: true})
				continue
			}
			So(a, ShouldEqual, admit.Busy)
			f.clock.Advance(followInterval)
			f.balancer.tick()
		}
		So(asked, ShouldBeBetween, 5, 20)
		So(rooms, ShouldBeGreaterThan, 0)
		for _, s := range f.balancer.Status() {
			So(s.Ejected, ShouldBeFalse)
			So(s.Limit, ShouldBeLessThan, 8)
		}
		So(f.balancer.meters.full.Count(), ShouldEqual, asked)
	})

	Convey("Answers as a whole beside streams do not look like an endpoint that turned slow", t, func() {
		f := newFixture(testBundle(1, 1, 8, "a"), instances(1, "a"), 0, "")
		for i := range 400 {
			p, _ := f.acquire(admit.Target{})
			r := admit.Result{TimeToFirstToken: 50 * time.Millisecond, TotalTime: 5 * time.Second, Tokens: 600}
			if i >= 200 {
				r.TimeToFirstToken = r.TotalTime
			}
			f.balancer.Release(p, r)
		}
		So(f.status("a-e0").Limit, ShouldEqual, 8)
		Convey("but late first tokens do", func() {
			for range 20 {
				p, _ := f.acquire(admit.Target{})
				f.balancer.Release(p, admit.Result{TimeToFirstToken: time.Second, TotalTime: 5 * time.Second, Tokens: 600})
			}
			So(f.status("a-e0").Limit, ShouldBeLessThan, 8)
		})
	})

	Convey("Requests that are lost together on one connection count once, requests lost one after the other each", t, func() {
		f := newFixture(testBundle(1, 2, 8, "a"), instances(1, "a"), 0, "")
		lose := func() {
			var places []admit.Slot
			for p, a := f.acquire(admit.Target{Avoid: []string{"a-e1"}}); a == admit.Acquired; p, a = f.acquire(admit.Target{Avoid: []string{"a-e1"}}) {
				places = append(places, p)
			}
			f.clock.Advance(time.Second)
			for _, p := range places {
				f.balancer.Release(p, admit.Result{Failed: true, Stalled: true, TotalTime: time.Second})
			}
		}
		lose()
		So(f.status("a-e0").ConsecutiveFailures, ShouldEqual, silentWeight)
		So(f.status("a-e0").Limit, ShouldEqual, 4)
		lose()
		lose()
		So(f.status("a-e0").Ejected, ShouldBeTrue)
	})

	Convey("A recovering endpoint is not tried with a request that may not be repeated", t, func() {
		f := newFixture(testBundle(1, 2, 8, "a"), instances(1, "a"), 0, "")
		s := f.balancer.table.Load().states["a-e0"]
		for range 5 {
			f.balancer.fail(s, admit.Result{Failed: true})
		}
		So(f.status("a-e0").Ejected, ShouldBeTrue)
		f.clock.Advance(5 * time.Second)
		for range 8 {
			p, _ := f.acquire(admit.Target{NoRetry: true})
			So(p.Endpoint, ShouldEqual, "a-e1")
		}
		p, _ := f.acquire(admit.Target{})
		So(p.Endpoint, ShouldEqual, "a-e0")
	})
}

func TestReports(t *testing.T) {
	Convey("Two instances before one endpoint rated 8", t, func() {
		f := newFixture(testBundle(1, 1, 8, "a"), instances(2, "a"), 0, "")
		limit := func() int64 {
			return f.balancer.table.Load().states["a-e0"].room(f.clock.Now(), &side{own: true, sharers: sharers{count: 2}}, false)
		}
		report := func(running uint32) {
			f.clock.Advance(time.Second)
			f.balancer.ApplyReport([]*api.EndpointLoad{{Endpoint: "a-e0", Running: running, ReportedUnixMs: f.clock.Now().UnixMilli()}}, nil)
		}
		So(limit(), ShouldEqual, 4)
		Convey("borrow what a report shows free", func() {
			for range 4 {
				f.acquire(admit.Target{})
			}
			report(4)
			So(limit(), ShouldEqual, 6)
			Convey("but not after reports stop", func() {
				f.clock.Advance(reportLifetime + 1)
				So(limit(), ShouldEqual, 4)
			})
			Convey("nor beyond the limit when the report always says idle", func() {
				taken := 4
				for range 10 {
					report(0)
					for {
						if _, a := f.acquire(admit.Target{}); a != admit.Acquired {
							break
						}
						taken++
					}
				}
				So(taken, ShouldBeLessThanOrEqualTo, 8)
			})
		})
		Convey("the same report passed on again is not a new one", func() {
			report(4)
			at := f.status("a-e0").LastReportUnixMs
			l := f.balancer.table.Load().states["a-e0"].report.Load().load
			f.clock.Advance(time.Second)
			f.balancer.ApplyReport([]*api.EndpointLoad{l}, nil)
			So(f.status("a-e0").LastReportUnixMs, ShouldEqual, at)
		})
	})
}

func TestRetryBudget(t *testing.T) {
	Convey("Retries are a share of requests beyond a floor", t, func() {
		f := newFixture(testBundle(1, 1, 1, "a"), instances(1, "a"), 0, "")
		b := NewRetryBudget(10, f.balancer.config.Metrics)
		spent := func() (n int) {
			for b.Spend("dial_failed") {
				n++
			}
			return n
		}
		So(spent(), ShouldEqual, retryFloor)
		for range 100 {
			b.Earn()
		}
		So(spent(), ShouldEqual, 10)
		So(b.denied["dial_failed"].Count(), ShouldEqual, 2)
		So(b.made["dial_failed"].Count(), ShouldEqual, 20)
		b.Earn()
		So(b.Spend("never heard of"), ShouldBeFalse)
		So(b.denied[otherReason].Count(), ShouldEqual, 1)
	})
}
