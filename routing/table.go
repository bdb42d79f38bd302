package routing

import (
	"cmp"
	"net"
	"slices"
	"strings"
)

// Table is an immutable index of a Config.
type Table struct {
	config    Config
	hosts     map[string][]*Route
	services  map[string]*Service
	byKey     map[string]*Customer
	customers map[string]*Customer
}

// Compile builds the Table of a configuration.
func Compile(c Config) *Table {
	t := &Table{
		config:    c,
		hosts:     make(map[string][]*Route),
		services:  make(map[string]*Service),
		byKey:     make(map[string]*Customer),
		customers: make(map[string]*Customer),
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		host := strings.ToLower(r.Host)
		t.hosts[host] = append(t.hosts[host], r)
	}
	for _, routes := range t.hosts {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix)) })
	}
	for i := range c.Services {
		t.services[c.Services[i].Name] = &c.Services[i]
	}
	for i := range c.Customers {
		customer := &c.Customers[i]
		t.customers[customer.Name] = customer
		for _, key := range customer.Keys {
			t.byKey[key] = customer
		}
	}
	return t
}

// Version returns the version of the configuration.
func (t *Table) Version() int64 { return t.config.Version }

// Limits returns the limits on callers.
func (t *Table) Limits() Limits { return t.config.Limits }

// Customers returns all customers.
func (t *Table) Customers() []Customer { return t.config.Customers }

// Services returns all services.
func (t *Table) Services() []Service { return t.config.Services }

// Match returns the route of the host with the longest matching path prefix, or nil. It ignores the port and the case
// of the host.
func (t *Table) Match(host, path string) *Route {
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	for _, r := range t.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// CustomerByKey returns the customer that owns a key, or nil.
func (t *Table) CustomerByKey(key string) *Customer { return t.byKey[key] }

// Customer returns the customer with the given name, or nil.
func (t *Table) Customer(name string) *Customer { return t.customers[name] }

// Service returns the service with the given name, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Streams reports whether a route sends streaming requests to the service.
func (t *Table) Streams(service string) bool {
	return slices.ContainsFunc(t.config.Routes, func(r Route) bool {
		return r.Mode == Streaming && slices.ContainsFunc(r.Targets, func(t Target) bool { return t.Service == service })
	})
}

// RequiresKey reports whether requests on routes that are not public need a key. They do if the configuration has
// customers.
func (t *Table) RequiresKey() bool { return len(t.config.Customers) > 0 }

// PickTarget chooses a target by weight; random is a uniformly distributed number in [0, 1). Without positive weights
// it returns the first target, and without targets false.
func (r *Route) PickTarget(random float64) (service string, ok bool) {
	total := 0
	for _, target := range r.Targets {
		total += max(target.Weight, 0)
	}
	if total == 0 {
		if len(r.Targets) == 0 {
			return "", false
		}
		return r.Targets[0].Service, true
	}
	remaining := random * float64(total)
	for _, target := range r.Targets {
		remaining -= float64(max(target.Weight, 0))
		if remaining < 0 {
			return target.Service, true
		}
	}
	return r.Targets[len(r.Targets)-1].Service, true
}

// Retryable reports whether a request of the route may run more than once. A resumable stream is only rerun from the
// first event that was not received.
func (r *Route) Retryable() bool {
	return r.Mode == Idempotent || r.Mode == Streaming && r.Resumable
}
