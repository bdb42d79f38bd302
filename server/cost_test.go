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

// Sizes of the comparison.
const (
	costCallers = 8
	costTokens  = 32
)

// processorTime returns the processor time that the process has used.
func processorTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkCost compares requests through one instance with direct calls to an engine, in one run: the first token's
// time, and the processor time of the whole process, engines and callers included, per request.
func BenchmarkCost(b *testing.B) {
	config := fleet.Deployment(fleet.PrecioJusto)
	config.Domains, config.InstancesPerDomain, config.EnginesPerDomain = config.Domains[:1], 2, 2
	config.Models = append(config.Models, &api.Model{Id: fleet.DoseModel, DefaultCapTokens: 64, MaxCapTokens: 512, TemplateBoundTokens: 16, NonIdempotent: true})
	config.Engine = standin.EngineConfig{Step: time.Millisecond, Slots: 64, AnswerTokens: costTokens}
	config.Customers = []fleet.Customer{{ID: "coop", Tokens: 1 << 40}}
	config.Adjust = func(s *api.Settings) { s.Admission.DefaultDeadline = durationpb.New(time.Minute) }
	f, err := fleet.Start(context.Background(), config)
	if err != nil {
		b.Fatal(err)
	}
	defer f.Close()
	engine := strings.TrimPrefix(f.Engines[0].URL, "http://")
	router := f.Members()[0].Node.CallerAddress()
	for _, c := range []struct {
		name, address, model string
		keyed                bool
	}{
		{"direct", engine, fleet.PriceModel, false},
		{"routed", router, fleet.PriceModel, false},
		{"routed-keyed", router, fleet.PriceModel, true},
		{"routed-claimed", router, fleet.DoseModel, true},
	} {
		b.Run(c.name, func(b *testing.B) {
			ask := fleet.Ask{Customer: "coop", Model: c.model, Cap: costTokens, Stream: true}
			measure(b, f, c.address, ask, c.keyed)
		})
	}
}

func measure(b *testing.B, f *fleet.Fleet, address string, ask fleet.Ask, keyed bool) {
	caller := f.NewCaller()
	first := make([]time.Duration, b.N)
	work := make(chan int)
	var wg sync.WaitGroup
	start := processorTime(b)
	for range costCallers {
		wg.Go(func() {
			for i := range work {
				a := ask
				a.Prompt = fmt.Sprintf("coat %d", i)
				if keyed {
					a.Key = fmt.Sprintf("%s-%d-%d", b.Name(), b.N, i)
				}
				r := caller.Send(context.Background(), address, a)
				if r.Outcome != fleet.Answered || r.Wrong || r.Partial {
					b.Errorf("not answered: %+v", r)
				}
				first[i] = r.FirstToken
			}
		})
	}
	for i := range b.N {
		work <- i
	}
	close(work)
	wg.Wait()
	b.ReportMetric(float64((processorTime(b)-start).Microseconds())/float64(b.N), "cpu-us/request")
	slices.Sort(first)
	b.ReportMetric(float64(first[len(first)/2].Microseconds())/1000, "first-p50-ms")
	b.ReportMetric(float64(first[len(first)*95/100].Microseconds())/1000, "first-p95-ms")
}

// BenchmarkOpenStreams compares the memory of streams that wait for their first token: of direct calls, and of calls
// through one instance, callers and engines included in both.
func BenchmarkOpenStreams(b *testing.B) {
	config := fleet.Deployment(fleet.PrecioJusto)
	config.Domains, config.InstancesPerDomain, config.EnginesPerDomain = config.Domains[:1], 1, 1
	config.Engine = standin.EngineConfig{Step: time.Millisecond, Slots: 1 << 12}
	config.Customers = []fleet.Customer{{ID: "coop", Tokens: 1 << 40}}
	config.Adjust = func(s *api.Settings) {
		s.Server.ProgressTimeout = durationpb.New(time.Hour)
		s.Route.InitialConcurrency = 1 << 12
	}
	f, err := fleet.Start(context.Background(), config)
	if err != nil {
		b.Fatal(err)
	}
	defer f.Close()
	f.Engines[0].SetFaults(standin.EngineFaults{Silence: true})
	engine := strings.TrimPrefix(f.Engines[0].URL, "http://")
	router := f.Members()[0].Node.CallerAddress()
	for _, c := range []struct{ name, address string }{{"direct", engine}, {"routed", router}} {
		b.Run(c.name, func(b *testing.B) { holdStreams(b, f, c.address) })
	}
}

func holdStreams(b *testing.B, f *fleet.Fleet, address string) {
	caller := f.NewCaller()
	ctx, cancel := context.WithCancel(context.Background())
	before, ran := memory(), len(f.Engines[0].Runs())
	var wg sync.WaitGroup
	for i := range b.N {
		wg.Go(func() {
			ask := fleet.Ask{Customer: "coop", Model: fleet.PriceModel, Prompt: fmt.Sprint("coat ", i), Cap: costTokens, Stream: true}
			caller.Send(ctx, address, ask)
		})
	}
	for len(f.Engines[0].Runs())-ran < b.N {
		time.Sleep(time.Millisecond)
	}
	b.ReportMetric(float64(memory()-before)/float64(b.N)/1024, "KiB/stream")
	cancel()
	wg.Wait()
}

// memory returns the bytes in use on heap and stacks.
func memory() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapInuse + m.StackInuse)
}
