package quota

import (
	"context"
	"fmt"
	"net"
	"runtime"
	"strconv"
	"sync"
	"testing"
	"time"

	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcserver"

	"pumiceshelf/api"
	"pumiceshelf/budget"
	"pumiceshelf/bundle"
	"pumiceshelf/instance"
)

// newBenchFleet returns the holder and another instance of a domain, with a lease of a budget too large to be exhausted.
func newBenchFleet(b *testing.B) (holder, other *node) {
	f := newFleet(b, 1<<50)
	f.start("d1", "a")
	f.start("d1", "b")
	holder, other = f.holder("d1"), f.nonHolder("d1")
	holder.cfg.Policy = PolicyWriteOff
	pool := &pooledConns{testConns: testConns{f, other}, conns: make(map[string]*drpcconn.Conn)}
	other.cfg.Conns = pool
	b.Cleanup(pool.close)
	done := make(chan Reservation, 1)
	go func() {
		done <- holder.Reserve(context.Background(), Request{RequestID: "first", Budget: mainBudget, Bound: 1 << 40, MaxWait: time.Minute})
	}()
	f.await(done)
	return holder, other
}

func benchmarkReserveSettle(b *testing.B, n *node) {
	ctx := context.Background()
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		i++
		id := strconv.Itoa(i)
		r := n.Reserve(ctx, Request{RequestID: id, Budget: mainBudget, Model: "m", Bound: 1000, MaxWait: time.Second})
		if r.Outcome != Granted {
			b.Fatal(r)
		}
		n.Settle(ctx, Usage{RequestID: id, Budget: mainBudget, Model: "m", Generated: 1, Ran: true})
	}
}

// BenchmarkLocal measures a request at the holder itself.
func BenchmarkLocal(b *testing.B) {
	holder, _ := newBenchFleet(b)
	benchmarkReserveSettle(b, holder)
}

// BenchmarkRemote measures a request at another instance, over drpc on in-memory pipes.
func BenchmarkRemote(b *testing.B) {
	_, other := newBenchFleet(b)
	benchmarkReserveSettle(b, other)
}

// BenchmarkRemoteParallel measures concurrent requests at another instance, which are batched.
func BenchmarkRemoteParallel(b *testing.B) {
	_, other := newBenchFleet(b)
	ctx := context.Background()
	b.SetParallelism(32)
	b.ReportAllocs()
	b.RunParallel(func(p *testing.PB) {
		for p.Next() {
			id := strconv.FormatUint(other.requests.attempts.Load(), 36) + strconv.FormatInt(time.Now().UnixNano(), 36)
			if other.Reserve(ctx, Request{RequestID: id, Budget: mainBudget, Bound: 1000, MaxWait: time.Second}).Outcome != Granted {
				b.Error("reservation refused")
			}
			other.Settle(ctx, Usage{RequestID: id, Budget: mainBudget, Generated: 1, Ran: true})
		}
	})
}

// BenchmarkState reports memory per budget with a lease, per witnessed lease, per open request and per queued record.
func BenchmarkState(b *testing.B) {
	const budgets = 2000
	list := make([]*api.Budget, budgets)
	for i := range list {
		list[i] = &api.Budget{Id: fmt.Sprint("b", i), Grants: []*api.Grant{{Id: "g", Tokens: 1000}}}
	}
	snap := bundle.Compile(&api.Bundle{Customers: []*api.Customer{{Id: "c", Budgets: list}}})
	for b.Loop() {
		f := newFleet(b, 1000)
		f.bundles.snap = snap
		n := f.start("d1", "a")
		before := heapBytes()
		for _, x := range list {
			a := n.holder.account(budget.ID{Customer: "c", Budget: x.Id})
			a.lease = &heldLease{Lease: budget.NewLease(n.self.Incarnation + "/" + x.Id)}
			a.lease.Observe(1, &api.QuotaLease{Taken: 1000, Ceiling: 1000, Witnesses: []string{n.self.Incarnation}})
		}
		held := heapBytes()
		for _, x := range list {
			n.witness.Acknowledge(n.self.Incarnation, n.self.Incarnation+"/"+x.Id, 10)
		}
		witnessed := heapBytes()
		for i := range budgets {
			n.Reserve(context.Background(), Request{RequestID: strconv.Itoa(i), Budget: budget.ID{Customer: "c", Budget: list[i].Id}, Bound: 10})
		}
		open := heapBytes()
		for i := range budgets {
			n.Settle(context.Background(), Usage{RequestID: strconv.Itoa(i), Ran: true})
		}
		recorded := heapBytes()
		b.ReportMetric(float64(int64(open-witnessed))/budgets, "B/open-request")
		b.ReportMetric(float64(int64(recorded-witnessed))/budgets, "B/queued-record")
		b.ReportMetric(float64(int64(held-before))/budgets, "B/budget")
		b.ReportMetric(float64(int64(witnessed-held))/budgets, "B/witnessed-lease")
		runtime.KeepAlive(n)
	}
}

func heapBytes() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// pooledConns keeps one in-memory drpc connection per RPC, like the instances' connection pool.
type pooledConns struct {
	testConns
	mu    sync.Mutex
	conns map[string]*drpcconn.Conn
}

func (c *pooledConns) Conn(_ context.Context, i instance.Incarnation) (drpc.Conn, error) {
	return pooledConn{testConn{c.f, c.n.self.Incarnation, string(i)}, c}, nil
}

type pooledConn struct {
	testConn
	pool *pooledConns
}

func (c pooledConn) Invoke(ctx context.Context, rpc string, enc drpc.Encoding, in, out drpc.Message) error {
	c.pool.mu.Lock()
	conn := c.pool.conns[rpc]
	if conn == nil {
		n, _ := c.f.reachable(c.from, c.to)
		client, server := net.Pipe()
		go func() { _ = drpcserver.New(n.mux).ServeOne(context.Background(), server) }()
		conn = drpcconn.New(client)
		c.pool.conns[rpc] = conn
	}
	c.pool.mu.Unlock()
	return conn.Invoke(ctx, rpc, enc, in, out)
}

func (c *pooledConns) close() {
	for _, conn := range c.conns {
		_ = conn.Close()
	}
}

func leaseOf(tokens uint64) *api.QuotaLease { return &api.QuotaLease{Taken: tokens, Ceiling: tokens} }
