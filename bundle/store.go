package bundle

import (
	"context"
	"errors"
	"fmt"

	"google.golang.org/protobuf/proto"

	"pumiceshelf/api"
	"pumiceshelf/objectstore"
)

// PointerKey is the key of the pointer, the object that names the current bundle.
const PointerKey = "bundle/current"

const (
	partPrefix     = "bundle/parts/"
	manifestPrefix = "bundle/manifests/"
)

func partKey(h Hash) string     { return partPrefix + h.String() }
func manifestKey(h Hash) string { return manifestPrefix + h.String() }

// Pointer is the pointer object as read from the object store.
type Pointer struct {
	// Version of the object, zero if no bundle was rolled yet.
	Version objectstore.Version
	// Signed is the current manifest, nil if no bundle was rolled yet. Its signatures are not verified.
	Signed *api.SignedManifest
	// Manifest is the decoded form of Signed.
	Manifest *api.Manifest
}

// ReadPointer reads the pointer object. It returns an empty pointer if no bundle was rolled yet.
func ReadPointer(ctx context.Context, store objectstore.Store) (Pointer, error) {
	obj, err := store.Get(ctx, PointerKey)
	if errors.Is(err, objectstore.ErrNotFound) {
		return Pointer{}, nil
	}
	if err != nil {
		return Pointer{}, fmt.Errorf("bundle: read pointer: %w", err)
	}
	return decodePointer(obj)
}

func decodePointer(obj objectstore.Object) (Pointer, error) {
	p := &api.BundlePointer{}
	if err := proto.Unmarshal(obj.Value, p); err != nil {
		return Pointer{}, fmt.Errorf("%w: pointer: %w", ErrMalformed, err)
	}
	m, err := decodeManifest(p.Signed)
	if err != nil {
		return Pointer{}, err
	}
	return Pointer{Version: obj.Version, Signed: p.Signed, Manifest: m}, nil
}

// Number returns the number of the bundle that the pointer names, zero if there is none.
func (p Pointer) Number() uint64 { return p.Manifest.GetNumber() }

// Hash returns the hash of the manifest that the pointer names.
func (p Pointer) Hash() Hash { return HashOf(p.Signed.GetManifest()) }

func readManifest(ctx context.Context, store objectstore.Store, h Hash) (*api.SignedManifest, error) {
	obj, err := store.Get(ctx, manifestKey(h))
	if err != nil {
		return nil, fmt.Errorf("bundle: read manifest %s: %w", h, err)
	}
	signed := &api.SignedManifest{}
	if err := proto.Unmarshal(obj.Value, signed); err != nil {
		return nil, fmt.Errorf("%w: manifest %s: %w", ErrMalformed, h, err)
	}
	if HashOf(signed.Manifest) != h {
		return nil, fmt.Errorf("%w: manifest %s does not match its hash", ErrMalformed, h)
	}
	return signed, nil
}

// ReadApprovers reads the manifest whose operators approved the bundle that the pointer names. It returns nil if the
// operators of the settings approved it or there is no bundle.
func ReadApprovers(ctx context.Context, store objectstore.Store, p Pointer) (*api.Manifest, error) {
	if p.Version == 0 || len(p.Manifest.ApproversHash) == 0 {
		return nil, nil
	}
	h, err := parseHash(p.Manifest.ApproversHash)
	if err != nil {
		return nil, err
	}
	signed, err := readManifest(ctx, store, h)
	if err != nil {
		return nil, err
	}
	return decodeManifest(signed)
}
