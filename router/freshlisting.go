package router

import (
	"context"
	"fmt"
	"slices"
	"sync"

	"pumiceshelf/objectstore"
)

// freshListing reads a collection for callers that need a listing which begins after their call. Callers that wait for the same one share
// it. It is safe for concurrent use.
type freshListing struct {
	list func(ctx context.Context) (objectstore.Listing, error)

	mu sync.Mutex
	// running is the read in progress, next the one that begins after it. They are nil if there is none.
	running, next *listingRead
}

// listingRead is one read of the collection.
type listingRead struct {
	done    chan struct{}
	listing objectstore.Listing
	err     error
}

// read returns a listing that begins after the call.
func (f *freshListing) read(ctx context.Context) (objectstore.Listing, error) {
	f.mu.Lock()
	if f.next == nil {
		f.next = &listingRead{done: make(chan struct{})}
		if f.running == nil {
			f.startLocked()
		}
	}
	r := f.next
	if r == nil {
		r = f.running
	}
	f.mu.Unlock()
	select {
	case <-r.done:
		return r.listing, r.err
	case <-ctx.Done():
		return objectstore.Listing{}, fmt.Errorf("router: fresh listing: %w", context.Cause(ctx))
	}
}

// startLocked begins the next read. The caller holds the mutex.
func (f *freshListing) startLocked() {
	r := f.next
	f.running, f.next = r, nil
	go func() {
		// Several callers wait for it, so it does not end with one of them. The store's client bounds its time.
		r.listing, r.err = f.list(context.Background())
		f.mu.Lock()
		defer f.mu.Unlock()
		close(r.done)
		f.running = nil
		if f.next != nil {
			f.startLocked()
		}
	}()
}

// confirmVersions returns the software versions of a service's endpoints that the store lists after the call.
func (r *Router) confirmVersions(ctx context.Context, service string) (versions []string, err error) {
	l, err := r.endpointListing.read(ctx)
	if err != nil {
		return nil, err
	}
	for _, obj := range l.Objects {
		// Invalid entries are logged when they are followed.
		if e, err := r.config.Decoder.Endpoint(obj); err == nil && e.Service == service && !slices.Contains(versions, e.SoftwareVersion) {
			versions = append(versions, e.SoftwareVersion)
		}
	}
	return versions, nil
}
