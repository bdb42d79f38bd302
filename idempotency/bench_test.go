package idempotency

import (
	"context"
	"fmt"
	"runtime"
	"sort"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/time/rate"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	"pumiceshelf/api"
	"pumiceshelf/claim"
	"pumiceshelf/internal/standin"
)

// BenchmarkBeginFinish measures Begin and Finish of a request on one instance with an in-memory object store.
func BenchmarkBeginFinish(b *testing.B) {
	f := newFleet()
	defer f.stop()
	m := f.start("a", func(c *Config) { c.Settings.ClaimWait = durationpb.New(time.Minute) })
	ctx := context.Background()
	var next atomic.Int64
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			r := newRequest(fmt.Sprint(next.Add(1)), "body")
			r.MaxWait = time.Minute
			if result := m.Begin(ctx, r); result.Decision != Run {
				b.Fatalf("decision %d", result.Decision)
			}
			m.Finish(ctx, r.Key, completed("response"))
		}
	})
	b.ReportMetric(float64(f.objects.Calls().Writes)/float64(b.N), "writes/op")
}

// BenchmarkBeginFinishIssued measures the same with keys that the instance issued.
func BenchmarkBeginFinishIssued(b *testing.B) {
	f := newFleet()
	defer f.stop()
	m := f.start("a")
	ctx := context.Background()
	b.ReportAllocs()
	for b.Loop() {
		r := newRequest(m.Issue("al-wusta", 1)[0], "body")
		if result := m.Begin(ctx, r); result.Decision != Run {
			b.Fatalf("decision %d", result.Decision)
		}
		m.Finish(ctx, r.Key, Outcome{Kind: NotRun})
	}
}

// BenchmarkClaimSize reports the bytes that a claim takes in the object store and in the memory of the instance that
// decides its shard.
func BenchmarkClaimSize(b *testing.B) {
	const claims = 200_000
	for b.Loop() {
		segment := &api.ClaimSegment{}
		for n := range claims {
			k := claim.HashKey("al-wusta", fmt.Sprint(n))
			body := claim.HashBody("POST", "/v1/chat/completions", []byte(fmt.Sprint(n)))
			segment.Claims = append(segment.Claims, &api.Claim{
				KeyHash: k[:], BodyHash: body[:], RequestId: "0f8fad5b-d9cb-469f-a165-70867728950e",
				Owner: "entry-1~7c9e6679-7425-40de-944b-e07fc1f90ae7", State: api.ClaimState_CLAIM_STATE_ANSWERED, UnixMs: 1_700_000_000_000,
			})
		}
		stored := proto.Size(segment)
		before := heapBytes()
		shardState := claim.NewShardState()
		head := &api.ClaimHead{Segments: []*api.ClaimSegmentRef{{Object: "s"}}}
		shardState.Load(head, map[string]*api.ClaimSegment{"s": segment})
		after := heapBytes()
		b.ReportMetric(float64(stored)/claims, "stored-B/claim")
		b.ReportMetric(float64(after-before)/claims, "index-B/claim")
		runtime.KeepAlive(shardState)
		runtime.KeepAlive(segment)
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkStoreCalls offers claims at increasing rates and reports the calls to the object store and the wait for a claim.
// Run it with -benchtime=1x.
func BenchmarkStoreCalls(b *testing.B) {
	for _, instances := range []int{6, 24} {
		for _, perSecond := range []int{10, 100, 1000, 4000} {
			b.Run(fmt.Sprintf("instances=%d/claims=%d", instances, perSecond), func(b *testing.B) {
				for b.Loop() {
					offerClaims(b, instances, perSecond)
				}
			})
		}
	}
}

const (
	offerDuration = 3 * time.Second
	storeDelay    = 3 * time.Millisecond
)

func offerClaims(b *testing.B, instances, perSecond int) {
	f := newFleet()
	defer f.stop()
	var managers []*Manager
	for n := range instances {
		m := f.start(fmt.Sprint("i", n), func(c *Config) { c.Settings.Shards = 16; c.Settings.ClaimWait = durationpb.New(testWait) })
		m.batchRate = batchesPerSecond
		managers = append(managers, m)
	}
	f.objects.SetFaults(standin.Faults{Delay: storeDelay})
	limiter := rate.NewLimiter(rate.Limit(perSecond), 1)
	var waits struct {
		sync.Mutex
		list []time.Duration
	}
	var wg sync.WaitGroup
	ctx := context.Background()
	start := time.Now()
	for n := 0; time.Since(start) < offerDuration; n++ {
		_ = limiter.Wait(ctx)
		m := managers[n%len(managers)]
		wg.Go(func() {
			r := newRequest(fmt.Sprint(n), "body")
			beginStart := time.Now()
			if m.Begin(ctx, r).Decision != Run {
				b.Errorf("the request was not allowed to run")
				return
			}
			beginWait := time.Since(beginStart)
			m.Finish(ctx, r.Key, completed("response"))
			waits.Lock()
			defer waits.Unlock()
			waits.list = append(waits.list, beginWait)
		})
	}
	wg.Wait()
	elapsed := time.Since(start).Seconds()
	sort.Slice(waits.list, func(i, j int) bool { return waits.list[i] < waits.list[j] })
	calls := f.objects.Calls()
	b.ReportMetric(float64(calls.Writes)/elapsed, "writes/s")
	b.ReportMetric(float64(calls.Reads)/elapsed, "reads/s")
	b.ReportMetric(float64(waits.list[len(waits.list)/2].Microseconds())/1000, "p50-ms")
	b.ReportMetric(float64(waits.list[len(waits.list)*99/100].Microseconds())/1000, "p99-ms")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkWriteConflicts lets instances that do not agree on a preferred instance write a single shard, as in a partition
// in which all of them still reach the object store. Run it with -benchtime=1x.
func BenchmarkWriteConflicts(b *testing.B) {
	for _, writers := range []int{2, 8, 24} {
		b.Run(fmt.Sprint("writers=", writers), func(b *testing.B) {
			for b.Loop() {
				writeSameShard(b, writers)
			}
		})
	}
}

const claimsPerWriter = 100

func writeSameShard(b *testing.B, writers int) {
	f := newFleet()
	defer f.stop()
	f.objects.SetFaults(standin.Faults{Delay: storeDelay})
	var managers []*Manager
	for n := range writers {
		m := f.start(fmt.Sprint("i", n), func(c *Config) { c.Settings.Shards = 1; c.Settings.ClaimWait = durationpb.New(testWait) })
		m.batchRate = batchesPerSecond
		f.disconnect(m, true)
		managers = append(managers, m)
	}
	start := time.Now()
	var wg sync.WaitGroup
	for _, m := range managers {
		for n := range claimsPerWriter {
			wg.Go(func() {
				if m.Begin(context.Background(), newRequest(fmt.Sprint(m.self, n), "body")).Decision != Run {
					b.Errorf("the request was not allowed to run")
				}
			})
		}
	}
	wg.Wait()
	var conflicts int64
	for _, m := range managers {
		conflicts += descRetryConflict.Counter(m.cfg.Metrics).Count()
	}
	b.ReportMetric(time.Since(start).Seconds(), "s")
	b.ReportMetric(float64(f.objects.Calls().Writes), "writes")
	b.ReportMetric(float64(conflicts), "conflicts")
	b.ReportMetric(0, "ns/op")
}
