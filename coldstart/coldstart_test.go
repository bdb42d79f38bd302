package coldstart_test

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"pumiceshelf/coldstart"
	"pumiceshelf/endpointlimit"
	"pumiceshelf/registry"
)

// TestTracker guards endpoints that have just started against full load, and those that only come back to the list after an outage of
// the store against being limited.
func TestTracker(t *testing.T) {
	Convey("Given a complete listing", t, func() {
		now, tracker := time.Unix(1000, 0), coldstart.New()
		coldStart := func(service string) time.Duration {
			if service == "model" {
				return 8 * time.Second
			}
			return 0
		}
		old := registry.Endpoint{ID: "i-1", Service: "model", Address: "10.0.0.1:80", Version: 1}
		cold := registry.Endpoint{ID: "i-2", Service: "model", Address: "10.0.0.2:80", ColdLeft: 3 * time.Second, Version: 2}
		So(tracker.Update([]registry.Endpoint{old, cold}, coldStart, now), ShouldResemble, []endpointlimit.ColdStatement{{Endpoint: cold, Left: 3 * time.Second}})

		Convey("entries that do not change say nothing new", func() {
			So(tracker.Update([]registry.Endpoint{old, cold}, coldStart, now.Add(time.Second)), ShouldBeEmpty)
		})
		Convey("a changed entry of the same process says how long it is cold", func() {
			old.ColdLeft, old.Version = 2*time.Second, 5
			So(tracker.Update([]registry.Endpoint{old, cold}, coldStart, now), ShouldResemble, []endpointlimit.ColdStatement{{Endpoint: old, Left: 2 * time.Second}})
		})
		Convey("a new process counts as cold, unless its service has no cold endpoints", func() {
			fresh, plain := old, registry.Endpoint{ID: "d-1", Service: "desk"}
			fresh.StartedUnixMilli, fresh.Version = 9, 6
			So(tracker.Update([]registry.Endpoint{fresh, cold, plain}, coldStart, now), ShouldResemble,
				[]endpointlimit.ColdStatement{{Endpoint: fresh, Left: 8 * time.Second, Assumed: true}})
		})
		Convey("a process that is listed again is not new", func() {
			So(tracker.Update([]registry.Endpoint{cold}, coldStart, now.Add(time.Second)), ShouldBeEmpty)
			old.Version = 7
			So(tracker.Update([]registry.Endpoint{old, cold}, coldStart, now.Add(20*time.Second)), ShouldBeEmpty)
		})
	})
}
