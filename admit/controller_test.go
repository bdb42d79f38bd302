package admit

import (
	"context"
	"fmt"
	"runtime"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/goleak"

	"pumiceshelf/servicetime"
)

func testItem(customer string, class Class, deadline time.Time) Item {
	return Item{RequestID: "r", Customer: customer, Weight: 1, Group: "g", Class: class, Deadline: deadline, Bytes: 1, Cost: 1}
}

func outcomeOf(ch chan Ticket) Outcome {
	select {
	case t := <-ch:
		return t.Outcome
	default:
		return 0
	}
}

func TestController(t *testing.T) {
	Convey("Given a controller with one slot, which is in use", t, func() {
		s := &fixedSlots{capacity: 1}
		c, clock := newController(s, 3, 100)
		far := clock.Now().Add(time.Minute)
		first := <-admitAll(c, testItem("x", Standard, far))[0]
		So(first.Outcome, ShouldEqual, Admitted)

		Convey("the most urgent class is dispatched first", func() {
			tickets := admitAll(c, testItem("x", Batch, far), testItem("x", Standard, far), testItem("x", Interactive, far))
			first.Done(Result{})
			So(outcomeOf(tickets[2]), ShouldEqual, Admitted)
			So(outcomeOf(tickets[1]), ShouldEqual, 0)
		})
		Convey("within a class and customer, the earliest deadline is dispatched first", func() {
			tickets := admitAll(c, testItem("x", Standard, far), testItem("x", Standard, far.Add(-time.Second)))
			first.Done(Result{})
			So(outcomeOf(tickets[0]), ShouldEqual, 0)
			So(outcomeOf(tickets[1]), ShouldEqual, Admitted)
		})
		Convey("a full queue refuses the customer that fills it and displaces one of its requests for another customer", func() {
			tickets := admitAll(c, testItem("x", Standard, far), testItem("x", Standard, far), testItem("x", Standard, far.Add(1)), testItem("x", Standard, far))
			So(outcomeOf(tickets[3]), ShouldEqual, QueueFull)
			tickets = append(tickets, admitAll(c, testItem("y", Standard, far))...)
			So(outcomeOf(tickets[2]), ShouldEqual, Displaced)
			So(outcomeOf(tickets[4]), ShouldEqual, 0)
		})
		Convey("the byte limit covers all queues, and requests of lower classes are displaced first", func() {
			big := testItem("x", Batch, far)
			big.Bytes = 90
			tickets := admitAll(c, big)
			huge := testItem("x", Batch, far)
			huge.Bytes = 101
			So(outcomeOf(admitAll(c, huge)[0]), ShouldEqual, BytesFull)
			urgent := testItem("x", Interactive, far)
			urgent.Bytes = 20
			So(outcomeOf(admitAll(c, urgent)[0]), ShouldEqual, 0)
			So(outcomeOf(tickets[0]), ShouldEqual, Displaced)
		})
		Convey("a request is refused as soon as its deadline cannot be met", func() {
			tickets := admitAll(c, testItem("x", Standard, clock.Now().Add(time.Second)))
			clock.Advance(time.Second - 1)
			c.sweep()
			So(outcomeOf(tickets[0]), ShouldEqual, 0)
			clock.Advance(1)
			c.sweep()
			So(outcomeOf(tickets[0]), ShouldEqual, TooLate)
			So(outcomeOf(admitAll(c, testItem("x", Standard, clock.Now()))[0]), ShouldEqual, TooLate)
		})
		Convey("a request that is estimated to take too long is refused immediately, but admitted once the estimate is stale", func() {
			first.Done(Result{TotalTime: 10 * time.Second})
			short := testItem("x", Standard, clock.Now().Add(5*time.Second))
			So(outcomeOf(admitAll(c, short)[0]), ShouldEqual, TooLate)
			clock.Advance(servicetime.SampleLifetime + 1)
			short.Deadline = clock.Now().Add(5 * time.Second)
			So(outcomeOf(admitAll(c, short)[0]), ShouldEqual, Admitted)
		})
		Convey("an interrupted request updates the estimate only if it took longer than expected", func() {
			first.Done(Result{TotalTime: 2 * time.Second})
			for _, r := range []Result{{Interrupted: true, TotalTime: time.Second}, {Failed: true, TotalTime: time.Hour}, {Interrupted: true, TotalTime: 10 * time.Second}} {
				(<-admitAll(c, testItem("x", Standard, far))[0]).Done(r)
			}
			So(c.queues.group("g").serviceTimes.ExpectedTime(1), ShouldEqual, 3*time.Second)
		})
		Convey("waiting requests are refused when no endpoint is available", func() {
			tickets := admitAll(c, testItem("x", Standard, far))
			s.noEndpoint = true
			c.sweep()
			So(outcomeOf(tickets[0]), ShouldEqual, NoCapacity)
			So(s.used, ShouldEqual, 1)
		})
		Convey("a canceled request is removed from the queue", func() {
			ctx, cancel := context.WithCancel(context.Background())
			cancel()
			So(c.Admit(ctx, testItem("x", Standard, far), Target{}).Outcome, ShouldEqual, Canceled)
			So(c.queues.waiting, ShouldEqual, 0)
		})
		Convey("waiting batch requests do not block other classes", func() {
			s.capacity = 3
			low := admitAll(c, testItem("x", Batch, far), testItem("x", Batch, far), testItem("x", Batch, far))
			clock.Advance(demandTimeConstant)
			So([]Outcome{outcomeOf(low[0]), outcomeOf(low[1]), outcomeOf(low[2])}, ShouldResemble, []Outcome{Admitted, Admitted, 0})
			s.capacity = 4
			So(outcomeOf(admitAll(c, testItem("x", Interactive, far))[0]), ShouldEqual, Admitted)
			So(outcomeOf(low[2]), ShouldEqual, 0)
		})
		Convey("retry delays are spread out", func() {
			seen := map[time.Duration]bool{}
			for range 10 {
				c.mu.Lock()
				r := c.refuse(&waiter{item: testItem("x", Standard, far)}, QueueFull).RetryAfter
				c.mu.Unlock()
				So(r, ShouldBeBetweenOrEqual, retryAfterMin, 2*retryAfterMin)
				seen[r] = true
			}
			So(len(seen), ShouldEqual, 10)
		})
		Convey("when Run ends, waiting and new requests are refused", func() {
			tickets := admitAll(c, testItem("x", Standard, far))
			ctx, cancel := context.WithCancel(context.Background())
			cancel()
			So(c.Run(ctx), ShouldEqual, context.Canceled)
			So(outcomeOf(tickets[0]), ShouldEqual, NoCapacity)
			So(outcomeOf(admitAll(c, testItem("x", Standard, far))[0]), ShouldEqual, NoCapacity)
		})
	})

	Convey("A waiting lower class gets a turn after a fixed number of dispatches of higher classes", t, func() {
		s := &fixedSlots{capacity: 1}
		c, clock := newController(s, 100, 1000)
		far := clock.Now().Add(time.Hour)
		next := <-admitAll(c, testItem("x", Interactive, far))[0]
		low := admitAll(c, testItem("x", Batch, far))[0]
		var high []chan Ticket
		for i := range bypassesPerTurn + 10 {
			high = append(high, admitAll(c, testItem(fmt.Sprint(i), Interactive, far))...)
		}
		turns := 0
		for lowOutcome := Outcome(0); lowOutcome == 0; turns++ {
			next.Done(Result{})
			select {
			case t := <-low:
				lowOutcome = t.Outcome
			case next = <-high[turns]:
			}
		}
		So(turns, ShouldEqual, bypassesPerTurn+1)
	})
}

func TestRun(t *testing.T) {
	Convey("A running controller refuses a request as soon as its deadline cannot be met, and all requests when it stops", t, func() {
		defer goleak.VerifyNone(t, goleak.IgnoreTopFunction("github.com/rcrowley/go-metrics.(*meterArbiter).tick"))
		s := &fixedSlots{capacity: 0}
		c, clock := newController(s, 10, 100)
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error)
		go func() { done <- c.Run(ctx) }()
		now := clock.Now()
		tickets := admitAll(c, testItem("x", Standard, now.Add(sweepInterval)), testItem("x", Standard, now.Add(1<<62)))
		for len(tickets[0]) == 0 {
			clock.Advance(sweepInterval)
			runtime.Gosched()
		}
		So(outcomeOf(tickets[0]), ShouldEqual, TooLate)
		cancel()
		So(<-done, ShouldEqual, context.Canceled)
		So(outcomeOf(tickets[1]), ShouldEqual, NoCapacity)
	})
}
