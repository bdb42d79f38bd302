package idempotency

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"fmt"
	"maps"
	mathrand "math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"
	"storj.io/drpc"

	"pumiceshelf/api"
	"pumiceshelf/claim"
	"pumiceshelf/instance"
	"pumiceshelf/objectstore"
	"pumiceshelf/peer"
	"pumiceshelf/trace"
)

const (
	// batchesPerSecond bounds the batches that are decided per shard and second on average, so that writes to the object
	// store grow neither with the number of requests nor with the number of instances.
	batchesPerSecond = 10
	// maxBatchBurst is the number of batches that may be decided at once after a pause.
	maxBatchBurst = 10
	// shardIdleTimeout is how long the state of an unused shard is kept in memory.
	shardIdleTimeout = 10 * time.Minute
)

// Config configures a Manager. All fields except Traces and Policy are required.
type Config struct {
	Settings *api.ClaimSettings
	Self     *api.Instance
	Clock    clockwork.Clock
	Log      log.Interface
	Metrics  metrics.Registry
	Store    objectstore.Store
	View     peer.View
	Conns    peer.Conns
	Traces   *trace.Store
	Policy   Policy
}

// Manager implements Deduplicator. It stores claims in the object store and, for keys that this incarnation issued, in
// memory.
type Manager struct {
	cfg      Config
	self     instance.Incarnation
	counters counters
	// baseCtx ends all background work when it is canceled.
	baseCtx context.Context
	cancel  context.CancelFunc
	wg      sync.WaitGroup
	// lastAttempt is the number of the latest request that was passed to Begin.
	lastAttempt atomic.Uint64
	// batchRate limits the batches of each shard; tests change it.
	batchRate rate.Limit

	local   *localRequests
	issued  *issuedKeys
	pending *pendingOutcomes

	mu     sync.Mutex
	shards map[uint32]*shard
	routes map[uint32]*batcher
	// shardCount is zero until the layout was read.
	shardCount uint32
	// layoutMu is held while the layout is read from the object store.
	layoutMu sync.Mutex
	// failFastUntil is set when the object store was reached neither by this instance nor through others. Proposals fail
	// immediately until then.
	failFastUntil time.Time
}

var (
	_ Deduplicator            = (*Manager)(nil)
	_ Issuer                  = (*Manager)(nil)
	_ api.DRPCClaimPeerServer = (*Manager)(nil)
)

// New returns a Manager without claims in memory. Its background work ends when Run returns.
func New(cfg Config) *Manager {
	self := instance.Incarnation(cfg.Self.GetIncarnation())
	if cfg.Policy == PolicyIssued && cfg.Settings.GetAdmitStatedKeys() {
		cfg.Policy = PolicyStated
	}
	base, cancel := context.WithCancel(context.Background())
	m := &Manager{
		cfg:       cfg,
		self:      self,
		counters:  newCounters(cfg.Metrics),
		baseCtx:   base,
		cancel:    cancel,
		batchRate: batchesPerSecond,
		local:     newLocalRequests(),
		shards:    make(map[uint32]*shard),
		routes:    make(map[uint32]*batcher),
	}
	var secret [sha256.Size]byte
	if _, err := rand.Read(secret[:]); err != nil {
		panic(fmt.Sprintf("claims: cannot read random bytes: %v", err))
	}
	m.issued = newIssuedKeys(claim.NewIssuer(self, secret))
	m.pending = newPendingOutcomes(m)
	return m
}

// Run writes pending outcomes and unloads idle shards until ctx ends. It then ends all background work.
func (m *Manager) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { m.pending.run(ctx); return nil })
	group.Go(func() error { m.unloadIdleShards(ctx); return nil })
	err := group.Wait()
	m.cancel()
	m.wg.Wait()
	return err
}

// unloadIdleShards frees the state of shards that this instance no longer uses because others decide them now.
func (m *Manager) unloadIdleShards(ctx context.Context) {
	for m.sleep(ctx, shardIdleTimeout) {
		m.mu.Lock()
		shards := slices.Collect(maps.Values(m.shards))
		m.mu.Unlock()
		for _, s := range shards {
			s.unloadIfIdle()
		}
	}
}

// Register registers the service through which other instances propose and query claims.
func (m *Manager) Register(mux drpc.Mux) error { return api.DRPCRegisterClaimPeer(mux, m) }

// Drain waits until every outcome is durable. It returns an error if ctx ends first.
func (m *Manager) Drain(ctx context.Context) error {
	if err := m.pending.drain(ctx); err != nil {
		return fmt.Errorf("idempotency: %d outcomes are not durable yet: %w", m.pending.size(), err)
	}
	return nil
}

// Issue implements Issuer. Unless the policy is PolicyRefuse, requests with the keys need no object store while this
// process runs.
func (m *Manager) Issue(customer string, n int) []string {
	out := make([]string, 0, n)
	for range n {
		out = append(out, m.newKey(customer))
	}
	m.counters.keysIssued.Inc(int64(n))
	return out
}

// Counts reports how much a Manager holds in memory.
type Counts struct {
	// Running counts requests that are in progress, without those that joined another.
	Running int
	// Recent counts the outcomes kept in memory; RecentBytes is the size of their responses in bytes.
	Recent, RecentBytes int
	// Pending counts outcomes that are not durable yet.
	Pending int
	// Issued counts the issued keys whose claims are kept in memory.
	Issued int
}

// Counts returns the current counts.
func (m *Manager) Counts() Counts {
	c := m.local.counts()
	c.Pending = m.pending.size()
	c.Issued = m.issued.len()
	return c
}

func (m *Manager) claimWait() time.Duration { return m.cfg.Settings.GetClaimWait().AsDuration() }

func (m *Manager) retention() time.Duration { return m.cfg.Settings.GetRetention().AsDuration() }

// withTimeout is context.WithTimeout with the clock of the configuration.
func (m *Manager) withTimeout(ctx context.Context, d time.Duration) (context.Context, context.CancelFunc) {
	return clockwork.WithTimeout(ctx, m.cfg.Clock, d)
}

// sleep waits for d. It returns false if ctx ends first.
func (m *Manager) sleep(ctx context.Context, d time.Duration) bool {
	timer := m.cfg.Clock.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.Chan():
		return true
	case <-ctx.Done():
		return false
	}
}

// retryAfter returns a random delay, so that callers do not retry at the same time.
func retryAfter() time.Duration { return time.Second + mathrand.N(2*time.Second) }

// trace adds a line to the trace of a request.
func (m *Manager) trace(requestID, text string) {
	if m.cfg.Traces != nil {
		m.cfg.Traces.Add(requestID, "", "claim", text)
	}
}
