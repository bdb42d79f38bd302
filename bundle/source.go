package bundle

import (
	"context"
	"errors"
	"fmt"

	"github.com/rcrowley/go-metrics"

	"pumiceshelf/api"
	"pumiceshelf/objectstore"
)

// source brings the parts of a bundle and the manifests that lead to it.
type source interface {
	fetcher
	manifest(ctx context.Context, h Hash) (*api.SignedManifest, error)
}

// storeSource is the platform as a source.
type storeSource struct {
	storeFetcher
	metrics metrics.Registry
}

func newStoreSource(store objectstore.Store, r metrics.Registry) storeSource {
	return storeSource{storeFetcher: storeFetcher{store: store, parallel: parallel}, metrics: r}
}

func (s storeSource) fetch(ctx context.Context, wants []want) (map[Hash][]byte, error) {
	found, err := s.storeFetcher.fetch(ctx, wants)
	metricFromPlatform.Counter(s.metrics).Inc(int64(len(found)))
	metricReceived.Counter(s.metrics).Inc(totalBytes(found))
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

// peerSource is one peer as a source.
type peerSource struct {
	client  api.DRPCBundlePeerClient
	trusted Hash
	metrics metrics.Registry
	chain   map[Hash]*api.SignedManifest
}

// current asks the peer for its newest manifest and keeps the chain that leads to it.
func (s *peerSource) current(ctx context.Context, confirm bool) (*api.CurrentResponse, error) {
	request := &api.CurrentRequest{Confirm: confirm}
	if s.trusted != (Hash{}) {
		request.TrustedHash = s.trusted[:]
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	response, err := s.client.Current(ctx, request)
	if err != nil {
		return nil, fmt.Errorf("bundle: ask peer: %w", err)
	}
	s.chain = make(map[Hash]*api.SignedManifest)
	for _, link := range response.Chain {
		s.chain[HashOf(link.Manifest)] = link
	}
	metricReceived.Counter(s.metrics).Inc(int64(len(encode(response))))
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
	return nil, fmt.Errorf("%w: peer lacks manifest %s", errPartsMissing, h)
}

// fetch asks for the parts until the peer has no more of them; one answer may hold a part of them only.
func (s *peerSource) fetch(ctx context.Context, wants []want) (map[Hash][]byte, error) {
	found := make(map[Hash][]byte, len(wants))
	for {
		request := &api.PartsRequest{}
		for _, w := range wants {
			if _, ok := found[w.hash]; !ok {
				request.Hashes = append(request.Hashes, w.hash[:])
			}
		}
		if len(request.Hashes) == 0 {
			return found, nil
		}
		response, err := s.parts(ctx, request)
		if err != nil {
			return found, fmt.Errorf("bundle: ask peer for parts: %w", err)
		}
		before := len(found)
		s.add(found, response)
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

func (s *peerSource) add(found map[Hash][]byte, response *api.PartsResponse) {
	for _, b := range response.Parts {
		found[HashOf(b)] = b
		metricReceived.Counter(s.metrics).Inc(int64(len(b)))
	}
	metricFromPeer.Counter(s.metrics).Inc(int64(len(response.Parts)))
}

// eitherSource asks the first source and, for what that lacks, the second.
type eitherSource struct{ first, second source }

func (s eitherSource) fetch(ctx context.Context, wants []want) (map[Hash][]byte, error) {
	found, err := s.first.fetch(ctx, wants)
	if err == nil {
		return found, nil
	}
	return localFetcher{parts: found, rest: s.second}.fetch(ctx, wants)
}

func (s eitherSource) manifest(ctx context.Context, h Hash) (*api.SignedManifest, error) {
	found, err := s.first.manifest(ctx, h)
	if err == nil {
		return found, nil
	}
	found, second := s.second.manifest(ctx, h)
	if second != nil {
		return nil, errors.Join(err, second)
	}
	return found, nil
}
