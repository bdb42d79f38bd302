package bundle

import (
	"maps"

	"pumiceshelf/api"
	"pumiceshelf/fieldcheck"
)

// compiled is content that passed all checks, together with its snapshot.
type compiled struct {
	content         *content
	snapshot        *Snapshot
	customersByHash map[Hash]*Customer
}

// compile checks and compiles content and reuses the compiled customers that the previous content shares with it. It
// returns either the result or the problems found.
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

// builder compiles one content incrementally from the previous one.
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
	out := &compiled{content: next, snapshot: &s, customersByHash: make(map[Hash]*Customer, len(previous.customersByHash))}
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

// buildCustomers removes the customers whose parts are no longer referenced, then adds the customers of new parts.
func (b *builder) buildCustomers() {
	referenced := b.next.customerHashes()
	// The parts that next no longer references, by customer ID. Those that no new part replaces remain at the end.
	oldParts := make(map[string]Hash)
	for h, c := range b.previous.customersByHash {
		if referenced[h] {
			b.out.customersByHash[h] = c
			continue
		}
		b.out.snapshot.removeCustomer(c)
		oldParts[c.ID] = h
	}
	for _, page := range b.next.customers {
		for _, h := range page.hashes {
			b.buildCustomer(h, oldParts)
		}
	}
	b.checkRemovedCustomers(oldParts)
}

func (b *builder) buildCustomer(h Hash, oldParts map[string]Hash) {
	if reused := b.out.customersByHash[h]; reused != nil {
		if b.fleetChanged() {
			checkBudgetModels(&b.check, reused, b.out.snapshot)
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
	if old, ok := oldParts[c.ID]; ok {
		b.checkGrantsKept(old, customer)
		delete(oldParts, c.ID)
	}
	b.out.customersByHash[h] = c
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
