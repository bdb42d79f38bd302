package placement

import (
	"fmt"
	"reflect"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"pumiceshelf/endpointlimit"
	"pumiceshelf/endpointload"
	"pumiceshelf/registry"
)

// explainFixture is a Chooser with six engines in two domains.
type explainFixture struct {
	chooser *Chooser
	limits  *endpointlimit.Limits
	all     []registry.Endpoint
	now     time.Time
}

func newExplainFixture() *explainFixture {
	f := &explainFixture{now: time.Unix(1000, 0), limits: endpointlimit.New(endpointlimit.Config{
		Self: "front-1", Instances: func() []string { return []string{"front-1"} }, OnChange: func(endpointlimit.Change) {},
		ColdBound: endpointlimit.ColdBound{Overage: 1.5, Slack: 5}, ColdRate: func(string) float64 { return 4 },
	})}
	f.chooser = NewWithLoads(f.limits, endpointload.New())
	for i := range 6 {
		f.all = append(f.all, registry.Endpoint{ID: fmt.Sprintf("i-%d", i), Service: "model", Domain: fmt.Sprintf("hall-%d", i%2), Slots: 8})
	}
	return f
}

func (f *explainFixture) request(session string) Request {
	return Request{
		Service: "model", PromptTokens: 9000, Priority: 3, Domain: "hall-0", MaxTimeToFirstToken: 2 * time.Second,
		PromptParts: []PromptPart{{ID: "tool", Tokens: 2500}, {ID: session, Tokens: 3700}, {ID: "own", Tokens: 2800}},
	}
}

func (f *explainFixture) explain(r Request) Explanation { return f.chooser.Explain(f.all, r, f.now) }

func (f *explainFixture) pick(r Request) *Ticket { return f.chooser.Pick(f.all, r, nil, f.now).Ticket }

func (f *explainFixture) candidate(id string) Candidate {
	for _, c := range f.explain(f.request("s1")).Candidates {
		if c.Endpoint.ID == id {
			return c
		}
	}
	return Candidate{}
}

// stateText returns all recorded state of the endpoints.
func (f *explainFixture) stateText() string {
	out := ""
	for _, e := range f.all {
		s := f.chooser.states[e.ID]
		if s == nil {
			continue
		}
		copied := *s
		copied.prefills = nil
		out += fmt.Sprintf("%+v %d prefills\n", copied, len(s.prefills))
	}
	return out
}

func TestExplain(t *testing.T) {
	Convey("Explain names the endpoint that Pick chooses next, first in the list, and changes no state", t, func() {
		f, chosen := newExplainFixture(), 0
		for i := range 200 {
			r := f.request(fmt.Sprint("s", i%7))
			if i%5 == 0 {
				r = Request{Service: "model", Domain: "hall-0"}
			}
			before := f.stateText()
			first, second := f.explain(r), f.explain(r)
			So(f.stateText(), ShouldEqual, before)
			So(second, ShouldResemble, first)
			choice := f.chooser.Pick(f.all, r, nil, f.now)
			So(choice.Outcome, ShouldEqual, first.Outcome)
			f.now = f.now.Add(37 * time.Millisecond)
			if choice.Outcome != Chosen {
				continue
			}
			chosen++
			ticket := choice.Ticket
			So(ticket.Endpoint.ID, ShouldEqual, first.Chosen.ID)
			So(first.Candidates, ShouldHaveLength, 6)
			So(first.Candidates[0].Endpoint.ID, ShouldEqual, first.Chosen.ID)
			ticket.RecordLoad(Load{Running: i % 8, Slots: 8}, f.now)
			if i%3 > 0 {
				ticket.Done([]Result{Served, Busy, Served, Errored}[i%4], f.now)
			}
		}
		So(chosen, ShouldBeGreaterThan, 50)
	})
	Convey("Explain takes none of the requests that a rate limit permits, and does not let time pass for it", t, func() {
		f, other := newExplainFixture(), newExplainFixture()
		for _, limited := range []*explainFixture{f, other} {
			for i, e := range limited.all {
				if i < 3 {
					limited.limits.Named(e, 2, limited.now)
				} else {
					limited.limits.RecordCold(endpointlimit.ColdStatement{Endpoint: e, Left: time.Minute}, limited.now)
				}
			}
		}
		for i := range 300 {
			f.now, other.now = f.now.Add(10*time.Millisecond), other.now.Add(10*time.Millisecond)
			// Only one of the two fixtures explains.
			explained := f.explain(f.request("s1"))
			got, want := f.chooser.Pick(f.all, f.request("s1"), nil, f.now), other.chooser.Pick(other.all, other.request("s1"), nil, other.now)
			SoMsg(fmt.Sprint(i), got.Outcome, ShouldEqual, want.Outcome)
			So(explained.Outcome, ShouldEqual, got.Outcome)
			if want.Outcome == Chosen {
				So(got.Ticket.Endpoint.ID, ShouldEqual, want.Ticket.Endpoint.ID)
				So(explained.Chosen.ID, ShouldEqual, got.Ticket.Endpoint.ID)
				got.Ticket.Done(Served, f.now)
				want.Ticket.Done(Served, other.now)
			}
		}
	})
	Convey("the outcome is the one of Pick if no endpoint can be chosen", t, func() {
		f := newExplainFixture()
		So(f.chooser.Explain(nil, f.request("s1"), f.now).Outcome, ShouldEqual, NoEndpoint)
		for _, e := range f.all {
			ticket := f.chooser.Pick([]registry.Endpoint{e}, f.request("s1"), nil, f.now).Ticket
			ticket.RecordPause(time.Second, f.now)
			ticket.Done(Busy, f.now)
		}
		explained := f.explain(f.request("s1"))
		So(explained.Outcome, ShouldEqual, Paused)
		So(explained.Chosen.ID, ShouldBeEmpty)
		So(explained.Candidates[0].Usable, ShouldBeFalse)
		So(explained.Candidates[0].Remarks, ShouldContain, "wants no requests for 1s")
		f = newExplainFixture()
		f.all = f.all[:1]
		for range 60 {
			f.pick(f.request("s1"))
		}
		explained = f.explain(f.request("other"))
		So(explained.Outcome, ShouldEqual, Overloaded)
		So(explained.EstimatedWait, ShouldBeGreaterThan, time.Second)
	})
	Convey("remarks name what counts for and against an endpoint", t, func() {
		f := newExplainFixture()
		preferred := f.explain(f.request("s1")).Chosen
		So(f.candidate(preferred.ID).Remarks, ShouldContain, "preferred by the session")
		f.pick(f.request("s1")).RecordLoad(Load{Running: 5, Waiting: 1, Slots: 8, WorkTime: 1.7}, f.now)
		f.now = f.now.Add(100 * time.Millisecond)
		c := f.candidate(preferred.ID)
		So(c.Remarks, ShouldContain, "has the shared parts of the prompt from this instance")
		So(c.InFlight, ShouldEqual, 1)
		So(c.Load, ShouldResemble, Load{Running: 5, Waiting: 1, Slots: 8, WorkTime: 1.7})
		So(c.LoadAge, ShouldEqual, 100*time.Millisecond)
		So(c.ExpectedFirstEvent, ShouldBeGreaterThan, 100*time.Millisecond)

		for _, test := range []struct {
			result Result
			remark string
		}{
			{Busy, "busy: it had no free slot, skipped for 100ms"}, {Unreachable, "ejected for 1s after failures"},
			{Unresponsive, "ejected for 1s, or until it responds: it responded to no request"},
		} {
			f := newExplainFixture()
			ticket := f.pick(f.request("s1"))
			ticket.Done(test.result, f.now)
			c := f.candidate(ticket.Endpoint.ID)
			So(c.Usable, ShouldBeFalse)
			So(c.Remarks, ShouldContain, test.remark)
		}

		f = newExplainFixture()
		ticket := f.pick(f.request("s1"))
		ticket.RecordDraining()
		So(f.candidate(ticket.Endpoint.ID).Remarks, ShouldContain, "leaving: it has said that it is about to stop")
		f = newExplainFixture()
		for range 6 {
			f.chooser.Pick(f.all[:1], f.request("s1"), nil, f.now).Ticket.Done(Errored, f.now)
		}
		So(f.candidate("i-0").Remarks[0], ShouldStartWith, "failing: ")
		for _, i := range []int{1, 3} {
			f.chooser.Pick(f.all[i:i+1], f.request("s1"), nil, f.now).Ticket.Done(Unreachable, f.now)
		}
		So(f.candidate("i-5").Remarks, ShouldContain, "failure domain hall-1 is not reached, skipped for 1.5s")
		So(f.candidate("i-5").Remarks, ShouldContain, "in another failure domain")
		f.limits.Named(f.all[2], 0.2, f.now)
		So(f.candidate("i-2").Remarks, ShouldContain, "limits its rate to 0.2 requests per second, of which this instance has used its part")
	})
}

// TestExplainOfSpeeds guards against an explanation that leaves out that slow engines are not eligible.
func TestExplainOfSpeeds(t *testing.T) {
	Convey("slow engines are named as such, and the chosen one is none of them", t, func() {
		f := newExplainFixture()
		for i, e := range f.all {
			f.chooser.loads.Record(e, endpointload.Report{Running: 1, Slots: 8, WorkTime: []float64{0.7, 1.7}[i/3]}, f.now)
		}
		for tokens, remark := range map[int64]string{9000: "too slow for long prompts", 200: "slow, and faster engines have room"} {
			r := f.request("s1")
			r.PromptTokens, r.MaxEventGap = tokens, 300*time.Millisecond
			before := f.stateText()
			explained := f.explain(r)
			So(f.stateText(), ShouldEqual, before)
			for _, c := range explained.Candidates {
				slow := c.Endpoint.ID >= "i-3"
				So(slices.Contains(c.Remarks, remark), ShouldEqual, slow)
				So(slow && c.Endpoint.ID == explained.Chosen.ID, ShouldBeFalse)
			}
			choice := f.chooser.Pick(f.all, r, nil, f.now)
			So(choice.Outcome, ShouldEqual, explained.Outcome)
			So(choice.Ticket.Endpoint.ID, ShouldEqual, explained.Chosen.ID)
			choice.Ticket.Done(Served, f.now)
		}
	})
}

// TestExplainCopiesAllState fails if Chooser gets a field that Explain does not know. Pick would then decide without it, or change it.
func TestExplainCopiesAllState(t *testing.T) {
	f := newExplainFixture()
	copied := reflect.ValueOf(f.chooser.copyFor(f.all, f.request("s1"))).Elem()
	for i := range copied.NumField() {
		if name := copied.Type().Field(i).Name; name != "mu" && copied.Field(i).IsZero() {
			t.Errorf("copyFor does not set the field %s of Chooser", name)
		}
	}
}
