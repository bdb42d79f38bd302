package members

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"pumiceshelf/api"
	"pumiceshelf/endpointlimit"
	"pumiceshelf/registry"
)

func TestEndpointLimitsReachOtherInstances(t *testing.T) {
	Convey("an instance passes on the limits that it knows, and receives those of the others", t, func() {
		peers, clock := newFleet(t, "a1", "a2")
		limits := make(map[string]*endpointlimit.Limits)
		for name, p := range peers {
			limits[name] = endpointlimit.New(endpointlimit.Config{Self: name, Instances: p.Names, OnChange: func(endpointlimit.Change) {}})
			p.config.Limits = limits[name]
		}
		So(peers["a1"].Names(), ShouldHaveLength, 2)
		one := registry.Endpoint{ID: "i-1", Service: "model", Address: "10.0.0.1:80", StartedUnixMilli: 7}
		two := registry.Endpoint{ID: "i-2", Service: "model", Address: "10.0.0.2:80"}
		limits["a1"].Named(one, 2, clock.Now())
		limits["a2"].Named(two, 3, clock.Now())
		peers["a1"].exchangeLimits(t.Context(), false)
		for _, l := range limits {
			So(l.Limited(one), ShouldBeTrue)
			So(l.Limited(two), ShouldBeTrue)
		}
	})
	Convey("an instance that has just started asks for cold endpoints, and knows them afterwards", t, func() {
		peers, clock := newFleet(t, "a1", "a2")
		for name, p := range peers {
			p.config.Limits = endpointlimit.New(endpointlimit.Config{
				Self: name, Instances: p.Names, OnChange: func(endpointlimit.Change) {}, ColdBound: endpointlimit.ColdBound{Overage: 1.5, Slack: 5},
				ColdRate: func(string) float64 { return 4 },
			})
		}
		cold := registry.Endpoint{ID: "i-1", Service: "model", Address: "10.0.0.1:80", StartedUnixMilli: 7}
		peers["a2"].config.Limits.RecordCold(endpointlimit.ColdStatement{Endpoint: cold, Left: 5 * time.Second, Assumed: true}, clock.Now())
		So(peers["a1"].exchangeLimits(t.Context(), false), ShouldEqual, 0)
		So(peers["a1"].config.Limits.IsCold(cold, clock.Now()), ShouldBeFalse)
		So(peers["a1"].exchangeLimits(t.Context(), true), ShouldEqual, 1)
		So(peers["a1"].config.Limits.IsCold(cold, clock.Now()), ShouldBeTrue)
	})
	Convey("cold endpoints are divided only among instances that were listed twice", t, func() {
		peers, _ := newFleet(t, "a1", "a2")
		So(peers["a1"].SettledNames(), ShouldBeNil)
		peers["a1"].listings = freshListings
		peers["a1"].applyListing([]*api.FleetMember{peers["a2"].config.Self})
		So(peers["a1"].SettledNames(), ShouldHaveLength, 2)
	})
	Convey("the names of instances that are known by their addresses only are not known", t, func() {
		m := New(Config{Self: &api.FleetMember{Incarnation: "a1"}, Seeds: []string{"10.0.0.1:80"}})
		So(m.Names(), ShouldBeNil)
	})
}
