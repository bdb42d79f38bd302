package members

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"pumiceshelf/origin"
)

func TestStreamOriginOutlivesItsInstance(t *testing.T) {
	Convey("Given a fleet in three domains with several versions of a service", t, func() {
		peers, clock := newFleet(t, "a1", "a2", "a3", "a4", "b1", "b2", "b3", "c1", "c2", "c3")
		for _, p := range peers {
			p.config.Origins = origin.NewStore()
			p.config.Versions = func(string) ([]string, bool) { return []string{"v1", "v2"}, true }
		}
		ctx, stop := context.WithCancel(t.Context())
		var passing sync.WaitGroup
		passing.Go(func() { _ = peers["a1"].RunPassingOrigins(ctx) })
		Reset(func() {
			stop()
			passing.Wait()
		})
		const streams = 50
		attempt := func(i int) origin.Origin {
			return origin.Origin{Attempt: fmt.Sprint("id-", i), Service: "model", Version: fmt.Sprint("v", 1+i%2)}
		}
		for i := range streams {
			peers["a1"].RecordOrigin(attempt(i))
		}
		copies := func() (n int) {
			for _, p := range peers {
				for i := range streams {
					if _, ok := p.config.Origins.Get(attempt(i).Attempt, clock.Now()); ok {
						n++
					}
				}
			}
			return n
		}
		for copies() < 4*streams {
			time.Sleep(time.Millisecond)
		}
		// The instance that relayed the streams is gone.
		peers["a1"].config.Origins = origin.NewStore()

		Convey("each other instance finds the version of each stream", func() {
			for _, name := range []string{"a2", "b2", "c3"} {
				for i := range streams {
					found := peers[name].SearchOrigin(ctx, attempt(i).Attempt, "model")
					So(found.Found, ShouldBeTrue)
					So(found.Origin, ShouldResemble, attempt(i))
				}
			}
		})
		Convey("of an attempt that began no stream, an instance learns only the versions", func() {
			found := peers["b1"].SearchOrigin(ctx, "other", "model")
			So(found, ShouldResemble, origin.Search{Versions: []string{"v1", "v2"}, VersionsComplete: true})
		})
	})
}
