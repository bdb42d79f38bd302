package bundle

import (
	"context"

	"google.golang.org/protobuf/proto"

	"pumiceshelf/api"
	"pumiceshelf/instance"
)

const (
	// maxRequestParts bounds the parts that a peer may request at once.
	maxRequestParts = 8192
	// maxResponsePartsBytes bounds the total size of the parts in one response, unless the first part alone is larger.
	maxResponsePartsBytes = 1 << 20
)

// server implements api.DRPCBundlePeerServer.
type server struct{ holder *Holder }

// Announce implements api.DRPCBundlePeerServer.
func (s *server) Announce(_ context.Context, r *api.AnnounceRequest) (*api.AnnounceResponse, error) {
	h := s.holder
	if r.Signed != nil {
		descReceivedBytes.Counter(h.cfg.Metrics).Inc(int64(len(r.Signed.Manifest)))
		select {
		case h.announcements <- announcement{signed: r.Signed, from: instance.Incarnation(r.From)}:
		default:
			descAnnounceDropped.Counter(h.cfg.Metrics).Inc(1)
		}
	}
	return &api.AnnounceResponse{Number: h.Number()}, nil
}

// Current implements api.DRPCBundlePeerServer.
func (s *server) Current(ctx context.Context, r *api.CurrentRequest) (*api.CurrentResponse, error) {
	h := s.holder
	confirmed := false
	if r.Confirm {
		confirmed = h.confirm(ctx)
	}
	current := h.active.Load()
	response := &api.CurrentResponse{Signed: current.signed, Chain: chainAfter(current.chain, r.TrustedHash), Confirmed: confirmed}
	descSentBytes.Counter(h.cfg.Metrics).Inc(int64(proto.Size(response)))
	return response, nil
}

// confirm reads the pointer, applies the bundle that it names and reports whether the active bundle is then at least as
// new.
func (h *Holder) confirm(ctx context.Context) bool {
	pointer, err := h.fetchPointer(ctx)
	if err != nil {
		return false
	}
	_ = h.applyPointer(ctx, pointer)
	return pointer.Version != 0 && h.Number() >= pointer.Number()
}

// chainAfter returns the links after the one with the trusted hash, or all links if none has it.
func chainAfter(chain []*api.SignedManifest, trusted []byte) []*api.SignedManifest {
	for i, link := range chain {
		if h := HashOf(link.Manifest); string(h[:]) == string(trusted) {
			return chain[i+1:]
		}
	}
	return chain
}

// Parts implements api.DRPCBundlePeerServer.
func (s *server) Parts(_ context.Context, r *api.PartsRequest) (*api.PartsResponse, error) {
	content := s.holder.active.Load().contentOrNil()
	response := &api.PartsResponse{}
	if content == nil || len(r.Hashes) > maxRequestParts {
		return response, nil
	}
	size := 0
	for _, b := range r.Hashes {
		h, err := parseHash(b)
		if err != nil {
			continue
		}
		part, ok := content.parts[h]
		if !ok {
			continue
		}
		if len(response.Parts) > 0 && size+len(part) > maxResponsePartsBytes {
			break
		}
		size += len(part)
		response.Parts = append(response.Parts, part)
	}
	descSentBytes.Counter(s.holder.cfg.Metrics).Inc(int64(size))
	return response, nil
}
