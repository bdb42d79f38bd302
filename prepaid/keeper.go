package prepaid

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"

	"pumiceshelf/instance"
	"pumiceshelf/objectstore"
	"pumiceshelf/telemetry"
)

const (
	// tickInterval is the time between two looks at the sizes of leases.
	tickInterval = 500 * time.Millisecond
	// waitLimit is the longest wait of a request for a larger lease: some dozens of answers of the store.
	waitLimit = 400 * time.Millisecond
	// updateInterval is the least time between two updates of the ledger that are not urgent: calls are counted.
	updateInterval = 1500 * time.Millisecond
	// slowAfter is how long a waiting request gives the store before other instances are asked: several answers' time.
	slowAfter = 60 * time.Millisecond
	// freshFor is how long a reading of the ledger answers for an exhausted budget without another one.
	freshFor = 400 * time.Millisecond
	// conflictLimit bounds the updates of one round that lose against other instances.
	conflictLimit = 8
	// rereadAfter is how old the ledger may get: leases shrink as the budget does, so its state must be known.
	rereadAfter = 3 * time.Second
	// outageMemory is the time after a failed call in which the store counts as away: longer than a call that gets no
	// answer takes.
	outageMemory = 2500 * time.Millisecond
	// provideMemory is how long an instance that others drew tokens from keeps leases ahead for them.
	provideMemory = 5 * time.Second
	// drawAhead is the time for which an instance draws tokens at once. What it has not spent is lost when it crashes.
	drawAhead = 1500 * time.Millisecond
	// loanPause is the time after a loan that fell short in which no other is asked for.
	loanPause = 400 * time.Millisecond
)

var (
	descGranted     = telemetry.Describe("prepaid.reserve.granted", "requests", "Reservations granted.")
	descExhausted   = telemetry.Describe("prepaid.reserve.exhausted", "requests", "Reservations refused because the budget does not cover them.")
	descUnavailable = telemetry.Describe("prepaid.reserve.unavailable", "requests", "Reservations refused because the ledger could not be reached.")
	descUpdates     = telemetry.Describe("prepaid.ledger.updates", "updates", "Updates of the ledger that were acknowledged.")
	descConflicts   = telemetry.Describe("prepaid.ledger.conflicts", "updates", "Updates of the ledger that lost against another instance.")
	descBorrowed    = telemetry.Describe("prepaid.loan.borrowed", "tokens", "Tokens that other instances gave to this one.")
	descLent        = telemetry.Describe("prepaid.loan.lent", "tokens", "Tokens that this instance gave to others.")
	descParked      = telemetry.Describe("prepaid.ledger.parked", "tokens", "Tokens of leases of earlier incarnations that were closed unspent or not.")
)

// Config of a Keeper.
type Config struct {
	Store       objectstore.Store
	Incarnation instance.Incarnation
	Clock       clockwork.Clock
	Log         log.Interface
	Metrics     metrics.Registry
	// Prepaid returns the customer's prepaid total of the configuration in force, false if it has none.
	Prepaid func(customer string) (int64, bool)
	// Customers returns the names of all customers with a prepaid total.
	Customers func() []string
	// Borrow asks other instances for a part of their leases; nil for none to ask. It returns what it got.
	Borrow func(ctx context.Context, customer string, tokens int64) int64
	// Holds says whether this instance holds the tokens of its failure domain; nil if each instance holds its own.
	Holds func() bool
	// Draw asks the instance that holds the domain's tokens for those that a request needs, and more if wanted. Its answer
	// is away if no holder answers.
	Draw func(ctx context.Context, customer string, needed, wanted int64) Provision
	// Holders returns how many instances share the ledger.
	Holders func() int
}

// Keeper reserves and settles tokens and keeps this instance's leases. It is safe for concurrent use.
type Keeper struct {
	config  Config
	kick    chan struct{}
	borrow  chan struct{}
	failing atomic.Int64
	// providedAt is when another instance of the domain last drew tokens here, in Unix nanoseconds.
	providedAt atomic.Int64

	mu       sync.Mutex
	accounts map[string]*account

	// The fields below belong to the goroutine of Run.
	ledger  ledger
	version objectstore.Version
	// known is false until the ledger has been read, and again after an update whose answer was lost.
	known  bool
	readAt time.Time
	// writtenAt is when this instance last changed the ledger.
	writtenAt time.Time
	// unsettled is the version that the last update with a lost answer expected. Until the ledger is past it, that update
	// may still take effect.
	unsettled  objectstore.Version
	fenced     bool
	started    bool
	observedAt time.Time
	// away is set while the ledger cannot be reached, for the log.
	away bool

	granted, exhausted, unavailable, updates, conflicts, parked, borrowed, lent metrics.Counter
}

// NewKeeper returns a keeper without leases. Run must be called for it to get any.
func NewKeeper(c Config) *Keeper {
	r := c.Metrics
	return &Keeper{
		config: c, kick: make(chan struct{}, 1), borrow: make(chan struct{}, 1), accounts: make(map[string]*account), ledger: newLedger(),
		granted: descGranted.Counter(r), exhausted: descExhausted.Counter(r), unavailable: descUnavailable.Counter(r),
		updates: descUpdates.Counter(r), conflicts: descConflicts.Counter(r), parked: descParked.Counter(r),
		borrowed: descBorrowed.Counter(r), lent: descLent.Counter(r),
	}
}

// Reservation is a number of tokens that a request may spend.
type Reservation struct {
	account *account
	tokens  int64
	once    sync.Once
}

// Settle gives back what the request did not spend. Further calls do nothing.
func (r *Reservation) Settle(spent int64) {
	if r == nil || r.account == nil {
		return
	}
	r.once.Do(func() { r.account.settle(r.tokens, min(max(spent, 0), r.tokens)) })
}

// Reserve reserves tokens of a customer's budget. It waits for the ledger only when the lease does not cover them.
func (k *Keeper) Reserve(ctx context.Context, customer string, tokens int64) (*Reservation, Outcome) {
	if _, limited := k.config.Prepaid(customer); !limited {
		return &Reservation{}, Granted
	}
	a := k.account(customer)
	outcome := k.reserve(ctx, customer, a, tokens)
	switch outcome {
	case Granted:
		k.granted.Inc(1)
		return &Reservation{account: a, tokens: tokens}, Granted
	case Exhausted:
		k.exhausted.Inc(1)
	case Unavailable:
		k.unavailable.Inc(1)
	}
	return nil, outcome
}

// reserve takes tokens of this instance's own, else of the holder of its domain, else of the ledger.
func (k *Keeper) reserve(ctx context.Context, customer string, a *account, tokens int64) Outcome {
	if a.reserve(tokens) {
		return Granted
	}
	if !k.holds() {
		got := k.config.Draw(ctx, customer, tokens, tokens+a.ahead(drawAhead))
		switch {
		case got.Exhausted:
			return Exhausted
		case got.Tokens > 0:
			k.borrowed.Inc(got.Tokens)
			a.borrow(got.Tokens)
		case !got.Away:
			// More writers would only make the holder slower.
			return Unavailable
		}
	}
	return k.reserveHere(ctx, a, tokens)
}

// holds says whether this instance keeps leases ahead of its requests: it holds the tokens of its domain, or another
// instance has lately taken it to do so.
func (k *Keeper) holds() bool {
	if k.config.Holds == nil || k.config.Holds() {
		return true
	}
	at := k.providedAt.Load()
	return at != 0 && k.config.Clock.Now().UnixNano()-at < int64(provideMemory)
}

// reserveHere reserves tokens of this instance's lease. It waits for a larger one if need be.
func (k *Keeper) reserveHere(ctx context.Context, a *account, tokens int64) Outcome {
	if a.reserve(tokens) {
		return Granted
	}
	now := k.config.Clock.Now()
	if left, fresh := a.known(now.Add(-freshFor)); fresh && tokens > left {
		return Exhausted
	}
	if k.storeAway(now) && (k.config.Borrow == nil || a.refusedLoan(now)) {
		return Unavailable
	}
	w, e := a.wait(tokens)
	wake(k.kick)
	if k.storeAway(now) {
		wake(k.borrow)
	}
	slow := k.config.Clock.After(slowAfter)
	timeout := k.config.Clock.After(waitLimit)
	for waiting := true; waiting; {
		select {
		case o := <-w.done:
			return o
		case <-slow:
			if k.config.Borrow != nil {
				k.failing.Store(k.config.Clock.Now().UnixNano())
				wake(k.borrow)
			}
		case <-timeout:
			waiting = false
		case <-ctx.Done():
			waiting = false
		}
	}
	if a.leave(e) {
		return Unavailable
	}
	return <-w.done
}

// Run keeps the leases until the context ends.
func (k *Keeper) Run(ctx context.Context) error {
	ticker := k.config.Clock.NewTicker(tickInterval)
	defer ticker.Stop()
	k.observedAt = k.config.Clock.Now()
	for {
		k.round(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.Chan():
			k.observe()
		case <-k.kick:
		}
	}
}

// Close gives back all that is unspent. Reservations must be settled before; Run must have returned.
func (k *Keeper) Close(ctx context.Context) error {
	for range conflictLimit {
		if !k.known {
			if err := k.read(ctx); err != nil {
				return err
			}
		}
		next := k.ledger.clone()
		for name, a := range k.snapshot() {
			if left := a.lower(0); left != 0 || next.holds(name, k.config.Incarnation) {
				next.close(name, k.config.Incarnation, left)
			}
		}
		err := k.write(ctx, next)
		if !errors.Is(err, objectstore.ErrConflict) {
			return err
		}
	}
	return objectstore.ErrConflict
}

// storeAway says whether the last call to the store failed a moment ago.
func (k *Keeper) storeAway(now time.Time) bool {
	at := k.failing.Load()
	return at != 0 && now.UnixNano()-at < int64(outageMemory)
}

func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

func (k *Keeper) account(customer string) *account {
	k.mu.Lock()
	defer k.mu.Unlock()
	a := k.accounts[customer]
	if a == nil {
		a = &account{}
		k.accounts[customer] = a
	}
	return a
}

func (k *Keeper) snapshot() map[string]*account {
	k.mu.Lock()
	defer k.mu.Unlock()
	out := make(map[string]*account, len(k.accounts))
	for name, a := range k.accounts {
		out[name] = a
	}
	return out
}

func (k *Keeper) observe() {
	now := k.config.Clock.Now()
	for _, a := range k.snapshot() {
		a.observe(now.Sub(k.observedAt))
	}
	k.observedAt = now
}
