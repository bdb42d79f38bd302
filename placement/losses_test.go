package placement_test

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"pumiceshelf/placement"
	"pumiceshelf/registry"
)

// Guards against a loss that is dated later and later as instances pass it on to each other, and against passing on again one that
// was passed on.
func TestLossesThatAreReportedAgain(t *testing.T) {
	Convey("Given an endpoint that was found to have ended", t, func() {
		c := placement.New(noLimits())
		e, at := registry.Endpoint{ID: "i-1", Service: "model"}, time.Unix(1000, 0)
		c.RecordLoss(placement.Loss{Endpoint: e, At: at})
		signaled := func() bool {
			select {
			case <-c.LossSignal():
				return true
			default:
				return false
			}
		}
		only := func() placement.Loss {
			losses := c.Losses(time.Time{})
			So(losses, ShouldHaveLength, 1)
			return losses[0]
		}
		So(signaled(), ShouldBeTrue)
		So(only().Sequence, ShouldEqual, 1)
		Convey("reports of the same loss that took a while change nothing, however many there are", func() {
			for range 100 {
				c.RecordLoss(placement.Loss{Endpoint: e, At: only().At.Add(placement.SameLossInterval)})
			}
			So(only(), ShouldResemble, placement.Loss{Endpoint: e, At: at, Sequence: 1})
			So(signaled(), ShouldBeFalse)
		})
		Convey("a later end counts from when it was found, and is to be passed on if it is much later", func() {
			for i, after := range []time.Duration{placement.SameLossInterval + 1, time.Second} {
				sequence := uint64(i + 1)
				c.RecordLoss(placement.Loss{Endpoint: e, At: at.Add(after)})
				So(only(), ShouldResemble, placement.Loss{Endpoint: e, At: at.Add(after), Sequence: sequence})
				So(signaled(), ShouldEqual, sequence == 2)
			}
		})
	})
}

// Guards against dropping the loss of a process that started again under the ID of one to which this instance has sent requests: until
// it sends one to the new process, it would resume streams at whatever runs there next (ORDER).
func TestLossOfAProcessThatGotNoRequestYet(t *testing.T) {
	Convey("Given an endpoint that got requests and is then listed as another process", t, func() {
		c, now := placement.New(noLimits()), time.Unix(1000, 0)
		before := registry.Endpoint{ID: "i-1", Service: "model", Address: "10.0.0.1:80", StartedUnixMilli: 1000, SoftwareVersion: "1", Version: 5}
		choice := c.Pick([]registry.Endpoint{before}, placement.Request{Service: "model"}, nil, now)
		So(choice.Outcome, ShouldEqual, placement.Chosen)
		after := before
		after.StartedUnixMilli, after.SoftwareVersion, after.Version = 3000, "2", 9
		Convey("the end of the new process that another instance reports is known", func() {
			c.RecordLoss(placement.Loss{Endpoint: after, At: now})
			So(c.MayHaveRestarted(after, now.Add(-time.Second)), ShouldBeTrue)
			So(c.LostConnection(after, now.Add(-time.Second)), ShouldBeTrue)
			So(c.Losses(now.Add(-time.Second)), ShouldHaveLength, 1)
			Convey("and a late report about the earlier process does not replace it", func() {
				c.RecordLoss(placement.Loss{Endpoint: before, At: now.Add(time.Second)})
				So(c.MayHaveRestarted(after, now.Add(-time.Second)), ShouldBeTrue)
			})
		})
	})
}

// Guards against a loss that an instance forgets with the entry of the endpoint while another one, which has just started and asks for
// all losses, still lists the endpoint and would resume streams at what runs there next (ORDER).
func TestLossOutlivesTheEntry(t *testing.T) {
	Convey("Given an endpoint that was found to have ended and is no longer listed", t, func() {
		c, at := placement.New(noLimits()), time.Unix(1000, 0)
		e := registry.Endpoint{ID: "i-1", Service: "model", Version: 5}
		c.RecordLoss(placement.Loss{Endpoint: e, At: at})
		unlisted := func(string) bool { return false }
		c.Retain(unlisted, at.Add(time.Second))
		Convey("the loss is passed on for as long as others", func() {
			c.Retain(unlisted, at.Add(7500*time.Millisecond))
			losses := c.Losses(at.Add(-1))
			So(losses, ShouldHaveLength, 1)
			So(losses[0].Endpoint, ShouldResemble, e)
		})
		Convey("it is forgotten later", func() {
			c.Retain(unlisted, at.Add(time.Minute))
			So(c.Losses(at.Add(-1)), ShouldBeEmpty)
		})
	})
}
