package bundle

import (
	"context"
	"errors"
	"fmt"
	"strings"

	"golang.org/x/sync/errgroup"

	"pumiceshelf/api"
	"pumiceshelf/objectstore"
)

// writeTries bounds the attempts at one write.
const writeTries = 8

// ErrSuperseded means that the pointer does not name the bundle that the manifest replaces: another operator won.
// The error is a *Superseded.
var ErrSuperseded = errors.New("bundle: superseded")

// Superseded tells who won and what changed.
type Superseded struct {
	// Number of the bundle that was to be rolled, and of the one that it replaces.
	Number, Previous uint64
	// Current is the number of the bundle that the pointer names, and SignedBy the operators who signed it.
	Current  uint64
	SignedBy []string
	// Changes between the replaced bundle and the current one; empty when they could not be read.
	Changes []Change
}

// Error implements error.
func (s *Superseded) Error() string {
	text := fmt.Sprintf("bundle: superseded: bundle %d replaces bundle %d, but in force is bundle %d signed by %s",
		s.Number, s.Previous, s.Current, strings.Join(s.SignedBy, ", "))
	if len(s.Changes) == 0 {
		return text
	}
	lines := make([]string, len(s.Changes))
	for i, c := range s.Changes {
		lines[i] = c.String()
	}
	return text + "; it changed:\n" + strings.Join(lines, "\n")
}

// Is makes errors.Is(err, ErrSuperseded) hold.
func (s *Superseded) Is(target error) bool { return target == ErrSuperseded }

// Roll writes the parts that the platform lacks and the manifest, then moves the pointer to the manifest if it still
// names the bundle that the manifest replaces. Calling it again after any error is safe, also after one that leaves
// open whether the pointer moved.
func Roll(ctx context.Context, store objectstore.Store, signed *api.SignedManifest, parts [][]byte) error {
	m, err := decodeManifest(signed)
	if err != nil {
		return err
	}
	r := roll{store: store, signed: signed, manifest: m, parts: byHash(parts), parallel: parallel}
	return r.run(ctx)
}

type roll struct {
	store    objectstore.Store
	signed   *api.SignedManifest
	manifest *api.Manifest
	parts    map[Hash][]byte
	parallel int
}

func (r *roll) run(ctx context.Context) error {
	pointer, err := ReadPointer(ctx, r.store)
	if err != nil {
		return err
	}
	if done, err := r.settled(ctx, pointer); done || err != nil {
		return err
	}
	if err := r.writeParts(ctx, pointer); err != nil {
		return err
	}
	if err := r.create(ctx, manifestKey(HashOf(r.signed.Manifest)), encode(r.signed)); err != nil {
		return err
	}
	return r.movePointer(ctx, pointer)
}

// settled says whether the pointer names this bundle, now or before its successor, and gives *Superseded when the
// pointer names anything but the bundle that this one replaces.
func (r *roll) settled(ctx context.Context, p Pointer) (bool, error) {
	own := HashOf(r.signed.Manifest)
	if p.Version != 0 && p.Hash() == own {
		return true, nil
	}
	if p.Version != 0 && string(p.Manifest.PreviousHash) == string(own[:]) {
		return true, nil
	}
	if r.follows(p) {
		return false, nil
	}
	return false, r.superseded(ctx, p)
}

// follows says whether the manifest replaces the bundle that the pointer names.
func (r *roll) follows(p Pointer) bool {
	if r.manifest.Number <= p.Number() || r.manifest.Previous != p.Number() {
		return false
	}
	if p.Version == 0 {
		return len(r.manifest.PreviousHash) == 0
	}
	h := p.Hash()
	return string(r.manifest.PreviousHash) == string(h[:])
}

func (r *roll) superseded(ctx context.Context, p Pointer) error {
	out := &Superseded{Number: r.manifest.Number, Previous: r.manifest.Previous, Current: p.Number()}
	for _, s := range p.Signed.GetSignatures() {
		out.SignedBy = append(out.SignedBy, s.OperatorId)
	}
	out.Changes = r.changesSince(ctx, p)
	return out
}

// changesSince returns what changed between the bundle that this one replaces and the current one, or nothing when the
// platform cannot tell.
func (r *roll) changesSince(ctx context.Context, p Pointer) []Change {
	h, err := hashFrom(r.manifest.PreviousHash)
	if err != nil || p.Version == 0 {
		return nil
	}
	base, err := readManifest(ctx, r.store, h)
	if err != nil {
		return nil
	}
	m, err := decodeManifest(base)
	if err != nil {
		return nil
	}
	from, to, err := differing(ctx, storeFetcher{store: r.store, parallel: r.parallel}, m, p.Manifest)
	if err != nil {
		return nil
	}
	return Diff(from, to)
}

// writeParts writes the packs that the bundle in force does not have.
func (r *roll) writeParts(ctx context.Context, p Pointer) error {
	have := make(map[Hash]bool)
	for _, h := range pageHashes(p.Manifest) {
		have[h] = true
	}
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(r.parallel)
	for _, h := range pageHashes(r.manifest) {
		if have[h] {
			continue
		}
		pack, err := r.pack(h)
		if err != nil {
			return err
		}
		group.Go(func() error { return r.create(ctx, partKey(h), encode(pack)) })
	}
	return group.Wait()
}

// pageHashes returns the hashes of the parts that a manifest names itself.
func pageHashes(m *api.Manifest) []Hash {
	var out []Hash
	if h, err := hashFrom(m.GetFleetHash()); err == nil {
		out = append(out, h)
	}
	for _, list := range [][][]byte{m.GetEndpointPageHashes(), m.GetCustomerPageHashes()} {
		hashes, err := hashesFrom(list)
		if err == nil {
			out = append(out, hashes...)
		}
	}
	return out
}

func (r *roll) pack(h Hash) (*api.PartPack, error) {
	b, ok := r.parts[h]
	if !ok {
		return nil, fmt.Errorf("%w: %s", errPartsMissing, h)
	}
	part, err := (&content{parts: r.parts}).decode(h)
	if err != nil {
		return nil, err
	}
	pack := &api.PartPack{Part: b}
	hashes, err := hashesFrom(part.GetCustomers().GetCustomerHashes())
	if err != nil {
		return nil, err
	}
	for _, c := range hashes {
		customer, ok := r.parts[c]
		if !ok {
			return nil, fmt.Errorf("%w: %s", errPartsMissing, c)
		}
		pack.Customers = append(pack.Customers, customer)
	}
	return pack, nil
}

// create writes an object that is named by its content. One that exists already is written again: its new version keeps
// a sweep from removing it.
func (r *roll) create(ctx context.Context, key string, value []byte) error {
	var last error
	var version objectstore.Version
	for range writeTries {
		_, last = r.store.Put(ctx, key, value, version)
		if last == nil {
			return nil
		}
		if !errors.Is(last, objectstore.ErrAmbiguous) && !errors.Is(last, objectstore.ErrConflict) {
			break
		}
		obj, err := r.store.Get(ctx, key)
		if err != nil && !errors.Is(err, objectstore.ErrNotFound) {
			last = err
			break
		}
		version = obj.Version
	}
	return fmt.Errorf("bundle: write %s: %w", key, last)
}

// movePointer moves the pointer by conditional update. A lost answer or a conflict is resolved by reading it back.
func (r *roll) movePointer(ctx context.Context, p Pointer) error {
	value := encode(&api.BundlePointer{Number: r.manifest.Number, Signed: r.signed})
	var last error
	for range writeTries {
		_, err := r.store.Put(ctx, PointerKey, value, p.Version)
		if err == nil {
			return nil
		}
		last = err
		if !errors.Is(err, objectstore.ErrAmbiguous) && !errors.Is(err, objectstore.ErrConflict) {
			break
		}
		back, err := ReadPointer(ctx, r.store)
		if err != nil {
			last = err
			break
		}
		if done, err := r.settled(ctx, back); done || err != nil {
			return err
		}
		p = back
	}
	return fmt.Errorf("bundle: move pointer: %w", last)
}
