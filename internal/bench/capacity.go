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
	// idleMeasureTime is how long the cost of an idle fleet is measured.
	idleMeasureTime = 5 * time.Second
	// idleWarmUpTime passes between the start of a fleet and a measurement, so that the work of starting is not measured.
	idleWarmUpTime = 2 * time.Second
	// budgetsPerCustomer approximates the target size of 13,000 budgets for 2,100 customers.
	budgetsPerCustomer = 6
)

// idleCost is the cost per instance of an idle fleet; controlBytes and platformCalls are per second.
type idleCost struct {
	instances     int
	cpuPercent    float64
	heapBytes     float64
	controlBytes  float64
	platformCalls float64
}

// Capacity measures how costs grow with instances, load and customers, and prints a table for each.
// docs/CAPACITY.md is based on them.
func Capacity(ctx context.Context, out io.Writer) error {
	if err := printIdleTable(ctx, out); err != nil {
		return err
	}
	if err := printLoadTable(ctx, out); err != nil {
		return err
	}
	return printBundleTable(out)
}

// printIdleTable measures idle fleets of increasing size with default settings in three failure domains.
func printIdleTable(ctx context.Context, out io.Writer) error {
	fmt.Fprintln(out, "idle fleet, per instance: CPU of a core, heap, control bytes a second, platform calls a second")
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "instances\tcpu %\theap KB\tbytes/s\tcalls/s\t")
	var costs []idleCost
	for _, perDomain := range []int{2, 4, 8, 16} {
		c, err := measureIdle(ctx, perDomain)
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
	added := float64(last.instances - first.instances)
	fmt.Fprintf(out, "slope per further instance: cpu %+.4f %%, heap %+.1f KB, %+.1f bytes/s, %+.4f calls/s\n\n",
		(last.cpuPercent-first.cpuPercent)/added, (last.heapBytes-first.heapBytes)/added/1024,
		(last.controlBytes-first.controlBytes)/added, (last.platformCalls-first.platformCalls)/added)
	return nil
}

func measureIdle(ctx context.Context, perDomain int) (idleCost, error) {
	c := fleet.DeploymentConfig(fleet.AlWusta)
	c.InstancesPerDomain = perDomain
	c.Customers = []fleet.Customer{{ID: customers[0], Tokens: ampleTokens}}
	before := liveHeapBytes()
	f, err := fleet.Start(ctx, c)
	if err != nil {
		return idleCost{}, err
	}
	defer f.Close()
	sleep(ctx, idleWarmUpTime)
	count := float64(len(f.Instances()))
	bytes, calls, cpu := f.Network.Bytes(isControlLink), f.Objects.Calls(), cpuTime()
	sleep(ctx, idleMeasureTime)
	cpuUsed, after := cpuTime()-cpu, f.Objects.Calls()
	seconds := idleMeasureTime.Seconds()
	total := after.Reads + after.Writes + after.Watches - calls.Reads - calls.Writes - calls.Watches
	return idleCost{
		instances:     int(count),
		cpuPercent:    100 * cpuUsed.Seconds() / seconds / count,
		heapBytes:     float64(liveHeapBytes()-before) / count,
		controlBytes:  float64(f.Network.Bytes(isControlLink)-bytes) / seconds / count,
		platformCalls: float64(total) / seconds / count,
	}, nil
}

// printLoadTable measures the control traffic and CPU time per request at increasing rates; half of the requests have
// idempotency keys.
func printLoadTable(ctx context.Context, out io.Writer) error {
	fmt.Fprintln(out, "load on six instances: platform calls a second, control bytes a request, CPU a request with stand-ins and callers")
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "requests/s\tanswered\twrites/s\treads/s\tpeer bytes/request\tplatform bytes/request\tcpu us/request\t")
	for _, rate := range []float64{25, 50, 100, 200, 400} {
		if err := printLoadRow(ctx, w, rate); err != nil {
			return err
		}
	}
	fmt.Fprintln(w)
	return w.Flush()
}

func printLoadRow(ctx context.Context, w io.Writer, rate float64) error {
	l := steadyLoad()
	l.perSecond = rate
	e := Experiment{Name: "capacity", load: l, budgetTokens: ampleTokens, faults: fixedFaults()}
	r := newRun(e, 1, "")
	c := fleetConfig(e, 1, "")
	c.AdjustSettings = func(s *api.Settings) { s.Platform.CallsPerSecond = 100 }
	f, err := fleet.Start(ctx, c)
	if err != nil {
		return err
	}
	defer f.Close()
	r.Fleet = f
	sleep(ctx, idleWarmUpTime)
	peerBytes, platformBytes := f.Network.Bytes(isPeerLink), f.Network.Bytes(isPlatformLink)
	calls, cpu, start := f.Objects.Calls(), cpuTime(), time.Now()
	r.sendRequests(ctx, l.requests(r.rng, f.ModelIDs()))
	after, seconds, count := f.Objects.Calls(), time.Since(start).Seconds(), float64(len(r.requests))
	answered := 0
	for _, q := range r.requests {
		if q.reply.Outcome == fleet.Answered {
			answered++
		}
	}
	fmt.Fprintf(w, "%.0f\t%d/%.0f\t%.1f\t%.1f\t%.0f\t%.0f\t%.0f\t\n", rate, answered, count,
		float64(after.Writes-calls.Writes)/seconds, float64(after.Reads-calls.Reads)/seconds,
		float64(f.Network.Bytes(isPeerLink)-peerBytes)/count, float64(f.Network.Bytes(isPlatformLink)-platformBytes)/count,
		float64((cpuTime()-cpu).Microseconds())/count)
	return nil
}

// isPlatformLink reports whether a link leads to the platform.
func isPlatformLink(_, to fleet.Site) bool { return to == fleet.PlatformSite }

// isPeerLink reports whether a link connects two instances.
func isPeerLink(from, to fleet.Site) bool {
	return from != fleet.CallerSite && to != fleet.PlatformSite &&
		!strings.Contains(string(to), "engine") && !strings.Contains(string(to), "plain")
}

// isControlLink reports whether a link carries control traffic and no requests.
func isControlLink(from, to fleet.Site) bool { return isPlatformLink(from, to) || isPeerLink(from, to) }

// printBundleTable measures the size and compile time of bundles, up to the target number of customers.
func printBundleTable(out io.Writer) error {
	fmt.Fprintln(out, "bundle: heap of the compiled bundle, time to compile, bytes that a top-up of one customer transfers")
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "customers\tbudgets\theap KB\tcompile ms\tall parts KB\tchange bytes\t")
	for _, count := range []int{10, 500, 1000, 2100} {
		b := bundleWithCustomers(count)
		_, parts := bundle.Split(b)
		before, start := liveHeapBytes(), time.Now()
		s := bundle.Compile(b)
		elapsed, size := time.Since(start), liveHeapBytes()-before
		runtime.KeepAlive(s)
		fmt.Fprintf(w, "%d\t%d\t%.0f\t%.1f\t%.0f\t%d\t\n", count, count*budgetsPerCustomer, float64(size)/1024,
			float64(elapsed.Microseconds())/1000, float64(totalBytes(parts))/1024, topUpBytes(b, parts))
	}
	return w.Flush()
}

// bundleWithCustomers returns a bundle with the given number of customers.
func bundleWithCustomers(count int) *api.Bundle {
	b := &api.Bundle{Number: 1}
	for i := range count {
		id := fmt.Sprintf("customer-%04d", i)
		hash := bundle.HashKey(fleet.APIKey(id))
		c := &api.Customer{Id: id, KeyHashes: [][]byte{hash[:]}, Weight: 1}
		for j := range budgetsPerCustomer {
			c.Budgets = append(c.Budgets, &api.Budget{Id: fmt.Sprintf("budget-%d", j), Grants: []*api.Grant{{Id: "first", Tokens: ampleTokens}}})
		}
		b.Customers = append(b.Customers, c)
	}
	return b
}

// topUpBytes returns the size of the manifest and of the parts that change when one customer's budget is topped up.
func topUpBytes(b *api.Bundle, oldParts [][]byte) int {
	unchanged := make(map[string]bool, len(oldParts))
	for _, p := range oldParts {
		unchanged[string(p)] = true
	}
	next := proto.Clone(b).(*api.Bundle)
	next.Number++
	grants := &next.Customers[0].Budgets[0].Grants
	*grants = append(*grants, &api.Grant{Id: "second", Tokens: topUpTokens})
	manifest, parts := bundle.Split(next)
	size := proto.Size(manifest)
	for _, p := range parts {
		if !unchanged[string(p)] {
			size += len(p)
		}
	}
	return size
}

func totalBytes(parts [][]byte) int {
	sum := 0
	for _, p := range parts {
		sum += len(p)
	}
	return sum
}

// liveHeapBytes returns the size of all live heap objects.
func liveHeapBytes() int64 {
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
