package registry_test

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"pumiceshelf/registry"
)

// TestEvacuatedEndpoints guards against requests to endpoints of an evacuated failure domain, listed or retained, and against taking
// those that still serve streams for endpoints that have ended.
func TestEvacuatedEndpoints(t *testing.T) {
	Convey("Given endpoints of two domains, one of them retained after an outage", t, func() {
		now := time.Unix(0, 0)
		one, two, three := modelEndpoint("i-1", 1), modelEndpoint("i-2", 2), modelEndpoint("i-3", 3)
		one.Domain, two.Domain, three.Domain = "hall-a", "hall-b", "hall-a"
		s := registry.NewSet()
		s.Replace(now, []registry.Endpoint{one, two, three}, 5)
		s.StoreUnavailable()
		s.StoreAvailable(now)
		s.Remove(now, "i-3")
		So(idsAt(s.View(), now), ShouldResemble, map[string]bool{"i-1": true, "i-2": true, "i-3": true})

		Convey("those of the evacuated domain get no requests, and remain known", func() {
			v := s.View().Without([]string{"hall-a"})
			So(idsAt(v, now), ShouldResemble, map[string]bool{"i-2": true})
			So(v.Evacuated("model"), ShouldResemble, []registry.Endpoint{one})
			So(v.EvacuatedCount(), ShouldEqual, 1)
			So(v.Lists("i-1", one.Address), ShouldBeTrue)
		})
		Convey("without evacuations the view is the same", func() {
			v := s.View()
			So(v.Without(nil), ShouldEqual, v)
		})
	})
}
