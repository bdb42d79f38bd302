package members

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"pumiceshelf/api"
	"pumiceshelf/objectstore"
)

// TestEvacuationsOfOtherInstances guards an instance without access to the store against sending requests to an evacuated domain, and
// instances of the previous release against a collection that they did not ask for.
func TestEvacuationsOfOtherInstances(t *testing.T) {
	Convey("an instance gets newer evacuations from those that follow them", t, func() {
		peers, _ := newFleet(t, "a1", "a2", "a3")
		listing := objectstore.Listing{Revision: 9, Objects: []objectstore.Object{{Key: "evacuations/hall-a", Version: 8, Value: []byte("{}")}}}
		for _, p := range peers {
			p.config.Configuration = func() *objectstore.Listing { return &objectstore.Listing{Revision: 99} }
			p.config.Endpoints = p.config.Configuration
		}
		peers["a2"].config.Evacuations = func() *objectstore.Listing { return &listing }
		l, ok := peers["a1"].FetchNewerEvacuations(t.Context(), 3)
		So(ok, ShouldBeTrue)
		So(l, ShouldResemble, listing)
		_, ok = peers["a1"].FetchNewerEvacuations(t.Context(), 9)
		So(ok, ShouldBeFalse)

		reply, err := peers["a2"].Newest(t.Context(), &api.NewestRequest{ConfigurationRevision: ^uint64(0), EndpointsRevision: ^uint64(0)})
		So(err, ShouldBeNil)
		So(reply.Evacuations, ShouldBeNil)
	})
}
