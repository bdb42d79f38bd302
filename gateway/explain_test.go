package gateway_test

import (
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"google.golang.org/protobuf/types/known/durationpb"

	"pumiceshelf/api"
	"pumiceshelf/endpointload"
	"pumiceshelf/prepaid"
	"pumiceshelf/quarantine"
	"pumiceshelf/routing"
)

func explainRequest(path string) *api.ExplainRequest {
	return &api.ExplainRequest{
		Host: "a.example", Path: path, Customer: "alwusta", PromptTokens: 1050, MaxOutputTokens: 80,
		PromptParts: []*api.ExplainedPromptPart{{Id: "sys", Tokens: 800}, {Id: "own", Tokens: 250}},
	}
}

func TestExplain(t *testing.T) {
	Convey("Given a gateway with two endpoints", t, func() {
		h := newHarness(newFakeEndpoint("i-1", respondWith(200, "ok")), newFakeEndpoint("i-2", respondWith(200, "ok")))
		Reset(h.close)
		view := prepaid.View{Available: 5000, Age: 0, Leases: true, Reservable: 6000}
		h.config.BudgetView = func(string) prepaid.View { return view }
		rationed := int64(0)
		h.config.BudgetRationed = func(_ string, _ int, tokens int64) bool { return rationed > 0 && tokens >= rationed }
		h.config.Quarantine = quarantine.New(quarantine.Config{})
		h.config.Loads = endpointload.New()
		h.restart()
		send := func(id string) response {
			return h.send(http.MethodGet, "/fetch/1", "", map[string]string{
				"X-Request-Id": id, "Api-Key": "key", "X-Token-Counts": "1050,80", "X-Prefix-Hash": "sys:800,own:250",
			})
		}

		Convey("the reply names route, customer, rank, budget and the endpoint that gets the request, and nothing is sent or reserved", func() {
			reply := h.gateway.Explain(explainRequest("/fetch/1"))
			So(reply.Error, ShouldBeEmpty)
			So(reply.Instance, ShouldEqual, h.config.Self)
			So(reply.ConfigurationVersion, ShouldEqual, 3)
			So([]string{reply.Route, reply.Service, reply.Customer, reply.Decision, reply.Reason}, ShouldResemble, []string{"fetch", "model", "alwusta", "send", ""})
			So(reply.Priority, ShouldEqual, 3)
			So(reply.Prepaid, ShouldBeTrue)
			So([]int64{reply.NeededTokens, reply.AvailableTokens}, ShouldResemble, []int64{1130, 5000})
			So(reply.Endpoints, ShouldHaveLength, 2)
			So(reply.Endpoints[0].Id, ShouldEqual, reply.Chosen)
			So(reply.Endpoints[0].Usable, ShouldBeTrue)
			So(reply.Endpoints[0].Remarks, ShouldContain, "preferred by the session")
			So(reply.Endpoints[0].ReportAge, ShouldBeNil)
			So(reply.Endpoints[0].ExpectedFirstEvent.AsDuration(), ShouldBeGreaterThan, 0)

			So(h.requestCount(), ShouldEqual, 0)
			So(h.budgets.reserved.Load(), ShouldEqual, 0)
			So(h.counterValue("gateway.requests"), ShouldEqual, 0)
			So(h.counterValue("gateway.attempts"), ShouldEqual, 0)
			So(send("r-1").status, ShouldEqual, 200)
			for _, e := range h.endpoints {
				So(e.requestCount() == 1, ShouldEqual, e.id == reply.Chosen)
			}
		})
		Convey("the shared load report of an endpoint is shown with its age and the typical work time", func() {
			e := h.endpoints[0].registration()
			h.config.Loads.Record(e, endpointload.Report{Running: 3, Waiting: 1, Slots: 8, WorkTime: 1.7}, time.Now().Add(-5*time.Second))
			for _, shown := range h.gateway.Explain(explainRequest("/fetch/1")).Endpoints {
				if shown.Id != e.ID {
					So(shown.ReportAge, ShouldBeNil)
					continue
				}
				So([]int32{shown.Running, shown.Waiting, shown.Slots}, ShouldResemble, []int32{3, 1, 8})
				So(shown.WorkTime, ShouldEqual, 1.7)
				So(shown.ReportAge.AsDuration(), ShouldBeBetween, 5*time.Second, 20*time.Second)
				So(shown.Remarks, ShouldContain, "typical work time 1.70")
				So(shown.Remarks, ShouldContain, "the report is too old to describe the queue")
			}
		})
		Convey("a request that load shedding would refuse is refused with its rank, work and time to retry, and is not counted", func() {
			for _, e := range h.endpoints {
				h.config.Loads.Record(e.registration(), endpointload.Report{Running: 8, Waiting: 100, Slots: 8, WorkTime: 1}, time.Now())
			}
			late := explainRequest("/fetch/1")
			late.PromptTokens, late.MaxOutputTokens, late.Timeout = 1000, 50, durationpb.New(2*time.Second)
			for range 3 {
				reply := h.gateway.Explain(late)
				So([]string{reply.Decision, reply.Chosen}, ShouldResemble, []string{"refuse", ""})
				So(reply.Reason, ShouldStartWith, "no-room; no capacity for all requests: could not meet its deadline; rank 3, cut-off rank 9, expected work 943ms, ")
				So(reply.Reason, ShouldEndWith, " times the capacity is asked for, 16 running and 200 waiting on 16 slots")
				So(reply.RetryAfter.AsDuration(), ShouldBeGreaterThan, 0)
				So(reply.Endpoints, ShouldHaveLength, 2)
			}
			So(h.counterValue("shed.refused.late"), ShouldEqual, 0)
			So(h.counterValue("shed.refused.rank3"), ShouldEqual, 0)
			for _, e := range h.endpoints {
				h.config.Loads.Record(e.registration(), endpointload.Report{Running: 6, Slots: 8, WorkTime: 1}, time.Now().Add(time.Millisecond))
			}
			reply := h.gateway.Explain(late)
			So([]string{reply.Decision, reply.Reason}, ShouldResemble, []string{"send", ""})
		})
		Convey("an unknown route or customer, and negative tokens, are errors that name them", func() {
			unknown := explainRequest("/else/1")
			So(h.gateway.Explain(unknown).Error, ShouldEqual, `no route for host "a.example" and path "/else/1" in configuration version 3`)
			unknown = explainRequest("/fetch/1")
			unknown.Customer = "nobody"
			So(h.gateway.Explain(unknown).Error, ShouldEqual, `no customer "nobody" in configuration version 3`)
			unknown = explainRequest("/fetch/1")
			unknown.PromptTokens = -1
			So(h.gateway.Explain(unknown).Error, ShouldEqual, "token counts -1 and 80, want no negative ones")
			h.table.Store(nil)
			reply := h.gateway.Explain(explainRequest("/fetch/1"))
			So(reply.Error, ShouldEqual, "the instance has no configuration or no list of endpoints yet")
			So(reply.Decision, ShouldBeEmpty)
		})
		Convey("a request without a customer is refused where a key is needed, and sent on a public route", func() {
			anonymous := explainRequest("/fetch/1")
			anonymous.Customer = ""
			reply := h.gateway.Explain(anonymous)
			So([]string{reply.Decision, reply.Reason, reply.Chosen}, ShouldResemble, []string{"refuse", "unknown-key", ""})
			So(reply.Endpoints, ShouldHaveLength, 2)
			anonymous.Path = "/public/1"
			So(h.gateway.Explain(anonymous).Decision, ShouldEqual, "send")
		})
		Convey("a budget that is known to be used up refuses, and one that needs more tokens waits for them", func() {
			view = prepaid.View{Available: 100, Leases: true, Reservable: 100}
			reply := h.gateway.Explain(explainRequest("/fetch/1"))
			So([]string{reply.Decision, reply.Reason}, ShouldResemble, []string{"refuse", "budget-exhausted"})
			So(reply.RetryAfter, ShouldBeNil)
			view = prepaid.View{Available: 100, Reservable: 100, Waiting: 2}
			reply = h.gateway.Explain(explainRequest("/fetch/1"))
			So(reply.Decision, ShouldEqual, "send")
			So(reply.Reason, ShouldEqual, "waits for tokens from the token holder of the failure domain first, behind 2 other requests; refused if there are too few")
		})
		// Guards against an explanation that a request is sent whose tokens are kept for more urgent ones.
		Convey("a budget whose tokens are kept for more urgent requests refuses", func() {
			rationed = 1
			reply := h.gateway.Explain(explainRequest("/fetch/1"))
			So([]string{reply.Decision, reply.Reason}, ShouldResemble, []string{"refuse", "budget-rationed"})
			So(reply.RetryAfter.AsDuration(), ShouldEqual, 2*time.Second)
			rationed = reply.NeededTokens + 1
			So(h.gateway.Explain(explainRequest("/fetch/1")).Decision, ShouldEqual, "send")
		})
		Convey("a prompt part in quarantine refuses, and asking does not extend the quarantine", func() {
			now := time.Now()
			h.config.Quarantine.Merge(quarantine.State{Quarantined: []quarantine.Quarantined{{
				Verdict:        quarantine.Verdict{Part: "sys", Endpoints: []string{"i-7", "i-8", "i-9"}, LastCrashAge: time.Second, Remaining: time.Minute},
				LastRequestAge: time.Second,
			}}}, now)
			reply := h.gateway.Explain(explainRequest("/fetch/1"))
			So(reply.Decision, ShouldEqual, "refuse")
			So(reply.Reason, ShouldEqual, "quarantined-prompt; prompt part sys is in quarantine, endpoints i-7, i-8, i-9 crashed while requests with it waited")
			So(reply.RetryAfter.AsDuration(), ShouldEqual, quarantine.QuietPeriod)
			ended := now.Add(quarantine.QuietPeriod)
			h.config.Quarantine.Peek([]string{"sys"}, ended.Add(-2*time.Second))
			_, quarantined := h.config.Quarantine.Quarantined([]string{"sys"}, ended)
			So(quarantined, ShouldBeFalse)
		})
		Convey("a service without endpoints refuses with the reason and the time to retry", func() {
			h.endpoints, h.config.Loads = nil, nil
			h.list()
			reply := h.gateway.Explain(explainRequest("/fetch/1"))
			So([]string{reply.Decision, reply.Reason}, ShouldResemble, []string{"refuse", "no-endpoint"})
			So(reply.RetryAfter.AsDuration(), ShouldEqual, time.Second)
			So(reply.Endpoints, ShouldBeEmpty)
		})
		Convey("endpoints of an evacuated failure domain are listed last with the reason, and refuse if there are no others", func() {
			h.evacuate(h.endpoints[0])
			reply := h.gateway.Explain(explainRequest("/fetch/1"))
			So([]string{reply.Decision, reply.Chosen}, ShouldResemble, []string{"send", "i-2"})
			So(reply.Endpoints[1].Id, ShouldEqual, "i-1")
			So(reply.Endpoints[1].Usable, ShouldBeFalse)
			So(reply.Endpoints[1].Remarks, ShouldResemble, []string{"failure domain hall-x is evacuated"})
			h.evacuate(h.endpoints...)
			reply = h.gateway.Explain(explainRequest("/fetch/1"))
			So([]string{reply.Decision, reply.Reason}, ShouldResemble, []string{"refuse", "evacuated"})
			So(reply.RetryAfter.AsDuration(), ShouldBeGreaterThan, 0)
		})
		Convey("a route with several services is explained for the one with the greatest weight", func() {
			h.changeRoutes(func(r *routing.Route) {
				r.Targets = []routing.Target{{Service: "other", Weight: 1}, {Service: "model", Weight: 3}}
			})
			reply := h.gateway.Explain(explainRequest("/fetch/1"))
			So(reply.Service, ShouldEqual, "model")
			So(reply.Reason, ShouldEqual, "service model gets 75% of the requests of the route")
		})
	})
}
