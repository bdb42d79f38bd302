// Package story keeps, for a bounded number of recent requests, what the instance did and why.
package story

import (
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"pumiceshelf/api"
)

// eventLimit bounds the events kept of one request.
const eventLimit = 64

// Book keeps the stories of the most recent requests. It is safe for concurrent use.
type Book struct {
	mu      sync.Mutex
	limit   int
	order   []string
	next    int
	stories map[string]*api.Story
	now     func() time.Time
}

// NewBook returns a book of at most limit requests.
func NewBook(limit int, now func() time.Time) *Book {
	return &Book{limit: limit, order: make([]string, limit), stories: make(map[string]*api.Story, limit), now: now}
}

// Add appends an event to the request's story. The oldest request is dropped when the book is full.
func (b *Book) Add(requestID, customer, part, text string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.stories[requestID]
	if s == nil {
		s = b.open(requestID)
	}
	if customer != "" {
		s.Customer = customer
	}
	if len(s.Events) < eventLimit {
		s.Events = append(s.Events, &api.StoryEvent{UnixUs: b.now().UnixMicro(), Part: part, Text: text})
	}
}

func (b *Book) open(requestID string) *api.Story {
	delete(b.stories, b.order[b.next])
	b.order[b.next] = requestID
	b.next = (b.next + 1) % b.limit
	s := &api.Story{RequestId: requestID}
	b.stories[requestID] = s
	return s
}

// Get returns a copy of the request's story, or nil when it is not kept.
func (b *Book) Get(requestID string) *api.Story {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.stories[requestID]
	if s == nil {
		return nil
	}
	return proto.Clone(s).(*api.Story)
}
