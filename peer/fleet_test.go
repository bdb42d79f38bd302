package peer

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"
	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/goleak"
	"google.golang.org/protobuf/types/known/durationpb"

	"pumiceshelf/api"
	"pumiceshelf/instance"
	"pumiceshelf/internal/standin"
	"pumiceshelf/tlsfiles"
)

const (
	testInterval       = 20 * time.Millisecond
	testFailureTimeout = 200 * time.Millisecond
	// eventuallyTimeout bounds the wait for an expected state.
	eventuallyTimeout = 20 * time.Second
)

// network simulates partitions between pairs of addresses, for new and for open connections.
type network struct {
	mu          sync.Mutex
	partitioned map[string]bool
	conns       []*testConn
}

func newNetwork() *network { return &network{partitioned: make(map[string]bool)} }

func pathKey(from, to string) string { return from + ">" + to }

// setPartitioned starts or ends a partition between two addresses, in both directions.
func (l *network) setPartitioned(a, b string, partitioned bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.partitioned[pathKey(a, b)] = partitioned
	l.partitioned[pathKey(b, a)] = partitioned
}

// stall makes the open connections between two addresses discard all writes. New connections work.
func (l *network) stall(a, b string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.conns {
		if c.path == pathKey(a, b) || c.path == pathKey(b, a) {
			c.stalled = true
		}
	}
}

func (l *network) isPartitioned(path string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.partitioned[path]
}

func (l *network) dialer(from string) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		path := pathKey(from, address)
		if l.isPartitioned(path) {
			return nil, fmt.Errorf("partitioned")
		}
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		c := &testConn{Conn: conn, network: l, path: path}
		l.mu.Lock()
		l.conns = append(l.conns, c)
		l.mu.Unlock()
		return c, nil
	}
}

// testConn is a connection of a network.
type testConn struct {
	net.Conn
	network *network
	path    string
	stalled bool
}

func (c *testConn) dropsWrites() bool {
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	return c.stalled || c.network.partitioned[c.path]
}

func (c *testConn) Write(b []byte) (int, error) {
	if c.dropsWrites() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// node is one instance under test.
type node struct {
	*Fleet
	inst    *api.Instance
	metrics metrics.Registry
	kill    func()
}

// testFleet starts instances that share a platform and a network.
type testFleet struct {
	objects *standin.Objects
	network *network
	tls     *TLSConfig
	report  func(name string) Report
	fanout  uint32
	nodes   []*node
}

func newTestFleet() *testFleet {
	return &testFleet{objects: standin.NewObjects(), network: newNetwork(), fanout: 8}
}

func (s *testFleet) start(name, domain, address string) *node {
	listener, err := net.Listen("tcp", address)
	So(err, ShouldBeNil)
	inst := &api.Instance{
		Name:        name,
		Incarnation: string(instance.NewIncarnation(name)),
		Domain:      domain,
		PeerAddress: listener.Addr().String(),
	}
	n := &node{inst: inst, metrics: metrics.NewRegistry()}
	n.Fleet = New(Config{
		Settings: &api.PeerSettings{
			HeartbeatInterval: durationpb.New(testInterval),
			FailureTimeout:    durationpb.New(testFailureTimeout),
			HeartbeatFanout:   s.fanout,
		},
		Self:    inst,
		TLS:     s.tls,
		Clock:   clockwork.NewRealClock(),
		Log:     &log.Logger{Handler: discard.New(), Level: log.FatalLevel},
		Metrics: n.metrics,
		Lister:  s.objects.Client(name),
		Dial:    s.network.dialer(inst.PeerAddress),
		LocalReport: func() Report {
			if s.report == nil {
				return Report{}
			}
			return s.report(name)
		},
	})
	ctx, cancel := context.WithCancel(context.Background())
	var done sync.WaitGroup
	done.Go(func() { _ = n.Serve(ctx, listener) })
	done.Go(func() { _ = n.Run(ctx) })
	var once sync.Once
	n.kill = func() { once.Do(func() { cancel(); done.Wait() }) }
	s.nodes = append(s.nodes, n)
	return n
}

// publishInstanceList sets the platform's instance list to the instances started so far.
func (s *testFleet) publishInstanceList() {
	l := &api.InstanceList{}
	for _, n := range s.nodes {
		l.Instances = append(l.Instances, n.inst)
	}
	s.objects.SetInstances(l)
}

func (s *testFleet) stop() {
	for _, n := range s.nodes {
		n.kill()
	}
}

// eventually waits until a condition holds and fails the test after eventuallyTimeout.
func eventually(name string, condition func() bool) {
	deadline := time.Now().Add(eventuallyTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			So(name, ShouldEqual, "reached")
		}
		time.Sleep(time.Millisecond)
	}
}

// memberStateIs returns a condition: n treats another instance as live and has exchanged a heartbeat with it or, if live
// is false, treats it as failed or does not know it.
func memberStateIs(n *node, other *node, live bool) func() bool {
	return func() bool {
		for _, m := range n.Members() {
			if m.Instance.GetIncarnation() == other.inst.Incarnation {
				return m.Live == live && (!live || m.LastHeartbeatUnixMs > 0)
			}
		}
		return !live
	}
}

func TestFleet(t *testing.T) {
	defer goleak.VerifyNone(t)
	Convey("Given three instances that discovered each other through the platform's instance list", t, func() {
		s := newTestFleet()
		a, b, c := s.start("a", "x", "127.0.0.1:0"), s.start("b", "x", "127.0.0.1:0"), s.start("c", "y", "127.0.0.1:0")
		Reset(s.stop)
		s.publishInstanceList()
		for _, p := range [][2]*node{{a, b}, {a, c}, {b, c}, {b, a}, {c, a}, {c, b}} {
			eventually("discovered", memberStateIs(p[0], p[1], true))
		}

		Convey("the view contains the instances of each domain and all agree on the owner of a topic", func() {
			So(a.Live("x"), ShouldHaveLength, 2)
			So(a.Live("y"), ShouldHaveLength, 1)
			So(a.Owner("topic").GetIncarnation(), ShouldEqual, b.Owner("topic").GetIncarnation())
			So(a.Ranked("topic")[0], ShouldEqual, a.Owner("topic"))
		})

		Convey("with the platform unavailable, a stopped instance is detected and a new one is discovered through the others", func() {
			s.objects.SetFaults(standin.Faults{Unavailable: true})
			b.kill()
			eventually("a treats b as failed", memberStateIs(a, b, false))
			eventually("c treats b as failed", memberStateIs(c, b, false))
			_, err := a.Conn(context.Background(), instance.Incarnation(b.inst.Incarnation))
			So(err, ShouldEqual, ErrNoMember)
			d := s.start("d", "x", "127.0.0.1:0")
			d.Fleet.mu.Lock()
			d.Fleet.table.add(a.inst)
			d.Fleet.mu.Unlock()
			eventually("a treats d as live", memberStateIs(a, d, true))
			eventually("c treats d as live", memberStateIs(c, d, true))
			eventually("d treats c as live", memberStateIs(d, c, true))
		})

		Convey("an instance that restarts at the same address is another incarnation, and old connections do not reach it", func() {
			before := b.inst.Incarnation
			address := b.inst.PeerAddress
			conn, err := a.Conn(context.Background(), instance.Incarnation(before))
			So(err, ShouldBeNil)
			b.kill()
			restarted := s.start("b", "x", address)
			restarted.Fleet.mu.Lock()
			restarted.Fleet.table.add(c.inst)
			restarted.Fleet.mu.Unlock()
			eventually("a treats the new incarnation as live", memberStateIs(a, restarted, true))
			eventually("a treats the old incarnation as failed", memberStateIs(a, b, false))
			_, err = api.NewDRPCMembershipPeerClient(conn).Heartbeat(context.Background(), &api.HeartbeatRequest{From: a.inst})
			So(err, ShouldNotBeNil)
		})

		Convey("instances recover from a network partition without an operator", func() {
			s.network.setPartitioned(a.inst.PeerAddress, b.inst.PeerAddress, true)
			s.network.setPartitioned(a.inst.PeerAddress, c.inst.PeerAddress, true)
			eventually("a treats b as failed", memberStateIs(a, b, false))
			eventually("b treats a as failed", memberStateIs(b, a, false))
			s.network.setPartitioned(a.inst.PeerAddress, b.inst.PeerAddress, false)
			s.network.setPartitioned(a.inst.PeerAddress, c.inst.PeerAddress, false)
			eventually("a treats b as live again", memberStateIs(a, b, true))
			eventually("c treats a as live again", memberStateIs(c, a, true))
		})

		Convey("stalled connections are closed and replaced, and the instances stay live", func() {
			s.network.stall(a.inst.PeerAddress, b.inst.PeerAddress)
			discarded := func() bool {
				return descConnsDiscarded.Counter(a.metrics).Count()+descConnsDiscarded.Counter(b.metrics).Count() > 0
			}
			eventually("discarded", discarded)
			eventually("a treats b as live", memberStateIs(a, b, true))
			conn, err := a.Conn(context.Background(), instance.Incarnation(b.inst.Incarnation))
			So(err, ShouldBeNil)
			callSucceeds := func() bool {
				ctx, cancel := context.WithTimeout(context.Background(), time.Second)
				defer cancel()
				req := &api.HeartbeatRequest{From: a.inst, To: b.inst.Incarnation}
				resp, err := api.NewDRPCMembershipPeerClient(conn).Heartbeat(ctx, req)
				return err == nil && resp.GetFrom().GetIncarnation() == b.inst.Incarnation
			}
			eventually("a call succeeds", callSucceeds)
		})

		Convey("a draining instance is not among the live ones of its domain and owns no topic", func() {
			b.StartDraining()
			isExcluded := func() bool { return len(a.Live("x")) == 1 && len(c.Live("x")) == 1 }
			eventually("excluded", isExcluded)
			So(a.Owner("topic").GetIncarnation(), ShouldEqual, a.inst.Incarnation)
		})
	})
}

func TestMutualTLS(t *testing.T) {
	defer goleak.VerifyNone(t)
	Convey("Given two instances with certificates of one authority and one instance with a certificate of another", t, func() {
		fleet, err := standin.NewAuthority("fleet")
		So(err, ShouldBeNil)
		other, err := standin.NewAuthority("other")
		So(err, ShouldBeNil)
		s := newTestFleet()
		Reset(s.stop)
		start := func(name string, a *standin.Authority) *node {
			files, err := a.WriteFiles(t.TempDir(), name)
			So(err, ShouldBeNil)
			source, err := tlsfiles.New(files)
			So(err, ShouldBeNil)
			s.tls = &TLSConfig{Server: source.ServerConfig(true), Client: source.ClientConfig}
			return s.start(name, "x", "127.0.0.1:0")
		}
		a, b, untrusted := start("a", fleet), start("b", fleet), start("stranger", other)
		s.publishInstanceList()

		Convey("instances of the same authority connect, and connections with the other one fail", func() {
			eventually("a connects to b", memberStateIs(a, b, true))
			eventually("b connects to a", memberStateIs(b, a, true))
			eventually("a does not reach the untrusted instance", memberStateIs(a, untrusted, false))
			So(descConnsFailed.Counter(untrusted.metrics).Count()+descConnsFailed.Counter(a.metrics).Count(), ShouldBeGreaterThan, 0)
		})
	})
}
