package router

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/jonboulle/clockwork"

	"pumiceshelf/api"
	"pumiceshelf/instance"
	"pumiceshelf/members"
	"pumiceshelf/placement"
	"pumiceshelf/registry"
)

// lossTransit is how long a message takes between two instances of a lossFleet.
const lossTransit = time.Millisecond

// lossFleet is a number of instances in one process that only exchange losses of connections. It must run in a synctest bubble.
type lossFleet struct {
	instances []*lossInstance
	endpoints []registry.Endpoint
	// unlisted is the name of an instance that the others do not know, or "".
	unlisted string
	// merges counts the lists of losses that arrived, two for each exchange, and bytes those sent.
	merges, bytes atomic.Int64
	mu            sync.Mutex
	// lostAt is when each endpoint was last lost, by ID.
	lostAt map[string]time.Time
	// delays holds how long each loss took to each instance that was told of it.
	delays []time.Duration
}

type lossInstance struct {
	connectionLosses
	fleet *lossFleet
	// known is the last loss of each endpoint that was counted, by ID.
	known map[string]time.Time
}

// Merge implements members.Losses.
func (i *lossInstance) Merge(list []placement.Loss, complete bool, reporter string) {
	i.connectionLosses.Merge(list, complete, reporter)
	f, now := i.fleet, time.Now()
	f.merges.Add(1)
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, l := range list {
		if lost := f.lostAt[l.Endpoint.ID]; i.known[l.Endpoint.ID].Before(lost) && !l.At.Before(lost) {
			i.known[l.Endpoint.ID] = lost
			f.delays = append(f.delays, now.Sub(lost))
		}
	}
}

// countedConn counts the bytes that it writes, and delays them.
type countedConn struct {
	net.Conn
	fleet *lossFleet
}

func (c countedConn) Write(b []byte) (int, error) {
	c.fleet.bytes.Add(int64(len(b)))
	time.Sleep(lossTransit)
	return c.Conn.Write(b)
}

// pipeListener accepts the ends of pipes.
type pipeListener struct {
	accepted chan net.Conn
	closed   chan struct{}
	once     sync.Once
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accepted:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.UnixAddr{} }

// playLosses runs a fleet whose instances have known the endpoints for long, and the play on it.
func playLosses(instances, endpoints int, play func(f *lossFleet)) {
	(&lossFleet{}).play(instances, endpoints, play)
}

// play is playLosses for a fleet with other properties.
func (f *lossFleet) play(instances, endpoints int, play func(f *lossFleet)) {
	f.lostAt = make(map[string]time.Time)
	clock, set := clockwork.NewRealClock(), registry.NewSet()
	for i := range endpoints {
		e := registry.Endpoint{
			ID: fmt.Sprintf("model-server-%03d", i), Service: "model", Address: fmt.Sprintf("10.1.0.%d:8000", i+1),
			StartedUnixMilli: time.Now().UnixMilli(), SoftwareVersion: "v1",
		}
		set.Put(e)
		f.endpoints = append(f.endpoints, e)
	}
	ctx, stop := context.WithCancel(context.Background())
	var running sync.WaitGroup
	listeners := make(map[string]*pipeListener)
	var seeds []string
	for i := range instances {
		seeds = append(seeds, fmt.Sprintf("front-%03d", i))
		listeners[seeds[i]] = &pipeListener{accepted: make(chan net.Conn), closed: make(chan struct{})}
	}
	logger := &log.Logger{Handler: discard.New(), Level: log.FatalLevel}
	for i, name := range seeds {
		r := &Router{config: Config{Clock: clock, Log: logger}, contact: &registry.Contact{}, chooser: placement.New(nil)}
		r.freezeGuard = newFreezeGuard(clock, func() {})
		if name == f.unlisted {
			// It starts when the play begins.
			r.startedAt = clock.Now().Add(lossPeriod + time.Second)
		}
		r.endpointView.Store(set.View())
		in := &lossInstance{connectionLosses: connectionLosses{r}, fleet: f, known: make(map[string]time.Time)}
		f.instances = append(f.instances, in)
		m := members.New(members.Config{
			Incarnation: instance.NewIncarnation(name), Self: &api.FleetMember{PeerAddress: name}, Clock: clock, Log: logger,
			Seeds: slices.Concat(seeds[:i], seeds[i+1:]), Losses: in,
			Dial: func(ctx context.Context, address string) (net.Conn, error) {
				if address == f.unlisted {
					return nil, net.ErrClosed
				}
				a, b := net.Pipe()
				select {
				case listeners[address].accepted <- countedConn{b, f}:
					return countedConn{a, f}, nil
				case <-ctx.Done():
					return nil, ctx.Err()
				}
			},
		})
		r.members = m
		running.Go(func() { _ = m.Serve(ctx, listeners[name]) })
		running.Go(func() { _ = m.RunExchangingLosses(ctx) })
		running.Go(func() {
			for ctx.Err() == nil {
				r.contact.Confirm(clock.Now())
				r.freezeGuard.requestDelay()
				time.Sleep(500 * time.Millisecond)
			}
		})
	}
	time.Sleep(lossPeriod + time.Second)
	play(f)
	stop()
	running.Wait()
	// Idle connections expire.
	time.Sleep(20 * time.Second)
}

// lose lets an instance find an endpoint ended.
func (f *lossFleet) lose(in *lossInstance, e registry.Endpoint) {
	now := time.Now()
	f.mu.Lock()
	f.lostAt[e.ID], in.known[e.ID] = now, now
	f.mu.Unlock()
	in.router.chooser.RecordLoss(placement.Loss{Endpoint: e, At: now})
}

// loseRepeatedly loses one endpoint after the other at random instances.
func (f *lossFleet) loseRepeatedly(random *rand.Rand, endpoints, count int, interval time.Duration) {
	for n := range count {
		f.lose(f.instances[random.IntN(len(f.instances))], f.endpoints[n%endpoints])
		time.Sleep(interval)
	}
}

// told returns how often an instance was told of a loss by another one, and how long each took.
func (f *lossFleet) told() (int, []time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.delays), slices.Clone(f.delays)
}

// processorTime returns the processor time that this process has used.
func processorTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// percentile returns the duration that a share of a list does not exceed.
func percentile(list []time.Duration, share float64) time.Duration {
	slices.Sort(list)
	if len(list) == 0 {
		return 0
	}
	return list[min(int(share*float64(len(list))), len(list)-1)]
}

const (
	// longLossTime is how long the losses of one test go on, at lossesPerSecond in the fleet, over lostEndpoints of fleetEndpoints.
	longLossTime    = 6 * time.Second
	lossesPerSecond = 50
	lostEndpoints   = 54
	fleetEndpoints  = 90
	lossInterval    = time.Second / lossesPerSecond
	// peersPerExchange is the number of instances that one calls in each exchange.
	peersPerExchange = 4
)

// lossFleetSizes are the numbers of instances of the tests.
func lossFleetSizes() []int {
	if testing.Short() {
		return []int{8}
	}
	return []int{8, 86, 195}
}

// Guards against exchanges that use much of the processors while many endpoints lose connections, against losses that instances
// learn late then, and against losses that are dated later with each exchange.
func TestLossesThatGoOnForLongAreExchangedAtABoundedRate(t *testing.T) {
	for _, n := range lossFleetSizes() {
		t.Run(fmt.Sprintf("%d_instances", n), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { playLosses(n, fleetEndpoints, func(f *lossFleet) { checkLongLosses(t, f) }) })
		})
	}
}

func checkLongLosses(t *testing.T, f *lossFleet) {
	n, count := len(f.instances), int(longLossTime/lossInterval)
	// Instances that have just started have exchanged as well.
	f.merges.Store(0)
	f.bytes.Store(0)
	began := processorTime()
	f.loseRepeatedly(rand.New(rand.NewPCG(1, 1)), lostEndpoints, count, lossInterval)
	used, bytes, calls := processorTime()-began, float64(f.bytes.Load()), float64(f.merges.Load()/2)
	perInstance := longLossTime.Seconds() * float64(n)
	t.Logf("per second and instance: %.1f calls, %.0f bytes sent, %.1f ms of processor time", calls/perInstance, bytes/perInstance, used.Seconds()*1000/perInstance)
	// Ten exchanges a second, and a burst of as many as endpoints that end at once.
	if limit := peersPerExchange * (10*longLossTime.Seconds() + float64(lostEndpoints)); calls/float64(n) > limit {
		t.Errorf("%.0f calls by each instance, at most %.0f may", calls/float64(n), limit)
	}
	// Within a second, each of the ten exchanges has been made.
	time.Sleep(time.Second)
	told, delays := f.told()
	t.Logf("told after %s, %s and %s (half, 98%%, all)", percentile(delays, 0.5), percentile(delays, 0.98), percentile(delays, 1))
	if told != count*(n-1) || percentile(delays, 1) > time.Second {
		t.Errorf("instances were told of losses %d times of %d, the last after %s", told, count*(n-1), percentile(delays, 1))
	}
	later := time.Duration(0)
	for _, in := range f.instances {
		for _, l := range in.router.chooser.Losses(time.Time{}) {
			later = max(later, l.At.Sub(f.lostAt[l.Endpoint.ID]))
		}
	}
	t.Logf("dated later by up to %s", later)
	if later > placement.SameLossInterval {
		t.Errorf("a loss is dated %s later than it was", later)
	}
}

// Guards against streams that are resumed at endpoints which have just started again as another version, because an instance learns
// of the loss late (ORDER).
func TestFewLossesReachAllInstancesAtOnce(t *testing.T) {
	for _, n := range lossFleetSizes() {
		t.Run(fmt.Sprintf("%d_instances", n), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const count, seeds = 10, 3
				var all []time.Duration
				for seed := range uint64(seeds) {
					playLosses(n, fleetEndpoints, func(f *lossFleet) {
						f.loseRepeatedly(rand.New(rand.NewPCG(seed, 1)), lostEndpoints, count, lossInterval)
						time.Sleep(time.Second)
						_, delays := f.told()
						all = append(all, delays...)
					})
				}
				t.Logf("told after %s, %s and %s (half, 98%%, all)", percentile(all, 0.5), percentile(all, 0.98), percentile(all, 1))
				if len(all) != seeds*count*(n-1) {
					t.Errorf("instances were told of losses %d times of %d", len(all), seeds*count*(n-1))
				}
				// Each instance passes a loss on to four others, after 10 ms if it has just passed on another one.
				hops := math.Ceil(math.Log(float64(n))/math.Log(peersPerExchange)) + 1
				if limit := time.Duration(hops) * (10*time.Millisecond + 2*lossTransit); percentile(all, 0.97) > limit {
					t.Errorf("97%% of the losses were told after %s, at most %s may pass", percentile(all, 0.97), limit)
				}
				// The exchanges of all losses bring the others up to date; at most 300 ms pass between two of them.
				if percentile(all, 1) > 600*time.Millisecond {
					t.Errorf("a loss was told after %s", percentile(all, 1))
				}
			})
		})
	}
}
