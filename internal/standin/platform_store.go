package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// maxStoreWait bounds the time that a watch asks for. Instances ask for less than 2 s.
const maxStoreWait = 30 * time.Second

// PlatformStore is a stand-in for the users' object store. It speaks the protocol that package platform uses, and serves it as an
// http.Handler. It is safe for concurrent use.
type PlatformStore struct {
	mu       sync.Mutex
	revision uint64
	objects  map[string]storeObject
	// history holds all changes in the order of their revisions.
	history []storeChange
	// changed is closed at the next change.
	changed chan struct{}
	calls   int
}

type storeMetadata struct {
	Name string `json:"name"`
	Rev  uint64 `json:"rev"`
}

type storeObject struct {
	Metadata storeMetadata   `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
}

type storeChange struct {
	collection string
	revision   uint64
	Object     storeObject `json:"object"`
	Deleted    bool        `json:"deleted"`
}

// NewPlatformStore returns an empty store.
func NewPlatformStore() *PlatformStore {
	return &PlatformStore{revision: 1, objects: make(map[string]storeObject), changed: make(chan struct{})}
}

// Set writes an object unconditionally and returns when the store acknowledged it. An error means that the value is not JSON.
func (s *PlatformStore) Set(key string, value any) (time.Time, error) {
	spec, err := json.Marshal(value)
	if err != nil {
		return time.Time{}, fmt.Errorf("standin: value of %s: %w", key, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.change(key, storeObject{Spec: spec}, false)
	return time.Now(), nil
}

// Remove deletes an object unconditionally.
func (s *PlatformStore) Remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o, ok := s.objects[key]; ok {
		s.change(key, o, true)
	}
}

// Calls returns the number of calls so far.
func (s *PlatformStore) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// change writes or deletes an object at the next revision, and returns it. The caller holds the mutex.
func (s *PlatformStore) change(key string, o storeObject, deleted bool) storeObject {
	s.revision++
	collection, name, _ := strings.Cut(key, "/")
	o.Metadata = storeMetadata{Name: name, Rev: s.revision}
	s.objects[key] = o
	if deleted {
		delete(s.objects, key)
	}
	s.history = append(s.history, storeChange{collection: collection, revision: s.revision, Object: o, Deleted: deleted})
	close(s.changed)
	s.changed = make(chan struct{})
	return o
}

// ServeHTTP implements http.Handler.
func (s *PlatformStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	collection, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/objects/"), "/")
	var status int
	var response any
	if query := r.URL.Query(); r.Method == http.MethodGet && query.Has("watch") {
		status, response = s.watch(r.Context(), collection, query.Get("watch"), query.Get("wait_ms"))
	} else {
		status, response = s.call(r, collection, name)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if response != nil {
		// An error means that the connection broke, which a fault of the proxy causes.
		_ = json.NewEncoder(w).Encode(response)
	}
}

// call serves all calls except watches.
func (s *PlatformStore) call(r *http.Request, collection, name string) (int, any) {
	var body storeObject
	if r.Method == http.MethodPost || r.Method == http.MethodPut {
		if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
			return http.StatusBadRequest, nil
		}
		name = body.Metadata.Name
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	key := collection + "/" + name
	current, exists := s.objects[key]
	switch {
	case r.Method == http.MethodGet && name == "":
		return http.StatusOK, s.list(collection)
	case r.Method == http.MethodPost && exists, r.Method == http.MethodPut && exists && current.Metadata.Rev != body.Metadata.Rev:
		return http.StatusConflict, current
	case r.Method == http.MethodPost, r.Method == http.MethodPut && exists:
		return http.StatusOK, s.change(key, body, false)
	case !exists:
		return http.StatusNotFound, nil
	case r.Method == http.MethodGet:
		return http.StatusOK, current
	case r.Method == http.MethodDelete && r.URL.Query().Get("rev") != strconv.FormatUint(current.Metadata.Rev, 10):
		return http.StatusConflict, current
	case r.Method == http.MethodDelete:
		return http.StatusOK, s.change(key, current, true)
	}
	return http.StatusMethodNotAllowed, nil
}

// list returns a collection in one page. The platform begins another one after 500 objects, which no collection here has.
func (s *PlatformStore) list(collection string) any {
	items := []storeObject{}
	for _, key := range slices.Sorted(maps.Keys(s.objects)) {
		if strings.HasPrefix(key, collection+"/") {
			items = append(items, s.objects[key])
		}
	}
	return map[string]any{"items": items, "has_more": false, "as_of": s.revision}
}

// watch waits until the collection changes after a revision, or until the time of the watch is over.
func (s *PlatformStore) watch(ctx context.Context, collection, afterText, waitText string) (int, any) {
	after, err := strconv.ParseUint(afterText, 10, 64)
	waitMs, err2 := strconv.ParseUint(waitText, 10, 32)
	if err != nil || err2 != nil {
		return http.StatusBadRequest, nil
	}
	timeout := time.NewTimer(min(time.Duration(waitMs)*time.Millisecond, maxStoreWait))
	defer timeout.Stop()
	s.mu.Lock()
	s.calls++
	s.mu.Unlock()
	for {
		s.mu.Lock()
		events, asOf, changed := []storeChange{}, s.revision, s.changed
		first, _ := slices.BinarySearchFunc(s.history, after+1, func(c storeChange, rev uint64) int { return int(int64(c.revision) - int64(rev)) })
		for _, c := range s.history[first:] {
			if c.collection == collection {
				events = append(events, c)
			}
		}
		s.mu.Unlock()
		response := map[string]any{"events": events, "as_of": asOf}
		if len(events) > 0 {
			return http.StatusOK, response
		}
		select {
		case <-changed:
		case <-timeout.C:
			return http.StatusOK, response
		case <-ctx.Done():
			return http.StatusOK, response
		}
	}
}
