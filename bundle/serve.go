package bundle

import (
	"context"

	"google.golang.org/protobuf/proto"

	"pumiceshelf/api"
	"pumiceshelf/instance"
)

const (
	// partsRequestLimit bounds the parts that a peer may ask for at once.
	partsRequestLimit = 8192
	// partsResponseBytes bounds the parts in one answer, in bytes, unless the first part alone is larger.
	partsResponseBytes = 1 << 20
)

// server answers peers.
type server struct{ holder *Holder }

// Announce implements the BundlePeer service.
func (s *server) Announce(_ context.Context, r *api.AnnounceRequest) (*api.AnnounceResponse, error) {
	h := s.holder
	if r.Signed != nil {
		metricReceived.Counter(h.cfg.Metrics).Inc(int64(len(r.Signed.Manifest)))
		select {
		case h.announced <- announcement{signed: r.Signed, from: instance.Incarnation(r.From)}:
		default:
			metricAnnounceDrop.Counter(h.cfg.Metrics).Inc(1)
		}
	}
	return &api.AnnounceResponse{Number: h.Number()}, nil
}

// Current implements the BundlePeer service.
func (s *server) Current(ctx context.Context, r *api.CurrentRequest) (*api.CurrentResponse, error) {
	h := s.holder
	confirmed := false
	if r.Confirm {
		confirmed = h.confirm(ctx)
	}
	now := h.force.Load()
	response := &api.CurrentResponse{Signed: now.signed, Chain: chainAfter(now.chain, r.TrustedHash), Confirmed: confirmed}
	metricSentBytes.Counter(h.cfg.Metrics).Inc(int64(proto.Size(response)))
	return response, nil
}

// confirm reads the pointer and says whether no newer bundle than the one then in force is named by it.
func (h *Holder) confirm(ctx context.Context) bool {
	pointer, err := h.askPlatform(ctx)
	if err != nil {
		return false
	}
	_ = h.takePointer(ctx, pointer)
	return pointer.Version != 0 && h.Number() >= pointer.Number()
}

// chainAfter returns the links after the one with the hash, all of them if it is not among them.
func chainAfter(chain []*api.SignedManifest, trusted []byte) []*api.SignedManifest {
	for i, link := range chain {
		if h := HashOf(link.Manifest); string(h[:]) == string(trusted) {
			return chain[i+1:]
		}
	}
	return chain
}

// Parts implements the BundlePeer service.
func (s *server) Parts(_ context.Context, r *api.PartsRequest) (*api.PartsResponse, error) {
	content := s.holder.force.Load().contentOrNil()
	response := &api.PartsResponse{}
	if content == nil || len(r.Hashes) > partsRequestLimit {
		return response, nil
	}
	size := 0
	for _, b := range r.Hashes {
		h, err := hashFrom(b)
		if err != nil {
			continue
		}
		part, ok := content.parts[h]
		if !ok {
			continue
		}
		if len(response.Parts) > 0 && size+len(part) > partsResponseBytes {
			break
		}
		size += len(part)
		response.Parts = append(response.Parts, part)
	}
	metricSentBytes.Counter(s.holder.cfg.Metrics).Inc(int64(size))
	return response, nil
}
