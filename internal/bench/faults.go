package bench

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"pumiceshelf/api"
	"pumiceshelf/bundle"
	"pumiceshelf/internal/fleet"
	"pumiceshelf/internal/standin"
)

// fault injects one failure while the load runs and ends it before the load ends.
type fault func(ctx context.Context, r *Run)

// Start and end of faults, as offsets from the start of the load.
const (
	faultStart = 1 * time.Second
	faultEnd   = 4 * time.Second
)

// lostResponseShare is the share of writes whose response is lost.
const lostResponseShare = 0.3

// topUpTokens is the grant that a top-up adds to each budget.
const topUpTokens = 2000

// duringFault calls startFault at faultStart and endFault at faultEnd.
func duringFault(ctx context.Context, startFault, endFault func()) {
	sleep(ctx, faultStart)
	startFault()
	sleep(ctx, faultEnd-faultStart)
	endFault()
}

// adjustStoreFaults changes the faults of the store. It does not take r.mu, which the store's callbacks lock under its mutex.
func (r *Run) adjustStoreFaults(change func(*standin.Faults)) {
	r.faultsMu.Lock()
	defer r.faultsMu.Unlock()
	f := r.Fleet.Objects.Faults()
	change(&f)
	r.Fleet.Objects.SetFaults(f)
}

func platformOutage(ctx context.Context, r *Run) {
	r.topUp(ctx, "before-the-outage")
	duringFault(ctx,
		func() { r.adjustStoreFaults(func(f *standin.Faults) { f.Unavailable = true }) },
		func() { r.adjustStoreFaults(func(f *standin.Faults) { f.Unavailable = false }) })
	r.topUp(ctx, "after-the-outage")
}

// topUp rolls a bundle that adds a grant to every budget.
func (r *Run) topUp(ctx context.Context, id string) {
	r.mu.Lock()
	r.bundleNumber++
	b := r.Fleet.Bundle(r.bundleNumber)
	r.topUps = append(r.topUps, id)
	for _, c := range b.Customers {
		for _, t := range r.topUps {
			c.Budgets[0].Grants = append(c.Budgets[0].Grants, &api.Grant{Id: t, Tokens: topUpTokens})
		}
	}
	r.mu.Unlock()
	if err := r.Fleet.Roll(ctx, b); err != nil {
		r.recordViolation("a top-up could not be rolled: " + err.Error())
		return
	}
	r.mu.Lock()
	r.grants = append(r.grants, topUpGrant{time.Since(r.startTime), uint64(len(r.topUps)) * topUpTokens})
	r.mu.Unlock()
}

// partitionDomain disconnects one failure domain from the others and from the platform. Callers can still reach it.
func partitionDomain(ctx context.Context, r *Run) {
	domain := r.Fleet.Instances()[r.rng.IntN(len(r.Fleet.Instances()))].Domain
	inDomain := make(map[fleet.Site]bool)
	for _, m := range r.Fleet.Instances() {
		inDomain[fleet.Site(m.Name)] = m.Domain == domain
	}
	for _, e := range r.Fleet.Engines {
		inDomain[fleet.Site(e.ID)] = e.Domain == domain
	}
	duringFault(ctx,
		func() {
			r.Fleet.Network.Block("cut", func(from, to fleet.Site) bool {
				return from != fleet.CallerSite && to != fleet.CallerSite && inDomain[from] != inDomain[to]
			})
		},
		func() { r.Fleet.Network.Unblock("cut") })
}

func loseWriteResponses(ctx context.Context, r *Run) {
	rng := rand.New(rand.NewPCG(r.Result.Seed, 1))
	var mu sync.Mutex
	loseResponse := func(string) bool {
		mu.Lock()
		defer mu.Unlock()
		return rng.Float64() < lostResponseShare
	}
	duringFault(ctx,
		func() { r.adjustStoreFaults(func(f *standin.Faults) { f.LoseResponse = loseResponse }) },
		func() { r.adjustStoreFaults(func(f *standin.Faults) { f.LoseResponse = nil }) })
}

// crashInstance kills an instance with open streams and restarts it.
func crashInstance(ctx context.Context, r *Run) {
	m := r.randomInstance()
	duringFault(ctx,
		func() {
			r.recordFigure("streams_open_at_crash", float64(m.Node.InProgress()))
			if err := r.Fleet.Kill(m); err != nil {
				r.recordViolation("the killed instance returned an error: " + err.Error())
			}
		},
		func() {
			if _, err := r.Fleet.StartInstance(m.Name, m.Domain); err != nil {
				r.recordViolation("the instance could not be restarted: " + err.Error())
			}
		})
}

// pauseInstance freezes an instance that holds leases and resumes it after the others have treated it as failed.
func pauseInstance(ctx context.Context, r *Run) {
	m := r.randomInstance()
	duringFault(ctx, func() { r.Fleet.Pause(m.Name) }, func() { r.Fleet.Resume(m.Name) })
}

// stallConnections permanently stalls the open connections from instances to engines.
func stallConnections(ctx context.Context, r *Run) {
	engines := make(map[fleet.Site]bool)
	for _, e := range r.Fleet.Engines {
		engines[fleet.Site(e.ID)] = true
	}
	sleep(ctx, faultStart)
	count := r.Fleet.Network.Stall(func(_, to fleet.Site) bool { return engines[to] })
	r.recordFigure("connections_silenced", float64(count))
}

// drainEndpoint marks an endpoint as draining and checks that it gets no new work after drainLimit.
func drainEndpoint(ctx context.Context, r *Run) {
	const drainLimit = 3 * time.Second
	e := r.Fleet.Engines[r.rng.IntN(len(r.Fleet.Engines))]
	sleep(ctx, faultStart)
	drainStart := time.Now()
	r.Fleet.SetDraining(e.ID)
	r.runAfterLoad(func() {
		late := 0
		for _, run := range e.Runs() {
			if run.Start.After(drainStart.Add(drainLimit)) {
				late++
			}
		}
		r.recordFigure("runs_after_leaving", float64(late))
		if late > 0 {
			r.recordViolation("a draining endpoint got new work")
		}
	})
}

// drainInstance shuts an instance down gracefully under load and checks that no request in progress is interrupted.
func drainInstance(ctx context.Context, r *Run) {
	m := r.randomInstance()
	sleep(ctx, faultStart)
	r.recordFigure("requests_open_at_drain", float64(m.Node.InProgress()))
	start := time.Now()
	if err := r.Fleet.Drain(ctx, m); err != nil {
		r.recordViolation("the instance could not be shut down gracefully: " + err.Error())
	}
	r.recordFigure("drain_ms", float64(time.Since(start).Milliseconds()))
}

// swapResponses makes one engine answer some requests with the responses to other requests.
func swapResponses(ctx context.Context, r *Run) {
	e := r.Fleet.Engines[r.rng.IntN(len(r.Fleet.Engines))]
	match := func(id string) bool { return id[len(id)-1]%3 == 0 }
	duringFault(ctx,
		func() {
			e.SetFaults(standin.EngineFaults{SwapResponse: true, SwapBody: r.Result.Seed%2 == 0, Match: match})
		},
		func() { e.SetFaults(standin.EngineFaults{}) })
}

// raceBundles rolls pairs of bundles with the same number concurrently, as two operators might.
func raceBundles(ctx context.Context, r *Run) {
	const rolls = 10
	sleep(ctx, faultStart)
	wins := 0
	for range rolls {
		r.mu.Lock()
		r.bundleNumber++
		number := r.bundleNumber
		r.mu.Unlock()
		wins += r.raceOnce(ctx, number)
	}
	r.recordFigure("wins", float64(wins))
	if wins != rolls {
		r.recordViolation(fmt.Sprintf("%d of %d races had one winner", wins, rolls))
	}
	start := time.Now()
	if err := r.Fleet.AwaitBundle(ctx, r.bundleNumber); err != nil {
		r.recordViolation("the last bundle is not active on every instance: " + err.Error())
	}
	r.recordFigure("in_force_ms", float64(time.Since(start).Milliseconds()))
}

// raceOnce rolls two bundles with the same number and returns 1 if one succeeds and the other fails with ErrSuperseded.
func (r *Run) raceOnce(ctx context.Context, number uint64) int {
	errs := make([]error, 2)
	var wait sync.WaitGroup
	for i := range errs {
		b := r.Fleet.Bundle(number)
		b.ConcurrentLoads = uint32(i + 1)
		wait.Go(func() { errs[i] = r.Fleet.Roll(ctx, b) })
	}
	wait.Wait()
	firstWon := errs[0] == nil
	superseded := errors.Is(errors.Join(errs...), bundle.ErrSuperseded)
	if firstWon != (errs[1] == nil) && superseded {
		return 1
	}
	return 0
}

// randomInstance returns a running instance; the seed determines which.
func (r *Run) randomInstance() *fleet.Instance {
	instances := r.Fleet.Instances()
	return instances[r.rng.IntN(len(instances))]
}

// sendStaleOrders freezes an instance while a bundle with a new version of the weights is rolled, resumes it afterwards
// and checks that every engine ends up with the new version.
func sendStaleOrders(ctx context.Context, r *Run) {
	m := r.randomInstance()
	sleep(ctx, faultStart)
	r.Fleet.Pause(m.Name)
	r.mu.Lock()
	r.bundleNumber++
	b := r.Fleet.Bundle(r.bundleNumber)
	r.mu.Unlock()
	const version = "2"
	for i, model := range b.Models {
		b.Models[i] = proto.Clone(model).(*api.Model)
		b.Models[i].Version = version
	}
	if err := r.Fleet.Roll(ctx, b); err != nil {
		r.recordViolation("the bundle could not be rolled: " + err.Error())
	}
	sleep(ctx, faultEnd-faultStart)
	r.Fleet.Resume(m.Name)
	start := time.Now()
	err := fleet.WaitUntil(ctx, func() bool { return r.enginesHaveVersion(ctx, version) })
	if err != nil {
		r.recordViolation("an engine did not load the bundle's version of its models: " + err.Error())
	}
	r.recordFigure("orders_in_force_ms", float64(time.Since(start).Milliseconds()))
}

// enginesHaveVersion reports whether every engine has loaded the given version of all its models.
func (r *Run) enginesHaveVersion(ctx context.Context, version string) bool {
	for _, e := range r.Fleet.Engines {
		for _, m := range e.Models() {
			if m.Version != version || !m.Loaded {
				return false
			}
		}
	}
	return ctx.Err() == nil
}
