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
		set, h := registry.NewSet(), registry.NewVersionHistory()
		old, replacement := modelEndpoint("i-1", 1), modelEndpoint("i-1", 2)
		old.SoftwareVersion, replacement.SoftwareVersion = "v1", "v2"
		set.Put(old)
		h.Update(at(0), set)
		set.Put(replacement)
		h.Update(at(10), set)

		Convey("the former version is remembered for 30 s", func() {
			versions, _ := h.Versions("model", at(40))
			So(versions, ShouldResemble, []string{"v1", "v2"})
			versions, _ = h.Versions("model", at(41))
			So(versions, ShouldResemble, []string{"v2"})
		})
		Convey("the history is complete after 30 s", func() {
			_, complete := h.Versions("model", at(29))
			So(complete, ShouldBeFalse)
			_, complete = h.Versions("model", at(30))
			So(complete, ShouldBeTrue)
		})
		Convey("other services are not affected", func() {
			versions, _ := h.Versions("desk", at(20))
			So(versions, ShouldBeEmpty)
		})
	})
	Convey("a history without updates is not complete", t, func() {
		_, complete := registry.NewVersionHistory().Versions("model", time.Unix(1000, 0))
		So(complete, ShouldBeFalse)
	})
	Convey("another software version under the same ID and address is another process", t, func() {
		a, b := modelEndpoint("i-1", 1), modelEndpoint("i-1", 1)
		b.SoftwareVersion = "v2"
		So(a.SameProcess(b), ShouldBeFalse)
	})
}
