package bundle

import (
	"context"
	"slices"

	"golang.org/x/sync/errgroup"

	"pumiceshelf/api"
	"pumiceshelf/instance"
)

const (
	// announceFanout is the number of peers to which each instance announces a bundle.
	announceFanout = 4
	// announceQueue bounds the received announcements that wait to be handled.
	announceQueue = 16
)

// announcement is a manifest that a peer announced.
type announcement struct {
	signed *api.SignedManifest
	from   instance.Incarnation
}

// handleAnnouncements handles the announcements of peers until ctx ends.
func (h *Holder) handleAnnouncements(ctx context.Context) {
	for {
		select {
		case a := <-h.announcements:
			h.handleAnnouncement(ctx, a)
		case <-ctx.Done():
			return
		}
	}
}

func (h *Holder) handleAnnouncement(ctx context.Context, a announcement) {
	if h.Current() == nil && !h.isDomainMember(a.from) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	from, err := h.peerSource(ctx, a.from)
	if err != nil {
		return
	}
	if err := h.apply(ctx, a.signed, fallbackSource{from, h.storeSource()}, true); err != nil {
		h.cfg.Log.Debugf("bundle: bundle announced by %s not applied: %v", a.from.Name(), err)
	}
}

// isDomainMember reports whether an incarnation is a known instance of this instance's domain. An instance accepts its
// first bundle without confirmation only from these.
func (h *Holder) isDomainMember(i instance.Incarnation) bool {
	for _, m := range h.cfg.View.Members() {
		if m.Instance.Incarnation == string(i) {
			return h.sameDomain(m.Instance)
		}
	}
	return false
}

// sendAnnouncements announces each activated bundle to the peers of the domain until ctx ends. The domain's instances
// form a tree by rank: each one announces to its children, and one that got the bundle from outside the domain also
// announces to the root.
func (h *Holder) sendAnnouncements(ctx context.Context) {
	for {
		select {
		case <-h.announceSignal:
			h.announce(ctx)
		case <-ctx.Done():
			return
		}
	}
}

func (h *Holder) announce(ctx context.Context) {
	current := h.active.Load()
	ranked := h.cfg.View.Ranked(rankTopic)
	self := slices.IndexFunc(ranked, func(i *api.Instance) bool { return i.Incarnation == h.cfg.Self.Incarnation })
	a := announcer{holder: h, ranked: ranked, request: &api.AnnounceRequest{Signed: current.signed, From: h.cfg.Self.Incarnation}}
	a.group.SetLimit(2 * announceFanout)
	if self > 0 && !current.fromDomainPeer {
		a.group.Go(func() error { a.announceTo(ctx, 0); return nil })
	}
	if self >= 0 {
		a.announceToChildren(ctx, self)
	}
	_ = a.group.Wait()
}

// announcer announces one bundle.
type announcer struct {
	holder  *Holder
	ranked  []*api.Instance
	request *api.AnnounceRequest
	group   errgroup.Group
}

// childRanks returns the ranks of the instances to which the instance with the given rank announces.
func childRanks(rank, count int) []int {
	var out []int
	for i := rank*announceFanout + 1; i <= rank*announceFanout+announceFanout && i < count; i++ {
		out = append(out, i)
	}
	return out
}

func (a *announcer) announceToChildren(ctx context.Context, rank int) {
	for _, i := range childRanks(rank, len(a.ranked)) {
		a.group.Go(func() error { a.announceTo(ctx, i); return nil })
	}
}

// announceTo announces the bundle to the instance with the given rank. If that fails, it announces to its children
// directly.
func (a *announcer) announceTo(ctx context.Context, rank int) {
	if a.ranked[rank].Incarnation == a.holder.cfg.Self.Incarnation {
		return
	}
	if err := a.send(ctx, a.ranked[rank].Incarnation); err == nil {
		return
	}
	descAnnounceFailed.Counter(a.holder.cfg.Metrics).Inc(1)
	for _, i := range childRanks(rank, len(a.ranked)) {
		a.announceTo(ctx, i)
	}
}

func (a *announcer) send(ctx context.Context, to string) error {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	conn, err := a.holder.cfg.Conns.Conn(ctx, instance.Incarnation(to))
	if err != nil {
		return err
	}
	descAnnounced.Counter(a.holder.cfg.Metrics).Inc(1)
	descSentBytes.Counter(a.holder.cfg.Metrics).Inc(int64(len(a.request.Signed.Manifest)))
	_, err = api.NewDRPCBundlePeerClient(conn).Announce(ctx, a.request)
	return err
}
