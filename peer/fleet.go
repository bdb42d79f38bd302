package peer

import (
	"context"
	"crypto/tls"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"
	"storj.io/drpc"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"pumiceshelf/api"
	"pumiceshelf/instance"
	"pumiceshelf/objectstore"
	"pumiceshelf/telemetry"
)

// TLSConfig secures the connections between instances.
type TLSConfig struct {
	// Server is used for all connections taken.
	Server *tls.Config
	// Client returns the configuration of one connection to dial.
	Client func() *tls.Config
}

// Report is what an instance tells others with its heartbeats.
type Report struct {
	// BundleNumber is the bundle in force.
	BundleNumber uint64
	// LeavingEndpoints are the endpoints known to be leaving.
	LeavingEndpoints []string
	// Loads are load reports of endpoints, sent by at most one instance of a domain.
	Loads []*api.EndpointLoad
	// PlatformReachable says whether the platform was reached lately.
	PlatformReachable bool
}

// Config of a Fleet. Settings, Self, Clock, Log and Metrics are needed.
type Config struct {
	Settings *api.PeerSettings
	Self     *api.Instance
	// TLS is nil for plain TCP.
	TLS     *TLSConfig
	Clock   clockwork.Clock
	Log     log.Interface
	Metrics metrics.Registry
	// Lister is the platform's instance list; without it instances are learnt from heartbeats alone.
	Lister objectstore.InstanceLister
	// Dial opens connections; a dialler with keep-alive when nil.
	Dial    DialFunc
	Repairs *telemetry.Repairs
	// Local returns what to tell others; nothing when nil.
	Local func() Report
	// OnReport is called with what another instance told, if set.
	OnReport func(from *api.Instance, r Report)
	// OnList is called with each list read from the platform, if set.
	OnList func(*api.InstanceList)
}

// Fleet connects this instance with the others. It implements View and Conns and is safe for concurrent use.
type Fleet struct {
	cfg   Config
	mux   *drpcmux.Mux
	count counters
	snap  atomic.Pointer[snapshot]
	kick  chan struct{}

	mu      sync.Mutex
	table   *table
	changed chan struct{}
	rnd     *rand.Rand
	tick    uint64
	// left is how many heartbeats may still be sent in this interval.
	left    int
	pools   map[instance.Incarnation]*pool
	pending map[instance.Incarnation]bool
}

var (
	_ View  = (*Fleet)(nil)
	_ Conns = (*Fleet)(nil)
)

// New returns the fleet as this instance sees it, which is itself alone until Run.
func New(cfg Config) *Fleet {
	if cfg.Dial == nil {
		cfg.Dial = defaultDialer().DialContext
	}
	if cfg.Local == nil {
		cfg.Local = func() Report { return Report{} }
	}
	if cfg.OnReport == nil {
		cfg.OnReport = func(*api.Instance, Report) {}
	}
	if cfg.OnList == nil {
		cfg.OnList = func(*api.InstanceList) {}
	}
	self := proto.Clone(cfg.Self).(*api.Instance)
	f := &Fleet{
		cfg:     cfg,
		mux:     drpcmux.New(),
		count:   newCounters(cfg.Metrics),
		kick:    make(chan struct{}, 1),
		table:   newTable(self, cfg.Settings.GetFailureTimeout().AsDuration()),
		changed: make(chan struct{}),
		rnd:     rand.New(rand.NewPCG(seedOf(self), 0)),
		pools:   make(map[instance.Incarnation]*pool),
		pending: make(map[instance.Incarnation]bool),
	}
	f.snap.Store(f.table.snapshot())
	if err := api.DRPCRegisterMembershipPeer(f.mux, (*heartbeatServer)(f)); err != nil {
		panic(fmt.Sprintf("peer: register: %v", err))
	}
	return f
}

// defaultDialer finds connections on which nothing comes back by the kernel's keep-alive, also while a call waits on them.
func defaultDialer() *net.Dialer {
	return &net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount},
	}
}

const (
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 3
)

// seedOf makes the choice of targets differ between instances.
func seedOf(self *api.Instance) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(self.GetIncarnation()))
	return h.Sum64()
}

// Mux is where all parts register the calls that they serve to other instances.
func (f *Fleet) Mux() drpc.Mux { return f.mux }

// Serve answers other instances on the listener until ctx ends.
func (f *Fleet) Serve(ctx context.Context, listener net.Listener) error {
	if f.cfg.TLS != nil {
		listener = tls.NewListener(listener, f.cfg.TLS.Server)
	}
	server := drpcserver.NewWithOptions(f.mux, drpcserver.Options{Log: func(err error) {
		f.cfg.Log.Debugf("peer: connection ended: %v", err)
	}})
	if err := server.Serve(ctx, listener); err != nil && ctx.Err() == nil {
		return fmt.Errorf("peer: serve: %w", err)
	}
	return nil
}

// Run exchanges heartbeats and reads the platform's list until ctx ends.
func (f *Fleet) Run(ctx context.Context) error {
	defer f.closePools()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return f.beat(ctx) })
	if f.cfg.Lister != nil {
		group.Go(func() error { return f.poll(ctx) })
	}
	return group.Wait()
}

// Leave marks this instance as taking no new work and tells the others.
func (f *Fleet) Leave() {
	f.mu.Lock()
	self := proto.Clone(f.table.self).(*api.Instance)
	self.Leaving = true
	f.table.self = self
	f.table.changed = true
	f.table.news.push(&api.MemberUpdate{Instance: self}, len(f.table.members))
	f.publish()
	f.mu.Unlock()
	f.cfg.Log.Info("peer: leaving")
	f.wake()
}

// Status lists the other instances for operators.
func (f *Fleet) Status() []*api.PeerStatus {
	s := f.snap.Load()
	var out []*api.PeerStatus
	for _, m := range s.members {
		if m.Instance.GetIncarnation() == s.self.GetIncarnation() {
			continue
		}
		out = append(out, &api.PeerStatus{
			Instance:            m.Instance,
			Reachable:           m.Live,
			LastHeartbeatUnixMs: m.LastHeartbeatUnixMs,
			BundleNumber:        m.BundleNumber,
		})
	}
	return out
}

// publish makes the table's state the view if who is known, live or leaving changed. It needs the lock.
func (f *Fleet) publish() {
	if !f.table.changed {
		return
	}
	f.table.changed = false
	f.refresh()
	close(f.changed)
	f.changed = make(chan struct{})
}

// refresh makes the table's state the view, with what instances last said. It needs the lock.
func (f *Fleet) refresh() {
	s := f.table.snapshot()
	f.snap.Store(s)
	f.count.live.Update(int64(liveCount(s)))
}

func liveCount(s *snapshot) int {
	n := 0
	for _, m := range s.members {
		if m.Live {
			n++
		}
	}
	return n
}

// wake lets the heartbeat loop look for something to spread before its next interval.
func (f *Fleet) wake() {
	select {
	case f.kick <- struct{}{}:
	default:
	}
}
