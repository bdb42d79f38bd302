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
	// sweepKey is the key of the object in which a sweep stores its candidates for the next one.
	sweepKey = "bundle/sweep"
	// sweepListLimit bounds the objects that one list call returns.
	sweepListLimit = 64
	// maxSweepCandidates bounds the candidates that one sweep marks, so that they fit one object.
	maxSweepCandidates = 8000
)

// SweepResult is the result of a sweep.
type SweepResult struct {
	// Removed counts the removed objects, and Marked those marked as candidates for the next sweep.
	Removed, Marked int
}

// Sweep removes parts and manifests that none of the last keep bundles references; keep is at least one. It works in two
// steps: an object is removed if an earlier sweep marked it at the same version and the pointer has moved since. An
// operator who wrote the object before it was marked and has not rolled the bundle yet can then no longer roll it, because
// it does not replace the new current bundle. An operator who needs the object later writes it again, which changes its
// version.
func Sweep(ctx context.Context, store objectstore.Store, keep int) (SweepResult, error) {
	s := sweeper{store: store, keep: max(keep, 1)}
	marked, sweepVersion, err := s.readCandidates(ctx)
	if err != nil {
		return SweepResult{}, err
	}
	found, err := s.listObjects(ctx)
	if err != nil {
		return SweepResult{}, err
	}
	// The pointer is read after the list. A bundle that is not rolled yet but whose objects are listed was thus prepared to
	// replace the bundle that the pointer names or an earlier one, and cannot be rolled once the pointer moves.
	pointer, err := ReadPointer(ctx, store)
	if err != nil || pointer.Version == 0 {
		return SweepResult{}, err
	}
	referenced, err := s.referencedKeys(ctx, pointer)
	if err != nil {
		return SweepResult{}, err
	}
	return s.remove(ctx, unreferenced(found, referenced), marked, sweepVersion, pointer.Number())
}

type sweeper struct {
	store objectstore.Store
	keep  int
}

func (s *sweeper) readCandidates(ctx context.Context) (*api.BundleSweep, objectstore.Version, error) {
	marked := &api.BundleSweep{}
	obj, err := s.store.Get(ctx, sweepKey)
	if errors.Is(err, objectstore.ErrNotFound) {
		return marked, 0, nil
	}
	if err != nil {
		return nil, 0, fmt.Errorf("bundle: sweep: %w", err)
	}
	if err := proto.Unmarshal(obj.Value, marked); err != nil {
		return nil, 0, fmt.Errorf("%w: sweep: %w", ErrMalformed, err)
	}
	return marked, obj.Version, nil
}

// listObjects returns the versions of all parts and manifests by key.
func (s *sweeper) listObjects(ctx context.Context) (map[string]objectstore.Version, error) {
	found := make(map[string]objectstore.Version)
	for _, prefix := range []string{partPrefix, manifestPrefix} {
		after := ""
		for {
			page, err := s.store.List(ctx, prefix, after, sweepListLimit)
			if err != nil {
				return nil, fmt.Errorf("bundle: sweep: %w", err)
			}
			for _, obj := range page {
				found[obj.Key] = obj.Version
				after = obj.Key
			}
			if len(page) < sweepListLimit {
				break
			}
		}
	}
	return found, nil
}

// referencedKeys returns the keys that the last bundles reference. It always includes the manifests that changed the
// operators.
func (s *sweeper) referencedKeys(ctx context.Context, pointer Pointer) (map[string]bool, error) {
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
		if signed, err = s.readPrevious(ctx, m.PreviousHash); err != nil {
			return nil, err
		}
	}
	return out, s.addApproverChain(ctx, pointer.Manifest, out)
}

// readPrevious returns a manifest by its hash, nil if the hash is empty or an earlier sweep removed the manifest.
func (s *sweeper) readPrevious(ctx context.Context, hash []byte) (*api.SignedManifest, error) {
	if len(hash) == 0 {
		return nil, nil
	}
	h, err := parseHash(hash)
	if err != nil {
		return nil, err
	}
	signed, err := readManifest(ctx, s.store, h)
	if errors.Is(err, objectstore.ErrNotFound) {
		return nil, nil
	}
	return signed, err
}

// addApproverChain adds the keys of the manifests whose operators approved the manifest and its approvers, back to the
// first one.
func (s *sweeper) addApproverChain(ctx context.Context, m *api.Manifest, out map[string]bool) error {
	for len(m.ApproversHash) > 0 {
		h, err := parseHash(m.ApproversHash)
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

func unreferenced(found map[string]objectstore.Version, referenced map[string]bool) map[string]objectstore.Version {
	for key := range referenced {
		delete(found, key)
	}
	return found
}

// remove removes the candidates that were marked before the pointer last moved, and marks the others. sweepVersion is the
// version of the object that holds the marks, and pointerNumber the number of the bundle that the pointer names.
func (s *sweeper) remove(
	ctx context.Context, candidates map[string]objectstore.Version, marked *api.BundleSweep, sweepVersion objectstore.Version, pointerNumber uint64,
) (SweepResult, error) {
	var out SweepResult
	if pointerNumber > marked.PointerNumber {
		for _, c := range marked.Candidates {
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
	next := &api.BundleSweep{PointerNumber: pointerNumber}
	for key, v := range candidates {
		if len(next.Candidates) < maxSweepCandidates {
			next.Candidates = append(next.Candidates, &api.SweepCandidate{Key: key, Version: uint64(v)})
		}
	}
	out.Marked = len(next.Candidates)
	if _, err := s.store.Put(ctx, sweepKey, encode(next), sweepVersion); err != nil {
		return out, fmt.Errorf("bundle: sweep: %w", err)
	}
	return out, nil
}
