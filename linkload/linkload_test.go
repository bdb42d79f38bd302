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
