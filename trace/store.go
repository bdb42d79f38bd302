// Package trace stores the traces of a bounded number of recent requests: what the instance did for each and why.
package trace

import (
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"pumiceshelf/api"
)

// maxEvents bounds the events in one trace.
const maxEvents = 64

// Store holds the traces of the most recent requests. It is safe for concurrent use.
type Store struct {
	mu    sync.Mutex
	limit int
	// order is a ring buffer of request IDs; next is the index that the next new trace gets.
	order  []string
	next   int
	traces map[string]*api.Story
	now    func() time.Time
}

// NewStore returns a store of at most limit traces.
func NewStore(limit int, now func() time.Time) *Store {
	return &Store{limit: limit, order: make([]string, limit), traces: make(map[string]*api.Story, limit), now: now}
}

// Add appends an event to the request's trace, up to maxEvents. A new trace replaces the oldest one when the store is full.
func (s *Store) Add(requestID, customer, component, text string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.traces[requestID]
	if t == nil {
		t = s.addTrace(requestID)
	}
	if customer != "" {
		t.Customer = customer
	}
	if len(t.Events) < maxEvents {
		t.Events = append(t.Events, &api.StoryEvent{UnixUs: s.now().UnixMicro(), Part: component, Text: text})
	}
}

// addTrace adds an empty trace in place of the oldest one.
func (s *Store) addTrace(requestID string) *api.Story {
	delete(s.traces, s.order[s.next])
	s.order[s.next] = requestID
	s.next = (s.next + 1) % s.limit
	t := &api.Story{RequestId: requestID}
	s.traces[requestID] = t
	return t
}

// Get returns a copy of the request's trace, or nil if there is none.
func (s *Store) Get(requestID string) *api.Story {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.traces[requestID]
	if t == nil {
		return nil
	}
	return proto.Clone(t).(*api.Story)
}
