package router_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/encoding/protojson"

	"pumiceshelf/api"
	"pumiceshelf/prepaid"
)

// tokenSampling is the interval at which the tokens of all instances are summed.
const tokenSampling = 100 * time.Millisecond

// tokenSamples holds what all instances together could reserve, for each customer, by the time of the sample.
type tokenSamples struct {
	// withLedger adds what the ledger has left.
	withLedger bool
	mu         sync.Mutex
	at         []time.Time
	available  [][loadCustomers]int64
}

// sampleTokens takes samples for some time.
func (p *budgetPlay) sampleTokens(s *tokenSamples, d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(tokenSampling) {
		var sum [loadCustomers]int64
		if s.withLedger {
			sum = p.uncommitted()
		}
		p.mu.Lock()
		for _, in := range p.instances {
			for c := range sum {
				sum[c] += in.router.AvailableTokens(fmt.Sprintf("customer-%d", c))
			}
		}
		p.mu.Unlock()
		s.mu.Lock()
		s.at, s.available = append(s.at, time.Now()), append(s.available, sum)
		s.mu.Unlock()
	}
}

// uncommitted returns the tokens of each customer that the ledger has neither closed nor leased.
func (p *budgetPlay) uncommitted() (left [loadCustomers]int64) {
	object, err := p.store.Get(context.Background(), prepaid.LedgerKey)
	if err != nil {
		panic(err)
	}
	ledger := &api.PrepaidLedger{}
	if err := protojson.Unmarshal(object.Value, ledger); err != nil {
		panic(err)
	}
	for c := range left {
		account := ledger.Accounts[fmt.Sprintf("customer-%d", c)]
		left[c] = int64(p.prepaid) - account.GetClosed()
		for _, lease := range account.GetLeases() {
			left[c] -= lease
		}
	}
	return left
}

// before returns what all instances could reserve for a customer at the last sample before a time.
func (s *tokenSamples) before(customer int, at time.Time) (available int64) {
	for i, t := range s.at {
		if t.After(at) {
			break
		}
		available = s.available[i][customer]
	}
	return available
}

// refusalCauses counts the requests that were refused for want of tokens in a time since the start, by cause.
type refusalCauses struct {
	asked, kept, out, unreachable int
	// tokensLeft is how many of them needed no more tokens than all instances together had.
	tokensLeft int
}

func (r refusalCauses) String() string {
	share := func(n int) string { return fmt.Sprintf("%.3f", float64(n)/float64(max(r.asked, 1))) }
	return fmt.Sprintf("share of %d requests that was refused: %s as the holder kept tokens for others, %s as it was out of tokens, %s as it was unreachable; with tokens left elsewhere %s",
		r.asked, share(r.kept), share(r.out), share(r.unreachable), share(r.tokensLeft))
}

// causes returns the refusals by cause. unreachable is the number of those without a response of a holder.
func (p *budgetPlay) causes(s *tokenSamples, unreachable int, from, until time.Duration) (r refusalCauses) {
	for _, q := range p.between(from, until) {
		r.asked++
		a := q.answers[0]
		switch a.problem {
		case "budget-rationed":
			r.kept++
		case "budget-unavailable":
			r.out++
		default:
			continue
		}
		if s.before(q.customer, a.ended) >= int64(q.kind.prompt+q.kind.output) {
			r.tokensLeft++
		}
	}
	r.unreachable = min(unreachable, r.out)
	r.out -= r.unreachable
	return r
}

// count returns the sum of a counter over all instances.
func (p *budgetPlay) count(name string) (sum int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, in := range p.instances {
		sum += int(in.router.Count(name))
	}
	return sum
}

// playOutage begins and ends an outage of outageLasts at storeAway, and ends the play outlasts later. It returns the refusals in the outage.
func (p *budgetPlay) playOutage(begin, end func(), outlasts time.Duration) refusalCauses {
	samples, unreachable := &tokenSamples{}, 0
	p.startSteps(map[time.Duration]func(){storeAway - time.Since(p.start): func() {
		before := p.count("prepaid.reserve.unreachable")
		p.work.Go(func() { p.sampleTokens(samples, outageLasts) })
		begin()
		time.Sleep(outageLasts)
		end()
		unreachable = p.count("prepaid.reserve.unreachable") - before
	}})
	p.sendFor(storeAway + outageLasts + outlasts - time.Since(p.start))
	return p.causes(samples, unreachable, storeAway, storeAway+outageLasts)
}

// TestRationingInAPartition guards urgent callers while a failure domain is cut off from the others and from the store: each side has some
// of the tokens.
func TestRationingInAPartition(t *testing.T) {
	forLoads(t, func(t *testing.T, instances int, seed uint64) {
		p := newBudgetPlay(instances, seed)
		t.Log(p.playOutage(func() { p.partition("hall-a") }, func() { p.heal("hall-a") }, 0))
		p.checkRanks(t, "partition", storeAway, storeAway+outageLasts)
		p.checkRefusals(t)
		p.checkBudgets(t)
	})
}
