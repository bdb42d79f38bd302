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

// cutTrial sends requests of callers that repeat them through a cut, and counts what they got. One instance of the first
// domain dies half way. One first attempt in twenty is lost before it arrives, one answer in twenty on its way back.
type cutTrial struct {
	policy   Policy
	domains  [][]*Keeper
	log      *engineLog
	died     atomic.Bool
	mu       sync.Mutex
	answered int
	refused  int
	unknown  int
	wrong    int
}

const (
	trialRequests = 600
	trialAttempts = 3
	lossPercent   = 5
	// awayPercent of attempts are sent to another domain than the caller's own.
	awayPercent = 10
)

// key returns a key of the form that a policy admits without the platform, from an instance of the caller's domain.
func (c *cutTrial) key(rnd *rand.Rand, domain, n int) string {
	switch c.policy {
	case PolicyIssued:
		return c.issue(rnd, domain)
	case PolicyStated:
		return claim.StatedPrefix + fmt.Sprint(n)
	default:
		return fmt.Sprint(n)
	}
}

// issue asks a live instance of the caller's domain for a key.
func (c *cutTrial) issue(rnd *rand.Rand, domain int) string {
	k := c.domains[domain][rnd.IntN(2)]
	if domain == 0 && c.died.Load() {
		k = c.domains[0][1]
	}
	return k.Issue("al-wusta", 1)[0]
}

// call is one caller with one request. Told that it did not run, it asks again with a new key; else with the same.
func (c *cutTrial) call(rnd *rand.Rand, key string, domain int) {
	keys := []string{key}
	said := UnknownOutcome
	first := true
	for range trialAttempts {
		lost := rnd.IntN(100) < lossPercent
		if first && lost {
			first = false
			continue
		}
		if rnd.IntN(100) < awayPercent {
			domain = rnd.IntN(len(c.domains))
		}
		r := dose(keys[len(keys)-1], "body")
		r.FirstAttempt = first
		r.Wait = testClaimWait
		said = c.attempt(c.domains[domain][rnd.IntN(2)], r)
		first = said == Unavailable && !lost
		if first {
			keys = append(keys, c.key(rnd, domain, rnd.Int()))
		}
		if !lost && (said == Run || said == Recorded) {
			break
		}
	}
	c.count(keys, said)
}

func (c *cutTrial) attempt(k *Keeper, r Request) Decision {
	if c.died.Load() && k == c.domains[0][0] {
		k = c.domains[0][1]
	}
	ctx := context.Background()
	v := k.Begin(ctx, r)
	if v.Decision == Run {
		c.log.run(r)
		ctx, cancel := context.WithTimeout(ctx, time.Millisecond)
		defer cancel()
		k.Finish(ctx, r.Key, answered("dose"))
	}
	return v.Decision
}

func (c *cutTrial) count(keys []string, said Decision) {
	c.log.mu.Lock()
	runs := 0
	for _, key := range keys {
		runs += len(c.log.runs[claim.HashKey("al-wusta", key)])
	}
	c.log.mu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	switch said {
	case Run, Recorded:
		c.answered++
	case Unavailable:
		c.refused++
	default:
		c.unknown++
	}
	if runs > 1 || (said == Unavailable && runs > 0) {
		c.wrong++
	}
}

func (c *cutTrial) run(b *testing.B, cutOff func(f *fleet)) {
	f := newFleet()
	defer f.stop()
	for d := range 3 {
		var domain []*Keeper
		for n := range 2 {
			domain = append(domain, f.start(fmt.Sprintf("%d-%d", d, n), func(cfg *Config) {
				cfg.Policy = c.policy
				cfg.Settings.ClaimWait = durationpb.New(testClaimWait / 3)
			}))
			f.side[domain[n].self] = 0
		}
		c.domains = append(c.domains, domain)
	}
	c.log = &engineLog{runs: make(map[claim.KeyHash][]string)}
	c.attempt(c.domains[0][0], dose("fixes the layout", "body"))
	rnd := rand.New(rand.NewPCG(1, 1))
	keys := make([]string, trialRequests)
	for n := range keys {
		keys[n] = c.key(rnd, n%len(c.domains), n)
	}
	for _, domain := range c.domains {
		for _, k := range domain {
			k.layout = 2
		}
	}
	cutOff(f)
	var work sync.WaitGroup
	for n, key := range keys {
		if n == trialRequests/2 {
			f.lose(c.domains[0][0], true)
			c.died.Store(true)
		}
		seed := rnd.Uint64()
		work.Go(func() { c.call(rand.New(rand.NewPCG(seed, 2)), key, n%len(c.domains)) })
		time.Sleep(time.Millisecond)
	}
	work.Wait()
	if c.wrong > 0 {
		b.Errorf("%d requests ran twice or were said not to have run", c.wrong)
	}
	b.ReportMetric(100*float64(c.answered)/trialRequests, "answered-%")
	b.ReportMetric(100*float64(c.refused)/trialRequests, "not-run-%")
	b.ReportMetric(100*float64(c.unknown)/trialRequests, "unknown-%")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkCutPolicies reports what callers get in a cut with each policy. Run with -benchtime=1x.
func BenchmarkCutPolicies(b *testing.B) {
	names := map[Policy]string{PolicyRefuse: "refuse", PolicyIssued: "issued", PolicyStated: "stated"}
	cuts := map[string]func(f *fleet){
		"healthy":       func(*fleet) {},
		"platform-down": func(f *fleet) { f.objects.SetFaults(standin.Faults{Down: true}) },
		"domain-cut": func(f *fleet) {
			f.objects.SetFaults(standin.Faults{Cut: func(caller string) bool { return caller[0] == '0' }})
			f.mu.Lock()
			defer f.mu.Unlock()
			for id := range f.side {
				if id.Name()[0] == '0' {
					f.side[id] = 1
				}
			}
		},
	}
	for _, cut := range []string{"healthy", "platform-down", "domain-cut"} {
		for _, policy := range []Policy{PolicyRefuse, PolicyIssued, PolicyStated} {
			b.Run(cut+"/"+names[policy], func(b *testing.B) {
				for b.Loop() {
					(&cutTrial{policy: policy}).run(b, cuts[cut])
				}
			})
		}
	}
}
