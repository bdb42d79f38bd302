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

var errCut = errors.New("test: link cut")

// hot is the budget that most tests draw on.
var hot = budget.ID{Customer: "acme", Budget: "main"}

// side is another budget of the same customer.
var side = budget.ID{Customer: "acme", Budget: "side"}

// fleet is a few managers on one object API, with links that tests cut.
type fleet struct {
	t       testing.TB
	clock   *clockwork.FakeClock
	objects *standin.Objects
	bundles *testBundles
	policy  Policy
	resolve ResolveFunc

	mu      sync.Mutex
	nodes   map[string]*node
	cut     map[[2]string]bool
	lose    func(from, to, rpc string) bool
	changed chan struct{}
}

type node struct {
	*Manager
	self   *api.Instance
	mux    *drpcmux.Mux
	fleet  *fleet
	dead   bool
	paused bool
	passed time.Duration
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

// set puts a bundle in force with one customer's two budgets.
func (b *testBundles) set(granted uint64, retired ...string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.granted, b.retired = granted, retired
	b.snap = bundle.Compile(&api.Bundle{
		Customers: []*api.Customer{{
			Id: hot.Customer,
			Budgets: []*api.Budget{
				{Id: hot.Budget, Grants: []*api.Grant{{Id: "g", Tokens: granted}}},
				{Id: side.Budget, Grants: []*api.Grant{{Id: "g", Tokens: 1000}}},
			},
		}},
		RetiredIncarnations: retired,
	})
}

func newFleet(t testing.TB, granted uint64) *fleet {
	f := &fleet{
		t:       t,
		clock:   clockwork.NewFakeClockAt(time.Unix(1_800_000_000, 0)),
		objects: standin.NewObjects(),
		bundles: &testBundles{changed: make(chan struct{})},
		nodes:   make(map[string]*node),
		cut:     make(map[[2]string]bool),
		changed: make(chan struct{}),
	}
	f.bundles.set(granted)
	return f
}

// start adds an instance.
func (f *fleet) start(domain, name string) *node {
	n := &node{
		self:  &api.Instance{Name: name, Incarnation: string(instance.NewIncarnation(name)), Domain: domain},
		mux:   drpcmux.New(),
		fleet: f,
	}
	cfg := settings.Default().Budget
	n.Manager = New(Config{
		Settings: cfg,
		Self:     n.self,
		Clock:    f.clock,
		Log:      &log.Logger{Handler: discard.New(), Level: log.DebugLevel},
		Metrics:  metrics.NewRegistry(),
		Store:    f.objects.Client(name),
		View:     testView{f, n},
		Conns:    testConns{f, n},
		Bundles:  f.bundles,
		Policy:   f.policy,
		Resolve:  f.resolve,
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

// kill ends an instance for good.
func (f *fleet) kill(n *node) {
	f.mu.Lock()
	n.dead = true
	f.mu.Unlock()
	n.end()
	f.viewChanged()
}

// pause keeps an instance from doing anything, and others from seeing it; wake ends it.
func (f *fleet) pause(n *node, paused bool) {
	f.mu.Lock()
	n.paused = paused
	f.mu.Unlock()
	f.viewChanged()
}

// cutLink cuts or heals the link between two instances.
func (f *fleet) cutLink(a, b *node, cut bool) {
	f.mu.Lock()
	f.cut[[2]string{a.self.Incarnation, b.self.Incarnation}] = cut
	f.cut[[2]string{b.self.Incarnation, a.self.Incarnation}] = cut
	f.mu.Unlock()
}

// loseAnswers has answers between instances lost as the function says; nil loses none.
func (f *fleet) loseAnswers(lose func(from, to, rpc string) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lose = lose
}

func (f *fleet) reachable(from, to string) (*node, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := f.nodes[to]
	return n, n != nil && !n.dead && !n.paused && !f.cut[[2]string{from, to}]
}

// running returns the instances that do their background work.
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

// step lets a time pass and has all instances do their background work once.
func (f *fleet) step(d time.Duration) {
	f.clock.Advance(d)
	for _, n := range f.running() {
		n.background(f.t.Context(), d)
	}
	f.land()
}

// land waits until no settlement is on its way, since calls take real time and the fleet's clock stands still meanwhile.
func (f *fleet) land() {
	for _, n := range f.running() {
		for n.entry.inFlight() {
			time.Sleep(20 * time.Microsecond)
		}
	}
}

// inFlight says whether a settlement was sent and not answered.
func (e *entry) inFlight() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for d := range e.sent {
		if d.flying {
			return true
		}
	}
	return false
}

// stepTogether is step with all instances at work side by side.
func (f *fleet) stepTogether(d time.Duration) {
	f.clock.Advance(d)
	var all sync.WaitGroup
	for _, n := range f.running() {
		all.Go(func() { n.background(f.t.Context(), d) })
	}
	all.Wait()
}

// background does what Run's loops do.
func (n *node) background(ctx context.Context, d time.Duration) {
	n.passed += d
	n.every(n.cfg.flushInterval(), d, n.resend)
	n.every(recordInterval*n.cfg.flushInterval(), d, n.writeRecords)
	n.writeLedgers(ctx)
	n.every(reclaimInterval, d, n.reclaim)
	n.every(n.cfg.orphanAfter()/orphanDivisor, d, n.resolveOrphans)
	n.every(n.cfg.orphanAfter()/orphanDivisor, d, n.billMirrored)
	n.every(n.cfg.foldInterval(), d, n.compact)
}

// every does some work if one of its times lies in the last d.
func (n *node) every(interval, d time.Duration, work func(context.Context)) {
	if n.passed/interval != (n.passed-d)/interval {
		work(n.fleet.t.Context())
	}
}

// steps lets a longer time pass in ticks.
func (f *fleet) steps(total time.Duration) {
	for passed := time.Duration(0); passed < total; passed += 250 * time.Millisecond {
		f.step(250 * time.Millisecond)
	}
}

// reserve reserves at an instance while time goes on.
func (f *fleet) reserve(n *node, id string, bound budget.Tokens) Reservation {
	return f.reserveWithin(n, id, bound, 10*time.Second)
}

func (f *fleet) reserveWithin(n *node, id string, bound budget.Tokens, wait time.Duration) Reservation {
	done := make(chan Reservation, 1)
	go func() {
		done <- n.Reserve(f.t.Context(), Request{RequestID: id, Budget: hot, Model: "m", Bound: bound, Wait: wait})
	}()
	return f.await(done)
}

// await lets time go on until a call returns.
func (f *fleet) await(done <-chan Reservation) Reservation {
	for range 4000 {
		select {
		case r := <-done:
			return r
		case <-time.After(200 * time.Microsecond):
			f.step(50 * time.Millisecond)
		}
	}
	f.t.Fatal("reservation did not return")
	return Reservation{}
}

// settle bills a request at an instance.
func (f *fleet) settle(n *node, id string, tokens budget.Tokens) {
	n.Settle(f.t.Context(), Usage{RequestID: id, Budget: hot, Model: "m", Generated: tokens, Ran: true})
}

func (f *fleet) release(n *node, id string) {
	n.Settle(f.t.Context(), Usage{RequestID: id, Budget: hot, Model: "m"})
}

// ledger returns the hot budget's entry in the platform.
func (f *fleet) ledger() *api.BudgetLedger {
	l, _, err := readLedger(f.t.Context(), f.objects.Client("test"), hot.Customer)
	if err != nil {
		f.t.Fatal(err)
	}
	return budget.Budget(l, hot.Budget)
}

// holder returns the instance of a domain that holds the hot budget.
func (f *fleet) holder(domain string) *node {
	for _, n := range f.running() {
		if n.self.Domain == domain && n.owns(hot) {
			return n
		}
	}
	f.t.Fatalf("no holder in %s", domain)
	return nil
}

// other returns an instance of a domain that does not hold the hot budget.
func (f *fleet) other(domain string) *node {
	for _, n := range f.running() {
		if n.self.Domain == domain && !n.owns(hot) {
			return n
		}
	}
	f.t.Fatalf("no other instance in %s", domain)
	return nil
}

// testView sees all instances that are neither dead nor paused.
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
	// Rank by name, so that a test with the same names meets the same holder in every run.
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
		return nil, errCut
	}
	return testConn{c.f, c.n.self.Incarnation, string(i)}, nil
}

// testConn makes each call on a fresh pipe, so that calls run side by side.
type testConn struct {
	f        *fleet
	from, to string
}

func (c testConn) Close() error            { return nil }
func (c testConn) Closed() <-chan struct{} { return nil }
func (c testConn) NewStream(context.Context, string, drpc.Encoding) (drpc.Stream, error) {
	return nil, errors.New("test: no streams")
}

func (c testConn) Invoke(ctx context.Context, rpc string, enc drpc.Encoding, in, out drpc.Message) error {
	n, ok := c.f.reachable(c.from, c.to)
	if !ok {
		return errCut
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
	lose := c.f.lose
	c.f.mu.Unlock()
	if lose != nil && lose(c.from, c.to, rpc) {
		return io.ErrUnexpectedEOF
	}
	return nil
}

// awaitError lets time go on until a call succeeds.
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

// soon returns a context that ends after a moment.
func (f *fleet) soon() (context.Context, context.CancelFunc) {
	return context.WithTimeout(f.t.Context(), 20*time.Millisecond)
}
