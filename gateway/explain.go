package gateway

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"pumiceshelf/api"
	"pumiceshelf/placement"
	"pumiceshelf/quarantine"
	"pumiceshelf/routing"
	"pumiceshelf/shed"
)

// Decisions in replies of Explain.
const (
	decisionSend   = "send"
	decisionRefuse = "refuse"
)

// explanation is a request of which it is explained where it would go. It has a job, whose methods decide as for a real request,
// but none that changes state or uses its HTTP request is called.
type explanation struct {
	job     *job
	request *api.ExplainRequest
	reply   *api.ExplainReply
	now     time.Time
	// notes describe what would happen to the request before it is sent.
	notes []string
}

// Explain returns what this instance would do with a request now. It changes no state: no tokens are reserved, no endpoint gets the
// request, and neither the retry budget nor the quarantine counts it.
func (g *Gateway) Explain(request *api.ExplainRequest) *api.ExplainReply {
	e := &explanation{
		job: &job{gateway: g, started: g.config.Clock.Now()}, request: request, reply: &api.ExplainReply{Instance: g.config.Self},
		now: g.config.Clock.Now(),
	}
	if problem := e.identify(); problem != "" {
		e.reply.Error = problem
		return e.reply
	}
	// All endpoints are listed even if the request would be refused before one is chosen.
	choice := e.listEndpoints()
	checkEndpoint := func() *refusal { return e.checkEndpoint(choice) }
	for _, step := range []func() *refusal{e.job.checkCustomer, e.checkQuarantine, e.checkBudget, e.checkRoom, checkEndpoint} {
		if r := step(); r != nil {
			e.refuse(*r)
			return e.reply
		}
	}
	e.reply.Decision, e.reply.Chosen, e.reply.Reason = decisionSend, choice.Chosen.ID, strings.Join(e.notes, "; ")
	return e.reply
}

// identify finds the route, the customer and the service. It returns the problem if one is not known.
func (e *explanation) identify() string {
	j, g := e.job, e.job.gateway
	j.table = g.config.Table()
	if j.table == nil || g.config.Endpoints() == nil {
		return "the instance has no configuration or no list of endpoints yet"
	}
	e.reply.ConfigurationVersion = j.table.Version()
	if j.route = j.table.Match(e.request.Host, e.request.Path); j.route == nil {
		return fmt.Sprintf("no route for host %q and path %q in configuration version %d", e.request.Host, e.request.Path, j.table.Version())
	}
	if e.request.Customer != "" {
		if j.customer = j.table.Customer(e.request.Customer); j.customer == nil {
			return fmt.Sprintf("no customer %q in configuration version %d", e.request.Customer, j.table.Version())
		}
	}
	if e.request.PromptTokens < 0 || e.request.MaxOutputTokens < 0 {
		return fmt.Sprintf("token counts %d and %d, want no negative ones", e.request.PromptTokens, e.request.MaxOutputTokens)
	}
	if j.service = e.mainService(); j.service == "" {
		return fmt.Sprintf("route %q has no service in configuration version %d", j.route.Name, j.table.Version())
	}
	j.meta = RequestMeta{PromptTokens: e.request.PromptTokens, MaxOutputTokens: e.request.MaxOutputTokens, Timeout: e.request.Timeout.AsDuration()}
	j.deadline = j.started.Add(j.timeLimit())
	for _, p := range e.request.PromptParts {
		j.meta.PromptParts = append(j.meta.PromptParts, placement.PromptPart{ID: p.Id, Tokens: p.Tokens})
	}
	e.reply.Route, e.reply.Service, e.reply.Customer = j.route.Name, j.service, j.customerName()
	if j.engine() != nil {
		e.reply.Priority = int32(enginePriority(j.customer, j.route))
	}
	return ""
}

// mainService returns the service that gets most of the route's requests, because a request draws its service at random.
func (e *explanation) mainService() string {
	targets, total := e.job.route.Targets, 0
	if len(targets) == 0 {
		return ""
	}
	for _, t := range targets {
		total += max(t.Weight, 0)
	}
	main := slices.MaxFunc(targets, func(a, b routing.Target) int { return a.Weight - b.Weight })
	if len(targets) > 1 && total > 0 {
		e.notes = append(e.notes, fmt.Sprintf("service %s gets %d%% of the requests of the route", main.Service, 100*max(main.Weight, 0)/total))
	}
	return main.Service
}

// listEndpoints sets the endpoints of the reply. It returns the choice among them.
func (e *explanation) listEndpoints() placement.Explanation {
	config := e.job.gateway.config
	choice := config.Chooser.Explain(e.job.candidates(e.now), e.job.placementRequest(), e.now)
	for _, c := range choice.Candidates {
		out := &api.ExplainedEndpoint{
			Id: c.Endpoint.ID, Domain: c.Endpoint.Domain, SoftwareVersion: c.Endpoint.SoftwareVersion, Usable: c.Usable, Remarks: c.Remarks,
			InFlight: int32(c.InFlight),
		}
		if c.ExpectedFirstEvent > 0 {
			out.ExpectedFirstEvent = durationpb.New(c.ExpectedFirstEvent)
		}
		if config.Limits.IsCold(c.Endpoint, e.now) {
			out.Remarks = append(out.Remarks, "cold")
		}
		load, age := c.Load, c.LoadAge
		if config.Loads != nil {
			if v, ok := config.Loads.View(c.Endpoint, e.now); ok && (age < 0 || v.Age <= age) {
				load = placement.Load{Running: v.Running, Waiting: v.Waiting, Slots: v.Slots, WorkTime: v.WorkTime}
				age = v.Age
				if v.TypicalWorkTime > 0 {
					out.Remarks = append(out.Remarks, fmt.Sprintf("typical work time %.2f", v.TypicalWorkTime))
				}
				if !v.Fresh() {
					out.Remarks = append(out.Remarks, "the report is too old to describe the queue")
				}
			}
		}
		if age >= 0 {
			out.Running, out.Waiting, out.Slots, out.WorkTime = int32(load.Running), int32(load.Waiting), int32(load.Slots), load.WorkTime
			out.ReportAge = durationpb.New(age)
		}
		e.reply.Endpoints = append(e.reply.Endpoints, out)
	}
	for _, evacuated := range config.Endpoints().Evacuated(e.job.service) {
		e.reply.Endpoints = append(e.reply.Endpoints, &api.ExplainedEndpoint{
			Id: evacuated.ID, Domain: evacuated.Domain, SoftwareVersion: evacuated.SoftwareVersion,
			Remarks: []string{"failure domain " + evacuated.Domain + " is evacuated"},
		})
	}
	return choice
}

// checkQuarantine refuses a request with a prompt part in quarantine. Its content as a whole is not known.
func (e *explanation) checkQuarantine() *refusal {
	v, quarantined := e.job.gateway.config.Quarantine.Peek(e.job.meta.sharedParts(), e.now)
	if !quarantined {
		return nil
	}
	e.notes = append(e.notes, fmt.Sprintf("prompt part %s is in quarantine, endpoints %s crashed while requests with it waited", v.Part, strings.Join(v.Endpoints, ", ")))
	return &refusal{reason: reasonQuarantinedPrompt, retryAfter: quarantine.QuietPeriod}
}

// checkBudget reports whether the customer's budget covers the request. Only the ledger or the token holder knows if this instance has
// too few tokens.
func (e *explanation) checkBudget() *refusal {
	j := e.job
	if j.customer == nil || j.customer.PrepaidTokens == nil {
		return nil
	}
	e.reply.Prepaid, e.reply.NeededTokens = true, j.neededTokens()
	if j.gateway.config.BudgetView == nil {
		return nil
	}
	view := j.gateway.config.BudgetView(j.customer.Name)
	e.reply.AvailableTokens = view.Available
	rationed := j.gateway.config.BudgetRationed
	switch {
	case e.reply.NeededTokens == 0:
		return nil
	case rationed != nil && rationed(j.customer.Name, enginePriority(j.customer, j.route), e.reply.NeededTokens):
		return j.budgetRationed()
	case view.Waiting == 0 && view.Available >= e.reply.NeededTokens:
		return nil
	case view.Exhausted(e.reply.NeededTokens):
		return budgetExhausted()
	}
	from := "the ledger"
	if !view.Leases {
		from = "the token holder of the failure domain"
	}
	behind := ""
	if view.Waiting > 0 {
		behind = fmt.Sprintf(", behind %d other requests", view.Waiting)
	}
	e.notes = append(e.notes, fmt.Sprintf("waits for tokens from %s first%s; refused if there are too few", from, behind))
	return nil
}

// checkRoom refuses a request for which load shedding sees no capacity. It notes how the request was judged as long as the service
// lacks capacity for all. Whether the request was refused before is not known.
func (e *explanation) checkRoom() *refusal {
	s := e.job.gateway.shedding
	if s == nil {
		return nil
	}
	room := s.readRoom(e.job.service, e.now)
	if !room.Known {
		return nil
	}
	d := s.shedder.Peek(e.job.service, e.job.shedRequest(), room, e.now)
	if d.HasRoom {
		return nil
	}
	e.notes = append(e.notes, explainShed(d, room))
	if d.Verdict == shed.Send {
		return nil
	}
	return &refusal{reason: reasonNoRoom, retryAfter: d.RetryAfter}
}

// explainShed describes how load shedding judged a request of a service that lacks capacity for all.
func explainShed(d shed.Decision, room shed.Room) string {
	judged := "before the cut-off"
	switch d.Reason {
	case shed.ReasonCutoff:
		judged = "behind the cut-off"
	case shed.ReasonLate:
		judged = "could not meet its deadline"
	case shed.ReasonFloor:
		judged = "behind the cut-off, but too few of its customer, route, size or rank were served"
	}
	return fmt.Sprintf("no capacity for all requests: %s; rank %d, cut-off rank %d, expected work %v, %.2f times the capacity is asked for, %d running and %d waiting on %d slots",
		judged, d.Rank, d.CutoffRank, d.Work.Round(time.Millisecond), d.Excess, room.Running, room.Waiting, room.Slots)
}

// checkEndpoint refuses a request for which no endpoint would be chosen.
func (e *explanation) checkEndpoint(choice placement.Explanation) *refusal {
	j := e.job
	if slices.Contains(j.gateway.reach.Lost(), j.service) {
		e.notes = append(e.notes, "the service is out of reach of this instance, which passes requests on to other instances first")
	}
	if choice.Outcome == placement.Chosen {
		return nil
	}
	if choice.Outcome == placement.Overloaded {
		e.notes = append(e.notes, fmt.Sprintf("the engine begins with the prompt in about %v", choice.EstimatedWait.Round(time.Millisecond)))
	}
	return j.giveUp(j.missingEndpoint(choice.Outcome, choice.EstimatedWait))
}

// refuse sets the reply for a request that would be refused.
func (e *explanation) refuse(r refusal) {
	e.reply.Decision, e.reply.Reason = decisionRefuse, strings.Join(append([]string{string(r.reason)}, e.notes...), "; ")
	if r.retryAfter > 0 {
		e.reply.RetryAfter = durationpb.New(r.retryAfter)
	}
}
