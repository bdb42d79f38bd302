package router

import (
	"fmt"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"
	. "github.com/smartystreets/goconvey/convey"

	"pumiceshelf/gateway"
	"pumiceshelf/objectstore"
	"pumiceshelf/placement"
	"pumiceshelf/platform"
	"pumiceshelf/registry"
)

// Guards against a stream of unknown origin that goes on at another service, because its route has changed since it began (ORDER).
func TestVersionsAreIncompleteAfterARouteChangedItsServices(t *testing.T) {
	Convey("Given an instance that has seen one version for long", t, func() {
		clock := clockwork.NewFakeClock()
		r := &Router{
			config:   Config{Decoder: platform.Decoder{}, Clock: clock, Log: &log.Logger{Handler: discard.New(), Level: log.FatalLevel}},
			versions: registry.NewVersionHistory(), contact: &registry.Contact{}, chooser: placement.New(nil),
		}
		r.freezeGuard = newFreezeGuard(clock, func() {})
		r.gateway = gateway.New(gateway.Config{Chooser: r.chooser, Clock: clock, Log: r.config.Log, Metrics: metrics.NewRegistry()})
		set := registry.NewSet()
		set.Put(registry.Endpoint{ID: "i-1", Service: "model", Address: "10.1.0.1:80", SoftwareVersion: "v1"})
		r.versions.Update(clock.Now(), set)
		r.endpointView.Store(set.View())
		wait := func(d time.Duration) {
			for end := clock.Now().Add(d); clock.Now().Before(end); clock.Advance(500 * time.Millisecond) {
				r.freezeGuard.requestDelay()
				r.contact.Confirm(clock.Now())
			}
			r.contact.Confirm(clock.Now())
		}
		listener := &configurationListener{router: r}
		apply := func(version int, service string, timeout int) {
			listener.apply(objectstore.Object{Key: "config/main", Version: objectstore.Version(version), Value: fmt.Appendf(nil,
				`{"version":%d,"routes":[{"name":"plan","host":"a.example","path_prefix":"/plan/","mode":"streaming","timeout_ms":%d,"max_attempts":1,
					"service":%q}],"services":[{"name":%q}]}`, version, timeout, service, service)})
			So(r.ActiveVersion(), ShouldEqual, version)
		}
		complete := func() bool {
			_, complete := r.softwareVersions("model")
			return complete
		}
		apply(1, "other", 1000)
		wait(registry.VersionWindow)
		So(complete(), ShouldBeTrue)
		Convey("a configuration that changes other settings changes nothing", func() {
			apply(2, "other", 2000)
			So(complete(), ShouldBeTrue)
		})
		Convey("after a route got another service, the versions are not complete for 60 s", func() {
			apply(2, "model", 1000)
			So(complete(), ShouldBeFalse)
			wait(registry.VersionWindow)
			So(complete(), ShouldBeTrue)
		})
		Convey("a listed endpoint that may have started again adds a version that is not known", func() {
			e := r.endpointView.Load().Endpoints("model", clock.Now())[0]
			r.chooser.RecordLoss(placement.Loss{Endpoint: e, At: clock.Now()})
			versions, _ := r.softwareVersions("model")
			So(versions, ShouldResemble, []string{"v1", registry.UnknownVersion})
		})
		// Guards against a stream that goes on as the only version that another instance knows for certain, although this one knows that an
		// endpoint may run another one (ORDER).
		Convey("it adds that version also if the versions are not complete, because another instance may say that they are", func() {
			apply(2, "model", 1000)
			e := r.endpointView.Load().Endpoints("model", clock.Now())[0]
			r.chooser.RecordLoss(placement.Loss{Endpoint: e, At: clock.Now()})
			versions, complete := r.softwareVersions("model")
			So(complete, ShouldBeFalse)
			So(versions, ShouldResemble, []string{"v1", registry.UnknownVersion})
		})
		Convey("one that is frozen, as its wall clock shows, does not count as complete", func() {
			r.freezeGuard.onResume = r.endContactForTest
			r.freezeGuard.lastRunning = r.freezeGuard.lastRunning.Add(-20 * time.Second)
			So(complete(), ShouldBeFalse)
		})
	})
}

// endContactForTest is endContact for a router without followers.
func (r *Router) endContactForTest() {
	r.contact.Interrupt(r.config.Clock.Now().Add(bufferedResponsePeriod))
}
