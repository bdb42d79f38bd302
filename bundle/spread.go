package bundle

import (
	"context"
	"slices"

	"golang.org/x/sync/errgroup"

	"pumiceshelf/api"
	"pumiceshelf/instance"
)

const (
	// announceFanout is how many peers each instance tells of a bundle.
	announceFanout = 4
	// announceQueue bounds announcements received that wait.
	announceQueue = 16
)

// announcement is what a peer told.
type announcement struct {
	signed *api.SignedManifest
	from   instance.Incarnation
}

// listen takes what peers announce.
func (h *Holder) listen(ctx context.Context) {
	for {
		select {
		case a := <-h.announced:
			h.take(ctx, a)
		case <-ctx.Done():
			return
		}
	}
}

func (h *Holder) take(ctx context.Context, a announcement) {
	if h.Current() == nil && !h.ownDomain(a.from) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	from, err := h.peerSource(ctx, a.from)
	if err != nil {
		return
	}
	if err := h.offer(ctx, a.signed, eitherSource{from, h.storeSource()}, true); err != nil {
		h.cfg.Log.Debugf("bundle: announced by %s, not taken: %v", a.from.Name(), err)
	}
}

// ownDomain says whether an incarnation is a known instance of the own domain. The first bundle of an instance is taken
// unconfirmed from those alone.
func (h *Holder) ownDomain(i instance.Incarnation) bool {
	for _, m := range h.cfg.View.Members() {
		if m.Instance.Incarnation == string(i) {
			return h.sameDomain(m.Instance)
		}
	}
	return false
}

// spread tells the peers of the domain of each bundle put in force. The domain's instances form a tree by rank: each
// tells a few below it, and one that got the bundle from outside the domain also tells the root.
func (h *Holder) spread(ctx context.Context) {
	for {
		select {
		case <-h.tell:
			h.announce(ctx)
		case <-ctx.Done():
			return
		}
	}
}

func (h *Holder) announce(ctx context.Context) {
	now := h.force.Load()
	ranked := h.cfg.View.Ranked(topic)
	self := slices.IndexFunc(ranked, func(i *api.Instance) bool { return i.Incarnation == h.cfg.Self.Incarnation })
	t := teller{holder: h, ranked: ranked, request: &api.AnnounceRequest{Signed: now.signed, From: h.cfg.Self.Incarnation}}
	t.group.SetLimit(2 * announceFanout)
	if self > 0 && !now.fromPeer {
		t.group.Go(func() error { t.tell(ctx, 0); return nil })
	}
	if self >= 0 {
		t.tellBelow(ctx, self)
	}
	_ = t.group.Wait()
}

// teller tells one bundle.
type teller struct {
	holder  *Holder
	ranked  []*api.Instance
	request *api.AnnounceRequest
	group   errgroup.Group
}

// below returns the ranks that the instance of a rank tells.
func below(rank, count int) []int {
	var out []int
	for i := rank*announceFanout + 1; i <= rank*announceFanout+announceFanout && i < count; i++ {
		out = append(out, i)
	}
	return out
}

func (t *teller) tellBelow(ctx context.Context, rank int) {
	for _, i := range below(rank, len(t.ranked)) {
		t.group.Go(func() error { t.tell(ctx, i); return nil })
	}
}

// tell tells the instance of a rank. Those below one that does not answer are told directly.
func (t *teller) tell(ctx context.Context, rank int) {
	if t.ranked[rank].Incarnation == t.holder.cfg.Self.Incarnation {
		return
	}
	if err := t.send(ctx, t.ranked[rank].Incarnation); err == nil {
		return
	}
	metricAnnounceFail.Counter(t.holder.cfg.Metrics).Inc(1)
	for _, i := range below(rank, len(t.ranked)) {
		t.tell(ctx, i)
	}
}

func (t *teller) send(ctx context.Context, to string) error {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	conn, err := t.holder.cfg.Conns.Conn(ctx, instance.Incarnation(to))
	if err != nil {
		return err
	}
	metricAnnounced.Counter(t.holder.cfg.Metrics).Inc(1)
	metricSentBytes.Counter(t.holder.cfg.Metrics).Inc(int64(len(t.request.Signed.Manifest)))
	_, err = api.NewDRPCBundlePeerClient(conn).Announce(ctx, t.request)
	return err
}
