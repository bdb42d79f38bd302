package bundle

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"
	"storj.io/drpc"

	"pumiceshelf/api"
	"pumiceshelf/fieldcheck"
	"pumiceshelf/invariant"
	"pumiceshelf/objectstore"
	"pumiceshelf/peer"
	"pumiceshelf/telemetry"
)

// Config configures a Holder. All fields are required.
type Config struct {
	Settings *api.BundleSettings
	// FirstOperators and FirstThreshold are the operators who approve the first bundle and how many of them must sign it.
	FirstOperators []*api.OperatorKey
	FirstThreshold uint32
	Self           *api.Instance
	Clock          clockwork.Clock
	Log            log.Interface
	Metrics        metrics.Registry
	Store          objectstore.Store
	View           peer.View
	Conns          peer.Conns
}

// Holder holds the active bundle of one instance and replaces it by newer ones. It implements Source and is safe for
// concurrent use.
type Holder struct {
	cfg            Config
	active         atomic.Pointer[activeBundle]
	announcements  chan announcement
	announceSignal chan struct{}
	lastRejection  atomic.Pointer[rejectedManifest]
	// watchTimeout bounds one watch.
	watchTimeout time.Duration
	// storeUnavailable reports whether the last call to the object store failed.
	storeUnavailable atomic.Bool
}

var _ Source = (*Holder)(nil)

// activeBundle is the active bundle with the state needed to verify its successor and to serve it to peers. Before the
// first bundle it is empty.
type activeBundle struct {
	*compiled
	signed *api.SignedManifest
	// trust holds the operators who approve the next bundle.
	trust trust
	// chain holds the manifests that changed the operators, oldest first.
	chain []*api.SignedManifest
	// fromDomainPeer reports whether the bundle came from a peer of the same domain. This instance then announces it only to
	// its children in the domain's announcement tree.
	fromDomainPeer bool
	// replaced is closed when another bundle becomes active.
	replaced chan struct{}
}

// rejectedManifest records why a manifest was rejected.
type rejectedManifest struct {
	hash   Hash
	number uint64
	text   string
}

// New returns a holder without a bundle.
func New(cfg Config) *Holder {
	h := &Holder{cfg: cfg, announcements: make(chan announcement, announceQueue), announceSignal: make(chan struct{}, 1), watchTimeout: defaultWatchTimeout}
	h.active.Store(&activeBundle{
		trust:    trust{operators: cfg.FirstOperators, threshold: cfg.FirstThreshold},
		replaced: make(chan struct{}),
	})
	return h
}

// Register registers the service that serves bundles to peers.
func (h *Holder) Register(mux drpc.Mux) error {
	return api.DRPCRegisterBundlePeer(mux, &server{holder: h})
}

// Current implements Source.
func (h *Holder) Current() *Snapshot { return h.active.Load().snapshotOrNil() }

// Changed implements Source. Callers must get the channel before they call Current, so that they miss no change.
func (h *Holder) Changed() <-chan struct{} { return h.active.Load().replaced }

// Number returns the number of the active bundle, zero before the first.
func (h *Holder) Number() uint64 { return h.active.Load().number() }

// Status returns the number of the active bundle and the reason why the newest known bundle was rejected, empty if it
// was not.
func (h *Holder) Status() (number uint64, err string) {
	number = h.Number()
	if rejected := h.lastRejection.Load(); rejected != nil && rejected.number >= number {
		return number, rejected.text
	}
	return number, ""
}

func (b *activeBundle) snapshotOrNil() *Snapshot {
	if b.compiled == nil {
		return nil
	}
	return b.snapshot
}

func (b *activeBundle) number() uint64 {
	if b.compiled == nil {
		return 0
	}
	return b.snapshot.Number
}

func (b *activeBundle) contentOrNil() *content {
	if b.compiled == nil {
		return nil
	}
	return b.content
}

// Run watches and polls the pointer, compares bundle numbers with peers and exchanges announcements with them until ctx
// ends.
func (h *Holder) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, loop := range []func(context.Context){h.watch, h.poll, h.fetchFirst, h.compare, h.handleAnnouncements, h.sendAnnouncements} {
		group.Go(func() error {
			loop(ctx)
			return nil
		})
	}
	return group.Wait()
}

// apply activates the bundle of a signed manifest if it is newer than the active one, approved and valid. Calls may run
// concurrently, so that one that waits for an unresponsive source does not delay the others.
func (h *Holder) apply(ctx context.Context, signed *api.SignedManifest, from source, fromDomainPeer bool) error {
	for {
		current := h.active.Load()
		isNewer, err := h.isNewer(current, signed)
		if !isNewer || err != nil {
			return err
		}
		next, err := prepare(ctx, current, signed, from)
		switch {
		case err == nil:
			next.fromDomainPeer = fromDomainPeer
			if h.activate(current, next) {
				return nil
			}
		case h.active.Load() == current:
			h.reject(signed, err)
			return err
		}
	}
}

// isNewer reports whether the manifest is newer than the active one and was not rejected before.
func (h *Holder) isNewer(current *activeBundle, signed *api.SignedManifest) (bool, error) {
	m, err := decodeManifest(signed)
	if err != nil {
		h.reject(signed, err)
		return false, err
	}
	if rejected := h.lastRejection.Load(); rejected != nil && rejected.hash == HashOf(signed.Manifest) {
		return false, nil
	}
	if m.Number > current.number() {
		return true, nil
	}
	if m.Number < current.number() {
		descOlder.Counter(h.cfg.Metrics).Inc(1)
		return false, nil
	}
	if HashOf(signed.Manifest) != HashOf(current.signed.Manifest) {
		descFork.Counter(h.cfg.Metrics).Inc(1)
		h.lastRejection.Store(&rejectedManifest{
			hash:   HashOf(signed.Manifest),
			number: m.Number,
			text:   fmt.Sprintf("another bundle %d was offered than the one in force", m.Number),
		})
	}
	return false, nil
}

// prepare verifies a signed manifest, loads its content, and checks and compiles it as the successor of the active
// bundle.
func prepare(ctx context.Context, current *activeBundle, signed *api.SignedManifest, from source) (*activeBundle, error) {
	m, nextTrust, links, err := current.trust.approve(ctx, signed, from.manifest)
	if err != nil {
		return nil, err
	}
	content, err := load(ctx, m, current.contentOrNil(), from)
	if err != nil {
		return nil, err
	}
	next, problems := compile(content, current.compiled)
	if err := problems.Err(); err != nil {
		return nil, err
	}
	chain := append(append([]*api.SignedManifest(nil), current.chain...), links...)
	return &activeBundle{compiled: next, signed: signed, trust: nextTrust, chain: chain, replaced: make(chan struct{})}, nil
}

// activate replaces the active bundle by the next one. It returns false if another bundle has replaced it already.
func (h *Holder) activate(current, next *activeBundle) bool {
	invariant.Check(next.number() > current.number(), "bundle", "bundle %d is not newer than the active bundle %d", next.number(), current.number())
	if !h.active.CompareAndSwap(current, next) {
		return false
	}
	h.lastRejection.Store(nil)
	close(current.replaced)
	descActivated.Counter(h.cfg.Metrics).Inc(1)
	descNumber.Gauge(h.cfg.Metrics).Update(int64(h.Number()))
	h.cfg.Log.Infof("bundle: bundle %d is active", next.number())
	select {
	case h.announceSignal <- struct{}{}:
	default:
	}
	return true
}

// reject counts and logs why a manifest was not activated. If a retry cannot help, it records the manifest so that it is
// not tried again.
func (h *Holder) reject(signed *api.SignedManifest, err error) {
	reason, final := classifyError(err)
	reason.Counter(h.cfg.Metrics).Inc(1)
	if !final {
		h.cfg.Log.Warnf("bundle: fetch of a newer bundle failed, will be retried: %v", err)
		return
	}
	var number uint64
	if m, decodeErr := decodeManifest(signed); decodeErr == nil {
		number = m.Number
	}
	h.lastRejection.Store(&rejectedManifest{hash: HashOf(signed.GetManifest()), number: number, text: fmt.Sprintf("bundle %d kept out: %v", number, err)})
	h.cfg.Log.Errorf("bundle: bundle %d rejected: %v", number, err)
}

// classifyError returns the counter for the reason of an error and whether the error is final, so that a retry cannot
// help.
func classifyError(err error) (reason telemetry.Desc, final bool) {
	var problems fieldcheck.Problems
	switch {
	case errors.Is(err, ErrNotApproved):
		return descUnapproved, true
	case errors.Is(err, ErrMalformed):
		return descMalformed, true
	case errors.As(err, &problems):
		return descInvalid, true
	}
	return descFetchRetry, false
}
