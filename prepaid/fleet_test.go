package prepaid

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/smartystreets/goconvey/convey"

	"pumiceshelf/instance"
	"pumiceshelf/ration"
)

const (
	testDomains          = 3
	testDomainSize       = 24
	testTick             = 50 * time.Millisecond
	testUnresponsiveTime = time.Second
	testHolderCandidates = 3
	// longRank and shortRank are the ranks of the requests for long and for short prompts.
	longRank, shortRank = 5, 3
	// testMaxParked is the greatest fraction of a prepaid total that may be neither spent nor available.
	testMaxParked = 0.03
)

// testFleet is a fleet of managers in domains with token holders. Requests, and which responses between instances are
// lost, are drawn from a seed.
type testFleet struct {
	clock    *clockwork.FakeClock
	random   *rand.Rand
	store    *ledgerStore
	prepaid  int64
	lossRate float64
	// requestScale multiplies the sizes of requests.
	requestScale float64
	domains      [][]*Manager
	// unresponsive holds, for each instance, the positions in its domain that it skips until a time.
	unresponsive map[*Manager]map[int]time.Time
	sequence     uint64
	// witnesses are the instances that witness the leases of others, by incarnation. It is nil if leases are not witnessed.
	witnesses map[instance.Incarnation]*Manager

	spent                   int64
	granted, refused, ticks int
	returned                int64
	// refusedTokens are those of refused requests.
	refusedTokens int64
	// asked and served count requests by rank.
	asked, served [ration.Ranks]int
}

func newTestFleet(seed uint64, prepaid int64, lossRate float64) *testFleet {
	f := newUnstartedFleet(seed, prepaid, lossRate)
	f.restartAll()
	return f
}

// newUnstartedFleet returns a fleet without instances.
func newUnstartedFleet(seed uint64, prepaid int64, lossRate float64) *testFleet {
	return &testFleet{
		clock: clockwork.NewFakeClock(), random: rand.New(rand.NewPCG(seed, seed)), store: &ledgerStore{}, prepaid: prepaid,
		lossRate: lossRate, requestScale: 1, domains: make([][]*Manager, testDomains), unresponsive: make(map[*Manager]map[int]time.Time),
	}
}

// restartAll replaces all instances by new incarnations without an orderly stop.
func (f *testFleet) restartAll() {
	for d := range f.domains {
		f.domains[d] = nil
		for i := range testDomainSize {
			f.domains[d] = append(f.domains[d], f.start(d, i))
		}
	}
	f.resizeAll()
}

func (f *testFleet) start(domain, position int) *Manager {
	m := newTestManager(f.store, fmt.Sprintf("muscat-%d-%d", domain, position), f.clock, &f.prepaid, testDomains)
	f.unresponsive[m] = make(map[int]time.Time)
	m.config.IsTokenHolder = func() bool {
		for before := range min(position, testHolderCandidates) {
			if !f.skips(m, before) {
				return false
			}
		}
		return true
	}
	m.config.IsFirstHolder = func() bool { return position == 0 }
	m.config.RequestAllocation = func(_ context.Context, customer string, rank int, needed, wanted int64) Allocation {
		return f.requestAllocation(domain, position, customer, rank, needed, wanted)
	}
	m.config.Return = func(tokens map[string]int64) bool { return f.passBack(domain, position, tokens) }
	f.addWitness(m)
	return m
}

// passBack returns tokens to the first instance that is not skipped, and repeats this while the response is lost, as package
// members does.
func (f *testFleet) passBack(domain, position int, tokens map[string]int64) bool {
	m := f.domains[domain][position]
	for before := range min(position, testHolderCandidates) {
		if f.skips(m, before) {
			continue
		}
		f.sequence++
		receiver := f.domains[domain][before]
		r := Return{Returner: m.config.Incarnation, Receiver: receiver.config.Incarnation, Sequence: f.sequence, Tokens: tokens}
		for receiver.AcceptReturn(r) && f.random.Float64() < f.lossRate {
			continue
		}
		for _, n := range tokens {
			f.returned += n
		}
		return true
	}
	return false
}

func (f *testFleet) skips(m *Manager, position int) bool {
	return f.clock.Now().Before(f.unresponsive[m][position])
}

// requestAllocation asks up to two instances that precede the requesting one, as package members does.
func (f *testFleet) requestAllocation(domain, position int, customer string, rank int, needed, wanted int64) Allocation {
	m, asked := f.domains[domain][position], 0
	for before := range min(position, testHolderCandidates) {
		if asked == 2 {
			break
		}
		if f.skips(m, before) {
			continue
		}
		asked++
		f.sequence++
		id, lender := TransferID{Borrower: m.config.Incarnation, Sequence: f.sequence}, f.domains[domain][before]
		allocation := f.allocate(lender, id, customer, rank, needed, wanted)
		if f.random.Float64() < f.lossRate {
			lender.Abandon(id.Borrower, []uint64{id.Sequence})
			f.unresponsive[m][before] = f.clock.Now().Add(testUnresponsiveTime)
			continue
		}
		if !allocation.StoreUnavailable {
			return allocation
		}
	}
	return Allocation{StoreUnavailable: true}
}

// allocate requests an allocation and lets the instance update the ledger if its lease does not cover it.
func (f *testFleet) allocate(m *Manager, id TransferID, customer string, rank int, needed, wanted int64) Allocation {
	allocation := m.Allocate(canceledContext(), id, customer, rank, needed, wanted)
	if allocation.Tokens > 0 || allocation.Exhausted || allocation.Rationed {
		return allocation
	}
	switch f.waitForLease(m, needed) {
	case Granted:
		m.account(customer).recordPassedOn(needed)
		return Allocation{Tokens: m.transfers.complete(id, needed)}
	case Exhausted:
		return Allocation{Exhausted: true}
	default:
		return Allocation{}
	}
}

// waitForLease reserves tokens as a request does that waits for one update of the ledger.
func (f *testFleet) waitForLease(m *Manager, tokens int64) Outcome {
	w, e := m.account("alwusta").addWaiter(tokens)
	m.resizeLeases(context.Background())
	m.raiseMarks(context.Background())
	if m.account("alwusta").removeWaiter(e) {
		return Unavailable
	}
	return <-w.done
}

// request sends one request of a rank to an instance.
func (f *testFleet) request(m *Manager, rank int, tokens int64) {
	f.asked[rank]++
	r, outcome := m.Reserve(canceledContext(), "alwusta", rank, tokens)
	if outcome == Unavailable && m.actsAsTokenHolder() {
		if outcome = f.waitForLease(m, tokens); outcome == Granted {
			r = &Reservation{account: m.account("alwusta"), tokens: tokens}
		}
	}
	if outcome != Granted {
		f.refused++
		f.refusedTokens += tokens
		return
	}
	r.Settle(tokens)
	f.granted++
	f.served[rank]++
	f.spent += tokens
}

// serve sends requests at a rate in tokens per second for a span of time, or until a number of tokens is spent.
func (f *testFleet) serve(span time.Duration, tokensPerSecond float64, until int64) {
	due := 0.0
	for end := f.clock.Now().Add(span); f.clock.Now().Before(end) && f.spent < until; f.clock.Advance(testTick) {
		for due += tokensPerSecond * testTick.Seconds(); due > 0; {
			domain := f.domains[f.random.IntN(testDomains)]
			kind := f.random.IntN(2)
			tokens := int64([]float64{9_226, 1_022}[kind] * (0.5 + f.random.Float64()) * f.requestScale)
			f.request(domain[f.random.IntN(testDomainSize)], []int{longRank, shortRank}[kind], tokens)
			due -= float64(tokens)
		}
		if f.ticks++; f.ticks%int(tickInterval/testTick) == 0 {
			f.resizeAll()
		}
		f.raiseAllMarks()
	}
}

// resizeAll runs the periodic update of all instances.
func (f *testFleet) resizeAll() {
	for _, domain := range f.domains {
		for _, m := range domain {
			m.updateRates()
			m.resizeLeases(context.Background())
		}
	}
}

// parked returns the tokens that are neither spent nor available after all instances were replaced.
func (f *testFleet) parked() int64 {
	m := f.domains[0][0]
	m.ledgerKnown = false
	m.resizeLeases(context.Background())
	held := int64(0)
	for _, domain := range f.domains {
		for _, m := range domain {
			d := m.account("alwusta").demand()
			held += d.limit - d.used
		}
	}
	return f.prepaid - f.spent - held - max(f.prepaid-m.ledger.committed("alwusta"), 0)
}

// spendMost serves until three quarters of the budget are spent.
func (f *testFleet) spendMost() { f.serve(time.Minute, testRate, f.prepaid*3/4) }

const (
	testPrepaid = 4_500_000
	// testRate is the traffic in tokens per second.
	testRate = 100_000
)

func TestLostResponsesParkNoTokens(t *testing.T) {
	Convey("tokens in responses that are lost between instances are available again", t, func() {
		for _, seed := range []uint64{1, 2, 3} {
			f := newTestFleet(seed, testPrepaid, 0.05)
			f.spendMost()
			So(f.returned, ShouldBeGreaterThan, 0)
			So(f.parked(), ShouldEqual, 0)
		}
	})
}

func TestRestartOfAllParksFewTokens(t *testing.T) {
	Convey("if all instances are killed with a quarter of the budget left, nearly all of it is available to the next ones", t, func() {
		for _, seed := range []uint64{1, 2, 3} {
			f := newTestFleet(seed, testPrepaid, 0)
			f.spendMost()
			f.restartAll()
			So(f.parked(), ShouldBeLessThan, testMaxParked*testPrepaid)
		}
	})
}
