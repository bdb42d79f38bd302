package registry_test

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"pumiceshelf/registry"
)

func TestVersionHistory(t *testing.T) {
	Convey("Given a service whose endpoints are replaced by another version", t, func() {
		at := func(seconds int) time.Time { return time.Unix(1000+int64(seconds), 0) }
		set, h, contact := registry.NewSet(), registry.NewVersionHistory(), &registry.Contact{}
		confirmUntil := func(seconds int) {
			for s := 0; s <= seconds; s += 2 {
				contact.Confirm(at(s))
			}
		}
		old, replacement := modelEndpoint("i-1", 1), modelEndpoint("i-1", 2)
		old.SoftwareVersion, replacement.SoftwareVersion = "v1", "v2"
		set.Put(old)
		h.Update(at(0), set)
		set.Put(replacement)
		h.Update(at(10), set)

		// A caller may resume a stream up to 45 s, and the pauses before its retries, after it began.
		Convey("the former version is remembered for 60 s", func() {
			versions, _ := h.Versions("model", contact, at(70))
			So(versions, ShouldResemble, []string{"v1", "v2"})
			versions, _ = h.Versions("model", contact, at(71))
			So(versions, ShouldResemble, []string{"v2"})
		})
		Convey("the history is complete after 60 s", func() {
			confirmUntil(58)
			_, complete := h.Versions("model", contact, at(59))
			So(complete, ShouldBeFalse)
			_, complete = h.Versions("model", contact, at(60))
			So(complete, ShouldBeTrue)
		})
		Convey("it is not complete while the instance does not reach the store", func() {
			confirmUntil(70)
			_, complete := h.Versions("model", contact, at(73))
			So(complete, ShouldBeFalse)
		})
		Convey("it is not complete for 60 s after a gap, in which a version may have come and gone", func() {
			confirmUntil(70)
			contact.Confirm(at(73))
			_, complete := h.Versions("model", contact, at(74))
			So(complete, ShouldBeFalse)
		})
		Convey("it is not complete for 60 s after a freeze, whose length the clock does not show", func() {
			confirmUntil(70)
			contact.Interrupt(at(70))
			contact.Confirm(at(71))
			_, complete := h.Versions("model", contact, at(72))
			So(complete, ShouldBeFalse)
		})
		Convey("other services are not affected", func() {
			versions, _ := h.Versions("desk", contact, at(20))
			So(versions, ShouldBeEmpty)
		})
	})
	Convey("a history without updates is not complete", t, func() {
		_, complete := registry.NewVersionHistory().Versions("model", &registry.Contact{}, time.Unix(1000, 0))
		So(complete, ShouldBeFalse)
	})
	Convey("another software version under the same ID and address is another process", t, func() {
		a, b := modelEndpoint("i-1", 1), modelEndpoint("i-1", 1)
		b.SoftwareVersion = "v2"
		So(a.SameProcess(b), ShouldBeFalse)
	})
}
