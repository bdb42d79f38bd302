package quarantine

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"pumiceshelf/registry"
)

func TestVerdictOnRequest(t *testing.T) {
	bad, sound := RequestPart("bad"), RequestPart("sound")
	Convey("a request that three endpoints lost within a moment is convicted at all instances", t, func() {
		f := newFleet(3)
		for range 3 {
			f.crash(0, []string{bad})
			f.now = f.now.Add(20 * time.Millisecond)
		}
		f.wait(time.Second)
		So(f.convictedBy(bad), ShouldEqual, 3)
	})
	Convey("a request that was answered before is not convicted by the crashes of a rack, but by five separate ones", t, func() {
		f := newFleet(2)
		f.trackers[1].Began([]string{sound}, f.now)
		f.now = f.now.Add(time.Second)
		for range 8 {
			f.crash(0, []string{sound})
			f.now = f.now.Add(20 * time.Millisecond)
		}
		f.wait(time.Second)
		So(f.changes, ShouldBeEmpty)
		for range 4 {
			f.crashAndWait(0, []string{sound})
		}
		So(f.convictedBy(sound), ShouldEqual, 2)
	})
	Convey("requests lost in the same crashes are convicted together, and the first answer ends a wrong verdict everywhere", t, func() {
		f := newFleet(3)
		for range 3 {
			f.crashAndWait(0, []string{bad}, []string{sound})
		}
		So(f.convictedBy(bad), ShouldEqual, 3)
		So(f.convictedBy(sound), ShouldEqual, 3)
		f.wait(trialDelayTied)
		passed := 0
		for _, tracker := range f.trackers {
			if _, refused := tracker.Quarantined([]string{sound}, f.now); !refused {
				passed++
				tracker.Began([]string{sound}, f.now)
			}
		}
		So(passed, ShouldEqual, 1)
		f.wait(time.Second)
		So(f.convictedBy(bad), ShouldEqual, 3)
		So(f.convictedBy(sound), ShouldEqual, 0)
	})
	Convey("crashes that a request explains convict none of its prompt parts", t, func() {
		f := newFleet(2)
		for range 4 {
			f.crashAndWait(0, append(prompt("session"), bad))
		}
		So(f.convictedBy(bad), ShouldEqual, 2)
		So(f.convictedBy("session"), ShouldEqual, 0)
	})
	Convey("a prompt part in different requests is convicted as before", t, func() {
		f := newFleet(2)
		f.trackers[0].Began(prompt("other"), f.now)
		for i := range 3 {
			f.crashAndWait(0, append(prompt("bad"), RequestPart(fmt.Sprint(i))))
		}
		So(f.convictedBy("bad"), ShouldEqual, 2)
	})
}

// A sound request that was lost with the cause is convicted first if the instance that observed one of the crashes ended.
func TestVerdictOnSoundRequestDoesNotAcquitTheCause(t *testing.T) {
	bad, sound := RequestPart("bad"), RequestPart("sound")
	Convey("with one crash unknown, the sound request is convicted, and the cause with its next crash, observed by a restarted instance", t, func() {
		f := newFleet(3)
		f.crash(0, []string{bad})
		f.trackers[1].Crashed(registry.Endpoint{ID: "i-1", Service: "model", Address: "10.0.0.1:80"}, []string{sound}, f.now, f.now)
		f.wait(time.Second)
		f.crash(1, []string{sound})
		f.trackers[0] = New(Config{Self: "front-0"})
		f.wait(time.Second)
		f.crashAndWait(2, []string{sound}, []string{bad})
		So(f.convictedBy(sound), ShouldEqual, 3)
		So(f.convictedBy(bad), ShouldEqual, 0)
		So(f.trackers[0].Suspected(registry.Endpoint{ID: "i-4"}, []string{bad}, f.now), ShouldBeTrue)

		f.wait(3 * time.Second)
		So(f.convictedBy(bad), ShouldEqual, 0)
		f.crashAndWait(0, []string{bad})
		So(f.convictedBy(bad), ShouldEqual, 3)

		Convey("and the sound one is tried soon", func() {
			f.wait(trialDelayTied)
			passed := 0
			for _, tracker := range f.trackers {
				if _, refused := tracker.Quarantined([]string{sound}, f.now); !refused {
					passed++
					tracker.Began([]string{sound}, f.now)
				}
				_, refused := tracker.Quarantined([]string{bad}, f.now)
				So(refused, ShouldBeTrue)
			}
			So(passed, ShouldBeGreaterThan, 0)
			f.wait(time.Second)
			So(f.convictedBy(bad), ShouldEqual, 3)
			So(f.convictedBy(sound), ShouldEqual, 0)
		})
	})
	Convey("what the store has convicts the cause with its next crash after a restart of all instances", t, func() {
		f := newFleet(1)
		f.crashAndWait(0, []string{bad}, []string{sound})
		f.crashAndWait(0, []string{sound})
		f.crashAndWait(0, []string{bad}, []string{sound})
		So(f.convictedBy(sound), ShouldEqual, 1)
		stored := f.trackers[0].StoreState(f.now)
		f.trackers[0].Stored(stored, f.now)
		So(f.trackers[0].StoreDue(f.now), ShouldBeFalse)
		f.trackers[0] = New(Config{Self: "front-0"})
		f.trackers[0].MergeStored(stored, f.now)
		f.crashAndWait(0, []string{bad})
		So(f.convictedBy(bad), ShouldEqual, 1)
	})
}

func TestLoneRequestsAreNotPassedOnForLong(t *testing.T) {
	Convey("of the requests that endpoints lost, only those lost again are passed on after a while", t, func() {
		f := newFleet(2)
		f.crashAndWait(0, []string{RequestPart("again")}, []string{RequestPart("lone")})
		f.crashAndWait(0, []string{RequestPart("again")})
		parts := func() (n int) {
			for _, c := range f.trackers[1].Statements(f.now).Crashes {
				n += len(c.Parts)
			}
			return n
		}
		So(parts(), ShouldEqual, 3)
		f.wait(loneRequestPeriod)
		So(parts(), ShouldEqual, 2)
		f.crashAndWait(0, []string{RequestPart("again")})
		So(f.convictedBy(RequestPart("again")), ShouldEqual, 2)
	})
}
