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
	// parallel bounds the calls to the platform that one fetch or roll has open at once.
	parallel = 8
	// packTimeout bounds the read of one pack, the wait for the instance's own limit of calls included.
	packTimeout = 3 * time.Second
)

// want is a part to fetch. Pack names the platform object that holds it.
type want struct {
	hash Hash
	pack Hash
}

// fetcher brings parts by their hashes. It may bring more or fewer than asked for.
type fetcher interface {
	fetch(ctx context.Context, wants []want) (map[Hash][]byte, error)
}

// errPartsMissing means that a source has fewer parts than it should.
var errPartsMissing = errors.New("bundle: parts missing")

// storeFetcher reads packs from the platform.
type storeFetcher struct {
	store    objectstore.Store
	parallel int
}

func (f storeFetcher) fetch(ctx context.Context, wants []want) (map[Hash][]byte, error) {
	packs := packsOf(wants)
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
	return unpack(found), nil
}

func packsOf(wants []want) []Hash {
	seen := make(map[Hash]bool)
	var out []Hash
	for _, w := range wants {
		if !seen[w.pack] {
			seen[w.pack] = true
			out = append(out, w.pack)
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

func unpack(packs []*api.PartPack) map[Hash][]byte {
	out := make(map[Hash][]byte)
	for _, p := range packs {
		out[HashOf(p.Part)] = p.Part
		for _, c := range p.Customers {
			out[HashOf(c)] = c
		}
	}
	return out
}

// localFetcher serves parts that are at hand and asks another fetcher for the rest.
type localFetcher struct {
	parts map[Hash][]byte
	rest  fetcher
}

func (f localFetcher) fetch(ctx context.Context, wants []want) (map[Hash][]byte, error) {
	out := make(map[Hash][]byte, len(wants))
	var missing []want
	for _, w := range wants {
		if b, ok := f.parts[w.hash]; ok {
			out[w.hash] = b
		} else {
			missing = append(missing, w)
		}
	}
	if len(missing) == 0 {
		return out, nil
	}
	if f.rest == nil {
		return out, fmt.Errorf("%w: %d of %d", errPartsMissing, len(missing), len(wants))
	}
	more, err := f.rest.fetch(ctx, missing)
	for h, b := range more {
		out[h] = b
	}
	return out, err
}

// byHash indexes encoded parts.
func byHash(parts [][]byte) map[Hash][]byte {
	out := make(map[Hash][]byte, len(parts))
	for _, b := range parts {
		out[HashOf(b)] = b
	}
	return out
}
