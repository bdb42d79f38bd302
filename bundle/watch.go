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
	// rankTopic is the topic by which the instances of a domain are ranked.
	rankTopic = "bundle"
	// compareInterval is the time between comparisons of bundle numbers with peers.
	compareInterval = 500 * time.Millisecond
	// firstBundleInterval is the mean time between attempts to get the first bundle.
	firstBundleInterval = 500 * time.Millisecond
	// retryInterval is the mean delay before a failed watch of the object store is repeated.
	retryInterval = time.Second
	// peerTimeout bounds one request to a peer.
	peerTimeout = time.Second
	// fetchTimeout bounds the fetch of one bundle.
	fetchTimeout = 30 * time.Second
	// pointerTimeout bounds one read of the pointer.
	pointerTimeout = time.Second
	// defaultWatchTimeout bounds one watch. The pointer is read after it, so that a stalled connection is detected soon.
	defaultWatchTimeout = 2500 * time.Millisecond
)

// sleep waits for d or until ctx ends. It returns false if ctx ended first.
func (h *Holder) sleep(ctx context.Context, d time.Duration) bool {
	timer := h.cfg.Clock.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.Chan():
		return true
	case <-ctx.Done():
		return false
	}
}

// jitter returns a random duration, uniformly distributed between 0.5 and 1.5 times d.
func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d)
}

// watch watches the pointer for changes while this instance is the watcher of its domain.
func (h *Holder) watch(ctx context.Context) {
	var seen objectstore.Version
	for ctx.Err() == nil {
		if !h.isWatcher() {
			h.sleep(ctx, compareInterval)
			continue
		}
		version, err := h.watchOnce(ctx, seen)
		if err != nil {
			h.sleep(ctx, jitter(retryInterval))
			continue
		}
		seen = version
	}
}

// watchOnce waits for one change and returns the version seen. After an error the caller must keep the previous version,
// so that the change is handled again.
func (h *Holder) watchOnce(ctx context.Context, seen objectstore.Version) (objectstore.Version, error) {
	watchCtx, cancel := context.WithTimeout(ctx, h.watchTimeout)
	defer cancel()
	obj, err := h.cfg.Store.Watch(watchCtx, PointerKey, seen)
	switch {
	case err == nil:
		return h.applyObject(ctx, obj, seen)
	case errors.Is(err, objectstore.ErrUnchanged):
		h.storeUnavailable.Store(false)
		return seen, nil
	case watchCtx.Err() != nil:
		return h.readAfterWatch(ctx, seen)
	}
	h.recordStoreFailure()
	return seen, err
}

func (h *Holder) applyObject(ctx context.Context, obj objectstore.Object, seen objectstore.Version) (objectstore.Version, error) {
	h.storeUnavailable.Store(false)
	pointer, err := decodePointer(obj)
	if err != nil {
		descMalformed.Counter(h.cfg.Metrics).Inc(1)
		return seen, err
	}
	return obj.Version, h.applyPointer(ctx, pointer)
}

// readAfterWatch reads the pointer after a watch that timed out without a result.
func (h *Holder) readAfterWatch(ctx context.Context, seen objectstore.Version) (objectstore.Version, error) {
	pointer, err := h.fetchPointer(ctx)
	if err != nil {
		return seen, err
	}
	if pointer.Version > seen {
		descWatchMissed.Counter(h.cfg.Metrics).Inc(1)
	}
	return pointer.Version, h.applyPointer(ctx, pointer)
}

func (h *Holder) recordStoreFailure() {
	h.storeUnavailable.Store(true)
	descStoreFailed.Counter(h.cfg.Metrics).Inc(1)
}

// isWatcher reports whether this instance has the first rank among those of its domain that can reach the object store.
// If none can, the instance with the first rank is the watcher.
func (h *Holder) isWatcher() bool {
	self := h.cfg.Self.Incarnation
	ranked := h.cfg.View.Ranked(rankTopic)
	reachable := make(map[string]bool)
	for _, m := range h.cfg.View.Members() {
		reachable[m.Instance.Incarnation] = m.PlatformReachable
	}
	reachable[self] = !h.storeUnavailable.Load()
	for _, i := range ranked {
		if reachable[i.Incarnation] {
			return i.Incarnation == self
		}
	}
	return len(ranked) == 0 || ranked[0].Incarnation == self
}

// applyPointer applies the manifest that the pointer names and reads its parts from the object store.
func (h *Holder) applyPointer(ctx context.Context, p Pointer) error {
	if p.Version == 0 {
		return nil
	}
	descReceivedBytes.Counter(h.cfg.Metrics).Inc(int64(len(p.Signed.Manifest)))
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	return h.apply(ctx, p.Signed, h.storeSource(), false)
}

func (h *Holder) storeSource() source { return newStoreSource(h.cfg.Store, h.cfg.Metrics) }

// poll reads the pointer periodically, in addition to the watch.
func (h *Holder) poll(ctx context.Context) {
	for h.sleep(ctx, jitter(h.cfg.Settings.PollInterval.AsDuration())) {
		_ = h.refresh(ctx)
	}
}

// refresh reads the pointer and applies the manifest that it names. Errors are counted and logged where they occur.
func (h *Holder) refresh(ctx context.Context) error {
	pointer, err := h.fetchPointer(ctx)
	if err != nil {
		return err
	}
	return h.applyPointer(ctx, pointer)
}

func (h *Holder) fetchPointer(ctx context.Context) (Pointer, error) {
	ctx, cancel := context.WithTimeout(ctx, pointerTimeout)
	defer cancel()
	pointer, err := ReadPointer(ctx, h.cfg.Store)
	if err != nil {
		h.recordStoreFailure()
		return Pointer{}, err
	}
	h.storeUnavailable.Store(false)
	return pointer, nil
}

// fetchFirst gets the first bundle from the object store or, if that fails, from a peer.
func (h *Holder) fetchFirst(ctx context.Context) {
	for h.Current() == nil {
		if err := h.refresh(ctx); err != nil && h.Current() == nil {
			h.fetchFirstFromPeers(ctx)
		}
		if h.Current() != nil || !h.sleep(ctx, jitter(firstBundleInterval)) {
			return
		}
	}
}

// fetchFirstFromPeers gets the newest bundle from the peers of this instance's domain. If none of them has one, it gets
// one from another domain, but only if the peer has just confirmed it with the object store: this instance's domain may
// have had a newer bundle active before all of its instances restarted.
func (h *Holder) fetchFirstFromPeers(ctx context.Context) {
	var otherDomains []peer.Member
	for _, m := range h.cfg.View.Members() {
		if !m.Live || m.Instance.Incarnation == h.cfg.Self.Incarnation {
			continue
		}
		if m.Instance.Domain != h.cfg.Self.Domain {
			otherDomains = append(otherDomains, m)
			continue
		}
		h.pullLogged(ctx, m, false)
	}
	if h.Current() != nil {
		return
	}
	for _, m := range otherDomains {
		h.pullLogged(ctx, m, true)
	}
}

func (h *Holder) pullLogged(ctx context.Context, m peer.Member, confirm bool) {
	if err := h.pull(ctx, m, confirm); err != nil {
		h.cfg.Log.Debugf("bundle: pull from %s failed: %v", m.Instance.Name, err)
	}
}

// pull requests the active bundle of a peer and applies it. With confirm, the peer must first compare the bundle with the
// object store.
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
		descUnconfirmed.Counter(h.cfg.Metrics).Inc(1)
		return nil
	}
	return h.apply(ctx, response.Signed, fallbackSource{from, h.storeSource()}, h.sameDomain(m.Instance))
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
		trusted: h.active.Load().trust.hash,
		metrics: h.cfg.Metrics,
	}, nil
}
