package bundle

import (
	"context"
	"fmt"

	"google.golang.org/protobuf/proto"

	"pumiceshelf/api"
)

// content is a bundle split into parts: the encoded parts by hash, which are served to peers, and their decoded form. It
// is immutable once loaded. Successive contents share the parts that did not change.
type content struct {
	manifest  *api.Manifest
	parts     map[Hash][]byte
	fleetHash Hash
	fleet     *api.FleetPart
	endpoints []endpointPage
	customers []customerPage
}

type endpointPage struct {
	hash      Hash
	endpoints []*api.Endpoint
}

type customerPage struct {
	hash Hash
	// hashes of the customer parts that the page references.
	hashes []Hash
}

// loader loads the content of one manifest.
type loader struct {
	out      *content
	previous *content
	fetcher  fetcher
}

// load loads the parts that the manifest references. It takes them from the previous content where possible and from the
// fetcher otherwise.
func load(ctx context.Context, m *api.Manifest, previous *content, f fetcher) (*content, error) {
	l := &loader{out: &content{manifest: m, parts: make(map[Hash][]byte)}, previous: previous, fetcher: f}
	if previous == nil {
		l.previous = &content{}
	}
	if err := l.loadPages(ctx); err != nil {
		return nil, err
	}
	if err := l.loadCustomers(ctx); err != nil {
		return nil, err
	}
	return l.out, nil
}

func (l *loader) loadPages(ctx context.Context) error {
	m := l.out.manifest
	fleet, err := parseHash(m.FleetHash)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	endpoints, err := parseHashes(m.EndpointPageHashes)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	customers, err := parseHashes(m.CustomerPageHashes)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	refs := []partRef{{hash: fleet, pack: fleet}}
	for _, h := range append(append([]Hash(nil), endpoints...), customers...) {
		refs = append(refs, partRef{hash: h, pack: h})
	}
	if err := l.addParts(ctx, refs); err != nil {
		return err
	}
	return l.decodePages(fleet, endpoints, customers)
}

func (l *loader) decodePages(fleet Hash, endpoints, customers []Hash) error {
	part, err := l.out.decode(fleet)
	if err != nil {
		return err
	}
	if part.GetFleet() == nil {
		return fmt.Errorf("%w: part %s is not a fleet part", ErrMalformed, fleet)
	}
	l.out.fleetHash, l.out.fleet = fleet, part.GetFleet()
	for _, h := range endpoints {
		if err := l.addEndpointPage(h); err != nil {
			return err
		}
	}
	for _, h := range customers {
		if err := l.addCustomerPage(h); err != nil {
			return err
		}
	}
	return nil
}

func (l *loader) addEndpointPage(h Hash) error {
	for _, page := range l.previous.endpoints {
		if page.hash == h {
			l.out.endpoints = append(l.out.endpoints, page)
			return nil
		}
	}
	part, err := l.out.decode(h)
	if err != nil {
		return err
	}
	if part.GetEndpoints() == nil {
		return fmt.Errorf("%w: part %s is not an endpoint page", ErrMalformed, h)
	}
	l.out.endpoints = append(l.out.endpoints, endpointPage{hash: h, endpoints: part.GetEndpoints().Endpoints})
	return nil
}

func (l *loader) addCustomerPage(h Hash) error {
	part, err := l.out.decode(h)
	if err != nil {
		return err
	}
	if part.GetCustomers() == nil {
		return fmt.Errorf("%w: part %s is not a customer page", ErrMalformed, h)
	}
	hashes, err := parseHashes(part.GetCustomers().CustomerHashes)
	if err != nil {
		return fmt.Errorf("%w: part %s: %w", ErrMalformed, h, err)
	}
	l.out.customers = append(l.out.customers, customerPage{hash: h, hashes: hashes})
	return nil
}

func (l *loader) loadCustomers(ctx context.Context) error {
	var refs []partRef
	for _, page := range l.out.customers {
		for _, h := range page.hashes {
			refs = append(refs, partRef{hash: h, pack: page.hash})
		}
	}
	return l.addParts(ctx, refs)
}

// addParts adds the referenced parts to the content.
func (l *loader) addParts(ctx context.Context, refs []partRef) error {
	var missing []partRef
	for _, ref := range refs {
		if b, ok := l.previous.parts[ref.hash]; ok {
			l.out.parts[ref.hash] = b
		} else if _, ok := l.out.parts[ref.hash]; !ok {
			missing = append(missing, ref)
		}
	}
	if len(missing) == 0 {
		return nil
	}
	found, err := l.fetcher.fetch(ctx, missing)
	if err != nil {
		return err
	}
	for h, b := range found {
		l.out.parts[h] = b
	}
	for _, ref := range missing {
		if _, ok := found[ref.hash]; !ok {
			return fmt.Errorf("%w: %s", errPartsMissing, ref.hash)
		}
	}
	return nil
}

func (c *content) decode(h Hash) (*api.Part, error) {
	part := &api.Part{}
	if err := proto.Unmarshal(c.parts[h], part); err != nil {
		return nil, fmt.Errorf("%w: part %s: %w", ErrMalformed, h, err)
	}
	if hasUnknownFields(part.ProtoReflect()) {
		return nil, fmt.Errorf("%w: part %s has fields that are unknown to this version of the program; a newer version is required", ErrMalformed, h)
	}
	return part, nil
}

// decodeCustomer decodes the customer part with the given hash.
func (c *content) decodeCustomer(h Hash) (*api.Customer, error) {
	part, err := c.decode(h)
	if err != nil {
		return nil, err
	}
	if part.GetCustomer() == nil {
		return nil, fmt.Errorf("%w: part %s is not a customer part", ErrMalformed, h)
	}
	return part.GetCustomer(), nil
}

// customerHashes returns the hashes of all customer parts.
func (c *content) customerHashes() map[Hash]bool {
	out := make(map[Hash]bool)
	for _, page := range c.customers {
		for _, h := range page.hashes {
			out[h] = true
		}
	}
	return out
}

// bundle returns the content in the form that operators edit.
func (c *content) bundle() (*api.Bundle, error) {
	b := &api.Bundle{
		Number:              c.manifest.Number,
		Operators:           c.manifest.Operators,
		Threshold:           c.manifest.Threshold,
		Models:              c.fleet.Models,
		Services:            c.fleet.Services,
		RetiredIncarnations: c.fleet.RetiredIncarnations,
		ConcurrentLoads:     c.fleet.ConcurrentLoads,
	}
	for _, page := range c.endpoints {
		b.Endpoints = append(b.Endpoints, page.endpoints...)
	}
	for _, page := range c.customers {
		for _, h := range page.hashes {
			customer, err := c.decodeCustomer(h)
			if err != nil {
				return nil, err
			}
			b.Customers = append(b.Customers, customer)
		}
	}
	return b, nil
}
