// Package objectstore is the edge to the platform's object API and instance list.
//
// The object API keeps named values with versions. Updates are conditional on
// the version read before. An answer may be lost after the write took effect:
// such a call returns ErrAmbiguous and the caller reads the object back.
package objectstore

import (
	"context"
	"errors"

	"pumiceshelf/api"
)

// Version of an object. It grows with every update of the object and is never used twice. Zero means absent.
type Version uint64

// ValueLimit is the largest value of an object in bytes.
const ValueLimit = 1 << 20

// Object is a named value at a version.
type Object struct {
	Key     string
	Version Version
	Value   []byte
}

var (
	// ErrNotFound means that the object does not exist.
	ErrNotFound = errors.New("objectstore: object not found")
	// ErrConflict means that the object is not at the version that the update expected. Nothing was written.
	ErrConflict = errors.New("objectstore: version conflict")
	// ErrUnavailable means that the platform could not be reached or refused. Nothing was written.
	ErrUnavailable = errors.New("objectstore: unavailable")
	// ErrAmbiguous means that a write may or may not have taken effect. Read the object back.
	ErrAmbiguous = errors.New("objectstore: answer lost, write may have taken effect")
	// ErrThrottled means that this instance's own limit of calls left no room before the context ended. Nothing was sent.
	ErrThrottled = errors.New("objectstore: own call limit reached")
	// ErrUnchanged means that a watch ended with no newer version.
	ErrUnchanged = errors.New("objectstore: no newer version")
	// ErrTooLarge means that the value is over ValueLimit. Nothing was sent.
	ErrTooLarge = errors.New("objectstore: value over the limit")
	// ErrMalformed means that the platform answered something that is not its protocol.
	ErrMalformed = errors.New("objectstore: malformed answer")
)

// Store is the object API. Implementations are safe for concurrent use.
type Store interface {
	// Get returns the object, or ErrNotFound.
	Get(ctx context.Context, key string) (Object, error)
	// List returns up to limit objects whose keys start with prefix and are greater than after, in order of keys.
	List(ctx context.Context, prefix, after string, limit int) ([]Object, error)
	// Put writes the value if the object is at the expected version, zero for one that must not exist yet.
	// It returns the new version.
	Put(ctx context.Context, key string, value []byte, expected Version) (Version, error)
	// Delete removes the object if it is at the expected version.
	Delete(ctx context.Context, key string, expected Version) error
	// Watch waits for a version greater than after and returns the object, or ErrUnchanged at the platform's own time limit.
	Watch(ctx context.Context, key string, after Version) (Object, error)
}

// InstanceLister returns the platform's list of live and leaving instances and endpoints. The list lags.
type InstanceLister interface {
	Instances(ctx context.Context) (*api.InstanceList, error)
}
