package bundle

import (
	"cmp"
	"context"
	"flag"
	"fmt"
	"maps"
	"os"
	"reflect"
	"slices"
	"testing"

	"github.com/jonboulle/clockwork"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"pumiceshelf/api"
)

// TestMain sets the seed of the randomized tests, so that every run has the same result, and reduces their length with
// -short.
func TestMain(m *testing.M) {
	flag.Parse()
	settings := map[string]string{"rapid.seed": "20261203", "rapid.nofailfile": "true"}
	if testing.Short() {
		settings["rapid.checks"] = "30"
	}
	for name, value := range settings {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// referenceHolder is the reference model of a Holder. It checks and compiles every bundle completely, without reuse, and
// keeps the last valid one.
type referenceHolder struct {
	active *api.Bundle
	// operators and threshold approve the next bundle.
	operators []*api.OperatorKey
	threshold uint32
}

func (r *referenceHolder) apply(b *api.Bundle, signers []operator) {
	approved := 0
	for _, s := range signers {
		if slices.ContainsFunc(r.operators, func(o *api.OperatorKey) bool { return proto.Equal(o, s.public()) }) {
			approved++
		}
	}
	if approved < int(r.threshold) || len(Check(b)) > 0 || !r.keepsGrants(b) || b.Number <= r.active.GetNumber() {
		return
	}
	r.active, r.operators, r.threshold = b, b.Operators, b.Threshold
}

// approvers returns the operators who may approve the next bundle.
func (r *referenceHolder) approvers() []operator {
	var out []operator
	for _, o := range r.operators {
		out = append(out, testOperator(o.Id))
	}
	return out
}

func (r *referenceHolder) keepsGrants(b *api.Bundle) bool {
	before, after := tokensByGrant(r.active), tokensByGrant(b)
	for k, v := range before {
		if got, ok := after[k]; !ok || got != v {
			return false
		}
	}
	return true
}

// tokensByGrant returns the tokens of each grant. It also has an entry of zero tokens for each budget.
func tokensByGrant(b *api.Bundle) map[[3]string]uint64 {
	out := make(map[[3]string]uint64)
	for _, c := range b.GetCustomers() {
		for _, budget := range c.Budgets {
			out[[3]string{c.Id, budget.Id}] = 0
			for _, g := range budget.Grants {
				out[[3]string{c.Id, budget.Id, g.Id}] = g.Tokens
			}
		}
	}
	return out
}

// mutations are changes that operators may make to a bundle, valid or not.
var mutations = []func(t *rapid.T, b *api.Bundle){
	func(t *rapid.T, b *api.Bundle) { // add a customer, possibly with an ID in use
		b.Customers = append(b.Customers, testCustomer(fmt.Sprintf("c%d", rapid.IntRange(0, 90).Draw(t, "customer")), 1))
	},
	func(t *rapid.T, b *api.Bundle) { // remove a customer
		i := drawIndex(t, len(b.Customers))
		b.Customers = slices.Delete(b.Customers, i, i+1)
	},
	func(t *rapid.T, b *api.Bundle) { // close a customer
		b.Customers[drawIndex(t, len(b.Customers))].KeyHashes = nil
	},
	func(t *rapid.T, b *api.Bundle) { // move a customer's keys to another customer, or share them
		from, to := b.Customers[drawIndex(t, len(b.Customers))], b.Customers[drawIndex(t, len(b.Customers))]
		to.KeyHashes = from.KeyHashes
		if rapid.Bool().Draw(t, "move keys") {
			from.KeyHashes = nil
		}
	},
	func(t *rapid.T, b *api.Bundle) { // add a grant, possibly with an ID in use
		c := b.Customers[drawIndex(t, len(b.Customers))]
		if len(c.Budgets) > 0 {
			id := fmt.Sprintf("g%d", rapid.IntRange(0, 9).Draw(t, "grant"))
			c.Budgets[0].Grants = append(c.Budgets[0].Grants, &api.Grant{Id: id, Tokens: 5})
		}
	},
	func(t *rapid.T, b *api.Bundle) { // change a grant
		c := b.Customers[drawIndex(t, len(b.Customers))]
		if len(c.Budgets) > 0 {
			c.Budgets[0].Grants[0].Tokens += rapid.Uint64Range(0, 2).Draw(t, "more")
		}
	},
	func(t *rapid.T, b *api.Bundle) { // change the ID of the model, which budgets may reference
		b.Models[0].Id = rapid.SampledFrom([]string{"agronomy", "pricing"}).Draw(t, "model")
		b.Endpoints[0].Models = []string{b.Models[0].Id}
	},
	func(t *rapid.T, b *api.Bundle) { // add an endpoint, possibly with an ID in use
		id := fmt.Sprintf("e%d", rapid.IntRange(0, 200).Draw(t, "endpoint"))
		b.Endpoints = append(b.Endpoints, &api.Endpoint{Id: id, Domain: "d1", Url: "http://192.0.2.9:80" + fmt.Sprint(len(b.Endpoints)), Service: "plans"})
	},
	func(t *rapid.T, b *api.Bundle) { // change the operators
		b.Operators = publicKeys(rapid.SampledFrom([][]operator{{ana, badr}, {badr, carla}, {carla, ana}}).Draw(t, "operators")...)
	},
	func(t *rapid.T, b *api.Bundle) { // add many customers at once, so that the number of pages grows
		for i := range 70 {
			b.Customers = append(b.Customers, testCustomer(fmt.Sprintf("m%d-%d", b.Number, i), 1))
		}
	},
}

func drawIndex(t *rapid.T, n int) int { return rapid.IntRange(0, n-1).Draw(t, "index") }

// TestHolderMatchesReferenceHolder applies the same random bundles to a Holder, which compiles incrementally, and to the
// reference model.
func TestHolderMatchesReferenceHolder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := newFleet(t, clockwork.NewFakeClock())
		n := f.prepare("d1", "a1")
		reference := &referenceHolder{operators: publicKeys(ana, badr), threshold: 2}
		last := testBundle(0, 3, 1)
		var earlier []*api.SignedManifest
		for range rapid.IntRange(1, 12).Draw(rt, "bundles") {
			b := proto.Clone(last).(*api.Bundle)
			if reference.active != nil && rapid.Bool().Draw(rt, "from the active one") {
				b = proto.Clone(reference.active).(*api.Bundle)
			}
			b.Number = last.Number + 1
			for range rapid.IntRange(0, 2).Draw(rt, "changes") {
				if len(b.Customers) > 0 {
					rapid.SampledFrom(mutations).Draw(rt, "change")(rt, b)
				}
			}
			signers := rapid.SampledFrom([][]operator{{ana, badr}, {badr, carla}, {carla, ana}, {ana}}).Draw(rt, "signers")
			if rapid.IntRange(0, 3).Draw(rt, "wrong signers if zero") > 0 {
				signers = reference.approvers()
			}
			signed := rollUnchecked(t, f, b, signers)
			_ = n.holder.refresh(context.Background())
			reference.apply(b, signers)
			earlier = append(earlier, signed)
			stale := rapid.SampledFrom(earlier).Draw(rt, "applied again")
			_ = n.holder.apply(context.Background(), stale, n.holder.storeSource(), true)
			compareHolders(rt, n.holder, reference)
			last = b
			if reference.active == nil {
				last = testBundle(b.Number, 3, 1)
			}
		}
	})
}

// rollUnchecked rolls a bundle as the successor of the one that the pointer names, without checking it. The manifest
// claims to be approved by the operators whom the holder trusts.
func rollUnchecked(t testing.TB, f *testFleet, b *api.Bundle, signers []operator) *api.SignedManifest {
	store := f.objects.Client("operator")
	p, err := ReadPointer(context.Background(), store)
	if err != nil {
		t.Fatal(err)
	}
	m, parts := Split(b)
	SetPrevious(m, p, nil)
	trusted := f.list()[0].holder.active.Load().trust.hash
	m.ApproversHash = nil
	if trusted != (Hash{}) {
		m.ApproversHash = trusted[:]
	}
	signed := &api.SignedManifest{Manifest: encode(m)}
	for _, s := range signers {
		AddSignature(signed, s.id, s.key)
	}
	if err := Roll(context.Background(), store, signed, parts); err != nil {
		t.Fatal(err)
	}
	return signed
}

func compareHolders(t *rapid.T, h *Holder, reference *referenceHolder) {
	if h.Number() != reference.active.GetNumber() {
		_, text := h.Status()
		t.Fatalf("active bundle is %d, reference model has %d: %s\nactive bundle of the reference model: %v", h.Number(), reference.active.GetNumber(), text, reference.active)
	}
	if reference.active == nil {
		return
	}
	got, want := *h.Current(), *Compile(reference.active)
	sortGroups(&got)
	sortGroups(&want)
	if !reflect.DeepEqual(got.customers, want.customers) || !reflect.DeepEqual(got.keys, want.keys) {
		t.Fatalf("customers differ: %v, want %v", got.customers, want.customers)
	}
	for name, pair := range map[string][2]any{
		"models":    {got.models, want.models},
		"services":  {got.services, want.services},
		"endpoints": {got.endpoints, want.endpoints},
		"groups":    {got.groups, want.groups},
		"retired":   {got.retired, want.retired},
		"operators": {operatorIDs(got.Operators), operatorIDs(want.Operators)},
	} {
		if !reflect.DeepEqual(pair[0], pair[1]) {
			t.Fatalf("%s differ: %v, want %v", name, pair[0], pair[1])
		}
	}
}

// sortGroups sorts the endpoints of each group by ID, because their order is not significant.
func sortGroups(s *Snapshot) {
	s.groups = maps.Clone(s.groups)
	for name, group := range s.groups {
		group = slices.Clone(group)
		slices.SortFunc(group, func(a, b *Endpoint) int { return cmp.Compare(a.ID, b.ID) })
		s.groups[name] = group
	}
}

// TestSplitAndJoin checks that a bundle can be restored from its parts and that the order of its lists does not matter.
func TestSplitAndJoin(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		b := testBundle(1, rapid.IntRange(0, 200).Draw(rt, "customers"), 2)
		shuffled := proto.Clone(b).(*api.Bundle)
		shuffled.Customers = rapid.Permutation(shuffled.Customers).Draw(rt, "order")
		m, parts := Split(b)
		shuffledManifest, _ := Split(shuffled)
		if !proto.Equal(m, shuffledManifest) {
			rt.Fatal("manifest depends on the order of customers")
		}
		restored, err := loadBundle(context.Background(), m, localFetcher{parts: indexByHash(parts)})
		if err != nil {
			rt.Fatal(err)
		}
		if changes := Diff(b, restored); len(changes) > 0 {
			rt.Fatalf("restored bundle differs: %v", changes)
		}
	})
}
