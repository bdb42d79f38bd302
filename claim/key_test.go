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

		Convey("its keys contain its incarnation and are valid only for their customer", func() {
			k := ParseKey("al-wusta", text)
			So(k.Form, ShouldEqual, Issued)
			So(k.Issued.GetIssuer(), ShouldEqual, string(id))
			So(issuer.Verify(k.Issued), ShouldBeTrue)
			So(issuer.Verify(ParseKey("precio-justo", text).Issued), ShouldBeFalse)
			So(NewIssuer(id, [32]byte{2}).Verify(k.Issued), ShouldBeFalse)
		})
		Convey("a malformed key with the issued prefix is opaque", func() {
			for _, s := range []string{"issued:", "issued:a:b:c", "issued:a:1:AAAA", "issued::1:AAAAAAAAAAAAAAAA"} {
				So(ParseKey("al-wusta", s).Form, ShouldEqual, Opaque)
			}
		})
		Convey("stated keys and the times of version 7 UUIDs are recognized", func() {
			v7 := uuid.Must(uuid.NewV7()).String()
			So(ParseKey("c", v7).Form, ShouldEqual, Opaque)
			So(time.Since(ParseKey("c", v7).Time), ShouldBeLessThan, time.Hour)
			So(ParseKey("c", StatedPrefix+v7).Form, ShouldEqual, Stated)
			So(ParseKey("c", StatedPrefix+v7).Time.IsZero(), ShouldBeFalse)
			So(ParseKey("c", uuid.NewString()).Time.IsZero(), ShouldBeTrue)
		})
		Convey("equal keys of two customers have different hashes", func() {
			So(HashKey("a", "bc"), ShouldNotEqual, HashKey("ab", "c"))
			So(HashKey("a", "k"), ShouldNotEqual, HashKey("b", "k"))
		})
	})
}
