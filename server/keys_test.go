package server

import (
	"encoding/json"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// issuer issues keys that name their customer.
type issuer struct{}

func (issuer) Issue(customer string, n int) []string {
	keys := make([]string, n)
	for i := range keys {
		keys[i] = "issued:" + customer
	}
	return keys
}

func TestIssueKeys(t *testing.T) {
	Convey("Given a server that issues keys", t, func() {
		r := newRig()
		Reset(r.close)
		r.server.cfg.Keys = issuer{}

		Convey("a customer gets as many as it asks for, in its own name", func() {
			got := r.send("POST", keysPath+"?count=3", "")
			So(got.status, ShouldEqual, 200)
			var body issuedKeys
			So(json.Unmarshal([]byte(got.body), &body), ShouldBeNil)
			So(body.Keys, ShouldResemble, []string{"issued:wusta", "issued:wusta", "issued:wusta"})
		})
		Convey("absurd counts and other methods are refused as not run", func() {
			for _, bad := range []reply{
				r.send("POST", keysPath+"?count=0", ""), r.send("POST", keysPath+"?count=1001", ""),
				r.send("POST", keysPath+"?count=x", ""), r.send("GET", keysPath, ""),
			} {
				So(bad.status, ShouldBeBetween, 399, 500)
				So(problemOf(bad).Outcome, ShouldEqual, outcomeNotRun)
			}
		})
		Convey("a server that issues none knows no such path", func() {
			r.server.cfg.Keys = nil
			So(r.send("POST", keysPath, "").status, ShouldEqual, 404)
		})
	})
}
