package admit

import (
	"context"
	"fmt"
	"runtime"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// naive is the queue as a flat list that is searched anew for each step.
type naive struct {
	list    []*waiter
	start   map[string]float64
	since   map[string]uint64
	virtual [Classes]float64
	passed  [Classes]int
}

func key(w *waiter) string { return fmt.Sprint(w.item.Class, w.item.Customer) }

func (n *naive) count(f func(*waiter) bool) int {
	c := 0
	for _, w := range n.list {
		if f(w) {
			c++
		}
	}
	return c
}

func (n *naive) waits(c Class) bool {
	return n.count(func(w *waiter) bool { return w.item.Class == c }) > 0
}

func (n *naive) push(w *waiter) {
	same := func(o *waiter) bool { return key(o) == key(w) }
	if !n.waits(w.item.Class) {
		n.virtual[w.item.Class] = 0
		for c := range n.start {
			if c[0] == key(w)[0] {
				delete(n.start, c)
			}
		}
	}
	if n.count(same) == 0 {
		n.start[key(w)] = max(n.start[key(w)], n.virtual[w.item.Class])
		n.since[key(w)] = w.sequence
	}
	n.list = append(n.list, w)
}

func (n *naive) remove(w *waiter) {
	n.list = slices.DeleteFunc(n.list, func(o *waiter) bool { return o == w })
}

// head searches all requests for the one to go next.
func (n *naive) head() *waiter {
	class := Class(-1)
	for c := Batch; c > 0; c-- {
		if class < 0 && n.passed[c] >= turnsPerLower && n.waits(c) {
			class = c
		}
	}
	for c := Interactive; c < Classes; c++ {
		if class < 0 && n.waits(c) {
			class = c
		}
	}
	var best *waiter
	for _, w := range n.list {
		if w.item.Class == class && (best == nil || n.before(w, best)) {
			best = w
		}
	}
	return best
}

func (n *naive) before(a, b *waiter) bool {
	if key(a) == key(b) {
		return later(b, a)
	}
	if n.start[key(a)] != n.start[key(b)] {
		return n.start[key(a)] < n.start[key(b)]
	}
	return n.since[key(a)] < n.since[key(b)]
}

func (n *naive) take(w *waiter) {
	c := w.item.Class
	n.virtual[c] = max(n.virtual[c], n.start[key(w)])
	n.start[key(w)] += float64(max(w.item.Cost, 1)) / float64(max(w.item.Weight, 1))
	n.remove(w)
	n.passed[c] = 0
	for l := c + 1; l < Classes; l++ {
		if n.waits(l) {
			n.passed[l]++
		}
	}
}

// TestAgainstNaive gives the same steps to the queue and to the naive one and compares each choice.
func TestAgainstNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		bound := limits{waiting: 6, bytes: 60}
		q := newQueues(bound)
		n := &naive{start: map[string]float64{}, since: map[string]uint64{}}
		now := epoch
		var inFlight []Item
		for i := range rapid.IntRange(1, 80).Draw(t, "steps") {
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0, 1, 2:
				customer := rapid.IntRange(0, 3).Draw(t, "customer")
				w := &waiter{item: Item{
					RequestID: fmt.Sprint(i), Customer: fmt.Sprint(customer), Weight: uint32(customer), Group: "g",
					Class:    Class(rapid.IntRange(0, 2).Draw(t, "class")),
					Deadline: now.Add(time.Duration(rapid.IntRange(1, 20).Draw(t, "deadline")) * time.Second),
					Bytes:    rapid.IntRange(0, 20).Draw(t, "bytes"),
					Cost:     uint64(rapid.IntRange(0, 50).Draw(t, "cost")),
				}}
				refused, displaced := q.push(now, w, 1000)
				for _, d := range displaced {
					n.remove(d)
					if d.item.Class < w.item.Class {
						t.Fatalf("class %d displaced class %d", w.item.Class, d.item.Class)
					}
				}
				if refused == 0 {
					n.push(w)
				}
			case 3:
				w := q.group("g").head(now, 1000)
				if w != n.head() {
					t.Fatalf("step %d: chose %v, naive %v", i, w, n.head())
				}
				if w != nil {
					q.take(now, w)
					n.take(w)
					inFlight = append(inFlight, w.item)
				}
			case 4:
				now = now.Add(time.Duration(rapid.IntRange(0, 4000).Draw(t, "ms")) * time.Millisecond)
				for _, w := range q.expire(now) {
					if w.item.Deadline.After(now) {
						t.Fatal("refused too early")
					}
					n.remove(w)
				}
				if n.count(func(w *waiter) bool { return !w.item.Deadline.After(now) }) > 0 {
					t.Fatal("a request waits after its deadline")
				}
			case 5:
				if len(inFlight) > 0 {
					q.finish(now, inFlight[0], Result{}, 1000)
					inFlight = inFlight[1:]
				}
			}
			bytes := 0
			for _, w := range n.list {
				bytes += w.item.Bytes
			}
			if q.waiting != len(n.list) || q.bytes != bytes || q.group("g").waiting() != len(n.list) {
				t.Fatalf("%d requests with %d bytes wait, naive %d with %d", q.waiting, q.bytes, len(n.list), bytes)
			}
		}
	})
}

// TestShares serves two customers with full queues and compares what they got with their weights.
func TestShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weights := []uint32{rapid.Uint32Range(1, 5).Draw(t, "a"), rapid.Uint32Range(1, 5).Draw(t, "b")}
		q := newQueues(limits{waiting: 800, bytes: 1})
		for i := range 400 {
			for c, weight := range weights {
				cost := uint64(100 + 300*c + i%7)
				q.push(epoch, &waiter{item: Item{Customer: fmt.Sprint(c), Weight: weight, Group: "g", Deadline: epoch.Add(time.Hour), Cost: cost}}, 1)
			}
		}
		got := map[string]float64{}
		for range 200 {
			w := q.group("g").head(epoch, 1)
			q.take(epoch, w)
			got[w.item.Customer] += float64(w.item.Cost)
		}
		a, b := got["0"]/float64(weights[0]), got["1"]/float64(weights[1])
		if diff := a - b; diff > 900 || diff < -900 {
			t.Fatalf("shares %v for weights %v", got, weights)
		}
	})
}

func benchItem(i int) Item {
	return Item{Customer: fmt.Sprint(i % 100), Weight: 1, Group: "g", Class: Class(i % 3), Deadline: epoch.Add(time.Hour + time.Duration(i)), Cost: 100, Bytes: 1}
}

// BenchmarkQueue pushes one request and takes one, with a number of requests waiting.
func BenchmarkQueue(b *testing.B) {
	for _, n := range []int{100, 1000, 10000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			q := newQueues(limits{waiting: n + 1, bytes: 1 << 40})
			before := heapBytes()
			for i := range n {
				q.push(epoch, &waiter{item: benchItem(i), answer: make(chan Ticket, 1)}, 16)
			}
			held := float64(heapBytes()-before) / float64(n)
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				w := q.group("g").head(epoch, 1<<20)
				q.take(epoch, w)
				q.finish(epoch, w.item, Result{}, 16)
				q.push(epoch, &waiter{item: benchItem(i)}, 16)
			}
			b.ReportMetric(held, "B/waiting")
		})
	}
}

func heapBytes() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkAdmit admits and ends one request while none waits.
func BenchmarkAdmit(b *testing.B) {
	c, clock := newController(&slots{places: 1 << 20}, 256, 1<<30)
	i := benchItem(0)
	i.Deadline = clock.Now().Add(time.Hour)
	b.ReportAllocs()
	for range b.N {
		t := c.Admit(context.Background(), i, Target{})
		t.Done(Result{Total: time.Second})
	}
}
