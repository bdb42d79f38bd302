package evacuation_test

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"pumiceshelf/evacuation"
)

// TestSet guards against an evacuation that is missed or outlives its object, and against log lines for changes that are none.
func TestSet(t *testing.T) {
	Convey("Given an evacuated domain", t, func() {
		s := evacuation.NewSet()
		So(s.Replace([]string{"hall-a"}, 3), ShouldResemble, []evacuation.Change{{Domain: "hall-a", Begun: true, Revision: 3}})

		Convey("an object that is written again changes nothing", func() {
			So(s.Put("hall-a", 4), ShouldBeEmpty)
			So(s.Domains(), ShouldResemble, []string{"hall-a"})
		})
		Convey("another one is added, and ends when its object is removed", func() {
			So(s.Put("hall-b", 4), ShouldResemble, []evacuation.Change{{Domain: "hall-b", Begun: true, Revision: 4}})
			So(s.Domains(), ShouldResemble, []string{"hall-a", "hall-b"})
			So(s.Remove("hall-b", 5), ShouldResemble, []evacuation.Change{{Domain: "hall-b", Revision: 5}})
			So(s.Remove("hall-b", 6), ShouldBeEmpty)
			So(s.Domains(), ShouldResemble, []string{"hall-a"})
		})
		Convey("a listing replaces all", func() {
			So(s.Replace([]string{"hall-c"}, 7), ShouldResemble, []evacuation.Change{
				{Domain: "hall-a", Revision: 7}, {Domain: "hall-c", Begun: true, Revision: 7},
			})
		})
	})
}
