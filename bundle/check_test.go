package bundle

import (
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"pumiceshelf/api"
	"pumiceshelf/fieldcheck"
	"pumiceshelf/internal/commentjson"
	"pumiceshelf/internal/doctable"
)

// readExample returns the example bundle.
func readExample(t *testing.T) *api.Bundle {
	b := &api.Bundle{}
	if err := commentjson.ReadFile("../examples/bundle.hujson", b); err != nil {
		t.Fatal(err)
	}
	return b
}

func TestExampleAndDocumentation(t *testing.T) {
	Convey("The example bundle has no problems", t, func() {
		So(Check(readExample(t)), ShouldBeEmpty)
	})
	Convey("docs/bundle.md documents every field exactly once and no others", t, func() {
		rows, err := doctable.Read("../docs/bundle.md")
		So(err, ShouldBeNil)
		paths := doctable.FieldPaths((&api.Bundle{}).ProtoReflect().Descriptor())
		for _, path := range paths {
			if row, ok := rows[path]; !ok || len(row.Cells) != 2 || row.Cells[1] == "" {
				t.Errorf("%s must have a row with a unit and a meaning", path)
			}
		}
		So(len(rows), ShouldEqual, len(paths))
	})
}

// invalidField corrupts one field of the example bundle, named by its path.
type invalidField struct {
	path    string
	corrupt func(b *api.Bundle)
}

var invalidFields = []invalidField{
	{"number", func(b *api.Bundle) { b.Number = 0 }},
	{"operators", func(b *api.Bundle) { b.Operators = nil }},
	{"operators[ana].id", func(b *api.Bundle) { b.Operators[1].Id = "ana" }},
	{"operators[1].id", func(b *api.Bundle) { b.Operators[1].Id = "" }},
	{"operators[badr].publicKey", func(b *api.Bundle) { b.Operators[1].PublicKey = b.Operators[0].PublicKey }},
	{"operators[ana].publicKey", func(b *api.Bundle) { b.Operators[0].PublicKey = []byte("short") }},
	{"threshold", func(b *api.Bundle) { b.Threshold = 3 }},
	{"threshold", func(b *api.Bundle) { b.Threshold = 0 }},
	{"concurrentLoads", func(b *api.Bundle) { b.ConcurrentLoads = 5000 }},
	{"retiredIncarnations[0]", func(b *api.Bundle) { b.RetiredIncarnations = []string{"muscat-a-1"} }},
	{"retiredIncarnations[1]", func(b *api.Bundle) { b.RetiredIncarnations = []string{"a~1", "a~1"} }},
	{"customers[0].id", func(b *api.Bundle) { b.Customers[0].Id = "" }},
	{"customers[a/b].id", func(b *api.Bundle) { b.Customers[0].Id = "a/b" }},
	{"customers", func(b *api.Bundle) { b.Customers[1].Id = b.Customers[0].Id }},
	{"customers[alwusta-dates].weight", func(b *api.Bundle) { b.Customers[0].Weight = 1001 }},
	{"customers[alwusta-dates].keyHashes[0]", func(b *api.Bundle) { b.Customers[0].KeyHashes[0] = []byte("token") }},
	{"customers[alwusta-dates].keyHashes[1]", func(b *api.Bundle) {
		b.Customers[0].KeyHashes = append(b.Customers[0].KeyHashes, b.Customers[0].KeyHashes[0])
	}},
	{"customers[precio-justo-cartago].keyHashes", func(b *api.Bundle) { b.Customers[1].KeyHashes = b.Customers[0].KeyHashes }},
	{"customers[alwusta-dates].budgets[schedules].id", func(b *api.Bundle) { b.Customers[0].Budgets[1].Id = "schedules" }},
	{"customers[alwusta-dates].budgets[0].id", func(b *api.Bundle) { b.Customers[0].Budgets[0].Id = "" }},
	{"customers[alwusta-dates].budgets[schedules].models[0]", func(b *api.Bundle) { b.Customers[0].Budgets[0].Models[0] = "absent" }},
	{"customers[alwusta-dates].budgets[schedules].models[1]", func(b *api.Bundle) {
		b.Customers[0].Budgets[0].Models = []string{"agronomy", "agronomy"}
	}},
	{"customers[alwusta-dates].budgets[schedules].grants[2026-season].tokens", func(b *api.Bundle) { b.Customers[0].Budgets[0].Grants[0].Tokens = 0 }},
	{"customers[alwusta-dates].budgets[other].grants[2026-season].tokens", func(b *api.Bundle) {
		b.Customers[0].Budgets[0].Grants[0].Tokens = maxCustomerTokens
	}},
	{"customers[alwusta-dates].budgets[schedules].grants[2026-season].id", func(b *api.Bundle) {
		b.Customers[0].Budgets[0].Grants = append(b.Customers[0].Budgets[0].Grants, &api.Grant{Id: "2026-season", Tokens: 1})
	}},
	{"models[pricing].id", func(b *api.Bundle) { b.Models[0].Id = "pricing" }},
	{"models[agronomy].maxCapTokens", func(b *api.Bundle) { b.Models[0].MaxCapTokens = 0 }},
	{"models[agronomy].defaultCapTokens", func(b *api.Bundle) { b.Models[0].DefaultCapTokens = 9000 }},
	{"models[pricing].imageBoundTokens", func(b *api.Bundle) { b.Models[1].ImageBoundTokens = 1 << 40 }},
	{"models[pricing].templateBoundTokens", func(b *api.Bundle) { b.Models[1].TemplateBoundTokens = 1 << 40 }},
	{"models[pricing].adapters[1]", func(b *api.Bundle) { b.Models[1].Adapters = []string{"x", "x"} }},
	{"services[plans].id", func(b *api.Bundle) { b.Services = append(b.Services, &api.Service{Id: "plans", PathPrefix: "/b"}) }},
	{"services[other].pathPrefix", func(b *api.Bundle) { b.Services = append(b.Services, &api.Service{Id: "other", PathPrefix: "/plans/"}) }},
	{"services[plans].pathPrefix", func(b *api.Bundle) { b.Services[0].PathPrefix = "/v1/plans/" }},
	{"services[plans].pathPrefix", func(b *api.Bundle) { b.Services[0].PathPrefix = "/" }},
	{"services[plans].pathPrefix", func(b *api.Bundle) { b.Services[0].PathPrefix = "/v1" }},
	{"services[plans].pathPrefix", func(b *api.Bundle) { b.Services[0].PathPrefix = "plans/" }},
	{"services[plans].pathPrefix", func(b *api.Bundle) { b.Services[0].PathPrefix = "/plans/../v1/" }},
	{"services[plans].nonIdempotentMethods[0]", func(b *api.Bundle) { b.Services[0].NonIdempotentMethods[0] = "post" }},
	{"services[plans].timeout", func(b *api.Bundle) { b.Services[0].Timeout = nil }},
	{"endpoints[agronomy-1].id", func(b *api.Bundle) { b.Endpoints[1].Id = "agronomy-1" }},
	{"endpoints[agronomy-1].domain", func(b *api.Bundle) { b.Endpoints[0].Domain = "" }},
	{"endpoints[agronomy-1].url", func(b *api.Bundle) { b.Endpoints[0].Url = "http://engine:8000" }},
	{"endpoints[agronomy-1].url", func(b *api.Bundle) { b.Endpoints[0].Url = "http://192.0.2.1" }},
	{"endpoints[agronomy-1].url", func(b *api.Bundle) { b.Endpoints[0].Url = "http://192.0.2.1:80/v1" }},
	{"endpoints[agronomy-1].url", func(b *api.Bundle) { b.Endpoints[0].Url = "http://u@192.0.2.1:80" }},
	{"endpoints[pricing-1].url", func(b *api.Bundle) { b.Endpoints[1].Url = b.Endpoints[0].Url }},
	{"endpoints[agronomy-1]", func(b *api.Bundle) { b.Endpoints[0].Models = nil }},
	{"endpoints[agronomy-1]", func(b *api.Bundle) { b.Endpoints[0].Service = "plans" }},
	{"endpoints[agronomy-1].models[0]", func(b *api.Bundle) { b.Endpoints[0].Models[0] = "absent" }},
	{"endpoints[plans-1].service", func(b *api.Bundle) { b.Endpoints[2].Service = "absent" }},
	{"endpoints[agronomy-1].concurrency", func(b *api.Bundle) { b.Endpoints[0].Concurrency = 1 << 30 }},
	{"endpoints[agronomy-1].role", func(b *api.Bundle) { b.Endpoints[0].Role = "both roles" }},
}

func hasProblemAt(problems fieldcheck.Problems, path string) bool {
	for _, p := range problems {
		if p.Path == path && p.Value != "" && p.Requirement != "" {
			return true
		}
	}
	return false
}

func TestInvalidFieldsAreReported(t *testing.T) {
	Convey("Each invalid field is reported with its path", t, func() {
		for _, f := range invalidFields {
			b := readExample(t)
			f.corrupt(b)
			if problems := Check(b); !hasProblemAt(problems, f.path) {
				t.Errorf("%s: got\n%v", f.path, problems)
			}
		}
	})
}

func TestSuccessor(t *testing.T) {
	Convey("Given a bundle and its successor", t, func() {
		previous, next := readExample(t), readExample(t)
		next.Number = 2
		grants := &next.Customers[0].Budgets[0].Grants
		Convey("top-ups, new customers and closed customers are accepted", func() {
			*grants = append(*grants, &api.Grant{Id: "june", Tokens: 5})
			next.Customers[1].KeyHashes = nil
			next.Customers = append(next.Customers, &api.Customer{Id: "new"})
			So(CheckSuccessor(previous, next), ShouldBeEmpty)
		})
		for path, change := range map[string]func(){
			"number": func() { next.Number = 1 },
			"customers[alwusta-dates].budgets[schedules].grants[2026-season].tokens": func() { (*grants)[0].Tokens-- },
			"customers[alwusta-dates].budgets[schedules].grants[2026-season]":        func() { *grants = nil },
			"customers[alwusta-dates].budgets[schedules]":                            func() { next.Customers[0].Budgets = next.Customers[0].Budgets[1:] },
			"customers[alwusta-dates]":                                               func() { next.Customers = next.Customers[1:] },
		} {
			Convey("a change of "+strings.ReplaceAll(path, ".", " ")+" is reported", func() {
				change()
				So(hasProblemAt(CheckSuccessor(previous, next), path), ShouldBeTrue)
			})
		}
	})
}
