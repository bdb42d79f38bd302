package quarantine

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// While the instances are asked for answers, a caller that repeats a request at once would take further endpoints.
func TestAwaitedVerdict(t *testing.T) {
	bad := RequestPart("bad")
	Convey("a request in enough crashes waits at all instances until the verdict", t, func() {
		f := newFleet(3)
		f.crashAndWait(0, append(prompt("session"), bad))
		f.crashAndWait(1, append(prompt("session"), bad))
		So(f.trackers[2].Awaited([]string{bad}, f.now), ShouldEqual, 0)
		f.crash(0, append(prompt("session"), bad))
		So(f.trackers[0].Awaited([]string{bad}, f.now), ShouldEqual, awaitPeriod)
		f.push()
		So(f.trackers[2].Awaited([]string{bad}, f.now), ShouldEqual, awaitPeriod)
		So(f.trackers[2].Awaited(prompt("session"), f.now), ShouldEqual, 0)
		f.wait(replyPeriod + 100*time.Millisecond)
		So(f.convictedBy(bad), ShouldEqual, 3)
		So(f.trackers[2].Awaited([]string{bad}, f.now), ShouldEqual, 0)
	})
	Convey("it waits no longer once an answer is known, nor for a verdict that does not come", t, func() {
		f := newFleet(3)
		f.crashAndWait(0, []string{bad})
		f.crashAndWait(0, []string{bad})
		f.trackers[1].Began([]string{bad}, f.now)
		f.crash(0, []string{bad})
		f.trackers[2].Merge(f.trackers[0].News(f.now), f.now)
		So(f.trackers[2].Awaited([]string{bad}, f.now), ShouldEqual, awaitPeriod)
		f.trackers[2].Merge(f.trackers[1].Reply(f.trackers[2].Statements(f.now), f.now, true), f.now)
		So(f.trackers[2].Awaited([]string{bad}, f.now), ShouldEqual, 0)
		So(f.trackers[0].Awaited([]string{bad}, f.now), ShouldBeGreaterThan, 0)
		So(f.trackers[0].Awaited([]string{bad}, f.now.Add(awaitPeriod)), ShouldBeLessThanOrEqualTo, 0)
	})
}
