package quarantine

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"pumiceshelf/registry"
)

// An instance that does not know of an answer would convict a popular request after three crashes, in place of five, for all others.
func TestAnswerIsKnownWhereItsRequestIsJudged(t *testing.T) {
	sound := RequestPart("popular")
	Convey("an instance that learns of the crashes from others also learns of the answer, which those did not know", t, func() {
		f := newFleet(5)
		f.trackers[4].Began([]string{sound}, f.now)
		f.now = f.now.Add(time.Second)
		for observer := range 3 {
			f.crash(observer, []string{sound})
			f.push()
			f.now = f.now.Add(100 * time.Millisecond)
		}
		f.wait(3 * time.Second)
		So(f.changes, ShouldBeEmpty)
		So(f.trackers[3].begunAt(sound).IsZero(), ShouldBeFalse)
	})
	Convey("an instance that knows the crashes from the store only also learns of the answer there, which does not clear later crashes", t, func() {
		f := newFleet(1)
		f.trackers[0].Began([]string{sound}, f.now)
		f.now = f.now.Add(time.Second)
		for range 4 {
			f.crashAndWait(0, []string{sound})
		}
		stored := f.trackers[0].StoreState(f.now)
		So(stored.Crashes, ShouldHaveLength, 4)
		cut := New(Config{Self: "front-1"})
		cut.MergeStored(stored, f.now)
		_, refused := cut.Quarantined([]string{sound}, f.now.Add(relayPeriod+time.Second))
		So(refused, ShouldBeFalse)
		e := registry.Endpoint{ID: "i-last", Service: "model", Address: "10.0.0.1:80"}
		cut.Crashed(e, []string{sound}, f.now, f.now)
		_, refused = cut.Quarantined([]string{sound}, f.now.Add(relayPeriod+time.Second))
		So(refused, ShouldBeTrue)
	})
}

// If the instance that lost the cause in one of the crashes reaches no other, that crash has no explanation elsewhere.
func TestAnsweredRequestIsLessLikelyTheCause(t *testing.T) {
	bad, sound := RequestPart("bad"), RequestPart("popular")
	Convey("crashes that an unanswered request explains do not count against an answered one", t, func() {
		f := newFleet(3)
		f.trackers[0].Began([]string{sound}, f.now)
		f.now = f.now.Add(time.Second)
		for range 5 {
			f.crashAndWait(1, []string{bad}, []string{sound})
		}
		f.crashAndWait(2, []string{sound})
		So(f.convictedBy(bad), ShouldEqual, 3)
		So(f.convictedBy(sound), ShouldEqual, 0)
		for range 4 {
			f.crashAndWait(2, []string{sound})
		}
		So(f.convictedBy(sound), ShouldEqual, 3)
	})
}
