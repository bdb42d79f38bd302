package router_test

import (
	"context"
	"sync"
	"time"

	"pumiceshelf/objectstore"
)

// storeAccess is the access of one instance to the store.
type storeAccess struct {
	*memoryStore
	mu  sync.Mutex
	cut bool
	// silent is set while calls get no response and fail after their timeouts. silenceChange is closed when it changes.
	silent        bool
	silenceChange chan struct{}
	// calls counts the calls, listsAndWatches those for each collection as a whole.
	calls           int
	listsAndWatches map[string]int
}

const (
	// storeCallTimeout and storeWatchGrace are the timeouts of calls to a store that is silent. A watch fails later by the time
	// that it may wait.
	storeCallTimeout = time.Second
	storeWatchGrace  = 700 * time.Millisecond
)

// setSilent lets calls get no response from now on, watches that wait included, or ends that.
func (s *storeAccess) setSilent(silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = silent
	close(s.silenceChanged())
	s.silenceChange = nil
}

// silenceChanged returns a channel that is closed when the store falls silent or is no longer. The caller holds the mutex.
func (s *storeAccess) silenceChanged() chan struct{} {
	if s.silenceChange == nil {
		s.silenceChange = make(chan struct{})
	}
	return s.silenceChange
}

func (s *storeAccess) setCut(cut bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cut = cut
}

// begin counts a call. It fails at once while the store is cut off, and after the timeout while it is silent.
func (s *storeAccess) begin(ctx context.Context, timeout time.Duration) error {
	s.mu.Lock()
	s.calls++
	cut, silent := s.cut, s.silent
	s.mu.Unlock()
	if silent {
		pause(ctx, timeout)
	}
	if cut || silent {
		return objectstore.ErrUnavailable
	}
	return nil
}

// callCount returns the number of calls so far.
func (s *storeAccess) callCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// countCollection counts a call for a whole collection.
func (s *storeAccess) countCollection(collection string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listsAndWatches == nil {
		s.listsAndWatches = make(map[string]int)
	}
	s.listsAndWatches[collection]++
}

// collectionCalls returns the number of calls for a whole collection so far.
func (s *storeAccess) collectionCalls(collection string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.listsAndWatches[collection]
}

// isCut reports whether the store is cut off.
func (s *storeAccess) isCut() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cut
}

func (s *storeAccess) Get(ctx context.Context, key string) (objectstore.Object, error) {
	if err := s.begin(ctx, storeCallTimeout); err != nil {
		return objectstore.Object{}, err
	}
	return s.memoryStore.Get(ctx, key)
}

func (s *storeAccess) Put(ctx context.Context, key string, value []byte, expected objectstore.Version) (objectstore.Version, error) {
	if err := s.begin(ctx, storeCallTimeout); err != nil {
		return 0, err
	}
	return s.memoryStore.Put(ctx, key, value, expected)
}

func (s *storeAccess) Delete(ctx context.Context, key string, expected objectstore.Version) error {
	if err := s.begin(ctx, storeCallTimeout); err != nil {
		return err
	}
	return s.memoryStore.Delete(ctx, key, expected)
}

func (s *storeAccess) ListAllowStale(ctx context.Context, collection string) (objectstore.Listing, error) {
	s.countCollection(collection)
	if err := s.begin(ctx, storeCallTimeout); err != nil {
		return objectstore.Listing{}, err
	}
	return s.memoryStore.ListAllowStale(ctx, collection)
}

func (s *storeAccess) ListAll(ctx context.Context, collection string) (objectstore.Listing, error) {
	s.countCollection(collection)
	if err := s.begin(ctx, storeCallTimeout); err != nil {
		return objectstore.Listing{}, err
	}
	return s.memoryStore.ListAll(ctx, collection)
}

// WatchAll fails at the end if the store was cut off meanwhile, or fell silent.
func (s *storeAccess) WatchAll(ctx context.Context, collection string, after objectstore.Revision, wait time.Duration) (objectstore.Changes, error) {
	s.countCollection(collection)
	if err := s.begin(ctx, wait+storeWatchGrace); err != nil {
		return objectstore.Changes{}, err
	}
	s.mu.Lock()
	silence := s.silenceChanged()
	s.mu.Unlock()
	type result struct {
		changes objectstore.Changes
		err     error
	}
	begun, watch := time.Now(), make(chan result, 1)
	watchCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		c, err := s.memoryStore.WatchAll(watchCtx, collection, after, wait)
		watch <- result{c, err}
	}()
	select {
	case r := <-watch:
		if s.isCut() {
			return objectstore.Changes{}, objectstore.ErrUnavailable
		}
		return r.changes, r.err
	case <-silence:
		cancel()
		<-watch
		pause(ctx, time.Until(begun.Add(wait+storeWatchGrace)))
		return objectstore.Changes{}, objectstore.ErrUnavailable
	}
}
