// Package objectstore is the client of the platform's object API and instance list.
//
// The object API stores named values with versions. Updates are conditional on the current version of the object. The
// response to a write may be lost after the write took effect: such a call returns ErrAmbiguous, and the caller must read
// the object to find out.
package objectstore

import (
	"context"
	"errors"

	"pumiceshelf/api"
)

// Version is the version of an object. It increases with every update and is never reused, also when the store comes back
// from a copy; see Era. Zero means that the object does not exist.
type Version uint64

// MaxValueBytes is the maximum size of an object's value.
const MaxValueBytes = 1 << 20

// Object is a named value at a version.
type Object struct {
	Key     string
	Version Version
	Value   []byte
}

var (
	// ErrNotFound means that the object does not exist.
	ErrNotFound = errors.New("objectstore: object not found")
	// ErrConflict means that the current version of the object is not the expected one. Nothing was written.
	ErrConflict = errors.New("objectstore: version conflict")
	// ErrUnavailable means that the platform was unreachable or rejected the call. Nothing was written.
	ErrUnavailable = errors.New("objectstore: unavailable")
	// ErrAmbiguous means that a write may or may not have taken effect. The caller must read the object to find out.
	ErrAmbiguous = errors.New("objectstore: write outcome unknown, it may have taken effect")
	// ErrThrottled means that this instance's own rate limit did not permit the call before the context ended. Nothing was
	// sent.
	ErrThrottled = errors.New("objectstore: own call limit reached")
	// ErrUnchanged means that a watch ended without a newer version.
	ErrUnchanged = errors.New("objectstore: no newer version")
	// ErrTooLarge means that the value is larger than MaxValueBytes. Nothing was written.
	ErrTooLarge = errors.New("objectstore: value too large")
	// ErrMalformed means that a response of the platform does not follow its protocol.
	ErrMalformed = errors.New("objectstore: malformed response")
)

// Store is the object API. Implementations are safe for concurrent use.
type Store interface {
	// Get returns the object, or ErrNotFound.
	Get(ctx context.Context, key string) (Object, error)
	// List returns up to limit objects whose keys start with prefix and are greater than after, sorted by key.
	List(ctx context.Context, prefix, after string, limit int) ([]Object, error)
	// Put writes the value if the object is at the expected version and returns the new version. An expected version of
	// zero means that the object must not exist.
	Put(ctx context.Context, key string, value []byte, expected Version) (Version, error)
	// Delete removes the object if it is at the expected version.
	Delete(ctx context.Context, key string, expected Version) error
	// Watch waits for a version greater than after and returns the object. It returns ErrUnchanged when the platform's
	// time limit for watches is reached.
	Watch(ctx context.Context, key string, after Version) (Object, error)
}

// InstanceLister returns the platform's list of live and draining instances and endpoints. The list may be stale.
type InstanceLister interface {
	Instances(ctx context.Context) (*api.InstanceList, error)
}
