package admit

import (
	"context"
	"fmt"
	"runtime"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/goleak"
)

func item(customer string, class Class, deadline time.Time) Item {
	return Item{RequestID: "r", Customer: customer, Weight: 1, Group: "g", Class: class, Deadline: deadline, Bytes: 1, Cost: 1}
}

func answered(ch chan Ticket) Outcome {
	select {
	case t := <-ch:
		return t.Outcome
	default:
		return 0
	}
}

func TestController(t *testing.T) {
	Convey("A controller before one place", t, func() {
		s := &slots{places: 1}
		c, clock := newController(s, 3, 100)
		far := clock.Now().Add(time.Minute)
		first := <-admitAll(c, item("x", Standard, far))[0]
		So(first.Outcome, ShouldEqual, Admitted)

		Convey("the more urgent class goes first", func() {
			chs := admitAll(c, item("x", Batch, far), item("x", Standard, far), item("x", Interactive, far))
			first.Done(Result{})
			So(answered(chs[2]), ShouldEqual, Admitted)
			So(answered(chs[1]), ShouldEqual, 0)
		})
		Convey("within a class and customer the earliest deadline goes first", func() {
			chs := admitAll(c, item("x", Standard, far), item("x", Standard, far.Add(-time.Second)))
			first.Done(Result{})
			So(answered(chs[0]), ShouldEqual, 0)
			So(answered(chs[1]), ShouldEqual, Admitted)
		})
		Convey("a full queue refuses its own customer and displaces for another", func() {
			chs := admitAll(c, item("x", Standard, far), item("x", Standard, far), item("x", Standard, far.Add(1)), item("x", Standard, far))
			So(answered(chs[3]), ShouldEqual, QueueFull)
			chs = append(chs, admitAll(c, item("y", Standard, far))...)
			So(answered(chs[2]), ShouldEqual, Displaced)
			So(answered(chs[4]), ShouldEqual, 0)
		})
		Convey("bytes are bounded over all queues and lower classes make room", func() {
			big := item("x", Batch, far)
			big.Bytes = 90
			chs := admitAll(c, big)
			huge := item("x", Batch, far)
			huge.Bytes = 101
			So(answered(admitAll(c, huge)[0]), ShouldEqual, BytesFull)
			urgent := item("x", Interactive, far)
			urgent.Bytes = 20
			So(answered(admitAll(c, urgent)[0]), ShouldEqual, 0)
			So(answered(chs[0]), ShouldEqual, Displaced)
		})
		Convey("a request is refused the moment its deadline can't be met", func() {
			chs := admitAll(c, item("x", Standard, clock.Now().Add(time.Second)))
			clock.Advance(time.Second - 1)
			c.sweep()
			So(answered(chs[0]), ShouldEqual, 0)
			clock.Advance(1)
			c.sweep()
			So(answered(chs[0]), ShouldEqual, TooLate)
			So(answered(admitAll(c, item("x", Standard, clock.Now()))[0]), ShouldEqual, TooLate)
		})
		Convey("with an estimate, work that can't be done in time is refused at once and tried again later", func() {
			first.Done(Result{Total: 10 * time.Second})
			short := item("x", Standard, clock.Now().Add(5*time.Second))
			So(answered(admitAll(c, short)[0]), ShouldEqual, TooLate)
			clock.Advance(sampleLifetime + 1)
			short.Deadline = clock.Now().Add(5 * time.Second)
			So(answered(admitAll(c, short)[0]), ShouldEqual, Admitted)
		})
		Convey("a request that was cut counts only when it took longer than is expected", func() {
			first.Done(Result{Total: 2 * time.Second})
			for _, r := range []Result{{Cut: true, Total: time.Second}, {Failed: true, Total: time.Hour}, {Cut: true, Total: 10 * time.Second}} {
				(<-admitAll(c, item("x", Standard, far))[0]).Done(r)
			}
			So(c.queues.group("g").service.expected(1), ShouldEqual, 3*time.Second)
		})
		Convey("no endpoint means no capacity, for those who wait too", func() {
			chs := admitAll(c, item("x", Standard, far))
			s.gone = true
			c.sweep()
			So(answered(chs[0]), ShouldEqual, NoCapacity)
			So(s.used, ShouldEqual, 1)
		})
		Convey("a caller that goes away leaves the queue", func() {
			ctx, cancel := context.WithCancel(context.Background())
			cancel()
			So(c.Admit(ctx, item("x", Standard, far), Target{}).Outcome, ShouldEqual, Canceled)
			So(c.queues.waiting, ShouldEqual, 0)
		})
		Convey("batch work that waits for room does not hold up the others", func() {
			s.places = 3
			low := admitAll(c, item("x", Batch, far), item("x", Batch, far), item("x", Batch, far))
			clock.Advance(demandTime)
			So([]Outcome{answered(low[0]), answered(low[1]), answered(low[2])}, ShouldResemble, []Outcome{Admitted, Admitted, 0})
			s.places = 4
			So(answered(admitAll(c, item("x", Interactive, far))[0]), ShouldEqual, Admitted)
			So(answered(low[2]), ShouldEqual, 0)
		})
		Convey("retry times are spread", func() {
			seen := map[time.Duration]bool{}
			for range 10 {
				c.mu.Lock()
				r := c.refuse(&waiter{item: item("x", Standard, far)}, QueueFull).RetryAfter
				c.mu.Unlock()
				So(r, ShouldBeBetweenOrEqual, retryAfterMin, 2*retryAfterMin)
				seen[r] = true
			}
			So(len(seen), ShouldEqual, 10)
		})
		Convey("when Run ends all who wait are answered and none is let in", func() {
			chs := admitAll(c, item("x", Standard, far))
			ctx, cancel := context.WithCancel(context.Background())
			cancel()
			So(c.Run(ctx), ShouldEqual, context.Canceled)
			So(answered(chs[0]), ShouldEqual, NoCapacity)
			So(answered(admitAll(c, item("x", Standard, far))[0]), ShouldEqual, NoCapacity)
		})
	})

	Convey("A class that waits gets a turn after many of higher classes", t, func() {
		s := &slots{places: 1}
		c, clock := newController(s, 100, 1000)
		far := clock.Now().Add(time.Hour)
		next := <-admitAll(c, item("x", Interactive, far))[0]
		low := admitAll(c, item("x", Batch, far))[0]
		var high []chan Ticket
		for i := range turnsPerLower + 10 {
			high = append(high, admitAll(c, item(fmt.Sprint(i), Interactive, far))...)
		}
		turns := 0
		for answered := Outcome(0); answered == 0; turns++ {
			next.Done(Result{})
			select {
			case t := <-low:
				answered = t.Outcome
			case next = <-high[turns]:
			}
		}
		So(turns, ShouldEqual, turnsPerLower+1)
	})
}

func TestRun(t *testing.T) {
	Convey("A controller that runs answers a request the moment it is hopeless, and all when it ends", t, func() {
		defer goleak.VerifyNone(t, goleak.IgnoreTopFunction("github.com/rcrowley/go-metrics.(*meterArbiter).tick"))
		s := &slots{places: 0}
		c, clock := newController(s, 10, 100)
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error)
		go func() { done <- c.Run(ctx) }()
		now := clock.Now()
		chs := admitAll(c, item("x", Standard, now.Add(sweepInterval)), item("x", Standard, now.Add(1<<62)))
		for len(chs[0]) == 0 {
			clock.Advance(sweepInterval)
			runtime.Gosched()
		}
		So(answered(chs[0]), ShouldEqual, TooLate)
		cancel()
		So(<-done, ShouldEqual, context.Canceled)
		So(answered(chs[1]), ShouldEqual, NoCapacity)
	})
}
