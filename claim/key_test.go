package claim

import (
	"testing"
	"time"

	"github.com/google/uuid"
	. "github.com/smartystreets/goconvey/convey"

	"pumiceshelf/instance"
)

func TestKeys(t *testing.T) {
	Convey("Given an issuer", t, func() {
		id := instance.NewIncarnation("entry-1")
		issuer := NewIssuer(id, [32]byte{1})
		text := issuer.Issue("al-wusta")

		Convey("its keys name it and are genuine for their customer alone", func() {
			k := ParseKey("al-wusta", text)
			So(k.Form, ShouldEqual, Issued)
			So(k.Issued.GetIssuer(), ShouldEqual, string(id))
			So(issuer.Genuine(k.Issued), ShouldBeTrue)
			So(issuer.Genuine(ParseKey("precio-justo", text).Issued), ShouldBeFalse)
			So(NewIssuer(id, [32]byte{2}).Genuine(k.Issued), ShouldBeFalse)
		})
		Convey("a key that only looks issued is opaque", func() {
			for _, s := range []string{"issued:", "issued:a:b:c", "issued:a:1:AAAA", "issued::1:AAAAAAAAAAAAAAAA"} {
				So(ParseKey("al-wusta", s).Form, ShouldEqual, Opaque)
			}
		})
		Convey("stated keys and times are recognised", func() {
			v7 := uuid.Must(uuid.NewV7()).String()
			So(ParseKey("c", v7).Form, ShouldEqual, Opaque)
			So(time.Since(ParseKey("c", v7).Time), ShouldBeLessThan, time.Hour)
			So(ParseKey("c", StatedPrefix+v7).Form, ShouldEqual, Stated)
			So(ParseKey("c", StatedPrefix+v7).Time.IsZero(), ShouldBeFalse)
			So(ParseKey("c", uuid.NewString()).Time.IsZero(), ShouldBeTrue)
		})
		Convey("two customers never share a key", func() {
			So(HashKey("a", "bc"), ShouldNotEqual, HashKey("ab", "c"))
			So(HashKey("a", "k"), ShouldNotEqual, HashKey("b", "k"))
		})
	})
}
