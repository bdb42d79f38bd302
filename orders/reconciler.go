package orders

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"

	"pumiceshelf/api"
	"pumiceshelf/bundle"
	"pumiceshelf/endpoint"
	"pumiceshelf/instance"
	"pumiceshelf/objectstore"
	"pumiceshelf/peer"
	"pumiceshelf/story"
	"pumiceshelf/telemetry"
)

const (
	// topic is what the domain's live instances are ranked by to find the reconciler.
	topic = "orders"
	// idleInterval is the time between rounds while all engines are as the bundle wants, busyInterval while some are not.
	idleInterval = 30 * time.Second
	busyInterval = 2 * time.Second
	// orderWindow is the longest time between the first check before an order and its end.
	orderWindow = 2 * time.Second
	// statesAtOnce bounds the states read side by side.
	statesAtOnce = 16
)

var (
	// errSuperseded means that what an order followed from has changed.
	errSuperseded = errors.New("orders: superseded")
	// errLate means that the checks before an order are too old.
	errLate = errors.New("orders: checks too old")
)

// Config of a Reconciler.
type Config struct {
	Self    *api.Instance
	Clock   clockwork.Clock
	Log     log.Interface
	Metrics metrics.Registry
	Store   objectstore.Store
	View    peer.View
	Bundles bundle.Source
	Engine  Engine
	// Stories and Repairs may be nil.
	Stories *story.Book
	Repairs *telemetry.Repairs
}

// Reconciler gives orders to the engines of its domain while its instance is the one to do so.
type Reconciler struct {
	config Config
	meters *meters
	// settled says that no endpoint of the domain holds a slot, as far as this incarnation knows.
	settled bool

	mu     sync.Mutex
	status []*api.OrderStatus
}

// New returns a reconciler. Run drives it.
func New(c Config) *Reconciler { return &Reconciler{config: c, meters: newMeters(c.Metrics)} }

// Run reconciles until ctx ends.
func (r *Reconciler) Run(ctx context.Context) error {
	for {
		bundles, view := r.config.Bundles.Changed(), r.config.View.Changed()
		timer := r.config.Clock.NewTimer(r.round(ctx))
		select {
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		case <-bundles:
		case <-view:
		case <-timer.Chan():
		}
		timer.Stop()
	}
}

// Status returns the state of each managed endpoint of the domain, in order of ids, on the instance that gives orders.
func (r *Reconciler) Status() []*api.OrderStatus {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.status
}

// round is one pass over the domain. It returns the time until the next.
func (r *Reconciler) round(ctx context.Context) time.Duration {
	snap := r.config.Bundles.Current()
	if snap == nil || !r.owns() {
		r.settled = false
		r.report(nil, 0)
		return idleInterval
	}
	decisions := r.plan(snap, r.observe(ctx, engines(snap, r.domain())), nil)
	if r.settled && allDone(decisions) {
		r.report(decisions, 0)
		return idleInterval
	}
	if err := r.act(ctx, snap); err != nil {
		r.explain(err)
		r.report(decisions, 0)
	}
	return busyInterval
}

// owns says whether this instance is the one to give orders in its domain.
func (r *Reconciler) owns() bool {
	o := r.config.View.Owner(topic)
	return o != nil && o.Incarnation == r.config.Self.Incarnation
}

func (r *Reconciler) domain() instance.Domain { return instance.Domain(r.config.Self.Domain) }

func (r *Reconciler) plan(snap *bundle.Snapshot, seen observation, changing map[string]bool) []decision {
	if changing == nil {
		changing = make(map[string]bool)
	}
	p := &planner{snap: snap, domain: r.domain(), seen: seen, changing: changing}
	return p.plan()
}

func allDone(decisions []decision) bool {
	for _, d := range decisions {
		if d.step != inForce && d.step != unreachable {
			return false
		}
	}
	return true
}

// observe reads the states of engines side by side.
func (r *Reconciler) observe(ctx context.Context, list []*bundle.Endpoint) observation {
	ctx, cancel := context.WithTimeout(ctx, orderWindow)
	defer cancel()
	var mu sync.Mutex
	var group errgroup.Group
	group.SetLimit(statesAtOnce)
	out := make(observation, len(list))
	for _, e := range list {
		group.Go(func() error {
			s, err := r.config.Engine.State(ctx, e.URL)
			if err != nil {
				r.config.Log.Debugf("orders: no state of %s: %s", e.ID, err)
				return nil
			}
			mu.Lock()
			defer mu.Unlock()
			out[e.ID] = s
			return nil
		})
	}
	_ = group.Wait()
	return out
}

// act makes sure of the lease, takes slots and gives orders. The slots are read before the engines' states and written
// on condition that they have not changed, so that a plan never counts on a replica that another reconciler changes.
func (r *Reconciler) act(ctx context.Context, snap *bundle.Snapshot) error {
	var kept api.ChangeSlots
	version, err := read(ctx, r.config.Store, slotsKey, &kept)
	if err != nil {
		return err
	}
	s := &slots{list: kept.Slots}
	s.expire(r.config.Clock.Now())
	start := r.config.Clock.Now()
	seen := r.observe(ctx, engines(snap, r.domain()))
	decisions := r.planWithSlots(ctx, snap, seen, s)
	fence, err := r.ensureLease(ctx, highest(seen))
	if err != nil {
		return err
	}
	r.assign(snap, decisions, s)
	if s.changed {
		if err := write(ctx, r.config.Store, slotsKey, &api.ChangeSlots{Slots: s.list}, version); err != nil {
			return err
		}
	}
	r.settled = !s.hasDomain(r.config.Self.Domain)
	r.report(decisions, fence)
	for _, d := range decisions {
		if d.step == change {
			r.count(d, r.order(ctx, snap, d, fence, start))
		}
	}
	return nil
}

// planWithSlots plans again with the states of other domains' engines if some model has no other replica here.
func (r *Reconciler) planWithSlots(ctx context.Context, snap *bundle.Snapshot, seen observation, s *slots) []decision {
	decisions := r.plan(snap, seen, s.held())
	for _, d := range decisions {
		if d.step != waitReplica {
			continue
		}
		for id, st := range r.observe(ctx, lonely(snap, r.domain())) {
			seen[id] = st
		}
		return r.plan(snap, seen, s.held())
	}
	return decisions
}

// highest returns the highest fencing number that the domain's engines have seen.
func highest(seen observation) uint64 {
	var out uint64
	for _, s := range seen {
		out = max(out, s.Fence)
	}
	return out
}

// assign releases slots of endpoints that are done and takes slots for changes, marking those that must wait.
func (r *Reconciler) assign(snap *bundle.Snapshot, decisions []decision, s *slots) {
	now := r.config.Clock.Now()
	s.settle(now, r.config.Self.Domain, decisions)
	concurrent := int(max(snap.ConcurrentLoads, 1))
	for i := range decisions {
		d := &decisions[i]
		switch {
		case d.step == waitReplica:
			r.meters.replica.Inc(1)
		case d.step == change && !s.take(now, *d, concurrent):
			d.step = waitSlot
			r.meters.slot.Inc(1)
		}
	}
}

// order checks once more all that an order follows from and gives it. A reconciler that was paused finds the checks
// too old, or the lease gone. What a pause between the last check and the sending leaves possible, the engine's own check
// of the fencing number stops; on an engine without one the next round of the holder puts it right.
func (r *Reconciler) order(ctx context.Context, snap *bundle.Snapshot, d decision, fence uint64, start time.Time) error {
	ctx, cancel := context.WithTimeout(ctx, orderWindow)
	defer cancel()
	if err := r.confirmLease(ctx, fence); err != nil {
		return err
	}
	s, err := r.config.Engine.State(ctx, d.endpoint.URL)
	if err != nil {
		return fmt.Errorf("state of %s: %w", d.endpoint.ID, err)
	}
	if next, _ := compare(d.order, s); next != change {
		return nil
	}
	if r.config.Bundles.Current().Number != snap.Number || !r.owns() {
		return errSuperseded
	}
	if r.config.Clock.Since(start) > orderWindow {
		return errLate
	}
	o := concrete(d.order, s)
	o.Fence = fence
	if err := r.config.Engine.Order(ctx, d.endpoint.URL, o); err != nil {
		return fmt.Errorf("order to %s: %w", d.endpoint.ID, err)
	}
	r.meters.given.Inc(1)
	r.config.Log.Infof("orders: %s ordered to bundle %d with fence %d", d.endpoint.ID, snap.Number, fence)
	return nil
}

// count counts why an order was not given.
func (r *Reconciler) count(d decision, err error) {
	switch {
	case err == nil:
		return
	case errors.Is(err, endpoint.ErrStaleFence):
		r.meters.stale.Inc(1)
	case errors.Is(err, errSuperseded), errors.Is(err, errNotHolder):
		r.meters.superseded.Inc(1)
	case errors.Is(err, errLate):
		r.meters.late.Inc(1)
	default:
		r.meters.failed.Inc(1)
	}
	r.config.Log.Warnf("orders: %s not ordered: %s", d.endpoint.ID, err)
}

// explain counts a round that could not act.
func (r *Reconciler) explain(err error) {
	if errors.Is(err, objectstore.ErrConflict) {
		r.meters.superseded.Inc(1)
		r.config.Log.Debugf("orders: round given up: %s", err)
		return
	}
	r.meters.platform.Inc(1)
	r.config.Log.Warnf("orders: round given up: %s", err)
}

// report keeps the decisions for operators.
func (r *Reconciler) report(decisions []decision, fence uint64) {
	var out []*api.OrderStatus
	behind := 0
	for _, d := range decisions {
		st := &api.OrderStatus{Endpoint: d.endpoint.ID, State: d.step.String(), Fence: fence, Detail: d.model}
		if snap := r.config.Bundles.Current(); snap != nil {
			st.BundleNumber = snap.Number
		}
		if d.step != inForce {
			behind++
		}
		out = append(out, st)
	}
	r.meters.behind.Update(int64(behind))
	r.mu.Lock()
	defer r.mu.Unlock()
	r.status = out
}
