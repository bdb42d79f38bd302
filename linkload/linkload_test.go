package linkload_test

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"pumiceshelf/linkload"
)

const (
	linkRate = 1_250_000
	step     = 10 * time.Millisecond
)

// link plays packets on a link of 10 Mbit/s.
type link struct {
	monitor *linkload.Monitor
	now     time.Time
}

// run sends and receives bytes at parts of the link's rate. It returns after which times the link became busy or free again.
func (l *link) run(span time.Duration, received, sent float64) (changes []time.Duration) {
	begin := l.now
	for end := begin.Add(span); l.now.Before(end); l.now = l.now.Add(step) {
		// A full packet has 66 bytes of headers to 1,448 bytes of payload.
		l.monitor.Received(int(received * linkRate * step.Seconds() * 1448 / 1514))
		l.monitor.Sent(int(sent * linkRate * step.Seconds() * 1448 / 1514))
		if _, changed := l.monitor.Busy(l.now); changed {
			changes = append(changes, l.now.Sub(begin))
		}
	}
	return changes
}

func (l *link) busy() bool {
	busy, _ := l.monitor.Busy(l.now)
	return busy
}

// TestBusyLink guards against an instance that gets more callers while its link is full, and against one that is kept from callers
// without need: by a short burst, for ever, or because it leaves and returns many times a second.
func TestBusyLink(t *testing.T) {
	Convey("Given a link that was used to a third for a while", t, func() {
		l := &link{monitor: linkload.New(linkRate), now: time.Unix(1000, 0)}
		So(l.run(10*time.Second, 0.33, 0.33), ShouldBeEmpty)
		So(l.busy(), ShouldBeFalse)

		Convey("a load of one and a half times the link, in either direction, makes it busy before callers give up after a second", func() {
			for _, load := range [][2]float64{{1.5, 0.3}, {0.3, 1.5}} {
				l := &link{monitor: linkload.New(linkRate), now: time.Unix(1000, 0)}
				l.run(5*time.Second, 0.33, 0.33)
				changes := l.run(time.Second, load[0], load[1])
				So(changes, ShouldHaveLength, 1)
				So(changes[0], ShouldBeLessThan, time.Second)
				So(l.busy(), ShouldBeTrue)
			}
		})
		Convey("a burst of 100 ms does not", func() {
			So(l.run(100*time.Millisecond, 1.5, 1.5), ShouldBeEmpty)
			So(l.run(2*time.Second, 0.33, 0.33), ShouldBeEmpty)
		})
		Convey("small packets count with their headers", func() {
			changed := 0
			for range 500 {
				// 7,500 events of 100 bytes a second are 0.6 of the link without headers, and all of it with them.
				for range 75 {
					l.monitor.Sent(100)
				}
				if _, c := l.monitor.Busy(l.now); c {
					changed++
				}
				l.now = l.now.Add(step)
			}
			So(changed, ShouldEqual, 1)
		})
		Convey("once its callers are gone, the link is free after the time that the load balancer needs to see it busy", func() {
			l.run(time.Second, 1.5, 0.3)
			changes := l.run(20*time.Second, 0.1, 0.1)
			So(changes, ShouldHaveLength, 1)
			So(changes[0], ShouldBeBetween, time.Second, 4*time.Second)
			So(l.busy(), ShouldBeFalse)
		})
		Convey("an instance whose callers stay is back in rotation every ten seconds, for a time that the load balancer notices", func() {
			l.run(time.Second, 1.5, 0.3)
			changes := l.run(60*time.Second, 1.5, 0.3)
			for i := 1; i < len(changes); i++ {
				So(changes[i]-changes[i-1], ShouldBeGreaterThan, time.Second)
			}
			So(len(changes), ShouldBeBetween, 8, 14)
		})
	})
}

// outOfRotation plays callers that fill the link as soon as the instance is in rotation, and leave two seconds after it is out of it, as the
// load balancer moves them. It returns how long the instance was out of rotation each time, and the part of the time in which the link was full.
func (l *link) outOfRotation(span time.Duration) (periods []time.Duration, full float64) {
	begin, busySince, steps, fullSteps := l.now, time.Time{}, 0, 0
	for l.now.Sub(begin) < span {
		wasBusy, load := l.busy(), 0.1
		if !wasBusy || l.now.Sub(busySince) < 2*time.Second {
			load = 1
		}
		l.run(step, load, 0.1)
		steps++
		if load == 1 {
			fullSteps++
		}
		switch busy := l.busy(); {
		case busy && !wasBusy:
			busySince = l.now
		case !busy && wasBusy:
			periods = append(periods, l.now.Sub(busySince).Round(100*time.Millisecond))
		}
	}
	return periods, float64(fullSteps) / float64(steps)
}

// TestReturnOfABusyInstance guards against an instance that returns every few seconds to the callers that fill its link, against one that
// stays out of rotation for good, and against one that stays out for long after a single later burst.
func TestReturnOfABusyInstance(t *testing.T) {
	Convey("Given an instance whose callers fill its link whenever it is in rotation", t, func() {
		l := &link{monitor: linkload.New(linkRate), now: time.Unix(1000, 0)}
		l.run(5*time.Second, 0.1, 0.1)
		periods, full := l.outOfRotation(60 * time.Second)
		t.Logf("out of rotation for %v, link full for %.2f of the time", periods, full)

		Convey("it stays out for longer each time, and returns after ten seconds at the latest", func() {
			So(len(periods), ShouldBeGreaterThanOrEqualTo, 4)
			So(periods[:4], ShouldResemble, []time.Duration{3 * time.Second, 6 * time.Second, 10 * time.Second, 10 * time.Second})
		})
		// Of 11.5 s, it is in rotation for 1.5 s, and its callers leave 2 s later.
		Convey("the link is full for less than half of the time", func() {
			So(full, ShouldBeLessThan, 0.5)
		})
		Convey("after a calm period it stays out for the shortest time again, after a shorter one it does not", func() {
			for l.busy() {
				l.run(step, 0.1, 0.1)
			}
			l.run(9*time.Second, 0.1, 0.1)
			periods, _ := l.outOfRotation(15 * time.Second)
			So(periods, ShouldResemble, []time.Duration{10 * time.Second})
			for l.busy() {
				l.run(step, 0.1, 0.1)
			}
			l.run(11*time.Second, 0.1, 0.1)
			periods, _ = l.outOfRotation(5 * time.Second)
			So(periods, ShouldResemble, []time.Duration{3 * time.Second})
		})
	})
}
