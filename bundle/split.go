package bundle

import (
	"sort"

	"github.com/cespare/xxhash/v2"

	"pumiceshelf/api"
)

const (
	// customersPerPage is the target mean number of customers referenced by one page.
	customersPerPage = 32
	// endpointsPerPage is the target mean number of endpoints in one page.
	endpointsPerPage = 64
	// maxPackBytes is the target maximum size of a pack; larger pages are split.
	maxPackBytes = 256 << 10
	// maxPages bounds the pages of one kind that result from splitting large pages.
	maxPages = 4096
)

// Split splits a bundle into its manifest and the encoded parts that the manifest references, without duplicates. The
// result is deterministic: a change of a customer or endpoint changes only its own part and the page that contains it.
// The manifest's fields about the previous bundle are left empty; SetPrevious sets them.
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

// pageItem is an item that is assigned to a page by its ID.
type pageItem interface {
	*api.Customer | *api.Endpoint
	GetId() string
}

// pagesOf distributes items over pages by the hash of their IDs and sorts each page by ID. The number of pages is a power
// of two. It doubles until each page is within maxPackBytes or has a single item, up to maxPages.
func pagesOf[T pageItem](items []T, perPage int) [][]T {
	count := 1
	for count*perPage*2 <= len(items) {
		count *= 2
	}
	pages := distribute(items, count)
	for count < maxPages && anyPageTooLarge(pages) {
		count *= 2
		pages = distribute(items, count)
	}
	return pages
}

func distribute[T pageItem](items []T, count int) [][]T {
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

func anyPageTooLarge[T pageItem](pages [][]T) bool {
	for _, page := range pages {
		if len(page) > 1 && pageBytes(page) > maxPackBytes {
			return true
		}
	}
	return false
}

func pageBytes[T pageItem](page []T) int {
	total := 0
	for _, item := range page {
		total += encodedSize(item)
	}
	return total
}
