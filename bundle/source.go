package bundle

import (
	"context"
	"errors"
	"fmt"

	"github.com/rcrowley/go-metrics"

	"pumiceshelf/api"
	"pumiceshelf/objectstore"
)

// source provides the parts of a bundle and the manifests of its operator chain.
type source interface {
	fetcher
	manifest(ctx context.Context, h Hash) (*api.SignedManifest, error)
}

// storeSource is a source that reads from the object store.
type storeSource struct {
	storeFetcher
	metrics metrics.Registry
}

func newStoreSource(store objectstore.Store, r metrics.Registry) storeSource {
	return storeSource{storeFetcher: storeFetcher{store: store, parallel: maxParallelCalls}, metrics: r}
}

func (s storeSource) fetch(ctx context.Context, refs []partRef) (map[Hash][]byte, error) {
	found, err := s.storeFetcher.fetch(ctx, refs)
	descPartsFromStore.Counter(s.metrics).Inc(int64(len(found)))
	descReceivedBytes.Counter(s.metrics).Inc(totalBytes(found))
	return found, err
}

func (s storeSource) manifest(ctx context.Context, h Hash) (*api.SignedManifest, error) {
	return readManifest(ctx, s.store, h)
}

func totalBytes(parts map[Hash][]byte) int64 {
	var n int64
	for _, b := range parts {
		n += int64(len(b))
	}
	return n
}

// peerSource is a source that queries one peer.
type peerSource struct {
	client api.DRPCBundlePeerClient
	// trusted is the hash of the manifest that names the operators whom this instance trusts, zero for those of the settings.
	trusted Hash
	metrics metrics.Registry
	// chain holds the later manifests that changed the operators, by hash. It is nil before the peer's first response.
	chain map[Hash]*api.SignedManifest
}

// current requests the peer's active manifest and stores the operator chain that leads to it.
func (s *peerSource) current(ctx context.Context, confirm bool) (*api.CurrentResponse, error) {
	request := &api.CurrentRequest{Confirm: confirm}
	if s.trusted != (Hash{}) {
		request.TrustedHash = s.trusted[:]
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	response, err := s.client.Current(ctx, request)
	if err != nil {
		return nil, fmt.Errorf("bundle: request current manifest from peer: %w", err)
	}
	s.chain = make(map[Hash]*api.SignedManifest)
	for _, link := range response.Chain {
		s.chain[HashOf(link.Manifest)] = link
	}
	descReceivedBytes.Counter(s.metrics).Inc(int64(len(encode(response))))
	return response, nil
}

func (s *peerSource) manifest(ctx context.Context, h Hash) (*api.SignedManifest, error) {
	if s.chain == nil {
		if _, err := s.current(ctx, false); err != nil {
			return nil, err
		}
	}
	if link := s.chain[h]; link != nil {
		return link, nil
	}
	return nil, fmt.Errorf("%w: peer does not have manifest %s", errPartsMissing, h)
}

// fetch requests the parts repeatedly until it has all of them or the peer returns no new ones, because the size of a
// response is limited.
func (s *peerSource) fetch(ctx context.Context, refs []partRef) (map[Hash][]byte, error) {
	found := make(map[Hash][]byte, len(refs))
	for {
		request := &api.PartsRequest{}
		for _, ref := range refs {
			if _, ok := found[ref.hash]; !ok {
				request.Hashes = append(request.Hashes, ref.hash[:])
			}
		}
		if len(request.Hashes) == 0 {
			return found, nil
		}
		response, err := s.parts(ctx, request)
		if err != nil {
			return found, fmt.Errorf("bundle: request parts from peer: %w", err)
		}
		before := len(found)
		s.addParts(found, response)
		if len(found) == before {
			return found, errPartsMissing
		}
	}
}

func (s *peerSource) parts(ctx context.Context, request *api.PartsRequest) (*api.PartsResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	return s.client.Parts(ctx, request)
}

func (s *peerSource) addParts(found map[Hash][]byte, response *api.PartsResponse) {
	for _, b := range response.Parts {
		found[HashOf(b)] = b
		descReceivedBytes.Counter(s.metrics).Inc(int64(len(b)))
	}
	descPartsFromPeer.Counter(s.metrics).Inc(int64(len(response.Parts)))
}

// fallbackSource queries the first source, and the second for anything that the first does not provide.
type fallbackSource struct{ first, second source }

func (s fallbackSource) fetch(ctx context.Context, refs []partRef) (map[Hash][]byte, error) {
	found, err := s.first.fetch(ctx, refs)
	if err == nil {
		return found, nil
	}
	return localFetcher{parts: found, fallback: s.second}.fetch(ctx, refs)
}

func (s fallbackSource) manifest(ctx context.Context, h Hash) (*api.SignedManifest, error) {
	found, err := s.first.manifest(ctx, h)
	if err == nil {
		return found, nil
	}
	found, secondErr := s.second.manifest(ctx, h)
	if secondErr != nil {
		return nil, errors.Join(err, secondErr)
	}
	return found, nil
}
