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
	// Instances returns how many instances share the budgets.
	Instances func() int
}

// Keeper reserves and settles tokens and keeps this instance's leases. It is safe for concurrent use.
type Keeper struct {
	config  Config
	kick    chan struct{}
	borrow  chan struct{}
	failing atomic.Int64

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
	outcome := k.reserve(ctx, a, tokens)
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

func (k *Keeper) reserve(ctx context.Context, a *account, tokens int64) Outcome {
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
			if next.holds(name, k.config.Incarnation) {
				next.close(name, k.config.Incarnation, a.lower(0))
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

// Lend gives tokens of this instance's lease to another one. They count as spent here, so that the other may spend them.
func (k *Keeper) Lend(customer string, tokens int64) int64 {
	given := k.account(customer).lend(tokens)
	if given > 0 {
		k.lent.Inc(given)
		k.config.Log.WithFields(log.Fields{"customer": customer, "tokens": given, "asked": tokens}).Info("prepaid: tokens lent")
	}
	return given
}

// RunLoans borrows from other instances while the store is away, until the context ends.
func (k *Keeper) RunLoans(ctx context.Context) error {
	ticker := k.config.Clock.NewTicker(tickInterval / 2)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.Chan():
		case <-k.borrow:
		}
		if k.storeAway(k.config.Clock.Now()) {
			k.borrowAll(ctx)
		}
	}
}

// borrowAll fills up leases that run dry. Waiters that no loan can serve are refused.
func (k *Keeper) borrowAll(ctx context.Context) {
	for customer, a := range k.snapshot() {
		want := shortfall(a.demand())
		if want <= 0 || a.refusedLoan(k.config.Clock.Now()) {
			continue
		}
		got := k.config.Borrow(ctx, customer, want)
		if got > 0 {
			k.borrowed.Inc(got)
			k.config.Log.WithFields(log.Fields{"customer": customer, "tokens": got, "asked": want}).Info("prepaid: tokens borrowed")
			a.borrow(got)
		}
		if got < want {
			a.noteLoan(k.config.Clock.Now())
			a.refuse(false)
		}
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

// round brings the leases in the ledger to their next sizes and ends waiters that cannot be served.
func (k *Keeper) round(ctx context.Context) {
	customers := k.config.Customers()
	if len(customers) == 0 {
		return
	}
	for _, c := range customers {
		k.account(c)
	}
	err := k.update(ctx)
	k.note(err)
	if err != nil && k.config.Borrow != nil {
		wake(k.borrow)
		return
	}
	for _, a := range k.snapshot() {
		a.refuse(err == nil)
	}
}

func (k *Keeper) update(ctx context.Context) error {
	if k.outdated() {
		k.known = false
	}
	for range conflictLimit {
		if !k.known {
			if err := k.read(ctx); err != nil {
				return err
			}
		}
		next, changed := k.plan()
		if !changed {
			k.adopt()
			return nil
		}
		err := k.write(ctx, next)
		if !errors.Is(err, objectstore.ErrConflict) {
			return err
		}
		k.conflicts.Inc(1)
	}
	return objectstore.ErrConflict
}

// outdated says whether the ledger must be read again: it is old, or it would refuse a waiter and is not fresh.
func (k *Keeper) outdated() bool {
	age := k.config.Clock.Since(k.readAt)
	if age > rereadAfter {
		return true
	}
	if age <= freshFor {
		return false
	}
	for _, a := range k.snapshot() {
		if a.short() {
			return true
		}
	}
	return false
}

// plan returns the ledger with this instance's leases at their next sizes. A lease that shrinks is lowered at once.
func (k *Keeper) plan() (ledger, bool) {
	next := k.ledger.clone()
	next.message.Updates++
	changed := k.fenced
	if !k.started {
		for customer, tokens := range next.closePredecessors(k.config.Incarnation) {
			changed = true
			k.parked.Inc(tokens)
			k.config.Log.WithFields(log.Fields{"customer": customer, "tokens": tokens}).Info("prepaid: lease of an earlier start closed")
		}
	}
	fill := refillAt
	if !changed && k.config.Clock.Since(k.writtenAt) < updateInterval && !k.needed(urgentAt) {
		return next, false
	}
	if changed || k.needed(refillAt) {
		// An update is due, so that all leases are filled up with it.
		fill = 1
	}
	for customer, a := range k.snapshot() {
		if k.resize(next, customer, a, fill) {
			changed = true
		}
	}
	return next, changed
}

// needed says whether a lease is below the part fill of its wanted size, or far above it.
func (k *Keeper) needed(fill float64) bool {
	for customer, a := range k.snapshot() {
		if d, limit, ok := k.size(customer, a, fill); ok && limit != d.limit {
			return true
		}
	}
	return false
}

// size returns what an account's limit should be. It is not ok for customers without a budget and for leases that a later
// start of this instance has closed.
func (k *Keeper) size(customer string, a *account, fill float64) (demand, int64, bool) {
	prepaid, limited := k.config.Prepaid(customer)
	d := a.demand()
	if !limited || d.used > 0 && !k.ledger.holds(customer, k.config.Incarnation) {
		return d, 0, false
	}
	handedOut := k.ledger.handedOut(customer)
	share := trafficShare(d.limit, handedOut, k.config.Instances())
	return d, nextLimit(d, max(prepaid-handedOut, 0), share, fill), true
}

// resize brings one lease to its next size in a ledger. A lease that shrinks is lowered at once.
func (k *Keeper) resize(next ledger, customer string, a *account, fill float64) bool {
	d, limit, ok := k.size(customer, a, fill)
	if !ok {
		return false
	}
	lease := limit - d.borrowed
	if limit < d.limit {
		lease = a.lower(limit)
	}
	if lease == k.ledger.lease(customer, k.config.Incarnation) {
		return false
	}
	prepaid, _ := k.config.Prepaid(customer)
	next.setLease(customer, k.config.Incarnation, lease, prepaid)
	return true
}

// read takes in the ledger as it is.
func (k *Keeper) read(ctx context.Context) error {
	obj, err := k.config.Store.Get(ctx, LedgerKey)
	if errors.Is(err, objectstore.ErrNotFound) {
		k.set(newLedger(), 0)
		return nil
	}
	if err != nil {
		return err
	}
	return k.take(obj)
}

func (k *Keeper) take(obj objectstore.Object) error {
	l, err := decodeLedger(obj.Value)
	if err != nil {
		return err
	}
	k.set(l, obj.Version)
	return nil
}

func (k *Keeper) set(l ledger, version objectstore.Version) {
	k.ledger, k.version, k.known, k.readAt = l, version, true, k.config.Clock.Now()
	k.fenced = k.fenced && version <= k.unsettled
}

// write replaces the ledger if it is still at the version read. After a lost answer the update may still be under way. It
// can take effect only while the ledger is at the version that it expected, so the ledger is read, and no lease grows
// by reading alone until another update has moved it past that version.
func (k *Keeper) write(ctx context.Context, next ledger) error {
	value, err := next.encode()
	if err != nil {
		return err
	}
	version, err := k.config.Store.Put(ctx, LedgerKey, value, k.version)
	var conflict *objectstore.ConflictError
	switch {
	case err == nil:
		k.set(next, version)
		k.started, k.writtenAt = true, k.readAt
		k.updates.Inc(1)
		k.adopt()
	case errors.As(err, &conflict):
		if takeErr := k.take(conflict.Current); takeErr != nil {
			k.known = false
			return takeErr
		}
	case errors.Is(err, objectstore.ErrConflict), errors.Is(err, objectstore.ErrUnavailable):
		k.known = false
	default:
		k.known, k.fenced, k.unsettled = false, true, k.version
	}
	return err
}

// adopt passes the ledger on to the accounts. A lease that is being lowered stays low until the ledger says so too.
func (k *Keeper) adopt() {
	for customer, a := range k.snapshot() {
		prepaid, _ := k.config.Prepaid(customer)
		remaining := max(prepaid-k.ledger.handedOut(customer), 0)
		k.logLease(customer, a, remaining, prepaid)
		if !k.ledger.holds(customer, k.config.Incarnation) {
			// Nothing was ever taken, or a later start of this instance has closed the lease.
			a.freeze(remaining, k.readAt)
			continue
		}
		a.adopt(k.ledger.lease(customer, k.config.Incarnation), remaining, k.readAt)
	}
	k.failing.Store(0)
}

// logLease writes a line when a lease is about to change.
func (k *Keeper) logLease(customer string, a *account, remaining, prepaid int64) {
	d, limit := a.demand(), k.ledger.lease(customer, k.config.Incarnation)
	if limit == d.limit {
		return
	}
	k.config.Log.WithFields(log.Fields{
		"customer": customer, "limit": limit, "before": d.limit, "used": d.used, "remaining": remaining, "prepaid": prepaid,
		"tokens_per_s": int64(d.ratePerSecond), "ledger_version": uint64(k.version),
	}).Info("prepaid: lease changed")
}

func (k *Keeper) note(err error) {
	if err != nil {
		k.failing.Store(k.config.Clock.Now().UnixNano())
	} else {
		k.failing.Store(0)
	}
	if (err != nil) == k.away {
		return
	}
	k.away = err != nil
	entry := k.config.Log.WithField("ledger_version", uint64(k.version))
	if k.away {
		entry.WithError(err).Warn("prepaid: ledger lost")
	} else {
		entry.Info("prepaid: ledger regained")
	}
}
