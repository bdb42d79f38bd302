package router_test

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

const (
	// recoveryTime is that of rule RECOVER: from then after the restart on, at least minRecoveredShare of the requests must be served.
	recoveryTime      = 15 * time.Second
	minRecoveredShare = 0.25
	// recoveryChecked is for how long that is checked: callers send about 80 requests in that time.
	recoveryChecked = 2500 * time.Millisecond
	// recoveryRate is the number of requests per second. Most of the time of an emulation goes into what instances exchange.
	recoveryRate = 32
	// otherReasons is how long after the restart requests may be refused for another reason than their customer's tokens.
	otherReasons = 3 * time.Second
	// recoveryKill is when all instances are killed, so that requests are in progress and leases cover what is used in an outage.
	recoveryKill = 8 * time.Second
	// usedInPlay is the part of the prepaid tokens that is used in the play until then.
	usedInPlay = float64(recoveryKill) / float64(budgetDay) / prepaidRatio
	// tokenHolders is the number of instances that lease tokens for a failure domain.
	tokenHolders = 3
	// lastResponses is the time for responses to the last requests.
	lastResponses = time.Second
	// recoveryStep is the interval in which requests are reported.
	recoveryStep = 500 * time.Millisecond
)

// recoveryCase is what happens besides a kill of all instances.
type recoveryCase struct {
	name string
	// used is the part of the prepaid tokens that is used at the kill.
	used float64
	// again is how long after the restart all instances are killed again, zero for one kill.
	again time.Duration
	// storeSilent is how long the store responds to no instance after the last restart.
	storeSilent time.Duration
}

var recoveryCases = []recoveryCase{
	{name: "one_kill", used: 0.5},
	// Two kills park twice as much. More is left so that tokens last for urgent requests.
	{name: "killed_again", used: 0.25, again: 1200 * time.Millisecond},
	{name: "store_silent_at_the_restart", used: 0.5, storeSilent: 1500 * time.Millisecond},
}

// playRecovery lets callers send requests before and after a kill of all instances. It returns when these were back and the store
// responded, and what all together could use of each customer's tokens.
func (p *budgetPlay) playRecovery(c recoveryCase) (back time.Duration, left *tokenSamples) {
	left = &tokenSamples{withLedger: true}
	rest := recoveryKill - time.Since(p.start) + restartAfter + c.storeSilent + recoveryTime + recoveryChecked
	if c.again > 0 {
		rest += c.again + restartAfter
	}
	p.startSteps(map[time.Duration]func(){recoveryKill - time.Since(p.start): func() {
		p.restartAll()
		if c.again > 0 {
			time.Sleep(c.again)
			p.restartAll()
		}
		if c.storeSilent > 0 {
			p.silenceStore(true)
			time.Sleep(c.storeSilent)
			p.silenceStore(false)
		}
		back = time.Since(p.start)
	}})
	p.work.Go(func() { p.sampleTokens(left, rest) })
	p.send(rest, func(time.Duration) float64 { return p.rate })
	// Instances that run idle take most of the time of an emulation.
	time.Sleep(lastResponses)
	for _, in := range p.instances {
		p.killInstance(in)
	}
	p.stop()
	return back, left
}

// reportRefusals logs for each recoveryStep after the restart how many requests were sent and which were not served, and why.
func (p *budgetPlay) reportRefusals(t *testing.T, back time.Duration) {
	t.Helper()
	for from := back; from < back+recoveryTime+recoveryChecked; from += recoveryStep {
		sent, problems := 0, make(map[string]int)
		for _, q := range p.queries {
			for _, a := range q.answers {
				if since := a.sent.Sub(p.start); since >= from && since < from+recoveryStep {
					sent++
					if !a.whole {
						problems[strings.TrimSpace(fmt.Sprintf("%s %d %s", q.kind.name, a.status, a.problem))]++
					}
				}
			}
		}
		t.Logf("%4.1f s after the restart: %d sent, not served %v", (from - back).Seconds(), sent, problems)
	}
}

// lacksTokens reports whether a request was not served because its customer's tokens were used up, or kept for more urgent requests.
// They are used up once they do not cover such a request at each token holder, among which the last ones are divided.
func lacksTokens(q *query, a answer, left *tokenSamples) bool {
	switch a.problem {
	case "budget-rationed":
		return q.kind.name != budgetKinds[0].name
	case "budget-exhausted", "budget-unavailable":
		return left.before(q.customer, a.ended) < tokenHolders*int64(q.kind.prompt+q.kind.output)
	default:
		return false
	}
}

// TestRecoveryAfterAKillOfAllInstances guards against instances that start together and refuse requests for long although there are
// tokens and endpoints.
func TestRecoveryAfterAKillOfAllInstances(t *testing.T) {
	for _, instances := range []int{30, 100} {
		for _, c := range recoveryCases {
			for seed := range (emulatorSeeds(instances) + 1) / 2 {
				// Not in parallel: an emulation of 100 instances takes 0.7 GB.
				t.Run(fmt.Sprintf("%d_instances/%s/seed_%d", instances, c.name, seed), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						p := newUsedBudgetPlay(instances, seed, recoveryRate, c.used-usedInPlay)
						back, left := p.playRecovery(c)
						p.reportRefusals(t, back)
						interrupted := 0
						for _, q := range p.queries {
							for _, a := range q.answers {
								if a.sent.Sub(p.start) < recoveryKill && !a.whole {
									interrupted++
								}
								if since := a.ended.Sub(p.start) - back; since > otherReasons && !a.whole && !lacksTokens(q, a, left) {
									t.Errorf("request %s of %s was not served %v after the restart: %d %s, customer %d had %d tokens left", a.request, q.kind.name, since, a.status, a.problem, q.customer, left.before(q.customer, a.ended))
								}
							}
						}
						if interrupted == 0 {
							t.Error("no request was in progress at the kill")
						}
						recovered := sharesBy(p.between(back+recoveryTime, back+recoveryTime+recoveryChecked), byAll)[0]
						t.Logf("RECOVER: served %.3f of %d", recovered.served(), recovered.asked)
						if recovered.served() < minRecoveredShare {
							t.Errorf("RECOVER: %v after the restart, %d of %d requests were served", recoveryTime, recovered.done, recovered.asked)
						}
						p.checkRefusals(t)
						p.checkBudgets(t)
					})
				})
			}
		}
	}
}
