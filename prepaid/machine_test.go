package prepaid

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"
	"pgregory.net/rapid"

	"pumiceshelf/instance"
	"pumiceshelf/objectstore"
)

// ledgerStore stores one object. It can fail calls, lose the responses of updates that take effect, and delay updates,
// which then take effect only if the version they expect is still current.
type ledgerStore struct {
	objectstore.Store
	value   []byte
	version objectstore.Version
	// initial is added to the version of the first update.
	initial objectstore.Version
	// failureMode determines what happens to the next calls. If it is empty, they succeed.
	failureMode string
	// lateWrites are the delayed updates.
	lateWrites []lateWrite
}

// lateWrite is an update that takes effect if the version that it expects has the number of the current one.
type lateWrite struct {
	value    []byte
	expected objectstore.Version
}

// isOfEarlierEra reports whether the next delayed update is from before the store came back from a copy, and its number is still to be given
// out again.
func (s *ledgerStore) isOfEarlierEra() bool {
	expected := s.lateWrites[0].expected
	return s.version != 0 && objectstore.Era(expected) < objectstore.Era(s.version) && objectstore.Number(expected) > objectstore.Number(s.version)
}

// executeLate executes the next delayed update. It reports whether that took effect. The store compares numbers, which it gives out again
// after it came back from a copy.
func (s *ledgerStore) executeLate() bool {
	w := s.lateWrites[0]
	s.lateWrites = s.lateWrites[1:]
	return objectstore.Number(w.expected) == objectstore.Number(s.version) && s.apply(w.value, s.version)
}

// copy returns a copy of the store.
func (s *ledgerStore) copy() *ledgerStore { return &ledgerStore{value: s.value, version: s.version} }

// restore brings the store back from a copy. Its versions are given out again.
func (s *ledgerStore) restore(from *ledgerStore) {
	era := objectstore.Era(max(s.version, s.initial)) + 1
	s.value, s.version, s.initial = from.value, 0, objectstore.WithEra[objectstore.Version](era, 0)
	if from.version != 0 {
		s.version = objectstore.WithEra[objectstore.Version](era, objectstore.Number(from.version))
	}
}

func (s *ledgerStore) Get(context.Context, string) (objectstore.Object, error) {
	if s.failureMode != "" {
		return objectstore.Object{}, objectstore.ErrUnavailable
	}
	if s.version == 0 {
		return objectstore.Object{}, objectstore.ErrNotFound
	}
	return objectstore.Object{Key: LedgerKey, Version: s.version, Value: s.value}, nil
}

func (s *ledgerStore) Put(_ context.Context, _ string, value []byte, expected objectstore.Version) (objectstore.Version, error) {
	switch s.failureMode {
	case "down":
		return 0, objectstore.ErrUnavailable
	case "lost":
		s.apply(value, expected)
		return 0, objectstore.ErrAmbiguous
	case "late":
		s.lateWrites = append(s.lateWrites, lateWrite{value: value, expected: expected})
		return 0, objectstore.ErrAmbiguous
	}
	if s.version == 0 && expected != 0 {
		return 0, objectstore.ErrConflict
	}
	if !s.apply(value, expected) {
		return 0, &objectstore.ConflictError{Current: objectstore.Object{Key: LedgerKey, Version: s.version, Value: s.value}}
	}
	return s.version, nil
}

func (s *ledgerStore) apply(value []byte, expected objectstore.Version) bool {
	if expected != s.version {
		return false
	}
	if s.version == 0 {
		s.version = s.initial
	}
	s.value, s.version = value, s.version+1
	return true
}

// discardLogger returns a logger without output.
func discardLogger() log.Interface { return &log.Logger{Handler: discard.New(), Level: log.FatalLevel} }

// newTestManager returns a manager that does not run by itself: the test calls resizeLeases.
func newTestManager(store objectstore.Store, name string, clock clockwork.Clock, prepaid *int64, instances int) *Manager {
	return NewManager(Config{
		Store: store, Incarnation: instance.NewIncarnation(name), Clock: clock, Log: discardLogger(), Metrics: metrics.NewRegistry(),
		PrepaidTotal:     func(string) (int64, bool) { return *prepaid, true },
		Customers:        func() []string { return []string{"alwusta"} },
		TokenHolderCount: func() int { return instances },
	})
}

// stateMachine is the state of the property test: a fleet of managers that share one budget.
type stateMachine struct {
	store        *ledgerStore
	clock        *clockwork.FakeClock
	prepaid      int64
	managers     []*Manager
	openRequests [][]int64
	waiting      [][]*waiter
	// spent counts the tokens that callers spent, independently of the managers.
	spent int64
	// sequence numbers the requests for tokens, and lost are those whose responses did not arrive.
	sequence uint64
	lost     []lostTransfer
	// returns are the tokens passed back, and their receivers. Each may arrive several times or late.
	returns []*sentReturn
	// reduceParked and reportParked are the settings of all managers.
	reduceParked, reportParked bool
	// rations makes all managers ration tokens by rank.
	rations bool
	// copies are those of the store, and restoredAt is when it last came back from one. informed holds the managers that have not
	// reached the store since and know what it lost, cut those of them that do not reach it.
	copies        []*ledgerStore
	restoredAt    time.Time
	informed, cut map[*Manager]bool
	// lostUpdates is set once the store came back from a copy.
	lostUpdates bool
	// started numbers the incarnations.
	started int
	// witnesses are the instances that witness leases, nil if leases are not witnessed.
	witnesses *modelWitnesses
}

// knowers returns how many managers that reach the store know what it lost, without one of them.
func (m *stateMachine) knowers(without *Manager) (n int) {
	for manager := range m.informed {
		if manager != without && !m.cut[manager] {
			n++
		}
	}
	return n
}

// restore brings the store back from a copy.
func (m *stateMachine) restore(t *rapid.T) {
	m.loseUpdates(t, func() { m.store.restore(rapid.SampledFrom(m.copies).Draw(t, "copy")) })
}

// loseUpdates makes the store lose updates. Some managers do not reach it then. Those that do have read the ledger before.
func (m *stateMachine) loseUpdates(t *rapid.T, lose func()) {
	if len(m.informed) > 0 {
		m.inform()
	}
	for _, manager := range m.managers {
		_ = manager.readLedger(context.Background())
	}
	lose()
	m.lostUpdates = true
	m.restoredAt, m.informed, m.cut = m.clock.Now(), make(map[*Manager]bool), make(map[*Manager]bool)
	for i, manager := range m.managers {
		m.informed[manager] = true
		m.cut[manager] = i > 0 && rapid.Bool().Draw(t, "cut")
	}
}

// inform lets each manager that reaches the store write what it knows.
func (m *stateMachine) inform() {
	for _, manager := range m.managers {
		if m.informed[manager] && !m.cut[manager] {
			manager.resizeLeases(context.Background())
		}
	}
	m.informed = nil
}

// advance lets time pass. Managers that reach the store write what they know within restorePause after it came back from a copy.
func (m *stateMachine) advance(d time.Duration) {
	if len(m.informed) > 0 && m.clock.Since(m.restoredAt)+d >= restorePause {
		m.inform()
	}
	m.clock.Advance(d)
}

// sentReturn is a return of tokens, the index of its receiver, and whether its tokens were added to an account.
type sentReturn struct {
	Return
	receiver int
	added    bool
}

// lostTransfer is a request for tokens whose response did not arrive, and the index of the lender.
type lostTransfer struct {
	lender int
	id     TransferID
}

const managerCount = 3

// newStateMachine returns a fleet. Its leases are witnessed by the managers and by a number of instances without leases, unless that is
// negative.
func newStateMachine(reduceParked, reportParked, rations bool, witnesses int) *stateMachine {
	m := &stateMachine{rations: rations, reduceParked: reduceParked, reportParked: reportParked, store: &ledgerStore{}, clock: clockwork.NewFakeClock(), prepaid: 20_000, openRequests: make([][]int64, managerCount), waiting: make([][]*waiter, managerCount)}
	if witnesses >= 0 {
		m.witnesses = &modelWitnesses{managers: make(map[instance.Incarnation]*Manager), fates: make(map[instance.Incarnation]string)}
	}
	for i := range managerCount {
		m.managers = append(m.managers, m.start(i))
	}
	for i := range witnesses {
		m.witnesses.only = append(m.witnesses.only, m.start(managerCount+i))
	}
	return m
}

func (m *stateMachine) start(i int) *Manager {
	manager := newEraManager(m.store, fmt.Sprintf("muscat-%d", i), m.clock, &m.prepaid, managerCount)
	manager.config.ReduceParked, manager.config.ReportParked = m.reduceParked, m.reportParked
	manager.config.Rations = func() bool { return m.rations }
	m.started++
	manager.config.Incarnation = instance.Incarnation(fmt.Sprintf("muscat-%d~%04d", i, m.started))
	if m.witnesses != nil {
		m.witnesses.add(manager)
	}
	return manager
}

// spendable returns how many tokens all managers could grant now without a store call.
func (m *stateMachine) spendable() (sum int64) {
	for _, manager := range m.managers {
		a := manager.account("alwusta")
		sum += a.authority() - a.used
	}
	return sum
}

// committed returns the tokens that the ledger counts as closed or leased.
func (m *stateMachine) committed(t *rapid.T) int64 {
	if m.store.version == 0 {
		return 0
	}
	l, err := decodeLedger(m.store.value)
	if err != nil {
		t.Fatal(err)
	}
	return l.committed("alwusta")
}

// collect turns granted waiters into open requests and drops refused ones.
func (m *stateMachine) collect() {
	for i, waiting := range m.waiting {
		m.waiting[i] = nil
		for _, w := range waiting {
			select {
			case o := <-w.done:
				if o == Granted {
					m.openRequests[i] = append(m.openRequests[i], w.tokens)
				}
			default:
				m.waiting[i] = append(m.waiting[i], w)
			}
		}
	}
}

// reserved returns the tokens of all open requests.
func (m *stateMachine) reserved() (sum int64) {
	for _, open := range m.openRequests {
		for _, tokens := range open {
			sum += tokens
		}
	}
	return sum
}

// TestNeverOverspent runs random sequences of requests, lost responses, late updates, outages, loans, allocations,
// crashes, orderly stops, top-ups, and calls to witnesses. It checks that the tokens that are spent, reserved or spendable never exceed the
// prepaid total.
func TestNeverOverspent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newStateMachine(rapid.Bool().Draw(t, "reduce"), rapid.Bool().Draw(t, "report"), rapid.Bool().Draw(t, "ration"), rapid.IntRange(-1, 2).Draw(t, "witnesses"))
		actions := m.actions()
		// The common actions are chosen more often, so that budgets are exhausted within one sequence.
		for _, name := range []string{"reserve", "resize", "settle", "raise marks", "seal"} {
			if actions[name] == nil {
				continue
			}
			actions[name+" again"], actions[name+" once more"] = actions[name], actions[name]
		}
		t.Repeat(actions)
	})
}

// actions returns the actions of the property test, and its check.
func (m *stateMachine) actions() map[string]func(*rapid.T) {
	managerIndex := rapid.Custom(func(t *rapid.T) int { return rapid.IntRange(0, len(m.managers)-1).Draw(t, "index") })
	actions := map[string]func(*rapid.T){
		"reserve": func(t *rapid.T) {
			i, tokens := managerIndex.Draw(t, "keeper"), rapid.SampledFrom([]int64{10, 700, 2_000, 6_000}).Draw(t, "tokens")
			if a := m.managers[i].account("alwusta"); a.reserve(tokens) {
				m.openRequests[i] = append(m.openRequests[i], tokens)
			} else {
				w, _ := a.addWaiter(tokens)
				m.waiting[i] = append(m.waiting[i], w)
			}
		},
		"settle": func(t *rapid.T) {
			i := managerIndex.Draw(t, "keeper")
			if len(m.openRequests[i]) == 0 {
				t.Skip("no open requests")
			}
			tokens := m.openRequests[i][0]
			m.openRequests[i] = m.openRequests[i][1:]
			spent := tokens * rapid.SampledFrom([]int64{0, 1, 2, 2}).Draw(t, "halves") / 2
			m.managers[i].account("alwusta").settle(tokens, spent)
			m.spent += spent
		},
		"resize": func(t *rapid.T) {
			m.store.failureMode = rapid.SampledFrom([]string{"", "", "", "down", "lost", "late"}).Draw(t, "store")
			m.advance(rapid.SampledFrom([]time.Duration{0, 300, 700, 2500}).Draw(t, "ms") * time.Millisecond)
			manager := m.managers[managerIndex.Draw(t, "keeper")]
			if m.cut[manager] && m.store.failureMode != "down" {
				if m.cut[manager] = rapid.Bool().Draw(t, "still cut"); m.cut[manager] {
					m.store.failureMode = "down"
				}
			}
			manager.updateRates()
			manager.resizeLeases(context.Background())
			manager.reportParked()
			m.store.failureMode = ""
		},
		"late write": func(t *rapid.T) {
			if len(m.store.lateWrites) == 0 {
				t.Skip("no late writes")
			}
			if !m.store.isOfEarlierEra() || !rapid.Bool().Draw(t, "number comes again") {
				m.store.executeLate()
				return
			}
			m.loseUpdates(t, func() {
				// Updates that change nothing use up the numbers before.
				m.store.version = objectstore.WithEra[objectstore.Version](objectstore.Era(m.store.version), objectstore.Number(m.store.lateWrites[0].expected))
				m.store.executeLate()
			})
		},
		"loan": func(t *rapid.T) {
			from, to := managerIndex.Draw(t, "from"), managerIndex.Draw(t, "to")
			if from == to {
				t.Skip("same")
			}
			lent := m.managers[from].account("alwusta").lend(rapid.SampledFrom([]int64{50, 3_000}).Draw(t, "tokens"), 0)
			if rapid.Bool().Draw(t, "arrives") {
				m.managers[to].account("alwusta").addBorrowed(lent)
			}
		},
		"allocate": func(t *rapid.T) {
			from, to := managerIndex.Draw(t, "from"), managerIndex.Draw(t, "to")
			if from == to {
				t.Skip("same")
			}
			needed := rapid.SampledFrom([]int64{50, 3_000}).Draw(t, "tokens")
			m.sequence++
			id := TransferID{Borrower: m.managers[to].config.Incarnation, Sequence: m.sequence}
			allocated := m.managers[from].Allocate(canceledContext(), id, "alwusta", rapid.IntRange(0, 9).Draw(t, "rank"), needed, 2*needed).Tokens
			if rapid.Bool().Draw(t, "arrives") {
				m.managers[to].account("alwusta").addBorrowed(allocated)
			} else {
				m.lost = append(m.lost, lostTransfer{lender: from, id: id})
			}
		},
		"abandon": func(t *rapid.T) {
			if len(m.lost) == 0 {
				t.Skip("no lost responses")
			}
			at := rapid.IntRange(0, len(m.lost)-1).Draw(t, "lost")
			m.managers[m.lost[at].lender].Abandon(m.lost[at].id.Borrower, []uint64{m.lost[at].id.Sequence})
		},
		"return": func(t *rapid.T) {
			from, to := managerIndex.Draw(t, "from"), managerIndex.Draw(t, "to")
			tokens := m.managers[from].account("alwusta").takeIdle(rapid.SampledFrom([]int64{1, 1, minReturn}).Draw(t, "least"))
			if tokens == 0 {
				t.Skip("no idle tokens")
			}
			m.sequence++
			m.returns = append(m.returns, &sentReturn{receiver: to, Return: Return{
				Returner: m.managers[from].config.Incarnation, Receiver: m.managers[to].config.Incarnation, Sequence: m.sequence,
				Tokens: map[string]int64{"alwusta": tokens},
			}})
		},
		"return arrives": func(t *rapid.T) {
			if len(m.returns) == 0 {
				t.Skip("no returns")
			}
			r := m.returns[rapid.IntRange(max(0, len(m.returns)-3), len(m.returns)-1).Draw(t, "return")]
			receiver := m.managers[r.receiver]
			before := receiver.account("alwusta").demand().limit
			if got := receiver.AcceptReturn(r.Return); got != (r.Receiver == receiver.config.Incarnation) {
				t.Fatalf("return for %s accepted by %s: %t", r.Receiver, receiver.config.Incarnation, got)
			}
			added := receiver.account("alwusta").demand().limit - before
			if added != 0 && (r.added || added != r.Tokens["alwusta"]) {
				t.Fatalf("%d tokens added for a return of %d, added before: %t", added, r.Tokens["alwusta"], r.added)
			}
			r.added = r.added || added != 0
		},
		"allocate after abandon": func(t *rapid.T) {
			from := managerIndex.Draw(t, "from")
			m.sequence++
			id := TransferID{Borrower: "muscat-9", Sequence: m.sequence}
			m.managers[from].Abandon(id.Borrower, []uint64{id.Sequence})
			if got := m.managers[from].Allocate(canceledContext(), id, "alwusta", 0, 50, 50).Tokens; got != 0 {
				t.Fatalf("%d tokens passed on for an abandoned request", got)
			}
		},
		"loan from the ledger": func(t *rapid.T) {
			from, to, tokens := managerIndex.Draw(t, "from"), managerIndex.Draw(t, "to"), rapid.SampledFrom([]int64{50, 3_000}).Draw(t, "tokens")
			if from == to {
				t.Skip("same")
			}
			a := m.managers[from].account("alwusta")
			w, e := a.addWaiter(tokens)
			m.store.failureMode = rapid.SampledFrom([]string{"", "", "down", "lost", "late"}).Draw(t, "store")
			m.managers[from].resizeLeases(context.Background())
			m.store.failureMode = ""
			if a.removeWaiter(e) || <-w.done != Granted {
				return
			}
			if rapid.Bool().Draw(t, "arrives") {
				m.managers[to].account("alwusta").addBorrowed(tokens)
			}
		},
		"change token holder": func(t *rapid.T) {
			isHolder, isFirst := rapid.Bool().Draw(t, "holds"), rapid.Bool().Draw(t, "first")
			config := &m.managers[managerIndex.Draw(t, "keeper")].config
			config.IsTokenHolder, config.IsFirstHolder = func() bool { return isHolder }, func() bool { return isFirst }
		},
		"kill": func(t *rapid.T) {
			i := managerIndex.Draw(t, "keeper")
			if i >= managerCount {
				t.Skip("paused and replaced")
			}
			if m.informed[m.managers[i]] && m.knowers(m.managers[i]) == 0 {
				t.Skip("nobody else knows what the store lost")
			}
			for _, manager := range m.managers {
				// Otherwise a lease that grew after a copy was made is known to nobody.
				if !m.cut[manager] {
					_ = manager.readLedger(context.Background())
				}
			}
			for _, tokens := range m.openRequests[i] {
				m.spent += tokens
			}
			m.openRequests[i], m.waiting[i] = nil, nil
			m.witnesses.remove(m.managers[i])
			m.managers[i] = m.start(i)
		},
		"stop": func(t *rapid.T) {
			i := managerIndex.Draw(t, "keeper")
			if i >= managerCount {
				t.Skip("paused and replaced")
			}
			if len(m.openRequests[i])+len(m.waiting[i]) > 0 {
				t.Skip("requests open")
			}
			m.store.failureMode = rapid.SampledFrom([]string{"", "down", "lost", "late"}).Draw(t, "store")
			_ = m.managers[i].Close(context.Background()) // After a lost response, tokens stay parked.
			m.store.failureMode = ""
			m.witnesses.remove(m.managers[i])
			m.managers[i] = m.start(i)
		},
		"copy": func(t *rapid.T) {
			m.copies = append(m.copies, m.store.copy())
			m.copies = m.copies[max(0, len(m.copies)-4):]
		},
		"restore": func(t *rapid.T) {
			if len(m.copies) == 0 {
				t.Skip("no copies")
			}
			m.restore(t)
		},
		"top-up": func(t *rapid.T) { m.prepaid += 500 },
		"": func(t *rapid.T) {
			m.collect()
			got := m.spent + m.reserved() + m.spendable()
			if got > m.prepaid {
				t.Fatalf("%d tokens spent, reserved or spendable of %d prepaid", got, m.prepaid)
			}
			if committed := m.committed(t); !m.lostUpdates && got > committed {
				t.Fatalf("%d tokens spent, reserved or spendable, %d committed in the ledger", got, committed)
			}
		},
	}
	if m.witnesses != nil {
		m.addWitnessActions(actions, managerIndex)
	}
	return actions
}
