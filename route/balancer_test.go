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
	Convey("Given one instance and two endpoints with rating 2 in each of three domains", t, func() {
		f := newFixture(testBundle(1, 2, 2, "a", "b", "c"), instances(1, "a"), 0, "")

		// fill acquires all capacity and returns the domains of the chosen endpoints.
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
				f.balancer.ApplyPeerReport([]*api.EndpointLoad{{Endpoint: s.Endpoint, Running: s.InFlight, ReportedUnixMs: f.clock.Now().UnixMilli()}}, nil)
			}
		}
		Convey("it fills its own domain, then other domains whose later reports show free capacity, then is busy", func() {
			report()
			So(fill(), ShouldEqual, "aaaa")
			f.clock.Advance(busyReportDelay)
			So(fill(), ShouldEqual, "")
			report()
			So(len(fill()), ShouldEqual, 8)
		})
		Convey("it uses other domains immediately if all endpoints of its own domain are draining", func() {
			f.balancer.SetDraining([]string{"a-e0", "a-e1"})
			So(len(fill()), ShouldEqual, 8)
		})

		Convey("an unknown group has no endpoints", func() {
			_, a := f.balancer.Acquire("model/none", admit.Target{})
			So(a, ShouldEqual, admit.NoEndpoint)
		})

		Convey("a group of a bundle that has just become active is known", func() {
			f := newFixture(testBundle(1, 0, 2), instances(1, "a"), 0, "")
			_, a := f.acquire(admit.Target{})
			So(a, ShouldEqual, admit.NoEndpoint)
			f.bundles.set(testBundle(2, 1, 2, "a"))
			_, a = f.acquire(admit.Target{})
			So(a, ShouldEqual, admit.Acquired)
		})

		Convey("requests with the same prefix go to the same endpoint", func() {
			first, _ := f.acquire(admit.Target{Prefix: 77})
			f.balancer.Release(first, admit.Result{TotalTime: time.Second})
			for range 20 {
				p, _ := f.acquire(admit.Target{Prefix: 77})
				So(p.Endpoint, ShouldEqual, first.Endpoint)
				f.balancer.Release(p, admit.Result{TotalTime: time.Second})
			}
		})

		Convey("an endpoint to avoid is chosen only if no other is usable", func() {
			p, _ := f.acquire(admit.Target{Avoid: []string{"a-e0"}})
			So(p.Endpoint, ShouldEqual, "a-e1")
			f.balancer.SetDraining([]string{"a-e1", "b-e0", "b-e1", "c-e0", "c-e1"})
			p, a := f.acquire(admit.Target{Avoid: []string{"a-e0"}})
			So(a, ShouldEqual, admit.Acquired)
			So(p.Endpoint, ShouldEqual, "a-e0")
		})
	})

	Convey("The shares of three instances of a domain add up to an endpoint's limit", t, func() {
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

func TestDraining(t *testing.T) {
	Convey("A draining endpoint gets no new requests, whichever source reports it", t, func() {
		f := newFixture(testBundle(1, 2, 8, "a"), instances(1, "a"), 0, "")
		expectOnly := func(id string) {
			for range 4 {
				p, a := f.acquire(admit.Target{Prefix: 3})
				So(a, ShouldEqual, admit.Acquired)
				So(p.Endpoint, ShouldEqual, id)
			}
		}
		Convey("if the platform's list contains it", func() {
			f.balancer.SetDraining([]string{"a-e0"})
			expectOnly("a-e1")
			So(f.balancer.LocalDraining(), ShouldResemble, []string{"a-e0"})
		})
		Convey("if its own load report says so", func() {
			f.loads.loads["http://a-e1"] = &api.EndpointLoad{Leaving: true}
			f.balancer.pollOnce(context.Background())
			expectOnly("a-e0")
			So(f.balancer.LocalDraining(), ShouldResemble, []string{"a-e1"})
		})
		Convey("if a peer reports it, until the report expires, and the peer's report is not forwarded", func() {
			f.balancer.ApplyPeerReport(nil, []string{"a-e0"})
			expectOnly("a-e1")
			So(f.balancer.LocalDraining(), ShouldBeEmpty)
			f.clock.Advance(peerDrainingTTL)
			f.balancer.tick()
			So(f.status("a-e0").Leaving, ShouldBeFalse)
		})
		Convey("if the active bundle does not contain it", func() {
			f.bundles.set(testBundle(2, 1, 8, "a"))
			f.balancer.rebuildIfChanged()
			expectOnly("a-e0")
		})
	})
}

func TestStaleAfterFreeze(t *testing.T) {
	Convey("Given an instance that received the state of its endpoints", t, func() {
		f := newFixture(testBundle(1, 2, 8, "a"), instances(1, "a"), 0, "")
		f.balancer.SetDraining(nil)
		maxAge := staleAfterIntervals * testSettings().ReportInterval.AsDuration()

		Convey("after a freeze it sends nothing until the next update, and nothing to an endpoint that is draining by then", func() {
			f.clock.Advance(maxAge + time.Millisecond)
			_, a := f.acquire(admit.Target{Prefix: 3})
			So(a, ShouldEqual, admit.Busy)
			notifications := 0
			f.balancer.OnSlotFree(func(string) { notifications++ })
			f.balancer.SetDraining([]string{"a-e0"})
			So(notifications, ShouldEqual, 1)
			p, a := f.acquire(admit.Target{Prefix: 3})
			So(a, ShouldEqual, admit.Acquired)
			So(p.Endpoint, ShouldEqual, "a-e1")
		})
		Convey("load reports of all endpoints count as an update, the report of one does not", func() {
			f.clock.Advance(maxAge + time.Millisecond)
			f.loads.loads["http://a-e0"] = &api.EndpointLoad{}
			f.balancer.pollOnce(t.Context())
			_, a := f.acquire(admit.Target{Prefix: 3})
			So(a, ShouldEqual, admit.Busy)
			f.loads.loads["http://a-e1"] = &api.EndpointLoad{}
			f.balancer.pollOnce(t.Context())
			_, a = f.acquire(admit.Target{Prefix: 3})
			So(a, ShouldEqual, admit.Acquired)
		})
		Convey("an update that is not older than maxAge defers nothing", func() {
			f.clock.Advance(maxAge)
			_, a := f.acquire(admit.Target{Prefix: 3})
			So(a, ShouldEqual, admit.Acquired)
		})
		Convey("without updates it continues with its last information after maxDeferTicks ticks", func() {
			f.clock.Advance(maxAge + time.Millisecond)
			for range maxDeferTicks {
				f.balancer.tick()
			}
			_, a := f.acquire(admit.Target{Prefix: 3})
			So(a, ShouldEqual, admit.Acquired)
		})
	})
}

func TestEjection(t *testing.T) {
	Convey("Given three endpoints that fail all requests", t, func() {
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
		Convey("at most half of the group is ejected at the same time", func() {
			g := f.balancer.table.Load().groups[testGroup]
			So(g.ejectedCount(f.clock.Now()), ShouldEqual, 1)
			So(f.balancer.counters.ejectionsSkipped.Count(), ShouldBeGreaterThan, 0)
		})
		Convey("after the ejection the endpoint's limit increases to its rating again with successful requests", func() {
			f.clock.Advance(5 * time.Second)
			f.balancer.tick()
			So(f.balancer.counters.reinstated.Count(), ShouldEqual, 1)
			for range 50 {
				var slots []admit.Slot
				for p, a := f.acquire(admit.Target{}); a == admit.Acquired; p, a = f.acquire(admit.Target{}) {
					slots = append(slots, p)
				}
				for _, p := range slots {
					f.balancer.Release(p, admit.Result{TotalTime: time.Second, TimeToFirstToken: 50 * time.Millisecond})
				}
			}
			for _, s := range f.balancer.Status() {
				So(s.ConsecutiveFailures, ShouldEqual, 0)
				So(s.Limit, ShouldEqual, 8)
			}
		})
	})

	Convey("The limit of an endpoint without a rating increases only while the instance uses much of its share", t, func() {
		f := newFixture(testBundle(1, 1, 0, "a"), instances(1, "a"), 0, "")
		result := admit.Result{TimeToFirstToken: 50 * time.Millisecond, TotalTime: time.Second, Tokens: 100}
		for range 100 {
			p, _ := f.acquire(admit.Target{})
			f.balancer.Release(p, result)
		}
		So(f.status("a-e0").Limit, ShouldEqual, 8)
		var slots []admit.Slot
		for p, a := f.acquire(admit.Target{}); a == admit.Acquired; p, a = f.acquire(admit.Target{}) {
			slots = append(slots, p)
		}
		f.balancer.Release(slots[0], result)
		f.balancer.Release(slots[1], result)
		So(f.status("a-e0").Limit, ShouldEqual, 9)
	})

	Convey("Endpoints that respond busy are not ejected, but get fewer requests", t, func() {
		f := newFixture(testBundle(1, 2, 8, "a"), instances(1, "a"), 0, "")
		notifications := 0
		f.balancer.OnSlotFree(func(g string) {
			if g == "" {
				notifications++
			}
		})
		sent := 0
		for range 50 {
			p, a := f.acquire(admit.Target{})
			if a == admit.Acquired {
				sent++
				f.balancer.Release(p, admit.Result{Busy: true})
				continue
			}
			So(a, ShouldEqual, admit.Busy)
			f.clock.Advance(tickInterval)
			f.balancer.tick()
		}
		So(sent, ShouldBeBetween, 5, 20)
		So(notifications, ShouldBeGreaterThan, 0)
		for _, s := range f.balancer.Status() {
			So(s.Ejected, ShouldBeFalse)
			So(s.Limit, ShouldBeLessThan, 8)
		}
		So(f.balancer.counters.limitCutsFull.Count(), ShouldEqual, sent)
	})

	Convey("Responses that are not streamed do not count as a slowdown of the endpoint", t, func() {
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
		Convey("but late first tokens do count", func() {
			for range 20 {
				p, _ := f.acquire(admit.Target{})
				f.balancer.Release(p, admit.Result{TimeToFirstToken: time.Second, TotalTime: 5 * time.Second, Tokens: 600})
			}
			So(f.status("a-e0").Limit, ShouldBeLessThan, 8)
		})
	})

	Convey("Requests that fail together on one connection count as one failure, requests that fail one after the other count each", t, func() {
		f := newFixture(testBundle(1, 2, 8, "a"), instances(1, "a"), 0, "")
		failTogether := func() {
			var slots []admit.Slot
			for p, a := f.acquire(admit.Target{Avoid: []string{"a-e1"}}); a == admit.Acquired; p, a = f.acquire(admit.Target{Avoid: []string{"a-e1"}}) {
				slots = append(slots, p)
			}
			f.clock.Advance(time.Second)
			for _, p := range slots {
				f.balancer.Release(p, admit.Result{Failed: true, Stalled: true, TotalTime: time.Second})
			}
		}
		failTogether()
		So(f.status("a-e0").ConsecutiveFailures, ShouldEqual, stalledWeight)
		So(f.status("a-e0").Limit, ShouldEqual, 4)
		failTogether()
		failTogether()
		So(f.status("a-e0").Ejected, ShouldBeTrue)
	})

	Convey("A recovering endpoint is not tried with a request that must not be retried", t, func() {
		f := newFixture(testBundle(1, 2, 8, "a"), instances(1, "a"), 0, "")
		s := f.balancer.table.Load().states["a-e0"]
		for range 5 {
			f.balancer.recordFailure(s, admit.Result{Failed: true})
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
	Convey("Given two instances and one endpoint with rating 8", t, func() {
		f := newFixture(testBundle(1, 1, 8, "a"), instances(2, "a"), 0, "")
		capacity := func() int64 {
			return f.balancer.table.Load().states["a-e0"].capacity(f.clock.Now(), &candidates{ownDomain: true, share: instanceShare{count: 2}}, false)
		}
		report := func(running uint32) {
			f.clock.Advance(time.Second)
			f.balancer.ApplyPeerReport([]*api.EndpointLoad{{Endpoint: "a-e0", Running: running, ReportedUnixMs: f.clock.Now().UnixMilli()}}, nil)
		}
		So(capacity(), ShouldEqual, 4)
		Convey("an instance may use its portion of the slots that a report shows free", func() {
			for range 4 {
				f.acquire(admit.Target{})
			}
			report(4)
			So(capacity(), ShouldEqual, 6)
			Convey("but not after the report has expired", func() {
				f.clock.Advance(reportTTL + 1)
				So(capacity(), ShouldEqual, 4)
			})
			Convey("nor beyond the limit if reports always show an idle endpoint", func() {
				acquired := 4
				for range 10 {
					report(0)
					for {
						if _, a := f.acquire(admit.Target{}); a != admit.Acquired {
							break
						}
						acquired++
					}
				}
				So(acquired, ShouldBeLessThanOrEqualTo, 8)
			})
		})
		Convey("a report that is forwarded again does not count as new", func() {
			report(4)
			at := f.status("a-e0").LastReportUnixMs
			l := f.balancer.table.Load().states["a-e0"].report.Load().load
			f.clock.Advance(time.Second)
			f.balancer.ApplyPeerReport([]*api.EndpointLoad{l}, nil)
			So(f.status("a-e0").LastReportUnixMs, ShouldEqual, at)
		})
	})
}

func TestRetryBudget(t *testing.T) {
	Convey("Retries are limited to a percentage of requests after an initial number", t, func() {
		f := newFixture(testBundle(1, 1, 1, "a"), instances(1, "a"), 0, "")
		b := NewRetryBudget(10, f.balancer.config.Metrics)
		useRetryBudget := func() (n int) {
			for b.AllowRetry("dial_failed") {
				n++
			}
			return n
		}
		So(useRetryBudget(), ShouldEqual, initialRetries)
		for range 100 {
			b.RecordRequest()
		}
		So(useRetryBudget(), ShouldEqual, 10)
		So(b.denied["dial_failed"].Count(), ShouldEqual, 2)
		So(b.allowed["dial_failed"].Count(), ShouldEqual, 20)
		b.RecordRequest()
		So(b.AllowRetry("unknown reason"), ShouldBeFalse)
		So(b.denied[otherReason].Count(), ShouldEqual, 1)
	})
}
