package bundle

import (
	"sort"

	"github.com/cespare/xxhash/v2"

	"pumiceshelf/api"
)

const (
	// customersPerPage is the mean number of customers named by one page.
	customersPerPage = 32
	// endpointsPerPage is the mean number of endpoints in one page.
	endpointsPerPage = 64
	// packLimit is the largest pack aimed at, in bytes; pages are made smaller to keep it.
	packLimit = 256 << 10
	// pageLimit is the largest number of pages of a kind.
	pageLimit = 4096
)

// Split cuts a bundle into its manifest and the encoded parts that the manifest names, each part once. A bundle always
// gives the same parts, and a change of a customer or endpoint changes its own part and the page that names it.
// The manifest's fields on the previous bundle are left empty; Follow fills them.
func Split(b *api.Bundle) (*api.Manifest, [][]byte) {
	s := splitter{seen: make(map[Hash]bool)}
	m := &api.Manifest{Number: b.Number, Operators: b.Operators, Threshold: b.Threshold}
	m.FleetHash = s.add(&api.Part{Content: &api.Part_Fleet{Fleet: fleetPart(b)}})
	for _, page := range pagesOf(b.Endpoints, endpointsPerPage) {
		part := &api.EndpointPage{Endpoints: page}
		m.EndpointPageHashes = append(m.EndpointPageHashes, s.add(&api.Part{Content: &api.Part_Endpoints{Endpoints: part}}))
	}
	for _, page := range pagesOf(b.Customers, customersPerPage) {
		m.CustomerPageHashes = append(m.CustomerPageHashes, s.addCustomers(page))
	}
	return m, s.parts
}

type splitter struct {
	seen  map[Hash]bool
	parts [][]byte
}

func (s *splitter) add(part *api.Part) []byte {
	h, b := encodePart(part)
	if !s.seen[h] {
		s.seen[h] = true
		s.parts = append(s.parts, b)
	}
	return h[:]
}

func (s *splitter) addCustomers(customers []*api.Customer) []byte {
	page := &api.CustomerPage{}
	for _, c := range customers {
		page.CustomerHashes = append(page.CustomerHashes, s.add(&api.Part{Content: &api.Part_Customer{Customer: c}}))
	}
	return s.add(&api.Part{Content: &api.Part_Customers{Customers: page}})
}

func fleetPart(b *api.Bundle) *api.FleetPart {
	return &api.FleetPart{
		Models:              b.Models,
		Services:            b.Services,
		RetiredIncarnations: b.RetiredIncarnations,
		ConcurrentLoads:     b.ConcurrentLoads,
	}
}

// paged is an item that is put into a page by its id.
type paged interface {
	*api.Customer | *api.Endpoint
	GetId() string
}

// pagesOf spreads items over a power of two of pages by the hash of their ids, each page in order of ids. The number
// of pages grows until each page is within packLimit or cannot be cut further.
func pagesOf[T paged](items []T, perPage int) [][]T {
	count := 1
	for count*perPage*2 <= len(items) {
		count *= 2
	}
	pages := spread(items, count)
	for count < pageLimit && anyTooLarge(pages) {
		count *= 2
		pages = spread(items, count)
	}
	return pages
}

func spread[T paged](items []T, count int) [][]T {
	pages := make([][]T, count)
	for _, item := range items {
		i := xxhash.Sum64String(item.GetId()) % uint64(count)
		pages[i] = append(pages[i], item)
	}
	for _, page := range pages {
		sort.Slice(page, func(i, j int) bool { return page[i].GetId() < page[j].GetId() })
	}
	return pages
}

func anyTooLarge[T paged](pages [][]T) bool {
	for _, page := range pages {
		if len(page) > 1 && pageBytes(page) > packLimit {
			return true
		}
	}
	return false
}

func pageBytes[T paged](page []T) int {
	total := 0
	for _, item := range page {
		total += sizeOf(item)
	}
	return total
}
