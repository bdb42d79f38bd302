package bench

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"pumiceshelf/api"
	"pumiceshelf/budget"
	"pumiceshelf/budget/naive"
	"pumiceshelf/internal/fleet"
	"pumiceshelf/internal/standin"
	"pumiceshelf/node"
	"pumiceshelf/quota"

	"google.golang.org/protobuf/types/known/durationpb"
)

// runLimit bounds one experiment.
const runLimit = 90 * time.Second

// Run is one experiment in progress.
type Run struct {
	Fleet  *fleet.Fleet
	Result Result

	rng      *rand.Rand
	requests []*request
	records  map[string][]*api.UsageRecord
	mu       sync.Mutex
	number   uint64
	topUps   []string
	grants   []grant
	begun    time.Time
	ends     []func()
}

// grant is a top-up of every budget, at an offset from the start of the load.
type grant struct {
	at    time.Duration
	total uint64
}

func (g grant) apply(judge *naive.Model, first uint64) {
	for _, c := range customers {
		judge.Grant(budgetOf(c), budget.Tokens(first+g.total))
	}
}

// note keeps a figure of the experiment's own.
func (r *Run) note(name string, value float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Result.Extra[name] = value
}

// broke keeps a promise of the experiment's own that did not hold.
func (r *Run) broke(text string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Result.Broken = append(r.Result.Broken, text)
}

// after runs f when the load has ended.
func (r *Run) after(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ends = append(r.ends, f)
}

func newRun(e Experiment, seed uint64, policy string) *Run {
	return &Run{
		rng:    rand.New(rand.NewPCG(seed, 0)),
		number: 1,
		Result: Result{Experiment: e.Name, Seed: seed, Policy: policy, Extra: map[string]float64{}, Refusals: map[string]int{}},
	}
}

// Do runs an experiment with a seed and policy.
func Do(ctx context.Context, e Experiment, seed uint64, policy string) (*Result, error) {
	ctx, cancel := context.WithTimeout(ctx, runLimit)
	defer cancel()
	r := newRun(e, seed, policy)
	if policy == ownKeys {
		e.load.ownKeys = 1
	}
	c := config(e, seed, policy)
	f, err := fleet.Start(ctx, c)
	if err != nil {
		return nil, fmt.Errorf("bench: %s: %w", e.Name, err)
	}
	defer f.Close()
	r.Fleet = f
	r.watchRecords()
	r.measure(ctx, e)
	return &r.Result, nil
}

// measure drives the load with the faults of the experiment and fills in the result.
func (r *Run) measure(ctx context.Context, e Experiment) {
	before, start := r.Fleet.Objects.Calls(), time.Now()
	r.begun = start
	var faults sync.WaitGroup
	for _, f := range e.faults(r) {
		faults.Go(func() { f(ctx, r) })
	}
	r.drive(ctx, e.load.requests(r.rng, r.Fleet.ModelIDs()))
	faults.Wait()
	for _, end := range r.ends {
		end()
	}
	after := r.Fleet.Objects.Calls()
	calls := after.Reads + after.Writes + after.Watches - before.Reads - before.Writes - before.Watches
	r.Result.PlatformCallsPerS = float64(calls) / time.Since(start).Seconds()
	r.assess(ctx, e)
	r.Result.judge()
}

// config returns the fleet of an experiment, with times shortened so that detection and recovery fit into it.
func config(e Experiment, seed uint64, policy string) fleet.Config {
	deployment := fleet.PrecioJusto
	if seed%2 == 0 {
		deployment = fleet.AlWusta
	}
	c := fleet.Deployment(deployment)
	for _, id := range customers {
		c.Customers = append(c.Customers, fleet.Customer{ID: id, Tokens: e.tokens, Weight: 1})
	}
	c.Engine = standin.EngineConfig{Slots: e.engineSlots(), Step: engineStep, LoadLag: 50 * time.Millisecond}
	c.Seed = seed
	c.Adjust = shorten
	e.policies(&c.Policies, policy)
	if e.adjust != nil {
		e.adjust(&c, policy)
	}
	return c
}

func shorten(s *api.Settings) {
	s.Peer.HeartbeatInterval = durationpb.New(100 * time.Millisecond)
	s.Peer.FailureTimeout = durationpb.New(500 * time.Millisecond)
	s.Budget.FlushInterval = durationpb.New(200 * time.Millisecond)
	s.Budget.OrphanAfter = durationpb.New(time.Second)
	s.Budget.FoldInterval = durationpb.New(time.Second)
	s.Route.ReportInterval = durationpb.New(200 * time.Millisecond)
	s.Server.ProgressTimeout = durationpb.New(500 * time.Millisecond)
	s.Platform.CallTimeout = durationpb.New(500 * time.Millisecond)
	s.Platform.CallsPerSecond = 100
	s.Bundle.PollInterval = durationpb.New(time.Second)
}

// policyField sets the policy of one part.
type policyField func(p *node.Policies, value string)

func budgetPolicy(p *node.Policies, value string) { p.Budget = quota.Policy(value) }
func routePolicy(p *node.Policies, value string)  { p.Route = value }
