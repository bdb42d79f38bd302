package quota

import (
	"context"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"storj.io/drpc/drpcconn"

	"pumiceshelf/api"
	"pumiceshelf/budget"
)

// billed returns the records and tokens on file for the hot budget.
func (f *fleet) billed() (records, tokens, atBound uint64) {
	msg, err := foldAll(f.t.Context(), f.objects.Client("test"), hot.Customer)
	if err != nil {
		f.t.Fatal(err)
	}
	b := budget.BudgetBilling(msg, hot.Budget)
	return b.GetRecords(), b.GetTokens(), b.GetAtBound()
}

// keptItems returns how many times running instances keep the request "r" for others.
func (f *fleet) keptItems() int {
	n := 0
	for _, x := range f.running() {
		x.kept.mu.Lock()
		for _, h := range x.kept.holders {
			for _, item := range h.open {
				if item.RequestId == "r" {
					n++
				}
			}
		}
		x.kept.mu.Unlock()
	}
	return n
}

// awaitForgotten waits until no running instance keeps a request for others: the calls that end them take real time.
func (f *fleet) awaitForgotten() {
	for range 1000 {
		kept := 0
		for _, x := range f.running() {
			x.kept.mu.Lock()
			kept += x.kept.count
			x.kept.mu.Unlock()
		}
		if kept == 0 {
			return
		}
		time.Sleep(time.Millisecond)
	}
	f.t.Fatal("a released request is still kept")
}

func mirrorFleet(t *testing.T) (*fleet, *node) {
	f := newFleet(t, 100_000)
	for _, n := range []string{"a", "b", "c"} {
		f.start("d1", n)
	}
	holder := f.holder("d1")
	f.reserve(holder, "first", 100)
	f.release(holder, "first")
	f.awaitForgotten()
	f.steps(2 * mirrorAvoid)
	return f, holder
}

// reserveNow reserves under the lease that the holder has, while the clock stands still.
func (f *fleet) reserveNow(n *node, id string) Outcome {
	return n.Reserve(f.t.Context(), Request{RequestID: id, Budget: hot, Model: "m", Bound: 100, Wait: time.Second}).Outcome
}

func TestMirror(t *testing.T) {
	Convey("Given a request whose entry instance is the holder", t, func() {
		f, holder := mirrorFleet(t)
		f.resolve = func(context.Context, string, string) (budget.Tokens, budget.Tokens, bool) { return 10, 50, true }
		for _, n := range f.running() {
			n.cfg.Resolve = f.resolve
		}
		So(f.reserveNow(holder, "r"), ShouldEqual, Granted)
		So(f.keptItems(), ShouldEqual, 1)

		Convey("when it dies, a witness bills the request once, at the engine's figure", func() {
			f.kill(holder)
			f.steps(2 * time.Minute)
			records, tokens, atBound := f.billed()
			So([]uint64{records, tokens, atBound}, ShouldResemble, []uint64{1, 60, 0})
			So(f.keptItems(), ShouldEqual, 0)
			So(f.report().Agrees, ShouldBeTrue)
		})
		Convey("when no engine knows the request, it is billed at its bound and marked", func() {
			for _, n := range f.running() {
				n.cfg.Resolve = nil
			}
			f.kill(holder)
			f.steps(2 * time.Minute)
			records, tokens, atBound := f.billed()
			So([]uint64{records, tokens, atBound}, ShouldResemble, []uint64{1, 100, 1})
		})
		Convey("when its record is durable and the witness did not hear of it, the record stands", func() {
			f.settle(holder, "r", 30)
			holder.writeRecords(t.Context())
			f.kill(holder)
			So(f.keptItems(), ShouldEqual, 1)
			f.steps(2 * time.Minute)
			records, tokens, atBound := f.billed()
			So([]uint64{records, tokens, atBound}, ShouldResemble, []uint64{1, 30, 0})
			So(f.keptItems(), ShouldEqual, 0)
		})
		Convey("when it was released as not run, no witness bills it", func() {
			f.release(holder, "r")
			for range 1000 {
				if f.keptItems() == 0 {
					break
				}
				time.Sleep(time.Millisecond) // The call to the witness is under way.
			}
			So(f.keptItems(), ShouldEqual, 0)
			f.kill(holder)
			f.steps(2 * time.Minute)
			records, _, _ := f.billed()
			So(records, ShouldEqual, 0)
		})
		Convey("when it is settled and durable, the witness forgets it", func() {
			f.settle(holder, "r", 30)
			f.steps(10 * time.Second)
			for range 1000 {
				if f.keptItems() == 0 {
					break
				}
				f.steps(time.Second)
			}
			So(f.keptItems(), ShouldEqual, 0)
		})
		Convey("when the holder was only paused and bills it after the witness did, it counts once", func() {
			f.pause(holder, true)
			f.steps(2 * time.Minute)
			f.pause(holder, false)
			f.settle(holder, "r", 60)
			f.steps(2 * time.Minute)
			records, tokens, _ := f.billed()
			So([]uint64{records, tokens}, ShouldResemble, []uint64{1, 60})
			So(f.report().Agrees, ShouldBeTrue)
		})
	})
	Convey("A request is kept, and billed when its holder dies, though the lease's witness does not answer", t, func() {
		f := newFleet(t, 100_000)
		f.start("d1", "a")
		f.start("d1", "b")
		f.start("d2", "x")
		holder, witness := f.holder("d1"), f.other("d1")
		f.reserve(holder, "first", 100)
		f.release(holder, "first")
		f.awaitForgotten()
		f.steps(2 * mirrorAvoid)
		f.cutLink(holder, witness, true)
		before := holder.counters.unmirrored.Count()
		So(f.reserveNow(holder, "r"), ShouldEqual, Granted)
		So(holder.counters.unmirrored.Count(), ShouldEqual, before)
		So(f.keptItems(), ShouldEqual, 1)
		f.kill(holder)
		f.steps(2 * time.Minute)
		records, tokens, _ := f.billed()
		So([]uint64{records, tokens}, ShouldResemble, []uint64{1, 100})
	})
	Convey("A holder that reaches no witness grants within its authority all the same, and counts it", t, func() {
		f, holder := mirrorFleet(t)
		before := holder.counters.unmirrored.Count()
		for _, n := range f.running() {
			if n != holder {
				f.cutLink(holder, n, true)
			}
		}
		So(f.reserveNow(holder, "r"), ShouldEqual, Granted)
		So(holder.counters.unmirrored.Count(), ShouldEqual, before+1)
	})
}

func TestMirrorStore(t *testing.T) {
	Convey("Given what a witness keeps for others", t, func() {
		s := newMirrorStore()
		message := func(sequence, attempt uint64) *api.MirrorRequest {
			return &api.MirrorRequest{Holder: "h", Sequence: sequence, Open: []*api.MirrorItem{{Attempt: attempt}}}
		}
		Convey("a message that a later one overtook opens nothing", func() {
			So(s.take(&api.MirrorRequest{Holder: "h", Sequence: 2, Done: []uint64{1}}), ShouldBeTrue)
			So(s.take(message(1, 1)), ShouldBeFalse)
			So(s.count, ShouldEqual, 0)
		})
		Convey("no more requests are kept than the limit, and the same one counts once", func() {
			for i := range uint64(mirrorLimit - 1) {
				s.take(message(1, i))
			}
			So(s.take(message(2, 0)), ShouldBeTrue)
			So(s.take(message(3, mirrorLimit)), ShouldBeTrue)
			So(s.take(message(4, mirrorLimit+1)), ShouldBeFalse)
			So(s.count, ShouldEqual, mirrorLimit)
			So(s.take(&api.MirrorRequest{Holder: "h", Sequence: 5, Done: []uint64{7}}), ShouldBeTrue)
			So(s.take(message(6, mirrorLimit+1)), ShouldBeTrue)
		})
	})
}

// BenchmarkMirrored is a request at the holder itself with a witness that keeps it.
func BenchmarkMirrored(b *testing.B) {
	holder, other := benchFleet(b)
	holder.cfg.Policy = PolicySealed
	kept := &keptConns{testConns: testConns{holder.fleet, holder}, conns: make(map[string]*drpcconn.Conn)}
	holder.cfg.Conns = kept
	b.Cleanup(kept.close)
	witnesses := []string{other.self.Incarnation}
	holder.holder.account(hot).lease.Observe(1<<40, &api.QuotaLease{Taken: 1 << 49, Ceiling: 1 << 49, Witnesses: witnesses})
	benchmarkReserveSettle(b, holder)
	if holder.counters.unmirrored.Count() > 2 {
		b.Fatal("not mirrored")
	}
}
