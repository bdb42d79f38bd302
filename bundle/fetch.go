package bundle

import (
	"context"
	"errors"
	"fmt"
	"time"

	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	"pumiceshelf/api"
	"pumiceshelf/objectstore"
)

const (
	// maxParallelCalls bounds the concurrent calls of one fetch or roll to the object store.
	maxParallelCalls = 8
	// packTimeout bounds the read of one pack, including the wait for the instance's own limit on calls per second.
	packTimeout = 3 * time.Second
)

// partRef references a part and the pack that contains it. A pack is an object in the object store: the fleet part or a
// page, together with the customer parts that the page references. Its hash is that of the fleet part or page.
type partRef struct {
	hash Hash
	pack Hash
}

// fetcher fetches parts by hash. It may return more or fewer parts than requested.
type fetcher interface {
	fetch(ctx context.Context, refs []partRef) (map[Hash][]byte, error)
}

// errPartsMissing means that a source does not have all requested parts.
var errPartsMissing = errors.New("bundle: parts missing")

// storeFetcher reads packs from the object store.
type storeFetcher struct {
	store    objectstore.Store
	parallel int
}

func (f storeFetcher) fetch(ctx context.Context, refs []partRef) (map[Hash][]byte, error) {
	packs := packHashes(refs)
	found := make([]*api.PartPack, len(packs))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(f.parallel)
	for i, h := range packs {
		group.Go(func() (err error) {
			found[i], err = readPack(ctx, f.store, h)
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	return unpackParts(found), nil
}

func packHashes(refs []partRef) []Hash {
	seen := make(map[Hash]bool)
	var out []Hash
	for _, ref := range refs {
		if !seen[ref.pack] {
			seen[ref.pack] = true
			out = append(out, ref.pack)
		}
	}
	return out
}

func readPack(ctx context.Context, store objectstore.Store, h Hash) (*api.PartPack, error) {
	ctx, cancel := context.WithTimeout(ctx, packTimeout)
	defer cancel()
	obj, err := store.Get(ctx, partKey(h))
	if err != nil {
		return nil, fmt.Errorf("bundle: read part %s: %w", h, err)
	}
	pack := &api.PartPack{}
	if err := proto.Unmarshal(obj.Value, pack); err != nil {
		return nil, fmt.Errorf("%w: part %s: %w", ErrMalformed, h, err)
	}
	return pack, nil
}

func unpackParts(packs []*api.PartPack) map[Hash][]byte {
	out := make(map[Hash][]byte)
	for _, p := range packs {
		out[HashOf(p.Part)] = p.Part
		for _, c := range p.Customers {
			out[HashOf(c)] = c
		}
	}
	return out
}

// localFetcher returns parts that are in memory and requests the others from fallback, if there is one.
type localFetcher struct {
	parts    map[Hash][]byte
	fallback fetcher
}

func (f localFetcher) fetch(ctx context.Context, refs []partRef) (map[Hash][]byte, error) {
	out := make(map[Hash][]byte, len(refs))
	var missing []partRef
	for _, ref := range refs {
		if b, ok := f.parts[ref.hash]; ok {
			out[ref.hash] = b
		} else {
			missing = append(missing, ref)
		}
	}
	if len(missing) == 0 {
		return out, nil
	}
	if f.fallback == nil {
		return out, fmt.Errorf("%w: %d of %d", errPartsMissing, len(missing), len(refs))
	}
	more, err := f.fallback.fetch(ctx, missing)
	for h, b := range more {
		out[h] = b
	}
	return out, err
}

// indexByHash indexes encoded parts by their hashes.
func indexByHash(parts [][]byte) map[Hash][]byte {
	out := make(map[Hash][]byte, len(parts))
	for _, b := range parts {
		out[HashOf(b)] = b
	}
	return out
}
