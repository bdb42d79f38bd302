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

// closeTimeout is the longest time that the last byte of an answer waits for its settlement and its recorded outcome;
// both go on in the background after it.
const closeTimeout = 2 * time.Second

// bill is the reservation of one run.
type bill struct {
	request     quota.Request
	reservation quota.Reservation
	endpoint    string
	promptBound uint64
	capTokens   uint64
}

// reserve holds tokens for a run of a model request.
func (j *job) reserve(ctx context.Context, runID string) *refusal {
	b, ok := j.customer.BudgetFor(j.chat.model.ID)
	if !ok {
		return refuse(ReasonNoBudget, "the customer has no budget for model "+j.chat.model.ID)
	}
	request := quota.Request{
		RequestID: runID, Budget: b.ID, Model: j.chat.model.ID, Bound: budget.Tokens(j.chat.bound()), Wait: j.remaining(),
	}
	r := j.server.cfg.Keeper.Reserve(ctx, request)
	switch r.Outcome {
	case quota.Granted:
		j.bill = &bill{request: request, reservation: r, promptBound: j.chat.promptBound, capTokens: j.chat.capTokens}
		j.tell("tokens reserved in budget " + b.ID.Budget)
		return nil
	case quota.Exhausted:
		return refuse(ReasonExhausted, "budget "+b.ID.Budget+" lacks the tokens that the request may need").after(r.RetryAfter)
	case quota.UnknownBudget:
		return refuse(ReasonNoBudget, "budget "+b.ID.Budget+" is not in force").after(r.RetryAfter)
	}
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return refuse(ReasonTooLate, "the deadline passed while tokens were asked for")
	case ctx.Err() != nil:
		return refuse(ReasonCallerGone, "the caller went away")
	}
	return refuse(ReasonOutOfReach, "budget "+b.ID.Budget+" cannot be reached now").after(r.RetryAfter)
}

// settle ends the reservation of the current run. Known usage is billed as it is, unknown usage at the bound.
func (j *job) settle(ctx context.Context, ran bool, u endpoint.Usage) {
	b := j.bill
	if b == nil {
		return
	}
	j.bill = nil
	usage := j.usageOf(b)
	usage.Ran = ran
	if ran {
		j.charge(&usage, b, u)
	}
	invariant.Check(usage.Prompt+usage.Generated <= b.request.Bound, "server",
		"%s billed %d tokens over its bound of %d", usage.RequestID, usage.Prompt+usage.Generated, b.request.Bound)
	j.server.cfg.Keeper.Settle(ctx, usage)
}

func (j *job) charge(usage *quota.Usage, b *bill, u endpoint.Usage) {
	usage.Prompt, usage.Generated = budget.Tokens(u.PromptTokens), budget.Tokens(u.GeneratedTokens)
	if !u.Known {
		usage.AtBound = true
		usage.Prompt, usage.Generated = budget.Tokens(b.promptBound), budget.Tokens(b.capTokens)
		j.server.meters.atBound.Inc(1)
		j.tell("usage unknown, billed at the bound")
		return
	}
	if usage.Prompt > b.request.Bound || usage.Generated > b.request.Bound-usage.Prompt {
		j.server.meters.overBound.Inc(1)
		j.server.cfg.Log.Warnf("server: %s used %d+%d tokens, over its bound of %d", b.request.RequestID, u.PromptTokens, u.GeneratedTokens, b.request.Bound)
		usage.Prompt = min(usage.Prompt, b.request.Bound)
		usage.Generated = b.request.Bound - usage.Prompt
	}
}
