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

// runLimit bounds the duration of one experiment.
const runLimit = 90 * time.Second

// Run is one experiment in progress.
type Run struct {
	Fleet  *fleet.Fleet
	Result Result

	rng            *rand.Rand
	requests       []*request
	records        map[string][]*api.UsageRecord
	mu             sync.Mutex
	faultsMu       sync.Mutex
	bundleNumber   uint64
	topUps         []string
	grants         []topUpGrant
	startTime      time.Time
	afterLoadFuncs []func()
}

// topUpGrant is a top-up of every budget at an offset from the start of the load; total is the sum of all top-ups so far.
type topUpGrant struct {
	at    time.Duration
	total uint64
}

func (g topUpGrant) apply(model *naive.Model, initialTokens uint64) {
	for _, c := range customers {
		model.Grant(mainBudgetOf(c), budget.Tokens(initialTokens+g.total))
	}
}

// recordFigure records a figure specific to the experiment.
func (r *Run) recordFigure(name string, value float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Result.Extra[name] = value
}

// recordViolation records a guarantee that did not hold.
func (r *Run) recordViolation(text string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Result.Violations = append(r.Result.Violations, text)
}

// runAfterLoad schedules f to be called when the load and the faults have ended.
func (r *Run) runAfterLoad(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.afterLoadFuncs = append(r.afterLoadFuncs, f)
}

func newRun(e Experiment, seed uint64, policy string) *Run {
	return &Run{
		rng:          rand.New(rand.NewPCG(seed, 0)),
		bundleNumber: 1,
		Result:       Result{Experiment: e.Name, Seed: seed, Policy: policy, Extra: map[string]float64{}, Refusals: map[string]int{}},
	}
}

// Execute runs an experiment with a seed under a policy.
func Execute(ctx context.Context, e Experiment, seed uint64, policy string) (*Result, error) {
	ctx, cancel := context.WithTimeout(ctx, runLimit)
	defer cancel()
	r := newRun(e, seed, policy)
	if policy == callerKeysPolicy {
		e.load.callerKeyShare = 1
	}
	c := fleetConfig(e, seed, policy)
	f, err := fleet.Start(ctx, c)
	if err != nil {
		return nil, fmt.Errorf("bench: %s: %w", e.Name, err)
	}
	defer f.Close()
	r.Fleet = f
	r.collectRecords()
	r.measure(ctx, e)
	return &r.Result, nil
}

// measure runs the load and the faults of the experiment and fills in the result.
func (r *Run) measure(ctx context.Context, e Experiment) {
	before, start := r.Fleet.Objects.Calls(), time.Now()
	r.startTime = start
	var faults sync.WaitGroup
	for _, f := range e.faults(r) {
		faults.Go(func() { f(ctx, r) })
	}
	r.sendRequests(ctx, e.load.requests(r.rng, r.Fleet.ModelIDs()))
	faults.Wait()
	for _, f := range r.afterLoadFuncs {
		f()
	}
	after := r.Fleet.Objects.Calls()
	calls := after.Reads + after.Writes + after.Watches - before.Reads - before.Writes - before.Watches
	r.Result.PlatformCallsPerS = float64(calls) / time.Since(start).Seconds()
	r.evaluate(ctx, e)
	r.Result.checkGuarantees()
}

// fleetConfig returns the fleet of an experiment, with intervals short enough for detection and recovery to happen
// within its duration.
func fleetConfig(e Experiment, seed uint64, policy string) fleet.Config {
	deployment := fleet.PrecioJusto
	if seed%2 == 0 {
		deployment = fleet.AlWusta
	}
	c := fleet.DeploymentConfig(deployment)
	for _, id := range customers {
		c.Customers = append(c.Customers, fleet.Customer{ID: id, Tokens: e.budgetTokens, Weight: 1})
	}
	c.Engine = standin.EngineConfig{Slots: e.slots(), Step: engineStep, MaxLoadReportAge: 50 * time.Millisecond}
	c.Seed = seed
	c.AdjustSettings = shortenIntervals
	e.applyPolicy(&c.Policies, policy)
	if e.adjustFleet != nil {
		e.adjustFleet(&c, policy)
	}
	return c
}

func shortenIntervals(s *api.Settings) {
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

// policySetter sets the policy of one component.
type policySetter func(p *node.Policies, value string)

func setBudgetPolicy(p *node.Policies, value string) { p.Budget = quota.Policy(value) }
func setRoutePolicy(p *node.Policies, value string)  { p.Route = value }
