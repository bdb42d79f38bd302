package router

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"
	. "github.com/smartystreets/goconvey/convey"

	"pumiceshelf/evacuation"
	"pumiceshelf/follow"
	"pumiceshelf/objectstore"
	"pumiceshelf/platform"
)

// emptyStore is a store without objects, whose watches last until they are canceled.
type emptyStore struct{ Platform }

func (emptyStore) ListAll(context.Context, string) (objectstore.Listing, error) {
	return objectstore.Listing{Revision: 1}, nil
}

func (emptyStore) WatchAll(ctx context.Context, _ string, _ objectstore.Revision, _ time.Duration) (objectstore.Changes, error) {
	<-ctx.Done()
	return objectstore.Changes{}, ctx.Err()
}

// newIdleRouter returns a router that does not run, with the settings for cold endpoints and evacuations, a configuration whose service
// "model" has cold endpoints, and the listener for endpoint entries.
func newIdleRouter(clock clockwork.Clock) (*Router, *endpointListener, *evacuationListener) {
	text, err := json.Marshal(map[string]any{
		"name": "edge-1", "domain": "hall-a", "callerAddress": "10.0.0.1:80", "readyAddress": "10.0.0.1:81", "peerAddress": "10.0.0.1:82",
		"storeAddress": "10.0.0.2:80", "evacuationTimeoutMs": 5000, "coldOverage": 1.5, "coldSlack": 5,
	})
	So(err, ShouldBeNil)
	settings, err := ParseSettings(text)
	So(err, ShouldBeNil)
	r := New(Config{
		Settings: settings, Store: emptyStore{}, Decoder: platform.Decoder{}, Headers: platform.Headers{}, Clock: clock,
		Log: &log.Logger{Handler: discard.New(), Level: log.FatalLevel}, Metrics: metrics.NewRegistry(),
	})
	(&configurationListener{router: r}).apply(objectstore.Object{Key: "config/main", Version: 1, Value: []byte(
		`{"version":1,"routes":[],"services":[{"name":"model","cold_start_s":15,"cold_per_s":4}]}`)})
	So(r.coldRate("model"), ShouldEqual, 4)
	return r, newEndpointListener(r), &evacuationListener{router: r, set: evacuation.NewSet()}
}

// endpointEntry returns the entry of an endpoint of the service "model" in the domain hall-b.
func endpointEntry(id string, version objectstore.Version) objectstore.Object {
	return objectstore.Object{Key: "servers/" + id, Version: version, Value: []byte(
		`{"service":"model","address":"10.1.0.1:80","zone":"hall-b","slots":6,"state":"ready"}`)}
}

// Guards against a burst at endpoints that return from an evacuation of which an instance learns together with its end, as after it was
// suspended or cut off from the store, or while it retains them after an outage (FAILBACK).
func TestEndpointsAreColdAfterAnEvacuation(t *testing.T) {
	Convey("Given an instance that knows an endpoint for long", t, func() {
		clock := clockwork.NewFakeClock()
		r, endpoints, evacuations := newIdleRouter(clock)
		evacuations.Replace(objectstore.Listing{Revision: 1})
		endpoints.Replace(objectstore.Listing{Objects: []objectstore.Object{endpointEntry("i-1", 1)}, Revision: 1})
		clock.Advance(time.Minute)
		isCold := func() bool {
			offered := r.endpointView.Load().Endpoints("model", clock.Now())
			So(offered, ShouldHaveLength, 1)
			return r.limits.IsCold(offered[0], clock.Now())
		}
		So(isCold(), ShouldBeFalse)
		object := objectstore.Object{Key: "evacuations/hall-b", Value: []byte("{}")}
		Convey("it is cold after an evacuation that began and ended within one list of changes", func() {
			evacuations.ApplyChanges(objectstore.Changes{Revision: 3, Events: []objectstore.Event{{Object: object}, {Object: object, Deleted: true}}})
			So(isCold(), ShouldBeTrue)
		})
		Convey("it is cold after the evacuation if its entry is missing then because of an outage of the store", func() {
			evacuations.ApplyChanges(objectstore.Changes{Revision: 2, Events: []objectstore.Event{{Object: object}}})
			endpoints.StoreUnavailable(nil)
			endpoints.StoreAvailable(0)
			endpoints.Replace(objectstore.Listing{Revision: 3})
			evacuations.ApplyChanges(objectstore.Changes{Revision: 3, Events: []objectstore.Event{{Object: object, Deleted: true}}})
			So(isCold(), ShouldBeTrue)
		})
	})
}

// Guards against a burst at the endpoints of a service that start before the configuration has it, as the first ones of a new service or
// while an instance starts (FAILBACK).
func TestNewEndpointsOfAServiceThatIsNotConfiguredYetAreCold(t *testing.T) {
	Convey("Given an instance without a configuration, and an endpoint that appears", t, func() {
		clock := clockwork.NewFakeClock()
		r, endpoints, evacuations := newIdleRouter(clock)
		evacuations.Replace(objectstore.Listing{Revision: 1})
		configured := r.table.Swap(nil)
		endpoints.Replace(objectstore.Listing{Revision: 1})
		endpoints.ApplyChanges(objectstore.Changes{Revision: 2, Events: []objectstore.Event{{Object: endpointEntry("i-1", 2)}}})
		e := r.endpointView.Load().Endpoints("model", clock.Now())[0]
		Convey("it is cold once the configuration says that endpoints of its service are", func() {
			So(r.limits.IsCold(e, clock.Now()), ShouldBeFalse)
			r.table.Store(configured)
			So(r.limits.IsCold(e, clock.Now()), ShouldBeTrue)
			clock.Advance(r.coldStart("model") - time.Millisecond)
			So(r.limits.IsCold(e, clock.Now()), ShouldBeTrue)
			clock.Advance(time.Millisecond)
			So(r.limits.IsCold(e, clock.Now()), ShouldBeFalse)
		})
	})
}

// Guards against other instances that take outdated evacuations for current ones, from an instance that was suspended and has not read
// them again (EVAC).
func TestSuspendedInstancePassesOnNoEvacuations(t *testing.T) {
	Convey("Given an instance that watches the collections", t, func() {
		r, _, _ := newIdleRouter(clockwork.NewFakeClock())
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		followers := []*follow.Follower{r.configurationFollower, r.endpointFollower, r.evacuationFollower}
		isCurrent := func(f *follow.Follower) bool {
			at, stop := context.WithCancel(ctx)
			stop()
			return f.Await(at, 1).Current
		}
		for _, f := range followers {
			go func() { _ = f.Run(ctx) }()
			for !isCurrent(f) {
				time.Sleep(time.Millisecond)
			}
		}
		Convey("none of them is current once it was suspended", func() {
			r.endContact()
			for _, f := range followers {
				So(isCurrent(f), ShouldBeFalse)
			}
		})
	})
}
