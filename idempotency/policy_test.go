package idempotency

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"pumiceshelf/claim"
	"pumiceshelf/internal/standin"
)

// partitionTrial sends requests of callers that retry them during a partition or an outage and counts the results. One
// instance of the first domain crashes halfway. Five percent of first attempts are lost before they arrive, and five
// percent of later responses on their way back.
type partitionTrial struct {
	policy     Policy
	domains    [][]*Manager
	log        *runLog
	crashed    atomic.Bool
	mu         sync.Mutex
	completed  int
	notRun     int
	unknown    int
	violations int
}

const (
	trialRequests = 600
	trialAttempts = 3
	lossPercent   = 5
	// otherDomainPercent of attempts are sent to a random domain.
	otherDomainPercent = 10
)

// newKey returns a key of the form that the policy admits without the object store. Issued keys are from an instance of
// the caller's domain.
func (p *partitionTrial) newKey(rnd *rand.Rand, domain, n int) string {
	switch p.policy {
	case PolicyIssued:
		return p.issueKey(rnd, domain)
	case PolicyStated:
		return claim.StatedPrefix + fmt.Sprint(n)
	default:
		return fmt.Sprint(n)
	}
}

// issueKey requests a key from a live instance of the caller's domain.
func (p *partitionTrial) issueKey(rnd *rand.Rand, domain int) string {
	m := p.domains[domain][rnd.IntN(2)]
	if domain == 0 && p.crashed.Load() {
		m = p.domains[0][1]
	}
	return m.Issue("al-wusta", 1)[0]
}

// runCaller sends one request of one caller, at most trialAttempts times until it gets the response. If it is told that
// the request did not run, it retries with a new key, otherwise with the same key.
func (p *partitionTrial) runCaller(rnd *rand.Rand, key string, domain int) {
	keys := []string{key}
	decision := UnknownOutcome
	first := true
	for range trialAttempts {
		messageLost := rnd.IntN(100) < lossPercent
		if first && messageLost {
			first = false
			continue
		}
		if rnd.IntN(100) < otherDomainPercent {
			domain = rnd.IntN(len(p.domains))
		}
		r := newRequest(keys[len(keys)-1], "body")
		r.FirstAttempt = first
		r.MaxWait = testClaimWait
		decision = p.attempt(p.domains[domain][rnd.IntN(2)], r)
		first = decision == Unavailable && !messageLost
		if first {
			keys = append(keys, p.newKey(rnd, domain, rnd.Int()))
		}
		if !messageLost && (decision == Run || decision == Recorded) {
			break
		}
	}
	p.countCaller(keys, decision)
}

func (p *partitionTrial) attempt(m *Manager, r Request) Decision {
	if p.crashed.Load() && m == p.domains[0][0] {
		m = p.domains[0][1]
	}
	ctx := context.Background()
	result := m.Begin(ctx, r)
	if result.Decision == Run {
		p.log.run(r)
		ctx, cancel := context.WithTimeout(ctx, time.Millisecond)
		defer cancel()
		m.Finish(ctx, r.Key, completed("response"))
	}
	return result.Decision
}

func (p *partitionTrial) countCaller(keys []string, decision Decision) {
	p.log.mu.Lock()
	runs := 0
	for _, key := range keys {
		runs += len(p.log.runs[claim.HashKey("al-wusta", key)])
	}
	p.log.mu.Unlock()
	p.mu.Lock()
	defer p.mu.Unlock()
	switch decision {
	case Run, Recorded:
		p.completed++
	case Unavailable:
		p.notRun++
	default:
		p.unknown++
	}
	if runs > 1 || (decision == Unavailable && runs > 0) {
		p.violations++
	}
}

func (p *partitionTrial) run(b *testing.B, inject func(f *fleet)) {
	f := newFleet()
	defer f.stop()
	for d := range 3 {
		var domain []*Manager
		for n := range 2 {
			domain = append(domain, f.start(fmt.Sprintf("%d-%d", d, n), func(cfg *Config) {
				cfg.Policy = p.policy
				cfg.Settings.ClaimWait = durationpb.New(testClaimWait / 3)
			}))
			f.partition[domain[n].self] = 0
		}
		p.domains = append(p.domains, domain)
	}
	p.log = &runLog{runs: make(map[claim.KeyHash][]string)}
	p.attempt(p.domains[0][0], newRequest("creates the layout", "body"))
	rnd := rand.New(rand.NewPCG(1, 1))
	keys := make([]string, trialRequests)
	for n := range keys {
		keys[n] = p.newKey(rnd, n%len(p.domains), n)
	}
	for _, domain := range p.domains {
		for _, m := range domain {
			m.shardCount = 2
		}
	}
	inject(f)
	var wg sync.WaitGroup
	for n, key := range keys {
		if n == trialRequests/2 {
			f.disconnect(p.domains[0][0], true)
			p.crashed.Store(true)
		}
		seed := rnd.Uint64()
		wg.Go(func() { p.runCaller(rand.New(rand.NewPCG(seed, 2)), key, n%len(p.domains)) })
		time.Sleep(time.Millisecond)
	}
	wg.Wait()
	if p.violations > 0 {
		b.Errorf("%d requests ran twice, or ran and were reported as not run", p.violations)
	}
	b.ReportMetric(100*float64(p.completed)/trialRequests, "answered-%")
	b.ReportMetric(100*float64(p.notRun)/trialRequests, "not-run-%")
	b.ReportMetric(100*float64(p.unknown)/trialRequests, "unknown-%")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkPartitionPolicies reports the results that callers get with each policy, without faults, during an outage of the
// object store and while a domain is disconnected. Run it with -benchtime=1x.
func BenchmarkPartitionPolicies(b *testing.B) {
	names := map[Policy]string{PolicyRefuse: "refuse", PolicyIssued: "issued", PolicyStated: "stated"}
	scenarios := map[string]func(f *fleet){
		"healthy":       func(*fleet) {},
		"platform-down": func(f *fleet) { f.objects.SetFaults(standin.Faults{Unavailable: true}) },
		"domain-cut": func(f *fleet) {
			f.objects.SetFaults(standin.Faults{Partitioned: func(caller string) bool { return caller[0] == '0' }})
			f.mu.Lock()
			defer f.mu.Unlock()
			for id := range f.partition {
				if id.Name()[0] == '0' {
					f.partition[id] = 1
				}
			}
		},
	}
	for _, scenario := range []string{"healthy", "platform-down", "domain-cut"} {
		for _, policy := range []Policy{PolicyRefuse, PolicyIssued, PolicyStated} {
			b.Run(scenario+"/"+names[policy], func(b *testing.B) {
				for b.Loop() {
					(&partitionTrial{policy: policy}).run(b, scenarios[scenario])
				}
			})
		}
	}
}
