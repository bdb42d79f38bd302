package quota

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sort"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"pumiceshelf/api"
	"pumiceshelf/budget"
	"pumiceshelf/bundle"
	"pumiceshelf/instance"
	"pumiceshelf/internal/standin"
	"pumiceshelf/peer"
	"pumiceshelf/settings"
)

var errDisconnected = errors.New("test: instances are disconnected")

// mainBudget is the budget that most tests use.
var mainBudget = budget.ID{Customer: "acme", Budget: "main"}

// sideBudget is another budget of the same customer.
var sideBudget = budget.ID{Customer: "acme", Budget: "side"}

// fleet is a set of managers that share one object store. Tests can disconnect them from each other.
type fleet struct {
	t       testing.TB
	clock   *clockwork.FakeClock
	store   *standin.Objects
	bundles *testBundles
	policy  Policy
	resolve ResolveUsageFunc
	// awaitCalls gives calls in progress the chance to continue before the clock advances.
	awaitCalls func()

	mu           sync.Mutex
	nodes        map[string]*node
	disconnected map[[2]string]bool
	dropResponse func(from, to, rpc string) bool
	changed      chan struct{}
}

type node struct {
	*Manager
	self    *api.Instance
	mux     *drpcmux.Mux
	fleet   *fleet
	dead    bool
	paused  bool
	elapsed time.Duration
}

type testBundles struct {
	mu      sync.Mutex
	snap    *bundle.Snapshot
	changed chan struct{}
	granted uint64
	retired []string
}

func (b *testBundles) Current() *bundle.Snapshot {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.snap
}

func (b *testBundles) Changed() <-chan struct{} { return b.changed }

// set activates a bundle with two budgets of one customer.
func (b *testBundles) set(granted uint64, retired ...string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.granted, b.retired = granted, retired
	b.snap = bundle.Compile(&api.Bundle{
		Customers: []*api.Customer{{
			Id: mainBudget.Customer,
			Budgets: []*api.Budget{
				{Id: mainBudget.Budget, Grants: []*api.Grant{{Id: "g", Tokens: granted}}},
				{Id: sideBudget.Budget, Grants: []*api.Grant{{Id: "g", Tokens: 1000}}},
			},
		}},
		RetiredIncarnations: retired,
	})
}

func newFleet(t testing.TB, granted uint64) *fleet {
	f := &fleet{
		t:            t,
		clock:        clockwork.NewFakeClockAt(time.Unix(1_800_000_000, 0)),
		store:        standin.NewObjects(),
		bundles:      &testBundles{changed: make(chan struct{})},
		nodes:        make(map[string]*node),
		disconnected: make(map[[2]string]bool),
		changed:      make(chan struct{}),
		awaitCalls:   func() { time.Sleep(200 * time.Microsecond) },
	}
	f.bundles.set(granted)
	return f
}

// start adds an instance. Its background work runs only in step.
func (f *fleet) start(domain, name string) *node {
	n := &node{
		self:  &api.Instance{Name: name, Incarnation: string(instance.NewIncarnation(name)), Domain: domain},
		mux:   drpcmux.New(),
		fleet: f,
	}
	cfg := settings.Default().Budget
	n.Manager = New(Config{
		Settings:     cfg,
		Self:         n.self,
		Clock:        f.clock,
		Log:          &log.Logger{Handler: discard.New(), Level: log.DebugLevel},
		Metrics:      metrics.NewRegistry(),
		Store:        f.store.Client(name),
		View:         testView{f, n},
		Conns:        testConns{f, n},
		Bundles:      f.bundles,
		Policy:       f.policy,
		ResolveUsage: f.resolve,
	})
	if err := n.Register(n.mux); err != nil {
		f.t.Fatal(err)
	}
	f.mu.Lock()
	f.nodes[n.self.Incarnation] = n
	f.mu.Unlock()
	f.viewChanged()
	return n
}

func (f *fleet) viewChanged() {
	f.mu.Lock()
	defer f.mu.Unlock()
	close(f.changed)
	f.changed = make(chan struct{})
}

// kill stops an instance permanently.
func (f *fleet) kill(n *node) {
	f.mu.Lock()
	n.dead = true
	f.mu.Unlock()
	n.cancelBackground()
	f.viewChanged()
}

// setPaused pauses or resumes an instance. A paused instance does no background work and is not live in others' views.
func (f *fleet) setPaused(n *node, paused bool) {
	f.mu.Lock()
	n.paused = paused
	f.mu.Unlock()
	f.viewChanged()
}

// setDisconnected disconnects two instances from each other or reconnects them.
func (f *fleet) setDisconnected(a, b *node, disconnected bool) {
	f.mu.Lock()
	f.disconnected[[2]string{a.self.Incarnation, b.self.Incarnation}] = disconnected
	f.disconnected[[2]string{b.self.Incarnation, a.self.Incarnation}] = disconnected
	f.mu.Unlock()
}

// dropResponses drops the responses between instances for which drop returns true; nil drops none.
func (f *fleet) dropResponses(drop func(from, to, rpc string) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.dropResponse = drop
}

func (f *fleet) reachable(from, to string) (*node, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := f.nodes[to]
	return n, n != nil && !n.dead && !n.paused && !f.disconnected[[2]string{from, to}]
}

// running returns the instances that are neither dead nor paused, sorted by name.
func (f *fleet) running() []*node {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []*node
	for _, n := range f.nodes {
		if !n.dead && !n.paused {
			out = append(out, n)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].self.Name < out[j].self.Name })
	return out
}

// step advances the clock by d and runs the due background work of all instances, one after another.
func (f *fleet) step(d time.Duration) {
	f.clock.Advance(d)
	for _, n := range f.running() {
		n.background(f.t.Context(), d)
	}
	f.awaitDeliveries()
}

// awaitDeliveries waits until no settlement is in flight: calls take real time, during which the fake clock does not
// advance.
func (f *fleet) awaitDeliveries() {
	for _, n := range f.running() {
		for n.requests.hasInFlight() {
			time.Sleep(20 * time.Microsecond)
		}
	}
}

// hasInFlight reports whether a settlement was sent and has no response yet.
func (t *requestTracker) hasInFlight() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for d := range t.deliveries {
		if d.inFlight {
			return true
		}
	}
	return false
}

// stepTogether is like step, with all instances running concurrently.
func (f *fleet) stepTogether(d time.Duration) {
	f.clock.Advance(d)
	var all sync.WaitGroup
	for _, n := range f.running() {
		all.Go(func() { n.background(f.t.Context(), d) })
	}
	all.Wait()
}

// background runs the work of Run's loops that is due after d has passed.
func (n *node) background(ctx context.Context, d time.Duration) {
	n.elapsed += d
	n.runIfDue(n.cfg.flushInterval(), d, n.resend)
	n.runIfDue(segmentWriteFlushes*n.cfg.flushInterval(), d, n.writeRecords)
	n.writeLedgers(ctx)
	n.runIfDue(reclaimInterval, d, n.reclaim)
	n.runIfDue(n.cfg.orphanAfter()/orphanChecksPerTimeout, d, n.resolveOrphans)
	n.runIfDue(n.cfg.orphanAfter()/orphanChecksPerTimeout, d, n.chargeMirrored)
	n.runIfDue(n.cfg.foldInterval(), d, n.compact)
}

// runIfDue runs work if a multiple of interval was reached within the last d.
func (n *node) runIfDue(interval, d time.Duration, work func(context.Context)) {
	if n.elapsed/interval != (n.elapsed-d)/interval {
		work(n.fleet.t.Context())
	}
}

// advance advances the clock by total in steps.
func (f *fleet) advance(total time.Duration) {
	for passed := time.Duration(0); passed < total; passed += 250 * time.Millisecond {
		f.step(250 * time.Millisecond)
	}
}

// reserve reserves at an instance while the clock advances.
func (f *fleet) reserve(n *node, id string, bound budget.Tokens) Reservation {
	return f.reserveWithin(n, id, bound, 10*time.Second)
}

func (f *fleet) reserveWithin(n *node, id string, bound budget.Tokens, wait time.Duration) Reservation {
	done := make(chan Reservation, 1)
	go func() {
		done <- n.Reserve(f.t.Context(), Request{RequestID: id, Budget: mainBudget, Model: "m", Bound: bound, MaxWait: wait})
	}()
	return f.await(done)
}

// await advances the clock until a call returns.
func (f *fleet) await(done <-chan Reservation) Reservation {
	for range 4000 {
		f.awaitCalls()
		select {
		case r := <-done:
			return r
		default:
			f.step(50 * time.Millisecond)
		}
	}
	f.t.Fatal("reservation did not return")
	return Reservation{}
}

// settle settles a request that ran, at an instance.
func (f *fleet) settle(n *node, id string, tokens budget.Tokens) {
	n.Settle(f.t.Context(), Usage{RequestID: id, Budget: mainBudget, Model: "m", Generated: tokens, Ran: true})
}

func (f *fleet) release(n *node, id string) {
	n.Settle(f.t.Context(), Usage{RequestID: id, Budget: mainBudget, Model: "m"})
}

// ledger returns the main budget's entry in the stored ledger.
func (f *fleet) ledger() *api.BudgetLedger {
	l, _, err := readLedger(f.t.Context(), f.store.Client("test"), mainBudget.Customer)
	if err != nil {
		f.t.Fatal(err)
	}
	return budget.Budget(l, mainBudget.Budget)
}

// holder returns the instance of a domain that owns the main budget.
func (f *fleet) holder(domain string) *node {
	for _, n := range f.running() {
		if n.self.Domain == domain && n.owns(mainBudget) {
			return n
		}
	}
	f.t.Fatalf("no holder in %s", domain)
	return nil
}

// nonHolder returns an instance of a domain that does not own the main budget.
func (f *fleet) nonHolder(domain string) *node {
	for _, n := range f.running() {
		if n.self.Domain == domain && !n.owns(mainBudget) {
			return n
		}
	}
	f.t.Fatalf("no instance other than the holder in %s", domain)
	return nil
}

// testView is an instance's view of the fleet. Instances that are neither dead nor paused are live.
type testView struct {
	f *fleet
	n *node
}

func (v testView) Self() *api.Instance { return v.n.self }

func (v testView) Members() []peer.Member {
	v.f.mu.Lock()
	defer v.f.mu.Unlock()
	var out []peer.Member
	for _, n := range v.f.nodes {
		out = append(out, peer.Member{Instance: n.self, Live: !n.dead && !n.paused})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Instance.Incarnation < out[j].Instance.Incarnation })
	return out
}

func (v testView) Live(d instance.Domain) []*api.Instance {
	var out []*api.Instance
	for _, m := range v.Members() {
		if m.Live && m.Instance.Domain == string(d) && !m.Instance.Leaving {
			out = append(out, m.Instance)
		}
	}
	return out
}

func (v testView) Ranked(topic string) []*api.Instance {
	out := v.Live(instance.Domain(v.n.self.Domain))
	// Rank by name, so that a test with the same names has the same holder in every run.
	sort.Slice(out, func(i, j int) bool {
		return xxhash.Sum64String(topic[:6]+out[i].Name) < xxhash.Sum64String(topic[:6]+out[j].Name)
	})
	return out
}

func (v testView) Owner(topic string) *api.Instance {
	if r := v.Ranked(topic); len(r) > 0 {
		return r[0]
	}
	return nil
}

func (v testView) Changed() <-chan struct{} {
	v.f.mu.Lock()
	defer v.f.mu.Unlock()
	return v.f.changed
}

type testConns struct {
	f *fleet
	n *node
}

func (c testConns) Conn(_ context.Context, i instance.Incarnation) (drpc.Conn, error) {
	if _, ok := c.f.reachable(c.n.self.Incarnation, string(i)); !ok {
		return nil, errDisconnected
	}
	return testConn{c.f, c.n.self.Incarnation, string(i)}, nil
}

// testConn makes each call on a new pipe, so that calls run concurrently.
type testConn struct {
	f        *fleet
	from, to string
}

func (c testConn) Close() error            { return nil }
func (c testConn) Closed() <-chan struct{} { return nil }
func (c testConn) NewStream(context.Context, string, drpc.Encoding) (drpc.Stream, error) {
	return nil, errors.New("test: streams are not supported")
}

func (c testConn) Invoke(ctx context.Context, rpc string, enc drpc.Encoding, in, out drpc.Message) error {
	n, ok := c.f.reachable(c.from, c.to)
	if !ok {
		return errDisconnected
	}
	client, server := net.Pipe()
	served := make(chan struct{})
	go func() {
		defer close(served)
		_ = drpcserver.New(n.mux).ServeOne(ctx, server)
	}()
	conn := drpcconn.New(client)
	err := conn.Invoke(ctx, rpc, enc, in, out)
	_ = conn.Close()
	<-served
	if err != nil {
		return fmt.Errorf("test: %s: %w", rpc, err)
	}
	c.f.mu.Lock()
	drop := c.f.dropResponse
	c.f.mu.Unlock()
	if drop != nil && drop(c.from, c.to, rpc) {
		return io.ErrUnexpectedEOF
	}
	return nil
}

// awaitError advances the clock until a call returns, and fails the test if it returns an error.
func (f *fleet) awaitError(done <-chan error) {
	for range 4000 {
		select {
		case err := <-done:
			if err != nil {
				f.t.Fatal(err)
			}
			return
		case <-time.After(200 * time.Microsecond):
			f.step(50 * time.Millisecond)
		}
	}
	f.t.Fatal("call did not return")
}

// shortContext returns a context that ends after 20 ms of real time.
func (f *fleet) shortContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(f.t.Context(), 20*time.Millisecond)
}
