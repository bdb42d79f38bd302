package bench

import (
	"context"
	"fmt"
	"io"
	"runtime"
	"strings"
	"syscall"
	"text/tabwriter"
	"time"

	"google.golang.org/protobuf/proto"

	"pumiceshelf/api"
	"pumiceshelf/bundle"
	"pumiceshelf/internal/fleet"
)

const (
	// idleWindow is how long an idle fleet is watched.
	idleWindow = 5 * time.Second
	// idleSettle is the time that a fleet gets to come to rest first.
	idleSettle = 2 * time.Second
	// budgetsPerCustomer is about that of the target: 13,000 budgets of 2,100 customers.
	budgetsPerCustomer = 6
)

// idleCost is what an instance of an idle fleet costs.
type idleCost struct {
	instances     int
	cpuPercent    float64
	heapBytes     float64
	controlBytes  float64
	platformCalls float64
}

// Capacity measures the slopes behind docs/CAPACITY.md and prints a table for each.
func Capacity(ctx context.Context, out io.Writer) error {
	if err := idleTable(ctx, out); err != nil {
		return err
	}
	if err := loadTable(ctx, out); err != nil {
		return err
	}
	return bundleTable(out)
}

// idleTable measures idle fleets of growing size, with default settings, in three failure domains.
func idleTable(ctx context.Context, out io.Writer) error {
	fmt.Fprintln(out, "idle fleet, per instance: CPU of a core, heap, control bytes a second, platform calls a second")
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "instances\tcpu %\theap KB\tbytes/s\tcalls/s\t")
	var costs []idleCost
	for _, perDomain := range []int{2, 4, 8, 16} {
		c, err := idle(ctx, perDomain)
		if err != nil {
			return err
		}
		costs = append(costs, c)
		fmt.Fprintf(w, "%d\t%.3f\t%.0f\t%.0f\t%.2f\t\n", c.instances, c.cpuPercent, c.heapBytes/1024, c.controlBytes, c.platformCalls)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	first, last := costs[0], costs[len(costs)-1]
	grown := float64(last.instances - first.instances)
	fmt.Fprintf(out, "slope per further instance: cpu %+.4f %%, heap %+.1f KB, %+.1f bytes/s, %+.4f calls/s\n\n",
		(last.cpuPercent-first.cpuPercent)/grown, (last.heapBytes-first.heapBytes)/grown/1024,
		(last.controlBytes-first.controlBytes)/grown, (last.platformCalls-first.platformCalls)/grown)
	return nil
}

func idle(ctx context.Context, perDomain int) (idleCost, error) {
	c := fleet.Deployment(fleet.AlWusta)
	c.InstancesPerDomain = perDomain
	c.Customers = []fleet.Customer{{ID: customers[0], Tokens: plenty}}
	before := heap()
	f, err := fleet.Start(ctx, c)
	if err != nil {
		return idleCost{}, err
	}
	defer f.Close()
	sleep(ctx, idleSettle)
	count := float64(len(f.Members()))
	bytes, calls, cpu := f.Network.Bytes(controlLinks), f.Objects.Calls(), cpuTime()
	sleep(ctx, idleWindow)
	spent, after := cpuTime()-cpu, f.Objects.Calls()
	seconds := idleWindow.Seconds()
	total := after.Reads + after.Writes + after.Watches - calls.Reads - calls.Writes - calls.Watches
	return idleCost{
		instances:     int(count),
		cpuPercent:    100 * spent.Seconds() / seconds / count,
		heapBytes:     float64(heap()-before) / count,
		controlBytes:  float64(f.Network.Bytes(controlLinks)-bytes) / seconds / count,
		platformCalls: float64(total) / seconds / count,
	}, nil
}

// loadTable measures what requests add to control, at growing rates, half of them with keys.
func loadTable(ctx context.Context, out io.Writer) error {
	fmt.Fprintln(out, "load on six instances: platform calls a second, control bytes a request, CPU a request with stand-ins and callers")
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "requests/s\tanswered\twrites/s\treads/s\tpeer bytes/request\tplatform bytes/request\tcpu us/request\t")
	for _, rate := range []float64{25, 50, 100, 200, 400} {
		if err := loadRow(ctx, w, rate); err != nil {
			return err
		}
	}
	fmt.Fprintln(w)
	return w.Flush()
}

func loadRow(ctx context.Context, w io.Writer, rate float64) error {
	l := steady()
	l.perSecond = rate
	e := Experiment{Name: "capacity", load: l, tokens: plenty, faults: only()}
	r := newRun(e, 1, "")
	c := config(e, 1, "")
	c.Adjust = func(s *api.Settings) { s.Platform.CallsPerSecond = 100 }
	f, err := fleet.Start(ctx, c)
	if err != nil {
		return err
	}
	defer f.Close()
	r.Fleet = f
	sleep(ctx, idleSettle)
	peers, stores := f.Network.Bytes(peerLinks), f.Network.Bytes(platformLinks)
	calls, cpu, start := f.Objects.Calls(), cpuTime(), time.Now()
	r.drive(ctx, l.requests(r.rng, f.ModelIDs()))
	after, seconds, count := f.Objects.Calls(), time.Since(start).Seconds(), float64(len(r.requests))
	answered := 0
	for _, q := range r.requests {
		if q.reply.Outcome == fleet.Answered {
			answered++
		}
	}
	fmt.Fprintf(w, "%.0f\t%d/%.0f\t%.1f\t%.1f\t%.0f\t%.0f\t%.0f\t\n", rate, answered, count,
		float64(after.Writes-calls.Writes)/seconds, float64(after.Reads-calls.Reads)/seconds,
		float64(f.Network.Bytes(peerLinks)-peers)/count, float64(f.Network.Bytes(platformLinks)-stores)/count,
		float64((cpuTime()-cpu).Microseconds())/count)
	return nil
}

// platformLinks are the links to the platform.
func platformLinks(_, to fleet.Site) bool { return to == fleet.PlatformSite }

// peerLinks are the links between instances.
func peerLinks(from, to fleet.Site) bool {
	return from != fleet.CallerSite && to != fleet.PlatformSite &&
		!strings.Contains(string(to), "engine") && !strings.Contains(string(to), "plain")
}

// controlLinks are all links that carry no request.
func controlLinks(from, to fleet.Site) bool { return platformLinks(from, to) || peerLinks(from, to) }

// bundleTable measures what a bundle costs as customers grow to those of the target.
func bundleTable(out io.Writer) error {
	fmt.Fprintln(out, "bundle: bytes in force, time to compile, bytes that a top-up of one customer moves")
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "customers\tbudgets\theap KB\tcompile ms\tall parts KB\tchange bytes\t")
	for _, count := range []int{10, 500, 1000, 2100} {
		b := bigBundle(count)
		_, parts := bundle.Split(b)
		before, start := heap(), time.Now()
		s := bundle.Compile(b)
		elapsed, size := time.Since(start), heap()-before
		runtime.KeepAlive(s)
		fmt.Fprintf(w, "%d\t%d\t%.0f\t%.1f\t%.0f\t%d\t\n", count, count*budgetsPerCustomer, float64(size)/1024,
			float64(elapsed.Microseconds())/1000, float64(totalSize(parts))/1024, changeSize(b, parts))
	}
	return w.Flush()
}

// bigBundle returns a bundle with many customers.
func bigBundle(count int) *api.Bundle {
	b := &api.Bundle{Number: 1}
	for i := range count {
		id := fmt.Sprintf("customer-%04d", i)
		hash := bundle.HashKey(fleet.Key(id))
		c := &api.Customer{Id: id, KeyHashes: [][]byte{hash[:]}, Weight: 1}
		for j := range budgetsPerCustomer {
			c.Budgets = append(c.Budgets, &api.Budget{Id: fmt.Sprintf("budget-%d", j), Grants: []*api.Grant{{Id: "first", Tokens: plenty}}})
		}
		b.Customers = append(b.Customers, c)
	}
	return b
}

// changeSize returns the bytes of manifest and parts that differ after one customer's top-up.
func changeSize(b *api.Bundle, old [][]byte) int {
	known := make(map[string]bool, len(old))
	for _, p := range old {
		known[string(p)] = true
	}
	next := proto.Clone(b).(*api.Bundle)
	next.Number++
	grants := &next.Customers[0].Budgets[0].Grants
	*grants = append(*grants, &api.Grant{Id: "second", Tokens: topUpTokens})
	manifest, parts := bundle.Split(next)
	size := proto.Size(manifest)
	for _, p := range parts {
		if !known[string(p)] {
			size += len(p)
		}
	}
	return size
}

func totalSize(parts [][]byte) int {
	sum := 0
	for _, p := range parts {
		sum += len(p)
	}
	return sum
}

// heap returns the bytes of live objects.
func heap() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// cpuTime returns the CPU time that this process has used.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
