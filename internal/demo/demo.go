// Package demo runs a complete setup on loopback in one process: a platform, engines, plain services, three failure
// domains with two instances each, and callers of both deployments.
package demo

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"pumiceshelf/api"
	"pumiceshelf/internal/fleet"
	"pumiceshelf/internal/standin"
	"pumiceshelf/quota"
)

const (
	// runLimit bounds the duration of the demo, not counting the time that --serve keeps it running.
	runLimit = 60 * time.Second
	// lowBudgetTokens is too small for the request that the demo expects to be refused.
	lowBudgetTokens   = 40
	ampleBudgetTokens = 100_000
)

// Customers in the demo.
const (
	cooperativeCustomer = "nizwa-cooperative"
	charityCustomer     = "tienda-solidaria"
	lowBudgetCustomer   = "ropa-de-segunda"
)

// Demo is a running fleet with the checks that failed.
type Demo struct {
	out      io.Writer
	fleet    *fleet.Fleet
	caller   *fleet.Caller
	failures []string
}

// FleetConfig returns the configuration of the demo's fleet, with the customers, models and services of both deployments.
func FleetConfig() fleet.Config {
	wusta, justo := fleet.DeploymentConfig(fleet.AlWusta), fleet.DeploymentConfig(fleet.PrecioJusto)
	return fleet.Config{
		Domains:            []string{"domain-a", "domain-b", "domain-c"},
		InstancesPerDomain: 2,
		EnginesPerDomain:   2,
		PlainPerDomain:     2,
		Models:             append(wusta.Models, justo.Models...),
		Services:           append(wusta.Services, justo.Services...),
		Customers: []fleet.Customer{
			{ID: cooperativeCustomer, Tokens: ampleBudgetTokens, Weight: 2},
			{ID: charityCustomer, Tokens: ampleBudgetTokens, Weight: 1},
			{ID: lowBudgetCustomer, Tokens: lowBudgetTokens, Weight: 1},
		},
		Engine: standin.EngineConfig{Slots: 16, Step: 2 * time.Millisecond},
		Seed:   1,
	}
}

// Run starts the demo's fleet, sends its requests and returns an error if a check of the replies or budgets fails. If serve
// is set, it then keeps the fleet running until ctx ends.
func Run(ctx context.Context, out io.Writer, serve bool) error {
	startCtx, cancel := context.WithTimeout(ctx, runLimit)
	defer cancel()
	f, err := fleet.Start(startCtx, FleetConfig())
	if err != nil {
		return err
	}
	defer f.Close()
	d := &Demo{out: out, fleet: f, caller: f.NewCaller()}
	d.sendRequests(startCtx)
	if err := d.checkBalances(startCtx); err != nil {
		return err
	}
	if len(d.failures) > 0 {
		return fmt.Errorf("demo: failed checks: %s", strings.Join(d.failures, "; "))
	}
	fmt.Fprintln(out, "all as promised")
	if serve {
		d.serveUntilDone(ctx)
	}
	return nil
}

// instanceAddress returns the address for callers of the i-th instance, counted modulo the number of instances.
func (d *Demo) instanceAddress(i int) string {
	instances := d.fleet.Instances()
	return instances[i%len(instances)].Node.CallerAddress()
}

func (d *Demo) sendRequests(ctx context.Context) {
	dose := fleet.Request{Customer: cooperativeCustomer, Model: fleet.DoseModel, Prompt: "Field 7, date palms, soil report 12: dose schedule.", IdempotencyKey: "plan-7"}
	first := d.send(ctx, "dose schedule, runs at most once", 0, dose, fleet.Answered)
	again := d.send(ctx, "the same key again, at another instance", 3, dose, fleet.Answered)
	d.check(again.Text == first.Text, "the retry got a different answer")
	other := dose
	other.Prompt = "Field 8, fodder."
	reused := d.send(ctx, "the same key with another body", 1, other, fleet.NotRun)
	d.check(reused.Status == http.StatusUnprocessableEntity, "a reused key with another body was not refused with status 422")
	price := fleet.Request{Customer: charityCustomer, Model: fleet.PriceModel, Prompt: "Wool coat, size M, one button missing.", Stream: true, Priority: "interactive"}
	d.send(ctx, "price suggestion, streamed", 1, price, fleet.Answered)
	draft := fleet.Request{Customer: charityCustomer, Model: fleet.PriceModel, Prompt: "Describe the wool coat in two paragraphs.", Priority: "batch"}
	d.send(ctx, "overnight draft", 2, draft, fleet.Answered)
	d.send(ctx, "request over its budget", 4, fleet.Request{Customer: lowBudgetCustomer, Model: fleet.PriceModel, Prompt: strings.Repeat("A lamp. ", 20)}, fleet.NotRun)
	d.requestPlanStatus(ctx)
	d.check(d.countRuns(first.RequestID) == 1, "the dose schedule did not run exactly once")
}

func (d *Demo) send(ctx context.Context, description string, instance int, a fleet.Request, want fleet.Outcome) fleet.Reply {
	r := d.caller.Send(ctx, d.instanceAddress(instance), a)
	text := r.Text
	if r.Outcome != fleet.Answered {
		text = strings.TrimSpace(r.Raw)
	}
	fmt.Fprintf(d.out, "%s\n  %s in %s: %s\n", description, r.Outcome, r.TotalTime.Round(time.Millisecond), text)
	d.check(r.Outcome == want, fmt.Sprintf("%s: got %s, want %s", description, r.Outcome, want))
	d.check(!r.Wrong && !r.Partial, description+": the answer is wrong or truncated")
	return r
}

func (d *Demo) requestPlanStatus(ctx context.Context) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.instanceAddress(5)+fleet.PlanPrefix+"7/status", nil)
	if err != nil {
		d.check(false, err.Error())
		return
	}
	req.Header.Set("Authorization", "Bearer "+fleet.APIKey(cooperativeCustomer))
	resp, err := d.caller.Client.Do(req)
	if err != nil {
		d.check(false, err.Error())
		return
	}
	defer resp.Body.Close()
	body, _ := io.ReadAll(resp.Body)
	fmt.Fprintf(d.out, "plan status, from a plain service\n  status %d: %s\n", resp.StatusCode, strings.TrimSpace(string(body)))
	d.check(resp.StatusCode == http.StatusOK, "the plan status request did not return status 200")
}

// countRuns counts the runs of a request in the engines' own logs.
func (d *Demo) countRuns(requestID string) int {
	count := 0
	for _, e := range d.fleet.Engines {
		for _, run := range e.Runs() {
			if run.RequestID == requestID {
				count++
			}
		}
	}
	return count
}

func (d *Demo) check(ok bool, text string) {
	if !ok {
		d.failures = append(d.failures, text)
	}
}

// checkBalances waits until the ledgers agree with the engines' own logs and prints each budget.
func (d *Demo) checkBalances(ctx context.Context) error {
	engineTokens := uint64(0)
	for _, e := range d.fleet.Engines {
		for _, run := range e.Runs() {
			engineTokens += uint64(run.PromptTokens + run.Generated)
		}
	}
	var ledgers []*api.CustomerLedger
	balanced := func() bool {
		ledgers = d.readLedgers(ctx)
		return totalSpent(ledgers) == engineTokens
	}
	if err := fleet.WaitUntil(ctx, balanced); err != nil {
		return fmt.Errorf("demo: ledgers record %d spent tokens, but engines used %d: %w", totalSpent(ledgers), engineTokens, err)
	}
	for _, l := range ledgers {
		for _, b := range l.Budgets {
			fmt.Fprintf(d.out, "budget %s/%s: granted %d, spent %d\n", l.Customer, b.Budget, b.Granted, spent(b))
		}
	}
	return nil
}

// readLedgers reads the ledgers of the demo's customers from the platform.
func (d *Demo) readLedgers(ctx context.Context) []*api.CustomerLedger {
	var out []*api.CustomerLedger
	for _, c := range []string{cooperativeCustomer, charityCustomer, lowBudgetCustomer} {
		obj, err := d.fleet.Store().Get(ctx, quota.LedgerPrefix+c)
		l := &api.CustomerLedger{Customer: c}
		if err == nil && proto.Unmarshal(obj.Value, l) == nil {
			out = append(out, l)
		}
	}
	return out
}

func totalSpent(ledgers []*api.CustomerLedger) uint64 {
	sum := uint64(0)
	for _, l := range ledgers {
		for _, b := range l.Budgets {
			sum += spent(b)
		}
	}
	return sum
}

// spent returns the tokens charged to a budget under closed and open leases.
func spent(b *api.BudgetLedger) uint64 {
	sum := b.ClosedSpend - b.Refunded
	for _, lease := range b.Leases {
		sum += lease.Settled
	}
	return sum
}

func (d *Demo) serveUntilDone(ctx context.Context) {
	fmt.Fprintf(d.out, "platform: %s, for pumicectl --platform\n", d.fleet.PlatformURL())
	for _, m := range d.fleet.Instances() {
		fmt.Fprintf(d.out, "%s: callers http://%s, operators http://%s\n", m.Name, m.Node.CallerAddress(), m.Node.AdminAddress())
	}
	for _, c := range []string{cooperativeCustomer, charityCustomer, lowBudgetCustomer} {
		fmt.Fprintf(d.out, "customer %s: key %s\n", c, fleet.APIKey(c))
	}
	fmt.Fprintf(d.out, "try: curl -sN http://%s/v1/chat/completions -H 'Authorization: Bearer %s' -d '{\"model\":%q,\"stream\":true,\"messages\":[{\"role\":\"user\",\"content\":\"A lamp.\"}]}'\n",
		d.instanceAddress(0), fleet.APIKey(charityCustomer), fleet.PriceModel)
	<-ctx.Done()
}
