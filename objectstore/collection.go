package objectstore

import (
	"context"
	"errors"
	"time"
)

// Revision counts all changes of the store. It never goes back.
type Revision uint64

// ErrHistoryGone means that the store has forgotten the changes since the revision of a watch. List the collection again.
var ErrHistoryGone = errors.New("objectstore: history of the watch is gone")

// Listing is a whole collection as of a revision.
type Listing struct {
	Objects  []Object
	Revision Revision
}

// Event is a change of one object of a collection.
type Event struct {
	Object Object
	// Deleted means that the object no longer exists; its value is the last one or empty.
	Deleted bool
}

// Changes are the events of a collection up to a revision.
type Changes struct {
	Events   []Event
	Revision Revision
}

// Collections is the part of the object API that follows whole collections, as needed for service discovery and
// configuration. Implementations are safe for concurrent use.
type Collections interface {
	// ListAll returns the whole collection.
	ListAll(ctx context.Context, collection string) (Listing, error)
	// ListRecent returns the whole collection as it was up to some seconds ago. It costs the store less than ListAll.
	ListRecent(ctx context.Context, collection string) (Listing, error)
	// WatchAll waits up to the given time for changes after a revision. No change in that time is no error.
	// It returns ErrHistoryGone when the changes since the revision are no longer known.
	WatchAll(ctx context.Context, collection string, after Revision, wait time.Duration) (Changes, error)
}

// ConflictError is an ErrConflict that carries the object as it is.
type ConflictError struct{ Current Object }

// Error implements error.
func (e *ConflictError) Error() string { return ErrConflict.Error() }

// Unwrap makes the error an ErrConflict.
func (e *ConflictError) Unwrap() error { return ErrConflict }
