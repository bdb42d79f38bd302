package server_test

import (
	"context"
	"fmt"
	"runtime"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"pumiceshelf/api"
	"pumiceshelf/internal/fleet"
	"pumiceshelf/internal/standin"
)

// Load of the benchmarks.
const (
	callerCount       = 8
	tokensPerResponse = 32
)

// cpuTime returns the CPU time that the process has used.
func cpuTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkCost compares requests through an instance with direct requests to an engine in the same process: the time
// to the first token and the CPU time per request. The CPU time includes engines and callers.
func BenchmarkCost(b *testing.B) {
	config := fleet.DeploymentConfig(fleet.PrecioJusto)
	config.Domains, config.InstancesPerDomain, config.EnginesPerDomain = config.Domains[:1], 2, 2
	config.Models = append(config.Models, &api.Model{Id: fleet.DoseModel, DefaultCapTokens: 64, MaxCapTokens: 512, TemplateBoundTokens: 16, NonIdempotent: true})
	config.Engine = standin.EngineConfig{Step: time.Millisecond, Slots: 64, AnswerTokens: tokensPerResponse}
	config.Customers = []fleet.Customer{{ID: "coop", Tokens: 1 << 40}}
	config.AdjustSettings = func(s *api.Settings) { s.Admission.DefaultDeadline = durationpb.New(time.Minute) }
	f, err := fleet.Start(context.Background(), config)
	if err != nil {
		b.Fatal(err)
	}
	defer f.Close()
	engine := strings.TrimPrefix(f.Engines[0].URL, "http://")
	instance := f.Instances()[0].Node.CallerAddress()
	for _, c := range []struct {
		name, address, model string
		keyed                bool
	}{
		{"direct", engine, fleet.PriceModel, false},
		{"routed", instance, fleet.PriceModel, false},
		{"routed-keyed", instance, fleet.PriceModel, true},
		{"routed-claimed", instance, fleet.DoseModel, true},
	} {
		b.Run(c.name, func(b *testing.B) {
			request := fleet.Request{Customer: "coop", Model: c.model, CapTokens: tokensPerResponse, Stream: true}
			measureRequests(b, f, c.address, request, c.keyed)
		})
	}
}

func measureRequests(b *testing.B, f *fleet.Fleet, address string, request fleet.Request, keyed bool) {
	caller := f.NewCaller()
	firstTokenTimes := make([]time.Duration, b.N)
	requestIndexes := make(chan int)
	var wg sync.WaitGroup
	start := cpuTime(b)
	for range callerCount {
		wg.Go(func() {
			for i := range requestIndexes {
				promptRequest := request
				promptRequest.Prompt = fmt.Sprintf("coat %d", i)
				if keyed {
					promptRequest.IdempotencyKey = fmt.Sprintf("%s-%d-%d", b.Name(), b.N, i)
				}
				r := caller.Send(context.Background(), address, promptRequest)
				if r.Outcome != fleet.Answered || r.Wrong || r.Partial {
					b.Errorf("no complete, correct response: %+v", r)
				}
				firstTokenTimes[i] = r.FirstTokenTime
			}
		})
	}
	for i := range b.N {
		requestIndexes <- i
	}
	close(requestIndexes)
	wg.Wait()
	b.ReportMetric(float64((cpuTime(b)-start).Microseconds())/float64(b.N), "cpu-us/request")
	slices.Sort(firstTokenTimes)
	b.ReportMetric(float64(firstTokenTimes[len(firstTokenTimes)/2].Microseconds())/1000, "first-p50-ms")
	b.ReportMetric(float64(firstTokenTimes[len(firstTokenTimes)*95/100].Microseconds())/1000, "first-p95-ms")
}

// BenchmarkOpenStreams compares the memory per stream that waits for its first token, of direct requests and of
// requests through an instance. Both include callers and engines.
func BenchmarkOpenStreams(b *testing.B) {
	config := fleet.DeploymentConfig(fleet.PrecioJusto)
	config.Domains, config.InstancesPerDomain, config.EnginesPerDomain = config.Domains[:1], 1, 1
	config.Engine = standin.EngineConfig{Step: time.Millisecond, Slots: 1 << 12}
	config.Customers = []fleet.Customer{{ID: "coop", Tokens: 1 << 40}}
	config.AdjustSettings = func(s *api.Settings) {
		s.Server.ProgressTimeout = durationpb.New(time.Hour)
		s.Route.InitialConcurrency = 1 << 12
	}
	f, err := fleet.Start(context.Background(), config)
	if err != nil {
		b.Fatal(err)
	}
	defer f.Close()
	f.Engines[0].SetFaults(standin.EngineFaults{Unresponsive: true})
	engine := strings.TrimPrefix(f.Engines[0].URL, "http://")
	instance := f.Instances()[0].Node.CallerAddress()
	for _, c := range []struct{ name, address string }{{"direct", engine}, {"routed", instance}} {
		b.Run(c.name, func(b *testing.B) { measureStreamMemory(b, f, c.address) })
	}
}

func measureStreamMemory(b *testing.B, f *fleet.Fleet, address string) {
	caller := f.NewCaller()
	ctx, cancel := context.WithCancel(context.Background())
	before, ran := memoryInUse(), len(f.Engines[0].Runs())
	var wg sync.WaitGroup
	for i := range b.N {
		wg.Go(func() {
			request := fleet.Request{Customer: "coop", Model: fleet.PriceModel, Prompt: fmt.Sprint("coat ", i), CapTokens: tokensPerResponse, Stream: true}
			caller.Send(ctx, address, request)
		})
	}
	for len(f.Engines[0].Runs())-ran < b.N {
		time.Sleep(time.Millisecond)
	}
	b.ReportMetric(float64(memoryInUse()-before)/float64(b.N)/1024, "KiB/stream")
	cancel()
	wg.Wait()
}

// memoryInUse returns the bytes in use by the heap and stacks.
func memoryInUse() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapInuse + m.StackInuse)
}
