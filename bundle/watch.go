package bundle

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"pumiceshelf/api"
	"pumiceshelf/instance"
	"pumiceshelf/objectstore"
	"pumiceshelf/peer"
)

const (
	// topic ranks the instances of a domain for bundles.
	topic = "bundle"
	// compareInterval is the time between comparisons of bundle numbers with peers.
	compareInterval = 500 * time.Millisecond
	// startInterval is the time between tries of an instance without a bundle.
	startInterval = 500 * time.Millisecond
	// retryInterval is the mean time between tries of the platform when it fails.
	retryInterval = time.Second
	// peerTimeout bounds one question to a peer.
	peerTimeout = time.Second
	// fetchTimeout bounds the fetch of one bundle.
	fetchTimeout = 30 * time.Second
	// pointerTimeout bounds one read of the pointer.
	pointerTimeout = time.Second
	// watchTimeout bounds one watch. The pointer is then read, so that a connection that went silent is found soon.
	watchTimeout = 2500 * time.Millisecond
)

// wait returns after d or when ctx ends; it says whether ctx goes on.
func (h *Holder) wait(ctx context.Context, d time.Duration) bool {
	timer := h.cfg.Clock.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.Chan():
		return true
	case <-ctx.Done():
		return false
	}
}

// jitter spreads a time evenly between a half and one and a half of it.
func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d)
}

// watch waits for the pointer to change while this instance is the one of its domain that watches.
func (h *Holder) watch(ctx context.Context) {
	var seen objectstore.Version
	for ctx.Err() == nil {
		if !h.isWatcher() {
			h.wait(ctx, compareInterval)
			continue
		}
		version, err := h.watchOnce(ctx, seen)
		if err != nil {
			h.wait(ctx, jitter(retryInterval))
			continue
		}
		seen = version
	}
}

// watchOnce waits for one change and returns the version seen. An error means that it is to be seen again.
func (h *Holder) watchOnce(ctx context.Context, seen objectstore.Version) (objectstore.Version, error) {
	watchCtx, cancel := context.WithTimeout(ctx, h.watchFor)
	defer cancel()
	obj, err := h.cfg.Store.Watch(watchCtx, PointerKey, seen)
	switch {
	case err == nil:
		return h.takeObject(ctx, obj, seen)
	case errors.Is(err, objectstore.ErrUnchanged):
		h.platformDown.Store(false)
		return seen, nil
	case watchCtx.Err() != nil:
		return h.readBehindWatch(ctx, seen)
	}
	h.platformFailed()
	return seen, err
}

func (h *Holder) takeObject(ctx context.Context, obj objectstore.Object, seen objectstore.Version) (objectstore.Version, error) {
	h.platformDown.Store(false)
	pointer, err := decodePointer(obj)
	if err != nil {
		metricMalformed.Counter(h.cfg.Metrics).Inc(1)
		return seen, err
	}
	return obj.Version, h.takePointer(ctx, pointer)
}

// readBehindWatch reads the pointer after a watch that brought nothing.
func (h *Holder) readBehindWatch(ctx context.Context, seen objectstore.Version) (objectstore.Version, error) {
	pointer, err := h.askPlatform(ctx)
	if err != nil {
		return seen, err
	}
	if pointer.Version > seen {
		metricWatchSilent.Counter(h.cfg.Metrics).Inc(1)
	}
	return pointer.Version, h.takePointer(ctx, pointer)
}

func (h *Holder) platformFailed() {
	h.platformDown.Store(true)
	metricPlatformDown.Counter(h.cfg.Metrics).Inc(1)
}

// isWatcher says whether this instance is the first of its domain, by rank, that reaches the platform.
func (h *Holder) isWatcher() bool {
	self := h.cfg.Self.Incarnation
	ranked := h.cfg.View.Ranked(topic)
	reachable := make(map[string]bool)
	for _, m := range h.cfg.View.Members() {
		reachable[m.Instance.Incarnation] = m.PlatformReachable
	}
	reachable[self] = !h.platformDown.Load()
	for _, i := range ranked {
		if reachable[i.Incarnation] {
			return i.Incarnation == self
		}
	}
	return len(ranked) == 0 || ranked[0].Incarnation == self
}

// takePointer offers what the pointer names, with its parts from the platform.
func (h *Holder) takePointer(ctx context.Context, p Pointer) error {
	if p.Version == 0 {
		return nil
	}
	metricReceived.Counter(h.cfg.Metrics).Inc(int64(len(p.Signed.Manifest)))
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	return h.offer(ctx, p.Signed, h.storeSource(), false)
}

func (h *Holder) storeSource() source { return newStoreSource(h.cfg.Store, h.cfg.Metrics) }

// poll reads the pointer now and then, behind the watch.
func (h *Holder) poll(ctx context.Context) {
	for h.wait(ctx, jitter(h.cfg.Settings.PollInterval.AsDuration())) {
		_ = h.readPointer(ctx)
	}
}

// readPointer reads the pointer and takes what it names. The error is counted and reported where it arises.
func (h *Holder) readPointer(ctx context.Context) error {
	pointer, err := h.askPlatform(ctx)
	if err != nil {
		return err
	}
	return h.takePointer(ctx, pointer)
}

func (h *Holder) askPlatform(ctx context.Context) (Pointer, error) {
	ctx, cancel := context.WithTimeout(ctx, pointerTimeout)
	defer cancel()
	pointer, err := ReadPointer(ctx, h.cfg.Store)
	if err != nil {
		h.platformFailed()
		return Pointer{}, err
	}
	h.platformDown.Store(false)
	return pointer, nil
}

// start brings in the first bundle: from the platform, else from a peer.
func (h *Holder) start(ctx context.Context) {
	for h.Current() == nil {
		if err := h.readPointer(ctx); err != nil && h.Current() == nil {
			h.startFromPeers(ctx)
		}
		if h.Current() != nil || !h.wait(ctx, jitter(startInterval)) {
			return
		}
	}
}

// startFromPeers takes the newest bundle of the peers of the own domain. If none of them has one, it takes one from
// another domain, provided that the peer has just compared it with the platform: this instance's domain may have had a
// newer one before all of it restarted.
func (h *Holder) startFromPeers(ctx context.Context) {
	var others []peer.Member
	for _, m := range h.cfg.View.Members() {
		if !m.Live || m.Instance.Incarnation == h.cfg.Self.Incarnation {
			continue
		}
		if m.Instance.Domain != h.cfg.Self.Domain {
			others = append(others, m)
			continue
		}
		h.pullLogged(ctx, m, false)
	}
	if h.Current() != nil {
		return
	}
	for _, m := range others {
		h.pullLogged(ctx, m, true)
	}
}

func (h *Holder) pullLogged(ctx context.Context, m peer.Member, confirm bool) {
	if err := h.pull(ctx, m, confirm); err != nil {
		h.cfg.Log.Debugf("bundle: no bundle from %s: %v", m.Instance.Name, err)
	}
}

// pull asks a peer for its bundle and offers it. With confirm the peer must first compare it with the platform.
func (h *Holder) pull(ctx context.Context, m peer.Member, confirm bool) error {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	from, err := h.peerSource(ctx, instance.Incarnation(m.Instance.Incarnation))
	if err != nil {
		return err
	}
	response, err := from.current(ctx, confirm)
	if err != nil {
		return err
	}
	if response.Signed == nil {
		return nil
	}
	if confirm && !response.Confirmed {
		metricUnconfirmed.Counter(h.cfg.Metrics).Inc(1)
		return nil
	}
	return h.offer(ctx, response.Signed, eitherSource{from, h.storeSource()}, h.sameDomain(m.Instance))
}

func (h *Holder) sameDomain(i *api.Instance) bool { return i.Domain == h.cfg.Self.Domain }

func (h *Holder) peerSource(ctx context.Context, i instance.Incarnation) (*peerSource, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	conn, err := h.cfg.Conns.Conn(ctx, i)
	if err != nil {
		return nil, err
	}
	return &peerSource{
		client:  api.NewDRPCBundlePeerClient(conn),
		trusted: h.force.Load().trust.hash,
		metrics: h.cfg.Metrics,
	}, nil
}
