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
	// Server is the configuration of all accepted connections.
	Server *tls.Config
	// Client returns the configuration of one outgoing connection.
	Client func() *tls.Config
}

// Report is the state that an instance sends to others with its heartbeats.
type Report struct {
	// BundleNumber is the number of the active bundle.
	BundleNumber uint64
	// DrainingEndpoints are the endpoints known to be draining.
	DrainingEndpoints []string
	// Loads are load reports of endpoints. At most one instance of a domain reports an endpoint.
	Loads []*api.EndpointLoad
	// PlatformReachable reports whether the platform was reached recently.
	PlatformReachable bool
}

// Config configures a Fleet. Settings, Self, Clock, Log and Metrics are required.
type Config struct {
	Settings *api.PeerSettings
	Self     *api.Instance
	// TLS is nil for plain TCP.
	TLS     *TLSConfig
	Clock   clockwork.Clock
	Log     log.Interface
	Metrics metrics.Registry
	// Lister reads the platform's instance list. When nil, instances are discovered through heartbeats only.
	Lister objectstore.InstanceLister
	// Dial opens connections. When nil, a dialer with TCP keep-alive is used.
	Dial    DialFunc
	Repairs *telemetry.Repairs
	// LocalReport returns the state to send with heartbeats. When nil, reports are empty.
	LocalReport func() Report
	// OnReport is called with each report received from another instance, if set.
	OnReport func(from *api.Instance, r Report)
	// OnInstanceList is called with each list read from the platform, if set.
	OnInstanceList func(*api.InstanceList)
}

// Fleet connects this instance with the others. It implements View and Conns and is safe for concurrent use.
type Fleet struct {
	cfg          Config
	mux          *drpcmux.Mux
	counters     counters
	current      atomic.Pointer[snapshot]
	gossipSignal chan struct{}

	mu      sync.Mutex
	table   *table
	changed chan struct{}
	rnd     *rand.Rand
	tick    uint64
	// remainingHeartbeats is how many more heartbeats may be sent in the current interval.
	remainingHeartbeats int
	pools               map[instance.Incarnation]*pool
	inFlight            map[instance.Incarnation]bool
}

var (
	_ View  = (*Fleet)(nil)
	_ Conns = (*Fleet)(nil)
)

// New returns a Fleet whose view contains only this instance until Run is called.
func New(cfg Config) *Fleet {
	if cfg.Dial == nil {
		cfg.Dial = defaultDialer().DialContext
	}
	if cfg.LocalReport == nil {
		cfg.LocalReport = func() Report { return Report{} }
	}
	if cfg.OnReport == nil {
		cfg.OnReport = func(*api.Instance, Report) {}
	}
	if cfg.OnInstanceList == nil {
		cfg.OnInstanceList = func(*api.InstanceList) {}
	}
	self := proto.Clone(cfg.Self).(*api.Instance)
	f := &Fleet{
		cfg:          cfg,
		mux:          drpcmux.New(),
		counters:     newCounters(cfg.Metrics),
		gossipSignal: make(chan struct{}, 1),
		table:        newTable(self, cfg.Settings.GetFailureTimeout().AsDuration()),
		changed:      make(chan struct{}),
		rnd:          rand.New(rand.NewPCG(targetSeed(self), 0)),
		pools:        make(map[instance.Incarnation]*pool),
		inFlight:     make(map[instance.Incarnation]bool),
	}
	f.current.Store(f.table.snapshot())
	if err := api.DRPCRegisterMembershipPeer(f.mux, (*heartbeatServer)(f)); err != nil {
		panic(fmt.Sprintf("peer: register heartbeat server: %v", err))
	}
	return f
}

// defaultDialer returns a dialer with TCP keep-alive, so that the kernel closes unresponsive connections, even during a call.
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

// targetSeed returns a seed that depends on the incarnation, so that instances choose different heartbeat targets.
func targetSeed(self *api.Instance) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(self.GetIncarnation()))
	return h.Sum64()
}

// Mux returns the mux on which components register the calls that they serve to other instances.
func (f *Fleet) Mux() drpc.Mux { return f.mux }

// Serve accepts connections of other instances on the listener and serves their calls until ctx ends.
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

// Run exchanges heartbeats and reads the platform's instance list until ctx ends.
func (f *Fleet) Run(ctx context.Context) error {
	defer f.closePools()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return f.runHeartbeats(ctx) })
	if f.cfg.Lister != nil {
		group.Go(func() error { return f.pollInstanceList(ctx) })
	}
	return group.Wait()
}

// StartDraining marks this instance as draining and announces it to the others.
func (f *Fleet) StartDraining() {
	f.mu.Lock()
	self := proto.Clone(f.table.self).(*api.Instance)
	self.Leaving = true
	f.table.self = self
	f.table.changed = true
	f.table.updates.push(&api.MemberUpdate{Instance: self}, len(f.table.members))
	f.publishIfChanged()
	f.mu.Unlock()
	f.cfg.Log.Info("peer: draining")
	f.signalGossip()
}

// Status returns the state of the other instances for operators.
func (f *Fleet) Status() []*api.PeerStatus {
	s := f.current.Load()
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

// publishIfChanged updates the view and closes the Changed channel if the set of known, live or draining instances changed.
// f.mu must be held.
func (f *Fleet) publishIfChanged() {
	if !f.table.changed {
		return
	}
	f.table.changed = false
	f.storeSnapshot()
	close(f.changed)
	f.changed = make(chan struct{})
}

// storeSnapshot updates the view from the table, including the last report of each instance. f.mu must be held.
func (f *Fleet) storeSnapshot() {
	s := f.table.snapshot()
	f.current.Store(s)
	f.counters.live.Update(int64(countLive(s)))
}

func countLive(s *snapshot) int {
	n := 0
	for _, m := range s.members {
		if m.Live {
			n++
		}
	}
	return n
}

// signalGossip makes the heartbeat loop send queued updates before its next interval.
func (f *Fleet) signalGossip() {
	select {
	case f.gossipSignal <- struct{}{}:
	default:
	}
}
