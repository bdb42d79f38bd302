package bundle

import (
	"context"
	"errors"
	"fmt"

	"google.golang.org/protobuf/proto"

	"pumiceshelf/api"
	"pumiceshelf/objectstore"
)

const (
	// sweepKey is the platform object that a sweep leaves for the next.
	sweepKey = "bundle/sweep"
	// sweepPage is how many objects one list call returns at most.
	sweepPage = 64
	// sweepLimit bounds the candidates that one sweep notes, so that they fit one object.
	sweepLimit = 8000
)

// Swept is the result of a sweep.
type Swept struct {
	// Removed objects, and those noted for the next sweep.
	Removed, Noted int
}

// Sweep removes parts and manifests that none of the last keep bundles names, one or more, in two steps: an object is
// removed once an earlier sweep noted it at the same version and the pointer has moved since. Whoever wrote the object
// before it was noted, for a bundle not rolled by then, can no longer roll that; whoever needs it later writes it again.
func Sweep(ctx context.Context, store objectstore.Store, keep int) (Swept, error) {
	s := sweep{store: store, keep: max(keep, 1)}
	before, version, err := s.readNotes(ctx)
	if err != nil {
		return Swept{}, err
	}
	found, err := s.list(ctx)
	if err != nil {
		return Swept{}, err
	}
	// The pointer is read after the list: a bundle whose objects are on the list replaces this one or an earlier one.
	pointer, err := ReadPointer(ctx, store)
	if err != nil || pointer.Version == 0 {
		return Swept{}, err
	}
	named, err := s.named(ctx, pointer)
	if err != nil {
		return Swept{}, err
	}
	return s.remove(ctx, notNamed(found, named), before, version, pointer.Number())
}

type sweep struct {
	store objectstore.Store
	keep  int
}

func (s *sweep) readNotes(ctx context.Context) (*api.BundleSweep, objectstore.Version, error) {
	notes := &api.BundleSweep{}
	obj, err := s.store.Get(ctx, sweepKey)
	if errors.Is(err, objectstore.ErrNotFound) {
		return notes, 0, nil
	}
	if err != nil {
		return nil, 0, fmt.Errorf("bundle: sweep: %w", err)
	}
	if err := proto.Unmarshal(obj.Value, notes); err != nil {
		return nil, 0, fmt.Errorf("%w: sweep: %w", ErrMalformed, err)
	}
	return notes, obj.Version, nil
}

// list returns the versions of all parts and manifests by key.
func (s *sweep) list(ctx context.Context) (map[string]objectstore.Version, error) {
	found := make(map[string]objectstore.Version)
	for _, prefix := range []string{partPrefix, manifestPrefix} {
		after := ""
		for {
			page, err := s.store.List(ctx, prefix, after, sweepPage)
			if err != nil {
				return nil, fmt.Errorf("bundle: sweep: %w", err)
			}
			for _, obj := range page {
				found[obj.Key] = obj.Version
				after = obj.Key
			}
			if len(page) < sweepPage {
				break
			}
		}
	}
	return found, nil
}

// named returns the keys that the last bundles name. Manifests at which operators changed are named for good.
func (s *sweep) named(ctx context.Context, pointer Pointer) (map[string]bool, error) {
	out := make(map[string]bool)
	signed := pointer.Signed
	for kept := 0; kept < s.keep && signed != nil; kept++ {
		m, err := decodeManifest(signed)
		if err != nil {
			return nil, err
		}
		out[manifestKey(HashOf(signed.Manifest))] = true
		for _, h := range pageHashes(m) {
			out[partKey(h)] = true
		}
		if signed, err = s.previous(ctx, m.PreviousHash); err != nil {
			return nil, err
		}
	}
	return out, s.nameChain(ctx, pointer.Manifest, out)
}

// previous returns a manifest by its hash, nil when there is none or an earlier sweep removed it.
func (s *sweep) previous(ctx context.Context, hash []byte) (*api.SignedManifest, error) {
	if len(hash) == 0 {
		return nil, nil
	}
	h, err := hashFrom(hash)
	if err != nil {
		return nil, err
	}
	signed, err := readManifest(ctx, s.store, h)
	if errors.Is(err, objectstore.ErrNotFound) {
		return nil, nil
	}
	return signed, err
}

// nameChain names the manifests whose operators approved, back to the first.
func (s *sweep) nameChain(ctx context.Context, m *api.Manifest, out map[string]bool) error {
	for len(m.ApproversHash) > 0 {
		h, err := hashFrom(m.ApproversHash)
		if err != nil {
			return err
		}
		out[manifestKey(h)] = true
		signed, err := readManifest(ctx, s.store, h)
		if err != nil {
			return err
		}
		if m, err = decodeManifest(signed); err != nil {
			return err
		}
	}
	return nil
}

func notNamed(found map[string]objectstore.Version, named map[string]bool) map[string]objectstore.Version {
	for key := range named {
		delete(found, key)
	}
	return found
}

// remove removes the candidates that were noted before the pointer last moved, and notes the others.
func (s *sweep) remove(
	ctx context.Context, candidates map[string]objectstore.Version, before *api.BundleSweep, version objectstore.Version, number uint64,
) (Swept, error) {
	var out Swept
	if number > before.PointerNumber {
		for _, c := range before.Candidates {
			if v, ok := candidates[c.Key]; !ok || v != objectstore.Version(c.Version) {
				continue
			}
			err := s.store.Delete(ctx, c.Key, objectstore.Version(c.Version))
			switch {
			case err == nil:
				out.Removed++
			case !errors.Is(err, objectstore.ErrConflict) && !errors.Is(err, objectstore.ErrNotFound):
				return out, fmt.Errorf("bundle: sweep: %w", err)
			}
			delete(candidates, c.Key)
		}
	}
	notes := &api.BundleSweep{PointerNumber: number}
	for key, v := range candidates {
		if len(notes.Candidates) < sweepLimit {
			notes.Candidates = append(notes.Candidates, &api.SweepCandidate{Key: key, Version: uint64(v)})
		}
	}
	out.Noted = len(notes.Candidates)
	if _, err := s.store.Put(ctx, sweepKey, encode(notes), version); err != nil {
		return out, fmt.Errorf("bundle: sweep: %w", err)
	}
	return out, nil
}
