package routing_test

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"pumiceshelf/routing"
)

func TestTable(t *testing.T) {
	priority, prepaidTokens := 1, int64(500)
	table := routing.Compile(routing.Config{
		Version: 7,
		Routes: []routing.Route{
			{Name: "all", Host: "a.example", PathPrefix: "/", Targets: []routing.Target{{Service: "desk", Weight: 1}}},
			{Name: "deep", Host: "A.example", PathPrefix: "/plans/new/", Targets: []routing.Target{{Service: "model", Weight: 3}, {Service: "desk", Weight: 1}}},
			{Name: "plans", Host: "a.example", PathPrefix: "/plans/", Targets: []routing.Target{{Service: "model"}}},
		},
		Services:  []routing.Service{{Name: "model", Engine: &routing.Engine{TokensPerEvent: 4}}, {Name: "desk"}},
		Customers: []routing.Customer{{Name: "alwusta", Keys: []string{"k1", "k2"}, Priority: &priority, PrepaidTokens: &prepaidTokens}},
	})
	Convey("the route of the host with the longest path prefix matches", t, func() {
		for _, c := range []struct{ host, path, route string }{
			{"a.example", "/plans/new/1", "deep"},
			{"A.EXAMPLE:8080", "/plans/1", "plans"},
			{"a.example", "/plans", "all"},
			{"a.example", "/", "all"},
			{"b.example", "/plans/", ""},
		} {
			r := table.Match(c.host, c.path)
			name := ""
			if r != nil {
				name = r.Name
			}
			SoMsg(c.host+c.path, name, ShouldEqual, c.route)
		}
	})
	Convey("a key maps to its customer only if it matches exactly", t, func() {
		So(table.CustomerByKey("k2").Name, ShouldEqual, "alwusta")
		So(table.CustomerByKey("k"), ShouldBeNil)
		So(table.CustomerByKey(""), ShouldBeNil)
		So(table.RequiresKey(), ShouldBeTrue)
		So(*table.Customer("alwusta").PrepaidTokens, ShouldEqual, prepaidTokens)
	})
	Convey("targets are chosen by weight", t, func() {
		r := table.Match("a.example", "/plans/new/")
		for _, c := range []struct {
			random  float64
			service string
		}{{0, "model"}, {0.74, "model"}, {0.76, "desk"}, {0.999, "desk"}} {
			service, ok := r.PickTarget(c.random)
			So(ok, ShouldBeTrue)
			So(service, ShouldEqual, c.service)
		}
		service, _ := table.Match("a.example", "/plans/").PickTarget(0.5)
		So(service, ShouldEqual, "model")
	})
	Convey("only idempotent requests and resumable streams may be retried", t, func() {
		So((&routing.Route{Mode: routing.Idempotent}).Retryable(), ShouldBeTrue)
		So((&routing.Route{Mode: routing.Streaming, Resumable: true}).Retryable(), ShouldBeTrue)
		So((&routing.Route{Mode: routing.Streaming}).Retryable(), ShouldBeFalse)
		So((&routing.Route{Mode: routing.NonIdempotent, Resumable: true}).Retryable(), ShouldBeFalse)
	})
}
