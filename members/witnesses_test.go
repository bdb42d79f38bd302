package members

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"pumiceshelf/api"
	"pumiceshelf/instance"
)

// Guards against a holder that cannot reach its witnesses while its failure domain is disconnected, and a witness without a name.
func TestWitnessesAreOfTheOwnDomainFirst(t *testing.T) {
	Convey("Given instances of three failure domains and a seed", t, func() {
		self := &api.FleetMember{Incarnation: "a1~1", PeerAddress: "a1:1", Domain: "a"}
		others := []*api.FleetMember{{PeerAddress: "seed:1"}}
		for _, name := range []string{"a2", "a3", "b1", "b2", "b3", "c1"} {
			others = append(others, &api.FleetMember{Incarnation: name + "~1", PeerAddress: name + ":1", Domain: name[:1]})
		}
		order := witnessOrder(others, self)
		So(order, ShouldHaveLength, 6)
		domains := ""
		for _, i := range order {
			domains += i.Name()[:1]
		}
		So(domains[:2], ShouldEqual, "aa")
		So(domains[2:4], ShouldBeIn, "bc", "cb")
		So(domains[4:], ShouldEqual, "bb")
	})
}

// Guards against a call to a witness that reaches another incarnation at its address, and against one that waits for an incarnation whose
// successor is listed.
func TestCallsToWitnesses(t *testing.T) {
	Convey("Given a holder and a witness", t, func() {
		peers, _ := newFleet(t, "a1", "b1")
		holder, witness := peers["a1"], peers["b1"]
		sealed := false
		witness.config.WitnessMarks = func(h, w instance.Incarnation, marks map[string]int64) bool {
			return w == witness.config.Incarnation && h == holder.config.Incarnation && marks["alwusta"] == 700 && !sealed
		}
		witness.config.SealMarks = func(h, w instance.Incarnation) (map[string]int64, bool) {
			sealed = true
			return map[string]int64{"alwusta": 700}, w == witness.config.Incarnation && h == "a1~0"
		}
		So(holder.Witnesses(), ShouldResemble, []instance.Incarnation{witness.config.Incarnation})

		Convey("marks are raised until they are sealed", func() {
			acknowledged, err := holder.RaiseMarks(t.Context(), witness.config.Incarnation, map[string]int64{"alwusta": 700})
			So(err, ShouldBeNil)
			So(acknowledged, ShouldBeTrue)
			marks, known, err := holder.SealMarks(t.Context(), "a1~0", witness.config.Incarnation)
			So(err, ShouldBeNil)
			So(known, ShouldBeTrue)
			So(marks, ShouldResemble, map[string]int64{"alwusta": 700})
			acknowledged, err = holder.RaiseMarks(t.Context(), witness.config.Incarnation, map[string]int64{"alwusta": 700})
			So(err, ShouldBeNil)
			So(acknowledged, ShouldBeFalse)
		})
		Convey("an incarnation whose successor is listed knows no marks", func() {
			_, known, err := holder.SealMarks(t.Context(), "a1~0", "b1~0")
			So(err, ShouldBeNil)
			So(known, ShouldBeFalse)
			So(sealed, ShouldBeFalse)
		})
		Convey("an instance that is not listed has not answered", func() {
			_, _, err := holder.SealMarks(t.Context(), "a1~0", "c1~0")
			So(err, ShouldNotBeNil)
			_, err = holder.RaiseMarks(t.Context(), "c1~0", nil)
			So(err, ShouldNotBeNil)
		})
		Convey("an instance without marks refuses", func() {
			acknowledged, err := witness.RaiseMarks(t.Context(), holder.config.Incarnation, nil)
			So(err, ShouldBeNil)
			So(acknowledged, ShouldBeFalse)
		})
	})
}
