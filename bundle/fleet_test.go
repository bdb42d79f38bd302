package bundle

import (
	"cmp"
	"context"
	"crypto/ed25519"
	"crypto/sha256"
	"errors"
	"fmt"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"
	"google.golang.org/protobuf/types/known/durationpb"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"pumiceshelf/api"
	"pumiceshelf/instance"
	"pumiceshelf/internal/standin"
	"pumiceshelf/objectstore"
	"pumiceshelf/peer"
)

// operator is a test operator with its private key.
type operator struct {
	id  string
	key ed25519.PrivateKey
}

func testOperator(id string) operator {
	seed := sha256.Sum256([]byte(id))
	return operator{id: id, key: ed25519.NewKeyFromSeed(seed[:])}
}

func (o operator) public() *api.OperatorKey {
	return &api.OperatorKey{Id: o.id, PublicKey: o.key.Public().(ed25519.PublicKey)}
}

func publicKeys(list ...operator) []*api.OperatorKey {
	var out []*api.OperatorKey
	for _, o := range list {
		out = append(out, o.public())
	}
	return out
}

var ana, badr, carla = testOperator("ana"), testOperator("badr"), testOperator("carla")

// testBundle returns a valid bundle with the given number of customers and of budgets for each.
func testBundle(number uint64, customers, budgetsEach int) *api.Bundle {
	b := &api.Bundle{
		Number:          number,
		Operators:       publicKeys(ana, badr),
		Threshold:       2,
		Models:          []*api.Model{{Id: "agronomy", DefaultCapTokens: 512, MaxCapTokens: 4096}},
		Services:        []*api.Service{{Id: "plans", PathPrefix: "/plans/", Timeout: durationpb.New(time.Second)}},
		ConcurrentLoads: 2,
		Endpoints: []*api.Endpoint{
			{Id: "engine-1", Domain: "d1", Url: "http://192.0.2.1:8000", Models: []string{"agronomy"}},
			{Id: "plans-1", Domain: "d1", Url: "http://192.0.2.2:8000", Service: "plans"},
		},
	}
	for i := range customers {
		b.Customers = append(b.Customers, testCustomer(fmt.Sprintf("customer-%04d", i), budgetsEach))
	}
	return b
}

func testCustomer(id string, budgets int) *api.Customer {
	key := HashKey("key of " + id)
	c := &api.Customer{Id: id, KeyHashes: [][]byte{key[:]}, Weight: 1}
	for i := range budgets {
		c.Budgets = append(c.Budgets, &api.Budget{
			Id:     fmt.Sprintf("budget-%d", i),
			Grants: []*api.Grant{{Id: "first", Tokens: 1_000_000}},
			Models: []string{"agronomy"},
		})
	}
	return c
}

// signedNext splits a bundle and signs it as the successor of the bundle that the store's pointer names.
func signedNext(store *standin.Client, b *api.Bundle, operators ...operator) (*api.SignedManifest, [][]byte) {
	ctx := context.Background()
	p, err := ReadPointer(ctx, store)
	if err != nil {
		panic(err)
	}
	approvers, err := ReadApprovers(ctx, store, p)
	if err != nil {
		panic(err)
	}
	m, parts := Split(b)
	SetPrevious(m, p, approvers)
	signed := &api.SignedManifest{Manifest: encode(m)}
	for _, o := range operators {
		AddSignature(signed, o.id, o.key)
	}
	return signed, parts
}

// mustRoll rolls a bundle signed by ana and badr.
func mustRoll(t testing.TB, objects *standin.Objects, b *api.Bundle) *api.SignedManifest {
	store := objects.Client("operator")
	signed, parts := signedNext(store, b, ana, badr)
	if err := Roll(context.Background(), store, signed, parts); err != nil {
		t.Fatal(err)
	}
	return signed
}

var errPartitioned = errors.New("link disconnected")

// testFleet runs holders in one process. The links between them and to the object store can be disconnected.
type testFleet struct {
	t       testing.TB
	objects *standin.Objects
	clock   clockwork.Clock
	mu      sync.Mutex
	nodes   []*node
	// partitioned reports whether there is no link from one instance to another. The object store is named "platform".
	partitioned func(a, b string) bool
	// heartbeatNumbers holds the bundle numbers in the last heartbeats; nil if views get them without delay.
	heartbeatNumbers map[string]uint64
	// stalled names the instances whose calls to the object store get no response.
	stalled map[string]bool
}

// node is one instance of a test fleet. It implements the parts of peer.Conns and peer.View that holders use.
type node struct {
	peer.View
	fleet   *testFleet
	self    *api.Instance
	holder  *Holder
	metrics metrics.Registry
	mux     *drpcmux.Mux
	cancel  context.CancelFunc
	done    chan struct{}
}

func newFleet(t testing.TB, clock clockwork.Clock) *testFleet {
	f := &testFleet{t: t, objects: standin.NewObjects(), clock: clock, partitioned: func(a, b string) bool { return false }}
	f.applyPartition()
	return f
}

func (f *testFleet) applyPartition() {
	f.objects.SetFaults(standin.Faults{Partitioned: func(caller string) bool { return f.isPartitioned(caller, "platform") }})
}

// setPartition replaces the active partition.
func (f *testFleet) setPartition(partitioned func(a, b string) bool) {
	f.mu.Lock()
	f.partitioned = partitioned
	f.mu.Unlock()
	f.applyPartition()
}

func (f *testFleet) isPartitioned(a, b string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.partitioned(a, b) || f.partitioned(b, a)
}

// add creates and starts an instance in a domain.
func (f *testFleet) add(domain, name string) *node {
	n := f.prepare(domain, name)
	n.run()
	return n
}

// prepare creates an instance without starting it.
func (f *testFleet) prepare(domain, name string) *node {
	n := &node{
		fleet:   f,
		self:    &api.Instance{Name: name, Domain: domain, Incarnation: string(instance.NewIncarnation(name))},
		metrics: metrics.NewRegistry(),
		mux:     drpcmux.New(),
		done:    make(chan struct{}),
	}
	n.holder = New(Config{
		Settings:       &api.BundleSettings{PollInterval: durationpb.New(30 * time.Second)},
		FirstOperators: publicKeys(ana, badr),
		FirstThreshold: 2,
		Self:           n.self,
		Clock:          f.clock,
		Log:            &log.Logger{Handler: discard.Default, Level: log.DebugLevel},
		Metrics:        n.metrics,
		Store:          &fleetStore{Store: f.objects.Client(name), fleet: f, name: name},
		View:           n,
		Conns:          n,
	})
	if err := n.holder.Register(n.mux); err != nil {
		f.t.Fatal(err)
	}
	f.mu.Lock()
	f.nodes = append(f.nodes, n)
	f.mu.Unlock()
	return n
}

func (n *node) run() {
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	go func() {
		defer close(n.done)
		_ = n.holder.Run(ctx)
	}()
}

// stop stops an instance and removes it from every view.
func (n *node) stop() {
	if n.cancel != nil {
		n.cancel()
		<-n.done
	}
	n.fleet.mu.Lock()
	defer n.fleet.mu.Unlock()
	n.fleet.nodes = slices.DeleteFunc(n.fleet.nodes, func(o *node) bool { return o == n })
}

func (f *testFleet) stopAll() {
	for _, n := range f.list() {
		n.stop()
	}
}

func (f *testFleet) list() []*node {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.nodes)
}

// numberSeenByPeers returns the bundle number of a node as seen by its peers.
func (f *testFleet) numberSeenByPeers(n *node) uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.heartbeatNumbers == nil {
		return n.holder.Number()
	}
	return f.heartbeatNumbers[n.self.Name]
}

// heartbeats updates the bundle numbers that peers see once per interval until ctx ends, so that views lag by up to the
// interval.
func (f *testFleet) heartbeats(ctx context.Context, interval time.Duration) {
	for ctx.Err() == nil {
		numbers := make(map[string]uint64)
		for _, n := range f.list() {
			numbers[n.self.Name] = n.holder.Number()
		}
		f.mu.Lock()
		f.heartbeatNumbers = numbers
		f.mu.Unlock()
		time.Sleep(interval)
	}
}

// fleetStore is a node's client of the object store, whose calls may stall.
type fleetStore struct {
	objectstore.Store
	fleet *testFleet
	name  string
}

func (s *fleetStore) stall(ctx context.Context) error {
	s.fleet.mu.Lock()
	stalled := s.fleet.stalled[s.name]
	s.fleet.mu.Unlock()
	if !stalled {
		return nil
	}
	<-ctx.Done()
	return objectstore.ErrUnavailable
}

func (s *fleetStore) Get(ctx context.Context, key string) (objectstore.Object, error) {
	if err := s.stall(ctx); err != nil {
		return objectstore.Object{}, err
	}
	return s.Store.Get(ctx, key)
}

func (s *fleetStore) Watch(ctx context.Context, key string, after objectstore.Version) (objectstore.Object, error) {
	obj, err := s.Store.Watch(ctx, key, after)
	if stallErr := s.stall(ctx); stallErr != nil {
		return objectstore.Object{}, stallErr
	}
	return obj, err
}

// Members implements peer.View.
func (n *node) Members() []peer.Member {
	var out []peer.Member
	for _, o := range n.fleet.list() {
		out = append(out, peer.Member{
			Instance:          o.self,
			Live:              !n.fleet.isPartitioned(n.self.Name, o.self.Name),
			BundleNumber:      n.fleet.numberSeenByPeers(o),
			PlatformReachable: !o.holder.storeUnavailable.Load(),
		})
	}
	return out
}

// Ranked implements peer.View.
func (n *node) Ranked(topic string) []*api.Instance {
	var out []*api.Instance
	for _, m := range n.Members() {
		if m.Live && m.Instance.Domain == n.self.Domain {
			out = append(out, m.Instance)
		}
	}
	weight := func(i *api.Instance) uint64 { return xxhash.Sum64String(topic + i.Incarnation) }
	slices.SortFunc(out, func(a, b *api.Instance) int { return cmp.Compare(weight(a), weight(b)) })
	return out
}

// Conn implements peer.Conns.
func (n *node) Conn(_ context.Context, i instance.Incarnation) (drpc.Conn, error) {
	for _, o := range n.fleet.list() {
		if o.self.Incarnation != string(i) {
			continue
		}
		if n.fleet.isPartitioned(n.self.Name, o.self.Name) {
			return nil, errPartitioned
		}
		return n.connTo(o), nil
	}
	return nil, peer.ErrNoMember
}

// connTo returns a new in-memory connection to a node. Calls on it are serial.
func (n *node) connTo(o *node) drpc.Conn {
	clientEnd, serverEnd := net.Pipe()
	ctx, cancel := context.WithCancel(context.Background())
	go func() { _ = drpcserver.New(o.mux).ServeOne(ctx, serverEnd) }()
	conn := drpcconn.New(clientEnd)
	n.fleet.t.Cleanup(func() {
		cancel()
		_ = conn.Close()
	})
	return conn
}

// eventually waits until ok returns true and fails the test after 20 s.
func eventually(t testing.TB, what string, ok func() bool) {
	t.Helper()
	deadline := time.Now().Add(20 * time.Second)
	for !ok() {
		if time.Now().After(deadline) {
			t.Fatalf("not true within 20 s: %s", what)
		}
		time.Sleep(time.Millisecond)
	}
}
