package registry_test

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"pumiceshelf/objectstore"
	"pumiceshelf/registry"
)

func ids(v *registry.View) map[string]bool { return idsAt(v, time.Unix(0, 0)) }

func idsAt(v *registry.View, now time.Time) map[string]bool {
	out := make(map[string]bool)
	for _, e := range v.Endpoints("model", now) {
		out[e.ID] = true
	}
	return out
}

func modelEndpoint(id string, version objectstore.Version) registry.Endpoint {
	return registry.Endpoint{ID: id, Service: "model", Address: "10.0.0.1:80", Version: version}
}

func TestSet(t *testing.T) {
	Convey("Given two listed endpoints", t, func() {
		now := time.Unix(0, 0)
		s := registry.NewSet()
		s.Replace(now, []registry.Endpoint{modelEndpoint("i-1", 3), modelEndpoint("i-2", 4)}, 10)

		Convey("a draining or removed endpoint gets no new requests", func() {
			draining := modelEndpoint("i-1", 11)
			draining.Draining = true
			s.Put(draining)
			s.Remove(now, "i-2")
			So(ids(s.View()), ShouldBeEmpty)
		})
		Convey("older entries and older listings are ignored", func() {
			draining := modelEndpoint("i-1", 11)
			draining.Draining = true
			s.Put(draining)
			s.Put(modelEndpoint("i-1", 3))
			s.Advance(11)
			s.Replace(now, nil, 9)
			So(ids(s.View()), ShouldResemble, map[string]bool{"i-2": true})
			So(s.Revision(), ShouldEqual, objectstore.Revision(11))
		})
		Convey("endpoints whose entries expired during an outage of the store are retained for the grace period", func() {
			s.StoreUnavailable()
			So(s.StoreAvailable(now), ShouldBeTrue)
			So(s.StoreAvailable(now), ShouldBeFalse)
			s.Replace(now.Add(100*time.Millisecond), []registry.Endpoint{modelEndpoint("i-2", 12)}, 20)
			So(ids(s.View()), ShouldResemble, map[string]bool{"i-1": true, "i-2": true})
			So(s.RemoveExpired(now.Add(1700*time.Millisecond)), ShouldBeFalse)

			Convey("which ends on time even in an older view", func() {
				v := s.View()
				So(idsAt(v, now.Add(1799*time.Millisecond)), ShouldHaveLength, 2)
				So(idsAt(v, now.Add(1800*time.Millisecond)), ShouldResemble, map[string]bool{"i-2": true})
			})
			Convey("and removed after it", func() {
				So(s.RemoveExpired(now.Add(1900*time.Millisecond)), ShouldBeTrue)
				So(ids(s.View()), ShouldResemble, map[string]bool{"i-2": true})
				So(s.Contains("i-1"), ShouldBeFalse)
			})
			Convey("and listed again when they register within it", func() {
				s.Put(modelEndpoint("i-1", 22))
				So(s.RemoveExpired(now.Add(1900*time.Millisecond)), ShouldBeFalse)
				So(ids(s.View()), ShouldHaveLength, 2)
			})
		})
		Convey("an endpoint that was draining before the outage is not retained", func() {
			draining := modelEndpoint("i-1", 11)
			draining.Draining = true
			s.Put(draining)
			s.StoreUnavailable()
			s.StoreAvailable(now)
			s.Remove(now, "i-1")
			So(ids(s.View()), ShouldResemble, map[string]bool{"i-2": true})
		})
		Convey("an endpoint whose entry has become invalid is removed", func() {
			s.RemoveInvalid("i-1")
			So(ids(s.View()), ShouldResemble, map[string]bool{"i-2": true})
		})
	})
	Convey("a restarted process with the same ID is a different process", t, func() {
		a, b := modelEndpoint("i-1", 1), modelEndpoint("i-1", 2)
		a.StartedUnixMilli, b.StartedUnixMilli = 1000, 2000
		So(a.SameProcess(b), ShouldBeFalse)
		b.StartedUnixMilli = 1000
		So(a.SameProcess(b), ShouldBeTrue)
	})
}
