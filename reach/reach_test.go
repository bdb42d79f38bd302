package reach

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"pumiceshelf/registry"
)

func endpoints(n int) (out []registry.Endpoint) {
	for i := range n {
		out = append(out, registry.Endpoint{ID: fmt.Sprintf("i-%d", i), Service: "desk", Address: fmt.Sprintf("10.1.0.%d:80", i+1), StartedUnixMilli: 1})
	}
	return out
}

func TestOutOfReach(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	Convey("a service is out of reach once two of its endpoints failed, until a connection is established", t, func() {
		var changes []Change
		tracker := New(func(c Change) { changes = append(changes, c) })
		listed := endpoints(3)
		So(tracker.OutOfReach("desk", listed, now), ShouldBeFalse)
		tracker.Failed(listed[0], now)
		tracker.Failed(listed[0], now)
		So(tracker.OutOfReach("desk", listed, now), ShouldBeFalse)
		tracker.Failed(listed[1], now)
		So(tracker.OutOfReach("desk", listed, now), ShouldBeTrue)
		So(tracker.OutOfReach("other", listed, now), ShouldBeFalse)
		So(tracker.Lost(), ShouldResemble, []string{"desk"})
		tracker.Connected(listed[2], now.Add(time.Second))
		So(tracker.OutOfReach("desk", listed, now.Add(time.Second)), ShouldBeFalse)
		So(tracker.Lost(), ShouldBeEmpty)
		So(changes, ShouldResemble, []Change{
			{Service: "desk", Lost: true, Failed: 2}, {Service: "desk", Failed: 2, Lasted: time.Second},
		})
	})
	Convey("one failure is enough for a service with one endpoint, and none counts for long", t, func() {
		tracker := New(nil)
		listed := endpoints(1)
		tracker.Failed(listed[0], now)
		So(tracker.OutOfReach("desk", listed, now), ShouldBeTrue)
		So(tracker.OutOfReach("desk", listed, now.Add(failureMemory+time.Millisecond)), ShouldBeFalse)
	})
	Convey("an endpoint that is listed later is tried first", t, func() {
		tracker := New(nil)
		listed := endpoints(2)
		tracker.Failed(listed[0], now)
		tracker.Failed(listed[1], now)
		So(tracker.OutOfReach("desk", listed, now), ShouldBeTrue)
		restarted := listed[1]
		restarted.StartedUnixMilli = 2
		listed[1] = restarted
		So(tracker.OutOfReach("desk", listed, now), ShouldBeFalse)
		tracker.Failed(restarted, now)
		So(tracker.OutOfReach("desk", listed, now), ShouldBeTrue)
	})
	Convey("each endpoint is probed in turn", t, func() {
		tracker := New(nil)
		listed := endpoints(3)
		tracker.Failed(listed[0], now)
		probed := make(map[string]int)
		for range 6 {
			e, ok := tracker.Next("desk", listed)
			So(ok, ShouldBeTrue)
			probed[e.ID]++
		}
		So(probed, ShouldResemble, map[string]int{"i-0": 2, "i-1": 2, "i-2": 2})
	})
}
