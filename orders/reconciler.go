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
	"pumiceshelf/telemetry"
	"pumiceshelf/trace"
)

const (
	// ownerTopic is the rendezvous hash topic that selects the reconciler among the domain's live instances.
	ownerTopic = "orders"
	// idleInterval is the time between rounds while all engines are up to date, busyInterval while some are not.
	idleInterval = 30 * time.Second
	busyInterval = 2 * time.Second
	// orderTimeout bounds the age of the checks when an order is sent, the reading of the engines' states, and the sending
	// of one order including its last checks.
	orderTimeout = 2 * time.Second
	// maxConcurrentStateReads bounds the engine states that are read concurrently.
	maxConcurrentStateReads = 16
)

var (
	// errSuperseded means that the bundle or the owner of the domain changed after an order was planned.
	errSuperseded = errors.New("orders: bundle or owner changed after the order was planned")
	// errChecksExpired means that the checks for an order are older than orderTimeout.
	errChecksExpired = errors.New("orders: checks for the order are too old")
)

// Config configures a Reconciler.
type Config struct {
	Self    *api.Instance
	Clock   clockwork.Clock
	Log     log.Interface
	Metrics metrics.Registry
	Store   objectstore.Store
	View    peer.View
	Bundles bundle.Source
	Engine  Engine
	// Traces and Repairs may be nil.
	Traces  *trace.Store
	Repairs *telemetry.Repairs
}

// Reconciler sends orders to the engines of its domain while its instance is the owner.
type Reconciler struct {
	config   Config
	counters *counters
	// noSlotsHeld is true if no endpoint of the domain held a slot after this incarnation's last complete round, and no write
	// of slots has failed since.
	noSlotsHeld bool

	mu     sync.Mutex
	status []*api.OrderStatus
}

// New returns a reconciler. Call Run to start it.
func New(c Config) *Reconciler { return &Reconciler{config: c, counters: newCounters(c.Metrics)} }

// Run reconciles until ctx is canceled.
func (r *Reconciler) Run(ctx context.Context) error {
	for {
		bundles, view := r.config.Bundles.Changed(), r.config.View.Changed()
		timer := r.config.Clock.NewTimer(r.reconcile(ctx))
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

// Status returns the state of each managed endpoint of the domain, ordered by ID. It is empty if this instance is not the
// owner.
func (r *Reconciler) Status() []*api.OrderStatus {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.status
}

// reconcile runs one round for the domain. It returns the time until the next round.
func (r *Reconciler) reconcile(ctx context.Context) time.Duration {
	snap := r.config.Bundles.Current()
	if snap == nil || !r.isOwner() {
		r.noSlotsHeld = false
		r.updateStatus(nil, 0)
		return idleInterval
	}
	decisions := r.plan(snap, r.readStates(ctx, domainEngines(snap, r.domain())), nil)
	if r.noSlotsHeld && nothingToDo(decisions) {
		r.updateStatus(decisions, 0)
		return idleInterval
	}
	if err := r.applyChanges(ctx, snap); err != nil {
		r.recordAbort(err)
		r.updateStatus(decisions, 0)
	}
	return busyInterval
}

// isOwner reports whether this instance sends the orders of its domain.
func (r *Reconciler) isOwner() bool {
	owner := r.config.View.Owner(ownerTopic)
	return owner != nil && owner.Incarnation == r.config.Self.Incarnation
}

func (r *Reconciler) domain() instance.Domain { return instance.Domain(r.config.Self.Domain) }

// plan plans one round. changing holds the endpoints with a slot and may be nil.
func (r *Reconciler) plan(snap *bundle.Snapshot, states engineStates, changing map[string]bool) []decision {
	if changing == nil {
		changing = make(map[string]bool)
	}
	p := &planner{snap: snap, domain: r.domain(), states: states, changing: changing}
	return p.plan()
}

// nothingToDo reports whether all endpoints are up to date or unreachable.
func nothingToDo(decisions []decision) bool {
	for _, d := range decisions {
		if d.step != upToDate && d.step != unreachable {
			return false
		}
	}
	return true
}

// readStates reads the states of engines concurrently.
func (r *Reconciler) readStates(ctx context.Context, endpoints []*bundle.Endpoint) engineStates {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	var mu sync.Mutex
	var group errgroup.Group
	group.SetLimit(maxConcurrentStateReads)
	out := make(engineStates, len(endpoints))
	for _, e := range endpoints {
		group.Go(func() error {
			s, err := r.config.Engine.State(ctx, e.URL)
			if err != nil {
				r.config.Log.Debugf("orders: reading the state of endpoint %s failed: %s", e.ID, err)
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

// applyChanges acquires the lease and slots and sends orders. The slots are read before the engines' states and written only
// if they have not changed since, so that a plan never relies on a replica that another reconciler is changing.
func (r *Reconciler) applyChanges(ctx context.Context, snap *bundle.Snapshot) error {
	var stored api.ChangeSlots
	version, err := readMessage(ctx, r.config.Store, slotsKey, &stored)
	if err != nil {
		return err
	}
	s := &slots{list: stored.Slots}
	s.expire(r.config.Clock.Now())
	start := r.config.Clock.Now()
	states := r.readStates(ctx, domainEngines(snap, r.domain()))
	ownFence := highestFence(states)
	decisions := r.planWithSlots(ctx, snap, states, s)
	fence, err := r.ensureLease(ctx, ownFence)
	if err != nil {
		return err
	}
	r.assignSlots(snap, decisions, s)
	if s.changed {
		// The write may take effect even if it returns an error.
		r.noSlotsHeld = false
		if err := writeMessage(ctx, r.config.Store, slotsKey, &api.ChangeSlots{Slots: s.list}, version); err != nil {
			return err
		}
	}
	r.noSlotsHeld = !s.heldByDomain(r.config.Self.Domain)
	r.updateStatus(decisions, fence)
	for _, d := range decisions {
		if d.step == needsChange {
			r.recordOutcome(d, r.sendOrder(ctx, snap, d, fence, start))
		}
	}
	return nil
}

// planWithSlots plans one round with the current slots. If a model has no other replica in the domain, it adds the states of
// engines in other domains and plans again.
func (r *Reconciler) planWithSlots(ctx context.Context, snap *bundle.Snapshot, states engineStates, s *slots) []decision {
	decisions := r.plan(snap, states, s.endpointIDs())
	for _, d := range decisions {
		if d.step != waitingForReplica {
			continue
		}
		for id, st := range r.readStates(ctx, remoteReplicas(snap, r.domain())) {
			states[id] = st
		}
		return r.plan(snap, states, s.endpointIDs())
	}
	return decisions
}

// highestFence returns the highest fencing number that engines reported.
func highestFence(states engineStates) uint64 {
	var out uint64
	for _, s := range states {
		out = max(out, s.Fence)
	}
	return out
}

// assignSlots releases the slots of endpoints that are up to date and acquires slots for changes. Changes without a slot
// become waitingForSlot.
func (r *Reconciler) assignSlots(snap *bundle.Snapshot, decisions []decision, s *slots) {
	now := r.config.Clock.Now()
	s.releaseAndRenew(now, r.config.Self.Domain, decisions)
	maxConcurrent := int(max(snap.ConcurrentLoads, 1))
	for i := range decisions {
		d := &decisions[i]
		switch {
		case d.step == waitingForReplica:
			r.counters.waitingForReplica.Inc(1)
		case d.step == needsChange && !s.acquire(now, *d, maxConcurrent):
			d.step = waitingForSlot
			r.counters.waitingForSlot.Inc(1)
		}
	}
}

// sendOrder checks the conditions of an order again and sends it. A reconciler that was paused finds that the checks have
// expired or that another incarnation holds the lease. After a pause between the last check and the sending, the engine
// refuses the order by its fencing number; on an engine that does not check it, the lease holder's next round corrects the
// state.
func (r *Reconciler) sendOrder(ctx context.Context, snap *bundle.Snapshot, d decision, fence uint64, start time.Time) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	if err := r.confirmLease(ctx, fence); err != nil {
		return err
	}
	s, err := r.config.Engine.State(ctx, d.endpoint.URL)
	if err != nil {
		return fmt.Errorf("read state of endpoint %s: %w", d.endpoint.ID, err)
	}
	if next, _ := nextStep(d.order, s); next != needsChange {
		return nil
	}
	if r.config.Bundles.Current().Number != snap.Number || !r.isOwner() {
		return errSuperseded
	}
	if r.config.Clock.Since(start) > orderTimeout {
		return errChecksExpired
	}
	o := resolveVersions(d.order, s)
	o.Fence = fence
	if err := r.config.Engine.Order(ctx, d.endpoint.URL, o); err != nil {
		return fmt.Errorf("send order to endpoint %s: %w", d.endpoint.ID, err)
	}
	r.counters.accepted.Inc(1)
	r.config.Log.Infof("orders: endpoint %s accepted the order for bundle %d with fencing number %d", d.endpoint.ID, snap.Number, fence)
	return nil
}

// recordOutcome counts and logs the reason why an order was not sent or not accepted.
func (r *Reconciler) recordOutcome(d decision, err error) {
	switch {
	case err == nil:
		return
	case errors.Is(err, endpoint.ErrStaleFence):
		r.counters.staleFence.Inc(1)
	case errors.Is(err, errSuperseded), errors.Is(err, errNotHolder):
		r.counters.superseded.Inc(1)
	case errors.Is(err, errChecksExpired):
		r.counters.checksExpired.Inc(1)
	default:
		r.counters.failed.Inc(1)
	}
	r.config.Log.Warnf("orders: order to endpoint %s was not sent or not accepted: %s", d.endpoint.ID, err)
}

// recordAbort counts and logs a round that ended with an error.
func (r *Reconciler) recordAbort(err error) {
	if errors.Is(err, objectstore.ErrConflict) {
		r.counters.superseded.Inc(1)
		r.config.Log.Debugf("orders: round aborted: %s", err)
		return
	}
	r.counters.storeUnavailable.Inc(1)
	r.config.Log.Warnf("orders: round aborted: %s", err)
}

// updateStatus sets the status and the outdated metric from the decisions of a round.
func (r *Reconciler) updateStatus(decisions []decision, fence uint64) {
	var out []*api.OrderStatus
	outdated := 0
	for _, d := range decisions {
		st := &api.OrderStatus{Endpoint: d.endpoint.ID, State: d.step.String(), Fence: fence, Detail: d.lastReplicaOf}
		if snap := r.config.Bundles.Current(); snap != nil {
			st.BundleNumber = snap.Number
		}
		if d.step != upToDate {
			outdated++
		}
		out = append(out, st)
	}
	r.counters.outdated.Update(int64(outdated))
	r.mu.Lock()
	defer r.mu.Unlock()
	r.status = out
}
