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
	testInterval = 20 * time.Millisecond
	testTimeout  = 200 * time.Millisecond
	// testPatience bounds the wait for a state that must come about.
	testPatience = 20 * time.Second
)

// links cuts pairs of addresses at the dialler, for connections that are open too.
type links struct {
	mu    sync.Mutex
	cut   map[string]bool
	conns []*cutConn
}

func newLinks() *links { return &links{cut: make(map[string]bool)} }

func pair(from, to string) string { return from + ">" + to }

// set cuts or heals the way between two addresses, both ways.
func (l *links) set(a, b string, cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut[pair(a, b)] = cut
	l.cut[pair(b, a)] = cut
}

// silence lets the connections open so far between two addresses swallow all that is written; new ones work.
func (l *links) silence(a, b string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.conns {
		if c.way == pair(a, b) || c.way == pair(b, a) {
			c.silent = true
		}
	}
}

func (l *links) isCut(way string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cut[way]
}

func (l *links) dialer(from string) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		way := pair(from, address)
		if l.isCut(way) {
			return nil, fmt.Errorf("cut")
		}
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		c := &cutConn{Conn: conn, links: l, way: way}
		l.mu.Lock()
		l.conns = append(l.conns, c)
		l.mu.Unlock()
		return c, nil
	}
}

type cutConn struct {
	net.Conn
	links  *links
	way    string
	silent bool
}

func (c *cutConn) swallows() bool {
	c.links.mu.Lock()
	defer c.links.mu.Unlock()
	return c.silent || c.links.cut[c.way]
}

func (c *cutConn) Write(b []byte) (int, error) {
	if c.swallows() {
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

// stage starts instances that share a platform and links.
type stage struct {
	objects *standin.Objects
	links   *links
	tls     *TLSConfig
	report  func(name string) Report
	fanout  uint32
	nodes   []*node
}

func newStage() *stage {
	return &stage{objects: standin.NewObjects(), links: newLinks(), fanout: 8}
}

func (s *stage) start(name, domain, address string) *node {
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
			FailureTimeout:    durationpb.New(testTimeout),
			HeartbeatFanout:   s.fanout,
		},
		Self:    inst,
		TLS:     s.tls,
		Clock:   clockwork.NewRealClock(),
		Log:     &log.Logger{Handler: discard.New(), Level: log.FatalLevel},
		Metrics: n.metrics,
		Lister:  s.objects.Link(name),
		Dial:    s.links.dialer(inst.PeerAddress),
		Local: func() Report {
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

// list makes the platform list the instances started so far.
func (s *stage) list() {
	l := &api.InstanceList{}
	for _, n := range s.nodes {
		l.Instances = append(l.Instances, n.inst)
	}
	s.objects.SetInstances(l)
}

func (s *stage) stop() {
	for _, n := range s.nodes {
		n.kill()
	}
}

// eventually waits for a state that must come about.
func eventually(what string, holds func() bool) {
	deadline := time.Now().Add(testPatience)
	for !holds() {
		if time.Now().After(deadline) {
			So(what, ShouldEqual, "reached")
		}
		time.Sleep(time.Millisecond)
	}
}

func sees(n *node, other *node, live bool) func() bool {
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
	Convey("Given three instances that have met through the platform's list", t, func() {
		s := newStage()
		a, b, c := s.start("a", "x", "127.0.0.1:0"), s.start("b", "x", "127.0.0.1:0"), s.start("c", "y", "127.0.0.1:0")
		Reset(s.stop)
		s.list()
		for _, p := range [][2]*node{{a, b}, {a, c}, {b, c}, {b, a}, {c, a}, {c, b}} {
			eventually("met", sees(p[0], p[1], true))
		}

		Convey("the view has each domain's instances and all agree on the owner", func() {
			So(a.Live("x"), ShouldHaveLength, 2)
			So(a.Live("y"), ShouldHaveLength, 1)
			So(a.Owner("topic").GetIncarnation(), ShouldEqual, b.Owner("topic").GetIncarnation())
			So(a.Ranked("topic")[0], ShouldEqual, a.Owner("topic"))
		})

		Convey("one that dies is seen to be gone, with the platform down, and one that is new is met through the others", func() {
			s.objects.SetFaults(standin.Faults{Down: true})
			b.kill()
			eventually("a sees b gone", sees(a, b, false))
			eventually("c sees b gone", sees(c, b, false))
			_, err := a.Conn(context.Background(), instance.Incarnation(b.inst.Incarnation))
			So(err, ShouldEqual, ErrNoMember)
			d := s.start("d", "x", "127.0.0.1:0")
			d.Fleet.mu.Lock()
			d.Fleet.table.add(a.inst)
			d.Fleet.mu.Unlock()
			eventually("a sees d", sees(a, d, true))
			eventually("c sees d", sees(c, d, true))
			eventually("d sees c", sees(d, c, true))
		})

		Convey("one that starts again at the same address is another incarnation", func() {
			before := b.inst.Incarnation
			address := b.inst.PeerAddress
			conn, err := a.Conn(context.Background(), instance.Incarnation(before))
			So(err, ShouldBeNil)
			b.kill()
			again := s.start("b", "x", address)
			again.Fleet.mu.Lock()
			again.Fleet.table.add(c.inst)
			again.Fleet.mu.Unlock()
			eventually("a sees the new one", sees(a, again, true))
			eventually("a sees the old one gone", sees(a, b, false))
			_, err = api.NewDRPCMembershipPeerClient(conn).Heartbeat(context.Background(), &api.HeartbeatRequest{From: a.inst})
			So(err, ShouldNotBeNil)
		})

		Convey("a cut link heals without an operator", func() {
			s.links.set(a.inst.PeerAddress, b.inst.PeerAddress, true)
			s.links.set(a.inst.PeerAddress, c.inst.PeerAddress, true)
			eventually("a sees b gone", sees(a, b, false))
			eventually("b sees a gone", sees(b, a, false))
			s.links.set(a.inst.PeerAddress, b.inst.PeerAddress, false)
			s.links.set(a.inst.PeerAddress, c.inst.PeerAddress, false)
			eventually("a sees b again", sees(a, b, true))
			eventually("c sees a again", sees(c, a, true))
		})

		Convey("silent connections are discarded and dialled anew, and no instance is lost by it", func() {
			s.links.silence(a.inst.PeerAddress, b.inst.PeerAddress)
			discarded := func() bool {
				return connsDiscarded.Counter(a.metrics).Count()+connsDiscarded.Counter(b.metrics).Count() > 0
			}
			eventually("discarded", discarded)
			eventually("a sees b", sees(a, b, true))
			conn, err := a.Conn(context.Background(), instance.Incarnation(b.inst.Incarnation))
			So(err, ShouldBeNil)
			answered := func() bool {
				ctx, cancel := context.WithTimeout(context.Background(), time.Second)
				defer cancel()
				req := &api.HeartbeatRequest{From: a.inst, To: b.inst.Incarnation}
				resp, err := api.NewDRPCMembershipPeerClient(conn).Heartbeat(ctx, req)
				return err == nil && resp.GetFrom().GetIncarnation() == b.inst.Incarnation
			}
			eventually("a call gets through", answered)
		})

		Convey("one that leaves is no longer live for its domain but still known", func() {
			b.Leave()
			left := func() bool { return len(a.Live("x")) == 1 && len(c.Live("x")) == 1 }
			eventually("left", left)
			So(a.Owner("topic").GetIncarnation(), ShouldEqual, a.inst.Incarnation)
		})
	})
}

func TestMutualTLS(t *testing.T) {
	defer goleak.VerifyNone(t)
	Convey("Given instances with certificates of one authority and one with another's", t, func() {
		fleet, err := standin.NewAuthority("fleet")
		So(err, ShouldBeNil)
		other, err := standin.NewAuthority("other")
		So(err, ShouldBeNil)
		s := newStage()
		Reset(s.stop)
		start := func(name string, a *standin.Authority) *node {
			files, err := a.WriteFiles(t.TempDir(), name)
			So(err, ShouldBeNil)
			source, err := tlsfiles.New(files)
			So(err, ShouldBeNil)
			s.tls = &TLSConfig{Server: source.ServerConfig(true), Client: source.ClientConfig}
			return s.start(name, "x", "127.0.0.1:0")
		}
		a, b, stranger := start("a", fleet), start("b", fleet), start("stranger", other)
		s.list()

		Convey("those of the authority meet, the other is met by none", func() {
			eventually("a meets b", sees(a, b, true))
			eventually("b meets a", sees(b, a, true))
			eventually("a does not reach the stranger", sees(a, stranger, false))
			So(connsFailed.Counter(stranger.metrics).Count()+connsFailed.Counter(a.metrics).Count(), ShouldBeGreaterThan, 0)
		})
	})
}
