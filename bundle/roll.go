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

// maxWriteAttempts bounds the attempts of one write.
const maxWriteAttempts = 8

// ErrSuperseded means that the pointer does not name the bundle that the manifest replaces, because another operator
// moved it first. The error is a *SupersededError.
var ErrSuperseded = errors.New("bundle: superseded")

// SupersededError describes the bundle that was rolled first, who signed it and what it changed.
type SupersededError struct {
	// Number is the number of the bundle to be rolled, and Previous that of the bundle it replaces.
	Number, Previous uint64
	// Current is the number of the bundle that the pointer names, and SignedBy the operators who signed it.
	Current  uint64
	SignedBy []string
	// Changes between the replaced bundle and the current one, empty if they could not be read.
	Changes []Change
}

// Error implements error.
func (s *SupersededError) Error() string {
	text := fmt.Sprintf("bundle: superseded: bundle %d replaces bundle %d, but the active bundle is %d, signed by %s",
		s.Number, s.Previous, s.Current, strings.Join(s.SignedBy, ", "))
	if len(s.Changes) == 0 {
		return text
	}
	lines := make([]string, len(s.Changes))
	for i, c := range s.Changes {
		lines[i] = c.String()
	}
	return text + "; changes:\n" + strings.Join(lines, "\n")
}

// Is reports whether target is ErrSuperseded, for errors.Is.
func (s *SupersededError) Is(target error) bool { return target == ErrSuperseded }

// Roll writes the manifest and the parts that the previous bundle does not have, then moves the pointer to the manifest
// if it still names the bundle that the manifest replaces. Calling it again is safe after any error, including one that
// leaves unknown whether the pointer moved.
func Roll(ctx context.Context, store objectstore.Store, signed *api.SignedManifest, parts [][]byte) error {
	m, err := decodeManifest(signed)
	if err != nil {
		return err
	}
	r := rollout{store: store, signed: signed, manifest: m, parts: indexByHash(parts), parallel: maxParallelCalls}
	return r.run(ctx)
}

type rollout struct {
	store    objectstore.Store
	signed   *api.SignedManifest
	manifest *api.Manifest
	parts    map[Hash][]byte
	parallel int
}

func (r *rollout) run(ctx context.Context) error {
	pointer, err := ReadPointer(ctx, r.store)
	if err != nil {
		return err
	}
	if done, err := r.isRolled(ctx, pointer); done || err != nil {
		return err
	}
	if err := r.writeParts(ctx, pointer); err != nil {
		return err
	}
	if err := r.writeObject(ctx, manifestKey(HashOf(r.signed.Manifest)), encode(r.signed)); err != nil {
		return err
	}
	return r.movePointer(ctx, pointer)
}

// isRolled reports whether the pointer names this bundle or its direct successor. Otherwise it returns a
// *SupersededError, unless the pointer names the bundle that this one replaces.
func (r *rollout) isRolled(ctx context.Context, p Pointer) (bool, error) {
	ownHash := HashOf(r.signed.Manifest)
	if p.Version != 0 && p.Hash() == ownHash {
		return true, nil
	}
	if p.Version != 0 && string(p.Manifest.PreviousHash) == string(ownHash[:]) {
		return true, nil
	}
	if r.replacesCurrent(p) {
		return false, nil
	}
	return false, r.newSupersededError(ctx, p)
}

// replacesCurrent reports whether the manifest replaces the bundle that the pointer names.
func (r *rollout) replacesCurrent(p Pointer) bool {
	if r.manifest.Number <= p.Number() || r.manifest.Previous != p.Number() {
		return false
	}
	if p.Version == 0 {
		return len(r.manifest.PreviousHash) == 0
	}
	h := p.Hash()
	return string(r.manifest.PreviousHash) == string(h[:])
}

func (r *rollout) newSupersededError(ctx context.Context, p Pointer) error {
	out := &SupersededError{Number: r.manifest.Number, Previous: r.manifest.Previous, Current: p.Number()}
	for _, s := range p.Signed.GetSignatures() {
		out.SignedBy = append(out.SignedBy, s.OperatorId)
	}
	out.Changes = r.changesSince(ctx, p)
	return out
}

// changesSince returns the changes between the bundle that this one replaces and the current one, or nil if they cannot
// be read from the object store.
func (r *rollout) changesSince(ctx context.Context, p Pointer) []Change {
	h, err := parseHash(r.manifest.PreviousHash)
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
	from, to, err := loadChangedPages(ctx, storeFetcher{store: r.store, parallel: r.parallel}, m, p.Manifest)
	if err != nil {
		return nil
	}
	return Diff(from, to)
}

// writeParts writes the packs that the bundle named by the pointer does not have.
func (r *rollout) writeParts(ctx context.Context, p Pointer) error {
	existing := make(map[Hash]bool)
	for _, h := range pageHashes(p.Manifest) {
		existing[h] = true
	}
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(r.parallel)
	for _, h := range pageHashes(r.manifest) {
		if existing[h] {
			continue
		}
		pack, err := r.buildPack(h)
		if err != nil {
			return err
		}
		group.Go(func() error { return r.writeObject(ctx, partKey(h), encode(pack)) })
	}
	return group.Wait()
}

// pageHashes returns the hashes of the parts that a manifest references directly.
func pageHashes(m *api.Manifest) []Hash {
	var out []Hash
	if h, err := parseHash(m.GetFleetHash()); err == nil {
		out = append(out, h)
	}
	for _, list := range [][][]byte{m.GetEndpointPageHashes(), m.GetCustomerPageHashes()} {
		hashes, err := parseHashes(list)
		if err == nil {
			out = append(out, hashes...)
		}
	}
	return out
}

func (r *rollout) buildPack(h Hash) (*api.PartPack, error) {
	b, ok := r.parts[h]
	if !ok {
		return nil, fmt.Errorf("%w: %s", errPartsMissing, h)
	}
	part, err := (&content{parts: r.parts}).decode(h)
	if err != nil {
		return nil, err
	}
	pack := &api.PartPack{Part: b}
	hashes, err := parseHashes(part.GetCustomers().GetCustomerHashes())
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

// writeObject writes an object whose key is derived from its content. An existing object is written again, because its
// new version prevents a sweep from removing it.
func (r *rollout) writeObject(ctx context.Context, key string, value []byte) error {
	var lastErr error
	var version objectstore.Version
	for range maxWriteAttempts {
		_, lastErr = r.store.Put(ctx, key, value, version)
		if lastErr == nil {
			return nil
		}
		if !errors.Is(lastErr, objectstore.ErrAmbiguous) && !errors.Is(lastErr, objectstore.ErrConflict) {
			break
		}
		obj, err := r.store.Get(ctx, key)
		if err != nil && !errors.Is(err, objectstore.ErrNotFound) {
			lastErr = err
			break
		}
		version = obj.Version
	}
	return fmt.Errorf("bundle: write %s: %w", key, lastErr)
}

// movePointer moves the pointer by a conditional update. It resolves an ambiguous outcome or a conflict by reading the
// pointer back.
func (r *rollout) movePointer(ctx context.Context, p Pointer) error {
	value := encode(&api.BundlePointer{Number: r.manifest.Number, Signed: r.signed})
	var lastErr error
	for range maxWriteAttempts {
		_, err := r.store.Put(ctx, PointerKey, value, p.Version)
		if err == nil {
			return nil
		}
		lastErr = err
		if !errors.Is(err, objectstore.ErrAmbiguous) && !errors.Is(err, objectstore.ErrConflict) {
			break
		}
		reread, err := ReadPointer(ctx, r.store)
		if err != nil {
			lastErr = err
			break
		}
		if done, err := r.isRolled(ctx, reread); done || err != nil {
			return err
		}
		p = reread
	}
	return fmt.Errorf("bundle: move pointer: %w", lastErr)
}
