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

// fault brings one failure about while the load runs, and ends it before the load ends.
type fault func(ctx context.Context, r *Run)

// Times of faults from the start of the load.
const (
	faultStart = 1 * time.Second
	faultEnd   = 4 * time.Second
)

// lostShare is the share of writes whose answer is lost.
const lostShare = 0.3

// topUpTokens is the size of a top-up.
const topUpTokens = 2000

// during runs begin at the start of the fault's time and end at its end.
func during(ctx context.Context, begin, end func()) {
	sleep(ctx, faultStart)
	begin()
	sleep(ctx, faultEnd-faultStart)
	end()
}

func (r *Run) adjustObjects(change func(*standin.Faults)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f := r.Fleet.Objects.Faults()
	change(&f)
	r.Fleet.Objects.SetFaults(f)
}

func outage(ctx context.Context, r *Run) {
	r.topUp(ctx, "before-the-outage")
	during(ctx,
		func() { r.adjustObjects(func(f *standin.Faults) { f.Down = true }) },
		func() { r.adjustObjects(func(f *standin.Faults) { f.Down = false }) })
	r.topUp(ctx, "after-the-outage")
}

// topUp rolls a bundle that adds a grant to every budget.
func (r *Run) topUp(ctx context.Context, id string) {
	r.mu.Lock()
	r.number++
	b := r.Fleet.Bundle(r.number)
	r.topUps = append(r.topUps, id)
	for _, c := range b.Customers {
		for _, t := range r.topUps {
			c.Budgets[0].Grants = append(c.Budgets[0].Grants, &api.Grant{Id: t, Tokens: topUpTokens})
		}
	}
	r.mu.Unlock()
	if err := r.Fleet.Roll(ctx, b); err != nil {
		r.broke("a top-up could not be rolled: " + err.Error())
		return
	}
	r.mu.Lock()
	r.grants = append(r.grants, grant{time.Since(r.begun), uint64(len(r.topUps)) * topUpTokens})
	r.mu.Unlock()
}

// domainCut cuts one failure domain off from the others and from the platform. Its callers go on calling it.
func domainCut(ctx context.Context, r *Run) {
	cut := r.Fleet.Members()[r.rng.IntN(len(r.Fleet.Members()))].Domain
	sites := make(map[fleet.Site]bool)
	for _, m := range r.Fleet.Members() {
		sites[fleet.Site(m.Name)] = m.Domain == cut
	}
	for _, e := range r.Fleet.Engines {
		sites[fleet.Site(e.ID)] = e.Domain == cut
	}
	during(ctx,
		func() {
			r.Fleet.Network.Block("cut", func(from, to fleet.Site) bool {
				return from != fleet.CallerSite && to != fleet.CallerSite && sites[from] != sites[to]
			})
		},
		func() { r.Fleet.Network.Open("cut") })
}

func lostAnswers(ctx context.Context, r *Run) {
	rng := rand.New(rand.NewPCG(r.Result.Seed, 1))
	var mu sync.Mutex
	lose := func(string) bool {
		mu.Lock()
		defer mu.Unlock()
		return rng.Float64() < lostShare
	}
	during(ctx,
		func() { r.adjustObjects(func(f *standin.Faults) { f.LoseAnswer = lose }) },
		func() { r.adjustObjects(func(f *standin.Faults) { f.LoseAnswer = nil }) })
}

// crash kills an instance with open streams and starts it again.
func crash(ctx context.Context, r *Run) {
	m := r.victim()
	during(ctx,
		func() {
			r.note("streams_open_at_crash", float64(m.Node.InProgress()))
			if err := r.Fleet.Kill(m); err != nil {
				r.broke("the killed instance had failed: " + err.Error())
			}
		},
		func() {
			if _, err := r.Fleet.StartInstance(m.Name, m.Domain); err != nil {
				r.broke("the instance did not start again: " + err.Error())
			}
		})
}

// pause freezes an instance that holds leases and lets it go on after others have treated it as gone.
func pause(ctx context.Context, r *Run) {
	m := r.victim()
	during(ctx, func() { r.Fleet.Pause(m.Name) }, func() { r.Fleet.Resume(m.Name) })
}

// silence makes the open connections from instances to endpoints silent for good.
func silence(ctx context.Context, r *Run) {
	engines := make(map[fleet.Site]bool)
	for _, e := range r.Fleet.Engines {
		engines[fleet.Site(e.ID)] = true
	}
	sleep(ctx, faultStart)
	count := r.Fleet.Network.Silence(func(_, to fleet.Site) bool { return engines[to] })
	r.note("connections_silenced", float64(count))
}

// leave marks an endpoint as leaving and checks that it gets no new work after leaveLimit.
func leave(ctx context.Context, r *Run) {
	const leaveLimit = 3 * time.Second
	e := r.Fleet.Engines[r.rng.IntN(len(r.Fleet.Engines))]
	sleep(ctx, faultStart)
	left := time.Now()
	r.Fleet.SetLeaving(e.ID)
	r.after(func() {
		late := 0
		for _, run := range e.Runs() {
			if run.Start.After(left.Add(leaveLimit)) {
				late++
			}
		}
		r.note("runs_after_leaving", float64(late))
		if late > 0 {
			r.broke("a leaving endpoint got new work")
		}
	})
}

// drain shuts an instance down gracefully under load and checks that no request in progress is cut off.
func drain(ctx context.Context, r *Run) {
	m := r.victim()
	sleep(ctx, faultStart)
	r.note("requests_open_at_drain", float64(m.Node.InProgress()))
	start := time.Now()
	if err := r.Fleet.Drain(ctx, m); err != nil {
		r.broke("the drain dropped something: " + err.Error())
	}
	r.note("drain_ms", float64(time.Since(start).Milliseconds()))
}

// crossed lets one engine answer some requests with the answer of another.
func crossed(ctx context.Context, r *Run) {
	e := r.Fleet.Engines[r.rng.IntN(len(r.Fleet.Engines))]
	pick := func(id string) bool { return id[len(id)-1]%3 == 0 }
	during(ctx,
		func() {
			e.SetFaults(standin.EngineFaults{Crossed: true, CrossedBody: r.Result.Seed%2 == 0, Pick: pick})
		},
		func() { e.SetFaults(standin.EngineFaults{}) })
}

// bundleRace lets two operators roll bundles of the same number against each other.
func bundleRace(ctx context.Context, r *Run) {
	const rolls = 10
	sleep(ctx, faultStart)
	wins := 0
	for range rolls {
		r.mu.Lock()
		r.number++
		number := r.number
		r.mu.Unlock()
		wins += r.race(ctx, number)
	}
	r.note("wins", float64(wins))
	if wins != rolls {
		r.broke(fmt.Sprintf("%d of %d races had one winner", wins, rolls))
	}
	start := time.Now()
	if err := r.Fleet.Await(ctx, r.number); err != nil {
		r.broke("the last bundle is not in force everywhere: " + err.Error())
	}
	r.note("in_force_ms", float64(time.Since(start).Milliseconds()))
}

// race rolls two bundles with the same number and returns 1 if one won and the other was told.
func (r *Run) race(ctx context.Context, number uint64) int {
	errs := make([]error, 2)
	var wait sync.WaitGroup
	for i := range errs {
		b := r.Fleet.Bundle(number)
		b.ConcurrentLoads = uint32(i + 1)
		wait.Go(func() { errs[i] = r.Fleet.Roll(ctx, b) })
	}
	wait.Wait()
	won := errs[0] == nil
	lost := errors.Is(errors.Join(errs...), bundle.ErrSuperseded)
	if won != (errs[1] == nil) && lost {
		return 1
	}
	return 0
}

// victim is an instance chosen by the seed.
func (r *Run) victim() *fleet.Member {
	members := r.Fleet.Members()
	return members[r.rng.IntN(len(members))]
}

// staleOrders freezes an instance while a bundle names another version of the weights, lets it go on afterwards and
// checks that every engine ends with the new version.
func staleOrders(ctx context.Context, r *Run) {
	m := r.victim()
	sleep(ctx, faultStart)
	r.Fleet.Pause(m.Name)
	r.mu.Lock()
	r.number++
	b := r.Fleet.Bundle(r.number)
	r.mu.Unlock()
	const version = "2"
	for i, model := range b.Models {
		b.Models[i] = proto.Clone(model).(*api.Model)
		b.Models[i].Version = version
	}
	if err := r.Fleet.Roll(ctx, b); err != nil {
		r.broke("the bundle was not rolled: " + err.Error())
	}
	sleep(ctx, faultEnd-faultStart)
	r.Fleet.Resume(m.Name)
	start := time.Now()
	err := fleet.Until(ctx, func() bool { return r.enginesAt(ctx, version) })
	if err != nil {
		r.broke("an engine does not have the version of the bundle: " + err.Error())
	}
	r.note("orders_in_force_ms", float64(time.Since(start).Milliseconds()))
}

// enginesAt says whether every engine reports a version of all its models as loaded.
func (r *Run) enginesAt(ctx context.Context, version string) bool {
	for _, e := range r.Fleet.Engines {
		for _, m := range e.Models() {
			if m.Version != version || !m.Loaded {
				return false
			}
		}
	}
	return ctx.Err() == nil
}
