package origin_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"pumiceshelf/origin"
)

func TestStore(t *testing.T) {
	Convey("Given a store with the origin of a stream", t, func() {
		now := time.Unix(1000, 0)
		s := origin.NewStore()
		began := origin.Origin{Attempt: "a", Service: "model", Version: "v1"}
		s.Put(began, now)

		Convey("it returns the origin, but none of another attempt", func() {
			got, ok := s.Get("a", now.Add(59*time.Second))
			So(ok, ShouldBeTrue)
			So(got, ShouldResemble, began)
			_, ok = s.Get("b", now)
			So(ok, ShouldBeFalse)
		})
		Convey("it forgets the origin after a minute, unless it was put again", func() {
			_, ok := s.Get("a", now.Add(time.Minute))
			So(ok, ShouldBeFalse)
			s.Put(began, now.Add(50*time.Second))
			s.Put(origin.Origin{Attempt: "b"}, now.Add(70*time.Second))
			_, ok = s.Get("a", now.Add(100*time.Second))
			So(ok, ShouldBeTrue)
		})
		Convey("it is bounded and keeps the latest", func() {
			for i := range 30_000 {
				s.Put(origin.Origin{Attempt: fmt.Sprint(i)}, now)
			}
			_, ok := s.Get("a", now)
			So(ok, ShouldBeFalse)
			_, ok = s.Get("29999", now)
			So(ok, ShouldBeTrue)
			_, ok = s.Get("9999", now)
			So(ok, ShouldBeFalse)
			_, ok = s.Get("10000", now)
			So(ok, ShouldBeTrue)
		})
	})
}
