package router_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/encoding/protojson"

	"pumiceshelf/api"
	"pumiceshelf/prepaid"
)

// budgetKinds are the requests of docs/design/hard-load-remaining.md that use prepaid tokens, with their share of them.
var budgetKinds = []loadKind{
	{name: "short", prompt: 826, output: 294, work: 200 * time.Millisecond, patience: 15 * time.Second, share: 204.0 / 360},
	{name: "long", prompt: 9190, output: 54, work: 300 * time.Millisecond, patience: 5 * time.Second, share: 156.0 / 360},
}

const (
	// budgetDay is how long callers send requests, prepaidRatio the prepaid tokens relative to the expected use of that time.
	budgetDay, prepaidRatio = 36 * time.Second, 1.3
	// budgetRate is the number of requests per second and instance, budgetRateLarge that of 90 instances, a quarter so that a test takes
	// under 20 s.
	budgetRate, budgetRateLarge = 4.2, 1.05
	// storeAway is when an outage of the store begins, outageLasts how long it lasts.
	storeAway, outageLasts = warmUp + 20*time.Second, 8 * time.Second
	// killedAll is when all instances are killed with half of the tokens used, restartAfter how long they are away. Until
	// recovered, refusals because instances have not found each other are no matter of tokens.
	killedAll, restartAfter = warmUp + 23400*time.Millisecond, time.Second
	recovered               = killedAll + restartAfter + 3*time.Second
	// overtime is for how long the callers of few instances go on after the day, so that they ask for more than the prepaid tokens.
	overtime = 20 * time.Second
	// chargedOutput is the number of output tokens that a complete response is charged: loadEvents events of 4 tokens.
	chargedOutput = 4 * loadEvents
)

// budgetPlay is a load of customers with prepaid tokens, before engines that have room for all requests.
type budgetPlay struct {
	*loadPlay
	// rate is the number of requests per second, prepaid the prepaid tokens of each customer, and closed how many of them were used
	// before the play.
	rate            float64
	prepaid, closed int
}

func newBudgetPlay(instances int, seed uint64) *budgetPlay {
	rate := budgetRate
	if instances > 10 {
		rate = budgetRateLarge
	}
	p := newUsedBudgetPlay(instances, seed, rate*float64(instances), 0)
	time.Sleep(warmUp)
	return p
}

// newUsedBudgetPlay returns a load of the given number of requests per second, with a part of the prepaid tokens used before.
func newUsedBudgetPlay(instances int, seed uint64, rate, used float64) *budgetPlay {
	p := &budgetPlay{loadPlay: newLoadPlay(seed, instances, 12, 24, 0, true), rate: rate}
	p.kinds = budgetKinds
	mean := 0.0
	for _, k := range p.kinds {
		mean += k.share * float64(k.prompt+chargedOutput)
	}
	p.prepaid = int(prepaidRatio * p.rate / loadCustomers * budgetDay.Seconds() * mean)
	p.closed = int(used * float64(p.prepaid))
	if p.closed > 0 {
		p.writeClosed()
	}
	configuration := strings.ReplaceAll(p.configuration(), `{"name":"customer-`, fmt.Sprintf(`{"prepaid":%d,"name":"customer-`, p.prepaid))
	p.store.set("config/main", strings.Replace(configuration, `"version":2`, `"version":3`, 1))
	return p
}

// writeClosed writes a ledger with the tokens that were used before the play.
func (p *budgetPlay) writeClosed() {
	ledger := &api.PrepaidLedger{Accounts: make(map[string]*api.PrepaidAccount)}
	for customer := range loadCustomers {
		ledger.Accounts[fmt.Sprintf("customer-%d", customer)] = &api.PrepaidAccount{Closed: int64(p.closed)}
	}
	value, err := protojson.Marshal(ledger)
	if err != nil {
		panic(err)
	}
	p.store.set(prepaid.LedgerKey, string(value))
}

// sendFor lets callers send requests for some time, and stops all.
func (p *budgetPlay) sendFor(d time.Duration) {
	p.send(d, func(time.Duration) float64 { return p.rate })
	p.stop()
}

// silenceStore lets the store respond to no instance, or ends that.
func (p *budgetPlay) silenceStore(silent bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, in := range p.instances {
		in.store.setSilent(silent)
	}
}

// restartAll kills all instances and starts them again.
func (p *budgetPlay) restartAll() {
	for _, in := range p.instances {
		p.killInstance(in)
	}
	time.Sleep(restartAfter)
	for _, in := range p.instances {
		p.startInstance(in)
	}
}

// checkBudgets fails the test if requests of a customer that ran at endpoints used more than its prepaid tokens (BUDGET).
func (p *budgetPlay) checkBudgets(t *testing.T) {
	t.Helper()
	ran, used := make(map[string]bool), make([]int, loadCustomers)
	for _, s := range p.servers {
		for _, v := range s.visits {
			ran[v.request] = ran[v.request] || !v.begun.IsZero()
		}
	}
	for _, q := range p.queries {
		for _, a := range q.answers {
			if ran[a.request] {
				used[q.customer] += q.kind.prompt
			}
			if a.whole {
				used[q.customer] += chargedOutput
			}
		}
	}
	for customer, n := range used {
		if n > p.prepaid-p.closed {
			t.Errorf("BUDGET: customer %d used %d tokens of %d", customer, n, p.prepaid-p.closed)
		}
	}
}

// checkRanks fails the test if urgent requests were served less than others, or a rank or customer less than a quarter of the average. Each
// customer has its own tokens, so those of one are not compared by priority with those of another.
func (p *budgetPlay) checkRanks(t *testing.T, name string, from, until time.Duration) {
	t.Helper()
	queries := p.between(from, until)
	all, ranks, text := sharesBy(queries, byAll)[0], sharesBy(queries, byRoute), ""
	long, short := ranks[0], ranks[1]
	if short.served() < long.served() {
		t.Errorf("%s: urgent requests were served %.3f of %d, others %.3f of %d", name, short.served(), short.asked, long.served(), long.asked)
	}
	for _, s := range slices.Concat(ranks, sharesBy(queries, byCustomer)) {
		if s.served() < minShareOfAverage*all.served() {
			t.Errorf("%s: %s was served %.3f of %d requests, all %.3f of %d; a quarter of that is the least", name, s.group, s.served(), s.asked, all.served(), all.asked)
		}
		text += fmt.Sprintf(" %s %.2f", s.group, s.served())
	}
	problems := make(map[string]int)
	for _, q := range queries {
		if !q.served {
			a := q.answers[len(q.answers)-1]
			problems[strings.TrimSpace(fmt.Sprintf("%s %d %s", q.kind.name, a.status, a.problem))]++
		}
	}
	t.Logf("%s: served %.3f of %d,%s; others: %v", name, all.served(), all.asked, text, problems)
}

// TestRationingInAnOutageOfTheStore guards urgent callers of a customer whose budget would last for the day, while instances cannot lease
// tokens: others must not use up what the leases have.
func TestRationingInAnOutageOfTheStore(t *testing.T) {
	forLoads(t, func(t *testing.T, instances int, seed uint64) {
		p := newBudgetPlay(instances, seed)
		causes := p.playOutage(func() { p.silenceStore(true) }, func() { p.silenceStore(false) }, warmUp+budgetDay-storeAway-outageLasts)
		t.Log(causes)
		if causes.unreachable > 0 {
			t.Errorf("%d requests were refused as if no token holder could be reached", causes.unreachable)
		}
		p.checkRanks(t, "before the outage", warmUp, storeAway)
		p.checkRanks(t, "outage of the store", storeAway, storeAway+outageLasts)
		p.checkRanks(t, "after the outage", storeAway+outageLasts, warmUp+budgetDay)
		p.checkRefusals(t)
		p.checkBudgets(t)
	})
}

// TestRationingAfterAKillOfAllInstances guards urgent callers of a customer of whose tokens a kill of all instances has parked a part, so
// that the rest does not last for all requests.
func TestRationingAfterAKillOfAllInstances(t *testing.T) {
	forLoads(t, func(t *testing.T, instances int, seed uint64) {
		p := newBudgetPlay(instances, seed)
		p.startSteps(map[time.Duration]func(){killedAll - time.Since(p.start): p.restartAll})
		sendsOn := time.Duration(0)
		if instances <= 10 {
			sendsOn = overtime
		}
		p.sendFor(budgetDay + sendsOn)
		p.checkRanks(t, "before the kill", warmUp, killedAll-budgetKinds[0].patience)
		p.checkRanks(t, "after the kill of all instances", recovered, warmUp+budgetDay)
		p.checkRefusals(t)
		p.checkBudgets(t)
		asked := 0
		for _, q := range p.queries {
			asked += q.kind.prompt
		}
		if sendsOn > 0 && asked <= loadCustomers*p.prepaid {
			t.Errorf("callers asked for %d tokens of %d, so that the test does not show whether budgets are exceeded", asked, loadCustomers*p.prepaid)
		}
	})
}
