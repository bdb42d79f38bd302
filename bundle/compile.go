package bundle

import (
	"pumiceshelf/api"
	"pumiceshelf/budget"
	"pumiceshelf/instance"
)

// Compile builds the snapshot of a bundle without checking it. If several items of a kind share an ID, the last one
// wins.
func Compile(b *api.Bundle) *Snapshot {
	s := emptySnapshot()
	s.setManifest(b.Number, b.Operators, b.Threshold)
	for _, c := range b.Customers {
		s.addCustomer(compileCustomer(c))
	}
	s.setFleet(fleetPart(b))
	s.setEndpoints(b.Endpoints)
	return s
}

func emptySnapshot() *Snapshot {
	return &Snapshot{customers: make(map[string]*Customer), keys: make(map[KeyHash]*Customer)}
}

func (s *Snapshot) setManifest(number uint64, operators []*api.OperatorKey, threshold uint32) {
	s.Number = number
	s.Operators = operators
	s.Threshold = threshold
}

func (s *Snapshot) setFleet(f *api.FleetPart) {
	s.ConcurrentLoads = f.ConcurrentLoads
	s.models = make(map[string]*Model, len(f.Models))
	s.services = nil
	s.retired = make(map[instance.Incarnation]bool, len(f.RetiredIncarnations))
	for _, m := range f.Models {
		s.models[m.Id] = compileModel(m)
	}
	for _, v := range f.Services {
		s.services = append(s.services, compileService(v))
	}
	for _, i := range f.RetiredIncarnations {
		s.retired[instance.Incarnation(i)] = true
	}
}

func (s *Snapshot) setEndpoints(list []*api.Endpoint) {
	s.endpoints = make(map[string]*Endpoint, len(list))
	s.groups = make(map[string][]*Endpoint)
	for _, e := range list {
		s.addEndpoint(compileEndpoint(e))
	}
}

func (s *Snapshot) addCustomer(c *Customer) {
	s.customers[c.ID] = c
	for _, h := range c.keys {
		s.keys[h] = c
	}
}

func (s *Snapshot) removeCustomer(c *Customer) {
	delete(s.customers, c.ID)
	for _, h := range c.keys {
		delete(s.keys, h)
	}
}

func compileCustomer(c *api.Customer) *Customer {
	out := &Customer{ID: c.Id, Weight: max(c.Weight, 1)}
	for _, b := range c.Budgets {
		out.Budgets = append(out.Budgets, compileBudget(c.Id, b))
	}
	for _, h := range c.KeyHashes {
		if len(h) == len(KeyHash{}) {
			out.keys = append(out.keys, KeyHash(h))
		}
	}
	return out
}

func compileBudget(customer string, b *api.Budget) Budget {
	out := Budget{ID: budget.ID{Customer: customer, Budget: b.Id}, Models: b.Models}
	for _, g := range b.Grants {
		out.Granted += budget.Tokens(g.Tokens)
	}
	return out
}

func compileModel(m *api.Model) *Model {
	return &Model{
		ID:            m.Id,
		DefaultCap:    m.DefaultCapTokens,
		MaxCap:        m.MaxCapTokens,
		ImageBound:    m.ImageBoundTokens,
		TemplateBound: m.TemplateBoundTokens,
		Version:       m.Version,
		Adapters:      m.Adapters,
		NonIdempotent: m.NonIdempotent,
	}
}

func compileService(v *api.Service) *Service {
	out := &Service{ID: v.Id, PathPrefix: v.PathPrefix, NonIdempotent: make(map[string]bool), Timeout: v.Timeout.AsDuration()}
	for _, m := range v.NonIdempotentMethods {
		out.NonIdempotent[m] = true
	}
	return out
}

func compileEndpoint(e *api.Endpoint) *Endpoint {
	return &Endpoint{
		ID:            e.Id,
		Domain:        instance.Domain(e.Domain),
		URL:           e.Url,
		Models:        e.Models,
		Service:       e.Service,
		ChecksFencing: e.ChecksFencing,
		Concurrency:   e.Concurrency,
		Role:          e.Role,
	}
}

func (s *Snapshot) addEndpoint(e *Endpoint) {
	s.endpoints[e.ID] = e
	for _, m := range e.Models {
		s.groups[ModelGroup(m)] = append(s.groups[ModelGroup(m)], e)
	}
	if e.Service != "" {
		s.groups[ServiceGroup(e.Service)] = append(s.groups[ServiceGroup(e.Service)], e)
	}
}
