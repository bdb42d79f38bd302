package router

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/smartystreets/goconvey/convey"

	"pumiceshelf/gateway"
	"pumiceshelf/objectstore"
	"pumiceshelf/placement"
	"pumiceshelf/registry"
)

// Guards against a stream that is resumed, right after the end of an evacuation, at an endpoint which other instances found to have ended
// during the evacuation and which is not yet listed as it runs (ORDER).
func TestLossesOfEvacuatedEndpointsAreAdopted(t *testing.T) {
	Convey("Given an instance and an endpoint whose domain is evacuated", t, func() {
		clock := clockwork.NewFakeClock()
		r, endpoints, evacuations := newIdleRouter(clock)
		object := objectstore.Object{Key: "evacuations/hall-b", Value: []byte("{}")}
		evacuations.Replace(objectstore.Listing{Objects: []objectstore.Object{object}, Revision: 1})
		endpoints.Replace(objectstore.Listing{Objects: []objectstore.Object{endpointEntry("i-1", 1)}, Revision: 1})
		evacuated := r.endpointView.Load().Evacuated("model")
		So(evacuated, ShouldHaveLength, 1)
		Convey("a loss that another instance reports is known when the evacuation ends", func() {
			connectionLosses{r}.Merge([]placement.Loss{{Endpoint: evacuated[0], At: clock.Now()}}, false, "")
			evacuations.ApplyChanges(objectstore.Changes{Revision: 2, Events: []objectstore.Event{{Object: object, Deleted: true}}})
			offered := r.endpointView.Load().Endpoints("model", clock.Now())
			So(offered, ShouldHaveLength, 1)
			So(r.chooser.MayHaveRestarted(offered[0], clock.Now().Add(-time.Second)), ShouldBeTrue)
		})
		Convey("a loss adds a version that is not known, because other instances may still have used the endpoint", func() {
			for end := clock.Now().Add(registry.VersionWindow); clock.Now().Before(end); clock.Advance(500 * time.Millisecond) {
				r.freezeGuard.requestDelay()
				r.contact.Confirm(clock.Now())
			}
			r.freezeGuard.requestDelay()
			r.contact.Confirm(clock.Now())
			r.chooser.RecordLoss(placement.Loss{Endpoint: evacuated[0], At: clock.Now()})
			versions, complete := r.softwareVersions("model")
			So(complete, ShouldBeTrue)
			So(versions, ShouldContain, registry.UnknownVersion)
		})
	})
}

// Guards against an instance that adopts the losses of others as it starts, resumes streams from then on, and is told of no loss until the
// others have listed it (ORDER). They do so every 7.5 s at most, with a listing that may be a few seconds old.
func TestInstanceThatOthersDoNotListYetLearnsOfLosses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &lossFleet{unlisted: "front-000"}
		f.play(8, 90, func(f *lossFleet) {
			joined, started := f.instances[0].router, time.Now()
			joined.contact.Interrupt(started)
			time.Sleep(1500 * time.Millisecond)
			if _, lasted := joined.contactState(); lasted < gateway.RestartPeriod {
				t.Fatalf("the contact counts as %v long, want that of the others", lasted)
			}
			for n := 0; time.Since(started) < 9*time.Second; n++ {
				f.lose(f.instances[1+n%7], f.endpoints[n])
				time.Sleep(600 * time.Millisecond)
				if !joined.chooser.MayHaveRestarted(f.endpoints[n], started) {
					t.Errorf("%v after its start the instance was not told within 600 ms that an endpoint had ended", time.Since(started))
				}
			}
		})
	})
}
