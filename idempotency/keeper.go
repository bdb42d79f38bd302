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
	"pumiceshelf/story"
	"pumiceshelf/telemetry"
)

const (
	// groupsPerSecond bounds the groups of claims decided per shard and second on average, so that writes to the platform
	// grow neither with requests nor with instances.
	groupsPerSecond = 10
	// groupBurst is how many may be decided at once after a pause.
	groupBurst = 10
	// unloadAfter is how long a shard's state is kept without use.
	unloadAfter = 10 * time.Minute
)

// Config of a Keeper. All fields but Stories, Repairs and Policy are needed.
type Config struct {
	Settings *api.ClaimSettings
	Self     *api.Instance
	Clock    clockwork.Clock
	Log      log.Interface
	Metrics  metrics.Registry
	Store    objectstore.Store
	View     peer.View
	Conns    peer.Conns
	Stories  *story.Book
	Repairs  *telemetry.Repairs
	Policy   Policy
}

// Keeper implements Gate. It keeps claims in the platform and, for keys that this incarnation issued, in memory.
type Keeper struct {
	cfg   Config
	self  instance.Incarnation
	count counters
	// base ends all background work.
	base   context.Context
	cancel context.CancelFunc
	work   sync.WaitGroup
	// attempts numbers the requests that Begin was asked for.
	attempts atomic.Uint64
	pace     rate.Limit

	local   *local
	issued  *issuedBook
	pending *pending

	mu     sync.Mutex
	shards map[uint32]*shard
	routes map[uint32]*batcher
	layout uint32
	// layoutRead is held while layout is read from the platform.
	layoutRead sync.Mutex
	// downUntil is set while the platform was found out of reach by all ways.
	downUntil time.Time
}

var (
	_ Gate                    = (*Keeper)(nil)
	_ Issuer                  = (*Keeper)(nil)
	_ api.DRPCClaimPeerServer = (*Keeper)(nil)
)

// New returns a keeper without claims in memory. Its background work ends with Run.
func New(cfg Config) *Keeper {
	self := instance.Incarnation(cfg.Self.GetIncarnation())
	if cfg.Policy == PolicyIssued && cfg.Settings.GetAdmitStatedKeys() {
		cfg.Policy = PolicyStated
	}
	base, cancel := context.WithCancel(context.Background())
	k := &Keeper{
		cfg:    cfg,
		self:   self,
		count:  newCounters(cfg.Metrics),
		base:   base,
		cancel: cancel,
		pace:   groupsPerSecond,
		local:  newLocal(),
		shards: make(map[uint32]*shard),
		routes: make(map[uint32]*batcher),
	}
	var secret [sha256.Size]byte
	if _, err := rand.Read(secret[:]); err != nil {
		panic(fmt.Sprintf("claims: no randomness: %v", err))
	}
	k.issued = newIssuedBook(claim.NewIssuer(self, secret))
	k.pending = newPending(k)
	return k
}

// Run makes outcomes durable in the background until ctx ends.
func (k *Keeper) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { k.pending.run(ctx); return nil })
	group.Go(func() error { k.unload(ctx); return nil })
	err := group.Wait()
	k.cancel()
	k.work.Wait()
	return err
}

// unload frees the state of shards that other instances have taken over.
func (k *Keeper) unload(ctx context.Context) {
	for k.sleep(ctx, unloadAfter) {
		k.mu.Lock()
		shards := slices.Collect(maps.Values(k.shards))
		k.mu.Unlock()
		for _, s := range shards {
			s.forgetIdle()
		}
	}
}

// Register serves claims to other instances.
func (k *Keeper) Register(mux drpc.Mux) error { return api.DRPCRegisterClaimPeer(mux, k) }

// Drain waits until every outcome is durable, or ctx ends.
func (k *Keeper) Drain(ctx context.Context) error {
	if err := k.pending.drain(ctx); err != nil {
		return fmt.Errorf("idempotency: %d outcomes not durable: %w", k.pending.size(), err)
	}
	return nil
}

// Issue returns new idempotency keys for a customer. A request with such a key needs no platform while this process lives.
func (k *Keeper) Issue(customer string, n int) []string {
	out := make([]string, 0, n)
	for range n {
		out = append(out, k.newKey(customer))
	}
	k.count.issued.Inc(int64(n))
	return out
}

// Counts says how much the keeper holds.
type Counts struct {
	// Running requests, joined ones not counted.
	Running int
	// Recent outcomes kept in memory, and the size of their answers in bytes.
	Recent, RecentBytes int
	// Pending outcomes wait to be made durable.
	Pending int
	// Issued keys whose claims are kept in memory.
	Issued int
}

// Counts returns what the keeper holds now.
func (k *Keeper) Counts() Counts {
	c := k.local.counts()
	c.Pending = k.pending.size()
	c.Issued = k.issued.len()
	return c
}

func (k *Keeper) claimWait() time.Duration { return k.cfg.Settings.GetClaimWait().AsDuration() }

func (k *Keeper) retention() time.Duration { return k.cfg.Settings.GetRetention().AsDuration() }

// within bounds a context by the keeper's clock.
func (k *Keeper) within(ctx context.Context, d time.Duration) (context.Context, context.CancelFunc) {
	return clockwork.WithTimeout(ctx, k.cfg.Clock, d)
}

// sleep waits and returns false if ctx ended first.
func (k *Keeper) sleep(ctx context.Context, d time.Duration) bool {
	timer := k.cfg.Clock.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.Chan():
		return true
	case <-ctx.Done():
		return false
	}
}

// retryAfter spreads callers that are told to ask again.
func retryAfter() time.Duration { return time.Second + mathrand.N(2*time.Second) }

func (k *Keeper) tell(requestID, text string) {
	if k.cfg.Stories != nil {
		k.cfg.Stories.Add(requestID, "", "claim", text)
	}
}
