package linkload_test

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"pumiceshelf/linkload"
)

// TestDialTime guards against a connection that takes the time that the request needs, and against one that never ends.
func TestDialTime(t *testing.T) {
	Convey("the time to connect is half of the remaining time, within bounds", t, func() {
		const usual = 300 * time.Millisecond
		for remaining, expected := range map[time.Duration]time.Duration{
			-time.Second: usual, 0: usual, 500 * time.Millisecond: usual, time.Second: 500 * time.Millisecond, 2 * time.Second: time.Second,
			time.Minute: linkload.MaxDialTime,
		} {
			So(linkload.DialTime(usual, remaining), ShouldEqual, expected)
		}
	})
}

// TestTimeoutsOnABusyLink guards against endpoints that are taken for faulty because the link of the instance is full, and against those
// that are out of reach and not found to be while it is full.
func TestTimeoutsOnABusyLink(t *testing.T) {
	Convey("Given connections over a busy link", t, func() {
		var d linkload.Dials
		at := func(ms int) time.Time { return time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond) }

		Convey("if all time out, it is the fault of none", func() {
			for begin := 0; begin < 20_000; begin += 500 {
				for _, address := range []string{"a", "b", "c"} {
					So(d.TimedOut(address, at(begin), at(begin+500)), ShouldBeFalse)
				}
			}
		})
		Convey("one that timed out for the longest time is at fault if a later one to another address was established", func() {
			d.Connected("b", at(200), at(900))
			So(d.TimedOut("a", at(0), at(1500)), ShouldBeTrue)
		})
		Convey("several shorter ones are at fault once they cover that time", func() {
			d.Connected("b", at(200), at(900))
			So(d.TimedOut("a", at(0), at(500)), ShouldBeFalse)
			So(d.TimedOut("a", at(500), at(1000)), ShouldBeFalse)
			So(d.TimedOut("a", at(1000), at(1500)), ShouldBeTrue)
		})
		Convey("one that timed out is also at fault if another address responded to a later request over an older connection", func() {
			d.Connected("b", at(-10), at(-5))
			So(d.TimedOut("a", at(0), at(500)), ShouldBeFalse)
			So(d.TimedOut("a", at(500), at(1000)), ShouldBeFalse)
			d.Responded("b", at(1100), at(1200))
			So(d.TimedOut("a", at(1000), at(1500)), ShouldBeTrue)
		})
		Convey("a response to an earlier request shows nothing, and one of the same address ends the suspicion", func() {
			So(d.TimedOut("a", at(0), at(500)), ShouldBeFalse)
			d.Responded("b", at(-100), at(600))
			So(d.TimedOut("a", at(500), at(1500)), ShouldBeFalse)
			d.Responded("b", at(1600), at(1700))
			d.Responded("a", at(1600), at(1700))
			So(d.TimedOut("a", at(1750), at(2000)), ShouldBeFalse)
		})
		Convey("a response that took longer than a connection may shows nothing of other addresses", func() {
			So(d.TimedOut("a", at(0), at(300)), ShouldBeFalse)
			d.Responded("b", at(100), at(1700))
			So(d.TimedOut("a", at(1400), at(1800)), ShouldBeFalse)
			d.Responded("b", at(400), at(1850))
			So(d.TimedOut("a", at(1500), at(1900)), ShouldBeTrue)
		})
		Convey("an earlier connection to another address shows nothing", func() {
			d.Connected("b", at(-10), at(900))
			So(d.TimedOut("a", at(0), at(1500)), ShouldBeFalse)
		})
		Convey("a connection to the same address ends the suspicion, whichever began first", func() {
			d.Connected("b", at(2000), at(2100))
			So(d.TimedOut("a", at(0), at(1400)), ShouldBeFalse)
			d.Connected("a", at(1300), at(1700))
			So(d.TimedOut("a", at(1500), at(2900)), ShouldBeFalse)
			So(d.TimedOut("a", at(2000), at(2950)), ShouldBeFalse)
			d.Connected("c", at(3010), at(3100))
			So(d.TimedOut("a", at(3000), at(4500)), ShouldBeTrue)
		})
		Convey("two timeouts long after one another are not taken together", func() {
			d.Connected("b", at(100), at(200))
			So(d.TimedOut("a", at(0), at(500)), ShouldBeFalse)
			d.Connected("b", at(10_100), at(10_200))
			So(d.TimedOut("a", at(10_000), at(10_500)), ShouldBeFalse)
		})
	})
}

// TestFullLink guards against more time for connections while the link is free, although the instance is still out of rotation, and
// against the usual time while the link is full, although the instance is back in rotation.
func TestFullLink(t *testing.T) {
	Convey("the link is full while packets wait on it, in and out of rotation", t, func() {
		l := &link{monitor: linkload.New(linkRate), now: time.Unix(1000, 0)}
		l.run(5*time.Second, 0.33, 0.33)
		So(l.monitor.Full(l.now), ShouldBeFalse)
		l.run(time.Second, 1, 0.3)
		So(l.monitor.Full(l.now), ShouldBeTrue)
		l.run(500*time.Millisecond, 0.1, 0.1)
		So(l.busy(), ShouldBeTrue)
		So(l.monitor.Full(l.now), ShouldBeFalse)
		changes := l.run(30*time.Second, 1, 0.3)
		So(changes, ShouldNotBeEmpty)
		So(l.monitor.Full(l.now), ShouldBeTrue)
	})
}
