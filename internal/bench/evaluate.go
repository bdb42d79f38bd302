package bench

import (
	"context"
	"sort"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"pumiceshelf/budget"
	"pumiceshelf/budget/naive"
	"pumiceshelf/internal/fleet"
	"pumiceshelf/internal/standin"
)

const (
	// maxLatencyMicros is the longest latency that the histogram records.
	maxLatencyMicros         = int64(time.Minute / time.Microsecond)
	latencySignificantDigits = 3
	// usageRecordsTimeout bounds the wait until every run in the engines' logs is charged exactly once.
	usageRecordsTimeout = 40 * time.Second
	// parkedTokensTimeout bounds the wait until no tokens are parked; what remains parked is counted.
	parkedTokensTimeout = 3 * time.Second
)

// evaluate fills in the figures that all experiments share from the callers' replies and the engines' own logs.
func (r *Run) evaluate(ctx context.Context, e Experiment) {
	latency := hdrhistogram.New(1, maxLatencyMicros, latencySignificantDigits)
	for _, q := range r.requests {
		r.countReply(q, latency)
	}
	r.Result.Requests = len(r.requests)
	r.Result.P50Ms = float64(latency.ValueAtQuantile(50)) / 1000
	r.Result.P99Ms = float64(latency.ValueAtQuantile(99)) / 1000
	runsByTag := r.engineRunsByTag()
	r.countRuns(runsByTag)
	r.Result.FalseRefusals = r.falseRefusals(e)
	r.evaluateCharges(ctx, runsByTag)
}

func (r *Run) countReply(q *request, latency *hdrhistogram.Histogram) {
	switch q.reply.Outcome {
	case fleet.Answered:
		r.Result.Answered++
		latency.RecordValue(q.reply.TotalTime.Microseconds())
	case fleet.NotRun:
		r.Result.NotRun++
		r.Result.Refusals[q.reply.Reason]++
	default:
		r.Result.Unknown++
		r.Result.Refusals[string(q.reply.Outcome)+":"+q.reply.Reason]++
	}
	if q.reply.Wrong {
		r.Result.WrongAnswers++
	}
	if q.reply.Partial {
		r.Result.PartialAnswers++
	}
}

// engineRunsByTag returns the engines' log entries of each request of the load, by the request's tag.
func (r *Run) engineRunsByTag() map[string][]standin.Run {
	out := make(map[string][]standin.Run)
	for _, e := range r.Fleet.Engines {
		for _, run := range e.Runs() {
			out[tagFromPrompt(run.Prompt)] = append(out[tagFromPrompt(run.Prompt)], run)
		}
	}
	return out
}

func (r *Run) countRuns(runsByTag map[string][]standin.Run) {
	for _, q := range r.requests {
		runCount := len(runsByTag[q.tag])
		if q.runsAtMostOnce() && runCount > 1 {
			r.Result.DoubleRuns++
		}
		if runCount > 0 && q.notRunOnEveryAttempt() {
			r.Result.NotRunButRan++
		}
	}
}

// notRunOnEveryAttempt reports whether every attempt was answered with "not run".
func (q *request) notRunOnEveryAttempt() bool {
	for _, reply := range q.replies {
		if reply.Outcome != fleet.NotRun {
			return false
		}
	}
	return len(q.replies) > 0
}

// budgetEvent is a change of the reference model's budgets, at an offset from the start of the load.
type budgetEvent struct {
	at    time.Duration
	apply func()
}

// falseRefusals counts refused requests that the reference model, which sees every budget without delay, would have
// admitted.
func (r *Run) falseRefusals(e Experiment) int {
	if e.overloaded {
		return r.falseRefusalsUnderOverload(e)
	}
	model := naive.New()
	for _, c := range customers {
		model.Grant(mainBudgetOf(c), budget.Tokens(e.budgetTokens))
	}
	admitted := make(map[string]bool)
	var events []budgetEvent
	for _, g := range r.grants {
		events = append(events, budgetEvent{g.at, func() { g.apply(model, e.budgetTokens) }})
	}
	for _, q := range r.requests {
		id, bound := mainBudgetOf(q.call.Customer), budget.Tokens(q.boundTokens(r.Fleet))
		events = append(events,
			budgetEvent{q.start, func() { admitted[q.tag] = model.Reserve(id, q.tag, bound) }},
			budgetEvent{q.end, func() { model.Settle(id, q.tag, budget.Tokens(q.usedTokens())) }})
	}
	sort.SliceStable(events, func(i, j int) bool { return events[i].at < events[j].at })
	for _, ev := range events {
		ev.apply()
	}
	count := 0
	for _, q := range r.requests {
		if q.reply.Outcome == fleet.NotRun && admitted[q.tag] {
			count++
		}
	}
	return count
}

// falseRefusalsUnderOverload returns the number of requests that the engines could have answered before the deadline, less
// the number that were answered.
func (r *Run) falseRefusalsUnderOverload(e Experiment) int {
	totalSteps := 0
	for _, q := range r.requests {
		totalSteps += q.answerTokens() + 1
	}
	perRequest := time.Duration(totalSteps/len(r.requests)) * engineStep
	requestsPerSlot := int(e.load.deadline / perRequest)
	capacity := min(requestsPerSlot*e.slots()*len(r.Fleet.Engines), len(r.requests))
	r.recordFigure("capacity", float64(capacity))
	return max(0, capacity-r.Result.Answered)
}

// answerTokens returns the length of the complete answer in tokens.
func (q *request) answerTokens() int {
	model, prompt, _, _ := standin.ParsePrompt(q.call.Body())
	return min(standin.AnswerLength(model, prompt), q.call.CapTokens)
}

// usedTokens returns the usage that an engine reports for the request, or zero if it did not run.
func (q *request) usedTokens() int {
	if q.reply.Outcome == fleet.NotRun {
		return 0
	}
	_, _, tokens, _ := standin.ParsePrompt(q.call.Body())
	return tokens + q.answerTokens()
}

// boundTokens returns the most that the request can be charged: one token for each byte of the prompt, the template's
// bound and the cap.
func (q *request) boundTokens(f *fleet.Fleet) int {
	return len(q.call.Prompt) + f.TemplateBound() + q.call.CapTokens
}

func mainBudgetOf(customer string) budget.ID {
	return budget.ID{Customer: customer, Budget: fleet.MainBudget}
}
