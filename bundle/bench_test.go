package bundle

import (
	"context"
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"pumiceshelf/api"
)

// Sizes of the largest fleet that is aimed at.
const (
	targetCustomers = 2100
	targetBudgets   = 13000
	targetEndpoints = 1300
	targetDomains   = 8
)

// targetBundle has the customers, budgets and endpoints of the largest fleet aimed at, each budget with twelve grants.
func targetBundle() *api.Bundle {
	b := testBundle(1, targetCustomers, 0)
	for i := range targetBudgets {
		c := b.Customers[i%targetCustomers]
		budget := &api.Budget{Id: fmt.Sprintf("budget-%d", i), Models: []string{"agronomy"}}
		for month := range 12 {
			budget.Grants = append(budget.Grants, &api.Grant{Id: fmt.Sprintf("2026-%02d", month+1), Tokens: 1_000_000})
		}
		c.Budgets = append(c.Budgets, budget)
	}
	for i := range targetEndpoints {
		b.Endpoints = append(b.Endpoints, &api.Endpoint{
			Id: fmt.Sprintf("engine-%d", i+100), Domain: fmt.Sprintf("d%d", i%targetDomains),
			Url: fmt.Sprintf("http://10.0.%d.%d:8000", i/250, i%250), Models: []string{"agronomy"},
		})
	}
	return b
}

// topUp returns the bundle with its next number and one grant more.
func topUp(b *api.Bundle) *api.Bundle {
	b.Number++
	c := b.Customers[rand.IntN(len(b.Customers))]
	budget := c.Budgets[rand.IntN(len(c.Budgets))]
	budget.Grants = append(budget.Grants, &api.Grant{Id: fmt.Sprintf("top-up-%d", b.Number), Tokens: 1000})
	return b
}

func mustCompile(b *testing.B, next *api.Bundle, previous *compiled) *compiled {
	m, parts := Split(next)
	return mustCompileParts(b, m, byHash(parts), previous)
}

func mustCompileParts(b *testing.B, m *api.Manifest, parts map[Hash][]byte, previous *compiled) *compiled {
	var from *content
	if previous != nil {
		from = previous.content
	}
	c, err := load(context.Background(), m, from, localFetcher{parts: parts})
	if err != nil {
		b.Fatal(err)
	}
	out, problems := compile(c, previous)
	if len(problems) > 0 {
		b.Fatal(problems)
	}
	return out
}

// BenchmarkCompileWhole checks and compiles the target bundle with nothing to build on. It also reports the memory that
// the bundle in force holds.
func BenchmarkCompileWhole(b *testing.B) {
	m, list := Split(targetBundle())
	parts := byHash(list)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	held := mustCompileParts(b, m, parts, nil)
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(held)
	for b.Loop() {
		mustCompileParts(b, m, parts, nil)
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/1e6, "MB-held-besides-parts")
	b.ReportMetric(float64(totalBytes(parts))/1e6, "MB-parts")
}

// BenchmarkCompileChange checks and compiles the target bundle after one top-up, on top of the one before.
func BenchmarkCompileChange(b *testing.B) {
	bundle := targetBundle()
	previous := mustCompile(b, bundle, nil)
	m, list := Split(topUp(bundle))
	parts := byHash(list)
	for b.Loop() {
		mustCompileParts(b, m, parts, previous)
	}
}

// BenchmarkBytesPerChange reports the payload that one top-up moves at the target size, for this form of manifest and
// for one that names every customer's part itself.
func BenchmarkBytesPerChange(b *testing.B) {
	bundle := targetBundle()
	m, parts := Split(bundle)
	known := byHash(parts)
	var moved, flat float64
	for b.Loop() {
		next, nextParts := Split(topUp(bundle))
		changed := 0
		for h, part := range byHash(nextParts) {
			if _, ok := known[h]; !ok {
				changed += len(part)
			}
		}
		moved += float64(len(encode(next)) + changed)
		flat += float64(targetCustomers*len(Hash{}) + changed)
		known = byHash(nextParts)
	}
	b.ReportMetric(float64(len(encode(m))), "manifest-bytes")
	b.ReportMetric(moved/float64(b.N), "bytes/change")
	b.ReportMetric(flat/float64(b.N), "flat-bytes/change")
}

// link is one way that may be down in a rollout.
type link struct {
	a, b   string
	silent bool
}

// BenchmarkRollouts rolls 200 bundles through fleets of several sizes, with one link down each time, and reports the
// time from the pointer's update until the last instance has the bundle in force.
func BenchmarkRollouts(b *testing.B) {
	for _, perDomain := range []int{2, 8, 32} {
		b.Run(fmt.Sprintf("instances=%d", 3*perDomain), func(b *testing.B) { benchmarkRollouts(b, 3, perDomain) })
	}
}

func benchmarkRollouts(b *testing.B, domains, perDomain int) {
	const rollouts = 200
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	f := newFleet(b, clockwork.NewRealClock())
	defer f.stopAll()
	go f.heartbeats(ctx, 500*time.Millisecond)
	var names []string
	for i := range domains * perDomain {
		names = append(names, fmt.Sprintf("i%d", i))
		f.add(fmt.Sprintf("d%d", i%domains), names[i])
	}
	bundle := testBundle(1, 100, 2)
	mustRoll(b, f.objects, bundle)
	allHave(b, f.list(), 1)
	var slowest []time.Duration
	before := f.objects.Calls()
	started := time.Now()
	random := rand.New(rand.NewPCG(1, 2))
	for range rollouts {
		down := randomLink(random, names)
		f.setDown(down)
		mustRoll(b, f.objects, topUp(bundle))
		moved := time.Now()
		allHave(b, f.list(), bundle.Number)
		slowest = append(slowest, time.Since(moved))
	}
	elapsed := time.Since(started).Seconds()
	after := f.objects.Calls()
	slices.Sort(slowest)
	b.ReportMetric(float64(slowest[rollouts/2].Microseconds())/1e3, "p50-ms")
	b.ReportMetric(float64(slowest[rollouts-1].Microseconds())/1e3, "max-ms")
	b.ReportMetric(float64(after.Reads-before.Reads)/rollouts, "reads/rollout")
	b.ReportMetric(float64(after.Writes-before.Writes)/rollouts, "writes/rollout")
	b.ReportMetric(float64(after.Watches-before.Watches)/rollouts, "watches/rollout")
	b.ReportMetric(elapsed, "s-in-all")
}

// randomLink picks a link between two instances or of one with the platform, cut or silent.
func randomLink(random *rand.Rand, names []string) link {
	l := link{a: names[random.IntN(len(names))], b: "platform", silent: random.IntN(2) == 0}
	if random.IntN(2) == 0 {
		l.b, l.silent = names[random.IntN(len(names))], false
	}
	return l
}

func (f *testFleet) setDown(l link) {
	f.mu.Lock()
	f.silent = map[string]bool{l.a: l.silent}
	f.mu.Unlock()
	f.setCut(func(a, b string) bool { return !l.silent && a == l.a && b == l.b })
}

// BenchmarkNetwork reports the payload that each instance receives and the most that one sends for a top-up at the
// target size, in a domain of 50 instances.
func BenchmarkNetwork(b *testing.B) {
	const instances = 50
	f := newFleet(b, clockwork.NewRealClock())
	defer f.stopAll()
	bundle := targetBundle()
	mustRoll(b, f.objects, bundle)
	for i := range instances {
		f.add("d1", fmt.Sprintf("i%d", i))
	}
	allHave(b, f.list(), 1)
	time.Sleep(time.Second)
	received, sent := f.payload()
	for b.Loop() {
		mustRoll(b, f.objects, topUp(bundle))
		allHave(b, f.list(), bundle.Number)
	}
	receivedAfter, sentAfter := f.payload()
	var most int64
	for name, bytes := range sentAfter {
		most = max(most, bytes-sent[name])
	}
	var total int64
	for name, bytes := range receivedAfter {
		total += bytes - received[name]
	}
	b.ReportMetric(float64(total)/instances/float64(b.N), "received-bytes/change")
	b.ReportMetric(float64(most)/float64(b.N), "most-sent-bytes/change")
}

func (f *testFleet) payload() (received, sent map[string]int64) {
	received, sent = make(map[string]int64), make(map[string]int64)
	for _, n := range f.list() {
		received[n.self.Name] = metricReceived.Counter(n.metrics).Count()
		sent[n.self.Name] = metricSentBytes.Counter(n.metrics).Count()
	}
	return received, sent
}
