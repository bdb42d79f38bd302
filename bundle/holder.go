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

// Config of a Holder. All fields but Repairs are required.
type Config struct {
	Settings *api.BundleSettings
	// FirstOperators and FirstThreshold approve the first bundle.
	FirstOperators []*api.OperatorKey
	FirstThreshold uint32
	Self           *api.Instance
	Clock          clockwork.Clock
	Log            log.Interface
	Metrics        metrics.Registry
	Store          objectstore.Store
	View           peer.View
	Conns          peer.Conns
	Repairs        *telemetry.Repairs
}

// Holder keeps the bundle in force on one instance and brings in newer ones. It is a Source, safe for concurrent use.
type Holder struct {
	cfg       Config
	force     atomic.Pointer[inForce]
	announced chan announcement
	tell      chan struct{}
	failure   atomic.Pointer[failure]
	// watchFor bounds one watch.
	watchFor time.Duration
	// platformDown says that the last call to the platform failed.
	platformDown atomic.Bool
}

var _ Source = (*Holder)(nil)

// inForce is the bundle in force and what it takes to trust and pass on. The first one, before any bundle, is empty.
type inForce struct {
	*compiled
	signed *api.SignedManifest
	// trust names the operators who approve the next bundle.
	trust trust
	// chain holds the manifests at which operators changed, oldest first.
	chain []*api.SignedManifest
	// fromPeer says that a peer of the domain passed the bundle on; it tells its own part of the domain only.
	fromPeer bool
	replaced chan struct{}
}

// failure is why a manifest was kept out.
type failure struct {
	hash   Hash
	number uint64
	text   string
}

// New returns a holder without a bundle.
func New(cfg Config) *Holder {
	h := &Holder{cfg: cfg, announced: make(chan announcement, announceQueue), tell: make(chan struct{}, 1), watchFor: watchTimeout}
	h.force.Store(&inForce{
		trust:    trust{operators: cfg.FirstOperators, threshold: cfg.FirstThreshold},
		replaced: make(chan struct{}),
	})
	return h
}

// Register serves bundles to peers.
func (h *Holder) Register(mux drpc.Mux) error {
	return api.DRPCRegisterBundlePeer(mux, &server{holder: h})
}

// Current implements Source.
func (h *Holder) Current() *Snapshot { return h.force.Load().snapshotOrNil() }

// Changed implements Source. Take the channel before Current, so that no change is missed.
func (h *Holder) Changed() <-chan struct{} { return h.force.Load().replaced }

// Number returns the number of the bundle in force, zero before the first.
func (h *Holder) Number() uint64 { return h.force.Load().number() }

// Status returns the number of the bundle in force and why the newest one seen is kept out, empty if it is not.
func (h *Holder) Status() (number uint64, err string) {
	number = h.Number()
	if f := h.failure.Load(); f != nil && f.number >= number {
		return number, f.text
	}
	return number, ""
}

func (f *inForce) snapshotOrNil() *Snapshot {
	if f.compiled == nil {
		return nil
	}
	return f.snapshot
}

func (f *inForce) number() uint64 {
	if f.compiled == nil {
		return 0
	}
	return f.snapshot.Number
}

func (f *inForce) contentOrNil() *content {
	if f.compiled == nil {
		return nil
	}
	return f.content
}

// Run watches, polls, compares with peers and tells them until ctx ends.
func (h *Holder) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, loop := range []func(context.Context){h.watch, h.poll, h.start, h.compare, h.listen, h.spread} {
		group.Go(func() error {
			loop(ctx)
			return nil
		})
	}
	return group.Wait()
}

// offer puts a signed manifest in force if it is newer than the one in force, approved and without problems. Offers run
// side by side, so that one that waits for a silent source holds up no other.
func (h *Holder) offer(ctx context.Context, signed *api.SignedManifest, from source, fromPeer bool) error {
	for {
		now := h.force.Load()
		newer, err := h.newer(now, signed)
		if !newer || err != nil {
			return err
		}
		next, err := prepare(ctx, now, signed, from)
		switch {
		case err == nil:
			next.fromPeer = fromPeer
			if h.putInForce(now, next) {
				return nil
			}
		case h.force.Load() == now:
			h.keepOut(signed, err)
			return err
		}
	}
}

// newer says whether the manifest is worth preparing.
func (h *Holder) newer(now *inForce, signed *api.SignedManifest) (bool, error) {
	m, err := decodeManifest(signed)
	if err != nil {
		h.keepOut(signed, err)
		return false, err
	}
	if f := h.failure.Load(); f != nil && f.hash == HashOf(signed.Manifest) {
		return false, nil
	}
	if m.Number > now.number() {
		return true, nil
	}
	if m.Number < now.number() {
		metricBackwards.Counter(h.cfg.Metrics).Inc(1)
		return false, nil
	}
	if HashOf(signed.Manifest) != HashOf(now.signed.Manifest) {
		metricFork.Counter(h.cfg.Metrics).Inc(1)
		h.failure.Store(&failure{
			hash:   HashOf(signed.Manifest),
			number: m.Number,
			text:   fmt.Sprintf("another bundle %d was offered than the one in force", m.Number),
		})
	}
	return false, nil
}

// prepare verifies, gathers, checks and compiles what is to follow the bundle in force.
func prepare(ctx context.Context, now *inForce, signed *api.SignedManifest, from source) (*inForce, error) {
	m, approvers, links, err := now.trust.approve(ctx, signed, from.manifest)
	if err != nil {
		return nil, err
	}
	content, err := load(ctx, m, now.contentOrNil(), from)
	if err != nil {
		return nil, err
	}
	next, problems := compile(content, now.compiled)
	if err := problems.Err(); err != nil {
		return nil, err
	}
	chain := append(append([]*api.SignedManifest(nil), now.chain...), links...)
	return &inForce{compiled: next, signed: signed, trust: approvers, chain: chain, replaced: make(chan struct{})}, nil
}

// putInForce replaces the bundle in force by the next one, unless another has replaced it already.
func (h *Holder) putInForce(now, next *inForce) bool {
	invariant.Check(next.number() > now.number(), "bundle", "bundle %d would follow bundle %d", next.number(), now.number())
	if !h.force.CompareAndSwap(now, next) {
		return false
	}
	h.failure.Store(nil)
	close(now.replaced)
	metricInForce.Counter(h.cfg.Metrics).Inc(1)
	metricNumber.Gauge(h.cfg.Metrics).Update(int64(h.Number()))
	h.cfg.Log.Infof("bundle: bundle %d in force", next.number())
	select {
	case h.tell <- struct{}{}:
	default:
	}
	return true
}

// keepOut reports why a manifest is not in force. What cannot change is remembered, so that it is not tried again.
func (h *Holder) keepOut(signed *api.SignedManifest, err error) {
	reason, final := rejection(err)
	reason.Counter(h.cfg.Metrics).Inc(1)
	if !final {
		h.cfg.Log.Warnf("bundle: newer bundle not fetched, tried again: %v", err)
		return
	}
	var number uint64
	if m, decodeErr := decodeManifest(signed); decodeErr == nil {
		number = m.Number
	}
	h.failure.Store(&failure{hash: HashOf(signed.GetManifest()), number: number, text: fmt.Sprintf("bundle %d kept out: %v", number, err)})
	h.cfg.Log.Errorf("bundle: bundle %d kept out: %v", number, err)
}

// rejection returns the counter of an error's reason and whether trying again cannot help.
func rejection(err error) (reason telemetry.Desc, final bool) {
	var problems fieldcheck.Problems
	switch {
	case errors.Is(err, ErrNotApproved):
		return metricUnapproved, true
	case errors.Is(err, ErrMalformed):
		return metricMalformed, true
	case errors.As(err, &problems):
		return metricInvalid, true
	}
	return metricFetchRetry, false
}
