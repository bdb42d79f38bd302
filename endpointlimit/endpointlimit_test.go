package endpointlimit_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"pumiceshelf/endpointlimit"
	"pumiceshelf/registry"
)

var (
	start  = time.Unix(1000, 0)
	engine = registry.Endpoint{ID: "i-1", Service: "model", Address: "10.0.0.1:80", StartedUnixMilli: 5}
)

// fleet returns the limits of instances that know each other.
func fleet(n int) []*endpointlimit.Limits {
	var names []string
	for i := range n {
		names = append(names, fmt.Sprintf("front-%d", i))
	}
	var out []*endpointlimit.Limits
	for _, name := range names {
		out = append(out, endpointlimit.New(endpointlimit.Config{
			Self: name, Instances: func() []string { return names }, OnChange: func(endpointlimit.Change) {},
		}))
	}
	return out
}

// after returns the time that many seconds after the start.
func after(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

// send sends as many requests as the fleet may from one time to another, and returns when. All instances learn of the
// responses at once.
func send(fleet []*endpointlimit.Limits, rate float64, from, to time.Time) (sent []time.Time) {
	for now := from; now.Before(to); now = now.Add(100 * time.Millisecond) {
		before := len(sent)
		for _, l := range fleet {
			for l.Allows(engine, now) {
				l.Take(engine, now)
				sent = append(sent, now)
			}
		}
		for _, l := range fleet {
			if len(sent) > before {
				l.Named(engine, rate, now)
			}
		}
	}
	return sent
}

func TestRateIsDividedAmongInstances(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n, rate := rapid.IntRange(1, 120).Draw(t, "instances"), rapid.Float64Range(0.2, 40).Draw(t, "rate")
		idle := rapid.Float64Range(0, 8).Draw(t, "idle")
		limits := fleet(n)
		for _, l := range limits {
			l.Named(engine, rate, start)
		}
		duration := max(60/rate, 20)
		sent := send(limits, rate, after(idle), after(idle+duration))
		const window = 4 * time.Second
		for i, first := range sent {
			last := i
			for last+1 < len(sent) && sent[last+1].Sub(first) < window {
				last++
			}
			if got, allowed := float64(last-i+1), 1.5*rate*window.Seconds()+5; got > allowed {
				t.Fatalf("%v requests within %v, allowed are %v", got, window, allowed)
			}
		}
		if used := float64(len(sent)) / (rate * duration); used < 0.85 {
			t.Fatalf("used %.2f of the rate", used)
		}
	})
}

func TestStatements(t *testing.T) {
	Convey("Given two instances of which one got a response with a limit", t, func() {
		limits := fleet(2)
		a, b := limits[0], limits[1]
		a.Named(engine, 1, after(1))

		Convey("the other learns it from the first", func() {
			b.Merge(a.Statements(after(2)), after(2))
			So(b.Limited(engine), ShouldBeTrue)
			So(b.Allows(engine, after(2)), ShouldBeFalse)
			Convey("and its withdrawal", func() {
				a.NotNamed(engine, after(2.5), after(2.6))
				So(a.Limited(engine), ShouldBeFalse)
				So(a.Allows(engine, after(2.6)), ShouldBeTrue)
				b.Merge(a.Statements(after(3)), after(3))
				So(b.Limited(engine), ShouldBeFalse)
			})
			Convey("and a change of the rate, but not an older one", func() {
				a.Named(engine, 4, after(3))
				b.Merge(a.Statements(after(3)), after(3))
				So(b.Statements(after(3))[0].Rate, ShouldEqual, 4)
				b.Merge([]endpointlimit.Statement{{Endpoint: engine, Limited: true, Rate: 9, Age: 2 * time.Second}}, after(3.1))
				So(b.Statements(after(3))[0].Rate, ShouldEqual, 4)
			})
		})
		Convey("a response to a request sent before it does not withdraw the limit", func() {
			a.NotNamed(engine, after(0.5), after(1.5))
			So(a.Limited(engine), ShouldBeTrue)
		})
		Convey("a limit that is passed on in a circle does not become newer", func() {
			for i := range 50 {
				now := after(1 + 0.1*float64(i))
				late := now.Add(90 * time.Millisecond)
				b.Merge(a.Statements(now), late)
				a.Merge(b.Statements(late), late.Add(90*time.Millisecond))
			}
			So(a.Statements(after(7))[0].Age, ShouldBeGreaterThan, 4*time.Second)
		})
		Convey("a limit belongs to one process of the endpoint", func() {
			restarted := engine
			restarted.StartedUnixMilli = 9
			So(a.Limited(restarted), ShouldBeFalse)
			So(a.Allows(restarted, after(2)), ShouldBeTrue)
			Convey("and what was said of an earlier one is not taken for the later one's", func() {
				a.Named(restarted, 3, after(3))
				a.Merge([]endpointlimit.Statement{{Endpoint: engine, Limited: true, Rate: 1}}, after(4))
				So(a.Limited(restarted), ShouldBeTrue)
				So(a.Limited(engine), ShouldBeFalse)
			})
		})
		Convey("a withdrawn limit is passed on for a while and then forgotten", func() {
			a.NotNamed(engine, after(2), after(2))
			So(a.Statements(after(10)), ShouldHaveLength, 1)
			So(a.Statements(after(30)), ShouldBeEmpty)
		})
		Convey("an endpoint that is gone is forgotten", func() {
			a.Retain(func(string) bool { return false })
			So(a.Statements(after(2)), ShouldBeEmpty)
		})
	})
	Convey("an instance that does not know the others sends nothing to a limited endpoint", t, func() {
		l := endpointlimit.New(endpointlimit.Config{
			Self: "front-1", Instances: func() []string { return nil }, OnChange: func(endpointlimit.Change) {},
		})
		l.Named(engine, 100, start)
		So(l.Allows(engine, after(5)), ShouldBeFalse)
	})
	Convey("all instances share a rate that no response has confirmed for long", t, func() {
		limits := fleet(50)
		senders := 0
		for _, l := range limits {
			l.Named(engine, 2, start)
		}
		for _, l := range limits {
			if l.Allows(engine, after(9)) {
				senders++
			}
		}
		So(senders, ShouldEqual, 5)
		for second := 13.0; second < 63; second += 5 {
			sent := 0
			for _, l := range limits {
				if l.Allows(engine, after(second)) {
					l.Take(engine, after(second))
					sent++
				}
			}
			So(sent, ShouldBeBetweenOrEqual, 4, 16)
		}
	})
}
