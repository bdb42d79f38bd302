package prepaid

import (
	"context"
	"errors"
	"runtime"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/smartystreets/goconvey/convey"

	"pumiceshelf/instance"
)

// errWitnessGone is the error of calls to an instance that was killed.
var errWitnessGone = errors.New("witness is gone")

// witnessedFleetAt is fleetAt with leases that are witnessed.
func witnessedFleetAt(seed uint64, fraction float64) *testFleet {
	f := newUnstartedFleet(seed, testPrepaid, 0)
	f.witnesses = make(map[instance.Incarnation]*Manager)
	f.restartAll()
	f.serve(time.Minute, testRate, int64(fraction*testPrepaid))
	return f
}

// raiseMarks raises the marks of all accounts at all witnesses, if one needs it.
func (m *Manager) raiseMarks(ctx context.Context) {
	var calls sync.WaitGroup
	m.startRaising(ctx, &calls)
	calls.Wait()
}

// addWitness lets an instance witness the leases of others, and them its own.
func (f *testFleet) addWitness(m *Manager) {
	if f.witnesses == nil {
		return
	}
	f.witnesses[m.config.Incarnation] = m
	m.config.Witnesses = func() []instance.Incarnation { return f.witnessesOf(m) }
	m.config.RaiseMarks = func(_ context.Context, witness instance.Incarnation, marks map[string]int64) (bool, error) {
		if w := f.witnesses[witness]; w != nil {
			return w.WitnessMarks(m.config.Incarnation, witness, marks), nil
		}
		return false, errWitnessGone
	}
	m.config.SealMarks = func(_ context.Context, holder, witness instance.Incarnation) (map[string]int64, bool, error) {
		if w := f.witnesses[witness]; w != nil {
			marks, known := w.SealMarks(holder, witness)
			return marks, known, nil
		}
		return nil, false, errWitnessGone
	}
}

// witnessesOf returns the instances of the domain, in an order that differs by holder.
func (f *testFleet) witnessesOf(m *Manager) (out []instance.Incarnation) {
	own := 0
	for d, domain := range f.domains {
		if slices.Contains(domain, m) {
			own = d
		}
	}
	for i := range testDomainSize {
		if w := f.domains[own][(7*own+i+1)%testDomainSize]; w != m {
			out = append(out, w.config.Incarnation)
		}
	}
	return out
}

// raiseAllMarks raises the marks of all instances.
func (f *testFleet) raiseAllMarks() {
	for _, domain := range f.domains {
		for _, m := range domain {
			m.raiseMarks(context.Background())
		}
	}
}

// killSome replaces a share of all instances, drawn from the seed, by new incarnations without an orderly stop.
func (f *testFleet) killSome(share float64) {
	var started []*Manager
	for d := range f.domains {
		for i, m := range f.domains[d] {
			if f.random.Float64() < share {
				delete(f.witnesses, m.config.Incarnation)
				f.domains[d][i] = f.start(d, i)
				started = append(started, f.domains[d][i])
			}
		}
	}
	for range 2 {
		f.resizeAll()
		for _, m := range started {
			m.sealPredecessors(context.Background())
		}
		f.clock.Advance(sealTimeout)
	}
	f.resizeAll()
}

// TestKillOfSomeInstancesParksFewTokens guards against leases that are closed at their whole size although an instance lives that knows how
// much of them was used.
func TestKillOfSomeInstancesParksFewTokens(t *testing.T) {
	// maxParkedByKill is the greatest fraction of a prepaid total that a kill may park.
	const maxParkedByKill = 0.05
	Convey("if half of the instances are killed while the others live, less than a twentieth of the budget is lost", t, func() {
		for _, fraction := range []float64{0.25, 0.5} {
			for _, seed := range parkedSeeds {
				f := witnessedFleetAt(seed, fraction)
				f.killSome(0.55)
				parked := float64(f.parked()) / testPrepaid
				t.Logf("used %.2f, seed %d: parked %.4f", fraction, seed, parked)
				So(parked, ShouldBeLessThan, maxParkedByKill)
			}
		}
	})
}

// witnessedManagers returns managers with an era store whose leases are witnessed by those that listed returns.
func witnessedManagers(prepaid *int64, listed func(m *Manager) []instance.Incarnation, names ...string) (*clockwork.FakeClock, *ledgerStore, *testFleet, []*Manager) {
	clock, store, managers := eraStore(prepaid, names...)
	f := &testFleet{witnesses: make(map[instance.Incarnation]*Manager)}
	for _, m := range managers {
		f.addWitness(m)
		m.config.Witnesses = func() []instance.Incarnation { return listed(m) }
	}
	return clock, store, f, managers
}

// TestLeaseIsClosedWholeIfCopyNamesEarlierWitness guards against a successor that believes the witness of a copy of the store, although the
// holder has had another one since.
func TestLeaseIsClosedWholeIfCopyNamesEarlierWitness(t *testing.T) {
	Convey("Given a holder that changes its witness after a copy of the store was made, and spends its lease", t, func() {
		prepaid := int64(1_000_000)
		var holder, first, second *Manager
		witness := func() *Manager { return first }
		clock, store, f, managers := witnessedManagers(&prepaid, func(m *Manager) []instance.Incarnation {
			if m == holder {
				return []instance.Incarnation{witness().config.Incarnation}
			}
			return nil
		}, "muscat-1", "muscat-2", "muscat-3")
		holder, first, second = managers[0], managers[1], managers[2]
		update := func(m *Manager) {
			m.raiseMarks(canceledContext())
			m.resizeLeases(canceledContext())
		}
		for range 3 {
			for _, m := range managers {
				update(m)
			}
		}
		So(holder.ledger.witnesses(holder.config.Incarnation), ShouldResemble, []instance.Incarnation{first.config.Incarnation})
		copied := store.copy()
		witness = func() *Manager { return second }
		holder.witnessing.skip(first.config.Incarnation, clock.Now().Add(time.Hour))
		update(holder)
		update(holder)
		So(holder.ledger.witnesses(holder.config.Incarnation), ShouldResemble, []instance.Incarnation{second.config.Incarnation})
		spent := int64(0)
		for holder.account("alwusta").reserve(500) {
			spent += 500
			holder.raiseMarks(canceledContext())
		}
		So(spent, ShouldBeGreaterThan, first.witnessed.holders[holder.config.Incarnation].tokens["alwusta"])

		Convey("its successor closes the whole lease after the store came back from the copy, while the holder does not reach the store", func() {
			store.restore(copied)
			successor := newEraManager(store, "muscat-1", clock, &prepaid, 3)
			f.addWitness(successor)
			successor.config.Witnesses = func() []instance.Incarnation { return nil }
			for range 20 {
				clock.Advance(tickInterval)
				for _, m := range []*Manager{first, second, successor} {
					m.resizeLeases(canceledContext())
					m.sealPredecessors(canceledContext())
				}
			}
			So(successor.predecessorsClosed, ShouldBeTrue)
			l, err := decodeLedger(store.value)
			So(err, ShouldBeNil)
			So(l.hasLease("alwusta", holder.config.Incarnation), ShouldBeFalse)
			So(l.message.Accounts["alwusta"].Closed, ShouldBeGreaterThanOrEqualTo, spent)
		})
	})
}

// TestWitnessKeepsItsWord guards against a witness that acknowledges a mark after it has told the successor another one.
func TestWitnessKeepsItsWord(t *testing.T) {
	Convey("Given a witness that has acknowledged marks of a holder", t, func() {
		prepaid := int64(1_000_000)
		witness := newTestManager(&ledgerStore{}, "muscat-2", clockwork.NewFakeClock(), &prepaid, 2)
		self, holder := witness.config.Incarnation, instance.NewIncarnation("muscat-1")
		So(witness.WitnessMarks(holder, self, map[string]int64{"alwusta": 700}), ShouldBeTrue)

		Convey("a lower mark that arrives late changes nothing", func() {
			So(witness.WitnessMarks(holder, self, map[string]int64{"alwusta": 600, "precio": 5}), ShouldBeTrue)
			marks, known := witness.SealMarks(holder, self)
			So(known, ShouldBeTrue)
			So(marks, ShouldResemble, map[string]int64{"alwusta": 700, "precio": 5})
		})
		Convey("no mark rises after it is sealed, and a second seal says the same", func() {
			for range 2 {
				marks, known := witness.SealMarks(holder, self)
				So(known, ShouldBeTrue)
				So(marks, ShouldResemble, map[string]int64{"alwusta": 700})
				So(witness.WitnessMarks(holder, self, map[string]int64{"alwusta": 800}), ShouldBeFalse)
			}
		})
		Convey("another incarnation of the witness acknowledges and seals nothing", func() {
			other := newTestManager(&ledgerStore{}, "muscat-2", clockwork.NewFakeClock(), &prepaid, 2)
			So(other.WitnessMarks(holder, self, map[string]int64{"alwusta": 800}), ShouldBeFalse)
			_, known := other.SealMarks(holder, self)
			So(known, ShouldBeFalse)
			_, known = other.SealMarks(holder, other.config.Incarnation)
			So(known, ShouldBeFalse)
		})
		Convey("an impossible mark is refused", func() {
			So(witness.WitnessMarks(holder, self, map[string]int64{"alwusta": -1}), ShouldBeFalse)
			So(witness.WitnessMarks(holder, self, map[string]int64{"alwusta": maxTokens + 1}), ShouldBeFalse)
		})
		Convey("beyond the bound no holder is added, and the known ones are kept", func() {
			for range maxWitnessedHolders - 1 {
				So(witness.WitnessMarks(instance.NewIncarnation("muscat-3"), self, nil), ShouldBeTrue)
			}
			So(witness.WitnessMarks(instance.NewIncarnation("muscat-3"), self, nil), ShouldBeFalse)
			So(witness.WitnessMarks(holder, self, map[string]int64{"alwusta": 900}), ShouldBeTrue)
		})
	})
}

// TestHolderWhoseWitnessIsGoneServesOn guards against requests that wait for the mark of a witness that does not answer any more.
func TestHolderWhoseWitnessIsGoneServesOn(t *testing.T) {
	Convey("Given a holder with a witness that is then gone", t, func() {
		prepaid := int64(1_000_000)
		_, _, f, managers := witnessedManagers(&prepaid, func(m *Manager) []instance.Incarnation {
			if m.config.Incarnation.Name() == "muscat-1" {
				return []instance.Incarnation{"muscat-2~1"}
			}
			return nil
		}, "muscat-1", "muscat-2")
		holder := managers[0]
		managers[1].config.Incarnation = "muscat-2~1"
		f.witnesses["muscat-2~1"] = managers[1]
		for range 3 {
			holder.raiseMarks(canceledContext())
			holder.resizeLeases(canceledContext())
		}
		So(holder.ledger.witnesses(holder.config.Incarnation), ShouldHaveLength, 1)
		delete(f.witnesses, "muscat-2~1")
		a := holder.account("alwusta")
		for a.reserve(100) {
			continue
		}
		So(a.covers(100), ShouldBeTrue)
		w, _ := a.addWaiter(100)

		Convey("the next update of the ledger names it no more, and the request that waits is granted", func() {
			holder.raiseMarks(canceledContext())
			holder.resizeLeases(canceledContext())
			So(holder.ledger.witnesses(holder.config.Incarnation), ShouldBeEmpty)
			So(<-w.done, ShouldEqual, Granted)
		})
		Convey("the bound stays if that update has no response", func() {
			holder.raiseMarks(canceledContext())
			holder.config.Store.(*ledgerStore).failureMode = "late"
			holder.resizeLeases(canceledContext())
			So(a.reserve(100), ShouldBeFalse)
			So(holder.boundWitnesses(), ShouldHaveLength, 1)
		})
	})
}

// TestEarlierReleasesKeepTheWitnessesOfTheLedger guards against a ledger that a release without witnesses refuses, or for which it counts
// unspent tokens.
func TestEarlierReleasesKeepTheWitnessesOfTheLedger(t *testing.T) {
	Convey("Given a ledger that names the witnesses of a holder", t, func() {
		holder, witnesses := instance.NewIncarnation("muscat-1"), []instance.Incarnation{instance.NewIncarnation("muscat-2"), instance.NewIncarnation("muscat-3")}
		l := newLedger()
		l.ensureAccount("alwusta").Leases[string(holder)] = 1_000
		l.setWitnesses(holder, witnesses)
		Convey("its fields are those of earlier releases, and the key counts no tokens", func() {
			So(l.message.Unspent, ShouldHaveLength, 1)
			So(l.predecessorsUnspent(instance.NewIncarnation("muscat-1")), ShouldEqual, 0)
			So(l.restartedShare(time.Now()), ShouldEqual, 1)
			value, err := l.encode()
			So(err, ShouldBeNil)
			decoded, err := decodeLedger(value)
			So(err, ShouldBeNil)
			So(sameWitnesses(decoded.witnesses(holder), witnesses), ShouldBeTrue)
		})
		Convey("they leave the ledger with the last lease", func() {
			l.closeLease("alwusta", holder, 0)
			So(l.message.Unspent, ShouldBeEmpty)
		})
	})
}

// TestEveryUseOfALeaseStaysBelowItsMark guards against tokens that are passed on although no witness has acknowledged their use.
func TestEveryUseOfALeaseStaysBelowItsMark(t *testing.T) {
	Convey("Given an account with a lease of 100,000 tokens, a mark of 10,000 and 1,000 borrowed tokens", t, func() {
		a, witness := &account{limit: 100_000, lowest: 100_000}, []instance.Incarnation{"muscat-2~1"}
		So(a.bind(witness, func(instance.Incarnation) int64 { return 10_000 }), ShouldBeTrue)
		a.addBorrowed(1_000)
		for _, c := range []struct {
			name string
			use  func() int64
		}{
			{"a reservation", func() (used int64) {
				for a.reserve(1_000) {
					used += 1_000
				}
				return used
			}},
			{"an allocation", func() (used int64) {
				for {
					tokens, ok := a.reserveToPassOn(1_000, 50_000)
					if !ok {
						return used
					}
					used += tokens
				}
			}},
			{"a loan", func() int64 { return a.lend(50_000, 0) }},
			{"a return", func() int64 { return a.takeIdle(1) }},
		} {
			Convey(c.name+" uses no more than 11,000", func() {
				used := c.use()
				So(used, ShouldBeBetweenOrEqual, 10_001, 11_000)
				So(a.used, ShouldEqual, used)
				a.raiseMark("muscat-2~1", 12_000)
				So(a.authority(), ShouldEqual, 13_000)
			})
		}
	})
}

// TestLoanWaitsForItsMark guards against lenders that give only the lead of their marks in an outage of the store, so that borrowers refuse.
func TestLoanWaitsForItsMark(t *testing.T) {
	Convey("Given a lender with a witness, and a lease of which the marks cover a small part", t, func() {
		prepaid := int64(1_000_000)
		_, _, _, managers := witnessedManagers(&prepaid, func(m *Manager) []instance.Incarnation {
			if m.config.Incarnation.Name() == "muscat-1" {
				return []instance.Incarnation{"muscat-2~1"}
			}
			return nil
		}, "muscat-1", "muscat-2")
		lender, witness := managers[0], managers[1]
		witness.config.Incarnation = "muscat-2~1"
		lender.config.RaiseMarks = func(_ context.Context, w instance.Incarnation, marks map[string]int64) (bool, error) {
			return witness.WitnessMarks(lender.config.Incarnation, w, marks), nil
		}
		for range 3 {
			lender.raiseMarks(canceledContext())
			lender.resizeLeases(canceledContext())
		}
		lender.recordStoreFailed(lender.config.Clock.Now())
		a := lender.account("alwusta")
		lendable := a.lendable(prepaid, 0)
		So(lendable, ShouldBeGreaterThan, a.acknowledged())

		Convey("a loan of half of the lease is granted as soon as the witness has acknowledged it", func() {
			lent := make(chan int64)
			go func() { lent <- lender.Lend(t.Context(), TransferID{}, "alwusta", prepaid) }()
			for a.demand().waiting == 0 {
				runtime.Gosched()
			}
			lender.raiseMarks(t.Context())
			So(<-lent, ShouldEqual, lendable)
		})
	})
}
