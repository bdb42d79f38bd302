package members

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"pumiceshelf/placement"
	"pumiceshelf/registry"
)

// fakeLosses keeps losses in memory.
type fakeLosses struct {
	mu               sync.Mutex
	list             []placement.Loss
	complete, needed bool
	inherited        bool
	signal           chan struct{}
	// merged holds the lengths of the lists that were merged.
	merged []int
}

func (f *fakeLosses) Recent() ([]placement.Loss, bool, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.list), f.complete, f.needed
}

func (f *fakeLosses) Merge(list []placement.Loss, complete bool, _ string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.merged = append(f.merged, len(list))
	for _, l := range list {
		if slices.ContainsFunc(f.list, func(k placement.Loss) bool { return k.Endpoint.ID == l.Endpoint.ID }) {
			continue
		}
		l.Sequence = uint64(len(f.list) + 1)
		f.list = append(f.list, l)
		select {
		case f.signal <- struct{}{}:
		default:
		}
	}
	f.inherited = f.inherited || complete
}

// takeMerged returns the lengths of the lists that were merged since the last call.
func (f *fakeLosses) takeMerged() []int {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := f.merged
	f.merged = nil
	return out
}

func (f *fakeLosses) Signal() <-chan struct{} { return f.signal }

func (f *fakeLosses) state() (known int, inherited bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.list), f.inherited
}

// Guards against streams that are resumed at an endpoint which has started again as another version, by an instance that had no
// connection to it (ORDER).
func TestLossesReachOtherInstances(t *testing.T) {
	Convey("Given a fleet", t, func() {
		names := []string{"a1", "a2", "a3", "b1", "b2", "c1", "c2", "c3"}
		peers, clock := newFleet(t, names...)
		losses := make(map[string]*fakeLosses)
		ctx, stop := context.WithCancel(t.Context())
		var running sync.WaitGroup
		for _, name := range names {
			losses[name] = &fakeLosses{signal: make(chan struct{}, 1)}
			peers[name].config.Losses = losses[name]
		}
		run := func(names ...string) {
			for _, name := range names {
				running.Go(func() { _ = peers[name].RunExchangingLosses(ctx) })
			}
		}
		Reset(func() {
			stop()
			running.Wait()
		})
		await := func(condition func() bool) {
			for !condition() {
				time.Sleep(time.Millisecond)
				clock.Advance(minLossExchangeInterval)
			}
		}
		Convey("a new loss reaches all instances, with the process that it belongs to", func() {
			run(names...)
			e := registry.Endpoint{ID: "i-1", Service: "model", Address: "10.1.0.1:80", StartedUnixMilli: 7, SoftwareVersion: "v1"}
			losses["b1"].Merge([]placement.Loss{{Endpoint: e, At: clock.Now()}}, false, "")
			await(func() bool {
				for _, l := range losses {
					if known, _ := l.state(); known == 0 {
						return false
					}
				}
				return true
			})
			So(losses["c3"].list[0].Endpoint, ShouldResemble, e)
			_, inherited := losses["c3"].state()
			So(inherited, ShouldBeFalse)
		})
		Convey("an instance that has just started learns the losses of one that has observed the endpoints for long", func() {
			for _, name := range names {
				losses[name].complete = name != "a1"
			}
			losses["a1"].needed = true
			run("a1")
			await(func() bool { _, inherited := losses["a1"].state(); return inherited })
		})
		Convey("after a kill of all instances, none takes the losses of another one for complete", func() {
			for _, name := range names {
				losses[name].needed = true
			}
			run(names...)
			for range 100 {
				clock.Advance(lossExchangeInterval)
				time.Sleep(time.Millisecond)
			}
			for _, l := range losses {
				_, inherited := l.state()
				So(inherited, ShouldBeFalse)
			}
		})
	})
}

// Guards against bytes of all known losses in each exchange while many endpoints lose connections, and against losses that are
// lost with an exchange that failed.
func TestExchangesOnNewLossesContainOnlyThose(t *testing.T) {
	Convey("Given two instances that know losses", t, func() {
		peers, clock := newFleet(t, "a1", "a2")
		losses := make(map[string]*fakeLosses)
		for name, p := range peers {
			losses[name] = &fakeLosses{signal: make(chan struct{}, 1), complete: true}
			p.config.Losses = losses[name]
		}
		loss := func(n int) placement.Loss {
			return placement.Loss{Endpoint: registry.Endpoint{ID: fmt.Sprintf("i-%d", n), Service: "model"}, At: clock.Now()}
		}
		// exchange runs the exchanges of one instance until both know a number of losses.
		exchange := func(known int, advance time.Duration) {
			ctx, stop := context.WithCancel(t.Context())
			var running sync.WaitGroup
			running.Go(func() { _ = peers["a1"].RunExchangingLosses(ctx) })
			for n := 0; n < known; n, _ = losses["a2"].state() {
				time.Sleep(time.Millisecond)
				clock.Advance(advance)
			}
			stop()
			running.Wait()
		}
		Convey("an exchange on a new loss contains that one alone", func() {
			for n := 1; n <= 5; n++ {
				losses["a1"].Merge([]placement.Loss{loss(n)}, false, "")
				// While the clock stands still, none of all losses takes place.
				exchange(n, 0)
			}
			So(losses["a2"].takeMerged(), ShouldResemble, []int{1, 1, 1, 1, 1})
		})
		Convey("the reply contains those that the called instance has not passed on yet", func() {
			for n := 1; n <= 3; n++ {
				losses["a2"].Merge([]placement.Loss{loss(n)}, false, "")
			}
			peers["a2"].lossesPassedOn.Store(2)
			request := encodeLosses([]placement.Loss{loss(4)}, true, clock.Now())
			reply, err := peers["a2"].ExchangeLosses(t.Context(), request)
			So(err, ShouldBeNil)
			So(reply.Losses, ShouldHaveLength, 1)
			So(reply.Losses[0].Endpoint, ShouldEqual, "i-3")
			So(reply.Complete, ShouldBeFalse)
			Convey("and all others if the caller does not know all losses", func() {
				reply, err := peers["a2"].ExchangeLosses(t.Context(), encodeLosses([]placement.Loss{loss(4), loss(1)}, false, clock.Now()))
				So(err, ShouldBeNil)
				So(reply.Losses, ShouldHaveLength, 2)
				So(reply.Complete, ShouldBeTrue)
			})
			Convey("and a later loss of an endpoint than the caller knows", func() {
				early := loss(1)
				early.At = early.At.Add(-placement.SameLossInterval - time.Millisecond)
				reply, err := peers["a2"].ExchangeLosses(t.Context(), encodeLosses([]placement.Loss{early, loss(2), loss(3), loss(4)}, false, clock.Now()))
				So(err, ShouldBeNil)
				So(reply.Losses, ShouldHaveLength, 1)
				So(reply.Losses[0].Endpoint, ShouldEqual, "i-1")
			})
		})
		Convey("one that failed is repeated with all losses", func() {
			list := peers["a1"].roster.Load()
			peers["a1"].applyListing(nil)
			losses["a1"].Merge([]placement.Loss{loss(1)}, false, "")
			ctx, stop := context.WithCancel(t.Context())
			var running sync.WaitGroup
			running.Go(func() { _ = peers["a1"].RunExchangingLosses(ctx) })
			for peers["a1"].lossesPassedOn.Load() < 1 {
				time.Sleep(time.Millisecond)
			}
			stop()
			running.Wait()
			peers["a1"].roster.Store(list)
			exchange(1, minLossExchangeInterval)
		})
	})
}
