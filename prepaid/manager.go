package prepaid

import (
	"context"
	"errors"
	"math/rand/v2"
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
	// tickInterval is the mean time between two periodic checks of the sizes of leases.
	tickInterval = 500 * time.Millisecond
	// maxLeaseWait bounds the time that a request waits for a larger lease: a few dozen round trips to the store.
	maxLeaseWait = 400 * time.Millisecond
	// minUpdateInterval is the minimum time between two updates of the ledger that are not urgent. It limits the number of
	// store calls.
	minUpdateInterval = 1500 * time.Millisecond
	// minUrgentInterval is the minimum time from an update of the ledger to the next, so that one update serves the requests that
	// begin to wait meanwhile, and updates of several token holders rarely conflict.
	minUrgentInterval = 100 * time.Millisecond
	// slowStoreDelay is how long one call to the store may take before tokens are requested from other instances: several
	// round trips to the store, and the time to send the ledger over a slow link.
	slowStoreDelay = 120 * time.Millisecond
	// maxExhaustedAge is how old the ledger that was last read may be to refuse a request as exhausted without a new read.
	maxExhaustedAge = 400 * time.Millisecond
	// maxConflicts bounds the attempts of one update of the ledger that conflict with updates of other instances.
	maxConflicts = 8
	// maxLedgerAge is the age at which the ledger is read again: leases must shrink as the remaining budget does.
	maxLedgerAge = 3 * time.Second
	// outageWindow is how long the store counts as unavailable after a failed call. It is longer than a call without a
	// response takes to fail.
	outageWindow = 2500 * time.Millisecond
	// holderReturnTime is how long an instance leaves the ledger to its token holder after the store became available again. In an
	// outage each instance has requests that wait for tokens, and their updates would conflict with those of the token holders.
	holderReturnTime = time.Second
	// allocationWindow is how long an instance leases tokens in advance for others after one requested an allocation.
	allocationWindow = 5 * time.Second
	// allocateAhead is how long the tokens of one allocation should last. Those not spent are parked if the instance
	// crashes.
	allocateAhead = 1500 * time.Millisecond
	// sporadicRequests is the number of requests within allocateAhead up to which an instance requests tokens one by one.
	sporadicRequests = 2
	// aheadDivisor bounds what an allocation adds to the needed tokens to 1/aheadDivisor of the token holder's available
	// tokens. All instances of a domain hold such tokens, and what is left of the budget must not be spread over them.
	aheadDivisor = 8
	// loanRetryDelay is the time after an insufficient loan during which no other is requested.
	loanRetryDelay = 400 * time.Millisecond
)

var (
	descGranted     = telemetry.Describe("prepaid.reserve.granted", "requests", "Reservations granted.")
	descExhausted   = telemetry.Describe("prepaid.reserve.exhausted", "requests", "Reservations refused because the budget does not cover them.")
	descUnavailable = telemetry.Describe("prepaid.reserve.unavailable", "requests", "Reservations refused because the ledger could not be reached.")
	descUnreachable = telemetry.Describe("prepaid.reserve.unreachable", "requests", "Reservations refused because the ledger could not be reached, and no token holder responded.")
	descContended   = telemetry.Describe("prepaid.reserve.contended", "requests", "Reservations refused because no lease covered them in time although the ledger could be reached.")
	descUpdates     = telemetry.Describe("prepaid.ledger.updates", "updates", "Updates of the ledger that were acknowledged.")
	descConflicts   = telemetry.Describe("prepaid.ledger.conflicts", "updates", "Updates of the ledger that lost against another instance.")
	descBorrowed    = telemetry.Describe("prepaid.loan.borrowed", "tokens", "Tokens that other instances gave to this one.")
	descLent        = telemetry.Describe("prepaid.loan.lent", "tokens", "Tokens that this instance gave to others.")
	descParked      = telemetry.Describe("prepaid.ledger.parked", "tokens", "Tokens of leases of earlier incarnations that were closed unspent or not.")
)

// Config configures a Manager.
type Config struct {
	Store       objectstore.Store
	Incarnation instance.Incarnation
	Clock       clockwork.Clock
	Log         log.Interface
	Metrics     metrics.Registry
	// PrepaidTotal returns the customer's prepaid total in the active configuration, or false if it has none.
	PrepaidTotal func(customer string) (int64, bool)
	// Customers returns the names of all customers with a prepaid total.
	Customers func() []string
	// Borrow requests tokens from the leases of other instances and returns the number received. It is nil if there are no
	// other instances.
	Borrow func(ctx context.Context, customer string, tokens int64) int64
	// IsTokenHolder reports whether this instance is the token holder of its failure domain, or leases only for itself in
	// a small domain. It is nil if each instance leases its own tokens.
	IsTokenHolder func() bool
	// IsFirstHolder reports whether this instance is the regular token holder and does not stand in for another one. If it is
	// nil, so is every token holder.
	IsFirstHolder func() bool
	// RequestAllocation requests the tokens that a request of a rank needs, up to the wanted number, from the token holder of the
	// failure domain. The allocation has StoreUnavailable set if no token holder responds.
	RequestAllocation func(ctx context.Context, customer string, rank int, needed, wanted int64) Allocation
	// Return passes tokens by customer on to the token holder of the failure domain. It returns false if it does not try to.
	// It is nil if there are no other instances.
	Return func(tokens map[string]int64) bool
	// TokenHolderCount returns how many instances lease tokens from the ledger.
	TokenHolderCount func() int
	// ReduceParked leaves out tokens that are leased or allocated in advance and rarely needed, since a kill of all instances
	// parks them.
	ReduceParked bool
	// Rations reports whether tokens that do not last for all requests are kept for urgent ones, and leases are sized for that. It
	// is nil if not.
	Rations func() bool
	// StoreEra returns the highest era of the store that this instance knows, and whether it knows one. It is nil if the store never
	// comes back from a copy unnoticed by reads of the ledger.
	StoreEra func() (era uint64, known bool)
	// Witnesses returns other instances that may witness this one's leases, the preferred ones first. If it is nil, leases are not
	// witnessed, and the functions below are not used.
	Witnesses func() []instance.Incarnation
	// RaiseMarks calls WitnessMarks of a witness for this instance.
	RaiseMarks func(ctx context.Context, witness instance.Incarnation, marks map[string]int64) (bool, error)
	// SealMarks calls SealMarks of a witness for an earlier incarnation of this instance.
	SealMarks func(ctx context.Context, holder, witness instance.Incarnation) (marks map[string]int64, known bool, err error)
	// ReportParked writes the use of leases with the ledger, to report parked tokens by cause.
	ReportParked bool
}

// Manager reserves and settles tokens and manages this instance's leases. It is safe for concurrent use.
type Manager struct {
	config       Config
	updateSignal chan struct{}
	borrowSignal chan struct{}
	markSignal   chan struct{}
	// storeFailedAt is when the store last failed or was slow, in Unix nanoseconds; zero if the last call succeeded.
	storeFailedAt atomic.Int64
	// outageBeganAt is when the store failed or was slow first since it last responded, in Unix nanoseconds; zero if it responds.
	outageBeganAt atomic.Int64
	// storeReturnedAt is when the store last responded again after it had failed, in Unix nanoseconds; zero if it never failed.
	storeReturnedAt atomic.Int64
	// callStartedAt is when the call to the store in progress started, in Unix nanoseconds; zero if there is none.
	callStartedAt atomic.Int64
	// allocatedAt is when another instance of the domain last requested an allocation, in Unix nanoseconds.
	allocatedAt atomic.Int64

	// transfers are the tokens passed on to other instances, and returns those passed back by them.
	transfers transferLog
	returns   returnLog

	// witnessed are the marks of other instances, witnessing those of this one, and seals those of its earlier incarnations.
	witnessed  witnessLog
	witnessing witnessing
	seals      seals
	// holdsLeases is set while the ledger that was last read or written lists leases of this instance.
	holdsLeases atomic.Bool

	mu       sync.Mutex
	accounts map[string]*account
	// bindings are the sets of witnesses that bind this instance: the one that the ledger names and those that an update of unknown outcome
	// may name.
	bindings [][]instance.Incarnation

	// The fields below are used only by the goroutine of Run, and by Close after Run has returned.
	ledger  ledger
	version objectstore.Version
	// ledgerKnown is false until the ledger has been read, and again after an update whose outcome is unknown.
	ledgerKnown bool
	readAt      time.Time
	// writtenAt is when this instance last updated the ledger.
	writtenAt time.Time
	// ambiguousVersion is the version that the last update of unknown outcome expected. That update may still take effect
	// while the ledger is at this version.
	ambiguousVersion objectstore.Version
	// fencePending is set from such an update until the ledger has a later version. It forces another update.
	fencePending bool
	// ledgerRead is set once the ledger was read.
	ledgerRead bool
	// stored is the latest state in which the ledger was seen in the store, in its present era.
	stored progress
	// known is the ledger of an earlier era, until this instance has written what the present one lacks.
	known *ledger
	// restated is set while the ledger in the store lacks this instance's leases as they are.
	restated bool
	// unsettledSince is when this instance first read that no lease may grow in this era, zero if they may.
	unsettledSince time.Time
	// settling are the tokens of unconfirmed leases, by holder, that the update in progress stops waiting for. It is nil if that
	// does not settle the era.
	settling map[string]int64
	// predecessorsClosed is set by the first update of the ledger that closes the leases of earlier incarnations, closesPredecessors
	// while such an update is in progress.
	predecessorsClosed, closesPredecessors bool
	// closing are the tokens of leases of earlier incarnations that the update in progress closes, by customer.
	closing map[string]int64
	// closingUnspent is how much of them was unspent at most, according to their holders. parkedReport is the report that is due.
	closingUnspent int64
	// closingSaved are the tokens of these leases that are not closed, as a witness says that they were not used. closingUnknown is how many
	// holders had witnesses and none of them said so.
	closingSaved   int64
	closingUnknown int
	parkedReport   parkedReport
	ratesUpdatedAt time.Time
	// outageLogged is set while the last logged state of the ledger is unavailable.
	outageLogged bool

	// returnedAt is when this instance last looked for idle tokens.
	returnedAt time.Time

	// leasesInAdvance and statusAt are what the last status line said, and when.
	leasesInAdvance bool
	statusAt        time.Time

	// rationedLoggedAt is when a refusal for more urgent requests was last logged, in Unix nanoseconds.
	rationedLoggedAt atomic.Int64

	granted, exhausted, unavailable, unreachable, contended, rationed, rationFloor, updates, conflicts, parked, borrowed, lent, returned, unanswered, takenBack, restored, unconfirmed metrics.Counter
	unspent                                                                                                                                                                            metrics.Gauge
	parkedOne, parkedAll, parkedLost                                                                                                                                                   metrics.Counter
	marksRaised, marksFailed, marksBound, marksSaved, marksUnknown                                                                                                                     metrics.Counter
	witnessedHolders                                                                                                                                                                   metrics.Gauge
}

// NewManager returns a manager without leases. Run acquires them.
func NewManager(c Config) *Manager {
	r := c.Metrics
	return &Manager{
		config: c, updateSignal: make(chan struct{}, 1), borrowSignal: make(chan struct{}, 1), markSignal: make(chan struct{}, 1), accounts: make(map[string]*account), ledger: newLedger(),
		granted: descGranted.Counter(r), exhausted: descExhausted.Counter(r), unavailable: descUnavailable.Counter(r), unreachable: descUnreachable.Counter(r), contended: descContended.Counter(r), rationed: descRationed.Counter(r), rationFloor: descRationFloor.Counter(r),
		restored: descRestored.Counter(r), unconfirmed: descUnconfirmed.Counter(r),
		updates: descUpdates.Counter(r), conflicts: descConflicts.Counter(r), parked: descParked.Counter(r),
		borrowed: descBorrowed.Counter(r), lent: descLent.Counter(r), unanswered: descUnanswered.Counter(r),
		returned: descReturned.Counter(r), takenBack: descTakenBack.Counter(r), unspent: descUnspent.Gauge(r),
		parkedOne: descParkedOne.Counter(r), parkedAll: descParkedAll.Counter(r), parkedLost: descParkedLost.Counter(r),
		marksRaised: descMarksRaised.Counter(r), marksFailed: descMarksFailed.Counter(r), marksBound: descMarksBound.Counter(r),
		marksSaved: descMarksSaved.Counter(r), marksUnknown: descMarksUnknown.Counter(r), witnessedHolders: descWitnessed.Gauge(r),
	}
}

// Reservation is a number of tokens that a request may spend.
type Reservation struct {
	account *account
	tokens  int64
	once    sync.Once
}

// Settle ends the reservation and releases the tokens that the request did not spend. Further calls do nothing.
func (r *Reservation) Settle(spent int64) {
	if r == nil || r.account == nil {
		return
	}
	r.once.Do(func() { r.account.settle(r.tokens, min(max(spent, 0), r.tokens)) })
}

// Reserve reserves tokens of a customer's budget for a request of a rank, 0 being the most urgent. It waits for the ledger only if
// the lease does not cover them.
func (m *Manager) Reserve(ctx context.Context, customer string, rank int, tokens int64) (*Reservation, Outcome) {
	if _, limited := m.config.PrepaidTotal(customer); !limited {
		return &Reservation{}, Granted
	}
	if !isPossible(tokens) {
		m.exhausted.Inc(1)
		return nil, Exhausted
	}
	a := m.account(customer)
	a.ownRequests.Add(1)
	outcome := m.reserve(ctx, customer, a, rank, tokens)
	switch outcome {
	case Granted:
		m.granted.Inc(1)
		return &Reservation{account: a, tokens: tokens}, Granted
	case Exhausted:
		m.exhausted.Inc(1)
	case Unavailable:
		m.unavailable.Inc(1)
	case Contended:
		m.contended.Inc(1)
	case Rationed:
		m.rationed.Inc(1)
	}
	return nil, outcome
}

// reserve reserves tokens from this instance's lease. If they do not suffice, it requests an allocation from the token
// holder of the domain, and then a larger lease from the ledger.
func (m *Manager) reserve(ctx context.Context, customer string, a *account, rank int, tokens int64) Outcome {
	leases := m.actsAsTokenHolder()
	if leases && !m.mayTake(customer, a, rank, tokens) && !m.borrowRationed(ctx, customer, a, rank, tokens) {
		return Rationed
	}
	if a.reserve(tokens) {
		return Granted
	}
	unreachable := false
	if !leases {
		allocation := m.requestAhead(a, tokens, func(wanted int64) Allocation {
			return m.config.RequestAllocation(ctx, customer, rank, tokens, wanted)
		})
		unreachable = allocation.Unreachable
		switch {
		case allocation.Exhausted:
			return Exhausted
		case allocation.Rationed:
			return Rationed
		case allocation.Tokens > 0:
			m.borrowed.Inc(allocation.Tokens)
			a.addBorrowed(allocation.Tokens)
		case !allocation.StoreUnavailable, m.storeReturned(m.config.Clock.Now()):
			// More writers of the ledger would only slow down the token holder.
			return Contended
		}
	}
	outcome := m.reserveFromLease(ctx, a, tokens)
	if outcome == Unavailable && unreachable {
		m.unreachable.Inc(1)
	}
	return outcome
}

// actsAsTokenHolder reports whether this instance leases tokens in advance of its requests. It does so if it is the
// token holder of its domain, or if another instance requested an allocation from it within allocationWindow.
func (m *Manager) actsAsTokenHolder() bool {
	if m.config.IsTokenHolder == nil || m.config.IsTokenHolder() {
		return true
	}
	return m.allocates()
}

// allocates reports whether another instance requested an allocation within allocationWindow.
func (m *Manager) allocates() bool {
	allocatedAt := m.allocatedAt.Load()
	return allocatedAt != 0 && m.config.Clock.Now().UnixNano()-allocatedAt < int64(allocationWindow)
}

// storeReturned reports whether the store became available again to this instance within holderReturnTime. The token holder of
// the domain then mostly reaches it within that time, too.
func (m *Manager) storeReturned(now time.Time) bool {
	at := m.storeReturnedAt.Load()
	return at != 0 && now.UnixNano()-at < int64(holderReturnTime)
}

// reserveFromLease reserves tokens from this instance's lease. If necessary, it waits for a larger one.
func (m *Manager) reserveFromLease(ctx context.Context, a *account, tokens int64) Outcome {
	if a.reserve(tokens) {
		return Granted
	}
	now := m.config.Clock.Now()
	if available, fresh := a.reservable(now.Add(-maxExhaustedAge)); fresh && tokens > available {
		return Exhausted
	}
	covered := a.covers(tokens)
	if m.storeUnavailable(now) && !covered && (m.config.Borrow == nil || a.loanFailedRecently(now)) {
		return Unavailable
	}
	w, e := a.addWaiter(tokens)
	notify(m.markSignal)
	if !covered {
		notify(m.updateSignal)
	}
	if m.storeUnavailable(now) {
		notify(m.borrowSignal)
	}
	slowStore := m.config.Clock.NewTicker(slowStoreDelay)
	defer slowStore.Stop()
	timeout := m.config.Clock.After(maxLeaseWait)
	for waiting := true; waiting; {
		select {
		case o := <-w.done:
			return o
		case <-slowStore.Chan():
			if m.config.Borrow != nil && m.storeCallSlow(m.config.Clock.Now()) {
				m.recordSlowStore()
				notify(m.borrowSignal)
			}
		case <-timeout:
			waiting = false
		case <-ctx.Done():
			waiting = false
		}
	}
	if !a.removeWaiter(e) {
		return <-w.done
	}
	if m.storeUnavailable(m.config.Clock.Now()) {
		return Unavailable
	}
	return Contended
}

// Run resizes the leases periodically and on demand until the context ends.
func (m *Manager) Run(ctx context.Context) error {
	tick := m.config.Clock.NewTimer(jitter(tickInterval))
	defer tick.Stop()
	m.ratesUpdatedAt = m.config.Clock.Now()
	for {
		m.resizeLeases(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-tick.Chan():
			tick.Reset(jitter(tickInterval))
			m.updateRates()
			m.reportStatus()
			m.reportParked()
		case <-m.updateSignal:
			m.waitUrgentInterval(ctx)
		}
	}
}

// jitter returns a random time around d, so that instances that start together do not act at the same times.
func jitter(d time.Duration) time.Duration { return d*3/4 + rand.N(d/2) }

// waitUrgentInterval waits until minUrgentInterval has passed since the last update of the ledger.
func (m *Manager) waitUrgentInterval(ctx context.Context) {
	wait := minUrgentInterval - m.config.Clock.Since(m.writtenAt)
	if wait <= 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-m.config.Clock.After(wait):
	}
}

// Close returns all unspent tokens to the ledger. All reservations must be settled and Run must have returned.
func (m *Manager) Close(ctx context.Context) error {
	for range maxConflicts {
		if !m.ledgerKnown {
			if err := m.readLedger(ctx); err != nil {
				return err
			}
		}
		next := m.ledger.clone()
		m.closing, m.settling, m.closesPredecessors = nil, nil, false
		for name, a := range m.snapshotAccounts() {
			if spent := a.lowerLimit(0); spent != 0 || next.hasLease(name, m.config.Incarnation) {
				next.closeLease(name, m.config.Incarnation, spent)
				next.confirm(m.config.Incarnation)
			}
		}
		err := m.writeLedger(ctx, next)
		if !errors.Is(err, objectstore.ErrConflict) {
			return err
		}
	}
	return objectstore.ErrConflict
}

// storeUnavailable reports whether the store failed within the last outageWindow and has not responded since.
func (m *Manager) storeUnavailable(now time.Time) bool {
	failedAt := m.storeFailedAt.Load()
	return failedAt != 0 && now.UnixNano()-failedAt < int64(outageWindow)
}

// storeCallSlow reports whether a call to the store has taken slowStoreDelay without a response. An update of the ledger
// that is repeated after conflicts is not slow: the store responds.
func (m *Manager) storeCallSlow(now time.Time) bool {
	startedAt := m.callStartedAt.Load()
	return startedAt != 0 && now.UnixNano()-startedAt >= int64(slowStoreDelay)
}

// recordSlowStore records that the store counts as unavailable because a call takes too long.
func (m *Manager) recordSlowStore() {
	now := m.config.Clock.Now()
	if !m.storeUnavailable(now) {
		m.config.Log.Info("prepaid: store is slow, requesting tokens from other instances")
	}
	m.recordStoreFailed(now)
}

// recordStoreFailed records that a call to the store failed or is slow.
func (m *Manager) recordStoreFailed(now time.Time) {
	m.storeFailedAt.Store(now.UnixNano())
	m.outageBeganAt.CompareAndSwap(0, now.UnixNano())
}

// startCall records that a call to the store starts. The returned function records its end.
func (m *Manager) startCall() func() {
	m.callStartedAt.Store(m.config.Clock.Now().UnixNano())
	return func() { m.callStartedAt.Store(0) }
}

// notify signals the receiver of a channel. It does not block if a signal is already pending.
func notify(signal chan struct{}) {
	select {
	case signal <- struct{}{}:
	default:
	}
}

// account returns the account of a customer and creates it if needed.
func (m *Manager) account(customer string) *account {
	m.mu.Lock()
	defer m.mu.Unlock()
	a := m.accounts[customer]
	if a == nil {
		a = &account{}
		for _, witnesses := range m.bindings {
			a.bind(witnesses, func(instance.Incarnation) int64 { return 0 })
		}
		m.accounts[customer] = a
	}
	return a
}

// snapshotAccounts returns a copy of the map of accounts.
func (m *Manager) snapshotAccounts() map[string]*account {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make(map[string]*account, len(m.accounts))
	for name, a := range m.accounts {
		out[name] = a
	}
	return out
}

// updateRates updates the average rates of all accounts.
func (m *Manager) updateRates() {
	now := m.config.Clock.Now()
	for _, a := range m.snapshotAccounts() {
		a.updateRates(now.Sub(m.ratesUpdatedAt))
	}
	m.ratesUpdatedAt = now
}
