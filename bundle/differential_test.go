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

// naiveHolder checks and compiles every bundle whole, from the source form, and keeps the last good one.
type naiveHolder struct {
	inForce *api.Bundle
	// approvers of the next bundle.
	operators []*api.OperatorKey
	threshold uint32
}

func (n *naiveHolder) offer(b *api.Bundle, signers []operator) {
	approved := 0
	for _, s := range signers {
		if slices.ContainsFunc(n.operators, func(o *api.OperatorKey) bool { return proto.Equal(o, s.public()) }) {
			approved++
		}
	}
	if approved < int(n.threshold) || len(Check(b)) > 0 || !n.keepsGrants(b) || b.Number <= n.inForce.GetNumber() {
		return
	}
	n.inForce, n.operators, n.threshold = b, b.Operators, b.Threshold
}

// approvers returns the operators who may approve the next bundle.
func (n *naiveHolder) approvers() []operator {
	var out []operator
	for _, o := range n.operators {
		out = append(out, testOperator(o.Id))
	}
	return out
}

func (n *naiveHolder) keepsGrants(b *api.Bundle) bool {
	was, now := grantsOf(n.inForce), grantsOf(b)
	for k, v := range was {
		if got, ok := now[k]; !ok || got != v {
			return false
		}
	}
	return true
}

// grantsOf returns the tokens of each grant; a budget counts as a grant of none.
func grantsOf(b *api.Bundle) map[[3]string]uint64 {
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

// mutations are what operators may do to a bundle, wisely or not.
var mutations = []func(t *rapid.T, b *api.Bundle){
	func(t *rapid.T, b *api.Bundle) { // a customer more, maybe with an id that exists
		b.Customers = append(b.Customers, testCustomer(fmt.Sprintf("c%d", rapid.IntRange(0, 90).Draw(t, "customer")), 1))
	},
	func(t *rapid.T, b *api.Bundle) { // a customer less
		i := pick(t, len(b.Customers))
		b.Customers = slices.Delete(b.Customers, i, i+1)
	},
	func(t *rapid.T, b *api.Bundle) { // a customer closed
		b.Customers[pick(t, len(b.Customers))].KeyHashes = nil
	},
	func(t *rapid.T, b *api.Bundle) { // a key handed on, or shared
		from, to := b.Customers[pick(t, len(b.Customers))], b.Customers[pick(t, len(b.Customers))]
		to.KeyHashes = from.KeyHashes
		if rapid.Bool().Draw(t, "hand on") {
			from.KeyHashes = nil
		}
	},
	func(t *rapid.T, b *api.Bundle) { // a top-up
		c := b.Customers[pick(t, len(b.Customers))]
		if len(c.Budgets) > 0 {
			id := fmt.Sprintf("g%d", rapid.IntRange(0, 9).Draw(t, "grant"))
			c.Budgets[0].Grants = append(c.Budgets[0].Grants, &api.Grant{Id: id, Tokens: 5})
		}
	},
	func(t *rapid.T, b *api.Bundle) { // a grant changed
		c := b.Customers[pick(t, len(b.Customers))]
		if len(c.Budgets) > 0 {
			c.Budgets[0].Grants[0].Tokens += rapid.Uint64Range(0, 2).Draw(t, "more")
		}
	},
	func(t *rapid.T, b *api.Bundle) { // another model, which budgets may not know
		b.Models[0].Id = rapid.SampledFrom([]string{"agronomy", "pricing"}).Draw(t, "model")
		b.Endpoints[0].Models = []string{b.Models[0].Id}
	},
	func(t *rapid.T, b *api.Bundle) { // an endpoint more
		id := fmt.Sprintf("e%d", rapid.IntRange(0, 200).Draw(t, "endpoint"))
		b.Endpoints = append(b.Endpoints, &api.Endpoint{Id: id, Domain: "d1", Url: "http://192.0.2.9:80" + fmt.Sprint(len(b.Endpoints)), Service: "plans"})
	},
	func(t *rapid.T, b *api.Bundle) { // other operators
		b.Operators = publics(rapid.SampledFrom([][]operator{{ana, badr}, {badr, carla}, {carla, ana}}).Draw(t, "operators")...)
	},
	func(t *rapid.T, b *api.Bundle) { // many customers at once, so that pages split
		for i := range 70 {
			b.Customers = append(b.Customers, testCustomer(fmt.Sprintf("m%d-%d", b.Number, i), 1))
		}
	},
}

func pick(t *rapid.T, n int) int { return rapid.IntRange(0, n-1).Draw(t, "index") }

// TestHolderAgainstNaive offers the same random bundles to a holder, which compiles what changed, and to a naive one.
func TestHolderAgainstNaive(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := newFleet(t, clockwork.NewFakeClock())
		n := f.prepare("d1", "a1")
		naive := &naiveHolder{operators: publics(ana, badr), threshold: 2}
		last := testBundle(0, 3, 1)
		var earlier []*api.SignedManifest
		for range rapid.IntRange(1, 12).Draw(rt, "bundles") {
			b := proto.Clone(last).(*api.Bundle)
			if naive.inForce != nil && rapid.Bool().Draw(rt, "from the one in force") {
				b = proto.Clone(naive.inForce).(*api.Bundle)
			}
			b.Number = last.Number + 1
			for range rapid.IntRange(0, 2).Draw(rt, "changes") {
				if len(b.Customers) > 0 {
					rapid.SampledFrom(mutations).Draw(rt, "change")(rt, b)
				}
			}
			signers := rapid.SampledFrom([][]operator{{ana, badr}, {badr, carla}, {carla, ana}, {ana}}).Draw(rt, "signers")
			if rapid.IntRange(0, 3).Draw(rt, "wrong signers") > 0 {
				signers = naive.approvers()
			}
			signed := rollUnchecked(t, f, b, signers)
			_ = n.holder.readPointer(context.Background())
			naive.offer(b, signers)
			earlier = append(earlier, signed)
			stale := rapid.SampledFrom(earlier).Draw(rt, "offered again")
			_ = n.holder.offer(context.Background(), stale, n.holder.storeSource(), true)
			compareHolders(rt, n.holder, naive)
			last = b
			if naive.inForce == nil {
				last = testBundle(b.Number, 3, 1)
			}
		}
	})
}

// rollUnchecked rolls a bundle that follows the one that the pointer names and claims the approval of the last change
// of operators that was put in force, as a tool that checks nothing else would.
func rollUnchecked(t testing.TB, f *testFleet, b *api.Bundle, signers []operator) *api.SignedManifest {
	store := f.objects.Link("operator")
	p, err := ReadPointer(context.Background(), store)
	if err != nil {
		t.Fatal(err)
	}
	m, parts := Split(b)
	Follow(m, p, nil)
	trusted := f.list()[0].holder.force.Load().trust.hash
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

func compareHolders(t *rapid.T, h *Holder, naive *naiveHolder) {
	if h.Number() != naive.inForce.GetNumber() {
		_, text := h.Status()
		t.Fatalf("in force is %d, naive has %d: %s\nnaive finds %v", h.Number(), naive.inForce.GetNumber(), text, naive.inForce)
	}
	if naive.inForce == nil {
		return
	}
	got, want := *h.Current(), *Compile(naive.inForce)
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

// sortGroups puts the endpoints of each group in order of ids; their order means nothing.
func sortGroups(s *Snapshot) {
	s.groups = maps.Clone(s.groups)
	for name, group := range s.groups {
		group = slices.Clone(group)
		slices.SortFunc(group, func(a, b *Endpoint) int { return cmp.Compare(a.ID, b.ID) })
		s.groups[name] = group
	}
}

// TestSplitAndJoin checks that a bundle comes back from its parts, whatever the order of its lists.
func TestSplitAndJoin(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		b := testBundle(1, rapid.IntRange(0, 200).Draw(rt, "customers"), 2)
		shuffled := proto.Clone(b).(*api.Bundle)
		shuffled.Customers = rapid.Permutation(shuffled.Customers).Draw(rt, "order")
		m, parts := Split(b)
		again, _ := Split(shuffled)
		if !proto.Equal(m, again) {
			rt.Fatal("the order of customers changes the manifest")
		}
		back, err := loadBundle(context.Background(), m, localFetcher{parts: byHash(parts)})
		if err != nil {
			rt.Fatal(err)
		}
		if changes := Diff(b, back); len(changes) > 0 {
			rt.Fatalf("came back with changes: %v", changes)
		}
	})
}
