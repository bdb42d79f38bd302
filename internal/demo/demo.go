// Package demo runs the whole path in one process: a platform, engines, plain services, three failure domains with two
// instances each and callers of both deployments, all on loopback.
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
	// runLimit bounds the time of a demo without --serve.
	runLimit = 60 * time.Second
	// poorTokens is the budget of the customer that is to be refused.
	poorTokens = 40
	richTokens = 100_000
)

// Customers of the demo.
const (
	cooperative = "nizwa-cooperative"
	charity     = "tienda-solidaria"
	poor        = "ropa-de-segunda"
)

// Demo is a running fleet and what its callers were told.
type Demo struct {
	out    io.Writer
	fleet  *fleet.Fleet
	caller *fleet.Caller
	failed []string
}

// Config returns the fleet of the demo, with the customers, models and services of both deployments.
func Config() fleet.Config {
	wusta, justo := fleet.Deployment(fleet.AlWusta), fleet.Deployment(fleet.PrecioJusto)
	return fleet.Config{
		Domains:            []string{"domain-a", "domain-b", "domain-c"},
		InstancesPerDomain: 2,
		EnginesPerDomain:   2,
		PlainPerDomain:     2,
		Models:             append(wusta.Models, justo.Models...),
		Services:           append(wusta.Services, justo.Services...),
		Customers: []fleet.Customer{
			{ID: cooperative, Tokens: richTokens, Weight: 2},
			{ID: charity, Tokens: richTokens, Weight: 1},
			{ID: poor, Tokens: poorTokens, Weight: 1},
		},
		Engine: standin.EngineConfig{Slots: 16, Step: 2 * time.Millisecond},
		Seed:   1,
	}
}

// Run starts the demo, sends its requests and returns an error unless all callers got what is promised. With serve, it
// then stays up until ctx ends.
func Run(ctx context.Context, out io.Writer, serve bool) error {
	startCtx, cancel := context.WithTimeout(ctx, runLimit)
	defer cancel()
	f, err := fleet.Start(startCtx, Config())
	if err != nil {
		return err
	}
	defer f.Close()
	d := &Demo{out: out, fleet: f, caller: f.NewCaller()}
	d.requests(startCtx)
	if err := d.balances(startCtx); err != nil {
		return err
	}
	if len(d.failed) > 0 {
		return fmt.Errorf("demo: not as promised: %s", strings.Join(d.failed, "; "))
	}
	fmt.Fprintln(out, "all as promised")
	if serve {
		d.serve(ctx)
	}
	return nil
}

// address returns the callers' address of the i-th instance, as the platform's balancer would choose one.
func (d *Demo) address(i int) string {
	members := d.fleet.Members()
	return members[i%len(members)].Node.CallerAddress()
}

func (d *Demo) requests(ctx context.Context) {
	dose := fleet.Ask{Customer: cooperative, Model: fleet.DoseModel, Prompt: "Field 7, date palms, soil report 12: dose schedule.", Key: "plan-7"}
	first := d.send(ctx, "dose schedule, runs at most once", 0, dose, fleet.Answered)
	again := d.send(ctx, "the same key again, at another instance", 3, dose, fleet.Answered)
	d.check(again.Text == first.Text, "the repeat got another answer")
	other := dose
	other.Prompt = "Field 8, fodder."
	reused := d.send(ctx, "the same key with another body", 1, other, fleet.NotRun)
	d.check(reused.Status == http.StatusUnprocessableEntity, "a key with another body was not refused as such")
	price := fleet.Ask{Customer: charity, Model: fleet.PriceModel, Prompt: "Wool coat, size M, one button missing.", Stream: true, Priority: "interactive"}
	d.send(ctx, "price suggestion, streamed", 1, price, fleet.Answered)
	draft := fleet.Ask{Customer: charity, Model: fleet.PriceModel, Prompt: "Describe the wool coat in two paragraphs.", Priority: "batch"}
	d.send(ctx, "overnight draft", 2, draft, fleet.Answered)
	d.send(ctx, "request over its budget", 4, fleet.Ask{Customer: poor, Model: fleet.PriceModel, Prompt: strings.Repeat("A lamp. ", 20)}, fleet.NotRun)
	d.planStatus(ctx)
	d.check(d.runsOf(first.RequestID) == 1, "the dose schedule did not run exactly once")
}

func (d *Demo) send(ctx context.Context, what string, at int, a fleet.Ask, want fleet.Outcome) fleet.Reply {
	r := d.caller.Send(ctx, d.address(at), a)
	text := r.Text
	if r.Outcome != fleet.Answered {
		text = strings.TrimSpace(r.Raw)
	}
	fmt.Fprintf(d.out, "%s\n  %s in %s: %s\n", what, r.Outcome, r.Total.Round(time.Millisecond), text)
	d.check(r.Outcome == want, fmt.Sprintf("%s: got %s, want %s", what, r.Outcome, want))
	d.check(!r.Wrong && !r.Partial, what+": not the whole answer to this request")
	return r
}

func (d *Demo) planStatus(ctx context.Context) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.address(5)+fleet.PlanPrefix+"7/status", nil)
	if err != nil {
		d.check(false, err.Error())
		return
	}
	req.Header.Set("Authorization", "Bearer "+fleet.Key(cooperative))
	resp, err := d.caller.Client.Do(req)
	if err != nil {
		d.check(false, err.Error())
		return
	}
	defer resp.Body.Close()
	body, _ := io.ReadAll(resp.Body)
	fmt.Fprintf(d.out, "plan status, from a plain service\n  status %d: %s\n", resp.StatusCode, strings.TrimSpace(string(body)))
	d.check(resp.StatusCode == http.StatusOK, "plan status was refused")
}

// runsOf counts the runs of a request in the engines' own logs.
func (d *Demo) runsOf(requestID string) int {
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
		d.failed = append(d.failed, text)
	}
}

// balances prints each budget and compares it with the engines' own logs.
func (d *Demo) balances(ctx context.Context) error {
	ran := uint64(0)
	for _, e := range d.fleet.Engines {
		for _, run := range e.Runs() {
			ran += uint64(run.PromptTokens + run.Generated)
		}
	}
	var ledgers []*api.CustomerLedger
	agreed := func() bool {
		ledgers = d.ledgers(ctx)
		return settled(ledgers) == ran
	}
	if err := fleet.Until(ctx, agreed); err != nil {
		return fmt.Errorf("demo: the ledgers say %d tokens, the engines ran %d: %w", settled(ledgers), ran, err)
	}
	for _, l := range ledgers {
		for _, b := range l.Budgets {
			fmt.Fprintf(d.out, "budget %s/%s: granted %d, spent %d\n", l.Customer, b.Budget, b.Granted, spent(b))
		}
	}
	return nil
}

// ledgers reads the ledgers of the demo's customers as the platform keeps them.
func (d *Demo) ledgers(ctx context.Context) []*api.CustomerLedger {
	var out []*api.CustomerLedger
	for _, c := range []string{cooperative, charity, poor} {
		obj, err := d.fleet.Store().Get(ctx, quota.LedgerPrefix+c)
		l := &api.CustomerLedger{Customer: c}
		if err == nil && proto.Unmarshal(obj.Value, l) == nil {
			out = append(out, l)
		}
	}
	return out
}

func settled(ledgers []*api.CustomerLedger) uint64 {
	sum := uint64(0)
	for _, l := range ledgers {
		for _, b := range l.Budgets {
			sum += spent(b)
		}
	}
	return sum
}

// spent returns the tokens billed to a budget, under closed and open leases.
func spent(b *api.BudgetLedger) uint64 {
	sum := b.ClosedSpend - b.Refunded
	for _, lease := range b.Leases {
		sum += lease.Settled
	}
	return sum
}

func (d *Demo) serve(ctx context.Context) {
	fmt.Fprintf(d.out, "platform: %s, for pumicectl --platform\n", d.fleet.PlatformURL())
	for _, m := range d.fleet.Members() {
		fmt.Fprintf(d.out, "%s: callers http://%s, operators http://%s\n", m.Name, m.Node.CallerAddress(), m.Node.AdminAddress())
	}
	for _, c := range []string{cooperative, charity, poor} {
		fmt.Fprintf(d.out, "customer %s: key %s\n", c, fleet.Key(c))
	}
	fmt.Fprintf(d.out, "try: curl -sN http://%s/v1/chat/completions -H 'Authorization: Bearer %s' -d '{\"model\":%q,\"stream\":true,\"messages\":[{\"role\":\"user\",\"content\":\"A lamp.\"}]}'\n",
		d.address(0), fleet.Key(charity), fleet.PriceModel)
	<-ctx.Done()
}
