package members

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"
	. "github.com/smartystreets/goconvey/convey"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"
	"storj.io/drpc"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"pumiceshelf/api"
	"pumiceshelf/endpointload"
	"pumiceshelf/instance"
	"pumiceshelf/registry"
)

// loadEndpoint returns an endpoint with a name and address as long as the platform's.
func loadEndpoint(i int) registry.Endpoint {
	return registry.Endpoint{
		ID: fmt.Sprintf("engine-cartago-%03d", i), Service: "chat-large", Address: fmt.Sprintf("10.20.30.%d:8080", 100+i%150),
		StartedUnixMilli: 1_796_400_000_000 + int64(i), SoftwareVersion: "2026.12.1",
	}
}

// loadFleet is a fleet in virtual time whose instances are connected by pipes in memory. It runs in a bubble of synctest.
type loadFleet struct {
	peers     []*loadPeer
	listeners map[string]pipeListener
	// bytes counts what all instances write to each other. largest are the bytes of the largest message, most the most reports in one.
	bytes, largest, most atomic.Int64
	ctx                  context.Context
	cancel               context.CancelFunc
	running              sync.WaitGroup
	mu                   sync.Mutex
	calls                []loadCall
}

// loadCall is a call of ExchangeLoads.
type loadCall struct {
	to string
	at time.Time
}

// loadPeer is an instance that records the calls of ExchangeLoads. While it is silent it does not respond to them.
type loadPeer struct {
	*Members
	name   string
	fleet  *loadFleet
	silent atomic.Bool
}

func (p *loadPeer) ExchangeLoads(ctx context.Context, request *api.EndpointReports) (*api.EndpointReports, error) {
	p.fleet.mu.Lock()
	p.fleet.calls = append(p.fleet.calls, loadCall{p.name, time.Now()})
	p.fleet.mu.Unlock()
	if p.silent.Load() {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	reply, err := p.Members.ExchangeLoads(ctx, request)
	for _, m := range []*api.EndpointReports{request, reply} {
		if size := int64(proto.Size(m)); size > p.fleet.largest.Load() {
			p.fleet.largest.Store(size)
		}
		if n := int64(len(m.Loads)); n > p.fleet.most.Load() {
			p.fleet.most.Store(n)
		}
	}
	return reply, err
}

type pipeListener struct {
	conns chan net.Conn
	ctx   context.Context
}

func (l pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.ctx.Done():
		return nil, net.ErrClosed
	}
}
func (l pipeListener) Close() error   { return nil }
func (l pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (f *loadFleet) dial(ctx context.Context, address string) (net.Conn, error) {
	client, server := net.Pipe()
	select {
	case f.listeners[address].conns <- countedConn{server, &f.bytes}:
		return countedConn{client, &f.bytes}, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// newLoadFleet starts instances, named by domain and number. Those in earlier are of a release without ExchangeLoads. The instances
// begin no exchanges before run is called.
func newLoadFleet(t *testing.T, names []string, earlier ...string) *loadFleet {
	f := &loadFleet{listeners: make(map[string]pipeListener)}
	f.ctx, f.cancel = context.WithCancel(context.Background())
	var list []*api.FleetMember
	for _, name := range names {
		self := &api.FleetMember{Incarnation: string(instance.NewIncarnation(name)), PeerAddress: name, Domain: name[:1]}
		p := &loadPeer{name: name, fleet: f, Members: New(Config{
			Incarnation: instance.Incarnation(self.Incarnation), Self: self, Clock: clockwork.NewRealClock(), Metrics: metrics.NewRegistry(),
			Log: &log.Logger{Handler: discard.New(), Level: log.FatalLevel}, Dial: f.dial, Loads: endpointload.New(),
		})}
		var description drpc.Description = api.DRPCFleetDescription{}
		if slices.Contains(earlier, name) {
			description = earlierRelease{lacks: "ExchangeLoads"}
		}
		mux := drpcmux.New()
		if err := mux.Register(p, description); err != nil {
			t.Fatal(err)
		}
		l := pipeListener{make(chan net.Conn), f.ctx}
		f.listeners[name] = l
		f.running.Go(func() { _ = drpcserver.New(mux).Serve(f.ctx, l) })
		f.peers, list = append(f.peers, p), append(list, self)
	}
	for _, p := range f.peers {
		p.applyListing(list)
	}
	return f
}

// run lets the first n instances exchange load reports.
func (f *loadFleet) run(n int) {
	for _, p := range f.peers[:n] {
		f.running.Go(func() { _ = p.RunExchangingLoads(f.ctx) })
	}
}

func (f *loadFleet) stop() {
	f.cancel()
	for _, p := range f.peers {
		p.closeConns()
	}
	f.running.Wait()
}

// takeCalls returns the calls since it was last called.
func (f *loadFleet) takeCalls() []loadCall {
	f.mu.Lock()
	defer f.mu.Unlock()
	calls := f.calls
	f.calls = nil
	return calls
}

func (p *loadPeer) record(i int, workTime float64) {
	p.config.Loads.Record(loadEndpoint(i), endpointload.Report{Running: 3, Waiting: 1, Slots: 8, WorkTime: workTime}, time.Now())
	if workTime > 0 {
		// The values have their greatest length in a message.
		o := endpointload.Observe(25_000, time.Second/200+rand.N(time.Second/1000), 5*time.Second+rand.N(time.Second))
		p.config.Loads.RecordObservation(loadEndpoint(i), o, time.Now())
	}
}

func (p *loadPeer) knows(i int) bool {
	v, ok := p.config.Loads.View(loadEndpoint(i), time.Now())
	return ok && v.Fresh()
}

func (p *loadPeer) counter(name string) int64 {
	return metrics.GetOrRegisterCounter(name, p.config.Metrics).Count()
}

// TestLoadExchangePeers guards against load on the links between failure domains: three of four exchanges stay in the own domain.
func TestLoadExchangePeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newLoadFleet(t, []string{"a1", "a2", "b1", "b2", "b3"})
		defer f.stop()
		f.run(1)
		began := time.Now()
		for range 400 {
			f.peers[0].record(0, 1.7)
			time.Sleep(time.Second)
		}
		calls, other := f.takeCalls(), 0
		for i, c := range calls {
			switch {
			case c.to[0] == 'a':
			case (i+1)%fleetExchangePeriod == 0:
				other++
			default:
				t.Fatalf("exchange %d was with %s of another domain", i+1, c.to)
			}
		}
		// Each fourth of about 800 exchanges is with any of four instances, of which three are of another domain.
		if other < 110 || other > 190 {
			t.Errorf("%d of %d exchanges were with another domain, want about 150", other, len(calls))
		}
		if rate := float64(len(calls)) / time.Since(began).Seconds(); rate < 1.8 || rate > 2.2 {
			t.Errorf("%.2f exchanges per second, want 2", rate)
		}
		if got := f.peers[0].counter("endpointload.exchanges"); got != int64(len(calls)) {
			t.Errorf("%d exchanges counted, want %d", got, len(calls))
		}
	})
}

// TestNoLoadExchangeWithoutWorkTimes guards against new messages in deployments whose endpoints report no work time.
func TestNoLoadExchangeWithoutWorkTimes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newLoadFleet(t, []string{"a1", "a2", "b1"})
		defer f.stop()
		f.run(3)
		for range 60 {
			for _, p := range f.peers {
				p.record(0, 0)
			}
			time.Sleep(time.Second)
		}
		if calls := f.takeCalls(); len(calls) > 0 || f.bytes.Load() > 0 {
			t.Errorf("%d exchanges, %d bytes although no endpoint reports a work time", len(calls), f.bytes.Load())
		}
		f.peers[0].record(1, 1)
		time.Sleep(10 * time.Second)
		if len(f.takeCalls()) == 0 {
			t.Error("no exchanges although an endpoint reports a work time")
		}
		time.Sleep(time.Minute)
		f.takeCalls()
		time.Sleep(time.Minute)
		if calls := f.takeCalls(); len(calls) > 0 {
			t.Errorf("%d exchanges more than a minute after the last work time", len(calls))
		}
	})
}

// TestLoadExchangeWithEarlierRelease guards against an error on each exchange with instances of the previous release during an
// upgrade: they are asked again after 30 s only.
func TestLoadExchangeWithEarlierRelease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newLoadFleet(t, []string{"a1", "a2", "a3"}, "a2")
		defer f.stop()
		f.run(1)
		const duration = 150 * time.Second
		for range int(duration / time.Second) {
			f.peers[0].record(0, 1)
			time.Sleep(time.Second)
		}
		failed := f.peers[0].counter("endpointload.exchanges.failed")
		if failed < 2 || failed > int64(duration/skipEarlierRelease)+1 {
			t.Errorf("%d failed exchanges in %v, want one in 30 s", failed, duration)
		}
		if calls := f.takeCalls(); len(calls) < 240 {
			t.Errorf("%d exchanges with the instance of this release, want about 300", len(calls))
		}
		if !f.peers[2].knows(0) {
			t.Error("the instance of this release does not know the report")
		}
	})
}

// TestLoadExchangeSkipsSilentInstance guards against calls that wait for their timeout again and again: after two that failed an
// instance is skipped for 2 s, and after one it is not.
func TestLoadExchangeSkipsSilentInstance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newLoadFleet(t, []string{"a1", "a2"})
		defer f.stop()
		f.peers[0].record(0, 1)
		exchange := func() int {
			f.peers[0].exchangeLoads(t.Context(), true)
			synctest.Wait()
			return len(f.takeCalls())
		}
		f.peers[1].silent.Store(true)
		if n := exchange(); n != 1 {
			t.Fatalf("%d calls of an instance that has not failed, want 1", n)
		}
		f.peers[1].silent.Store(false)
		if n := exchange(); n != 1 {
			t.Fatalf("%d calls after one failure, want 1", n)
		}
		f.peers[1].silent.Store(true)
		for i := range 2 {
			if n := exchange(); n != 1 {
				t.Fatalf("%d calls at failure %d after a response, want 1", n, i+1)
			}
		}
		f.peers[1].silent.Store(false)
		f.peers[0].record(0, 1)
		time.Sleep(skipLoads - time.Millisecond)
		if n := exchange(); n != 0 {
			t.Errorf("%d calls less than 2 s after two failures, want none", n)
		}
		time.Sleep(time.Millisecond)
		if n := exchange(); n != 1 {
			t.Errorf("%d calls 2 s after two failures, want 1", n)
		}
		if failed := f.peers[0].counter("endpointload.exchanges.failed"); failed != 3 {
			t.Errorf("%d failed exchanges counted, want 3", failed)
		}
	})
}

// TestLoadReportsKeepTheirAge guards against reports that seem newer because of the time that messages take, and that count several
// times for the typical work time when they come back.
func TestLoadReportsKeepTheirAge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		names := []string{"a1", "a2", "a3", "a4", "a5", "a6", "a7", "a8"}
		f := newLoadFleet(t, names)
		defer f.stop()
		f.run(len(names))
		f.peers[0].record(0, 2)
		began := time.Now()
		for time.Since(began) < 2500*time.Millisecond {
			time.Sleep(100 * time.Millisecond)
			for _, p := range f.peers {
				if v, ok := p.config.Loads.View(loadEndpoint(0), time.Now()); ok && v.Age < time.Since(began) {
					t.Fatalf("%s has a report of age %v that is %v old", p.name, v.Age, time.Since(began))
				}
			}
		}
		if merged := f.peers[0].counter("endpointload.statements.merged"); merged != 0 {
			t.Errorf("%d statements merged by the instance that made the only report", merged)
		}
	})
}

// TestInvalidLoadReportsAreDropped guards against a peer that passes on impossible values.
func TestInvalidLoadReportsAreDropped(t *testing.T) {
	Convey("impossible values of a peer are dropped and counted, and the rest of its message is merged", t, func() {
		m := New(Config{Self: &api.FleetMember{}, Clock: clockwork.NewFakeClock(), Metrics: metrics.NewRegistry()})
		reply, err := m.ExchangeLoads(t.Context(), &api.EndpointReports{Loads: []*api.EndpointReport{
			{Endpoint: "i-1", Running: -1}, {Endpoint: "i-2", WorkTime: 101}, {Endpoint: "i-3", Age: durationpb.New(-time.Second)}, {},
			{Endpoint: "i-4", Running: 2, Slots: 8, WorkTime: 1.7, Age: durationpb.New(time.Second)},
		}})
		So(err, ShouldBeNil)
		So(reply.Loads, ShouldBeEmpty)
		view, ok := m.config.Loads.View(registry.Endpoint{ID: "i-4"}, m.config.Clock.Now())
		So(ok, ShouldBeTrue)
		So(view.Report, ShouldResemble, endpointload.Report{Running: 2, Slots: 8, WorkTime: 1.7})
		So(descLoadDropped.Counter(m.config.Metrics).Count(), ShouldEqual, 4)
		So(descLoadMerged.Counter(m.config.Metrics).Count(), ShouldEqual, 1)
	})
}

// freshness returns the share of the instances' views of endpoints that are fresh, and their mean age.
func (f *loadFleet) freshness(endpoints int) (share float64, age time.Duration) {
	count := 0
	for _, p := range f.peers {
		for i := range endpoints {
			if v, ok := p.config.Loads.View(loadEndpoint(i), time.Now()); ok && v.Fresh() {
				age += v.Age
				count++
			}
		}
	}
	return float64(count) / float64(len(f.peers)*endpoints), age / time.Duration(max(count, 1))
}

// fleetNames returns the names of n instances in three domains.
func fleetNames(n int) (names []string) {
	for i := range n {
		names = append(names, fmt.Sprintf("%c%d", 'a'+i%3, i/3))
	}
	return names
}

// maxSpreadTime is how long 19 of 20 reports may take to all instances of their domain: after reportTTL they say nothing about the
// queue. The peers are random, so that a few reports take longer.
const maxSpreadTime = 3 * time.Second

// TestLoadReportReachesDomain measures how long a report takes to all 30 instances of a domain.
func TestLoadReportReachesDomain(t *testing.T) {
	var total, worst time.Duration
	plays, late := 40, 0
	if testing.Short() {
		plays = 20
	}
	for play := range plays {
		synctest.Test(t, func(t *testing.T) {
			f := newLoadFleet(t, fleetNames(90))
			defer f.stop()
			f.run(len(f.peers))
			// The table of each instance is active: it knows another endpoint's work time.
			for _, p := range f.peers {
				p.record(100, 1)
			}
			time.Sleep(time.Second)
			f.peers[0].record(play, 1.7)
			began := time.Now()
			reached := func() bool {
				for _, p := range f.peers {
					if p.name[0] == 'a' && !p.knows(play) {
						return false
					}
				}
				return true
			}
			for !reached() && time.Since(began) < maxSpreadTime {
				time.Sleep(10 * time.Millisecond)
			}
			if time.Since(began) >= maxSpreadTime {
				late++
			}
			total, worst = total+time.Since(began), max(worst, time.Since(began))
		})
	}
	t.Logf("a report reaches a domain of 30 within %v on average, %v at most (%d plays)", total/time.Duration(plays), worst, plays)
	if late > plays/20 {
		t.Errorf("%d of %d reports had not reached all 30 instances of their domain within %v", late, plays, maxSpreadTime)
	}
}

// maxLoadMessage and maxLoadBandwidth bound a message, and the bytes per second that an instance sends and receives: it begins two
// exchanges a second and responds to two, of two messages each. The links of instances carry at least 10 Mbit/s.
const (
	maxLoadMessage   = 8 << 10
	maxLoadBandwidth = 2 * 2 * 2 * (maxLoadMessage + 512)
)

// TestLoadExchangeBandwidth measures the bytes of a message and of all messages per instance with 140 endpoints that respond to 4.5
// requests per second each. It guards against messages that grow with the fleet.
func TestLoadExchangeBandwidth(t *testing.T) {
	const endpoints, interval, warmUp, measured = 140, 222 * time.Millisecond, 5 * time.Second, 10 * time.Second
	for _, size := range []int{8, 90, 195, 390} {
		if testing.Short() && size > 90 {
			continue
		}
		synctest.Test(t, func(t *testing.T) {
			f := newLoadFleet(t, fleetNames(size))
			defer f.stop()
			f.run(size)
			var before int64
			for began := time.Now(); time.Since(began) < warmUp+measured; time.Sleep(interval) {
				if time.Since(began) < warmUp {
					before = f.bytes.Load()
				}
				for i := range endpoints {
					f.peers[rand.N(size)].record(i, 1)
				}
			}
			// Each byte is sent by one instance and received by another.
			perInstance := float64(2*(f.bytes.Load()-before)) / float64(size) / measured.Seconds()
			fresh, age := f.freshness(endpoints)
			t.Logf("%3d instances: largest message %d bytes, at most %d reports, %.0f bytes per instance and second sent and received, %.1f%% of reports fresh, of a mean age of %v",
				size, f.largest.Load(), f.most.Load(), perInstance, 100*fresh, age)
			if f.largest.Load() > maxLoadMessage {
				t.Errorf("%d instances: the largest message has %d bytes, at most %d are allowed", size, f.largest.Load(), maxLoadMessage)
			}
			if perInstance > maxLoadBandwidth {
				t.Errorf("%d instances: %.0f bytes per instance and second, at most %d are allowed", size, perInstance, maxLoadBandwidth)
			}
		})
	}
}

// TestSeldomReportsReachInstances guards against reports of endpoints with few requests, such as slow ones, that are never passed on
// because newer ones of other endpoints fill all messages. Within half a minute an instance then knows the speed of 19 of 20.
func TestSeldomReportsReachInstances(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const busy, seldom = 100, 40
		size := 69
		if testing.Short() {
			size = 24
		}
		f := newLoadFleet(t, fleetNames(size))
		defer f.stop()
		f.run(len(f.peers))
		recordBusy := func(d time.Duration) {
			for began := time.Now(); time.Since(began) < d; time.Sleep(222 * time.Millisecond) {
				for i := range busy {
					f.peers[rand.N(len(f.peers))].record(i, 1)
				}
			}
		}
		recordBusy(5 * time.Second)
		for i := range seldom {
			f.peers[rand.N(len(f.peers))].record(busy+i, 2.4)
		}
		recordBusy(30 * time.Second)
		known := 0
		for _, p := range f.peers {
			for i := range seldom {
				if v, ok := p.config.Loads.View(loadEndpoint(busy+i), time.Now()); ok && v.TypicalWorkTime == 2.4 {
					known++
				}
			}
		}
		share := float64(known) / float64(seldom*len(f.peers))
		t.Logf("%.1f%% of the speeds of endpoints that reported once are known", 100*share)
		if share < 0.95 {
			t.Errorf("only %.1f%% of the speeds of endpoints that reported once are known, want 95%%", 100*share)
		}
	})
}
