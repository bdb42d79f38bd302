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

// referenceModel implements the queue as a flat list that is searched at each step.
type referenceModel struct {
	list         []*waiter
	virtualStart map[string]float64
	waitingSince map[string]uint64
	virtualTime  [NumClasses]float64
	bypassed     [NumClasses]int
}

func customerKey(w *waiter) string { return fmt.Sprint(w.item.Class, w.item.Customer) }

func (n *referenceModel) count(f func(*waiter) bool) int {
	c := 0
	for _, w := range n.list {
		if f(w) {
			c++
		}
	}
	return c
}

func (n *referenceModel) hasWaiting(c Class) bool {
	return n.count(func(w *waiter) bool { return w.item.Class == c }) > 0
}

func (n *referenceModel) push(w *waiter) {
	same := func(o *waiter) bool { return customerKey(o) == customerKey(w) }
	if !n.hasWaiting(w.item.Class) {
		n.virtualTime[w.item.Class] = 0
		for c := range n.virtualStart {
			if c[0] == customerKey(w)[0] {
				delete(n.virtualStart, c)
			}
		}
	}
	if n.count(same) == 0 {
		n.virtualStart[customerKey(w)] = max(n.virtualStart[customerKey(w)], n.virtualTime[w.item.Class])
		n.waitingSince[customerKey(w)] = w.sequence
	}
	n.list = append(n.list, w)
}

func (n *referenceModel) remove(w *waiter) {
	n.list = slices.DeleteFunc(n.list, func(o *waiter) bool { return o == w })
}

// head searches all requests for the one to dispatch next.
func (n *referenceModel) head() *waiter {
	class := Class(-1)
	for c := Batch; c > 0; c-- {
		if class < 0 && n.bypassed[c] >= bypassesPerTurn && n.hasWaiting(c) {
			class = c
		}
	}
	for c := Interactive; c < NumClasses; c++ {
		if class < 0 && n.hasWaiting(c) {
			class = c
		}
	}
	var best *waiter
	for _, w := range n.list {
		if w.item.Class == class && (best == nil || n.servedBefore(w, best)) {
			best = w
		}
	}
	return best
}

func (n *referenceModel) servedBefore(a, b *waiter) bool {
	if customerKey(a) == customerKey(b) {
		return servedAfter(b, a)
	}
	if n.virtualStart[customerKey(a)] != n.virtualStart[customerKey(b)] {
		return n.virtualStart[customerKey(a)] < n.virtualStart[customerKey(b)]
	}
	return n.waitingSince[customerKey(a)] < n.waitingSince[customerKey(b)]
}

func (n *referenceModel) dispatch(w *waiter) {
	c := w.item.Class
	n.virtualTime[c] = max(n.virtualTime[c], n.virtualStart[customerKey(w)])
	n.virtualStart[customerKey(w)] += float64(max(w.item.Cost, 1)) / float64(max(w.item.Weight, 1))
	n.remove(w)
	n.bypassed[c] = 0
	for l := c + 1; l < NumClasses; l++ {
		if n.hasWaiting(l) {
			n.bypassed[l]++
		}
	}
}

// TestAgainstReferenceModel applies the same steps to the queue and to the reference model and compares their choices.
func TestAgainstReferenceModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		bounds := limits{waitingPerClass: 6, bytes: 60}
		q := newQueues(bounds)
		n := &referenceModel{virtualStart: map[string]float64{}, waitingSince: map[string]uint64{}}
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
					t.Fatalf("step %d: chose %v, reference model chose %v", i, w, n.head())
				}
				if w != nil {
					q.dispatchQueued(now, w)
					n.dispatch(w)
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
					t.Fatal("a request is still queued after its deadline")
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
				t.Fatalf("%d waiting requests hold %d bytes, in the reference model %d hold %d", q.waiting, q.bytes, len(n.list), bytes)
			}
		}
	})
}

// TestShares checks that two customers with full queues are served in proportion to their weights.
func TestShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weights := []uint32{rapid.Uint32Range(1, 5).Draw(t, "a"), rapid.Uint32Range(1, 5).Draw(t, "b")}
		q := newQueues(limits{waitingPerClass: 800, bytes: 1})
		for i := range 400 {
			for c, weight := range weights {
				cost := uint64(100 + 300*c + i%7)
				q.push(epoch, &waiter{item: Item{Customer: fmt.Sprint(c), Weight: weight, Group: "g", Deadline: epoch.Add(time.Hour), Cost: cost}}, 1)
			}
		}
		got := map[string]float64{}
		for range 200 {
			w := q.group("g").head(epoch, 1)
			q.dispatchQueued(epoch, w)
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

// BenchmarkQueue dispatches one request and queues another while a number of requests are waiting.
func BenchmarkQueue(b *testing.B) {
	for _, n := range []int{100, 1000, 10000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			q := newQueues(limits{waitingPerClass: n + 1, bytes: 1 << 40})
			before := heapBytes()
			for i := range n {
				q.push(epoch, &waiter{item: benchItem(i), ticket: make(chan Ticket, 1)}, 16)
			}
			held := float64(heapBytes()-before) / float64(n)
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				w := q.group("g").head(epoch, 1<<20)
				q.dispatchQueued(epoch, w)
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

// BenchmarkAdmit admits and finishes a request while none is waiting.
func BenchmarkAdmit(b *testing.B) {
	c, clock := newController(&fixedSlots{capacity: 1 << 20}, 256, 1<<30)
	i := benchItem(0)
	i.Deadline = clock.Now().Add(time.Hour)
	b.ReportAllocs()
	for range b.N {
		t := c.Admit(context.Background(), i, Target{})
		t.Done(Result{TotalTime: time.Second})
	}
}
