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

// BenchmarkBeginFinish is the cost of one claimed request at its instance, the platform in memory.
func BenchmarkBeginFinish(b *testing.B) {
	f := newFleet()
	defer f.stop()
	k := f.start("a", func(c *Config) { c.Settings.ClaimWait = durationpb.New(time.Minute) })
	ctx := context.Background()
	var next atomic.Int64
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			r := dose(fmt.Sprint(next.Add(1)), "body")
			r.Wait = time.Minute
			if v := k.Begin(ctx, r); v.Decision != Run {
				b.Fatalf("decision %d", v.Decision)
			}
			k.Finish(ctx, r.Key, answered("dose"))
		}
	})
	b.ReportMetric(float64(f.objects.Calls().Writes)/float64(b.N), "writes/op")
}

// BenchmarkIssued is the same with keys that the instance issued.
func BenchmarkIssued(b *testing.B) {
	f := newFleet()
	defer f.stop()
	k := f.start("a")
	ctx := context.Background()
	b.ReportAllocs()
	for b.Loop() {
		r := dose(k.Issue("al-wusta", 1)[0], "body")
		if v := k.Begin(ctx, r); v.Decision != Run {
			b.Fatalf("decision %d", v.Decision)
		}
		k.Finish(ctx, r.Key, Outcome{Kind: NotRun})
	}
}

// BenchmarkKept reports the bytes that a claim takes in the platform and in the memory of its shard's writer.
func BenchmarkKept(b *testing.B) {
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
		before := heap()
		book := claim.NewBook()
		head := &api.ClaimHead{Segments: []*api.ClaimSegmentRef{{Object: "s"}}}
		book.Load(head, map[string]*api.ClaimSegment{"s": segment})
		after := heap()
		b.ReportMetric(float64(stored)/claims, "stored-B/claim")
		b.ReportMetric(float64(after-before)/claims, "index-B/claim")
		runtime.KeepAlive(book)
		runtime.KeepAlive(segment)
	}
}

func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkPlatformCalls offers claims at growing rates and reports the calls to the platform and the wait for a claim.
// Run with -benchtime=1x.
func BenchmarkPlatformCalls(b *testing.B) {
	for _, instances := range []int{6, 24} {
		for _, perSecond := range []int{10, 100, 1000, 4000} {
			b.Run(fmt.Sprintf("instances=%d/claims=%d", instances, perSecond), func(b *testing.B) {
				for b.Loop() {
					offer(b, instances, perSecond)
				}
			})
		}
	}
}

const (
	offerTime     = 3 * time.Second
	platformDelay = 3 * time.Millisecond
)

func offer(b *testing.B, instances, perSecond int) {
	f := newFleet()
	defer f.stop()
	var keepers []*Keeper
	for n := range instances {
		k := f.start(fmt.Sprint("i", n), func(c *Config) { c.Settings.Shards = 16; c.Settings.ClaimWait = durationpb.New(testWait) })
		k.pace = groupsPerSecond
		keepers = append(keepers, k)
	}
	f.objects.SetFaults(standin.Faults{Delay: platformDelay})
	limiter := rate.NewLimiter(rate.Limit(perSecond), 1)
	var waits struct {
		sync.Mutex
		list []time.Duration
	}
	var work sync.WaitGroup
	ctx := context.Background()
	start := time.Now()
	for n := 0; time.Since(start) < offerTime; n++ {
		_ = limiter.Wait(ctx)
		k := keepers[n%len(keepers)]
		work.Go(func() {
			r := dose(fmt.Sprint(n), "body")
			began := time.Now()
			if k.Begin(ctx, r).Decision != Run {
				b.Errorf("not let run")
				return
			}
			d := time.Since(began)
			k.Finish(ctx, r.Key, answered("dose"))
			waits.Lock()
			defer waits.Unlock()
			waits.list = append(waits.list, d)
		})
	}
	work.Wait()
	took := time.Since(start).Seconds()
	sort.Slice(waits.list, func(i, j int) bool { return waits.list[i] < waits.list[j] })
	calls := f.objects.Calls()
	b.ReportMetric(float64(calls.Writes)/took, "writes/s")
	b.ReportMetric(float64(calls.Reads)/took, "reads/s")
	b.ReportMetric(float64(waits.list[len(waits.list)/2].Microseconds())/1000, "p50-ms")
	b.ReportMetric(float64(waits.list[len(waits.list)*99/100].Microseconds())/1000, "p99-ms")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkConflicts lets instances that see no common first one write a single shard, as in a cut where all reach the
// platform. Run with -benchtime=1x.
func BenchmarkConflicts(b *testing.B) {
	for _, writers := range []int{2, 8, 24} {
		b.Run(fmt.Sprint("writers=", writers), func(b *testing.B) {
			for b.Loop() {
				contend(b, writers)
			}
		})
	}
}

const claimsPerWriter = 100

func contend(b *testing.B, writers int) {
	f := newFleet()
	defer f.stop()
	f.objects.SetFaults(standin.Faults{Delay: platformDelay})
	var keepers []*Keeper
	for n := range writers {
		k := f.start(fmt.Sprint("i", n), func(c *Config) { c.Settings.Shards = 1; c.Settings.ClaimWait = durationpb.New(testWait) })
		k.pace = groupsPerSecond
		f.lose(k, true)
		keepers = append(keepers, k)
	}
	start := time.Now()
	var work sync.WaitGroup
	for _, k := range keepers {
		for n := range claimsPerWriter {
			work.Go(func() {
				if k.Begin(context.Background(), dose(fmt.Sprint(k.self, n), "body")).Decision != Run {
					b.Errorf("not let run")
				}
			})
		}
	}
	work.Wait()
	var conflicts int64
	for _, k := range keepers {
		conflicts += retryConflict.Counter(k.cfg.Metrics).Count()
	}
	b.ReportMetric(time.Since(start).Seconds(), "s")
	b.ReportMetric(float64(f.objects.Calls().Writes), "writes")
	b.ReportMetric(float64(conflicts), "conflicts")
	b.ReportMetric(0, "ns/op")
}
