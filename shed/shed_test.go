package shed

import (
	"fmt"
	"math"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Targets, from what callers need (docs/design/shedding.md).
const (
	maxAdmitted, minAdmitted = 1.1, 0.9
	// maxInversion is how much less a more urgent rank may be served.
	maxInversion = 0.03
	// minShare is the least share served of a customer, route or size class, relative to the average.
	minShare = 0.25
)

// leastShare returns the lowest share served of the groups of a kind.
func (t *tally) leastShare(kind string) (least float64, group string) {
	least = math.Inf(1)
	for g := range t.asked {
		if strings.HasPrefix(g, kind) && t.share(g) < least {
			least, group = t.share(g), g
		}
	}
	return least, group
}

// inversion returns by how much a more urgent rank is served less than a less urgent one.
func (t *tally) inversion() (most float64, ranks string) {
	for a := range NumRanks {
		for b := a + 1; b < NumRanks; b++ {
			urgent, other := fmt.Sprintf("rank %d", a), fmt.Sprintf("rank %d", b)
			if t.asked[urgent] == 0 || t.asked[other] == 0 {
				continue
			}
			if d := t.share(other) - t.share(urgent); d > most {
				most, ranks = d, fmt.Sprintf("%d and %d", a, b)
			}
		}
	}
	return most, ranks
}

func (t *tally) String() string {
	customer, _ := t.leastShare("customer")
	route, _ := t.leastShare("route")
	size, _ := t.leastShare("size")
	inversion, ranks := t.inversion()
	byRank := ""
	for i := range NumRanks - 1 {
		byRank += fmt.Sprintf(" %.2f", t.share(fmt.Sprintf("rank %d", i)))
	}
	return fmt.Sprintf("served %.2f admitted %.2f late %.3f worst wait %.1f s, least customer %.2f route %.2f size %.2f, by rank%s, inversion %.2f (%s), rejected %d, refused with free slots %d of %d",
		t.share("all"), t.admitted/t.room, t.late/t.room, t.worstWait, customer, route, size, byRank, inversion, ranks, t.rejected, t.falseRefuse, t.refused)
}

// add adds the calls of another play of the same load.
func (t *tally) add(o *tally) {
	for g, n := range o.asked {
		t.asked[g] += n
		t.served[g] += o.served[g]
	}
	t.admitted, t.late, t.room = t.admitted+o.admitted, t.late+o.late, t.room+o.room
	t.worstWait = max(t.worstWait, o.worstWait)
	t.rejected, t.refused, t.falseRefuse = t.rejected+o.rejected, t.refused+o.refused, t.falseRefuse+o.falseRefuse
	t.calmRefused += o.calmRefused
}

var (
	streams = load{endpoints: 90, slots: 8, maxAge: 3, calm: 0.7, burst: 1.5}
	plain   = load{endpoints: 4, slots: 6, maxQueue: 24, plain: true, maxAge: 3, calm: 0.7, burst: 1.5}
)

func with(l load, change func(*load)) load {
	change(&l)
	return l
}

// loads are the loads that the package answers, by name.
var loads = []struct {
	name string
	load load
}{
	{"burst to 1.5", streams},
	{"burst to 3", with(streams, func(l *load) { l.burst = 3 })},
	{"one customer 40 times its usual", with(streams, func(l *load) { l.flood = 40 })},
	{"a route with very large prompts", with(streams, func(l *load) { l.large = true })},
	{"plain service, burst to 1.5", plain},
	{"plain service, burst to 3", with(plain, func(l *load) { l.burst = 3 })},
}

// playLoads plays all loads at each number of instances, once for all tests.
var playLoads = sync.OnceValue(func() (out []result) {
	for _, c := range loads {
		for _, instances := range []int{1, 8, 86} {
			l := c.load
			l.instances = instances
			seeds := 4
			if l.plain {
				seeds = 6
			}
			out = append(out, result{fmt.Sprintf("%s, %d instances", c.name, instances), l.playSeeds(seeds)})
		}
	}
	return out
})

// result is what callers got in a load.
type result struct {
	name string
	*tally
}

// playSeeds plays a load with several seeds, so that the shares of small ranks are known well enough.
func (l load) playSeeds(seeds int) *tally {
	l.seed = 1
	t := l.play()
	for seed := 2; seed <= seeds; seed++ {
		l.seed = uint64(seed)
		t.add(l.play())
	}
	return t
}

// TestLoads guards against refusals of more or less than the excess, or always of the same callers.
func TestLoads(t *testing.T) {
	if testing.Short() {
		t.Skip("plays several minutes of load")
	}
	for _, r := range playLoads() {
		Convey(r.name, t, func() {
			t.Logf("%s: %s", r.name, r)
			So(r.calmRefused, ShouldEqual, 0)
			So(r.admitted/r.room, ShouldBeBetweenOrEqual, minAdmitted, maxAdmitted)
			for _, kind := range []string{"customer", "route", "size"} {
				share, group := r.leastShare(kind)
				SoMsg(group, share, ShouldBeGreaterThanOrEqualTo, minShare*r.share("all"))
			}
		})
	}
}

// TestRanksAreServedInOrder guards against requests that are refused while less urgent ones are sent.
func TestRanksAreServedInOrder(t *testing.T) {
	if testing.Short() {
		t.Skip("plays several minutes of load")
	}
	for _, r := range playLoads() {
		if inversion, ranks := r.inversion(); inversion > maxInversion {
			t.Errorf("%s: Expected a rank to be served at most %.2f less than a less urgent one, ranks %s differ by %.3f", r.name, maxInversion, ranks, inversion)
		}
	}
}

// TestNothingRefusedWithRoom guards against refusals while slots are free, also if reports are old or an instance sees few
// requests.
func TestNothingRefusedWithRoom(t *testing.T) {
	for _, base := range []load{streams, plain} {
		for _, instances := range []int{1, 8, 86} {
			Convey(fmt.Sprintf("a load below the room, plain service: %v, %d instances", base.plain, instances), t, func() {
				l := base
				l.instances, l.seed, l.burst = instances, 3, 0.85
				if l.plain {
					// Of 24 slots, 85% on average are often all taken.
					l.burst = 0.7
				}
				So(l.play().refused, ShouldEqual, 0)
			})
		}
	}
}

// TestWays compares the ways to order requests; docs/design/shedding.md has the table.
func TestWays(t *testing.T) {
	if testing.Short() {
		t.Skip("plays several minutes of load")
	}
	names := []string{"rank and work", "strict rank", "value per work", "earliest deadline", "fair shares", "send all"}
	for _, c := range loads {
		for w, name := range names {
			l := c.load
			l.instances, l.way = 8, way(w)
			t.Logf("%s, %s: %s", c.name, name, l.playSeeds(1))
		}
	}
}

func TestDecide(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	full := Room{Endpoints: 4, Slots: 32, Running: 32, Waiting: 400, EndpointsWaiting: 4, WorkTime: 1, Instances: 1, Known: true}
	request := Request{Customer: "a", Route: "r", TimeLeft: 10 * time.Second, PromptTokens: 1000, MaxOutputTokens: 100}
	Convey("Given a shedder", t, func() {
		s := New(Config{Seed: 1})
		Convey("a request that cannot meet its deadline any more is refused at once, which one with enough time is not", func() {
			late := request
			late.TimeLeft = time.Second
			d := s.Decide("s", late, full, now)
			So(d.Verdict, ShouldEqual, Refuse)
			So(d.Reason, ShouldEqual, ReasonLate)
			So(d.RetryAfter, ShouldBeGreaterThan, 0)
			So(s.Decide("s", request, full, now).Verdict, ShouldEqual, Send)
		})
		Convey("nothing is refused without fresh reports, or while fewer than nine tenths of the slots are taken", func() {
			unknown, free := full, full
			unknown.Known, free.Running, free.Waiting = false, 28, 0
			late := request
			late.TimeLeft = time.Millisecond
			So(s.Decide("s", late, unknown, now).Verdict, ShouldEqual, Send)
			So(s.Decide("s", late, free, now.Add(time.Second)).Verdict, ShouldEqual, Send)
		})
		Convey("resumptions are sent, and of two equal requests the one that came back", func() {
			sent := map[string]int{}
			for i := range 3000 {
				at := now.Add(time.Duration(i) * 10 * time.Millisecond)
				r := request
				kind := []string{"new", "resumes", "came back"}[i%3]
				r.Resumes, r.CameBack = kind == "resumes" && i%9 == 1, kind == "came back" && i%9 == 2
				if kind == "new" || r.Resumes || r.CameBack {
					room := full
					room.Waiting = 8
					if s.Decide("s", r, room, at).Verdict == Send && i >= 1500 {
						sent[kind]++
					}
				}
			}
			So(float64(sent["resumes"])/167, ShouldBeGreaterThan, 0.97)
			So(float64(sent["came back"])/167, ShouldBeGreaterThan, float64(sent["new"])/500)
		})
		Convey("more urgent requests come back first", func() {
			var urgent, other []time.Duration
			for i := range 4000 {
				r := request
				r.CustomerRank = i % 3
				d := s.Decide("s", r, full, now.Add(time.Duration(i)*5*time.Millisecond))
				switch {
				case d.Verdict == Send || i < 2000:
				case r.CustomerRank == 0:
					urgent = append(urgent, d.RetryAfter)
				case r.CustomerRank == 2:
					other = append(other, d.RetryAfter)
				}
			}
			mean := func(l []time.Duration) (sum time.Duration) {
				for _, d := range l {
					sum += d / time.Duration(len(l))
				}
				return
			}
			So(mean(urgent), ShouldBeLessThan, mean(other))
		})
	})
}
