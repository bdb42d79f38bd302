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

// ledgerStore is the store of one object, with answers that are lost before or after the update takes effect, and
// updates that take effect later if their condition still holds.
type ledgerStore struct {
	objectstore.Store
	value   []byte
	version objectstore.Version
	// next says what happens to the next calls: "" serves them.
	next string
	late []func()
}

func (s *ledgerStore) Get(context.Context, string) (objectstore.Object, error) {
	if s.next != "" {
		return objectstore.Object{}, objectstore.ErrUnavailable
	}
	if s.version == 0 {
		return objectstore.Object{}, objectstore.ErrNotFound
	}
	return objectstore.Object{Key: LedgerKey, Version: s.version, Value: s.value}, nil
}

func (s *ledgerStore) Put(_ context.Context, _ string, value []byte, expected objectstore.Version) (objectstore.Version, error) {
	switch s.next {
	case "down":
		return 0, objectstore.ErrUnavailable
	case "lost":
		s.apply(value, expected)
		return 0, objectstore.ErrAmbiguous
	case "late":
		s.late = append(s.late, func() { s.apply(value, expected) })
		return 0, objectstore.ErrAmbiguous
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
	s.value, s.version = value, s.version+1
	return true
}

func quiet() log.Interface { return &log.Logger{Handler: discard.New(), Level: log.FatalLevel} }

// testKeeper is a keeper whose rounds the test runs itself.
func testKeeper(store objectstore.Store, name string, clock clockwork.Clock, prepaid *int64, instances int) *Keeper {
	return NewKeeper(Config{
		Store: store, Incarnation: instance.NewIncarnation(name), Clock: clock, Log: quiet(), Metrics: metrics.NewRegistry(),
		Prepaid:   func(string) (int64, bool) { return *prepaid, true },
		Customers: func() []string { return []string{"alwusta"} },
		Holders:   func() int { return instances },
	})
}

// machine is a fleet of keepers that share one budget.
type machine struct {
	store   *ledgerStore
	clock   *clockwork.FakeClock
	prepaid int64
	keepers []*Keeper
	open    [][]int64
	waiting [][]*waiter
	// spent is what callers really got, by a counter of the test's own.
	spent int64
}

const machineKeepers = 3

func newMachine() *machine {
	m := &machine{store: &ledgerStore{}, clock: clockwork.NewFakeClock(), prepaid: 20_000, open: make([][]int64, machineKeepers), waiting: make([][]*waiter, machineKeepers)}
	for i := range machineKeepers {
		m.keepers = append(m.keepers, m.start(i))
	}
	return m
}

func (m *machine) start(i int) *Keeper {
	return testKeeper(m.store, fmt.Sprintf("muscat-%d", i), m.clock, &m.prepaid, machineKeepers)
}

// spendable returns what all keepers could hand out now without another word from the store.
func (m *machine) spendable() (sum int64) {
	for _, k := range m.keepers {
		d := k.account("alwusta").demand()
		sum += d.limit - d.used
	}
	return sum
}

// collect turns waiters that got their tokens into open requests.
func (m *machine) collect() {
	for i, waiting := range m.waiting {
		m.waiting[i] = nil
		for _, w := range waiting {
			select {
			case o := <-w.done:
				if o == Granted {
					m.open[i] = append(m.open[i], w.tokens)
				}
			default:
				m.waiting[i] = append(m.waiting[i], w)
			}
		}
	}
}

func (m *machine) reserved() (sum int64) {
	for _, open := range m.open {
		for _, tokens := range open {
			sum += tokens
		}
	}
	return sum
}

// TestNeverOverspent runs random histories of requests, lost and late answers, outages, loans, kills, orderly stops and
// top-ups. Whatever happens, what callers got and may still get stays within the prepaid total.
func TestNeverOverspent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine()
		pick := rapid.IntRange(0, machineKeepers-1)
		actions := map[string]func(*rapid.T){
			"reserve": func(t *rapid.T) {
				i, tokens := pick.Draw(t, "keeper"), rapid.SampledFrom([]int64{10, 700, 2_000, 6_000}).Draw(t, "tokens")
				if a := m.keepers[i].account("alwusta"); a.reserve(tokens) {
					m.open[i] = append(m.open[i], tokens)
				} else {
					w, _ := a.wait(tokens)
					m.waiting[i] = append(m.waiting[i], w)
				}
			},
			"settle": func(t *rapid.T) {
				i := pick.Draw(t, "keeper")
				if len(m.open[i]) == 0 {
					t.Skip("nothing open")
				}
				tokens := m.open[i][0]
				m.open[i] = m.open[i][1:]
				spent := tokens * rapid.SampledFrom([]int64{0, 1, 2, 2}).Draw(t, "halves") / 2
				m.keepers[i].account("alwusta").settle(tokens, spent)
				m.spent += spent
			},
			"round": func(t *rapid.T) {
				m.store.next = rapid.SampledFrom([]string{"", "", "", "down", "lost", "late"}).Draw(t, "store")
				m.clock.Advance(rapid.SampledFrom([]time.Duration{0, 300, 700, 2500}).Draw(t, "ms") * time.Millisecond)
				k := m.keepers[pick.Draw(t, "keeper")]
				k.observe()
				k.round(context.Background())
				m.store.next = ""
			},
			"late": func(t *rapid.T) {
				if len(m.store.late) == 0 {
					t.Skip("nothing late")
				}
				m.store.late[0]()
				m.store.late = m.store.late[1:]
			},
			"loan": func(t *rapid.T) {
				from, to := pick.Draw(t, "from"), pick.Draw(t, "to")
				if from == to {
					t.Skip("same")
				}
				given := m.keepers[from].account("alwusta").lend(rapid.SampledFrom([]int64{50, 3_000}).Draw(t, "tokens"))
				if rapid.Bool().Draw(t, "arrives") {
					m.keepers[to].account("alwusta").borrow(given)
				}
			},
			"draw": func(t *rapid.T) {
				from, to := pick.Draw(t, "from"), pick.Draw(t, "to")
				if from == to {
					t.Skip("same")
				}
				needed := rapid.SampledFrom([]int64{50, 3_000}).Draw(t, "tokens")
				given := m.keepers[from].Provide(canceled(), "alwusta", needed, 2*needed).Tokens
				if rapid.Bool().Draw(t, "arrives") {
					m.keepers[to].account("alwusta").borrow(given)
				}
			},
			"loan of the ledger": func(t *rapid.T) {
				from, to, tokens := pick.Draw(t, "from"), pick.Draw(t, "to"), rapid.SampledFrom([]int64{50, 3_000}).Draw(t, "tokens")
				if from == to {
					t.Skip("same")
				}
				a := m.keepers[from].account("alwusta")
				w, e := a.wait(tokens)
				m.store.next = rapid.SampledFrom([]string{"", "", "down", "lost", "late"}).Draw(t, "store")
				m.keepers[from].round(context.Background())
				m.store.next = ""
				if a.leave(e) || <-w.done != Granted {
					return
				}
				if rapid.Bool().Draw(t, "arrives") {
					m.keepers[to].account("alwusta").borrow(tokens)
				}
			},
			"hand over": func(t *rapid.T) {
				holds := rapid.Bool().Draw(t, "holds")
				m.keepers[pick.Draw(t, "keeper")].config.Holds = func() bool { return holds }
			},
			"kill": func(t *rapid.T) {
				i := pick.Draw(t, "keeper")
				for _, tokens := range m.open[i] {
					m.spent += tokens
				}
				m.open[i], m.waiting[i] = nil, nil
				m.keepers[i] = m.start(i)
			},
			"stop": func(t *rapid.T) {
				i := pick.Draw(t, "keeper")
				if len(m.open[i])+len(m.waiting[i]) > 0 {
					t.Skip("requests open")
				}
				m.store.next = rapid.SampledFrom([]string{"", "down", "lost", "late"}).Draw(t, "store")
				_ = m.keepers[i].Close(context.Background()) // An answer that is lost leaves tokens parked, no more.
				m.store.next = ""
				m.keepers[i] = m.start(i)
			},
			"top-up": func(t *rapid.T) { m.prepaid += 500 },
			"": func(t *rapid.T) {
				m.collect()
				if got := m.spent + m.reserved() + m.spendable(); got > m.prepaid {
					t.Fatalf("%d tokens spent, reserved or spendable of %d prepaid", got, m.prepaid)
				}
			},
		}
		// The common actions are drawn more often, so that budgets run out within a history.
		for _, name := range []string{"reserve", "round", "settle"} {
			actions[name+" again"], actions[name+" once more"] = actions[name], actions[name]
		}
		t.Repeat(actions)
	})
}
