package peer

import (
	"context"
	"fmt"
	"net"
	"runtime"
	"sort"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"
	"google.golang.org/protobuf/types/known/durationpb"

	"pumiceshelf/api"
	"pumiceshelf/instance"
	"pumiceshelf/internal/standin"
)

// BenchmarkFleet reports the cost of membership per instance and the time to detect a crash, with the default settings
// on loopback. Run with -benchtime=1x.
func BenchmarkFleet(b *testing.B) {
	for _, size := range []struct{ members, domains int }{{6, 3}, {24, 3}, {96, 8}, {160, 8}} {
		b.Run(fmt.Sprintf("members=%d/domains=%d", size.members, size.domains), func(b *testing.B) {
			for b.Loop() {
				measureFleet(b, size.members, size.domains)
			}
		})
	}
}

// byteCounter counts the bytes read and written on dialed connections.
type byteCounter struct{ bytes atomic.Int64 }

type countedConn struct {
	net.Conn
	counter *byteCounter
}

func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.counter.bytes.Add(int64(n))
	return n, err
}

func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.counter.bytes.Add(int64(n))
	return n, err
}

func (w *byteCounter) dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := defaultDialer().DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return countedConn{Conn: conn, counter: w}, nil
}

type benchFleet struct {
	nodes   []*node
	counter byteCounter
	objects *standin.Objects
}

func startBenchFleet(b *testing.B, members, domains int) *benchFleet {
	f := &benchFleet{objects: standin.NewObjects()}
	list := &api.InstanceList{}
	var listeners []net.Listener
	for n := range members {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		listeners = append(listeners, l)
		name := fmt.Sprintf("entry-%03d", n)
		list.Instances = append(list.Instances, &api.Instance{
			Name: name, Incarnation: string(instance.NewIncarnation(name)), Domain: fmt.Sprint("domain-", n%domains),
			Region: "region-1", PeerAddress: l.Addr().String(), AdminAddress: "127.0.0.1:9999",
		})
	}
	f.objects.SetInstances(list)
	for n, inst := range list.Instances {
		f.nodes = append(f.nodes, f.start(inst, listeners[n]))
	}
	return f
}

func (f *benchFleet) start(inst *api.Instance, l net.Listener) *node {
	n := &node{inst: inst, metrics: metrics.NewRegistry()}
	n.Fleet = New(Config{
		Settings: &api.PeerSettings{
			HeartbeatInterval: durationpb.New(500 * time.Millisecond),
			FailureTimeout:    durationpb.New(2 * time.Second),
			HeartbeatFanout:   8,
		},
		Self:    inst,
		Clock:   clockwork.NewRealClock(),
		Log:     &log.Logger{Handler: discard.New(), Level: log.FatalLevel},
		Metrics: n.metrics,
		Lister:  f.objects.Client(inst.Name),
		Dial:    f.counter.dial,
	})
	ctx, cancel := context.WithCancel(context.Background())
	var done sync.WaitGroup
	done.Go(func() { _ = n.Serve(ctx, l) })
	done.Go(func() { _ = n.Run(ctx) })
	var once sync.Once
	n.kill = func() { once.Do(func() { cancel(); done.Wait() }) }
	return n
}

func (f *benchFleet) sent() int64 {
	var sum int64
	for _, n := range f.nodes {
		sum += descHeartbeatsSent.Counter(n.metrics).Count()
	}
	return sum
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

const measureDuration = 8 * time.Second

func measureFleet(b *testing.B, members, domains int) {
	base := heapBytes()
	f := startBenchFleet(b, members, domains)
	warmUp := 5*time.Second + time.Duration(members)*80*time.Millisecond
	time.Sleep(warmUp)
	sent, bytes, cpu, calls := f.sent(), f.counter.bytes.Load(), cpuTime(), f.objects.Calls().Reads
	time.Sleep(measureDuration)
	instanceSeconds := measureDuration.Seconds() * float64(members)
	b.ReportMetric(float64(f.sent()-sent)/instanceSeconds, "heartbeats/s")
	b.ReportMetric(float64(f.counter.bytes.Load()-bytes)/instanceSeconds, "B/s")
	b.ReportMetric(100*(cpuTime()-cpu).Seconds()/instanceSeconds, "core-%")
	b.ReportMetric(float64(f.objects.Calls().Reads-calls)/measureDuration.Seconds(), "list-reads/s")
	b.ReportMetric(float64(heapBytes()-base)/float64(members)/1024, "heap-KB")
	f.reportDetection(b)
	b.ReportMetric(0, "ns/op")
	var stopping sync.WaitGroup
	for _, n := range f.nodes {
		stopping.Go(n.kill)
	}
	stopping.Wait()
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// reportDetection stops an instance and reports how long the others take to treat it as failed.
func (f *benchFleet) reportDetection(b *testing.B) {
	stopped := f.nodes[0]
	stoppedAt := time.Now()
	go stopped.kill()
	inside, outside := []time.Duration{}, []time.Duration{}
	detected := make(map[*node]bool)
	for time.Since(stoppedAt) < eventuallyTimeout && len(detected) < len(f.nodes)-1 {
		for _, n := range f.nodes[1:] {
			if detected[n] || !memberStateIs(n, stopped, false)() {
				continue
			}
			detected[n] = true
			if n.inst.Domain == stopped.inst.Domain {
				inside = append(inside, time.Since(stoppedAt))
			} else {
				outside = append(outside, time.Since(stoppedAt))
			}
		}
		time.Sleep(5 * time.Millisecond)
	}
	b.ReportMetric(maxSeconds(inside), "own-domain-s")
	b.ReportMetric(maxSeconds(outside), "others-s")
	b.ReportMetric(float64(len(f.nodes)-1-len(detected)), "unseen")
}

func maxSeconds(list []time.Duration) float64 {
	if len(list) == 0 {
		return 0
	}
	sort.Slice(list, func(i, j int) bool { return list[i] < list[j] })
	return list[len(list)-1].Seconds()
}
