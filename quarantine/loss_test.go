package quarantine

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"pumiceshelf/registry"
)

// An instance that is killed before it has checked an endpoint must not take along that a request was lost there.
func TestUncheckedLoss(t *testing.T) {
	bad, lost := RequestPart("bad"), registry.Endpoint{ID: "i-lost", Service: "model", Address: "10.0.0.9:80"}
	// begin returns a fleet in which bad was lost in two crashes, and at a third endpoint by an instance that ends and told one other.
	begin := func() *fleet {
		f := newFleet(3)
		f.crashAndWait(1, []string{bad})
		f.crashAndWait(1, []string{bad})
		f.trackers[0].Lost(lost, append(prompt("session"), bad), f.now)
		f.trackers[1].Merge(f.trackers[0].Losses(f.now), f.now)
		f.trackers[0] = New(Config{Self: "front-0"})
		return f
	}
	Convey("it counts once another instance has found that the endpoint has ended", t, func() {
		f := begin()
		f.wait(100 * time.Millisecond)
		So(f.trackers[1].LostByOthers(lost), ShouldBeTrue)
		f.trackers[1].CrashedForOthers(lost, f.now)
		So(f.trackers[1].LostByOthers(lost), ShouldBeFalse)
		f.wait(time.Second)
		So(f.convictedBy(bad), ShouldEqual, 3)
	})
	Convey("it does not count before, nor if the endpoint has not ended", t, func() {
		f := begin()
		f.wait(3 * time.Second)
		So(f.convictedBy(bad), ShouldEqual, 0)
		So(f.trackers[1].Ended(lost, f.now), ShouldBeFalse)
		f.trackers[1].NotEnded(lost)
		So(f.trackers[1].LostByOthers(lost), ShouldBeFalse)
		f.trackers[1].CrashedForOthers(lost, f.now)
		f.wait(3 * time.Second)
		So(f.convictedBy(bad), ShouldEqual, 0)
	})
	Convey("nothing is left to check if the instance has passed on the crash itself", t, func() {
		f := begin()
		f.trackers[2].Crashed(lost, append(prompt("session"), bad), f.now, f.now)
		f.wait(100 * time.Millisecond)
		So(f.trackers[1].LostByOthers(lost), ShouldBeFalse)
	})
	Convey("it is passed on once, and not after the check", t, func() {
		tracker, now := New(Config{}), time.Unix(1_800_000_000, 0)
		tracker.Lost(lost, prompt("a", bad), now)
		stated := tracker.Losses(now.Add(time.Millisecond)).Crashes
		So(stated, ShouldResemble, []Crash{{Endpoint: lost, Age: time.Millisecond, Unchecked: true, Parts: []string{"a", "first", bad}, FirstParts: []string{"first"}}})
		So(tracker.Losses(now).Crashes, ShouldBeEmpty)
		tracker.Lost(lost, prompt("a", bad), now)
		tracker.Crashed(lost, prompt("a", bad), now, now)
		So(tracker.Losses(now).Crashes, ShouldBeEmpty)
	})
}
