package ration

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// load is what the requests of one rank ask for: their number per second and their size in tokens.
type load struct {
	rank      int
	perSecond float64
	tokens    int64
}

// outcome counts requests of one rank.
type outcome struct{ asked, granted float64 }

func (o outcome) share() float64 { return o.granted / max(o.asked, 1) }

// play sends requests of all loads at even intervals for a time, against a stock of tokens that the granted ones use. It returns what
// became of them by rank. lasts returns for how long the stock must last at a time since the begin.
func play(d *Demand, begin time.Time, duration time.Duration, stock *int64, lasts func(time.Duration) time.Duration, rations bool, loads ...load) map[int]outcome {
	const step = 10 * time.Millisecond
	out, due := make(map[int]outcome), make([]float64, len(loads))
	for at := time.Duration(0); at < duration; at += step {
		for i, l := range loads {
			for due[i] += l.perSecond * step.Seconds(); due[i] >= 1; due[i]-- {
				o := out[l.rank]
				o.asked++
				granted := d.Decide(l.rank, l.tokens, Supply{Tokens: *stock, Lasts: lasts(at)}, begin.Add(at)).Granted || !rations
				if granted && l.tokens <= *stock {
					*stock -= l.tokens
					o.granted++
				}
				out[l.rank] = o
			}
		}
	}
	return out
}

// Short urgent requests and long less urgent ones, as in a deployment where the urgent ones need a seventh of the tokens.
var urgentShort, long = load{rank: 3, perSecond: 27, tokens: 1100}, load{rank: 5, perSecond: 19, tokens: 9200}

const perSecond = 27*1100 + 19*9200

func outageOf(d time.Duration) func(time.Duration) time.Duration {
	return func(at time.Duration) time.Duration { return max(d-at, 2*time.Second) }
}

// TestOutage guards against long prompts that use up the tokens of an outage in its first seconds, so that urgent short ones are
// refused for the rest.
func TestOutage(t *testing.T) {
	begin := time.Unix(1000, 0)
	Convey("Given a customer whose tokens cover a part of its demand in an outage of 8 s", t, func() {
		for _, part := range []float64{0.3, 0.5, 0.7} {
			results := make(map[bool]map[int]outcome)
			for _, rations := range []bool{false, true} {
				var d Demand
				enough := int64(1e9)
				play(&d, begin, 20*time.Second, &enough, outageOf(0), true, urgentShort, long)
				stock := int64(part * 8 * perSecond)
				results[rations] = play(&d, begin.Add(20*time.Second), 8*time.Second, &stock, outageOf(9*time.Second), rations, urgentShort, long)
				So(stock, ShouldBeGreaterThanOrEqualTo, 0)
			}
			t.Logf("tokens for %.1f of the demand: urgent short %.2f, long %.2f served in turn; %.2f, %.2f rationed", part,
				results[false][3].share(), results[false][5].share(), results[true][3].share(), results[true][5].share())
			So(results[true][3].share(), ShouldEqual, 1)
			// What is not needed for urgent requests is used for the others, but for what is kept beyond the end of the outage.
			unused := float64(urgentShort.tokens) * urgentShort.perSecond * 2
			served := results[true][5].granted * float64(long.tokens)
			So(served, ShouldBeGreaterThanOrEqualTo, part*8*perSecond-8*urgentShort.perSecond*float64(urgentShort.tokens)-unused-float64(long.tokens))
		}
	})
	Convey("nothing is refused while the tokens last for all, nor if all requests have the same rank", t, func() {
		var d Demand
		stock := int64(1.5 * 28 * perSecond)
		served := play(&d, begin, 20*time.Second, &stock, outageOf(8*time.Second), true, urgentShort, long)
		So(served[3].share(), ShouldEqual, 1)
		So(served[5].share(), ShouldEqual, 1)
		var same Demand
		for i := range 100 {
			So(same.Decide(5, 9200, Supply{Tokens: 100, Lasts: 15 * time.Second}, begin.Add(time.Duration(i)*time.Millisecond)).Granted, ShouldBeTrue)
		}
	})
}

// TestNoRankStarves guards against a rank that gets nothing for as long as tokens are scarce.
func TestNoRankStarves(t *testing.T) {
	Convey("in a lack of tokens that lasts, each rank is served at least a quarter of the average", t, func() {
		var d Demand
		stock := int64(0)
		middle := load{rank: 4, perSecond: 10, tokens: 4000}
		begin, out := time.Unix(1000, 0), make(map[int]outcome)
		for second := range 120 {
			stock += perSecond / 2
			for rank, o := range play(&d, begin.Add(time.Duration(second)*time.Second), time.Second, &stock, outageOf(15*time.Second), true, urgentShort, middle, long) {
				out[rank] = outcome{out[rank].asked + o.asked, out[rank].granted + o.granted}
			}
		}
		var all outcome
		for _, o := range out {
			all = outcome{all.asked + o.asked, all.granted + o.granted}
		}
		t.Logf("served: rank 3 %.2f, 4 %.2f, 5 %.2f, all %.2f", out[3].share(), out[4].share(), out[5].share(), all.share())
		for _, o := range out {
			So(o.share(), ShouldBeGreaterThanOrEqualTo, all.share()/4)
		}
		So(out[3].share(), ShouldBeGreaterThan, out[5].share())
	})
}

// Guards against tokens of urgent requests that go to the first requests of a rank only because none of it has been served yet.
func TestFirstRequestsOfARankDoNotCountAsStarved(t *testing.T) {
	Convey("a rank must have asked several times before it is served for the floor", t, func() {
		var d Demand
		now, scarce := time.Unix(1000, 0), Supply{Tokens: 20_000, Lasts: 10 * time.Second}
		for i := range 100 {
			d.Decide(3, 1000, scarce, now.Add(time.Duration(i)*10*time.Millisecond))
		}
		now = now.Add(time.Second)
		for range minAsked - 1 {
			So(d.Decide(5, 9000, scarce, now).Granted, ShouldBeFalse)
		}
		So(d.Decide(5, 9000, scarce, now), ShouldResemble, Decision{Granted: true, Kept: d.before(5, scarce.Lasts), Floor: true})
	})
}

// TestPeek guards against an explanation that changes what it explains.
func TestPeek(t *testing.T) {
	Convey("Peek returns what Decide does and records nothing; Kept covers all but the least urgent rank", t, func() {
		var d Demand
		now := time.Unix(1000, 0)
		for i := range 100 {
			d.Decide(3, 1000, Supply{Tokens: 1e9}, now.Add(time.Duration(i)*100*time.Millisecond))
			d.Decide(5, 9000, Supply{Tokens: 1e9}, now.Add(time.Duration(i)*100*time.Millisecond))
		}
		now, s := now.Add(10*time.Second), Supply{Tokens: 20_000, Lasts: 10 * time.Second}
		before := d
		peeked := d.Peek(5, 9000, s, now)
		So(d, ShouldResemble, before)
		So(peeked.Granted, ShouldBeFalse)
		So(d.Decide(5, 9000, s, now), ShouldResemble, peeked)
		So(d.Kept(10*time.Second, now), ShouldEqual, peeked.Kept)
		So(d.Decide(-1, 0, s, now).Granted, ShouldBeTrue)
		So(d.Decide(99, 0, Supply{Tokens: 1e9, Lasts: time.Second}, now).Granted, ShouldBeTrue)
	})
}

// TestDemandIsKnownSoon guards against an instance that takes the demand for a part of what it is in the seconds after its start, so
// that less urgent requests use up what a kill of all instances has left of a budget.
func TestDemandIsKnownSoon(t *testing.T) {
	Convey("Given an instance that starts under a constant load", t, func() {
		var d Demand
		begin, stock := time.Unix(1000, 0), int64(1e9)
		for _, at := range []time.Duration{2 * time.Second, 5 * time.Second, 60 * time.Second} {
			play(&d, begin, at, &stock, outageOf(0), true, urgentShort, long)
			kept, needed := d.Kept(10*time.Second, begin.Add(at)), 10*urgentShort.perSecond*float64(urgentShort.tokens)
			So(float64(kept), ShouldAlmostEqual, needed, needed/4)
			begin, d = begin.Add(time.Hour), Demand{}
		}
		Convey("a first request says little", func() {
			So(d.Decide(3, 1100, Supply{Tokens: 1e9, Lasts: 10 * time.Second}, begin).Granted, ShouldBeTrue)
			So(d.Kept(10*time.Second, begin), ShouldEqual, 0)
			d.Decide(5, 9200, Supply{Tokens: 1e9, Lasts: 10 * time.Second}, begin)
			So(d.Kept(10*time.Second, begin), ShouldBeLessThan, 12*1100)
		})
	})
}
