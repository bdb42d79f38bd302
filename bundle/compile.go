package bundle

import (
	"pumiceshelf/api"
	"pumiceshelf/budget"
	"pumiceshelf/instance"
)

// Compile builds the snapshot of a bundle that has passed its checks.
func Compile(b *api.Bundle) *Snapshot {
	s := &Snapshot{
		Number:          b.Number,
		Operators:       b.Operators,
		Threshold:       b.Threshold,
		ConcurrentLoads: b.ConcurrentLoads,
		customers:       make(map[string]*Customer, len(b.Customers)),
		keys:            make(map[KeyHash]*Customer, len(b.Customers)),
		models:          make(map[string]*Model, len(b.Models)),
		endpoints:       make(map[string]*Endpoint, len(b.Endpoints)),
		groups:          make(map[string][]*Endpoint),
		retired:         make(map[instance.Incarnation]bool, len(b.RetiredIncarnations)),
	}
	for _, c := range b.Customers {
		s.addCustomer(c)
	}
	for _, m := range b.Models {
		s.models[m.Id] = compileModel(m)
	}
	for _, v := range b.Services {
		s.services = append(s.services, compileService(v))
	}
	for _, e := range b.Endpoints {
		s.addEndpoint(compileEndpoint(e))
	}
	for _, i := range b.RetiredIncarnations {
		s.retired[instance.Incarnation(i)] = true
	}
	return s
}

func (s *Snapshot) addCustomer(c *api.Customer) {
	out := &Customer{ID: c.Id, Weight: max(c.Weight, 1)}
	for _, b := range c.Budgets {
		out.Budgets = append(out.Budgets, compileBudget(c.Id, b))
	}
	s.customers[c.Id] = out
	for _, h := range c.KeyHashes {
		s.keys[KeyHash(h)] = out
	}
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
