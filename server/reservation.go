package server

import (
	"context"
	"errors"
	"time"

	"pumiceshelf/budget"
	"pumiceshelf/endpoint"
	"pumiceshelf/invariant"
	"pumiceshelf/quota"
)

// settleTimeout bounds how long the last byte of a response waits until the budget is settled and the outcome recorded.
// After that both continue in the background.
const settleTimeout = 2 * time.Second

// runReservation holds the tokens reserved for one run of a model request and the limits they were computed from.
type runReservation struct {
	request     quota.Request
	reservation quota.Reservation
	// endpoint is the ID of the endpoint to which the run was last sent, empty before dispatch.
	endpoint    string
	promptBound uint64
	capTokens   uint64
}

// reserve reserves the largest number of tokens that one run of the model request can be charged.
func (j *job) reserve(ctx context.Context, runID string) *refusal {
	b, ok := j.customer.BudgetFor(j.chat.model.ID)
	if !ok {
		return newRefusal(ReasonNoBudget, "the customer has no budget for model "+j.chat.model.ID)
	}
	request := quota.Request{
		RequestID: runID, Budget: b.ID, Model: j.chat.model.ID, Bound: budget.Tokens(j.chat.bound()), MaxWait: j.remainingTime(),
	}
	r := j.server.cfg.Quota.Reserve(ctx, request)
	switch r.Outcome {
	case quota.Granted:
		j.reservation = &runReservation{request: request, reservation: r, promptBound: j.chat.promptBound, capTokens: j.chat.capTokens}
		j.addTraceEvent("tokens reserved in budget " + b.ID.Budget)
		return nil
	case quota.Exhausted:
		return newRefusal(ReasonBudgetExhausted, "budget "+b.ID.Budget+" lacks the tokens that the request may need").withRetryAfter(r.RetryAfter)
	case quota.UnknownBudget:
		return newRefusal(ReasonNoBudget, "budget "+b.ID.Budget+" is not in force").withRetryAfter(r.RetryAfter)
	}
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return newRefusal(ReasonDeadlineUnmeetable, "the deadline passed while tokens were asked for")
	case ctx.Err() != nil:
		return newRefusal(ReasonCallerCanceled, "the caller went away")
	}
	return newRefusal(ReasonBudgetUnavailable, "budget "+b.ID.Budget+" cannot be reached now").withRetryAfter(r.RetryAfter)
}

// settle ends the reservation of the current run, if there is one. Reported usage is charged up to the bound; unknown
// usage is charged at the bound.
func (j *job) settle(ctx context.Context, ran bool, u endpoint.Usage) {
	held := j.reservation
	if held == nil {
		return
	}
	j.reservation = nil
	usage := j.usageRecord(held)
	usage.Ran = ran
	if ran {
		j.setCharge(&usage, held, u)
	}
	invariant.Check(usage.Prompt+usage.Generated <= held.request.Bound, "server",
		"request %s: charge of %d tokens exceeds its bound of %d", usage.RequestID, usage.Prompt+usage.Generated, held.request.Bound)
	j.server.cfg.Quota.Settle(ctx, usage)
}

// setCharge sets the tokens that a run is charged.
func (j *job) setCharge(usage *quota.Usage, held *runReservation, u endpoint.Usage) {
	usage.Prompt, usage.Generated = budget.Tokens(u.PromptTokens), budget.Tokens(u.GeneratedTokens)
	if !u.Known {
		usage.AtBound = true
		usage.Prompt, usage.Generated = budget.Tokens(held.promptBound), budget.Tokens(held.capTokens)
		j.server.metrics.chargedAtBound.Inc(1)
		j.addTraceEvent("usage unknown, billed at the bound")
		return
	}
	if usage.Prompt > held.request.Bound || usage.Generated > held.request.Bound-usage.Prompt {
		j.server.metrics.usageOverBound.Inc(1)
		j.server.cfg.Log.Warnf("server: request %s: engine reported %d prompt and %d generated tokens, more than the bound of %d; charging the bound", held.request.RequestID, u.PromptTokens, u.GeneratedTokens, held.request.Bound)
		usage.Prompt = min(usage.Prompt, held.request.Bound)
		usage.Generated = held.request.Bound - usage.Prompt
	}
}
