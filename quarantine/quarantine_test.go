package quarantine

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"pumiceshelf/registry"
)

// fleet is a number of trackers with one clock.
type fleet struct {
	now       time.Time
	trackers  []*Tracker
	changes   []Change
	processes int
}

func newFleet(n int) *fleet {
	f := &fleet{now: time.Unix(1_800_000_000, 0)}
	for i := range n {
		f.trackers = append(f.trackers, New(Config{Self: fmt.Sprint("front-", i), OnChange: func(c Change) { f.changes = append(f.changes, c) }}))
	}
	return f
}

// crash ends a new endpoint process at which the tracker lost a request with each of the prompts.
func (f *fleet) crash(tracker int, prompts ...[]string) {
	f.processes++
	e := registry.Endpoint{ID: fmt.Sprintf("i-%d", f.processes), Service: "model", Address: "10.0.0.1:80"}
	for _, parts := range prompts {
		f.trackers[tracker].Crashed(e, parts, f.now, f.now)
	}
}

// crashAndWait is crash with a second of exchanges after it.
func (f *fleet) crashAndWait(tracker int, prompts ...[]string) {
	f.crash(tracker, prompts...)
	f.wait(time.Second)
}

// wait advances the clock while the instances push and exchange what they know.
func (f *fleet) wait(d time.Duration) {
	const step = 100 * time.Millisecond
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(step) {
		f.push()
	}
	for i, a := range f.trackers {
		b := f.trackers[(i+1)%len(f.trackers)]
		state := a.Statements(f.now)
		reply := b.Reply(state, f.now, false)
		b.Merge(state, f.now)
		a.Merge(reply, f.now)
	}
}

func (f *fleet) push() {
	for i, a := range f.trackers {
		a.Judge(f.now)
		news := a.News(f.now)
		for k, b := range f.trackers {
			if i == k || len(news.Crashes)+len(news.Quarantined)+len(news.Begun) == 0 {
				continue
			}
			reply := b.Reply(news, f.now, true)
			b.Merge(news, f.now)
			a.Merge(reply, f.now)
		}
	}
}

// convictedBy returns how many trackers have the part in quarantine.
func (f *fleet) convictedBy(part string) (n int) {
	for _, t := range f.trackers {
		if t.verdicts[part] != nil {
			n++
		}
	}
	return n
}

func prompt(parts ...string) []string { return append([]string{"first"}, parts...) }

func TestVerdict(t *testing.T) {
	Convey("three crashes with a part convict it at all instances, whichever observed them", t, func() {
		f := newFleet(5)
		f.trackers[4].Began(prompt("sound"), f.now)
		f.crashAndWait(0, prompt("bad"))
		f.crashAndWait(1, prompt("bad"), prompt("sound"))
		So(f.convictedBy("bad"), ShouldEqual, 0)
		f.crashAndWait(2, prompt("bad"))
		So(f.convictedBy("bad"), ShouldEqual, 5)
		So(f.convictedBy("sound"), ShouldEqual, 0)
		So(f.convictedBy("first"), ShouldEqual, 0)
		v, ok := f.trackers[3].Quarantined(prompt("bad"), f.now)
		So(ok, ShouldBeTrue)
		So(v.Endpoints, ShouldResemble, []string{"i-1", "i-2", "i-3"})
		_, ok = f.trackers[3].Quarantined(prompt("sound"), f.now)
		So(ok, ShouldBeFalse)
	})
	Convey("endpoints that crash at once, like a rack, count as one crash", t, func() {
		f := newFleet(2)
		for range 8 {
			f.crash(0, prompt("a"))
			f.now = f.now.Add(20 * time.Millisecond)
		}
		f.wait(3 * time.Second)
		So(f.changes, ShouldBeEmpty)
	})
	Convey("an answer that began at another instance clears a part, five crashes without one convict it", t, func() {
		f := newFleet(3)
		f.trackers[2].Began(prompt("used"), f.now)
		f.now = f.now.Add(time.Second)
		for range 2 {
			f.crashAndWait(0, prompt("used"))
		}
		f.trackers[2].Began(prompt("used"), f.now)
		f.now = f.now.Add(time.Second)
		for range 4 {
			f.crashAndWait(0, prompt("used"))
		}
		So(f.convictedBy("used"), ShouldEqual, 0)
		f.crashAndWait(0, prompt("used"))
		So(f.convictedBy("used"), ShouldEqual, 3)
	})
	Convey("the first part that ever began an answer is never convicted, also if all endpoints crash one after the other", t, func() {
		f := newFleet(2)
		f.trackers[0].Began(prompt("other"), f.now)
		for i := range 20 {
			f.now = f.now.Add(time.Second)
			f.crashAndWait(i%2, prompt(fmt.Sprintf("session-%d", i)))
		}
		So(f.changes, ShouldBeEmpty)
	})
	Convey("parts that are always lost together are convicted together, one crash later", t, func() {
		f := newFleet(2)
		f.trackers[0].Began(prompt("other"), f.now)
		f.now = f.now.Add(time.Second)
		for range 3 {
			f.crashAndWait(0, prompt("a", "b"))
		}
		So(f.convictedBy("a")+f.convictedBy("b"), ShouldEqual, 0)
		f.crashAndWait(1, prompt("a", "b"))
		So(f.convictedBy("a")+f.convictedBy("b"), ShouldEqual, 4)
	})
	Convey("the cause among many parts that are always lost together is refused after five crashes", t, func() {
		f := newFleet(2)
		f.trackers[0].Began(prompt("other"), f.now)
		f.now = f.now.Add(time.Second)
		together := prompt("a", "b", "c", "d", "e", "f", "g", "h", "i", "bad")
		for range 4 {
			f.crashAndWait(0, together)
		}
		So(f.convictedBy("bad"), ShouldEqual, 0)
		f.crashAndWait(1, together)
		So(f.convictedBy("bad"), ShouldEqual, 2)
	})
	Convey("crashes that a part in quarantine explains do not count against the parts lost with it", t, func() {
		f := newFleet(2)
		f.trackers[0].Began(prompt("other"), f.now)
		f.now = f.now.Add(time.Second)
		for i := range 12 {
			f.crashAndWait(i%2, prompt("bad"), prompt("bystander"))
			if i == 0 {
				f.crashAndWait(0, prompt("bad"))
			}
		}
		So(f.convictedBy("bad"), ShouldEqual, 2)
		So(f.convictedBy("bystander"), ShouldEqual, 0)
	})
	Convey("a part that is lost in few of many crashes is not convicted, and does not hide one that is in each of the last", t, func() {
		f := newFleet(2)
		f.trackers[0].Began(prompt("other"), f.now)
		f.now = f.now.Add(time.Second)
		for i := range 20 {
			prompts := [][]string{prompt(fmt.Sprint("session-", i))}
			if i%5 == 0 {
				prompts = append(prompts, prompt("slow"))
			}
			f.crashAndWait(i%2, prompts...)
		}
		So(f.changes, ShouldBeEmpty)
		for i := range 3 {
			f.crashAndWait(i%2, prompt("bad"))
		}
		So(f.convictedBy("bad"), ShouldEqual, 2)
		So(f.convictedBy("slow"), ShouldEqual, 0)
	})
	Convey("a request is suspected after the crash of another endpoint, after two if an answer ever began, until one begins", t, func() {
		f := newFleet(2)
		f.trackers[0].Began(prompt("used"), f.now)
		f.now = f.now.Add(time.Second)
		suspected := func(endpoint, part string) bool {
			return f.trackers[1].Suspected(registry.Endpoint{ID: endpoint, Service: "model", Address: "10.0.0.1:80"}, prompt(part), f.now)
		}
		So(suspected("i-1", "new"), ShouldBeFalse)
		f.crashAndWait(0, prompt("new"), prompt("used"))
		So(suspected("i-1", "new"), ShouldBeFalse)
		So(suspected("i-2", "new"), ShouldBeTrue)
		So(suspected("i-2", "used"), ShouldBeFalse)
		f.crashAndWait(1, prompt("used"))
		So(suspected("i-3", "used"), ShouldBeTrue)
		f.trackers[1].Began(prompt("used"), f.now)
		f.trackers[1].Began(prompt("new"), f.now)
		So(suspected("i-3", "used"), ShouldBeFalse)
		So(suspected("i-3", "new"), ShouldBeFalse)
	})
}

func TestEndOfQuarantine(t *testing.T) {
	convicted := func() *fleet {
		f := newFleet(3)
		f.trackers[0].Began(prompt("other"), f.now)
		f.now = f.now.Add(time.Second)
		for i := range 3 {
			f.crashAndWait(i, prompt("bad"))
		}
		So(f.convictedBy("bad"), ShouldEqual, 3)
		return f
	}
	Convey("it lasts while requests with the part come at any instance, and ends after the last one", t, func() {
		f := convicted()
		for range 30 {
			f.wait(5 * time.Second)
			_, ok := f.trackers[1].Quarantined(prompt("bad"), f.now)
			So(ok, ShouldBeTrue)
		}
		So(f.convictedBy("bad"), ShouldEqual, 3)
		for range 16 {
			f.wait(5 * time.Second)
		}
		So(f.convictedBy("bad"), ShouldEqual, 0)
		So(f.changes[len(f.changes)-1].Ended, ShouldEqual, EndedQuiet)
	})
	Convey("it ends everywhere when an answer with the part began after all", t, func() {
		f := convicted()
		f.trackers[2].Began(prompt("bad"), f.now)
		f.wait(time.Second)
		So(f.convictedBy("bad"), ShouldEqual, 0)
		So(f.changes[len(f.changes)-1].Ended, ShouldEqual, EndedBegun)
	})
	// passed sends a request with the part to each instance each second, and returns the instances that let it pass.
	passed := func(f *fleet, d time.Duration) (out []int) {
		for end := f.now.Add(d); f.now.Before(end); {
			for i, tracker := range f.trackers {
				if _, ok := tracker.Quarantined(prompt("bad"), f.now); !ok {
					out = append(out, i)
				}
			}
			f.wait(time.Second)
		}
		return out
	}
	Convey("one instance lets one request pass after a while, and no other if it crashes an endpoint", t, func() {
		f := convicted()
		So(passed(f, trialDelay-10*time.Second), ShouldBeEmpty)
		var tried []int
		for len(tried) == 0 {
			tried = passed(f, time.Second)
		}
		So(tried, ShouldHaveLength, 1)
		f.crashAndWait(tried[0], prompt("bad"))
		So(passed(f, 5*time.Minute), ShouldBeEmpty)
	})
	Convey("an answer to the request that passed ends it everywhere, sooner if answers began before the crashes", t, func() {
		f := newFleet(3)
		f.trackers[0].Began(prompt("bad"), f.now)
		f.now = f.now.Add(time.Second)
		for i := range 5 {
			f.crashAndWait(i%3, prompt("bad"))
		}
		So(f.convictedBy("bad"), ShouldEqual, 3)
		var tried []int
		for len(tried) == 0 {
			tried = passed(f, time.Second)
		}
		f.trackers[tried[0]].Began(prompt("bad"), f.now)
		f.wait(time.Second)
		So(f.convictedBy("bad"), ShouldEqual, 0)
		So(f.now.Sub(time.Unix(1_800_000_000, 0)), ShouldBeLessThan, 45*time.Second)
	})
	Convey("it ends at the latest after its longest duration, and a single crash renews it", t, func() {
		f := convicted()
		for f.convictedBy("bad") == 3 {
			f.wait(5 * time.Second)
			f.trackers[1].Quarantined(prompt("bad"), f.now)
		}
		So(f.changes[len(f.changes)-1].Ended, ShouldEqual, EndedExpired)
		f.wait(10 * time.Second)
		So(f.convictedBy("bad"), ShouldEqual, 0)
		f.crashAndWait(0, prompt("bad"))
		So(f.convictedBy("bad"), ShouldEqual, 3)
	})
}

func TestStoredEvidence(t *testing.T) {
	Convey("evidence survives the end of all instances through the store, and is written once", t, func() {
		f := newFleet(3)
		f.trackers[0].Began(prompt("other"), f.now)
		f.now = f.now.Add(time.Second)
		f.crashAndWait(0, prompt("bad"), prompt("lost"))
		So(f.trackers[0].StoreDue(f.now), ShouldBeFalse)
		f.crashAndWait(1, prompt("bad"))
		So(f.trackers[1].StoreDue(f.now), ShouldBeTrue)
		So(f.trackers[2].StoreDue(f.now), ShouldBeFalse)
		state := f.trackers[1].StoreState(f.now)
		So(state.Crashes, ShouldHaveLength, 2)
		So(state.Crashes[0].Parts, ShouldResemble, []string{"bad"})
		f.trackers[1].Stored(state, f.now)
		f.wait(5 * time.Second)
		for _, tracker := range f.trackers {
			So(tracker.StoreDue(f.now), ShouldBeFalse)
		}
		f.crashAndWait(2, prompt("bad"))
		due := slices.IndexFunc(f.trackers, func(tracker *Tracker) bool { return tracker.StoreDue(f.now) })
		So(due, ShouldBeGreaterThanOrEqualTo, 0)
		state = f.trackers[due].StoreState(f.now)
		restarted := newFleet(1)
		restarted.trackers[0].MergeStored(state, f.now)
		_, ok := restarted.trackers[0].Quarantined(prompt("bad"), f.now)
		So(ok, ShouldBeTrue)
		So(restarted.trackers[0].StoreDue(f.now), ShouldBeFalse)
	})
	Convey("another instance writes it if the one that observed the crashes has ended", t, func() {
		f := newFleet(3)
		f.crashAndWait(0, prompt("bad"))
		f.crashAndWait(0, prompt("bad"))
		f.trackers = f.trackers[1:]
		So(f.trackers[1].StoreDue(f.now), ShouldBeFalse)
		f.wait(2 * time.Second)
		So(f.trackers[1].StoreDue(f.now), ShouldBeTrue)
	})
	Convey("a verdict that proved wrong is taken out of the store", t, func() {
		f := newFleet(2)
		f.trackers[0].Began(prompt("other"), f.now)
		f.now = f.now.Add(time.Second)
		for range 3 {
			f.crashAndWait(0, prompt("a"))
		}
		So(f.convictedBy("a"), ShouldEqual, 2)
		f.trackers[0].Stored(f.trackers[0].StoreState(f.now), f.now)
		f.wait(time.Second)
		f.trackers[1].Began(prompt("a"), f.now)
		So(f.trackers[1].StoreDue(f.now), ShouldBeTrue)
		So(f.trackers[1].StoreState(f.now).Quarantined, ShouldBeEmpty)
	})
}

// TestRandomCrashes plays crashes with and without a part that crashes endpoints among bystanders. Any sound session may be lost in each crash,
// and go without an answer between two, but not between three.
func TestRandomCrashes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.IntRange(1, 6).Draw(t, "instances"))
		crashing := rapid.Bool().Draw(t, "crashing")
		sessions := rapid.IntRange(8, 40).Draw(t, "sessions")
		instance, session := rapid.IntRange(0, len(f.trackers)-1), rapid.IntRange(0, sessions-1)
		f.trackers[0].Began(prompt("other"), f.now)
		crashes, skips := 0, make([]int, sessions)
		for range 25 {
			f.now = f.now.Add(time.Duration(rapid.IntRange(300, 1500).Draw(t, "pause")) * time.Millisecond)
			skipped := session.Draw(t, "skipped")
			for s := range sessions {
				if s == skipped && skips[s] < 2 {
					skips[s]++
				} else {
					skips[s] = 0
					f.trackers[instance.Draw(t, "began")].Began(prompt(fmt.Sprint("session-", s)), f.now)
				}
			}
			f.now = f.now.Add(100 * time.Millisecond)
			if f.convictedBy("bad") == 0 {
				prompts := [][]string{prompt(fmt.Sprint("session-", session.Draw(t, "waiting"))), prompt(fmt.Sprint("session-", session.Draw(t, "waiting")))}
				if crashing {
					prompts = append(prompts, prompt("bad"))
				}
				f.crash(instance.Draw(t, "observer"), prompts...)
				crashes++
			}
			f.wait(500 * time.Millisecond)
		}
		if crashing && f.convictedBy("bad") != len(f.trackers) {
			t.Fatalf("%d of %d instances have the part that crashes endpoints in quarantine", f.convictedBy("bad"), len(f.trackers))
		}
		if crashing && crashes > 4 {
			t.Fatalf("%d crashes until the verdict", crashes)
		}
		for _, c := range f.changes {
			if c.Part != "bad" {
				t.Fatalf("sound part %s put in quarantine", c.Part)
			}
		}
	})
}

// TestMemoryIsBounded feeds a tracker with more parts, crashes and verdicts than it keeps.
func TestMemoryIsBounded(t *testing.T) {
	Convey("the oldest entries are dropped", t, func() {
		f := newFleet(1)
		tracker := f.trackers[0]
		for i := range 5 * begunGeneration {
			tracker.Began([]string{fmt.Sprint("begun-", i), RequestPart(fmt.Sprint(i))}, f.now)
		}
		for _, times := range []recentTimes{tracker.begunParts, tracker.begunRequests} {
			So(len(times.newer)+len(times.older), ShouldBeLessThanOrEqualTo, 2*begunGeneration)
		}
		var many [][]string
		for i := range 2 * maxPartsPerCrash {
			many = append(many, append(prompt(fmt.Sprint("part-", i)), RequestPart(fmt.Sprint(i))))
		}
		for range 2 * maxCrashes {
			f.now = f.now.Add(300 * time.Millisecond)
			f.crash(0, many...)
		}
		So(len(tracker.crashes), ShouldEqual, maxCrashes)
		for _, c := range tracker.crashes {
			So(c.count(false), ShouldBeLessThanOrEqualTo, maxPartsPerCrash)
			So(c.count(true), ShouldBeLessThanOrEqualTo, maxPartsPerCrash)
		}
		for i := range 2 * maxVerdicts {
			tracker.Merge(State{Quarantined: []Quarantined{{Verdict: Verdict{Part: fmt.Sprint("q-", i), Remaining: time.Minute}}}}, f.now)
		}
		So(len(tracker.verdicts), ShouldBeLessThanOrEqualTo, maxVerdicts)
		state := tracker.Statements(f.now)
		So(len(state.Crashes), ShouldBeLessThanOrEqualTo, maxStatedCrashes)
		So(len(state.Quarantined), ShouldBeLessThanOrEqualTo, maxStatedVerdicts)
	})
}
