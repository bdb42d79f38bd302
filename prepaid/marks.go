package prepaid

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"

	"pumiceshelf/instance"
	"pumiceshelf/telemetry"
)

// A holder of leases names witnesses in the ledger, other instances that keep its marks in memory. It uses no more tokens than all of them
// but maxMissing have acknowledged, so that one of any maxMissing+1 of them has, and its successor can close the leases at what these say
// instead of at their whole size.
//
// Rules: a set of witnesses binds the holder from the moment at which an update of the ledger that names it is sent, until a later update
// is known to have succeeded that names another one. The successor closes leases at sealed marks only with an update of the version of the
// ledger that names these witnesses, in an era in which the holder has confirmed its leases; otherwise at their whole size.

const (
	// witnessCount is how many witnesses a holder has. Of eight, two survive the kill of half of all instances in 247 of 256 cases.
	witnessCount = 8
	// minWitnesses is the number of witnesses below which the ledger is updated to name more.
	minWitnesses = 3
	// markLead is how long the tokens below a mark last at the current rate, and markDivisor the least part of a lease that is. A mark is
	// raised when half of that is used: that is more than callTimeout of package members, and a kill parks no more than the lead.
	markLead    = time.Second
	markDivisor = 16
	// markInterval is the time between two checks of the marks.
	markInterval = 100 * time.Millisecond
	// witnessRetryDelay is how long an instance that did not acknowledge a mark is no witness: the time within which the list of
	// instances changes after a restart.
	witnessRetryDelay = 5 * time.Second
)

var (
	descMarksRaised  = telemetry.Describe("prepaid.mark.raised", "calls", "Calls to witnesses that acknowledged marks of this instance.")
	descMarksFailed  = telemetry.Describe("prepaid.mark.failed", "calls", "Calls to witnesses that did not acknowledge marks of this instance.")
	descMarksBound   = telemetry.Describe("prepaid.mark.bindings", "updates", "Updates of the ledger that changed the witnesses of this instance.")
	descMarksSaved   = telemetry.Describe("prepaid.mark.saved", "tokens", "Tokens of leases of earlier incarnations that were not closed, since a witness says that they were not used.")
	descMarksUnknown = telemetry.Describe("prepaid.mark.unknown", "leases", "Holders with witnesses whose leases were closed at their whole size, since no witness said how much of them was used.")
)

// witnessing is what a holder knows of its witnesses. It is safe for concurrent use.
type witnessing struct {
	mu sync.Mutex
	// acknowledged are the marks that instances have acknowledged, by customer.
	acknowledged map[instance.Incarnation]map[string]int64
	// target are the witnesses to name in the ledger.
	target []instance.Incarnation
	// calling are the instances to which a call is in progress.
	calling map[instance.Incarnation]bool
	// skippedUntil are the instances that are no witnesses until a time.
	skippedUntil map[instance.Incarnation]time.Time
}

// setTarget chooses the witnesses: those that it has and that are not skipped, and listed ones.
func (w *witnessing) setTarget(listed []instance.Incarnation, now time.Time) []instance.Incarnation {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i, until := range w.skippedUntil {
		if !now.Before(until) {
			delete(w.skippedUntil, i)
		}
	}
	var next []instance.Incarnation
	for _, i := range slices.Concat(w.target, listed) {
		if _, skipped := w.skippedUntil[i]; !skipped && len(next) < witnessCount && canBeNamed(i) && !slices.Contains(next, i) {
			next = append(next, i)
		}
	}
	w.target = next
	return slices.Clone(next)
}

// ready returns the witnesses to name in the ledger, without those that have acknowledged nothing yet.
func (w *witnessing) ready() (out []instance.Incarnation) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, i := range w.target {
		if w.acknowledged[i] != nil {
			out = append(out, i)
		}
	}
	return out
}

// record records acknowledged marks.
func (w *witnessing) record(witness instance.Incarnation, marks map[string]int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.acknowledged == nil {
		w.acknowledged = make(map[instance.Incarnation]map[string]int64)
	}
	known := w.acknowledged[witness]
	if known == nil {
		known = make(map[string]int64)
		w.acknowledged[witness] = known
	}
	for customer, tokens := range marks {
		known[customer] = max(known[customer], tokens)
	}
}

// skip makes an instance no witness until a time. It reports whether it was one.
func (w *witnessing) skip(witness instance.Incarnation, until time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.skippedUntil == nil {
		w.skippedUntil = make(map[instance.Incarnation]time.Time)
	}
	w.target = slices.DeleteFunc(w.target, func(i instance.Incarnation) bool { return i == witness })
	_, skipped := w.skippedUntil[witness]
	w.skippedUntil[witness] = until
	return !skipped
}

// mark returns the mark of a customer that an instance has acknowledged.
func (w *witnessing) mark(witness instance.Incarnation, customer string) int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.acknowledged[witness][customer]
}

// forget drops the marks of instances that are neither witnesses nor to become one. Marks acknowledged later still count.
func (w *witnessing) forget(bound []instance.Incarnation) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i := range w.acknowledged {
		if !slices.Contains(bound, i) && !slices.Contains(w.target, i) {
			delete(w.acknowledged, i)
		}
	}
}

// maxMissing returns how many of a number of witnesses need not have acknowledged a mark. One that ends while the store is unavailable, so
// that another cannot be named, must not stop the holder. A successor then needs two answers.
func maxMissing(witnesses int) int {
	if witnesses >= minWitnesses {
		return 1
	}
	return 0
}

// heldBack returns the highest mark that all but missing of those given have reached.
func heldBack(marks []int64, missing int) int64 {
	slices.Sort(marks)
	return marks[missing]
}

// boundBy returns the most that used may exceed borrowed by if a set of witnesses binds the account. a.mu must be held.
func (a *account) boundBy(witnesses []instance.Incarnation) int64 {
	var buffer [witnessCount]int64
	marks := buffer[:0]
	for _, w := range witnesses {
		marks = append(marks, a.marks[w])
	}
	return heldBack(marks, maxMissing(len(marks)))
}

// authority returns the most tokens that this incarnation may use now. a.mu must be held.
func (a *account) authority() int64 {
	authority := a.limit
	for _, witnesses := range a.bindings {
		authority = min(authority, a.boundBy(witnesses)+a.borrowed)
	}
	return authority
}

// acknowledged returns how many tokens may be used now.
func (a *account) acknowledged() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.authority() - a.used
}

// covers reports whether the lease covers tokens, so that a request for them waits at most for a mark.
func (a *account) covers(tokens int64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return tokens <= a.limit-a.used
}

// bind lets the account use no more tokens than a set of witnesses has acknowledged. It returns false if more are used.
func (a *account) bind(witnesses []instance.Incarnation, mark func(instance.Incarnation) int64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.marks == nil {
		a.marks = make(map[instance.Incarnation]int64)
	}
	for _, w := range witnesses {
		a.marks[w] = max(a.marks[w], mark(w))
	}
	if a.used-a.borrowed > a.boundBy(witnesses) {
		return false
	}
	a.bindings = append(a.bindings, witnesses)
	return true
}

// setBindings sets the sets of witnesses that bind the account to some of those that do.
func (a *account) setBindings(bindings [][]instance.Incarnation) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.bindings = slices.Clone(bindings)
	for w := range a.marks {
		if !slices.ContainsFunc(bindings, func(witnesses []instance.Incarnation) bool { return slices.Contains(witnesses, w) }) {
			delete(a.marks, w)
		}
	}
	a.grantWaiters()
}

// raiseMark raises the mark of a witness that binds the account.
func (a *account) raiseMark(witness instance.Incarnation, mark int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if previous, bound := a.marks[witness]; bound && mark > previous {
		a.marks[witness] = mark
		a.grantWaiters()
	}
}

// nextMark returns the mark that covers what is used, what requests wait for, and the lead. It reports whether less than half of the lead is
// left below a mark of present.
func (a *account) nextMark(present int64) (mark int64, due bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	needed := a.used - a.borrowed
	for e := a.waiters.Front(); e != nil; e = e.Next() {
		needed += e.Value.(*waiter).tokens
	}
	lead := max(int64(max(a.ratePerSecond, a.longRatePerSecond)*markLead.Seconds()), (a.limit-a.used)/markDivisor)
	lease := a.limit - a.borrowed
	return max(min(needed+lead, lease), a.used-a.borrowed, 0), present < min(needed+lead/2, lease)
}

// hasUnspentLease reports whether the lease has tokens that are not used.
func (a *account) hasUnspentLease() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.limit > a.used && a.limit > a.borrowed
}

// giveUpUnacknowledged lowers the limit to what the witnesses have acknowledged, and returns the lease that is left.
func (a *account) giveUpUnacknowledged() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.limit = min(a.limit, max(a.authority(), a.used))
	return a.limit - a.borrowed
}

// boundWitnesses returns the witnesses of the sets that bind this instance.
func (m *Manager) boundWitnesses() []instance.Incarnation {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := slices.Sorted(slices.Values(slices.Concat(m.bindings...)))
	return slices.Compact(out)
}

// isBoundBy reports whether a set of witnesses binds this instance.
func (m *Manager) isBoundBy(witnesses []instance.Incarnation) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.ContainsFunc(m.bindings, func(b []instance.Incarnation) bool { return sameWitnesses(b, witnesses) })
}

// bind lets this instance use no more tokens than a set of witnesses has acknowledged, besides those that bind it already. It returns
// false, and changes nothing, if more are used.
func (m *Manager) bind(witnesses []instance.Incarnation) bool {
	if len(witnesses) == 0 || m.isBoundBy(witnesses) {
		return true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for customer, a := range m.accounts {
		if !a.bind(witnesses, func(w instance.Incarnation) int64 { return m.witnessing.mark(w, customer) }) {
			for _, a := range m.accounts {
				a.setBindings(m.bindings)
			}
			return false
		}
	}
	m.bindings = append(m.bindings, witnesses)
	return true
}

// keepWitnesses ends the bound by all other sets of witnesses, after an update that names only this one is known to have succeeded.
func (m *Manager) keepWitnesses(witnesses []instance.Incarnation) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.bindings = nil
	if len(witnesses) > 0 {
		m.bindings = [][]instance.Incarnation{witnesses}
	}
	for _, a := range m.accounts {
		a.setBindings(m.bindings)
	}
}

// needsOthers reports whether the ledger is to be updated to name other witnesses than these: one of them is lost, or they are few and
// there are more. Otherwise the next update that is due names others.
func (m *Manager) needsOthers(named []instance.Incarnation) bool {
	ready := m.witnessing.ready()
	lost := slices.ContainsFunc(named, func(w instance.Incarnation) bool { return !slices.Contains(ready, w) })
	if !lost && (len(named) >= minWitnesses || len(ready) <= len(named)) {
		return false
	}
	for _, a := range m.snapshotAccounts() {
		if a.hasUnspentLease() {
			return true
		}
	}
	return false
}

// needsWitnesses reports whether the next update of the ledger is to name other witnesses of this instance.
func (m *Manager) needsWitnesses(l ledger) bool {
	if m.config.Witnesses == nil || !l.listsHolder(string(m.config.Incarnation)) {
		return false
	}
	named := l.witnesses(m.config.Incarnation)
	return m.needsOthers(named) || m.isBoundByOthers(named)
}

// isBoundByOthers reports whether other sets of witnesses than this one bind this instance: an update of unknown outcome named them, and
// only one that is known to have succeeded ends that.
func (m *Manager) isBoundByOthers(named []instance.Incarnation) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.ContainsFunc(m.bindings, func(b []instance.Incarnation) bool { return !sameWitnesses(b, named) })
}

// planWitnesses names the witnesses of this instance in the next ledger. The instance is bound to them from then on.
func (m *Manager) planWitnesses(next ledger) {
	next.removeWitnesses(func(holder string) bool { return !next.listsHolder(holder) })
	if m.config.Witnesses == nil {
		return
	}
	if !next.listsHolder(string(m.config.Incarnation)) {
		next.setWitnesses(m.config.Incarnation, nil)
		return
	}
	witnesses := m.witnessing.ready()
	if !m.bind(witnesses) {
		if witnesses = next.witnesses(m.config.Incarnation); !m.isBoundBy(witnesses) {
			witnesses = nil
		}
	}
	next.setWitnesses(m.config.Incarnation, witnesses)
}

// recordWitnesses applies the witnesses that an update named which has succeeded.
func (m *Manager) recordWitnesses(before, after ledger) {
	if m.config.Witnesses == nil {
		return
	}
	witnesses := after.witnesses(m.config.Incarnation)
	m.keepWitnesses(witnesses)
	if !sameWitnesses(before.witnesses(m.config.Incarnation), witnesses) {
		m.marksBound.Inc(1)
		m.config.Log.WithFields(log.Fields{"witnesses": witnesses, "ledger_version": uint64(m.version)}).Info("prepaid: witnesses changed")
	}
}

// RunWitnessing raises marks and asks the witnesses of earlier incarnations, until the context ends.
func (m *Manager) RunWitnessing(ctx context.Context) error {
	if m.config.Witnesses == nil {
		return nil
	}
	var calls sync.WaitGroup
	defer calls.Wait()
	ticker := m.config.Clock.NewTicker(markInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.Chan():
		case <-m.markSignal:
		}
		m.sealPredecessors(ctx)
		m.startRaising(ctx, &calls)
	}
}

// startRaising begins to raise the marks of all accounts at all witnesses, if one needs it, and at instances that become witnesses. A witness
// that is slow to respond does not delay the calls to the others.
func (m *Manager) startRaising(ctx context.Context, calls *sync.WaitGroup) {
	bound := m.boundWitnesses()
	if m.config.Witnesses == nil || len(bound) == 0 && !m.actsAsTokenHolder() && !m.holdsLeases.Load() {
		return
	}
	now := m.config.Clock.Now()
	witnesses := m.witnessing.setTarget(m.config.Witnesses(), now)
	m.witnessing.forget(bound)
	for _, w := range bound {
		if !slices.Contains(witnesses, w) {
			witnesses = append(witnesses, w)
		}
	}
	accounts := m.snapshotAccounts()
	for _, w := range witnesses {
		marks, due := make(map[string]int64), !m.witnessing.knows(w)
		for customer, a := range accounts {
			present := m.witnessing.mark(w, customer)
			a.raiseMark(w, present)
			mark, accountDue := a.nextMark(present)
			marks[customer], due = max(mark, present), due || accountDue
		}
		if due && m.witnessing.beginCall(w) {
			calls.Go(func() {
				raised := m.raiseMarksAt(ctx, w, marks, accounts)
				m.witnessing.endCall(w)
				if raised {
					// Requests may have begun to wait meanwhile.
					notify(m.markSignal)
				}
			})
		}
	}
	if m.holdsLeases.Load() && !m.storeUnavailable(now) && m.needsOthers(m.boundWitnesses()) {
		notify(m.updateSignal)
	}
}

// beginCall reports whether marks may be raised at an instance. If so, endCall must follow. One call to each is in progress at a time.
func (w *witnessing) beginCall(witness instance.Incarnation) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.calling[witness] {
		return false
	}
	if w.calling == nil {
		w.calling = make(map[instance.Incarnation]bool)
	}
	w.calling[witness] = true
	return true
}

func (w *witnessing) endCall(witness instance.Incarnation) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.calling, witness)
}

// knows reports whether an instance has acknowledged marks.
func (w *witnessing) knows(witness instance.Incarnation) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.acknowledged[witness] != nil
}

// raiseMarksAt raises marks at one witness. It reports whether the witness acknowledged them.
func (m *Manager) raiseMarksAt(ctx context.Context, witness instance.Incarnation, marks map[string]int64, accounts map[string]*account) bool {
	acknowledged, err := m.config.RaiseMarks(ctx, witness, marks)
	if err != nil || !acknowledged {
		m.marksFailed.Inc(1)
		if !m.witnessing.skip(witness, m.config.Clock.Now().Add(witnessRetryDelay)) {
			return false
		}
		entry := m.config.Log.WithField("witness", string(witness))
		if err != nil {
			entry = entry.WithError(err)
		}
		entry.Info("prepaid: marks not raised")
		return false
	}
	m.marksRaised.Inc(1)
	m.recordRaised(witness, marks, accounts)
	return true
}

// recordRaised applies marks that a witness has acknowledged, also late.
func (m *Manager) recordRaised(witness instance.Incarnation, marks map[string]int64, accounts map[string]*account) {
	m.witnessing.record(witness, marks)
	for customer, a := range accounts {
		a.raiseMark(witness, marks[customer])
	}
}
