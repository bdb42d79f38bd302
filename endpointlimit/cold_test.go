package endpointlimit_test

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"pumiceshelf/endpointlimit"
	"pumiceshelf/registry"
)

// coldFleet returns the limits of instances that know each other, before endpoints that handle rate requests per second while cold.
func coldFleet(n int, rate float64, bound endpointlimit.ColdBound, known func(self int) []string) []*endpointlimit.Limits {
	var out []*endpointlimit.Limits
	for i := range n {
		out = append(out, endpointlimit.New(endpointlimit.Config{
			Self: fmt.Sprintf("front-%d", i), Instances: func() []string { return known(i) }, OnChange: func(endpointlimit.Change) {},
			ColdBound: bound, ColdRate: func(string) float64 { return rate },
		}))
	}
	return out
}

// instanceNames returns the names of the first n instances.
func instanceNames(n int) (names []string) {
	for i := range n {
		names = append(names, fmt.Sprintf("front-%d", i))
	}
	return names
}

// TestColdBound guards cold endpoints against crashing: in any second they get no more than the bound, although one instance does not
// know of another one, and instances send all that they may at once after a pause.
func TestColdBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 30).Draw(t, "instances")
		rate := rapid.Float64Range(0.5, 60).Draw(t, "rate")
		bound := endpointlimit.ColdBound{Overage: rapid.Float64Range(1, 2).Draw(t, "overage"), Slack: rapid.Float64Range(3, 20).Draw(t, "slack")}
		stale := rapid.IntRange(0, n-1).Draw(t, "stale instance")
		fleet := coldFleet(n, rate, bound, func(self int) []string {
			names := instanceNames(n)
			if self == stale && n > 1 {
				// It does not know of one of the others.
				missing := (stale + 1) % n
				return append(names[:missing:missing], names[missing+1:]...)
			}
			return names
		})
		for _, l := range fleet {
			l.RecordCold(endpointlimit.ColdStatement{Endpoint: engine, Left: 60e9}, start)
		}
		var sent []float64
		for step := range 300 {
			now := float64(step) / 25
			if now > 4 && now < 7 {
				continue
			}
			for _, l := range fleet {
				for l.Allows(engine, after(now)) {
					l.Take(engine, after(now))
					sent = append(sent, now)
				}
			}
		}
		first := 0
		for i, at := range sent {
			for sent[first] <= at-1 {
				first++
			}
			if got := float64(i - first + 1); got > rate*bound.Overage+bound.Slack {
				t.Fatalf("%v requests in the second until %v, at most %v are allowed", got, at, rate*bound.Overage+bound.Slack)
			}
		}
	})
}

// TestColdEndpoints guards against cold endpoints that are avoided, and against cold times that never end, grow from instance to
// instance, or are lost.
func TestColdEndpoints(t *testing.T) {
	Convey("Given a fleet before a cold endpoint", t, func() {
		const rate = 4
		bound := endpointlimit.ColdBound{Overage: 1.5, Slack: 5}
		fleet := coldFleet(58, rate, bound, func(int) []string { return instanceNames(58) })
		a, b := fleet[0], fleet[1]
		cold := func(seconds float64, assumed bool) endpointlimit.ColdStatement {
			return endpointlimit.ColdStatement{Endpoint: engine, Left: after(seconds).Sub(start), Assumed: assumed}
		}

		Convey("most of the rate that it handles is used", func() {
			for _, l := range fleet {
				l.RecordCold(cold(60, false), start)
			}
			n := 0
			for step := range 500 {
				for _, l := range fleet {
					if l.Allows(engine, after(float64(step)/50)) {
						l.Take(engine, after(float64(step)/50))
						n++
					}
				}
			}
			So(n, ShouldBeGreaterThan, 0.75*rate*10)
		})
		Convey("it is cold as long as was said, and no other process is", func() {
			a.RecordCold(cold(5, false), start)
			So(a.IsCold(engine, after(4.9)), ShouldBeTrue)
			So(a.IsCold(engine, after(5)), ShouldBeFalse)
			So(a.Allows(engine, after(5)), ShouldBeTrue)
			other := engine
			other.StartedUnixMilli++
			So(a.IsCold(other, start), ShouldBeFalse)
		})
		Convey("what the endpoint says replaces what was assumed, and an assumption does not replace it", func() {
			a.RecordCold(cold(8, true), start)
			a.RecordCold(cold(3, false), after(1))
			So(a.IsCold(engine, after(3.9)), ShouldBeTrue)
			So(a.IsCold(engine, after(4.1)), ShouldBeFalse)
			a.MergeCold([]endpointlimit.ColdStatement{{Endpoint: engine, Left: 6e9, Age: 2e9, Assumed: true}}, after(2))
			So(a.IsCold(engine, after(4.1)), ShouldBeFalse)
		})
		Convey("a shorter time does not end a longer one, but the endpoint's later word does, at other instances as well", func() {
			a.RecordCold(cold(8, false), start)
			a.RecordCold(cold(1, false), after(1))
			So(a.IsCold(engine, after(7)), ShouldBeTrue)
			b.MergeCold(a.ColdStatements(after(2)), after(2))
			So(b.IsCold(engine, after(7)), ShouldBeTrue)
			a.RecordNotCold(engine, after(0.5), after(3))
			So(a.IsCold(engine, after(3)), ShouldBeTrue)
			a.RecordNotCold(engine, after(2.5), after(3))
			So(a.IsCold(engine, after(3)), ShouldBeFalse)
			b.MergeCold(a.ColdStatements(after(3)), after(3))
			So(b.IsCold(engine, after(3)), ShouldBeFalse)
		})
		Convey("a cold time does not grow while instances pass it on", func() {
			a.RecordCold(cold(2, false), start)
			for step := range 30 {
				now := float64(step) / 10
				b.MergeCold(a.ColdStatements(after(now)), after(now+0.1))
				a.MergeCold(b.ColdStatements(after(now)), after(now+0.1))
			}
			So(a.IsCold(engine, after(2.1)), ShouldBeFalse)
			So(b.IsCold(engine, after(2.5)), ShouldBeFalse)
		})
		// Guards against a full rate at an endpoint that became cold again while a message that it was not cold was on the way (FAILBACK):
		// that time is missing from the age in the message.
		Convey("a late message of another instance does not end a cold time that began after it was sent", func() {
			const transit = 0.4
			a.RecordCold(cold(8, false), start)
			b.RecordCold(cold(8, false), start)
			a.RecordNotCold(engine, after(2), after(2))
			message := a.ColdStatements(after(2))
			b.RecordCold(cold(8, false), after(2.1))
			b.MergeCold(message, after(2+transit))
			So(b.IsCold(engine, after(2+transit)), ShouldBeTrue)
		})
		// Guards against a burst at the endpoints beyond a bound on the table when all of a large fleet start together (FAILBACK).
		Convey("all endpoints of the largest fleet, about 1,300, may be cold at once", func() {
			for i := range 1300 {
				e := registry.Endpoint{ID: fmt.Sprintf("i-%d", i), Service: engine.Service}
				a.RecordCold(endpointlimit.ColdStatement{Endpoint: e, Left: 9e9}, start)
			}
			So(a.ColdCount(start), ShouldEqual, 1300)
		})
		// The next three guard against more requests than the bound allows (FAILBACK).
		Convey("an instance that is no longer a sender sends nothing that it has saved", func() {
			names := instanceNames(58)
			for i := range fleet {
				alone := true
				l := coldFleet(i+1, rate, bound, func(int) []string {
					if alone {
						return names[i : i+1]
					}
					return names
				})[i]
				fleet[i].RecordCold(cold(60, false), start)
				l.RecordCold(cold(60, false), start)
				So(l.Allows(engine, after(10)), ShouldBeTrue)
				alone = false
				isSender := fleet[i].Allows(engine, after(10)) || fleet[i].Allows(engine, after(20))
				So(l.Allows(engine, after(20)), ShouldEqual, isSender)
			}
		})
		Convey("what was saved in one cold time is not sent at the begin of the next one", func() {
			l := coldFleet(1, rate, bound, func(int) []string { return instanceNames(1) })[0]
			l.RecordCold(cold(5, false), start)
			So(l.Allows(engine, after(4.9)), ShouldBeTrue)
			l.RecordCold(cold(5, false), after(20))
			So(l.Allows(engine, after(20)), ShouldBeFalse)
			So(l.Allows(engine, after(24)), ShouldBeTrue)
		})
		Convey("a late statement about an earlier process changes nothing", func() {
			next := engine
			next.StartedUnixMilli++
			a.RecordCold(endpointlimit.ColdStatement{Endpoint: next, Left: 9e9}, start)
			a.MergeCold([]endpointlimit.ColdStatement{cold(9, false)}, after(1))
			So(a.IsCold(next, after(2)), ShouldBeTrue)
			So(a.IsCold(engine, after(2)), ShouldBeFalse)
		})
		// Guards against a table that grows with each process that was cold once.
		Convey("what is known is forgotten 20 s after it ended", func() {
			a.RecordCold(cold(8, false), start)
			a.RecordNotCold(engine, after(2), after(2))
			So(a.ColdStatements(after(21)), ShouldHaveLength, 1)
			So(a.ColdStatements(after(22.1)), ShouldBeEmpty)
		})
		Convey("impossible times are dropped", func() {
			a.MergeCold([]endpointlimit.ColdStatement{{Endpoint: engine, Left: -1}, {Endpoint: engine, Left: 1e18}, {Endpoint: engine, Left: 1e9, Age: -1}}, start)
			So(a.IsCold(engine, start), ShouldBeFalse)
		})
		Convey("an instance that does not know the others sends nothing there", func() {
			alone := coldFleet(1, rate, bound, func(int) []string { return nil })[0]
			alone.RecordCold(cold(9, false), start)
			So(alone.Allows(engine, after(8)), ShouldBeFalse)
		})
		Convey("without the settings no endpoint is cold", func() {
			l := coldFleet(1, rate, endpointlimit.ColdBound{}, func(int) []string { return instanceNames(1) })[0]
			l.RecordCold(cold(9, false), start)
			So(l.IsCold(engine, start), ShouldBeFalse)
			So(l.ColdStatements(start), ShouldBeEmpty)
			So(l.Allows(registry.Endpoint{ID: "i-2"}, start), ShouldBeTrue)
		})
	})
}
