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

// Sizes of the largest fleet that the benchmarks cover.
const (
	targetCustomers = 2100
	targetBudgets   = 13000
	targetEndpoints = 1300
	targetDomains   = 8
)

// targetBundle returns a bundle with the customers, budgets and endpoints of the largest fleet. Each budget has twelve
// grants.
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

// topUp increments the bundle's number, adds one grant and returns the bundle.
func topUp(b *api.Bundle) *api.Bundle {
	b.Number++
	c := b.Customers[rand.IntN(len(b.Customers))]
	budget := c.Budgets[rand.IntN(len(c.Budgets))]
	budget.Grants = append(budget.Grants, &api.Grant{Id: fmt.Sprintf("top-up-%d", b.Number), Tokens: 1000})
	return b
}

func mustCompile(b *testing.B, next *api.Bundle, previous *compiled) *compiled {
	m, parts := Split(next)
	return mustCompileParts(b, m, indexByHash(parts), previous)
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

// BenchmarkCompileWhole checks and compiles the target bundle without a previous one. It also reports the memory that the
// compiled bundle uses.
func BenchmarkCompileWhole(b *testing.B) {
	m, list := Split(targetBundle())
	parts := indexByHash(list)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	result := mustCompileParts(b, m, parts, nil)
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(result)
	for b.Loop() {
		mustCompileParts(b, m, parts, nil)
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/1e6, "MB-result-besides-parts")
	b.ReportMetric(float64(totalBytes(parts))/1e6, "MB-parts")
}

// BenchmarkCompileChange checks and compiles the target bundle after one top-up, reusing the previous compiled bundle.
func BenchmarkCompileChange(b *testing.B) {
	bundle := targetBundle()
	previous := mustCompile(b, bundle, nil)
	m, list := Split(topUp(bundle))
	parts := indexByHash(list)
	for b.Loop() {
		mustCompileParts(b, m, parts, previous)
	}
}

// BenchmarkBytesPerChange reports the payload that one top-up transfers at the target size, for the paged manifest and
// for a flat one that would reference every customer part directly.
func BenchmarkBytesPerChange(b *testing.B) {
	bundle := targetBundle()
	m, parts := Split(bundle)
	known := indexByHash(parts)
	var transferred, flat float64
	for b.Loop() {
		next, nextParts := Split(topUp(bundle))
		changed := 0
		for h, part := range indexByHash(nextParts) {
			if _, ok := known[h]; !ok {
				changed += len(part)
			}
		}
		transferred += float64(len(encode(next)) + changed)
		flat += float64(targetCustomers*len(Hash{}) + changed)
		known = indexByHash(nextParts)
	}
	b.ReportMetric(float64(len(encode(m))), "manifest-bytes")
	b.ReportMetric(transferred/float64(b.N), "bytes/change")
	b.ReportMetric(flat/float64(b.N), "flat-bytes/change")
}

// linkFault is a fault of the link from one instance to another or to the object store, which is named "platform". Calls
// on the link fail, or all of the instance's calls to the object store stall.
type linkFault struct {
	from, to string
	stalled  bool
}

// BenchmarkRollouts rolls 200 bundles in fleets of several sizes, with one link down each time, and reports the time from
// the update of the pointer until the bundle is active on all instances.
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
	waitForBundle(b, f.list(), 1)
	var slowest []time.Duration
	before := f.objects.Calls()
	started := time.Now()
	random := rand.New(rand.NewPCG(1, 2))
	for range rollouts {
		fault := randomLinkFault(random, names)
		f.setLinkFault(fault)
		mustRoll(b, f.objects, topUp(bundle))
		rolledAt := time.Now()
		waitForBundle(b, f.list(), bundle.Number)
		slowest = append(slowest, time.Since(rolledAt))
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

// randomLinkFault picks a disconnected link between two instances, or a disconnected or stalled link between one instance
// and the object store.
func randomLinkFault(random *rand.Rand, names []string) linkFault {
	l := linkFault{from: names[random.IntN(len(names))], to: "platform", stalled: random.IntN(2) == 0}
	if random.IntN(2) == 0 {
		l.to, l.stalled = names[random.IntN(len(names))], false
	}
	return l
}

func (f *testFleet) setLinkFault(l linkFault) {
	f.mu.Lock()
	f.stalled = map[string]bool{l.from: l.stalled}
	f.mu.Unlock()
	f.setPartition(func(a, b string) bool { return !l.stalled && a == l.from && b == l.to })
}

// BenchmarkNetwork reports the mean payload that an instance receives and the maximum that an instance sends for a top-up
// at the target size, in a domain of 50 instances.
func BenchmarkNetwork(b *testing.B) {
	const instances = 50
	f := newFleet(b, clockwork.NewRealClock())
	defer f.stopAll()
	bundle := targetBundle()
	mustRoll(b, f.objects, bundle)
	for i := range instances {
		f.add("d1", fmt.Sprintf("i%d", i))
	}
	waitForBundle(b, f.list(), 1)
	time.Sleep(time.Second)
	received, sent := f.payload()
	for b.Loop() {
		mustRoll(b, f.objects, topUp(bundle))
		waitForBundle(b, f.list(), bundle.Number)
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
		received[n.self.Name] = descReceivedBytes.Counter(n.metrics).Count()
		sent[n.self.Name] = descSentBytes.Counter(n.metrics).Count()
	}
	return received, sent
}
