package bundle

import (
	"maps"

	"pumiceshelf/api"
	"pumiceshelf/fieldcheck"
)

// compiled is a content that passed its checks, with its snapshot.
type compiled struct {
	content  *content
	snapshot *Snapshot
	byPart   map[Hash]*Customer
}

// compile checks a content and compiles it, reusing what the previous one shares with it. Problems keep it out.
func compile(next *content, previous *compiled) (*compiled, fieldcheck.Problems) {
	b := newBuilder(next, previous)
	b.checkManifest()
	b.buildFleet()
	b.buildEndpoints()
	b.buildCustomers()
	if problems := b.check.Problems(); len(problems) > 0 {
		return nil, problems
	}
	return b.out, nil
}

// builder compiles one content on top of the previous one.
type builder struct {
	check    fieldcheck.Checker
	next     *content
	previous *compiled
	out      *compiled
}

func newBuilder(next *content, previous *compiled) *builder {
	if previous == nil {
		previous = &compiled{content: &content{}, snapshot: emptySnapshot()}
	}
	s := *previous.snapshot
	s.customers = maps.Clone(s.customers)
	s.keys = maps.Clone(s.keys)
	s.setManifest(next.manifest.Number, next.manifest.Operators, next.manifest.Threshold)
	out := &compiled{content: next, snapshot: &s, byPart: make(map[Hash]*Customer, len(previous.byPart))}
	return &builder{next: next, previous: previous, out: out}
}

func (b *builder) fleetChanged() bool { return b.previous.content.fleetHash != b.next.fleetHash }

func (b *builder) buildFleet() {
	if !b.fleetChanged() {
		return
	}
	checkFleet(&b.check, b.next.fleet)
	b.out.snapshot.setFleet(b.next.fleet)
}

func (b *builder) buildEndpoints() {
	if !b.fleetChanged() && sameEndpointPages(b.previous.content.endpoints, b.next.endpoints) {
		return
	}
	var all []*api.Endpoint
	for _, page := range b.next.endpoints {
		all = append(all, page.endpoints...)
	}
	checkEndpoints(&b.check, all, b.out.snapshot)
	b.out.snapshot.setEndpoints(all)
}

func sameEndpointPages(a, b []endpointPage) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i].hash != b[i].hash {
			return false
		}
	}
	return true
}

// buildCustomers takes out the customers whose parts are gone, then adds the new parts.
func (b *builder) buildCustomers() {
	wanted := b.next.customerHashes()
	replaced := make(map[string]Hash)
	for h, c := range b.previous.byPart {
		if wanted[h] {
			b.out.byPart[h] = c
			continue
		}
		b.out.snapshot.removeCustomer(c)
		replaced[c.ID] = h
	}
	for _, page := range b.next.customers {
		for _, h := range page.hashes {
			b.buildCustomer(h, replaced)
		}
	}
	b.checkRemoved(replaced)
}

func (b *builder) buildCustomer(h Hash, replaced map[string]Hash) {
	if kept := b.out.byPart[h]; kept != nil {
		if b.fleetChanged() {
			checkBudgetModels(&b.check, kept, b.out.snapshot)
		}
		return
	}
	customer, err := b.next.decodeCustomer(h)
	if err != nil {
		b.check.Fail("customers", h.String(), "the hash of a customer's part: "+err.Error())
		return
	}
	c := compileCustomer(customer)
	checkCustomer(&b.check, customer)
	checkBudgetModels(&b.check, c, b.out.snapshot)
	b.checkUnique(c)
	if old, ok := replaced[c.ID]; ok {
		b.checkGrants(old, customer)
		delete(replaced, c.ID)
	}
	b.out.byPart[h] = c
	b.out.snapshot.addCustomer(c)
}

func (b *builder) checkUnique(c *Customer) {
	b.check.Require(b.out.snapshot.customers[c.ID] == nil, "customers", c.ID, "an id that no other customer has")
	for _, h := range c.keys {
		if other := b.out.snapshot.keys[h]; other != nil {
			path := customerPath(c.ID) + ".keyHashes"
			b.check.Fail(path, Hash(h).String(), "a key that customer "+other.ID+" does not have")
		}
	}
}
